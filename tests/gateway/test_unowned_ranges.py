"""How long keys without an owner are expected to have none."""

import pytest

from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import unowned_ranges


def _assigned(serial, firsts, owners):
    return assignments.Assignment("s", (1, serial), firsts, owners)


def _after(gone, *, key=100):
    made = unowned_ranges.UnownedRanges(2.2, 12.2)
    made.take(_assigned(1, (0, 50, 200), ("a", "", "b")), 10.0)
    return made.seconds("s", key, 10.0 + gone)


class TestExpected:
    """What the time without an owner says."""

    @pytest.mark.parametrize(
        ("gone", "expected"),
        [
            pytest.param(0.2, 0.0, id="handed over"),
            pytest.param(1.2, 1.0, id="its target died"),
            pytest.param(4.2, 8.0, id="its leader was lost as well"),
            pytest.param(30.0, 0.6, id="longer than anything known"),
        ],
    )
    def test_by_time_gone(self, gone, expected):
        """A target dies; requests for its keys come while nobody owns them.

        Kept until their deadlines pass they are all lost; refused with the
        time that is left, their callers come back when the keys are served.
        """
        assert _after(gone) == pytest.approx(expected)

    def test_owned_key(self):
        """A key that has an owner is waited for by nobody."""
        assert _after(5.0, key=10) == 0.0

    def test_unknown_service(self):
        """Nothing was told yet; the first table comes soon."""
        made = unowned_ranges.UnownedRanges(2.2, 12.2)
        assert made.seconds("s", 1, 5.0) == 0.0


class TestChanges:
    """Vacancies over several assignments."""

    def test_time_runs_on(self):
        """Other keys change hands meanwhile; this range was cut."""
        made = unowned_ranges.UnownedRanges(2.2, 12.2)
        made.take(_assigned(1, (0, 50, 200), ("a", "", "b")), 10.0)
        made.take(_assigned(2, (0, 60, 90, 200), ("a", "", "c", "b")), 11.0)
        assert made.seconds("s", 70, 11.2) == pytest.approx(1.0)
        assert made.seconds("s", 95, 11.2) == 0.0

    def test_served_again(self):
        """Keys got an owner and lost it again; time begins anew."""
        made = unowned_ranges.UnownedRanges(2.2, 12.2)
        made.take(_assigned(1, (0,), ("",)), 10.0)
        made.take(_assigned(2, (0,), ("a",)), 11.0)
        made.take(_assigned(3, (0,), ("",)), 12.0)
        assert made.seconds("s", 1, 13.0) == pytest.approx(1.2)

    @pytest.mark.parametrize("joined", [True, False])
    def test_many_neighbours(self, joined):
        """Guards against a range that forgets its oldest part."""
        made = unowned_ranges.UnownedRanges(2.2, 12.2)
        made.take(_assigned(1, (0, 10, 20), ("", "a", "")), 10.0)
        made.take(_assigned(2, (0, 10, 15, 20), ("", "", "a", "")), 11.0)
        if joined:
            made.take(_assigned(3, (0,), ("",)), 11.1)
        assert made.seconds("s", 5, 11.2) == pytest.approx(1.0)
        assert made.seconds("s", 30, 11.2) == pytest.approx(1.0)
        expected = 1.0 if joined else 0.0
        assert made.seconds("s", 12, 11.2) == pytest.approx(expected)
