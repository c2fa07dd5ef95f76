"""Tests of the bound on a listener's connections."""

import hypothesis
from hypothesis import strategies as st

from mimosastile_core import connection_limits


def _limit(most, *opened):
    limit = connection_limits.ConnectionLimit(most)
    for connection, owner in opened:
        assert limit.open(connection, owner) is None
    return limit


class TestConnectionLimit:
    """Which connection gives way to a new one."""

    def test_without_a_request_first(self):
        """Guards against callers displaced by ones that send nothing."""
        limit = _limit(2, (1, "a"), (2, "a"))
        limit.begin(1)
        limit.end(1)
        assert limit.open(3, "a") == 2
        assert limit.open(4, "a") == 3

    def test_most_connections_first(self):
        """Guards against one caller whose connections displace another's."""
        limit = _limit(3, (1, "a"), (2, "b"), (3, "b"))
        assert limit.open(4, "c") == 2

    def test_longest_idle_next(self):
        """Guards against idle connections that keep out new ones."""
        limit = _limit(2, (1, "a"), (2, "a"))
        for connection in (1, 2, 1):
            limit.begin(connection)
            limit.end(connection)
        assert limit.open(3, "a") == 2

    def test_requests_in_progress(self):
        """Guards against a request cut off for a new connection."""
        limit = _limit(1, (1, "a"))
        limit.begin(1)
        assert limit.open(2, "b") == 2
        assert len(limit) == 1
        limit.end(1)
        assert limit.open(2, "b") == 1

    def test_no_bound(self):
        """Without a bound, no connection gives way."""
        assert len(_limit(0, *((n, "a") for n in range(100)))) == 100

    @hypothesis.given(
        events=st.lists(
            st.tuples(
                st.sampled_from(["open", "begin", "end", "close"]),
                st.integers(0, 6),
            ),
            max_size=80,
        )
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_any_order(self, events):
        """Guards against a table that drifts, or exceeds its bound."""
        limit = connection_limits.ConnectionLimit(3)
        serving = {}
        for kind, connection in events:
            if kind == "open" and connection not in serving:
                serving[connection] = False
                evicted = limit.open(connection, "ab"[connection % 2])
                if evicted is not None:
                    assert not serving.pop(evicted)
            elif kind == "close":
                serving.pop(connection, None)
                limit.close(connection)
            elif connection in serving and kind != "open":
                serving[connection] = kind == "begin"
                getattr(limit, kind)(connection)
            assert len(limit) == len(serving) <= 3
