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
    """Metrics of callers' requests."""

    def test_counts_times_and_measures(self):
        """Counts by member, latency quantiles, imbalance, number."""

        async def scenario():
            api = await administered.start(2)
            for _ in range(5):
                await api.world.call("e0", "GET", "/desk/k1")
            await api.world.call("e0", "GET", "/nothing/k1")
            metrics = api.world.daemons["e0"].find("metrics")
            other = api.world.daemons["e1"].find("metrics")
            return metrics.exposition(), other.exposition()

        page, other = virtual.run(scenario())
        requests = "mimosastile_requests_total"
        assert _value(page, requests, service="desk", outcome="passed_on") == 5
        assert _value(page, requests, outcome="unknown_service") == 1
        # The receiving VM counts a request, not the one it is forwarded to.
        assert _value(other, requests, service="desk") is None
        quantile = _value(page, "mimosastile_answer_seconds", quantile="0.5")
        assert 0 < quantile < 0.1
        assert _value(page, "mimosastile_imbalance_ratio", service="desk") == 1
        assert _value(page, "mimosastile_configuration_number") == 1

    def test_unmatched_responses(self):
        """Guards against counts of the client that no page shows."""

        async def scenario():
            api = await administered.start()
            metrics = api.world.daemons["e0"].find("metrics")
            metrics._responses.unmatched = 2
            metrics._responses.unidentified = 3
            return metrics.exposition()

        page = virtual.run(scenario())
        assert _value(page, "mimosastile_responses_unmatched_total") == 2
        assert _value(page, "mimosastile_responses_unidentified_total") == 3

    def test_labels_are_bounded(self):
        """The number of members does not enlarge the page beyond a bound."""

        async def scenario():
            api = await administered.start()
            metrics = api.world.daemons["e0"].find("metrics")
            for i in range(3 * _metrics.MAX_MEMBERS):
                request = ports.Request("GET", "/desk/k", member=f"m{i}")
                metrics.record(request, _metrics.TARGET_RESPONDED, 0.01)
            return metrics.exposition()

        page = virtual.run(scenario())
        rows = [r for r in page.splitlines() if b'service="desk",member' in r]
        assert len(rows) <= 2 * (_metrics.MAX_MEMBERS + 1)
        name = "mimosastile_requests_total"
        assert _value(page, name, member="other") == 2 * _metrics.MAX_MEMBERS


class TestLostTarget:
    """The only target of a service disappears from the list.

    Callers are refused until another target is listed. The metrics show for
    how long, and how many slices changed their owner.
    """

    def test_unavailable_time_and_churn(self):
        """Four slices have no owner for some seconds, then move."""

        async def scenario():
            api = await administered.start()
            api.world.targets["t0"].crash()
            api.world.fleet.remove("t0")
            await virtual.pause(4.0)
            api.world.add_target("t1", "desk", "kontinent", "zagreb-a")
            await virtual.pause(10.0)
            return api.world.daemons["e0"].find("metrics").exposition()

        page = virtual.run(scenario())
        unavailable = _value(
            page, "mimosastile_unavailable_slice_seconds_total"
        )
        assert unavailable >= 4 * 3.0
        assert _value(page, "mimosastile_moved_slices_total") >= 4


class TestPage:
    """The metrics page on the internal port."""

    @pytest.mark.parametrize(
        ("token", "status"), [("team", 403), ("wrong", 401)]
    )
    def test_needs_a_scope_that_covers_all(self, token, status):
        """The page names members, so it needs a scope that covers all."""

        async def scenario():
            api = await administered.start()
            return await api.call("GET", "/metrics", token)

        assert virtual.run(scenario())[0] == status
