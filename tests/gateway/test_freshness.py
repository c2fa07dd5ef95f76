"""Lower bounds of the time at which a view of the store was complete."""

import hypothesis
from hypothesis import strategies
import pytest

from mimosastile_core.gateway import freshness


class TestFreshness:
    """Bounds from several sources."""

    @pytest.mark.parametrize(
        ("times", "now", "age"),
        [
            ((), 5.0, None),
            ((3.0,), 5.0, 2.0),
            ((3.0, 1.0), 5.0, 2.0),
            ((1.0, 3.0), 5.0, 2.0),
            ((6.0,), 5.0, 0.0),
        ],
    )
    def test_age(self, times, now, age):
        """Guards against a late response that makes a view look older."""
        view = freshness.Freshness()
        for at in times:
            view.record(at)
        assert view.age(now) == age


class TestClockOffset:
    """Times that are sent to a peer whose clock differs."""

    @hypothesis.given(
        offset=strategies.floats(-1e6, 1e6),
        asked=strategies.floats(0, 1e3),
        transit=strategies.tuples(
            strategies.floats(0, 10), strategies.floats(0, 10)
        ),
        at=strategies.floats(-20, 2e3),
    )
    def test_never_later_than_the_true_time(self, offset, asked, transit, at):
        """Guards against a view that looks fresher than it is.

        This could happen if the request or the response is delayed in transit.
        """
        answered_at = asked + transit[0]
        clock_offset = freshness.ClockOffset(
            answered_at + offset, asked, answered_at + transit[1]
        )
        assert clock_offset.to_peer(at) <= at + offset + 1e-6
        assert clock_offset.from_peer(at + offset) <= at + 1e-6
