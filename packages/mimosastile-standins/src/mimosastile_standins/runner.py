"""Runs a scenario in virtual time and reports the oracle's verdict."""

import asyncio
import collections
from collections.abc import Coroutine
import random
from typing import Any

import msgspec

from mimosastile_core import config
from mimosastile_core import fleet
from mimosastile_core import keys
from mimosastile_core import patches
from mimosastile_standins import deployments
from mimosastile_standins import network
from mimosastile_standins import oracle
from mimosastile_standins import scenario
from mimosastile_standins import target
from mimosastile_standins import verbs
from mimosastile_standins import virtual
from mimosastile_standins import world

_TICK_SECONDS = 0.02
_COOLDOWN_SECONDS = 6.0
_CALL_SECONDS = 4.0
_NEVER = float("inf")
_RESEND_INTERVAL_SECONDS = 0.5


class Measures(msgspec.Struct, frozen=True):
    """Measures of balance, churn and availability, and callers' figures.

    Attributes:
        imbalance: Most slices on a target divided by the mean.
        churn: Slices that changed owner divided by all slices.
        unavailable: Longest time in seconds without a successful response for
            a requested key, over all keys.
        unavailable_p99: 99th percentile of this time over the keys.
        sent: Requests sent.
        failed: Failed requests.
        p99: 99th percentile of the latency of successful requests, in seconds.
        store_calls: Store calls per second.
    """

    imbalance: float
    churn: float
    unavailable: float
    unavailable_p99: float
    sent: int
    failed: int
    p99: float
    store_calls: float


class Verdict(msgspec.Struct, frozen=True):
    """Result of a scenario.

    Attributes:
        title: Title of the scenario.
        violations: Violated guarantees.
        missed: Failed expectations.
        measures: The measures.
        trace: Steps and failed requests, with times.
    """

    title: str
    violations: tuple[oracle.Violation, ...]
    missed: tuple[str, ...]
    measures: Measures
    trace: tuple[str, ...]

    @property
    def good(self) -> bool:
        """Whether all guarantees and expectations held."""
        return not self.violations and not self.missed


def run(spec: scenario.Scenario, seed: int | None = None) -> Verdict:
    """Runs a scenario.

    Args:
        spec: The scenario.
        seed: Replaces the scenario's own seed.
    """
    number = spec.seed if seed is None else seed
    return virtual.run(_ScenarioRun(spec, number).execute())


class _ScenarioRun:
    """State of a running scenario."""

    __slots__ = (
        "_began",
        "_calls_before",
        "_checked",
        "_deployment",
        "_frozen",
        "_keyed",
        "_load",
        "_missed",
        "_number",
        "_oracle",
        "_owners",
        "_rng",
        "_services",
        "_spec",
        "_tasks",
        "_trace",
        "_world",
    )

    def __init__(self, spec: scenario.Scenario, seed: int) -> None:
        self._spec = spec
        self._rng = random.Random(seed)
        self._deployment = deployments.DEPLOYMENTS[spec.deployment]
        between = network.Network(
            self._deployment.in_zone,
            self._deployment.between_zones,
            self._deployment.between_regions,
        )
        self._world = world.World(seed, between)
        self._oracle = oracle.Oracle(self._world, self._now)
        self._load = scenario.Load(at=0.0)
        self._services = sorted(self._deployment.backends)
        self._keyed = next(
            name
            for name, backend in self._deployment.backends.items()
            if backend.service.key is not None
        )
        self._owners: dict[int, str] = {}
        self._frozen: set[str] = set()
        self._missed: list[str] = []
        self._trace: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._began = 0.0
        self._calls_before = 0
        self._checked = 0
        self._number = 1

    async def execute(self) -> Verdict:
        """Runs the scenario and returns the verdict."""
        await self._world.deploy(self._deployment)
        for target_ in self._world.targets.values():
            self._oracle.watch(target_)
        self._began = virtual.now()
        self._calls_before = self._world.store.calls.total()
        self._owners = self._slice_owners()
        background = [
            asyncio.create_task(self._observe()),
            asyncio.create_task(self._send_load()),
        ]
        for step in self._spec.steps:
            await asyncio.sleep(max(0.0, step.at - self._now()))
            self._add_trace(f"{step}")
            await verbs.execute(step, self)
        await asyncio.sleep(max(0.0, self._spec.seconds - self._now()))
        background[1].cancel()
        await asyncio.sleep(_COOLDOWN_SECONDS)
        background[0].cancel()
        for task in background:
            self._raise_failure(task)
        self._oracle.finish()
        return self._verdict()

    def _now(self) -> float:
        return virtual.now() - self._began

    def _add_trace(self, line: str) -> None:
        self._trace.append(f"{self._now():8.3f} {line}")

    @staticmethod
    def _raise_failure(task: asyncio.Task[None]) -> None:
        if task.done() and not task.cancelled():
            task.result()

    async def _observe(self) -> None:
        while True:
            self._oracle.tick()
            await asyncio.sleep(_TICK_SECONDS)

    # Load.

    async def _send_load(self) -> None:
        for number in range(1 << 30):
            rate = self._load.rate
            if rate <= 0:
                await asyncio.sleep(_TICK_SECONDS)
                continue
            await asyncio.sleep(self._rng.expovariate(rate))
            entries = sorted(self._world.daemons)
            if entries:
                self.spawn(self._call(number, self._rng.choice(entries)))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Starts a background task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, number: int, entry: str) -> None:
        service = self._rng.choice((self._keyed, *self._services))
        key = f"k{self._rng.randrange(self._load.keys)}"
        method = "POST" if self._rng.random() < self._load.writes else "GET"
        path, request_id = f"/{service}/{key}", f"r{number}"
        began = virtual.now()
        status, body = await self._world.call(
            entry, method, path, request_id, _CALL_SECONDS
        )
        keyed = key if service == self._keyed else ""
        record = oracle.CallRecord(
            request_id,
            method,
            path,
            keyed,
            began,
            virtual.now(),
            status,
            body,
            entry,
        )
        self._oracle.record_call(record)
        if not record.good:
            self._add_trace(f"{entry} {method} {path}: {status} {body!r}")

    async def send_deadly(self, step: scenario.Deadly) -> None:
        """Sends a request repeatedly that crashes each target."""
        path = f"/{self._keyed}/{step.key}{target.DEADLY}"
        for _ in range(step.times):
            entry = self._rng.choice(sorted(self._world.daemons))
            status, body = await self._world.call(entry, "POST", path)
            self._add_trace(f"{entry} {path}: {status} {body!r}")
            crashed = [r for r in self._world.targets.values() if r.crashed]
            for target_ in crashed if step.restart else ():
                target_.restart()
            await asyncio.sleep(_RESEND_INTERVAL_SECONDS)

    # Verbs.

    def resolve(self, name: str) -> str:
        """Returns the VM to which `owner:KEY` or `keeper:KEY` refers now."""
        kind, _, key = name.partition(":")
        if not key:
            return name
        position = keys.key_hash(key)
        for block in self._world.blocks(self._keyed):
            for slice_ in block.slices:
                if slice_.first <= position <= slice_.last:
                    if kind == "owner":
                        return slice_.owner
                    return block.keepers[slice_.owner].vm
        return name

    @property
    def world(self) -> world.World:
        """The deployment."""
        return self._world

    @property
    def oracle(self) -> oracle.Oracle:
        """The oracle."""
        return self._oracle

    @property
    def frozen(self) -> set[str]:
        """The currently frozen VMs."""
        return self._frozen

    def crash(self, vm: str) -> None:
        """Crashes a target or a daemon."""
        if vm in self._world.targets:
            self._world.targets[vm].crash()
        elif vm in self._world.daemons:
            self._oracle.killed(vm)
            self._world.kill_daemon(vm)

    async def crash_later(self, vm: str, seconds: float) -> None:
        """Crashes a target or a daemon after a delay in seconds."""
        await asyncio.sleep(seconds)
        self.crash(vm)

    def set_load(self, load: scenario.Load) -> None:
        """Sets the callers' load and the targets' service time."""
        self._load = load
        for target_ in self._world.targets.values():
            target_.service_time = load.busy

    async def configure(self, member: str) -> None:
        """Stores the next configuration with an additional member."""
        self._number += 1
        document = self._deployment.document()
        members = document.members | {member: config.Member()}
        await self._world.configure(
            msgspec.structs.replace(document, members=members), self._number
        )

    async def race(self, members: tuple[str, ...]) -> None:
        """Submits concurrent patches against the same number."""
        daemons = sorted(self._world.daemons.items())
        submissions = [
            kernel.find("configuration").apply(
                self._patch(member), vm, lambda paths: None
            )
            for member, (vm, kernel) in zip(members, daemons, strict=False)
        ]
        outcomes = await asyncio.gather(*submissions)
        for outcome in outcomes:
            self._add_trace(f"race: {outcome}")
        accepted = sum(outcome.is_ok() for outcome in outcomes)
        self._expect(accepted <= 1, f"{accepted} racing patches were accepted")
        self._number += accepted

    def _patch(self, member: str) -> patches.Patch:
        add = patches.Operation("add", f"/members/{member}", {})
        return patches.Patch(
            f"patch-{member}", self._number, "concurrent patch", (add,)
        )

    def check(self, expected: scenario.Expect) -> None:
        """Records the expectations that do not hold."""
        calls = self._oracle.calls[self._checked :]
        self._checked = len(self._oracle.calls)
        failed = sum(not record.good for record in calls)
        self._expect(
            expected.failed is None or failed <= expected.failed,
            f"{failed} requests failed, at most {expected.failed} allowed",
        )
        for key, changed in (
            (expected.owner_changed, True),
            (expected.owner_kept, False),
        ):
            if key:
                self._check_owner(key, changed)
        if expected.in_force:
            self._check_in_force()
        if expected.settled:
            self._expect(
                self._world.is_settled(self._keyed),
                "an owner lacks a grant for its slices",
            )
        self._check_limits(expected)

    def _check_owner(self, key: str, changed: bool) -> None:
        position = keys.key_hash(key)
        before = _owner_at(self._owners, position)
        now = _owner_at(self._slice_owners(), position)
        self._expect(
            bool(now) and (now != before) is changed,
            f"owner of {key} was {before} and is {now}",
        )

    def _check_in_force(self) -> None:
        outdated = [
            vm
            for vm, kernel in self._world.daemons.items()
            if kernel.find("state").replica.config.number != self._number
        ]
        self._expect(
            not outdated,
            f"configuration {self._number} is not in force on {outdated}",
        )

    def _check_limits(self, expected: scenario.Expect) -> None:
        if expected.unavailable is not None:
            longest = max(self._outages().values(), default=0.0)
            self._expect(
                longest <= expected.unavailable,
                f"a key was unavailable for {longest:.2f} s",
            )
        if expected.deaths is not None:
            deaths = sum(r.deadly_crashes for r in self._world.targets.values())
            self._expect(
                deaths <= expected.deaths, f"{deaths} targets were crashed"
            )
        if expected.store_calls is not None:
            rate = self._store_rate()
            self._expect(
                rate <= expected.store_calls,
                f"{rate:.1f} store calls per second",
            )

    def _expect(self, holds: bool, problem: str) -> None:
        if not holds:
            self._missed.append(f"{self._now():.1f} s: {problem}")

    # Measures.

    def _slice_owners(self) -> dict[int, str]:
        return {
            s.first: s.owner
            for b in self._world.blocks(self._keyed)
            for s in b.slices
        }

    def _fair_share(self, owners: dict[int, str]) -> float:
        """Returns the mean number of slices per usable target."""
        listed = self._world.fleet.read(virtual.now())
        usable = sum(
            vm.service == self._keyed
            and vm.state is fleet.VmState.LIVE
            and not self._world.targets[vm.id].crashed
            for vm in listed
        )
        return len(owners) / max(1, usable)

    def _store_rate(self) -> float:
        calls = self._world.store.calls.total() - self._calls_before
        return calls / max(self._now(), 1e-9)

    def _outages(self) -> dict[str, float]:
        """Returns the longest time of each key without a successful response.

        The time of a request is from its sending to the earliest successful
        response to this or a later request, or until now without one.
        """
        outages: dict[str, float] = collections.defaultdict(float)
        answered: dict[str, float] = {}
        keyed = (r for r in self._oracle.calls if r.key)
        for record in sorted(keyed, key=lambda r: r.began, reverse=True):
            key = record.key
            if record.good:
                answered[key] = min(answered.get(key, _NEVER), record.ended)
            end = answered.get(key, virtual.now())
            outages[key] = max(outages[key], end - record.began)
        return outages

    def _verdict(self) -> Verdict:
        owners = self._slice_owners()
        counts = collections.Counter(owners.values())
        calls = self._oracle.calls
        outages = sorted(self._outages().values())
        good = sorted(r.ended - r.began for r in calls if r.good)
        moved = sum(owners[at] != self._owners.get(at) for at in owners)
        return Verdict(
            title=self._spec.title,
            violations=tuple(self._oracle.violations),
            missed=tuple(self._missed),
            measures=Measures(
                imbalance=max(counts.values()) / self._fair_share(owners),
                churn=moved / len(owners),
                unavailable=_percentile(outages, 1.0),
                unavailable_p99=_percentile(outages, 0.99),
                sent=len(calls),
                failed=sum(not r.good for r in calls),
                p99=_percentile(good, 0.99),
                store_calls=self._store_rate(),
            ),
            trace=tuple(self._trace),
        )


def _percentile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def _owner_at(owners: dict[int, str], position: int) -> str:
    first = max((f for f in owners if f <= position), default=None)
    return owners[first] if first is not None else ""
