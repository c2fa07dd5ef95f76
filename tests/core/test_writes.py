"""Tests of writes whose outcome is unknown."""

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


class TestLostResponse:
    """The store receives a keeper's write, and the response is lost.

    The write assigns a slice of a frozen target to another one, perhaps only
    a minute later. If the keeper granted the slice again to the first target,
    which has resumed by then, both targets would print the same letter.
    """

    def test_slice_is_withheld_until_a_later_version_is_observed(self):
        """A slice that the write doesn't change is not withheld."""
        pending = writes.PendingWrites()
        pending.sent(BASE, MOVED)
        pending.observe(BASE)
        assert pending.withholds(BASE.id, PIECES[0])
        assert not pending.withholds(BASE.id, PIECES[1])
        pending.observe(moves.barrier(BASE))
        assert not pending.withholds(BASE.id, PIECES[0])
        assert pending.blocks() == []

    def test_conflict_ends_only_its_own_write(self):
        """A retry that loses a race doesn't show the first one's outcome."""
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
        """A change of any part of the slice withholds it."""
        pending = writes.PendingWrites()
        proposed = msgspec.structs.replace(BASE, version=6, slices=slices)
        pending.sent(BASE, proposed)
        assert pending.withholds(BASE.id, PIECES[0])
