"""Tests of the measures: baselines, traces, outages, slopes, results."""

import pathlib

import msgspec
import pytest

from mimosastile_core import config
from mimosastile_standins import baselines
from mimosastile_standins import measures
from mimosastile_standins import outages
from mimosastile_standins import slopes
from mimosastile_standins import spreading
from mimosastile_standins import traces

RESULTS = pathlib.Path(__file__).parent.parent.parent / "measurements"
TRACE = traces.zipf(2000, 0.8, 3)
TARGETS = {f"t{i}": (f"r{i % 2}", f"z{i % 4}") for i in range(8)}


def _loads(owners):
    return traces.target_loads(TRACE, owners, list(TARGETS))


@pytest.mark.parametrize("name", baselines.BASELINES)
class TestBaselines:
    """Baseline assignment algorithms."""

    def test_every_key_has_a_listed_owner(self, name):
        """The owners do not depend on the order of the targets."""
        assign = baselines.BASELINES[name]
        owners = assign(TRACE, list(TARGETS))
        assert set(owners) <= set(TARGETS)
        assert owners == assign(TRACE, sorted(TARGETS, reverse=True))

    def test_removing_a_target_moves_the_expected_number_of_keys(self, name):
        """Rendezvous hashing moves the fewest keys, modulo nearly all."""
        assign = baselines.BASELINES[name]
        before = assign(TRACE, list(TARGETS))
        after = assign(TRACE, list(TARGETS)[1:])
        moved = sum(a != b for a, b in zip(before, after, strict=True))
        lost = before.count("t0")
        max_moved = {"modulo": 2000, "rendezvous": lost, "bounded": 4 * lost}
        assert lost <= moved <= max_moved[name]


class TestBounded:
    """The bound of consistent hashing with bounded loads."""

    def test_no_target_is_over_the_bound(self):
        """The bound holds for load, not for the number of keys."""
        loads = _loads(baselines.bounded(TRACE, list(TARGETS)))
        assert max(loads.values()) <= 1.15 / len(TARGETS) + 1e-9


class TestPlacement:
    """The core's placement, driven by events without time."""

    def test_planned_stop_moves_only_the_keys_of_the_target(self):
        """The load is balanced afterwards."""
        placed = traces.Placement(TARGETS, 64, config.Placement())
        placed.settle(TRACE)
        before = placed.owners(TRACE)
        placed.leave("t0", TRACE)
        after = placed.owners(TRACE)
        moved = sum(a != b for a, b in zip(before, after, strict=True))
        assert moved == before.count("t0")
        placed.settle(TRACE)
        loads = _loads(placed.owners(TRACE))
        del loads["t0"]
        assert max(loads.values()) * 7 <= 1.15

    def test_moved_hot_keys_are_rebalanced(self):
        """The hottest 520 keys change."""
        placed = traces.Placement(TARGETS, 64, config.Placement())
        placed.settle(TRACE)
        moved = traces.move_hottest(TRACE, 5)
        assert sorted(k.load for k in moved) == sorted(k.load for k in TRACE)
        placed.settle(moved)
        owners = placed.owners(moved)
        loads = traces.target_loads(moved, owners, list(TARGETS))
        assert max(loads.values()) * 8 <= 1.15


class TestOutages:
    """Unavailable time in the small deployment."""

    def test_planned_stop_fails_no_request(self):
        """All requests succeed and the outage stays below 0.5 s."""
        row = outages.row("small", "one planned stop")
        assert row.failed == 0
        assert row.worst < 0.5


class TestSlopes:
    """Linear fits through measured points."""

    def test_line_is_recovered(self):
        """The fit recovers base and slope of points on a line."""
        points = [slopes.Point(n, 3.0 + 2.0 * n) for n in (1, 2, 5, 9)]
        fitted = slopes.fit("x", "bytes", "things", points)
        assert fitted.base == pytest.approx(3.0)
        assert fitted.slope == pytest.approx(2.0)

    def test_presence_does_not_grow_with_the_zone(self):
        """A VM sends equally many messages in zones of any size."""
        sent, _ = slopes.presence_slopes()
        assert abs(sent.slope) < 1e-6


class TestResults:
    """The committed results."""

    @pytest.mark.parametrize(
        ("name", "row", "least"),
        [
            ("balance", measures.Row, 80),
            ("outages", outages.Row, 15),
            ("propagation", spreading.Row, 12),
            ("slopes", slopes.Slope, 18),
        ],
    )
    def test_decode_with_the_expected_number_of_rows(self, name, row, least):
        """The pages take their figures from these files."""
        value = (RESULTS / f"{name}.json").read_bytes()
        assert len(msgspec.json.decode(value, type=list[row])) >= least

    def test_slopes_have_four_sizes(self):
        """Fewer points would not show a deviation from a line."""
        value = (RESULTS / "slopes.json").read_bytes()
        found = msgspec.json.decode(value, type=list[slopes.Slope])
        assert all(len(slope.points) >= 4 for slope in found)
