"""Tests that records in odd forms stop nothing but themselves."""

import asyncio
import random

import pytest

from mimosastile_gateway import messages
from mimosastile_standins import odd_records
from mimosastile_standins import virtual
from tests.gateway import fleet

APPLY_SECONDS = 2.0
"""Bound on the time from the acknowledgement of a version until all VMs use it.
"""
DRAIN_SECONDS = 2.0
"""Bound on the time from the acknowledgement that a target leaves until its
last new request."""
RECOVER_SECONDS = 15.0
"""Bound on the time from the last fault until requests are served again."""
_REGISTRATION = b'{"ServiceName":"p","Address":"10.9.9.9:80","State":"ready"}'
_CONFIGURATION = b'{"ConfigVersion":3,"ListenerList":[],"ClusterList":[]}'
_VM = b'{"id":"vm-x","boot":"b","address":"vm-x","zone":"z"}'
_TABLE = b'{"service":"other","version":1,"ranges":[]}'
_KINDS = tuple(odd_records.forms(_REGISTRATION))
_NESTED = "objects-in-an-unknown-field"


def _run(scenario, vms=3):
    async def main():
        cluster = fleet.Fleet(vms, watched=True)
        await cluster.ready()
        # Waits until watchers are selected and no update is in flight.
        await asyncio.sleep(3.0)
        await scenario(cluster)
        cluster.end()

    virtual.run(main())


def _form(kind, body):
    return odd_records.forms(body)[kind]


async def _leave(cluster):
    """Has a target leave; returns the requests that reached it too late."""
    target = cluster.targets["p0"]
    return await cluster.late_arrivals(target, DRAIN_SECONDS)


async def _serving(cluster):
    """Asks each VM for keys; returns the statuses, after the time to recover.

    Grants that were given before have expired by then.
    """
    await asyncio.sleep(RECOVER_SECONDS)
    responses = [
        await cluster.ask(name, "/s", key)
        for name in cluster.vms
        for key in (7, 30_000, 65_000)
    ]
    return {response.status for response in responses}


async def _lose_leader(cluster):
    """Ends the leader as a kill would; returns `_serving`."""
    lost = cluster.leader()
    lost.end()
    del cluster.vms[lost.name]
    return await _serving(cluster)


@pytest.mark.parametrize("kind", _KINDS)
class TestForms:
    """One odd record, in each form."""

    def test_registration(self, kind):
        """Guards against an odd registration that ends the watch of targets.

        VMs would go on sending requests to targets that have left.
        """

        async def scenario(cluster):
            cluster.store.put("servers/odd", _form(kind, _REGISTRATION))
            await asyncio.sleep(1.0)
            assert await _leave(cluster) == []
            assert set(cluster.statuses) == {200}

        _run(scenario)

    def test_start(self, kind):
        """Guards against a VM that starts beside an odd registration."""

        async def scenario(cluster):
            cluster.store.put("servers/odd", _form(kind, _REGISTRATION))
            cluster.add_vm("vm-003")
            await asyncio.sleep(4.0)
            assert await _leave(cluster) == []

        _run(scenario)

    def test_configuration(self, kind):
        """Guards against an odd configuration that hides the next version."""

        async def scenario(cluster):
            cluster.store.put("op/config", _form(kind, _CONFIGURATION))
            await asyncio.sleep(1.0)
            cluster.write_configuration(4)
            await asyncio.sleep(APPLY_SECONDS)
            versions = {vm.cluster.version for vm in cluster.vms.values()}
            assert versions == {4}

        _run(scenario)

    @pytest.mark.parametrize(
        ("key", "body"),
        [
            (messages.vm_key("vm-x"), _VM),
            (messages.table_key("other"), _TABLE),
            (messages.WITNESSES_KEY, b"{}"),
        ],
        ids=["vm", "table", "witnesses"],
    )
    def test_next_leader(self, kind, key, body):
        """Guards against an odd record that keeps every VM from leading.

        Keys would have no owner once the leader is lost.
        """

        async def scenario(cluster):
            cluster.store.put(key, _form(kind, body))
            await asyncio.sleep(1.0)
            assert await _lose_leader(cluster) == {200}

        _run(scenario)

    @pytest.mark.parametrize("own", [False, True], ids=["leader", "vm"])
    def test_own_record(self, kind, own):
        """Guards against a VM whose own record is overwritten."""

        async def scenario(cluster):
            leader = cluster.leader()
            key = messages.vm_key(leader.name) if own else messages.LEADER_KEY
            cluster.store.put(key, _form(kind, _VM))
            await asyncio.sleep(1.0)
            assert await _serving(cluster) == {200}
            assert await _leave(cluster) == []

        _run(scenario)


class TestTables:
    """The table of a service that has targets."""

    @pytest.mark.parametrize("kind", [_NESTED, "not-utf-8", "empty"])
    def test_overwritten(self, kind):
        """Guards against keys that have no owner once a table is overwritten.

        The next leader can't read who owns them.
        """

        async def scenario(cluster):
            key = messages.table_key("s")
            cluster.store.put(key, _form(kind, _TABLE))
            await asyncio.sleep(1.0)
            assert await _lose_leader(cluster) == {200}

        _run(scenario)


class TestSeries:
    """Odd records in random order under all keys, while targets leave."""

    @pytest.mark.parametrize("seed", range(6))
    def test_targets_leave(self, seed):
        """Guards against forms that stop a task only in series."""

        async def scenario(cluster):
            rng = random.Random(seed)
            written = [
                (key, form)
                for key, body in (
                    ("servers/odd", _REGISTRATION),
                    ("servers/p1", _REGISTRATION),
                    ("op/odd", _CONFIGURATION),
                    (messages.vm_key("vm-x"), _VM),
                    (messages.table_key("other"), _TABLE),
                )
                for _, form in odd_records.draw(rng, body)
            ]
            rng.shuffle(written)
            for key, form in written:
                cluster.store.put(key, form)
                await asyncio.sleep(rng.expovariate(10.0))
            cluster.write_configuration(4)
            assert await _leave(cluster) == []
            versions = {vm.cluster.version for vm in cluster.vms.values()}
            assert versions == {4}

        _run(scenario)
