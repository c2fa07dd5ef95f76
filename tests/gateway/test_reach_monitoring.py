"""Tests of the attribution of connection attempts to targets."""

import asyncio

from mimosastile_gateway import reach_monitoring
from tests.gateway import fakes


def _run(scenario, *targets):
    async def main():
        log = fakes.MemoryEvents()
        timer = fakes.VirtualClock()
        cluster = fakes.new_cluster_state(timer, log, *targets)
        monitor = reach_monitoring.ReachMonitor(cluster, timer, log)
        await scenario(monitor, cluster, log)

    asyncio.run(main())


class TestReachMonitor:
    """Outcomes of connection attempts, by address."""

    def test_log_of_a_cut(self):
        """Begin and end of a cut are logged once each."""
        targets = [fakes.target(name) for name in "abcd"]

        async def scenario(monitor, cluster, log):
            for _ in range(2):
                for name in "abc":
                    monitor.record_attempt(f"{name}:80", False)
            assert monitor.isolated == {"s"}
            assert monitor.unreachable() == {"a", "b", "c"}
            monitor.record_attempt("d:80", True)
            assert not monitor.isolated
            [begun] = log.named("service_unreachable")
            assert (begun["service"], begun["targets"]) == ("s", 4)
            [ended] = log.named("service_reached")
            assert ended["target"] == "d"

        _run(scenario, *targets)

    def test_other_addresses(self):
        """Guards against a store or peer that is counted as a target."""

        async def scenario(monitor, cluster, log):
            for number in range(5):
                monitor.record_attempt(f"peer-{number}:1", False)
            assert not monitor.isolated
            assert not monitor.unreachable()

        _run(scenario, fakes.target("a"))

    def test_targets_that_register_later(self):
        """Guards against an index that misses targets added later."""

        async def scenario(monitor, cluster, log):
            monitor.record_attempt("a:80", False)
            cluster.replace_targets(
                [fakes.target(name) for name in ("b", "c", "d", "e")]
            )
            for name in "bcd":
                monitor.record_attempt(f"{name}:80", False)
            assert monitor.isolated == {"s"}

        _run(scenario, fakes.target("a"), fakes.target("z"))
