"""The fleet service: the latest reading of the platform's list of VMs."""

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
ReadingsInUse = listings.Listings


class FleetService:
    """Holds the reading in use and tells others when it changed.

    It reads the list once when it starts; the propagation service says when
    it is read again, or hands in what a peer has read.
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
        """Makes the service.

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
        """The reading in use, with drained targets as leaving."""
        return self._fleet

    @property
    def readings(self) -> ReadingsInUse:
        """Where the reading in use comes from and how old it is."""
        return self._listings

    def has_left(self, target: str) -> bool:
        """Whether a target has been leaving too long to get new work."""
        return bool(self._leaving) and self._leaving.has_timed_out(
            target, self._clock.now()
        )

    def is_gone(self, vm: str) -> bool:
        """Whether a VM was listed once and is listed no longer.

        A VM that was never listed is not gone: the list lags.
        """
        return self._listings.is_gone(vm)

    def peers(self) -> Vms:
        """Returns the other listed entry VMs."""
        return {
            vm.id: vm for vm in self.fleet.entries.values() if vm.id != self._vm
        }

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener after each change of the list."""
        self._listeners.append(listener)

    def drain(self, targets: frozenset[str]) -> None:
        """Treats targets as leaving, whatever the list says of them."""
        changed = targets != self._drained
        self._drained = targets
        self._told_if(changed)

    async def start(self, kernel: kernel.Kernel) -> None:
        """Reads the list once."""
        self._port = kernel.find("fleet_port")
        self._clock = kernel.find("clock")
        inbox: _inbox.InboxService = kernel.find("inbox")
        inbox.handle(messages.AskListing, self._answer)
        self._listings = listings.Listings(f"{self._vm}/{self._clock.new_id()}")
        await self.read()

    async def stop(self) -> None:
        """Has nothing to stop."""

    def dump(self) -> dict[str, Any]:
        """Returns the listed VMs and where the reading comes from."""
        return {
            "reader": self._listings.reader,
            "age": round(self._listings.age(self._clock.now()), 3),
            "reads": self._reads,
            "vms": {vm.id: vm.state.value for vm in self.fleet.vms.values()},
        }

    async def read(self) -> bool:
        """Reads the list; True if it changed."""
        began = self._clock.now()
        self._reads += 1
        read = await self._port.vms()
        if isinstance(read, result.Err):
            return False
        return self._told_if(self._listings.read(read.ok_value, began))

    def take(self, listing: messages.Listing) -> bool:
        """Takes a peer's reading if it is newer; True if the list changed."""
        return self._told_if(self._listings.receive(listing, self._clock.now()))

    def _told_if(self, changed: bool) -> bool:
        if changed:
            self._fleet = self._listings.fleet.with_leaving(self._drained)
            self._leaving.update(self._fleet, self._clock.now())
            for listener in self._listeners:
                listener()
        return changed

    def _answer(self, message: messages.AskListing) -> messages.Listing:
        del message
        return self._listings.listing("", self._clock.now())
