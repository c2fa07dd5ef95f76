"""Who reads the platform for a zone, and along whom news travels in it."""

from collections.abc import Iterable

from mimosastile_core import fleet
from mimosastile_core import keys

FANOUT = 4
"""Peers to which a VM passes news on."""

_ASKED_IN_ZONE = 4


def readers(members: Iterable[str], purpose: str, count: int) -> list[str]:
    """Chooses the VMs of a zone that read the platform for it.

    By rendezvous rank, so that each VM knows them from its own list and the
    loss of one changes nothing for the others.

    Args:
        members: Live, unsuspected entry VMs of the zone.
        purpose: What is read; other purposes fall on other VMs.
        count: How many readers.

    Returns:
        The readers, first in rank first.
    """
    ranked = sorted(members, key=lambda vm: keys.key_hash(f"{purpose}/{vm}"))
    return ranked[:count]


def children(
    root: str, vm: str, members: Iterable[str], fanout: int = FANOUT
) -> list[str]:
    """Returns to whom a VM passes news on.

    The members form a tree of the given fan-out below the root: each gets the
    news once, over a number of hops that grows with the logarithm. Where two
    views of the members differ, someone is missed; the exchange of digests
    makes that good.

    Args:
        root: The VM that began.
        vm: The VM that passes on.
        members: Entry VMs of the zone as this VM knows them.
        fanout: Peers to pass on to.
    """
    order = [root, *sorted(set(members) - {root}, key=keys.key_hash)]
    if vm not in order:
        return []
    first = order.index(vm) * fanout + 1
    return order[first : first + fanout]


def some_of_each_zone(
    vm: str, entries: Iterable[fleet.Vm], count: int = _ASKED_IN_ZONE
) -> list[fleet.Vm]:
    """Chooses a few entry VMs of each zone, others for each asking VM.

    Args:
        vm: The asking VM.
        entries: Entry VMs to choose from.
        count: How many of each zone.
    """
    zones: dict[str, list[fleet.Vm]] = {}
    for entry in sorted(entries, key=lambda e: keys.key_hash(f"{vm}/{e.id}")):
        zones.setdefault(entry.zone, []).append(entry)
    return [entry for zone in zones.values() for entry in zone[:count]]


def far_interval(near_interval: float, members: int) -> float:
    """Returns the interval of exchanges with other zones, in seconds.

    Over all members of a zone one falls into each near interval, whatever the
    size of the zone.
    """
    return near_interval * max(members, 1)
