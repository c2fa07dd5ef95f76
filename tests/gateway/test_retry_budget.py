"""The bound on repeated sends over all VMs together."""

import pytest

from mimosastile_core.gateway import retry_budget

RATIO, WINDOW, FIXED = 0.2, 10.0, 60.0


def _most_repeats(vms, requests_per_second, seconds=30):
    """Repeats in the worst window if every VM repeats whenever it may."""
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
    """All VMs together stay within the bound."""

    @pytest.mark.parametrize(("vms", "rate"), [(1, 200), (10, 400), (10, 0)])
    def test_every_vm_repeats_all_it_may(self, vms, rate):
        """All targets of a service reject everything for half a minute.

        If each VM repeated as it liked, the targets would get a multiple of
        what callers send, and would never recover.
        """
        allowed = RATIO * rate * WINDOW + FIXED
        # A caller's requests may be counted in the window before.
        assert _most_repeats(vms, rate) <= allowed * 1.1 + vms

    def test_tokens_come_back(self):
        """What was used in one window may be used again in a later one."""
        left = retry_budget.RetryBudget(RATIO, WINDOW, 2.0)
        assert left.take(0.0)
        assert left.take(0.0)
        assert not left.take(1.0)
        assert left.take(11.5)

    def test_part_follows_the_number_of_vms(self):
        """With fewer VMs each may repeat more."""
        left = retry_budget.RetryBudget(RATIO, WINDOW, 0.0)
        assert not left.take(0.0)
        left.set_fixed(3.0)
        assert left.take(0.0)
