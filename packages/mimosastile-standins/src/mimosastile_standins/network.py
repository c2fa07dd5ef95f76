"""In-memory network with delays, cuts, and processes that pause or crash."""

import asyncio
import itertools

from mimosastile_entry import kernel

STORE = "store"
"""Name under which the key-value service can be cut off."""

FLEET = "fleet"
"""Name under which the list of VMs can be cut off."""

_HEALTH_CHECK_SECONDS = 0.2
_POLL_SECONDS = 0.01


class Process:
    """An incarnation of a daemon, as the network handles it.

    Attributes:
        vm: The VM.
        kernel: The daemon's kernel once it is assembled.
        in_flight: Number of requests of callers and peers in progress.
        unhealthy: Whether the health check fails, so that the load balancer
            sends nothing more.
        closed: Whether new requests are refused.
    """

    __slots__ = (
        "_dead",
        "_paused_at",
        "_running",
        "closed",
        "in_flight",
        "kernel",
        "unhealthy",
        "vm",
    )

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.kernel: kernel.Kernel | None = None
        self.in_flight = 0
        self.unhealthy = False
        self.closed = False
        self._running = asyncio.Event()
        self._running.set()
        self._paused_at: float | None = None
        self._dead = False

    @property
    def dead(self) -> bool:
        """Whether the process was killed."""
        return self._dead

    def pause(self) -> None:
        """Pauses the process and delays all that it sends or receives."""
        self._running.clear()
        self._paused_at = asyncio.get_running_loop().time()

    def resume(self) -> None:
        """Resumes the process; its clock jumps forward."""
        self._running.set()
        self._paused_at = None

    def kill(self) -> None:
        """Kills the process."""
        self._dead = True
        self._running.set()

    def now(self) -> float:
        """Returns the process's clock time, which stops during a pause."""
        if self._paused_at is not None:
            return self._paused_at
        return asyncio.get_running_loop().time()

    async def gate(self) -> None:
        """Waits while the process is paused; never returns after a kill."""
        await self._running.wait()
        if self._dead:
            await asyncio.Event().wait()


class Listeners(kernel.Passive):
    """In-memory listeners of a daemon, which complete accepted requests."""

    __slots__ = ("_process",)

    def __init__(self, process: Process) -> None:
        super().__init__("listeners", ("router", "roles"))
        self._process = process

    async def give_notice(self) -> None:
        """Fails the health check and waits until the balancer observed it."""
        self._process.unhealthy = True
        await asyncio.sleep(_HEALTH_CHECK_SECONDS)

    async def stop(self) -> None:
        """Refuses new requests and waits for those in flight."""
        self._process.closed = True
        while self._process.in_flight:
            await asyncio.sleep(_POLL_SECONDS)


class PausedClock(kernel.Passive):
    """Clock of a daemon that stops while its process is paused."""

    __slots__ = ("_inner", "_process")

    def __init__(self, inner: kernel.Service, process: Process) -> None:
        """Wraps a clock service.

        Args:
            inner: Clock that generates identifiers and jitter.
            process: Process whose time the clock returns.
        """
        super().__init__("clock")
        self._inner = inner
        self._process = process

    def now(self) -> float:
        """Returns the process's time in seconds."""
        return self._process.now()

    def wall(self) -> float:
        """Returns the wall clock time in seconds since 1970 UTC."""
        seconds: float = self._inner.wall()  # type: ignore[attr-defined]
        return seconds

    def new_id(self) -> str:
        """Returns a unique identifier."""
        identifier: str = self._inner.new_id()  # type: ignore[attr-defined]
        return identifier

    def random(self) -> float:
        """Returns a random number from 0 to 1."""
        number: float = self._inner.random()  # type: ignore[attr-defined]
        return number


class Network:
    """Connectivity and one-way delays between VMs and platform services.

    Attributes:
        in_zone: Delay within a zone in seconds.
        between_zones: Delay between zones of a region in seconds.
        between_regions: Delay between regions in seconds.
    """

    __slots__ = (
        "_cuts",
        "_locations",
        "between_regions",
        "between_zones",
        "in_zone",
    )

    def __init__(
        self,
        in_zone: float = 0.0002,
        between_zones: float = 0.0005,
        between_regions: float = 0.012,
    ) -> None:
        self.in_zone = in_zone
        self.between_zones = between_zones
        self.between_regions = between_regions
        self._cuts: set[tuple[str, str]] = set()
        self._locations: dict[str, tuple[str, str]] = {}

    def set_location(self, name: str, region: str, zone: str) -> None:
        """Sets the location of a VM or a platform service."""
        self._locations[name] = (region, zone)

    def named(self, group: str) -> set[str]:
        """Returns the names in a zone or region, or the given name itself."""
        members = {
            name
            for name, location in self._locations.items()
            if group in location
        }
        return members or {group}

    def cut(self, group: set[str], others: set[str]) -> None:
        """Drops all messages between two groups in both directions."""
        self.cut_one_way(group, others)
        self.cut_one_way(others, group)

    def cut_one_way(self, senders: set[str], receivers: set[str]) -> None:
        """Drops all messages from one group to another."""
        pairs = itertools.product(senders, receivers)
        self._cuts.update(pair for pair in pairs if pair[0] != pair[1])

    def isolate(self, group: set[str]) -> None:
        """Partitions a group from all the rest."""
        self.cut(group, {*self._locations, STORE, FLEET} - group)

    def heal(self) -> None:
        """Removes all cuts."""
        self._cuts.clear()

    def reaches(self, sender: str, receiver: str) -> bool:
        """Whether messages from a sender reach a receiver."""
        return (sender, receiver) not in self._cuts

    async def cross(self, sender: str, receiver: str) -> None:
        """Waits for the delivery of a message, forever if it is dropped."""
        await asyncio.sleep(self._delay(sender, receiver))
        if not self.reaches(sender, receiver):
            await asyncio.Event().wait()

    def _delay(self, sender: str, receiver: str) -> float:
        here, there = self._locations.get(sender), self._locations.get(receiver)
        if here == there:
            return self.in_zone
        if here is None or there is None or here[0] == there[0]:
            return self.between_zones
        return self.between_regions
