"""How long unowned keys are expected to have no owner."""

import pytest

from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import unowned_ranges


def _assigned(serial, firsts, owners):
    return assignments.Assignment("s", (1, serial), firsts, owners)


def _seconds_left(gone, *, key=100):
    unowned = unowned_ranges.UnownedRanges(2.2, 12.2)
    unowned.update(_assigned(1, (0, 50, 200), ("a", "", "b")), 10.0)
    return unowned.seconds("s", key, 10.0 + gone)


class TestExpected:
    """Expected time by the time for which keys have had no owner."""

    @pytest.mark.parametrize(
        ("gone", "expected"),
        [
            pytest.param(0.2, 0.0, id="handed over"),
            pytest.param(1.2, 1.0, id="its target crashed"),
            pytest.param(4.2, 2.0, id="its leader was lost as well"),
            pytest.param(11.0, 1.2, id="the longest time is nearly over"),
            pytest.param(30.0, 0.6, id="longer than any expected time"),
        ],
    )
    def test_by_time_without_an_owner(self, gone, expected):
        """A target crashes, and requests for its keys arrive before they move.

        If these requests are held until their deadlines, all of them fail. If
        they are refused with the time left, their callers retry when the keys
        are served.
        """
        assert _seconds_left(gone) == pytest.approx(expected)

    def test_owned_key(self):
        """There is no wait for a key that has an owner."""
        assert _seconds_left(5.0, key=10) == 0.0

    def test_unknown_service(self):
        """No assignment has been received yet; the first one arrives soon."""
        unowned = unowned_ranges.UnownedRanges(2.2, 12.2)
        assert unowned.seconds("s", 1, 5.0) == 0.0


class TestChanges:
    """Unowned ranges over several assignments."""

    def test_time_continues_for_the_rest_of_a_range(self):
        """Parts of a range get owners; the time of the rest continues."""
        unowned = unowned_ranges.UnownedRanges(2.2, 12.2)
        unowned.update(_assigned(1, (0, 50, 200), ("a", "", "b")), 10.0)
        unowned.update(
            _assigned(2, (0, 60, 90, 200), ("a", "", "c", "b")), 11.0
        )
        assert unowned.seconds("s", 70, 11.2) == pytest.approx(1.0)
        assert unowned.seconds("s", 95, 11.2) == 0.0

    def test_time_starts_anew_after_an_owner(self):
        """Keys got an owner and lost it again; the time starts anew."""
        unowned = unowned_ranges.UnownedRanges(2.2, 12.2)
        unowned.update(_assigned(1, (0,), ("",)), 10.0)
        unowned.update(_assigned(2, (0,), ("a",)), 11.0)
        unowned.update(_assigned(3, (0,), ("",)), 12.0)
        assert unowned.seconds("s", 1, 13.0) == pytest.approx(1.2)

    @pytest.mark.parametrize("joined", [True, False])
    def test_joined_ranges_keep_the_oldest_time(self, joined):
        """Guards against a range that loses the time of its oldest part."""
        unowned = unowned_ranges.UnownedRanges(2.2, 12.2)
        unowned.update(_assigned(1, (0, 10, 20), ("", "a", "")), 10.0)
        unowned.update(_assigned(2, (0, 10, 15, 20), ("", "", "a", "")), 11.0)
        if joined:
            unowned.update(_assigned(3, (0,), ("",)), 11.1)
        assert unowned.seconds("s", 5, 11.2) == pytest.approx(1.0)
        assert unowned.seconds("s", 30, 11.2) == pytest.approx(1.0)
        expected = 1.0 if joined else 0.0
        assert unowned.seconds("s", 12, 11.2) == pytest.approx(expected)
