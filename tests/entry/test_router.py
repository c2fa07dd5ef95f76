"""Tests of request routing under faults, in memory and in virtual time."""

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


async def _crash_while_running(made, service, method, path):
    """Sends a request and crashes its target while the request runs."""
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


class TestTargetCrashesWhileRunning:
    """A target crashes while it runs a request, so no response arrives.

    A submission may have been stored and must not be retried automatically. A
    read may be retried at another target.
    """

    @pytest.mark.parametrize("service", [KEYED, PLAIN])
    def test_submission_runs_once_and_is_reported_as_perhaps(self, service):
        """The error says that it may have run and must not be retried."""

        async def scenario():
            made = await _world()
            path = f"/{service}/k1"
            response, body = await _crash_while_running(
                made, service, "POST", path
            )
            await virtual.pause(5.0)
            assert response.status == 502
            assert (body["ran"], body["retry"]) == ("perhaps", False)
            assert "retry-after" not in dict(response.headers)
            assert _executions(made, path) == 1

        virtual.run(scenario())

    @pytest.mark.parametrize("service", [KEYED, PLAIN])
    def test_read_is_served_by_another_target(self, service):
        """The caller only observes a short delay."""

        async def scenario():
            made = await _world()
            path = f"/{service}/k1"
            response, body = await _crash_while_running(
                made, service, "GET", path
            )
            assert response.status == 200
            assert not made.targets[body["target"]].crashed
            assert _executions(made, path) == 2

        virtual.run(scenario())

    def test_read_without_budget_may_be_retried_by_its_caller(self):
        """The error comes at once, with Retry-After."""

        async def scenario():
            made = await _world(retry=config.Retry(budget=0.0, burst=0.0))
            path = f"/{PLAIN}/k1"
            response, body = await _crash_while_running(
                made, PLAIN, "GET", path
            )
            assert response.status == 502
            assert (body["ran"], body["retry"]) == ("perhaps", True)
            assert dict(response.headers)["retry-after"] == "1"

        virtual.run(scenario())


class TestNoOwner:
    """A key's owner has crashed and no other target can take over.

    Its callers get an error after the configured wait, not at their deadline.
    """

    def test_refused_after_the_configured_wait(self):
        """The error has a Retry-After header."""

        async def scenario():
            made = await _world(1, retry=config.Retry(owner_wait=0.7))
            made.targets[f"{KEYED}-0"].crash()
            await virtual.pause(3.0)
            began = virtual.now()
            response, body = await _send(made, "POST", f"/{KEYED}/k1", 30.0)
            assert 0.7 <= round(virtual.now() - began, 9) < 0.75
            assert (body["ran"], body["retry"]) == ("no", True)
            assert dict(response.headers)["retry-after"]

        virtual.run(scenario())


class TestDraining:
    """A target refuses new requests before the list shows it as draining."""

    def test_requests_go_to_other_targets(self):
        """Every request succeeds, including submissions."""

        async def scenario():
            made = await _world()
            made.targets[f"{PLAIN}-0"].draining = True
            for n in range(20):
                response, body = await _send(made, "POST", f"/{PLAIN}/{n}")
                assert response.status == 200, body
                assert body["target"] != f"{PLAIN}-0"

        virtual.run(scenario())


class TestSlots:
    """Callers exceed a target's concurrency limit through all entry VMs."""

    def test_no_target_runs_more_than_its_slots(self):
        """Concurrency is counted at the target; every request succeeds."""

        async def scenario():
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

        virtual.run(scenario())


class TestLateResponse:
    """A target hangs until the caller's deadline expires."""

    def test_reported_as_deadline(self):
        """The error says that the request may have run."""

        async def scenario():
            made = await _world()
            for target in made.targets.values():
                target.service_time = 60.0
            response, body = await _send(made, "POST", f"/{PLAIN}/k", 1.0)
            assert response.status == 504
            assert body["error"] == errors.ErrorKind.DEADLINE.value
            assert body["ran"] == "perhaps"

        virtual.run(scenario())


class TestMemberLimit:
    """A member exceeds its limit by sending through all entry VMs.

    Each VM observes only a part of the requests. Without a shared limit the
    member would get its full limit from each VM.
    """

    @pytest.mark.parametrize("through", [1, 2])
    def test_limit_holds_over_all_entry_vms(self, through):
        """Requests above the limit are refused as not run, with Retry-After."""

        async def scenario():
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

        virtual.run(scenario())


def _crash_on(made, path):
    """Makes the request to a path crash every target that runs it."""

    def observe(run):
        if run.path == path:
            made.targets[run.target].crash()

    for target in made.targets.values():
        target.observer = observe


class TestRequestThatCrashesTargets:
    """A request crashes each target that runs it, and its caller retries it.

    Without a quarantine, one caller can crash all targets of a service.
    """

    def test_third_send_is_refused_by_every_entry_vm(self):
        """It is refused as not run, and the dump shows the crashes."""

        async def scenario():
            made = await _world(5)
            path = f"/{PLAIN}/bad"
            _crash_on(made, path)
            for vm in ("e0", "e1"):
                response, body = await _send(made, "POST", path, vm=vm)
                assert body["ran"] == "perhaps"
                await virtual.pause(2.0)
            for vm in ("e0", "e1"):
                response, body = await _send(made, "POST", path, vm=vm)
                assert body["error"] == "quarantined"
                assert body["ran"] == "no"
                assert int(dict(response.headers)["retry-after"]) > 800
            assert _executions(made, path) == 2
            dumps = [
                kernel.find("quarantine").dump()
                for kernel in made.daemons.values()
            ]
            assert [len(dump["deaths"]) for dump in dumps] == [2, 2]

        virtual.run(scenario())

    def test_router_retries_stop_too(self):
        """An idempotent request crashes two targets, not three."""

        async def scenario():
            made = await _world(5, retry=config.Retry(attempts=5))
            path = f"/{PLAIN}/bad"
            _crash_on(made, path)
            _, body = await _send(made, "GET", path)
            assert _executions(made, path) == 2
            assert body["ran"] == "perhaps"

        virtual.run(scenario())

    def test_new_entry_vm_gets_the_history_and_operators_clear_it(self):
        """A patch clears crashes up to a configuration number."""

        async def scenario():
            made = await _world(5)
            path = f"/{PLAIN}/bad"
            _crash_on(made, path)
            for _ in range(2):
                await _send(made, "POST", path)
                await virtual.pause(2.0)
            await made.add_daemon("e2", *PLACE)
            await virtual.pause(6.0)
            _, body = await _send(made, "POST", path, vm="e2")
            assert body["error"] == "quarantined"
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

        virtual.run(scenario())

    def test_expired_deadline_is_no_crash(self):
        """A slow request that expires repeatedly is not quarantined."""

        async def scenario():
            made = await _world()
            for target in made.targets.values():
                target.service_time = 60.0
            for _ in range(3):
                _, body = await _send(made, "POST", f"/{PLAIN}/slow", 1.0)
                assert body["error"] == "deadline"

        virtual.run(scenario())


class TestSecondSendDidNotRun:
    """A read's response is lost, and its retry finds no target.

    The first attempt may have run, so "not run" would be wrong.
    """

    def test_reported_as_perhaps(self):
        """The caller may still retry it, as it is idempotent."""

        async def scenario():
            made = await _world(1)
            path = f"/{KEYED}/k1"
            _, body = await _crash_while_running(made, KEYED, "GET", path)
            assert (body["ran"], body["retry"]) == ("perhaps", True)

        virtual.run(scenario())
