"""Tests of the backoff that targets ask for."""

import pytest

from mimosastile_core.gateway import backoffs


class TestRests:
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
        record = backoffs.Backoffs()
        for at, seconds in requested:
            record.ask("t", 1, seconds, at)
        assert record.left("t", 1, now) == left

    def test_next_incarnation(self):
        """Guards against the backoff of an ended incarnation."""
        record = backoffs.Backoffs()
        record.ask("t", 1, 7200.0, 0.0)
        assert record.left("t", 2, 1.0) == 0.0
        record.ask("t", 2, 1.0, 1.0)
        assert record.left("t", 2, 1.5) == 0.5

    def test_only_long_backoffs_move_keys(self):
        """Guards against moves of keys for a short backoff."""
        record = backoffs.Backoffs()
        record.ask("short", 1, 1.5, 0.0)
        record.ask("long", 1, 4.0, 0.0)
        assert record.long(0.5) == {"long": 3.5}
        assert record.long(3.6) == {}
