"""Targets that turn requests away and say for how long they want nothing."""

import asyncio

import pytest

from mimosastile_standins import virtual
from tests.gateway import fleet

MOST_REQUESTS = 2
TOLD_SECONDS = 0.5


def _rest(target, seconds, *, runs=True):
    """Has a target turn all requests away; returns when."""
    target.extra_headers["retry-after"] = seconds
    target.rejects = True
    target.runs = runs
    return virtual.now()


def most_beyond(target, seconds):
    """Returns the most requests of a VM that reach a target in its rest."""
    asked = [
        (at, vm) for at, vm, said in target.responses if b"retry-after" in said
    ]
    return max(
        (
            sum(
                a.vm == vm and at + TOLD_SECONDS < a.at < at + seconds
                for a in target.arrivals
            )
            for at, vm in asked
        ),
        default=0,
    )


def _play(scenario, vms=10, **sizes):
    async def main():
        made = fleet.Fleet(vms, **sizes)
        await made.ready()
        await scenario(made)
        made.end()

    virtual.run(main())


class TestRest:
    """A 503 with Retry-After."""

    @pytest.mark.parametrize("path", ["/s", "/p"])
    @pytest.mark.parametrize("runs", [False, True])
    @pytest.mark.parametrize("seconds", ["0.9", "2.5", "7200"])
    def test_nothing_more_from_that_vm(self, seconds, runs, path):
        """Guards against a target that is asked on after it has asked to."""

        async def scenario(made):
            key = fleet.any_key if path == "/s" else None
            await made.call(1.0, 120.0, path, key)
            target = made.owner() if key else made.targets["p0"]
            _rest(target, seconds, runs=runs)
            await made.call(6.0, 120.0, path, key)
            assert most_beyond(target, float(seconds)) <= MOST_REQUESTS

        _play(scenario)

    @pytest.mark.parametrize("path", ["/s", "/p"])
    def test_used_again_afterwards(self, path):
        """Guards against a rest that outlasts what was asked for."""

        async def scenario(made):
            key = fleet.any_key if path == "/s" else None
            await made.call(1.0, 120.0, path, key)
            target = made.owner() if key else made.targets["p0"]
            _rest(target, "1.5")
            await made.call(3.0, 120.0, path, key)
            target.rejects = False
            del target.extra_headers["retry-after"]
            await asyncio.sleep(1.5)
            since = virtual.now()
            await made.call(8.0, 120.0, path, key)
            got = sum(a.at > since for a in target.arrivals)
            assert got > 80

        _play(scenario)

    @pytest.mark.parametrize("seconds", ["0", "-1", "soon", "1e9", ""])
    def test_nothing_to_wait_for(self, seconds):
        """Guards against a target that is left alone for a word of nonsense."""

        async def scenario(made):
            target = made.targets["p0"]
            _rest(target, seconds, runs=False)
            await made.call(1.0, 120.0, "/p")
            target.rejects = False
            since = virtual.now()
            await made.call(6.0, 120.0, "/p")
            got = sum(a.at > since for a in target.arrivals)
            assert got > 30

        _play(scenario)

    def test_only_owner_of_a_key(self):
        """Guards against callers that wait for an owner that rests long."""

        async def scenario(made):
            await made.call(1.0, 120.0, "/s", fleet.any_key)
            target = made.owner()
            _rest(target, "7200", runs=False)
            await made.call(4.0, 60.0, "/s", lambda _: 0)
            began = virtual.now()
            answer = await made.ask("vm-003", "/s", 0)
            if answer.status == 503:
                assert virtual.now() - began < 0.1
                assert 0 < made.refusals[-1] <= 5.0

        _play(scenario)

    def test_keys_leave_an_owner_that_rests_for_long(self):
        """Guards against keys that nobody serves until a rest of hours ends."""

        async def scenario(made):
            await made.call(1.0, 120.0, "/s", fleet.any_key)
            target = made.owner()
            _rest(target, "7200", runs=False)
            await made.call(6.0, 120.0, "/s", fleet.any_key)
            made.statuses.clear()
            await made.call(3.0, 120.0, "/s", fleet.any_key)
            assert set(made.statuses) == {200}

        _play(scenario)

    def test_next_run(self):
        """Guards against the rest of a run that is over."""

        async def scenario(made):
            target = made.targets["p0"]
            _rest(target, "7200", runs=False)
            await made.call(2.0, 120.0, "/p")
            target.rejects = False
            target.extra_headers.clear()
            target.born = 2
            made.apply_target(target.registration)
            since = virtual.now()
            await made.call(4.0, 120.0, "/p")
            got = sum(a.at > since for a in target.arrivals)
            assert got > 30

        _play(scenario)
