"""Tests of background work that fails for a reason that nobody expects."""

import asyncio

import pytest

from mimosastile_gateway import dissemination
from mimosastile_gateway import leader_role
from mimosastile_gateway import membership
from mimosastile_gateway import store_watching
from mimosastile_standins import virtual
from tests.gateway import fleet

DRAIN_SECONDS = 2.0
"""Bound on the time from the acknowledgement that a target leaves until its
last new request."""
RECOVER_SECONDS = 15.0
"""Bound on the time from the last fault until requests are served again."""


def _run(scenario, vms=4):
    async def main():
        cluster = fleet.Fleet(vms, watched=True)
        await cluster.ready()
        # Waits until watchers are selected and no update is in flight.
        await asyncio.sleep(3.0)
        await scenario(cluster)
        cluster.end()

    virtual.run(main())


async def _leave(cluster):
    """Has a target leave; returns the requests that reached it too late."""
    target = cluster.targets["p0"]
    return await cluster.late_arrivals(target, DRAIN_SECONDS)


def _fail(monkeypatch, kind, name, fails):
    """Lets a method fail.

    Args:
        monkeypatch: Restores the method.
        kind: The class.
        name: The method.
        fails: Whether the call of an instance fails.
    """
    method = getattr(kind, name)

    def failing(self, *args, **kwargs):
        if fails(self):
            raise ZeroDivisionError("unexpected")
        return method(self, *args, **kwargs)

    monkeypatch.setattr(kind, name, failing)


def _first(count):
    """Returns a function that is true for the first calls."""
    calls = iter(range(count))
    return lambda _: next(calls, None) is not None


class TestTransient:
    """Work that fails some times and then succeeds."""

    def test_watch(self, monkeypatch):
        """Guards against a watch of targets that ends after one failure."""

        async def scenario(cluster):
            _fail(
                monkeypatch,
                store_watching.StoreWatcher,
                "_targets_written",
                _first(6),
            )
            cluster.store.put("servers/other", b"{}")
            await asyncio.sleep(3.0)
            assert await _leave(cluster) == []

        _run(scenario)

    def test_report(self, monkeypatch):
        """Guards against a VM that reports no more after one failure."""

        async def scenario(cluster):
            _fail(monkeypatch, membership.Membership, "_make_report", _first(8))
            await asyncio.sleep(3.0)
            assert await _leave(cluster) == []
            reports = cluster.leader().leader_role._disseminator.fresh()
            assert reports.keys() >= cluster.vms.keys() - {
                cluster.leader().name
            }

        _run(scenario)

    def test_update(self, monkeypatch):
        """Guards against a VM that gets no update after one has failed."""

        async def scenario(cluster):
            _fail(
                monkeypatch,
                dissemination.Disseminator,
                "_send_begun",
                _first(9),
            )
            # Too large for the response to a report.
            cluster.write_configuration(3, 200)
            await asyncio.sleep(3.0)
            versions = {vm.cluster.version for vm in cluster.vms.values()}
            assert versions == {3}
            assert await _leave(cluster) == []

        _run(scenario, 10)


class TestLeader:
    """Work of the leader that fails again and again."""

    @pytest.mark.parametrize(
        "name", ["_replace_if_cut_off", "_note_former_wait", "_plan_service"]
    )
    def test_another_vm_leads(self, monkeypatch, name):
        """Guards against a leader that goes on without one of its tasks."""

        async def scenario(cluster):
            failing = cluster.leader()
            _fail(
                monkeypatch,
                leader_role.LeaderRole,
                name,
                lambda role: role is failing.leader_role,
            )
            await asyncio.sleep(RECOVER_SECONDS)
            assert cluster.leader() is not failing
            response = await cluster.ask("vm-000", "/s", 7)
            assert response.status == 200

        _run(scenario)


class TestOutdatedViews:
    """VMs whose sources of registrations stand still without an error."""

    @pytest.mark.parametrize("vms", [6, 40])
    def test_leader_reads_no_more(self, vms):
        """Guards against VMs that rely on a leader whose view stands still.

        It leads, responds and sends updates; its watchers' views stand still
        as well.
        """

        async def scenario(cluster):
            await asyncio.sleep(10.0)
            for vm in cluster.vms.values():
                if vm.membership.follows_store:
                    vm.watcher.stop()
            await asyncio.sleep(10.0)
            assert await _leave(cluster) == []

        _run(scenario, vms)
