"""Targets that say in their answers that they are about to end."""

import asyncio

import msgspec
import pytest

from mimosastile_core.gateway import target_feedback
from mimosastile_standins import virtual
from tests.gateway import fakes
from tests.gateway import fleet

DRAIN_SECONDS = 2.0
"""Time in which a VM that was told sends on what callers ask for."""


def _leave(target):
    """Has a target say that it leaves; returns when."""
    target.extra_headers["server-leaving"] = "1"
    return virtual.now()


def too_late(target):
    """Returns requests that a VM sent on for too long after it was told."""
    told = {}
    for at, vm, said in target.responses:
        if b"server-leaving" in said:
            told.setdefault(vm, at)
    return [
        arrival
        for arrival in target.arrivals
        if arrival.sent > told.get(arrival.vm, 1e9) + DRAIN_SECONDS
    ]


def _register(made, target, **changes):
    made.revision += 1
    made.apply_target(
        msgspec.structs.replace(
            target.registration, revision=made.revision, **changes
        )
    )


def _play(scenario, vms=10, **sizes):
    async def main():
        made = fleet.Fleet(vms, **sizes)
        await made.ready()
        made.revision = 10
        await scenario(made)
        made.end()

    virtual.run(main())


class TestToldByAnswers:
    """The store knows nothing of it yet."""

    @pytest.mark.parametrize("vms", [10, 88, 300])
    @pytest.mark.parametrize("store_away", [False, True])
    @pytest.mark.parametrize("path", ["/s", "/p"])
    def test_no_new_work(self, path, store_away, vms):
        """Guards against work for a target that only the store ends."""

        async def scenario(made):
            key = fleet.any_key if path == "/s" else None
            await made.call(1.0, 120.0, path, key)
            target = made.owner() if key else made.targets["p0"]
            if store_away:
                made.store.failing = fakes.UNKNOWN
            _leave(target)
            await made.call(9.0, 120.0, path, key)
            assert too_late(target) == []

        _play(scenario, vms)

    @pytest.mark.parametrize("vms", [10, 88])
    def test_all_vms_hear_of_it(self, vms):
        """Guards against VMs that find out one by one."""

        async def scenario(made):
            await made.call(1.0, 120.0, "/p")
            target = made.targets["p0"]
            since = _leave(target)
            await made.call(8.0, 120.0, "/p")
            late = [a for a in target.arrivals if a.sent > since + 1.5]
            assert late == []
            assert set(made.statuses) == {200}

        _play(scenario, vms)

    def test_keys_move(self):
        """Guards against keys that are refused until the store says it."""

        async def scenario(made):
            await made.call(1.0, 120.0, "/s", fleet.any_key)
            target = made.owner()
            _leave(target)
            await made.call(3.0, 120.0, "/s", fleet.any_key)
            assert set(made.statuses) == {200}
            assert made.owner() is not target

        _play(scenario)

    def test_nobody_asks_for_its_keys(self):
        """Guards against keys that stay where no caller hears of a leaving.

        Its answers to the leader's orders say it as well.
        """

        async def scenario(made):
            target = made.owner()
            made.orders.feedback[target.id] = target_feedback.TargetFeedback(
                leaving=True
            )
            await asyncio.sleep(3.0)
            assert made.owner() is not target
            answer = await made.ask("vm-001", "/s", 0)
            assert answer.status == 200
            assert target.arrivals == []

        _play(scenario)

    def test_keys_cannot_move(self):
        """Guards against callers that wait for keys while the store is away."""

        async def scenario(made):
            await made.call(1.0, 120.0, "/s", fleet.any_key)
            target = made.owner()
            made.store.failing = fakes.UNKNOWN
            _leave(target)
            await made.call(4.0, 120.0, "/s", fleet.any_key)
            began = virtual.now()
            answer = await made.ask("vm-001", "/s", 0)
            assert answer.status == 503
            assert virtual.now() - began < 0.1
            assert 0 < made.refusals[-1] <= 5.0
            made.store.failing = None
            await asyncio.sleep(3.0)
            assert (await made.ask("vm-001", "/s", 0)).status == 200

        _play(scenario)

    def test_last_target_of_a_service(self):
        """Guards against work for a target that leaves, for want of others."""

        async def scenario(made):
            await made.call(1.0, 40.0, "/p")
            target = made.targets["p0"]
            since = _leave(target)
            await made.call(6.0, 40.0, "/p")
            assert too_late(target) == []
            assert any(a.sent > since + 1.0 for a in target.arrivals)
            began = virtual.now()
            answer = await made.ask("vm-001", "/p")
            assert answer.status == 503
            assert virtual.now() - began < 0.1
            assert made.refusals[-1] > 0

        _play(scenario, plain=1)


class TestOtherSources:
    """Registrations that come before, after or against an answer."""

    @pytest.mark.parametrize(
        "registered",
        [
            [{"leaving": True}],
            [{}],
            [{}, {"leaving": True}],
            [{"leaving": True}, {}],
            [None, {}],
            [None, {"leaving": True}],
        ],
    )
    @pytest.mark.parametrize("first", [False, True])
    def test_same_run(self, registered, first):
        """Guards against a registration that takes an answer's word back.

        Heartbeats are carried out late, and a registration that has lapsed
        comes back.
        """

        async def scenario(made):
            calling = asyncio.create_task(made.call(10.0, 40.0, "/p"))
            await asyncio.sleep(1.0)
            target = made.targets["p0"]
            if not first:
                _leave(target)
            for changes in registered:
                await asyncio.sleep(0.7)
                if changes is not None:
                    _register(made, target, **changes)
                    continue
                made.revision += 1
                for vm in made.vms.values():
                    vm.cluster.remove_target(target.id, made.revision)
            if first:
                _leave(target)
            await calling
            assert too_late(target) == []

        _play(scenario, plain=2)

    def test_next_run(self):
        """Guards against the word of a run that is over."""

        async def scenario(made):
            await made.call(1.0, 60.0, "/p")
            target = made.targets["p0"]
            _leave(target)
            await made.call(3.0, 60.0, "/p")
            del target.extra_headers["server-leaving"]
            target.born += 1
            _register(made, target)
            since = virtual.now()
            await made.call(3.0, 60.0, "/p")
            got = sum(a.at > since for a in target.arrivals)
            assert got > 30

        _play(scenario, plain=2)
