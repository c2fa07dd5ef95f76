"""Probes targets for their current load before a request is dispatched."""

import asyncio
from collections.abc import Iterable

import result

from mimosastile_core import errors
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import routes
from mimosastile_core.gateway import target_feedback
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events
from mimosastile_gateway import ports

_RESPONSE_TIMEOUT_SECONDS = 0.1
"""Longest wait for a target's load: twice the round trip to another region,
with a new connection. A target that responds later is not chosen."""
_EXTRA_WAIT_SECONDS = 0.01
"""Wait for further responses after the first one, in addition to the time that
the first one took."""


class LoadProber:
    """Health checks whose load reports serve one dispatching decision."""

    __slots__ = (
        "_running_probes",
        "_cluster",
        "_clock",
        "_events",
        "_health",
        "_balancer",
    )

    def __init__(
        self,
        health: ports.HealthPort,
        cluster: cluster_state.ClusterState,
        balancer: load_balancing.LoadBalancer,
        timer: clock.Clock,
        event_log: events.EventLog,
    ) -> None:
        """Creates a prober.

        Args:
            health: Makes health checks.
            cluster: This VM's view of the cluster.
            balancer: Loads of targets.
            timer: The clock.
            event_log: The event log.
        """
        self._running_probes: set[asyncio.Future[directory.Target | None]] = (
            set()
        )
        self._health = health
        self._cluster = cluster
        self._balancer = balancer
        self._clock = timer
        self._events = event_log

    async def probe(
        self, targets: Iterable[directory.Target], service: routes.Service
    ) -> list[directory.Target]:
        """Probes targets for their load.

        Args:
            targets: The targets.
            service: Their service.

        Returns:
            The targets that have just reported their load.
        """
        started_at = self._clock.now()
        running = {
            asyncio.ensure_future(self._probe(target, service.health_path))
            for target in targets
        }
        for task in running:
            # A probe still updates the recorded load after the wait for it has
            # ended.
            self._running_probes.add(task)
            task.add_done_callback(self._running_probes.discard)
        responded: list[directory.Target] = []
        timeout: float | None = None
        while running:
            done, running = await asyncio.wait(
                running, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                break
            responded.extend(
                t for task in done if (t := task.result()) is not None
            )
            if responded and timeout is None:
                timeout = self._clock.now() - started_at + _EXTRA_WAIT_SECONDS
        return responded

    async def _probe(
        self, target: directory.Target, path: str
    ) -> directory.Target | None:
        """Probes one target; returns it if it reported its load."""
        checked = await self._health.check(
            target, path, _RESPONSE_TIMEOUT_SECONDS
        )
        if isinstance(checked, result.Err):
            self._record_failure(target, checked.err_value)
            return None
        return target if self._record_report(target, checked.ok_value) else None

    def _record_report(
        self, target: directory.Target, report: target_feedback.HealthReport
    ) -> bool:
        if report.cold_seconds:
            self._cluster.directory.record_cold(
                target.id, report.cold_seconds, self._clock.now()
            )
        feedback = report.notice
        self._cluster.apply_feedback(target, feedback)
        if feedback.load is None:
            return False
        self._balancer.record_load(target, feedback.load)
        return True

    def _record_failure(
        self, target: directory.Target, failure: errors.Failure
    ) -> None:
        load = self._balancer.load(target.id)
        if failure.kind is errors.ErrorKind.ANSWER_LOST:
            load.load_report_missed(self._clock.now())
        else:
            load.unreachable(self._clock.now())
        self._events.write(
            "targets",
            "probe_failed",
            target=target.id,
            kind=failure.kind.value,
            why=failure.detail,
        )
