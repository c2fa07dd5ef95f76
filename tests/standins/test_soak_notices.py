"""The soak notices that a target's word on itself was passed over."""

import pytest

from mimosastile_standins import platform_target
from mimosastile_standins import soak_notices


class _Target:
    """A target's run."""

    id, born = "t", 1


def _notices(arrivals, passed=()):
    """Makes notices of requests by VM and time; attempts are numbered."""
    made = soak_notices.Notices()
    for number, (vm, at, rest) in enumerate(arrivals):
        arrival = platform_target.Arrival(f"a{number}", "t", 1, at)
        arrival.rest = rest
        made.arrivals.append(arrival)
        made.sent(f"a{number}", vm, at)
    for number, what in passed:
        vm, at, _ = arrivals[number]
        said = {"limited": False, "leaving": False} | {what: True}
        made.passed(soak_notices.Passed(f"a{number}", vm, at + 0.05, **said))
    return made


def _many(vm, since, until, rate):
    count = int((until - since) * rate)
    return [(vm, since + n / rate, 0.0) for n in range(count)]


class TestLimit:
    """Requests for a target that has named a limit of 2 a second."""

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
    def test_sum_of_told_vms(self, rates, told, calm, wrong):
        """Guards against a judgement of single VMs, or of those not told."""
        arrivals = [(f"vm-{number}", 10.0, 0.0) for number in range(len(rates))]
        for number, rate in enumerate(rates):
            arrivals += _many(f"vm-{number}", 10.6, 20.0, rate)
        made = _notices(arrivals, [(number, "limited") for number in told])
        made.limited(_Target, 2.0, 10.0, 20.0)
        if not calm:
            for second in range(10, 20):
                made.disturb("vm-0", float(second))
        assert len(made.wrong()) == wrong

    def test_harmed_links(self):
        """Requests that were held up arrive together."""
        arrivals = [("vm-0", 10.0, 0.0), *_many("vm-0", 10.6, 20.0, 5)]
        made = _notices(arrivals, [(0, "limited")])
        made.limited(_Target, 2.0, 10.0, 20.0)
        made.trouble(9.0, 20.0)
        assert made.wrong() == []


class TestLeaving:
    """Requests for a target that says it leaves."""

    @pytest.mark.parametrize(
        ("vm", "at", "disturbed", "wrong"),
        [
            ("vm-0", 11.9, None, 0),
            ("vm-0", 12.2, None, 1),
            ("vm-1", 12.2, None, 0),
            ("vm-0", 12.2, 11.0, 0),
        ],
    )
    def test_told_by_an_answer(self, vm, at, disturbed, wrong):
        """Guards against a VM that sends on after it was told."""
        made = _notices([("vm-0", 10.0, 0.0), (vm, at, 0.0)], [(0, "leaving")])
        if disturbed:
            made.disturb(vm, disturbed)
        assert len(made.wrong()) == wrong

    @pytest.mark.parametrize(
        ("at", "trouble", "wrong"),
        [(11.9, None, 0), (12.1, None, 1), (12.1, (8.0, 9.0), 0)],
    )
    def test_registered(self, at, trouble, wrong):
        """Guards against VMs that do not hear what the store shows."""
        made = _notices([("vm-0", at, 0.0)])
        made.registered(_Target, 10.0)
        if trouble:
            made.trouble(*trouble)
        assert len(made.wrong()) == wrong


class TestRest:
    """Requests within a rest of 3 s."""

    @pytest.mark.parametrize(
        ("times", "wrong"),
        [
            ((10.1, 10.2, 10.3, 10.4), 0),
            ((10.6, 11.0), 0),
            ((10.6, 11.0, 12.9), 1),
            ((13.1, 13.2, 13.3), 0),
        ],
    )
    def test_pressed(self, times, wrong):
        """Guards against a VM that presses a target that wants nothing."""
        arrivals = [("vm-0", 10.0, 3.0), *(("vm-0", at, 0.0) for at in times)]
        assert len(_notices(arrivals).wrong()) == wrong
