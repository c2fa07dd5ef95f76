"""Which entry VM should become keeper of which target."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from mimosastile_core import fleet
from mimosastile_core import tables


class Claim(msgspec.Struct, frozen=True):
    """A target that this VM should become keeper of.

    Attributes:
        target: The target.
        suspected: Whether the present keeper is listed and only seems lost.
    """

    target: str
    suspected: bool = False


class View(msgspec.Struct, frozen=True):
    """What a VM goes by when it claims roles.

    Attributes:
        vm: This VM.
        boot: This run of its daemon.
        fleet: The latest reading of the list.
        suspects: Entry VMs that seem lost. A wrong suspicion costs a change
            of keeper and nothing else: fences keep the former one out.
        offered: Target to the fence of a keeper that asked this VM to take
            its place.
    """

    vm: str
    boot: str
    fleet: fleet.Fleet
    suspects: frozenset[str] = frozenset()
    offered: dict[str, int] = {}


def claims(block: tables.Block, view: View) -> list[Claim]:
    """Returns the roles in a block that this VM should claim.

    Args:
        block: The block as it is.
        view: What this VM knows.
    """
    chosen = {claim.target: claim for claim in _vacant(block, view)}
    for target, keeper in block.keepers.items():
        restarted = keeper.vm == view.vm and keeper.boot != view.boot
        offered = view.offered.get(target) == keeper.fence
        if restarted or (offered and keeper.vm != view.vm):
            chosen[target] = Claim(target)
    return list(chosen.values())


def heirs(
    block: tables.Block,
    targets: Iterable[fleet.Vm],
    entries: Iterable[fleet.Vm],
) -> dict[str, str]:
    """Names the next keeper for each of some targets.

    All VMs that see the same lists name the same ones; if they differ, the
    compare-and-swap decides.

    Args:
        block: The block as it is.
        targets: Targets that need a keeper.
        entries: Entry VMs that may be named.

    Returns:
        Target to an entry VM of its zone, one that keeps little first.
        Targets of a zone without such a VM are left out.
    """
    load = collections.Counter(k.vm for k in block.keepers.values())
    by_zone: dict[str, list[str]] = {}
    for vm in sorted(entries, key=lambda vm: vm.id):
        by_zone.setdefault(vm.zone, []).append(vm.id)
    plan: dict[str, str] = {}
    for target in sorted(targets, key=lambda vm: vm.id):
        local = by_zone.get(target.zone)
        if local:
            chosen = min(local, key=lambda vm: (load[vm], vm))
            load[chosen] += 1
            plan[target.id] = chosen
    return plan


def _vacant(block: tables.Block, view: View) -> Iterator[Claim]:
    live = view.fleet.live_entries()
    usable = {
        vm: entry
        for vm, entry in live.items()
        if vm == view.vm or vm not in view.suspects
    }
    listed = view.fleet.targets(block.service)
    vacant = [
        vm for vm in listed.values() if _keeper_vm(block, vm.id) not in usable
    ]
    for target, chosen in heirs(block, vacant, usable.values()).items():
        if chosen == view.vm:
            yield Claim(target, _keeper_vm(block, target) in live)
    # The zone of a target that is listed no longer is not known, and may be
    # lost as a whole. Any VM will do to prove that the target is gone.
    if view.vm == min(usable, default=""):
        owners = {s.owner for s in block.slices} - set(listed) - {""}
        yield from (
            Claim(owner, _keeper_vm(block, owner) in live)
            for owner in sorted(owners)
            if _keeper_vm(block, owner) not in usable
        )


def _keeper_vm(block: tables.Block, target: str) -> str:
    keeper = block.keepers.get(target)
    return keeper.vm if keeper else ""
