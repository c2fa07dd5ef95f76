"""Tests of the check that VMs comply with target feedback."""

import pytest

from mimosastile_standins import platform_target
from mimosastile_standins import soak_notices


class _Target:
    """Incarnation of a target."""

    id, born = "t", 1


def _make_checker(arrivals, passed=()):
    """Returns a checker with numbered requests by VM and time."""
    checker = soak_notices.FeedbackChecker()
    for number, (vm, at, rest) in enumerate(arrivals):
        arrival = platform_target.Arrival(f"a{number}", "t", 1, at)
        arrival.rest = rest
        checker.arrivals.append(arrival)
        checker.record_request(f"a{number}", vm, at)
    for number, flag in passed:
        vm, at, _ = arrivals[number]
        flags = {"limited": False, "leaving": False} | {flag: True}
        checker.record_feedback(
            soak_notices.ForwardedFeedback(f"a{number}", vm, at + 0.05, **flags)
        )
    return checker


def _steady_requests(vm, since, until, rate):
    count = int((until - since) * rate)
    return [(vm, since + n / rate, 0.0) for n in range(count)]


class TestResponder:
    """A request that one target rejects and another one serves."""

    @pytest.mark.parametrize(
        ("at", "wrong"), [((10.0, 10.1), 0), ((10.1, 10.0), 1)]
    )
    def test_feedback_belongs_to_the_last_target(self, at, wrong):
        """Guards against feedback that is held against a target before."""
        checker = _make_checker([("vm-0", 10.0, 0.0), ("vm-0", 15.0, 0.0)])
        first, later = checker.arrivals
        first.at = at[0]
        other = platform_target.Arrival("a0", "other", 1, at[1])
        checker.arrivals.append(other)
        checker.record_feedback(
            soak_notices.ForwardedFeedback("a0", "vm-0", 10.2, False, True)
        )
        assert later.target == "t"
        assert len(checker.violations()) == wrong


class TestLimit:
    """Requests for a target that set a limit of 2 per second."""

    @pytest.mark.parametrize(
        ("rates", "told", "calm", "wrong"),
        [
            ((5,), (0,), True, 1),
            ((2,), (0,), True, 0),
            ((5,), (), True, 0),
            ((5,), (0,), False, 0),
            ((2.5, 2.5), (0, 1), True, 1),
            ((2.5, 2.5), (0,), True, 0),
        ],
    )
    def test_sum_over_vms_with_feedback(self, rates, told, calm, wrong):
        """Guards against counts per VM and of VMs without feedback."""
        arrivals = [(f"vm-{number}", 10.0, 0.0) for number in range(len(rates))]
        for number, rate in enumerate(rates):
            arrivals += _steady_requests(f"vm-{number}", 10.6, 20.0, rate)
        checker = _make_checker(
            arrivals, [(number, "limited") for number in told]
        )
        checker.record_limit(_Target, 2.0, 10.0, 20.0)
        if not calm:
            for second in range(10, 20):
                checker.record_vm_fault("vm-0", float(second))
        assert len(checker.violations()) == wrong

    def test_harmed_links(self):
        """Requests that a link fault delayed may arrive in a burst."""
        arrivals = [
            ("vm-0", 10.0, 0.0),
            *_steady_requests("vm-0", 10.6, 20.0, 5),
        ]
        checker = _make_checker(arrivals, [(0, "limited")])
        checker.record_limit(_Target, 2.0, 10.0, 20.0)
        checker.record_link_fault(9.0, 20.0)
        assert checker.violations() == []


class TestLeaving:
    """Requests for a target that announces that it leaves."""

    @pytest.mark.parametrize(
        ("vm", "at", "disturbed", "wrong"),
        [
            ("vm-0", 11.9, None, 0),
            ("vm-0", 12.2, None, 1),
            ("vm-1", 12.2, None, 0),
            ("vm-0", 12.2, 11.0, 0),
        ],
    )
    def test_announced_in_response(self, vm, at, disturbed, wrong):
        """Guards against a VM that ignores the target's feedback."""
        checker = _make_checker(
            [("vm-0", 10.0, 0.0), (vm, at, 0.0)], [(0, "leaving")]
        )
        if disturbed:
            checker.record_vm_fault(vm, disturbed)
        assert len(checker.violations()) == wrong

    @pytest.mark.parametrize(
        ("at", "trouble", "wrong"),
        [(11.9, None, 0), (12.1, None, 1), (12.1, (8.0, 9.0), 0)],
    )
    def test_registered(self, at, trouble, wrong):
        """Guards against VMs that miss the update from the store."""
        checker = _make_checker([("vm-0", at, 0.0)])
        checker.record_leaving(_Target, 10.0)
        if trouble:
            checker.record_link_fault(*trouble)
        assert len(checker.violations()) == wrong


class TestRest:
    """Requests during a backoff of 3 s."""

    @pytest.mark.parametrize(
        ("times", "wrong"),
        [
            ((10.1, 10.2, 10.3, 10.4), 0),
            ((10.6, 11.0), 0),
            ((10.6, 11.0, 12.9), 1),
            ((13.1, 13.2, 13.3), 0),
        ],
    )
    def test_requests_during_backoff(self, times, wrong):
        """Guards against a VM that ignores a target's backoff."""
        arrivals = [("vm-0", 10.0, 3.0), *(("vm-0", at, 0.0) for at in times)]
        assert len(_make_checker(arrivals).violations()) == wrong
