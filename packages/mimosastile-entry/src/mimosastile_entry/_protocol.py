"""HTTP server protocol: limits for slow, oversized or disconnected callers."""

import asyncio
import collections
from typing import Any
from typing import cast

from absl import logging
import msgspec
from uvicorn.protocols.http import httptools_impl

from mimosastile_core import connection_limits
from mimosastile_core import errors
from mimosastile_core import input_limits
from mimosastile_core import lingering
from mimosastile_core import unfinished_heads
from mimosastile_entry import _lingering

_STATE_KEY = "mimosastile.work"
_PREFIX = "listeners:"
_LOG_SECONDS = 1.0
"""Least time between two log lines on callers that were refused."""
_MAX_PIPELINED = 8
"""Number of pipelined requests per connection at which reading stops."""

_READ_BUFFER = memoryview(bytearray(input_limits.READ_BYTES))
"""Shared by all connections: what was read is copied before the next read."""
_REASONS = {
    400: b"Bad Request",
    408: b"Request Timeout",
    431: b"Request Header Fields Too Large",
    503: b"Service Unavailable",
}


class Work:
    """Holder of the task that serves a connection's current request."""

    __slots__ = ("task",)

    def __init__(self) -> None:
        self.task: asyncio.Task[Any] | None = None

    def cancel(self) -> None:
        """Cancels the task if it is still serving a request."""
        task, self.task = self.task, None
        if task is not None:
            task.cancel()


def begin(scope: Any) -> Work:
    """Registers the current task as serving until `task` is cleared.

    Args:
        scope: The request's ASGI scope.

    Returns:
        The work of the request's connection.
    """
    work: Work = scope.get("state", {}).get(_STATE_KEY) or Work()
    work.task = asyncio.current_task()
    return work


class Protocol(httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol):
    """A connection that enforces limits on slow or oversized callers.

    Attributes:
        head_bytes: Maximum size of a request head, in bytes.
        head_seconds: Timeout for receiving a request head.
        stall_seconds: Timeout for a caller that stops reading.
        heads: Counts the memory of heads whose requests are not served yet, on
            all connections of the listener.
        connection_limit: Bounds the connections of the listener.
    """

    heads: "unfinished_heads.UnfinishedHeads[Protocol]"
    connection_limit: "connection_limits.ConnectionLimit[Protocol]"
    head_bytes = 64 << 10
    head_seconds = 10.0
    stall_seconds = 30.0

    def __init__(self, *args: Any, **keywords: Any) -> None:
        """Initializes the connection; the server passes the arguments."""
        super().__init__(*args, **keywords)
        self._work = Work()
        self.app_state = {**self.app_state, _STATE_KEY: self._work}
        self._closing = False
        self._in_head = False
        self._in_body = False
        self._unparsed = input_limits.UnparsedBytes()
        self._trailer_size = 0
        self._waiting_costs: collections.deque[int] = collections.deque()
        self._head_timer: asyncio.TimerHandle | None = None
        self._stall_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Starts the timer for the first head."""
        self._closing_transport = _lingering.LingeringTransport(
            transport, self.stall_seconds, self._on_close
        )
        super().connection_made(
            cast(asyncio.Transport, self._closing_transport)
        )
        self._start_head_timer()
        owner = self.client[0] if self.client else ""
        evicted = self.connection_limit.open(self, owner)
        if evicted is not None:
            logging.log_every_n_seconds(
                logging.WARNING,
                "%s closed a connection for a new one; %d are open.",
                _LOG_SECONDS,
                _PREFIX,
                len(self.connection_limit),
            )
            evicted.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the work for a caller that has disconnected."""
        self._stop_head_timer()
        self._stop_stall_timer()
        self._closing_transport.stop()
        super().connection_lost(exc)
        # The library reports the disconnection only to the latest of several
        # pipelined requests, and only at its next receive. A slot would stay
        # occupied for a caller that never reads the response.
        self._work.cancel()
        self.pipeline.clear()
        self.heads.release(self)
        self.connection_limit.close(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer to read into."""
        return _READ_BUFFER[: self._unparsed.read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Parses the bytes that were read into the buffer."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parses data and enforces the limits on what has no end."""
        if self.transport.is_closing():
            return
        super().data_received(data)
        # A caller that sends its head byte by byte, or endlessly, would hold
        # a connection and memory indefinitely; the library has no limit.
        self._unparsed.record_input(len(data))
        most = self.head_bytes + input_limits.FRAMING_BYTES
        if self._unparsed.count > most and self._in_head:
            self._refuse(431, errors.ErrorKind.HEADERS_TOO_LARGE)
        elif self._unparsed.count > most:
            self.transport.close()
        elif self._in_head or (self._is_idle() and not self._in_body):
            if self._head_timer is None:
                self._start_head_timer()
        elif not self._in_body:
            self._stop_head_timer()
        self._count_heads()

    def refuse_for_memory(self) -> None:
        """Ends the connection for want of memory for its heads."""
        logging.log_every_n_seconds(
            logging.WARNING,
            "%s refused a head; others hold %d bytes.",
            _LOG_SECONDS,
            _PREFIX,
            self.heads.total,
        )
        self._refuse(503, errors.ErrorKind.OVERLOADED)

    def on_message_begin(self) -> None:
        """Marks the start of a request head."""
        super().on_message_begin()
        self._in_head = True
        self._trailer_size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; drops a trailer, as its request is served already.

        The library would add it to the headers of the request in service.
        """
        if self._in_head:
            super().on_header(name, value)
            return
        self._trailer_size += len(name) + len(value)
        if self._trailer_size > self.head_bytes:
            self._refuse(431, errors.ErrorKind.HEADERS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Marks the end of the head and starts serving the request."""
        self._unparsed.record_part()
        self._in_head = False
        self._in_body = True
        self._stop_head_timer()
        self.connection_limit.begin(self)
        waiting = len(self.pipeline)
        super().on_headers_complete()
        if len(self.pipeline) > waiting:
            self._waiting_costs.append(self._head_cost())
        if 0 < len(self.pipeline) < _MAX_PIPELINED:
            # The library stops reading when a second request arrives before
            # the first response is complete, and then does not detect that
            # the caller disconnects.
            self.flow.resume_reading()
        # The parser reads nothing after a request for a protocol upgrade, so
        # that the next request would never be served.
        if self._closing or self.parser.should_upgrade():
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Buffers a piece of a body."""
        self._unparsed.record_part()
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Marks the end of the request body."""
        self._unparsed.record_part()
        self._in_body = False
        self._stop_head_timer()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Limits the time to discard an upload after its response."""
        waiting = len(self.pipeline)
        super().on_response_complete()
        if len(self.pipeline) < waiting:
            self._waiting_costs.popleft()
            self._count_heads()
        elif not waiting and not self.transport.get_write_buffer_size():
            self.connection_limit.end(self)
        if self._in_body and not self.transport.is_closing():
            # The rest of a refused upload is read and discarded, so that the
            # response is not lost in a connection reset; the head timeout
            # bounds this.
            self._stop_head_timer()
            self._start_head_timer()

    def pause_writing(self) -> None:
        """Starts the stall timer for a caller that reads too slowly."""
        super().pause_writing()
        # A caller that stops reading would hold its slot indefinitely. A timer
        # started only here adds no cost to all other connections.
        self._cut_off_unless_read(lingering.Progress())

    def _cut_off_unless_read(self, progress: lingering.Progress) -> None:
        """Cuts off a caller that has received nothing since the last look."""
        closing = self._closing_transport
        if progress.record(closing.undelivered_bytes()):
            self._stall_timer = self.loop.call_later(
                self.stall_seconds, self._cut_off_unless_read, progress
            )
        else:
            closing.cut_off()

    def resume_writing(self) -> None:
        """Stops the stall timer; the caller reads again."""
        self._stop_stall_timer()
        super().resume_writing()
        if self._is_idle():
            self.connection_limit.end(self)

    def shutdown(self) -> None:
        """Closes an idle connection, a busy one after its response."""
        if self._in_head:
            # A request whose head is being received is still served; if it
            # were cut off here, its caller could not tell whether it ran.
            self._closing = True
            return
        super().shutdown()

    def send_400_response(self, msg: str) -> None:
        """Refuses input that is not a valid request."""
        del msg
        self._refuse(400, errors.ErrorKind.BAD_REQUEST)

    def _on_close(self) -> None:
        """Ends the work for a response that can't be sent any more."""
        self._stop_head_timer()
        self.connection_limit.end(self)
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            cycle.disconnected = True
            cycle.message_event.set()
            self._work.cancel()

    def _head_cost(self) -> int:
        """Returns the memory of the latest head, or of its part so far."""
        parsed = sum(len(name) + len(value) for name, value in self.headers)
        size = max(len(self.url) + parsed, self._unparsed.count)
        return unfinished_heads.head_cost(size, len(self.headers))

    def _count_heads(self) -> None:
        """Counts the memory of heads whose requests are not served yet."""
        cost = sum(self._waiting_costs)
        if self._in_head:
            cost += self._head_cost()
        if not cost or self.transport.is_closing():
            self.heads.release(self)
            return
        for connection in self.heads.hold(self, cost):
            connection.refuse_for_memory()

    def _is_idle(self) -> bool:
        return self.cycle is None or self.cycle.response_complete

    def _start_head_timer(self) -> None:
        self._head_timer = self.loop.call_later(
            self.head_seconds, self._on_head_timeout
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        if self._in_head:
            self._refuse(408, errors.ErrorKind.REQUEST_TIMEOUT)
        # Without a request, no response is due: the caller would take data on
        # an idle connection for the response to its next request.
        self.transport.close()

    def _refuse(self, status: int, kind: errors.ErrorKind) -> None:
        if self.transport.is_closing():
            return
        if self._is_idle():
            failure = errors.Failure(kind)
            body = msgspec.json.encode(errors.refusal(failure, ""))
            reason = _REASONS[status]
            wait = (
                b"retry-after: %g\r\n" % failure.wait if failure.wait else b""
            )
            self.transport.write(
                b"HTTP/1.1 %d %s\r\ncontent-type: application/json\r\n%s"
                b"content-length: %d\r\nconnection: close\r\n\r\n%s"
                % (status, reason, wait, len(body), body)
            )
        # During a response, no second one can be sent: the caller would take
        # it for the rest of the first.
        self.transport.close()
        self._drop_heads()

    def _drop_heads(self) -> None:
        """Frees the heads of a connection that is closed.

        The event loop reports its end only after all other input that is
        ready, which may be as many heads as there are connections.
        """
        if self._in_head:
            self.headers.clear()
        self.pipeline.clear()
        self._waiting_costs.clear()


def bounded(
    head_bytes: int,
    head_seconds: float,
    stall_seconds: float,
    waiting_head_bytes: int = 0,
    most_connections: int = 0,
) -> type[Protocol]:
    """Returns a protocol class with the given limits.

    Args:
        head_bytes: Maximum size of a request head, in bytes.
        head_seconds: Timeout for receiving a request head.
        stall_seconds: Timeout for a caller that stops reading.
        waiting_head_bytes: Memory for heads whose requests are not served yet,
            on all connections together; 0 for no bound.
        most_connections: Largest number of connections, 0 for no bound.
    """
    return type(
        "BoundedProtocol",
        (Protocol,),
        {
            "head_bytes": head_bytes,
            "head_seconds": head_seconds,
            "stall_seconds": stall_seconds,
            "heads": unfinished_heads.UnfinishedHeads(waiting_head_bytes),
            "connection_limit": connection_limits.ConnectionLimit(
                most_connections
            ),
        },
    )
