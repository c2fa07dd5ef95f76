"""Tests of the pace of takeovers."""

import pytest

from mimosastile_core import tables
from mimosastile_core import takeover

BLOCK = tables.BlockId("s", 0)


class TestMutualSuspicion:
    """Two entry VMs hear a target but not each other.

    Each suspects the other and takes the target from it, again and again. The
    store would be busy with nothing else, and callers would see their keys
    change keepers all the time.
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
        """The first one comes at once; a calm minute starts anew."""
        pace = takeover.TakeoverPace()
        for _ in range(tries):
            pace.note(BLOCK, "t", 10.0)
        assert pace.allows(BLOCK, "t", 10.0 + after) is allowed
        assert pace.allows(BLOCK, "other", 10.0)
