"""Tests of differences between versions of a block."""

import hypothesis
from hypothesis import strategies as st
import msgspec

from mimosastile_core import differences
from mimosastile_core import messages
from mimosastile_core import moves
from mimosastile_core import replica
from mimosastile_core import tables

BLOCK = tables.empty_block("s", 0, 8, 1)
FIRSTS = [piece.first for piece in BLOCK.slices]
PLANS = st.dictionaries(
    st.sampled_from(FIRSTS), st.sampled_from(["", "a", "b", "c"]), min_size=1
)
KEEPERS = st.dictionaries(
    st.sampled_from(["a", "b"]),
    st.tuples(st.sampled_from(["e", "f"]), st.sampled_from(["1", "2"])),
)


def _after(block, plan, keepers):
    for step in (
        lambda b: moves.start_moves(b, plan),
        lambda b: moves.set_keepers(b, keepers),
        lambda b: moves.finish_moves(b, moves.Gone("a", 1), lambda _: "c"),
    ):
        made = step(block)
        block = made.unwrap() if made.is_ok() else block
    return block


class TestChange:
    """What peers are told in place of a whole block."""

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(st.lists(st.tuples(PLANS, KEEPERS), max_size=4))
    def test_makes_the_very_block(self, steps):
        """Applied to the version it was made from."""
        old = new = BLOCK
        for plan, keepers in steps:
            old, new = new, _after(new, plan, keepers)
        change = differences.between(old, new)
        assert differences.applied(old, change) == new

    def test_split_slice_is_replaced(self):
        """The whole gives way to its parts."""
        whole = BLOCK.slices[0]
        middle = whole.last // 2
        parts = (
            msgspec.structs.replace(whole, last=middle),
            msgspec.structs.replace(whole, first=middle + 1),
        )
        new = msgspec.structs.replace(
            BLOCK, version=2, slices=(*parts, *BLOCK.slices[1:])
        )
        change = differences.between(BLOCK, new)
        assert change.slices == parts
        assert differences.applied(BLOCK, change) == new


class TestMissedVersion:
    """A VM missed the version that a change was made from.

    A mark that was set and taken back in between is in no difference. Applied
    all the same, it would stay, and requests for the key would wait for ever.
    """

    def test_change_is_not_applied_but_asked_for(self):
        """The replica says that it lacks the block."""
        first = moves.start_moves(BLOCK, {FIRSTS[0]: "a"}).unwrap()
        second = moves.start_moves(first, {FIRSTS[1]: "a"}).unwrap()
        copy = replica.Replica()
        copy.offer_blocks((BLOCK,))
        change = differences.between(first, second)
        delta = messages.Delta("x", changes=(change,))
        assert not copy.merge(delta)
        assert copy.misses_blocks(delta)
        copy.merge(messages.Delta("x", blocks=(second,)))
        assert not copy.misses_blocks(delta)

    def test_late_change_changes_nothing(self):
        """It overtook nobody."""
        first = moves.start_moves(BLOCK, {FIRSTS[0]: "a"}).unwrap()
        copy = replica.Replica()
        copy.offer_blocks((first,))
        change = differences.between(BLOCK, first)
        delta = messages.Delta("x", changes=(change,))
        assert not copy.merge(delta)
        assert not copy.misses_blocks(delta)
