"""Which keys move to which target, so that none is asked for more than others.

Answers two patterns of load. Keys are of very uneven heat, and the hot ones
are neighbours: a table cut in equal widths gives its busiest target several
times the mean. And a narrow run of keys may get a third of all requests from
one second to the next: it must be cut into pieces and spread before the
queue at its owner costs its callers their deadlines.

Both are met by cutting ranges anywhere, at the places that the heat of single
keys shows. What moves is priced by width, and hot pieces are narrow, so a move
that carries much load is cheap.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import itertools
import math

import msgspec

from mimosastile_core.gateway import ranges


class Policy(msgspec.Struct, frozen=True):
    """When moves are worth their cost.

    Attributes:
        excess: Load of a target over its fair part from which keys move, as a
            share of the part. Below it, queues at slots differ less than by
            chance.
        lone_share: Part of its owner's capacity from which a single key gets
            a target of its own; above it, what else stands there waits.
        faster: How much more a target must carry than the owner of such a
            key for the key to move there.
        sigmas: How many standard deviations of a count the load must be over
            its part as well; three keeps chance from moving keys more than
            once in some hundred looks.
        most_moves: Pieces that move in one change; bounds the size of a
            change and the work of a leader.
        most_ranges: Ranges per target on average, above which only whole
            ranges move; bounds the renewals that a leader sends.
    """

    excess: float = 0.25
    lone_share: float = 0.6
    faster: float = 1.25
    sigmas: float = 3.0
    most_moves: int = 16
    most_ranges: float = 8.0


class _Piece:
    """A range, or part of one, with its heat."""

    __slots__ = ("first", "heat", "keys", "last", "owner")

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
        self.heat = sum(heat for _, heat in keys)


class _Balance:
    """Loads of targets while moves are being chosen."""

    __slots__ = ("_capacity", "fair", "loads", "pieces")

    def __init__(
        self,
        table: ranges.RangeTable,
        capacity: Mapping[ranges.Holder, float],
        heat: Mapping[int, float],
    ) -> None:
        self._capacity = capacity
        ordered = sorted(heat.items())
        self.pieces: dict[ranges.Holder, list[_Piece]] = {}
        self.loads = dict.fromkeys(capacity, 0.0)
        position = 0
        for item in table.ranges:
            begin = position
            while position < len(ordered) and ordered[position][0] <= item.last:
                position += 1
            piece = _Piece(
                item.first, item.last, item.owner, ordered[begin:position]
            )
            load = self.loads.get(item.owner, 0.0) + piece.heat
            self.loads[item.owner] = load
            # Keys that are changing hands already stay where they go.
            if not item.formers:
                self.pieces.setdefault(item.owner, []).append(piece)
        total = sum(self.loads.values())
        whole = sum(capacity.values()) or 1.0
        self.fair = {
            holder: total * part / whole for holder, part in capacity.items()
        }

    def excess(self, holder: ranges.Holder) -> float:
        """Returns the load of a target above its fair part."""
        return self.loads.get(holder, 0.0) - self.fair.get(holder, 0.0)

    def fastest(self, first: ranges.Holder) -> ranges.Holder:
        """Returns the target that can carry most, of those below their part.

        For a single key, which no further move can divide.

        Args:
            first: The one that has most room.
        """
        below = [h for h in self.fair if self.excess(h) <= 0]
        return max(
            below,
            key=lambda h: (self._capacity[h], h == first, -self.loads[h]),
            default=first,
        )

    def emptiest(self, but: ranges.Holder) -> ranges.Holder | None:
        """Returns the target with the most room for its size."""
        able = self._capacity
        others = [h for h, part in able.items() if h != but and part > 0]
        if not others:
            return None
        return min(others, key=lambda h: self.loads[h] / able[h])


def evacuate(
    table: ranges.RangeTable,
    capacity: Mapping[ranges.Holder, float],
    heat: Mapping[int, float],
    lost: Iterable[ranges.Holder],
) -> list[ranges.Move]:
    """Returns moves that take all keys from some targets.

    Args:
        table: The table.
        capacity: What each target that stays can carry.
        heat: Requests by key.
        lost: Targets whose keys need another owner.
    """
    going = set(lost)
    staying = {h: c for h, c in capacity.items() if h not in going and c > 0}
    if not staying:
        return []
    balance = _Balance(table, staying, heat)
    pieces = (
        _Piece(
            r.first,
            r.last,
            r.owner,
            [(k, h) for k, h in heat.items() if r.first <= k <= r.last],
        )
        for r in table.ranges
        if r.owner in going
    )
    width_load = sum(heat.values()) / ranges.KEYS
    moves = []
    for piece in sorted(pieces, key=lambda p: p.heat, reverse=True):
        to = balance.emptiest(piece.owner)
        if to is None:
            break
        moves.append(ranges.Move(piece.first, piece.last, to))
        # Without any heat known, widths stand for load: otherwise all cold
        # ranges would go to one target.
        width = piece.last - piece.first + 1
        balance.loads[to] += max(piece.heat, width * width_load, width / 1e6)
    return moves


def isolate(
    table: ranges.RangeTable,
    capacity: Mapping[ranges.Holder, float],
    rates: Mapping[int, float],
    policy: Policy,
    stays: int | None = None,
) -> list[ranges.Move]:
    """Returns moves that give a single hot key a target of its own.

    A key cannot be divided. When one is asked for more often than its owner
    can answer, all that helps is the fastest target and nothing else on it:
    targets of a service differ in speed by two and more, so this can double
    what is answered, and it takes the neighbours out of the key's queue.

    Args:
        table: The table.
        capacity: Requests a second that each target can carry.
        rates: Requests a second by key.
        policy: When a move is worth its cost.
        stays: A key that was moved a moment ago.
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
    """Returns moves of all of a range but one key to the emptiest targets."""
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


def spread(
    table: ranges.RangeTable,
    capacity: Mapping[ranges.Holder, float],
    heat: Mapping[int, float],
    policy: Policy,
) -> list[ranges.Move]:
    """Returns moves from the fullest targets to the emptiest.

    Args:
        table: The table.
        capacity: What each target can carry, in any common unit; all targets
            that may own keys.
        heat: Requests by key.
        policy: When a move is worth its cost.
    """
    balance = _Balance(table, capacity, heat)
    room = int(policy.most_ranges * len(capacity)) - len(table.ranges)
    moves: list[ranges.Move] = []
    while len(moves) < policy.most_moves:
        found = _next_move(balance, policy, room > 0)
        if found is None:
            break
        piece, move = found
        room -= _take(balance, piece, move)
        moves.append(move)
    return moves


def _next_move(
    balance: _Balance, policy: Policy, may_cut: bool
) -> tuple[_Piece, ranges.Move] | None:
    over = sorted(balance.pieces, key=balance.excess, reverse=True)
    for holder in itertools.islice(over, 4):
        excess = balance.excess(holder)
        fair = balance.fair.get(holder, 0.0)
        noise = policy.sigmas * math.sqrt(max(fair, 1.0))
        if excess <= max(policy.excess * fair, noise):
            return None
        to = balance.emptiest(holder)
        if to is None:
            return None
        wanted = min(excess, -balance.excess(to))
        found = _best_run(balance.pieces[holder], wanted, may_cut)
        if found is not None:
            piece, first, last = found
            if first == last:
                to = balance.fastest(to)
            return piece, ranges.Move(first, last, to)
    return None


def _best_run(
    pieces: list[_Piece], wanted: float, may_cut: bool
) -> tuple[_Piece, int, int] | None:
    """Returns neighbouring keys whose heat is as wanted, the narrowest."""
    if wanted <= 0:
        return None
    best: tuple[float, _Piece, int, int] | None = None
    for piece in pieces:
        if piece.heat < wanted * 0.4:
            continue
        if piece.heat <= wanted * 1.2:
            found = (piece.first, piece.last, piece.heat)
        elif may_cut:
            run = _hottest_run(piece.keys, wanted)
            if run is None:
                continue
            found = run
        else:
            continue
        first, last, heat = found
        value = min(heat, wanted) / (1 + (last - first) / 2048)
        if best is None or value > best[0]:
            best = (value, piece, first, last)
    return best[1:] if best else None


def _hottest_run(
    keys: list[tuple[int, float]], wanted: float
) -> tuple[int, int, float] | None:
    """Returns the narrowest run of keys with about the wanted heat."""
    best: tuple[int, int, float] | None = None
    begin, heat = 0, 0.0
    for end, (key, own) in enumerate(keys):
        heat += own
        while heat - keys[begin][1] >= wanted * 0.8 and begin < end:
            heat -= keys[begin][1]
            begin += 1
        if not wanted * 0.6 <= heat <= wanted * 1.3:
            continue
        width = key - keys[begin][0]
        if best is None or width < best[1] - best[0]:
            best = (keys[begin][0], key, heat)
    return best


def _take(balance: _Balance, piece: _Piece, move: ranges.Move) -> int:
    """Carries a move out on the loads; returns how many ranges it adds."""
    taken = [k for k in piece.keys if move.first <= k[0] <= move.last]
    heat = sum(h for _, h in taken)
    balance.loads[piece.owner] -= heat
    balance.loads[move.to] += heat
    left = [
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
    rest = [p for p in balance.pieces[piece.owner] if p is not piece]
    balance.pieces[piece.owner] = rest + left
    return len(left)
