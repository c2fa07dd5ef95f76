"""Tests of deltas between versions of a block."""

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
        outcome = step(block)
        block = outcome.unwrap() if outcome.is_ok() else block
    return block


class TestChange:
    """Deltas that peers receive in place of a whole block."""

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(st.lists(st.tuples(PLANS, KEEPERS), max_size=4))
    def test_delta_reproduces_the_block(self, steps):
        """A delta applied to its base gives exactly the later version."""
        old = new = BLOCK
        for plan, keepers in steps:
            old, new = new, _after(new, plan, keepers)
        change = differences.diff(old, new)
        assert differences.apply(old, change) == new

    def test_split_slice_is_replaced(self):
        """The two parts replace the split slice."""
        whole = BLOCK.slices[0]
        middle = whole.last // 2
        parts = (
            msgspec.structs.replace(whole, last=middle),
            msgspec.structs.replace(whole, first=middle + 1),
        )
        new = msgspec.structs.replace(
            BLOCK, version=2, slices=(*parts, *BLOCK.slices[1:])
        )
        change = differences.diff(BLOCK, new)
        assert change.slices == parts
        assert differences.apply(BLOCK, change) == new


class TestMissedVersion:
    """A VM missed the base version of a delta.

    A move that was started and cancelled in between (`Slice.next` set and
    cleared) is not in the delta. If the delta were applied, the move would
    remain, and requests for its keys would wait for ever.
    """

    def test_missing_base_is_requested(self):
        """The replica does not apply the delta and reports a missing block."""
        first = moves.start_moves(BLOCK, {FIRSTS[0]: "a"}).unwrap()
        second = moves.start_moves(first, {FIRSTS[1]: "a"}).unwrap()
        copy = replica.Replica()
        copy.offer_blocks((BLOCK,))
        change = differences.diff(first, second)
        delta = messages.Delta("x", changes=(change,))
        assert not copy.merge(delta)
        assert copy.misses_blocks(delta)
        copy.merge(messages.Delta("x", blocks=(second,)))
        assert not copy.misses_blocks(delta)

    def test_delta_to_the_current_version_is_ignored(self):
        """A delta that arrives after its result has no effect."""
        first = moves.start_moves(BLOCK, {FIRSTS[0]: "a"}).unwrap()
        copy = replica.Replica()
        copy.offer_blocks((first,))
        change = differences.diff(BLOCK, first)
        delta = messages.Delta("x", changes=(change,))
        assert not copy.merge(delta)
        assert not copy.misses_blocks(delta)
