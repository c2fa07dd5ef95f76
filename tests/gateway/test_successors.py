"""Which VMs a leader that is cut off from the store asks to lead."""

import pytest

from mimosastile_core.gateway import successors

VMS = tuple(f"vm-{n}" for n in range(7))


def _seconds_until_asked(choice, able, reaches, step=0.1):
    """Returns the seconds until a VM that reaches the store is asked."""
    now = 0.0
    while not reaches & set(choice.next(able, now)):
        now += step
        assert now < 60
    return now


class TestLostAccess:
    """The leader and some VMs that it asks are cut off from the store."""

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
        """The best VMs are cut off as well, but still count as reachable.

        Keys of lost targets have no owner until another VM leads, and requests
        for them are refused meanwhile.
        """
        choice = successors.SuccessorSelection()
        assert _seconds_until_asked(choice, VMS, set(VMS[cut:])) <= most

    def test_asked_vms_get_time_to_respond(self):
        """The VMs asked get time to respond before others are asked."""
        choice = successors.SuccessorSelection()
        assert choice.next(VMS, 0.0) == VMS[:3]
        assert choice.next(VMS, 0.5) == ()
        assert choice.next(VMS, 0.7) == VMS[3:6]
        assert choice.asked == VMS[:6]

    def test_flapping(self):
        """All VMs were asked without success, and other VMs are cut off now.

        A VM that was cut off before may be the only one that is not now.
        """
        choice = successors.SuccessorSelection()
        for second in range(3):
            choice.next(VMS, float(second))
        assert set(VMS[:3]) <= set(choice.next(VMS, 3.0))

    def test_store_is_down(self):
        """If the store itself is down, no VM is asked."""
        choice = successors.SuccessorSelection()
        assert choice.next((), 0.0) == ()
        assert choice.asked == ()

    def test_store_is_back(self):
        """VMs asked during an outage no longer count as asked after it."""
        choice = successors.SuccessorSelection()
        choice.next(VMS, 0.0)
        choice.clear()
        assert choice.asked == ()
