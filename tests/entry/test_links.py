"""Tests of the link between regions as requests meet it."""

import asyncio

from mimosastile_standins import deployments
from mimosastile_standins import virtual
from mimosastile_standins import world

REGION = "primorje"


class TestNewVm:
    """A VM that has just begun holds a tiny share of the link.

    Its first requests to the other region used to wait for minutes, long
    after their callers had gone, although a fair share came at once.
    """

    def test_first_requests_are_answered(self):
        """All of a burst, within its deadline."""

        async def story():
            made = world.World(1)
            await made.deploy(deployments.SMALL)
            entry = next(vm for vm in made.daemons if "zagreb" in vm)
            links = made.daemons[entry].find("links")
            links._pacer(REGION).grant(2.0, virtual.now())
            calls = [
                made.call(entry, "GET", f"/citaonica/k{i}") for i in range(60)
            ]
            return [status for status, _ in await asyncio.gather(*calls)]

        assert set(virtual.run(story())) == {200}
