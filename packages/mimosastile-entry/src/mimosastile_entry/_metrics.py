"""The metrics service: histograms inside, text exposition outside."""

import asyncio
import collections
from collections.abc import Iterator
from typing import Any

from hdrh import histogram
import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from mimosastile_core import config
from mimosastile_core import tables
from mimosastile_entry import _fleet
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
OTHER = "other"
"""Label of whatever is over the bound, and of unknown services."""

MAX_MEMBERS = 200
"""Members with labels of their own, per service; more would let callers make
the page, and whoever scrapes it, as large as they like."""

PASSED_ON = "passed_on"
"""Outcome of a request whose answer came from a target."""

_TICK_SECONDS = 0.25
_MICROSECONDS = 1_000_000
_LONGEST_SECONDS = 600
_DIGITS = 2
_BITS = 8
"""Leading bits of a time that are kept: within a percent."""
_QUANTILES = (50.0, 90.0, 99.0, 99.9)

_Class = tuple[str, config.Priority]
"""Service and class of requests."""


class MetricsService(registry.Collector):
    """Counts requests and watches tables; one collection is one page."""

    __slots__ = (
        "_answers",
        "_blocks",
        "_fleet",
        "_fresh",
        "_members",
        "_moved",
        "_seconds",
        "_state",
        "_task",
        "_unavailable",
        "name",
        "needs",
    )

    def __init__(self) -> None:
        self.name = "metrics"
        self.needs: tuple[str, ...] = ("state", "fleet")
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._fresh: collections.defaultdict[
            _Class, collections.Counter[int]
        ] = collections.defaultdict(collections.Counter)
        self._seconds: dict[_Class, histogram.HdrHistogram] = {}
        self._answers: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._members: dict[str, set[str]] = {}
        self._moved: collections.Counter[str] = collections.Counter()
        self._unavailable: dict[str, float] = collections.defaultdict(float)
        self._blocks: dict[tables.BlockId, tables.Block] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self, kernel: kernel.Kernel) -> None:
        """Begins to watch the tables."""
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._state.replica.subscribe(self._note_moves)
        self._note_moves()
        self._task = asyncio.create_task(self._watch(), name="metrics")

    async def stop(self) -> None:
        """Ends the watching."""
        if self._task is not None:
            self._task.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns churn and unavailable time by service."""
        return {
            "moved_slices": dict(self._moved),
            "unavailable_slice_seconds": dict(self._unavailable),
        }

    def record(
        self, request: ports.Request, outcome: str, seconds: float
    ) -> None:
        """Counts a caller's request, where it came in.

        Args:
            request: The request.
            outcome: `PASSED_ON` or the name of an error kind.
            seconds: From its arrival until its answer began.
        """
        name = request.path[1:].partition("/")[0]
        if name not in self._state.replica.config.document.services:
            self._answers[OTHER, OTHER, outcome] += 1
            return
        member = self._bounded(name, request.member)
        self._answers[name, member, outcome] += 1
        if request.priority is None:
            # Refused before its route was found: there is no class to it.
            return
        micros = max(1, int(seconds * _MICROSECONDS))
        shift = max(0, micros.bit_length() - _BITS)
        self._fresh[name, request.priority][micros >> shift << shift] += 1

    def exposition(self) -> bytes:
        """Returns the page in the usual text format."""
        self._settle()
        page = registry.CollectorRegistry(auto_describe=False)
        page.register(self)
        return prometheus_client.generate_latest(page)

    def collect(self) -> Iterator[core.Metric]:
        """Yields every metric."""
        yield self._times()
        yield _counter(
            "mimosastile_requests",
            "Callers' requests by service, member and outcome.",
            ("service", "member", "outcome"),
            self._answers,
        )
        yield _counter(
            "mimosastile_moved_slices",
            "Churn: slices that changed their owner, as seen by this VM.",
            ("service",),
            {(name,): count for name, count in self._moved.items()},
        )
        yield _counter(
            "mimosastile_unavailable_slice_seconds",
            "Unavailable time: slices without a listed owner, times seconds.",
            ("service",),
            {(name,): spent for name, spent in self._unavailable.items()},
        )
        yield self._imbalance()
        yield core.GaugeMetricFamily(
            "mimosastile_configuration_number",
            "Number of the configuration in force at this VM.",
            value=self._state.replica.config.number,
        )

    def _settle(self) -> None:
        """Moves fresh times into the histograms.

        A histogram takes several microseconds for a value, too much for each
        request; equal times, to within a percent, are moved as one.
        """
        for at, counts in self._fresh.items():
            found = self._seconds.get(at)
            if found is None:
                found = self._seconds[at] = histogram.HdrHistogram(
                    1, _LONGEST_SECONDS * _MICROSECONDS, _DIGITS
                )
            for micros, count in counts.items():
                found.record_value(micros, count)
        self._fresh.clear()

    def _times(self) -> core.Metric:
        family = core.GaugeMetricFamily(
            "mimosastile_answer_seconds",
            "Seconds until an answer began, by quantile since the start.",
            labels=("service", "class", "quantile"),
        )
        for (service, priority), found in self._seconds.items():
            for percent in _QUANTILES:
                micros = found.get_value_at_percentile(percent)
                labels = (service, priority.value, f"{percent / 100:g}")
                family.add_metric(labels, micros / _MICROSECONDS)
        return family

    def _imbalance(self) -> core.Metric:
        family = core.GaugeMetricFamily(
            "mimosastile_imbalance_ratio",
            "Imbalance: most slices of a target to the mean over live ones.",
            labels=("service",),
        )
        for name in self._state.replica.config.document.services:
            table = self._state.replica.table(name)
            live = self._fleet.fleet.live_targets(name)
            owned = collections.Counter(
                piece.owner for piece in _slices(table) if piece.owner
            )
            if owned and live:
                mean = owned.total() / len(live)
                family.add_metric((name,), max(owned.values()) / mean)
        return family

    def _bounded(self, service: str, member: str) -> str:
        known = self._members.setdefault(service, set())
        if member in known:
            return member
        if len(known) >= MAX_MEMBERS:
            return OTHER
        known.add(member)
        return member

    def _note_moves(self) -> None:
        for at, block in self._state.replica.blocks.items():
            before = self._blocks.get(at)
            if before is block:
                continue
            self._blocks[at] = block
            if before is not None:
                self._moved[block.service] += _moved(before, block)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            self._settle()
            for name in self._state.replica.config.document.services:
                listed = self._fleet.fleet.targets(name)
                without = sum(
                    piece.owner not in listed
                    for piece in _slices(self._state.replica.table(name))
                )
                self._unavailable[name] += without * _TICK_SECONDS


def _slices(table: tables.Table | None) -> Iterator[tables.Slice]:
    blocks = table.blocks.values() if table else ()
    return (piece for block in blocks for piece in block.slices)


def _moved(before: tables.Block, after: tables.Block) -> int:
    """Counts the slices that had an owner and have another one."""
    home = tables.Table(before.service, [before])
    located = ((home.locate(s.first), s) for s in after.slices)
    return sum(
        bool(was and was.slice.owner) and was.slice.owner != piece.owner
        for was, piece in located
        if was is not None
    )


def _counter(
    name: str, text: str, labels: tuple[str, ...], values: Any
) -> core.Metric:
    family = core.CounterMetricFamily(name, text, labels=labels)
    for key, value in values.items():
        family.add_metric(key, value)
    return family
