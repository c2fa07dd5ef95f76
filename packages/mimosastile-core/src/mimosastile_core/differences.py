"""Deltas between versions of a block, for updates to peers."""

import msgspec

from mimosastile_core import tables


class BlockChange(msgspec.Struct, frozen=True, array_like=True):
    """Delta from one version of a block to a later one.

    Attributes:
        id: Identifier of the block.
        base: The only version that the delta applies to.
        version: The resulting version.
        slices: Slices that are new or changed in the later version.
        keepers: Keepers by target that are new or changed in the later
            version. A keeper is the entry VM through which alone a target gets
            requests and grants.
        dropped: Targets that have a keeper in the earlier version only.
    """

    id: tables.BlockId
    base: int
    version: int
    slices: tuple[tables.Slice, ...]
    keepers: dict[str, tables.KeeperRef]
    dropped: tuple[str, ...] = ()


def diff(old: tables.Block, new: tables.Block) -> BlockChange:
    """Returns the delta from one version of a block to a later one."""
    old_slices = set(old.slices)
    return BlockChange(
        id=new.id,
        base=old.version,
        version=new.version,
        slices=tuple(s for s in new.slices if s not in old_slices),
        keepers={
            target: keeper
            for target, keeper in new.keepers.items()
            if old.keepers.get(target) != keeper
        },
        dropped=tuple(t for t in old.keepers if t not in new.keepers),
    )


def apply(block: tables.Block, change: BlockChange) -> tables.Block | None:
    """Returns the later version of a block.

    Args:
        block: The base version of the delta.
        change: The delta.

    Returns:
        The later version, or None if the delta has another base. A move that
        was started and cancelled (`Slice.next` set and cleared) between the
        two versions is not in the delta. If the delta were applied to a
        version in between, the move would remain there.
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
