"""Metrics service: records request metrics and exports them as text."""

import asyncio
import collections
from collections.abc import Iterator
from typing import Any

from hdrh import histogram
import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from mimosastile_core import config
from mimosastile_core import response_matching
from mimosastile_core import tables
from mimosastile_entry import _background
from mimosastile_entry import _fleet
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
OTHER = "other"
"""Label of members beyond `MAX_MEMBERS` and of unknown services."""

MAX_MEMBERS = 200
"""Maximum number of members with their own labels, per service.

Without a bound, callers could make the page, and the data of its scraper,
arbitrarily large.
"""

TARGET_RESPONDED = "passed_on"
"""Outcome of a request whose response came from a target."""

_UPDATE_INTERVAL_SECONDS = 0.25
_MICROSECONDS = 1_000_000
_MAX_LATENCY_SECONDS = 600
_SIGNIFICANT_DIGITS = 2
_SIGNIFICANT_BITS = 8
"""Significant bits that are kept of a latency: accurate to one percent."""
_QUANTILES = (50.0, 90.0, 99.0, 99.9)

_Class = tuple[str, config.Priority]
"""Service and priority class of requests."""


class MetricsService(registry.Collector):
    """Counts requests and table changes; each scrape collects all metrics."""

    __slots__ = (
        "_blocks",
        "_fleet",
        "_histograms",
        "_members",
        "_moved",
        "_recent",
        "_requests",
        "_responses",
        "_state",
        "_tasks",
        "_unavailable_seconds",
        "name",
        "needs",
    )

    def __init__(
        self, responses: response_matching.ResponseCounts | None = None
    ) -> None:
        """Initializes the service with all counts at zero.

        Args:
            responses: Counts of the HTTP client; None without one.
        """
        self.name = "metrics"
        self.needs: tuple[str, ...] = ("state", "fleet")
        self._responses = responses or response_matching.ResponseCounts()
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._recent: collections.defaultdict[
            _Class, collections.Counter[int]
        ] = collections.defaultdict(collections.Counter)
        self._histograms: dict[_Class, histogram.HdrHistogram] = {}
        self._requests: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._members: dict[str, set[str]] = {}
        self._moved: collections.Counter[str] = collections.Counter()
        self._unavailable_seconds: dict[str, float] = collections.defaultdict(
            float
        )
        self._blocks: dict[tables.BlockId, tables.Block] = {}
        self._tasks = _background.Background()

    async def start(self, kernel: kernel.Kernel) -> None:
        """Subscribes to the replica and starts the periodic update."""
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._state.replica.subscribe(self._count_moves)
        self._count_moves()
        self._tasks.keep(self._update_periodically, "metrics")

    async def stop(self) -> None:
        """Stops the periodic update."""
        self._tasks.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns moved slices and unavailable slice-seconds by service."""
        return {
            "moved_slices": dict(self._moved),
            "unavailable_slice_seconds": dict(self._unavailable_seconds),
        }

    def record(
        self, request: ports.Request, outcome: str, seconds: float
    ) -> None:
        """Counts a caller's request at the VM that received it.

        Args:
            request: The request.
            outcome: `TARGET_RESPONDED` or the name of an error kind.
            seconds: Time from its arrival to the start of its response.
        """
        name = request.path[1:].partition("/")[0]
        if name not in self._state.replica.config.document.services:
            self._requests[OTHER, OTHER, outcome] += 1
            return
        member = self._member_label(name, request.member)
        self._requests[name, member, outcome] += 1
        if request.priority is None:
            # Refused before routing, so that its class is unknown.
            return
        micros = max(1, int(seconds * _MICROSECONDS))
        shift = max(0, micros.bit_length() - _SIGNIFICANT_BITS)
        self._recent[name, request.priority][micros >> shift << shift] += 1

    def exposition(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        self._flush_latencies()
        page = registry.CollectorRegistry(auto_describe=False)
        page.register(self)
        return prometheus_client.generate_latest(page)

    def collect(self) -> Iterator[core.Metric]:
        """Yields all metrics."""
        yield self._latencies()
        yield _counter(
            "mimosastile_requests",
            "Callers' requests by service, member and outcome.",
            ("service", "member", "outcome"),
            self._requests,
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
            {
                (name,): spent
                for name, spent in self._unavailable_seconds.items()
            },
        )
        yield _counter(
            "mimosastile_responses_unmatched",
            "Responses of targets and peers that belonged to no pending"
            " request.",
            (),
            {(): self._responses.unmatched},
        )
        yield _counter(
            "mimosastile_responses_unidentified",
            "Responses of targets and peers without the identifier of their"
            " request; their connections are not reused.",
            (),
            {(): self._responses.unidentified},
        )
        yield self._imbalance()
        yield core.GaugeMetricFamily(
            "mimosastile_configuration_number",
            "Number of the configuration in force at this VM.",
            value=self._state.replica.config.number,
        )

    def _flush_latencies(self) -> None:
        """Flushes recent latencies into the histograms.

        Recording a value in a histogram takes several microseconds, too long
        for each request. Latencies equal to within one percent are recorded
        together.
        """
        for key, counts in self._recent.items():
            recorder = self._histograms.get(key)
            if recorder is None:
                recorder = self._histograms[key] = histogram.HdrHistogram(
                    1, _MAX_LATENCY_SECONDS * _MICROSECONDS, _SIGNIFICANT_DIGITS
                )
            for micros, count in counts.items():
                recorder.record_value(micros, count)
        self._recent.clear()

    def _latencies(self) -> core.Metric:
        family = core.GaugeMetricFamily(
            "mimosastile_answer_seconds",
            "Seconds until an answer began, by quantile since the start.",
            labels=("service", "class", "quantile"),
        )
        for (service, priority), recorder in self._histograms.items():
            for percent in _QUANTILES:
                micros = recorder.get_value_at_percentile(percent)
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

    def _member_label(self, service: str, member: str) -> str:
        labelled = self._members.setdefault(service, set())
        if member in labelled:
            return member
        if len(labelled) >= MAX_MEMBERS:
            return OTHER
        labelled.add(member)
        return member

    def _count_moves(self) -> None:
        for at, block in self._state.replica.blocks.items():
            before = self._blocks.get(at)
            if before is block:
                continue
            self._blocks[at] = block
            if before is not None:
                self._moved[block.service] += _moved(before, block)

    async def _update_periodically(self) -> None:
        while True:
            await asyncio.sleep(_UPDATE_INTERVAL_SECONDS)
            self._flush_latencies()
            for name in self._state.replica.config.document.services:
                listed = self._fleet.fleet.targets(name)
                unowned = sum(
                    piece.owner not in listed
                    for piece in _slices(self._state.replica.table(name))
                )
                self._unavailable_seconds[name] += (
                    unowned * _UPDATE_INTERVAL_SECONDS
                )


def _slices(table: tables.Table | None) -> Iterator[tables.Slice]:
    blocks = table.blocks.values() if table else ()
    return (piece for block in blocks for piece in block.slices)


def _moved(before: tables.Block, after: tables.Block) -> int:
    """Counts the slices whose owner changed to another one."""
    previous = tables.Table(before.service, [before])
    located = ((previous.locate(s.first), s) for s in after.slices)
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
