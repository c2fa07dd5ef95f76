"""Dispatching of requests, and what becomes of those that wait."""

import asyncio
import math

import pytest

from mimosastile_core import errors
from mimosastile_core.gateway import admission
from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import routes
from mimosastile_gateway import admission_service
from mimosastile_gateway import dispatching
from mimosastile_gateway import http_server
from mimosastile_gateway import pending
from mimosastile_gateway import wait_queues
from mimosastile_standins import virtual
from tests.gateway import fakes

GATE = "gate:1"


class FakeGate:
    """A gate that responds after a delay.

    Attributes:
        response: What it returns.
        seconds: The delay.
        returned: Permits that were returned, with whether the target responded.
        requests: Arguments of the requests for permits.
        cancelled: How many requests left its queue.
    """

    def __init__(self):
        self.response = admission_service.Permit(GATE, "a", 1)
        self.seconds = 0.1
        self.returned = []
        self.requests = []
        self.cancelled = 0

    async def request_permit(self, *arguments):
        """Responds to a request for a permit."""
        self.requests.append(arguments)
        try:
            await asyncio.sleep(self.seconds)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return self.response

    def return_permit(self, permit, *, answered):
        """Records a returned permit."""
        self.returned.append((permit, answered))


class FakeMembership:
    """Accepts reports on full targets."""

    count = 67

    def report_full_target(self, target):
        """Accepts a report of a refusal."""

    def report_soon(self):
        """Accepts a request to report soon."""


class World:
    """One VM's dispatcher, and a key whose owner can have a gate."""

    def __init__(self):
        self.clock, self.log = fakes.VirtualClock(), fakes.MemoryEvents()
        self.cluster = fakes.new_cluster_state(
            self.clock, self.log, fakes.target("a"), fakes.target("b")
        )
        self.balancer = load_balancing.LoadBalancer(
            load_balancing.Location("z", "r"),
            {"z": "r"},
            load_balancing.Policy(),
        )
        self.gate = FakeGate()
        self.dispatcher = dispatching.Dispatcher(
            fakes.configured(),
            self.cluster,
            self.balancer,
            FakeMembership(),
            wait_queues.WaitQueues(),
            self.gate,
            self.clock,
            None,
        )
        self._revision = 0
        self.assign("a")

    def assign(self, owner):
        """Assigns all keys to a target, or to none."""
        self._revision += 1
        self.cluster.apply_assignment(
            assignments.Assignment("s", (1, self._revision), (0,), (owner,))
        )

    def call(self, seconds=1.5, latency=0.4):
        """Returns a request for a key."""
        now = virtual.now()
        route = fakes.route(target_latency=latency)
        call = pending.Call(
            http_server.Request("GET", b"/", now),
            route,
            routes.Service("s", keyed=True),
            b"1",
            now + seconds,
        )
        call.key = 7
        call.ticket = self.dispatcher.ticket(1)
        return call

    def apply_gate(self):
        """Applies the leader's assignment of a gate to the target."""
        self.balancer.replace_gates({"a": GATE}, virtual.now())


def _run_scenario(scenario):
    async def main():
        await scenario(World())

    virtual.run(main())


class TestGate:
    """A target with a gate."""

    def test_permit(self):
        """A permit is taken, and returned when the request ends."""

        async def scenario(world):
            world.apply_gate()
            call = world.call()
            target = (await world.dispatcher.acquire_target(call)).ok_value
            assert (target.id, world.balancer.load("a").own) == ("a", 1)
            call.answered = True
            world.dispatcher.finish(call, target)
            assert world.balancer.load("a").own == 0
            assert world.gate.returned == [(world.gate.response, True)]

        _run_scenario(scenario)

    def test_refusal(self):
        """The caller gets the Retry-After that the gate returned."""

        async def scenario(world):
            world.apply_gate()
            world.gate.response = admission.Refusal(2.5)
            failure = (
                await world.dispatcher.acquire_target(world.call())
            ).err_value
            assert failure.kind is errors.ErrorKind.OVERLOADED
            assert failure.retry_after == 2.5

        _run_scenario(scenario)

    def test_silent_gate(self):
        """Without a response of the gate, the request is sent directly."""

        async def scenario(world):
            world.apply_gate()
            world.gate.response = None
            target = (
                await world.dispatcher.acquire_target(world.call())
            ).ok_value
            assert target.id == "a"
            assert len(world.gate.requests) == 1

        _run_scenario(scenario)

    def test_key_moves_during_wait(self):
        """A request waits at a gate while its key moves to another target.

        If it kept waiting, the target would reject it and its time would be
        lost.
        """

        async def scenario(world):
            world.apply_gate()
            world.gate.seconds = 5.0
            acquiring = asyncio.create_task(
                world.dispatcher.acquire_target(world.call())
            )
            await asyncio.sleep(0.1)
            world.assign("b")
            target = (await acquiring).ok_value
            assert target.id == "b"
            assert virtual.now() < 0.2
            await asyncio.sleep(0)
            assert world.gate.cancelled == 1

        _run_scenario(scenario)

    def test_target_leaves_during_wait(self):
        """A permit arrives after its target announced that it is leaving.

        The target may get no more work by then, so the permit must be returned.
        """

        async def scenario(world):
            world.apply_gate()
            world.gate.seconds = 2.5
            call = world.call(seconds=4.0)
            acquiring = asyncio.create_task(
                world.dispatcher.acquire_target(call)
            )
            world.cluster.apply_target(fakes.target("a", leaving=True))
            acquired = await acquiring
            assert acquired.is_err()
            assert len(world.gate.returned) == 1

        _run_scenario(scenario)

    @pytest.mark.parametrize("seconds", [0.05, 0.1])
    def test_caller_leaves(self, seconds):
        """A caller leaves while its request waits, or as its permit arrives.

        The permit must not stay in use.
        """

        async def scenario(world):
            world.apply_gate()
            acquiring = asyncio.create_task(
                world.dispatcher.acquire_target(world.call())
            )
            await asyncio.sleep(seconds)
            acquiring.cancel()
            await asyncio.gather(acquiring, return_exceptions=True)
            await asyncio.sleep(0)
            assert world.gate.cancelled + len(world.gate.returned) == 1
            assert world.balancer.load("a").own == 0

        _run_scenario(scenario)

    def test_route_without_target_latency(self):
        """Without target latency, responses are on time until the deadline."""

        async def scenario(world):
            world.apply_gate()
            await world.dispatcher.acquire_target(world.call(latency=0.0))
            assert world.gate.requests[0][3] == pytest.approx(1.5)

        _run_scenario(scenario)


class TestNoOwner:
    """Keys without an owner."""

    def test_handover(self):
        """Requests for a key in handover wait for the next owner."""

        async def scenario(world):
            world.assign("")
            acquiring = asyncio.create_task(
                world.dispatcher.acquire_target(world.call())
            )
            await asyncio.sleep(0.3)
            world.assign("b")
            assert (await acquiring).ok_value.id == "b"

        _run_scenario(scenario)

    def test_crashed_owner(self):
        """A target crashed; its keys get an owner when its grant has expired.

        Requests that cannot wait so long get a Retry-After at once.
        """

        async def scenario(world):
            world.assign("")
            await asyncio.sleep(0.8)
            began = virtual.now()
            acquired = await world.dispatcher.acquire_target(
                world.call(seconds=0.8)
            )
            assert acquired.err_value.kind is errors.ErrorKind.NO_OWNER
            assert acquired.err_value.retry_after == pytest.approx(
                1.34, abs=0.01
            )
            assert virtual.now() == began
            waiting = asyncio.create_task(
                world.dispatcher.acquire_target(world.call(seconds=3.0))
            )
            await asyncio.sleep(1.3)
            world.assign("b")
            assert (await waiting).is_ok()

        _run_scenario(scenario)


class TestDeadlineReached:
    """A request whose time is almost over."""

    def test_refused(self):
        """Guards against a busy loop of attempts in which no time passes."""

        async def scenario(world):
            await asyncio.sleep(15.0)
            world.assign("")
            call = world.call()
            call.deadline -= world.dispatcher.latest_start(call) - virtual.now()
            while world.dispatcher.latest_start(call) <= virtual.now():
                call.deadline = math.nextafter(call.deadline, math.inf)
            assert (await world.dispatcher.acquire_target(call)).is_err()

        _run_scenario(scenario)


class TestUnreachable:
    """The only target for a key accepts no connection."""

    def test_backoff(self):
        """Guards against 100 connections per request to a crashed target."""

        async def main():
            world = World()
            call = world.call(seconds=4.0)
            began = virtual.now()
            target = world.cluster.directory.get("a").target
            for _ in range(8):
                await world.dispatcher.await_reachable(call, target)
            assert 2.0 < virtual.now() - began < 3.0

        virtual.run(main())

    def test_owner_change_ends_backoff(self):
        """Guards against waiting for a target that no longer owns the key."""

        async def main():
            world = World()
            call = world.call(seconds=4.0)
            target = world.cluster.directory.get("a").target
            call.unreachable_count = 8
            began = virtual.now()
            loop = asyncio.get_running_loop()
            loop.call_later(0.1, world.assign, "b")
            await world.dispatcher.await_reachable(call, target)
            assert virtual.now() - began < 0.2

        virtual.run(main())

    def test_backoff_ends_at_latest_start(self):
        """Guards against a request that is sent too late."""

        async def main():
            world = World()
            call = world.call(seconds=0.3)
            target = world.cluster.directory.get("a").target
            call.unreachable_count = 8
            await world.dispatcher.await_reachable(call, target)
            assert virtual.now() <= world.dispatcher.latest_start(call) + 0.01

        virtual.run(main())
