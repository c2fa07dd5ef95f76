"""A deployment in memory: daemons, targets, store and list of VMs.

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
from mimosastile_standins import deployments
from mimosastile_standins import memory
from mimosastile_standins import network
from mimosastile_standins import store
from mimosastile_standins import target
from mimosastile_standins import vms

_HOST = "127.0.0.1"
_CONFIG_KEY = "config/current"
_TICK_SECONDS = 0.05
_STORE_SECONDS = 0.002
_STOP_SECONDS = 30.0
_QUIET_SECONDS = 1.5
BROKEN = 0
"""Status of a call whose connection broke."""


class World:
    """The running parts.

    Attributes:
        store: The key-value service.
        fleet: The list of VMs.
        network: Who can reach whom.
        sites: Everything that daemons can reach.
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
        """Makes an empty world.

        Args:
            seed: Seed of identifiers and jitter.
            between: The network, None for one with default delays.
        """
        self.store = store.MemoryStore(latency=_STORE_SECONDS)
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
            if process.kernel is not None and not process.noticed
        }

    def process(self, vm: str) -> network.Process:
        """Returns the running process on an entry VM."""
        return self.sites.processes[vm]

    async def configure(
        self, document: config.Document, number: int = 1
    ) -> None:
        """Stores a numbered configuration."""
        held = self.store.entries.get(_CONFIG_KEY)
        value = msgspec.json.encode(config.Version(number, document))
        await self.store.compare_and_swap(
            _CONFIG_KEY, value, held.revision if held else 0
        )

    async def deploy(self, deployment: deployments.Deployment) -> None:
        """Starts a whole deployment and waits until it has settled."""
        await self.configure(deployment.document())
        home = deployment.zones[0]
        for part in (network.STORE, network.FLEET):
            self.network.place(part, home.region, "platform")
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
        """Starts a target and lists it."""
        run = target.Target(vm)
        self.sites.targets[vm] = run
        self._list(
            fleet.Vm(vm, fleet.Role.TARGET, region, zone, _HOST, 0, service)
        )
        return run

    async def add_daemon(
        self, vm: str, region: str, zone: str
    ) -> kernel.Kernel:
        """Starts a daemon and lists its VM."""
        self._list(fleet.Vm(vm, fleet.Role.ENTRY, region, zone, _HOST, 0))
        return await self.start_daemon(vm)

    async def start_daemon(self, vm: str) -> kernel.Kernel:
        """Starts a daemon on a listed VM, with nothing remembered."""
        self._boots += 1
        listed = self._listed[vm]
        process = network.Process(vm)
        made = kernel.Kernel()
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
            made.register(service)
        process.kernel = made
        await made.start()
        self.sites.processes[vm] = process
        return made

    async def stop_daemon(self, vm: str) -> None:
        """Stops a daemon gracefully; the platform ends one that hangs."""
        process = self.sites.processes[vm]
        assert process.kernel is not None
        try:
            async with asyncio.timeout(_STOP_SECONDS):
                await daemon.stop_gracefully(process.kernel)
        except TimeoutError:
            process.kill()
        if self.sites.processes.get(vm) is process:
            del self.sites.processes[vm]

    def kill_daemon(self, vm: str) -> None:
        """Ends a daemon without a word; nothing of it leaves its VM."""
        process = self.sites.processes.pop(vm)
        process.kill()
        if process.kernel is not None:
            # Frees the loop of its tasks; its adapters are shut already.
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
        """Sends a request through an entry VM; returns status and body.

        The status is `BROKEN` if the daemon dies before it has answered.
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
            await asyncio.wait({work}, timeout=_TICK_SECONDS)
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
        """Returns a service's blocks as the store holds them."""
        prefix = f"table/{service}/"
        return [
            msgspec.json.decode(entry.value, type=tables.Block)
            for key, entry in self.store.entries.items()
            if key.startswith(prefix)
        ]

    def owners(self, service: str) -> collections.Counter[str]:
        """Returns how many slices each target owns, as the store says."""
        return collections.Counter(
            s.owner for b in self.blocks(service) for s in b.slices
        )

    async def settle(self, service: str, seconds: float = 60.0) -> None:
        """Waits until each slice's owner has held it for a while.

        Raises:
            TimeoutError: That did not happen in time.
        """
        owners: collections.Counter[str] = collections.Counter()
        quiet = 0.0
        async with asyncio.timeout(seconds):
            while quiet < _QUIET_SECONDS:
                await asyncio.sleep(_TICK_SECONDS)
                before, owners = owners, self.owners(service)
                same = owners == before and self.is_settled(service)
                quiet = quiet + _TICK_SECONDS if same else 0.0

    def is_settled(self, service: str) -> bool:
        """Whether each slice's owner holds a grant for it."""
        owners = self.owners(service)
        held = {vm: len(run.served()) for vm, run in self.targets.items()}
        return bool(owners) and all(
            held.get(owner, -1) == count for owner, count in owners.items()
        )

    def _list(self, vm: fleet.Vm) -> None:
        self._listed[vm.id] = vm
        self.network.place(vm.id, vm.region, vm.zone)
        self.fleet.put(vm)
