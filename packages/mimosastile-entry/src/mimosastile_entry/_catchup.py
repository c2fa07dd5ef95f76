"""Reads anew whether this VM is still the keeper that it takes itself for."""

import asyncio

import result

from mimosastile_core import fleet
from mimosastile_core import tables
from mimosastile_entry import _fleet
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

_GATHER_SECONDS = 0.002
"""Wait before a reading, so that questions of the same moment share it."""


class CatchUp:
    """Asks the store, or every peer of the zone while the store is down.

    Only VMs of a target's own zone are named as its keepers. So if every one
    of them is asked after an event and knows of no other keeper, none was
    named before the event, or none has begun to act on it.
    """

    __slots__ = (
        "_clock",
        "_fleet",
        "_fleet_port",
        "_readings",
        "_state",
        "_vm",
        "_zone",
    )

    def __init__(self, vm: str, zone: str, kernel: kernel.Kernel) -> None:
        """Finds the services that it reads from.

        Args:
            vm: Identifier of this VM.
            zone: Availability zone of this VM.
            kernel: Where the services are.
        """
        self._vm = vm
        self._zone = zone
        self._clock: ports.ClockPort = kernel.find("clock")
        self._state: _state.StateService = kernel.find("state")
        self._fleet: _fleet.FleetService = kernel.find("fleet")
        self._fleet_port: ports.FleetPort = kernel.find("fleet_port")
        self._readings: dict[
            tables.BlockId | None, asyncio.Task[float | None]
        ] = {}

    async def block(self, at: tables.BlockId) -> float | None:
        """Reads one block.

        Returns:
            When the reading began, None if nobody could tell.
        """
        return await self._read(at)

    async def everything(self) -> float | None:
        """Reads configuration and all blocks; returns as `block` does."""
        return await self._read(None)

    async def _read(self, at: tables.BlockId | None) -> float | None:
        reading = self._readings.get(at)
        if reading is None:
            reading = asyncio.create_task(self._begin(at), name="catch-up")
            self._readings[at] = reading
        return await asyncio.shield(reading)

    async def _begin(self, at: tables.BlockId | None) -> float | None:
        await asyncio.sleep(_GATHER_SECONDS)
        # Whoever asks from here on needs a later reading.
        del self._readings[at]
        began = self._clock.now()
        if at is None:
            read = await self._state.refresh_all()
        else:
            read = await self._state.refresh(at)
        if read or await self._ask_zone():
            return began
        return None

    async def _ask_zone(self) -> bool:
        listed = await self._fleet_port.vms()
        if isinstance(listed, result.Ok):
            entries = fleet.Fleet(listed.ok_value).entries
        else:
            entries = self._fleet.fleet.entries
        peers = [
            vm
            for vm in entries.values()
            if vm.zone == self._zone and vm.id != self._vm
        ]
        # An old list without peers may just not know of them yet.
        if not peers and listed.is_err():
            return False
        return await self._state.refresh_from(peers)
