"""HTTP/1.1 client with connection pooling for targets, the store and peers.

This module never retries: it writes each request once. If a request names a
header for its response to echo, a response without it is discarded. Bytes that
arrive on a connection without a pending request close the connection.

A target may send a copy of an earlier response where the response to the next
request is expected. The echo tells the two apart, unless the same request is
sent again. Therefore a repeated request never uses a connection on which its
first response, which was not a success, has arrived.
"""

import asyncio
import collections
from collections.abc import AsyncGenerator
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import socket
import struct

import httptools

from mimosastile_core import response_statuses
from mimosastile_core.gateway import body_buffer
from mimosastile_core.gateway import held_bytes
from mimosastile_core.gateway import reachability
from mimosastile_gateway import connection_attempts
from mimosastile_gateway import traffic

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Hop-by-hop headers, which are never forwarded."""
_MAX_IDLE_CONNECTIONS = 64
"""Idle connections kept per address."""
_STREAM_BUFFER_BYTES = 2 << 20
"""Bytes of a response buffered before reading pauses: twice the size up to
which responses are buffered whole."""
_SHORT_BUFFER_BYTES = 64 << 10
"""The same while memory is short."""
_WRITE_BUFFER_BYTES = 64 << 10
"""Bytes of a request buffered for a target that reads slowly."""
_MAX_HEAD_BYTES = 64 << 10
"""Largest head of a response, its trailers included."""
_HEADER_OVERHEAD_BYTES = 4
"""Bytes of a header line besides its name and value."""
_MAX_OVERHEAD_BYTES = 1 << 20
"""Bytes of a response beyond twice its body: an unfinished head, interim or
late responses, the framing of very small chunks."""
_MAX_DISCARDED_RESPONSES = 256
"""Interim and late responses that are discarded while a request is pending.
Parsing an endless series of them would delay all other requests."""
_PIECE_OVERHEAD_BYTES = 64
"""Counted for each piece of a body, as the work of parsing it."""
_CALL_BODY_BYTES = 4 << 20
"""Largest body of a response to one of the gateway's own calls."""
_KEEP_ALIVE_SHARE = 0.6
"""Part of the timeout announced by Keep-Alive within which a connection may be
reused."""
_REMEMBERED_FAILURES = 32
"""Requests that failed on a connection and are not repeated on it. A copy of a
response arrives where one of the next responses is expected."""
_READ_BUFFER = bytearray(64 << 10)
"""Shared by all connections: what was read is copied before the next read. It
bounds what one connection receives at a time."""
_LINGER_RESET = struct.pack("ii", 1, 0)
_NO_BODY = frozenset({204, 304})

Echo = tuple[bytes, bytes | None]
"""Name of a header and its value in the response that belongs to a request; no
value if responses with the header belong to other requests."""


class NotSentError(Exception):
    """No byte of the request was sent.

    Attributes:
        hung: Whether an attempt to connect timed out rather than being refused.
    """

    def __init__(self, message: str, *, hung: bool = False) -> None:
        super().__init__(message)
        self.hung = hung


class ResponseLostError(Exception):
    """The request was sent, but no complete response arrived."""


class _ParsingEndedError(Exception):
    """Nothing more is read from a connection; ends parsing in a callback."""


class ForeignResponseError(ResponseLostError):
    """A response arrived that may belong to an earlier request."""


class IncomingResponse:
    """A response, which fills while it is received.

    Attributes:
        status: HTTP status.
        headers: Names in lower case with values, as received.
        body: The part of the body that was received and not taken yet.
        received_bytes: Size of the body received so far.
        complete: Whether the whole response was received.
        reused: Whether its connection had served another request before. Only
            without one is a response that echoes nothing certain to belong to
            its request.
    """

    __slots__ = (
        "body",
        "complete",
        "headers",
        "_held",
        "reused",
        "received_bytes",
        "status",
    )

    def __init__(
        self, *, reused: bool, held: held_bytes.HeldBytes | None = None
    ) -> None:
        """Creates a response of which nothing was received.

        Args:
            reused: Whether its connection had served another request before.
            held: Counts the buffered bytes; None if nobody counts them.
        """
        self._held = held or held_bytes.HeldBytes()
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = body_buffer.BodyBuffer()
        self.received_bytes = 0
        self.complete = False
        self.reused = reused

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, None if there is none."""
        return next((v for n, v in self.headers if n == name), None)

    def append(self, piece: bytes) -> None:
        """Appends received bytes of the body."""
        self.body.append(piece)
        self.received_bytes += len(piece)
        self._held.add_received(len(piece))

    def take(self) -> bytes:
        """Removes the buffered bytes of the body and returns them."""
        self._held.add_received(-self.body.size)
        return self.body.take()

    def take_block(self) -> bytes:
        """Removes the first buffered bytes of the body and returns them."""
        block = self.body.take_block()
        self._held.add_received(-len(block))
        return block

    def discard(self) -> None:
        """Drops the buffered bytes of the body."""
        self._held.add_received(-self.body.size)
        self.body.clear()


class Connection(asyncio.BufferedProtocol):
    """One connection, with at most one pending request.

    Attributes:
        held: Counts the bytes buffered for and from the remote end.
        on_response: Called with the address for the head of each response.
        on_unmatched: Called for each response that belongs to no pending
            request.
        traffic: Counts the bytes of the connection.
    """

    __slots__ = (
        "_address",
        "_closing",
        "_expected_echo",
        "_error",
        "_failed_echoes",
        "_head_bytes",
        "_headers",
        "_idle_since",
        "_discarded_count",
        "_discarding",
        "_latest",
        "_loop",
        "_no_body",
        "_overhead_bytes",
        "_until_close",
        "_parser",
        "_paused",
        "_response",
        "_reuse_seconds",
        "_sending_bytes",
        "_received",
        "_sent",
        "_served",
        "_transport",
        "_unsent",
        "_waiter",
        "_writable",
        "held",
        "on_response",
        "on_unmatched",
        "traffic",
    )

    def __init__(self, address: str) -> None:
        """Creates the protocol before its transport is connected.

        Args:
            address: Host and port, for error messages.
        """
        self._address = address
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._response: IncomingResponse | None = None
        self._latest: IncomingResponse | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._overhead_bytes = 0
        self._unsent: collections.deque[memoryview] = collections.deque()
        self._sending_bytes = 0
        self._writable = True
        self._waiter: asyncio.Future[None] | None = None
        self._error: str | None = None
        self._expected_echo: Echo | None = None
        self._failed_echoes: collections.deque[Echo] = collections.deque(
            maxlen=_REMEMBERED_FAILURES
        )
        self._discarding = False
        self._discarded_count = 0
        self._no_body = False
        self._until_close = False
        self._closing = False
        self._paused = False
        self._served = 0
        self._idle_since = 0.0
        self._reuse_seconds = float("inf")
        self.held = held_bytes.HeldBytes()
        self.traffic = traffic.Traffic()
        self.set_purpose(traffic.REQUESTS)
        self.on_response: Callable[[str], None] = _ignore_response
        self.on_unmatched: Callable[[], None] = _ignore_unmatched

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent."""
        return not self._closing and self._response is None

    def set_purpose(
        self, purpose: str, region: str = traffic.UNKNOWN_REGION
    ) -> None:
        """Sets what the bytes from now on are counted as.

        Args:
            purpose: `traffic.REQUESTS`, or the purpose of an own call.
            region: Region of the remote end.
        """
        self._sent = traffic.Series(purpose, traffic.SENT, region)
        self._received = traffic.Series(purpose, traffic.RECEIVED, region)

    def idle_seconds(self, now: float) -> float:
        """Returns for how many seconds the connection has been idle."""
        return now - self._idle_since

    def is_fresh(self, now: float, idle: float) -> bool:
        """Returns whether its idle time still allows reuse.

        Args:
            now: Time of the event loop.
            idle: Maximum idle time in seconds.
        """
        return self.idle_seconds(now) < min(idle, self._reuse_seconds)

    def has_failed(self, echo: Echo) -> bool:
        """Whether a response to the same request was not a success."""
        return echo in self._failed_echoes

    def start(
        self,
        data: bytes,
        echo: Echo | None = None,
        *,
        no_body: bool = False,
    ) -> IncomingResponse:
        """Sends a request.

        Args:
            data: Head and body of the request.
            echo: Header, with value, that the response must carry, or must
                not carry if there is no value.
            no_body: Whether the response has no body even if its head
                announces one, as for HEAD.

        Returns:
            The response, which fills while it is received.

        Raises:
            NotSentError: The connection is closed.
        """
        transport = self._transport
        if transport is None or self._closing or transport.is_closing():
            raise NotSentError(f"{self._address}: closed while idle")
        self._response = response = IncomingResponse(
            reused=self._served > 0, held=self.held
        )
        self._latest = response
        self._overhead_bytes = 0
        self._discarded_count = 0
        self._served += 1
        self._expected_echo = echo
        self._no_body = no_body
        self._write(transport, data)
        return response

    def send_body(self, blocks: Sequence[bytes | bytearray]) -> None:
        """Sends the body of the started request as fast as it is read.

        Args:
            blocks: The body, of which no copy is made.
        """
        self._unsent.extend(map(memoryview, blocks))
        self._write_body()

    async def wait_complete(
        self, response: IncomingResponse, most: int
    ) -> None:
        """Waits until a response is complete or its body exceeds `most` bytes.

        Returns earlier if its body is received no further while memory is
        short.

        Raises:
            ResponseLostError: The connection ended or failed before.
        """
        while (
            not response.complete
            and response.received_bytes <= most
            and not self._paused
        ):
            await self._wait()

    async def receive_whole(
        self, response: IncomingResponse, most: int
    ) -> None:
        """Waits until a response is complete.

        Raises:
            ResponseLostError: The connection ended or failed before, or the
                body exceeds `most` bytes.
        """
        while not response.complete:
            if response.received_bytes > most:
                raise ResponseLostError(
                    f"{self._address}: the body exceeds {most} bytes"
                )
            self._resume()
            await self._wait()

    async def read_chunk(self, response: IncomingResponse) -> bytes:
        """Waits for the next bytes of a body; returns none at its end.

        Raises:
            ResponseLostError: The connection ended or failed before.
        """
        while not response.body and not response.complete:
            self._resume()
            await self._wait()
        return response.take_block()

    def detect_dead_peer(self, silent_timeout_ms: int) -> None:
        """Makes the kernel detect that the remote end is unreachable.

        Args:
            silent_timeout_ms: Milliseconds of unacknowledged data after which
                the kernel ends the connection.
        """
        if self._transport is not None:
            _set_keepalive(
                self._transport.get_extra_info("socket"), silent_timeout_ms
            )

    def abort(self) -> None:
        """Resets the connection and drops what is left of its response.

        A reset drops bytes that are not delivered yet, so an order whose
        caller has given up is not delivered later.
        """
        if self._latest is not None:
            self._latest.discard()
        self._reset()

    def close(self) -> None:
        """Closes the connection."""
        self._closing = True
        self._unsent.clear()
        if self._transport is not None:
            self._transport.close()

    def _reset(self) -> None:
        self._closing = True
        self._unsent.clear()
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
                )
        self._transport.abort()

    async def _wait(self) -> None:
        if self._error is not None:
            raise ResponseLostError(self._error)
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _write(
        self, transport: asyncio.Transport, data: bytes | memoryview
    ) -> None:
        transport.write(data)
        self.traffic.add(self._sent, len(data))
        self._count_sending()

    def _write_body(self) -> None:
        """Writes the body of a request until the transport's buffer is full."""
        transport = self._transport
        while self._unsent and self._writable and transport is not None:
            block = self._unsent.popleft()
            if len(block) > _WRITE_BUFFER_BYTES:
                self._unsent.appendleft(block[_WRITE_BUFFER_BYTES:])
            self._write(transport, block[:_WRITE_BUFFER_BYTES])

    def _count_sending(self) -> None:
        transport = self._transport
        size = transport.get_write_buffer_size() if transport else 0
        if size != self._sending_bytes:
            self.held.add_sending(size - self._sending_bytes)
            self._sending_bytes = size

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _fail(self, reason: str) -> None:
        if self._error is None and self._response is not None:
            self._error = f"{self._address}: {reason}"
        self._closing = True
        self._wake()

    def _resume(self) -> None:
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the open connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._idle_since = self._loop.time()
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)

    def pause_writing(self) -> None:
        """Pauses the body of a request."""
        self._writable = False

    def resume_writing(self) -> None:
        """Resumes the body of a request."""
        self._writable = True
        self._count_sending()
        self._write_body()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Returns the buffer to read into."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parses the bytes that were read into the buffer."""
        self.data_received(bytes(memoryview(_READ_BUFFER)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        self.traffic.add(self._received, len(data))
        if self._response is None:
            # No request is pending: a second or late response.
            self.on_unmatched()
            self.close()
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            self._fail("too many responses besides the answer")
            self._reset()
        except httptools.HttpParserError as error:
            # A response that was already complete stays valid, but the
            # connection must not be reused.
            self._fail(f"no answer in the protocol: {error}")
            self._reset()
        if self._response is not None and (
            self._overhead_bytes > _MAX_OVERHEAD_BYTES
            or self._head_bytes > _MAX_HEAD_BYTES
        ):
            self._fail("too many bytes besides the body of the answer")
            self._reset()

    def eof_received(self) -> bool:
        """Completes a response delimited by the end of its connection."""
        if self._until_close and self._response is not None:
            self._finish()
        else:
            self._fail("closed before the answer was whole")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the pending response, if any."""
        self._closing = True
        self._unsent.clear()
        self.held.add_sending(-self._sending_bytes)
        self._sending_bytes = 0
        if self._response is not None:
            self._fail("reset" if exc else "closed")
        # The parser refers to this object. Without the cycle, what it has
        # buffered is freed at once.
        del self._parser

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a response.

        Raises:
            _ParsingEndedError: No request is pending.
        """
        if self._response is None:
            self.on_unmatched()
            raise _ParsingEndedError
        self._headers = []
        self._head_bytes = 0
        self._discarding = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self._head_bytes += len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        if self._head_bytes <= _MAX_HEAD_BYTES:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Decides whether this response belongs to the pending request."""
        self.on_response(self._address)
        response = self._response
        status = self._parser.get_status_code()
        if response is None or self._discarding or self._error is not None:
            self._discarding = self._closing = True
            return
        if not response_statuses.is_valid(status):
            self._discarding = True
            self._fail(f"status {status:03d} is not within 100 to 599")
            return
        headers = dict(self._headers)
        if status < 200 or not self._matches_echo():
            # An interim response, or a late one to an earlier request. The
            # response to the pending request follows.
            self._discarding = True
            self._discarded_count += 1
            if self._discarded_count > _MAX_DISCARDED_RESPONSES:
                raise _ParsingEndedError
            if status >= 200:
                self.on_unmatched()
            if status >= 200 and _ends_at_close(headers, status):
                self._fail("unterminated response to another request")
            return
        self._closing = self._closing or not self._parser.should_keep_alive()
        self._apply_keep_alive(headers)
        self._until_close = (
            _ends_at_close(headers, status) and not self._no_body
        )
        response.headers = self._headers
        response.status = status
        if self._no_body:
            self._closing = True
            self._finish()
        self._wake()

    def on_body(self, body: bytes) -> None:
        """Buffers a piece of a body."""
        response = self._response
        if response is None or self._discarding or self._error is not None:
            return
        response.append(body)
        self._overhead_bytes = max(
            self._overhead_bytes + _PIECE_OVERHEAD_BYTES - 2 * len(body), 0
        )
        most = _SHORT_BUFFER_BYTES if self.held.short else _STREAM_BUFFER_BYTES
        if response.body.size > most:
            self._pause()
        self._wake()

    def on_message_complete(self) -> None:
        """Completes a response."""
        if self._response is None or self._discarding:
            self._discarding = False
            return
        self._finish()

    def _pause(self) -> None:
        if not self._paused and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()

    def _finish(self) -> None:
        response = self._response
        if response is None:
            return
        response.complete = True
        self._response = None
        self._until_close = False
        self._resume()
        self._idle_since = self._loop.time()
        echo = self._expected_echo
        if echo is not None and echo[1] is not None and response.status >= 300:
            self._failed_echoes.append(echo)
        self._count_sending()
        if self._sending_bytes or self._unsent:
            # The response arrived before the whole request was written. The
            # rest of the request still goes out, so the connection must not be
            # reused.
            self._closing = True
        self._wake()

    def _matches_echo(self) -> bool:
        if self._expected_echo is None:
            return True
        name, value = self._expected_echo
        expected = set() if value is None else {value}
        return {v for n, v in self._headers if n == name} == expected

    def _apply_keep_alive(self, headers: dict[bytes, bytes]) -> None:
        for part in headers.get(b"keep-alive", b"").split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self._reuse_seconds = int(number) * _KEEP_ALIVE_SHARE


def _ends_at_close(headers: dict[bytes, bytes], status: int) -> bool:
    if status in _NO_BODY or status < 200:
        return False
    chunked = b"chunked" in headers.get(b"transfer-encoding", b"").lower()
    return b"content-length" not in headers and not chunked


class Pool:
    """Pool of idle connections, by address.

    Attributes:
        held: Counts the bytes buffered for and from the remote ends.
        on_attempt: Called with the address, the outcome and the duration in
            seconds of each attempt to open a connection.
        on_response: Called with the address for the head of each response.
        traffic: Counts the bytes of all connections.
    """

    __slots__ = (
        "_attempts",
        "_idle",
        "_opened",
        "_silent_timeout_ms",
        "_unmatched",
        "held",
        "on_attempt",
        "on_response",
        "traffic",
    )

    def __init__(self, silent_timeout: float) -> None:
        """Creates an empty pool.

        Args:
            silent_timeout: Seconds of unacknowledged data after which the
                kernel ends a connection. Without it, a dead connection would
                look like a slow target for minutes.
        """
        self._attempts = connection_attempts.ConnectionAttempts(
            self._open, self.release
        )
        self._idle: dict[str, list[Connection]] = {}
        self._opened = 0
        self._unmatched = 0
        self._silent_timeout_ms = int(silent_timeout * 1000)
        self.held = held_bytes.HeldBytes()
        self.on_attempt: Callable[[str, reachability.Outcome, float], None] = (
            _ignore_attempt
        )
        self.on_response: Callable[[str], None] = _ignore_response
        self.traffic = traffic.Traffic()

    @property
    def opened(self) -> int:
        """Number of connections opened so far."""
        return self._opened

    @property
    def unmatched(self) -> int:
        """Number of responses so far that belonged to no pending request."""
        return self._unmatched

    def count_unmatched(self) -> None:
        """Counts a response that belonged to no pending request."""
        self._unmatched += 1

    async def connect(
        self,
        address: str,
        idle: float,
        timeout: float,
        echo: Echo | None = None,
        *,
        keep_connecting: bool = False,
    ) -> Connection:
        """Returns an idle connection or a new one.

        Args:
            address: Host and port.
            idle: Maximum idle time in seconds of a connection that is reused.
            timeout: Connect timeout in seconds for a new one.
            echo: Echo of the request that the connection is for. One on which
                the same request has failed is not used.
            keep_connecting: Whether an attempt goes on after the timeout, for
                the next request to the address.

        Raises:
            NotSentError: No connection could be opened.
        """
        now = asyncio.get_running_loop().time()
        connection = self._take_idle(address, idle, now, echo)
        if connection is None and keep_connecting:
            connection = await self._open_for_next(address, timeout)
        elif connection is None:
            connection = await self._open(address, timeout)
        connection.set_purpose(
            traffic.REQUESTS, self.traffic.region_of(address)
        )
        return connection

    def _take_idle(
        self, address: str, idle: float, now: float, echo: Echo | None
    ) -> Connection | None:
        """Removes the latest usable idle connection from the pool."""
        kept = self._idle.get(address)
        avoided = []
        found = None
        while kept and found is None:
            connection = kept.pop()
            if connection.reusable and connection.is_fresh(now, idle):
                if echo is not None and connection.has_failed(echo):
                    avoided.append(connection)
                else:
                    found = connection
            elif not connection.reusable or connection.idle_seconds(now) > idle:
                connection.close()
        if kept is not None:
            kept.extend(reversed(avoided))
        return found

    async def connect_new(self, address: str, timeout: float) -> Connection:
        """Returns a new connection even if there are idle ones.

        Args:
            address: Host and port.
            timeout: Connect timeout in seconds.

        Raises:
            NotSentError: No connection could be opened.
        """
        return await self._open(address, timeout)

    async def stream(
        self, connection: Connection, response: IncomingResponse, address: str
    ) -> AsyncGenerator[bytes, None]:
        """Yields the rest of a response's body, then releases its connection.

        Args:
            connection: The connection on which the response arrives.
            response: The response.
            address: Host and port of the connection.

        Raises:
            ResponseLostError: The connection ended or failed before.
        """
        complete = False
        try:
            while chunk := await connection.read_chunk(response):
                yield chunk
            complete = True
        finally:
            response.discard()
            if complete:
                self.release(connection, address)
            else:
                connection.abort()

    def release(self, connection: Connection, address: str) -> None:
        """Returns a connection to the pool; closes one that is not reusable."""
        kept = self._idle.setdefault(address, [])
        if connection.reusable and len(kept) < _MAX_IDLE_CONNECTIONS:
            kept.append(connection)
        else:
            connection.close()

    def close_idle(self, address: str) -> None:
        """Closes all idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def trim(self, idle: float) -> None:
        """Closes connections that were idle for more than `idle` seconds."""
        now = asyncio.get_running_loop().time()
        for address, kept in list(self._idle.items()):
            fresh = [
                c for c in kept if c.reusable and c.idle_seconds(now) < idle
            ]
            for connection in kept:
                if connection not in fresh:
                    connection.close()
            if fresh:
                self._idle[address] = fresh
            else:
                del self._idle[address]

    def close(self) -> None:
        """Closes all idle connections and ends attempts to open others."""
        self._attempts.close()
        for address in list(self._idle):
            self.close_idle(address)

    def _new_connection(self, address: str) -> Connection:
        return Connection(address)

    async def _open_for_next(self, address: str, timeout: float) -> Connection:
        """Opens a connection; without one in time, the next request gets it."""
        try:
            return await self._attempts.first(address, timeout)
        except TimeoutError as error:
            raise NotSentError(
                _timeout_reason(address, timeout), hung=True
            ) from error

    async def _open(self, address: str, timeout: float) -> Connection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(
                    lambda: self._new_connection(address), host, int(port)
                )
        except asyncio.CancelledError:
            seconds = loop.time() - began
            self.on_attempt(address, reachability.Outcome.HUNG, seconds)
            raise
        except Exception as error:
            # Such as OverflowError for a port and UnicodeError for a host.
            timed_out = isinstance(error, TimeoutError)
            outcome = (
                reachability.Outcome.HUNG
                if timed_out
                else reachability.Outcome.REFUSED
            )
            self.on_attempt(address, outcome, loop.time() - began)
            why = (
                _timeout_reason(address, timeout)
                if timed_out
                else f"{address}: {str(error) or type(error).__name__}"
            )
            raise NotSentError(why, hung=timed_out) from error
        self._opened += 1
        connection.on_response = self.on_response
        connection.on_unmatched = self.count_unmatched
        connection.held = self.held
        connection.traffic = self.traffic
        seconds = loop.time() - began
        self.on_attempt(address, reachability.Outcome.CONNECTED, seconds)
        connection.detect_dead_peer(self._silent_timeout_ms)
        return connection


def _timeout_reason(address: str, timeout: float) -> str:
    return f"{address}: no connection in {timeout:g} s"


def _ignore_attempt(
    address: str, outcome: reachability.Outcome, seconds: float
) -> None:
    """Ignores the outcome of a connection attempt."""


def _ignore_response(address: str) -> None:
    """Ignores a response."""


def _ignore_unmatched() -> None:
    """Ignores a response that belongs to no request."""


def _set_keepalive(sock: socket.socket | None, silent_timeout_ms: int) -> None:
    """Makes the kernel detect that the remote end is unreachable."""
    if sock is None:
        return
    options: Iterable[tuple[int, int, int]] = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silent_timeout_ms),
    )
    with contextlib.suppress(OSError):
        for level, option, value in options:
            sock.setsockopt(level, option, value)


class Response:
    """A complete response.

    Attributes:
        status: HTTP status.
        headers: Names in lower case with values.
        body: The whole body.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, None if there is none."""
        return next((v for n, v in self.headers if n == name), None)


async def call(
    pool: Pool,
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: tuple[tuple[bytes, bytes], ...] = (),
    *,
    timeout: float,
    connect: float,
    idle: float,
    echo: Echo | None = None,
    belongs: Callable[[Response], bool] | None = None,
    new_connection: bool = False,
    keep_connecting: bool = False,
    most: int = _CALL_BODY_BYTES,
) -> Response:
    """Sends one of the gateway's own requests and receives the whole response.

    Args:
        pool: Connection pool.
        address: Host and port.
        method: HTTP method.
        path: Path with query.
        body: JSON body, None for none.
        headers: Additional headers.
        timeout: Seconds to wait for the response.
        connect: Connect timeout in seconds.
        idle: Maximum idle time in seconds of a connection that is reused.
        echo: Header, with value, that the response must carry, or must not
            carry if there is no value.
        belongs: Whether a response certainly belongs to this request; None if
            every response does. Responses on new connections always do.
        new_connection: Whether to use no connection that is open already.
        keep_connecting: Whether an attempt to connect goes on after its
            timeout, for the next call.
        most: Largest body of the response in bytes.

    Raises:
        NotSentError: No byte was sent.
        ForeignResponseError: The response does not certainly belong to this
            request; the connection was reset.
        ResponseLostError: No complete response arrived in time, or its body is
            too large; the connection was reset.
    """
    connection = (
        await pool.connect_new(address, connect)
        if new_connection
        else await pool.connect(
            address, idle, connect, keep_connecting=keep_connecting
        )
    )
    connection.set_purpose(
        traffic.purpose(path), pool.traffic.region_of(address)
    )
    try:
        response = connection.start(
            request(address, method, path, body, headers), echo
        )
        async with asyncio.timeout(timeout):
            await connection.receive_whole(response, most)
    except TimeoutError:
        connection.abort()
        raise ResponseLostError(f"{address}: response timed out") from None
    except BaseException:
        connection.abort()
        raise
    complete = Response(response.status, response.headers, response.take())
    if response.reused and belongs is not None and not belongs(complete):
        # The response to this request may still follow on the connection.
        pool.count_unmatched()
        connection.abort()
        raise ForeignResponseError(
            f"{address}: response {complete.status} may belong to an earlier"
            " request"
        )
    pool.release(connection, address)
    return complete


def request(
    host: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: Iterable[tuple[bytes, bytes]] = (),
) -> bytes:
    """Encodes a request with a JSON body or none."""
    lines = [
        f"{method} {path} HTTP/1.1".encode("latin-1"),
        b"Host: " + host.encode(),
        *(name + b": " + value for name, value in headers),
    ]
    if body is not None:
        lines.append(b"Content-Type: application/json")
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")
