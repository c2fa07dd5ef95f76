"""Detection of target crashes among requests that got no response.

Occasionally a request crashes every target that starts to run it, and is sent
again by its caller. Responses are lost for many other reasons, though, and a
request must not be refused because a link loses packets. The difference is that
a target that has crashed accepts no connections for some seconds.
"""

from mimosastile_core import config
from mimosastile_core import quarantine

_DOUBT_SECONDS = 3.0
"""Time after a lost response within which a refused connection confirms a
crash; targets take seconds to restart."""
POLICY = config.Quarantine(deaths=3, seconds=60.0)
"""A third crash is beyond chance; a minute covers the retries of a caller."""


class Casualties:
    """Lost responses observed by one VM, and the crashes that caused them."""

    __slots__ = ("_memory", "_pending")

    def __init__(self) -> None:
        self._memory = quarantine.Memory()
        self._pending: dict[str, list[tuple[float, str]]] = {}

    def lost(self, target: str, request: str, now: float) -> None:
        """Records that a response was lost.

        Args:
            target: The target.
            request: Fingerprint of the request.
            now: Current time.
        """
        recent = [
            item
            for item in self._pending.get(target, ())
            if now - item[0] < _DOUBT_SECONDS
        ]
        self._pending[target] = [*recent, (now, request)]

    def answered(self, target: str) -> None:
        """Records that a target responds; earlier losses were no crashes."""
        self._pending.pop(target, None)

    def unreachable(
        self, target: str, now: float, new_id: str
    ) -> list[quarantine.Death]:
        """Records that a target accepts no connections.

        Args:
            target: The target.
            now: Current time.
            new_id: Prefix for the identifiers of the crashes.

        Returns:
            The crashes that this confirms.
        """
        pending = self._pending.pop(target, ())
        deaths = [
            quarantine.Death(f"{new_id}-{number}", request, target, 0, now - at)
            for number, (at, request) in enumerate(pending)
            if now - at < _DOUBT_SECONDS
        ]
        for death in deaths:
            self._memory.record(death, now)
        return deaths

    def learn(self, death: quarantine.Death, now: float) -> None:
        """Records a crash that another VM has confirmed."""
        self._memory.record(death, now)

    def held(self, request: str, now: float) -> bool:
        """Whether a request has crashed too many targets to be sent again."""
        if not self._memory:
            return False
        return self._memory.held_for(request, POLICY, now) > 0

    def deaths(self, now: float) -> tuple[quarantine.Death, ...]:
        """Returns all crashes still recorded, with their current ages."""
        self._memory.expire(POLICY, now)
        return self._memory.deaths(now)
