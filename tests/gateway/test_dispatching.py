"""Where requests go, and what happens to those that wait."""

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


class Gate:
    """A gate that answers after a while.

    Attributes:
        answer: What it says.
        seconds: How long it takes.
        given_back: Places that were given back.
        asked: Requests that asked, as they asked.
        left: Requests that left its queue.
    """

    def __init__(self):
        self.answer = admission_service.Permit(GATE, "a", 1)
        self.seconds = 0.1
        self.given_back = []
        self.asked = []
        self.left = 0

    async def enter(self, *asked):
        """Answers a request."""
        self.asked.append(asked)
        try:
            await asyncio.sleep(self.seconds)
        except asyncio.CancelledError:
            self.left += 1
            raise
        return self.answer

    def give_back(self, place, *, answered):
        """Takes a place back."""
        self.given_back.append((place, answered))


class Peers:
    """Takes what is told of a target."""

    count = 67

    def report_full_target(self, target):
        """Takes a refusal."""

    def report_soon(self):
        """Takes word of a full target."""


class World:
    """One VM's placing, with a key's owner that has a gate."""

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
        self.gate = Gate()
        self.dispatcher = dispatching.Dispatcher(
            fakes.configured(),
            self.cluster,
            self.balancer,
            Peers(),
            wait_queues.WaitQueues(),
            self.gate,
            self.clock,
            None,
        )
        self._serial = 0
        self.assign("a")

    def assign(self, owner):
        """Gives all keys to a target, or to none."""
        self._serial += 1
        self.cluster.apply_assignment(
            assignments.Assignment("s", (1, self._serial), (0,), (owner,))
        )

    def call(self, seconds=1.5, latency=0.4):
        """Makes a request for a key."""
        now = virtual.now()
        route = fakes.route(target_latency=latency)
        made = pending.Call(
            http_server.Incoming("GET", b"/", now),
            route,
            routes.Service("s", keyed=True),
            b"1",
            now + seconds,
        )
        made.key = 7
        made.ticket = self.dispatcher.ticket(1)
        return made

    def name_gate(self):
        """Has the leader name the target's gate."""
        self.balancer.replace_gates({"a": GATE}, virtual.now())


def _play(scenario):
    async def main():
        await scenario(World())

    virtual.run(main())


class TestGate:
    """A target with a gate."""

    def test_place(self):
        """A place is taken, and given back with the request's end."""

        async def scenario(world):
            world.name_gate()
            call = world.call()
            target = (await world.dispatcher.find(call)).ok_value
            assert (target.id, world.balancer.load("a").own) == ("a", 1)
            call.answered = True
            world.dispatcher.leave(call, target)
            assert world.balancer.load("a").own == 0
            assert world.gate.given_back == [(world.gate.answer, True)]

        _play(scenario)

    def test_refusal(self):
        """The caller hears the gate's own word on when to come back."""

        async def scenario(world):
            world.name_gate()
            world.gate.answer = admission.Refusal(2.5)
            failure = (await world.dispatcher.find(world.call())).err_value
            assert failure.kind is errors.ErrorKind.OVERLOADED
            assert failure.retry_after == 2.5

        _play(scenario)

    def test_silent_gate(self):
        """A gate does not answer; the request goes to its target without."""

        async def scenario(world):
            world.name_gate()
            world.gate.answer = None
            target = (await world.dispatcher.find(world.call())).ok_value
            assert target.id == "a"
            assert len(world.gate.asked) == 1

        _play(scenario)

    def test_key_moves_while_it_waits(self):
        """A request waits at a gate; its key is given to another target.

        Waiting on, it would be rejected there and lose its time.
        """

        async def scenario(world):
            world.name_gate()
            world.gate.seconds = 5.0
            finding = asyncio.create_task(world.dispatcher.find(world.call()))
            await asyncio.sleep(0.1)
            world.assign("b")
            target = (await finding).ok_value
            assert target.id == "b"
            assert virtual.now() < 0.2
            await asyncio.sleep(0)
            assert world.gate.left == 1

        _play(scenario)

    def test_target_leaves_while_it_waits(self):
        """A target announces its end, and a place there comes too late.

        It must get no work by then; the place goes to nobody.
        """

        async def scenario(world):
            world.name_gate()
            world.gate.seconds = 2.5
            call = world.call(seconds=4.0)
            finding = asyncio.create_task(world.dispatcher.find(call))
            world.cluster.apply_target(fakes.target("a", leaving=True))
            found = await finding
            assert found.is_err()
            assert len(world.gate.given_back) == 1

        _play(scenario)

    @pytest.mark.parametrize("seconds", [0.05, 0.1])
    def test_caller_leaves(self, seconds):
        """A caller leaves while its request waits, or as its place comes.

        The place must not stay taken.
        """

        async def scenario(world):
            world.name_gate()
            finding = asyncio.create_task(world.dispatcher.find(world.call()))
            await asyncio.sleep(seconds)
            finding.cancel()
            await asyncio.gather(finding, return_exceptions=True)
            await asyncio.sleep(0)
            assert world.gate.left + len(world.gate.given_back) == 1
            assert world.balancer.load("a").own == 0

        _play(scenario)

    def test_route_without_target_latency(self):
        """Its answers are on time until the deadline."""

        async def scenario(world):
            world.name_gate()
            await world.dispatcher.find(world.call(latency=0.0))
            assert world.gate.asked[0][3] == pytest.approx(1.5)

        _play(scenario)


class TestNoOwner:
    """Keys that nobody owns."""

    def test_handover(self):
        """A key changes hands; its requests wait for the next owner."""

        async def scenario(world):
            world.assign("")
            finding = asyncio.create_task(world.dispatcher.find(world.call()))
            await asyncio.sleep(0.3)
            world.assign("b")
            assert (await finding).ok_value.id == "b"

        _play(scenario)

    def test_lost_owner(self):
        """A target died; its keys are back when its grant has run out.

        Requests that cannot wait so long hear at once when to come back.
        """

        async def scenario(world):
            world.assign("")
            await asyncio.sleep(0.8)
            began = virtual.now()
            found = await world.dispatcher.find(world.call(seconds=0.8))
            assert found.err_value.kind is errors.ErrorKind.NO_OWNER
            assert found.err_value.retry_after == pytest.approx(1.34, abs=0.01)
            assert virtual.now() == began
            patient = asyncio.create_task(
                world.dispatcher.find(world.call(seconds=3.0))
            )
            await asyncio.sleep(1.3)
            world.assign("b")
            assert (await patient).is_ok()

        _play(scenario)


class TestLastMoment:
    """A request whose time is all but over."""

    def test_it_is_refused(self):
        """Guards against a request that looks again before any time passes."""

        async def scenario(world):
            await asyncio.sleep(15.0)
            world.assign("")
            call = world.call()
            call.deadline -= world.dispatcher.latest_start(call) - virtual.now()
            while world.dispatcher.latest_start(call) <= virtual.now():
                call.deadline = math.nextafter(call.deadline, math.inf)
            assert (await world.dispatcher.find(call)).is_err()

        _play(scenario)


class TestUnreachable:
    """The only target for a key takes no connection."""

    def test_pauses(self):
        """Guards against a hundred connections a request to a dead target."""

        async def main():
            world = World()
            call = world.call(seconds=4.0)
            began = virtual.now()
            target = world.cluster.directory.get("a").target
            for _ in range(8):
                await world.dispatcher.await_reachable(call, target)
            assert 2.0 < virtual.now() - began < 3.0

        virtual.run(main())

    def test_next_owner_ends_the_pause(self):
        """Guards against a wait for a target that owns the key no more."""

        async def main():
            world = World()
            call = world.call(seconds=4.0)
            target = world.cluster.directory.get("a").target
            call.unreachable = 8
            began = virtual.now()
            loop = asyncio.get_running_loop()
            loop.call_later(0.1, world.assign, "b")
            await world.dispatcher.await_reachable(call, target)
            assert virtual.now() - began < 0.2

        virtual.run(main())

    def test_not_beyond_the_deadline(self):
        """Guards against a request that is sent when it is too late."""

        async def main():
            world = World()
            call = world.call(seconds=0.3)
            target = world.cluster.directory.get("a").target
            call.unreachable = 8
            await world.dispatcher.await_reachable(call, target)
            assert virtual.now() <= world.dispatcher.latest_start(call) + 0.01

        virtual.run(main())
