"""Differences between two versions of a block, for telling peers."""

import msgspec

from mimosastile_core import tables


class BlockChange(msgspec.Struct, frozen=True, array_like=True):
    """What turns one version of a block into a later one.

    Attributes:
        id: The block.
        base: Version that the change applies to, and to no other.
        version: Version that it makes.
        slices: Slices of the later version that the earlier one has not.
        keepers: Keepers of the later version that the earlier one has not.
        dropped: Targets that have a keeper in the earlier version only.
    """

    id: tables.BlockId
    base: int
    version: int
    slices: tuple[tables.Slice, ...]
    keepers: dict[str, tables.KeeperRef]
    dropped: tuple[str, ...] = ()


def between(old: tables.Block, new: tables.Block) -> BlockChange:
    """Returns what turns a version of a block into a later one."""
    known = set(old.slices)
    return BlockChange(
        id=new.id,
        base=old.version,
        version=new.version,
        slices=tuple(s for s in new.slices if s not in known),
        keepers={
            target: keeper
            for target, keeper in new.keepers.items()
            if old.keepers.get(target) != keeper
        },
        dropped=tuple(t for t in old.keepers if t not in new.keepers),
    )


def applied(block: tables.Block, change: BlockChange) -> tables.Block | None:
    """Returns the later version of a block.

    Args:
        block: The version that the change was made from.
        change: The change.

    Returns:
        The later version, or None if the change was made from another one: a
        mark that was set and taken back in between is in no difference, and
        would stay in a version to which it is applied all the same.
    """
    if block.id != change.id or block.version != change.base:
        return None
    kept = [
        old
        for old in block.slices
        if not any(
            new.first <= old.last and old.first <= new.last
            for new in change.slices
        )
    ]
    slices = sorted([*kept, *change.slices], key=lambda s: s.first)
    keepers = {
        target: keeper
        for target, keeper in block.keepers.items()
        if target not in change.dropped
    }
    return msgspec.structs.replace(
        block,
        version=change.version,
        slices=tuple(slices),
        keepers=keepers | change.keepers,
    )
