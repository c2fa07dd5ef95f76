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
    """The platform listed the VM once and lists it no longer.

    To be given only when every grant that the VM can hold has run out.

    Attributes:
        target: The former owner.
        keeper_fence: Fence of the keeper that saw it; it sends no grant.
    """

    target: str
    keeper_fence: int


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
        planned = "" if piece.next in lost else piece.next
        owner = planned or choose(piece)
        return tables.Slice(piece.first, piece.last, owner, version)

    lost = {target for target, k in block.keepers.items() if k.lost}
    if not isinstance(proof, Released):
        lost.add(proof.target)
    return _changed(block, step).map(lambda new: _with_lost(new, lost))


def note_lost(
    block: tables.Block, target: str, keeper_fence: int, lost: bool
) -> BlockResult:
    """Notes whether a target answers its keeper.

    Two keepers that each lose a target know nothing of the other's loss. Each
    would give its slices to the other's dead target, back and forth, as fast
    as the store takes writes.

    Args:
        block: The block as it is.
        target: The target.
        keeper_fence: Fence of the keeper that says so.
        lost: Whether it has not answered for as long as a grant lasts.

    Returns:
        The next version, or why nothing changes.
    """
    keeper = block.keepers.get(target)
    if keeper is None or keeper.fence != keeper_fence or keeper.lost is lost:
        return result.Err("nothing to change")
    noted = msgspec.structs.replace(keeper, lost=lost)
    return _with_keepers(block, {target: noted})


def set_keepers(
    block: tables.Block,
    keepers: dict[str, tuple[str, str]],
    checks_orders: bool = True,
) -> BlockResult:
    """Names new keepers; their fences rise above the former ones.

    Args:
        block: The block as it is.
        keepers: Target to entry VM and boot identifier.
        checks_orders: Whether the targets refuse former keepers. If not, what
            an ended run of a daemon has sent may run at any later time.

    Returns:
        The next version, or why nothing changes.
    """
    changed = {
        target: tables.KeeperRef(
            vm,
            boot,
            _keeper_fence(block, target) + 1,
            _former(block.keepers.get(target), vm, checks_orders),
            target in block.keepers and block.keepers[target].lost,
        )
        for target, (vm, boot) in keepers.items()
        if not _is_kept_by(block, target, vm, boot)
    }
    return _with_keepers(block, changed)


def forget_former(block: tables.Block, fences: dict[str, int]) -> BlockResult:
    """Drops the former keepers of targets that refuse them by now.

    Args:
        block: The block as it is.
        fences: Target to the keeper fence that it acknowledged.

    Returns:
        The next version, or why nothing changes.
    """
    changed = {
        target: msgspec.structs.replace(keeper, former=())
        for target, keeper in block.keepers.items()
        if keeper.former and fences.get(target) == keeper.fence
    }
    return _with_keepers(block, changed)


def barrier(block: tables.Block) -> tables.Block:
    """Returns a successor that changes nothing but the version.

    Once it is stored, no write that was made for this version can take
    effect any more.
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


def _former(
    replaced: tables.KeeperRef | None, successor: str, checks_orders: bool
) -> tuple[tables.FormerKeeper, ...]:
    """Returns the replaced keepers that might still speak to a target.

    One run of a VM stands for all. Where targets check orders it is the last,
    as the earlier ones have ended; and if the successor is on the same VM,
    the last has ended too. Where they do not, it is the first: it can
    acknowledge nothing any more, so nothing later is needed.
    """
    if replaced is None:
        return ()
    last = tables.FormerKeeper(replaced.vm, replaced.boot)
    every = (*replaced.former, last)
    if not checks_orders:
        return tuple({f.vm: f for f in reversed(every)}.values())
    runs = {f.vm: f for f in every}
    return tuple(f for vm, f in runs.items() if vm != successor)


def _with_lost(block: tables.Block, lost: set[str]) -> tables.Block:
    noted = {
        target: msgspec.structs.replace(keeper, lost=True)
        for target, keeper in block.keepers.items()
        if target in lost and not keeper.lost
    }
    if not noted:
        return block
    return msgspec.structs.replace(block, keepers=block.keepers | noted)


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
