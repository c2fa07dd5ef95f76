"""Backoff that targets ask of this VM when they reject a request."""

import msgspec

_MIN_MOVE_SECONDS = 2.0
"""Least length of a backoff for which keys should move: a move takes about a
second."""
_MIN_LEFT_SECONDS = 0.5
"""With less than this left of a backoff, it is too late to move keys."""


class _Backoff(msgspec.Struct, frozen=True):
    """The backoff that one incarnation of a target has asked for.

    Attributes:
        born: The incarnation.
        began: When the backoff began.
        ends: When the backoff ends.
    """

    born: int
    began: float
    ends: float


class Backoffs:
    """The current backoff of this VM for each target.

    A backoff applies to one VM only: a target may reject just the VM that sends
    most.
    """

    __slots__ = ("_backoffs",)

    def __init__(self) -> None:
        """Makes a record without backoffs."""
        self._backoffs: dict[str, _Backoff] = {}

    @property
    def any(self) -> bool:
        """Whether a backoff of any target may be in force."""
        return bool(self._backoffs)

    def record(
        self, target: str, born: int, seconds: float, now: float
    ) -> None:
        """Records a backoff; the one that ends last applies.

        Args:
            target: Identifier of the target.
            born: Its incarnation.
            seconds: Length of the backoff.
            now: The time.
        """
        ends = now + seconds
        if self.seconds_left(target, born, now) < seconds:
            self._backoffs[target] = _Backoff(born, now, ends)

    def seconds_left(self, target: str, born: int, now: float) -> float:
        """Returns the seconds for which an incarnation gets no requests."""
        backoff = self._backoffs.get(target)
        if backoff is None or backoff.born != born:
            return 0.0
        if now >= backoff.ends:
            del self._backoffs[target]
            return 0.0
        return backoff.ends - now

    def long_backoffs(self, now: float) -> dict[str, float]:
        """Returns the seconds left of backoffs for which keys should move.

        Ended backoffs are dropped.
        """
        self._backoffs = {
            n: r for n, r in self._backoffs.items() if r.ends > now
        }
        return {
            name: round(backoff.ends - now, 2)
            for name, backoff in self._backoffs.items()
            if backoff.ends - backoff.began >= _MIN_MOVE_SECONDS
            and backoff.ends - now > _MIN_LEFT_SECONDS
        }
