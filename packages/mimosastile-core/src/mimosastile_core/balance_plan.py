"""Load rebalancing: plans moves and splits of slices, and when to make none.

A plan weighs three costs by the service's weights: the imbalance of the load,
the number of keys that change owner, and the time for which keys are
unavailable meanwhile. It greedily looks for few moves that bring the most
loaded targets under the limit: each overloaded target gives the slice that
best levels the pair to the least loaded target.
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
        load: Average number of slots in use, or any other additive unit.
        hottest: Hash of its hottest key, None if not reported.
        hottest_load: Load of that key, in the unit of `load`.
    """

    load: float
    hottest: int | None = None
    hottest_load: float = 0.0


class Candidate(msgspec.Struct, frozen=True):
    """A target that may own slices.

    Attributes:
        id: Identifier of the target.
        zone: Its availability zone.
        region: Its region.
        capacity: Fraction of a warm target's load that it can carry, below 1
            during its slow start.
    """

    id: str
    zone: str = ""
    region: str = ""
    capacity: float = 1.0


class Plan(msgspec.Struct, frozen=True):
    """Changes to the slices of a service.

    Attributes:
        moves: First hash of a slice to its new target.
        splits: First hash of a slice to the first hashes of its parts.
    """

    moves: dict[int, str] = {}
    splits: dict[int, tuple[int, ...]] = {}


class Imbalance(msgspec.Struct, frozen=True):
    """Imbalance of a load distribution over targets.

    Attributes:
        worst: Load of the most loaded target divided by the mean.
        p99: The same ratio at the 99th percentile of the targets.
    """

    worst: float
    p99: float


def measure_imbalance(loads: Mapping[str, float]) -> Imbalance:
    """Returns the imbalance of the loads of targets; 1 is even."""
    ordered = sorted(loads.values())
    mean = sum(ordered) / len(ordered) if ordered else 0.0
    if mean <= 0:
        return Imbalance(1.0, 1.0)
    at = min(len(ordered) - 1, int(len(ordered) * 0.99))
    return Imbalance(ordered[-1] / mean, ordered[at] / mean)


def slow_start_capacity(age: float, seconds: float) -> float:
    """Returns the capacity of a target during its slow start, from 0.1 to 1.

    Args:
        age: Seconds since the target began to serve.
        seconds: Length of the slow start; 0 gives full capacity at once.
    """
    if seconds <= 0 or age >= seconds:
        return 1.0
    return max(0.1, age / seconds)


def plan_operator_moves(
    slices: Sequence[tables.Slice],
    wanted: Mapping[str, str],
    ready: Collection[str],
) -> Plan:
    """Plans the moves ordered by operators, which precede all others.

    A key that shares its slice with other keys is first split off.

    Args:
        slices: All slices of a service.
        wanted: Key to the target that operators want as its owner.
        ready: Targets that may receive slices.
    """
    moves: dict[int, str] = {}
    parts: dict[int, tuple[int, ...]] = {}
    for key, target in wanted.items():
        at = keys.key_hash(key)
        piece = next((s for s in slices if s.first <= at <= s.last), None)
        if piece is None or target not in ready:
            continue
        if target in (piece.owner, piece.next):
            continue
        if piece.first == piece.last:
            moves[piece.first] = target
        elif not piece.next:
            before = parts.get(piece.first, (piece.first,))
            parts[piece.first] = (*before, at, at + 1)
    return Plan(moves, parts)


def reassign(
    slices: Sequence[tables.Slice],
    loads: Mapping[int, SliceLoad],
    candidates: Sequence[Candidate],
    orphaned: Collection[int],
) -> dict[int, str]:
    """Assigns new owners to the given slices by load.

    Args:
        slices: All slices of a service.
        loads: First hash of a slice to its load, where reported.
        candidates: Targets that may receive slices.
        orphaned: First hashes of the slices that need a new owner.

    Returns:
        First hash of a slice to its new target.
    """
    if not candidates:
        return {}
    kept = [s for s in slices if s.first not in orphaned]
    moving = [s for s in slices if s.first in orphaned]
    assignment = _Assignment(kept, loads, candidates)
    assignment.load |= _Assignment(moving, loads, candidates).load
    return _assign(moving, assignment)


def is_idle(
    slices: Sequence[tables.Slice],
    loads: Mapping[int, SliceLoad],
    slots: float,
) -> bool:
    """Returns whether every target is below a number of slots in use.

    Args:
        slices: All slices of a service.
        loads: First hash of a slice to its load in slots.
        slots: Slots in use from which a target counts as busy.
    """
    held: dict[str, float] = {}
    for piece in slices:
        if piece.first in loads:
            load = loads[piece.first].load
            held[piece.owner] = held.get(piece.owner, 0.0) + load
    return max(held.values(), default=0.0) < slots


def is_underfilled(
    slices: Sequence[tables.Slice], candidates: Sequence[Candidate]
) -> bool:
    """Returns whether a target owns far fewer slices than its fair count."""
    assignment = _Assignment(slices, {}, candidates)
    return (
        min((assignment.fill(c.id) for c in candidates), default=1) < _MIN_FILL
    )


class _Assignment:
    """Assignment of slices to targets while a plan is being built."""

    __slots__ = ("by_target", "candidates", "capacity", "load", "total")

    def __init__(
        self,
        slices: Sequence[tables.Slice],
        loads: Mapping[int, SliceLoad],
        candidates: Sequence[Candidate],
    ) -> None:
        self.candidates = {c.id: c for c in candidates}
        self.capacity = {c.id: c.capacity for c in candidates}
        self.by_target: dict[str, list[tables.Slice]] = {
            c.id: [] for c in candidates
        }
        reported_load = sum(s.load for s in loads.values())
        unreported = sum(1 for s in slices if s.first not in loads)
        # Slices without a report get a small load, so that the first tables,
        # made before any request, are even by slice count.
        floor = (
            reported_load / 100 / unreported
            if reported_load and unreported
            else 1.0
        )
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
        """Returns a target's load divided by its fair load; 1 is even."""
        fair = self.total / max(sum(self.capacity.values()), 1e-9)
        held = sum(self.load[s.first] for s in self.by_target[target])
        return held / max(fair * self.capacity[target], 1e-12)

    def fair_load(self, target: str) -> float:
        """Returns a target's fair load, in proportion to its capacity."""
        return (
            self.total
            * self.capacity[target]
            / max(sum(self.capacity.values()), 1e-9)
        )

    def headroom(self, target: str) -> float:
        """Returns a target's fair load minus its load; may be negative."""
        held = sum(self.load[s.first] for s in self.by_target[target])
        return self.fair_load(target) - held

    def move(self, piece: tables.Slice, donor: str, receiver: str) -> None:
        """Moves a slice to another target."""
        self.by_target[donor].remove(piece)
        self.by_target[receiver].append(piece)


def plan(
    slices: Sequence[tables.Slice],
    loads: Mapping[int, SliceLoad],
    candidates: Sequence[Candidate],
    weights: config.Placement,
    recently_moved: Collection[int] = (),
) -> Plan:
    """Plans moves and splits.

    Args:
        slices: All slices of a service.
        loads: First hash of a slice to its load, where reported.
        candidates: Targets that may own slices.
        weights: The service's weights and bounds.
        recently_moved: First hashes of slices that moved a short time ago
            and are not moved again.

    Returns:
        The plan, empty if the gain does not outweigh the cost.
    """
    if not candidates or not slices:
        return Plan()
    assignment = _Assignment(slices, loads, candidates)
    moves = _assign_orphaned(slices, assignment)
    in_flight = sum(1 for s in slices if s.next)
    budget = weights.moves_in_flight - in_flight
    fills = [assignment.fill(c.id) for c in candidates]
    # Hysteresis: a plan begins above the upper limit and levels down to the
    # lower one. With one limit, small changes of load would move keys back
    # and forth.
    if max(fills) <= 1 + weights.begin_above and min(fills) >= _MIN_FILL:
        return Plan(moves)
    moves |= _plan_moves(
        assignment, weights, budget, set(moves) | set(recently_moved)
    )
    return Plan(moves, _plan_splits(loads, assignment, weights, set(moves)))


_MIN_FILL = 0.5
"""Fill below which a target receives slices although none is overloaded."""


def _assign_orphaned(
    slices: Sequence[tables.Slice], assignment: _Assignment
) -> dict[int, str]:
    """Assigns slices whose owner is not a candidate."""
    orphaned = [
        s for s in slices if (s.next or s.owner) not in assignment.by_target
    ]
    return _assign(orphaned, assignment)


def _assign(
    orphaned: list[tables.Slice], assignment: _Assignment
) -> dict[int, str]:
    """Assigns slices to the least filled targets, largest slice first."""
    moves: dict[int, str] = {}
    for piece in sorted(
        orphaned, key=lambda s: (-assignment.load[s.first], s.first)
    ):
        receiver = min(
            assignment.by_target, key=lambda t: (assignment.fill(t), t)
        )
        assignment.by_target[receiver].append(piece)
        moves[piece.first] = receiver
    return moves


def _plan_splits(
    loads: Mapping[int, SliceLoad],
    assignment: _Assignment,
    weights: config.Placement,
    moving: set[int],
) -> dict[int, tuple[int, ...]]:
    """Plans splits on targets that moves of whole slices cannot relieve."""
    full = [
        target
        for target in assignment.by_target
        if assignment.fill(target) > 1 + weights.begin_above
    ]
    fair = assignment.total / max(sum(assignment.capacity.values()), 1e-9)
    splittable = (
        piece
        for target in full
        for piece in assignment.by_target[target]
        if piece.first in loads
        and piece.first not in moving
        and assignment.load[piece.first] > fair * weights.split_above
        and not piece.next
        and piece.owner
        and piece.first != piece.last
    )
    spare_slices = weights.slices_at_most - sum(
        map(len, assignment.by_target.values())
    )
    split_limit = max(0, min(spare_slices // 2, _MAX_SPLITS_PER_PLAN))
    largest = sorted(
        splittable, key=lambda s: (-assignment.load[s.first], s.first)
    )[:split_limit]
    return {s.first: _part_starts(s, loads[s.first]) for s in largest}


_MAX_SPLITS_PER_PLAN = 8
_HOT_KEY_LOAD_SHARE = 0.3


def _part_starts(piece: tables.Slice, load: SliceLoad) -> tuple[int, ...]:
    """Returns the first hashes of parts: around a hot key, or of two halves."""
    if (
        load.hottest is not None
        and load.hottest_load >= load.load * _HOT_KEY_LOAD_SHARE
    ):
        edges = (piece.first, load.hottest, load.hottest + 1)
        inside = {e for e in edges if piece.first <= e <= piece.last}
        return tuple(sorted(inside))
    middle = keys.even_ranges(2, piece.first, piece.last)[1][0]
    return (piece.first, middle)


def _plan_moves(
    assignment: _Assignment,
    weights: config.Placement,
    budget: int,
    excluded: set[int],
) -> dict[int, str]:
    """Plans moves from overloaded targets to the least filled ones."""
    moves: dict[int, str] = {}
    slice_count = max(1, sum(map(len, assignment.by_target.values())))
    # A target that is filled by a single hot key has no slice to give. It must
    # not end the plan, or a new target would stay empty.
    donors = set(assignment.by_target)
    while len(moves) < budget and donors:
        donor = max(donors, key=lambda t: (assignment.fill(t), t))
        receiver = min(
            assignment.by_target, key=lambda t: (assignment.fill(t), t)
        )
        is_level = assignment.fill(donor) <= 1 + weights.end_below
        if is_level and assignment.fill(receiver) >= _MIN_FILL:
            break
        chosen = _best_slice(assignment, donor, receiver, excluded | set(moves))
        if chosen is None:
            donors.discard(donor)
            continue
        gain = _gain(assignment, chosen, donor, receiver) * weights.imbalance
        share = assignment.load[chosen.first] / max(assignment.total, 1e-12)
        cost = weights.churn / slice_count + weights.unavailable * share
        if gain <= max(_MIN_GAIN, cost * _COST_SCALE):
            break
        nearest = _nearest_receiver(assignment, chosen, donor, receiver)
        assignment.move(chosen, donor, nearest)
        moves[chosen.first] = nearest
    return moves


_MIN_GAIN = 0.03
"""Least decrease of the fill of the more loaded target that justifies a move.
Measured load varies by as much by itself, so smaller gains would move keys
back and forth."""

_COST_SCALE = 0.02
"""Factor that puts the cost of a move, which interrupts for milliseconds, on
the same scale as a lasting imbalance."""


def _best_slice(
    assignment: _Assignment, donor: str, receiver: str, excluded: set[int]
) -> tables.Slice | None:
    """Returns the slice whose move best levels the two targets."""
    wanted = (assignment.headroom(receiver) - assignment.headroom(donor)) / 2
    free = [
        s
        for s in assignment.by_target[donor]
        if not s.next and s.first not in excluded and s.owner == donor
    ]
    fitting = [s for s in free if assignment.load[s.first] < 2 * wanted]
    return min(
        fitting,
        key=lambda s: (
            abs(assignment.load[s.first] - wanted),
            assignment.load[s.first],
            s.first,
        ),
        default=None,
    )


def _gain(
    assignment: _Assignment, piece: tables.Slice, donor: str, receiver: str
) -> float:
    """Returns the decrease of the higher fill of the two targets.

    If the receiver is below `_MIN_FILL`, its shortfall counts if larger.
    """
    load = assignment.load[piece.first]
    before = max(assignment.fill(donor), assignment.fill(receiver))
    after = max(
        assignment.fill(donor) - load / assignment.fair_load(donor),
        assignment.fill(receiver) + load / assignment.fair_load(receiver),
    )
    shortfall = _MIN_FILL - assignment.fill(receiver)
    return max(before - after, shortfall)


def _nearest_receiver(
    assignment: _Assignment, piece: tables.Slice, donor: str, fallback: str
) -> str:
    """Returns the closest receiver that the move does not overload.

    The donor's zone is preferred, then its region. Without such a target, the
    fallback is returned.
    """
    load = assignment.load[piece.first]
    donor_candidate = assignment.candidates[donor]

    def rank(target: str) -> tuple[int, float, str]:
        candidate = assignment.candidates[target]
        distance = (candidate.zone != donor_candidate.zone) + (
            candidate.region != donor_candidate.region
        )
        return (distance, assignment.fill(target), target)

    suitable = [
        t
        for t in assignment.by_target
        if t != donor
        and assignment.fill(t) + load / assignment.fair_load(t) <= 1.0
    ]
    return min(suitable, key=rank, default=fallback)
