"""VMs that reach callers, the store and peers, but not the targets.

The tests wait for conditions, never for a time, and assert nothing about
durations.
"""

import asyncio

import pytest

from mimosastile_standins import partitions
from tests.gateway import worlds

_MODES = list(partitions.PartitionMode)[1:]
_MODE_NAMES = [mode.value for mode in _MODES]
_KEYS = range(0, 65536, 8000)
_FIRST_TRIES = 40
_MIN_SHARE = 2 / 3
"""Share of the first tries at other VMs that VMs without targets must serve."""


def _leader(world):
    """Returns the VM that leads, None if there is none."""
    leading = (
        name
        for name, daemon in world.daemons.items()
        if daemon.dump()["leading"]["leading"]
    )
    return next(leading, None)


def _epoch(world):
    """Returns the latest epoch that a VM has led in."""
    return max(
        daemon.dump()["leading"]["epoch"] or 0
        for daemon in world.daemons.values()
    )


def _followers(world):
    leader = _leader(world)
    return [name for name in world.daemons if name != leader]


async def _serves(world, vm):
    """Whether a VM serves requests with and without keys at the first try."""
    requests = [
        world.send_request(f"/read/{key}", key, vm, 1000) for key in _KEYS
    ]
    requests.append(world.send_request("/issue/1", None, vm, 1000, "POST"))
    answers = await asyncio.gather(*requests, return_exceptions=True)
    return all(getattr(answer, "status", 0) == 200 for answer in answers)


async def _served_share(world, vms):
    """Returns the served share of first tries at some VMs."""
    statuses = [
        (await world.send_request("/read/x", key * 1600, vm, 1000)).status
        for key in range(_FIRST_TRIES)
        for vm in vms
    ]
    return statuses.count(200) / len(statuses)


async def _check_served(world, cut):
    """Waits until all VMs serve, and compares the cut VMs with the others."""
    for vm in world.daemons:
        await world.wait_until(lambda vm=vm: _serves(world, vm))
    others = [vm for vm in world.daemons if vm not in cut]
    share = await _served_share(world, cut)
    assert share >= _MIN_SHARE * await _served_share(world, others)


class TestCallers:
    """Callers of VMs that reach no target."""

    @pytest.mark.parametrize("mode", _MODES, ids=_MODE_NAMES)
    def test_served_through_peer(self, mode):
        """Guards against callers refused by a VM whose peers reach targets."""

        async def scenario(world):
            cut = _followers(world)[0]
            world.cut_targets(cut, mode)
            await _check_served(world, [cut])

        worlds.run_scenario(scenario, vms=3)

    @pytest.mark.parametrize("mode", _MODES, ids=_MODE_NAMES)
    def test_all_but_one(self, mode):
        """Guards against VMs without targets that forward to each other."""

        async def scenario(world):
            cut = list(world.daemons)[:-1]
            for vm in cut:
                world.cut_targets(vm, mode)
            await _check_served(world, cut)

        worlds.run_scenario(scenario, vms=3)

    @pytest.mark.parametrize("mode", _MODES, ids=_MODE_NAMES)
    def test_one_service(self, mode):
        """Guards against a cut service that is noticed only with all others."""

        async def scenario(world):
            cut = _followers(world)[0]
            keyed = [name for name in world.targets if name[0] == "k"]
            world.cut_targets(cut, mode, keyed)
            await _check_served(world, [cut])

        worlds.run_scenario(scenario, vms=2)

    @pytest.mark.parametrize("mode", _MODES, ids=_MODE_NAMES)
    def test_one_owner(self, mode):
        """Guards against keys refused since their owner alone is cut off."""

        async def scenario(world):
            cut = _followers(world)[0]
            world.cut_targets(cut, mode, ["k0"])
            await _check_served(world, [cut])

        worlds.run_scenario(scenario, vms=2)

    @pytest.mark.parametrize("mode", _MODES, ids=_MODE_NAMES)
    def test_end_of_partition(self, mode):
        """Guards against requests that take a detour after a partition."""

        async def scenario(world):
            cut = _followers(world)[0]
            world.cut_targets(cut, mode)
            await _check_served(world, [cut])
            world.partitions[cut].end()

            async def reached():
                await _serves(world, cut)
                return not world.daemons[cut].dump()["services_unreachable"]

            await world.wait_until(reached)
            others = [vm for vm in world.daemons if vm != cut]
            for vm in others:
                world.kill_vm(vm)
            await world.wait_until(lambda: _serves(world, cut))

        worlds.run_scenario(scenario, vms=2)


class TestLeader:
    """A leader that reaches no target."""

    @pytest.mark.parametrize("mode", _MODES, ids=_MODE_NAMES)
    def test_hands_over(self, mode):
        """Guards against grants that lapse as their leader is cut off."""

        async def scenario(world):
            leader = _leader(world)
            world.cut_targets(leader, mode)

            async def replaced():
                await _serves(world, leader)
                return _leader(world) not in (None, leader)

            if mode is not partitions.PartitionMode.REFUSE:
                # Open connections carry the orders on otherwise.
                await world.wait_until(replaced)
            await _check_served(world, [leader])

        worlds.run_scenario(scenario, vms=3)

    @pytest.mark.parametrize("left", [1, 2, 3])
    @pytest.mark.parametrize("mode", _MODES[:2], ids=_MODE_NAMES[:2])
    def test_replaced_once(self, mode, left):
        """Guards against successors that are cut off as their leader is."""

        async def scenario(world):
            leader = _leader(world)
            epoch = _epoch(world)
            cut = [leader, *_followers(world)][: len(world.daemons) - left]
            keyed = [name for name in world.targets if name[0] == "k"]
            for vm in cut:
                world.cut_targets(vm, mode, keyed)

            async def replaced():
                return _leader(world) not in (None, *cut)

            await world.wait_until(replaced)
            await _check_served(world, cut)
            assert _epoch(world) == epoch + 1

        worlds.run_scenario(scenario, vms=5)

    @pytest.mark.parametrize("mode", _MODES[:2], ids=_MODE_NAMES[:2])
    def test_all_cut(self, mode):
        """Guards against a leader replaced by one that reaches no more."""

        async def scenario(world):
            leader = _leader(world)
            epoch = _epoch(world)
            first = _followers(world)[-1]
            for vm in world.daemons:
                world.cut_targets(vm, mode)

            async def isolated():
                await _serves(world, leader)
                return world.daemons[leader].dump()["services_unreachable"]

            await world.wait_until(isolated)
            for _ in range(5):
                await _serves(world, first)
            assert _epoch(world) == epoch
            world.partitions[first].end()
            await _check_served(world, [v for v in world.daemons if v != first])
            assert _epoch(world) == epoch + 1

        worlds.run_scenario(scenario, vms=3)


class TestCrashes:
    """Requests that are lost when a VM is cut off."""

    def test_no_crash_reported(self):
        """Guards against lost links taken for targets that crashed.

        Three crashes would make all VMs refuse the request.
        """

        async def scenario(world):
            cut = _followers(world)[0]
            for target in world.targets.values():
                target.slowness = 100_000
            lost = [
                asyncio.create_task(world.send_request(f"/read/{k}", k, cut))
                for k in _KEYS
            ]

            async def running():
                return len(world.runs) >= len(_KEYS)

            await world.wait_until(running)
            for target in world.targets.values():
                target.slowness = 100
            world.cut_targets(cut, partitions.PartitionMode.RESET)
            await asyncio.gather(*lost, return_exceptions=True)

            async def isolated():
                await _serves(world, cut)
                return world.daemons[cut].dump()["services_unreachable"]

            await world.wait_until(isolated)
            assert "target_died" not in world.log(cut)

        worlds.run_scenario(scenario, vms=2)
