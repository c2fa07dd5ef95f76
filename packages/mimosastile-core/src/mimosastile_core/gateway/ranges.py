"""Tables of key ranges: which target owns which keys, under which fence."""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

import msgspec

KEYS = 65536
"""Numeric keys of a service: 0 to 65535."""

Piece = tuple[int, int, int]
"""First key, last key and fence: one version of one range."""


class Holder(msgspec.Struct, frozen=True):
    """A run of a target that owns or owned keys.

    Attributes:
        id: Identifier of the target.
        born: Unix milliseconds of its start.
        address: Where orders reach it.
    """

    id: str
    born: int
    address: str


class Former(msgspec.Struct, frozen=True):
    """A run of a target that may still hold keys of a range.

    Attributes:
        holder: The target.
        fence: Fence of the order that takes the keys from it.
    """

    holder: Holder
    fence: int


class Range(msgspec.Struct, frozen=True):
    """Neighbouring keys with one owner.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        owner: The target that owns them.
        fence: Fence of its grant.
        formers: Who may still hold them; the owner gets its grant only when
            each has let go or its grant has run out.
    """

    first: int
    last: int
    owner: Holder
    fence: int
    formers: tuple[Former, ...] = ()

    def __contains__(self, key: object) -> bool:
        """Whether a key is in the range."""
        return isinstance(key, int) and self.first <= key <= self.last

    @property
    def piece(self) -> Piece:
        """Identifies this version of the range."""
        return self.first, self.last, self.fence

    @property
    def width(self) -> int:
        """How many keys it has."""
        return self.last - self.first + 1


class RangeTable(msgspec.Struct, frozen=True):
    """All ranges of one service, as kept in the store.

    Attributes:
        service: Name of the service.
        commit: Identifier of the change that made this version; tells a
            writer whose answer was lost whether its change is in force.
        version: Rises by one with each change.
        next_fence: Fence of the next order; all earlier ones are below it.
        ranges: In order of keys, without gap or overlap.
        hold: Seconds of the longest usual grant under this table and those
            before it, 0 if it is the one in the settings.
    """

    service: str
    commit: str
    version: int
    next_fence: int
    ranges: tuple[Range, ...]
    hold: float = 0.0

    def find(self, key: int) -> Range:
        """Returns the range of a key from 0 to 65535."""
        index = bisect.bisect_right(self.ranges, key, key=_first) - 1
        return self.ranges[index]

    def holders(self) -> set[Holder]:
        """Returns all owners."""
        return {r.owner for r in self.ranges}


class Move(msgspec.Struct, frozen=True):
    """A decision to give keys to another target.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        to: The new owner.
    """

    first: int
    last: int
    to: Holder


def _next(
    table: RangeTable, made: Iterable[Range], commit: str, next_fence: int
) -> RangeTable:
    """Returns the version after a table."""
    return msgspec.structs.replace(
        table,
        commit=commit,
        version=table.version + 1,
        next_fence=next_fence,
        ranges=tuple(made),
    )


def _first(item: Range) -> int:
    return item.first


def problem(table: RangeTable) -> str:
    """Returns what is wrong with a table, empty if nothing is."""
    expected = 0
    for item in table.ranges:
        if item.first != expected or item.last < item.first:
            return f"range {item.first}-{item.last} follows {expected - 1}"
        if item.fence >= table.next_fence:
            return f"fence {item.fence} of {item.first} was not given out"
        expected = item.last + 1
    return "" if expected == KEYS else f"keys end at {expected - 1}"


def initial(
    service: str, weights: Mapping[Holder, float], commit: str
) -> RangeTable:
    """Returns the first table: widths by weight.

    Args:
        service: Name of the service.
        weights: The owners, at least one, and what each can carry.
        commit: Identifier of the change.
    """
    total = sum(weights.values())
    ranges = []
    begin, passed = 0, 0.0
    for fence, (holder, weight) in enumerate(weights.items(), 1):
        passed += weight
        end = round(KEYS * passed / total) - 1
        if end >= begin:
            ranges.append(Range(begin, end, holder, fence))
            begin = end + 1
    return RangeTable(service, commit, 1, len(weights) + 1, tuple(ranges))


def move(table: RangeTable, moves: Iterable[Move], commit: str) -> RangeTable:
    """Returns the table after some moves.

    Each piece that changes hands gets two new fences: the lower one takes it
    from whoever holds it, the higher one is the new owner's.

    Args:
        table: The table.
        moves: Pieces that do not overlap.
        commit: Identifier of the change.
    """
    fence = table.next_fence
    ranges = list(table.ranges)
    for item in moves:
        moved = []
        for part in ranges:
            if part.last < item.first or item.last < part.first:
                moved.append(part)
                continue
            pieces, fence = _cut(part, item, fence)
            moved.extend(pieces)
        ranges = moved
    return _next(table, ranges, commit, fence)


def _cut(part: Range, item: Move, fence: int) -> tuple[Iterator[Range], int]:
    """Splits a range at a move's borders and gives the middle away."""
    first, last = max(part.first, item.first), min(part.last, item.last)
    middle = msgspec.structs.replace(part, first=first, last=last)
    if part.owner != item.to:
        former = Former(part.owner, fence)
        middle = Range(first, last, item.to, fence + 1, (*part.formers, former))
        fence += 2
    pieces = (
        msgspec.structs.replace(part, last=first - 1),
        middle,
        msgspec.structs.replace(part, first=last + 1),
    )
    return (p for p in pieces if p.first <= p.last), fence


def settle(
    table: RangeTable, settled: Mapping[Piece, Iterable[int]], commit: str
) -> RangeTable:
    """Returns the table without formers that hold nothing any more.

    Args:
        table: The table.
        settled: By piece, the fences of its settled formers.
        commit: Identifier of the change.
    """

    def without(item: Range) -> Range:
        done = set(settled.get(item.piece, ()))
        if not done:
            return item
        left = tuple(f for f in item.formers if f.fence not in done)
        return msgspec.structs.replace(item, formers=left)

    return _next(table, map(without, table.ranges), commit, table.next_fence)


def refence(
    table: RangeTable, holders: Mapping[Holder, Holder], commit: str
) -> RangeTable:
    """Returns the table with new fences for some owners.

    A target that has started again under its identifier holds nothing and has
    forgotten all fences; it must not get the old one. The same is done for a
    target that was silent, since it may have started again meanwhile.

    Args:
        table: The table.
        holders: Owner to the run of the same target that takes its place.
        commit: Identifier of the change.
    """
    fence = table.next_fence
    ranges = []
    for item in table.ranges:
        holder = holders.get(item.owner)
        if holder is None:
            ranges.append(item)
            continue
        ranges.append(msgspec.structs.replace(item, owner=holder, fence=fence))
        fence += 1
    return _next(table, ranges, commit, fence)


def join(table: RangeTable, most: int, commit: str) -> RangeTable:
    """Returns the table with neighbours of one owner joined.

    The joined range gets a new fence; its owner held all of it before, so
    granting it under a higher fence takes nothing from anyone.

    Args:
        table: The table.
        most: Most joins in one change.
        commit: Identifier of the change.
    """
    fence = table.next_fence
    ranges: list[Range] = []
    joins = 0
    for item in table.ranges:
        last = ranges[-1] if ranges else None
        if (
            last is not None
            and joins < most
            and last.owner == item.owner
            and not last.formers
            and not item.formers
        ):
            ranges[-1] = Range(last.first, item.last, item.owner, fence)
            fence += 1
            joins += 1
        else:
            ranges.append(item)
    return _next(table, ranges, commit, fence)
