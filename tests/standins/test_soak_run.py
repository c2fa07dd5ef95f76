"""Short seeded soak of real daemon processes under injected faults."""

import asyncio

from mimosastile_standins import soak

SEED = 7


def test_short_soak(tmp_path):
    """Guards against violations that only processes under faults show."""
    plan = soak.Plan(SEED, 20.0, vms=4, targets=4, callers=10, out=tmp_path)
    verdict = asyncio.run(soak.run(plan))
    assert verdict.wrong == []
    assert verdict.runs > 500


def test_short_hostile_soak(tmp_path):
    """Guards against promises broken by copied answers and false refusals."""
    plan = soak.Plan(
        SEED, 20.0, 4, 4, 10, tmp_path, hostile=frozenset(soak.Hostile)
    )
    verdict = asyncio.run(soak.run(plan))
    assert verdict.wrong == []
    assert verdict.runs > 500
