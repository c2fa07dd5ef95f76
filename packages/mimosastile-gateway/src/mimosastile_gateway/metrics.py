"""Counters and latency histograms, as text for a collector."""

import collections
from collections.abc import Iterator
from collections.abc import Mapping

from hdrh import histogram

_LONGEST_MS = 600_000
_DIGITS = 2
_QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Counts of outcomes and times by route and outcome."""

    __slots__ = ("_counts", "_events", "_gauges", "_times", "_traffic")

    def __init__(
        self,
        counted: Mapping[tuple[str, str], int] | None = None,
        traffic: Mapping[tuple[str, str], int] | None = None,
    ) -> None:
        """Makes empty metrics.

        Args:
            counted: Events of the log by part and name, counted by the log;
                whatever the daemon decides or comes to believe is one.
            traffic: Bytes of own calls by path and direction.
        """
        self._traffic = traffic if traffic is not None else {}
        self._events = counted if counted is not None else {}
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._times: dict[str, histogram.HdrHistogram] = {}
        self._gauges: dict[str, float] = {}

    def record(self, route: str, outcome: str, seconds: float) -> None:
        """Counts a request that has ended.

        Args:
            route: Its route, empty if none was found.
            outcome: "passed" or the name of an error kind.
            seconds: From its first byte to its answer.
        """
        self._counts[route, outcome] += 1
        times = self._times.get(outcome)
        if times is None:
            times = histogram.HdrHistogram(1, _LONGEST_MS, _DIGITS)
            self._times[outcome] = times
        times.record_value(min(max(round(seconds * 1000), 1), _LONGEST_MS))

    def gauge(self, name: str, value: float) -> None:
        """Sets a value that rises and falls."""
        self._gauges[name] = value

    def text(self) -> str:
        """Returns everything in the text format of Prometheus."""
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
        for (part, event), count in sorted(self._events.items()):
            yield f'{name}{{part="{part}",event="{event}"}} {count}'
        name = "mimosastile_call_bytes_total"
        yield f"# TYPE {name} counter"
        for (path, direction), count in sorted(self._traffic.items()):
            yield f'{name}{{path="{path}",direction="{direction}"}} {count}'
        for gauge, value in sorted(self._gauges.items()):
            yield f"# TYPE mimosastile_{gauge} gauge"
            yield f"mimosastile_{gauge} {value:g}"
