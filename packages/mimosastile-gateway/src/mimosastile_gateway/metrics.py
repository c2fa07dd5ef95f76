"""Counters, gauges and latency histograms in the Prometheus text format."""

import collections
from collections.abc import Iterator
from collections.abc import Mapping

from hdrh import histogram
import msgspec

from mimosastile_core.gateway import retry_budget
from mimosastile_gateway import traffic

_MAX_MS = 600_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Request counts by route and outcome, latencies by outcome, and gauges."""

    __slots__ = (
        "_counts",
        "_event_counts",
        "_gauges",
        "_rejected",
        "_retries",
        "_route_gauges",
        "_times",
        "_traffic",
    )

    def __init__(
        self,
        event_counts: Mapping[tuple[str, str], int] | None = None,
        counted: traffic.Traffic | None = None,
    ) -> None:
        """Creates empty metrics.

        Args:
            event_counts: The event log's counts by part and event.
            counted: Bytes of connections.
        """
        self._traffic = counted or traffic.Traffic()
        self._event_counts = event_counts if event_counts is not None else {}
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._times: dict[str, histogram.HdrHistogram] = {}
        self._gauges: dict[str, float] = {}
        self._rejected: Mapping[str, int] = {}
        self._retries: Mapping[str, retry_budget.RetryCounts] = {}
        self._route_gauges: Mapping[str, Mapping[tuple[str, str], float]] = {}

    def record(self, route: str, outcome: str, seconds: float) -> None:
        """Counts a request that has ended.

        Args:
            route: Name of the route, empty if none matched.
            outcome: "passed" or the name of an error kind.
            seconds: Latency from the first byte of the request to the
                response.
        """
        self._counts[route, outcome] += 1
        times = self._times.get(outcome)
        if times is None:
            times = histogram.HdrHistogram(1, _MAX_MS, _SIGNIFICANT_DIGITS)
            self._times[outcome] = times
        times.record_value(min(max(round(seconds * 1000), 1), _MAX_MS))

    def set_gauge(self, name: str, value: float) -> None:
        """Sets the value of a gauge."""
        self._gauges[name] = value

    def set_rejected(self, counts: Mapping[str, int]) -> None:
        """Replaces the counts of rejected registrations by reason."""
        self._rejected = counts

    def set_retries(
        self, counts: Mapping[str, retry_budget.RetryCounts]
    ) -> None:
        """Replaces the counts of retries by service."""
        self._retries = counts

    def set_route_gauges(
        self, values: Mapping[str, Mapping[tuple[str, str], float]]
    ) -> None:
        """Replaces all gauges that have a service and a route.

        Args:
            values: Values by name, then by service and route.
        """
        self._route_gauges = values

    def text(self) -> str:
        """Returns all metrics in the Prometheus text format."""
        return "\n".join(self._lines()) + "\n"

    def _lines(self) -> Iterator[str]:
        name = "mimosastile_requests_total"
        yield f"# TYPE {name} counter"
        for (route, outcome), count in sorted(self._counts.items()):
            labels = f'route="{route}",outcome="{outcome}"'
            yield f"{name}{{{labels}}} {count}"
        name = "mimosastile_request_milliseconds"
        yield f"# TYPE {name} summary"
        for outcome, times in sorted(self._times.items()):
            for quantile in _QUANTILES:
                value = times.get_value_at_percentile(quantile)
                labels = f'outcome="{outcome}",quantile="{quantile / 100:g}"'
                yield f"{name}{{{labels}}} {value}"
        name = "mimosastile_events_total"
        yield f"# TYPE {name} counter"
        for (part, event), count in sorted(self._event_counts.items()):
            yield f'{name}{{part="{part}",event="{event}"}} {count}'
        name = "mimosastile_bytes_total"
        yield f"# TYPE {name} counter"
        counts = self._traffic.counts
        for series in sorted(counts, key=msgspec.structs.astuple):
            labels = ",".join(
                f'{label}="{value}"'
                for label, value in msgspec.structs.asdict(series).items()
            )
            yield f"{name}{{{labels}}} {counts[series]}"
        name = "mimosastile_rejected_registrations_total"
        yield f"# TYPE {name} counter"
        for reason, count in sorted(self._rejected.items()):
            yield f'{name}{{reason="{reason}"}} {count}'
        yield from self._retry_lines()
        for gauge, value in sorted(self._gauges.items()):
            yield f"# TYPE mimosastile_{gauge} gauge"
            yield f"mimosastile_{gauge} {value:g}"
        for gauge, by_label in sorted(self._route_gauges.items()):
            yield f"# TYPE mimosastile_{gauge} gauge"
            for (service, route), value in sorted(by_label.items()):
                labels = f'service="{service}",route="{route}"'
                yield f"mimosastile_{gauge}{{{labels}}} {value:g}"

    def _retry_lines(self) -> Iterator[str]:
        name = "mimosastile_retries_total"
        yield f"# TYPE {name} counter"
        for service, retries in sorted(self._retries.items()):
            labels = f'service="{service}",outcome='
            yield f'{name}{{{labels}"taken"}} {retries.taken}'
            yield f'{name}{{{labels}"denied"}} {retries.denied}'
