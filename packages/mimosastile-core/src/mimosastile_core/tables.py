"""Tables: which target owns which slice of a service's keys.

A service's table comes in blocks. A block is one value in the store and the
unit of atomic change: it holds its slices, their owners and the keepers of the
targets named in it, so that one compare-and-swap decides on an owner and on
the keeper whose proof allowed the change, together.
"""

import bisect
from collections.abc import Iterable

import msgspec
import result

from mimosastile_core import keys


class Slice(msgspec.Struct, frozen=True):
    """A range of the hash space with one owner.

    Attributes:
        first: Lowest hash of the range.
        last: Highest hash of the range, inclusive.
        owner: Target that owns the slice, empty for none.
        fence: Block version at which the owner was set; it only rises.
        next: Target that the slice is moving to, empty for none.
    """

    first: int
    last: int
    owner: str = ""
    fence: int = 0
    next: str = ""


class FormerKeeper(msgspec.Struct, frozen=True, array_like=True):
    """A replaced keeper that might still speak to its target.

    Attributes:
        vm: Identifier of the entry VM.
        boot: Identifier of the daemon's run on that VM.
    """

    vm: str
    boot: str


class KeeperRef(msgspec.Struct, frozen=True, omit_defaults=True):
    """The entry VM that speaks to a target.

    Attributes:
        vm: Identifier of the entry VM.
        boot: Identifier of the daemon's run on that VM. A restarted daemon has
            forgotten what it granted and must become keeper anew.
        fence: Rises with every change of keeper of this target.
        former: Replaced keepers that were not known to be silent when the
            next one was named.
        lost: Whether the target has not answered for as long as a grant
            lasts. Advice for placement; it proves nothing.
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
        version: Rises by one with each change; owners take it as their fence.
        slices: The slices in order; empty for a service not divided by key.
        keepers: Target to keeper.
    """

    service: str
    index: int
    version: int
    slices: tuple[Slice, ...] = ()
    keepers: dict[str, KeeperRef] = {}

    @property
    def id(self) -> "BlockId":
        """Service and index."""
        return BlockId(self.service, self.index)

    def owned_by(self, target: str) -> tuple[Slice, ...]:
        """Returns the slices that a target owns, moving ones included."""
        return tuple(s for s in self.slices if s.owner == target)

    def reachable(self) -> set[str]:
        """Returns the targets that have a keeper which hears them."""
        return {t for t, keeper in self.keepers.items() if not keeper.lost}

    def slice_at(self, first: int) -> Slice | None:
        """Returns the slice that begins at a hash, if there is one."""
        return next((s for s in self.slices if s.first == first), None)


class BlockId(msgspec.Struct, frozen=True, order=True):
    """Names a block; also the last parts of its store key."""

    service: str
    index: int


class Location(msgspec.Struct, frozen=True):
    """Where a key lives according to one state of the table."""

    block: BlockId
    slice: Slice
    keeper: KeeperRef | None


class _Index:
    """The slices of one block, for look-up."""

    __slots__ = ("block", "edges", "homes")

    def __init__(self, block: Block) -> None:
        self.block = block
        self.edges = [s.first for s in block.slices]
        self.homes = [
            Location(block.id, s, block.keepers.get(s.owner))
            for s in block.slices
        ]


class Table:
    """All known blocks of one service, indexed for look-up.

    Look-ups are two bisections with no allocation. A changed table takes over
    the indexes of the blocks that did not change: with hundreds of blocks,
    indexing them all for one moved slice would take a tenth of a second.
    """

    __slots__ = ("_blocks", "_firsts", "_indexes", "_service")

    def __init__(
        self,
        service: str,
        blocks: Iterable[Block],
        former: "Table | None" = None,
    ) -> None:
        """Indexes blocks.

        Args:
            service: Name of the service.
            blocks: All known blocks of it.
            former: The table as it was, None for the first one.
        """
        self._service = service
        self._blocks = {b.index: b for b in blocks}
        self._indexes: list[_Index]
        known = (
            {id(i.block): i for i in former._indexes}  # noqa: SLF001
            if former
            else {}
        )
        ordered = sorted(
            (b for b in self._blocks.values() if b.slices),
            key=lambda b: b.slices[0].first,
        )
        self._firsts = [b.slices[0].first for b in ordered]
        self._indexes = [known.get(id(b)) or _Index(b) for b in ordered]

    @property
    def blocks(self) -> dict[int, Block]:
        """The blocks by index."""
        return self._blocks

    @property
    def service(self) -> str:
        """Name of the service."""
        return self._service

    def locate(self, position: int) -> Location | None:
        """Returns the slice over a hash, None if its block is missing."""
        at = bisect.bisect_right(self._firsts, position) - 1
        if at < 0:
            return None
        index = self._indexes[at]
        home = index.homes[bisect.bisect_right(index.edges, position) - 1]
        return home if position <= home.slice.last else None

    def keepers(self) -> dict[str, KeeperRef]:
        """Returns target to keeper over all blocks."""
        return {
            target: keeper
            for block in self._blocks.values()
            for target, keeper in block.keepers.items()
        }


def empty_block(service: str, index: int, count: int, blocks: int) -> Block:
    """Returns the first version of a block, with no owners yet.

    Args:
        service: Name of the service.
        index: Number of the block.
        count: Slices in this block; 0 for a service not divided by key.
        blocks: How many blocks the service has.
    """
    first, last = keys.even_ranges(blocks)[index]
    ranges = keys.even_ranges(count, first, last) if count else []
    return Block(service, index, 1, tuple(Slice(a, b) for a, b in ranges))


def check_successor(old: Block, new: Block) -> result.Result[Block, str]:
    """Checks the rules that every change of a block keeps.

    The version rises by one, the slices cover the same range without a gap,
    no slice's fence falls and a changed owner has a higher fence, no keeper's
    fence falls.

    Args:
        old: The block before the change.
        new: The block after it.

    Returns:
        The new block, or the rule that it breaks.
    """
    if new.version != old.version + 1:
        return result.Err("version does not rise by one")
    if not _same_cover(old, new):
        return result.Err("slices leave a gap or overlap")
    before = Table(old.service, [old])
    for piece in new.slices:
        home = before.locate(piece.first)
        if home is None or piece.fence < home.slice.fence:
            return result.Err("a slice fence falls")
        if piece.owner != home.slice.owner and piece.fence != new.version:
            return result.Err("an owner changes without a new fence")
    for target, keeper in old.keepers.items():
        now = new.keepers.get(target)
        if now is not None and now.fence < keeper.fence:
            return result.Err("a keeper fence falls")
        if now is not None and _other_keeper_same_fence(keeper, now):
            return result.Err("a keeper changes without a new fence")
    return result.Ok(new)


def _other_keeper_same_fence(old: KeeperRef, new: KeeperRef) -> bool:
    return old.fence == new.fence and (old.vm, old.boot) != (new.vm, new.boot)


def _same_cover(old: Block, new: Block) -> bool:
    if not old.slices or not new.slices:
        return len(old.slices) == len(new.slices)
    ends = zip(new.slices, new.slices[1:], strict=False)
    return (
        new.slices[0].first == old.slices[0].first
        and new.slices[-1].last == old.slices[-1].last
        and all(a.last + 1 == b.first for a, b in ends)
    )


def encode(block: Block) -> bytes:
    """Returns the store value of a block."""
    return msgspec.json.encode(block)


_DECODER = msgspec.json.Decoder(Block)


def decode(value: bytes) -> result.Result[Block, str]:
    """Reads a block from its store value; Err carries what is wrong."""
    try:
        return result.Ok(_DECODER.decode(value))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Err(str(error))
