"""Changes of a block: the only ways in which an owner or a keeper changes.

Each function takes a block and returns its successor or the reason why not.
A slice that has an owner gets another one only with a typed proof that the
former can run nothing for it any more.
"""

from collections.abc import Callable
import functools

import msgspec
import result

from mimosastile_core import tables


class Released(msgspec.Struct, frozen=True):
    """The target acknowledged to its keeper that it let slices go.

    Attributes:
        target: The former owner.
        keeper_fence: Fence of the keeper that received the acknowledgement.
        slices: First hashes of the released slices.
    """

    target: str
    keeper_fence: int
    slices: frozenset[int]


class Lapsed(msgspec.Struct, frozen=True):
    """The keeper stopped renewing and every grant has run out.

    Attributes:
        target: The former owner.
        keeper_fence: Fence of the keeper that stopped renewing.
    """

    target: str
    keeper_fence: int


class Gone(msgspec.Struct, frozen=True):
    """The platform listed the VM as live once and lists it no longer.

    Attributes:
        target: The former owner.
    """

    target: str


Proof = Released | Lapsed | Gone
BlockResult = result.Result[tables.Block, str]


@functools.singledispatch
def proves(proof: Proof, block: tables.Block, piece: tables.Slice) -> bool:
    """Whether a proof covers a slice in the present state of its block.

    A proof of a keeper that has been replaced is void: the new keeper may have
    granted the slice again.
    """
    raise TypeError(f"not a proof: {proof!r}")


@proves.register
def _(proof: Released, block: tables.Block, piece: tables.Slice) -> bool:
    return (
        piece.owner == proof.target
        and piece.first in proof.slices
        and _is_keeper(block, proof.target, proof.keeper_fence)
    )


@proves.register
def _(proof: Lapsed, block: tables.Block, piece: tables.Slice) -> bool:
    return piece.owner == proof.target and _is_keeper(
        block, proof.target, proof.keeper_fence
    )


@proves.register
def _(proof: Gone, block: tables.Block, piece: tables.Slice) -> bool:
    del block
    return piece.owner == proof.target


def _is_keeper(block: tables.Block, target: str, fence: int) -> bool:
    keeper = block.keepers.get(target)
    return keeper is not None and keeper.fence == fence


def start_moves(block: tables.Block, plan: dict[int, str]) -> BlockResult:
    """Marks slices as moving; ownerless slices are assigned at once.

    Args:
        block: The block as it is.
        plan: First hash of a slice to its new target; an empty target takes a
            planned move back.

    Returns:
        The next version, or why nothing changes.
    """
    version = block.version + 1

    def step(piece: tables.Slice) -> tables.Slice:
        target = plan.get(piece.first)
        if target is None:
            return piece
        if not piece.owner and target:
            return tables.Slice(piece.first, piece.last, target, version)
        wanted = "" if target == piece.owner else target
        return msgspec.structs.replace(piece, next=wanted)

    return _changed(block, step)


def finish_moves(
    block: tables.Block,
    proof: Proof,
    choose: Callable[[tables.Slice], str],
) -> BlockResult:
    """Gives slices that a proof covers to their next owner.

    Args:
        block: The block as it is.
        proof: Why the former owner can run nothing any more.
        choose: New owner of a slice that has no planned one; may be empty.

    Returns:
        The next version, or why nothing changes.
    """
    version = block.version + 1

    def step(piece: tables.Slice) -> tables.Slice:
        if not proves(proof, block, piece):
            return piece
        owner = piece.next or choose(piece)
        return tables.Slice(piece.first, piece.last, owner, version)

    return _changed(block, step)


def set_keepers(
    block: tables.Block, keepers: dict[str, tuple[str, str]]
) -> BlockResult:
    """Names new keepers; their fences rise above the former ones.

    Args:
        block: The block as it is.
        keepers: Target to entry VM and boot identifier.

    Returns:
        The next version, or why nothing changes.
    """
    changed = {
        target: tables.KeeperRef(vm, boot, _keeper_fence(block, target) + 1)
        for target, (vm, boot) in keepers.items()
        if not _is_kept_by(block, target, vm, boot)
    }
    if not changed:
        return result.Err("nothing to change")
    return result.Ok(
        msgspec.structs.replace(
            block,
            version=block.version + 1,
            keepers=block.keepers | changed,
        )
    )


def _is_kept_by(block: tables.Block, target: str, vm: str, boot: str) -> bool:
    keeper = block.keepers.get(target)
    return keeper is not None and (keeper.vm, keeper.boot) == (vm, boot)


def _keeper_fence(block: tables.Block, target: str) -> int:
    # A target without a keeper may have had one that a clean-up removed; the
    # block's version is above every fence that was ever given in it.
    keeper = block.keepers.get(target)
    return keeper.fence if keeper else block.version


def _changed(
    block: tables.Block, step: Callable[[tables.Slice], tables.Slice]
) -> BlockResult:
    slices = tuple(step(piece) for piece in block.slices)
    if slices == block.slices:
        return result.Err("nothing to change")
    return result.Ok(
        msgspec.structs.replace(block, version=block.version + 1, slices=slices)
    )
