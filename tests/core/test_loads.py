"""Tests of counting and collecting load."""

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
        """Fullest first, per second, within the bound."""
        counter = loads.Counter()
        for position, seconds in ((1, 2.0), (3, 4.0), (12, 1.0)):
            counter.note(position, seconds)
        taken = counter.take(TABLE, 2.0, 1)
        assert taken == (messages.SliceReport(0, 3.0, 3, 2.0),)

    def test_begins_anew(self):
        """What was taken is not counted again."""
        counter = loads.Counter()
        counter.note(1, 1.0)
        counter.take(TABLE, 1.0, 9)
        assert counter.take(TABLE, 1.0, 9) == ()

    def test_memory_is_bounded(self):
        """Keys beyond the bound count in proportion."""
        counter = loads.Counter()
        for position in range(20_000):
            counter.note(position, 1.0)
        wide = tables.Table(
            "s", [tables.Block("s", 0, 1, (tables.Slice(0, 10**6, "a"),))]
        )
        (piece,) = counter.take(wide, 1.0, 9)
        assert abs(piece.load - 20_000) < 1


class TestBoard:
    """What all keepers reported."""

    def test_smooths_and_fades(self):
        """A slice that nobody reports any more cools down."""
        board = loads.Board()
        board.take(_report("e", 10.0), 0.0)
        board.take(_report("e", 0.0), 2.0)
        assert 0 < board.loads[0].load < 10
        before = board.loads[0].load
        board.fade([0], 30.0)
        assert board.loads[0].load < before
        board.fade([], 31.0)
        assert board.loads == {}

    def test_knows_which_targets_are_heard(self):
        """By fresh reports alone."""
        board = loads.Board()
        board.take(_report("e", 1.0, ("a", "b")), 0.0)
        assert board.heard(5.0) == {"a", "b"}
        assert board.heard(20.0) == frozenset()
