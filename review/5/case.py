"""Answers are cut off when a daemon that is stopping closes connections."""

import asyncio
import contextlib
import pathlib
import random
import signal
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import standin  # noqa: E402

BODY_BYTES = 200_000
"""The site's answers to `audit-bundle` have 90,000 on average, 540,000 at most."""
CLIENTS = 12
DEPTH = 4
"""Requests that a client has unanswered on its connection."""
GAP_S = 0.01
"""Mean time between two requests of a client."""
LINK_S = 0.008
"""Delay to clients, one way."""
WINDOW = 64 << 10
PIECE = 8 << 10
TIMEOUT_MS = 1500
DEADLINE_MS = 2000
STOP_S = 3.0
END_S = 11.0
GRACE_S = standin.BOUNDS["GraceS"]


class Link:
    """Forwards connections to a daemon, with a delay and a small window."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.address = ("", 0)
        self._server = None

    async def listen(self, host):
        self._server = await asyncio.start_server(self._forward, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _forward(self, reader, writer):
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW // 4)
            sock.setblocking(False)
            try:
                await loop.sock_connect(sock, self.daemon.front)
            except OSError:
                writer.transport.abort()
                return
            to_daemon = asyncio.create_task(self._to_daemon(reader, sock))
            await self._to_client(sock, writer)
            to_daemon.cancel()

    async def _to_daemon(self, reader, sock):
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await reader.read(PIECE):
                loop.call_later(
                    LINK_S, lambda d: loop.create_task(_send(sock, d)), data
                )

    async def _to_client(self, sock, writer):
        """Passes on bytes in order, at most half a window at a time."""
        loop = asyncio.get_running_loop()
        credit = asyncio.Semaphore(WINDOW // 2 // PIECE)
        on_the_way = asyncio.Queue()

        async def deliver():
            while True:
                at, data = await on_the_way.get()
                await asyncio.sleep(max(at - loop.time(), 0))
                if data is None:
                    writer.transport.abort()
                    return
                if not data:
                    writer.close()
                    return
                writer.write(data)
                with contextlib.suppress(OSError):
                    await writer.drain()
                loop.call_later(LINK_S, credit.release)

        delivering = asyncio.create_task(deliver())
        data = b"x"
        while data:
            await credit.acquire()
            try:
                data = await loop.sock_recv(sock, PIECE)
            except OSError:
                # The daemon has reset the connection, and so does the link.
                data = None
            on_the_way.put_nowait((loop.time() + LINK_S, data))
        await delivering


async def _send(sock, data):
    with contextlib.suppress(OSError):
        await asyncio.get_running_loop().sock_sendall(sock, data)


class Sent:
    """A request that a client has sent."""

    def __init__(self, link):
        self.link = link
        self.at = time.monotonic()
        self.ended_at = None
        self.whole = False


class Client:
    """Sends further requests before the first has been answered."""

    def __init__(self, record, number, links, log):
        self._record = record
        self._number = number
        self._links = links
        self._log = log
        self._count = 0

    async def run(self, until):
        while time.monotonic() < until:
            offered = [link for link in self._links if link.daemon.offered]
            link = offered[self._number % len(offered)]
            try:
                reader, writer = await asyncio.open_connection(*link.address)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            await self._use(link, reader, writer, until)
            writer.close()

    async def _use(self, link, reader, writer, until):
        """Uses a connection until it ends or an answer closes it."""
        pending = []
        sending = asyncio.create_task(self._send(link, writer, pending, until))
        try:
            while not (sending.done() and not pending):
                first, headers, length = await _read_head(reader)
                closes = headers.get("connection") == "close"
                if closes:
                    # Nothing more is sent, and what was sent behind it counts
                    # as not read.
                    sending.cancel()
                await reader.readexactly(length)
                attempt = pending.pop(0)
                sent = self._log[attempt]
                sent.ended_at = time.monotonic()
                sent.whole = True
                self._record(
                    "client", self._number, "gets", first.split(" ")[1],
                    "to", attempt, length, "bytes",
                    "and closes" if closes else "",
                )  # fmt: skip
                if closes:
                    return
        except (OSError, EOFError, asyncio.IncompleteReadError) as error:
            attempt = pending[0] if pending else ""
            if attempt:
                self._log[attempt].ended_at = time.monotonic()
            got = len(getattr(error, "partial", b""))
            self._record(
                "client", self._number, "connection ends:",
                type(error).__name__, "after", got, "bytes of the answer to",
                attempt or "nothing",
            )  # fmt: skip
        finally:
            sending.cancel()

    async def _send(self, link, writer, pending, until):
        while time.monotonic() < until:
            if len(pending) < DEPTH:
                self._count += 1
                attempt = f"{self._number:04x}{self._count:012x}"
                self._record("client", self._number, "sends", attempt)
                self._log[attempt] = Sent(link)
                pending.append(attempt)
                writer.write(
                    standin.request("GET", "/audit/1", attempt, DEADLINE_MS)
                )
            await asyncio.sleep(random.expovariate(1 / GAP_S))


async def _read_head(reader):
    """Reads the head of an answer; returns it with the length of the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    return first, headers, int(headers["content-length"])


async def offer(rig):
    """Offers daemons to new connections as the platform's ingress does."""
    misses = dict.fromkeys(rig.daemons, 0)
    while True:
        for daemon in rig.daemons:
            ready = daemon.running and await daemon.is_ready()
            misses[daemon] = 0 if ready else misses[daemon] + 1
            daemon.offered = misses[daemon] < 2
        await asyncio.sleep(1)


async def case(record, rig, trouble):
    """Returns whether an answer was cut off by the stop of a daemon."""
    await rig.start(
        standin.configuration(
            [
                standin.route(
                    "audit", "/audit/", "download", "dockpack",
                    timeout=TIMEOUT_MS,
                )  # fmt: skip
            ],
            {"dockpack": {}},
        ),
        2,
        [
            {"name": f"i-d{n}", "service": "dockpack", "zone": zone,
             "work": 0.072}
            for n, zone in zip(range(8), list(standin.ZONES) * 8)
        ],
    )  # fmt: skip
    links = [Link(daemon) for daemon in rig.daemons]
    for link in links:
        await link.listen(rig.server_ip)
        link.daemon.offered = True
    for server in rig.servers:
        server.body = lambda path: bytes(BODY_BYTES)
    rig.spawn(offer(rig))
    await asyncio.sleep(2)
    log = {}
    until = time.monotonic() + END_S
    clients = [
        asyncio.create_task(Client(record, n, links, log).run(until))
        for n in range(CLIENTS)
    ]
    await asyncio.sleep(STOP_S)
    stopped_at = time.monotonic()
    stopped = rig.daemons[0]
    if trouble:
        record("SIGTERM to", stopped.name)
        stopped.signal(signal.SIGTERM)
    await asyncio.wait(clients, timeout=END_S)
    ran = {attempt for _, attempt, _ in rig.runs}
    for at, attempt, server in rig.runs:
        record.at(at, "server", server, "runs", attempt)
    cut = {
        attempt: sent
        for attempt, sent in log.items()
        if attempt in ran and sent.ended_at is not None and not sent.whole
    }
    lost = [
        attempt
        for attempt, sent in cut.items()
        if sent.link.daemon is stopped
        and stopped_at <= sent.ended_at <= stopped_at + GRACE_S + 1
        and sent.ended_at - sent.at < TIMEOUT_MS / 1000
    ]
    record("requests:", len(log), "cut at any time:", len(cut))
    record("lost:", len(lost), *lost)
    return bool(lost)


if __name__ == "__main__":
    standin.run(case, HERE)
