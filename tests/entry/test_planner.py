"""Tests of the planner service, under virtual time."""

import asyncio

from mimosastile_core import keys
from mimosastile_standins import deployments
from mimosastile_standins import virtual
from mimosastile_standins import world

KEYED = "citaonica"


async def _start_world():
    made = world.World()
    await made.deploy(deployments.SMALL)
    return made


class TestNewTarget:
    """A target joins and none leaves."""

    def test_it_gets_a_share(self):
        """Without a share the new target would be idle."""

        async def scenario():
            made = await _start_world()
            made.add_target("citaonica-9", KEYED, "kontinent", "zagreb-a")
            await virtual.pause(35.0)
            owners = made.owners(KEYED)
            assert owners["citaonica-9"] >= 2
            assert made.is_settled(KEYED)

        virtual.run(scenario())


class TestLostTargets:
    """Targets of two zones crash at once, as when regions are cut off.

    Each keeper chooses new owners before it receives the other's report. If
    each chose the other's lost target, the keys would move back and forth
    endlessly.
    """

    def test_slices_settle_on_live_targets(self):
        """The block changes a few times, not hundreds of times."""

        async def scenario():
            made = await _start_world()
            (before,) = made.blocks(KEYED)
            for lost in ("citaonica-0", "citaonica-1"):
                made.targets[lost].crash()
            await virtual.pause(10.0)
            owners = made.owners(KEYED)
            assert not owners["citaonica-0"] and not owners["citaonica-1"]
            (after,) = made.blocks(KEYED)
            assert after.version - before.version < 12

        virtual.run(scenario())


class TestHotKey:
    """A key gets many more requests than all others."""

    def test_its_slice_is_split_and_no_call_fails(self):
        """Every request succeeds."""

        async def scenario():
            made = await _start_world()
            statuses = []
            for target in made.targets.values():
                target.service_time = 0.03

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

        virtual.run(scenario())
