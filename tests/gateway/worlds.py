"""Runs scenarios in a small deployment over loopback."""

import asyncio

from mimosastile_standins import platform_world


def run_scenario(scenario, **sizes):
    """Runs a scenario in a new world and stops the world."""

    async def main():
        world = platform_world.World()
        try:
            async with asyncio.timeout(60):
                await world.start(**sizes)
                await scenario(world)
        finally:
            await world.stop()

    asyncio.run(main())
