"""HTTP/1.1 server for callers, the load balancer and peers."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import http
import socket
from typing import Any

import httptools

from mimosastile_core import connection_limits
from mimosastile_core import input_limits
from mimosastile_core import lingering
from mimosastile_core import send_queues
from mimosastile_core import unfinished_heads
from mimosastile_core.gateway import body_buffer
from mimosastile_core.gateway import held_bytes
from mimosastile_core.gateway import routes
from mimosastile_gateway import events

_BACKLOG = 1024
"""Connections that may wait to be accepted. A full queue delays each further
caller by a second, after which its SYN packet is retransmitted."""
_MAX_PIPELINED = 8
"""Requests that may wait on one connection. One more closes the connection
after the response in progress."""
_WRITE_BUFFER_BYTES = 64 << 10
"""Bytes buffered for a slow caller before its responses pause."""
_UNSENT_BYTES = 128 << 10
"""Bytes in the kernel beyond those that a caller has room for. The kernel would
take megabytes of responses to requests sent ahead, and a daemon that stops
would have to wait until its callers have received all of them."""
_SLOW_READ_SECONDS = 0.5
"""Time for reading a response from which on a caller of a stopping daemon gets
no further one on its connection."""
_MEMORY_RETRY_AFTER = ((b"retry-after", b"1"),)
"""Headers of a refusal for want of memory: slow callers hold theirs for
seconds."""
_HELD_STEP_BYTES = 4 << 10
"""Least number of bytes by which a body in chunks grows in the account of held
bytes. Counting each of very small chunks takes longer than parsing it."""
_READ_BUFFER = memoryview(bytearray(input_limits.READ_BYTES))
"""Shared by all connections: what was read is copied before the next read."""
_REASONS = {s.value: s.phrase.encode() for s in http.HTTPStatus}


class Request:
    """A received request.

    Attributes:
        method: HTTP method.
        target: Path with query, as received.
        headers: Names in lower case with values, as received.
        body_blocks: The body in its order.
        head_cost: Memory of the head that is counted as held, in bytes.
        held_bytes: Bytes of the body that are counted as held.
        received_at: Time of the event loop at which its first byte arrived.
        cancellable: Whether its handler is cancelled when the caller
            disconnects.
        disconnected: Whether the caller has disconnected.
        forwarded: Whether another entry VM has forwarded the request; set by
            the handler.
    """

    __slots__ = (
        "received_at",
        "body_blocks",
        "cancellable",
        "head_cost",
        "headers",
        "held_bytes",
        "disconnected",
        "forwarded",
        "method",
        "target",
    )

    def __init__(self, method: str, target: bytes, received_at: float) -> None:
        self.method = method
        self.target = target
        self.headers: list[tuple[bytes, bytes]] = []
        self.body_blocks: Sequence[bytes | bytearray] = ()
        self.head_cost = 0
        self.held_bytes = 0
        self.received_at = received_at
        self.cancellable = True
        self.disconnected = False
        self.forwarded = False

    @property
    def body(self) -> bytes:
        """The whole body; a copy if it has several blocks."""
        return body_buffer.join(self.body_blocks)

    @property
    def body_bytes(self) -> int:
        """Size of the body."""
        return sum(map(len, self.body_blocks))

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, None if there is none."""
        return next((v for n, v in self.headers if n == name), None)


class Response:
    """A response to send.

    Attributes:
        status: HTTP status.
        headers: Headers, without those for framing and the connection.
        body: The whole body, or its beginning.
        body_stream: Bytes that follow `body`; None if `body` is complete. An
            exception from it ends the connection without the last chunk.
        close: Whether the connection is closed after this response.
        stream_deadline: Time of the event loop at which a response that is
            still streamed is cut off; None for never.
    """

    __slots__ = (
        "body",
        "close",
        "headers",
        "body_stream",
        "status",
        "stream_deadline",
    )

    def __init__(
        self,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b"",
        body_stream: AsyncIterator[bytes] | None = None,
        *,
        close: bool = False,
        stream_deadline: float | None = None,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.body_stream = body_stream
        self.close = close
        self.stream_deadline = stream_deadline


Handler = Callable[[Request], Awaitable[Response]]


class Connection(asyncio.BufferedProtocol):
    """One client's connection."""

    __slots__ = (
        "_body",
        "_can_write",
        "_closed",
        "_current",
        "_head_bytes",
        "_head_cost_held",
        "_held_bytes",
        "_incoming",
        "_final",
        "_linger",
        "_loop",
        "_owner",
        "_parser",
        "_progress",
        "_queue",
        "_server",
        "_task",
        "_timer",
        "_transport",
        "_unparsed",
        "_unsent_bytes",
        "_url",
    )

    def __init__(self, server: "Server") -> None:
        """Creates the protocol of one connection to a server."""
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._incoming: Request | None = None
        self._url = b""
        self._body = body_buffer.BodyBuffer()
        self._head_bytes = 0
        self._head_cost_held = 0
        self._held_bytes = 0
        self._unparsed = input_limits.UnparsedBytes()
        self._unsent_bytes = 0
        self._progress = lingering.Progress()
        self._owner = ""
        self._queue: list[tuple[Request, bool]] = []
        self._current: Request | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._closed = False
        self._final = False
        self._linger: lingering.Linger | None = None

    @property
    def lingering(self) -> bool:
        """Whether its sending side is closed, and its caller still reads."""
        return self._linger is not None and not self._closed

    @property
    def busy(self) -> bool:
        """Whether a request is being received or served.

        A request is served until the last byte of its response has left this
        process. Bytes in the transport's buffer are lost at the end of the
        process, so a caller on a slow link would receive a truncated response.
        """
        transport = self._transport
        return (
            self._task is not None
            or (transport is not None and transport.get_write_buffer_size() > 0)
            or bool(self._queue)
            or self._incoming is not None
        )

    def close_if_idle(self) -> None:
        """Closes the connection unless it has a request in progress."""
        if not self.busy:
            self._close()

    def abort(self) -> None:
        """Ends the connection without sending buffered bytes."""
        self._stop_timer()
        if self._transport is not None:
            self._transport.abort()

    def reject_for_memory(self) -> None:
        """Refuses the request that is being received for want of memory."""
        self._server.held.refused += 1
        self._reject(503, _MEMORY_RETRY_AFTER)

    def count_unsent(self) -> None:
        """Counts the bytes of responses that the caller has not read yet."""
        transport = self._transport
        size = (
            transport.get_write_buffer_size()
            if transport is not None and not self._closed
            else 0
        )
        if size != self._unsent_bytes:
            self._server.held.add_unsent(size - self._unsent_bytes)
            self._unsent_bytes = size
            if not size and not self.busy:
                self._server.connection_limit.end(self)

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configures the socket and waits for the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self._owner = str(peer[0]) if peer else ""
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._start_timer(self._server.limits.header_seconds)
        self._server.opened(self, self._owner)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer to read into."""
        return _READ_BUFFER[: self._unparsed.read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Parses the bytes that were read into the buffer."""
        if self._closed or self._final:
            return
        try:
            self._parser.feed_data(bytes(_READ_BUFFER[:nbytes]))
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            if not self._closed:
                self._reject(400)
        self._limit_unparsed(nbytes)
        if self._incoming is not None:
            self._count_head(self._incoming)

    def eof_received(self) -> bool:
        """Treats a half-closed connection as a disconnected caller."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request being served, if it is cancellable."""
        self._closed = True
        self._can_write.set()
        self.count_unsent()
        self._stop_timer()
        self._server.heads.release(self)
        self._server.closed(self)
        self._queue.clear()
        if self._task is None:
            self._release_all()
        current = self._current
        if current is not None:
            current.disconnected = True
        if self._task is not None and (current is None or current.cancellable):
            self._task.cancel()
        # The parser refers to this object. Without the cycle, what it has
        # buffered is freed at once.
        del self._parser

    def pause_writing(self) -> None:
        """Pauses a streamed response."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Resumes a streamed response."""
        self.count_unsent()
        self._can_write.set()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        if self._final:
            # The connection ends with a response that is already decided.
            return
        self._incoming = Request("", b"", self._loop.time())
        self._url = b""
        self._body = body_buffer.BodyBuffer()
        self._head_bytes = 0
        self._start_timer(self._server.limits.header_seconds)

    def on_url(self, url: bytes) -> None:
        """Appends a piece of the request target."""
        self._url += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        if self._incoming is not None:
            self._incoming.headers.append((name.lower(), value))
            self._count_head_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Checks the head of a request; answers `Expect: 100-continue`."""
        self._unparsed.record_part()
        incoming = self._incoming
        if incoming is None:
            return
        incoming.method = self._parser.get_method().decode("ascii")
        incoming.target = self._url
        self._server.heads.release(self)
        length = incoming.header(b"content-length")
        size = int(length) if length is not None and length.isdigit() else 0
        cost = self._head_cost(incoming)
        if size > self._server.limits.body_bytes:
            self._reject(413)
        elif not self._server.admits_request(incoming, size, cost):
            self.reject_for_memory()
        else:
            self._hold_head(incoming, cost)
            self._hold(incoming, size)
            self._answer_expect(incoming)

    def _answer_expect(self, incoming: Request) -> None:
        if (incoming.header(b"expect") or b"").lower() == b"100-continue":
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Buffers a piece of a body."""
        self._unparsed.record_part()
        incoming = self._incoming
        if incoming is None:
            return
        self._body.append(body)
        size = self._body.size
        if size > self._server.limits.body_bytes:
            self._reject(413)
        elif size > incoming.held_bytes:
            # A body in chunks has no announced length.
            growth = max(size - incoming.held_bytes, _HELD_STEP_BYTES)
            self._hold(incoming, growth)
            if not self._server.admits_growth(incoming):
                self.reject_for_memory()

    def on_message_complete(self) -> None:
        """Queues a complete request; requests are served in their order."""
        self._unparsed.record_part()
        incoming = self._incoming
        if incoming is None or self._closed:
            return
        incoming.body_blocks = self._body.blocks
        self._incoming = None
        self._body = body_buffer.BodyBuffer()
        self._stop_timer()
        self._server.connection_limit.begin(self)
        self._queue.append((incoming, self._parser.should_keep_alive()))
        if len(self._queue) > _MAX_PIPELINED:
            self._reject(400)
            return
        if self._task is None:
            self._task = self._loop.create_task(self._serve())

    async def _serve(self) -> None:
        try:
            while self._queue and not self._closed:
                waited = await self._await_reading()
                if self._server.stopping and waited > _SLOW_READ_SECONDS:
                    # Its caller would not receive another response in time.
                    self._final = True
                    break
                incoming, keep_alive = self._queue.pop(0)
                self._current = incoming
                response = await self._respond(incoming)
                self._current = None
                head_only = incoming.method == "HEAD"
                self._release(incoming)
                # The body is not held while the response is sent.
                del incoming
                await self._send_response(
                    response, keep_alive, head_only=head_only
                )
                if self._final:
                    break
        finally:
            self._task = None
            self._current = None
            if self._closed:
                self._release_all()
        if not self._closed:
            if self._final or (self._server.stopping and not self.busy):
                self._close()
                return
            if not self.busy:
                self._server.connection_limit.end(self)
            # The timer of a request that is being received runs on.
            if self._incoming is None:
                self._start_timer(self._server.limits.idle_seconds)

    async def _respond(self, incoming: Request) -> Response:
        """Returns the handler's response, 502 if the handler fails.

        A request may have been passed on by then, so the status promises
        nothing.
        """
        try:
            return await self._server.handle(incoming)
        except Exception as error:
            self._loop.call_exception_handler(
                {"message": "A request's handler failed.", "exception": error}
            )
            return Response(502, close=True)

    async def _await_reading(self) -> float:
        """Waits until the caller has read its earlier responses.

        The connection of a caller that reads nothing is ended.

        Returns:
            Seconds for which it has waited.
        """
        began = self._loop.time()
        progress = lingering.Progress()
        while not self._can_write.is_set():
            undelivered = self._undelivered_bytes()
            if not progress.record(undelivered):
                self._cut_off("unread", undelivered)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._server.limits.idle_seconds):
                    await self._can_write.wait()
        return self._loop.time() - began

    async def _send_response(
        self, response: Response, keep_alive: bool, *, head_only: bool
    ) -> None:
        if self._closed:
            if response.body_stream is not None:
                await _close_stream(response.body_stream)
            return
        self._final = (
            response.close
            or not keep_alive
            or self._final
            or self._server.stopping
        )
        head = _format_head(response, final=self._final, head_only=head_only)
        if response.body_stream is None:
            self._write(head if head_only else head + response.body)
        else:
            self._write(head + _format_chunk(response.body))
            await self._stream(response.body_stream, response.stream_deadline)

    async def _stream(
        self, body_stream: AsyncIterator[bytes], deadline: float | None
    ) -> None:
        try:
            async with asyncio.timeout_at(deadline):
                async for piece in body_stream:
                    await self._can_write.wait()
                    if self._has_ended():
                        return
                    self._write(_format_chunk(piece))
        except Exception:
            # Without the last chunk, the caller detects that the response is
            # incomplete.
            self.abort()
            return
        finally:
            await _close_stream(body_stream)
        self._write(b"0\r\n\r\n")

    def _has_ended(self) -> bool:
        """Whether nothing more can be sent.

        A write that fails ends the connection, but its callback comes only when
        the event loop runs. A stream that never waits would prevent that.
        """
        transport = self._transport
        return self._closed or transport is None or transport.is_closing()

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._server.limits.header_bytes:
            self._reject(431)

    def _limit_unparsed(self, size: int) -> None:
        """Ends a connection whose input the parser takes without an end."""
        self._unparsed.record_input(size)
        most = self._server.limits.header_bytes + input_limits.FRAMING_BYTES
        if self._unparsed.count <= most or self._closed or self._final:
            return
        if self._incoming is not None:
            self._reject(431)
        elif self.busy:
            self._final = True
        else:
            # Without a request, no response is due.
            self._close()

    def _head_cost(self, incoming: Request) -> int:
        """Returns the memory of a request's head, or of its part so far."""
        size = max(self._head_bytes, self._unparsed.count)
        return unfinished_heads.head_cost(size, len(incoming.headers))

    def _count_head(self, incoming: Request) -> None:
        """Counts the memory of an unfinished head, or of trailers."""
        cost = self._head_cost(incoming)
        if not incoming.method:
            for connection in self._server.heads.hold(self, cost):
                connection.reject_for_memory()
        elif cost > incoming.head_cost:
            self._hold_head(incoming, cost)

    def _hold_head(self, incoming: Request, cost: int) -> None:
        """Counts the memory of a request's head as held."""
        growth = cost - incoming.head_cost
        incoming.head_cost = cost
        self._head_cost_held += growth
        self._server.held.add_heads(growth)

    def _hold(self, incoming: Request, size: int) -> None:
        """Counts bytes of a request's body as held."""
        if size:
            incoming.held_bytes += size
            self._held_bytes += size
            self._server.held.hold(self._owner, size)

    def _release(self, incoming: Request) -> None:
        """Counts head and body of a request as no longer held."""
        self._hold_head(incoming, 0)
        if incoming.held_bytes:
            self._held_bytes -= incoming.held_bytes
            self._server.held.release(self._owner, incoming.held_bytes)
            incoming.held_bytes = 0

    def _release_all(self) -> None:
        """Counts heads and bodies of all requests as no longer held."""
        self._server.held.add_heads(-self._head_cost_held)
        self._head_cost_held = 0
        if self._held_bytes:
            self._server.held.release(self._owner, self._held_bytes)
            self._held_bytes = 0

    def _reject(
        self,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> None:
        """Sends a refusal and closes the connection.

        While a response is in progress, the connection is closed behind it.

        Args:
            status: HTTP status.
            headers: Headers of the refusal.
        """
        if self._closed or self._final:
            return
        self._final = True
        self._server.heads.release(self)
        if self._incoming is not None:
            self._release(self._incoming)
            self._incoming = None
        self._body = body_buffer.BodyBuffer()
        self._stop_timer()
        if self._task is None:
            response = Response(status, headers)
            self._write(_format_head(response, final=True, head_only=False))
            self._close()

    def _start_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, self._on_timeout)

    def _on_timeout(self) -> None:
        undelivered = self._undelivered_bytes()
        if self._incoming is not None:
            self._reject(408)
        elif undelivered and not self._progress.record(undelivered):
            self._cut_off("unread", undelivered)
        elif undelivered:
            self._start_timer(self._server.limits.idle_seconds)
        elif not self.busy:
            self._close()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _write(self, data: bytes) -> None:
        if (
            self._transport is not None
            and not self._closed
            and self._linger is None
        ):
            self._transport.write(data)
            self._progress.restart()
            self.count_unsent()

    def _close(self) -> None:
        """Ends the connection when its caller has read all responses."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._linger:
            return
        self._final = True
        self._queue.clear()
        self._release_all()
        self._linger = lingering.Linger(
            self._server.limits.idle_seconds, self._loop.time()
        )
        self._server.connection_limit.end(self)
        try:
            transport.write_eof()
        except OSError:
            # The caller has reset the connection.
            self.abort()
        else:
            self._await_end()

    def _await_end(self) -> None:
        """Waits for the caller to close its side, up to a bound."""
        self._stop_timer()
        if self._linger is None:
            return
        undelivered = self._undelivered_bytes()
        seconds = self._linger.wait(undelivered, self._loop.time())
        if seconds:
            self._timer = self._loop.call_later(seconds, self._await_end)
        elif undelivered:
            self._cut_off("unread at its end", undelivered)
        else:
            self.abort()

    def _undelivered_bytes(self) -> int:
        """Returns how many bytes the caller has not acknowledged."""
        if self._transport is None or self._closed:
            return 0
        return send_queues.undelivered_bytes(
            self._transport, self._server.record_unknown_queue
        )

    def _cut_off(self, why: str, undelivered_bytes: int) -> None:
        """Ends the connection of a caller that does not read its response."""
        self._server.write_event(
            "connection_cut_off",
            why=why,
            caller=self._owner,
            undelivered=undelivered_bytes,
        )
        self.abort()


class Server:
    """HTTP server on one address.

    Attributes:
        connection_limit: Bounds the open connections.
        heads: Counts the memory of unfinished heads.
        held: Counts the bytes held for callers.
        limits: Limits on requests and on the time of connections.
        stopping: Whether connections are closed after each response.
    """

    __slots__ = (
        "_bounded",
        "_connections",
        "_events",
        "_handler",
        "_listener",
        "_work",
        "connection_limit",
        "heads",
        "held",
        "limits",
        "stopping",
    )

    def __init__(
        self,
        handler: Handler,
        limits: routes.CallerLimits | None = None,
        held: held_bytes.HeldBytes | None = None,
        bounded: Callable[[Request], bool] | None = None,
        heads: unfinished_heads.UnfinishedHeads[Connection] | None = None,
        most_connections: int = 0,
        event_log: events.EventLog | None = None,
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
            handler: Returns the response to each request.
            limits: Limits on requests and connections; may be replaced while
                the server runs.
            held: Counts the bytes held for callers; None for no bound.
            bounded: Whether a request is refused as soon as memory is short,
                and not only when none is left; None if all are.
            heads: Counts the memory of unfinished heads; None for no bound.
            most_connections: Largest number of connections, 0 for no bound. At
                the bound, connections that wait for requests give way to new
                ones.
            event_log: Where connections that are cut off are written; None for
                nowhere.
        """
        self._bounded = bounded
        self._events = event_log
        self._handler = handler
        self._listener: asyncio.Server | None = None
        self._connections: set[Connection] = set()
        self._work = 0
        self.limits = limits or routes.CallerLimits()
        self.held = held or held_bytes.HeldBytes()
        self.heads = heads or unfinished_heads.UnfinishedHeads()
        self.connection_limit = connection_limits.ConnectionLimit[Connection](
            most_connections
        )
        self.stopping = False

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def busy(self) -> bool:
        """Whether any request is being received or served."""
        return any(connection.busy for connection in self._connections)

    @property
    def lingering(self) -> bool:
        """Whether any caller still reads the responses before a close."""
        return any(connection.lingering for connection in self._connections)

    async def listen(self, address: str) -> str:
        """Starts to listen.

        Args:
            address: Host and port; port 0 for any free port.

        Returns:
            Host and port in use.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: Connection(self), host, int(port), backlog=_BACKLOG
        )
        (listening,) = self._listener.sockets
        # Accepted connections inherit the option.
        listening.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, _UNSENT_BYTES
        )
        bound = listening.getsockname()
        return f"{bound[0]}:{bound[1]}"

    def sample_unsent(self) -> None:
        """Counts the bytes of responses that callers have not read yet.

        They are counted with each write; what callers have read since then is
        only seen here.
        """
        for connection in self._connections:
            connection.count_unsent()

    def admits_request(
        self, incoming: Request, size: int, head_cost: int = 0
    ) -> bool:
        """Whether there is memory for a request.

        Args:
            incoming: The request.
            size: Size of its body in bytes.
            head_cost: Memory of its head in bytes.
        """
        if self._has_memory(size, head_cost):
            return True
        self.sample_unsent()
        return self._has_memory(size, head_cost) or (
            not self._is_bounded(incoming) and self.held.admits_message(size)
        )

    def _has_memory(self, size: int, head_cost: int) -> bool:
        return self.held.admits_head(head_cost) and (
            not size or self.held.admits(size)
        )

    def admits_growth(self, incoming: Request) -> bool:
        """Whether there is memory to go on receiving a request's body."""
        size = incoming.held_bytes
        if self.held.admits_growth(size):
            return True
        self.sample_unsent()
        return self.held.admits_growth(size) or (
            not self._is_bounded(incoming) and self.held.admits_message(0)
        )

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def close_idle(self) -> None:
        """Closes connections on which no request is received or served."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def abort(self) -> None:
        """Ends all connections without sending buffered bytes."""
        for connection in list(self._connections):
            connection.abort()

    def write_event(self, event: str, **fields: object) -> None:
        """Writes an event to the log."""
        if self._events is not None:
            self._events.write("listeners", event, **fields)

    def record_unknown_queue(self, error: OSError) -> None:
        """Records that the kernel does not report its send queues."""
        self.write_event("send_queue_unknown", why=str(error))

    async def handle(self, incoming: Request) -> Response:
        """Returns the handler's response to a request."""
        return await self._handler(incoming)

    def opened(self, connection: Connection, owner: str) -> None:
        """Registers a new connection; closes one if there are too many.

        Args:
            connection: The connection.
            owner: Address of its caller.
        """
        self._connections.add(connection)
        evicted = self.connection_limit.open(connection, owner)
        if evicted is not None:
            evicted.abort()

    def closed(self, connection: Connection) -> None:
        """Unregisters a connection."""
        self._connections.discard(connection)
        self.connection_limit.close(connection)

    def _is_bounded(self, incoming: Request) -> bool:
        return self._bounded is None or self._bounded(incoming)


async def _close_stream(body_stream: AsyncIterator[bytes]) -> None:
    closer: Any = getattr(body_stream, "aclose", None)
    if closer is not None:
        await closer()


def _format_chunk(piece: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(piece), piece) if piece else b""


def _format_head(response: Response, *, final: bool, head_only: bool) -> bytes:
    reason = _REASONS.get(response.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b" % (response.status, reason)]
    lines.extend(name + b": " + value for name, value in response.headers)
    if response.body_stream is not None:
        lines.append(b"Transfer-Encoding: chunked")
    elif not head_only and response.status not in (204, 304):
        lines.append(b"Content-Length: %d" % len(response.body))
    if final:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
