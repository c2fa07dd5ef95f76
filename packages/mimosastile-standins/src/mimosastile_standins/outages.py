"""Measures the unavailability of keys under faults, in virtual time.

Probes send requests for keys of the affected target and of other targets
throughout a fault. A key's unavailable time is the longest interval between two
complete responses, less the probe interval.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import itertools

import msgspec

from mimosastile_core import fleet
from mimosastile_core import keys
from mimosastile_standins import deployments
from mimosastile_standins import measures
from mimosastile_standins import virtual
from mimosastile_standins import world

_OK = 200
_SEND_INTERVAL_SECONDS = 0.05
_LONG_SEND_INTERVAL_SECONDS = 0.5
_CALL_TIMEOUT_SECONDS = 5.0
_KEY_COUNT = 24
_MAX_CANDIDATE_KEYS = 4000


class Row(msgspec.Struct, frozen=True):
    """Unavailability and failed requests of one case.

    Attributes:
        deployment: The deployment.
        case: Name of the case.
        keys: Number of probed keys; half of them belong to the affected target.
        sent: Requests sent.
        failed: Requests without a complete response.
        p50: Median unavailable seconds of the affected target's keys.
        p99: 99th percentile of the same.
        worst: Maximum of the same.
        others: Maximum unavailable seconds of the other targets' keys.
        store_calls: Store calls per second during the case.
    """

    deployment: str
    case: str
    keys: int
    sent: int
    failed: int
    p50: float
    p99: float
    worst: float
    others: float
    store_calls: float


class _Probe:
    """Sends requests for one key and records response times and statuses."""

    def __init__(
        self, simulation: world.World, service: str, key: str, interval: float
    ) -> None:
        self._simulation = simulation
        self._path = f"/{service}/{key}"
        self._interval = interval
        self.responses: list[tuple[float, int]] = []

    async def run(self, end: float) -> None:
        """Sends until virtual time `end`, through the entry VMs in turn."""
        sends = []
        for number in itertools.count():
            if virtual.now() >= end:
                break
            entries = sorted(self._simulation.daemons)
            entry = entries[number % len(entries)]
            sends.append(asyncio.ensure_future(self._send(entry)))
            await virtual.pause(self._interval)
        await asyncio.gather(*sends)

    async def _send(self, entry: str) -> None:
        status, _ = await self._simulation.call(
            entry, "GET", self._path, seconds=_CALL_TIMEOUT_SECONDS
        )
        # Records the completion time, not the send time: a request that waits
        # until the fault ends and then succeeds was not served during it.
        self.responses.append((virtual.now(), status))

    @property
    def failed(self) -> int:
        """Number of requests without a complete response."""
        return sum(status != _OK for _, status in self.responses)

    def unavailable(self) -> float:
        """Returns the longest interval between successes, in seconds."""
        success_times = sorted(
            at for at, status in self.responses if status == _OK
        )
        if not success_times:
            return float("inf")
        ends = (*success_times, max(at for at, _ in self.responses))
        longest = max(b - a for a, b in itertools.pairwise((ends[0], *ends)))
        return max(0.0, longest - self._interval)


class CaseContext:
    """A running deployment and the target that a case affects.

    Attributes:
        simulation: The simulated deployment.
        service: Its service that is divided by key.
        affected: Identifier of the target that the fault hits.
    """

    def __init__(
        self, simulation: world.World, service: str, affected: str
    ) -> None:
        self.simulation = simulation
        self.service = service
        self.affected = affected

    def listed(self, vm: str) -> fleet.Vm:
        """Returns a VM's entry in the platform's VM list."""
        vms = self.simulation.fleet.read(virtual.now())
        return next(v for v in vms if v.id == vm)


async def _loss(context: CaseContext) -> None:
    context.simulation.targets[context.affected].crash()
    await virtual.pause(6.0)


async def _planned_stop(context: CaseContext) -> None:
    context.simulation.fleet.leave(context.affected)
    await virtual.pause(6.0)


async def _rolling_targets(context: CaseContext) -> None:
    old = [
        context.listed(name)
        for name, target in context.simulation.targets.items()
        if context.listed(name).service == context.service
        and not target.crashed
    ]
    for number, vm in enumerate(old):
        context.simulation.add_target(
            f"fresh-{number}", context.service, vm.region, vm.zone
        )
        await virtual.pause(1.0)
        context.simulation.fleet.leave(vm.id)
        while context.simulation.owners(context.service)[vm.id]:
            await virtual.pause(0.05)
        await virtual.pause(0.5)
        context.simulation.fleet.remove(vm.id)


async def _rolling_entries(context: CaseContext) -> None:
    for number, vm in enumerate(sorted(context.simulation.daemons)):
        listed = context.listed(vm)
        await context.simulation.add_daemon(
            f"fresh-{number}", listed.region, listed.zone
        )
        await virtual.pause(1.0)
        context.simulation.fleet.leave(vm)
        await context.simulation.stop_daemon(vm)
        context.simulation.fleet.remove(vm)
        await virtual.pause(0.5)


async def _zone_cut(context: CaseContext) -> None:
    zone = context.simulation.network.named(
        context.listed(context.affected).zone
    )
    context.simulation.network.isolate(zone)
    await virtual.pause(10.0)
    context.simulation.network.heal()
    await virtual.pause(8.0)


async def _store_down(context: CaseContext) -> None:
    context.simulation.store.go_down()
    await virtual.pause(10.0)
    context.simulation.targets[context.affected].crash()
    await virtual.pause(10.0)
    context.simulation.store.come_back()
    await virtual.pause(5.0)


async def _store_down_long(context: CaseContext) -> None:
    context.simulation.store.go_down()
    await virtual.pause(300.0)
    context.simulation.targets[context.affected].crash()
    await virtual.pause(300.0)
    context.simulation.store.come_back()
    await virtual.pause(5.0)


async def _no_fault(context: CaseContext) -> None:
    del context
    await virtual.pause(20.0)


Case = Callable[[CaseContext], Awaitable[None]]

CASES: dict[str, Case] = {
    "nothing": _no_fault,
    "one loss": _loss,
    "one planned stop": _planned_stop,
    "rolling replacement of targets": _rolling_targets,
    "rolling replacement of entry VMs": _rolling_entries,
    "a zone cut off for 10 s": _zone_cut,
    "store down 20 s, a loss in the middle": _store_down,
}
"""Cases for all deployments, by name."""

LONG_CASES: dict[str, Case] = {
    "store down 10 min, a loss in the middle": _store_down_long,
}
"""Cases for the small deployment only, because they take long."""


def _select_keys(
    simulation: world.World, service: str, affected: str
) -> tuple[list[str], list[str]]:
    """Returns keys of the affected target and keys of other targets."""
    slices = [s for b in simulation.blocks(service) for s in b.slices]
    affected_keys: list[str] = []
    others: list[str] = []
    for i in range(_MAX_CANDIDATE_KEYS):
        position = keys.key_hash(f"k{i}")
        owner = next(s.owner for s in slices if s.first <= position <= s.last)
        (affected_keys if owner == affected else others).append(f"k{i}")
    return affected_keys[: _KEY_COUNT // 2], others[: _KEY_COUNT // 2]


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


async def _case(name: str, label: str, case: Case, interval: float) -> Row:
    simulation = world.World()
    await simulation.deploy(deployments.DEPLOYMENTS[name])
    await virtual.pause(3.0)
    service = measures.KEYED.get(name, "citaonica")
    context = CaseContext(simulation, service, f"{service}-0")
    affected_keys, others = _select_keys(simulation, service, context.affected)
    probes = {
        k: _Probe(simulation, service, k, interval)
        for k in (*affected_keys, *others)
    }
    before = simulation.store.calls.total()
    began = virtual.now()
    stop = float("inf")

    async def probe(probe_: _Probe) -> None:
        while virtual.now() < stop:
            await probe_.run(virtual.now() + 1.0)

    running = [asyncio.ensure_future(probe(p)) for p in probes.values()]
    await virtual.pause(0.5)
    await case(context)
    stop = virtual.now()
    await asyncio.gather(*running)
    unavailable_seconds = [probes[k].unavailable() for k in affected_keys]
    return Row(
        name,
        label,
        len(probes),
        sum(len(p.responses) for p in probes.values()),
        sum(p.failed for p in probes.values()),
        round(_percentile(unavailable_seconds, 0.5), 3),
        round(_percentile(unavailable_seconds, 0.99), 3),
        round(max(unavailable_seconds), 3),
        round(max(probes[k].unavailable() for k in others), 3),
        round((simulation.store.calls.total() - before) / (stop - began), 2),
    )


def row(name: str, label: str) -> Row:
    """Runs one case in virtual time and returns its measurements.

    Args:
        name: Name of the deployment.
        label: Name of the case, a key of `CASES` or `LONG_CASES`.
    """
    case = (CASES | LONG_CASES)[label]
    interval = (
        _LONG_SEND_INTERVAL_SECONDS
        if label in LONG_CASES
        else _SEND_INTERVAL_SECONDS
    )
    return virtual.run(_case(name, label, case, interval))


def table(rows: list[Row]) -> str:
    """Formats rows as a text table."""
    head = (
        f"{'deployment':<12}{'case':<40}{'sent':>7}{'failed':>8}{'p50':>8}"
        f"{'p99':>8}{'max':>8}{'others':>8}{'store/s':>9}"
    )
    lines = [
        f"{r.deployment:<12}{r.case:<40}{r.sent:>7}{r.failed:>8}{r.p50:>8.3f}"
        f"{r.p99:>8.3f}{r.worst:>8.3f}{r.others:>8.3f}{r.store_calls:>9.2f}"
        for r in rows
    ]
    return "\n".join([head, *lines])
