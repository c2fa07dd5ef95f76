"""Detection of target crashes among requests that got no response.

Occasionally a request crashes every target that starts to run it, and is sent
again by its caller. Responses are lost for many other reasons, though, and a
request must not be refused because a link loses packets. The difference is that
a target that has crashed accepts no connections for some seconds, while others
go on to respond: if none does, the fault is this VM's own link.
"""

import math

from mimosastile_core import config
from mimosastile_core import quarantine

_CONFIRMATION_SECONDS = 3.0
"""Time after a lost response within which a refused connection confirms a
crash; targets take seconds to restart."""
POLICY = config.Quarantine(deaths=3, seconds=60.0)
"""A third crash is beyond chance; a minute covers the retries of a caller."""


class CrashDetector:
    """Lost responses observed by one VM, and the crashes that caused them."""

    __slots__ = ("_crashes", "_lost", "_responses")

    def __init__(self) -> None:
        self._responses: list[tuple[float, str]] = []
        self._crashes = quarantine.CrashHistory()
        self._lost: dict[str, list[tuple[float, str]]] = {}

    def record_loss(self, target: str, request: str, now: float) -> None:
        """Records that a response was lost.

        Args:
            target: The target.
            request: Fingerprint of the request.
            now: Current time.
        """
        recent = [
            item
            for item in self._lost.get(target, ())
            if now - item[0] < _CONFIRMATION_SECONDS
        ]
        self._lost[target] = [*recent, (now, request)]

    def record_response(self, target: str, now: float) -> None:
        """Records that a target responds; earlier losses were no crashes."""
        self._lost.pop(target, None)
        # The last responses of two targets: one of them is another target than
        # any that has crashed.
        others = [r for r in self._responses if r[1] != target]
        self._responses = [*others[-1:], (now, target)]

    def confirm_crashes(
        self, target: str, attempted_at: float, now: float, id_prefix: str
    ) -> list[quarantine.Crash]:
        """Records that a target accepts no connections.

        Losses after which no other target has responded before the attempt stay
        unconfirmed, as this VM may have lost its link.

        Args:
            target: The target.
            attempted_at: Time at which the connection was attempted.
            now: Current time.
            id_prefix: Prefix for the identifiers of the crashes.

        Returns:
            The crashes that this confirms.
        """
        linked_at = max(
            (
                at
                for at, responder in self._responses
                if responder != target and at <= attempted_at
            ),
            default=-math.inf,
        )
        losses = self._lost.pop(target, [])
        lost = [loss for loss in losses if loss[0] < linked_at]
        if pending := [loss for loss in losses if loss[0] >= linked_at]:
            self._lost[target] = pending
        deaths = [
            quarantine.Crash(
                f"{id_prefix}-{number}", request, target, 0, now - at
            )
            for number, (at, request) in enumerate(lost)
            if now - at < _CONFIRMATION_SECONDS
        ]
        for death in deaths:
            self._crashes.record(death, now)
        return deaths

    def record_crash(self, death: quarantine.Crash, now: float) -> None:
        """Records a crash that another VM has confirmed."""
        self._crashes.record(death, now)

    def is_held(self, request: str, now: float) -> bool:
        """Whether a request has crashed too many targets to be sent again."""
        if not self._crashes:
            return False
        return self._crashes.held_for(request, POLICY, now) > 0

    def crashes(self, now: float) -> tuple[quarantine.Crash, ...]:
        """Returns all crashes still recorded, with their current ages."""
        self._crashes.expire(POLICY, now)
        return self._crashes.crashes(now)
