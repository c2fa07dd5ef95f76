"""Measures latency and cost of configuration propagation to all entry VMs.

The product's method, in which a few VMs watch the store and peers disseminate,
is compared with two in which each entry VM reads the store itself: list and
watch with a resync, and polling. For these two, only the bytes of the values
read are counted.
"""

import asyncio

import msgspec

from mimosastile_core import config
from mimosastile_standins import deployments
from mimosastile_standins import store
from mimosastile_standins import virtual
from mimosastile_standins import world

_IDLE_SECONDS = 20.0
_CHANGES = 5
_POLL_SECONDS = 2.0
_RESYNC_SECONDS = 30.0
_WATCH_SECONDS = 20.0
_KEY = "config/current"
SIZES = (11, 22, 44, 88)
"""Numbers of entry VMs in the measured fleets."""


class Row(msgspec.Struct, frozen=True):
    """Results of one propagation method at one size.

    Attributes:
        way: Name of the method.
        vms: Number of entry VMs.
        worst: Longest time in seconds until a change was in force on all VMs.
        at_rest: Store calls per second without changes.
        per_change: Additional store calls per change.
        store_bytes: Bytes that the store sent per change.
        peer_bytes: Bytes between peers per change, without digests.
        digest_bytes: Bytes of digests that one VM sent per second.
    """

    way: str
    vms: int
    worst: float
    at_rest: float
    per_change: float
    store_bytes: float
    peer_bytes: float
    digest_bytes: float


def _fleet(size: int) -> deployments.Deployment:
    base = deployments.UREDNISTVO
    zones = tuple(
        msgspec.structs.replace(zone, entries=len(range(i, size, 4)))
        for i, zone in enumerate(base.zones)
    )
    return msgspec.structs.replace(base, zones=zones, backends={})


def _counts(simulated_world: world.World, what: str) -> float:
    dumps = (
        d.find("propagation").dump() for d in simulated_world.daemons.values()
    )
    if what == "bytes":
        return float(sum(dump["bytes_sent"] for dump in dumps))
    return float(sum(dump["counts"].get(what, 0) for dump in dumps))


def _lowest_number(simulated_world: world.World) -> int:
    return min(
        int(d.find("state").replica.config.number)
        for d in simulated_world.daemons.values()
    )


async def _measure_dissemination(size: int) -> Row:
    simulated_world = world.World()
    await simulated_world.deploy(_fleet(size))
    await virtual.pause(10.0)
    calls, bytes_before = (
        simulated_world.store.calls.total(),
        _counts(simulated_world, "bytes"),
    )
    await virtual.pause(_IDLE_SECONDS)
    at_rest = (simulated_world.store.calls.total() - calls) / _IDLE_SECONDS
    digests = (_counts(simulated_world, "bytes") - bytes_before) / _IDLE_SECONDS
    worst, extra_calls, byte_count, watch_calls = 0.0, 0.0, 0.0, 0.0
    document = config.Document()
    for number in range(2, 2 + _CHANGES):
        calls, bytes_before = (
            simulated_world.store.calls.total(),
            _counts(simulated_world, "bytes"),
        )
        watches = _counts(simulated_world, "store_watch")
        began = virtual.now()
        await simulated_world.configure(document, number)
        while _lowest_number(simulated_world) < number:
            await virtual.pause(0.001)
        worst = max(worst, virtual.now() - began)
        await virtual.pause(2.0)
        elapsed = virtual.now() - began
        extra_calls += (
            simulated_world.store.calls.total() - calls - at_rest * elapsed - 1
        )
        byte_count += (
            _counts(simulated_world, "bytes") - bytes_before - digests * elapsed
        )
        watch_calls += _counts(simulated_world, "store_watch") - watches
    value = len(simulated_world.store.entries[_KEY].value)
    return Row(
        "few watch, peers tell",
        size,
        round(worst, 4),
        round(at_rest, 2),
        round(max(0.0, extra_calls) / _CHANGES, 2),
        round(watch_calls / _CHANGES * value, 1),
        round(max(0.0, byte_count) / _CHANGES, 1),
        round(digests / size, 1),
    )


class _Reader:
    """An entry VM that reads the store itself."""

    def __init__(self, memory_store: store.MemoryStore, index: int) -> None:
        self._store = memory_store
        self._index = index
        self._revision = 0
        self.number = 0
        self.byte_count = 0

    async def poll(self) -> None:
        """Reads the value periodically."""
        await virtual.pause(_POLL_SECONDS * (self._index * 0.618 % 1))
        while True:
            read = await self._store.get(_KEY)
            entry = read.ok()
            if entry is not None:
                self._apply(entry.value)
            await virtual.pause(_POLL_SECONDS)

    async def watch(self) -> None:
        """Lists and watches the store, and lists it again at each resync."""
        resync = 0.0
        while True:
            if virtual.now() >= resync:
                resync = virtual.now() + _RESYNC_SECONDS
                listed = (await self._store.list("")).unwrap()
                self._revision = listed.revision
                for entry in listed.entries:
                    self._apply(entry.value)
            batch = (
                await self._store.watch("", self._revision, _WATCH_SECONDS)
            ).unwrap()
            self._revision = batch.revision
            for entry in batch.entries:
                self._apply(entry.value)

    def _apply(self, value: bytes) -> None:
        self.byte_count += len(value)
        self.number = config.decode_version(value).unwrap().number


async def _measure_direct_reads(size: int, way: str) -> Row:
    memory_store = store.MemoryStore(latency=0.002)
    readers = [_Reader(memory_store, i) for i in range(size)]
    document = config.Document()

    async def write(number: int) -> None:
        current = memory_store.entries.get(_KEY)
        value = msgspec.json.encode(config.Version(number, document))
        await memory_store.compare_and_swap(
            _KEY, value, current.revision if current else 0
        )

    await write(1)
    tasks = [
        asyncio.ensure_future(r.poll() if way == "polling" else r.watch())
        for r in readers
    ]
    await virtual.pause(10.0)
    calls = memory_store.calls.total()
    await virtual.pause(2 * _RESYNC_SECONDS)
    at_rest = (memory_store.calls.total() - calls) / (2 * _RESYNC_SECONDS)
    worst, extra_calls, byte_count = 0.0, 0.0, 0
    for number in range(2, 2 + _CHANGES):
        await virtual.pause(0.37)
        calls, bytes_before = (
            memory_store.calls.total(),
            sum(r.byte_count for r in readers),
        )
        began = virtual.now()
        await write(number)
        while min(r.number for r in readers) < number:
            await virtual.pause(0.001)
        elapsed = virtual.now() - began
        worst = max(worst, elapsed)
        extra_calls += (
            memory_store.calls.total() - calls - at_rest * elapsed - 1
        )
        byte_count += sum(r.byte_count for r in readers) - bytes_before
    for task in tasks:
        task.cancel()
    return Row(
        way,
        size,
        round(worst, 4),
        round(at_rest, 2),
        round(max(0.0, extra_calls) / _CHANGES, 2),
        round(byte_count / _CHANGES, 1),
        0.0,
        0.0,
    )


def rows() -> list[Row]:
    """Returns the rows of all methods at all sizes."""
    return [
        row
        for size in SIZES
        for row in (
            virtual.run(_measure_dissemination(size)),
            virtual.run(_measure_direct_reads(size, "list, watch, resync")),
            virtual.run(_measure_direct_reads(size, "polling")),
        )
    ]


def table(results: list[Row]) -> str:
    """Formats rows as a text table."""
    head = (
        f"{'way':<24}{'VMs':>5}{'worst s':>9}{'rest/s':>9}{'calls':>8}"
        f"{'store B':>10}{'peer B':>10}{'digest B/s':>12}"
    )
    lines = [
        f"{r.way:<24}{r.vms:>5}{r.worst:>9.3f}{r.at_rest:>9.2f}"
        f"{r.per_change:>8.2f}{r.store_bytes:>10.0f}{r.peer_bytes:>10.0f}"
        f"{r.digest_bytes:>12.1f}"
        for r in results
    ]
    return "\n".join([head, *lines])
