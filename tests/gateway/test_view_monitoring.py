"""Tests of views of the store that nobody refreshes."""

import asyncio

import pytest

from mimosastile_gateway import settings
from mimosastile_gateway import view_monitoring
from mimosastile_standins import virtual
from tests.gateway import fakes
from tests.gateway import fleet

_BOUND = settings.StoreSettings(address="").view_age_most
"""Age in seconds from which a view is outdated, without reports."""


def _monitor(log):
    """Returns a monitor and the state whose views it compares."""
    timer = fakes.VirtualClock()
    state = fakes.new_cluster_state(timer, log, fakes.target("a"))
    configured = settings.StoreSettings(address="")
    return view_monitoring.ViewMonitor(configured, state, timer, log), state


class TestUpdate:
    """The comparison of ages with the bound."""

    @pytest.mark.parametrize(
        ("age", "interval", "outdated"),
        [
            (_BOUND - 0.1, 0.0, set()),
            (_BOUND + 0.1, 0.0, {"registrations"}),
            (_BOUND + 0.1, 1.0, set()),
            (None, 0.0, set()),
        ],
    )
    def test_bound(self, age, interval, outdated):
        """A view is outdated beyond the bound, and never before it exists."""

        async def main():
            monitor, state = _monitor(fakes.MemoryEvents())
            await asyncio.sleep(2 * _BOUND)
            if age is not None:
                state.registrations_freshness.record(virtual.now() - age)
            monitor.update(interval, follows_store=False)
            return monitor.outdated

        assert virtual.run(main()) == outdated

    def test_changes_are_logged(self):
        """Guards against a view that grows old without a log line."""
        log = fakes.MemoryEvents()

        async def main():
            monitor, state = _monitor(log)
            state.registrations_freshness.record(virtual.now())
            for _ in range(3):
                await asyncio.sleep(_BOUND / 2 + 1.0)
                monitor.update(0.0, follows_store=False)
            state.registrations_freshness.record(virtual.now())
            monitor.update(0.0, follows_store=False)

        virtual.run(main())
        for event in ("view_outdated", "view_current"):
            assert [line["view"] for line in log.named(event)] == [
                "registrations"
            ]


class TestStatedAges:
    """The age that VMs state while nothing changes."""

    def test_other_keys_change(self):
        """Guards against an age that grows though the leader's view is current.

        The revision of the store advances with writes to other keys.
        """

        async def main():
            cluster = fleet.Fleet(5, watched=True)
            await cluster.ready()
            for _ in range(20):
                await asyncio.sleep(1.0)
                cluster.store.put("op/other", b"{}")
            ages = [vm.cluster.registrations_age for vm in cluster.vms.values()]
            cluster.end()
            return ages

        assert max(virtual.run(main())) < _BOUND
