"""Whom a leader that is cut off from the store asks to lead."""

import pytest

from mimosastile_core.gateway import successors

VMS = tuple(f"vm-{n}" for n in range(7))


def _asked_until(made, able, reaches, step=0.1):
    """Returns how long it takes until one that reaches the store is asked."""
    now = 0.0
    while not reaches & set(made.next(able, now)):
        now += step
        assert now < 60
    return now


class TestCuts:
    """A cut hits the leader and some of those that it asks."""

    @pytest.mark.parametrize(
        ("cut", "most"),
        [
            pytest.param(0, 0.0, id="leader only"),
            pytest.param(1, 0.0, id="leader and successor"),
            pytest.param(2, 0.0, id="leader and two"),
            pytest.param(4, 1.0, id="a zone"),
            pytest.param(6, 1.5, id="all but one"),
        ],
    )
    def test_one_that_reaches_the_store_is_asked(self, cut, most):
        """The best VMs are cut off as well, and nobody knows it yet.

        Keys of lost targets have no owner until another VM leads; callers are
        refused meanwhile.
        """
        made = successors.SuccessorSelection()
        assert _asked_until(made, VMS, set(VMS[cut:])) <= most

    def test_those_asked_have_time(self):
        """The same VMs are not asked again at once, and no others."""
        made = successors.SuccessorSelection()
        assert made.next(VMS, 0.0) == VMS[:3]
        assert made.next(VMS, 0.5) == ()
        assert made.next(VMS, 0.7) == VMS[3:6]
        assert made.asked == VMS[:6]

    def test_flapping(self):
        """All were asked in vain, and the cut moves on to others.

        Whoever was cut off before may be the only one now that is not.
        """
        made = successors.SuccessorSelection()
        for second in range(3):
            made.next(VMS, float(second))
        assert set(VMS[:3]) <= set(made.next(VMS, 3.0))

    def test_nobody_reaches_the_store(self):
        """It is the store that is down; nobody is asked."""
        made = successors.SuccessorSelection()
        assert made.next((), 0.0) == ()
        assert made.asked == ()

    def test_store_is_back(self):
        """Whoever was asked in an outage is not asked any more."""
        made = successors.SuccessorSelection()
        made.next(VMS, 0.0)
        made.clear()
        assert made.asked == ()
