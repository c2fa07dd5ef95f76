"""Tests of writes whose outcome is not known."""

import msgspec
import pytest

from mimosastile_core import moves
from mimosastile_core import tables
from mimosastile_core import writes

PIECES = (tables.Slice(0, 9, "a", 2), tables.Slice(10, 19, "a", 3))
BASE = tables.Block("s", 0, 5, PIECES, {"a": tables.KeeperRef("e", "b", 1)})
MOVED = msgspec.structs.replace(
    BASE, version=6, slices=(tables.Slice(0, 9, "b", 6), PIECES[1])
)


class TestLostAnswer:
    """The store takes a keeper's write and its answer is lost.

    The write gives a slice of a frozen target to another one, perhaps only a
    minute later. If the keeper granted the slice again to the first target,
    which has thawed meanwhile, the same letter would be printed by both.
    """

    def test_slice_is_withheld_until_a_later_version_is_seen(self):
        """The slice that the write leaves alone goes on."""
        pending = writes.PendingWrites()
        pending.sent(BASE, MOVED)
        pending.seen(BASE)
        assert pending.withholds(BASE.id, PIECES[0])
        assert not pending.withholds(BASE.id, PIECES[1])
        pending.seen(moves.barrier(BASE))
        assert not pending.withholds(BASE.id, PIECES[0])
        assert pending.blocks() == []

    def test_conflict_ends_only_the_write_that_met_it(self):
        """A second try that loses a race says nothing about the first."""
        pending = writes.PendingWrites()
        again = msgspec.structs.replace(MOVED)
        pending.sent(BASE, MOVED)
        pending.sent(BASE, again)
        pending.failed(again)
        assert pending.withholds(BASE.id, PIECES[0])
        pending.failed(MOVED)
        assert not pending.is_pending(BASE.id)

    @pytest.mark.parametrize(
        "slices",
        [
            (tables.Slice(0, 9, "a", 6), PIECES[1]),
            (tables.Slice(0, 4, "a", 2), tables.Slice(5, 19, "b", 6)),
        ],
    )
    def test_new_fence_and_split_withhold_too(self, slices):
        """Whatever part of the slice would change counts."""
        pending = writes.PendingWrites()
        proposed = msgspec.structs.replace(BASE, version=6, slices=slices)
        pending.sent(BASE, proposed)
        assert pending.withholds(BASE.id, PIECES[0])
