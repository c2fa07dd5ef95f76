"""Tests of the total rate of all VMs at a target that has set a limit."""

import asyncio

import pytest

from mimosastile_core.gateway import target_feedback
from mimosastile_standins import virtual
from tests.gateway import fakes
from tests.gateway import fleet

PROPAGATION_SECONDS = 3.0
"""Time from the first statement of a limit until all VMs keep to it."""
WINDOW_SECONDS = 4.0
RESPONSE_DELAY_SECONDS = 0.5
"""A VM's requests count from this time after it passed on a response that
states the limit."""


def highest_excess(target, since):
    """Returns the most requests by which any window exceeds the bound.

    Args:
        target: The target.
        since: When it first stated a limit.
    """
    informed_at = {}
    for at, vm, headers in target.responses:
        if b"server-limit" in headers:
            informed_at.setdefault(vm, at)
    counted = [
        arrival.at
        for arrival in target.arrivals
        if arrival.vm in informed_at
        and arrival.at >= informed_at[arrival.vm] + RESPONSE_DELAY_SECONDS
    ]
    rate = float(target.extra_headers["server-limit"])
    allowed = 1.5 * rate * WINDOW_SECONDS + 5
    return max(
        (
            sum(end - WINDOW_SECONDS < at <= end for at in counted) - allowed
            for end in counted
            if end >= since + PROPAGATION_SECONDS
        ),
        default=-allowed,
    )


def _play(scenario, vms, **sizes):
    async def main():
        cluster = fleet.Fleet(vms, **sizes)
        await cluster.ready()
        await scenario(cluster)
        cluster.end()

    virtual.run(main())


def _set_limit(target, rate):
    """Makes a target state a limit; returns the time."""
    target.extra_headers["server-limit"] = str(rate)
    return virtual.now()


def _request_rate(target, since, until):
    """Returns the requests a second that a target got."""
    got = sum(since <= a.at < until for a in target.arrivals)
    return got / (until - since)


class TestSumOverAllVms:
    """A limit applies to the sum over all VMs."""

    @pytest.mark.parametrize("vms", [10, 88, 300])
    @pytest.mark.parametrize("rate", [6.1, 0.4])
    def test_owner_of_keys(self, vms, rate):
        """Guards against VMs that each send the whole limit."""

        async def scenario(cluster):
            await cluster.call(2.0, 120.0, "/s", fleet.any_key)
            target = cluster.owner()
            set_at = _set_limit(target, rate)
            await cluster.call(12.0, 120.0, "/s", fleet.any_key)
            assert highest_excess(target, set_at) <= 0

        _play(scenario, vms)

    @pytest.mark.parametrize("vms", [10, 88, 300])
    @pytest.mark.parametrize("rate", [6.1, 0.4])
    def test_target_without_keys(self, vms, rate):
        """Guards against the same where any target may run a request."""

        async def scenario(cluster):
            await cluster.call(2.0, 120.0, "/p")
            target = cluster.targets["p0"]
            set_at = _set_limit(target, rate)
            await cluster.call(12.0, 120.0, "/p")
            assert highest_excess(target, set_at) <= 0
            assert cluster.statuses == {200: sum(cluster.statuses.values())}

        _play(scenario, vms)

    def test_requests_without_a_key_to_an_owner_of_keys(self):
        """Guards against requests without a key that bypass the limit."""

        async def scenario(cluster):
            await cluster.call(2.0, 60.0, "/s", fleet.any_key)
            target = cluster.owner()
            set_at = _set_limit(target, 6.1)
            await asyncio.gather(
                cluster.call(12.0, 60.0, "/s", fleet.any_key),
                cluster.call(12.0, 60.0, "/s"),
            )
            assert highest_excess(target, set_at) <= 0

        _play(scenario, 10)

    def test_only_target_of_a_service(self):
        """Guards against a limit that is ignored for a sole target."""

        async def scenario(cluster):
            await cluster.call(2.0, 40.0, "/p")
            target = cluster.targets["p0"]
            set_at = _set_limit(target, 6.1)
            await cluster.call(12.0, 40.0, "/p")
            assert highest_excess(target, set_at) <= 0
            assert _request_rate(target, set_at + 4.0, set_at + 12.0) > 3.0
            assert cluster.statuses.keys() == {200, 503}
            assert min(cluster.refusals) > 0

        _play(scenario, 10, plain=1)

    @pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6])
    def test_cut_off_vms(self, seed):
        """Guards against cut-off VMs that each use the whole limit.

        Their leader remains a leader for a while after the others have a new
        one.
        """

        async def scenario(cluster):
            await cluster.call(2.0, 120.0, "/s", fleet.any_key)
            target = cluster.owner()
            cluster.isolate(*list(cluster.vms)[:15])
            set_at = _set_limit(target, 6.1)
            await cluster.call(12.0, 200.0, "/s", fleet.any_key)
            assert highest_excess(target, set_at) <= 0

        _play(scenario, 20, seed=seed)

    def test_lost_gate_and_leader(self):
        """Guards against an old and a new sender that both send."""

        async def scenario(cluster):
            await cluster.call(2.0, 120.0, "/s", fleet.any_key)
            target = cluster.owner()
            set_at = _set_limit(target, 6.1)
            calling = asyncio.create_task(
                cluster.call(16.0, 120.0, "/s", fleet.any_key)
            )
            for _ in range(3):
                await asyncio.sleep(4.0)
                gates = cluster.leader().balancer._gates
                gate = cluster.vms.get(gates.get(target.id))
                for lost in {cluster.leader(), gate or cluster.leader()}:
                    cluster.vms.pop(lost.name).end()
            await calling
            assert highest_excess(target, set_at) <= 0

        _play(scenario, 12)

    def test_new_vms(self):
        """Guards against new VMs that ignore a limit in force."""

        async def scenario(cluster):
            await cluster.call(2.0, 120.0, "/s", fleet.any_key)
            target = cluster.owner()
            set_at = _set_limit(target, 3.1)
            calling = asyncio.create_task(
                cluster.call(14.0, 120.0, "/s", fleet.any_key)
            )
            for number in range(10):
                await asyncio.sleep(1.0)
                cluster.add_vm(f"vm-9{number}")
            await calling
            assert highest_excess(target, set_at) <= 0

        _play(scenario, 5)


class TestFaults:
    """Limits while VMs fail, are cut off and start, and the store fails."""

    @pytest.mark.parametrize("seed", [1, 5, 13])
    def test_series_of_faults(self, seed):
        """Guards against series of faults in which the sum is exceeded."""

        async def scenario(cluster):
            await cluster.call(2.0, 150.0, "/s", fleet.any_key)
            calling = [
                asyncio.create_task(
                    cluster.call(14.0, 120.0, "/s", fleet.any_key)
                ),
                asyncio.create_task(cluster.call(14.0, 60.0, "/p")),
                asyncio.create_task(cluster.call(14.0, 15.0, "/s")),
            ]
            limited = [
                (
                    target,
                    _set_limit(target, cluster.rng.choice((0.4, 2.6, 6.1))),
                )
                for target in cluster.rng.sample(
                    list(cluster.targets.values()), 3
                )
            ]
            for number in range(9):
                await asyncio.sleep(cluster.rng.uniform(0.3, 1.5))
                self._inject_fault(cluster, number)
            self._heal(cluster)
            await asyncio.gather(*calling)
            assert [
                b for t, s in limited if (b := highest_excess(t, s)) > 0
            ] == []

        _play(scenario, 12, seed=seed)

    def _inject_fault(self, cluster, number):
        alive = sorted(cluster.vms)
        fault = cluster.rng.choice(("kill", "cut", "heal", "start", "store"))
        if fault == "kill" and len(alive) > 6:
            cluster.vms.pop(cluster.rng.choice(alive)).end()
        elif fault == "cut":
            cluster.isolate(*cluster.rng.sample(alive, len(alive) // 3))
        elif fault == "heal":
            self._heal(cluster)
        elif fault == "start":
            cluster.add_vm(f"vm-9{number}")
        elif fault == "store":
            cluster.store.failing = fakes.UNKNOWN

    def _heal(self, cluster):
        cluster.cut.clear()
        cluster.store.failing = None
        for vm in cluster.vms.values():
            vm.store.failing = None


class TestOtherResponses:
    """A limit that no response to a caller's request has stated yet."""

    def test_response_to_an_order(self):
        """Guards against a leader that ignores limits in order responses."""

        async def scenario(cluster):
            target = cluster.owner()
            cluster.orders.feedback[target.id] = target_feedback.TargetFeedback(
                limit=3.1, names_limit=True
            )
            await asyncio.sleep(2.0)
            recorded = [vm.cluster.limits.dump() for vm in cluster.vms.values()]
            assert all(limits == {target.id: 3.1} for limits in recorded)

        _play(scenario, 10)


class TestUse:
    """A limited target gets up to its limit, and full load afterwards."""

    def test_keys_move_until_the_load_fits(self):
        """Guards against refusals while other targets have capacity."""

        async def scenario(cluster):
            await cluster.call(3.0, 120.0, "/s", fleet.any_key)
            target = cluster.owner()
            set_at = _set_limit(target, 6.1)
            await cluster.call(8.0, 120.0, "/s", fleet.any_key)
            cluster.statuses.clear()
            await cluster.call(6.0, 120.0, "/s", fleet.any_key)
            requested = sum(cluster.statuses.values())
            assert cluster.statuses[200] > 0.97 * requested
            assert _request_rate(target, set_at + 8.0, set_at + 14.0) > 1.0

        _play(scenario, 10)

    @pytest.mark.parametrize("path", ["/s", "/p"])
    def test_limit_is_lifted(self, path):
        """Guards against a limit that outlives its last statement."""

        async def scenario(cluster):
            key = fleet.any_key if path == "/s" else None
            await cluster.call(2.0, 120.0, path, key)
            target = cluster.owner() if key else cluster.targets["p0"]
            _set_limit(target, 6.1)
            await cluster.call(6.0, 120.0, path, key)
            del target.extra_headers["server-limit"]
            lifted_at = virtual.now()
            await cluster.call(20.0, 120.0, path, key)
            assert (
                _request_rate(target, lifted_at + 12.0, lifted_at + 20.0) > 10.0
            )
            recorded = [vm.cluster.limits.dump() for vm in cluster.vms.values()]
            assert not any(recorded)

        _play(scenario, 10)

    def test_new_incarnation_at_the_same_address(self):
        """Guards against the limit of an ended incarnation."""

        async def scenario(cluster):
            await cluster.call(2.0, 120.0, "/p")
            target = cluster.targets["p0"]
            _set_limit(target, 0.4)
            await cluster.call(5.0, 120.0, "/p")
            del target.extra_headers["server-limit"]
            target.born = 2
            cluster.apply_target(target.registration)
            began = virtual.now()
            await cluster.call(4.0, 120.0, "/p")
            assert _request_rate(target, began, began + 4.0) > 10.0

        _play(scenario, 10)

    @pytest.mark.parametrize("rate", ["-3", "many", "1e99", ""])
    def test_invalid_limit(self, rate):
        """Guards against a target without requests due to an invalid limit."""

        async def scenario(cluster):
            target = cluster.targets["p0"]
            set_at = _set_limit(target, rate)
            await cluster.call(6.0, 120.0, "/p")
            assert _request_rate(target, set_at, set_at + 6.0) > 15.0

        _play(scenario, 10)

    def test_limit_of_zero(self):
        """A limit of 0 applies; callers are refused at once."""

        async def scenario(cluster):
            await cluster.call(2.0, 60.0, "/p")
            target = cluster.targets["p0"]
            set_at = _set_limit(target, 0)
            asked = await cluster.call(12.0, 60.0, "/p")
            assert highest_excess(target, set_at) <= 0
            assert all(task.done() for task in asked)

        _play(scenario, 10, plain=1)
