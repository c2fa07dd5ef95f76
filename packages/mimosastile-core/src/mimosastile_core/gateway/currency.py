"""Up to when a view of the store is known to be complete."""

import math


class Currency:
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
    def at(self) -> float:
        """The time, minus infinity if it never was complete."""
        return self._at

    def note(self, at: float) -> None:
        """Notes that the view was complete at some time."""
        self._at = max(self._at, at)

    def age(self, now: float) -> float | None:
        """Returns the seconds since then, None if it never was complete."""
        return None if self._at == -math.inf else max(now - self._at, 0.0)


class Stamp:
    """A reading of a peer's clock, to name times that the peer understands.

    The peer has read its clock before its message arrived here, so a time of
    this clock that is translated lies before the true one, however long the
    message took.
    """

    __slots__ = ("_here", "_there")

    def __init__(self, there: float, here: float) -> None:
        """Makes one.

        Args:
            there: The peer's clock when it made its message.
            here: This clock when the message arrived.
        """
        self._there = there
        self._here = here

    def translate(self, at: float) -> float:
        """Returns a time of this clock on the peer's, or an earlier one."""
        return self._there + at - self._here
