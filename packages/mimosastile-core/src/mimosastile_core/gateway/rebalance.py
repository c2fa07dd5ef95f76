"""Rebalancing of key ranges, so that no target gets far more load than others.

It handles two load patterns. First, request rates of keys are very uneven, and
hot keys are adjacent: a table of equal widths gives its busiest target several
times the mean load. Second, a narrow interval of keys may get a third of all
requests from one second to the next. It must be split and spread before the
queue at its owner makes requests miss their deadlines.

Ranges can be split at any key, so both are handled by splits where the request
rates of single keys show the load. The cost of a move is counted by width, and
hot pieces are narrow, so a move that carries much load is cheap.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import itertools
import math

import msgspec

from mimosastile_core.gateway import ranges

_HOT_DENSITY = 3.0
"""Load per key, relative to the mean, from which an interval is hot."""
_UNEVEN_RATIO = 1.6
"""Ratio of capacities, without the tenths at both ends, from which targets are
uneven. Estimates of equal targets differ by up to 1.4."""


class Policy(msgspec.Struct, frozen=True):
    """Thresholds from which moves are worth their cost.

    Attributes:
        excess: Load of a target above its fair share from which keys move, as a
            fraction of the share. Below it, queues at slots differ less than by
            chance.
        lone_share: Fraction of its owner's capacity from which a single key
            gets a target of its own. Above it, other requests on that target
            wait.
        faster: How many times the capacity of such a key's owner another target
            must have for the key to move there.
        sigmas: Standard deviations of a request count by which the load must
            also exceed the share. With three, chance moves keys at most about
            once in several hundred evaluations.
        near_excess: The same as `excess` for a target near its capacity, where
            a tenth more load doubles the waiting time.
        near_sigmas: The same as `sigmas` there. Moves by chance are more
            frequent, and each costs less than the waits it may prevent.
        near_from: Utilisation of a target from which the thresholds fall.
        near_at: Utilisation from which `near_excess` and `near_sigmas` hold.
        most_moves: Maximum number of pieces that move in one change; bounds the
            size of a change and the work of a leader.
        most_ranges: Ranges per target on average above which only whole ranges
            move; bounds the renewals that a leader sends.
    """

    excess: float = 0.25
    lone_share: float = 0.6
    faster: float = 1.25
    sigmas: float = 3.0
    near_excess: float = 0.05
    near_sigmas: float = 1.0
    near_from: float = 0.5
    near_at: float = 0.75
    most_moves: int = 16
    most_ranges: float = 8.0

    def threshold(self, fair: float, utilisation: float) -> float:
        """Returns the load above its fair share at which a target loses keys.

        Args:
            fair: The fair share, as a request count.
            utilisation: Load of the target relative to its capacity.
        """
        near = (utilisation - self.near_from) / (self.near_at - self.near_from)
        near = min(max(near, 0.0), 1.0)
        excess = self.excess + (self.near_excess - self.excess) * near
        sigmas = self.sigmas + (self.near_sigmas - self.sigmas) * near
        return max(excess * fair, sigmas * math.sqrt(max(fair, 1.0)))


class _Piece:
    """A range, or part of one, with the request rates of its keys."""

    __slots__ = ("first", "load", "keys", "last", "owner")

    def __init__(
        self,
        first: int,
        last: int,
        owner: ranges.Holder,
        keys: list[tuple[int, float]],
    ) -> None:
        self.first = first
        self.last = last
        self.owner = owner
        self.keys = keys
        self.load = sum(rate for _, rate in keys)


class _Balance:
    """Loads of targets while moves are being chosen."""

    __slots__ = ("_capacity", "_full", "fair", "loads", "pieces")

    def __init__(
        self,
        table: ranges.RangeTable,
        capacity: Mapping[ranges.Holder, float],
        requests: Mapping[int, float],
        full: float = math.inf,
    ) -> None:
        self._capacity = capacity
        self._full = full
        ordered = sorted(requests.items())
        self.pieces: dict[ranges.Holder, list[_Piece]] = {}
        self.loads = dict.fromkeys(capacity, 0.0)
        position = 0
        for item in table.ranges:
            start = position
            while position < len(ordered) and ordered[position][0] <= item.last:
                position += 1
            piece = _Piece(
                item.first, item.last, item.owner, ordered[start:position]
            )
            load = self.loads.get(item.owner, 0.0) + piece.load
            self.loads[item.owner] = load
            # Keys in a handover do not move again before it ends.
            if not item.formers:
                self.pieces.setdefault(item.owner, []).append(piece)
        total = sum(self.loads.values())
        total_capacity = sum(capacity.values()) or 1.0
        self.fair = {
            holder: total * part / total_capacity
            for holder, part in capacity.items()
        }

    def excess(self, holder: ranges.Holder) -> float:
        """Returns the load of a target above its fair share."""
        return self.loads.get(holder, 0.0) - self.fair.get(holder, 0.0)

    @property
    def bounded(self) -> bool:
        """Whether the capacity is known as a number of requests."""
        return self._full < math.inf

    def utilisation(self, holder: ranges.Holder) -> float:
        """Returns the load of a target relative to its capacity."""
        able = self._capacity.get(holder, 0.0)
        if not able or not self.bounded:
            return 0.0
        return self.loads.get(holder, 0.0) / (able * self._full)

    def urgency(self, holder: ranges.Holder, policy: Policy) -> float:
        """Returns the excess of a target relative to the threshold of moves."""
        threshold = policy.threshold(
            self.fair.get(holder, 0.0), self.utilisation(holder)
        )
        return self.excess(holder) / threshold

    def fastest(self, first: ranges.Holder) -> ranges.Holder:
        """Returns the fastest target among those below their fair share.

        Used to place a single key, which no further move can divide.

        Args:
            first: The target with the most spare capacity, preferred among
                equals and returned if no target is below its share.
        """
        below = [h for h in self.fair if self.excess(h) <= 0]
        return max(
            below,
            key=lambda h: (self._capacity[h], h == first, -self.loads[h]),
            default=first,
        )

    def emptiest(self, excluded: ranges.Holder) -> ranges.Holder | None:
        """Returns the target with the lowest load relative to its capacity.

        Args:
            excluded: Target to leave out.
        """
        capacity = self._capacity
        others = [
            h for h, amount in capacity.items() if h != excluded and amount > 0
        ]
        if not others:
            return None
        return min(others, key=lambda h: self.loads[h] / capacity[h])


def evacuate(
    table: ranges.RangeTable,
    capacity: Mapping[ranges.Holder, float],
    requests: Mapping[int, float],
    lost: Iterable[ranges.Holder],
) -> list[ranges.Move]:
    """Returns moves that take all keys from the given targets.

    Args:
        table: Current table.
        capacity: Capacity of each target that stays.
        requests: Requests by key.
        lost: Targets whose keys need another owner.
    """
    evacuated = set(lost)
    staying = {
        h: c for h, c in capacity.items() if h not in evacuated and c > 0
    }
    if not staying:
        return []
    balance = _Balance(table, staying, requests)
    pieces = (
        _Piece(
            r.first,
            r.last,
            r.owner,
            [(k, h) for k, h in requests.items() if r.first <= k <= r.last],
        )
        for r in table.ranges
        if r.owner in evacuated
    )
    width_load = sum(requests.values()) / ranges.KEYS
    moves = []
    for piece in sorted(pieces, key=lambda p: p.load, reverse=True):
        to = balance.emptiest(piece.owner)
        if to is None:
            break
        moves.append(ranges.Move(piece.first, piece.last, to))
        # Without request rates, widths stand in for load: otherwise all cold
        # ranges would go to one target.
        width = piece.last - piece.first + 1
        balance.loads[to] += max(piece.load, width * width_load, width / 1e6)
    return moves


def isolate(
    table: ranges.RangeTable,
    capacity: Mapping[ranges.Holder, float],
    rates: Mapping[int, float],
    policy: Policy,
    stays: int | None = None,
) -> list[ranges.Move]:
    """Returns moves that give a single hot key a target of its own.

    A key cannot be divided. If its request rate exceeds its owner's capacity,
    the only remedy is the fastest target without any other keys. Targets of a
    service differ in speed by a factor of two and more, so this can double the
    rate served, and it takes adjacent keys out of the key's queue.

    Args:
        table: Current table.
        capacity: Capacity of each target in requests per second.
        rates: Requests per second by key.
        policy: Thresholds for moves.
        stays: A key that was moved recently and must not move again.
    """
    if not rates or not capacity:
        return []
    key = max(rates, key=rates.__getitem__)
    item = table.find(key)
    able = capacity.get(item.owner, 0.0)
    if item.formers or rates[key] < policy.lone_share * able:
        return []
    best = max(capacity, key=lambda h: (capacity[h], h == item.owner))
    if key == stays or capacity[best] < policy.faster * able:
        best = item.owner
    moves = []
    if best != item.owner:
        moves.append(ranges.Move(key, key, best))
    others = {h: c for h, c in capacity.items() if h != best}
    if not others:
        return moves
    balance = _Balance(table, others, rates)
    for part in table.ranges:
        if part.owner == best and not part.formers:
            moves.extend(_around(part, key, balance))
    return moves[: policy.most_moves]


def _around(
    part: ranges.Range, key: int, balance: _Balance
) -> list[ranges.Move]:
    """Returns moves of all but one key of a range to the emptiest targets."""
    pieces = [(part.first, part.last)]
    if key in part:
        pieces = [(part.first, key - 1), (key + 1, part.last)]
    moves = []
    for first, last in pieces:
        to = balance.emptiest(part.owner)
        if first <= last and to is not None:
            moves.append(ranges.Move(first, last, to))
            balance.loads[to] += 1.0
    return moves


def differs(capacity: Mapping[ranges.Holder, float]) -> bool:
    """Whether targets differ in capacity by more than their estimates vary.

    Where they do not, a table that is even stays so, and tighter thresholds
    would only move keys by chance.
    """
    ordered = sorted(capacity.values())
    if not ordered:
        return False
    tenth = len(ordered) // 10
    return ordered[-1 - tenth] > _UNEVEN_RATIO * ordered[tenth]


def utilisations(
    table: ranges.RangeTable,
    capacity: Mapping[ranges.Holder, float],
    requests: Mapping[int, float],
    full: float,
) -> dict[ranges.Holder, float]:
    """Returns each target's load relative to its capacity.

    Args:
        table: Current table.
        capacity: Capacity of each target.
        requests: Requests by key.
        full: Requests per unit of capacity at which a target is always busy.
    """
    balance = _Balance(table, capacity, requests, full)
    return {holder: balance.utilisation(holder) for holder in capacity}


def spread(
    table: ranges.RangeTable,
    capacity: Mapping[ranges.Holder, float],
    requests: Mapping[int, float],
    policy: Policy,
    full: float = math.inf,
    recent: Mapping[int, float] | None = None,
) -> list[ranges.Move]:
    """Returns moves from the most loaded targets to the least loaded.

    Args:
        table: Current table.
        capacity: Capacity of each target that may own keys, in any common unit.
        requests: Requests by key.
        policy: Thresholds for moves.
        full: Requests per unit of capacity at which a target is always busy.
            The thresholds of targets near that are tighter; infinite
            if unknown.
        recent: Requests by key over a shorter time. Targets that exceed their
            share only in the past lose no keys, as the load has moved on.
    """
    balance = _Balance(table, capacity, requests, full)
    if recent is not None:
        now = _Balance(table, capacity, recent)
        balance.pieces = {
            h: pieces
            for h, pieces in balance.pieces.items()
            if now.excess(h) > 0
        }
    spare_ranges = int(policy.most_ranges * len(capacity)) - len(table.ranges)
    moves: list[ranges.Move] = []
    while len(moves) < policy.most_moves:
        found = _next_move(balance, policy, spare_ranges > 0)
        if found is None:
            break
        piece, move = found
        spare_ranges -= _apply_move(balance, piece, move)
        moves.append(move)
    return moves


def _next_move(
    balance: _Balance, policy: Policy, may_cut: bool
) -> tuple[_Piece, ranges.Move] | None:
    urgencies = {h: balance.urgency(h, policy) for h in balance.pieces}
    most_urgent = sorted(urgencies, key=urgencies.__getitem__, reverse=True)
    for holder in itertools.islice(most_urgent, 4):
        if urgencies[holder] <= 1:
            return None
        to = balance.emptiest(holder)
        if to is None:
            return None
        wanted = min(balance.excess(holder), -balance.excess(to))
        found = _best_interval(
            balance.pieces[holder], wanted, may_cut, balance.bounded
        )
        if found is not None:
            piece, first, last = found
            if first == last:
                to = balance.fastest(to)
            return piece, ranges.Move(first, last, to)
    return None


def _best_interval(
    pieces: list[_Piece], wanted: float, may_cut: bool, at_edges: bool
) -> tuple[_Piece, int, int] | None:
    """Returns the interval of keys whose load is best for a move.

    It prefers a load close to the wanted one, and a narrow interval.

    Args:
        pieces: Pieces of one target.
        wanted: Load to move.
        may_cut: Whether pieces may be split.
        at_edges: Whether an interval that is dense by chance gives way to one
            at an edge of its piece.

    Returns:
        The piece, and the first and the last key to move; None if no interval
        is suitable.
    """
    if wanted <= 0:
        return None
    best: tuple[float, _Piece, int, int] | None = None
    for piece in pieces:
        if piece.load < wanted * 0.4:
            continue
        if piece.load <= wanted * 1.2:
            found = (piece.first, piece.last, piece.load)
        elif may_cut:
            interval = _narrowest_interval(piece.keys, wanted)
            if interval is None:
                continue
            if at_edges and not _is_hot(piece, interval):
                interval = _edge_interval(piece, wanted)
            found = interval
        else:
            continue
        first, last, load = found
        score = min(load, wanted) / (1 + (last - first) / 2048)
        if best is None or score > best[0]:
            best = (score, piece, first, last)
    return best[1:] if best else None


def _narrowest_interval(
    keys: list[tuple[int, float]], wanted: float
) -> tuple[int, int, float] | None:
    """Returns the narrowest interval of keys with about the wanted load.

    Returns:
        First key, last key and load; None if no interval is suitable.
    """
    best: tuple[int, int, float] | None = None
    begin, load = 0, 0.0
    for end, (key, key_load) in enumerate(keys):
        load += key_load
        while load - keys[begin][1] >= wanted * 0.8 and begin < end:
            load -= keys[begin][1]
            begin += 1
        if not wanted * 0.6 <= load <= wanted * 1.3:
            continue
        width = key - keys[begin][0]
        if best is None or width < best[1] - best[0]:
            best = (keys[begin][0], key, load)
    return best


def _is_hot(piece: _Piece, interval: tuple[int, int, float]) -> bool:
    """Whether an interval has more load than chance lets the densest have.

    The load of an interval that was chosen for its density is overestimated,
    so that its move changes less than was wanted.
    """
    first, last, load = interval
    even = (piece.last - piece.first + 1) * load / piece.load
    return (last - first + 1) * _HOT_DENSITY < even


def _edge_interval(piece: _Piece, wanted: float) -> tuple[int, int, float]:
    """Returns the first or last keys of a piece with about the wanted load."""
    left = itertools.accumulate(load for _, load in piece.keys)
    low = next(i for i, load in enumerate(left) if load >= wanted)
    right = itertools.accumulate(load for _, load in reversed(piece.keys))
    high = next(i for i, load in enumerate(right) if load >= wanted)
    end = piece.keys[low][0]
    start = piece.keys[len(piece.keys) - 1 - high][0]
    if end - piece.first <= piece.last - start:
        return piece.first, end, wanted
    return start, piece.last, wanted


def _apply_move(balance: _Balance, piece: _Piece, move: ranges.Move) -> int:
    """Applies a move to the loads.

    Returns:
        Number of ranges that the move adds.
    """
    moved_keys = [k for k in piece.keys if move.first <= k[0] <= move.last]
    load = sum(h for _, h in moved_keys)
    balance.loads[piece.owner] -= load
    balance.loads[move.to] += load
    remaining = [
        _Piece(
            first,
            last,
            piece.owner,
            [k for k in piece.keys if first <= k[0] <= last],
        )
        for first, last in (
            (piece.first, move.first - 1),
            (move.last + 1, piece.last),
        )
        if first <= last
    ]
    others = [p for p in balance.pieces[piece.owner] if p is not piece]
    balance.pieces[piece.owner] = others + remaining
    return len(remaining)
