"""Tests of one VM's limits on routes."""

import pytest

from mimosastile_core.gateway import route_limits
from mimosastile_core.gateway import routes
from mimosastile_core.gateway import service_room
from tests.gateway import fakes

_ROUTES = (
    fakes.route(name="urgent", priority=0, parts=(routes.Part("s"),)),
    fakes.route(
        name="bulk",
        priority=2,
        parts=(routes.Part("s", 1.0), routes.Part("other", 1.0)),
    ),
)


def _share(rate, admitted=1.0, *, limited=True):
    return service_room.RouteShare(rate, 1.0, 0.1, limited, admitted)


def _limits(**shares):
    limits = route_limits.RouteLimits(lambda: 0.5)
    limits.keep(_ROUTES)
    limits.apply({"s": shares}, 1, 0.0)
    return limits


def _sent(limits, route, count, seconds, begin=0.0, service="s"):
    """Returns how many of some evenly spaced requests are admitted."""
    return sum(
        not limits.admit(service, route, begin + n * seconds / count)
        for n in range(count)
    )


class TestLimits:
    """What a VM admits."""

    def test_admits_its_share(self):
        """The share of the requests is admitted, without long gaps."""
        limits = _limits(bulk=_share(5.0, 0.25))
        assert _sent(limits, "bulk", 40, 2.0) == 10

    def test_more_requests_than_the_leader_knows(self):
        """Guards against a burst that passes until the next report."""
        limits = _limits(bulk=_share(10.0, 0.5))
        assert _sent(limits, "bulk", 200, 2.0) <= 2 * 10 * 1.25 + 5

    def test_other_part_of_a_weighted_route(self):
        """What does not fit one part is refused and not moved to another."""
        limits = _limits(bulk=_share(1.0, 0.1))
        shares = routes.WeightedShares()
        parts = [shares.next(_ROUTES[1]) for _ in range(40)]
        refused = [
            part for part in parts if limits.admit(part, "bulk", 0.0) > 0
        ]
        assert parts.count("s") == parts.count("other") == 20
        assert set(refused) == {"s"}

    def test_urgent_requests_displace_others(self):
        """Guards against capacity given back only after a report."""
        limits = _limits(
            urgent=_share(5.0, limited=False), bulk=_share(20.0, 0.9)
        )
        before = _sent(limits, "bulk", 20, 1.0)
        for n in range(80):
            assert not limits.admit("s", "urgent", 1.0 + n / 80)
        assert _sent(limits, "bulk", 10, 0.3, begin=2.0) < before / 4

    def test_refusal_says_when_to_return(self):
        """The wait follows from the rate and is bounded."""
        limits = _limits(bulk=_share(2.0, 0.0))
        assert limits.admit("s", "bulk", 0.0) == pytest.approx(0.4)
        limits.apply({"s": {"bulk": _share(0.0, 0.0)}}, 1, 0.0)
        assert limits.admit("s", "bulk", 0.0) == 5.0


class TestOldShares:
    """Shares that are old or do not apply any more."""

    @pytest.mark.parametrize(
        ("age", "least", "most"), [(2.0, 4, 6), (4.5, 10, 16), (9.0, 20, 20)]
    )
    def test_age_widens_limits(self, age, least, most):
        """Guards against limits that stay when there is no leader."""
        limits = _limits(bulk=_share(100.0, 0.25))
        sent = _sent(limits, "bulk", 20, 0.2, begin=age)
        assert least <= sent <= most

    def test_two_leaders(self):
        """Guards against shares of a leader that has been replaced."""
        limits = _limits(bulk=_share(1.0, 0.0))
        limits.apply({}, 2, 1.0)
        limits.apply({"s": {"bulk": _share(1.0, 0.0)}}, 1, 1.1)
        assert _sent(limits, "bulk", 10, 1.0, begin=1.2) == 10

    def test_route_that_is_no_longer_configured(self):
        """Guards against limits that outlive their route."""
        limits = _limits(bulk=_share(1.0, 0.0))
        limits.keep(_ROUTES[:1])
        assert _sent(limits, "bulk", 10, 1.0) == 10
        limits.apply({"s": {"gone": _share(1.0, 0.0)}}, 1, 2.0)
        assert _sent(limits, "gone", 10, 1.0, begin=2.0) == 10


class TestDemand:
    """What a VM reports."""

    def test_counts_refused_requests(self):
        """Demand is what callers ask for, not what is admitted."""
        limits = _limits(bulk=_share(1.0, 0.0))
        limits.take_demand(lambda _: 0.1, 0.0)
        _sent(limits, "bulk", 10, 1.0)
        limits.record_response("s", "urgent")
        taken = limits.take_demand(lambda _: 0.1, 2.0)
        assert taken == {
            "s": {
                "bulk": service_room.RouteDemand(5.0, 0.1, 0.0),
                "urgent": service_room.RouteDemand(0.0, 0.1, 0.5),
            }
        }
        assert not limits.take_demand(lambda _: 0.1, 3.0)
