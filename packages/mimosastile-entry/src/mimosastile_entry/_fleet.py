"""Fleet service: the latest listing of the platform's VMs."""

from collections.abc import Callable
from typing import Any

import result

from mimosastile_core import fleet
from mimosastile_core import listings
from mimosastile_core import messages
from mimosastile_entry import _inbox
from mimosastile_entry import kernel
from mimosastile_entry import ports

# The property `fleet` hides the module of that name inside the class.
Vms = dict[str, fleet.Vm]
CurrentFleet = fleet.Fleet
CurrentListings = listings.Listings


class FleetService:
    """Holds the current listing and notifies subscribers of changes.

    It reads the list once at its start. Later the propagation service
    triggers reads, or passes on a listing that a peer has read.
    """

    __slots__ = (
        "_clock",
        "_drained",
        "_fleet",
        "_leaving",
        "_listeners",
        "_listings",
        "_port",
        "_reads",
        "_vm",
        "name",
        "needs",
    )

    def __init__(self, vm: str) -> None:
        """Initializes the service.

        Args:
            vm: Identifier of this VM.
        """
        self.name = "fleet"
        self.needs: tuple[str, ...] = ("fleet_port", "clock", "inbox")
        self._vm = vm
        self._listings = listings.Listings(vm)
        self._drained: frozenset[str] = frozenset()
        self._fleet = self._listings.fleet
        self._leaving = fleet.LeavingTargets()
        self._listeners: list[Callable[[], None]] = []
        self._reads = 0
        self._port: ports.FleetPort
        self._clock: ports.ClockPort

    @property
    def fleet(self) -> CurrentFleet:
        """The current listing, with drained targets marked as leaving."""
        return self._fleet

    @property
    def listings(self) -> CurrentListings:
        """Reader and age of the current listing."""
        return self._listings

    def has_left(self, target: str) -> bool:
        """Returns whether a leaving target is past the time to get requests."""
        return bool(self._leaving) and self._leaving.has_timed_out(
            target, self._clock.now()
        )

    def is_gone(self, vm: str) -> bool:
        """Returns whether a VM was listed before and no longer is.

        A VM that was never listed is not gone, as the list lags behind.
        """
        return self._listings.is_gone(vm)

    def peers(self) -> Vms:
        """Returns the other listed entry VMs."""
        return {
            vm.id: vm for vm in self.fleet.entries.values() if vm.id != self._vm
        }

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Registers a listener that is called after each change of the list."""
        self._listeners.append(listener)

    def drain(self, targets: frozenset[str]) -> None:
        """Marks targets as leaving, regardless of their state in the list."""
        changed = targets != self._drained
        self._drained = targets
        self._notify_if(changed)

    async def start(self, kernel: kernel.Kernel) -> None:
        """Reads the list once."""
        self._port = kernel.find("fleet_port")
        self._clock = kernel.find("clock")
        inbox: _inbox.InboxService = kernel.find("inbox")
        inbox.handle(messages.AskListing, self._send_listing)
        self._listings = listings.Listings(f"{self._vm}/{self._clock.new_id()}")
        await self.read()

    async def stop(self) -> None:
        """Does nothing; the service has no tasks."""

    def dump(self) -> dict[str, Any]:
        """Returns the listed VMs, and the reader and age of the listing."""
        return {
            "reader": self._listings.reader,
            "age": round(self._listings.age(self._clock.now()), 3),
            "reads": self._reads,
            "vms": {vm.id: vm.state.value for vm in self.fleet.vms.values()},
        }

    async def read(self) -> bool:
        """Reads the list from the platform and returns whether it changed."""
        started_at = self._clock.now()
        self._reads += 1
        read = await self._port.vms()
        if isinstance(read, result.Err):
            return False
        return self._notify_if(self._listings.read(read.ok_value, started_at))

    def apply(self, listing: messages.Listing) -> bool:
        """Applies a peer's newer listing; returns whether the list changed."""
        return self._notify_if(
            self._listings.receive(listing, self._clock.now())
        )

    def _notify_if(self, changed: bool) -> bool:
        if changed:
            self._fleet = self._listings.fleet.with_leaving(self._drained)
            self._leaving.update(self._fleet, self._clock.now())
            for listener in self._listeners:
                listener()
        return changed

    def _send_listing(self, message: messages.AskListing) -> messages.Listing:
        del message
        return self._listings.listing("", self._clock.now())
