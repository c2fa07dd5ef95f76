"""Tables of key ranges: which target owns which keys, and under which fence."""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

import msgspec

KEYS = 65536
"""Number of numeric keys of a service: 0 to 65535."""

Piece = tuple[int, int, int]
"""First key, last key and fence: identifies one version of one range."""


class Holder(msgspec.Struct, frozen=True):
    """An incarnation of a target that owns or owned keys.

    Attributes:
        id: Identifier of the target.
        born: Start of the incarnation in Unix milliseconds.
        address: Host and port to which orders for it are sent.
    """

    id: str
    born: int
    address: str


class Former(msgspec.Struct, frozen=True):
    """An incarnation of a target that may still hold keys of a range.

    Attributes:
        holder: The target.
        fence: Fence of the order that takes the keys from it.
    """

    holder: Holder
    fence: int


class Range(msgspec.Struct, frozen=True):
    """Adjacent keys with one owner.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        owner: Target that owns them.
        fence: Fence of the owner's grant.
        formers: Former owners, not yet known to have released the keys. The
            owner gets its grant only once each of them has released the keys or
            its grant has expired.
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
        """Identifier of this version of the range."""
        return self.first, self.last, self.fence

    @property
    def width(self) -> int:
        """Number of keys in the range."""
        return self.last - self.first + 1


class RangeTable(msgspec.Struct, frozen=True):
    """All ranges of one service, as stored.

    Attributes:
        service: Name of the service.
        commit: Identifier of the change that made this version. It tells a
            writer that got no response whether its change is in force.
        version: Rises by one with each change.
        next_fence: Fence of the next order; all fences given out are below it.
        ranges: Ranges in order of keys, without gaps or overlaps.
        hold: Longest usual duration of a grant in seconds under this table and
            those before it; 0 if it is the configured one.
    """

    service: str
    commit: str
    version: int
    next_fence: int
    ranges: tuple[Range, ...]
    hold: float = 0.0

    def find(self, key: int) -> Range:
        """Returns the range of a key from 0 to 65535."""
        index = bisect.bisect_right(self.ranges, key, key=_first_key) - 1
        return self.ranges[index]

    def owners(self) -> set[Holder]:
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


def _next_version(
    table: RangeTable, new_ranges: Iterable[Range], commit: str, next_fence: int
) -> RangeTable:
    """Returns the successor version of a table, with new ranges."""
    return msgspec.structs.replace(
        table,
        commit=commit,
        version=table.version + 1,
        next_fence=next_fence,
        ranges=tuple(new_ranges),
    )


def _first_key(item: Range) -> int:
    return item.first


def find_problem(table: RangeTable) -> str:
    """Returns why a table is invalid, empty if it is valid."""
    expected = 0
    for item in table.ranges:
        if item.first != expected or item.last < item.first:
            return f"range {item.first}-{item.last} follows key {expected - 1}"
        if item.fence >= table.next_fence:
            return f"fence {item.fence} at key {item.first} was never issued"
        expected = item.last + 1
    return "" if expected == KEYS else f"ranges end at key {expected - 1}"


def fence_after(revision: int) -> int:
    """Returns a fence above all that were given out up to a revision.

    A change of a table gives out at most two fences for each key, and each
    takes a revision of its own.

    Args:
        revision: Revision of the store.
    """
    return revision * 2 * KEYS


def initial_table(
    service: str,
    weights: Mapping[Holder, float],
    commit: str,
    first_fence: int = 1,
) -> RangeTable:
    """Returns the first table of a service, with widths by weight.

    Args:
        service: Name of the service.
        weights: Owners, at least one, and the relative capacity of each.
        commit: Identifier of the change.
        first_fence: Lowest fence to give out.
    """
    total = sum(weights.values())
    ranges = []
    first, cumulative = 0, 0.0
    for fence, (holder, weight) in enumerate(weights.items(), first_fence):
        cumulative += weight
        last = round(KEYS * cumulative / total) - 1
        if last >= first:
            ranges.append(Range(first, last, holder, fence))
            first = last + 1
    next_fence = first_fence + len(weights)
    return RangeTable(service, commit, 1, next_fence, tuple(ranges))


def move(table: RangeTable, moves: Iterable[Move], commit: str) -> RangeTable:
    """Returns the table after a set of moves.

    Each piece that changes its owner gets two new fences: the lower one takes
    it from its former owner, the higher one is the new owner's.

    Args:
        table: Table to change.
        moves: Moves of pieces that do not overlap.
        commit: Identifier of the change.
    """
    fence = table.next_fence
    ranges = list(table.ranges)
    for item in moves:
        new_ranges = []
        for part in ranges:
            if part.last < item.first or item.last < part.first:
                new_ranges.append(part)
                continue
            pieces, fence = _split(part, item, fence)
            new_ranges.extend(pieces)
        ranges = new_ranges
    return _next_version(table, ranges, commit, fence)


def _split(part: Range, item: Move, fence: int) -> tuple[Iterator[Range], int]:
    """Splits a range at a move's borders; the middle gets the new owner.

    Returns:
        The pieces that are not empty, and the next fence.
    """
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


def remove_released(
    table: RangeTable,
    released_fences: Mapping[Piece, Iterable[int]],
    commit: str,
) -> RangeTable:
    """Returns the table without former owners that hold nothing any more.

    Args:
        table: Table to change.
        released_fences: Fences of the former owners that have released their
            keys, by piece.
        commit: Identifier of the change.
    """

    def without_released(item: Range) -> Range:
        released = set(released_fences.get(item.piece, ()))
        if not released:
            return item
        remaining = tuple(f for f in item.formers if f.fence not in released)
        return msgspec.structs.replace(item, formers=remaining)

    return _next_version(
        table, map(without_released, table.ranges), commit, table.next_fence
    )


def refence(
    table: RangeTable, holders: Mapping[Holder, Holder], commit: str
) -> RangeTable:
    """Returns the table with new fences for the given owners.

    A target that has restarted under its identifier holds no keys and has lost
    all fences; it must not get the old fence. The same is done for a target
    that did not respond, since it may have restarted meanwhile.

    Args:
        table: Table to change.
        holders: By owner, the incarnation of the same target that replaces it.
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
    return _next_version(table, ranges, commit, fence)


def join(table: RangeTable, most: int, commit: str) -> RangeTable:
    """Returns the table with adjacent ranges of one owner joined.

    The joined range gets a new fence. Its owner held all of it before, so a
    grant under a higher fence takes nothing from any other target.

    Args:
        table: Table to change.
        most: Maximum number of joins in one change.
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
    return _next_version(table, ranges, commit, fence)
