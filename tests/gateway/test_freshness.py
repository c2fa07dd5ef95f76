"""Lower bounds of the time at which a view of the store was complete."""

import hypothesis
from hypothesis import strategies
import pytest

from mimosastile_core.gateway import freshness


class TestCurrency:
    """Bounds from several sources."""

    @pytest.mark.parametrize(
        ("noted", "now", "age"),
        [
            ((), 5.0, None),
            ((3.0,), 5.0, 2.0),
            ((3.0, 1.0), 5.0, 2.0),
            ((1.0, 3.0), 5.0, 2.0),
            ((6.0,), 5.0, 0.0),
        ],
    )
    def test_age(self, noted, now, age):
        """Guards against a late answer that makes a view look older."""
        known = freshness.Freshness()
        for at in noted:
            known.note(at)
        assert known.age(now) == age


class TestStamp:
    """Times that are told to a peer whose clock differs."""

    @hypothesis.given(
        offset=strategies.floats(-1e6, 1e6),
        asked=strategies.floats(0, 1e3),
        ways=strategies.tuples(
            strategies.floats(0, 10), strategies.floats(0, 10)
        ),
        at=strategies.floats(-20, 2e3),
    )
    def test_never_later_than_the_truth(self, offset, asked, ways, at):
        """Guards against a view that looks fresher than it is.

        The question or the answer was held up on its way.
        """
        made = asked + ways[0]
        stamp = freshness.ClockOffset(made + offset, asked, made + ways[1])
        assert stamp.to_peer(at) <= at + offset + 1e-6
        assert stamp.from_peer(at + offset) <= at + 1e-6
