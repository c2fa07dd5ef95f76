"""Tests of dissemination of changes to all entry VMs, in virtual time."""

import asyncio

from mimosastile_standins import deployments
from mimosastile_standins import virtual
from mimosastile_standins import world

IN_FORCE_SECONDS = 2.0


async def _start_world(deployment=deployments.SMALL):
    made = world.World()
    await made.deploy(deployment)
    await virtual.pause(3.0)
    return made


def _config_number(made, vm):
    return made.daemons[vm].find("state").replica.config.number


async def _seconds_until_in_force(made, number, vms=None):
    started_at = virtual.now()
    async with virtual.limit(30.0):
        while (
            min(_config_number(made, vm) for vm in vms or made.daemons) < number
        ):
            await virtual.pause(0.01)
    return virtual.now() - started_at


class TestQuietFleet:
    """Nothing changes; the store should get few calls."""

    def test_store_calls_at_rest(self):
        """At most five calls a second for eleven entry VMs."""

        async def scenario():
            made = await _start_world(deployments.UREDNISTVO)
            before = made.store.calls.total()
            await virtual.pause(6.0)
            assert (made.store.calls.total() - before) / 6.0 <= 5.0

        virtual.run(scenario())


class TestChange:
    """A configuration is accepted."""

    def test_is_in_force_everywhere_in_time(self):
        """Within two seconds on every VM."""

        async def scenario():
            made = await _start_world()
            await made.configure(deployments.SMALL.document(), 2)
            assert await _seconds_until_in_force(made, 2) <= IN_FORCE_SECONDS

        virtual.run(scenario())


class TestZoneWithoutStore:
    """A zone is cut off from the store, but not from another zone."""

    def test_gets_changes_from_peers(self):
        """The new configuration takes effect in that zone too."""

        async def scenario():
            made = await _start_world()
            zone = {vm for vm in made.daemons if "split" in vm}
            made.network.cut(zone, {"store", "fleet"})
            await virtual.pause(5.0)
            await made.configure(deployments.SMALL.document(), 2)
            assert (
                await _seconds_until_in_force(made, 2, zone) <= IN_FORCE_SECONDS
            )

        virtual.run(scenario())

    def test_gets_leaving_targets_from_peers(self):
        """A planned stop on the platform reaches the target's keepers."""

        async def scenario():
            made = await _start_world()
            zone = {vm for vm in made.daemons if "split" in vm}
            made.network.cut(zone, {"store", "fleet"})
            await virtual.pause(8.0)
            made.fleet.leave("citaonica-0")
            await virtual.pause(3.0)
            for vm in zone:
                listed = made.daemons[vm].find("fleet").fleet
                assert "citaonica-0" not in listed.live_targets("citaonica")

        virtual.run(scenario())


class TestStalledWatch:
    """The connections of the watches are lost without an error.

    No watch fails and none delivers, so no VM would apply a change.
    """

    def test_is_detected_by_polling_the_revision(self):
        """Detection takes at most eight seconds, before any watch ends."""

        async def scenario():
            made = await _start_world()
            # Pending watches wait for the old event, which is never set.
            made.store._changed = asyncio.Event()
            await made.configure(deployments.SMALL.document(), 2)
            assert await _seconds_until_in_force(made, 2) <= 8.0

        virtual.run(scenario())


class TestStartingVm:
    """A VM starts while the store returns outdated data or fails."""

    def test_serves_no_older_configuration_than_its_peers(self):
        """It queries its peers before it serves."""

        async def scenario():
            made = await _start_world()
            await made.configure(deployments.SMALL.document(), 2)
            await _seconds_until_in_force(made, 2)
            lagging = dict(made.store._entries)
            lagging.pop("config/current")
            made.store._entries = lagging
            await made.add_daemon("fresh", "kontinent", "zagreb-a")
            assert _config_number(made, "fresh") == 2

        virtual.run(scenario())


class TestLostWatcher:
    """Both watchers of a zone crash at once."""

    def test_other_vms_become_watchers(self):
        """The next change takes effect in time."""

        async def scenario():
            made = await _start_world(deployments.UREDNISTVO)
            zone = [vm for vm in made.daemons if "zagreb" in vm]
            watching = [
                vm
                for vm in zone
                if made.daemons[vm].find("propagation").dump()["watches"]
            ]
            assert len(watching) == 2
            for vm in watching:
                made.kill_daemon(vm)
            await virtual.pause(1.0)
            await made.configure(deployments.UREDNISTVO.document(), 2)
            assert await _seconds_until_in_force(made, 2) <= IN_FORCE_SECONDS

        virtual.run(scenario())
