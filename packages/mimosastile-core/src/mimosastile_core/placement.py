"""Placement: which target owns which slice, which VM keeps which target."""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import itertools

from mimosastile_core import fleet
from mimosastile_core import keys
from mimosastile_core import tables

Chooser = Callable[[tables.Slice], str]
"""Names the new owner of a slice, empty for none."""


def spread(block: tables.Block, targets: Iterable[str]) -> dict[int, str]:
    """Plans owners for slices that have none or whose owner is not listed.

    Args:
        block: The block as it is.
        targets: Targets that may own slices.

    Returns:
        First hash of a slice to its new target; few slices on a target first.
    """
    allowed = set(targets)
    choose = chooser(block, allowed)
    return {
        piece.first: target
        for piece in block.slices
        if (piece.next or piece.owner) not in allowed
        and (target := choose(piece))
    }


def chooser(block: tables.Block, targets: Collection[str]) -> Chooser:
    """Returns a function that names a new owner for one slice after another.

    Args:
        block: The block as it is; its owners count as load.
        targets: Targets that may own slices.

    Returns:
        The function; it names the target with the fewest slices, counting
        those it has named before, or none if there are no targets.
    """
    holders = collections.Counter(s.next or s.owner for s in block.slices)
    # A target that owns nothing is new, or its loss was noticed just now. If
    # it were named, the keepers of two lost targets would hand the same slices
    # to and fro, seen as hundreds of versions a minute and keys that nobody
    # serves. A new target gets its share by the planner.
    proven = [t for t in targets if holders[t]]
    load = {t: holders[t] for t in sorted(proven or targets)}

    def choose(piece: tables.Slice) -> str:
        del piece
        if not load:
            return ""
        target = min(load, key=lambda t: (load[t], t))
        load[target] += 1
        return target

    return choose


def keepers(
    block: tables.Block,
    targets: Iterable[fleet.Vm],
    entries: dict[str, fleet.Vm],
) -> dict[str, str]:
    """Plans keepers for targets whose keeper is missing or not listed.

    Args:
        block: The block as it is.
        targets: All listed targets of the service.
        entries: Live entry VMs by identifier.

    Returns:
        Target to entry VM of the target's own availability zone.
    """
    load = dict.fromkeys(entries, 0)
    for keeper in block.keepers.values():
        if keeper.vm in load:
            load[keeper.vm] += 1
    plan: dict[str, str] = {}
    for target in sorted(targets, key=lambda vm: vm.id):
        keeper_ref = block.keepers.get(target.id)
        if keeper_ref is not None and keeper_ref.vm in entries:
            continue
        local = [vm.id for vm in entries.values() if vm.zone == target.zone]
        if not local:
            continue
        chosen = min(local, key=lambda vm: (load[vm], vm))
        load[chosen] += 1
        plan[target.id] = chosen
    return plan


def usual_planner(service: str, entries: Iterable[str]) -> str:
    """Returns the entry VM that should usually plan a service.

    Only a hint: any VM may plan, the compare-and-swap decides. Chosen by
    rendezvous, so that the coming and going of other VMs changes it for few
    services.
    """
    return max(
        entries,
        key=lambda vm: (keys.key_hash(f"plan/{service}/{vm}"), vm),
        default="",
    )


def needs_blocks(service_blocks: int, known: Iterable[int]) -> list[int]:
    """Returns the block numbers that do not exist yet."""
    present = set(known)
    return list(
        itertools.filterfalse(present.__contains__, range(service_blocks))
    )
