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
    """What placement is compared with."""

    def test_every_key_has_a_listed_owner(self, name):
        """And the same one each time."""
        assign = baselines.BASELINES[name]
        owners = assign(TRACE, list(TARGETS))
        assert set(owners) <= set(TARGETS)
        assert owners == assign(TRACE, sorted(TARGETS, reverse=True))

    def test_loss_moves_as_many_keys_as_it_is_known_for(self, name):
        """Rendezvous moves the least, modulo nearly all."""
        assign = baselines.BASELINES[name]
        before = assign(TRACE, list(TARGETS))
        after = assign(TRACE, list(TARGETS)[1:])
        moved = sum(a != b for a, b in zip(before, after, strict=True))
        lost = before.count("t0")
        most = {"modulo": 2000, "rendezvous": lost, "bounded": 4 * lost}
        assert lost <= moved <= most[name]


class TestBounded:
    """The bound of consistent hashing with bounded loads."""

    def test_no_target_is_over_the_bound(self):
        """By load."""
        loads = _loads(baselines.bounded(TRACE, list(TARGETS)))
        assert max(loads.values()) <= 1.15 / len(TARGETS) + 1e-9


class TestPlacement:
    """The core driven by events alone."""

    def test_planned_stop_moves_only_what_it_must(self):
        """And load is even after it."""
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

    def test_hot_keys_that_move_are_evened_out(self):
        """The hottest 520 are others now."""
        placed = traces.Placement(TARGETS, 64, config.Placement())
        placed.settle(TRACE)
        moved = traces.move_hottest(TRACE, 5)
        assert sorted(k.load for k in moved) == sorted(k.load for k in TRACE)
        placed.settle(moved)
        owners = placed.owners(moved)
        loads = traces.target_loads(moved, owners, list(TARGETS))
        assert max(loads.values()) * 8 <= 1.15


class TestOutages:
    """Unavailable time, here of the small deployment."""

    def test_planned_stop_fails_nobody(self):
        """No request is refused."""
        row = outages.row("small", "one planned stop")
        assert row.failed == 0
        assert row.worst < 0.5


class TestSlopes:
    """Lines through measured points."""

    def test_line_is_recovered(self):
        """Base and slope of points on a line."""
        points = [slopes.Point(n, 3.0 + 2.0 * n) for n in (1, 2, 5, 9)]
        made = slopes.fit("x", "bytes", "things", points)
        assert made.base == pytest.approx(3.0)
        assert made.slope == pytest.approx(2.0)

    def test_presence_does_not_grow_with_the_zone(self):
        """Nor does the digest with the table."""
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
    def test_can_be_read_and_are_whole(self, name, row, least):
        """Each figure of the pages can be traced to them."""
        value = (RESULTS / f"{name}.json").read_bytes()
        assert len(msgspec.json.decode(value, type=list[row])) >= least

    def test_slopes_have_four_sizes(self):
        """Fewer would not show a bend."""
        value = (RESULTS / "slopes.json").read_bytes()
        found = msgspec.json.decode(value, type=list[slopes.Slope])
        assert all(len(slope.points) >= 4 for slope in found)
