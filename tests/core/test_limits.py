"""Tests of members' limits over all entry VMs together."""

import random

import pytest

from mimosastile_core import limits

VMS = [f"e{n}" for n in range(10)]


class TestWaterFill:
    """Dividing a limit by need."""

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
        """Small needs are met first, large ones get even shares."""
        assert limits.water_fill(wanted, total, base) == expected


class TestDealer:
    """Who deals a member's limits."""

    def test_every_vm_finds_the_same(self):
        """The order of the list does not matter."""
        found = {limits.dealer("m", v) for v in (VMS, reversed(VMS))}
        assert len(found) == 1

    def test_members_are_spread(self):
        """No VM deals for all."""
        assert len({limits.dealer(f"m{n}", VMS) for n in range(50)}) > 5


class _Deployment:
    """Entry VMs that report to one dealer at random moments."""

    def __init__(self, limit, seed):
        self.limit = limit
        self.chance = random.Random(seed)
        self.now = 0.0
        self.ledger = limits.Ledger(0.0, whole=True)
        self.allowances = {vm: limits.Allowance(0.0) for vm in VMS}

    def step(self, vm, wanted, cut=(), lost=0.0):
        self.now += 0.02
        allowance = self.allowances[vm]
        while allowance.in_use < wanted and allowance.admit(
            self.limit, 0.0, len(VMS), self.now
        ):
            pass
        asking = max(wanted - allowance.in_use, 0)
        while allowance.in_use > wanted:
            allowance.release()
        need, _ = allowance.needs(self.now, asking)
        if vm in cut:
            return
        share = self.ledger.report(vm, need, self.limit, VMS, self.now)
        if self.chance.random() >= lost:
            allowance.grant(share, 0.0, self.now)

    @property
    def in_use(self):
        return sum(a.in_use for a in self.allowances.values())


class TestSum:
    """A member's requests come through all entry VMs at once.

    If each VM kept the limit by itself, a member would get ten times as much
    as it pays for, at the cost of the others.
    """

    @pytest.mark.parametrize("limit", [10, 40, 200])
    def test_sum_never_exceeds_the_limit(self, limit):
        """Also while needs change and replies are lost."""
        made = _Deployment(limit, seed=1)
        for _ in range(3000):
            vm = made.chance.choice(VMS)
            made.step(vm, made.chance.choice((0, 2, limit)), lost=0.3)
            assert made.in_use <= limit

    def test_all_of_the_limit_can_be_used_through_one_vm(self):
        """What the others do not need moves there, but for their floors."""
        made = _Deployment(100, seed=1)
        for _ in range(50):
            for vm in VMS:
                made.step(vm, 1000 if vm == "e0" else 0)
        assert made.allowances["e0"].in_use >= 55
        assert made.in_use <= 100

    def test_vms_with_equal_needs_use_the_whole_limit(self):
        """The balancer spreads callers evenly."""
        made = _Deployment(100, seed=1)
        for _ in range(50):
            for vm in VMS:
                made.step(vm, 1000)
        assert made.in_use == 100


class TestCutOff:
    """A zone cannot reach the dealer any more.

    It serves its members with less; what the others get on top must not add
    up to more than the limit.
    """

    def test_floor_is_served_and_the_sum_holds(self):
        """Shares lapse; the floor stays."""
        made = _Deployment(40, seed=1)
        for _ in range(40):
            for vm in VMS:
                made.step(vm, 1000)
        cut = set(VMS[:3])
        for _ in range(100):
            for vm in VMS:
                idle = vm in cut and made.chance.random() < 0.5
                made.step(vm, 0 if idle else 1000, cut)
                assert made.in_use <= 40
        for vm in cut:
            made.step(vm, 1000, cut)
        assert all(made.allowances[vm].in_use == 2 for vm in cut)

    def test_overrun_is_bounded_for_limits_below_the_number_of_vms(self):
        """At most one for each VM that the dealer does not hear."""
        made = _Deployment(4, seed=1)
        cut = set(VMS[:3])
        for wanted in [0] * 30 + [1000] * 300:
            for vm in VMS:
                made.step(vm, wanted, cut)
        assert made.in_use <= 4 + len(cut)
        assert all(made.allowances[vm].in_use == 1 for vm in cut)


class TestNewDealer:
    """The dealer's VM is lost and another one begins with an empty book."""

    def test_no_share_is_raised_while_old_ones_may_be_valid(self):
        """The old shares are not known yet."""
        made = _Deployment(100, seed=1)
        for _ in range(50):
            for vm in VMS:
                made.step(vm, 1000 if vm in VMS[:5] else 0)
        made.ledger = limits.Ledger(made.now, whole=True)
        for _ in range(50):
            for vm in reversed(VMS):
                made.step(vm, 1000)
                assert made.in_use <= 100


class TestRate:
    """A member sends more requests a second than it may."""

    def test_admitted_over_ten_seconds(self):
        """The share of the rate, and one second's worth at the start."""
        allowance = limits.Allowance(0.0)
        admitted = 0
        for n in range(10000):
            now = n / 1000
            allowance.grant(0.0, 20.0, now)
            admitted += allowance.admit(0, 20.0, 1, now)
        assert 195 <= admitted <= 221
