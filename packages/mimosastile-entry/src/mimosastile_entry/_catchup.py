"""Reads the tables again to check that this VM is still a keeper."""

import asyncio

import result

from mimosastile_core import fleet
from mimosastile_core import tables
from mimosastile_entry import _fleet
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

_BATCH_DELAY_SECONDS = 0.002
"""Delay before a read, so that simultaneous requests share it."""


class CatchUp:
    """Reads from the store, or from all peers of the zone if it is down.

    Only VMs of a target's own zone become its keepers. So if all of them are
    queried after an event and none reports another keeper, no keeper was named
    before the event, or that keeper has not started to act.
    """

    __slots__ = (
        "_clock",
        "_fleet",
        "_fleet_port",
        "_pending_reads",
        "_state",
        "_vm",
        "_zone",
    )

    def __init__(self, vm: str, zone: str, kernel: kernel.Kernel) -> None:
        """Looks up the services to read from.

        Args:
            vm: Identifier of this VM.
            zone: Availability zone of this VM.
            kernel: Registry of the services.
        """
        self._vm = vm
        self._zone = zone
        self._clock: ports.ClockPort = kernel.find("clock")
        self._state: _state.StateService = kernel.find("state")
        self._fleet: _fleet.FleetService = kernel.find("fleet")
        self._fleet_port: ports.FleetPort = kernel.find("fleet_port")
        self._pending_reads: dict[
            tables.BlockId | None, asyncio.Task[float | None]
        ] = {}

    async def block(self, block_id: tables.BlockId) -> float | None:
        """Reads one block.

        Returns:
            The time at which the read started, or None if neither the store
            nor the zone's peers could be read.
        """
        return await self._read(block_id)

    async def everything(self) -> float | None:
        """Reads the configuration and all blocks; returns as `block` does."""
        return await self._read(None)

    async def _read(self, block_id: tables.BlockId | None) -> float | None:
        pending = self._pending_reads.get(block_id)
        if pending is None:
            pending = asyncio.create_task(
                self._read_from_sources(block_id), name="catch-up"
            )
            self._pending_reads[block_id] = pending
        return await asyncio.shield(pending)

    async def _read_from_sources(
        self, block_id: tables.BlockId | None
    ) -> float | None:
        await asyncio.sleep(_BATCH_DELAY_SECONDS)
        # Requests from here on need a read that starts later.
        del self._pending_reads[block_id]
        started_at = self._clock.now()
        if block_id is None:
            succeeded = await self._state.refresh_all()
        else:
            succeeded = await self._state.refresh(block_id)
        if succeeded or await self._read_from_zone():
            return started_at
        return None

    async def _read_from_zone(self) -> bool:
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
        # A cached list without peers may be older than the peers.
        if not peers and listed.is_err():
            return False
        return await self._state.refresh_from(peers)
