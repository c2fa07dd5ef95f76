"""Detection of pauses of this process."""


class PauseGuard:
    """Blocks a keeper after a pause until it has read its tables again.

    A VM can be stopped for minutes and then continue without any signal. Its
    tables are then out of date: it may have been replaced as keeper, and its
    targets may have received grants that it hasn't recorded. Only a jump of
    the clock between two checks shows the pause. From then on the guard is
    closed until the tables are read again, by a read that started after the
    jump.
    """

    __slots__ = ("_closed_at", "_checked_at", "_limit")

    def __init__(self, limit: float, now: float) -> None:
        """Initializes an open guard.

        Args:
            limit: Longest time between two checks, in seconds, that doesn't
                count as a pause.
            now: Current time in seconds.
        """
        self._limit = limit
        self._checked_at = now
        self._closed_at: float | None = None

    @property
    def limit(self) -> float:
        """Longest time between two checks that isn't a pause, in seconds."""
        return self._limit

    def is_open(self, now: float) -> bool:
        """Checks the clock; returns whether the process may act as a keeper."""
        if now - self._checked_at > self._limit:
            self._closed_at = now
        self._checked_at = now
        return self._closed_at is None

    def tables_read(self, began: float) -> None:
        """Opens the guard if a read of the tables began after the pause."""
        if self._closed_at is not None and began >= self._closed_at:
            self._closed_at = None
