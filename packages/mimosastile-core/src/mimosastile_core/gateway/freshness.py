"""Up to when a view of the store is known to be complete."""

import math


class Freshness:
    """The latest time at which a view surely held all that the store did.

    Each source gives a lower bound: when a question was asked that the answer
    settles, less the age that the answer itself names. What happens on the way
    of an answer, in queues, in retransmissions or before it is read, is later
    than that and cannot make a view look fresher than it is.
    """

    __slots__ = ("_at",)

    def __init__(self) -> None:
        """Makes one of a view that never was complete."""
        self._at = -math.inf

    @property
    def at(self) -> float | None:
        """The time, None if it never was complete."""
        return None if self._at == -math.inf else self._at

    def note(self, at: float) -> None:
        """Notes that the view was complete at some time."""
        self._at = max(self._at, at)

    def age(self, now: float) -> float | None:
        """Returns the seconds since then, None if it never was complete."""
        return None if self._at == -math.inf else max(now - self._at, 0.0)


class ClockOffset:
    """A reading of a peer's clock, to translate times from and to it.

    The peer has read its clock after it was asked and before its answer
    arrived here, so that a time that is translated never lies after the true
    one, however long the question or the answer took.
    """

    __slots__ = ("_arrived", "_asked", "_there")

    def __init__(self, there: float, asked: float, arrived: float) -> None:
        """Makes one.

        Args:
            there: The peer's clock when it made its answer.
            asked: This clock when the peer was asked.
            arrived: This clock when the answer arrived.
        """
        self._there = there
        self._asked = asked
        self._arrived = arrived

    def to_peer(self, at: float) -> float:
        """Returns a time of this clock on the peer's, or an earlier one."""
        return self._there + at - self._arrived

    def from_peer(self, at: float) -> float:
        """Returns a time of the peer's clock on this, or an earlier one."""
        return self._asked + at - self._there
