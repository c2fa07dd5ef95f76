"""Tests of the whole request path, in memory and in virtual time."""

import json

from mimosastile_core import config
from mimosastile_standins import virtual
from mimosastile_standins import world

KEYED = "citaonica"
PLACES = (("kontinent", "zagreb-a"), ("primorje", "split-a"))


def _document():
    service = config.Service(
        key=config.KeySource(config.KeyPlace.PATH, segment=0),
        slices=12,
        checks_orders=True,
        checks_expiry=True,
    )
    return config.Document(services={KEYED: service})


async def _world():
    made = world.World()
    await made.configure(_document())
    for i in range(4):
        made.add_target(f"t{i}", KEYED, *PLACES[i % 2])
    for i in range(3):
        await made.add_daemon(f"e{i}", *PLACES[i % 2])
    await made.settle(KEYED)
    return made


async def _owner(made, key):
    status, body = await made.call("e0", "GET", f"/{KEYED}/{key}")
    assert status == 200, body
    return json.loads(body)["target"]


class TestMovingKey:
    """A target leaves between two requests for the same key.

    Its keys get new owners. The caller only observes that another target
    responds.
    """

    def test_second_request_is_served_by_the_new_owner(self):
        """Both requests succeed, and the former owner owns nothing."""

        async def scenario():
            made = await _world()
            former = await _owner(made, "k1")
            made.fleet.leave(former)
            async with virtual.limit(5.0):
                while made.owners(KEYED)[former]:
                    await virtual.pause(0.05)
            assert await _owner(made, "k1") != former
            assert made.targets[former].holder.owned(0.0) == []

        virtual.run(scenario())

    def test_every_entry_vm_finds_the_same_owner(self):
        """One target responds, whichever VM the load balancer picks."""

        async def scenario():
            made = await _world()
            answers = [
                await made.call(vm, "GET", f"/{KEYED}/k2")
                for vm in made.daemons
            ]
            assert {status for status, _ in answers} == {200}
            assert len({json.loads(b)["target"] for _, b in answers}) == 1

        virtual.run(scenario())


class TestCrashedTarget:
    """A target crashes without notice.

    Its keeper, the only entry VM that sends it requests and grants, gets no
    more responses. Once the last grant has expired, another target gets its
    keys; callers wait no longer than that.
    """

    def test_keys_are_served_again_within_a_second(self):
        """The time is virtual, so the result does not depend on the machine."""

        async def scenario():
            made = await _world()
            owner = await _owner(made, "k1")
            made.targets[owner].crash()
            began = virtual.now()
            async with virtual.limit(5.0):
                while made.owners(KEYED)[owner]:
                    await virtual.pause(0.01)
            assert await _owner(made, "k1") != owner
            assert virtual.now() - began < 1.0

        virtual.run(scenario())


class TestStoreOutage:
    """The store is down while everything else works."""

    def test_requests_are_still_served(self):
        """Keepers renew grants without the store."""

        async def scenario():
            made = await _world()
            made.store.go_down()
            await virtual.pause(60.0)
            assert await _owner(made, "k1")

        virtual.run(scenario())

    def test_new_vm_gets_the_state_from_its_peers(self):
        """It serves the same keys as its peers."""

        async def scenario():
            made = await _world()
            made.store.go_down()
            await made.add_daemon("e3", *PLACES[0])
            status, _ = await made.call("e3", "GET", f"/{KEYED}/k1")
            assert status == 200

        virtual.run(scenario())
