"""Measures costs at several sizes and fits slopes for the capacity page."""

import gc
import time
import tracemalloc

import msgspec

from mimosastile_core import balance_plan
from mimosastile_core import config
from mimosastile_core import differences
from mimosastile_core import fleet
from mimosastile_core import gossip
from mimosastile_core import grants
from mimosastile_core import holder
from mimosastile_core import keys
from mimosastile_core import messages
from mimosastile_core import moves
from mimosastile_core import presence
from mimosastile_core import replica
from mimosastile_core import tables

_SLICES_PER_TARGET = 8
_LOOKUPS = 20_000
_REPEATS = 5


class Point(msgspec.Struct, frozen=True):
    """One measured value.

    Attributes:
        size: The varied size.
        value: The cost at that size.
    """

    size: int
    value: float


class Slope(msgspec.Struct, frozen=True):
    """A cost by size, with a fitted straight line.

    Attributes:
        name: The measured quantity.
        unit: Unit of the values.
        by: The items that the size counts.
        points: The measured points.
        base: Cost at size 0 on the fitted line.
        slope: Fitted cost of one more item.
    """

    name: str
    unit: str
    by: str
    points: tuple[Point, ...]
    base: float
    slope: float


def fit(name: str, unit: str, by: str, points: list[Point]) -> Slope:
    """Fits a straight line to the points by least squares."""
    count = len(points)
    mean_x = sum(p.size for p in points) / count
    mean_y = sum(p.value for p in points) / count
    spread = sum((p.size - mean_x) ** 2 for p in points)
    covariance = sum((p.size - mean_x) * (p.value - mean_y) for p in points)
    slope = covariance / spread if spread else 0.0
    return Slope(name, unit, by, tuple(points), mean_y - slope * mean_x, slope)


def block_of(targets: int, slices: int) -> tables.Block:
    """Returns a block with owners and keepers, as in production."""
    block_slices = tuple(
        tables.Slice(first, last, f"service-{i % targets}", 1000 + i)
        for i, (first, last) in enumerate(keys.even_ranges(slices))
    )
    keeper_refs = {
        f"service-{i}": tables.KeeperRef(
            f"entry-zone-{i % 11}", f"{i:032x}", 1000 + i
        )
        for i in range(targets)
    }
    return tables.Block("service", 0, 10_000, block_slices, keeper_refs)


def _shortest_seconds(function: object, repeats: int = _REPEATS) -> float:
    """Returns the shortest CPU time of several repeats, in seconds."""
    assert callable(function)
    times = []
    for _ in range(repeats):
        began = time.process_time()
        function()
        times.append(time.process_time() - began)
    return min(times)


def _sizes(count: int) -> tuple[tables.Block, bytes]:
    block = block_of(max(1, count // _SLICES_PER_TARGET), count)
    return block, tables.encode(block)


def table_slopes() -> list[Slope]:
    """Returns the costs of a table by its number of slices."""
    byte_points, memory, lookup, encode, decode, index = [], [], [], [], [], []
    for count in (144, 576, 2304, 4608):
        block, value = _sizes(count)
        byte_points.append(Point(count, len(value)))
        gc.collect()
        tracemalloc.start()
        decoded_block = tables.decode(value).unwrap()
        table = tables.Table("service", [decoded_block])
        memory.append(Point(count, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        positions = [keys.key_hash(f"k{i}") for i in range(_LOOKUPS)]

        def look_up(
            table: tables.Table = table, positions: list[int] = positions
        ) -> None:
            for position in positions:
                table.locate(position)

        lookup.append(Point(count, _shortest_seconds(look_up) / _LOOKUPS * 1e6))
        encode.append(
            Point(
                count, _shortest_seconds(lambda b=block: tables.encode(b)) * 1e3
            )
        )
        decode.append(
            Point(
                count, _shortest_seconds(lambda v=value: tables.decode(v)) * 1e3
            )
        )
        index.append(
            Point(
                count,
                _shortest_seconds(
                    lambda b=decoded_block: tables.Table("service", [b])
                )
                * 1e3,
            )
        )
    by = "slices, 8 a target"
    return [
        fit("table size in the store", "bytes", by, byte_points),
        fit("table in memory, with its index", "bytes", by, memory),
        fit("look-up of a key", "us", by, lookup),
        fit("encoding a block", "ms", by, encode),
        fit("decoding a block", "ms", by, decode),
        fit("indexing a block", "ms", by, index),
    ]


def target_slopes() -> list[Slope]:
    """Returns the costs of a table of 1,152 slices by targets."""
    byte_points, memory = [], []
    for targets in (18, 72, 144, 288):
        value = tables.encode(block_of(targets, 1152))
        byte_points.append(Point(targets, len(value)))
        gc.collect()
        tracemalloc.start()
        indexed_table = tables.Table("service", [tables.decode(value).unwrap()])
        memory.append(Point(targets, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del indexed_table
    by = "targets, 1,152 slices"
    return [
        fit("table size in the store", "bytes", by, byte_points),
        fit("table in memory, with its index", "bytes", by, memory),
    ]


def plan_slopes() -> list[Slope]:
    """Returns the CPU time of a placement plan by targets."""
    even: list[Point] = []
    uneven: list[Point] = []
    for targets in (18, 72, 144, 288):
        block = block_of(targets, targets * _SLICES_PER_TARGET)
        candidates = [
            balance_plan.Candidate(f"service-{i}", f"z{i % 4}", f"r{i % 2}")
            for i in range(targets)
        ]
        for points, skew in ((even, 0.0), (uneven, 1.0)):
            loads = {
                piece.first: balance_plan.SliceLoad(
                    1.0 + skew * (i % targets == 0) * 4
                )
                for i, piece in enumerate(block.slices)
            }

            def make_plan(
                block: tables.Block = block,
                loads: dict[int, balance_plan.SliceLoad] = loads,
                candidates: list[balance_plan.Candidate] = candidates,
            ) -> None:
                balance_plan.plan(
                    block.slices, loads, candidates, config.Placement()
                )

            points.append(Point(targets, _shortest_seconds(make_plan, 3) * 1e3))
    return [
        fit("plan with nothing to do", "ms", "targets", even),
        fit("plan that evens a target out", "ms", "targets", uneven),
    ]


def _zone(size: int) -> list[fleet.Vm]:
    return [
        fleet.Vm(
            f"entry-zone-a-{i}",
            fleet.Role.ENTRY,
            "region",
            "zone-a",
            "10.0.0.1",
            8081,
        )
        for i in range(size)
    ]


def presence_slopes() -> list[Slope]:
    """Returns the presence messages and bytes sent by a VM, by zone size.

    The core's failure detectors of one VM and its peers exchange probes for
    20 s of simulated time. Only the probes and replies that the VM sends count.
    """
    sent, byte_points = [], []
    for size in (3, 11, 100, 622):
        vms = _zone(size)
        own_id = vms[0].id
        peers = presence.choose_peers(own_id, "zone-a", vms, frozenset())
        names = [own_id, *sorted(peers.near)]
        detectors = {
            name: presence.Detector(name, presence.Timing(), 0.0)
            for name in names
        }
        for name in names:
            all_peers = presence.choose_peers(name, "zone-a", vms, frozenset())
            simulated_peers = presence.Peers(
                all_peers.near & set(names), frozenset()
            )
            detectors[name].follow(simulated_peers, names, 0.0)
        count = _count_sent_messages(own_id, detectors, 20.0)
        message = len(messages.encode(messages.Presence(own_id)))
        sent.append(Point(size, count / 20.0))
        byte_points.append(Point(size, count * message / 20.0))
    return [
        fit("presence messages sent by a VM", "1/s", "VMs of a zone", sent),
        fit(
            "presence bytes sent by a VM",
            "bytes/s",
            "VMs of a zone",
            byte_points,
        ),
    ]


def _count_sent_messages(
    own_id: str, detectors: dict[str, presence.Detector], seconds: float
) -> int:
    count, now = 0, 0.0
    while now < seconds:
        for name, detector in detectors.items():
            for peer in detector.tick(now).probes:
                count += own_id in (name, peer)
                detectors[peer].receive(name, (), now)
                detector.receive(peer, (), now)
        now += 0.005
    return count


def _move_bytes(block: tables.Block) -> int:
    """Returns the size in bytes of the push for one moved slice."""
    first = block.slices[0].first
    after = moves.start_moves(block, {first: "another-target"}).unwrap()
    change = differences.diff(block, after)
    delta = messages.Delta("entry", changes=(change,))
    return len(messages.encode(messages.Push("entry", delta)))


def message_slopes() -> list[Slope]:
    """Returns the sizes of the messages that carry cluster state."""
    digest, delta, pull, listing, report = [], [], [], [], []
    moved = []
    for count in (144, 576, 2304, 4608):
        table_replica = replica.Replica()
        block, _ = _sizes(count)
        table_replica.offer_blocks((block,))
        sent = messages.Digest(
            "entry", 7, table_replica.tables_digest(), "r", 3, 0.5
        )
        digest.append(Point(count, len(messages.encode(sent))))
        whole = table_replica.delta("entry", messages.Pull("entry", 0, ()))
        pushed = messages.Push("entry", whole)
        delta.append(Point(count, len(messages.encode(pushed))))
        moved.append(Point(count, _move_bytes(block)))
    for blocks in (1, 8, 64, 256):
        table_replica = replica.Replica()
        table_replica.offer_blocks(
            tuple(
                msgspec.structs.replace(block_of(1, 1), index=i)
                for i in range(blocks)
            )
        )
        request = table_replica.pull("entry")
        pull.append(Point(blocks, len(messages.encode(request))))
    for size in (47, 200, 800, 3200):
        fleet_list = messages.Listing(
            "e", "e/r", 1, 0.5, tuple(_zone(size)), ()
        )
        listing.append(Point(size, len(messages.encode(fleet_list))))
    for targets in (2, 6, 18, 54):
        names = tuple(f"service-{i}" for i in range(targets))
        slices = tuple(
            messages.SliceReport(i << 50, 0.125, i << 50, 0.0625)
            for i in range(targets * _SLICES_PER_TARGET)
        )
        load_report = messages.LoadReport("entry", "service", slices, names)
        report.append(Point(targets, len(messages.encode(load_report))))
    return [
        fit("digest", "bytes", "slices", digest),
        fit("delta of one block", "bytes", "slices", delta),
        fit("push of one moved slice", "bytes", "slices", moved),
        fit("pull", "bytes", "blocks", pull),
        fit("list of VMs", "bytes", "VMs", listing),
        fit("load report", "bytes", "kept targets", report),
    ]


def keeper_slopes() -> list[Slope]:
    """Returns the cost of a keeper's grant renewals, without the transport.

    The keeper is the entry VM through which alone a target gets requests and
    grants.
    """
    timing = grants.Timing()
    cpu, byte_points = [], []
    for targets in (5, 20, 80, 320):
        block = tables.BlockId("service", 0)
        pairs = [
            (
                grants.KeptTarget(block, f"t{i}", 1, timing, 0.0, True),
                holder.Holder(f"run-{i}"),
            )
            for i in range(targets)
        ]
        for kept_target, target_holder in pairs:
            kept_target.set_wanted((grants.HeldSlice(0, 9, 1),))
            for at in (0.1, 0.2):
                sent = kept_target.message()
                kept_target.handle_reply(
                    sent, target_holder.receive(sent, at), at
                )
        size = 0
        for kept_target, target_holder in pairs:
            renewal = kept_target.message()
            answer = target_holder.receive(renewal, 0.3)
            size += len(msgspec.json.encode(renewal))
            size += len(msgspec.json.encode(answer))

        def renew_all(
            pairs: list[tuple[grants.KeptTarget, holder.Holder]] = pairs,
        ) -> None:
            for kept_target, target_holder in pairs:
                renewal = kept_target.message()
                msgspec.json.encode(renewal)
                reply = target_holder.receive(renewal, 0.3)
                msgspec.json.decode(
                    msgspec.json.encode(reply), type=grants.GrantReply
                )
                kept_target.handle_reply(renewal, reply, 0.3)

        cpu.append(
            Point(targets, _shortest_seconds(renew_all) / timing.renew * 1e3)
        )
        byte_points.append(Point(targets, size / timing.renew))
    return [
        fit("keeper renewals, processor", "ms/s", "kept targets", cpu),
        fit(
            "keeper renewals, both ways", "bytes/s", "kept targets", byte_points
        ),
    ]


def spread_slopes() -> list[Slope]:
    """Returns hops and messages of a change's dissemination in a zone."""
    hops, copies = [], []
    for size in (3, 11, 100, 622):
        members = [f"e{i}" for i in range(size)]
        level, count, sends = ["e0"], 0, 0
        while True:
            level = [
                child
                for vm in level
                for child in gossip.children("e0", vm, members)
            ]
            if not level:
                break
            count += 1
            sends += len(level)
        hops.append(Point(size, count))
        copies.append(Point(size, sends / size))
    return [
        fit("hops of a change", "hops", "VMs of a zone", hops),
        fit("pushes sent by a VM", "1/change", "VMs of a zone", copies),
    ]


def all_slopes() -> list[Slope]:
    """Measures all costs that need no running deployment."""
    return [
        *table_slopes(),
        *target_slopes(),
        *plan_slopes(),
        *presence_slopes(),
        *message_slopes(),
        *keeper_slopes(),
        *spread_slopes(),
    ]


def table(fitted: list[Slope]) -> str:
    """Formats slopes as text."""
    lines = []
    for slope in fitted:
        points = ", ".join(f"{p.size}: {p.value:.4g}" for p in slope.points)
        lines.append(
            f"{slope.name} [{slope.unit}] by {slope.by}: {points};"
            f" {slope.base:.4g} + {slope.slope:.4g} each"
        )
    return "\n".join(lines)
