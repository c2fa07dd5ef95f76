"""Notices that this process was paused."""


class PauseGuard:
    """Tells when a process must catch up before it speaks as a keeper.

    A VM can be stopped for minutes and go on as if nothing had happened. Its
    tables are then old: it may have been replaced, and its targets may have
    been told things that it does not know. One notices it only by the clock,
    which has jumped between two looks at it. From then on the guard is closed
    until the tables were read anew, by a reading that began after the jump.
    """

    __slots__ = ("_closed_at", "_last", "_limit")

    def __init__(self, limit: float, now: float) -> None:
        """Starts open.

        Args:
            limit: Longest time between two looks, in seconds, that is not
                taken for a pause.
            now: Present time.
        """
        self._limit = limit
        self._last = now
        self._closed_at: float | None = None

    @property
    def limit(self) -> float:
        """Longest time between two looks that is not taken for a pause."""
        return self._limit

    def is_open(self, now: float) -> bool:
        """Looks at the clock; whether the process may speak as a keeper."""
        if now - self._last > self._limit:
            self._closed_at = now
        self._last = now
        return self._closed_at is None

    def caught_up(self, began: float) -> None:
        """Notes that the tables were read by a reading that began then."""
        if self._closed_at is not None and began >= self._closed_at:
            self._closed_at = None
