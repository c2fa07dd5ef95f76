"""Tests of targets that announce their shutdown in responses."""

import asyncio

import msgspec
import pytest

from mimosastile_core.gateway import target_feedback
from mimosastile_standins import virtual
from tests.gateway import fakes
from tests.gateway import fleet

DRAIN_SECONDS = 2.0
"""Time after the announcement within which a VM may still send requests."""


def _leave(target):
    """Lets a target announce its shutdown; returns the time."""
    target.extra_headers["server-leaving"] = "1"
    return virtual.now()


def too_late(target):
    """Returns requests that VMs sent too long after the announcement."""
    notified = {}
    for at, vm, headers in target.responses:
        if b"server-leaving" in headers:
            notified.setdefault(vm, at)
    return [
        arrival
        for arrival in target.arrivals
        if arrival.sent > notified.get(arrival.vm, 1e9) + DRAIN_SECONDS
    ]


def _register(cluster, target, **changes):
    cluster.revision += 1
    cluster.apply_target(
        msgspec.structs.replace(
            target.registration, revision=cluster.revision, **changes
        )
    )


def _run(scenario, vms=10, **sizes):
    async def main():
        cluster = fleet.Fleet(vms, **sizes)
        await cluster.ready()
        cluster.revision = 10
        await scenario(cluster)
        cluster.end()

    virtual.run(main())


class TestAnnouncedInResponses:
    """Announcements that the store does not have yet."""

    @pytest.mark.parametrize("vms", [10, 88, 300])
    @pytest.mark.parametrize("store_fails", [False, True])
    @pytest.mark.parametrize("path", ["/s", "/p"])
    def test_no_new_work(self, path, store_fails, vms):
        """Guards against requests to a leaving target before the store has it.

        VMs have only the announcement.
        """

        async def scenario(cluster):
            key = fleet.any_key if path == "/s" else None
            await cluster.call(1.0, 120.0, path, key)
            target = cluster.owner() if key else cluster.targets["p0"]
            if store_fails:
                cluster.store.failing = fakes.UNKNOWN
            _leave(target)
            await cluster.call(9.0, 120.0, path, key)
            assert too_late(target) == []

        _run(scenario, vms)

    @pytest.mark.parametrize("vms", [10, 88])
    def test_all_vms_are_notified(self, vms):
        """Guards against VMs that get the announcement one by one."""

        async def scenario(cluster):
            await cluster.call(1.0, 120.0, "/p")
            target = cluster.targets["p0"]
            since = _leave(target)
            await cluster.call(8.0, 120.0, "/p")
            late = [a for a in target.arrivals if a.sent > since + 1.5]
            assert late == []
            assert set(cluster.statuses) == {200}

        _run(scenario, vms)

    def test_keys_move(self):
        """Guards against refused keys until the store has the change."""

        async def scenario(cluster):
            await cluster.call(1.0, 120.0, "/s", fleet.any_key)
            target = cluster.owner()
            _leave(target)
            await cluster.call(3.0, 120.0, "/s", fleet.any_key)
            assert set(cluster.statuses) == {200}
            assert cluster.owner() is not target

        _run(scenario)

    def test_no_requests_for_its_keys(self):
        """Guards against keys that stay on a target without requests.

        Its responses to the leader's orders contain the announcement as well.
        """

        async def scenario(cluster):
            target = cluster.owner()
            cluster.orders.feedback[target.id] = target_feedback.TargetFeedback(
                leaving=True
            )
            await asyncio.sleep(3.0)
            assert cluster.owner() is not target
            response = await cluster.ask("vm-001", "/s", 0)
            assert response.status == 200
            assert target.arrivals == []

        _run(scenario)

    def test_keys_cannot_move(self):
        """Guards against callers that wait for keys in a store outage."""

        async def scenario(cluster):
            await cluster.call(1.0, 120.0, "/s", fleet.any_key)
            target = cluster.owner()
            cluster.store.failing = fakes.UNKNOWN
            _leave(target)
            await cluster.call(4.0, 120.0, "/s", fleet.any_key)
            began = virtual.now()
            response = await cluster.ask("vm-001", "/s", 0)
            assert response.status == 503
            assert virtual.now() - began < 0.1
            assert 0 < cluster.refusals[-1] <= 5.0
            cluster.store.failing = None
            await asyncio.sleep(3.0)
            assert (await cluster.ask("vm-001", "/s", 0)).status == 200

        _run(scenario)

    def test_last_target_of_a_service(self):
        """Guards against requests to a leaving target that is the only one."""

        async def scenario(cluster):
            await cluster.call(1.0, 40.0, "/p")
            target = cluster.targets["p0"]
            since = _leave(target)
            await cluster.call(6.0, 40.0, "/p")
            assert too_late(target) == []
            assert any(a.sent > since + 1.0 for a in target.arrivals)
            began = virtual.now()
            response = await cluster.ask("vm-001", "/p")
            assert response.status == 503
            assert virtual.now() - began < 0.1
            assert cluster.refusals[-1] > 0

        _run(scenario, plain=1)


class TestOtherSources:
    """Registrations before and after an announcement, or contradicting it."""

    @pytest.mark.parametrize(
        "registered",
        [
            [{"leaving": True}],
            [{}],
            [{}, {"leaving": True}],
            [{"leaving": True}, {}],
            [None, {}],
            [None, {"leaving": True}],
        ],
    )
    @pytest.mark.parametrize("first", [False, True])
    def test_same_incarnation(self, registered, first):
        """Guards against a registration that reverts an announcement.

        Heartbeats take effect late, and an expired registration may come back.
        """

        async def scenario(cluster):
            calling = asyncio.create_task(cluster.call(10.0, 40.0, "/p"))
            await asyncio.sleep(1.0)
            target = cluster.targets["p0"]
            if not first:
                _leave(target)
            for changes in registered:
                await asyncio.sleep(0.7)
                if changes is not None:
                    _register(cluster, target, **changes)
                    continue
                cluster.revision += 1
                for vm in cluster.vms.values():
                    vm.cluster.remove_target(target.id, cluster.revision)
            if first:
                _leave(target)
            await calling
            assert too_late(target) == []

        _run(scenario, plain=2)

    def test_next_incarnation(self):
        """Guards against the announcement of an earlier incarnation."""

        async def scenario(cluster):
            await cluster.call(1.0, 60.0, "/p")
            target = cluster.targets["p0"]
            _leave(target)
            await cluster.call(3.0, 60.0, "/p")
            del target.extra_headers["server-leaving"]
            target.born += 1
            _register(cluster, target)
            since = virtual.now()
            await cluster.call(3.0, 60.0, "/p")
            received = sum(a.at > since for a in target.arrivals)
            assert received > 30

        _run(scenario, plain=2)
