"""Unavailable time of keys at full size, in virtual time.

Callers send for keys of every sort all the time; something breaks; for each
key the longest time between two whole answers is its unavailable time.
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
_SEND_SECONDS = 0.05
_LONG_SEND_SECONDS = 0.5
_PATIENCE_SECONDS = 5.0
_KEYS = 24
_MOST_TRIED = 4000


class Row(msgspec.Struct, frozen=True):
    """What one case cost callers.

    Attributes:
        deployment: The deployment.
        case: What happened.
        keys: Keys that were probed; half of them of the stricken target.
        sent: Requests sent.
        failed: Requests without a whole answer.
        p50: Unavailable seconds of the middle key among the stricken.
        p99: The same at the 99th percentile.
        worst: The same of the key that had it worst.
        others: Unavailable seconds of the worst key among the others.
        store_calls: Calls of the store a second during the case.
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
    """Sends for one key and notes what was answered when."""

    def __init__(
        self, made: world.World, service: str, key: str, every: float
    ) -> None:
        self._made = made
        self._path = f"/{service}/{key}"
        self._every = every
        self.answers: list[tuple[float, int]] = []

    async def run(self, end: float) -> None:
        """Sends until a time, through the entry VMs in turn."""
        sends = []
        for number in itertools.count():
            if virtual.now() >= end:
                break
            up = sorted(self._made.daemons)
            entry = up[number % len(up)]
            sends.append(asyncio.ensure_future(self._send(entry)))
            await virtual.pause(self._every)
        await asyncio.gather(*sends)

    async def _send(self, entry: str) -> None:
        status, _ = await self._made.call(
            entry, "GET", self._path, seconds=_PATIENCE_SECONDS
        )
        # The end counts, not the beginning: a request that waits out the
        # fault and succeeds was not served meanwhile.
        self.answers.append((virtual.now(), status))

    @property
    def failed(self) -> int:
        """Requests without a whole answer."""
        return sum(status != _OK for _, status in self.answers)

    def unavailable(self) -> float:
        """Returns the longest time between two whole answers."""
        answered = sorted(at for at, status in self.answers if status == _OK)
        if not answered:
            return float("inf")
        ends = (*answered, max(at for at, _ in self.answers))
        longest = max(b - a for a, b in itertools.pairwise((ends[0], *ends)))
        return max(0.0, longest - self._every)


class Scene:
    """A running deployment and what a case needs to know of it.

    Attributes:
        made: The deployment.
        service: Its divided service.
        stricken: The target that the case is about.
    """

    def __init__(self, made: world.World, service: str, stricken: str) -> None:
        self.made = made
        self.service = service
        self.stricken = stricken

    def listed(self, vm: str) -> fleet.Vm:
        """Returns a VM as the platform lists it."""
        vms = self.made.fleet.read(virtual.now())
        return next(v for v in vms if v.id == vm)


async def _loss(scene: Scene) -> None:
    scene.made.targets[scene.stricken].crash()
    await virtual.pause(6.0)


async def _planned_stop(scene: Scene) -> None:
    scene.made.fleet.leave(scene.stricken)
    await virtual.pause(6.0)


async def _rolling_targets(scene: Scene) -> None:
    old = [
        scene.listed(name)
        for name, run in scene.made.targets.items()
        if scene.listed(name).service == scene.service and not run.crashed
    ]
    for number, vm in enumerate(old):
        scene.made.add_target(
            f"fresh-{number}", scene.service, vm.region, vm.zone
        )
        await virtual.pause(1.0)
        scene.made.fleet.leave(vm.id)
        while scene.made.owners(scene.service)[vm.id]:
            await virtual.pause(0.05)
        await virtual.pause(0.5)
        scene.made.fleet.remove(vm.id)


async def _rolling_entries(scene: Scene) -> None:
    for number, vm in enumerate(sorted(scene.made.daemons)):
        listed = scene.listed(vm)
        await scene.made.add_daemon(
            f"fresh-{number}", listed.region, listed.zone
        )
        await virtual.pause(1.0)
        scene.made.fleet.leave(vm)
        await scene.made.stop_daemon(vm)
        scene.made.fleet.remove(vm)
        await virtual.pause(0.5)


async def _zone_cut(scene: Scene) -> None:
    zone = scene.made.network.named(scene.listed(scene.stricken).zone)
    scene.made.network.isolate(zone)
    await virtual.pause(10.0)
    scene.made.network.heal()
    await virtual.pause(8.0)


async def _store_down(scene: Scene) -> None:
    scene.made.store.go_down()
    await virtual.pause(10.0)
    scene.made.targets[scene.stricken].crash()
    await virtual.pause(10.0)
    scene.made.store.come_back()
    await virtual.pause(5.0)


async def _store_down_long(scene: Scene) -> None:
    scene.made.store.go_down()
    await virtual.pause(300.0)
    scene.made.targets[scene.stricken].crash()
    await virtual.pause(300.0)
    scene.made.store.come_back()
    await virtual.pause(5.0)


async def _rest(scene: Scene) -> None:
    del scene
    await virtual.pause(20.0)


Case = Callable[[Scene], Awaitable[None]]

CASES: dict[str, Case] = {
    "nothing": _rest,
    "one loss": _loss,
    "one planned stop": _planned_stop,
    "rolling replacement of targets": _rolling_targets,
    "rolling replacement of entry VMs": _rolling_entries,
    "a zone cut off for 10 s": _zone_cut,
    "store down 20 s, a loss in the middle": _store_down,
}
"""Cases at full size by name."""

LONG_CASES: dict[str, Case] = {
    "store down 10 min, a loss in the middle": _store_down_long,
}
"""Cases for the small deployment, as they take long."""


def _pick(
    made: world.World, service: str, stricken: str
) -> tuple[list[str], list[str]]:
    """Returns keys of the stricken target and keys of others."""
    pieces = [s for b in made.blocks(service) for s in b.slices]
    mine: list[str] = []
    others: list[str] = []
    for i in range(_MOST_TRIED):
        position = keys.key_hash(f"k{i}")
        owner = next(s.owner for s in pieces if s.first <= position <= s.last)
        (mine if owner == stricken else others).append(f"k{i}")
    return mine[: _KEYS // 2], others[: _KEYS // 2]


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


async def _case(name: str, label: str, case: Case, every: float) -> Row:
    made = world.World()
    await made.deploy(deployments.DEPLOYMENTS[name])
    await virtual.pause(3.0)
    service = measures.KEYED.get(name, "citaonica")
    scene = Scene(made, service, f"{service}-0")
    mine, others = _pick(made, service, scene.stricken)
    probes = {k: _Probe(made, service, k, every) for k in (*mine, *others)}
    before = made.store.calls.total()
    began = virtual.now()
    stop = float("inf")

    async def probe(one: _Probe) -> None:
        while virtual.now() < stop:
            await one.run(virtual.now() + 1.0)

    running = [asyncio.ensure_future(probe(p)) for p in probes.values()]
    await virtual.pause(0.5)
    await case(scene)
    stop = virtual.now()
    await asyncio.gather(*running)
    waits = [probes[k].unavailable() for k in mine]
    return Row(
        name,
        label,
        len(probes),
        sum(len(p.answers) for p in probes.values()),
        sum(p.failed for p in probes.values()),
        round(_percentile(waits, 0.5), 3),
        round(_percentile(waits, 0.99), 3),
        round(max(waits), 3),
        round(max(probes[k].unavailable() for k in others), 3),
        round((made.store.calls.total() - before) / (stop - began), 2),
    )


def row(name: str, label: str) -> Row:
    """Runs one case.

    Args:
        name: Name of the deployment.
        label: Name of the case.
    """
    case = (CASES | LONG_CASES)[label]
    every = _LONG_SEND_SECONDS if label in LONG_CASES else _SEND_SECONDS
    return virtual.run(_case(name, label, case, every))


def table(found: list[Row]) -> str:
    """Returns rows as text for people."""
    head = (
        f"{'deployment':<12}{'case':<40}{'sent':>7}{'failed':>8}{'p50':>8}"
        f"{'p99':>8}{'max':>8}{'others':>8}{'store/s':>9}"
    )
    lines = [
        f"{r.deployment:<12}{r.case:<40}{r.sent:>7}{r.failed:>8}{r.p50:>8.3f}"
        f"{r.p99:>8.3f}{r.worst:>8.3f}{r.others:>8.3f}{r.store_calls:>9.2f}"
        for r in found
    ]
    return "\n".join([head, *lines])
