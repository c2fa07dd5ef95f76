"""Tests of the membership service, under virtual time."""

import itertools

from mimosastile_standins import virtual
from mimosastile_standins import world

ZONE = ("kontinent", "zagreb-a")
OTHER_ZONE = ("primorje", "split-a")


async def _start_world(near=3, far=2):
    made = world.World()
    for i in range(near):
        await made.add_daemon(f"a{i}", *ZONE)
    for i in range(far):
        await made.add_daemon(f"b{i}", *OTHER_ZONE)
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
    """An entry VM crashes; the platform's VM list still shows it as live.

    Until its zone detects the crash, its targets get no renewals.
    """

    def test_its_zone_suspects_it_within_a_quarter_second(self):
        """The listeners are notified."""

        async def scenario():
            made = await _start_world()
            notified = []
            made.daemons["a1"].find("membership").subscribe(
                lambda: notified.append(virtual.now())
            )
            made.kill_daemon("a0")
            began = virtual.now()
            async with virtual.limit(1.0):
                while _suspecting(made, "a0", ["a1", "a2"]) != {"a1", "a2"}:
                    await virtual.pause(0.005)
            assert virtual.now() - began <= 0.25
            assert notified
            alive = made.daemons["a1"].find("membership").alive(ZONE[1])
            assert set(alive) == {"a1", "a2"}

        virtual.run(scenario())

    def test_suspicion_spreads_through_a_large_zone(self):
        """VMs that don't follow the lost VM suspect it as quickly."""

        async def scenario():
            made = await _start_world(near=9, far=0)
            made.kill_daemon("a0")
            await virtual.pause(0.26)
            survivors = set(made.daemons)
            assert _suspecting(made, "a0", survivors) == survivors

        virtual.run(scenario())

    def test_other_zones_suspect_it_within_seconds(self):
        """The less frequent exchange between zones reports it."""

        async def scenario():
            made = await _start_world()
            made.kill_daemon("a0")
            await virtual.pause(5.0)
            assert _suspecting(made, "a0", ["b0", "b1"]) == {"b0", "b1"}

        virtual.run(scenario())


class TestHealthyFleet:
    """No VM has failed."""

    def test_no_vm_is_suspected_and_traffic_is_low(self):
        """The dump reports the rates of messages and bytes."""

        async def scenario():
            made = await _start_world()
            await virtual.pause(20.0)
            pairs = itertools.permutations(made.daemons, 2)
            assert not any(_suspecting(made, b, [a]) for a, b in pairs)
            dump = made.daemons["a0"].find("membership").dump()
            assert 0 < dump["sent"]["bytes_per_second"] < 2000
            assert dump["sent"]["messages_per_second"] < 30

        virtual.run(scenario())


class TestCutZone:
    """A zone is cut off from another."""

    def test_cut_is_detected_and_cleared_after_it_heals(self):
        """`reaches` reflects the network; the own zone is not suspected."""

        async def scenario():
            made = await _start_world()
            membership = made.daemons["a0"].find("membership")
            assert membership.reaches(OTHER_ZONE[1])
            made.network.cut({"a0", "a1", "a2"}, {"b0", "b1"})
            await virtual.pause(10.0)
            assert not membership.reaches(OTHER_ZONE[1])
            assert _suspecting(made, "a1", ["a0", "a2"]) == set()
            made.network.heal()
            await virtual.pause(15.0)
            assert membership.reaches(OTHER_ZONE[1])

        virtual.run(scenario())
