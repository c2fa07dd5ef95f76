"""Tests of the attribution of connection attempts to targets."""

import asyncio

from mimosastile_core.gateway import load_balancing
from mimosastile_gateway import http_client
from mimosastile_gateway import reach_monitoring
from mimosastile_standins import virtual
from tests.gateway import fakes


class _Pool:
    """Connections to targets that take none until they are reachable."""

    def __init__(self):
        self.attempts = []
        self.closed = []
        self.reachable = False
        self.released = []

    async def connect_new(self, address, timeout):
        """Fails after the timeout unless targets are reachable."""
        self.attempts.append(address)
        if not self.reachable:
            await asyncio.sleep(timeout)
            self.on_attempt(address, False)
            raise http_client.NotSentError(address)
        self.on_attempt(address, True)
        return address

    def close_idle(self, address):
        """Records the call."""
        self.closed.append(address)

    def release(self, connection, address):
        """Records the call."""
        self.released.append(address)


def _run(scenario, *targets):
    async def main():
        log = fakes.MemoryEvents()
        timer = fakes.VirtualClock()
        cluster = fakes.new_cluster_state(timer, log, *targets)
        pool = _Pool()
        balancer = load_balancing.LoadBalancer(
            load_balancing.Location("z", "r"),
            {"z": "r"},
            load_balancing.Policy(),
        )
        monitor = reach_monitoring.ReachMonitor(
            pool, 0.3, cluster, balancer, timer, log
        )
        pool.on_attempt = monitor.record_attempt
        await scenario(monitor, cluster, log, pool, balancer)
        monitor.stop()

    virtual.run(main())


class TestReachMonitor:
    """Outcomes of connection attempts, by address."""

    def test_log_of_a_cut(self):
        """Begin and end of a cut are logged once each."""
        targets = [fakes.target(name) for name in "abcd"]

        async def scenario(monitor, cluster, log, pool, balancer):
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

        async def scenario(monitor, cluster, log, pool, balancer):
            for number in range(5):
                monitor.record_attempt(f"peer-{number}:1", False)
            assert not monitor.isolated
            assert not monitor.unreachable()

        _run(scenario, fakes.target("a"))

    def test_targets_that_register_later(self):
        """Guards against an index that misses targets added later."""

        async def scenario(monitor, cluster, log, pool, balancer):
            monitor.record_attempt("a:80", False)
            cluster.replace_targets(
                [fakes.target(name) for name in ("b", "c", "d", "e")]
            )
            for name in "bcd":
                monitor.record_attempt(f"{name}:80", False)
            assert monitor.isolated == {"s"}

        _run(scenario, fakes.target("a"), fakes.target("z"))

    def test_probes_until_reached(self):
        """Guards against a service that stays isolated after a partition."""
        targets = [fakes.target(name) for name in "abcd"]

        async def scenario(monitor, cluster, log, pool, balancer):
            for name in "abc":
                balancer.load(name).unreachable(virtual.now())
                monitor.record_attempt(f"{name}:80", False)
            assert sorted(pool.closed) == ["a:80", "b:80", "c:80", "d:80"]
            await asyncio.sleep(3.0)
            assert monitor.is_isolated("s")
            # About two a second: each takes its interval and the timeout.
            assert 4 <= len(pool.attempts) <= 8
            pool.reachable = True
            await asyncio.sleep(1.0)
            assert not monitor.is_isolated("s")
            assert len(pool.released) == 1
            for name in "abc":
                assert balancer.load(name).backoff_until < virtual.now()
            probes = len(pool.attempts)
            await asyncio.sleep(2.0)
            assert len(pool.attempts) == probes

        _run(scenario, *targets)

    def test_isolated_twice(self):
        """Guards against probes that end with the first partition."""
        targets = [fakes.target(name) for name in "abc"]

        async def scenario(monitor, cluster, log, pool, balancer):
            for _ in range(2):
                pool.reachable = False
                for name in "abc":
                    monitor.record_attempt(f"{name}:80", False)
                await asyncio.sleep(1.0)
                assert monitor.is_isolated("s")
                pool.reachable = True
                await asyncio.sleep(1.0)
                assert not monitor.is_isolated("s")

        _run(scenario, *targets)

    def test_crashed_targets(self):
        """Guards against crashes of some targets taken for a cut link."""
        targets = [fakes.target(name) for name in "abcdef"]

        async def scenario(monitor, cluster, log, pool, balancer):
            pool.reachable = True
            for name in "abc":
                monitor.record_attempt(f"{name}:80", False)
            await asyncio.sleep(1.0)
            assert not log.named("service_unreachable")
            assert not pool.closed

        _run(scenario, *targets)
