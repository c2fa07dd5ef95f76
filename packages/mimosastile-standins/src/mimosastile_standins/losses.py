"""Losses in virtual time: how long a key is not served, and by how many.

Each case starts a small deployment, sends requests for a few keys all the
time, breaks something and notes for each key the longest time between two
sends that were answered. The oracle beside it watches every run on a target.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import json

import msgspec

from mimosastile_core import grants
from mimosastile_core import keys
from mimosastile_standins import deployments
from mimosastile_standins import target
from mimosastile_standins import virtual
from mimosastile_standins import world

KEYED = "citaonica"
"""The service that cases are run on."""

_OK = 200
_SEND_SECONDS = 0.02
_PATIENT_SECONDS = 10.0
_QUICK_SECONDS = 0.2
_SETTLED_SECONDS = 1.0


class Order:
    """Watches that a key's runs never go back to a former owner.

    Fences rise with each change of owner. A run under a lower fence than an
    earlier run of the same key, or on another target under the same fence,
    means that two targets took themselves for the owner.

    Attributes:
        violations: One sentence for each.
    """

    __slots__ = ("_last", "violations")

    def __init__(self) -> None:
        self._last: dict[int, target.Execution] = {}
        self.violations: list[str] = []

    def note(self, run: target.Execution) -> None:
        """Takes one run as it begins."""
        if run.position is None:
            return
        last = self._last.get(run.position, run)
        same = last.fence == run.fence and last.target == run.target
        if not same and run.fence <= last.fence:
            self.violations.append(
                f"{run.path} ran on {last.target} under {last.fence}, then on"
                f" {run.target} under {run.fence}"
            )
        self._last[run.position] = run


class Probe:
    """Sends requests for one key at an interval and notes the answers.

    Attributes:
        answers: When each request was sent, and the status of its answer.
        longest_wait: Seconds that the slowest whole answer took.
    """

    __slots__ = (
        "_made",
        "_path",
        "_patience",
        "_pending",
        "answers",
        "longest_wait",
    )

    def __init__(self, made: world.World, key: str, patience: float) -> None:
        """Makes a probe.

        Args:
            made: The deployment.
            key: The key.
            patience: Seconds that a caller waits for its answer.
        """
        self._made = made
        self._path = f"/{KEYED}/{key}"
        self._patience = patience
        self._pending: set[asyncio.Task[None]] = set()
        self.answers: list[tuple[float, int]] = []
        self.longest_wait = 0.0

    @property
    def refused(self) -> int:
        """How many requests got no whole answer."""
        return sum(status != _OK for _, status in self.answers)

    async def run(self, seconds: float) -> None:
        """Sends for some time through the VMs that run, in turn."""
        end = virtual.now() + seconds
        for number in itertools.count():
            if virtual.now() >= end:
                break
            entry = self._entry(number)
            if entry is not None:
                one = asyncio.create_task(self._send(entry, number))
                self._pending.add(one)
                one.add_done_callback(self._pending.discard)
            await virtual.pause(_SEND_SECONDS)
        await asyncio.gather(*self._pending)

    def unavailable(self) -> float:
        """Returns the longest time between two answered sends, in seconds."""
        answered = sorted(at for at, status in self.answers if status == _OK)
        if not answered:
            return float("inf")
        ends = (*answered, max(at for at, _ in self.answers))
        pairs = zip(ends, ends[1:], strict=False)
        longest = max((b - a for a, b in pairs), default=0.0)
        return max(0.0, longest - _SEND_SECONDS)

    def _entry(self, number: int) -> str | None:
        # The platform's balancer knows which VMs take connections.
        up = sorted(self._made.daemons)
        return up[number % len(up)] if up else None

    async def _send(self, entry: str, number: int) -> None:
        began = virtual.now()
        # No two requests are the same: those that are lost with a target
        # again and again are held back, and that is not what is measured.
        path = f"{self._path}/{number}"
        status, _ = await self._made.call(
            entry, "GET", path, seconds=self._patience
        )
        self.answers.append((began, status))
        if status == _OK:
            self.longest_wait = max(self.longest_wait, virtual.now() - began)


class Outcome(msgspec.Struct, frozen=True):
    """What a case cost.

    Attributes:
        unavailable: Seconds without service by key, most first.
        sent: Requests sent.
        refused: Requests without a whole answer.
        violations: Runs that show two owners; must be empty.
        store_calls: Calls of the store during the case.
        waited: Longest wait for a whole answer by key, longest first.
    """

    unavailable: tuple[float, ...]
    sent: int
    refused: int
    violations: tuple[str, ...]
    store_calls: int
    waited: tuple[float, ...] = ()

    @property
    def longest(self) -> float:
        """Seconds without service of the key that had it worst."""
        return self.unavailable[0]


class Setting(msgspec.Struct, frozen=True):
    """What a case runs on.

    Attributes:
        timing: Times of the grant protocol.
        checks_orders: Ability of the targets.
        checks_expiry: Ability of the targets.
        keys: How many keys are probed.
        patient: Whether callers wait for seconds, as they do for a planned
            stop; otherwise they give up soon, to show when service is back.
        seconds: How long the case lasts after the fault began.
    """

    timing: grants.Timing = grants.Timing()
    checks_orders: bool = True
    checks_expiry: bool = True
    keys: int = 6
    patient: bool = False
    seconds: float = 4.0


Fault = Callable[[world.World, str], Awaitable[None]]
"""Breaks something; gets the deployment and the target of the first key."""


def deployment(setting: Setting) -> deployments.Deployment:
    """Returns the small deployment with a setting's service."""
    small = deployments.SMALL
    backend = small.backends[KEYED]
    service = msgspec.structs.replace(
        backend.service,
        grant=setting.timing,
        checks_orders=setting.checks_orders,
        checks_expiry=setting.checks_expiry,
    )
    return msgspec.structs.replace(
        small,
        backends={KEYED: msgspec.structs.replace(backend, service=service)},
    )


async def start(setting: Setting, seed: int = 0) -> world.World:
    """Starts the deployment and waits until it serves."""
    made = world.World(seed)
    planned = deployment(setting)
    if setting.checks_orders:
        await made.deploy(planned)
    else:
        await _deploy_gated(made, planned)
    for run in made.targets.values():
        run.checks_orders = setting.checks_orders
        run.checks_expiry = setting.checks_expiry
    await virtual.pause(_SETTLED_SECONDS)
    return made


async def _deploy_gated(
    made: world.World, planned: deployments.Deployment
) -> None:
    """Starts targets that hold no grants; they need no settling."""
    await made.configure(planned.document())
    for vm in planned.vms():
        if vm.service:
            made.add_target(vm.id, vm.service, vm.region, vm.zone)
    for vm in planned.vms():
        if not vm.service:
            await made.add_daemon(vm.id, vm.region, vm.zone)


def owner_of(made: world.World, key: str) -> str:
    """Returns a key's owner as the store has it."""
    position = keys.key_hash(key)
    return next(
        piece.owner
        for block in made.blocks(KEYED)
        for piece in block.slices
        if piece.first <= position <= piece.last
    )


def keeper_of(made: world.World, name: str) -> str:
    """Returns the VM that keeps a target as the store has it."""
    return next(
        block.keepers[name].vm
        for block in made.blocks(KEYED)
        if name in block.keepers
    )


async def _case(fault: Fault, setting: Setting, seed: int) -> Outcome:
    made = await start(setting, seed)
    order = Order()
    for run in made.targets.values():
        run.observer = order.note
    patience = _PATIENT_SECONDS if setting.patient else _QUICK_SECONDS
    names = [f"k{i}" for i in range(setting.keys)]
    probes = [Probe(made, name, patience) for name in names]
    before = sum(made.store.calls.values())
    running = [asyncio.create_task(p.run(setting.seconds)) for p in probes]
    await virtual.pause(5 * _SEND_SECONDS)
    breaking = asyncio.ensure_future(fault(made, owner_of(made, names[0])))
    await asyncio.gather(breaking, *running)
    return Outcome(
        tuple(sorted((p.unavailable() for p in probes), reverse=True)),
        sum(len(p.answers) for p in probes),
        sum(p.refused for p in probes),
        tuple(order.violations),
        sum(made.store.calls.values()) - before,
        tuple(sorted((p.longest_wait for p in probes), reverse=True)),
    )


def run(fault: Fault, setting: Setting, seed: int = 0) -> Outcome:
    """Runs one case in virtual time.

    Args:
        fault: What breaks.
        setting: What it breaks on.
        seed: Seed of identifiers and jitter.
    """
    return virtual.run(_case(fault, setting, seed))


def served_by(body: bytes) -> str:
    """Returns the target that an answer names."""
    named: str = json.loads(body)["target"]
    return named
