"""Transport that ends its connection without losing the last response."""

import asyncio
from collections.abc import Callable
from typing import Any

from absl import logging

from mimosastile_core import lingering
from mimosastile_core import send_queues

_PREFIX = "listeners:"
_LOG_SECONDS = 1.0
"""Least time between two log lines on connections that were cut off."""


class LingeringTransport:
    """A transport whose `close` lets the caller read its last response.

    All else is done by the event loop's transport.
    """

    __slots__ = (
        "_loop",
        "_on_close",
        "_stall_seconds",
        "_timer",
        "_transport",
    )

    def __init__(
        self,
        transport: asyncio.Transport,
        stall_seconds: float,
        on_close: Callable[[], None],
    ) -> None:
        """Creates it for an open connection.

        Args:
            transport: The event loop's transport.
            stall_seconds: Longest time in which the caller receives nothing
                while its connection is ended.
            on_close: Called when the connection begins to end.
        """
        self._loop = asyncio.get_running_loop()
        self._transport = transport
        self._stall_seconds = stall_seconds
        self._on_close = on_close
        self._timer: asyncio.TimerHandle | None = None

    def __getattr__(self, name: str) -> Any:
        """Returns an attribute of the event loop's transport."""
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        """Whether the connection ends, so that no response can be sent."""
        return self._timer is not None or self._transport.is_closing()

    def write(self, data: bytes) -> None:
        """Sends bytes, unless the connection is ending."""
        if self._timer is None:
            self._transport.write(data)

    def close(self) -> None:
        """Closes the sending side; reads on until the caller closes too."""
        if self.is_closing():
            return
        try:
            if self._transport.can_write_eof():
                self._transport.write_eof()
        except OSError:
            # The caller has reset the connection.
            self._transport.abort()
        else:
            # Reading stops while requests wait.
            self._transport.resume_reading()
            self._wait(lingering.Linger(self._stall_seconds, self._loop.time()))
        self._on_close()

    def stop(self) -> None:
        """Stops the timer when the connection has ended."""
        if self._timer is not None:
            self._timer.cancel()

    def undelivered_bytes(self) -> int:
        """Returns how many bytes the caller has not acknowledged."""
        return send_queues.undelivered_bytes(
            self._transport, _log_unknown_queue
        )

    def cut_off(self) -> None:
        """Ends the connection of a caller that does not read its response."""
        logging.log_every_n_seconds(
            logging.WARNING,
            "%s cut off a connection with %d bytes that its caller has not"
            " received.",
            _LOG_SECONDS,
            _PREFIX,
            self.undelivered_bytes(),
        )
        self._transport.abort()

    def _wait(self, linger: lingering.Linger) -> None:
        undelivered = self.undelivered_bytes()
        seconds = linger.wait(undelivered, self._loop.time())
        if seconds:
            self._timer = self._loop.call_later(seconds, self._wait, linger)
        elif undelivered:
            self.cut_off()
        else:
            self._transport.abort()


def _log_unknown_queue(error: OSError) -> None:
    logging.log_first_n(
        logging.WARNING,
        "%s the kernel does not report its send queues: %s",
        1,
        _PREFIX,
        error,
    )
