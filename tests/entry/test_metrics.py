"""Tests of the metrics service."""

import administered
import pytest

from mimosastile_entry import _metrics
from mimosastile_entry import ports
from mimosastile_standins import virtual


def _value(page, name, **labels):
    wanted = [f'{key}="{value}"' for key, value in labels.items()]
    lines = [
        line
        for line in page.decode().splitlines()
        if line.startswith(name) and all(w in line for w in wanted)
    ]
    return float(lines[0].rsplit(" ", 1)[1]) if lines else None


class TestRequests:
    """What callers' requests leave behind."""

    def test_counts_times_and_measures(self):
        """Answers by member, quantiles by class, imbalance, number."""

        async def story():
            api = await administered.start(2)
            for _ in range(5):
                await api.world.call("e0", "GET", "/desk/k1")
            await api.world.call("e0", "GET", "/nothing/k1")
            metrics = api.world.daemons["e0"].find("metrics")
            other = api.world.daemons["e1"].find("metrics")
            return metrics.exposition(), other.exposition()

        page, other = virtual.run(story())
        requests = "mimosastile_requests_total"
        assert _value(page, requests, service="desk", outcome="passed_on") == 5
        assert _value(page, requests, outcome="unknown_service") == 1
        # A request is counted where it came in, not where it was forwarded.
        assert _value(other, requests, service="desk") is None
        quantile = _value(page, "mimosastile_answer_seconds", quantile="0.5")
        assert 0 < quantile < 0.1
        assert _value(page, "mimosastile_imbalance_ratio", service="desk") == 1
        assert _value(page, "mimosastile_configuration_number") == 1

    def test_labels_are_bounded(self):
        """However many members call, the page stays small."""

        async def story():
            api = await administered.start()
            metrics = api.world.daemons["e0"].find("metrics")
            for i in range(3 * _metrics.MAX_MEMBERS):
                request = ports.Request("GET", "/desk/k", member=f"m{i}")
                metrics.record(request, _metrics.PASSED_ON, 0.01)
            return metrics.exposition()

        page = virtual.run(story())
        rows = [r for r in page.splitlines() if b'service="desk",member' in r]
        assert len(rows) <= 2 * (_metrics.MAX_MEMBERS + 1)
        name = "mimosastile_requests_total"
        assert _value(page, name, member="other") == 2 * _metrics.MAX_MEMBERS


class TestLostTarget:
    """The only target of a service is gone from the list.

    Callers are refused until there is another one; the operators' page shows
    for how long, and how many slices changed hands.
    """

    def test_unavailable_time_and_churn(self):
        """Four slices without an owner for some seconds, then moved."""

        async def story():
            api = await administered.start()
            api.world.targets["t0"].crash()
            api.world.fleet.remove("t0")
            await virtual.pause(4.0)
            api.world.add_target("t1", "desk", "kontinent", "zagreb-a")
            await virtual.pause(10.0)
            return api.world.daemons["e0"].find("metrics").exposition()

        page = virtual.run(story())
        spent = _value(page, "mimosastile_unavailable_slice_seconds_total")
        assert spent >= 4 * 3.0
        assert _value(page, "mimosastile_moved_slices_total") >= 4


class TestPage:
    """The page on the inner port."""

    @pytest.mark.parametrize(
        ("token", "status"), [("team", 403), ("wrong", 401)]
    )
    def test_needs_an_operator_of_everything(self, token, status):
        """Members' names are not for everybody."""

        async def story():
            api = await administered.start()
            return await api.call("GET", "/metrics", token)

        assert virtual.run(story())[0] == status
