"""Changes reach every VM in time, whatever becomes of other VMs."""

import asyncio

import pytest

from mimosastile_standins import virtual
from tests.gateway import fleet

APPLY_SECONDS = 2.0
"""From the acknowledgement of a version until all VMs serve by it."""
CONTACT_SECONDS = 3.0
"""After a disruption of connections, until the bounds hold again."""
DRAIN_SECONDS = 2.0
"""From the acknowledgement of a leaving to a target's last new request."""
_LARGE = 200
"""Routes of a change that does not fit into the answer to a report."""
_ZONES = ("z", "far")


def _play(scenario, vms, **sizes):
    async def main():
        made = fleet.Fleet(vms, zones=_ZONES, watched=True, **sizes)
        await made.ready()
        # Until watchers are chosen and nothing is on its way.
        await asyncio.sleep(3.0)
        await scenario(made)
        made.end()

    virtual.run(main())


def _heads(made, count):
    """Returns the first VMs of the zone that the leader does not stand in."""
    zone = made.leader().zone
    others = [name for name, vm in made.vms.items() if vm.zone != zone]
    return others[:count]


async def _in_force(made, version, since, excluded):
    """Waits for a version; returns by VM how long that took."""
    took = {}
    while len(took) < len(made.vms) - len(excluded):
        assert virtual.now() < since + 30.0
        for name, vm in made.vms.items():
            if name not in excluded and vm.cluster.version >= version:
                took.setdefault(name, virtual.now() - since)
        await asyncio.sleep(0.01)
    return took


class TestVmThatPassesNewsOn:
    """One VM hears for its zone, and falls silent."""

    @pytest.mark.parametrize("vms", [10, 88, 300])
    @pytest.mark.parametrize("silent", [1, 2])
    def test_configuration(self, vms, silent):
        """Guards against a zone that waits until a message is given up."""

        async def scenario(made):
            heads = _heads(made, silent)
            made.isolate(*heads)
            since = made.write_configuration(3, _LARGE)
            took = await _in_force(made, 3, since, heads)
            assert max(took.values()) < APPLY_SECONDS

        _play(scenario, vms)

    @pytest.mark.parametrize("vms", [10, 88, 300])
    def test_leaving_target(self, vms):
        """Guards against work for a target whose leaving waits for routes."""

        async def scenario(made):
            heads = _heads(made, 1)
            made.isolate(*heads)
            made.write_configuration(3, _LARGE)
            # The message with the version is on its way.
            await asyncio.sleep(0.03)
            target = made.targets["p0"]
            since = made.leave(target)
            callers = [name for name in made.vms if name not in heads]
            await made.call(4.0, 600.0, "/p", vms=callers)
            late = [
                arrival
                for arrival in target.arrivals
                if arrival.at > since + DRAIN_SECONDS
            ]
            assert late == []
            assert set(made.statuses) == {200}

        _play(scenario, vms, plain=12)

    def test_series(self):
        """Guards against news that wait behind each other in a zone.

        VMs of it fall silent in turn while versions and leavings follow on
        each other.
        """

        async def scenario(made):
            heads = _heads(made, 2)
            for version, head in enumerate(heads * 2, start=3):
                made.isolate(head)
                since = made.write_configuration(version, _LARGE)
                took = await _in_force(made, version, since, [head])
                assert max(took.values()) < APPLY_SECONDS
                made.rejoin(head)
                await asyncio.sleep(1.0)

        _play(scenario, 12)


class TestSilentWatches:
    """All that wait for the store hear nothing more, and no end either."""

    @pytest.mark.parametrize("vms", [10, 88, 300])
    @pytest.mark.parametrize("after", [0.1, 1.5])
    def test_leaving_and_configuration(self, vms, after):
        """Guards against a leader that does not know and is relied on.

        Its other calls to the store are answered.
        """

        async def scenario(made):
            made.store.stall_watches()
            silent = virtual.now()
            await asyncio.sleep(after)
            target = made.targets["p0"]
            since = made.leave(target)
            made.write_configuration(3, 3)
            bound = max(since + DRAIN_SECONDS, silent + CONTACT_SECONDS)
            await made.call(bound - since, 200.0, "/p")
            behind = [
                name for name, vm in made.vms.items() if vm.cluster.version < 3
            ]
            assert behind == []
            await made.call(6.0, 200.0, "/p")
            late = [a for a in target.arrivals if a.at > bound]
            assert late == []

        _play(scenario, vms, plain=12)


class TestUnknownRoutes:
    """Requests for which a VM knows no route."""

    @pytest.mark.parametrize("vms", [10, 88, 300])
    def test_where_there_is_none(self, vms):
        """Guards against callers who are told to come again in vain."""

        async def scenario(made):
            for name in made.vms:
                answer = await made.ask(name, "/nowhere")
                assert answer.status == 404

        _play(scenario, vms)

    @pytest.mark.parametrize("vms", [10, 88])
    @pytest.mark.parametrize("seconds", [2.0, 5.0, 20.0])
    def test_vm_that_is_behind(self, vms, seconds):
        """Guards against 404 for a route that was added long ago."""

        async def scenario(made):
            behind = _heads(made, 2)
            made.isolate(*behind)
            made.write_configuration(3, 1)
            await asyncio.sleep(seconds)
            asked = virtual.now()
            for name in behind:
                answer = await made.ask(name, "/e3-0")
                assert answer.status == 503
                assert 0 < made.refusals[-1] < 1.0
            assert virtual.now() - asked < 1.0
            made.rejoin(*behind)
            await asyncio.sleep(APPLY_SECONDS)
            for name in behind:
                answer = await made.ask(name, "/e3-0")
                assert answer.status == 200

        _play(scenario, vms)
