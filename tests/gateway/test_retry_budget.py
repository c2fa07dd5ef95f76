"""Tests of the retry budget of all VMs together."""

import pytest

from mimosastile_core.gateway import retry_budget

RATIO, WINDOW, FIXED = 0.2, 10.0, 60.0


def _most_retries(vms, requests_per_second, seconds=30):
    """Returns the retries in the worst window if VMs use all they may."""
    parts = [
        retry_budget.RetryBudget(RATIO, WINDOW, FIXED / vms) for _ in range(vms)
    ]
    taken = []
    steps = 20
    for step in range(seconds * steps):
        now = step / steps
        for part in parts:
            for _ in range(requests_per_second // steps // vms):
                part.request(now)
            while part.take(now):
                taken.append(now)
    return max(
        sum(begin <= t < begin + WINDOW for t in taken)
        for begin in range(seconds)
    )


class TestBound:
    """All VMs together stay within the budget."""

    @pytest.mark.parametrize(("vms", "rate"), [(1, 200), (10, 400), (10, 0)])
    def test_vms_that_retry_all_they_may(self, vms, rate):
        """Guards against retry storms.

        All targets of a service reject everything for half a minute. Without a
        budget, the targets would get a multiple of the callers' requests and
        would never recover.
        """
        allowed = RATIO * rate * WINDOW + FIXED
        # A caller's requests may be counted in the previous window.
        assert _most_retries(vms, rate) <= allowed * 1.1 + vms

    def test_retries_become_available_again(self):
        """Retries used in one window are available again in a later one."""
        budget = retry_budget.RetryBudget(RATIO, WINDOW, 2.0)
        assert budget.take(0.0)
        assert budget.take(0.0)
        assert not budget.take(1.0)
        assert budget.take(11.5)

    def test_share_follows_the_number_of_vms(self):
        """With fewer VMs each may retry more."""
        budget = retry_budget.RetryBudget(RATIO, WINDOW, 0.0)
        assert not budget.take(0.0)
        budget.set_fixed(3.0)
        assert budget.take(0.0)
