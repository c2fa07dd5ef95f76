"""Randomized soak test of real daemons under injected faults.

The daemons run as separate processes. The store and the targets are stand-ins
in this process, reached through proxies. A seed determines the faults, which
come in series and overlap. Meanwhile callers keep their connections open and
send idempotent and non-idempotent requests. Then all faults are removed, and
the service must recover.

The soak injects no faults on links between daemons, as a daemon listens on the
address that it advertises, and none in clocks, as setting them takes privileges
that a test lacks. Paused processes substitute for both.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import enum
import itertools
import pathlib
import random
import signal
import time
from typing import Any

import msgspec

from mimosastile_gateway import http_client
from mimosastile_standins import fault_proxy
from mimosastile_standins import partitions
from mimosastile_standins import platform_store
from mimosastile_standins import platform_target
from mimosastile_standins import platform_world
from mimosastile_standins import soak_bodies
from mimosastile_standins import soak_daemons
from mimosastile_standins import soak_lateness
from mimosastile_standins import soak_notices
from mimosastile_standins import soak_odd_records
from mimosastile_standins import soak_oracle
from mimosastile_standins import soak_reach

_RECOVERY_SECONDS = 15.0
"""Guaranteed maximum time from the end of the last fault to recovery."""
_RECOVERED_SECONDS = 4.0
_MIN_SERVED_SHARE = 0.95
"""Least share of requests served after recovery. The remainder allows for
requests that a target fails."""
_UNDISTURBED_SECONDS = 3.0
"""Seconds without other faults after which a daemon that stops as planned must
respond to all requests."""
_MEAN_PAUSE_SECONDS = 0.05
_DEADLINE_MS = 2000
_START_TIMEOUT_SECONDS = 30.0
_MAX_KEPT_RULES = 6
"""Configuration versions whose routes are kept. Probes of older ones end."""
_PROBE_INTERVAL_SECONDS = 0.2
_ZONE_SHARE = 0.3
"""Share of the partitions that hit all VMs of a zone."""
_OK = 200
_SLOW_PERCENT = 1500
"""Duration of work while answers are copied, in percent of the usual one."""
_SLOW_READ_SECONDS = 0.3
"""Delay of each piece of a body that a target reads slowly."""
_SLOW_CONNECTIONS = 12
"""Connections that read or send bodies slowly at the same time."""
_MAX_MEMORY_MB = 300
"""Memory limit of a daemon: the platform's default."""
_FOREIGN_CHANGES: dict[str, dict[str, Any]] = {
    "fields missing": {},
    "other types": {"SeqNo": "x", "ConfigVersion": 7, "WarmupLeftMs": "0"},
    "unknown service": {"ServiceName": "nowhere"},
    "impossible port": {"Address": "127.0.0.1:99999"},
}
"""Changes of fields in registrations by another writer, by kind."""
_FOREIGN_OMITTED = {
    "fields missing": ("ConfigVersion", "WarmupLeftMs", "SeqNo")
}
"""Fields that registrations by another writer lack, by kind."""


class Hostile(enum.Enum):
    """Kinds of additional faults."""

    ANSWERS = "answers"
    ENTRIES = "entries"
    REFUSALS = "refusals"
    BODIES = "bodies"
    ODD = "odd"


class Plan(msgspec.Struct, frozen=True):
    """Size and duration of a soak.

    Attributes:
        seed: Seed of all random choices.
        seconds: Duration of fault injection.
        vms: Number of daemons.
        targets: Number of targets of each of the two services.
        callers: Number of callers, each with its own connection.
        out: Folder for settings, logs and the verdict.
        hostile: Additional faults: ANSWERS copies targets' earlier answers,
            ENTRIES writes registrations under their identifiers, REFUSALS
            refuses requests that have run, BODIES reads and sends bodies
            slowly or without end, ODD writes records in odd forms under all
            keys that daemons read.
    """

    seed: int
    seconds: float
    vms: int
    targets: int
    callers: int
    out: pathlib.Path
    hostile: frozenset[Hostile] = frozenset()


class Verdict(msgspec.Struct):
    """Result of a soak.

    Attributes:
        seed: Seed of the soak.
        wrong: Violated guarantees.
        faults: Injected faults, with seconds from the start.
        attempts: Number of callers' attempts by status.
        served_after: Share of requests served after recovery.
        runs: Number of requests that targets executed.
        lateness: Delay of changes at VMs that were not disturbed.
        reach: Service at VMs that were partitioned from all targets.
        peak_memory_mb: Largest resident memory of a daemon.
    """

    seed: int
    wrong: list[str]
    faults: list[str]
    attempts: dict[str, int]
    served_after: float
    runs: int
    lateness: soak_lateness.Lateness
    reach: soak_reach.Reach
    peak_memory_mb: int


class _ProxiedTarget:
    """A target and the proxy in front of it."""

    __slots__ = ("proxy", "target", "zone")

    def __init__(
        self,
        target: platform_target.PlatformTarget,
        proxy: fault_proxy.FaultProxy,
        zone: str,
    ) -> None:
        self.target = target
        self.proxy = proxy
        self.zone = zone


class Soak:
    """One execution of a soak plan."""

    __slots__ = (
        "_attempt_numbers",
        "_daemons",
        "_faults",
        "_feedback",
        "_hostile_rngs",
        "_in_rotation",
        "_last_fault_at",
        "_lateness",
        "_oracle",
        "_peak_memory_mb",
        "_plan",
        "_pool",
        "_probes",
        "_proxies",
        "_reach",
        "_rng",
        "_rules",
        "_started_at",
        "_stopping",
        "_store",
        "_store_address",
        "_target_numbers",
        "_targets",
        "_version_numbers",
    )

    def __init__(self, plan: Plan) -> None:
        """Initializes a soak without starting it."""
        self._plan = plan
        self._rng = random.Random(plan.seed)
        # One for each kind, so that the other faults of a seed stay the same.
        self._hostile_rngs = {
            kind: random.Random(f"{plan.seed}/{kind.value}") for kind in Hostile
        }
        self._oracle = soak_oracle.SoakOracle()
        self._feedback = soak_notices.FeedbackChecker()
        self._lateness = soak_lateness.LatenessChecker(self._feedback)
        self._reach = soak_reach.ReachChecker(self._feedback)
        self._rules: dict[int, dict[str, Any]] = {}
        self._probes: set[asyncio.Task[None]] = set()
        self._store = platform_store.PlatformStore()
        self._store_address = ""
        self._daemons: list[soak_daemons.SoakDaemon] = []
        self._proxies: dict[str, fault_proxy.FaultProxy] = {}
        self._targets: dict[str, _ProxiedTarget] = {}
        self._in_rotation: list[soak_daemons.SoakDaemon] = []
        self._pool = http_client.Pool(2.0)
        self._attempt_numbers = itertools.count(1)
        self._target_numbers = itertools.count(1)
        self._version_numbers = itertools.count(2)
        self._faults: list[str] = []
        self._last_fault_at = float("-inf")
        self._started_at = 0.0
        self._stopping = False
        self._peak_memory_mb = 0.0

    async def run(self) -> Verdict:
        """Executes the plan and returns the verdict."""
        try:
            await self._start()
            background = [
                asyncio.create_task(work)
                for work in (
                    self._update_rotation(),
                    self._check_owners(),
                    *(self._run_caller(i) for i in range(self._plan.callers)),
                )
            ]
            await asyncio.gather(
                self._inject_faults(),
                *map(self._inject_hostile_faults, self._plan.hostile),
            )
            healed_at = time.monotonic()
            await asyncio.sleep(_RECOVERY_SECONDS + _RECOVERED_SECONDS)
            self._stopping = True
            await asyncio.gather(*background)
            return self._make_verdict(healed_at + _RECOVERY_SECONDS)
        finally:
            await self._stop()

    # Processes and stand-ins.

    async def _start(self) -> None:
        self._store_address = await self._store.start()
        self._store.put("op/config", platform_world.configuration())
        for service in (platform_world.KEYED, platform_world.PLAIN):
            for _ in range(self._plan.targets):
                await self._add_target(service)
        for number in range(1, self._plan.vms + 1):
            proxy = fault_proxy.FaultProxy(self._store_address)
            address = await proxy.start()
            daemon = soak_daemons.SoakDaemon(number, address, self._plan.out)
            self._proxies[daemon.name] = proxy
            self._daemons.append(daemon)
            await daemon.start()
        async with asyncio.timeout(_START_TIMEOUT_SECONDS):
            while not await self._all_ready():
                await asyncio.sleep(0.2)
        self._in_rotation = list(self._daemons)
        await asyncio.sleep(_UNDISTURBED_SECONDS)
        self._started_at = time.monotonic()

    async def _stop(self) -> None:
        for daemon in self._daemons:
            await daemon.stop()
        for proxied in self._targets.values():
            proxied.target.stop()
            await proxied.proxy.stop()
        for proxy in self._proxies.values():
            await proxy.stop()
        self._store.stop()
        self._pool.close()

    async def _add_target(self, service: str, name: str = "") -> None:
        """Starts a target under a new name or that of a former incarnation."""
        number = next(self._target_numbers)
        name = name or f"t-{number}"
        target = platform_target.PlatformTarget(
            name,
            service,
            self._oracle.runs,
            keyed=service == platform_world.KEYED,
            work=0.01,
        )
        target.arrivals = self._feedback.arrivals
        target.on_grant = self._check_grant
        proxy = fault_proxy.FaultProxy(await target.start())
        zone = f"zone-{'ab'[number % 2]}"
        proxied = _ProxiedTarget(target, proxy, zone)
        self._targets[name] = proxied
        address = await proxy.start()
        self._store.put(
            f"servers/{name}",
            target.registration(address=address, zone=zone),
        )

    async def _all_ready(self) -> bool:
        responses = await asyncio.gather(*map(self._is_ready, self._daemons))
        return all(responses)

    async def _is_ready(self, daemon: soak_daemons.SoakDaemon) -> bool:
        try:
            response = await http_client.call(
                self._pool,
                daemon.ready_address,
                "GET",
                "/readiness",
                None,
                timeout=0.8,
                connect=0.5,
                idle=0.0,
            )
        except (http_client.NotSentError, http_client.ResponseLostError):
            return False
        return response.status == 200

    async def _update_rotation(self) -> None:
        """Removes daemons from rotation after two failed health checks."""
        misses: collections.Counter[str] = collections.Counter()
        while not self._stopping:
            responses = await asyncio.gather(
                *map(self._is_ready, self._daemons)
            )
            for daemon, ready in zip(self._daemons, responses, strict=True):
                misses[daemon.name] = 0 if ready else misses[daemon.name] + 1
            healthy = [d for d in self._daemons if misses[d.name] < 2]
            self._in_rotation = healthy or list(self._daemons)
            self._peak_memory_mb = max(
                self._peak_memory_mb,
                *(daemon.peak_memory_mb() for daemon in self._daemons),
            )
            await asyncio.sleep(1.0)

    async def _check_owners(self) -> None:
        while not self._stopping:
            self._oracle.check_owners(
                [
                    proxied.target
                    for proxied in self._targets.values()
                    if proxied.target.service == platform_world.KEYED
                ]
            )
            await asyncio.sleep(0.02)

    def _check_grant(
        self, target: platform_target.PlatformTarget, first: int, last: int
    ) -> None:
        others = [
            proxied.target
            for proxied in self._targets.values()
            if proxied.target is not target
            and proxied.target.service == target.service
        ]
        self._oracle.check_grant(target, others, first, last)

    # Callers.

    async def _run_caller(self, number: int) -> None:
        """Sends a caller's requests, reusing its connection while open."""
        rng = random.Random(f"{self._plan.seed}/{number}")
        connection: http_client.Connection | None = None
        daemon = self._daemons[0]
        while not self._stopping:
            if connection is None or not connection.reusable:
                daemon = rng.choice(self._in_rotation)
                try:
                    connection = await self._pool.connect(
                        daemon.callers_address, 0.0, 1.0
                    )
                except http_client.NotSentError:
                    await asyncio.sleep(0.2)
                    continue
            outcome = await self._send_request(connection, daemon, rng)
            if outcome is None:
                connection = None
                continue
            self._oracle.record_outcome(outcome)
            if outcome.status == 0:
                connection.abort()
                connection = None
            await asyncio.sleep(_MEAN_PAUSE_SECONDS * rng.random() * 2)
        if connection is not None:
            connection.close()

    async def _send_request(
        self,
        connection: http_client.Connection,
        daemon: soak_daemons.SoakDaemon,
        rng: random.Random,
    ) -> soak_oracle.Outcome | None:
        """Sends one request; returns None if the connection was closed."""
        attempt = f"a{next(self._attempt_numbers)}"
        repeatable = rng.random() < 0.7
        path, method, body = "/read/x", "GET", None
        headers: list[tuple[bytes, bytes]] = [
            (b"X-Attempt-Id", attempt.encode()),
            (b"X-Deadline-Ms", b"%d" % _DEADLINE_MS),
        ]
        if repeatable:
            headers.append((b"X-Shard-Key", b"%d" % rng.randrange(65536)))
        else:
            path, method, body = f"/issue/{attempt}", "POST", b"letter"
        request = http_client.request(
            platform_world.HOST, method, path, body, headers
        )
        began = time.monotonic()
        self._feedback.record_request(attempt, daemon.name, began)
        status, body_received, echoed = 0, b"", ""
        try:
            response = connection.start(request)
            async with asyncio.timeout(_DEADLINE_MS / 1000 + 0.5):
                await connection.wait_complete(response, 1 << 30)
            status, body_received = response.status, response.take()
            echoed = (response.header(b"x-attempt-id") or b"").decode()
            self._record_feedback(attempt, daemon, response)
        except http_client.NotSentError:
            return None
        except (http_client.ResponseLostError, TimeoutError):
            pass
        text = body_received.rstrip(b"\0")
        return soak_oracle.Outcome(
            attempt,
            repeatable,
            began,
            daemon.name,
            status,
            text,
            echoed,
            self._must_respond(daemon, began),
            len(body_received) - len(text),
        )

    def _record_feedback(
        self,
        attempt: str,
        daemon: soak_daemons.SoakDaemon,
        response: http_client.IncomingResponse,
    ) -> None:
        """Records the target feedback in a response that a daemon forwarded."""
        limited = response.header(b"server-limit") is not None
        leaving = response.header(b"server-leaving") is not None
        if limited or leaving:
            self._feedback.record_feedback(
                soak_notices.ForwardedFeedback(
                    attempt,
                    daemon.name,
                    time.monotonic(),
                    limited,
                    leaving,
                )
            )

    def _must_respond(
        self, daemon: soak_daemons.SoakDaemon, began: float
    ) -> bool:
        """Whether a planned stop is the only disturbance of a daemon."""
        no_fault = began - self._last_fault_at > _UNDISTURBED_SECONDS
        no_signal = began - daemon.signalled_at > _UNDISTURBED_SECONDS
        return daemon.stopping_since is not None and no_fault and no_signal

    # Faults.

    async def _inject_faults(self) -> None:
        """Injects faults, singly, in series or concurrently."""
        ends = time.monotonic() + self._plan.seconds
        under_way: list[asyncio.Future[None]] = []
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._signal_vms,
            self._pause_vms,
            self._inject_store_fault,
            self._inject_store_link_fault,
            self._inject_target_link_fault,
            self._restart_targets,
            self._replace_targets,
            self._limit_targets,
            self._shed_requests,
            self._change_configuration,
            self._partition_vms,
        ]
        while time.monotonic() < ends:
            kind = self._rng.choice(kinds)
            for _ in range(self._rng.choice((1, 1, 2, 3))):
                under_way.append(asyncio.ensure_future(kind()))
                await asyncio.sleep(self._rng.uniform(0.05, 1.0))
            await asyncio.sleep(self._rng.choice((0.0, 0.5, 2.0, 5.0)))
        await asyncio.gather(*under_way)
        self._record_fault("healed")

    async def _inject_hostile_faults(self, kind: Hostile) -> None:
        """Injects faults of one additional kind, one at a time."""
        inject = {
            Hostile.ANSWERS: self._copy_answers,
            Hostile.ENTRIES: self._write_for_target,
            Hostile.REFUSALS: self._refuse_unmarked,
            Hostile.BODIES: self._hold_bodies,
            Hostile.ODD: self._write_odd_record,
        }[kind]
        ends = time.monotonic() + self._plan.seconds
        while time.monotonic() < ends:
            await inject()
            await asyncio.sleep(self._hostile_rngs[kind].uniform(0.1, 1.0))

    async def _copy_answers(self) -> None:
        """Makes targets send earlier answers again, as well to orders."""
        rng = self._hostile_rngs[Hostile.ANSWERS]
        names = rng.sample(sorted(self._targets), 3)
        share = rng.choice((0.03, 0.3))
        seconds = rng.uniform(1.0, 4.0)
        self._record_fault(
            f"targets {names} copy {share} of their answers, {seconds:.1f} s"
        )
        chosen = [self._targets[name] for name in names]
        copies = random.Random(rng.random())
        for proxied in chosen:
            proxied.target.slowness = _SLOW_PERCENT
            proxied.proxy.copies_answer = lambda: copies.random() < share
            proxied.proxy.crosses_answer = lambda: copies.random() < share
        await self._wait_during_fault(seconds)
        for proxied in chosen:
            proxied.target.slowness = 100
            proxied.proxy.stop_copies()

    async def _hold_bodies(self) -> None:
        """Makes callers and targets slow or endless; one kind at a time."""
        rng = self._hostile_rngs[Hostile.BODIES]
        seconds = rng.uniform(1.0, 3.0)
        kind = rng.choice(("callers", "targets", *soak_bodies.ENDLESS_KINDS))
        self._record_fault(f"{kind} slow or endless, {seconds:.1f} s")
        chosen = [
            self._targets[name] for name in rng.sample(sorted(self._targets), 2)
        ]
        for proxied in chosen:
            proxied.target.padding_bytes = soak_bodies.BODY_BYTES
            if kind == "targets":
                proxied.proxy.set_fault(
                    fault_proxy.LinkFault.DELAY, _SLOW_READ_SECONDS
                )
            elif kind != "callers":
                proxied.proxy.endless = soak_bodies.endless(kind)
        work = (
            soak_bodies.send_slowly
            if kind == "targets"
            else soak_bodies.read_slowly
        )
        addresses = [d.callers_address for d in self._daemons]
        await asyncio.gather(
            self._wait_during_fault(seconds),
            *(
                work(rng.choice(addresses), seconds, rng)
                for _ in range(_SLOW_CONNECTIONS)
            ),
        )
        for proxied in chosen:
            proxied.target.padding_bytes = 0
            proxied.proxy.endless = None
            if kind == "targets":
                proxied.proxy.set_fault(fault_proxy.LinkFault.NONE)

    async def _refuse_unmarked(self) -> None:
        """Makes targets refuse what they have run, as if they had not."""
        rng = self._hostile_rngs[Hostile.REFUSALS]
        names = rng.sample(sorted(self._targets), 2)
        status = rng.choice(sorted(soak_oracle.REFUSALS))
        seconds = rng.uniform(0.5, 3.0)
        self._record_fault(
            f"targets {names} run and refuse with {status}, {seconds:.1f} s"
        )
        chosen = [self._targets[name].target for name in names]
        for target in chosen:
            target.fault = platform_target.Fault.UNMARKED
            target.unmarked_status = status
        await self._wait_during_fault(seconds)
        for target in chosen:
            target.fault = platform_target.Fault.NONE

    async def _write_for_target(self) -> None:
        """Writes a registration under a target's identifier."""
        rng = self._hostile_rngs[Hostile.ENTRIES]
        name = rng.choice(sorted(self._targets))
        value = self._store.value(f"servers/{name}")
        if value is None:
            return
        own = msgspec.json.decode(value)
        foreign = dict(own)
        foreign["born"] = own["born"] + rng.randrange(1, 5000)
        kind = rng.choice(sorted(_FOREIGN_CHANGES))
        foreign |= _FOREIGN_CHANGES[kind]
        for field in _FOREIGN_OMITTED.get(kind, ()):
            del foreign[field]
        seconds = rng.uniform(0.2, 1.5)
        self._record_fault(f"foreign entry of {name}, {kind}, {seconds:.1f} s")
        self._store.put(f"servers/{name}", foreign)
        await self._wait_during_fault(seconds)
        if self._store.value(f"servers/{name}") is not None:
            self._store.put(f"servers/{name}", own)

    async def _write_odd_record(self) -> None:
        """Has another writer put a record in an odd form into the store."""
        rng = self._hostile_rngs[Hostile.ODD]
        records = soak_odd_records.OddRecords(self._store, rng)
        seconds = rng.uniform(0.2, 2.0)
        self._record_fault(f"odd record {records.write()}, {seconds:.1f} s")
        await self._wait_during_fault(seconds)
        records.take_back()

    def _record_fault(self, what: str) -> None:
        seconds = time.monotonic() - self._started_at
        self._faults.append(f"{seconds:7.2f} {what}")

    def _sample_daemons(self, count: int) -> list[soak_daemons.SoakDaemon]:
        return self._rng.sample(self._daemons, min(count, len(self._daemons)))

    async def _signal_vms(self) -> None:
        signal_number = self._rng.choice(
            (signal.SIGTERM, signal.SIGTERM, signal.SIGKILL, signal.SIGHUP)
        )
        for daemon in self._sample_daemons(self._rng.choice((1, 1, 2, 4))):
            self._record_fault(f"{signal_number.name} {daemon.name}")
            if signal_number is signal.SIGKILL:
                self._last_fault_at = time.monotonic()
            if signal_number is not signal.SIGHUP:
                self._feedback.record_vm_fault(daemon.name, time.monotonic())
            daemon.send_signal(signal_number)
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))

    async def _pause_vms(self) -> None:
        chosen = self._sample_daemons(self._rng.choice((1, 1, 2)))
        seconds = self._rng.uniform(0.2, 4.0)
        self._record_fault(
            f"paused {[d.name for d in chosen]} for {seconds:.1f} s"
        )
        for daemon in chosen:
            daemon.send_signal(signal.SIGSTOP)
            self._feedback.record_vm_fault(daemon.name, time.monotonic())
        await self._wait_during_fault(seconds)
        for daemon in chosen:
            daemon.send_signal(signal.SIGCONT)
            self._feedback.record_vm_fault(daemon.name, time.monotonic())

    async def _inject_store_fault(self) -> None:
        behaviors = platform_store.Behavior
        behavior = self._rng.choice(
            (
                behaviors.BUSY,
                behaviors.SILENT,
                behaviors.LOSES_RESPONSES,
                behaviors.HEALTHY,
            )
        )
        seconds = self._rng.uniform(0.5, 5.0)
        self._record_fault(f"store {behavior.value} for {seconds:.1f} s")
        if behavior is behaviors.HEALTHY:
            self._store.drop_history()
        self._store.behavior = behavior
        began = time.monotonic()
        await self._wait_during_fault(seconds)
        self._store.behavior = behaviors.HEALTHY
        self._feedback.record_link_fault(began, time.monotonic())

    async def _inject_store_link_fault(self) -> None:
        fault = self._draw_link_fault()
        chosen = self._sample_daemons(self._rng.choice((1, 2, 3)))
        seconds = self._rng.uniform(0.5, 5.0)
        self._record_fault(
            f"store link {fault.value} for {[d.name for d in chosen]},"
            f" {seconds:.1f} s"
        )
        proxies = [self._proxies[daemon.name] for daemon in chosen]
        for daemon in chosen:
            self._feedback.record_vm_fault(daemon.name, time.monotonic())
        await self._apply_link_fault(proxies, fault, seconds)
        for daemon in chosen:
            self._feedback.record_vm_fault(daemon.name, time.monotonic())

    async def _partition_vms(self) -> None:
        """Cuts daemons off from all targets; all of a zone in some cases."""
        chosen = self._sample_daemons(self._rng.choice((1, 2, 3)))
        if self._rng.random() < _ZONE_SHARE:
            zone = chosen[0].zone
            chosen = [d for d in self._daemons if d.zone == zone]
        modes = list(partitions.PartitionMode)[1:]
        mode = self._rng.choice(modes)
        seconds = self._rng.uniform(0.5, 8.0)
        names = [daemon.name for daemon in chosen]
        self._record_fault(
            f"{names} without targets, {mode.value}, {seconds:.1f} s"
        )
        began = time.monotonic()
        for daemon in chosen:
            daemon.set_partition(mode)
        await self._wait_during_fault(seconds)
        for daemon in chosen:
            daemon.set_partition(partitions.PartitionMode.NONE)
        ended = time.monotonic()
        self._reach.record_partition(
            soak_reach.Partitioned(frozenset(names), began, ended)
        )
        for name in names:
            self._feedback.record_detour(name, began, ended)

    async def _inject_target_link_fault(self) -> None:
        fault = self._draw_link_fault()
        names = self._rng.sample(sorted(self._targets), 2)
        seconds = self._rng.uniform(0.5, 5.0)
        self._record_fault(
            f"target link {fault.value} for {names}, {seconds:.1f} s"
        )
        proxies = [self._targets[name].proxy for name in names]
        await self._apply_link_fault(proxies, fault, seconds)

    def _draw_link_fault(self) -> fault_proxy.LinkFault:
        faults = [f for f in fault_proxy.LinkFault if f.value != "none"]
        return self._rng.choice(faults)

    async def _apply_link_fault(
        self,
        proxies: list[fault_proxy.FaultProxy],
        fault: fault_proxy.LinkFault,
        seconds: float,
    ) -> None:
        delay = self._rng.uniform(0.01, 0.6)
        for proxy in proxies:
            proxy.set_fault(fault, delay)
        began = time.monotonic()
        await self._wait_during_fault(seconds)
        self._feedback.record_link_fault(began, time.monotonic())
        for proxy in proxies:
            proxy.set_fault(fault_proxy.LinkFault.NONE)

    async def _restart_targets(self) -> None:
        """Crashes a target and restarts it under its name without state."""
        name = self._rng.choice(sorted(self._targets))
        self._record_fault(f"target {name} crashes and restarts")
        proxied = self._targets.pop(name)
        proxied.target.stop()
        await proxied.proxy.stop()
        await self._wait_during_fault(self._rng.uniform(0.1, 4.0))
        await self._add_target(proxied.target.service, name)

    async def _replace_targets(self) -> None:
        """Replaces a target as planned; its successor starts first."""
        name = self._rng.choice(sorted(self._targets))
        self._record_fault(f"target {name} leaves")
        proxied = self._targets[name]
        await self._add_target(proxied.target.service)
        leaving = proxied.target.registration("draining", "", proxied.zone)
        leaving["Address"] = await self._address_of(name)
        # Its responses and its registration announce this in either order.
        loop = asyncio.get_running_loop()
        feedback_delay, registration_delay = self._rng.choice(
            ((0, 3), (3, 0), (0, 0))
        )
        loop.call_later(
            feedback_delay, setattr, proxied.target, "leaving", True
        )
        await self._wait_during_fault(registration_delay)
        self._store.put(f"servers/{name}", leaving)
        self._feedback.record_leaving(proxied.target, time.monotonic())
        await self._wait_during_fault(self._rng.uniform(4.0, 8.0))
        if self._targets.get(name) is proxied:
            self._store.remove(f"servers/{name}")
            del self._targets[name]
            proxied.target.stop()
            await proxied.proxy.stop()

    async def _limit_targets(self) -> None:
        """Makes targets set a rate limit in their responses for a time."""
        free = [
            name
            for name, proxied in sorted(self._targets.items())
            if proxied.target.limit is None
        ]
        names = self._rng.sample(free, min(len(free), 2))
        targets = [self._targets[name].target for name in names]
        rate = self._rng.choice((0.4, 3.1, 6.1))
        self._record_fault(f"targets {names} set a limit of {rate} requests/s")
        began = time.monotonic()
        for target in targets:
            target.limit = rate
        await self._wait_during_fault(self._rng.uniform(6.0, 12.0))
        for target in targets:
            self._feedback.record_limit(target, rate, began, time.monotonic())
            target.limit = None

    async def _shed_requests(self) -> None:
        """Makes a target shed requests and ask for backoff."""
        name = self._rng.choice(sorted(self._targets))
        target = self._targets[name].target
        seconds = self._rng.uniform(1.0, 4.0)
        self._record_fault(f"target {name} asks for backoff of {seconds:.1f} s")
        target.rest = seconds
        target.fault = platform_target.Fault.SHED
        await self._wait_during_fault(seconds)
        target.fault = platform_target.Fault.NONE
        target.rest = 0.0

    async def _address_of(self, name: str) -> str:
        value = self._store.value(f"servers/{name}") or b"{}"
        return str(msgspec.json.decode(value).get("Address", ""))

    async def _change_configuration(self) -> None:
        version = next(self._version_numbers)
        self._record_fault(f"configuration {version}")
        timeout = self._rng.choice((1500, 2000, 2500))
        self._rules[version] = platform_world.rule(
            f"v{version}", "idempotent", f"/v{version}/", platform_world.PLAIN
        )
        while len(self._rules) > _MAX_KEPT_RULES:
            del self._rules[min(self._rules)]
        self._store.put(
            "op/config",
            platform_world.configuration(
                version,
                plain_timeout=timeout,
                extra=tuple(self._rules.values()),
            ),
        )
        self._lateness.record_version(version, time.monotonic())
        for daemon in self._daemons:
            probe = asyncio.create_task(self._probe(daemon, version))
            self._probes.add(probe)
            probe.add_done_callback(self._probes.discard)

    async def _probe(
        self, daemon: soak_daemons.SoakDaemon, version: int
    ) -> None:
        """Requests a new route from a daemon until it serves the route."""
        while version in self._rules and not self._stopping:
            sent_at = time.monotonic()
            status = await self._probe_once(daemon, version)
            if version not in self._rules:
                return
            self._lateness.record_probe(
                soak_lateness.Probe(daemon.name, version, sent_at, status)
            )
            if status == _OK:
                return
            await asyncio.sleep(_PROBE_INTERVAL_SECONDS)

    async def _probe_once(
        self, daemon: soak_daemons.SoakDaemon, version: int
    ) -> int:
        """Requests a new route; returns the status, 0 without a response."""
        attempt = f"p{next(self._attempt_numbers)}"
        request = http_client.request(
            platform_world.HOST,
            "GET",
            f"/v{version}/{attempt}",
            None,
            (
                (b"X-Attempt-Id", attempt.encode()),
                (b"X-Deadline-Ms", b"%d" % _DEADLINE_MS),
            ),
        )
        try:
            connection = await self._pool.connect(
                daemon.callers_address, 0.0, 0.5
            )
        except http_client.NotSentError:
            return 0
        try:
            response = connection.start(request)
            async with asyncio.timeout(_DEADLINE_MS / 1000):
                await connection.wait_complete(response, 1 << 30)
            return response.status
        except (
            http_client.NotSentError,
            http_client.ResponseLostError,
            TimeoutError,
        ):
            return 0
        finally:
            connection.abort()

    async def _wait_during_fault(self, seconds: float) -> None:
        ends = time.monotonic() + seconds
        while (left := ends - time.monotonic()) > 0:
            self._last_fault_at = time.monotonic()
            await asyncio.sleep(min(left, 0.2))
        self._last_fault_at = time.monotonic()

    # Verdict.

    def _make_verdict(self, recovered: float) -> Verdict:
        oracle = self._oracle
        oracle.finish()
        oracle.violations.extend(self._feedback.violations())
        oracle.violations.extend(self._lateness.violations())
        oracle.violations.extend(self._lateness.never_taken(recovered))
        oracle.violations.extend(self._reach.violations(oracle.outcomes))
        share = oracle.served_share(recovered, recovered + _RECOVERED_SECONDS)
        if share < _MIN_SERVED_SHARE:
            oracle.violations.append(
                f"only {share:.3f} of requests served after recovery"
            )
        oracle.violations.extend(
            f"{daemon.name} exited unexpectedly {daemon.unexpected_exits} times"
            for daemon in self._daemons
            if daemon.unexpected_exits
        )
        if self._peak_memory_mb > _MAX_MEMORY_MB:
            oracle.violations.append(
                f"a daemon held {self._peak_memory_mb:.0f} MB"
            )
        counts = collections.Counter(str(o.status) for o in oracle.outcomes)
        return Verdict(
            self._plan.seed,
            oracle.violations,
            self._faults,
            dict(counts),
            round(share, 4),
            len(oracle.runs),
            self._lateness.report(),
            self._reach.report(oracle.outcomes),
            round(self._peak_memory_mb),
        )


async def run(plan: Plan) -> Verdict:
    """Executes a soak and writes its verdict next to its logs.

    Args:
        plan: Size and duration of the soak.

    Returns:
        The verdict.
    """
    verdict = await Soak(plan).run()
    path = plan.out / "verdict.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(verdict)))
    return verdict
