"""Load of slices: counted at keepers, summed up for whoever plans."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from mimosastile_core import balance_plan
from mimosastile_core import messages
from mimosastile_core import tables

_MOST_KEYS = 16384
_SMOOTHING = 0.4
_VALID_SECONDS = 10.0


class Counter:
    """Slot-seconds by key over one interval, in bounded memory."""

    __slots__ = ("_dropped", "_seconds")

    def __init__(self) -> None:
        self._seconds: dict[int, float] = {}
        self._dropped = 0.0

    def note(self, position: int, seconds: float) -> None:
        """Adds the time that one request held a slot."""
        if position in self._seconds or len(self._seconds) < _MOST_KEYS:
            self._seconds[position] = self._seconds.get(position, 0.0) + seconds
        else:
            self._dropped += seconds

    def take(
        self, table: tables.Table, interval: float, most: int
    ) -> tuple[messages.SliceReport, ...]:
        """Sums up by slice, fullest first, and begins anew.

        Args:
            table: The slices.
            interval: Seconds since the last sum.
            most: Bound on the slices in the answer.
        """
        sums: dict[int, float] = collections.defaultdict(float)
        hottest: dict[int, tuple[float, int]] = {}
        for position, seconds in self._seconds.items():
            home = table.locate(position)
            if home is not None:
                first = home.slice.first
                sums[first] += seconds
                hottest[first] = max(
                    hottest.get(first, (0.0, 0)), (seconds, position)
                )
        counted = sum(self._seconds.values())
        # Keys beyond the bound are taken to be spread like the counted ones.
        scale = (1 + self._dropped / counted if counted else 1.0) / interval
        self._seconds, self._dropped = {}, 0.0
        full = sorted(sums, key=lambda f: (-sums[f], f))[:most]
        return tuple(
            messages.SliceReport(
                f, sums[f] * scale, hottest[f][1], hottest[f][0] * scale
            )
            for f in full
        )


class Board:
    """The latest reports of all keepers about one service."""

    __slots__ = ("_loads", "_reports")

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, messages.LoadReport]] = {}
        self._loads: dict[int, balance_plan.SliceLoad] = {}

    def take(self, report: messages.LoadReport, now: float) -> None:
        """Takes a keeper's report."""
        self._reports[report.vm] = (now, report)
        for piece in report.slices:
            held = self._loads.get(piece.first)
            load = _smooth(held.load if held else None, piece.load)
            self._loads[piece.first] = balance_plan.SliceLoad(
                load, piece.hottest, min(load, piece.hottest_load)
            )

    def fade(self, present: Iterable[int], now: float) -> None:
        """Lets slices fade that no fresh report names.

        Args:
            present: First hashes of the present slices.
            now: Present time.
        """
        self._reports = {
            vm: (at, report)
            for vm, (at, report) in self._reports.items()
            if now - at <= _VALID_SECONDS
        }
        named = {
            piece.first
            for _, report in self._reports.values()
            for piece in report.slices
        }
        kept = set(present)
        self._loads = {
            first: load
            if first in named
            else balance_plan.SliceLoad(load.load * (1 - _SMOOTHING))
            for first, load in self._loads.items()
            if first in kept
        }

    @property
    def loads(self) -> Mapping[int, balance_plan.SliceLoad]:
        """First hash of a slice to its smoothed load."""
        return self._loads

    def heard(self, now: float) -> frozenset[str]:
        """Returns the targets whose keepers hear them."""
        return frozenset(
            target
            for at, report in self._reports.values()
            if now - at <= _VALID_SECONDS
            for target in report.responsive
        )


def _smooth(before: float | None, now: float) -> float:
    if before is None:
        return now
    return before + _SMOOTHING * (now - before)
