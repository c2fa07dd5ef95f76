"""Tests of the bound on the memory of unfinished heads."""

import hypothesis
from hypothesis import strategies as st

from mimosastile_core import unfinished_heads


class TestUnfinishedHeads:
    """Heads that have not arrived whole."""

    def test_oldest_is_dropped(self):
        """Guards against old heads that keep out the heads of new callers."""
        heads = unfinished_heads.UnfinishedHeads(10)
        assert heads.hold("a", 4) == []
        assert heads.hold("b", 4) == []
        assert heads.hold("a", 5) == []
        assert heads.hold("c", 4) == ["a"]
        assert heads.total == 8
        assert heads.evicted == 1

    def test_head_beyond_the_bound(self):
        """Guards against a single head that exceeds the bound alone."""
        heads = unfinished_heads.UnfinishedHeads(10)
        heads.hold("a", 5)
        assert heads.hold("b", 11) == ["a", "b"]
        assert heads.total == 0

    def test_no_bound(self):
        """Without a bound, no head is dropped."""
        heads = unfinished_heads.UnfinishedHeads()
        assert heads.hold("a", 1 << 40) == []

    def test_many_headers(self):
        """Guards against short headers counted by their bytes alone."""
        assert unfinished_heads.head_cost(12, 2) > 12 + 200

    @hypothesis.given(
        events=st.lists(
            st.tuples(st.integers(0, 4), st.integers(0, 8)), max_size=60
        )
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_any_order(self, events):
        """Guards against an account that drifts or exceeds its bound."""
        heads = unfinished_heads.UnfinishedHeads(12)
        costs = {}
        for holder, cost in events:
            if cost:
                costs[holder] = cost
                for dropped in heads.hold(holder, cost):
                    del costs[dropped]
            else:
                costs.pop(holder, None)
                heads.release(holder)
            assert heads.total == sum(costs.values()) <= 12
