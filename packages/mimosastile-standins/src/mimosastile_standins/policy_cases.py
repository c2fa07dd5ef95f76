"""Cases of the policy simulation and the metrics computed for each."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
import itertools
from typing import Any

import msgspec

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_standins import deployments
from mimosastile_standins import policy
from mimosastile_standins import policy_link
from mimosastile_standins import virtual

_SEED = 1
_SECONDS = 8.0
_MEAN_SECONDS = 0.05
_MEMBERS = 5
_SURGE_FACTOR = 10.0
_WARM_UP_SECONDS = 2.0
"""The start is excluded because queues are still empty."""

Figures = dict[str, float]


class Row(msgspec.Struct, frozen=True):
    """Metrics of one case under one strategy.

    Attributes:
        case: Name of the case.
        deployment: Name of the deployment.
        strategy: Name of the strategy.
        figures: Metrics by name.
    """

    case: str
    deployment: str
    strategy: str
    figures: Figures


def percentile(values: Iterable[float], share: float) -> float:
    """Returns the percentile at a fraction of 0 to 1; 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def jain(values: Iterable[float]) -> float:
    """Returns Jain's fairness index: 1 if all are equal, 1 without values."""
    numbers = list(values)
    squares = sum(v * v for v in numbers)
    return sum(numbers) ** 2 / (len(numbers) * squares) if squares else 1.0


def _service(deployment: deployments.Deployment, keyed: bool) -> str:
    return next(
        name
        for name, backend in deployment.backends.items()
        if (backend.service.key is not None) is keyed
    )


def _capacity(deployment: deployments.Deployment, service: str) -> float:
    """Returns a service's capacity in requests per second."""
    backend = deployment.backends[service]
    return backend.targets * backend.service.slots / _MEAN_SECONDS


def _members(slots: int = 0) -> dict[str, config.Member]:
    """Returns equal members; `slots` is a concurrency limit, 0 for none."""
    member = config.Member(concurrency=slots)
    return {f"member-{n}": member for n in range(_MEMBERS)}


def _loads(
    deployment: deployments.Deployment, service: str, share: float
) -> list[policy.Load]:
    """Returns equal streams that sum to a fraction of the capacity."""
    rate = share * _capacity(deployment, service) / _MEMBERS
    return [
        policy.Load(f"member-{n}", service, rate, _MEAN_SECONDS)
        for n in range(_MEMBERS)
    ]


async def _simulate(
    model: policy.Model, loads: Iterable[policy.Load], seconds: float
) -> list[policy.Record]:
    await asyncio.gather(*(model.offer(load, seconds) for load in loads))
    await model.drain()
    return [r for r in model.records if r.began >= _WARM_UP_SECONDS]


def _figures(records: Iterable[policy.Record]) -> Figures:
    outcomes = list(records)
    latencies = [r.seconds for r in outcomes if r.failure is None]
    return {
        "requests": len(outcomes),
        "success": len(latencies) / max(len(outcomes), 1),
        "p50_ms": percentile(latencies, 0.5) * 1000,
        "p99_ms": percentile(latencies, 0.99) * 1000,
    }


def _ratio_figures(
    model: policy.Model, records: list[policy.Record]
) -> Figures:
    sends = sum(r.sends for r in records)
    twice = sum(r.sends > 1 and not r.load.idempotent for r in records)
    kinds = collections.Counter(r.failure for r in records)
    return {
        **_figures(records),
        "sent_per_offered": sends / max(len(records), 1),
        "ran_twice": twice,
        "perhaps": kinds[errors.ErrorKind.ANSWER_LOST],
        "overrun": sum(
            t.max_concurrency > t.slots for t in model.targets.values()
        ),
    }


async def surge(
    deployment: deployments.Deployment, strategy: policy.Strategy
) -> Figures:
    """Measures the other members while one sends ten times its load."""
    service = _service(deployment, keyed=True)
    backend = deployment.backends[service]
    members = _members(backend.targets * backend.service.slots * 2 // 5)
    runs = []
    for factor in (1.0, _SURGE_FACTOR):
        loads = _loads(deployment, service, 0.4)
        loads[0] = msgspec.structs.replace(
            loads[0], rate=loads[0].rate * factor
        )
        model = policy.Model(deployment, strategy, _SEED, members)
        runs.append(await _simulate(model, loads, _SECONDS))
    calm, busy = (
        _figures(r for r in run if r.load.member != "member-0") for run in runs
    )
    served = collections.Counter(
        r.load.member for r in runs[1] if r.failure is None
    )
    # Demand above an even share is capped at that share.
    even = sum(served.values()) / _MEMBERS
    served_shares = [
        min(served[m] / min(even, o), 1.0) for m, o in _offered(runs[1])
    ]
    return {
        "rival_p99_calm_ms": calm["p99_ms"],
        "rival_p99_surge_ms": busy["p99_ms"],
        "rival_p99_ratio": busy["p99_ms"] / calm["p99_ms"],
        "rival_success": busy["success"],
        "surger_success": _figures(
            r for r in runs[1] if r.load.member == "member-0"
        )["success"],
        "jain": jain(served_shares),
    }


def _offered(records: list[policy.Record]) -> list[tuple[str, int]]:
    counts = collections.Counter(r.load.member for r in records)
    return list(counts.items())


async def lost_server(
    deployment: deployments.Deployment, strategy: policy.Strategy
) -> Figures:
    """Crashes a target under 80% load; it leaves the list 2 s later."""
    service = _service(deployment, keyed=False)
    model = policy.Model(deployment, strategy, _SEED, _members())
    halves = itertools.cycle((True, False))
    loads = [
        msgspec.structs.replace(load, idempotent=next(halves))
        for load in _loads(deployment, service, 0.8)
    ]

    async def crash_target() -> None:
        await virtual.pause(4.0)
        crashed = model.targets_of(service)[0]
        model.crash(crashed)
        await virtual.pause(2.0)
        model.remove_target(crashed)

    crash = asyncio.create_task(crash_target())
    records = await _simulate(model, loads, _SECONDS)
    await crash
    return _ratio_figures(model, records)


async def brown_out(
    deployment: deployments.Deployment, strategy: policy.Strategy
) -> Figures:
    """Half of a service's targets lose 90% of their responses for 4 s."""
    service = _service(deployment, keyed=False)
    model = policy.Model(deployment, strategy, _SEED, _members())
    half = model.targets_of(service)[::2]

    async def degrade() -> None:
        await virtual.pause(3.0)
        for faulty in (0.9, 0.0):
            for target in half:
                model.targets[target].faulty = faulty
            await virtual.pause(4.0)

    degradation = asyncio.create_task(degrade())
    loads = _loads(deployment, service, 0.4)
    records = await _simulate(model, loads, _SECONDS)
    await degradation
    return _ratio_figures(model, records)


async def slots(
    deployment: deployments.Deployment, strategy: policy.Strategy
) -> Figures:
    """Compares queue locations at 70% load on the service sharded by key."""
    service = _service(deployment, keyed=True)
    model = policy.Model(deployment, strategy, _SEED, _members())
    loads = _loads(deployment, service, 0.7)
    return _ratio_figures(model, await _simulate(model, loads, _SECONDS))


async def link(
    deployment: deployments.Deployment, strategy: policy.Strategy
) -> Figures:
    """Ten archive downloads saturate the link beside interactive traffic."""
    del deployment
    alone = await policy_link.simulate(strategy.paced, downloads=False)
    with_downloads = await policy_link.simulate(strategy.paced, downloads=True)
    calm = percentile(alone.desk, 0.99) * 1000
    busy = percentile(with_downloads.desk, 0.99) * 1000
    return {
        "desk_p99_calm_ms": calm,
        "desk_p99_busy_ms": busy,
        "desk_p99_ratio": busy / calm,
        "bulk_share": policy_link.bulk_share(with_downloads),
    }


Case = Callable[
    [deployments.Deployment, policy.Strategy], Coroutine[Any, Any, Figures]
]

_NO_LIMIT = policy.Strategy("fair queue alone", limited=False)
_FIFO_ALONE = policy.Strategy("one line alone", fair=False, limited=False)
_NO_BUDGET = policy.Strategy(
    "round robin, no budget", fair=False, balanced=False, budgeted=False
)
_UNPACED = policy.Strategy("no pacing", paced=False)
_SHARED_SLOTS = policy.Strategy("slots dealt out", fair=False, dealt=True)
CASES: dict[str, tuple[Case, tuple[policy.Strategy, ...]]] = {
    "surge": (surge, (*policy.STRATEGIES, _NO_LIMIT, _FIFO_ALONE)),
    "lost-server": (lost_server, (*policy.STRATEGIES, _NO_BUDGET)),
    "brown-out": (brown_out, (*policy.STRATEGIES, _NO_BUDGET)),
    "link": (link, (policy.PRODUCT, _UNPACED)),
    "slots": (slots, (*policy.STRATEGIES[:2], _SHARED_SLOTS)),
}
"""The cases by name, with the strategies to compare."""


def rows(deployment: str, case: str) -> list[Row]:
    """Runs one case under each of its strategies.

    Args:
        deployment: Name of the deployment.
        case: Name of the case.
    """
    model_deployment = deployments.DEPLOYMENTS[deployment]
    run_case, strategies = CASES[case]
    return [
        Row(
            case, deployment, s.name, virtual.run(run_case(model_deployment, s))
        )
        for s in strategies
    ]
