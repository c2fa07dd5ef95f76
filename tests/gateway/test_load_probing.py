"""Probes of targets for their load, under virtual time."""

import asyncio

import pytest
import result

from mimosastile_core import errors
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import routes
from mimosastile_core.gateway import target_feedback
from mimosastile_gateway import load_probing
from mimosastile_standins import virtual
from tests.gateway import fakes

_SERVICE = routes.Service("s")


class _Health:
    """Health checks that take a given time.

    Attributes:
        seconds: Time of each target's response; infinite for none.
        checked: Targets that were checked, with the timeout.
        refusing: Targets whose checks fail after their time.
    """

    def __init__(self, seconds):
        self.seconds = seconds
        self.checked = []
        self.refusing = set()

    async def check(self, target, path, timeout):
        """Responds after the target's time, or fails at the timeout."""
        self.checked.append((target.id, timeout))
        seconds = self.seconds[target.id]
        await asyncio.sleep(min(seconds, timeout))
        if target.id in self.refusing:
            return errors.failed(errors.ErrorKind.UNREACHABLE, "refused")
        if seconds > timeout:
            return errors.failed(errors.ErrorKind.ANSWER_LOST, "timed out")
        load = target_feedback.TargetLoad(1, 0, 4)
        feedback = target_feedback.TargetFeedback(load)
        return result.Ok(target_feedback.HealthReport(feedback))


def _run(seconds, scenario):
    """Runs a scenario with targets that respond after the given times."""

    async def main():
        log, timer = fakes.MemoryEvents(), fakes.VirtualClock()
        targets = [fakes.target(name) for name in seconds]
        cluster = fakes.new_cluster_state(timer, log, *targets)
        balancer = load_balancing.LoadBalancer(
            load_balancing.Location("z", "r"),
            {"z": "r"},
            load_balancing.Policy(),
        )
        checks = _Health(seconds)
        prober = load_probing.LoadProber(checks, cluster, balancer, timer, log)
        await scenario(prober, targets, checks, balancer)

    virtual.run(main())


class TestResponses:
    """Which targets a request may choose from."""

    @pytest.mark.parametrize(
        ("seconds", "responded", "waited"),
        [
            ({"a": 0.02, "b": 0.03}, ["a", "b"], 0.03),
            ({"a": 0.02, "b": 0.08}, ["a"], 0.05),
            ({"a": 0.02, "b": 3.0}, ["a"], 0.05),
            ({"a": 3.0, "b": 3.0}, [], 0.1),
            ({"a": 3.0, "b": 0.09}, ["b"], 0.1),
        ],
        ids=["both", "much later", "one silent", "none", "just in time"],
    )
    def test_wait(self, seconds, responded, waited):
        """Guards against requests that wait for the slowest target."""

        async def scenario(prober, targets, checks, balancer):
            began = virtual.now()
            found = await prober.probe(targets, _SERVICE)
            assert [t.id for t in found] == responded
            assert virtual.now() - began == pytest.approx(waited, abs=0.011)

        _run(seconds, scenario)

    @pytest.mark.parametrize("shared", [False, True])
    def test_refused_at_once(self, shared):
        """Guards against a failed probe that ends the wait for the others."""

        async def scenario(prober, targets, checks, balancer):
            checks.refusing = {"a"}
            if shared:
                first = asyncio.create_task(prober.probe(targets[:1], _SERVICE))
                await asyncio.sleep(0)
            found = await prober.probe(targets, _SERVICE)
            assert [t.id for t in found] == ["b"]
            if shared:
                assert not await first

        _run({"a": 0.001, "b": 0.05}, scenario)


class TestLateResponses:
    """Full targets, which respond when a slot is free."""

    def test_connection_is_kept(self):
        """Guards against new connections for each probe of a full target."""

        async def scenario(prober, targets, checks, balancer):
            assert not await prober.probe(targets, _SERVICE)
            assert checks.checked == [("a", pytest.approx(1.0))]
            await asyncio.sleep(0.01)
            load = balancer.load("a")
            assert load.backoff_until > virtual.now()
            await asyncio.sleep(0.4)
            assert load.reported_load is not None
            assert load.backoff_until <= virtual.now()

        _run({"a": 0.5}, scenario)

    def test_excluded_while_late(self):
        """Guards against requests that wait for a probe known to be late."""

        async def scenario(prober, targets, checks, balancer):
            await prober.probe(targets, _SERVICE)
            for _ in range(8):
                await asyncio.sleep(0.11)
                assert balancer.load("a").backoff_until > virtual.now()

        _run({"a": 3.0}, scenario)

    def test_shared(self):
        """Guards against one probe for each request of a burst."""

        async def scenario(prober, targets, checks, balancer):
            await asyncio.gather(
                *(prober.probe(targets, _SERVICE) for _ in range(20))
            )
            assert len(checks.checked) == 2
            await asyncio.sleep(0.2)
            assert prober.dump() == {
                "failed": 0,
                "late": 1,
                "running": 1,
                "shared": 38,
                "started": 2,
            }
            await asyncio.sleep(1.0)
            assert prober.dump()["running"] == 0
            await prober.probe(targets, _SERVICE)
            assert len(checks.checked) == 4

        _run({"a": 0.02, "b": 3.0}, scenario)
