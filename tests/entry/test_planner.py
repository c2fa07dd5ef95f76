"""Tests of the planner service, under virtual time."""

import asyncio

from mimosastile_core import keys
from mimosastile_standins import deployments
from mimosastile_standins import virtual
from mimosastile_standins import world

KEYED = "citaonica"


async def _world():
    made = world.World()
    await made.deploy(deployments.SMALL)
    return made


class TestNewTarget:
    """A target joins and none leaves."""

    def test_it_gets_a_share(self):
        """Without it the new target would stand idle."""

        async def story():
            made = await _world()
            made.add_target("citaonica-9", KEYED, "kontinent", "zagreb-a")
            await virtual.pause(35.0)
            owners = made.owners(KEYED)
            assert owners["citaonica-9"] >= 2
            assert made.is_settled(KEYED)

        virtual.run(story())


class TestLostTargets:
    """Targets of two zones are lost while the regions lose each other.

    Their keepers choose new owners without knowing of the other loss. If each
    named the other's lost target, the keys would pass to and fro for ever.
    """

    def test_slices_come_to_rest_on_living_targets(self):
        """A few versions of the block, not hundreds."""

        async def story():
            made = await _world()
            (before,) = made.blocks(KEYED)
            for lost in ("citaonica-0", "citaonica-1"):
                made.targets[lost].crash()
            await virtual.pause(10.0)
            owners = made.owners(KEYED)
            assert not owners["citaonica-0"] and not owners["citaonica-1"]
            (after,) = made.blocks(KEYED)
            assert after.version - before.version < 12

        virtual.run(story())


class TestHotKey:
    """A key becomes much hotter than all others."""

    def test_its_slice_is_split_and_callers_notice_nothing(self):
        """Every request is answered."""

        async def story():
            made = await _world()
            statuses = []
            for run in made.targets.values():
                run.service_time = 0.03

            async def call(path):
                status, _ = await made.call("entry-zagreb-a-0", "GET", path)
                statuses.append(status)

            for i in range(400):
                await asyncio.gather(
                    call(f"/{KEYED}/hot"), call(f"/{KEYED}/k{i % 40}")
                )
                await virtual.pause(0.02)
            assert set(statuses) == {200}
            position = keys.key_hash("hot")
            own = [
                s
                for b in made.blocks(KEYED)
                for s in b.slices
                if s.first <= position <= s.last
            ]
            assert own[0].last - own[0].first < keys.LAST_HASH // 24

        virtual.run(story())
