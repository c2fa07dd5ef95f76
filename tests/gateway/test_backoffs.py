"""Tests of the backoff that targets ask for."""

import pytest

from mimosastile_core.gateway import backoffs


class TestBackoffs:
    """The backoffs of one VM."""

    @pytest.mark.parametrize(
        ("requested", "now", "left"),
        [
            ([], 1.0, 0.0),
            ([(0.0, 2.5)], 1.0, 1.5),
            ([(0.0, 2.5)], 2.5, 0.0),
            ([(0.0, 2.5), (1.0, 0.5)], 1.0, 1.5),
            ([(0.0, 2.5), (1.0, 4.0)], 2.0, 3.0),
            ([(0.0, 2.5), (3.0, 1.0)], 3.5, 0.5),
        ],
    )
    def test_longest_backoff_applies(self, requested, now, left):
        """Guards against a response that shortens a backoff in force."""
        tracker = backoffs.Backoffs()
        for at, seconds in requested:
            tracker.record("t", 1, seconds, at)
        assert tracker.seconds_left("t", 1, now) == left

    def test_next_incarnation(self):
        """Guards against the backoff of an ended incarnation."""
        tracker = backoffs.Backoffs()
        tracker.record("t", 1, 7200.0, 0.0)
        assert tracker.seconds_left("t", 2, 1.0) == 0.0
        tracker.record("t", 2, 1.0, 1.0)
        assert tracker.seconds_left("t", 2, 1.5) == 0.5

    def test_only_long_backoffs_move_keys(self):
        """Guards against moves of keys for a short backoff."""
        tracker = backoffs.Backoffs()
        tracker.record("short", 1, 1.5, 0.0)
        tracker.record("long", 1, 4.0, 0.0)
        assert tracker.long_backoffs(0.5) == {"long": 3.5}
        assert tracker.long_backoffs(3.6) == {}
