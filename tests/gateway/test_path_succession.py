"""Random VMs lose all targets, under virtual time."""

import asyncio
import random

import pytest

from mimosastile_standins import virtual
from tests.gateway import fleet

_KEYS = range(100, 65536, 4096)
_ZONES = ("z", "far", "farther")
_NOTICED_SECONDS = 1.4
"""Time until a leader without a path knows it: one order, five attempts."""
_RENEWED_SECONDS = 1.5
"""Time from then on within which a successor has renewed all grants."""


def _leaders(world):
    return [vm.name for vm in world.vms.values() if vm.leader_role.is_leader]


def _changes(world):
    return sum(len(vm.log.named("leading")) for vm in world.vms.values())


def _owned(world):
    return all(world.orders.holders(key) for key in _KEYS)


async def _until(condition, seconds):
    """Waits for a condition; returns whether it was met in time."""
    deadline = virtual.now() + seconds
    while not condition() and virtual.now() < deadline:
        await asyncio.sleep(0.05)
    return condition()


def _run(vms, scenario):
    async def main():
        world = fleet.Fleet(vms, zones=_ZONES)
        try:
            assert await _until(lambda: _leaders(world), 10.0)
            assert await _until(lambda: _owned(world), 10.0)
            await asyncio.sleep(3.0)
            await scenario(world)
            assert not world.orders.clashes
        finally:
            for vm in world.vms.values():
                vm.end()

    virtual.run(main())


class TestSomeCut:
    """Some VMs lose all targets, the leader among them."""

    @pytest.mark.parametrize("vms", [12, 30, 88])
    @pytest.mark.parametrize("left", [1, 3, 10])
    @pytest.mark.parametrize("seed", range(2))
    def test_keys_keep_owners(self, vms, left, seed):
        """Guards against a service lost for as long as a cut lasts."""

        async def scenario(world):
            [leader] = _leaders(world)
            others = [name for name in world.vms if name != leader]
            random.Random(seed).shuffle(others)
            cut = [leader, *others[left:]]
            before = _changes(world)
            for name in cut:
                world.vms[name].cut_targets()
            await asyncio.sleep(_NOTICED_SECONDS + _RENEWED_SECONDS)
            for _ in range(60):
                assert _owned(world)
                await asyncio.sleep(0.05)
            assert set(_leaders(world)).isdisjoint(cut)
            assert _changes(world) == before + 1

        _run(vms, scenario)


class TestAllCut:
    """All VMs lose all targets."""

    @pytest.mark.parametrize("vms", [12, 30, 88])
    def test_first_path(self, vms):
        """Guards against leaders without a path that replace each other."""

        async def scenario(world):
            [leader] = _leaders(world)
            before = _changes(world)
            for vm in world.vms.values():
                vm.cut_targets()
            await asyncio.sleep(8.0)
            assert _leaders(world) == [leader]
            assert _changes(world) == before
            first = next(name for name in world.vms if name != leader)
            world.vms[first].cut_targets(cut=False)
            assert await _until(lambda: _owned(world), 1.5)
            assert _leaders(world) == [first]

        _run(vms, scenario)
