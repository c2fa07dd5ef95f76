"""Tests of requests that cross a rate-limited link between regions."""

import asyncio

from mimosastile_standins import deployments
from mimosastile_standins import virtual
from mimosastile_standins import world

REGION = "primorje"


class TestNewVm:
    """A VM that has just started has a tiny share of the link.

    If its first requests to the other region waited at that rate, they would
    hang for minutes, long after their callers had disconnected, although the
    VM gets a fair share at once.
    """

    def test_first_requests_succeed(self):
        """All requests of a burst succeed within their deadline."""

        async def scenario():
            made = world.World(1)
            await made.deploy(deployments.SMALL)
            entry = next(vm for vm in made.daemons if "zagreb" in vm)
            links = made.daemons[entry].find("links")
            links._pacer(REGION).grant(2.0, virtual.now())
            calls = [
                made.call(entry, "GET", f"/citaonica/k{i}") for i in range(60)
            ]
            return [status for status, _ in await asyncio.gather(*calls)]

        assert set(virtual.run(scenario())) == {200}
