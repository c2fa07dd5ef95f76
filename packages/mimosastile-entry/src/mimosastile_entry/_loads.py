"""Loads service: measures load per slice and reports it to the planner."""

import asyncio
from collections.abc import Awaitable
import functools
from typing import Any

import result

from mimosastile_core import errors
from mimosastile_core import holder
from mimosastile_core import loads
from mimosastile_core import messages
from mimosastile_core import placement
from mimosastile_entry import _background
from mimosastile_entry import _fleet
from mimosastile_entry import _inbox
from mimosastile_entry import _membership
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

_REPORT_SECONDS = 2.0
_CALL_SECONDS = 0.5
_SLICES_PER_TARGET = 8

Outcome = result.Result[ports.Response, errors.Failure]


class LoadsService:
    """Counts slot-seconds by slice and aggregates the reports of all keepers.

    The keeper of a target is the only entry VM that sends it requests and
    grants.
    """

    __slots__ = (
        "_aggregators",
        "_bytes",
        "_clock",
        "_counters",
        "_fleet",
        "_membership",
        "_peers",
        "_responding_targets",
        "_sent",
        "_state",
        "_tasks",
        "_vm",
        "name",
        "needs",
    )

    def __init__(self, vm: str) -> None:
        """Initializes the service.

        Args:
            vm: Identifier of this VM.
        """
        self.name = "loads"
        self.needs: tuple[str, ...] = (
            "state",
            "fleet",
            "membership",
            "peers",
            "inbox",
            "clock",
        )
        self._vm = vm
        self._counters: dict[str, loads.Counter] = {}
        self._aggregators: dict[str, loads.Aggregator] = {}
        self._responding_targets: dict[str, tuple[str, ...]] = {}
        self._sent = 0
        self._bytes = 0
        self._tasks = _background.Background()
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._membership: _membership.MembershipService
        self._peers: ports.PeerPort
        self._clock: ports.ClockPort

    async def start(self, kernel: kernel.Kernel) -> None:
        """Starts the load reports."""
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._membership = kernel.find("membership")
        self._peers = kernel.find("peers")
        self._clock = kernel.find("clock")
        inbox: _inbox.InboxService = kernel.find("inbox")
        inbox.handle(messages.LoadReport, self._record)
        self._tasks.keep(
            functools.partial(_background.forever, self._report), "loads"
        )

    async def stop(self) -> None:
        """Stops the reports."""
        self._tasks.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns the reports and bytes sent, and the reported slices."""
        return {
            "reports_sent": self._sent,
            "bytes_sent": self._bytes,
            "slices_known": {
                name: len(aggregator.loads)
                for name, aggregator in self._aggregators.items()
            },
        }

    def aggregator(self, service: str) -> loads.Aggregator:
        """Returns the aggregated load reports of a service."""
        return self._aggregators.setdefault(service, loads.Aggregator())

    def set_responding_targets(
        self, responding: dict[str, tuple[str, ...]]
    ) -> None:
        """Sets by service the responsive targets whose keeper is this VM."""
        self._responding_targets = responding

    async def measure(
        self, fence: holder.RequestFence, work: Awaitable[Outcome]
    ) -> Outcome:
        """Runs a request and records how long it occupied its slot."""
        started_at = self._clock.now()
        outcome = await work
        counter = self._counters.setdefault(
            fence.block.service, loads.Counter()
        )

        async def record() -> None:
            counter.record(fence.position, self._clock.now() - started_at)

        if isinstance(outcome, result.Ok):
            outcome.ok_value.on_close(record)
        else:
            await record()
        return outcome

    async def _report(self) -> None:
        wait = _REPORT_SECONDS * (0.75 + self._clock.random() / 2)
        await asyncio.sleep(wait)
        for service in self._state.replica.config.document.services:
            responding = self._responding_targets.get(service, ())
            table = self._state.replica.table(service)
            if not responding or table is None:
                continue
            counter = self._counters.setdefault(service, loads.Counter())
            report = messages.LoadReport(
                self._vm,
                service,
                counter.collect(
                    table, wait, _SLICES_PER_TARGET * len(responding)
                ),
                responding,
            )
            await self._send(report)

    async def _send(self, report: messages.LoadReport) -> None:
        planner = placement.preferred_planner(
            report.service, self._membership.alive()
        )
        if planner == self._vm:
            self._record(report)
            return
        listed = self._fleet.fleet.entries.get(planner)
        if listed is not None:
            self._sent += 1
            self._bytes += len(messages.encode(report))
            await self._peers.call(listed, report, _CALL_SECONDS)

    def _record(self, report: messages.LoadReport) -> messages.Ack:
        self.aggregator(report.service).record(report, self._clock.now())
        return messages.Ack(self._vm)
