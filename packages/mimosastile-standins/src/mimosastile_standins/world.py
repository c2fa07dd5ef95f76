"""A small deployment in memory: daemons, targets, store and list of VMs.

Everything runs on one loop, best under `virtual.run`. The daemons' services
are the product's own; only the adapters are replaced.
"""

import asyncio
import collections

import msgspec

from mimosastile_core import config
from mimosastile_core import fleet
from mimosastile_core import tables
from mimosastile_entry import daemon
from mimosastile_entry import kernel
from mimosastile_entry import ports
from mimosastile_entry import settings
from mimosastile_standins import memory
from mimosastile_standins import store
from mimosastile_standins import target
from mimosastile_standins import vms

_HOST = "127.0.0.1"
_STORE_KEY = "config/current"
_TICK_SECONDS = 0.05


class World:
    """The running parts.

    Attributes:
        store: The key-value service.
        fleet: The list of VMs.
        network: Who can reach whom.
    """

    __slots__ = ("_boots", "_places", "_seed", "fleet", "network", "store")

    def __init__(self, seed: int = 0) -> None:
        """Makes an empty world.

        Args:
            seed: Seed of identifiers and jitter.
        """
        self.store = store.MemoryStore(latency=0.002)
        self.fleet = vms.MemoryFleet()
        self.network = memory.Network()
        self._seed = seed
        self._boots = 0
        self._places: dict[str, tuple[str, str]] = {}

    @property
    def targets(self) -> dict[str, target.Target]:
        """The targets by VM."""
        return self.network.targets

    @property
    def daemons(self) -> dict[str, kernel.Kernel]:
        """The kernels of the running daemons by VM."""
        return self.network.daemons

    async def configure(
        self, document: config.Document, number: int = 1
    ) -> None:
        """Stores a numbered configuration."""
        held = self.store.entries.get(_STORE_KEY)
        value = msgspec.json.encode(config.Version(number, document))
        await self.store.compare_and_swap(
            _STORE_KEY, value, held.revision if held else 0
        )

    def add_target(
        self, vm: str, service: str, region: str, zone: str
    ) -> target.Target:
        """Starts a target and lists it."""
        run = target.Target(vm)
        self.network.targets[vm] = run
        self.fleet.put(
            fleet.Vm(vm, fleet.Role.TARGET, region, zone, _HOST, 0, service)
        )
        return run

    async def add_daemon(
        self, vm: str, region: str, zone: str
    ) -> kernel.Kernel:
        """Starts a daemon and lists its VM."""
        self._places[vm] = (region, zone)
        self.fleet.put(fleet.Vm(vm, fleet.Role.ENTRY, region, zone, _HOST, 0))
        return await self.start_daemon(vm)

    async def start_daemon(self, vm: str) -> kernel.Kernel:
        """Starts a daemon on a listed VM, with nothing remembered."""
        self._boots += 1
        made = kernel.Kernel()
        services: list[kernel.Service] = [
            daemon.clock(self._seed * 1000 + self._boots),
            self.store,
            self.fleet,
            memory.MemoryTargets(vm, self.network),
            memory.MemoryPeers(vm, self.network),
            *daemon.decisions(settings.VmSettings(vm, *self._places[vm])),
        ]
        for service in services:
            made.register(service)
        await made.start()
        self.network.daemons[vm] = made
        return made

    async def stop_daemon(self, vm: str) -> None:
        """Stops a daemon gracefully."""
        await self.network.daemons.pop(vm).stop()

    async def call(
        self,
        vm: str,
        method: str,
        path: str,
        request_id: str = "",
        seconds: float = 5.0,
    ) -> tuple[int, bytes]:
        """Sends a request through an entry VM; returns status and body."""
        now = asyncio.get_running_loop().time()
        request = ports.Request(
            method, path, request_id=request_id, deadline=now + seconds
        )
        response = await self.daemons[vm].find("router").handle(request)
        body = b"".join([chunk async for chunk in response.body])
        await response.close()
        return response.status, body

    def owners(self, service: str) -> collections.Counter[str]:
        """Returns how many slices each target owns, as the store says."""
        prefix = f"table/{service}/"
        blocks = (
            msgspec.json.decode(entry.value, type=tables.Block)
            for key, entry in self.store.entries.items()
            if key.startswith(prefix)
        )
        return collections.Counter(s.owner for b in blocks for s in b.slices)

    async def settle(self, service: str, seconds: float = 10.0) -> None:
        """Waits until each slice's owner holds a grant for it.

        Raises:
            TimeoutError: That did not happen in time.
        """
        async with asyncio.timeout(seconds):
            while not self._is_settled(service):
                await asyncio.sleep(_TICK_SECONDS)

    def _is_settled(self, service: str) -> bool:
        owners = self.owners(service)
        held = {
            vm: len(run.holder.owned(run.now()))
            for vm, run in self.targets.items()
        }
        return bool(owners) and all(
            held.get(owner, -1) == count for owner, count in owners.items()
        )
