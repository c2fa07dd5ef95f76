"""How long a change takes to be in force everywhere, and what it costs.

Beside the product's way, watching by few and telling by peers, two ways in
which each entry VM reads the store by itself: listing and watching with a
resync, and plain polling. Bytes of the other two are those of the values read.
"""

import asyncio

import msgspec

from mimosastile_core import config
from mimosastile_standins import deployments
from mimosastile_standins import store
from mimosastile_standins import virtual
from mimosastile_standins import world

_REST_SECONDS = 20.0
_CHANGES = 5
_POLL_SECONDS = 2.0
_RESYNC_SECONDS = 30.0
_WATCH_SECONDS = 20.0
_KEY = "config/current"
SIZES = (11, 22, 44, 88)
"""Entry VMs in the measured fleets."""


class Row(msgspec.Struct, frozen=True):
    """One way of propagation at one size.

    Attributes:
        way: The way.
        vms: Entry VMs.
        worst: Seconds until a change was in force everywhere, worst of some.
        at_rest: Calls of the store a second with no change.
        per_change: Further calls of the store for one change.
        store_bytes: Bytes that the store sent for one change.
        peer_bytes: Bytes between peers for one change, digests excluded.
        digest_bytes: Bytes of digests sent by one VM, a second.
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


def _counts(made: world.World, what: str) -> float:
    dumps = (d.find("propagation").dump() for d in made.daemons.values())
    if what == "bytes":
        return float(sum(dump["bytes_sent"] for dump in dumps))
    return float(sum(dump["counts"].get(what, 0) for dump in dumps))


def _numbers(made: world.World) -> int:
    return min(
        int(d.find("state").replica.config.number)
        for d in made.daemons.values()
    )


async def _ours(size: int) -> Row:
    made = world.World()
    await made.deploy(_fleet(size))
    await virtual.pause(10.0)
    calls, sent = made.store.calls.total(), _counts(made, "bytes")
    await virtual.pause(_REST_SECONDS)
    at_rest = (made.store.calls.total() - calls) / _REST_SECONDS
    digests = (_counts(made, "bytes") - sent) / _REST_SECONDS
    worst, extra, octets, spent = 0.0, 0.0, 0.0, 0.0
    document = config.Document()
    for number in range(2, 2 + _CHANGES):
        calls, sent = made.store.calls.total(), _counts(made, "bytes")
        watches = _counts(made, "store_watch")
        began = virtual.now()
        await made.configure(document, number)
        while _numbers(made) < number:
            await virtual.pause(0.001)
        worst = max(worst, virtual.now() - began)
        await virtual.pause(2.0)
        passed = virtual.now() - began
        extra += made.store.calls.total() - calls - at_rest * passed - 1
        octets += _counts(made, "bytes") - sent - digests * passed
        spent += _counts(made, "store_watch") - watches
    value = len(made.store.entries[_KEY].value)
    return Row(
        "few watch, peers tell",
        size,
        round(worst, 4),
        round(at_rest, 2),
        round(max(0.0, extra) / _CHANGES, 2),
        round(spent / _CHANGES * value, 1),
        round(max(0.0, octets) / _CHANGES, 1),
        round(digests / size, 1),
    )


class _Reader:
    """An entry VM that reads the store by itself."""

    def __init__(self, kept: store.MemoryStore, index: int) -> None:
        self._store = kept
        self._index = index
        self._revision = 0
        self.number = 0
        self.octets = 0

    async def poll(self) -> None:
        """Reads the value again and again."""
        await virtual.pause(_POLL_SECONDS * (self._index * 0.618 % 1))
        while True:
            read = await self._store.get(_KEY)
            entry = read.ok()
            if entry is not None:
                self._take(entry.value)
            await virtual.pause(_POLL_SECONDS)

    async def watch(self) -> None:
        """Lists, watches, and lists anew now and then."""
        resync = 0.0
        while True:
            if virtual.now() >= resync:
                resync = virtual.now() + _RESYNC_SECONDS
                listed = (await self._store.list("")).unwrap()
                self._revision = listed.revision
                for entry in listed.entries:
                    self._take(entry.value)
            batch = (
                await self._store.watch("", self._revision, _WATCH_SECONDS)
            ).unwrap()
            self._revision = batch.revision
            for entry in batch.entries:
                self._take(entry.value)

    def _take(self, value: bytes) -> None:
        self.octets += len(value)
        self.number = config.decode_version(value).unwrap().number


async def _each_for_itself(size: int, way: str) -> Row:
    kept = store.MemoryStore(latency=0.002)
    readers = [_Reader(kept, i) for i in range(size)]
    document = config.Document()

    async def write(number: int) -> None:
        held = kept.entries.get(_KEY)
        value = msgspec.json.encode(config.Version(number, document))
        await kept.compare_and_swap(_KEY, value, held.revision if held else 0)

    await write(1)
    tasks = [
        asyncio.ensure_future(r.poll() if way == "polling" else r.watch())
        for r in readers
    ]
    await virtual.pause(10.0)
    calls = kept.calls.total()
    await virtual.pause(2 * _RESYNC_SECONDS)
    at_rest = (kept.calls.total() - calls) / (2 * _RESYNC_SECONDS)
    worst, extra, octets = 0.0, 0.0, 0
    for number in range(2, 2 + _CHANGES):
        await virtual.pause(0.37)
        calls, sent = kept.calls.total(), sum(r.octets for r in readers)
        began = virtual.now()
        await write(number)
        while min(r.number for r in readers) < number:
            await virtual.pause(0.001)
        passed = virtual.now() - began
        worst = max(worst, passed)
        extra += kept.calls.total() - calls - at_rest * passed - 1
        octets += sum(r.octets for r in readers) - sent
    for task in tasks:
        task.cancel()
    return Row(
        way,
        size,
        round(worst, 4),
        round(at_rest, 2),
        round(max(0.0, extra) / _CHANGES, 2),
        round(octets / _CHANGES, 1),
        0.0,
        0.0,
    )


def rows() -> list[Row]:
    """Returns all ways at all sizes."""
    return [
        row
        for size in SIZES
        for row in (
            virtual.run(_ours(size)),
            virtual.run(_each_for_itself(size, "list, watch, resync")),
            virtual.run(_each_for_itself(size, "polling")),
        )
    ]


def table(found: list[Row]) -> str:
    """Returns rows as text for people."""
    head = (
        f"{'way':<24}{'VMs':>5}{'worst s':>9}{'rest/s':>9}{'calls':>8}"
        f"{'store B':>10}{'peer B':>10}{'digest B/s':>12}"
    )
    lines = [
        f"{r.way:<24}{r.vms:>5}{r.worst:>9.3f}{r.at_rest:>9.2f}"
        f"{r.per_change:>8.2f}{r.store_bytes:>10.0f}{r.peer_bytes:>10.0f}"
        f"{r.digest_bytes:>12.1f}"
        for r in found
    ]
    return "\n".join([head, *lines])
