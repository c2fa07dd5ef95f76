"""Generates the capacity page from committed measurement results.

Every number on the page is a stated aim, a stated assumption, or computed here
from the results in `measurements/`, so that page and results cannot diverge.
"""

from collections.abc import Iterator
import json
import pathlib
from typing import Any

import msgspec

from mimosastile_standins import slopes
from mimosastile_standins import sweeping

DAEMONS = 5600
KEYS = 5.7e9
REQUESTS_PER_SECOND = 36e6
ZONES = 9
HOT_KEYS = 520
HOT_CHANGE_SECONDS = 120.0
CONFIG_CHANGES_PER_DAY = 8600
TARGETS_PER_DAEMON = 3.5
SLICES_PER_TARGET = 8
TARGETS_PER_BLOCK = 72
CORE_SHARE = 0.018
MEMORY_BYTES = 128e6
BYTES_PER_SECOND = 20e3
_DAY_SECONDS = 86_400
_WRITES_PER_MOVE = 2
_WATCHERS_PER_ZONE = 2
_RENEWALS_PER_SECOND = 1 / 0.15


class Sizes(msgspec.Struct, frozen=True):
    """Deployment sizes derived from the aims and the assumptions."""

    targets: float = DAEMONS * TARGETS_PER_DAEMON
    slices: float = DAEMONS * TARGETS_PER_DAEMON * SLICES_PER_TARGET + HOT_KEYS
    zone_daemons: float = DAEMONS / ZONES
    block_changes: float = HOT_KEYS / HOT_CHANGE_SECONDS * _WRITES_PER_MOVE
    config_changes: float = CONFIG_CHANGES_PER_DAY / _DAY_SECONDS

    @property
    def blocks(self) -> float:
        """Number of blocks of all services."""
        return self.targets / TARGETS_PER_BLOCK

    @property
    def slices_per_block(self) -> float:
        """Mean number of slices per block."""
        return self.slices / self.blocks


class Row(msgspec.Struct, frozen=True):
    """One line of the table of roles.

    Attributes:
        role: The role.
        what: The measured quantity.
        figure: Its value at full size.
        limit: The aim, empty if there is none for this quantity.
        source: The results that the value is computed from.
        mechanism: The design that determines the value.
        reached: "yes", or the reason why the aim is not reached.
    """

    role: str
    what: str
    figure: str
    limit: str
    source: str
    mechanism: str
    reached: str


class Results:
    """The committed measurement results, by name."""

    __slots__ = ("_bench", "_propagation", "_slopes", "_sweep")

    def __init__(self, folder: pathlib.Path) -> None:
        """Reads the results.

        Args:
            folder: The directory `measurements`.
        """
        fitted = msgspec.json.decode(
            (folder / "slopes.json").read_bytes(), type=list[slopes.Slope]
        )
        self._slopes = {(s.name, s.by): s for s in fitted}
        self._bench = json.loads((folder / "bench.json").read_text())
        self._propagation = json.loads(
            (folder / "propagation.json").read_text()
        )

        self._sweep = sweeping.read(folder / "sweep.json")

    @property
    def sweep(self) -> sweeping.Sweep:
        """Results of the gateway's one-day run at several sizes."""
        return self._sweep

    @property
    def slopes(self) -> list[slopes.Slope]:
        """All fitted slopes."""
        return list(self._slopes.values())

    def cost_at(self, name: str, size: float, by: str = "") -> float:
        """Returns the fitted cost at a size, in the slope's unit."""
        slope = next(
            s for (n, b), s in self._slopes.items() if n == name and by in b
        )
        return slope.base + slope.slope * size

    def cost_per_item(self, name: str, by: str = "") -> float:
        """Returns the fitted cost of one more unit of size."""
        return self.cost_at(name, 1.0, by) - self.cost_at(name, 0.0, by)

    def bench(self, hop: str, concurrency: int = 64) -> dict[str, Any]:
        """Returns the benchmark's row for responses of 1 KB."""
        return next(
            row
            for row in self._bench
            if (row["hop"], row["concurrency"]) == (hop, concurrency)
            and row["size"] == 1024
        )

    def propagation(self, way: str) -> dict[str, Any]:
        """Returns the row of one propagation method at the largest size."""
        rows = (row for row in self._propagation if row["way"] == way)
        largest: dict[str, Any] = max(rows, key=lambda row: int(row["vms"]))
        return largest


def rows(results: Results, sizes: Sizes) -> Iterator[Row]:
    """Yields the rows of the table of roles."""
    yield from _request_path(results)
    yield from _keeper(results)
    yield from _tables(results, sizes)
    yield from _presence(results, sizes)
    yield from _watching(results, sizes)


def _request_path(results: Results) -> Iterator[Row]:
    needed = REQUESTS_PER_SECOND / DAEMONS
    entry = results.bench("entry")
    per_core = 1e6 / float(entry["cpu_us"])
    hops = 2.0
    yield Row(
        "request path",
        "requests a second of one daemon on one core",
        f"{per_core:,.0f}",
        f"{needed:,.0f}, twice as many hops",
        "bench.json, entry, 1 KB, 64 at once",
        "raw ASGI, one client per daemon, decisions without allocation of maps",
        f"no: {needed * hops / per_core:.1f} cores a VM at two hops, that is"
        " as many daemons on the VM; or callers' balancers that send to the"
        " keeper's VM, which saves a hop, and a forwarding hop in compiled"
        " code, which the house style excludes",
    )
    yield Row(
        "request path",
        "decisions alone, processor time",
        f"{float(results.bench('decisions')['cpu_us']):.0f} µs",
        "30 µs",
        "bench.json, decisions, 64 at once",
        "plans compiled per service, bisection of blocks and slices",
        "no: half of it is in queue, limits and admission; fewer clock reads"
        " and identifiers a request would come first",
    )
    p99 = float(entry["p99_ms"])
    yield Row(
        "request path",
        "p99 of one saturated hop, 64 at once",
        f"{p99:.0f} ms",
        "14 ms",
        "bench.json, entry, 1 KB, 64 at once",
        "bounded queues, early refusal",
        "no, saturated; at 1 at once"
        f" {float(results.bench('entry', 1)['p99_ms']):.1f} ms",
    )


def _keeper(results: Results) -> Iterator[Row]:
    share = (
        results.cost_per_item("keeper renewals, processor") * TARGETS_PER_DAEMON
    )
    byte_rate = (
        results.cost_per_item("keeper renewals, both ways") * TARGETS_PER_DAEMON
    )
    exchanges = _RENEWALS_PER_SECOND * TARGETS_PER_DAEMON
    http = float(results.bench("bare")["cpu_us"]) * exchanges / 1e6
    source = "slopes, keeper renewals"
    yield Row(
        "keeper",
        "processor for renewals, decisions and codec",
        f"{share / 10:.3f}% of a core",
        "1.8%",
        source,
        "one renewal a target, not a slice",
        "yes",
    )
    yield Row(
        "keeper",
        "processor for their HTTP exchanges",
        f"{http * 100:.2f}% of a core",
        "1.8%",
        "bench.json, bare hop (one server and one client exchange)",
        f"{exchanges:.0f} exchanges a second on kept connections",
        "yes, with little left for the rest",
    )
    yield Row(
        "keeper",
        "bytes a second, payload",
        f"{byte_rate / 1e3:.1f} KB/s",
        "20 KB/s",
        source,
        "a renewal carries no slices",
        "yes",
    )


def _tables(results: Results, sizes: Sizes) -> Iterator[Row]:
    memory = (
        results.cost_per_item("table in memory, with its index", "8 a")
        * sizes.slices
    )
    block = results.cost_at("table size in the store", sizes.slices_per_block)
    push = results.cost_at("push of one moved slice", sizes.slices_per_block)
    stream = push * sizes.block_changes
    cost = (
        results.cost_at("decoding a block", sizes.slices_per_block)
        + results.cost_at("indexing a block", sizes.slices_per_block)
    ) * sizes.block_changes
    yield Row(
        "table",
        "memory of all tables in one daemon",
        f"{memory / 1e6:.0f} MB",
        "128 MB",
        "slopes, table in memory",
        f"{sizes.blocks:.0f} blocks of {sizes.slices_per_block:.0f} slices",
        "yes, beside some 60 MB of interpreter and libraries",
    )
    yield Row(
        "table",
        "one block in the store",
        f"{block / 1e3:.0f} KB",
        "1 MB",
        "slopes, table size in the store",
        f"{TARGETS_PER_BLOCK} targets a block",
        "yes",
    )
    yield Row(
        "table",
        "processor to follow moving hot keys",
        f"{cost / 10:.2f}% of a core",
        "1.8%",
        "slopes, decoding and indexing a block",
        "a changed block is indexed alone",
        "yes",
    )
    yield Row(
        "table",
        "bytes a second to follow moving hot keys",
        f"{stream / 1e3:.1f} KB/s",
        "20 KB/s",
        "slopes, push of one moved slice",
        "changed slices are pushed, whole blocks only to who missed one",
        "yes",
    )
    plan = results.cost_at("plan that evens a target out", TARGETS_PER_BLOCK)
    yield Row(
        "placement",
        "one plan of one block",
        f"{plan:.0f} ms",
        "14 ms of pause",
        "slopes, plan that evens a target out",
        "one usual planner a service, a plan a block",
        "no: it holds the loop; plans of many targets must be cut in steps"
        if plan > 14
        else "yes",
    )


def _presence(results: Results, sizes: Sizes) -> Iterator[Row]:
    sent = results.cost_at("presence messages sent by a VM", sizes.zone_daemons)
    byte_rate = results.cost_at(
        "presence bytes sent by a VM", sizes.zone_daemons
    )
    http = float(results.bench("bare")["cpu_us"]) * sent / 1e6
    yield Row(
        "presence",
        "bytes a second, payload",
        f"{byte_rate / 1e3:.1f} KB/s",
        "20 KB/s",
        "slopes, presence bytes",
        "a ring in the zone, one peer in each other zone",
        "yes",
    )
    yield Row(
        "presence",
        "processor for its HTTP exchanges",
        f"{http * 100:.2f}% of a core",
        "1.8%",
        "bench.json, bare hop",
        f"{sent:.0f} messages a second, whatever the zone's size",
        "with the keeper's exchanges, no: datagrams instead of HTTP for these"
        " two would free most of it",
    )
    listing = results.cost_at("list of VMs", DAEMONS + sizes.targets)
    yield Row(
        "list of VMs",
        "one reading, told to every daemon when it changes",
        f"{listing / 1e6:.1f} MB",
        "20 KB/s",
        "slopes, list of VMs",
        "one reader a zone, whole lists",
        "no: some 850 changes a day make"
        f" {listing * 850 / _DAY_SECONDS / 1e3:.0f} KB/s; told by difference"
        " it is nothing",
    )


def _watching(results: Results, sizes: Sizes) -> Iterator[Row]:
    watching = results.propagation("few watch, peers tell")
    watchers = _WATCHERS_PER_ZONE * ZONES
    idle_calls = float(watching["at_rest"]) / 4 * ZONES
    moves = sizes.block_changes * (2 + watchers)
    patches = sizes.config_changes * (4 + watchers)
    hops = results.cost_at("hops of a change", sizes.zone_daemons)
    yield Row(
        "store",
        "calls a second at rest",
        f"{idle_calls:.1f}",
        "2,000",
        "propagation.json, four zones at 88 VMs, by zone",
        "two watchers a zone, peers tell the rest",
        "yes",
    )
    yield Row(
        "store",
        "calls a second, hot keys moving and patches",
        f"{moves + patches:.0f}",
        "2,000 reads, several hundred writes",
        "changes × (read, write, watchers)",
        "writes follow changes, not daemons",
        "yes",
    )
    yield Row(
        "configuration",
        "in force in a zone, hops of peers",
        f"{hops:.0f} hops",
        "8 s",
        "slopes, hops of a change; propagation.json: worst"
        f" {float(watching['worst']):.3f} s at {watching['vms']} VMs",
        "watch, push along a tree, digests as a net",
        "yes",
    )


_HEAD = """# Capacity

Made by `make capacity` from `measurements/`; a test fails when this page and
those results differ. Refresh the results with `python -m mimosastile_standins
slopes`, `make bench` and `make measure`, then make the page.

## What it is worked out for

| size | value | from |
|---|---|---|
"""

_NOTES = """
## What to read into it

- The figures come from one machine of 12 cores that other work shared; the
  processor times of two runs differ by up to half. They tell magnitudes and
  what grows with what, not the last tenth.
- Keys cost nothing themselves: state grows with slices, and slices with
  targets and hot keys.
- Served again within 1 s of a loss: grants lapse 0.606 s after the last answer
  (time to live 0.6 s, drift 1%), whatever the fleet's size; the write to the
  store and two messages follow. `MEASUREMENTS.md` has the measured times.
- 14 VMs that fail a day and 840 that are replaced are 0.01 events a second,
  each a few writes for the blocks of the VM's targets. The loss of a zone is
  one write a block with a target there: all blocks, once, at some hundred
  writes a second in seconds; its keys wait for proof of release as the design
  says.
- Administration: a patch is two writes and two reads, whatever the fleet. The
  command that waits until a patch is in force asks every daemon itself and
  must ask one daemon a zone at this size.
- Limits of members and the memory of requests that stop targets are told to
  all VMs; by zone, as presence is, they must be before a thousand VMs.
- The link: 30 Mbit/s each way carry 3.75 MB/s. What crosses it at 36 million
  requests a second must stay below 0.1 byte a request, so at this size
  requests stay in their region.

## On the users' platform

The gateway of `PLATFORM.md`: one day of the 12-VM deployment swept to 300 VMs
on the users' bench, single runs on a shared machine. The loads include callers'
requests. The last columns carry the fitted power on; nothing was played at that
size.

"""
_PLATFORM_NOTES = """By role of the gateway, what carries it and what ends it:

- *Request path.* Own counts exactly, those of others from the leader. Targets
  of plain services are looked through one by one for each request; a part of
  them for each VM is the next step.
- *Leader, orders.* One connection and one task a keyed target; renewals come
  every second from 1,000 ranges on, 256 at a time. Its processor and its
  connections end it; a leader for each part of the keys is the next step.
- *Leader, reports.* 0.2 s and 4 ms a VM apart; sums are kept. What VMs know of
  others is over a second old from 200 VMs on; reports joined by zone are the
  next step.
- *Leader, news.* One message a zone, passed on there by one VM, which sends as
  many as its zone has VMs; an assignment at most every 20 ms.
- *Witnesses.* One record in the store, one look at the store each in an outage.
- *Gates.* Datagrams of under 100 bytes; each serves the rate of one target. The
  leader names one for contended targets only, and tells all VMs at once.
- *Looking for a leader.* By lots; a VM that knows of no other reads the
  leader's entry alone, and a sixteenth of the list of VMs to ask some; above 30
  VMs nobody reads tables. What n VMs read and report at a start grows with n
  (`tests/gateway/test_start.py`, 12 to 600 VMs).

What grows with the VMs: reports, their answers, one lease each, and one message
in each zone for each change. What grows with the targets: orders and the
assignment. Neither grows with the keys. One leader does not carry 5,600 VMs;
tables, fences and proofs are per service already, so that it can be divided.

Not measured: 1,000 VMs, and a sweep of the large deployment.
"""


def page(results: Results) -> str:
    """Returns the capacity page as Markdown."""
    sizes = Sizes()
    assumptions = (
        ("daemons", f"{DAEMONS:,}", "aim"),
        ("keys in use", f"{KEYS / 1e9:.1f} billion", "aim"),
        (
            "requests a second",
            f"{REQUESTS_PER_SECOND / 1e6:.0f} million",
            "aim",
        ),
        ("zones", f"{ZONES}", "aim"),
        ("targets", f"{sizes.targets:,.0f}", "3.5 a daemon, as today"),
        ("slices", f"{sizes.slices:,.0f}", "8 a target, each hot key its own"),
        ("blocks", f"{sizes.blocks:,.0f}", f"{TARGETS_PER_BLOCK} targets each"),
        (
            "changes of blocks a second",
            f"{sizes.block_changes:.1f}",
            f"{HOT_KEYS} hot keys move in {HOT_CHANGE_SECONDS:.0f} s, two"
            " writes each",
        ),
        (
            "changes of configuration a second",
            f"{sizes.config_changes:.2f}",
            f"{CONFIG_CHANGES_PER_DAY:,} a day",
        ),
    )
    lines = [
        *(f"| {' | '.join(row)} |" for row in assumptions),
        "\n## By role, for one daemon unless the store is named\n",
        "| role | what | at full size | aim | from | carried by | reached |",
        "|---|---|---|---|---|---|---|",
        *(
            f"| {' | '.join(msgspec.structs.astuple(row))} |"
            for row in rows(results, sizes)
        ),
        "\n## Measured slopes\n",
        "| what | unit | by | sizes | at 0 | each |",
        "|---|---|---|---|---|---|",
        *(
            f"| {s.name} | {s.unit} | {s.by} |"
            f" {', '.join(str(p.size) for p in s.points)} |"
            f" {s.base:.4g} | {s.slope:.4g} |"
            for s in results.slopes
        ),
    ]
    platform = sweeping.table(results.sweep, DAEMONS) + "\n\n"
    return _HEAD + "\n".join(lines) + "\n" + _NOTES + platform + _PLATFORM_NOTES
