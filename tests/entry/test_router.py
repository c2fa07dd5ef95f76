"""Tests of routing under faults, in memory and under virtual time."""

import asyncio
import collections
import json

import msgspec
import pytest

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_entry import ports
from mimosastile_standins import virtual
from mimosastile_standins import world

KEYED = "citaonica"
PLAIN = "prijemnica"
PLACE = ("kontinent", "zagreb-a")


def _document(**fields):
    keyed = config.Service(
        key=config.KeySource(config.KeyPlace.PATH, segment=0),
        slices=6,
        checks_orders=True,
        checks_expiry=True,
        **fields,
    )
    return config.Document(
        services={KEYED: keyed, PLAIN: config.Service(**fields)}
    )


async def _world(targets=3, document=None, **fields):
    made = world.World()
    await made.configure(document or _document(**fields))
    for name in (KEYED, PLAIN):
        for i in range(targets):
            made.add_target(f"{name}-{i}", name, *PLACE)
    for i in range(2):
        await made.add_daemon(f"e{i}", *PLACE)
    await made.settle(KEYED)
    await virtual.pause(1.0)
    return made


async def _send(made, method, path, seconds=10.0, vm="e0", member=""):
    now = virtual.now()
    request = ports.Request(
        method,
        path,
        request_id=f"{path}-{now}",
        member=member,
        deadline=now + seconds,
    )
    response = await made.daemons[vm].find("router").handle(request)
    body = b"".join([chunk async for chunk in response.body])
    await response.close()
    return response, json.loads(body)


def _executions(made, path):
    return sum(
        run.path == path
        for target in made.targets.values()
        for run in target.executions
    )


async def _crash_in_run(made, service, method, path):
    """Sends a request and kills its target once it runs there."""
    for target in made.targets.values():
        target.service_time = 1.0
    call = asyncio.create_task(_send(made, method, path))
    while not _executions(made, path):
        await virtual.pause(0.01)
    for target in made.targets.values():
        target.service_time = 0.002
        if any(run.path == path for run in target.executions):
            target.crash()
    return await call


class TestTargetDiesInTheRun:
    """A target dies while it runs a request; no answer comes.

    A letter may have been taken, so it must not be sent again by itself; a
    page that an editor reads may simply be read from another target.
    """

    @pytest.mark.parametrize("service", [KEYED, PLAIN])
    def test_submission_runs_once_and_its_caller_hears_perhaps(self, service):
        """The refusal says that it may have run and must not be repeated."""

        async def story():
            made = await _world()
            path = f"/{service}/k1"
            response, told = await _crash_in_run(made, service, "POST", path)
            await virtual.pause(5.0)
            assert response.status == 502
            assert (told["ran"], told["retry"]) == ("perhaps", False)
            assert "retry-after" not in dict(response.headers)
            assert _executions(made, path) == 1

        virtual.run(story())

    @pytest.mark.parametrize("service", [KEYED, PLAIN])
    def test_reading_is_answered_by_another_target(self, service):
        """The caller notices nothing but a short delay."""

        async def story():
            made = await _world()
            path = f"/{service}/k1"
            response, told = await _crash_in_run(made, service, "GET", path)
            assert response.status == 200
            assert not made.targets[told["target"]].crashed
            assert _executions(made, path) == 2

        virtual.run(story())

    def test_reading_without_budget_may_be_repeated_by_its_caller(self):
        """The answer comes at once and says when."""

        async def story():
            made = await _world(retry=config.Retry(budget=0.0, burst=0.0))
            path = f"/{PLAIN}/k1"
            response, told = await _crash_in_run(made, PLAIN, "GET", path)
            assert response.status == 502
            assert (told["ran"], told["retry"]) == ("perhaps", True)
            assert dict(response.headers)["retry-after"] == "1"

        virtual.run(story())


class TestNoOwner:
    """A key's owner is lost and nobody can take its place.

    Its callers hear so after the configured wait, not at their deadline.
    """

    def test_refused_at_once_after_the_configured_wait(self):
        """With a time after which to try again."""

        async def story():
            made = await _world(1, retry=config.Retry(owner_wait=0.7))
            made.targets[f"{KEYED}-0"].crash()
            await virtual.pause(3.0)
            began = virtual.now()
            response, told = await _send(made, "POST", f"/{KEYED}/k1", 30.0)
            assert 0.7 <= round(virtual.now() - began, 9) < 0.75
            assert (told["ran"], told["retry"]) == ("no", True)
            assert dict(response.headers)["retry-after"]

        virtual.run(story())


class TestDraining:
    """A target takes no new work although the list does not say so yet."""

    def test_work_goes_elsewhere_unnoticed(self):
        """Every request succeeds, submissions too."""

        async def story():
            made = await _world()
            made.targets[f"{PLAIN}-0"].draining = True
            for n in range(20):
                response, told = await _send(made, "POST", f"/{PLAIN}/{n}")
                assert response.status == 200, told
                assert told["target"] != f"{PLAIN}-0"

        virtual.run(story())


class TestSlots:
    """Callers send through all entry VMs more than a target can run."""

    def test_no_target_runs_more_than_its_slots(self):
        """Counted at the targets; every request is answered."""

        async def story():
            made = await _world(1, slots=2)
            target = made.targets[f"{KEYED}-0"]
            target.service_time = 0.1
            calls = [
                _send(made, "GET", f"/{KEYED}/k{n}", vm=f"e{n % 2}")
                for n in range(20)
            ]
            statuses = collections.Counter(
                r.status for r, _ in await asyncio.gather(*calls)
            )
            began = [run.began for run in target.executions]
            together = max(
                sum(b <= t < b + 0.0999 for b in began) for t in began
            )
            assert statuses == {200: 20}
            assert together == 2

        virtual.run(story())


class TestLateAnswer:
    """A target freezes and the caller's deadline passes."""

    def test_told_as_deadline(self):
        """It may have run."""

        async def story():
            made = await _world()
            for target in made.targets.values():
                target.service_time = 60.0
            response, told = await _send(made, "POST", f"/{PLAIN}/k", 1.0)
            assert response.status == 504
            assert told["error"] == errors.ErrorKind.DEADLINE.value
            assert told["ran"] == "perhaps"

        virtual.run(story())


class TestMemberLimit:
    """One member sends through all entry VMs more than its limit.

    Each VM sees only a part of it. Without a common count the member would
    get its limit once from each VM.
    """

    @pytest.mark.parametrize("through", [1, 2])
    def test_limit_holds_over_all_entry_vms(self, through):
        """What is over it is refused as not run, with Retry-After."""

        async def story():
            document = _document(slots=100)
            member = config.Member(concurrency=8)
            made = await _world(
                1,
                document=msgspec.structs.replace(
                    document, members={"m": member}
                ),
            )
            for target in made.targets.values():
                target.service_time = 1.0
            calls = [
                _send(
                    made,
                    "GET",
                    f"/{PLAIN}/{n}",
                    vm=f"e{n % through}",
                    member="m",
                )
                for n in range(40)
            ]
            answers = await asyncio.gather(*calls)
            statuses = collections.Counter(r.status for r, _ in answers)
            assert statuses[200] <= 8
            assert statuses[200] >= 8 // 2
            assert statuses[200] + statuses[429] == 40
            refused = next(r for r, _ in answers if r.status == 429)
            assert dict(refused.headers)["retry-after"]
            in_use = [
                kernel.find("limits").dump()["in_use"]
                for kernel in made.daemons.values()
            ]
            assert in_use == [{}, {}]

        virtual.run(story())


def _killer(made, path):
    """Makes a request stop every target that runs it."""

    def observe(run):
        if run.path == path:
            made.targets[run.target].crash()

    for target in made.targets.values():
        target.observer = observe


class TestRequestThatKills:
    """One request stops each target that runs it; its caller sends it again.

    Without a memory of it, one caller takes down the whole service.
    """

    def test_third_send_is_refused_wherever_it_comes(self):
        """It did not run, and the dump shows why."""

        async def story():
            made = await _world(5)
            path = f"/{PLAIN}/bad"
            _killer(made, path)
            for vm in ("e0", "e1"):
                response, told = await _send(made, "POST", path, vm=vm)
                assert told["ran"] == "perhaps"
                await virtual.pause(2.0)
            for vm in ("e0", "e1"):
                response, told = await _send(made, "POST", path, vm=vm)
                assert told["error"] == "quarantined"
                assert told["ran"] == "no"
                assert int(dict(response.headers)["retry-after"]) > 800
            assert _executions(made, path) == 2
            dumps = [
                kernel.find("quarantine").dump()
                for kernel in made.daemons.values()
            ]
            assert [len(dump["deaths"]) for dump in dumps] == [2, 2]

        virtual.run(story())

    def test_routers_own_retries_stop_as_well(self):
        """An idempotent one stops two targets, not three."""

        async def story():
            made = await _world(5, retry=config.Retry(attempts=5))
            path = f"/{PLAIN}/bad"
            _killer(made, path)
            _, told = await _send(made, "GET", path)
            assert _executions(made, path) == 2
            assert told["ran"] == "perhaps"

        virtual.run(story())

    def test_new_entry_vm_learns_it_and_operators_clear_it(self):
        """A patch clears deaths up to a configuration number."""

        async def story():
            made = await _world(5)
            path = f"/{PLAIN}/bad"
            _killer(made, path)
            for _ in range(2):
                await _send(made, "POST", path)
                await virtual.pause(2.0)
            await made.add_daemon("e2", *PLACE)
            await virtual.pause(6.0)
            _, told = await _send(made, "POST", path, vm="e2")
            assert told["error"] == "quarantined"
            dump = made.daemons["e2"].find("quarantine").dump()
            (request,) = dump["refused_seconds"]
            cleared = config.Quarantine(cleared={request: 1})
            document = msgspec.structs.replace(_document(), quarantine=cleared)
            await made.configure(document, number=2)
            await virtual.pause(1.0)
            for target in made.targets.values():
                target.observer = None
            response, _ = await _send(made, "POST", path, vm="e2")
            assert response.status == 200

        virtual.run(story())

    def test_caller_that_gives_up_is_no_death(self):
        """A slow request whose deadline passes twice is not held back."""

        async def story():
            made = await _world()
            for target in made.targets.values():
                target.service_time = 60.0
            for _ in range(3):
                _, told = await _send(made, "POST", f"/{PLAIN}/slow", 1.0)
                assert told["error"] == "deadline"

        virtual.run(story())


class TestSecondSendDidNotRun:
    """A reading's answer is lost, and its second send finds no target.

    The first send may have run, so "not run" would be a lie.
    """

    def test_told_as_perhaps(self):
        """The caller may still repeat it, for it is idempotent."""

        async def story():
            made = await _world(1)
            path = f"/{KEYED}/k1"
            _, told = await _crash_in_run(made, KEYED, "GET", path)
            assert (told["ran"], told["retry"]) == ("perhaps", True)

        virtual.run(story())
