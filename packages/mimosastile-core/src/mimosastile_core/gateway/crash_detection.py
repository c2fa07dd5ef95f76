"""Which lost answers were deaths of their targets.

Now and then one request ends every target that begins to run it, and comes
again. An answer is lost in many other ways, though, and a request must not be
refused because a link loses packets. What tells them apart: a target that has
died takes no connection for some seconds.
"""

from mimosastile_core import config
from mimosastile_core import quarantine

_DOUBT_SECONDS = 3.0
"""Time after a lost answer in which a refused connection confirms a death;
targets take seconds to start again."""
POLICY = config.Quarantine(deaths=3, seconds=60.0)
"""A third death is beyond chance; a minute covers the repeats of a caller."""


class CrashDetector:
    """Lost answers of one VM, and the deaths that they turned out to be."""

    __slots__ = ("_memory", "_pending")

    def __init__(self) -> None:
        self._memory = quarantine.Memory()
        self._pending: dict[str, list[tuple[float, str]]] = {}

    def lost(self, target: str, request: str, now: float) -> None:
        """Notes that an answer was lost.

        Args:
            target: The target.
            request: Fingerprint of the request.
            now: The time.
        """
        recent = [
            item
            for item in self._pending.get(target, ())
            if now - item[0] < _DOUBT_SECONDS
        ]
        self._pending[target] = [*recent, (now, request)]

    def answered(self, target: str) -> None:
        """Notes that a target lives; what was lost there was no death."""
        self._pending.pop(target, None)

    def unreachable(
        self, target: str, now: float, new_id: str
    ) -> list[quarantine.Death]:
        """Notes that a target takes no connection.

        Returns:
            The deaths that this confirms.
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
        """Takes in a death that another VM has confirmed."""
        self._memory.record(death, now)

    def held(self, request: str, now: float) -> bool:
        """Whether a request has ended too many targets to be sent again."""
        if not self._memory:
            return False
        return self._memory.held_for(request, POLICY, now) > 0

    def deaths(self, now: float) -> tuple[quarantine.Death, ...]:
        """Returns all deaths that are remembered, with present ages."""
        self._memory.expire(POLICY, now)
        return self._memory.deaths(now)
