"""Assignments of keys to targets for routing, and their differences."""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import itertools

import msgspec

from mimosastile_core.gateway import ranges

Version = tuple[int, int]
"""Epoch of the leader that sends an assignment, and its serial number."""


class Assignment(msgspec.Struct, frozen=True, array_like=True):
    """Owners of all keys of a service.

    Attributes:
        service: Name of the service.
        version: Rises with each change; epoch 0 if it was read from the store.
        firsts: First key of each range, in ascending order from 0.
        owners: Target of each range; empty during a handover.
    """

    service: str
    version: Version
    firsts: tuple[int, ...]
    owners: tuple[str, ...]

    def owner(self, key: int) -> str:
        """Returns the target that owns a key, empty if it has no owner."""
        return self.owners[bisect.bisect_right(self.firsts, key) - 1]

    def spans(self) -> Iterator["Span"]:
        """Yields each range with its last key."""
        ends = itertools.chain(self.firsts[1:], (ranges.KEYS,))
        for first, end, owner in zip(
            self.firsts, ends, self.owners, strict=True
        ):
            yield Span(first, end - 1, owner)


class Span(msgspec.Struct, frozen=True, array_like=True):
    """Adjacent keys and their owner.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        owner: Target that owns them; empty during a handover.
    """

    first: int
    last: int
    owner: str


class Difference(msgspec.Struct, frozen=True, array_like=True):
    """The changes from one version of an assignment to another.

    A table has hundreds of ranges and a change affects a few of them. Sending
    the whole assignment to every VM with each change would make up most of a
    leader's traffic.

    Attributes:
        service: Name of the service.
        base: Version to which it applies.
        version: Version that results.
        spans: Keys whose owner differs.
    """

    service: str
    base: Version
    version: Version
    spans: tuple[Span, ...]


def from_table(
    table: ranges.RangeTable, version: Version, ready: set[ranges.Piece]
) -> Assignment:
    """Returns the assignment that is sent to VMs for a table.

    Args:
        table: The table.
        version: Version of the assignment.
        ready: Pieces that have been granted to their owners.
    """
    return Assignment(
        table.service,
        version,
        tuple(item.first for item in table.ranges),
        tuple(
            item.owner.id if item.piece in ready else ""
            for item in table.ranges
        ),
    )


def difference(old: Assignment, new: Assignment) -> Difference:
    """Returns the changes from one assignment to another."""
    firsts = sorted({*old.firsts, *new.firsts})
    ends = itertools.chain(firsts[1:], (ranges.KEYS,))
    spans = tuple(
        Span(first, end - 1, new.owner(first))
        for first, end in zip(firsts, ends, strict=True)
        if old.owner(first) != new.owner(first)
    )
    return Difference(new.service, old.version, new.version, spans)


def apply(current: Assignment, update: Difference) -> Assignment | None:
    """Returns the assignment after a change, None if it has another base."""
    if current.version != update.base:
        return None
    return _joined(
        current.service,
        update.version,
        _overlaid(current.spans(), update.spans),
    )


def have_same_owners(one: Assignment, other: Assignment) -> bool:
    """Whether two assignments have the same epoch and name the same owners."""
    return (
        one.version[0] == other.version[0]
        and one.firsts == other.firsts
        and one.owners == other.owners
    )


def _overlaid(
    current: Iterable[Span], changed: tuple[Span, ...]
) -> Iterator[Span]:
    """Yields the current spans with the changed ones laid over them."""
    pieces = [*changed]
    replaced = sorted((span.first, span.last) for span in changed)
    for span in current:
        begin = span.first
        for first, last in replaced:
            if last < begin or span.last < first:
                continue
            if begin < first:
                pieces.append(Span(begin, first - 1, span.owner))
            begin = last + 1
        if begin <= span.last:
            pieces.append(Span(begin, span.last, span.owner))
    yield from sorted(pieces, key=lambda span: span.first)


def _joined(
    service: str, version: Version, spans: Iterable[Span]
) -> Assignment:
    firsts: list[int] = []
    owners: list[str] = []
    for span in spans:
        if owners and owners[-1] == span.owner:
            continue
        firsts.append(span.first)
        owners.append(span.owner)
    return Assignment(service, version, tuple(firsts), tuple(owners))
