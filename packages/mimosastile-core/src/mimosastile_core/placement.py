"""Initial placement of slices on targets and of targets on keepers.

A keeper is the entry VM through which alone a target receives requests and
grants.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import itertools

from mimosastile_core import fleet
from mimosastile_core import keys
from mimosastile_core import tables

OwnerChooser = Callable[[tables.Slice], str]
"""Returns the new owner of a slice, or an empty string for none."""


def plan_owners(block: tables.Block, targets: Iterable[str]) -> dict[int, str]:
    """Assigns owners to slices that have none or whose owner is not allowed.

    Args:
        block: The current block.
        targets: Targets that may own slices.

    Returns:
        First hash of each reassigned slice to its new target. Targets with
        the fewest slices are filled first.
    """
    allowed = set(targets)
    choose = owner_chooser(block, allowed)
    return {
        piece.first: target
        for piece in block.slices
        if (piece.next or piece.owner) not in allowed
        and (target := choose(piece))
    }


def owner_chooser(
    block: tables.Block, targets: Collection[str]
) -> OwnerChooser:
    """Returns a function that chooses new owners, one slice per call.

    Args:
        block: The current block; the slices of its owners count as load.
        targets: Targets that may own slices.

    Returns:
        The function. It returns the target with the fewest slices, including
        those that it assigned before, or an empty string without targets.
    """
    owned_counts = collections.Counter(s.next or s.owner for s in block.slices)
    # A target without slices is either new or was lost a moment ago. Choosing
    # it would let the keepers of two lost targets pass the same slices back
    # and forth: hundreds of block versions a minute, and keys without a
    # server. The planner assigns slices to new targets.
    with_slices = [t for t in targets if owned_counts[t]]
    load = {t: owned_counts[t] for t in sorted(with_slices or targets)}

    def choose(piece: tables.Slice) -> str:
        del piece
        if not load:
            return ""
        target = min(load, key=lambda t: (load[t], t))
        load[target] += 1
        return target

    return choose


def plan_keepers(
    block: tables.Block,
    targets: Iterable[fleet.Vm],
    entries: dict[str, fleet.Vm],
) -> dict[str, str]:
    """Assigns keepers to targets whose keeper is missing or not live.

    Args:
        block: The current block.
        targets: All listed targets of the service.
        entries: Live entry VMs by identifier.

    Returns:
        Target to an entry VM in the target's own availability zone.
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


def preferred_planner(service: str, entries: Iterable[str]) -> str:
    """Returns the entry VM that normally plans a service.

    This is only a hint: any VM may plan, and the compare-and-swap decides.
    Rendezvous hashing keeps the choice stable for most services when other
    VMs join or leave.
    """
    return max(
        entries,
        key=lambda vm: (keys.key_hash(f"plan/{service}/{vm}"), vm),
        default="",
    )


def missing_blocks(block_count: int, existing: Iterable[int]) -> list[int]:
    """Returns the numbers below `block_count` that have no block yet."""
    existing_set = set(existing)
    return list(
        itertools.filterfalse(existing_set.__contains__, range(block_count))
    )
