"""Scripted histories of orders: no key has two owners."""

import asyncio
from unittest import mock

from mimosastile_core.gateway import former_leaders
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import ranges
from mimosastile_gateway import grant_reconciliation
from mimosastile_gateway import http_client
from mimosastile_platform import orders
from mimosastile_standins import virtual
from tests.gateway import fakes
from tests.platform import order_world

_SHORT_SECONDS = 0.001
_COPIES = {
    200: b"HTTP/1.1 200 -\r\nContent-Length: 0\r\n\r\n",
    409: b"HTTP/1.1 409 -\r\nContent-Length: 0\r\n\r\n",
}
HALF = 32768


class _World(order_world.World):
    """A world in which a script sets the way of each order.

    Attributes:
        connecting: By address, the seconds until a connection is open.
        copies: By target, the status of a response whose copy arrives once
            the next order has been sent.
        transits: By target, the seconds for which each of the next orders is
            on its way.
    """

    def __init__(self):
        super().__init__(order_world.Draws(1, ()))
        self.transits = {}
        self.connecting = {}
        self.copies = {}

    def is_slow_link(self, process):
        """Whether bytes to a process are delivered after a reset."""
        return process.zone == "far"

    def transit_seconds(self, process):
        """Returns the seconds until bytes arrive at a process."""
        status = self.copies.pop(process.id, None)
        if status is not None:
            for connection in process.connections:
                connection._send(_COPIES[status])
        transits = self.transits.get(process.id)
        return transits.pop(0) if transits else _SHORT_SECONDS

    async def connect(self, factory, host, port):
        """Opens a connection."""
        await asyncio.sleep(self.connecting.get(f"{host}:{port}", 0.0))
        return await super().connect(factory, host, port)


class _Target(order_world.Process):
    """A target that may lose releases.

    Attributes:
        loses_releases: Whether releases are neither carried out nor answered.
    """

    loses_releases = False

    async def respond(self, request):
        """Carries an order out; returns the answer, None if there is none."""
        if self.loses_releases and request.path == "/release":
            return None
        return await super().respond(request)


class Rig:
    """A leader's orders to two targets over simulated connections."""

    def __init__(self, zone="z"):
        self.world = _World()
        self.clock = fakes.VirtualClock()
        self.log = fakes.MemoryEvents()
        self.log.write = lambda part, event, **fields: self.world.note(
            f"{event} {fields}"
        )
        self.cluster = fakes.new_cluster_state(
            self.clock,
            self.log,
            fakes.target("a", zone=zone),
            fakes.target("b"),
        )
        self.targets = {}
        self._start("a", 1, zone)
        self._start("b", 1, "z")
        self.lease = leadership.LeaderLease(1e9)
        self.lease.confirm(0.0)
        self.pool = http_client.Pool(2.0)
        self.reconciler = self.new_reconciler()
        a, b = (ranges.Holder(n, 1, f"{n}:80") for n in "ab")
        self.holders = {"a": a, "b": b}
        self.table = ranges.initial_table("s", {a: 1.0, b: 1.0}, "c1")
        self.reconciler.apply(self.table)

    def new_reconciler(self, former_until=0.0):
        """Returns a leader's reconciler without a table."""
        return grant_reconciliation.GrantReconciler(
            fakes.configured(trouble_after=1e9),
            orders.OrderClient(self.pool),
            self.cluster,
            self.clock,
            self.log,
            self.lease,
            former_leaders.FormerLeaders(former_until),
            {},
            lambda: None,
        )

    def _start(self, name, born, zone):
        target = _Target(self.world, name, born, f"{name}:80", zone)
        target._drift = 1.02
        self.targets[name] = self.world.processes[f"{name}:80"] = target

    def restart(self, name):
        """Starts a later incarnation of a target."""
        self._start(name, 2, self.targets[name].zone)

    def move(self, first, last, to):
        """Moves keys and applies the new table, as a commit would."""
        moves = [ranges.Move(first, last, self.holders[to])]
        self.table = ranges.move(self.table, moves, "c")
        self.reconciler.apply(self.table)

    def holds(self, name, key):
        """Returns a target's unexpired hold of a key, None without one."""
        return self.targets[name].held(key // order_world.POINT_WIDTH)

    async def until(self, condition, seconds=20.0):
        """Waits for a condition."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.001)


def _run(scenario, zone="z"):
    async def main():
        rig = Rig(zone)
        loop = asyncio.get_running_loop()
        with mock.patch.object(loop, "create_connection", rig.world.connect):
            sampling = rig.world.spawn(rig.world.sample())
            await rig.until(lambda: rig.holds("a", 0) and rig.holds("b", HALF))
            try:
                await scenario(rig)
            finally:
                sampling.cancel()
                rig.reconciler.stop()
                rig.pool.close()
        assert not rig.world.violations, "\n".join(rig.world.trace)

    virtual.run(main())


class TestOwners:
    """The rule on owners under troubles that have to meet."""

    def test_copy_arrives_before_its_order(self):
        """Keys are given away before a grant on a full link has expired.

        A copy confirms the grant nearly a second before the target gets it,
        and the target carries out no release.
        """

        async def scenario(rig):
            await asyncio.sleep(0.2)
            rig.targets["a"].loses_releases = True
            rig.world.transits["a"] = [0.9]
            rig.world.copies["a"] = 200
            await rig.until(lambda: "a" not in rig.world.copies)
            await asyncio.sleep(0.05)
            rig.move(0, HALF - 1, "b")
            await rig.until(lambda: rig.holds("b", 0))
            assert not rig.holds("a", 0), "\n".join(rig.world.trace)

        _run(scenario, "far")

    def test_repeated_grant_is_refused(self):
        """The refusal of a repeated grant ends the record of the first one.

        A copied refusal makes the client repeat a grant. A part of the keys is
        released meanwhile, so the repetition is refused, and the target is not
        reached afterwards.
        """

        async def scenario(rig):
            await asyncio.sleep(0.2)
            target = rig.targets["a"]
            rig.world.copies["a"] = 409
            rig.world.transits["a"] = [0.0, 0.1]
            await rig.until(lambda: "a" not in rig.world.copies)
            await asyncio.sleep(0.02)
            rig.move(0, 4095, "b")
            await rig.until(lambda: not rig.holds("a", 0))
            await asyncio.sleep(0.08)
            target.cut = True
            for connection in tuple(target.connections):
                connection.reset()
            await asyncio.sleep(0.7)
            rig.move(4096, HALF - 1, "b")
            await rig.until(lambda: rig.holds("b", 8192))
            assert not rig.holds("a", 8192), "\n".join(rig.world.trace)

        _run(scenario)

    def test_order_does_not_arrive_after_the_lease(self):
        """A grant is given after the leader lease has ended.

        Its connection takes long to open and the network is slow.
        """

        async def scenario(rig):
            await asyncio.sleep(0.1)
            target = rig.targets["a"]
            for connection in tuple(target.connections):
                connection.reset()
            rig.world.connecting["a:80"] = 0.2
            rig.world.transits["a"] = [0.2]
            # The lease ends just after the longest time of an order.
            ends_at = rig.clock.boottime() + 0.75
            rig.lease._span_seconds = ends_at
            await asyncio.sleep(3.0)
            held = target.holds[0]
            arrived_at = held.until - 2.0 * 1.02
            assert arrived_at <= ends_at, "\n".join(rig.world.trace)

        _run(scenario)

    def test_end_at_another_address(self):
        """A target that holds keys is taken for ended.

        Its registration named another target's address for a while, and that
        target's response there is taken for the end of this one.
        """

        async def scenario(rig):
            rig.cluster.apply_target(fakes.target("a", address="b:80"))
            rig.cluster.end_incarnation("a", 1)
            rig.targets["a"].loses_releases = True
            await asyncio.sleep(0.2)
            rig.move(0, HALF - 1, "b")
            await rig.until(lambda: rig.holds("b", 0))
            assert not rig.holds("a", 0), "\n".join(rig.world.trace)

        _run(scenario)

    def test_connection_opens_after_a_release(self):
        """A restarted target is granted keys that it has released before.

        A renewal waits for its connection while the keys are given on.
        """

        async def scenario(rig):
            await asyncio.sleep(0.45)
            target = rig.targets["a"]
            for connection in tuple(target.connections):
                connection.reset()
            rig.world.connecting["a:80"] = 0.2
            await asyncio.sleep(0.08)
            rig.world.connecting.clear()
            rig.move(0, 4095, "b")
            await rig.until(lambda: rig.holds("b", 0))
            rig.world.end(target)
            rig.restart("a")
            await asyncio.sleep(0.3)
            assert not rig.holds("a", 0), "\n".join(rig.world.trace)

        _run(scenario)

    def test_renewal_of_a_former_leader_after_a_release(self):
        """A restarted target is granted keys that another one owns by now.

        A former leader, whose lease has not expired, renews a grant that the
        target has released before its restart.
        """

        async def scenario(rig):
            await asyncio.sleep(0.1)
            successor = rig.new_reconciler(former_until=10.0)
            moves = [ranges.Move(0, 4095, rig.holders["b"])]
            table = ranges.move(rig.table, moves, "c2")
            successor.apply(table)
            await rig.until(lambda: rig.holds("b", 0))
            rig.world.end(rig.targets["a"])
            rig.restart("a")
            await asyncio.sleep(1.0)
            successor.stop()
            assert not rig.holds("a", 0), "\n".join(rig.world.trace)

        _run(scenario)
