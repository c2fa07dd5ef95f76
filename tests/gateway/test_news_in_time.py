"""Tests that changes reach every VM in time, also when other VMs fail."""

import asyncio

import pytest

from mimosastile_standins import virtual
from tests.gateway import fakes
from tests.gateway import fleet
from tests.gateway import links

APPLY_SECONDS = 2.0
"""Bound on the time from the acknowledgement of a version until all VMs use it.
"""
CONTACT_SECONDS = 3.0
"""Time after a disruption of connections until the bounds hold again."""
DRAIN_SECONDS = 2.0
"""Bound on the time from the acknowledgement that a target leaves until its
last new request."""
_LARGE = 200
"""Number of routes of a change too large for the response to a report."""
_ZONES = ("z", "far")


def _run(scenario, vms, **sizes):
    async def main():
        cluster = fleet.Fleet(vms, zones=_ZONES, watched=True, **sizes)
        await cluster.ready()
        # Waits until watchers are selected and no update is in flight.
        await asyncio.sleep(3.0)
        await scenario(cluster)
        cluster.end()

    virtual.run(main())


def _relays(cluster, count):
    """Returns the first VMs outside the leader's zone, which are relays."""
    zone = cluster.leader().zone
    others = [name for name, vm in cluster.vms.items() if vm.zone != zone]
    return others[:count]


async def _in_force(cluster, version, since, excluded):
    """Waits until VMs use a version; returns the seconds taken by VM."""
    took = {}
    while len(took) < len(cluster.vms) - len(excluded):
        assert virtual.now() < since + 30.0
        for name, vm in cluster.vms.items():
            if name not in excluded and vm.cluster.version >= version:
                took.setdefault(name, virtual.now() - since)
        await asyncio.sleep(0.01)
    return took


class TestSilentRelay:
    """A VM that should relay updates to its zone, but does not respond."""

    @pytest.mark.parametrize("vms", [10, 88, 300])
    @pytest.mark.parametrize("silent", [1, 2])
    def test_configuration(self, vms, silent):
        """Guards against a zone that waits until an update times out."""

        async def scenario(cluster):
            relays = _relays(cluster, silent)
            cluster.isolate(*relays)
            since = cluster.write_configuration(3, _LARGE)
            took = await _in_force(cluster, 3, since, relays)
            assert max(took.values()) < APPLY_SECONDS

        _run(scenario, vms)

    @pytest.mark.parametrize("vms", [10, 88, 300])
    def test_leaving_target(self, vms):
        """Guards against a leaving target delayed by an update of routes.

        VMs would go on sending requests to the target in the meantime.
        """

        async def scenario(cluster):
            relays = _relays(cluster, 1)
            cluster.isolate(*relays)
            cluster.write_configuration(3, _LARGE)
            # The update with the version is now in flight.
            await asyncio.sleep(0.03)
            target = cluster.targets["p0"]
            since = cluster.leave(target)
            callers = [name for name in cluster.vms if name not in relays]
            await cluster.call(4.0, 600.0, "/p", vms=callers)
            late = [
                arrival
                for arrival in target.arrivals
                if arrival.at > since + DRAIN_SECONDS
            ]
            assert late == []
            assert set(cluster.statuses) == {200}

        _run(scenario, vms, plain=12)

    def test_series(self):
        """Guards against updates that wait behind each other in a zone.

        The relays of the zone are isolated in turn while versions follow on
        each other.
        """

        async def scenario(cluster):
            relays = _relays(cluster, 2)
            for version, relay in enumerate(relays * 2, start=3):
                cluster.isolate(relay)
                since = cluster.write_configuration(version, _LARGE)
                took = await _in_force(cluster, version, since, [relay])
                assert max(took.values()) < APPLY_SECONDS
                cluster.rejoin(relay)
                await asyncio.sleep(1.0)

        _run(scenario, 12)


class TestSilentWatches:
    """All watches of the store hang without an error."""

    @pytest.mark.parametrize("vms", [10, 88, 300])
    @pytest.mark.parametrize("after", [0.1, 1.5])
    def test_leaving_and_configuration(self, vms, after):
        """Guards against a leader that is relied on but gets no changes.

        Its other calls to the store succeed.
        """

        async def scenario(cluster):
            cluster.store.stall_watches()
            silent = virtual.now()
            await asyncio.sleep(after)
            target = cluster.targets["p0"]
            since = cluster.leave(target)
            cluster.write_configuration(3, 3)
            bound = max(since + DRAIN_SECONDS, silent + CONTACT_SECONDS)
            await cluster.call(bound - since, 200.0, "/p")
            outdated = [
                name
                for name, vm in cluster.vms.items()
                if vm.cluster.version < 3
            ]
            assert outdated == []
            await cluster.call(6.0, 200.0, "/p")
            late = [a for a in target.arrivals if a.at > bound]
            assert late == []

        _run(scenario, vms, plain=12)


class TestFullLink:
    """The link between regions is full of callers' requests and responses."""

    @pytest.mark.parametrize("seconds", [0.2, 0.4, 0.6])
    @pytest.mark.parametrize("directions", [("there", "back"), ("there",)])
    @pytest.mark.parametrize("lead", [1.5, 2.5])
    def test_configuration(self, seconds, directions, lead):
        """Guards against VMs that wait too long before they ask the store.

        Their reports to the leader time out, as do new connections.
        """

        async def scenario(cluster):
            # VMs that have just started wait longer for their leader.
            await asyncio.sleep(12.0)
            filling = asyncio.create_task(
                links.fill(
                    cluster.link, directions, seconds, virtual.now() + 12.0
                )
            )
            await asyncio.sleep(lead)
            since = cluster.write_configuration(3, 20)
            took = await _in_force(cluster, 3, since, [])
            assert max(took.values()) < APPLY_SECONDS
            filling.cancel()

        _run(scenario, 72, link=links.Link(30))


class TestUnknownRoutes:
    """Requests for which a VM has no route."""

    @pytest.mark.parametrize("vms", [10, 88, 300])
    def test_route_does_not_exist(self, vms):
        """Guards against callers that are made to retry in vain."""

        async def scenario(cluster):
            for name in cluster.vms:
                response = await cluster.ask(name, "/nowhere")
                assert response.status == 404

        _run(scenario, vms)

    @pytest.mark.parametrize("vms", [10, 88])
    @pytest.mark.parametrize("seconds", [2.0, 5.0, 20.0])
    def test_outdated_vm(self, vms, seconds):
        """Guards against 404 from an isolated VM for a route added long ago."""

        async def scenario(cluster):
            outdated = _relays(cluster, 2)
            cluster.isolate(*outdated)
            cluster.write_configuration(3, 1)
            await asyncio.sleep(seconds)
            began = virtual.now()
            for name in outdated:
                response = await cluster.ask(name, "/e3-0")
                assert response.status == 503
                assert 0 < cluster.refusals[-1] < 1.0
            assert virtual.now() - began < 1.0
            cluster.rejoin(*outdated)
            await asyncio.sleep(APPLY_SECONDS)
            for name in outdated:
                response = await cluster.ask(name, "/e3-0")
                assert response.status == 200

        _run(scenario, vms)


class TestKnownRoutes:
    """Requests on routes that every version has."""

    @pytest.mark.parametrize("vms", [10, 88])
    @pytest.mark.parametrize("seconds", [4.0, 9.0])
    def test_reads_fail(self, vms, seconds):
        """Guards against an old version used by a VM that the store reaches.

        No leader responds to the VM, its reads of the store time out, and its
        registration is renewed all the same.
        """

        async def scenario(cluster):
            name = _relays(cluster, 1)[0]
            vm = cluster.vms[name]
            vm.store.hanging = {"watch", "list", "read", "commit"}
            cluster.cut.update((name, other) for other in cluster.vms)
            since = cluster.write_configuration(3, 3)
            await cluster.call(seconds, 100.0, "/p", vms=[name])
            vm.store.hanging = set()
            arrivals = [
                arrival
                for target in cluster.targets.values()
                for arrival in target.arrivals
                if arrival.vm == name and arrival.sent > since + APPLY_SECONDS
            ]
            assert vm.cluster.version == 2
            assert arrivals == []

        _run(scenario, vms, plain=12)

    @pytest.mark.parametrize("vms", [10, 88])
    def test_reached_again(self, vms):
        """Guards against a configuration not read once the store responds."""

        async def scenario(cluster):
            name = _relays(cluster, 1)[0]
            vm = cluster.vms[name]
            cluster.isolate(name)
            cluster.write_configuration(3, 3)
            await asyncio.sleep(8.0)
            vm.store.failing = None
            await vm.store.read("unused")
            vm.cluster.record_store_status(ok=True)
            response = await cluster.ask(name, "/e3-0")
            assert response.status == 200
            assert vm.cluster.version == 3

        _run(scenario, vms, plain=12)

    @pytest.mark.parametrize("vms", [10, 88])
    def test_isolated_vm(self, vms):
        """Guards against a VM that is cut off for long and serves nobody."""

        async def scenario(cluster):
            name = _relays(cluster, 1)[0]
            cluster.isolate(name)
            await asyncio.sleep(CONTACT_SECONDS)
            await cluster.call(20.0, 50.0, "/p", vms=[name])
            assert set(cluster.statuses) == {200}

        _run(scenario, vms, plain=12)

    @pytest.mark.parametrize("vms", [10, 88, 300])
    @pytest.mark.parametrize("killed", [1, 2])
    def test_leader_is_lost(self, vms, killed):
        """Guards against requests refused while VMs have no leader."""

        async def scenario(cluster):
            for _ in range(killed):
                leader = cluster.leader()
                cluster.vms.pop(leader.name).end()
                await cluster.call(6.0, 600.0, "/p")
            assert set(cluster.statuses) == {200}

        _run(scenario, vms, plain=12)

    @pytest.mark.parametrize("vms", [10, 88])
    @pytest.mark.parametrize("failure", [fakes.UNAVAILABLE, fakes.UNKNOWN])
    def test_store_is_lost(self, vms, failure):
        """Guards against requests refused in an outage of the store."""

        async def scenario(cluster):
            for vm in cluster.vms.values():
                vm.store.failing = failure
            await cluster.call(8.0, 300.0, "/p")
            assert set(cluster.statuses) == {200}

        _run(scenario, vms, plain=12)
