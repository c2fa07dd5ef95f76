"""Readings of the platform's list of VMs, own ones and told ones.

The list has no version, and its readers see it with different lags. What one
reader saw listed may be missing from another's older reading, so a VM counts
as gone only if one and the same reader saw it listed and later not.
"""

from mimosastile_core import fleet
from mimosastile_core import messages

_FRESHER = 1.0
"""Seconds by which another reader's reading must be fresher to be taken."""
_MOST_GONE = 4096
# The property `fleet` hides the module of that name inside the class.
CurrentFleet = fleet.Fleet
ListedVm = fleet.Vm
Vms = tuple[fleet.Vm, ...]


class Listings:
    """The reading in use and the VMs that are known to be gone."""

    __slots__ = (
        "_confirmed_at",
        "_fleet",
        "_gone",
        "_me",
        "_mine",
        "_number",
        "_numbered",
        "_reader",
    )

    def __init__(self, me: str) -> None:
        """Starts without a reading.

        Args:
            me: This VM as a reader, different for each run.
        """
        self._me = me
        self._fleet = fleet.Fleet()
        self._reader = ""
        self._number = 0
        self._numbered = 0
        self._confirmed_at = float("-inf")
        self._mine: frozenset[str] = frozenset()
        self._gone: dict[str, None] = {}

    @property
    def fleet(self) -> CurrentFleet:
        """The reading in use, indexed."""
        return self._fleet

    @property
    def reader(self) -> str:
        """Who made the reading in use."""
        return self._reader

    @property
    def number(self) -> int:
        """Its number."""
        return self._number

    def age(self, now: float) -> float:
        """Returns seconds since the reading in use was confirmed."""
        return now - self._confirmed_at

    def is_gone(self, vm: str) -> bool:
        """Whether a VM was listed once and is listed no longer."""
        return vm in self._gone and vm not in self._fleet.vms

    def read(self, vms: Vms, now: float) -> bool:
        """Takes a reading of this VM's own; True if the list changed.

        Args:
            vms: The list.
            now: When it was asked for.
        """
        newest = fleet.Fleet(vms)
        self._note_gone(self._mine - set(newest.vms))
        self._mine = frozenset(newest.vms)
        self._confirmed_at = now
        changed = newest.vms != self._fleet.vms
        if changed or self._reader != self._me:
            self._numbered += 1
            self._reader, self._number = self._me, self._numbered
        self._fleet = newest
        return changed

    def told(self, listing: messages.Listing, now: float) -> bool:
        """Takes a peer's reading if it is newer; True if the list changed."""
        self._note_gone(listing.gone)
        if not self._takes(listing, now):
            return False
        newest = fleet.Fleet(listing.vms)
        changed = newest.vms != self._fleet.vms
        self._fleet = newest
        self._reader, self._number = listing.reader, listing.number
        self._confirmed_at = now - listing.age
        return changed

    def wants(self, reader: str, number: int, age: float, now: float) -> bool:
        """Whether a reading is newer than the one in use."""
        if reader == self._me:
            # An echo of what this VM once read itself.
            return False
        if reader == self._reader:
            return number > self._number
        return age + _FRESHER < self.age(now)

    def _takes(self, listing: messages.Listing, now: float) -> bool:
        # A leaving mark is taken even from a reading that is only a little
        # newer: it is not taken back, so readings cannot alternate over it.
        # With the margin alone, a VM that had just heard of another zone's
        # reading would learn a second too late that a target leaves.
        news = (
            listing.reader not in (self._me, self._reader)
            and listing.age < self.age(now)
            and any(self._marks(vm) for vm in listing.vms)
        )
        return news or self.wants(
            listing.reader, listing.number, listing.age, now
        )

    def _marks(self, vm: ListedVm) -> bool:
        held = self._fleet.vms.get(vm.id)
        leaving = fleet.VmState.LEAVING
        return vm.state is leaving and held is not None and held != vm

    def confirm(self, reader: str, number: int, age: float, now: float) -> None:
        """Notes that a peer knows the reading in use to be fresher."""
        if (reader, number) == (self._reader, self._number):
            self._confirmed_at = max(self._confirmed_at, now - age)

    def listing(self, root: str, now: float) -> messages.Listing:
        """Returns the reading in use as a message."""
        return messages.Listing(
            root,
            self._reader,
            self._number,
            self.age(now),
            tuple(self._fleet.vms.values()),
            tuple(self._gone),
        )

    def _note_gone(self, vms: frozenset[str] | tuple[str, ...]) -> None:
        self._gone.update(dict.fromkeys(vms))
        while len(self._gone) > _MOST_GONE:
            del self._gone[next(iter(self._gone))]
