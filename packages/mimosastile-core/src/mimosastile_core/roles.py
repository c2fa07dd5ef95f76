"""Assignment of keepers to targets.

A target's keeper is the entry VM through which alone the target gets requests
and grants.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from mimosastile_core import fleet
from mimosastile_core import tables


class Claim(msgspec.Struct, frozen=True):
    """A target whose keeper this VM should become.

    Attributes:
        target: The target.
        suspected: Whether the present keeper is still listed and merely
            suspected of having failed.
    """

    target: str
    suspected: bool = False


class View(msgspec.Struct, frozen=True):
    """The view of the cluster from which a VM decides its claims.

    Attributes:
        vm: This VM.
        boot: Identifier of this incarnation of its daemon.
        fleet: The latest reading of the list of VMs.
        suspects: Entry VMs that are suspected of having failed. A wrong
            suspicion only costs a change of keeper, as the target refuses
            the lower fence of the former one.
        offered: Target to the fence of a keeper that requested a handover to
            this VM.
    """

    vm: str
    boot: str
    fleet: fleet.Fleet
    suspects: frozenset[str] = frozenset()
    offered: dict[str, int] = {}


def claims(block: tables.Block, view: View) -> list[Claim]:
    """Returns the roles in a block that this VM should claim.

    Args:
        block: The current block.
        view: This VM's view of the cluster.
    """
    chosen = {claim.target: claim for claim in _unkept(block, view)}
    for target, keeper in block.keepers.items():
        restarted = keeper.vm == view.vm and keeper.boot != view.boot
        offered = view.offered.get(target) == keeper.fence
        if restarted or (offered and keeper.vm != view.vm):
            chosen[target] = Claim(target)
    return list(chosen.values())


def assign_keepers(
    block: tables.Block,
    targets: Iterable[fleet.Vm],
    entries: Iterable[fleet.Vm],
) -> dict[str, str]:
    """Assigns the next keeper of each given target.

    The result depends only on the arguments, so all VMs with the same lists
    choose alike. If they differ, the compare-and-swap decides.

    Args:
        block: The current block.
        targets: Targets that need a keeper.
        entries: Entry VMs that may become keepers.

    Returns:
        Target to the entry VM of its zone that keeps the fewest targets.
        Targets in zones without an entry VM are left out.
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


def _unkept(block: tables.Block, view: View) -> Iterator[Claim]:
    live = view.fleet.live_entries()
    usable = {
        vm: entry
        for vm, entry in live.items()
        if vm == view.vm or vm not in view.suspects
    }
    listed = view.fleet.targets(block.service)
    unkept = [
        vm for vm in listed.values() if _keeper_vm(block, vm.id) not in usable
    ]
    for target, chosen in assign_keepers(
        block, unkept, usable.values()
    ).items():
        if chosen == view.vm:
            yield Claim(target, _keeper_vm(block, target) in live)
    # The zone of a target that is no longer listed is unknown, and all of its
    # VMs may have failed. Any VM can prove that the target is gone.
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
