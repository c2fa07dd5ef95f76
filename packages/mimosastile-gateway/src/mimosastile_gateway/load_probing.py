"""Asks targets for their present load before a request is sent to one."""

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

_SECONDS = 0.1
"""Longest wait for a target's load: twice the way to another region and back,
with a new connection. A target that is later is not chosen."""
_MORE_SECONDS = 0.01
"""Wait for further answers after the first one, and as long again as that
took."""


class LoadProber:
    """Health checks whose answers count for one choice."""

    __slots__ = (
        "_asking",
        "_cluster",
        "_clock",
        "_events",
        "_health",
        "_balancer",
    )

    def __init__(
        self,
        health: ports.HealthPort,
        known: cluster_state.ClusterState,
        balancer: load_balancing.LoadBalancer,
        timer: clock.Clock,
        log: events.Events,
    ) -> None:
        """Makes one.

        Args:
            health: Makes health checks.
            known: What this VM believes.
            balancer: Loads of targets.
            timer: The clock.
            log: Where it logs.
        """
        self._asking: set[asyncio.Future[directory.Target | None]] = set()
        self._health = health
        self._cluster = known
        self._balancer = balancer
        self._clock = timer
        self._events = log

    async def ask(
        self, targets: Iterable[directory.Target], service: routes.Service
    ) -> list[directory.Target]:
        """Asks some targets for their load.

        Args:
            targets: The targets.
            service: Their service.

        Returns:
            Those that have said it just now.
        """
        began = self._clock.now()
        asking = {
            asyncio.ensure_future(self._ask(target, service.health_path))
            for target in targets
        }
        for task in asking:
            # One that nobody waits for any more still brings a load.
            self._asking.add(task)
            task.add_done_callback(self._asking.discard)
        said: list[directory.Target] = []
        left: float | None = None
        while asking:
            done, asking = await asyncio.wait(
                asking, timeout=left, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                break
            said.extend(t for task in done if (t := task.result()) is not None)
            if said and left is None:
                left = self._clock.now() - began + _MORE_SECONDS
        return said

    async def _ask(
        self, target: directory.Target, path: str
    ) -> directory.Target | None:
        """Asks one target; returns it if it has said its load."""
        answer = await self._health.check(target, path, _SECONDS)
        if isinstance(answer, result.Err):
            self._failed(target, answer.err_value)
            return None
        return target if self._take(target, answer.ok_value) else None

    def _take(
        self, target: directory.Target, report: target_feedback.HealthReport
    ) -> bool:
        if report.cold_seconds:
            self._cluster.directory.record_cold(
                target.id, report.cold_seconds, self._clock.now()
            )
        notice = report.notice
        self._cluster.apply_feedback(target, notice)
        if notice.load is None:
            return False
        self._balancer.record_load(target, notice.load)
        return True

    def _failed(
        self, target: directory.Target, failure: errors.Failure
    ) -> None:
        load = self._balancer.load(target.id)
        if failure.kind is errors.ErrorKind.ANSWER_LOST:
            load.silent(self._clock.now())
        else:
            load.unreachable(self._clock.now())
        self._events.write(
            "targets",
            "probe_failed",
            target=target.id,
            kind=failure.kind.value,
            why=failure.detail,
        )
