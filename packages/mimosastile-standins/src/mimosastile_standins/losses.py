"""Measures key unavailability after faults, in virtual time.

Each case starts a small deployment, sends requests for a few keys continuously,
injects a fault and records for each key the longest interval between two
successful requests. An ownership check observes every execution on a target.
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
"""The service, divided by key, that the cases run on."""

_OK = 200
_SEND_INTERVAL_SECONDS = 0.02
_LONG_TIMEOUT_SECONDS = 10.0
_SHORT_TIMEOUT_SECONDS = 0.2
_SETTLE_SECONDS = 1.0


class OwnershipChecker:
    """Checks that a key's executions never return to a former owner.

    Fences rise with each change of owner. An execution under a lower fence than
    an earlier one of the same key, or on another target under the same fence,
    means that two targets acted as the owner (split brain).

    Attributes:
        violations: One sentence for each violation.
    """

    __slots__ = ("_last", "violations")

    def __init__(self) -> None:
        self._last: dict[int, target.Execution] = {}
        self.violations: list[str] = []

    def observe(self, execution: target.Execution) -> None:
        """Checks one execution as it begins."""
        if execution.position is None:
            return
        last = self._last.get(execution.position, execution)
        same = last.fence == execution.fence and last.target == execution.target
        if not same and execution.fence <= last.fence:
            self.violations.append(
                f"{execution.path} ran on {last.target} under {last.fence},"
                f" then on {execution.target} under {execution.fence}"
            )
        self._last[execution.position] = execution


class Probe:
    """Sends requests for one key at an interval and records the responses.

    Attributes:
        responses: Send time and response status of each request.
        longest_wait: Latency of the slowest complete response, in seconds.
    """

    __slots__ = (
        "_simulation",
        "_path",
        "_timeout",
        "_pending",
        "responses",
        "longest_wait",
    )

    def __init__(
        self, simulation: world.World, key: str, timeout: float
    ) -> None:
        """Creates a probe.

        Args:
            simulation: The simulated deployment.
            key: The key.
            timeout: Seconds until a request times out.
        """
        self._simulation = simulation
        self._path = f"/{KEYED}/{key}"
        self._timeout = timeout
        self._pending: set[asyncio.Task[None]] = set()
        self.responses: list[tuple[float, int]] = []
        self.longest_wait = 0.0

    @property
    def refused(self) -> int:
        """Number of requests without a complete response."""
        return sum(status != _OK for _, status in self.responses)

    async def run(self, seconds: float) -> None:
        """Sends for `seconds` through the running entry VMs in turn."""
        end = virtual.now() + seconds
        for number in itertools.count():
            if virtual.now() >= end:
                break
            entry = self._entry(number)
            if entry is not None:
                task = asyncio.create_task(self._send(entry, number))
                self._pending.add(task)
                task.add_done_callback(self._pending.discard)
            await virtual.pause(_SEND_INTERVAL_SECONDS)
        await asyncio.gather(*self._pending)

    def unavailable(self) -> float:
        """Returns the longest interval between successes, in seconds."""
        success_times = sorted(
            at for at, status in self.responses if status == _OK
        )
        if not success_times:
            return float("inf")
        ends = (*success_times, max(at for at, _ in self.responses))
        pairs = zip(ends, ends[1:], strict=False)
        longest = max((b - a for a, b in pairs), default=0.0)
        return max(0.0, longest - _SEND_INTERVAL_SECONDS)

    def _entry(self, number: int) -> str | None:
        # The platform's load balancer sends only to VMs that accept
        # connections.
        entries = sorted(self._simulation.daemons)
        return entries[number % len(entries)] if entries else None

    async def _send(self, entry: str, number: int) -> None:
        began = virtual.now()
        # Each request has its own path: requests that repeatedly fail with
        # crashes of a target are quarantined, which is not measured here.
        path = f"{self._path}/{number}"
        status, _ = await self._simulation.call(
            entry, "GET", path, seconds=self._timeout
        )
        self.responses.append((began, status))
        if status == _OK:
            self.longest_wait = max(self.longest_wait, virtual.now() - began)


class Outcome(msgspec.Struct, frozen=True):
    """Measurements of one case.

    Attributes:
        unavailable: Unavailable seconds of each key, in descending order.
        sent: Requests sent.
        refused: Requests without a complete response.
        violations: Executions that show two owners; must be empty.
        store_calls: Store calls during the case.
        waited: Longest response time of each key in seconds, in descending
            order.
    """

    unavailable: tuple[float, ...]
    sent: int
    refused: int
    violations: tuple[str, ...]
    store_calls: int
    waited: tuple[float, ...] = ()

    @property
    def longest(self) -> float:
        """Maximum unavailable seconds over all keys."""
        return self.unavailable[0]


class Setting(msgspec.Struct, frozen=True):
    """Parameters of a case.

    Attributes:
        timing: Timing of the grant protocol.
        checks_orders: Whether targets refuse requests without a valid grant.
        checks_expiry: Whether targets refuse requests after a grant expires.
        keys: Number of probed keys.
        patient: Whether requests time out after 10 s, for planned stops;
            otherwise after 0.2 s, to show when service resumes.
        seconds: How long probes send, in seconds.
    """

    timing: grants.Timing = grants.Timing()
    checks_orders: bool = True
    checks_expiry: bool = True
    keys: int = 6
    patient: bool = False
    seconds: float = 4.0


Fault = Callable[[world.World, str], Awaitable[None]]
"""Injects a fault, given the deployment and the first key's owner."""


def deployment(setting: Setting) -> deployments.Deployment:
    """Returns the small deployment with the setting applied to `KEYED`."""
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
    """Starts the deployment and waits one second for it to settle."""
    simulation = world.World(seed)
    planned = deployment(setting)
    if setting.checks_orders:
        await simulation.deploy(planned)
    else:
        await _deploy_gated(simulation, planned)
    for target_ in simulation.targets.values():
        target_.checks_orders = setting.checks_orders
        target_.checks_expiry = setting.checks_expiry
    await virtual.pause(_SETTLE_SECONDS)
    return simulation


async def _deploy_gated(
    simulation: world.World, planned: deployments.Deployment
) -> None:
    """Starts targets that hold no grants, without waiting for ownership."""
    await simulation.configure(planned.document())
    for vm in planned.vms():
        if vm.service:
            simulation.add_target(vm.id, vm.service, vm.region, vm.zone)
    for vm in planned.vms():
        if not vm.service:
            await simulation.add_daemon(vm.id, vm.region, vm.zone)


def owner_of(simulation: world.World, key: str) -> str:
    """Returns the target that owns a key, from the stored table."""
    position = keys.key_hash(key)
    return next(
        slice_.owner
        for block in simulation.blocks(KEYED)
        for slice_ in block.slices
        if slice_.first <= position <= slice_.last
    )


def keeper_of(simulation: world.World, name: str) -> str:
    """Returns a target's keeper, from the stored table.

    The keeper is the entry VM through which alone a target gets requests and
    grants.
    """
    return next(
        block.keepers[name].vm
        for block in simulation.blocks(KEYED)
        if name in block.keepers
    )


async def _case(fault: Fault, setting: Setting, seed: int) -> Outcome:
    simulation = await start(setting, seed)
    checker = OwnershipChecker()
    for target_ in simulation.targets.values():
        target_.observer = checker.observe
    timeout = (
        _LONG_TIMEOUT_SECONDS if setting.patient else _SHORT_TIMEOUT_SECONDS
    )
    names = [f"k{i}" for i in range(setting.keys)]
    probes = [Probe(simulation, name, timeout) for name in names]
    before = sum(simulation.store.calls.values())
    running = [asyncio.create_task(p.run(setting.seconds)) for p in probes]
    await virtual.pause(5 * _SEND_INTERVAL_SECONDS)
    injecting = asyncio.ensure_future(
        fault(simulation, owner_of(simulation, names[0]))
    )
    await asyncio.gather(injecting, *running)
    return Outcome(
        tuple(sorted((p.unavailable() for p in probes), reverse=True)),
        sum(len(p.responses) for p in probes),
        sum(p.refused for p in probes),
        tuple(checker.violations),
        sum(simulation.store.calls.values()) - before,
        tuple(sorted((p.longest_wait for p in probes), reverse=True)),
    )


def run(fault: Fault, setting: Setting, seed: int = 0) -> Outcome:
    """Runs one case in virtual time.

    Args:
        fault: Injects the fault.
        setting: Parameters of the case.
        seed: Seed of identifiers and jitter.
    """
    return virtual.run(_case(fault, setting, seed))


def served_by(body: bytes) -> str:
    """Returns the target named in a response body."""
    named: str = json.loads(body)["target"]
    return named
