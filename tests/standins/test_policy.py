"""Tests of the policy model."""

import pytest

from mimosastile_standins import deployments
from mimosastile_standins import policy
from mimosastile_standins import policy_cases
from mimosastile_standins import policy_link
from mimosastile_standins import virtual

SERVICE = "prijemnica"


class TestModel:
    """The model keeps what the product promises."""

    def test_slots_hold_and_nothing_is_lost(self):
        """A short run of the small deployment, with little load."""

        async def story():
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

        model = virtual.run(story())
        assert all(t.overrun <= t.slots for t in model.targets.values())
        assert {r.failure for r in model.records} == {None}


class TestLink:
    """Ten downloads fill the link between regions."""

    def test_desk_keeps_its_time_and_downloads_the_rest(self):
        """Within 1.2 of its time alone."""

        async def story():
            alone = await policy_link.play(paced=True, downloads=False)
            beside = await policy_link.play(paced=True, downloads=True)
            return alone, beside

        alone, beside = virtual.run(story())
        calm, busy = (
            policy_cases.percentile(o.desk, 0.99) for o in (alone, beside)
        )
        assert busy < calm * 1.2
        assert policy_link.bulk_share(beside) > 0.7


class TestJain:
    """The index of fairness."""

    @pytest.mark.parametrize(
        ("values", "expected"), [([2, 2], 1.0), ([1, 0], 0.5), ([], 1.0)]
    )
    def test_index(self, values, expected):
        """1 for equals, 1/n if one has all."""
        assert policy_cases.jain(values) == expected
