"""A network in memory: delays, cuts, and processes that pause or die."""

import asyncio
import itertools

from mimosastile_entry import kernel

STORE = "store"
"""Name under which the key-value service can be cut off."""

FLEET = "fleet"
"""Name under which the list of VMs can be cut off."""

_NOTICE_SECONDS = 0.2
_POLL_SECONDS = 0.01


class Process:
    """One run of a daemon, as far as the network sees it.

    Attributes:
        vm: The VM.
        kernel: The daemon's kernel once it is assembled.
        in_flight: Requests of callers and peers that it is working on.
        noticed: Whether its health is bad, so that the balancer looks away.
        closed: Whether it accepts no more requests.
    """

    __slots__ = (
        "_dead",
        "_froze_at",
        "_running",
        "closed",
        "in_flight",
        "kernel",
        "noticed",
        "vm",
    )

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.kernel: kernel.Kernel | None = None
        self.in_flight = 0
        self.noticed = False
        self.closed = False
        self._running = asyncio.Event()
        self._running.set()
        self._froze_at: float | None = None
        self._dead = False

    @property
    def dead(self) -> bool:
        """Whether the process was killed."""
        return self._dead

    def pause(self) -> None:
        """Stops the process; what it sends or receives waits."""
        self._running.clear()
        self._froze_at = asyncio.get_running_loop().time()

    def resume(self) -> None:
        """Lets the process go on; its clock jumps."""
        self._running.set()
        self._froze_at = None

    def kill(self) -> None:
        """Ends the process without a word."""
        self._dead = True
        self._running.set()

    def now(self) -> float:
        """Returns the time that the process sees; it stands while paused."""
        if self._froze_at is not None:
            return self._froze_at
        return asyncio.get_running_loop().time()

    async def gate(self) -> None:
        """Waits while the process is paused; never returns once it is dead."""
        await self._running.wait()
        if self._dead:
            await asyncio.Event().wait()


class Listeners(kernel.Passive):
    """A daemon's listeners in memory: they end what they have accepted."""

    __slots__ = ("_process",)

    def __init__(self, process: Process) -> None:
        super().__init__("listeners", ("router", "roles"))
        self._process = process

    async def give_notice(self) -> None:
        """Turns health bad and waits until the balancer has seen it."""
        self._process.noticed = True
        await asyncio.sleep(_NOTICE_SECONDS)

    async def stop(self) -> None:
        """Accepts no more and waits for what is in flight."""
        self._process.closed = True
        while self._process.in_flight:
            await asyncio.sleep(_POLL_SECONDS)


class PausedClock(kernel.Passive):
    """A daemon's clock that stands while its process is paused."""

    __slots__ = ("_inner", "_process")

    def __init__(self, inner: kernel.Service, process: Process) -> None:
        """Wraps a clock service.

        Args:
            inner: Where identifiers and jitter come from.
            process: The process whose time is told.
        """
        super().__init__("clock")
        self._inner = inner
        self._process = process

    def now(self) -> float:
        """Returns the process's time in seconds."""
        return self._process.now()

    def wall(self) -> float:
        """Returns seconds since 1970 UTC as a record of this run has them."""
        told: float = self._inner.wall()  # type: ignore[attr-defined]
        return told

    def new_id(self) -> str:
        """Returns an identifier that is never used again."""
        made: str = self._inner.new_id()  # type: ignore[attr-defined]
        return made

    def random(self) -> float:
        """Returns a number from 0 to 1."""
        drawn: float = self._inner.random()  # type: ignore[attr-defined]
        return drawn


class Network:
    """Who can reach whom, and how long it takes one way.

    Attributes:
        in_zone: Seconds within a zone.
        between_zones: Seconds between zones of a region.
        between_regions: Seconds between regions.
    """

    __slots__ = (
        "_cuts",
        "_places",
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
        self._places: dict[str, tuple[str, str]] = {}

    def place(self, name: str, region: str, zone: str) -> None:
        """Says where a VM or a part of the platform stands."""
        self._places[name] = (region, zone)

    def named(self, group: str) -> set[str]:
        """Returns the members of a zone or region, or the one thing named."""
        members = {
            name for name, place in self._places.items() if group in place
        }
        return members or {group}

    def cut(self, group: set[str], others: set[str]) -> None:
        """Loses every message between two groups, both ways."""
        self.cut_one_way(group, others)
        self.cut_one_way(others, group)

    def cut_one_way(self, senders: set[str], receivers: set[str]) -> None:
        """Loses every message from one group to another."""
        pairs = itertools.product(senders, receivers)
        self._cuts.update(pair for pair in pairs if pair[0] != pair[1])

    def isolate(self, group: set[str]) -> None:
        """Cuts a group off from everything else."""
        self.cut(group, {*self._places, STORE, FLEET} - group)

    def heal(self) -> None:
        """Joins everything again."""
        self._cuts.clear()

    def reaches(self, sender: str, receiver: str) -> bool:
        """Whether a message from one place arrives at another."""
        return (sender, receiver) not in self._cuts

    async def cross(self, sender: str, receiver: str) -> None:
        """Carries a message; never returns if it is lost."""
        await asyncio.sleep(self._delay(sender, receiver))
        if not self.reaches(sender, receiver):
            await asyncio.Event().wait()

    def _delay(self, sender: str, receiver: str) -> float:
        here, there = self._places.get(sender), self._places.get(receiver)
        if here == there:
            return self.in_zone
        if here is None or there is None or here[0] == there[0]:
            return self.between_zones
        return self.between_regions
