"""Tests of traffic between regions, in memory and under virtual time."""

import asyncio

from mimosastile_core import config
from mimosastile_entry import ports
from mimosastile_standins import virtual
from mimosastile_standins import world

PLACES = (("kontinent", "zagreb-a"), ("primorje", "split-a"))
LINK = config.Link(100_000, 1.0, 0)
BULK = config.Route("/bulk", priority=config.Priority.BULK)
SERVICE = config.Service(slots=50, routes=(config.Route("/"), BULK))


async def _world(where):
    made = world.World()
    document = config.Document({"arhivar": SERVICE}, link=LINK)
    await made.configure(document)
    for i, place in enumerate(where):
        made.add_target(f"t{i}", "arhivar", *place)
    for i, place in enumerate(PLACES):
        await made.add_daemon(f"e{i}", *place)
    await virtual.pause(8.0)
    return made


async def _send(made, path, body=b""):
    now = virtual.now()
    request = ports.Request(
        "POST", path, body=body, member="m", deadline=now + 60.0
    )
    response = await made.daemons["e0"].find("router").handle(request)
    got = b"".join([chunk async for chunk in response.body])
    await response.close()
    assert response.status == 200, got
    return virtual.now() - now


def _sent(made, vm):
    return made.daemons[vm].find("links").dump()["sent_bytes"]


class TestSameRegion:
    """A service has targets in both regions."""

    def test_nothing_crosses(self):
        """The near ones serve it."""

        async def story():
            made = await _world(PLACES)
            for _ in range(20):
                await _send(made, "/arhivar/x")
            assert _sent(made, "e0") == {}

        virtual.run(story())


class TestCrossing:
    """The only target stands in the other region."""

    def test_bytes_are_counted_once_each_way(self):
        """The request where it leaves, the answer where it leaves."""

        async def story():
            made = await _world(PLACES[1:])
            await _send(made, "/arhivar/x", b"x" * 1000)
            (there,) = _sent(made, "e0").items()
            (back,) = _sent(made, "e1").items()
            assert there[0] == "primorje/m/arhivar"
            assert 1000 < there[1] < 2000
            assert back[0] == "kontinent/m/arhivar"
            assert 0 < back[1] < 1000

        virtual.run(story())

    def test_uploads_in_bulk_do_not_hold_up_the_desk(self):
        """Ten of them take seconds; a small request passes by."""

        async def story():
            made = await _world(PLACES[1:])
            alone = await _send(made, "/arhivar/x")
            uploads = [
                asyncio.create_task(
                    _send(made, f"/arhivar/bulk/{n}", b"x" * 60_000)
                )
                for n in range(10)
            ]
            await virtual.pause(0.5)
            beside = await _send(made, "/arhivar/x")
            slowest = max(await asyncio.gather(*uploads))
            assert beside < alone * 1.2
            assert 5.0 < slowest < 10.0

        virtual.run(story())
