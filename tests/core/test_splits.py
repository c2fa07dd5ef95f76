"""Tests of splits and merges of slices."""

from mimosastile_core import grants
from mimosastile_core import splits
from mimosastile_core import tables

BLOCK = tables.Block(
    "s",
    0,
    4,
    (
        tables.Slice(0, 9, "a", 3),
        tables.Slice(10, 19, "a", 3, "b"),
        tables.Slice(20, 29, "b", 4),
    ),
)


class TestSplit:
    """Parts keep owner and fence."""

    def test_parts_cover_the_same_range(self):
        """`check_successor` accepts the split block."""
        after = splits.split(BLOCK, {0: (0, 4, 5)}).unwrap()
        assert tables.check_successor(BLOCK, after).is_ok()
        assert [(s.first, s.last) for s in after.slices[:3]] == [
            (0, 3),
            (4, 4),
            (5, 9),
        ]
        assert {s.fence for s in after.slices[:3]} == {3}

    def test_moving_slice_is_not_split(self):
        """A proof of release that names it may be in flight."""
        assert splits.split(BLOCK, {10: (10, 15)}).is_err()

    def test_bounds_outside_a_slice_are_ignored(self):
        """The table may have changed since the plan."""
        assert splits.split(BLOCK, {0: (0, 12), 5: (5, 7)}).is_err()


class TestMerge:
    """Merges of adjacent parts."""

    def test_parts_of_one_slice_are_merged(self):
        """The slices equal those before the split."""
        parts = splits.split(BLOCK, {0: (0, 4, 5)}).unwrap()
        pairs = frozenset(b for _, b in splits.mergeable_pairs(parts))
        after = splits.merge(parts, pairs).unwrap()
        assert after.slices == BLOCK.slices
        assert tables.check_successor(parts, after).is_ok()

    def test_other_owner_fence_or_move_is_not_merged(self):
        """Each such merge would change which target may run a key."""
        assert splits.merge(BLOCK, frozenset({10, 20})).is_err()


class TestSplitOfGrantedSlice:
    """A slice is split and its second part moved before its owner is updated.

    The owner holds a grant for the whole slice. If the part counted as released
    because no grant begins with it, its keys would run on two servers.
    """

    def test_part_is_not_released_while_the_whole_is_granted(self):
        """Release requires an acknowledged set without any overlap."""
        kept = grants.KeptTarget(
            tables.BlockId("s", 0), "a", 1, grants.Timing(), 0.0, True
        )
        kept.set_wanted((grants.HeldSlice(0, 9, 3),))
        sent = kept.message()
        reply = grants.GrantReply(
            grants.GrantStatus.ACCEPTED,
            grants.Stamp("run", 1.0),
            1,
            sent.sequence,
        )
        kept.handle_reply(sent, reply, 0.1)
        kept.handle_reply(kept.message(), reply, 0.2)
        part = tables.Slice(5, 9, "a", 3, "b")
        assert not kept.has_released(part)
