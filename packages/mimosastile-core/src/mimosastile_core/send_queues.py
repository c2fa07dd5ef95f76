"""Counts bytes that a peer has not received yet.

What a process has written may stand in the kernel's send queue for as long as
the peer's link is slow or its receive window is full. Queues hold up to some
megabytes, depending on the machine.
"""

from collections.abc import Callable
import fcntl
import struct
import termios
from typing import Any
from typing import Protocol

_COUNT = struct.Struct("i")


class Transport(Protocol):
    """The part of an event loop's transport that is used here."""

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns what the transport knows about its connection."""

    def get_write_buffer_size(self) -> int:
        """Returns the number of bytes that the process has not written yet."""


def undelivered_bytes(
    transport: Transport, report: Callable[[OSError], None]
) -> int:
    """Returns how many bytes the peer of a connection has not acknowledged.

    An unacknowledged end of the stream counts as one byte.

    Args:
        transport: The connection's transport, also one that encrypts.
        report: Called with the error if the kernel does not report the length
            of its queue. Only bytes that the process holds are counted then.
    """
    buffered = transport.get_write_buffer_size()
    connected = transport.get_extra_info("socket")
    descriptor = connected.fileno() if connected is not None else -1
    if descriptor < 0:
        return buffered
    try:
        queued = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(_COUNT.size))
    except OSError as error:
        report(error)
        return buffered
    (count,) = _COUNT.unpack(queued)
    return buffered + int(count)
