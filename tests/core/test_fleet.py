"""Tests of the platform's list of VMs."""

import pytest

from mimosastile_core import fleet


class TestLeavingTargets:
    """A target leaves while the store is down.

    Its keys cannot be handed over. The platform would stop the target in the
    middle of requests that it started after the timeout, and it would be
    uncertain for their callers whether they ran.
    """

    @pytest.mark.parametrize(
        ("now", "over"), [(10.0, False), (10.9, False), (11.1, True)]
    )
    def test_handover_times_out(self, now, over):
        """The timeout counts from the first snapshot that marks the target."""
        leaving = fleet.LeavingTargets()
        leaving.update(_listed(fleet.VmState.LEAVING), 10.0)
        leaving.update(_listed(fleet.VmState.LEAVING), 10.5)
        assert leaving.has_timed_out("t", now) is over

    def test_withdrawn_mark_has_no_effect(self):
        """The platform lists the target as live again."""
        leaving = fleet.LeavingTargets()
        leaving.update(_listed(fleet.VmState.LEAVING), 10.0)
        leaving.update(_listed(fleet.VmState.LIVE), 10.5)
        assert not leaving.has_timed_out("t", 20.0)


def _listed(state):
    role = fleet.Role.TARGET
    vm = fleet.Vm("t", role, "r", "z", "127.0.0.1", 0, "s", state)
    return fleet.Fleet((vm,))
