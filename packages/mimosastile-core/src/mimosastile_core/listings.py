"""Snapshots of the platform's list of VMs, read locally or sent by peers.

The list has no version, and its readers observe it with different lags. A VM
that one reader saw may be missing from another reader's older snapshot, so a
VM counts as gone only if the same reader saw it listed and later not.
"""

from mimosastile_core import fleet
from mimosastile_core import messages

_FRESHNESS_MARGIN_SECONDS = 1.0
"""Age difference from which another reader's snapshot replaces the current one;
without it, the snapshots of two readers would alternate."""
_MAX_GONE_VMS = 4096

# The property `fleet` hides the module of that name inside the class.
CurrentFleet = fleet.Fleet
ListedVm = fleet.Vm
Vms = tuple[fleet.Vm, ...]


class Listings:
    """The current snapshot of the list and the VMs that left it."""

    __slots__ = (
        "_confirmed_at",
        "_fleet",
        "_gone",
        "_last_own_number",
        "_number",
        "_own_reader",
        "_own_vms",
        "_reader",
    )

    def __init__(self, reader: str) -> None:
        """Starts with an empty snapshot.

        Args:
            reader: Identifier of this VM as a reader, with its incarnation.
        """
        self._own_reader = reader
        self._fleet = fleet.Fleet()
        self._reader = ""
        self._number = 0
        self._last_own_number = 0
        self._confirmed_at = float("-inf")
        self._own_vms: frozenset[str] = frozenset()
        self._gone: dict[str, None] = {}

    @property
    def fleet(self) -> CurrentFleet:
        """The current snapshot."""
        return self._fleet

    @property
    def reader(self) -> str:
        """The reader of the current snapshot."""
        return self._reader

    @property
    def number(self) -> int:
        """The reader's number of the current snapshot."""
        return self._number

    def age(self, now: float) -> float:
        """Returns seconds since the current snapshot was confirmed."""
        return now - self._confirmed_at

    def is_gone(self, vm: str) -> bool:
        """Whether a VM was listed and no longer is."""
        return vm in self._gone and vm not in self._fleet.vms

    def read(self, vms: Vms, now: float) -> bool:
        """Stores a snapshot read by this VM.

        Args:
            vms: The list.
            now: Time in seconds at which the list was requested.

        Returns:
            Whether the list changed.
        """
        snapshot = fleet.Fleet(vms)
        self._record_gone(self._own_vms - set(snapshot.vms))
        self._own_vms = frozenset(snapshot.vms)
        self._confirmed_at = now
        changed = snapshot.vms != self._fleet.vms
        if changed or self._reader != self._own_reader:
            self._last_own_number += 1
            self._reader, self._number = self._own_reader, self._last_own_number
        self._fleet = snapshot
        return changed

    def receive(self, listing: messages.Listing, now: float) -> bool:
        """Stores a peer's snapshot if it is newer.

        Returns:
            Whether the list changed.
        """
        self._record_gone(listing.gone)
        if not self._accepts(listing, now):
            return False
        snapshot = fleet.Fleet(listing.vms)
        changed = snapshot.vms != self._fleet.vms
        self._fleet = snapshot
        self._reader, self._number = listing.reader, listing.number
        self._confirmed_at = now - listing.age
        return changed

    def is_newer(
        self, reader: str, number: int, age: float, now: float
    ) -> bool:
        """Whether another snapshot is newer than the current one."""
        if reader == self._own_reader:
            # A peer returned an earlier snapshot of this VM.
            return False
        if reader == self._reader:
            return number > self._number
        return age + _FRESHNESS_MARGIN_SECONDS < self.age(now)

    def _accepts(self, listing: messages.Listing, now: float) -> bool:
        # A leaving mark is accepted even from a snapshot that is newer by less
        # than the margin: marks are not withdrawn, so snapshots cannot
        # alternate because of them. With the margin alone, a VM that had just
        # received another zone's snapshot would observe a second too late that
        # a target is leaving.
        newly_leaving = (
            listing.reader not in (self._own_reader, self._reader)
            and listing.age < self.age(now)
            and any(self._is_newly_leaving(vm) for vm in listing.vms)
        )
        return newly_leaving or self.is_newer(
            listing.reader, listing.number, listing.age, now
        )

    def _is_newly_leaving(self, vm: ListedVm) -> bool:
        current = self._fleet.vms.get(vm.id)
        leaving = fleet.VmState.LEAVING
        return vm.state is leaving and current is not None and current != vm

    def confirm(self, reader: str, number: int, age: float, now: float) -> None:
        """Updates the current snapshot's age from a peer's confirmation."""
        if (reader, number) == (self._reader, self._number):
            self._confirmed_at = max(self._confirmed_at, now - age)

    def listing(self, root: str, now: float) -> messages.Listing:
        """Returns the current snapshot as a message."""
        return messages.Listing(
            root,
            self._reader,
            self._number,
            self.age(now),
            tuple(self._fleet.vms.values()),
            tuple(self._gone),
        )

    def _record_gone(self, vms: frozenset[str] | tuple[str, ...]) -> None:
        self._gone.update(dict.fromkeys(vms))
        while len(self._gone) > _MAX_GONE_VMS:
            del self._gone[next(iter(self._gone))]
