"""Cost of the request path: a bare hop, the entry VM, its decisions alone.

Each role is a process of its own, started by `make bench`, so that the cost of
callers and target is not counted as the hop's. Roles find each other by files
in a directory and end when the load is done.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
import hashlib
import itertools
import pathlib
import resource
import time
from typing import Any

import aiohttp
from hdrh import histogram
import msgspec
import yarl

from mimosastile_core import config
from mimosastile_core import fleet
from mimosastile_core import grants
from mimosastile_entry import daemon
from mimosastile_entry import serving as entry_serving
from mimosastile_entry import settings
from mimosastile_standins import _bench_decisions
from mimosastile_standins import _printing
from mimosastile_standins import serving
from mimosastile_standins import store
from mimosastile_standins import target
from mimosastile_standins import vms

HOST = "127.0.0.1"
SERVICE = "citaonica"
TOKEN = "bench-token"
SIZES = (1 << 10, 1 << 20)
CONCURRENCY = (1, 8, 64)
_HOPS = ("bare", "entry")
_KEYS = 1000
_POLL_SECONDS = 0.05
_LIFE_SECONDS = 120.0
_WARM_REQUESTS = 50
_ROUNDS = 5
"""Bare hop and entry VM take turns; the median round counts."""

_DONE = "done"
_HIGHEST_MICROSECONDS = 60_000_000

Scope = MutableMapping[str, Any]
App = Callable[[Scope, Any, Any], Awaitable[None]]


class Cell(msgspec.Struct):
    """One measurement.

    Attributes:
        hop: What was measured: "bare", "entry" or "decisions".
        size: Bytes of an answer.
        concurrency: Requests under way at a time.
        requests: How many were counted.
        per_second: Throughput.
        p50_ms: Median time to the whole answer.
        p99_ms: Time that 99 of 100 stay under.
        cpu_us: Processor time of the measured process for one request.
        memory_mb: Its largest resident memory so far.
    """

    hop: str
    size: int
    concurrency: int
    requests: int
    per_second: float
    p50_ms: float
    p99_ms: float
    cpu_us: float
    memory_mb: float


class Usage(msgspec.Struct):
    """What a process has used so far: processor seconds and megabytes."""

    cpu: float
    memory: float


def document() -> config.Document:
    """Returns a configuration in which nothing has to wait."""
    service = config.Service(
        key=config.KeySource(config.KeyPlace.PATH),
        slots=max(CONCURRENCY),
        checks_orders=True,
        checks_expiry=True,
    )
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    return config.Document(
        services={SERVICE: service},
        members={"desk": config.Member((digest,))},
    )


def path_of(number: int, size: int) -> str:
    """Returns a path that asks for an answer of some size."""
    return f"/{SERVICE}/k{number % _KEYS}/{size}"


def usage() -> Usage:
    """Returns what this process has used so far."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return Usage(used.ru_utime + used.ru_stime, used.ru_maxrss / 1024)


async def _answer(send: Any, body: bytes) -> None:
    length = str(len(body)).encode()
    await send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [(b"content-length", length)],
        }
    )
    await send({"type": "http.response.body", "body": body})


def target_app(run: target.Target) -> App:
    """Returns a target that costs little: it takes grants and answers."""
    bodies = {str(size): b"x" * size for size in SIZES}

    async def app(scope: Scope, receive: Any, send: Any) -> None:
        path = scope["path"]
        if path == "/-/grant":
            message = await receive()
            grant = msgspec.json.decode(message["body"], type=grants.Grant)
            await _answer(send, msgspec.json.encode(await run.grant(grant)))
            return
        await _answer(send, bodies[path.rpartition("/")[2]])

    return app


def bare_app(session: aiohttp.ClientSession, port: int) -> App:
    """Returns a forwarding hop without any logic."""

    async def app(scope: Scope, receive: Any, send: Any) -> None:
        await receive()
        headers = [(n.decode(), v.decode()) for n, v in scope["headers"]]
        url = f"http://{HOST}:{port}{scope['raw_path'].decode()}"
        async with session.request(
            scope["method"],
            yarl.URL(url, encoded=True),
            headers=headers,
            allow_redirects=False,
        ) as response:
            await send(
                {
                    "type": "http.response.start",
                    "status": response.status,
                    "headers": [
                        (n.encode(), v.encode())
                        for n, v in response.headers.items()
                    ],
                }
            )
            async for chunk in response.content.iter_any():
                await send(
                    {
                        "type": "http.response.body",
                        "body": chunk,
                        "more_body": True,
                    }
                )
            await send({"type": "http.response.body", "body": b""})

    return app


class Meeting:
    """The directory in which roles find each other."""

    __slots__ = ("_at",)

    def __init__(self, at: pathlib.Path) -> None:
        self._at = at

    def say(self, name: str, *ports: int) -> None:
        """Writes a role's ports, or that all is done."""
        self._at.mkdir(parents=True, exist_ok=True)
        made = self._at / f"{name}.new"
        made.write_text(" ".join(map(str, ports)))
        made.rename(self._at / name)

    async def hear(self, name: str) -> list[int]:
        """Waits for what a role says and returns its ports."""
        found = self._at / name
        async with asyncio.timeout(_LIFE_SECONDS):
            while not found.exists():
                await asyncio.sleep(_POLL_SECONDS)
        return [int(port) for port in found.read_text().split()]


async def _listen(app: App) -> int:
    listener = await entry_serving.listen(app, HOST, 0, 1.0)
    return listener.port


async def _usage_app(scope: Scope, receive: Any, send: Any) -> None:
    await _answer(send, msgspec.json.encode(usage()))


async def serve_target(meeting: Meeting) -> None:
    """Runs target, store and list of VMs until the load is done."""
    kept, listed = store.MemoryStore(), vms.MemoryFleet()
    version = msgspec.json.encode(config.Version(1, document()))
    await kept.compare_and_swap("config/current", version, 0)
    port = await _listen(target_app(target.Target("t0")))
    listed.put(fleet.Vm("t0", fleet.Role.TARGET, "r", "z", HOST, port, SERVICE))
    listed.put(fleet.Vm("entry", fleet.Role.ENTRY, "r", "z", HOST, 1))
    store_port = await _listen(serving.store_app(kept))
    fleet_port = await _listen(serving.fleet_app(listed))
    meeting.say("target", port, store_port, fleet_port)
    await meeting.hear(_DONE)
    # Ends the waiting watches, which would be cut off with a stack trace.
    kept.go_down()
    await asyncio.sleep(_POLL_SECONDS)


async def serve_bare(meeting: Meeting) -> None:
    """Runs the bare hop until the load is done."""
    port = (await meeting.hear("target"))[0]
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, auto_decompress=False
    ) as session:
        hop = await _listen(bare_app(session, port))
        meeting.say("bare", hop, await _listen(_usage_app))
        await meeting.hear(_DONE)


async def serve_entry(meeting: Meeting) -> None:
    """Runs a daemon until the load is done."""
    _, store_port, fleet_port = await meeting.hear("target")
    made = daemon.assemble(
        settings.Settings(
            settings.VmSettings("entry", "r", "z", HOST, 0, 0),
            settings.PlatformSettings(
                f"http://{HOST}:{store_port}", f"http://{HOST}:{fleet_port}"
            ),
            limits=settings.LimitSettings(shutdown_seconds=1),
        )
    )
    await made.start()
    port = made.find("listeners").ports["callers"]
    meeting.say("entry", port, await _listen(_usage_app))
    await meeting.hear(_DONE)
    await made.stop()


async def _load(
    session: aiohttp.ClientSession,
    port: int,
    size: int,
    concurrency: int,
    seconds: float,
) -> tuple[histogram.HdrHistogram, float]:
    """Sends requests; returns the answer times and how long it took."""
    times = histogram.HdrHistogram(1, _HIGHEST_MICROSECONDS, 3)
    numbers = itertools.count()
    began = time.perf_counter()

    async def work() -> None:
        while time.perf_counter() - began < seconds:
            url = f"http://{HOST}:{port}{path_of(next(numbers), size)}"
            sent = time.perf_counter()
            async with session.get(url) as response:
                body = await response.read()
            if response.status != 200 or len(body) != size:
                raise RuntimeError(f"{response.status}: {body[:200]!r}")
            times.record_value(int((time.perf_counter() - sent) * 1e6))

    await asyncio.gather(*(work() for _ in range(concurrency)))
    return times, time.perf_counter() - began


async def _measure(
    session: aiohttp.ClientSession,
    meeting: Meeting,
    hop: str,
    case: tuple[int, int],
    seconds: float,
) -> Cell:
    size, concurrency = case
    port, usage_port = await meeting.hear(hop)

    async def used() -> Usage:
        async with session.get(f"http://{HOST}:{usage_port}/") as response:
            return msgspec.json.decode(await response.read(), type=Usage)

    before = await used()
    times, took = await _load(session, port, size, concurrency, seconds)
    after = await used()
    count = times.get_total_count()
    return Cell(
        hop,
        size,
        concurrency,
        count,
        count / took,
        times.get_value_at_percentile(50) / 1000,
        times.get_value_at_percentile(99) / 1000,
        (after.cpu - before.cpu) / count * 1e6,
        after.memory,
    )


async def _warm(
    session: aiohttp.ClientSession, meeting: Meeting, hop: str
) -> None:
    port = (await meeting.hear(hop))[0]
    async with asyncio.timeout(_LIFE_SECONDS):
        good = 0
        while good < _WARM_REQUESTS:
            url = f"http://{HOST}:{port}{path_of(good, SIZES[0])}"
            async with session.get(url) as response:
                good = good + 1 if response.ok else 0


async def load(meeting: Meeting, seconds: float, out: pathlib.Path) -> None:
    """Measures all cells, prints the table and writes it as text and JSON.

    Args:
        meeting: Where the hops are found.
        seconds: How long each of the rounds of a cell takes.
        out: Directory of the results.
    """
    cells: list[Cell] = []
    headers = {"authorization": f"Bearer {TOKEN}"}
    try:
        async with aiohttp.ClientSession(
            headers=headers, connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            for hop in _HOPS:
                await _warm(session, meeting, hop)
            for case in itertools.product(SIZES, CONCURRENCY):
                rounds = [
                    await _measure(session, meeting, hop, case, seconds)
                    for _ in range(_ROUNDS)
                    for hop in _HOPS
                ]
                cells += [_median(rounds, hop) for hop in _HOPS]
    finally:
        meeting.say(_DONE)
    for concurrency in CONCURRENCY:
        rounds = [await decisions(concurrency, seconds) for _ in range(_ROUNDS)]
        cells.append(_median(rounds, "decisions"))
    _report(cells, out)


def _median(rounds: list[Cell], hop: str) -> Cell:
    own = sorted((c for c in rounds if c.hop == hop), key=lambda c: c.cpu_us)
    return own[len(own) // 2]


async def decisions(concurrency: int, seconds: float) -> Cell:
    """Measures the path from a request's head to an answer, no sockets."""
    async with _bench_decisions.callers_app(document(), SERVICE) as app:
        ask = _bench_decisions.asker(app, TOKEN)
        for number in range(_WARM_REQUESTS):
            await ask(path_of(number, SIZES[0]))
        numbers = itertools.count()
        times = histogram.HdrHistogram(1, _HIGHEST_MICROSECONDS, 3)
        before, began = usage(), time.perf_counter()

        async def work() -> None:
            while time.perf_counter() - began < seconds:
                sent = time.perf_counter()
                await ask(path_of(next(numbers), SIZES[0]))
                times.record_value(int((time.perf_counter() - sent) * 1e6))
                await asyncio.sleep(0)

        await asyncio.gather(*(work() for _ in range(concurrency)))
        took, after = time.perf_counter() - began, usage()
    count = times.get_total_count()
    return Cell(
        "decisions",
        SIZES[0],
        concurrency,
        count,
        count / took,
        times.get_value_at_percentile(50) / 1000,
        times.get_value_at_percentile(99) / 1000,
        (after.cpu - before.cpu) / count * 1e6,
        after.memory,
    )


def _report(cells: list[Cell], out: pathlib.Path) -> None:
    bare = {
        (c.size, c.concurrency): c.per_second for c in cells if c.hop == "bare"
    }
    lines = [
        "hop        bytes    at once  requests   per s   of bare"
        "   p50 ms   p99 ms   cpu us   MB"
    ]
    for c in cells:
        base = bare[c.size, c.concurrency]
        share = "" if c.hop == "decisions" else f"{c.per_second / base:.2f}"
        lines.append(
            f"{c.hop:10} {c.size:8} {c.concurrency:6} {c.requests:9}"
            f" {c.per_second:8.0f} {share:>8} {c.p50_ms:8.3f}"
            f" {c.p99_ms:8.3f} {c.cpu_us:8.1f} {c.memory_mb:5.0f}"
        )
    for line in lines:
        _printing.say(line)
    out.mkdir(parents=True, exist_ok=True)
    (out / "bench.txt").write_text("\n".join(lines) + "\n")
    encoded = msgspec.json.format(msgspec.json.encode(cells))
    (out / "bench.json").write_bytes(encoded + b"\n")


async def run(
    role: str, at: pathlib.Path, seconds: float, out: pathlib.Path
) -> None:
    """Runs one role of the bench.

    Args:
        role: "target", "bare", "entry" or "load".
        at: Directory in which the roles meet; empty at the start.
        seconds: How long each cell is measured.
        out: Directory of the results.
    """
    meeting = Meeting(at)
    # In all roles alike, so that it is no advantage of the entry VM.
    daemon.tune_collector()
    if role == "load":
        await load(meeting, seconds, out)
        return
    roles = {"target": serve_target, "bare": serve_bare, "entry": serve_entry}
    await roles[role](meeting)
