"""Tests of the backoff of takeovers."""

import pytest

from mimosastile_core import tables
from mimosastile_core import takeover

BLOCK = tables.BlockId("s", 0)


class TestMutualSuspicion:
    """Two entry VMs can reach a target but not each other.

    Each suspects the other and repeatedly takes the target over. Without a
    backoff, these writes would saturate the store, and the keeper of the
    callers' keys would change all the time.
    """

    @pytest.mark.parametrize(
        ("tries", "after", "allowed"),
        [
            (0, 0.0, True),
            (1, 0.5, False),
            (1, 1.0, True),
            (3, 3.9, False),
            (3, 4.0, True),
            (20, 29.0, False),
            (20, 30.0, True),
            (20, 61.0, True),
        ],
    )
    def test_each_takeover_waits_twice_as_long(self, tries, after, allowed):
        """The first is immediate; a minute without any resets the wait."""
        backoff = takeover.TakeoverBackoff()
        for _ in range(tries):
            backoff.record(BLOCK, "t", 10.0)
        assert backoff.allows(BLOCK, "t", 10.0 + after) is allowed
        assert backoff.allows(BLOCK, "other", 10.0)
