"""Choice of the platform's readers and dissemination tree of a zone."""

from collections.abc import Iterable

from mimosastile_core import fleet
from mimosastile_core import keys

FANOUT = 4
"""Number of peers to which a VM forwards an update."""

_SAMPLE_PER_ZONE = 4


def readers(members: Iterable[str], purpose: str, count: int) -> list[str]:
    """Chooses the VMs of a zone that read the platform for the zone.

    Uses rendezvous hashing: each VM computes the readers from its own list,
    and the loss of one VM doesn't change the rank of the others.

    Args:
        members: Live, unsuspected entry VMs of the zone.
        purpose: The data to read; the readers differ by purpose.
        count: Number of readers.

    Returns:
        The readers by rank, highest first.
    """
    ranked = sorted(members, key=lambda vm: keys.key_hash(f"{purpose}/{vm}"))
    return ranked[:count]


def children(
    root: str, vm: str, members: Iterable[str], fanout: int = FANOUT
) -> list[str]:
    """Returns the peers to which a VM forwards an update.

    The members form a tree of the given fan-out below the root. Each receives
    the update once, after a number of hops that grows with the logarithm of
    the zone's size. Where the views of two VMs differ, a member may be missed;
    the exchange of digests repairs that.

    Args:
        root: The VM that sent the update first.
        vm: The VM that forwards the update.
        members: Entry VMs of the zone in this VM's view.
        fanout: Number of peers to forward to.
    """
    order = [root, *sorted(set(members) - {root}, key=keys.key_hash)]
    if vm not in order:
        return []
    first = order.index(vm) * fanout + 1
    return order[first : first + fanout]


def sample_each_zone(
    vm: str, entries: Iterable[fleet.Vm], count: int = _SAMPLE_PER_ZONE
) -> list[fleet.Vm]:
    """Chooses a sample of each zone's entry VMs that depends on the VM.

    Args:
        vm: The VM that queries the sample.
        entries: Entry VMs to choose from.
        count: Number of VMs of each zone.
    """
    zones: dict[str, list[fleet.Vm]] = {}
    for entry in sorted(entries, key=lambda e: keys.key_hash(f"{vm}/{e.id}")):
        zones.setdefault(entry.zone, []).append(entry)
    return [entry for zone in zones.values() for entry in zone[:count]]


def far_interval(near_interval: float, members: int) -> float:
    """Returns the interval of exchanges with other zones, in seconds.

    All members of a zone together start one such exchange in each near
    interval, regardless of the size of the zone.
    """
    return near_interval * max(members, 1)
