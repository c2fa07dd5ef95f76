"""Tests of compiled service configurations."""

import pytest

from mimosastile_core import config
from mimosastile_core import plans

SERVICE = config.Service(
    routes=(
        config.Route("/"),
        config.Route("/archive", ("GET",), priority=config.Priority.BULK),
        config.Route("/archive/index", ("GET",)),
    )
)


class TestTreatment:
    """Priority class and idempotency of each request."""

    @pytest.mark.parametrize("method", ["GET", "POST", "X"])
    @pytest.mark.parametrize("path", ["/", "/archive/1", "/archive/index/2"])
    def test_same_as_the_uncompiled_configuration(self, path, method):
        """Compilation must not change priorities or idempotency."""
        route = config.route_for(SERVICE, path, method)
        plan = plans.compile_plans(config.Document({"s": SERVICE}), {})["s"]
        treatment = plan.treatment(path, method)
        assert treatment.priority is route.priority
        assert treatment.idempotent == config.is_idempotent(route, method)

    def test_budget_survives_a_new_configuration(self):
        """Otherwise each patch would grant another burst of retries."""
        former = plans.compile_plans(config.Document({"s": SERVICE}), {})
        former["s"].budget.spend()
        changed = config.Document({"s": config.Service(slots=2)})
        newer = plans.compile_plans(changed, former)
        assert newer["s"].budget is former["s"].budget

    def test_arbitrary_methods_do_not_fill_memory(self):
        """The cache of settings per method is bounded."""
        plan = plans.compile_plans(config.Document({"s": SERVICE}), {})["s"]
        for n in range(1000):
            plan.treatment("/", f"M{n}")
        assert len(plan._treatments) < 100
