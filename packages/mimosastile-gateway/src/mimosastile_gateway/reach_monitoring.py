"""Watches which targets this VM can open connections to."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from mimosastile_core.gateway import directory
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import reachability
from mimosastile_gateway import background_tasks
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events
from mimosastile_gateway import http_client

_PROBE_SECONDS = 0.25
"""Mean interval between two attempts to reach an isolated service again."""
_OVERDUE_SHARE = 0.5
"""Part of the connect timeout from which an attempt that ended without any
outcome counts as one that hung."""
_BRIEF_SHARE = 0.3
"""Part of the connect timeout from which one counts toward a suspicion: probes
are given up before the other part, and while all of them fail, no request makes
any attempt."""
_PROOF_TARGETS = 3
"""Targets at which a VM attempts to connect to prove its path to a service."""


class ReachMonitor:
    """Attributes connection attempts to targets and records their outcome.

    It verifies itself whether the path to a service is lost. While a service is
    isolated, its requests take another way, so this monitor also attempts to
    connect to its targets.

    Attributes:
        on_change: Called when an isolation has begun or ended.
    """

    __slots__ = (
        "_balancer",
        "_clock",
        "_cluster",
        "_events",
        "_connect_timeout",
        "_outdated",
        "_pool",
        "_probing",
        "_reachability",
        "_target_counts",
        "_stopped",
        "_suspected_at",
        "_tasks",
        "_targets_by_address",
        "_verifying",
        "on_change",
    )

    def __init__(
        self,
        pool: http_client.Pool,
        connect_timeout: float,
        cluster: cluster_state.ClusterState,
        balancer: load_balancing.LoadBalancer,
        timer: clock.Clock,
        event_log: events.EventLog,
    ) -> None:
        """Creates a monitor without any recorded attempt.

        Args:
            pool: Connections to targets.
            connect_timeout: Connect timeout in seconds.
            cluster: This VM's view of the cluster.
            balancer: Loads of targets.
            timer: The clock.
            event_log: The event log.
        """
        self._pool = pool
        self._connect_timeout = connect_timeout
        self._cluster = cluster
        self._balancer = balancer
        self._clock = timer
        self._events = event_log
        self._tasks = background_tasks.BackgroundTasks(event_log)
        self._reachability = reachability.Reachability()
        self._targets_by_address: dict[str, directory.Target] = {}
        self._target_counts: collections.Counter[str] = collections.Counter()
        self._outdated = True
        self._probing: asyncio.Task[None] | None = None
        self._stopped = False
        self._suspected_at: dict[str, float] = {}
        self._verifying: dict[str, asyncio.Task[None]] = {}
        self.on_change: Callable[[], None] = _ignore_change
        cluster.subscribe(self._mark_outdated)

    @property
    def isolated(self) -> frozenset[str]:
        """Services of which this VM reaches no target."""
        return self._reachability.isolated

    def is_isolated(self, service: str) -> bool:
        """Whether this VM reaches no target of a service."""
        return self._reachability.is_isolated(service)

    def is_suspected(self, service: str) -> bool:
        """Whether a path is being verified, and nothing has shown one yet."""
        at = self._suspected_at.get(service)
        return at is not None and not self._reachability.has_path_since(
            service, at
        )

    def seconds_since_failure(self, service: str, target: str) -> float:
        """Returns the age of the last failed attempt to reach a target.

        It is infinite if there was none, a later attempt succeeded, or the
        attempt timed out while the target responds over open connections.
        """
        return self._reachability.seconds_since_failure(
            service, target, self._clock.now()
        )

    def has_responded(self, target: str) -> bool:
        """Whether a target responded to this VM a moment ago."""
        return self._reachability.target_has_responded(
            target, self._clock.now()
        )

    def unreachable(self) -> frozenset[str]:
        """Returns the targets that could not be reached lately."""
        return self._reachability.unreachable(self._clock.now())

    def dump(self) -> dict[str, object]:
        """Returns what is known of paths, for the state dump."""
        return {
            "targets_unreachable": sorted(self.unreachable()),
            "services_unreachable": sorted(self.isolated),
            "services_verified": sorted(self._verifying),
        }

    def stop(self) -> None:
        """Stops all attempts to reach targets, and begins no others."""
        self._stopped = True
        for task in (self._probing, *self._verifying.values()):
            if task is not None:
                task.cancel()

    def record_attempt(
        self, address: str, outcome: reachability.Outcome, seconds: float
    ) -> None:
        """Records the outcome of an attempt to open a connection.

        Args:
            address: Host and port.
            outcome: How the attempt ended.
            seconds: Its duration.
        """
        target = self._target_at(address)
        if target is None:
            return
        service = target.service
        now = self._clock.now()
        if outcome is reachability.Outcome.CONNECTED:
            ended = self._reachability.record_connected(service, target.id, now)
            self._on_evidence(target, ended)
            return
        hung = outcome is reachability.Outcome.HUNG
        count = self._target_counts[service]
        if not hung or seconds >= _OVERDUE_SHARE * self._connect_timeout:
            suspected = self._reachability.record_failed(
                service, target.id, count, now, hung=hung, seconds=seconds
            )
        elif seconds >= _BRIEF_SHARE * self._connect_timeout:
            suspected = self._reachability.record_brief(
                service, target.id, count, now
            )
        else:
            return
        if suspected and not self._stopped and service not in self._verifying:
            self._verifying[service] = self._tasks.start(
                "verify", self._verify(service), service
            )

    def record_response(self, address: str) -> None:
        """Records a response over any connection.

        Args:
            address: Host and port of the connection.
        """
        target = self._target_at(address)
        if target is not None:
            ended = self._reachability.record_response(
                target.service, target.id, self._clock.now()
            )
            self._on_evidence(target, ended)

    async def reaches(self, service: str, *, by_connecting: bool) -> bool:
        """Proves that this VM reaches a service.

        Args:
            service: The service.
            by_connecting: Whether only a new connection is a proof, and not a
                response a moment ago.
        """
        responded = self._reachability.has_responded(service, self._clock.now())
        if responded and not by_connecting and not self.is_isolated(service):
            return True
        targets = self._shuffled_targets(service)[:_PROOF_TARGETS]
        outcomes = await self._attempt(targets)
        # A service without targets needs no path.
        return not outcomes or reachability.Outcome.CONNECTED in outcomes

    async def unreached(self, targets: Iterable[str]) -> list[str]:
        """Returns the targets that take no new connection, or are unknown."""
        entries = {name: self._cluster.directory.get(name) for name in targets}
        known = [e.target for e in entries.values() if e is not None]
        outcomes = await self._attempt(known)
        reached = {
            target.id
            for target, outcome in zip(known, outcomes, strict=True)
            if outcome is reachability.Outcome.CONNECTED
        }
        return [name for name in entries if name not in reached]

    async def _verify(self, service: str) -> None:
        """Attempts to reach other targets until the path is certain."""
        self._suspected_at[service] = self._clock.now()
        try:
            verdict = reachability.Verdict.UNDECIDED
            while verdict is reachability.Verdict.UNDECIDED:
                began_at = self._clock.now()
                targets = self._reachability.verification_targets(
                    service, self._shuffled_targets(service), began_at
                )
                outcomes = await self._attempt(targets)
                verdict = self._reachability.conclude(
                    service, began_at, outcomes, self._clock.now()
                )
        finally:
            del self._verifying[service], self._suspected_at[service]
        if verdict is reachability.Verdict.ISOLATED:
            self._on_isolated(service)
        else:
            self._events.write(
                "targets",
                "path_verified",
                service=service,
                outcomes=[outcome.value for outcome in outcomes],
            )

    async def _attempt(
        self, targets: Collection[directory.Target]
    ) -> list[reachability.Outcome]:
        """Attempts to connect to several targets at the same time."""
        return await asyncio.gather(
            *(self._connect(target.address) for target in targets)
        )

    async def _connect(self, address: str) -> reachability.Outcome:
        """Attempts to connect; the pool reports the outcome as well."""
        try:
            connection = await self._pool.connect_new(
                address, self._connect_timeout
            )
        except http_client.NotSentError as error:
            if error.hung:
                return reachability.Outcome.HUNG
            return reachability.Outcome.REFUSED
        self._pool.release(connection, address)
        return reachability.Outcome.CONNECTED

    def _on_isolated(self, service: str) -> None:
        self._events.write(
            "targets",
            "service_unreachable",
            service=service,
            targets=self._target_counts[service],
            unreachable=len(self.unreachable()),
            hangs=self._reachability.hangs(service),
        )
        if self._probing is None or self._probing.done():
            self._probing = self._tasks.start("reach", self._probe())
        self.on_change()

    def _on_evidence(
        self, target: directory.Target, seconds: float | None
    ) -> None:
        """Handles the end of an isolation, if a target's evidence ended one."""
        if seconds is None:
            return
        self._events.write(
            "targets",
            "service_reached",
            service=target.service,
            target=target.id,
            after=round(seconds, 3),
        )
        for each in self._targets(target.service):
            self._balancer.load(each.id).reached()
        self.on_change()

    def _targets(self, service: str) -> list[directory.Target]:
        return [
            entry.target
            for entry in self._cluster.directory
            if entry.target.service == service
            and entry.status is directory.TargetStatus.READY
        ]

    def _shuffled_targets(self, service: str) -> list[directory.Target]:
        return sorted(
            self._targets(service), key=lambda _: self._clock.random()
        )

    async def _probe(self) -> None:
        """Attempts to reach isolated services until none is left."""
        while self._reachability.isolated:
            await asyncio.sleep(_PROBE_SECONDS * (0.5 + self._clock.random()))
            await asyncio.gather(
                *map(self._probe_service, self._reachability.isolated)
            )

    async def _probe_service(self, service: str) -> None:
        if self._reachability.is_silent(service, self._clock.now()):
            for target in self._targets(service):
                # Their connections may hang without an end.
                self._pool.close_idle(target.address)
        await self._attempt(self._shuffled_targets(service)[:1])

    def zone_of(self, address: str) -> str | None:
        """Returns the zone of the target at an address, None for no target."""
        target = self._target_at(address)
        return target.zone if target else None

    def _target_at(self, address: str) -> directory.Target | None:
        """Returns the target at an address, None for the store and peers."""
        if self._outdated:
            self._update_targets()
        return self._targets_by_address.get(address)

    def _mark_outdated(self) -> None:
        self._outdated = True

    def _update_targets(self) -> None:
        """Rebuilds the index by address; most changes need no rebuild."""
        self._outdated = False
        entries = list(self._cluster.directory)
        self._targets_by_address = {e.target.address: e.target for e in entries}
        self._target_counts = collections.Counter(
            entry.target.service
            for entry in entries
            if entry.status is directory.TargetStatus.READY
        )
        self._reachability.retain(
            (entry.target.service, entry.target.id) for entry in entries
        )


def _ignore_change() -> None:
    """Ignores a change."""
