"""Watches which targets this VM can open connections to."""

import asyncio
import collections

from mimosastile_core.gateway import directory
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import reachability
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events
from mimosastile_gateway import http_client

_PROBE_SECONDS = 0.25
"""Mean interval between two attempts to reach an isolated service again."""


class ReachMonitor:
    """Attributes connection attempts to targets and records their outcome.

    While a service is isolated, its requests take another way, so this monitor
    itself attempts to connect to its targets.
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
        "_targets_by_address",
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
        self._reachability = reachability.Reachability()
        self._targets_by_address: dict[str, directory.Target] = {}
        self._target_counts: collections.Counter[str] = collections.Counter()
        self._outdated = True
        self._probing: asyncio.Task[None] | None = None
        cluster.subscribe(self._mark_outdated)

    @property
    def isolated(self) -> frozenset[str]:
        """Services of which this VM reaches no target."""
        return self._reachability.isolated

    def is_isolated(self, service: str) -> bool:
        """Whether this VM reaches no target of a service."""
        return self._reachability.is_isolated(service)

    def isolated_seconds(self, service: str) -> float | None:
        """Returns for how long no target was reached; None if one is."""
        return self._reachability.isolated_seconds(service, self._clock.now())

    def seconds_since_failure(self, service: str, target: str) -> float:
        """Returns the age of the last failed attempt to reach a target.

        It is infinite if there was none, or a later attempt succeeded.
        """
        return self._reachability.seconds_since_failure(
            service, target, self._clock.now()
        )

    def stop(self) -> None:
        """Stops all attempts to reach isolated services."""
        if self._probing is not None:
            self._probing.cancel()

    def unreachable(self) -> frozenset[str]:
        """Returns the targets that could not be reached lately."""
        return self._reachability.unreachable(self._clock.now())

    def record_attempt(self, address: str, connected: bool) -> None:
        """Records the outcome of an attempt to open a connection.

        Args:
            address: Host and port.
            connected: Whether the connection was opened.
        """
        if self._outdated:
            self._update_targets()
        target = self._targets_by_address.get(address)
        if target is None:
            # The store or another VM.
            return
        service = target.service
        now = self._clock.now()
        if connected:
            seconds = self._reachability.record_connected(
                service, target.id, now
            )
            if seconds is not None:
                self._on_reached(target, seconds)
        elif self._reachability.record_failed(
            service, target.id, self._target_counts[service], now
        ):
            self._on_isolated(service)

    def _on_isolated(self, service: str) -> None:
        self._events.write(
            "targets",
            "service_unreachable",
            service=service,
            targets=self._target_counts[service],
            unreachable=len(self.unreachable()),
        )
        for target in self._targets(service):
            # Their connections may hang without an end.
            self._pool.close_idle(target.address)
        if self._probing is None or self._probing.done():
            self._probing = asyncio.create_task(self._probe(), name="reach")

    def _on_reached(self, target: directory.Target, seconds: float) -> None:
        self._events.write(
            "targets",
            "service_reached",
            service=target.service,
            target=target.id,
            after=round(seconds, 3),
        )
        for each in self._targets(target.service):
            self._balancer.load(each.id).reached()

    def _targets(self, service: str) -> list[directory.Target]:
        return [
            entry.target
            for entry in self._cluster.directory
            if entry.target.service == service
            and entry.status is directory.TargetStatus.READY
        ]

    async def _probe(self) -> None:
        """Attempts to reach isolated services until none is left."""
        while self._reachability.isolated:
            await asyncio.sleep(_PROBE_SECONDS * (0.5 + self._clock.random()))
            await asyncio.gather(
                *map(self._probe_service, self._reachability.isolated)
            )

    async def _probe_service(self, service: str) -> None:
        targets = self._targets(service)
        if not targets:
            return
        address = targets[int(self._clock.random() * len(targets))].address
        try:
            connection = await self._pool.connect_new(
                address, self._connect_timeout
            )
        except http_client.NotSentError:
            # The pool has reported the failed attempt to this monitor.
            return
        self._pool.release(connection, address)

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
