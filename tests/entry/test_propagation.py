"""Tests of how changes reach every entry VM, under virtual time."""

import asyncio

from mimosastile_standins import deployments
from mimosastile_standins import virtual
from mimosastile_standins import world

IN_FORCE_SECONDS = 2.0


async def _world(deployment=deployments.SMALL):
    made = world.World()
    await made.deploy(deployment)
    await virtual.pause(3.0)
    return made


def _number(made, vm):
    return made.daemons[vm].find("state").replica.config.number


async def _in_force(made, number, vms=None):
    began = virtual.now()
    async with virtual.limit(30.0):
        while min(_number(made, vm) for vm in vms or made.daemons) < number:
            await virtual.pause(0.01)
    return virtual.now() - began


class TestQuietFleet:
    """Nothing changes; the store is still asked as little as possible."""

    def test_store_calls_at_rest(self):
        """At most five a second for eleven entry VMs."""

        async def story():
            made = await _world(deployments.UREDNISTVO)
            before = made.store.calls.total()
            await virtual.pause(6.0)
            assert (made.store.calls.total() - before) / 6.0 <= 5.0

        virtual.run(story())


class TestChange:
    """A configuration is accepted."""

    def test_is_in_force_everywhere_in_time(self):
        """Within two seconds on every VM."""

        async def story():
            made = await _world()
            await made.configure(deployments.SMALL.document(), 2)
            assert await _in_force(made, 2) <= IN_FORCE_SECONDS

        virtual.run(story())


class TestZoneWithoutStore:
    """A zone loses the store but still reaches another zone."""

    def test_hears_of_changes_from_its_peers(self):
        """Operators see the configuration in force there too."""

        async def story():
            made = await _world()
            zone = {vm for vm in made.daemons if "split" in vm}
            made.network.cut(zone, {"store", "fleet"})
            await virtual.pause(5.0)
            await made.configure(deployments.SMALL.document(), 2)
            assert await _in_force(made, 2, zone) <= IN_FORCE_SECONDS

        virtual.run(story())

    def test_hears_of_leaving_targets_from_its_peers(self):
        """A stop planned on the platform reaches its keepers."""

        async def story():
            made = await _world()
            zone = {vm for vm in made.daemons if "split" in vm}
            made.network.cut(zone, {"store", "fleet"})
            await virtual.pause(8.0)
            made.fleet.leave("citaonica-0")
            await virtual.pause(3.0)
            for vm in zone:
                listed = made.daemons[vm].find("fleet").fleet
                assert "citaonica-0" not in listed.live_targets("citaonica")

        virtual.run(story())


class TestSilentWatch:
    """The watches' connections die without a word.

    Nothing fails and nothing arrives; a change would be in force nowhere.
    """

    def test_is_found_by_asking_for_the_revision(self):
        """Within eight seconds, and no watch needs to end first."""

        async def story():
            made = await _world()
            # Waiting watches keep an event that nobody sets any more.
            made.store._changed = asyncio.Event()
            await made.configure(deployments.SMALL.document(), 2)
            assert await _in_force(made, 2) <= 8.0

        virtual.run(story())


class TestStartingVm:
    """A VM starts while its reading of the store lags or fails."""

    def test_serves_no_older_number_than_its_peers_know(self):
        """It asks them before it serves."""

        async def story():
            made = await _world()
            await made.configure(deployments.SMALL.document(), 2)
            await _in_force(made, 2)
            lagging = dict(made.store._entries)
            lagging.pop("config/current")
            made.store._entries = lagging
            await made.add_daemon("fresh", "kontinent", "zagreb-a")
            assert _number(made, "fresh") == 2

        virtual.run(story())


class TestLostWatcher:
    """Both watchers of a zone are lost at once."""

    def test_others_take_their_place(self):
        """The next change is in force in time."""

        async def story():
            made = await _world(deployments.UREDNISTVO)
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
            assert await _in_force(made, 2) <= IN_FORCE_SECONDS

        virtual.run(story())
