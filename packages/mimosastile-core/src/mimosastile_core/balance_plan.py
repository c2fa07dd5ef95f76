"""Which slices to move or split so that load is even, and when not to.

A plan weighs three things by the service's weights: how uneven the load is,
how many keys change their owner, and how long keys wait while they do. The
smallest set of moves that brings the fullest targets under the limit wins: for
each overloaded target the largest slice that fits goes to the emptiest one.
"""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from mimosastile_core import config
from mimosastile_core import keys
from mimosastile_core import tables


class SliceLoad(msgspec.Struct, frozen=True):
    """Load of one slice.

    Attributes:
        load: Slots in use on average, or any unit that adds up.
        hottest: Position of its hottest key, None if not known.
        hottest_load: Load of that key alone.
    """

    load: float
    hottest: int | None = None
    hottest_load: float = 0.0


class Candidate(msgspec.Struct, frozen=True):
    """A target that may own slices.

    Attributes:
        id: The target.
        zone: Its availability zone.
        region: Its region.
        capacity: Share of a full target that it can carry; below one while it
            is cold.
    """

    id: str
    zone: str = ""
    region: str = ""
    capacity: float = 1.0


class Plan(msgspec.Struct, frozen=True):
    """What to change.

    Attributes:
        moves: First hash of a slice to its new target.
        splits: First hash of a slice to where its parts begin.
    """

    moves: dict[int, str] = {}
    splits: dict[int, tuple[int, ...]] = {}


class Measured(msgspec.Struct, frozen=True):
    """How even a distribution is.

    Attributes:
        worst: Load of the fullest target over the mean, by capacity.
        p99: The same at the 99th of a hundred targets.
    """

    worst: float
    p99: float


def measure(loads: Mapping[str, float]) -> Measured:
    """Returns how even loads of targets are; 1 is even."""
    ordered = sorted(loads.values())
    mean = sum(ordered) / len(ordered) if ordered else 0.0
    if mean <= 0:
        return Measured(1.0, 1.0)
    at = min(len(ordered) - 1, int(len(ordered) * 0.99))
    return Measured(ordered[-1] / mean, ordered[at] / mean)


def ramp(age: float, seconds: float) -> float:
    """Returns the capacity of a target that began to serve some time ago.

    Args:
        age: Seconds since then.
        seconds: Seconds until it carries a full share; 0 for at once.
    """
    if seconds <= 0 or age >= seconds:
        return 1.0
    return max(0.1, age / seconds)


def ordered(
    slices: Sequence[tables.Slice],
    wanted: Mapping[str, str],
    ready: Collection[str],
) -> Plan:
    """Plans what operators have ordered; it goes before everything else.

    A key that shares its slice is first cut out of it.

    Args:
        slices: All slices of a service.
        wanted: Key to the target that operators want as its owner.
        ready: Targets that may get slices.
    """
    named: dict[int, str] = {}
    parts: dict[int, tuple[int, ...]] = {}
    for key, target in wanted.items():
        at = keys.key_hash(key)
        piece = next((s for s in slices if s.first <= at <= s.last), None)
        if piece is None or target not in ready:
            continue
        if target in (piece.owner, piece.next):
            continue
        if piece.first == piece.last:
            named[piece.first] = target
        elif not piece.next:
            before = parts.get(piece.first, (piece.first,))
            parts[piece.first] = (*before, at, at + 1)
    return Plan(named, parts)


def rehome(
    slices: Sequence[tables.Slice],
    loads: Mapping[int, SliceLoad],
    candidates: Sequence[Candidate],
    homeless: Collection[int],
) -> dict[int, str]:
    """Plans owners for slices that need another one, by load.

    Args:
        slices: All slices of a service.
        loads: First hash of a slice to its load, as far as known.
        candidates: Targets that may get slices.
        homeless: First hashes of the slices that need another owner.

    Returns:
        First hash of a slice to its new target.
    """
    if not candidates:
        return {}
    settled = [s for s in slices if s.first not in homeless]
    lost = [s for s in slices if s.first in homeless]
    sheet = _Sheet(settled, loads, candidates)
    sheet.load |= _Sheet(lost, loads, candidates).load
    return _assign(lost, sheet)


def is_idle(
    slices: Sequence[tables.Slice],
    loads: Mapping[int, SliceLoad],
    slots: float,
) -> bool:
    """Whether no target has more than some slots in use.

    Args:
        slices: All slices of a service.
        loads: First hash of a slice to its load in slots.
        slots: Slots in use from which a target is not idle.
    """
    held: dict[str, float] = {}
    for piece in slices:
        if piece.first in loads:
            load = loads[piece.first].load
            held[piece.owner] = held.get(piece.owner, 0.0) + load
    return max(held.values(), default=0.0) < slots


def is_starved(
    slices: Sequence[tables.Slice], candidates: Sequence[Candidate]
) -> bool:
    """Whether a target owns far fewer slices than its share by count."""
    sheet = _Sheet(slices, {}, candidates)
    return min((sheet.fill(c.id) for c in candidates), default=1) < _STARVED


class _Sheet:
    """Loads of slices and targets while a plan grows."""

    __slots__ = ("by_target", "capacity", "load", "places", "total")

    def __init__(
        self,
        slices: Sequence[tables.Slice],
        loads: Mapping[int, SliceLoad],
        candidates: Sequence[Candidate],
    ) -> None:
        self.places = {c.id: c for c in candidates}
        self.capacity = {c.id: c.capacity for c in candidates}
        self.by_target: dict[str, list[tables.Slice]] = {
            c.id: [] for c in candidates
        }
        known = sum(s.load for s in loads.values())
        unseen = sum(1 for s in slices if s.first not in loads)
        # Slices without a report count a little, so that the first tables,
        # before any request, come out even by count.
        floor = known / 100 / unseen if known and unseen else 1.0
        self.load = {
            s.first: loads[s.first].load if s.first in loads else floor
            for s in slices
        }
        self.total = sum(self.load.values())
        for piece in slices:
            holder = piece.next or piece.owner
            if holder in self.by_target:
                self.by_target[holder].append(piece)

    def fill(self, target: str) -> float:
        """Returns a target's load over what it should carry; 1 is even."""
        fair = self.total / max(sum(self.capacity.values()), 1e-9)
        held = sum(self.load[s.first] for s in self.by_target[target])
        return held / max(fair * self.capacity[target], 1e-12)

    def fair(self, target: str) -> float:
        """Returns the load that a target should carry."""
        return (
            self.total
            * self.capacity[target]
            / max(sum(self.capacity.values()), 1e-9)
        )

    def room(self, target: str) -> float:
        """Returns the load that a target lacks, negative for an excess."""
        held = sum(self.load[s.first] for s in self.by_target[target])
        return self.fair(target) - held

    def give(self, piece: tables.Slice, donor: str, receiver: str) -> None:
        """Moves a slice on the sheet."""
        self.by_target[donor].remove(piece)
        self.by_target[receiver].append(piece)


def plan(
    slices: Sequence[tables.Slice],
    loads: Mapping[int, SliceLoad],
    candidates: Sequence[Candidate],
    weights: config.Placement,
    resting: Collection[int] = (),
) -> Plan:
    """Plans moves and splits.

    Args:
        slices: All slices of a service.
        loads: First hash of a slice to its load, as far as known.
        candidates: Targets that may own slices.
        weights: The service's weights and bounds.
        resting: First hashes of slices that have moved a short time ago and
            stay where they are.

    Returns:
        The plan, empty if what it would gain is not worth what it costs.
    """
    if not candidates or not slices:
        return Plan()
    sheet = _Sheet(slices, loads, candidates)
    moves = _homeless(slices, sheet)
    in_flight = sum(1 for s in slices if s.next)
    budget = weights.moves_in_flight - in_flight
    fills = [sheet.fill(c.id) for c in candidates]
    # Two limits: a plan begins above the upper one and goes on to the lower
    # one, or small changes of load would move keys to and fro.
    if max(fills) <= 1 + weights.begin_above and min(fills) >= _STARVED:
        return Plan(moves)
    moves |= _level(sheet, weights, budget, set(moves) | set(resting))
    return Plan(moves, _splits(loads, sheet, weights, set(moves)))


_STARVED = 0.5
"""Fill below which a target is given slices though none is too full."""


def _homeless(slices: Sequence[tables.Slice], sheet: _Sheet) -> dict[int, str]:
    """Gives slices of no candidate to the emptiest targets."""
    lost = [s for s in slices if (s.next or s.owner) not in sheet.by_target]
    return _assign(lost, sheet)


def _assign(lost: list[tables.Slice], sheet: _Sheet) -> dict[int, str]:
    """Gives slices to the emptiest targets, largest first."""
    moves: dict[int, str] = {}
    for piece in sorted(lost, key=lambda s: (-sheet.load[s.first], s.first)):
        receiver = min(sheet.by_target, key=lambda t: (sheet.fill(t), t))
        sheet.by_target[receiver].append(piece)
        moves[piece.first] = receiver
    return moves


def _splits(
    loads: Mapping[int, SliceLoad],
    sheet: _Sheet,
    weights: config.Placement,
    moving: set[int],
) -> dict[int, tuple[int, ...]]:
    """Splits slices of targets that whole slices cannot relieve."""
    full = [
        target
        for target in sheet.by_target
        if sheet.fill(target) > 1 + weights.begin_above
    ]
    fair = sheet.total / max(sum(sheet.capacity.values()), 1e-9)
    large = (
        piece
        for target in full
        for piece in sheet.by_target[target]
        if piece.first in loads
        and piece.first not in moving
        and sheet.load[piece.first] > fair * weights.split_above
        and not piece.next
        and piece.owner
        and piece.first != piece.last
    )
    room = weights.slices_at_most - sum(map(len, sheet.by_target.values()))
    most = max(0, min(room // 2, _SPLITS_AT_ONCE))
    hot = sorted(large, key=lambda s: (-sheet.load[s.first], s.first))[:most]
    return {s.first: _cut(s, loads[s.first]) for s in hot}


_SPLITS_AT_ONCE = 8
_HOT_SHARE = 0.3


def _cut(piece: tables.Slice, load: SliceLoad) -> tuple[int, ...]:
    """Returns where the parts of a slice begin: around a hot key, or halves."""
    if load.hottest is not None and load.hottest_load >= load.load * _HOT_SHARE:
        edges = (piece.first, load.hottest, load.hottest + 1)
        inside = {e for e in edges if piece.first <= e <= piece.last}
        return tuple(sorted(inside))
    middle = keys.even_ranges(2, piece.first, piece.last)[1][0]
    return (piece.first, middle)


def _level(
    sheet: _Sheet, weights: config.Placement, budget: int, taken: set[int]
) -> dict[int, str]:
    moves: dict[int, str] = {}
    slices_in_all = max(1, sum(map(len, sheet.by_target.values())))
    # A target whose one hot key fills it can give nothing away. It must not
    # end the plan, or a new target would stay empty beside it.
    donors = set(sheet.by_target)
    while len(moves) < budget and donors:
        donor = max(donors, key=lambda t: (sheet.fill(t), t))
        receiver = min(sheet.by_target, key=lambda t: (sheet.fill(t), t))
        enough = sheet.fill(donor) <= 1 + weights.end_below
        if enough and sheet.fill(receiver) >= _STARVED:
            break
        chosen = _best(sheet, donor, receiver, taken | set(moves))
        if chosen is None:
            donors.discard(donor)
            continue
        gain = _gain(sheet, chosen, donor, receiver) * weights.imbalance
        share = sheet.load[chosen.first] / max(sheet.total, 1e-12)
        cost = weights.churn / slices_in_all + weights.unavailable * share
        if gain <= max(_LEAST_GAIN, cost * _COST_SCALE):
            break
        at = _near(sheet, chosen, donor, receiver)
        sheet.give(chosen, donor, at)
        moves[chosen.first] = at
    return moves


_LEAST_GAIN = 0.03
"""Fall of the fullest target's fill below which a move is not worth planning:
measured load varies that much by itself, and keys would move to and fro."""

_COST_SCALE = 0.02
"""A move interrupts for milliseconds, an uneven load lasts; this sets both on
one scale."""


def _best(
    sheet: _Sheet, donor: str, receiver: str, taken: set[int]
) -> tables.Slice | None:
    """Returns the slice whose move evens the two targets most."""
    wanted = (sheet.room(receiver) - sheet.room(donor)) / 2
    free = [
        s
        for s in sheet.by_target[donor]
        if not s.next and s.first not in taken and s.owner == donor
    ]
    fitting = [s for s in free if sheet.load[s.first] < 2 * wanted]
    return min(
        fitting,
        key=lambda s: (
            abs(sheet.load[s.first] - wanted),
            sheet.load[s.first],
            s.first,
        ),
        default=None,
    )


def _gain(
    sheet: _Sheet, piece: tables.Slice, donor: str, receiver: str
) -> float:
    """Returns by how much the worse fill of the two falls."""
    load = sheet.load[piece.first]
    before = max(sheet.fill(donor), sheet.fill(receiver))
    after = max(
        sheet.fill(donor) - load / sheet.fair(donor),
        sheet.fill(receiver) + load / sheet.fair(receiver),
    )
    starved = _STARVED - sheet.fill(receiver)
    return max(before - after, starved)


def _near(sheet: _Sheet, piece: tables.Slice, donor: str, emptiest: str) -> str:
    """Prefers a target of the donor's zone, then region, if it is as good."""
    load = sheet.load[piece.first]
    here = sheet.places[donor]

    def rank(target: str) -> tuple[int, float, str]:
        place = sheet.places[target]
        distance = (place.zone != here.zone) + (place.region != here.region)
        return (distance, sheet.fill(target), target)

    as_good = [
        t
        for t in sheet.by_target
        if t != donor and sheet.fill(t) + load / sheet.fair(t) <= 1.0
    ]
    return min(as_good, key=rank, default=emptiest)
