"""Backoff that targets ask this VM for, with the rejection of a request."""

import msgspec

_LONG_SECONDS = 2.0
"""Rest from which keys should move: a move takes about a second."""
_LEFT_SECONDS = 0.5
"""Rest that is left from which a move of keys is too late."""


class _Backoff(msgspec.Struct, frozen=True):
    """What one run of a target has asked for.

    Attributes:
        born: The run.
        began: When it was asked for.
        ends: Until when it wants nothing.
    """

    born: int
    began: float
    ends: float


class Backoffs:
    """Until when each target wants nothing from this VM.

    It concerns one VM alone: a target may reject whoever sends most.
    """

    __slots__ = ("_backoffs",)

    def __init__(self) -> None:
        """Makes one that knows of none."""
        self._backoffs: dict[str, _Backoff] = {}

    @property
    def any(self) -> bool:
        """Whether any target may rest."""
        return bool(self._backoffs)

    def ask(self, target: str, born: int, seconds: float, now: float) -> None:
        """Takes a target's word; the longest one counts.

        Args:
            target: Identifier of the target.
            born: Which run of it.
            seconds: For how long it wants nothing.
            now: The time.
        """
        ends = now + seconds
        if self.left(target, born, now) < seconds:
            self._backoffs[target] = _Backoff(born, now, ends)

    def left(self, target: str, born: int, now: float) -> float:
        """Returns for how many seconds a run of a target gets nothing."""
        rest = self._backoffs.get(target)
        if rest is None or rest.born != born:
            return 0.0
        if now >= rest.ends:
            del self._backoffs[target]
            return 0.0
        return rest.ends - now

    def long(self, now: float) -> dict[str, float]:
        """Returns the seconds left of rests for which keys should move.

        Those that have ended are forgotten.
        """
        self._backoffs = {
            n: r for n, r in self._backoffs.items() if r.ends > now
        }
        return {
            name: round(rest.ends - now, 2)
            for name, rest in self._backoffs.items()
            if rest.ends - rest.began >= _LONG_SECONDS
            and rest.ends - now > _LEFT_SECONDS
        }
