"""Backoff that targets ask of this VM when they reject a request."""

import msgspec

_LONG_SECONDS = 2.0
"""Least length of a backoff for which keys should move: a move takes about a
second."""
_LEFT_SECONDS = 0.5
"""With less than this left of a backoff, it is too late to move keys."""


class _Rest(msgspec.Struct, frozen=True):
    """The backoff that one incarnation of a target has asked for.

    Attributes:
        born: The incarnation.
        began: When the backoff began.
        ends: When the backoff ends.
    """

    born: int
    began: float
    ends: float


class Rests:
    """The current backoff of this VM for each target.

    A backoff applies to one VM only: a target may reject just the VM that sends
    most.
    """

    __slots__ = ("_rests",)

    def __init__(self) -> None:
        """Makes a record without backoffs."""
        self._rests: dict[str, _Rest] = {}

    @property
    def any(self) -> bool:
        """Whether a backoff of any target may be in force."""
        return bool(self._rests)

    def ask(self, target: str, born: int, seconds: float, now: float) -> None:
        """Records a backoff; the one that ends last applies.

        Args:
            target: Identifier of the target.
            born: Its incarnation.
            seconds: Length of the backoff.
            now: The time.
        """
        ends = now + seconds
        if self.left(target, born, now) < seconds:
            self._rests[target] = _Rest(born, now, ends)

    def left(self, target: str, born: int, now: float) -> float:
        """Returns the seconds for which an incarnation gets no requests."""
        rest = self._rests.get(target)
        if rest is None or rest.born != born:
            return 0.0
        if now >= rest.ends:
            del self._rests[target]
            return 0.0
        return rest.ends - now

    def long(self, now: float) -> dict[str, float]:
        """Returns the seconds left of backoffs for which keys should move.

        Ended backoffs are dropped.
        """
        self._rests = {n: r for n, r in self._rests.items() if r.ends > now}
        return {
            name: round(rest.ends - now, 2)
            for name, rest in self._rests.items()
            if rest.ends - rest.began >= _LONG_SECONDS
            and rest.ends - now > _LEFT_SECONDS
        }
