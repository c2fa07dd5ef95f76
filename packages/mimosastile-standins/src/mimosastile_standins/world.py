"""In-memory deployment of daemons, targets, a store and a list of VMs.

All parts run on one event loop, preferably under `virtual.run`. The daemons run
their production services; only the adapters are replaced.
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
from mimosastile_standins import deployments
from mimosastile_standins import memory
from mimosastile_standins import network
from mimosastile_standins import store
from mimosastile_standins import target
from mimosastile_standins import vms

_HOST = "127.0.0.1"
_CONFIG_KEY = "config/current"
_POLL_SECONDS = 0.05
_STORE_LATENCY_SECONDS = 0.002
_STOP_TIMEOUT_SECONDS = 30.0
_STABLE_SECONDS = 1.5
BROKEN = 0
"""Status of a call whose connection was broken."""


class World:
    """A running deployment.

    Attributes:
        store: The key-value service.
        fleet: The list of VMs.
        network: Network between all parts.
        sites: All parts that daemons can call.
    """

    __slots__ = (
        "_boots",
        "_listed",
        "_seed",
        "_stops",
        "fleet",
        "network",
        "sites",
        "store",
    )

    def __init__(
        self, seed: int = 0, between: network.Network | None = None
    ) -> None:
        """Initializes an empty deployment.

        Args:
            seed: Seed of identifiers and jitter.
            between: The network, None for one with default delays.
        """
        self.store = store.MemoryStore(latency=_STORE_LATENCY_SECONDS)
        self.fleet = vms.MemoryFleet()
        self.network = between or network.Network()
        self.sites = memory.Sites(self.network, self.store, self.fleet)
        self._seed = seed
        self._boots = 0
        self._listed: dict[str, fleet.Vm] = {}
        self._stops: set[asyncio.Task[None]] = set()

    @property
    def targets(self) -> dict[str, target.Target]:
        """The targets by VM."""
        return self.sites.targets

    @property
    def daemons(self) -> dict[str, kernel.Kernel]:
        """The kernels of the running daemons by VM."""
        return {
            vm: process.kernel
            for vm, process in self.sites.processes.items()
            if process.kernel is not None and not process.unhealthy
        }

    def process(self, vm: str) -> network.Process:
        """Returns the running process on an entry VM."""
        return self.sites.processes[vm]

    async def configure(
        self, document: config.Document, number: int = 1
    ) -> None:
        """Stores a numbered configuration."""
        current = self.store.entries.get(_CONFIG_KEY)
        value = msgspec.json.encode(config.Version(number, document))
        await self.store.compare_and_swap(
            _CONFIG_KEY, value, current.revision if current else 0
        )

    async def deploy(self, deployment: deployments.Deployment) -> None:
        """Starts a deployment and waits until all slices have owners."""
        await self.configure(deployment.document())
        home = deployment.zones[0]
        for part in (network.STORE, network.FLEET):
            self.network.set_location(part, home.region, "platform")
        for vm in deployment.vms():
            if vm.role is fleet.Role.TARGET:
                self.add_target(vm.id, vm.service, vm.region, vm.zone)
            else:
                await self.add_daemon(vm.id, vm.region, vm.zone)
        for name, backend in deployment.backends.items():
            if backend.service.key is not None:
                await self.settle(name)

    def add_target(
        self, vm: str, service: str, region: str, zone: str
    ) -> target.Target:
        """Starts a target and adds it to the list of VMs."""
        added = target.Target(vm)
        self.sites.targets[vm] = added
        self._list(
            fleet.Vm(vm, fleet.Role.TARGET, region, zone, _HOST, 0, service)
        )
        return added

    async def add_daemon(
        self, vm: str, region: str, zone: str
    ) -> kernel.Kernel:
        """Adds a VM to the list of VMs and starts its daemon."""
        self._list(fleet.Vm(vm, fleet.Role.ENTRY, region, zone, _HOST, 0))
        return await self.start_daemon(vm)

    async def start_daemon(self, vm: str) -> kernel.Kernel:
        """Starts a daemon without state on a listed VM."""
        self._boots += 1
        listed = self._listed[vm]
        process = network.Process(vm)
        started = kernel.Kernel()
        inner = daemon.clock(self._seed * 1000 + self._boots)
        services: list[kernel.Service] = [
            network.PausedClock(inner, process),
            network.Listeners(process),
            memory.MemoryStorePort(self.sites, process),
            memory.MemoryFleetPort(self.sites, process),
            memory.MemoryTargets(self.sites, process),
            memory.MemoryPeers(self.sites, process),
            *daemon.decision_services(
                settings.VmSettings(vm, listed.region, listed.zone)
            ),
        ]
        for service in services:
            started.register(service)
        process.kernel = started
        await started.start()
        self.sites.processes[vm] = process
        return started

    async def stop_daemon(self, vm: str) -> None:
        """Stops a daemon gracefully and kills it after a time-out."""
        process = self.sites.processes[vm]
        assert process.kernel is not None
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_SECONDS):
                await daemon.stop_gracefully(process.kernel)
        except TimeoutError:
            process.kill()
        if self.sites.processes.get(vm) is process:
            del self.sites.processes[vm]

    def kill_daemon(self, vm: str) -> None:
        """Kills a daemon; it sends nothing more."""
        process = self.sites.processes.pop(vm)
        process.kill()
        if process.kernel is not None:
            # Ends its tasks on the loop; its adapters are closed already.
            stop = asyncio.create_task(process.kernel.stop())
            self._stops.add(stop)
            stop.add_done_callback(self._stops.discard)

    async def call(
        self,
        vm: str,
        method: str,
        path: str,
        request_id: str = "",
        seconds: float = 5.0,
    ) -> tuple[int, bytes]:
        """Sends a request to an entry VM and returns the status and body.

        The status is `BROKEN` if the daemon is killed before it responds.
        """
        process = self.sites.processes.get(vm)
        if process is None or process.kernel is None or process.closed:
            return BROKEN, b""
        now = asyncio.get_running_loop().time()
        request = ports.Request(
            method, path, request_id=request_id, deadline=now + seconds
        )
        work = asyncio.ensure_future(self._serve(process, request))
        while not work.done():
            await asyncio.wait({work}, timeout=_POLL_SECONDS)
            if process.dead and not work.done():
                work.cancel()
                return BROKEN, b""
        return work.result()

    async def _serve(
        self, process: network.Process, request: ports.Request
    ) -> tuple[int, bytes]:
        await process.gate()
        assert process.kernel is not None
        process.in_flight += 1
        try:
            response = await process.kernel.find("router").handle(request)
            body = b"".join([chunk async for chunk in response.body])
            await response.close()
            await process.gate()
        finally:
            process.in_flight -= 1
        return response.status, body

    def blocks(self, service: str) -> list[tables.Block]:
        """Returns a service's blocks from the store."""
        prefix = f"table/{service}/"
        return [
            msgspec.json.decode(entry.value, type=tables.Block)
            for key, entry in self.store.entries.items()
            if key.startswith(prefix)
        ]

    def owners(self, service: str) -> collections.Counter[str]:
        """Returns the number of slices per owner according to the store."""
        return collections.Counter(
            s.owner for b in self.blocks(service) for s in b.slices
        )

    async def settle(self, service: str, seconds: float = 60.0) -> None:
        """Waits until ownership of all slices is stable.

        Raises:
            TimeoutError: Ownership did not become stable in time.
        """
        owners: collections.Counter[str] = collections.Counter()
        stable = 0.0
        async with asyncio.timeout(seconds):
            while stable < _STABLE_SECONDS:
                await asyncio.sleep(_POLL_SECONDS)
                before, owners = owners, self.owners(service)
                unchanged = owners == before and self.is_settled(service)
                stable = stable + _POLL_SECONDS if unchanged else 0.0

    def is_settled(self, service: str) -> bool:
        """Whether the owner of each slice holds a grant for it."""
        owners = self.owners(service)
        held = {vm: len(each.served()) for vm, each in self.targets.items()}
        return bool(owners) and all(
            held.get(owner, -1) == count for owner, count in owners.items()
        )

    def _list(self, vm: fleet.Vm) -> None:
        self._listed[vm.id] = vm
        self.network.set_location(vm.id, vm.region, vm.zone)
        self.fleet.put(vm)
