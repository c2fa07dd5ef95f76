"""Block transitions that change the owners of slices or the keepers of targets.

There are no others. Each function takes a block and returns its successor, or
the reason why there is none. An owned slice gets a new owner only with a typed
proof that the former owner can no longer run requests for it.
"""

from collections.abc import Callable
import functools

import msgspec
import result

from mimosastile_core import tables


class Released(msgspec.Struct, frozen=True):
    """The target acknowledged to its keeper that it released slices.

    Attributes:
        target: The former owner.
        keeper_fence: Fence of the keeper that received the acknowledgement.
        slices: First hashes of the released slices.
    """

    target: str
    keeper_fence: int
    slices: frozenset[int]


class Lapsed(msgspec.Struct, frozen=True):
    """The keeper stopped renewing the grants, and all of them have expired.

    Attributes:
        target: The former owner.
        keeper_fence: Fence of the keeper that stopped renewing.
    """

    target: str
    keeper_fence: int


class Gone(msgspec.Struct, frozen=True):
    """The platform listed the VM before and does not list it any more.

    Valid only once every grant that the VM can hold has expired.

    Attributes:
        target: The former owner.
        keeper_fence: Fence of the observing keeper, which sends no grants.
    """

    target: str
    keeper_fence: int


Proof = Released | Lapsed | Gone
BlockResult = result.Result[tables.Block, str]


@functools.singledispatch
def proves(proof: Proof, block: tables.Block, piece: tables.Slice) -> bool:
    """Returns whether a proof covers a slice in the current block.

    A proof from a replaced keeper is void, because the new keeper may have
    granted the slice again.
    """
    raise TypeError(f"expected a proof of release, got {proof!r}")


@proves.register
def _(proof: Released, block: tables.Block, piece: tables.Slice) -> bool:
    return (
        piece.owner == proof.target
        and piece.first in proof.slices
        and _is_keeper(block, proof.target, proof.keeper_fence)
    )


@proves.register(Lapsed)
@proves.register(Gone)
def _(proof: Lapsed | Gone, block: tables.Block, piece: tables.Slice) -> bool:
    return piece.owner == proof.target and _is_keeper(
        block, proof.target, proof.keeper_fence
    )


def _is_keeper(block: tables.Block, target: str, fence: int) -> bool:
    keeper = block.keepers.get(target)
    return keeper is not None and keeper.fence == fence


def start_moves(block: tables.Block, plan: dict[int, str]) -> BlockResult:
    """Marks slices as moving and assigns unowned slices at once.

    Args:
        block: The current block.
        plan: First hash of a slice to its new target; an empty target cancels
            a planned move.

    Returns:
        The next version of the block, or the reason why nothing changes.
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

    return _apply_to_slices(block, step)


def finish_moves(
    block: tables.Block,
    proof: Proof,
    choose: Callable[[tables.Slice], str],
) -> BlockResult:
    """Assigns the slices that a proof covers to their next owners.

    Args:
        block: The current block.
        proof: Evidence that the former owner can run no more requests.
        choose: Returns the new owner of a slice without a usable planned one,
            or an empty string for none.

    Returns:
        The next version of the block, or the reason why nothing changes.
    """
    version = block.version + 1

    def step(piece: tables.Slice) -> tables.Slice:
        if not proves(proof, block, piece):
            return piece
        planned = "" if piece.next in lost else piece.next
        owner = planned or choose(piece)
        return tables.Slice(piece.first, piece.last, owner, version)

    lost = {target for target, keeper in block.keepers.items() if keeper.lost}
    if not isinstance(proof, Released):
        lost.add(proof.target)
    return _apply_to_slices(block, step).map(lambda new: _mark_lost(new, lost))


def record_lost(
    block: tables.Block, target: str, keeper_fence: int, lost: bool
) -> BlockResult:
    """Records whether a target fails to respond to its keeper.

    Two keepers that each lose a target cannot observe the other's loss.
    Without this record, each would assign its target's slices to the other's
    lost target, back and forth, as fast as the store accepts writes.

    Args:
        block: The current block.
        target: The target.
        keeper_fence: Fence of the keeper that reports this.
        lost: Whether it has not responded for the duration of a grant.

    Returns:
        The next version of the block, or the reason why nothing changes.
    """
    keeper = block.keepers.get(target)
    if keeper is None or keeper.fence != keeper_fence or keeper.lost is lost:
        return result.Err("nothing to change")
    updated = msgspec.structs.replace(keeper, lost=lost)
    return _with_keepers(block, {target: updated})


def set_keepers(
    block: tables.Block,
    keepers: dict[str, tuple[str, str]],
    checks_orders: bool = True,
) -> BlockResult:
    """Sets new keepers with fences above those of the former ones.

    Args:
        block: The current block.
        keepers: Target to entry VM and boot identifier.
        checks_orders: Whether the targets refuse former keepers. If not, a
            request sent by an ended incarnation of a daemon may run at any
            later time.

    Returns:
        The next version of the block, or the reason why nothing changes.
    """
    changed = {
        target: tables.KeeperRef(
            vm,
            boot,
            _keeper_fence(block, target) + 1,
            _former_keepers(block.keepers.get(target), vm, checks_orders),
            target in block.keepers and block.keepers[target].lost,
        )
        for target, (vm, boot) in keepers.items()
        if not _is_kept_by(block, target, vm, boot)
    }
    return _with_keepers(block, changed)


def drop_former_keepers(
    block: tables.Block, fences: dict[str, int]
) -> BlockResult:
    """Drops the former keepers of targets that now refuse them.

    Args:
        block: The current block.
        fences: Target to the keeper fence that it acknowledged.

    Returns:
        The next version of the block, or the reason why nothing changes.
    """
    changed = {
        target: msgspec.structs.replace(keeper, former=())
        for target, keeper in block.keepers.items()
        if keeper.former and fences.get(target) == keeper.fence
    }
    return _with_keepers(block, changed)


def barrier(block: tables.Block) -> tables.Block:
    """Returns a successor that changes only the version.

    Once it is stored, no pending compare-and-swap against the current version
    can succeed.
    """
    return msgspec.structs.replace(block, version=block.version + 1)


def _with_keepers(
    block: tables.Block, changed: dict[str, tables.KeeperRef]
) -> BlockResult:
    if not changed:
        return result.Err("nothing to change")
    return result.Ok(
        msgspec.structs.replace(
            block,
            version=block.version + 1,
            keepers=block.keepers | changed,
        )
    )


def _former_keepers(
    replaced: tables.KeeperRef | None, successor: str, checks_orders: bool
) -> tuple[tables.FormerKeeper, ...]:
    """Returns the replaced keepers that may still send to a target.

    One incarnation per VM is kept. If targets check orders, it is the last, as
    the earlier ones have ended; and if the successor is on the same VM, the
    last has ended too. Otherwise it is the first: it can no longer acknowledge
    anything, so later ones need no entry.
    """
    if replaced is None:
        return ()
    last = tables.FormerKeeper(replaced.vm, replaced.boot)
    replaced_keepers = (*replaced.former, last)
    if not checks_orders:
        return tuple({f.vm: f for f in reversed(replaced_keepers)}.values())
    latest = {f.vm: f for f in replaced_keepers}
    return tuple(f for vm, f in latest.items() if vm != successor)


def _mark_lost(block: tables.Block, lost: set[str]) -> tables.Block:
    updated = {
        target: msgspec.structs.replace(keeper, lost=True)
        for target, keeper in block.keepers.items()
        if target in lost and not keeper.lost
    }
    if not updated:
        return block
    return msgspec.structs.replace(block, keepers=block.keepers | updated)


def _is_kept_by(block: tables.Block, target: str, vm: str, boot: str) -> bool:
    keeper = block.keepers.get(target)
    return keeper is not None and (keeper.vm, keeper.boot) == (vm, boot)


def _keeper_fence(block: tables.Block, target: str) -> int:
    # A clean-up may have removed an earlier keeper of this target. The block's
    # version is above every keeper fence that the block has ever contained.
    keeper = block.keepers.get(target)
    return keeper.fence if keeper else block.version


def _apply_to_slices(
    block: tables.Block, step: Callable[[tables.Slice], tables.Slice]
) -> BlockResult:
    slices = tuple(step(piece) for piece in block.slices)
    if slices == block.slices:
        return result.Err("nothing to change")
    return result.Ok(
        msgspec.structs.replace(block, version=block.version + 1, slices=slices)
    )
