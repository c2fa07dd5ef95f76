"""Tests of the membership service, under virtual time."""

import itertools

from mimosastile_standins import virtual
from mimosastile_standins import world

ZONE = ("kontinent", "zagreb-a")
OTHER = ("primorje", "split-a")


async def _world(near=3, far=2):
    made = world.World()
    for i in range(near):
        await made.add_daemon(f"a{i}", *ZONE)
    for i in range(far):
        await made.add_daemon(f"b{i}", *OTHER)
    await virtual.pause(3.0)
    return made


def _suspecting(made, lost, vms):
    return {
        vm
        for vm in vms
        if vm in made.daemons
        and made.daemons[vm].find("membership").suspects(lost)
    }


class TestCrashedVm:
    """An entry VM crashes; the platform's list still shows it as live.

    Until its zone notices, its targets get no renewals.
    """

    def test_its_zone_suspects_it_within_a_quarter_second(self):
        """And a listener is told."""

        async def story():
            made = await _world()
            told = []
            made.daemons["a1"].find("membership").subscribe(
                lambda: told.append(virtual.now())
            )
            made.kill_daemon("a0")
            began = virtual.now()
            async with virtual.limit(1.0):
                while _suspecting(made, "a0", ["a1", "a2"]) != {"a1", "a2"}:
                    await virtual.pause(0.005)
            assert virtual.now() - began <= 0.25
            assert told
            alive = made.daemons["a1"].find("membership").alive(ZONE[1])
            assert set(alive) == {"a1", "a2"}

        virtual.run(story())

    def test_a_large_zone_learns_it_by_word(self):
        """Those that do not follow the lost VM know as quickly."""

        async def story():
            made = await _world(near=9, far=0)
            made.kill_daemon("a0")
            await virtual.pause(0.26)
            others = set(made.daemons)
            assert _suspecting(made, "a0", others) == others

        virtual.run(story())

    def test_other_zones_learn_it_within_seconds(self):
        """By the sparse exchange between zones."""

        async def story():
            made = await _world()
            made.kill_daemon("a0")
            await virtual.pause(5.0)
            assert _suspecting(made, "a0", ["b0", "b1"]) == {"b0", "b1"}

        virtual.run(story())


class TestHealthyFleet:
    """Nothing is wrong."""

    def test_nobody_is_suspected_and_it_costs_little(self):
        """Messages and bytes stand in the dump."""

        async def story():
            made = await _world()
            await virtual.pause(20.0)
            pairs = itertools.permutations(made.daemons, 2)
            assert not any(_suspecting(made, b, [a]) for a, b in pairs)
            dump = made.daemons["a0"].find("membership").dump()
            assert 0 < dump["sent"]["bytes_per_second"] < 2000
            assert dump["sent"]["messages_per_second"] < 30

        virtual.run(story())


class TestCutZone:
    """A zone is cut off from another."""

    def test_cut_is_noticed_and_forgotten_after_it_heals(self):
        """`reaches` follows the network; the own zone stays unsuspected."""

        async def story():
            made = await _world()
            membership = made.daemons["a0"].find("membership")
            assert membership.reaches(OTHER[1])
            made.network.cut({"a0", "a1", "a2"}, {"b0", "b1"})
            await virtual.pause(10.0)
            assert not membership.reaches(OTHER[1])
            assert _suspecting(made, "a1", ["a0", "a2"]) == set()
            made.network.heal()
            await virtual.pause(15.0)
            assert membership.reaches(OTHER[1])

        virtual.run(story())
