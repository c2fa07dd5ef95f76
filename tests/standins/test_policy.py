"""Tests of the policy simulation."""

import pytest

from mimosastile_standins import deployments
from mimosastile_standins import policy
from mimosastile_standins import policy_cases
from mimosastile_standins import policy_link
from mimosastile_standins import virtual

SERVICE = "prijemnica"


class TestModel:
    """The simulation keeps the product's guarantees."""

    def test_slot_limits_hold_and_all_requests_succeed(self):
        """At low load on the small deployment."""

        async def simulate():
            model = policy.Model(
                deployments.SMALL,
                policy.PRODUCT,
                1,
                policy_cases._members(),
            )
            load = policy.Load("member-0", SERVICE, 40.0, 0.05)
            await model.offer(load, 1.0)
            await model.drain()
            return model

        model = virtual.run(simulate())
        assert all(t.max_concurrency <= t.slots for t in model.targets.values())
        assert {r.failure for r in model.records} == {None}


class TestLink:
    """Ten downloads saturate the link between regions."""

    def test_pacing_keeps_interactive_latency_and_uses_the_link(self):
        """The 99th percentile stays below 1.2 times that without downloads."""

        async def simulate():
            alone = await policy_link.simulate(paced=True, downloads=False)
            with_downloads = await policy_link.simulate(
                paced=True, downloads=True
            )
            return alone, with_downloads

        alone, with_downloads = virtual.run(simulate())
        calm, busy = (
            policy_cases.percentile(o.desk, 0.99)
            for o in (alone, with_downloads)
        )
        assert busy < calm * 1.2
        assert policy_link.bulk_share(with_downloads) > 0.7


class TestJain:
    """Jain's fairness index."""

    @pytest.mark.parametrize(
        ("values", "expected"), [([2, 2], 1.0), ([1, 0], 0.5), ([], 1.0)]
    )
    def test_index(self, values, expected):
        """1 for equal values, 1/n if one has everything."""
        assert policy_cases.jain(values) == expected
