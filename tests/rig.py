"""Raw HTTP servers with scripted replies, and a callers' listener to them."""

import asyncio
import contextlib
import dataclasses
import hashlib

from mimosastile_core import config
from mimosastile_core import fleet
from mimosastile_core import replica
from mimosastile_entry import _asgi
from mimosastile_entry import _calls
from mimosastile_entry import _client
from mimosastile_entry import _clock
from mimosastile_entry import _credentials
from mimosastile_entry import _stop_window
from mimosastile_entry import _targets_http
from mimosastile_entry import _tls
from mimosastile_entry import kernel
from mimosastile_entry import ports
from mimosastile_entry import serving
from mimosastile_entry import settings

HOST = "127.0.0.1"
TOKEN = "t0ken"
AUTH = f"authorization: Bearer {TOKEN}\r\n"
_SEND_ID = b"x-mimosastile-send-id:"
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


@dataclasses.dataclass
class Reply:
    """The reply of a raw server to one request.

    Attributes:
        data: Bytes to send.
        close: Whether the server closes the connection after the reply.
        after: Second part of the reply, sent once `release` is set.
        identified: Whether the first response in the reply repeats the
            identifier of the request.
    """

    data: bytes = OK
    close: bool = False
    after: bytes = b""
    identified: bool = True

    def encode(self, head):
        """Returns the bytes to send to a request with a head."""
        line, end, rest = self.data.partition(b"\r\n")
        sent = [x for x in head.split(b"\r\n") if x.startswith(_SEND_ID)]
        if not self.identified or not end or not sent:
            return self.data
        return line + end + sent[0] + end + rest


class RawServer:
    """A raw HTTP server.

    Attributes:
        requests: Head and body of each request, as received.
        connections: Number of accepted connections.
        writers: Writer of each connection, for bytes sent without a request.
        lost: Set when a client closes its connection.
        release: Set by a test to send the second part of replies.
    """

    def __init__(self, replies):
        self.requests = []
        self.connections = 0
        self.writers = []
        self.lost = asyncio.Event()
        self.release = asyncio.Event()
        self._replies = replies
        self._tasks = set()
        self.port = 0

    async def serve(self, reader, writer):
        """Answers the requests of one connection."""
        self.connections += 1
        self.writers.append(writer)
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await _read_body(reader, head)
                self.requests.append(head + body)
                reply = self._replies(len(self.requests) - 1)
                writer.write(reply.encode(head))
                if reply.after and not await self._wait_for_release(reader):
                    break
                writer.write(reply.after)
                await writer.drain()
                if reply.close:
                    break
        self.lost.set()
        writer.close()

    async def _wait_for_release(self, reader):
        """Waits for `release`; False if the client closes before that."""
        waits = [
            asyncio.ensure_future(self.release.wait()),
            asyncio.ensure_future(reader.read(1)),
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in waits:
                task.cancel()
            # Only one task may wait for data of a reader.
            await asyncio.wait(waits)
        return self.release.is_set()

    def stop(self):
        """Closes all connections, before the event loop is closed."""
        for task in self._tasks:
            task.cancel()
        for writer in self.writers:
            writer.close()


async def _read_body(reader, head):
    lower = head.lower()
    if b"content-length:" in lower:
        length = int(lower.split(b"content-length:")[1].split(b"\r\n")[0])
        return await reader.readexactly(length)
    if b"transfer-encoding: chunked" in lower:
        return await reader.readuntil(b"0\r\n\r\n")
    return b""


@contextlib.asynccontextmanager
async def raw_server(replies):
    """Runs a raw server; `replies` maps the index of a request to a `Reply`."""
    raw = RawServer(replies)
    server = await asyncio.start_server(raw.serve, HOST, 0, limit=1 << 22)
    raw.port = server.sockets[0].getsockname()[1]
    try:
        yield raw
    finally:
        raw.stop()
        server.close()


class State(kernel.Passive):
    """A stub of the state service that only holds a configuration."""

    def __init__(self, connections=120):
        super().__init__("state")
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        self.replica = replica.Replica()
        self.replica.offer_config(
            config.Version(
                1,
                config.Document(
                    {"s": config.Service(connections=connections)},
                    {"desk": config.Member((digest,))},
                ),
            )
        )


class Router:
    """Sends each request to one target and counts requests in progress."""

    def __init__(self, targets, clock, vm):
        self.in_flight = 0
        self.handled = []
        self.ended = asyncio.Event()
        self._targets = targets
        self._clock = clock
        self._vm = vm

    async def handle(self, request):
        """Sends a request to the target."""
        self.handled.append(request)
        self.in_flight += 1
        self.ended.clear()
        request.deadline = request.deadline or self._clock.now() + 5
        sent = None
        try:
            sent = await self._targets.send(self._vm, request, None)
        finally:
            if sent is None or sent.is_err():
                await self._end_request()
        if sent.is_err():
            return _calls.refuse(sent.err(), request.request_id)
        sent.ok().on_close(self._end_request)
        return sent.ok()

    async def _end_request(self):
        self.in_flight -= 1
        self.ended.set()


class Front:
    """The callers' listener with a router to one target."""

    def __init__(self, app, router, client, listener):
        self.app = app
        self.router = router
        self.client = client
        self.listener = listener

    @property
    def port(self):
        """Port on which callers are served."""
        return self.listener.port


@contextlib.asynccontextmanager
async def sender(port, connections=120, **timeouts):
    """Yields a kernel with a target adapter, and the VM of a raw server."""
    services = kernel.Kernel()
    client = _client.HttpClient(settings.ConnectionSettings(**timeouts))
    targets = _targets_http.HttpTargets()
    for service in (
        _clock.LoopClock(),
        _tls.TlsService(settings.TlsSection()),
        client,
        State(connections),
        targets,
    ):
        services.register(service)
    await services.start()
    vm = fleet.Vm("t", fleet.Role.TARGET, "r", "z", HOST, port, "s")
    try:
        yield services, vm
    finally:
        await services.stop()


@contextlib.asynccontextmanager
async def front(port, limits=None, **timeouts):
    """Runs a callers' listener that sends all requests to a raw server."""
    limits = limits or settings.LimitSettings()
    async with sender(port, **timeouts) as (services, vm):
        clock = services.find("clock")
        router = Router(services.find("targets"), clock, vm)
        state = services.find("state")
        app = _asgi.CallersApp(
            router,
            clock,
            limits,
            _stop_window.StopWindow(state, clock),
            _credentials.Credentials(state),
        )
        listener = await serving.listen(
            app,
            HOST,
            0,
            1.0,
            limits.header_bytes + limits.url_bytes,
            limits.head_seconds,
            None,
            limits.stall_seconds,
        )
        try:
            yield Front(app, router, services.find("client"), listener)
        finally:
            await listener.stop()


async def exchange(port, sent, close=True):
    """Sends raw bytes and returns all bytes until the server closes."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(sent)
    async with asyncio.timeout(10):
        received = await reader.read()
    if close:
        writer.close()
    return received


def get(path="/s/1", method="GET", extra="connection: close\r\n", body=b""):
    """Returns a request as raw bytes."""
    head = f"{method} {path} HTTP/1.1\r\nhost: h\r\n{AUTH}{extra}\r\n"
    return head.encode() + body


def parse(response):
    """Returns status, headers by lower-case name, and the raw body."""
    head, _, body = response.partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    pairs = (line.split(b": ", 1) for line in lines)
    return int(first.split()[1]), {n.lower(): v for n, v in pairs}, body


async def send(services, vm, method="GET", body=b"", seconds=5.0, stream=None):
    """Sends a request through the adapter and returns its result."""
    request = ports.Request(
        method, "/s/1", body=body, stream=stream, member="desk"
    )
    request.deadline = services.find("clock").now() + seconds
    return await services.find("targets").send(vm, request, None)


async def read_body(response):
    """Reads and closes a response and returns its body."""
    try:
        return b"".join([chunk async for chunk in response.body])
    finally:
        await response.close()
