"""HTTP/1.1 towards callers, the balancer and peers."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import http
import socket
from typing import Any

import httptools

from mimosastile_core.gateway import routes

_BACKLOG = 1024
"""Connections that wait to be accepted; a full queue costs its callers a
second each, until their opening packet is sent again."""
_PIPELINED = 8
"""Requests that may wait on one connection; more are left unread."""
_WRITE_WINDOW = 256 << 10
"""Bytes that may wait for a slow caller before a streamed answer pauses."""
_REASONS = {s.value: s.phrase.encode() for s in http.HTTPStatus}


class Incoming:
    """A request as received.

    Attributes:
        method: HTTP method.
        target: Path with query, as received.
        headers: Names in lower case with values, as received.
        body: The whole body.
        at: Loop time at which its first byte came.
        cancellable: Whether it is given up when the caller leaves.
        left: Whether the caller has left.
    """

    __slots__ = (
        "at",
        "body",
        "cancellable",
        "headers",
        "left",
        "method",
        "target",
    )

    def __init__(self, method: str, target: bytes, at: float) -> None:
        self.method = method
        self.target = target
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.at = at
        self.cancellable = True
        self.left = False

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, None if there is none."""
        return next((v for n, v in self.headers if n == name), None)


class Outgoing:
    """An answer.

    Attributes:
        status: HTTP status.
        headers: Headers, without those that concern the connection.
        body: The whole body, or its beginning.
        rest: What follows `body`, None if that is all. Raises to say that
            the answer broke off.
        close: Whether the connection ends after it.
    """

    __slots__ = ("body", "close", "headers", "rest", "status")

    def __init__(
        self,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b"",
        rest: AsyncIterator[bytes] | None = None,
        *,
        close: bool = False,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.rest = rest
        self.close = close


Handler = Callable[[Incoming], Awaitable[Outgoing]]


class Connection(asyncio.Protocol):
    """One caller's connection."""

    __slots__ = (
        "_body",
        "_body_bytes",
        "_can_write",
        "_closed",
        "_current",
        "_head_bytes",
        "_incoming",
        "_last",
        "_loop",
        "_parser",
        "_queue",
        "_server",
        "_task",
        "_timer",
        "_transport",
        "_url",
    )

    def __init__(self, server: "Server") -> None:
        """Makes one for a server."""
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._incoming: Incoming | None = None
        self._url = b""
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._queue: list[tuple[Incoming, bool]] = []
        self._current: Incoming | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._closed = False
        self._last = False

    @property
    def busy(self) -> bool:
        """Whether a request is being read or served.

        An answer is served until its last byte has left this process: what is
        still in the transport's buffer at the end of the process is lost, and
        a caller on a slow link would get half of it.
        """
        transport = self._transport
        return (
            self._task is not None
            or (transport is not None and transport.get_write_buffer_size() > 0)
            or bool(self._queue)
            or self._incoming is not None
        )

    def close_if_idle(self) -> None:
        """Ends the connection unless a request is under way."""
        if not self.busy:
            self._close()

    def abort(self) -> None:
        """Ends the connection at once."""
        self._stop_timer()
        if self._transport is not None:
            self._transport.abort()

    # What follows is called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the open connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_WINDOW)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.opened(self)
        self._expect(self._server.limits.header_seconds)

    def data_received(self, data: bytes) -> None:
        """Reads bytes of requests."""
        if self._closed or self._last:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            if not self._closed:
                self._refuse(400)

    def eof_received(self) -> bool:
        """Takes a half-closed connection for a caller that has left."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Gives the request up that is being served."""
        self._closed = True
        self._can_write.set()
        self._stop_timer()
        self._server.closed(self)
        self._queue.clear()
        current = self._current
        if current is not None:
            current.left = True
        if self._task is not None and (current is None or current.cancellable):
            self._task.cancel()

    def pause_writing(self) -> None:
        """Holds a streamed answer back."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Goes on with a streamed answer."""
        self._can_write.set()

    # What follows is called by the parser.

    def on_message_begin(self) -> None:
        """Begins a request."""
        self._incoming = Incoming("", b"", self._loop.time())
        self._url = b""
        self._body = []
        self._body_bytes = 0
        self._head_bytes = 0
        if self._task is None:
            self._expect(self._server.limits.header_seconds)

    def on_url(self, url: bytes) -> None:
        """Takes a piece of the path."""
        self._url += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        if self._incoming is not None:
            self._incoming.headers.append((name.lower(), value))
            self._count(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Takes the end of a head."""
        incoming = self._incoming
        if incoming is None:
            return
        incoming.method = self._parser.get_method().decode("ascii")
        incoming.target = self._url
        length = incoming.header(b"content-length")
        most = self._server.limits.body_bytes
        if length is not None and length.isdigit() and int(length) > most:
            self._refuse(413)
        elif (incoming.header(b"expect") or b"").lower() == b"100-continue":
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Takes a piece of a body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.body_bytes:
            self._refuse(413)

    def on_message_complete(self) -> None:
        """Takes the end of a request and serves it when it is its turn."""
        incoming = self._incoming
        if incoming is None or self._closed:
            return
        incoming.body = b"".join(self._body)
        self._incoming = None
        self._body = []
        self._stop_timer()
        self._queue.append((incoming, self._parser.should_keep_alive()))
        if len(self._queue) > _PIPELINED:
            self._refuse(400)
            return
        if self._task is None:
            self._task = self._loop.create_task(self._serve())

    async def _serve(self) -> None:
        try:
            while self._queue and not self._closed:
                incoming, keep = self._queue.pop(0)
                self._current = incoming
                answer = await self._server.handle(incoming)
                self._current = None
                await self._answer(incoming, answer, keep)
        finally:
            self._task = None
            self._current = None
        if not self._closed:
            self._expect(self._server.limits.idle_seconds)

    async def _answer(
        self, incoming: Incoming, answer: Outgoing, keep: bool
    ) -> None:
        if self._closed:
            if answer.rest is not None:
                await _discard(answer.rest)
            return
        last = answer.close or not keep or self._last or self._server.stopping
        self._last = last
        head = _head(answer, last=last, bare=incoming.method == "HEAD")
        if answer.rest is None:
            bare = incoming.method == "HEAD"
            self._write(head if bare else head + answer.body)
        else:
            self._write(head + _chunk(answer.body))
            await self._stream(answer.rest)
        if last:
            self._close()

    async def _stream(self, rest: AsyncIterator[bytes]) -> None:
        try:
            async for piece in rest:
                await self._can_write.wait()
                if self._closed:
                    await _discard(rest)
                    return
                self._write(_chunk(piece))
        except Exception:
            # Whatever ended it: without the last chunk the caller sees that
            # the answer is not whole.
            self.abort()
            return
        self._write(b"0\r\n\r\n")

    def _count(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._server.limits.header_bytes:
            self._refuse(431)

    def _refuse(self, status: int) -> None:
        """Answers a request that cannot be read, and ends the connection."""
        if self._closed or self._last:
            return
        self._last = True
        self._incoming = None
        self._stop_timer()
        if self._task is None:
            self._write(_head(Outgoing(status), last=True, bare=False))
            self._close()

    def _expect(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, self._late)

    def _late(self) -> None:
        if self._incoming is not None:
            self._refuse(408)
        elif not self.busy:
            self._close()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._closed:
            self._transport.write(data)

    def _close(self) -> None:
        self._stop_timer()
        if self._transport is not None:
            self._transport.close()


class Server:
    """Listens on one address."""

    __slots__ = (
        "_connections",
        "_handler",
        "_listener",
        "_work",
        "limits",
        "stopping",
    )

    def __init__(
        self,
        handler: Handler,
        limits: routes.CallerLimits | None = None,
    ) -> None:
        """Makes one that does not listen yet.

        Args:
            handler: Answers each request.
            limits: Bounds on callers, changed while it runs.
        """
        self._handler = handler
        self._listener: asyncio.Server | None = None
        self._connections: set[Connection] = set()
        self._work = 0
        self.limits = limits or routes.CallerLimits()
        self.stopping = False

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._connections)

    @property
    def busy(self) -> bool:
        """Whether any request is being read or served."""
        return any(connection.busy for connection in self._connections)

    async def listen(self, address: str) -> str:
        """Begins to listen.

        Args:
            address: Host and port; port 0 for any free one.

        Returns:
            The address with the port in use.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: Connection(self), host, int(port), backlog=_BACKLOG
        )
        bound = self._listener.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    def stop_listening(self) -> None:
        """Takes no further connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def close_idle(self) -> None:
        """Ends connections on which nothing is under way."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def abort(self) -> None:
        """Ends all connections."""
        for connection in list(self._connections):
            connection.abort()

    async def handle(self, incoming: Incoming) -> Outgoing:
        """Answers a request."""
        return await self._handler(incoming)

    def opened(self, connection: Connection) -> None:
        """Notes a new connection."""
        self._connections.add(connection)

    def closed(self, connection: Connection) -> None:
        """Forgets a connection."""
        self._connections.discard(connection)


async def _discard(rest: AsyncIterator[bytes]) -> None:
    closer: Any = getattr(rest, "aclose", None)
    if closer is not None:
        await closer()


def _chunk(piece: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(piece), piece) if piece else b""


def _head(answer: Outgoing, *, last: bool, bare: bool) -> bytes:
    reason = _REASONS.get(answer.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b" % (answer.status, reason)]
    lines.extend(name + b": " + value for name, value in answer.headers)
    if answer.rest is not None:
        lines.append(b"Transfer-Encoding: chunked")
    elif not bare and answer.status not in (204, 304):
        lines.append(b"Content-Length: %d" % len(answer.body))
    if last:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
