"""Raw servers that answer as a test says, and the callers' side before them."""

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
from mimosastile_entry import _targets_http
from mimosastile_entry import _tls
from mimosastile_entry import kernel
from mimosastile_entry import ports
from mimosastile_entry import serving
from mimosastile_entry import settings

HOST = "127.0.0.1"
TOKEN = "t0ken"
AUTH = f"authorization: Bearer {TOKEN}\r\n"
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


@dataclasses.dataclass
class Reply:
    """What a raw server does after it has read a request.

    Attributes:
        data: Bytes to send.
        close: Whether it closes the connection then.
        after: More bytes, sent when `release` of the server is set.
    """

    data: bytes = OK
    close: bool = False
    after: bytes = b""


class Peer:
    """A raw HTTP server.

    Attributes:
        requests: Heads and bodies as they came.
        connections: How many were accepted.
        writers: One for each connection, to write without being asked.
        lost: Set when a client closes its connection.
        release: Lets replies go on with their second part.
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
                writer.write(reply.data)
                if reply.after and not await self._released(reader):
                    break
                writer.write(reply.after)
                await writer.drain()
                if reply.close:
                    break
        self.lost.set()
        writer.close()

    async def _released(self, reader):
        """Waits for `release`; False if the client closes before that."""
        ways = [
            asyncio.ensure_future(self.release.wait()),
            asyncio.ensure_future(reader.read(1)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
        return self.release.is_set()

    def stop(self):
        """Drops all connections."""
        for task in self._tasks:
            task.cancel()


async def _read_body(reader, head):
    lower = head.lower()
    if b"content-length:" in lower:
        length = int(lower.split(b"content-length:")[1].split(b"\r\n")[0])
        return await reader.readexactly(length)
    if b"transfer-encoding: chunked" in lower:
        return await reader.readuntil(b"0\r\n\r\n")
    return b""


@contextlib.asynccontextmanager
async def peer(replies):
    """Serves; `replies` maps the number of a request to a `Reply`."""
    made = Peer(replies)
    server = await asyncio.start_server(made.serve, HOST, 0, limit=1 << 22)
    made.port = server.sockets[0].getsockname()[1]
    try:
        yield made
    finally:
        made.stop()
        server.close()


class State(kernel.Passive):
    """A state service that holds a configuration only."""

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
    """Sends each request to one target and counts what is under way."""

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
                await self._leave()
        if sent.is_err():
            return _calls.refuse(sent.err(), request.request_id)
        sent.ok().on_close(self._leave)
        return sent.ok()

    async def _leave(self):
        self.in_flight -= 1
        self.ended.set()


class Front:
    """The callers' side, before one target."""

    def __init__(self, app, router, client, listener):
        self.app = app
        self.router = router
        self.client = client
        self.listener = listener

    @property
    def port(self):
        """The callers' port."""
        return self.listener.port


@contextlib.asynccontextmanager
async def sender(port, connections=120, **times):
    """Yields the adapter to targets, its client and the VM of a raw server."""
    made = kernel.Kernel()
    client = _client.HttpClient(settings.ConnectionSettings(**times))
    targets = _targets_http.HttpTargets()
    for service in (
        _clock.LoopClock(),
        _tls.TlsService(settings.TlsSection()),
        client,
        State(connections),
        targets,
    ):
        made.register(service)
    await made.start()
    vm = fleet.Vm("t", fleet.Role.TARGET, "r", "z", HOST, port, "s")
    try:
        yield made, vm
    finally:
        await made.stop()


@contextlib.asynccontextmanager
async def front(port, limits=None, **times):
    """Serves callers and sends all their requests to a raw server."""
    limits = limits or settings.LimitSettings()
    async with sender(port, **times) as (made, vm):
        clock = made.find("clock")
        router = Router(made.find("targets"), clock, vm)
        app = _asgi.CallersApp(
            router, clock, limits, _credentials.Credentials(made.find("state"))
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
            yield Front(app, router, made.find("client"), listener)
        finally:
            await listener.stop()


async def exchange(port, sent, close=True):
    """Sends raw bytes and returns everything until the other side closes."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(sent)
    async with asyncio.timeout(10):
        received = await reader.read()
    if close:
        writer.close()
    return received


def get(path="/s/1", method="GET", extra="connection: close\r\n", body=b""):
    """Returns a request in raw bytes."""
    head = f"{method} {path} HTTP/1.1\r\nhost: h\r\n{AUTH}{extra}\r\n"
    return head.encode() + body


def split(answer):
    """Returns status, headers by lower-case name, and the raw body."""
    head, _, body = answer.partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    pairs = (line.split(b": ", 1) for line in lines)
    return int(first.split()[1]), {n.lower(): v for n, v in pairs}, body


async def send(made, vm, method="GET", body=b"", seconds=5.0, stream=None):
    """Sends a request by the adapter and returns its result."""
    request = ports.Request(
        method, "/s/1", body=body, stream=stream, member="desk"
    )
    request.deadline = made.find("clock").now() + seconds
    return await made.find("targets").send(vm, request, None)


async def whole(response):
    """Reads an answer to its end and closes it."""
    try:
        return b"".join([chunk async for chunk in response.body])
    finally:
        await response.close()
