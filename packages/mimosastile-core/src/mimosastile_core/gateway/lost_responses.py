"""Lost responses, and what shows that their targets have crashed.

A target that has crashed refuses connections if its host or supervisor does;
others may drop attempts to connect, or accept connections that nobody serves.
In any case the target responds to nothing any more, and its registration ends:
it expires, or a later incarnation replaces it. A target that lives responds
sooner or later, and its registration stays.
"""

import collections
from collections.abc import Callable
import math

_REFUSAL_SECONDS = 3.0
"""Time after a lost response within which a refused connection, or a restart
after further responses, shows a crash; targets take seconds to restart."""
_MAX_LOSSES = 256
"""Undecided losses of one target. A target with more than that many requests at
a time is cut off or full rather than crashed."""
_MAX_RESPONDERS = 4096
"""Number of targets whose latest response is remembered."""


class Loss:
    """A response that was lost.

    Attributes:
        at: Time of the loss.
        request: Fingerprint of the request.
        answered: Whether its target has responded to another request since.
        crash: Identifier of the crash that is presumed; empty if none is.
    """

    __slots__ = ("answered", "at", "crash", "request")

    def __init__(self, at: float, request: str) -> None:
        self.at = at
        self.request = request
        self.answered = False
        self.crash = ""


class LostResponses:
    """Lost responses of one VM that still may turn out to be crashes."""

    __slots__ = ("_lapse_seconds", "_lost", "_reached", "_responded_at")

    def __init__(self, lapse_seconds: float) -> None:
        """Creates it without any loss.

        Args:
            lapse_seconds: Longest time from the crash of a target until this
                VM knows that its registration has ended.
        """
        self._lapse_seconds = lapse_seconds
        self._lost: dict[str, list[Loss]] = {}
        self._responded_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._reached: list[tuple[float, str]] = []

    @property
    def targets(self) -> tuple[str, ...]:
        """Targets with losses that are not decided yet."""
        return tuple(self._lost)

    def record(self, target: str, request: str, now: float) -> None:
        """Records that a response of a target was lost."""
        losses = self._lost.setdefault(target, [])
        if len(losses) < _MAX_LOSSES:
            losses.append(Loss(now, request))

    def has_responded(self, target: str, since: float) -> bool:
        """Whether a target has responded to anything since a time."""
        return self._responded_at.get(target, -math.inf) >= since

    def is_undecided(self, target: str, now: float) -> bool:
        """Whether a refused connection can still show a crash of a target."""
        return any(
            not loss.answered and now - loss.at < _REFUSAL_SECONDS
            for loss in self._lost.get(target, ())
        )

    def record_response(self, target: str, now: float) -> list[str]:
        """Records a response of a target, which therefore has not crashed.

        Returns:
            Identifiers of crashes that were presumed and are disproved.
        """
        self._responded_at[target] = now
        self._responded_at.move_to_end(target)
        if len(self._responded_at) > _MAX_RESPONDERS:
            self._responded_at.popitem(last=False)
        self.record_link(target, now)
        disproved = []
        for loss in self._lost.get(target, ()):
            loss.answered = True
            if loss.crash:
                disproved.append(loss.crash)
                loss.crash = ""
        return disproved

    def record_link(self, target: str, now: float) -> None:
        """Records that this VM has reached a target, which may not respond."""
        # The last two targets: one of them is another one than any that has
        # crashed.
        others = [r for r in self._reached if r[1] != target]
        self._reached = [*others[-1:], (now, target)]

    def has_link(self, target: str, since: float) -> bool:
        """Whether another target was reached after a time.

        Without that, this VM may have lost its own link.
        """
        return self._reached_between(target, since, math.inf)

    def lacks_link(self, target: str) -> bool:
        """Whether no other target was reached after an undecided loss."""
        return any(
            not loss.answered and not self.has_link(target, loss.at)
            for loss in self._lost.get(target, ())
        )

    def take_refused(
        self, target: str, attempted_at: float, now: float
    ) -> list[Loss]:
        """Removes and returns losses that a refused connection decides.

        Args:
            target: The target.
            attempted_at: Time at which the connection was attempted.
            now: Current time.
        """

        def is_crash(loss: Loss) -> bool:
            return (
                not loss.answered
                and now - loss.at < _REFUSAL_SECONDS
                and self._reached_between(target, loss.at, attempted_at)
            )

        return self._take(target, is_crash)

    def presume(
        self, target: str, until: float, new_id: Callable[[], str]
    ) -> list[Loss]:
        """Returns losses of a target that has been silent since.

        They stay undecided until its registration ends or it responds.

        Args:
            target: The target.
            until: Latest time of the losses, long enough ago for a target that
                lives to have responded.
            new_id: Returns an identifier for a presumed crash.
        """
        presumed = [
            loss
            for loss in self._lost.get(target, ())
            if loss.at <= until
            and not loss.answered
            and not loss.crash
            and self.has_link(target, loss.at)
        ]
        for loss in presumed:
            loss.crash = new_id()
        return presumed

    def take_ended(
        self, target: str, now: float, *, restarted: bool
    ) -> list[Loss]:
        """Removes and returns losses that the end of a registration decides.

        Those that were presumed to be crashes are removed as well, but not
        returned again.

        Args:
            target: The target.
            now: Current time.
            restarted: Whether a later incarnation has replaced the target. That
                it responded before may be a response of that incarnation.
        """

        def is_crash(loss: Loss) -> bool:
            if loss.answered:
                return restarted and now - loss.at < _REFUSAL_SECONDS
            return self.has_link(target, loss.at)

        return [loss for loss in self._take(target, is_crash) if not loss.crash]

    def expire(self, now: float) -> list[str]:
        """Drops losses whose targets are still registered.

        Returns:
            Identifiers of crashes that were presumed and are disproved.
        """
        oldest = now - self._lapse_seconds
        return [
            loss.crash
            for target in self.targets
            for loss in self._take(target, lambda loss: loss.at <= oldest)
            if loss.crash
        ]

    def _take(self, target: str, decided: Callable[[Loss], bool]) -> list[Loss]:
        """Removes and returns losses of a target that are decided."""
        taken: list[Loss] = []
        kept: list[Loss] = []
        for loss in self._lost.get(target, ()):
            (taken if decided(loss) else kept).append(loss)
        self._keep(target, kept)
        return taken

    def _keep(self, target: str, losses: list[Loss]) -> None:
        if losses:
            self._lost[target] = losses
        else:
            self._lost.pop(target, None)

    def _reached_between(self, target: str, since: float, until: float) -> bool:
        """Whether another target was reached in a time."""
        return any(
            since < at <= until and reached != target
            for at, reached in self._reached
        )
