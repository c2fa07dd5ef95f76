"""The fleet service: the latest reading of the platform's list of VMs."""

import asyncio
from collections.abc import Callable
from typing import Any

import result

from mimosastile_core import fleet
from mimosastile_entry import kernel
from mimosastile_entry import ports

_POLL_SECONDS = 0.5

# The property `fleet` hides the module of that name inside the class.
Vms = dict[str, fleet.Vm]


class FleetService:
    """Reads the list at an interval and tells others when it changed."""

    __slots__ = (
        "_fleet",
        "_listed",
        "_listeners",
        "_port",
        "_task",
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
        self.needs: tuple[str, ...] = ("fleet_port",)
        self._vm = vm
        self._fleet = fleet.Fleet()
        self._listed: set[str] = set()
        self._listeners: list[Callable[[], None]] = []
        self._port: ports.FleetPort
        self._task: asyncio.Task[None] | None = None

    @property
    def fleet(self) -> fleet.Fleet:
        """The latest reading."""
        return self._fleet

    def is_gone(self, vm: str) -> bool:
        """Whether a VM was listed once and is listed no longer.

        A VM that was never listed is not gone: the list lags.
        """
        return vm in self._listed and vm not in self._fleet.vms

    def peers(self) -> Vms:
        """Returns the other listed entry VMs."""
        return {
            vm.id: vm
            for vm in self._fleet.entries.values()
            if vm.id != self._vm
        }

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener after each changed reading."""
        self._listeners.append(listener)

    async def start(self, kernel: kernel.Kernel) -> None:
        """Reads the list once and keeps reading it."""
        self._port = kernel.find("fleet_port")
        await self._read()
        self._task = asyncio.create_task(self._poll(), name="fleet-poll")

    async def stop(self) -> None:
        """Ends the reading."""
        if self._task is not None:
            self._task.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns the listed VMs and their states."""
        return {vm.id: vm.state.value for vm in self._fleet.vms.values()}

    async def _poll(self) -> None:
        while True:
            await asyncio.sleep(_POLL_SECONDS)
            await self._read()

    async def _read(self) -> None:
        read = await self._port.vms()
        if isinstance(read, result.Err):
            return
        newest = fleet.Fleet(read.ok_value)
        self._listed.update(newest.vms)
        if newest.vms != self._fleet.vms:
            self._fleet = newest
            for listener in self._listeners:
                listener()
