"""Benchmark of the request path: bare proxy, entry VM and decisions alone.

`make bench` starts each role as a separate process, so that the cost of callers
and target is not attributed to the measured hop. Roles discover each other's
ports from files in a shared directory and exit when the load ends.
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
_WAIT_TIMEOUT_SECONDS = 120.0
_WARM_UP_REQUESTS = 50
_ROUNDS = 5
"""Rounds alternate between the hops; the median round is reported."""

_DONE = "done"
_HIGHEST_MICROSECONDS = 60_000_000

Scope = MutableMapping[str, Any]
App = Callable[[Scope, Any, Any], Awaitable[None]]


class Cell(msgspec.Struct):
    """One measurement.

    Attributes:
        hop: What was measured: "bare", "entry" or "decisions".
        size: Bytes of a response body.
        concurrency: Number of concurrent requests.
        requests: Number of measured requests.
        per_second: Requests per second.
        p50_ms: Median latency to the end of the response.
        p99_ms: 99th percentile of that latency.
        cpu_us: CPU time of the measured process per request.
        memory_mb: Peak resident memory of the measured process.
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
    """CPU seconds and peak resident memory, in megabytes, of a process."""

    cpu: float
    memory: float


def document() -> config.Document:
    """Returns a configuration in which no request has to queue."""
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
    """Returns the path of a request for a response of `size` bytes."""
    return f"/{SERVICE}/k{number % _KEYS}/{size}"


def usage() -> Usage:
    """Returns the resource usage of this process so far."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return Usage(used.ru_utime + used.ru_stime, used.ru_maxrss / 1024)


async def _respond(send: Any, body: bytes) -> None:
    length = str(len(body)).encode()
    await send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [(b"content-length", length)],
        }
    )
    await send({"type": "http.response.body", "body": body})


def target_app(test_target: target.Target) -> App:
    """Returns a minimal target application that accepts grants."""
    bodies = {str(size): b"x" * size for size in SIZES}

    async def app(scope: Scope, receive: Any, send: Any) -> None:
        path = scope["path"]
        if path == "/-/grant":
            message = await receive()
            grant = msgspec.json.decode(message["body"], type=grants.Grant)
            await _respond(
                send, msgspec.json.encode(await test_target.grant(grant))
            )
            return
        await _respond(send, bodies[path.rpartition("/")[2]])

    return app


def bare_app(session: aiohttp.ClientSession, port: int) -> App:
    """Returns a proxy application that forwards to `port` unconditionally."""

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


class PortDirectory:
    """Directory through which the roles discover each other's ports."""

    __slots__ = ("_path",)

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path

    def publish(self, name: str, *ports: int) -> None:
        """Publishes a role's ports, or the end of the load."""
        self._path.mkdir(parents=True, exist_ok=True)
        new = self._path / f"{name}.new"
        new.write_text(" ".join(map(str, ports)))
        new.rename(self._path / name)

    async def wait_for(self, name: str) -> list[int]:
        """Waits until a role is published and returns its ports."""
        port_file = self._path / name
        async with asyncio.timeout(_WAIT_TIMEOUT_SECONDS):
            while not port_file.exists():
                await asyncio.sleep(_POLL_SECONDS)
        return [int(port) for port in port_file.read_text().split()]


async def _listen(app: App) -> int:
    listener = await entry_serving.listen(app, HOST, 0, 1.0)
    return listener.port


async def _usage_app(scope: Scope, receive: Any, send: Any) -> None:
    await _respond(send, msgspec.json.encode(usage()))


async def serve_target(directory: PortDirectory) -> None:
    """Runs the target, the store and the list of VMs until the load ends."""
    memory_store, memory_fleet = store.MemoryStore(), vms.MemoryFleet()
    version = msgspec.json.encode(config.Version(1, document()))
    await memory_store.compare_and_swap("config/current", version, 0)
    port = await _listen(target_app(target.Target("t0")))
    memory_fleet.put(
        fleet.Vm("t0", fleet.Role.TARGET, "r", "z", HOST, port, SERVICE)
    )
    memory_fleet.put(fleet.Vm("entry", fleet.Role.ENTRY, "r", "z", HOST, 1))
    store_port = await _listen(serving.store_app(memory_store))
    fleet_port = await _listen(serving.fleet_app(memory_fleet))
    directory.publish("target", port, store_port, fleet_port)
    await directory.wait_for(_DONE)
    # Ends pending watches, which would otherwise be cancelled with a stack
    # trace.
    memory_store.go_down()
    await asyncio.sleep(_POLL_SECONDS)


async def serve_bare(directory: PortDirectory) -> None:
    """Runs the bare proxy until the load ends."""
    port = (await directory.wait_for("target"))[0]
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, auto_decompress=False
    ) as session:
        hop = await _listen(bare_app(session, port))
        directory.publish("bare", hop, await _listen(_usage_app))
        await directory.wait_for(_DONE)


async def serve_entry(directory: PortDirectory) -> None:
    """Runs an entry daemon until the load ends."""
    _, store_port, fleet_port = await directory.wait_for("target")
    entry_daemon = daemon.assemble(
        settings.Settings(
            settings.VmSettings("entry", "r", "z", HOST, 0, 0),
            settings.PlatformSettings(
                f"http://{HOST}:{store_port}", f"http://{HOST}:{fleet_port}"
            ),
            limits=settings.LimitSettings(shutdown_seconds=1),
        )
    )
    await entry_daemon.start()
    port = entry_daemon.find("listeners").ports["callers"]
    directory.publish("entry", port, await _listen(_usage_app))
    await directory.wait_for(_DONE)
    await entry_daemon.stop()


async def _load(
    session: aiohttp.ClientSession,
    port: int,
    size: int,
    concurrency: int,
    seconds: float,
) -> tuple[histogram.HdrHistogram, float]:
    """Sends requests; returns latencies in microseconds and elapsed seconds."""
    times = histogram.HdrHistogram(1, _HIGHEST_MICROSECONDS, 3)
    numbers = itertools.count()
    began = time.perf_counter()

    async def send_requests() -> None:
        while time.perf_counter() - began < seconds:
            url = f"http://{HOST}:{port}{path_of(next(numbers), size)}"
            sent = time.perf_counter()
            async with session.get(url) as response:
                body = await response.read()
            if response.status != 200 or len(body) != size:
                raise RuntimeError(
                    f"unexpected response with status {response.status}:"
                    f" {body[:200]!r}"
                )
            times.record_value(int((time.perf_counter() - sent) * 1e6))

    await asyncio.gather(*(send_requests() for _ in range(concurrency)))
    return times, time.perf_counter() - began


async def _measure(
    session: aiohttp.ClientSession,
    directory: PortDirectory,
    hop: str,
    case: tuple[int, int],
    seconds: float,
) -> Cell:
    size, concurrency = case
    port, usage_port = await directory.wait_for(hop)

    async def read_usage() -> Usage:
        async with session.get(f"http://{HOST}:{usage_port}/") as response:
            return msgspec.json.decode(await response.read(), type=Usage)

    before = await read_usage()
    times, elapsed = await _load(session, port, size, concurrency, seconds)
    after = await read_usage()
    count = times.get_total_count()
    return Cell(
        hop,
        size,
        concurrency,
        count,
        count / elapsed,
        times.get_value_at_percentile(50) / 1000,
        times.get_value_at_percentile(99) / 1000,
        (after.cpu - before.cpu) / count * 1e6,
        after.memory,
    )


async def _warm_up(
    session: aiohttp.ClientSession, directory: PortDirectory, hop: str
) -> None:
    port = (await directory.wait_for(hop))[0]
    async with asyncio.timeout(_WAIT_TIMEOUT_SECONDS):
        succeeded = 0
        while succeeded < _WARM_UP_REQUESTS:
            url = f"http://{HOST}:{port}{path_of(succeeded, SIZES[0])}"
            async with session.get(url) as response:
                succeeded = succeeded + 1 if response.ok else 0


async def load(
    directory: PortDirectory, seconds: float, out: pathlib.Path
) -> None:
    """Measures all cells, prints the table and writes it as text and JSON.

    Args:
        directory: Directory with the ports of the hops.
        seconds: Duration of each round of a cell.
        out: Directory of the results.
    """
    cells: list[Cell] = []
    headers = {"authorization": f"Bearer {TOKEN}"}
    try:
        async with aiohttp.ClientSession(
            headers=headers, connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            for hop in _HOPS:
                await _warm_up(session, directory, hop)
            for case in itertools.product(SIZES, CONCURRENCY):
                rounds = [
                    await _measure(session, directory, hop, case, seconds)
                    for _ in range(_ROUNDS)
                    for hop in _HOPS
                ]
                cells += [_median(rounds, hop) for hop in _HOPS]
    finally:
        directory.publish(_DONE)
    for concurrency in CONCURRENCY:
        rounds = [await decisions(concurrency, seconds) for _ in range(_ROUNDS)]
        cells.append(_median(rounds, "decisions"))
    _report(cells, out)


def _median(rounds: list[Cell], hop: str) -> Cell:
    rounds_of_hop = sorted(
        (c for c in rounds if c.hop == hop), key=lambda c: c.cpu_us
    )
    return rounds_of_hop[len(rounds_of_hop) // 2]


async def decisions(concurrency: int, seconds: float) -> Cell:
    """Measures request handling without sockets."""
    async with _bench_decisions.callers_app(document(), SERVICE) as app:
        request = _bench_decisions.requester(app, TOKEN)
        for number in range(_WARM_UP_REQUESTS):
            await request(path_of(number, SIZES[0]))
        numbers = itertools.count()
        times = histogram.HdrHistogram(1, _HIGHEST_MICROSECONDS, 3)
        before, began = usage(), time.perf_counter()

        async def send_requests() -> None:
            while time.perf_counter() - began < seconds:
                sent = time.perf_counter()
                await request(path_of(next(numbers), SIZES[0]))
                times.record_value(int((time.perf_counter() - sent) * 1e6))
                await asyncio.sleep(0)

        await asyncio.gather(*(send_requests() for _ in range(concurrency)))
        elapsed, after = time.perf_counter() - began, usage()
    count = times.get_total_count()
    return Cell(
        "decisions",
        SIZES[0],
        concurrency,
        count,
        count / elapsed,
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
    """Runs one role of the benchmark.

    Args:
        role: "target", "bare", "entry" or "load".
        at: Directory through which the roles discover each other; empty at
            the start.
        seconds: Duration of each round of a cell.
        out: Directory of the results.
    """
    directory = PortDirectory(at)
    # All roles use the same collector settings, so that the entry VM has no
    # advantage.
    daemon.tune_collector()
    if role == "load":
        await load(directory, seconds, out)
        return
    roles = {"target": serve_target, "bare": serve_bare, "entry": serve_entry}
    await roles[role](directory)
