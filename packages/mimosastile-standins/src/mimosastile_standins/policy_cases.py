"""Cases of the policy measure and the figures that each one yields."""

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
_SURGE = 10.0
_RUN_LATE = 2.0
"""Seconds at the start that are left out: queues are empty then."""

Figures = dict[str, float]


class Row(msgspec.Struct, frozen=True):
    """One line of the report.

    Attributes:
        case: The case.
        deployment: The deployment.
        strategy: Who decided.
        figures: Figures by name.
    """

    case: str
    deployment: str
    strategy: str
    figures: Figures


def percentile(values: Iterable[float], share: float) -> float:
    """Returns a percentile, 0 for no values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def jain(values: Iterable[float]) -> float:
    """Returns Jain's index of fairness: 1 if all are equal."""
    known = list(values)
    squares = sum(v * v for v in known)
    return sum(known) ** 2 / (len(known) * squares) if squares else 1.0


def _service(deployment: deployments.Deployment, keyed: bool) -> str:
    return next(
        name
        for name, backend in deployment.backends.items()
        if (backend.service.key is not None) is keyed
    )


def _capacity(deployment: deployments.Deployment, service: str) -> float:
    """Returns the requests a second that a service can run."""
    backend = deployment.backends[service]
    return backend.targets * backend.service.slots / _MEAN_SECONDS


def _members(slots: int = 0) -> dict[str, config.Member]:
    """Returns equal members, with a limit of concurrency if one is given."""
    member = config.Member(concurrency=slots)
    return {f"member-{n}": member for n in range(_MEMBERS)}


def _loads(
    deployment: deployments.Deployment, service: str, share: float
) -> list[policy.Load]:
    """Returns equal streams of all members that add up to a share."""
    rate = share * _capacity(deployment, service) / _MEMBERS
    return [
        policy.Load(f"member-{n}", service, rate, _MEAN_SECONDS)
        for n in range(_MEMBERS)
    ]


async def _play(
    model: policy.Model, loads: Iterable[policy.Load], seconds: float
) -> list[policy.Record]:
    await asyncio.gather(*(model.offer(load, seconds) for load in loads))
    await model.drain()
    return [r for r in model.records if r.began >= _RUN_LATE]


def _figures(records: Iterable[policy.Record]) -> Figures:
    known = list(records)
    good = [r.seconds for r in known if r.failure is None]
    return {
        "requests": len(known),
        "success": len(good) / max(len(known), 1),
        "p50_ms": percentile(good, 0.5) * 1000,
        "p99_ms": percentile(good, 0.99) * 1000,
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
        "overrun": sum(t.overrun > t.slots for t in model.targets.values()),
    }


async def surge(
    deployment: deployments.Deployment, strategy: policy.Strategy
) -> Figures:
    """One member sends ten times its usual load; how are its rivals?"""
    service = _service(deployment, keyed=True)
    backend = deployment.backends[service]
    members = _members(backend.targets * backend.service.slots * 2 // 5)
    runs = []
    for factor in (1.0, _SURGE):
        loads = _loads(deployment, service, 0.4)
        loads[0] = msgspec.structs.replace(
            loads[0], rate=loads[0].rate * factor
        )
        model = policy.Model(deployment, strategy, _SEED, members)
        runs.append(await _play(model, loads, _SECONDS))
    calm, busy = (
        _figures(r for r in run if r.load.member != "member-0") for run in runs
    )
    served = collections.Counter(
        r.load.member for r in runs[1] if r.failure is None
    )
    # Whoever asked for more than an even share is counted with the share.
    even = sum(served.values()) / _MEMBERS
    got = [min(served[m] / min(even, o), 1.0) for m, o in _offered(runs[1])]
    return {
        "rival_p99_calm_ms": calm["p99_ms"],
        "rival_p99_surge_ms": busy["p99_ms"],
        "rival_p99_ratio": busy["p99_ms"] / calm["p99_ms"],
        "rival_success": busy["success"],
        "surger_success": _figures(
            r for r in runs[1] if r.load.member == "member-0"
        )["success"],
        "jain": jain(got),
    }


def _offered(records: list[policy.Record]) -> list[tuple[str, int]]:
    counts = collections.Counter(r.load.member for r in records)
    return list(counts.items())


async def lost_server(
    deployment: deployments.Deployment, strategy: policy.Strategy
) -> Figures:
    """A server dies under 80% load; the list says so two seconds later."""
    service = _service(deployment, keyed=False)
    model = policy.Model(deployment, strategy, _SEED, _members())
    halves = itertools.cycle((True, False))
    loads = [
        msgspec.structs.replace(load, idempotent=next(halves))
        for load in _loads(deployment, service, 0.8)
    ]

    async def lose() -> None:
        await virtual.pause(4.0)
        lost = model.targets_of(service)[0]
        model.lose(lost)
        await virtual.pause(2.0)
        model.forget(lost)

    loss = asyncio.create_task(lose())
    records = await _play(model, loads, _SECONDS)
    await loss
    return _ratio_figures(model, records)


async def brown_out(
    deployment: deployments.Deployment, strategy: policy.Strategy
) -> Figures:
    """Half of a service's servers lose nine in ten answers for a while."""
    service = _service(deployment, keyed=False)
    model = policy.Model(deployment, strategy, _SEED, _members())
    half = model.targets_of(service)[::2]

    async def fade() -> None:
        await virtual.pause(3.0)
        for faulty in (0.9, 0.0):
            for target in half:
                model.targets[target].faulty = faulty
            await virtual.pause(4.0)

    fading = asyncio.create_task(fade())
    loads = _loads(deployment, service, 0.4)
    records = await _play(model, loads, _SECONDS)
    await fading
    return _ratio_figures(model, records)


async def slots(
    deployment: deployments.Deployment, strategy: policy.Strategy
) -> Figures:
    """Where the queue stands: 70% load on the service divided by key."""
    service = _service(deployment, keyed=True)
    model = policy.Model(deployment, strategy, _SEED, _members())
    loads = _loads(deployment, service, 0.7)
    return _ratio_figures(model, await _play(model, loads, _SECONDS))


async def link(
    deployment: deployments.Deployment, strategy: policy.Strategy
) -> Figures:
    """Ten archive downloads fill the link while the desk works."""
    del deployment
    alone = await policy_link.play(strategy.paced, downloads=False)
    beside = await policy_link.play(strategy.paced, downloads=True)
    calm = percentile(alone.desk, 0.99) * 1000
    busy = percentile(beside.desk, 0.99) * 1000
    return {
        "desk_p99_calm_ms": calm,
        "desk_p99_busy_ms": busy,
        "desk_p99_ratio": busy / calm,
        "bulk_share": policy_link.bulk_share(beside),
    }


Case = Callable[
    [deployments.Deployment, policy.Strategy], Coroutine[Any, Any, Figures]
]

_NO_LIMIT = policy.Strategy("fair queue alone", limited=False)
_LINE_ALONE = policy.Strategy("one line alone", fair=False, limited=False)
_STORM = policy.Strategy(
    "round robin, no budget", fair=False, balanced=False, budgeted=False
)
_UNPACED = policy.Strategy("no pacing", paced=False)
_DEALT = policy.Strategy("slots dealt out", fair=False, dealt=True)
CASES: dict[str, tuple[Case, tuple[policy.Strategy, ...]]] = {
    "surge": (surge, (*policy.STRATEGIES, _NO_LIMIT, _LINE_ALONE)),
    "lost-server": (lost_server, (*policy.STRATEGIES, _STORM)),
    "brown-out": (brown_out, (*policy.STRATEGIES, _STORM)),
    "link": (link, (policy.PRODUCT, _UNPACED)),
    "slots": (slots, (*policy.STRATEGIES[:2], _DEALT)),
}
"""The cases by name, with the strategies that are compared."""


def rows(deployment: str, case: str) -> list[Row]:
    """Plays one case under all its strategies.

    Args:
        deployment: Name of the deployment.
        case: Name of the case.
    """
    made = deployments.DEPLOYMENTS[deployment]
    play, strategies = CASES[case]
    return [
        Row(case, deployment, s.name, virtual.run(play(made, s)))
        for s in strategies
    ]
