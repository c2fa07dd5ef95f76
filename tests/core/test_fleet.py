"""Tests of the list of VMs."""

import pytest

from mimosastile_core import fleet


class TestLeaving:
    """A target is to leave while the store is down.

    Its keys cannot be given away. What it began after its time would be cut
    off half-way, and the caller would not know whether it ran.
    """

    @pytest.mark.parametrize(
        ("now", "over"), [(10.0, False), (10.9, False), (11.1, True)]
    )
    def test_has_a_moment_to_hand_over(self, now, over):
        """Then it gets no new work."""
        leaving = fleet.Leaving()
        leaving.update(_listed(fleet.VmState.LEAVING), 10.0)
        leaving.update(_listed(fleet.VmState.LEAVING), 10.5)
        assert leaving.is_over("t", now) is over

    def test_mark_that_is_taken_back_counts_no_more(self):
        """The platform changed its mind."""
        leaving = fleet.Leaving()
        leaving.update(_listed(fleet.VmState.LEAVING), 10.0)
        leaving.update(_listed(fleet.VmState.LIVE), 10.5)
        assert not leaving.is_over("t", 20.0)


def _listed(state):
    role = fleet.Role.TARGET
    vm = fleet.Vm("t", role, "r", "z", "127.0.0.1", 0, "s", state)
    return fleet.Fleet((vm,))
