"""Tests of the attribution of connection attempts to targets."""

import asyncio

import pytest

from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import reachability
from mimosastile_standins import virtual
from tests.gateway import fakes

_CONNECTED, _REFUSED, _HUNG = reachability.Outcome


def _fail(monitor, names, outcome=_HUNG, seconds=0.3):
    for name in names:
        monitor.record_attempt(f"{name}:80", outcome, seconds)


def _run(scenario, *targets):
    async def main():
        log = fakes.MemoryEvents()
        timer = fakes.VirtualClock()
        cluster = fakes.new_cluster_state(timer, log, *targets)
        pool = fakes.TargetPool()
        pool.default = _HUNG
        balancer = load_balancing.LoadBalancer(
            load_balancing.Location("z", "r"),
            {"z": "r"},
            load_balancing.Policy(),
        )
        monitor = fakes.new_reach_monitor(cluster, timer, log, balancer, pool)
        await scenario(monitor, cluster, log, pool, balancer)
        monitor.stop()

    virtual.run(main())


class TestReachMonitor:
    """Outcomes of connection attempts, by address."""

    def test_log_of_a_cut(self):
        """Begin and end of a cut are logged once each."""
        targets = [fakes.target(name) for name in "abcd"]

        async def scenario(monitor, cluster, log, pool, balancer):
            changes = []
            monitor.on_change = lambda: changes.append(set(monitor.isolated))
            for _ in range(2):
                _fail(monitor, "abc")
            assert not monitor.isolated
            await asyncio.sleep(0.4)
            assert monitor.isolated == {"s"}
            assert monitor.unreachable() == {"a", "b", "c", "d"}
            monitor.record_attempt("d:80", _CONNECTED, 0.01)
            assert not monitor.isolated
            [begun] = log.named("service_unreachable")
            assert (begun["service"], begun["targets"]) == ("s", 4)
            [ended] = log.named("service_reached")
            assert ended["target"] == "d"
            assert changes == [{"s"}, set()]

        _run(scenario, *targets)

    def test_other_addresses(self):
        """Guards against a store or peer that is counted as a target."""

        async def scenario(monitor, cluster, log, pool, balancer):
            _fail(monitor, [f"peer-{number}" for number in range(5)])
            await asyncio.sleep(1.0)
            assert not pool.attempts
            assert not monitor.unreachable()

        _run(scenario, fakes.target("a"))

    @pytest.mark.parametrize(
        ("seconds", "outcome", "verified", "isolated"),
        [
            (0.05, _HUNG, False, False),
            (0.1, _CONNECTED, True, False),
            (0.1, _HUNG, True, True),
        ],
        ids=["given up early", "probes of full targets", "probes of a cut"],
    )
    def test_short_attempts(self, seconds, outcome, verified, isolated):
        """Guards against a cut that only probes could find, and find not."""

        async def scenario(monitor, cluster, log, pool, balancer):
            pool.default = outcome
            _fail(monitor, "abc", seconds=seconds)
            assert not monitor.unreachable()
            await asyncio.sleep(0.4)
            assert bool(pool.attempts) is verified
            assert monitor.is_isolated("s") is isolated

        _run(scenario, *map(fakes.target, "abcd"))

    def test_full_targets_again(self):
        """Guards against full targets that cost attempts without end."""

        async def scenario(monitor, cluster, log, pool, balancer):
            pool.default = _CONNECTED
            for _ in range(30):
                _fail(monitor, "abc", seconds=0.1)
                await asyncio.sleep(0.1)
            assert 8 <= len(pool.attempts) <= 12

        _run(scenario, *map(fakes.target, "abcd"))

    def test_targets_that_register_later(self):
        """Guards against an index that misses targets added later."""

        async def scenario(monitor, cluster, log, pool, balancer):
            _fail(monitor, "a")
            cluster.replace_targets(
                [fakes.target(name) for name in ("b", "c", "d", "e")]
            )
            _fail(monitor, "bcd")
            await asyncio.sleep(0.4)
            assert monitor.isolated == {"s"}

        _run(scenario, fakes.target("a"), fakes.target("z"))

    @pytest.mark.parametrize("outcome", [_REFUSED, _HUNG])
    def test_crashed_targets(self, outcome):
        """Guards against crashes of some targets taken for a cut link."""
        targets = [fakes.target(name) for name in "abcdef"]

        async def scenario(monitor, cluster, log, pool, balancer):
            pool.default = _CONNECTED
            _fail(monitor, "abc", outcome)
            await asyncio.sleep(1.0)
            assert not log.named("service_unreachable")
            assert not pool.closed
            assert len(pool.attempts) == 5

        _run(scenario, *targets)

    @pytest.mark.parametrize(
        ("responses", "outcome", "isolated"),
        [
            ("", _HUNG, True),
            ("a", _HUNG, False),
            ("a", _REFUSED, True),
        ],
        ids=["silent", "full targets", "open connections live on"],
    )
    def test_responses(self, responses, outcome, isolated):
        """Guards against full targets taken for a cut link."""
        targets = [fakes.target(name) for name in "abcdef"]

        async def scenario(monitor, cluster, log, pool, balancer):
            pool.default = outcome
            _fail(monitor, "bcd", outcome)
            for _ in range(30):
                await asyncio.sleep(0.1)
                for name in responses:
                    monitor.record_response(f"{name}:80")
            assert monitor.is_isolated("s") is isolated
            assert bool(pool.closed) is (outcome is _HUNG and isolated)

        _run(scenario, *targets)

    @pytest.mark.parametrize("responds", [True, False])
    def test_suspected(self, responds):
        """Guards against requests that hang until a cut is verified."""

        async def scenario(monitor, cluster, log, pool, balancer):
            assert not monitor.is_suspected("s")
            _fail(monitor, "abc")
            await asyncio.sleep(0.1)
            assert monitor.is_suspected("s")
            if responds:
                monitor.record_response("d:80")
                assert not monitor.is_suspected("s")
            await asyncio.sleep(0.4)
            assert not monitor.is_suspected("s")
            assert monitor.is_isolated("s") is not responds

        _run(scenario, *map(fakes.target, "abcd"))

    def test_last_response(self):
        """Guards against an isolation while responses are under way."""

        async def scenario(monitor, cluster, log, pool, balancer):
            monitor.record_response("d:80")
            await asyncio.sleep(0.2)
            _fail(monitor, "abc")
            await asyncio.sleep(0.35)
            assert not monitor.is_isolated("s")
            await asyncio.sleep(0.3)
            assert monitor.is_isolated("s")

        _run(scenario, *map(fakes.target, "abcd"))

    def test_probes_until_reached(self):
        """Guards against a service that stays isolated after a partition."""
        targets = [fakes.target(name) for name in "abcd"]

        async def scenario(monitor, cluster, log, pool, balancer):
            for name in "abc":
                balancer.load(name).unreachable(virtual.now())
            _fail(monitor, "abc")
            await asyncio.sleep(0.31)
            verified = len(pool.attempts)
            assert verified == 4
            assert monitor.is_isolated("s")
            assert not pool.closed
            await asyncio.sleep(1.2)
            assert set(pool.closed) == {"a:80", "b:80", "c:80", "d:80"}
            await asyncio.sleep(1.8)
            assert monitor.is_isolated("s")
            # About two a second: each takes its interval and the timeout.
            assert 4 <= len(pool.attempts) - verified <= 8
            pool.default = _CONNECTED
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
                pool.default = _HUNG
                _fail(monitor, "abc")
                await asyncio.sleep(1.0)
                assert monitor.is_isolated("s")
                pool.default = _CONNECTED
                await asyncio.sleep(1.0)
                assert not monitor.is_isolated("s")

        _run(scenario, *targets)


class TestProofs:
    """What a VM proves before it leads."""

    def test_service_without_targets(self):
        """Guards against an empty service that keeps all VMs from leading."""

        async def scenario(monitor, cluster, log, pool, balancer):
            assert await monitor.reaches("empty", by_connecting=True)
            assert not await monitor.reaches("s", by_connecting=True)

        _run(scenario, fakes.target("a"))

    def test_late_refusals(self):
        """Guards against refusals that are noticed late and count as hung."""
        targets = [fakes.target(name) for name in "abcdefgh"]

        async def scenario(monitor, cluster, log, pool, balancer):
            pool.default = reachability.Outcome.REFUSED
            pool.refused_after = 0.25
            for name in "abc":
                monitor.record_attempt(
                    f"{name}:80", reachability.Outcome.REFUSED, 0.25
                )
            for _ in range(5):
                # Open connections live on.
                monitor.record_response("h:80")
                await asyncio.sleep(0.1)
            assert monitor.is_isolated("s")

        _run(scenario, *targets)

    @pytest.mark.parametrize(
        ("outcomes", "responded", "by_connecting", "reached"),
        [
            ({}, False, True, False),
            ({"a": _CONNECTED}, False, True, True),
            ({}, True, False, True),
            ({}, True, True, False),
        ],
        ids=["none", "one accepts", "a response", "no response counts"],
    )
    def test_service(self, outcomes, responded, by_connecting, reached):
        """Guards against a leader that infers its path."""

        async def scenario(monitor, cluster, log, pool, balancer):
            pool.outcomes = {f"{n}:80": o for n, o in outcomes.items()}
            if responded:
                monitor.record_response("b:80")
            proof = monitor.reaches("s", by_connecting=by_connecting)
            assert await proof is reached

        _run(scenario, *map(fakes.target, "abc"))

    @pytest.mark.parametrize(
        ("owners", "unreached"),
        [("a", ""), ("ab", ""), ("ac", "c"), ("ax", "x"), ("", "")],
        ids=["one", "all", "one fails", "one unknown", "none asked for"],
    )
    def test_owners(self, owners, unreached):
        """Guards against a successor that reaches other targets only."""

        async def scenario(monitor, cluster, log, pool, balancer):
            pool.outcomes = {"a:80": _CONNECTED, "b:80": _CONNECTED}
            assert await monitor.unreached(owners) == list(unreached)

        _run(scenario, *map(fakes.target, "abc"))
