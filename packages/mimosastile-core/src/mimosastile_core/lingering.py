"""Decides how long a connection stays open after its last response.

Closing a socket resets its connection if bytes of the caller are unread or
still arrive, as requests do that it sends ahead. The caller then loses what it
has not read of its responses. So a connection is ended in three steps: its
sending side is closed behind the last response; what the caller still sends is
read and dropped; it is closed when the caller closes it, or after a bound.

The bound depends on whether the caller still reads. What this process has
handed to the kernel says nothing about that: only what the caller has
acknowledged does.
"""

import math

_LINGER_SECONDS = 2.0
"""Time for which a caller that has received everything may send on."""
_LOOK_SECONDS = 0.2
"""Longest time between two looks at what a caller has received."""


class Progress:
    """Whether a caller has received anything since the last look."""

    __slots__ = ("_undelivered_bytes",)

    def __init__(self) -> None:
        self._undelivered_bytes: float = math.inf

    def record(self, undelivered_bytes: int) -> bool:
        """Records a look; returns whether anything was received before it.

        Args:
            undelivered_bytes: Bytes that the caller has not acknowledged.
        """
        before, self._undelivered_bytes = (
            self._undelivered_bytes,
            undelivered_bytes,
        )
        return undelivered_bytes < before

    def restart(self) -> None:
        """Records that more bytes were written since the last look."""
        self._undelivered_bytes = math.inf


class Linger:
    """The end of one connection."""

    __slots__ = ("_progress", "_progress_at", "_stall_seconds")

    def __init__(self, stall_seconds: float, now: float) -> None:
        """Creates it when the sending side is closed.

        Args:
            stall_seconds: Longest time in which the caller receives nothing.
            now: Current time.
        """
        self._stall_seconds = stall_seconds
        self._progress = Progress()
        self._progress_at = now

    def wait(self, undelivered_bytes: int, now: float) -> float:
        """Returns the seconds until the next look; 0 to end the connection.

        Args:
            undelivered_bytes: Bytes that the caller has not acknowledged.
            now: Current time.
        """
        if self._progress.record(undelivered_bytes):
            self._progress_at = now
        most = self._stall_seconds if undelivered_bytes else _LINGER_SECONDS
        left = self._progress_at + most - now
        return max(min(left, _LOOK_SECONDS), 0.0)
