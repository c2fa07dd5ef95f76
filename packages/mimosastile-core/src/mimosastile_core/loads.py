"""Load reports of slices: measured at keepers, aggregated for the planner."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from mimosastile_core import balance_plan
from mimosastile_core import messages
from mimosastile_core import tables

_MAX_KEYS = 16384
_SMOOTHING = 0.4
_REPORT_VALID_SECONDS = 10.0


class Counter:
    """Slot-seconds by key over one interval, in bounded memory."""

    __slots__ = ("_dropped", "_seconds")

    def __init__(self) -> None:
        self._seconds: dict[int, float] = {}
        self._dropped = 0.0

    def record(self, position: int, seconds: float) -> None:
        """Adds the seconds for which one request held a slot."""
        if position in self._seconds or len(self._seconds) < _MAX_KEYS:
            self._seconds[position] = self._seconds.get(position, 0.0) + seconds
        else:
            self._dropped += seconds

    def collect(
        self, table: tables.Table, interval: float, max_slices: int
    ) -> tuple[messages.SliceReport, ...]:
        """Returns the load by slice, highest first, and resets the counter.

        Args:
            table: The table that maps keys to slices.
            interval: Seconds since the last call.
            max_slices: Maximum number of slices in the result.
        """
        sums: dict[int, float] = collections.defaultdict(float)
        hottest: dict[int, tuple[float, int]] = {}
        for position, seconds in self._seconds.items():
            location = table.locate(position)
            if location is not None:
                first = location.slice.first
                sums[first] += seconds
                hottest[first] = max(
                    hottest.get(first, (0.0, 0)), (seconds, position)
                )
        counted = sum(self._seconds.values())
        # Keys beyond `_MAX_KEYS` are assumed to be distributed like the others.
        scale = (1 + self._dropped / counted if counted else 1.0) / interval
        self._seconds, self._dropped = {}, 0.0
        top = sorted(sums, key=lambda f: (-sums[f], f))[:max_slices]
        return tuple(
            messages.SliceReport(
                f, sums[f] * scale, hottest[f][1], hottest[f][0] * scale
            )
            for f in top
        )


class Aggregator:
    """Smoothed loads from the latest reports of all keepers of a service."""

    __slots__ = ("_loads", "_reports")

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, messages.LoadReport]] = {}
        self._loads: dict[int, balance_plan.SliceLoad] = {}

    def record(self, report: messages.LoadReport, now: float) -> None:
        """Adds a keeper's report."""
        self._reports[report.vm] = (now, report)
        for piece in report.slices:
            held = self._loads.get(piece.first)
            load = _smooth(held.load if held else None, piece.load)
            self._loads[piece.first] = balance_plan.SliceLoad(
                load, piece.hottest, min(load, piece.hottest_load)
            )

    def decay(self, present: Iterable[int], now: float) -> None:
        """Decays the loads of slices that no valid report contains.

        Args:
            present: First hashes of the slices that exist.
            now: Current time in seconds.
        """
        self._reports = {
            vm: (at, report)
            for vm, (at, report) in self._reports.items()
            if now - at <= _REPORT_VALID_SECONDS
        }
        reported = {
            piece.first
            for _, report in self._reports.values()
            for piece in report.slices
        }
        kept = set(present)
        self._loads = {
            first: load
            if first in reported
            else balance_plan.SliceLoad(load.load * (1 - _SMOOTHING))
            for first, load in self._loads.items()
            if first in kept
        }

    @property
    def loads(self) -> Mapping[int, balance_plan.SliceLoad]:
        """First hash of a slice to its smoothed load."""
        return self._loads

    def responding_targets(self, now: float) -> frozenset[str]:
        """Returns the targets that respond to their keepers."""
        return frozenset(
            target
            for at, report in self._reports.values()
            if now - at <= _REPORT_VALID_SECONDS
            for target in report.responsive
        )


def _smooth(before: float | None, now: float) -> float:
    if before is None:
        return now
    return before + _SMOOTHING * (now - before)
