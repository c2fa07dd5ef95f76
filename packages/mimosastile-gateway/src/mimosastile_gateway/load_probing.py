"""Probes targets for their current load before a request is dispatched.

A full target answers on an open connection at once, on a new one only when a
slot is free. A probe therefore outlives the requests that wait for it: it keeps
its connection, and the late response still updates the recorded load. Requests
that probe the same target meanwhile share the probe.
"""

import asyncio
import collections
from collections.abc import Iterable

import result

from mimosastile_core import errors
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import routes
from mimosastile_core.gateway import target_feedback
from mimosastile_gateway import background_tasks
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events
from mimosastile_gateway import ports

_RESPONSE_TIMEOUT_SECONDS = 0.1
"""Longest wait of a request for a target's load: twice the round trip to
another region, with a new connection. A target that responds later is not
chosen."""
_PROBE_TIMEOUT_SECONDS = 1.0
"""Time after which a probe without a response ends and its connection is
closed: a full target usually has a free slot before."""
_COUNTED = ("started", "shared", "late", "failed")
"""Outcomes of probes that are counted."""
_EXTRA_WAIT_SECONDS = 0.01
"""Wait for further responses after the first one, in addition to the time that
the first one took."""


class LoadProber:
    """Health checks whose load reports serve one dispatching decision."""

    __slots__ = (
        "_counts",
        "_running",
        "_cluster",
        "_clock",
        "_events",
        "_health",
        "_balancer",
        "_tasks",
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
        self._running: dict[str, asyncio.Task[directory.Target | None]] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._health = health
        self._cluster = cluster
        self._balancer = balancer
        self._clock = timer
        self._tasks = background_tasks.BackgroundTasks(event_log)
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
            self._shared_probe(target, service.health_path)
            for target in targets
        }
        responded: list[directory.Target] = []
        first_after = 0.0
        timeout = _RESPONSE_TIMEOUT_SECONDS
        while running and timeout > 0:
            done, running = await asyncio.wait(
                running,
                timeout=timeout,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            found = [t for task in done if (t := task.result()) is not None]
            elapsed = self._clock.now() - started_at
            timeout = _RESPONSE_TIMEOUT_SECONDS - elapsed
            if found or responded:
                # The other targets get as long as the first one took.
                first_after = first_after or elapsed
                ends_after = 2 * first_after + _EXTRA_WAIT_SECONDS
                timeout = min(timeout, ends_after - elapsed)
            responded.extend(found)
        return responded

    def dump(self) -> dict[str, int]:
        """Returns counts of probes by outcome, and how many are running."""
        counts = {name: self._counts[name] for name in _COUNTED}
        return {**counts, "running": len(self._running)}

    def _shared_probe(
        self, target: directory.Target, path: str
    ) -> asyncio.Task[directory.Target | None]:
        """Returns the running probe of a target, or starts one."""
        task = self._running.get(target.id)
        if task is not None:
            self._counts["shared"] += 1
            return task
        self._counts["started"] += 1
        task = self._tasks.start("probe", self._probe(target, path), target.id)
        self._running[target.id] = task
        task.add_done_callback(lambda _: self._running.pop(target.id))
        return task

    async def _probe(
        self, target: directory.Target, path: str
    ) -> directory.Target | None:
        """Probes one target; returns it if it reported its load.

        The target gets no requests while it is late with its response.
        """
        load = self._balancer.load(target.id)
        check = asyncio.ensure_future(
            self._health.check(target, path, _PROBE_TIMEOUT_SECONDS)
        )
        timeout = _RESPONSE_TIMEOUT_SECONDS
        late = False
        while not (await asyncio.wait((check,), timeout=timeout))[0]:
            timeout = load_balancing.SILENT_BACKOFF_SECONDS
            self._counts["late"] += not late
            late = True
            load.load_report_missed(self._clock.now())
        checked = check.result()
        if isinstance(checked, result.Err):
            self._record_failure(target, checked.err_value)
            return None
        if late:
            load.reached()
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
        self._counts["failed"] += 1
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
