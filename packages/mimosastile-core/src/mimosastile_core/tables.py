"""Ownership tables: which target owns which slice of a service's keys.

A service's table is divided into blocks. A block is one value in the store and
the unit of atomic change. It contains its slices, their owners and the keepers
of the targets named in it, so one compare-and-swap covers both an owner and the
keeper whose proof allowed the change. A keeper is the entry VM through which
alone a target receives requests and grants.
"""

import bisect
from collections.abc import Iterable

import msgspec
import result

from mimosastile_core import decoding
from mimosastile_core import keys


class Slice(msgspec.Struct, frozen=True):
    """A range of the hash space with one owner.

    Attributes:
        first: Lowest hash of the range.
        last: Highest hash of the range (inclusive).
        owner: Target that owns the slice, empty for none.
        fence: Fencing token: block version at which the owner was set. It never
            decreases.
        next: Target that the slice is moving to, empty for none.
    """

    first: int
    last: int
    owner: str = ""
    fence: int = 0
    next: str = ""


class FormerKeeper(msgspec.Struct, frozen=True, array_like=True):
    """A replaced keeper that may still send to its target.

    Attributes:
        vm: Identifier of the entry VM.
        boot: Identifier of the daemon's incarnation on that VM.
    """

    vm: str
    boot: str


class KeeperRef(msgspec.Struct, frozen=True, omit_defaults=True):
    """The keeper of a target.

    Attributes:
        vm: Identifier of the entry VM.
        boot: Identifier of the daemon's incarnation on that VM. A restarted
            daemon has lost its record of grants and must become keeper again.
        fence: Fencing token that increases with every keeper change of this
            target.
        former: Replaced keepers that may still have been sending when the next
            one was set.
        lost: Whether the target has not responded for the duration of a
            grant. This is a hint for placement, not a proof of release.
    """

    vm: str
    boot: str
    fence: int
    former: tuple[FormerKeeper, ...] = ()
    lost: bool = False


class Block(msgspec.Struct, frozen=True):
    """One store value of a service's table.

    Attributes:
        service: Name of the service.
        index: Number of the block within the service, from 0.
        version: Increases by one with each change. The fence of a new owner is
            the version that sets it.
        slices: The slices in order; empty for a service not sharded by key.
        keepers: Target to its keeper.
    """

    service: str
    index: int
    version: int
    slices: tuple[Slice, ...] = ()
    keepers: dict[str, KeeperRef] = {}

    @property
    def id(self) -> "BlockId":
        """Identifier of the block."""
        return BlockId(self.service, self.index)

    def owned_by(self, target: str) -> tuple[Slice, ...]:
        """Returns the slices that a target owns, including moving ones."""
        return tuple(s for s in self.slices if s.owner == target)

    def reachable(self) -> set[str]:
        """Returns the targets that respond to their keepers."""
        return {t for t, keeper in self.keepers.items() if not keeper.lost}

    def slice_at(self, first: int) -> Slice | None:
        """Returns the slice whose first hash is given, None if none is."""
        return next((s for s in self.slices if s.first == first), None)


class BlockId(msgspec.Struct, frozen=True, order=True):
    """Identifier of a block, also the last two parts of its store key."""

    service: str
    index: int


class Location(msgspec.Struct, frozen=True):
    """Slice and keeper of a key in one version of the table."""

    block: BlockId
    slice: Slice
    keeper: KeeperRef | None


class _Index:
    """Look-up index of the slices of one block."""

    __slots__ = ("block", "locations", "starts")

    def __init__(self, block: Block) -> None:
        self.block = block
        self.starts = [s.first for s in block.slices]
        self.locations = [
            Location(block.id, s, block.keepers.get(s.owner))
            for s in block.slices
        ]


class Table:
    """Index over all cached blocks of one service.

    A look-up is two bisections without allocation. A changed table reuses the
    indexes of unchanged blocks: with hundreds of blocks, indexing all of them
    for one moved slice would take a tenth of a second.
    """

    __slots__ = ("_blocks", "_firsts", "_indexes", "_service")

    def __init__(
        self,
        service: str,
        blocks: Iterable[Block],
        former: "Table | None" = None,
    ) -> None:
        """Builds the index.

        Args:
            service: Name of the service.
            blocks: All cached blocks of the service.
            former: The previous table, whose indexes are reused; None for the
                first one.
        """
        self._service = service
        self._blocks = {b.index: b for b in blocks}
        self._indexes: list[_Index]
        reusable = (
            {id(i.block): i for i in former._indexes}  # noqa: SLF001
            if former
            else {}
        )
        ordered = sorted(
            (b for b in self._blocks.values() if b.slices),
            key=lambda b: b.slices[0].first,
        )
        self._firsts = [b.slices[0].first for b in ordered]
        self._indexes = [reusable.get(id(b)) or _Index(b) for b in ordered]

    @property
    def blocks(self) -> dict[int, Block]:
        """The blocks by index."""
        return self._blocks

    @property
    def service(self) -> str:
        """Name of the service."""
        return self._service

    def locate(self, position: int) -> Location | None:
        """Returns the location of a hash, None if its block is missing."""
        at = bisect.bisect_right(self._firsts, position) - 1
        if at < 0:
            return None
        index = self._indexes[at]
        location = index.locations[
            bisect.bisect_right(index.starts, position) - 1
        ]
        return location if position <= location.slice.last else None

    def keepers(self) -> dict[str, KeeperRef]:
        """Returns a map of target to keeper over all blocks."""
        return {
            target: keeper
            for block in self._blocks.values()
            for target, keeper in block.keepers.items()
        }


def empty_block(service: str, index: int, count: int, blocks: int) -> Block:
    """Returns the first version of a block, without owners.

    Args:
        service: Name of the service.
        index: Number of the block.
        count: Slices in this block; 0 for a service not sharded by key.
        blocks: Number of blocks of the service.
    """
    first, last = keys.even_ranges(blocks)[index]
    ranges = keys.even_ranges(count, first, last) if count else []
    return Block(service, index, 1, tuple(Slice(a, b) for a, b in ranges))


def check_successor(old: Block, new: Block) -> result.Result[Block, str]:
    """Checks the invariants that every change of a block must preserve.

    The version increases by one. The slices cover the same range without gaps
    or overlaps. No slice fence decreases, and a new owner has a new fence. No
    keeper fence decreases, and a new keeper has a new fence.

    Args:
        old: The block before the change.
        new: The block after it.

    Returns:
        The new block, or the invariant that it violates.
    """
    if new.version != old.version + 1:
        return result.Err("version does not increase by one")
    if not _covers_same_range(old, new):
        return result.Err("slices leave a gap or overlap")
    old_table = Table(old.service, [old])
    for piece in new.slices:
        location = old_table.locate(piece.first)
        if location is None or piece.fence < location.slice.fence:
            return result.Err("a slice fence decreases")
        if piece.owner != location.slice.owner and piece.fence != new.version:
            return result.Err("an owner changes without a new fence")
    for target, keeper in old.keepers.items():
        new_keeper = new.keepers.get(target)
        if new_keeper is not None and new_keeper.fence < keeper.fence:
            return result.Err("a keeper fence decreases")
        if new_keeper is not None and _changes_keeper_under_fence(
            keeper, new_keeper
        ):
            return result.Err("a keeper changes without a new fence")
    return result.Ok(new)


def _changes_keeper_under_fence(old: KeeperRef, new: KeeperRef) -> bool:
    return old.fence == new.fence and (old.vm, old.boot) != (new.vm, new.boot)


def _covers_same_range(old: Block, new: Block) -> bool:
    if not old.slices or not new.slices:
        return len(old.slices) == len(new.slices)
    pairs = zip(new.slices, new.slices[1:], strict=False)
    return (
        new.slices[0].first == old.slices[0].first
        and new.slices[-1].last == old.slices[-1].last
        and all(a.last + 1 == b.first for a, b in pairs)
    )


def encode(block: Block) -> bytes:
    """Returns the store value of a block."""
    return msgspec.json.encode(block)


_DECODER = msgspec.json.Decoder(Block)


def decode(value: bytes) -> result.Result[Block, str]:
    """Decodes a block from its store value; Err holds the parse error."""
    return decoding.decode(_DECODER.decode, value)
