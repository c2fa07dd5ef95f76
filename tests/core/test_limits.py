"""Tests of members' limits across all entry VMs."""

import random

import pytest

from mimosastile_core import limits

VMS = [f"e{n}" for n in range(10)]


class TestWaterFill:
    """Division of a limit by max-min fairness."""

    @pytest.mark.parametrize(
        ("wanted", "total", "base", "expected"),
        [
            ({"a": 0, "b": 0}, 10, 0, {"a": 0, "b": 0}),
            ({"a": 1, "b": 5}, 10, 0, {"a": 1, "b": 5}),
            ({"a": 50, "b": 50}, 10, 0, {"a": 5, "b": 5}),
            ({"a": 2, "b": 50}, 10, 0, {"a": 2, "b": 8}),
            ({"a": 0, "b": 50}, 10, 1, {"a": 1, "b": 9}),
        ],
    )
    def test_shares(self, wanted, total, base, expected):
        """Small needs are met first; larger ones get equal shares."""
        assert limits.water_fill(wanted, total, base) == expected


class TestAllocator:
    """Choice of the VM that allocates a member's limits."""

    def test_every_vm_computes_the_same(self):
        """The order of the list does not matter."""
        found = {limits.allocator("m", v) for v in (VMS, reversed(VMS))}
        assert len(found) == 1

    def test_members_are_spread(self):
        """No VM is the allocator of all members."""
        assert len({limits.allocator(f"m{n}", VMS) for n in range(50)}) > 5


class _Deployment:
    """Entry VMs that report to one allocator at random times."""

    def __init__(self, limit, seed):
        self.limit = limit
        self.random = random.Random(seed)
        self.now = 0.0
        self.ledger = limits.Ledger(0.0, whole=True)
        self.allowances = {vm: limits.Allowance(0.0) for vm in VMS}

    def step(self, vm, wanted, isolated=(), loss=0.0):
        self.now += 0.02
        allowance = self.allowances[vm]
        while allowance.in_use < wanted and allowance.admit(
            self.limit, 0.0, len(VMS), self.now
        ):
            pass
        waiting = max(wanted - allowance.in_use, 0)
        while allowance.in_use > wanted:
            allowance.release()
        need, _ = allowance.needs(self.now, waiting)
        if vm in isolated:
            return
        share = self.ledger.report(vm, need, self.limit, VMS, self.now)
        if self.random.random() >= loss:
            allowance.grant(share, 0.0, self.now)

    @property
    def in_use(self):
        return sum(a.in_use for a in self.allowances.values())


class TestSumOfShares:
    """A member's requests arrive at all entry VMs at once.

    If each VM enforced the limit separately, a member would get ten times as
    much as it pays for, at the cost of the others.
    """

    @pytest.mark.parametrize("limit", [10, 40, 200])
    def test_sum_never_exceeds_the_limit(self, limit):
        """The limit also holds while needs change and replies are lost."""
        deployment = _Deployment(limit, seed=1)
        for _ in range(3000):
            vm = deployment.random.choice(VMS)
            deployment.step(
                vm, deployment.random.choice((0, 2, limit)), loss=0.3
            )
            assert deployment.in_use <= limit

    def test_all_of_the_limit_can_be_used_through_one_vm(self):
        """Unneeded shares move there, except the guaranteed ones."""
        deployment = _Deployment(100, seed=1)
        for _ in range(50):
            for vm in VMS:
                deployment.step(vm, 1000 if vm == "e0" else 0)
        assert deployment.allowances["e0"].in_use >= 55
        assert deployment.in_use <= 100

    def test_vms_with_equal_needs_use_the_whole_limit(self):
        """This is the usual case, as callers are balanced over the VMs."""
        deployment = _Deployment(100, seed=1)
        for _ in range(50):
            for vm in VMS:
                deployment.step(vm, 1000)
        assert deployment.in_use == 100


class TestIsolatedZone:
    """A zone can no longer reach the allocator.

    It serves its members with the guaranteed shares. The sum with the shares of
    the other zones must not exceed the limit.
    """

    def test_guaranteed_share_is_served_within_the_limit(self):
        """Shares expire; the guaranteed share remains."""
        deployment = _Deployment(40, seed=1)
        for _ in range(40):
            for vm in VMS:
                deployment.step(vm, 1000)
        isolated = set(VMS[:3])
        for _ in range(100):
            for vm in VMS:
                idle = vm in isolated and deployment.random.random() < 0.5
                deployment.step(vm, 0 if idle else 1000, isolated)
                assert deployment.in_use <= 40
        for vm in isolated:
            deployment.step(vm, 1000, isolated)
        assert all(deployment.allowances[vm].in_use == 2 for vm in isolated)

    def test_overrun_is_bounded_for_limits_below_the_number_of_vms(self):
        """At most one request for each VM without contact to the allocator."""
        deployment = _Deployment(4, seed=1)
        isolated = set(VMS[:3])
        for wanted in [0] * 30 + [1000] * 300:
            for vm in VMS:
                deployment.step(vm, wanted, isolated)
        assert deployment.in_use <= 4 + len(isolated)
        assert all(deployment.allowances[vm].in_use == 1 for vm in isolated)


class TestNewAllocator:
    """The allocator VM is lost; another one starts with an empty ledger."""

    def test_no_share_is_raised_while_old_ones_may_be_valid(self):
        """The old shares are not recorded yet."""
        deployment = _Deployment(100, seed=1)
        for _ in range(50):
            for vm in VMS:
                deployment.step(vm, 1000 if vm in VMS[:5] else 0)
        deployment.ledger = limits.Ledger(deployment.now, whole=True)
        for _ in range(50):
            for vm in reversed(VMS):
                deployment.step(vm, 1000)
                assert deployment.in_use <= 100


class TestRate:
    """A member sends requests above its rate limit."""

    def test_admitted_over_ten_seconds(self):
        """The rate limit and one second of initial burst."""
        allowance = limits.Allowance(0.0)
        admitted = 0
        for n in range(10000):
            now = n / 1000
            allowance.grant(0.0, 20.0, now)
            admitted += allowance.admit(0, 20.0, 1, now)
        assert 195 <= admitted <= 221
