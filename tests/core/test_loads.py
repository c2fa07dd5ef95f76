"""Tests of measuring and aggregating load."""

from mimosastile_core import loads
from mimosastile_core import messages
from mimosastile_core import tables

TABLE = tables.Table(
    "s",
    [
        tables.Block(
            "s",
            0,
            1,
            (tables.Slice(0, 9, "a", 1), tables.Slice(10, 19, "b", 1)),
        )
    ],
)


def _report(vm, load, heard=("a",)):
    piece = messages.SliceReport(0, load, 3, load / 2)
    return messages.LoadReport(vm, "s", (piece,), heard)


class TestCounter:
    """Slot-seconds of one interval."""

    def test_sums_by_slice_and_names_the_hottest_key(self):
        """Highest load first, per second, within the bound."""
        counter = loads.Counter()
        for position, seconds in ((1, 2.0), (3, 4.0), (12, 1.0)):
            counter.record(position, seconds)
        reports = counter.collect(TABLE, 2.0, 1)
        assert reports == (messages.SliceReport(0, 3.0, 3, 2.0),)

    def test_collect_resets_the_counter(self):
        """Collected seconds are not counted again."""
        counter = loads.Counter()
        counter.record(1, 1.0)
        counter.collect(TABLE, 1.0, 9)
        assert counter.collect(TABLE, 1.0, 9) == ()

    def test_memory_is_bounded(self):
        """Keys beyond the bound are counted in proportion."""
        counter = loads.Counter()
        for position in range(20_000):
            counter.record(position, 1.0)
        wide = tables.Table(
            "s", [tables.Block("s", 0, 1, (tables.Slice(0, 10**6, "a"),))]
        )
        (piece,) = counter.collect(wide, 1.0, 9)
        assert abs(piece.load - 20_000) < 1


class TestAggregator:
    """Aggregation of the reports of all keepers."""

    def test_loads_are_smoothed_and_decay(self):
        """The load of a slice without a valid report decays."""
        aggregator = loads.Aggregator()
        aggregator.record(_report("e", 10.0), 0.0)
        aggregator.record(_report("e", 0.0), 2.0)
        assert 0 < aggregator.loads[0].load < 10
        before = aggregator.loads[0].load
        aggregator.decay([0], 30.0)
        assert aggregator.loads[0].load < before
        aggregator.decay([], 31.0)
        assert aggregator.loads == {}

    def test_responding_targets_come_from_valid_reports(self):
        """Expired reports do not count."""
        aggregator = loads.Aggregator()
        aggregator.record(_report("e", 1.0, ("a", "b")), 0.0)
        assert aggregator.responding_targets(5.0) == {"a", "b"}
        assert aggregator.responding_targets(20.0) == frozenset()
