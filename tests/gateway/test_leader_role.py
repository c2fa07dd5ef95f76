"""Tests of the leader role: take-over, failures, reports and evacuation."""

import asyncio

import msgspec
import pytest

from mimosastile_core.gateway import eligibility
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import ranges
from mimosastile_gateway import http_client
from mimosastile_gateway import leader_role
from mimosastile_gateway import messages
from mimosastile_gateway import peer_calls
from mimosastile_gateway import ports
from mimosastile_standins import virtual
from tests.gateway import fakes

_LATEST_EPOCH = 1000
"""Later than any epoch in these tests."""


class Vm:
    """A VM with its own view of the cluster that may become the leader."""

    def __init__(self, name, store, orders, targets, clock=None, **leader):
        self.name = name
        self.clock = clock or fakes.VirtualClock()
        self.log = fakes.MemoryEvents()
        self.cluster = fakes.new_cluster_state(self.clock, self.log, *targets)
        configured = fakes.configured(settle=0.1, settle_most=0.2, **leader)
        vm = msgspec.structs.replace(configured.vm, id=name)
        self.pool = fakes.TargetPool()
        self.monitor = fakes.new_reach_monitor(
            self.cluster, self.clock, self.log, pool=self.pool
        )
        self.leader_role = leader_role.LeaderRole(
            msgspec.structs.replace(configured, vm=vm),
            f"boot-{name}",
            store,
            orders,
            peer_calls.PeerCalls(http_client.Pool(1.0), self.log),
            self.cluster,
            self.monitor,
            self.clock,
            self.log,
        )

    def report(self, *, reaches_store=True, epoch=_LATEST_EPOCH, **fields):
        """Returns a report of this VM, by default to the latest leader."""
        entry = messages.VmEntry(self.name, f"boot-{self.name}", "", "z")
        return messages.Report(
            entry, store=reaches_store, epoch=epoch, **fields
        )


def _setup(*names):
    store, orders = fakes.Store(), fakes.Orders()
    targets = [fakes.target(n) for n in ("a", "b", "c")]
    clock = fakes.VirtualClock()
    vms = [Vm(name, store, orders, targets, clock) for name in names]
    return store, orders, vms


def _stored(store):
    value, _ = store.items[messages.table_key("s")]
    return messages.decode(value, ranges.RangeTable).unwrap()


async def _until(condition, seconds=30.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


def _stored_owner(vm, key):
    """Returns the owner of a key in the leader's own table."""
    return vm.leader_role._services["s"].table.find(key).owner.id


def _owned(orders, key):
    return len(orders.holders(key)) == 1


class TestTakeOver:
    """The leader role passes from one VM to another."""

    def test_first_table(self):
        """The first leader assigns all keys and grants them."""

        async def main():
            store, orders, (one,) = _setup("vm-1")
            assert await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0) and _owned(orders, 65535))
            assert ranges.find_problem(_stored(store)) == ""
            one.leader_role.step_down("end")

        virtual.run(main())

    @pytest.mark.parametrize(
        "raw", [b"", b"{", b'{"vm": 7}', b'{"vm": "\xff"}']
    )
    def test_unreadable_entry_of_a_former_leader(self, raw):
        """Guards against grants of a former leader that nobody waits for.

        The entry tells neither who led nor in which epoch. The next leader
        waits for it, and VMs that followed it follow the next one.
        """

        async def main():
            store, _, (one, two) = _setup("vm-1", "vm-2")
            former = leadership.LeaderEntry("vm-9", "boot-vm-9", 3, "")
            two.cluster.record_leader(former)
            for _ in range(3):
                await store.commit({}, (ports.Write("other", b""),))
            await store.commit({}, (ports.Write(messages.LEADER_KEY, raw),))
            assert await one.leader_role.take_over("test")
            one.leader_role.handle_report(two.report())
            assert one.leader_role.former_grants_seconds > 0.0
            assert two.cluster.record_leader(one.cluster.leader)
            one.leader_role.step_down("end")

        virtual.run(main())

    @pytest.mark.parametrize("raw", [b"", b"[" * 3000, b"{}", b"\xff"])
    def test_unreadable_table(self, raw):
        """Guards against keys with two owners after a table is overwritten.

        Nobody knows who owns keys and under which fences. The next leader
        waits until no grant can be valid, and then makes a new table.
        """

        async def main():
            store, orders, (one, two) = _setup("vm-1", "vm-2")
            await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0) and _owned(orders, 65535))
            former = _stored(store)
            write = ports.Write(messages.table_key("s"), raw)
            await store.commit({}, (write,))
            one.leader_role.step_down("killed")
            two.cluster.record_leader(one.cluster.leader)
            assert await two.leader_role.take_over("test")
            wait = two.leader_role.former_grants_seconds
            assert wait >= 10.0
            sent = len(orders.log)
            await asyncio.sleep(wait - 0.1)
            assert len(orders.log) == sent
            await _until(lambda: _owned(orders, 0) and _owned(orders, 65535))
            assert orders.clashes == []
            fences = {item.fence for item in _stored(store).ranges}
            assert min(fences) > former.next_fence
            two.leader_role.step_down("end")

        virtual.run(main())

    def test_table_of_this_term_is_overwritten(self):
        """Guards against a leader that can change no keys any more."""

        async def main():
            store, orders, (one,) = _setup("vm-1")
            await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0) and _owned(orders, 65535))
            write = ports.Write(messages.table_key("s"), b"[")
            await store.commit({}, (write,))
            owner = _stored_owner(one, 0)
            one.cluster.remove_target(owner)
            await _until(lambda: _stored_owner(one, 0) != owner)
            assert ranges.find_problem(_stored(store)) == ""
            one.leader_role.step_down("end")

        virtual.run(main())

    @pytest.mark.parametrize(
        ("address", "ended"), [("", True), ("a:80", True), ("a:79", False)]
    )
    def test_reported_end_of_a_target(self, address, ended):
        """Guards against keys taken from a target that has moved.

        Another VM found another target at the address that it has left.
        """

        async def main():
            _, _, (one, two) = _setup("vm-1", "vm-2")
            await one.leader_role.take_over("test")
            proof = messages.EndedTarget("a", 1, address)
            one.leader_role.handle_report(two.report(ended=(proof,)))
            assert one.cluster.directory.has_left_address("a", 1) is ended
            one.leader_role.step_down("end")

        virtual.run(main())

    def test_overtaken_while_reading(self):
        """Guards against a term that starts after a report as a follower.

        A later leader takes a VM that reports to it for one that gives no
        orders.
        """

        async def main():
            store, orders, (one,) = _setup("vm-1")
            read_list = store.list

            async def slow_list(prefix, *, stale=False):
                listed = await read_list(prefix, stale=stale)
                await asyncio.sleep(0.5)
                return listed

            store.list = slow_list
            claim = asyncio.create_task(one.leader_role.take_over("test"))
            await asyncio.sleep(0.3)
            one.cluster.record_leader(
                leadership.LeaderEntry("vm-2", "boot-vm-2", 2, "")
            )
            assert not await claim
            assert not one.leader_role.is_leader
            assert orders.log == []

        virtual.run(main())

    def test_two_at_once(self):
        """If two VMs try to take over at once, exactly one becomes leader."""

        async def main():
            _, _, vms = _setup("vm-1", "vm-2")
            led = await asyncio.gather(
                *(vm.leader_role.take_over("test") for vm in vms)
            )
            assert sorted(led) == [False, True]
            for vm in vms:
                vm.leader_role.step_down("end")

        virtual.run(main())

    def test_replaced_leader_changes_nothing(self):
        """A leader has not noticed that it was replaced.

        It goes on making decisions from its outdated view. The store refuses
        its next commit, it steps down, and no key ever has two owners.
        """

        async def main():
            store, orders, (one, two) = _setup("vm-1", "vm-2")
            await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0))
            assert await two.leader_role.take_over("test")
            version = _stored(store).version
            # The former leader observes a target leave and tries to move its
            # keys.
            one.cluster.remove_target("a")
            await _until(lambda: not one.leader_role.is_leader)
            assert _stored(store).version == version
            await asyncio.sleep(3.0)
            assert orders.clashes == []
            assert _owned(orders, 0)
            two.leader_role.step_down("end")

        virtual.run(main())

    def test_table_changes_while_another_one_takes_over(self):
        """A successor's claim takes a second to reach the store.

        The former leader changes the table until the claim arrives. With the
        earlier table, the successor would send fences that are too low and
        grant keys to targets that have handed them over.
        """

        async def main():
            store, orders, (one, two) = _setup("vm-1", "vm-2")
            await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0))
            store.claim_delay = 1.0
            takeover = asyncio.create_task(two.leader_role.take_over("test"))
            await asyncio.sleep(0.2)
            one.cluster.remove_target("a")
            version = _stored(store).version
            await _until(lambda: _stored(store).version > version)
            assert await takeover
            tables = two.leader_role.dump()["tables"]
            assert tables["s"]["version"] == _stored(store).version
            await asyncio.sleep(4.0)
            assert orders.clashes == []
            two.leader_role.step_down("end")
            one.leader_role.step_down("end")

        virtual.run(main())

    def test_tables_cannot_be_read_at_once(self):
        """The store accepts the claim and then fails for a moment.

        The successor retries the read: any VM that took over after it would
        get the same failures.
        """

        async def main():
            store, orders, (one, two) = _setup("vm-1", "vm-2")
            await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0))
            store.failing_lists = 3
            assert await two.leader_role.take_over("test")
            assert two.leader_role.dump()["tables"]
            two.leader_role.step_down("end")
            one.leader_role.step_down("end")

        virtual.run(main())

    def test_successor_renews_in_time(self):
        """The leader crashes, and every key keeps its owner meanwhile."""

        async def main():
            _, orders, (one, two) = _setup("vm-1", "vm-2")
            await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0))
            await asyncio.sleep(1.0)
            one.leader_role.step_down("killed")
            await asyncio.sleep(1.0)
            await two.leader_role.take_over("test")
            for _ in range(60):
                await asyncio.sleep(0.05)
                assert all(_owned(orders, k) for k in (0, 30000, 65535))
            assert orders.clashes == []
            two.leader_role.step_down("end")

        virtual.run(main())

    def test_silent_target_and_lost_leader(self):
        """A target stops responding while the leader is cut off.

        The former leader may renew the target's grant until its leader lease
        ends. The successor waits for that before it moves the keys.
        """

        async def main():
            _, orders, (one, two) = _setup("vm-1", "vm-2")
            await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0))
            await asyncio.sleep(1.0)
            # The successor cannot reach the target whose grant the former
            # leader has renewed.
            orders.dead.add("a")
            await two.leader_role.take_over("test")
            began = virtual.now()
            await _until(lambda: orders.holders(0) - {"a"} != set(), seconds=60)
            assert virtual.now() - began > 2.0
            assert orders.clashes == []
            two.leader_role.step_down("end")
            one.leader_role.step_down("end")

        virtual.run(main())


class RecordedCalls:
    """Records the peers that were notified of a leader, and when."""

    def __init__(self):
        self.notified = []

    async def call(self, address, path, body, timeout, *, fresh=False):
        """Records a message."""
        self.notified.append((round(virtual.now(), 1), address))
        return b"{}"


class TestAnnouncement:
    """A new leader is announced to VMs."""

    def test_vm_that_registers_late(self):
        """Guards against VMs that miss the only announcement of a leader.

        Hundreds of VMs that start together register over several seconds. Each
        of them has looked for a leader before there was one.
        """

        async def main():
            store, _, (one, two) = _setup("vm-1", "vm-2")
            calls = RecordedCalls()
            one.leader_role._disseminator._calls = calls
            await one.leader_role.take_over("test")
            await asyncio.sleep(0.2)
            assert calls.notified == []
            entry = messages.VmEntry("vm-2", "boot-vm-2", "two:1", "z")
            key = messages.vm_key("vm-2")
            store.items[key] = (msgspec.json.encode(entry), 3)
            await asyncio.sleep(1.0)
            assert [address for _, address in calls.notified] == ["two:1"]
            # A VM that reports gets no further announcement.
            for _ in range(12):
                one.leader_role.handle_report(two.report())
                await asyncio.sleep(1.0)
            announced = [at for at, name in calls.notified if name == "two:1"]
            assert len(announced) == 1
            one.leader_role.step_down("end")

        virtual.run(main())

    def test_many_grants_cause_few_assignments(self):
        """Guards against publishing a full assignment for every grant."""

        async def main():
            store, orders = fakes.Store(), fakes.Orders()
            targets = [fakes.target(f"t{n}") for n in range(400)]
            one = Vm("vm-1", store, orders, targets)
            await one.leader_role.take_over("test")
            await _until(lambda: len(orders.log) >= 400)
            await asyncio.sleep(0.5)
            assert all(_owned(orders, key) for key in (0, 30000, 65535))
            known = one.cluster.assignments["s"]
            assert all(known.owners)
            assert known.version[1] < 40
            one.leader_role.step_down("end")

        virtual.run(main())


class TestNewGate:
    """A target with more requests than slots gets an admission gate."""

    def test_all_vms_are_notified_at_once(self):
        """Guards against VMs that go on sending to a saturated target.

        One key suddenly gets much of the traffic, and each of many VMs has one
        request for it.
        """

        async def main():
            store, orders = fakes.Store(), fakes.Orders()
            targets = [fakes.target(n) for n in ("a", "b", "c")]
            one = Vm("vm-1", store, orders, targets)
            calls = RecordedCalls()
            one.leader_role._disseminator._calls = calls
            await one.leader_role.take_over("test")
            await asyncio.sleep(0.5)
            names = [f"vm-{n}" for n in range(2, 12)]

            def report(name, **fields):
                entry = messages.VmEntry(name, "b", f"{name}:1", "z")
                one.leader_role.handle_report(
                    messages.Report(entry, store=True, **fields)
                )

            for name in names:
                report(name)
            await asyncio.sleep(0.2)
            calls.notified.clear()
            for name in names[:5]:
                report(name, under_way={"a": 1})
            await asyncio.sleep(0.11)
            report(names[5], under_way={"a": 1})
            await asyncio.sleep(0.01)
            notified = {address for _, address in calls.notified}
            assert notified == {f"{name}:1" for name in names}
            one.leader_role.step_down("end")

        virtual.run(main())


class TestAfterAnOutage:
    """Grants that were extended during an outage of the store."""

    def test_successor_waits_for_extended_grants(self):
        """Another VM takes over right after an outage of the store.

        The leader gives regular grants again and reports so. But a target that
        has not responded since the outage still holds and serves its keys by
        an extended grant. A successor that assumes regular grants would give
        the keys to a second target.
        """

        async def main():
            store, orders, (one, two) = _setup("vm-1", "vm-2")
            await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0))
            store.failing = fakes.UNAVAILABLE
            await asyncio.sleep(4.0)
            orders.dead.add("a")
            store.failing = None
            await asyncio.sleep(2.0)
            reply = one.leader_role.handle_report(two.report())
            two.leader_role.handle_reply(reply)
            assert await two.leader_role.take_over("test")
            # The former leader reports to the new one and sends no orders.
            one.leader_role.step_down("replaced")
            two.leader_role.handle_report(one.report())
            await _until(lambda: orders.holders(0) - {"a"} != set(), seconds=60)
            assert orders.clashes == []
            two.leader_role.step_down("end")

        virtual.run(main())

    def test_chain_of_successors(self):
        """The same with a third leader that got a reply of the second only."""

        async def main():
            store, orders, vms = _setup("vm-1", "vm-2", "vm-3")
            one, two, three = vms
            await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0))
            store.failing = fakes.UNAVAILABLE
            await asyncio.sleep(4.0)
            orders.dead.add("a")
            store.failing = None
            await asyncio.sleep(2.0)
            for former, next_one in ((one, two), (two, three)):
                reply = former.leader_role.handle_report(next_one.report())
                next_one.leader_role.handle_reply(reply)
                assert await next_one.leader_role.take_over("test")
                former.leader_role.step_down("replaced")
                for vm in vms:
                    next_one.leader_role.handle_report(vm.report())
            await _until(lambda: orders.holders(0) - {"a"} != set(), seconds=60)
            assert orders.clashes == []
            three.leader_role.step_down("end")

        virtual.run(main())


class TestFormerLeadersReport:
    """A replaced leader reports how long its grants last."""

    @pytest.mark.parametrize(
        ("others_reach", "restarted", "bound", "least", "most"),
        [
            pytest.param(True, False, 10.0, 0.0, 4.5, id="only leader cut off"),
            pytest.param(False, False, 10.0, 6.0, 12.0, id="outage before"),
            pytest.param(True, True, 10.0, 9.0, 12.0, id="restarted"),
            pytest.param(True, False, 4.0, 0.0, 4.5, id="bound: cut off"),
            pytest.param(False, False, 4.0, 4.0, 5.5, id="bound: outage"),
            pytest.param(True, True, 4.0, 4.0, 5.5, id="bound: restarted"),
        ],
    )
    def test_keys_of_a_lost_target(
        self, others_reach, restarted, bound, least, most
    ):
        """A leader is cut off from the store, and then a target crashes.

        The successor has to wait for possibly extended grants before the
        target's keys have an owner again: ten seconds in which callers are
        refused. If other VMs reached the store all the time, no grant was
        extended, and the former leader reports so to its successor.
        """

        async def main():
            store, orders = fakes.Store(), fakes.Orders()
            targets = [fakes.target(n) for n in ("a", "b", "c")]
            clock = fakes.VirtualClock()
            stores = [fakes.FaultyProxy(store) for _ in range(2)]
            one, two = (
                Vm(
                    f"vm-{i + 1}",
                    stores[i],
                    orders,
                    targets,
                    clock,
                    longest_hold=bound,
                )
                for i in range(2)
            )
            await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0))
            stores[0].failing = fakes.UNAVAILABLE
            for _ in range(20):
                await asyncio.sleep(0.2)
                report = two.report(reaches_store=others_reach)
                two.leader_role.handle_reply(
                    one.leader_role.handle_report(report)
                )
            orders.dead.add("a")
            assert await two.leader_role.take_over("test")
            one.leader_role.step_down("replaced")
            seconds = (
                None if restarted else one.leader_role.extended_grants_seconds()
            )
            two.leader_role.handle_report(one.report(extended_grants=seconds))
            began = virtual.now()
            await _until(lambda: orders.holders(0) - {"a"} != set(), seconds=60)
            assert least < virtual.now() - began < most
            assert orders.clashes == []
            two.leader_role.step_down("end")

        virtual.run(main())

    def test_report_to_an_earlier_term(self):
        """Guards against a delayed report of a VM that has led since.

        It was sent to this VM's earlier term and says nothing of the term of
        its sender that began later.
        """

        async def main():
            _, _, (one, two) = _setup("vm-1", "vm-2")
            assert await one.leader_role.take_over("test")
            assert await two.leader_role.take_over("test")
            one.leader_role.step_down("replaced")
            one.cluster.record_leader(two.cluster.leader)
            assert await one.leader_role.take_over("test")
            former = one.leader_role._former_leaders
            expires_at = former.grants_expire_at()
            one.leader_role.handle_report(two.report(epoch=1))
            assert former.grants_expire_at() == expires_at
            one.leader_role.handle_report(two.report(epoch=3))
            assert former.grants_expire_at() < expires_at
            one.leader_role.step_down("end")
            two.leader_role.step_down("end")

        virtual.run(main())

    def test_never_led(self):
        """A VM that has not led since its start reports no extended grants."""

        async def main():
            _, _, (one,) = _setup("vm-1")
            assert one.leader_role.extended_grants_seconds() is None
            await one.leader_role.take_over("test")
            one.leader_role.step_down("end")
            assert one.leader_role.extended_grants_seconds() is not None

        virtual.run(main())


class TestFullLink:
    """A leader's orders are queued before a saturated link between regions."""

    @pytest.mark.parametrize("reports", [True, False])
    @pytest.mark.parametrize("wait", [0.0, 0.3, 0.6, 0.9])
    def test_orders_arrive_after_leader_was_replaced(self, wait, reports):
        """Guards against moving keys while such an order is in transit.

        The leader stops and reports to its successor, or a witness shows when
        it had to stop. Orders sent until then arrive up to a second later.
        """

        async def main():
            store, orders = fakes.Store(), fakes.Orders()
            targets = [
                fakes.target(n, zone=zone)
                for n, zone in (("a", "far"), ("b", "z"), ("c", "z"))
            ]
            clock = fakes.VirtualClock()
            reach = [fakes.FaultyProxy(orders) for _ in range(2)]
            one, two = (
                Vm(f"vm-{i + 1}", store, reach[i], targets, clock)
                for i in range(2)
            )
            await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0))
            await asyncio.sleep(1.0 + wait)
            orders.queued["a"] = 0.9
            reach[1].refused = {"a"}
            await asyncio.sleep(0.6)
            await two.leader_role.take_over("test")
            one.leader_role.step_down("replaced")
            if reports:
                seconds = one.leader_role.extended_grants_seconds()
                two.leader_role.handle_report(
                    one.report(extended_grants=seconds)
                )
            await _until(lambda: orders.holders(0) - {"a"} != set(), seconds=60)
            assert orders.clashes == []
            two.leader_role.step_down("end")

        virtual.run(main())


class TestThirdLeader:
    """Two take-overs happen before the first leader notices the first one."""

    def test_waits_for_the_first_one(self):
        """A leader is cut off from the store and goes on renewing grants.

        Its successor crashes at once. The third leader can tell that the
        second has stopped, but not that the first has. A target that only the
        first leader reaches still holds its keys.
        """

        async def main():
            store, orders = fakes.Store(), fakes.Orders()
            targets = [fakes.target(n) for n in ("a", "b", "c")]
            clock = fakes.VirtualClock()
            stores = [fakes.FaultyProxy(store) for _ in range(3)]
            reach = [fakes.FaultyProxy(orders) for _ in range(3)]
            one, two, three = (
                Vm(f"vm-{i + 1}", stores[i], reach[i], targets, clock)
                for i in range(3)
            )
            await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0))
            await asyncio.sleep(1.0)
            stores[0].failing = fakes.UNAVAILABLE
            reach[1].dead = reach[2].dead = {"a"}
            await two.leader_role.take_over("test")
            two.leader_role.step_down("killed")
            await three.leader_role.take_over("test")
            # The next incarnation of the second leader's daemon reports.
            three.leader_role.handle_report(two.report())
            await asyncio.sleep(16.0)
            assert orders.clashes == []
            assert _owned(orders, 0)
            one.leader_role.step_down("end")
            three.leader_role.step_down("end")

        virtual.run(main())


class TestPartialCut:
    """Some VMs are cut off from the store, the leader among them."""

    @pytest.mark.parametrize(("cut", "most"), [(1, 2.0), (2, 2.0), (4, 3.0)])
    def test_another_vm_takes_over_soon(self, cut, most):
        """The leader and the VMs that it asks first do not reach the store.

        These VMs have made no call to the store recently and have not noticed.
        Until a VM that reaches the store leads, no table changes, and requests
        for the keys of a lost target are refused.
        """

        async def main():
            store, orders = fakes.Store(), fakes.Orders()
            targets = [fakes.target(n) for n in ("a", "b", "c")]
            clock = fakes.VirtualClock()
            stores = [fakes.FaultyProxy(store) for _ in range(6)]
            vms = [
                Vm(f"vm-{i}", stores[i], orders, targets, clock)
                for i in range(6)
            ]
            first, *others = vms
            await first.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0))
            for cut_off in stores[:cut]:
                cut_off.failing = fakes.UNAVAILABLE
            began = virtual.now()
            while not any(vm.leader_role.is_leader for vm in others):
                await asyncio.sleep(0.2)
                for vm in others:
                    if first.leader_role.handle_report(vm.report()).take_over:
                        await vm.leader_role.take_over("asked to")
            assert virtual.now() - began < most
            await asyncio.sleep(1.0)
            assert sum(vm.leader_role.is_leader for vm in others) == 1
            assert orders.clashes == []
            assert _owned(orders, 0)
            for vm in vms:
                vm.leader_role.step_down("end")

        virtual.run(main())


class TestStoreFailures:
    """The store fails while a VM leads."""

    def test_outage(self):
        """The store is down for longer than a grant lasts.

        No VM can take over, so the leader goes on renewing grants.
        """

        async def main():
            store, orders, (one,) = _setup("vm-1")
            await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0))
            store.failing = fakes.UNAVAILABLE
            for _ in range(90):
                await asyncio.sleep(0.1)
                assert _owned(orders, 0)
            store.failing = None
            await asyncio.sleep(3.0)
            assert one.leader_role.is_leader
            assert _owned(orders, 0)
            one.leader_role.step_down("end")

        virtual.run(main())

    def test_outage_without_end(self):
        """The store does not recover, and the leader stops sending orders.

        A successor that it cannot observe relies on that.
        """

        async def main():
            store, orders, (one,) = _setup("vm-1")
            await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0))
            store.failing = fakes.UNAVAILABLE
            began = virtual.now()
            await asyncio.sleep(14.0)
            orders.log.clear()
            await asyncio.sleep(5.0)
            assert orders.log == []
            assert began + 19 > 12 + 2
            one.leader_role.step_down("end")

        virtual.run(main())

    def test_commit_without_response(self):
        """Commits are carried out, but every response is lost.

        The leader determines which table is in force, no key has two owners,
        and the leaving target loses its keys.
        """

        async def main():
            store, orders, (one,) = _setup("vm-1")
            await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0))
            store.loses_responses = True
            one.cluster.apply_target(fakes.target("a", leaving=True))
            await _until(
                lambda: "a" not in {h.id for h in _stored(store).owners()}
            )
            await _until(
                lambda: all(
                    _owned(orders, k) and "a" not in orders.holders(k)
                    for k in (0, 100, 20000)
                )
            )
            assert orders.clashes == []
            one.leader_role.step_down("end")

        virtual.run(main())

    def test_asks_for_a_successor(self):
        """The store refuses the leader and serves another VM.

        Keys cannot move while the leader does not reach the store, so it asks
        the other VM to take over. Until then it gets the store's changes from
        that VM. Once no VM reports a reachable store, the leader's replies say
        that it no longer receives changes, and VMs read the store themselves.
        """

        async def main():
            store, orders, (one, two) = _setup("vm-1", "vm-2")
            await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0))
            store.failing = fakes.UNAVAILABLE
            asked = False
            while not asked:
                await asyncio.sleep(0.2)
                reply = one.leader_role.handle_report(two.report())
                asked = reply.take_over
            assert one.log.named("asks_successor")[0]["successors"] == ("vm-2",)
            assert reply.store
            for _ in range(20):
                await asyncio.sleep(0.2)
                reply = one.leader_role.handle_report(two.report())
            assert reply.store
            reply = one.leader_role.handle_report(
                two.report(reaches_store=False)
            )
            assert not reply.store
            one.leader_role.step_down("end")

        virtual.run(main())

    @pytest.mark.parametrize("raw", [b"", b"{}", b'{"service": 1}', b"\xff"])
    def test_unreadable_table(self, raw):
        """The value stored for a table cannot be decoded.

        The leader logs that and goes on. It creates a new table only once the
        stored value has been removed.
        """

        async def main():
            store, _, (one,) = _setup("vm-1")
            store.items[messages.table_key("s")] = (raw, 1)
            assert await one.leader_role.take_over("test")
            await asyncio.sleep(1.0)
            assert one.log.named("table_unreadable")
            assert store.items[messages.table_key("s")][0] == raw
            one.leader_role.step_down("end")

        virtual.run(main())


class TestReports:
    """Replies to the reports of VMs."""

    def test_not_the_leader(self):
        """A VM that does not lead names the leader that it has recorded."""
        entry = leadership.LeaderEntry("vm-9", "b", 3, "x:1")

        async def main():
            _, _, (one,) = _setup("vm-1")
            one.cluster.record_leader(entry)
            reply = one.leader_role.handle_report(one.report())
            assert (reply.leading, reply.leader) == (False, entry)

        virtual.run(main())

    def test_contended_target_has_a_gate(self):
        """All VMs get the same admission gate for a contended target."""

        async def main():
            _, orders, (one, two, three) = _setup("vm-1", "vm-2", "vm-3")
            await one.leader_role.take_over("test")
            gates = []
            for vm in (two, three, two, three):
                reply = one.leader_role.handle_report(
                    vm.report(under_way={"a": 8}, waiting={"a": 10})
                )
                gates.append(reply.gates)
                await asyncio.sleep(0.2)
            assert gates[2] == gates[3]
            assert gates[2].keys() == {"a"}
            one.leader_role.step_down("end")

        virtual.run(main())

    def test_stopping_vm_is_no_gate(self):
        """A VM that is about to stop is not named as any target's gate."""

        async def main():
            _, orders, (one, two) = _setup("vm-1", "vm-2")
            await one.leader_role.take_over("test")
            for _ in range(2):
                reply = one.leader_role.handle_report(
                    two.report(under_way={"a": 8}, stopping=True)
                )
                await asyncio.sleep(0.2)
            assert reply.gates == {}
            one.leader_role.step_down("end")

        virtual.run(main())

    def test_updates_of_a_watcher(self):
        """The leader's own watch of the store has stalled.

        A target leaves. A VM that also watches the store reports that to the
        leader, which notifies all other VMs. A VM that its messages do not
        reach gets the update with the reply to its report.
        """

        async def main():
            _, _, (one, two) = _setup("vm-1", "vm-2")
            await one.leader_role.take_over("test")
            leaving = fakes.target("a", leaving=True, revision=9)
            news = messages.StateUpdate(
                0, 9, (messages.TargetUpdate(leaving, 9, False, 0.0),)
            )
            one.leader_role.handle_report(two.report(state_update=news))
            one.leader_role.handle_report(two.report(seen=5))
            await asyncio.sleep(0.1)
            reply = one.leader_role.handle_report(two.report(seen=5))
            leaving_by_target = {
                n.target.id: n.target.leaving
                for n in reply.state_update.targets
            }
            assert leaving_by_target == {"a": True}
            one.leader_role.step_down("end")

        virtual.run(main())

    def test_write_without_value_type(self):
        """A write belongs to no session by default."""
        assert ports.Write("k", b"v").session == 0


class TestEvacuation:
    """Keys move away from targets of an evacuated zone."""

    @staticmethod
    def _setup(per_zone, vms=("vm-1", "vm-2")):
        store, orders = fakes.Store(), fakes.Orders()
        targets = [
            fakes.target(f"{zone}-{n}", zone=zone)
            for zone in ("z", "far")
            for n in range(per_zone)
        ]
        clock = fakes.VirtualClock()
        return orders, [Vm(v, store, orders, targets, clock) for v in vms]

    @staticmethod
    def _holders(orders):
        return {
            name for key in range(0, 65536, 311) for name in orders.holders(key)
        }

    @pytest.mark.parametrize("per_zone", [2, 23, 120])
    def test_within_a_second(self, per_zone):
        """Guards against keys whose owner no longer gets any request."""

        async def main():
            orders, (one, _) = self._setup(per_zone)
            await one.leader_role.take_over("test")
            await _until(lambda: len(self._holders(orders)) >= per_zone)
            await asyncio.sleep(2.0)
            one.cluster.apply_evacuations(eligibility.Evacuations(("z",), 9))
            await asyncio.sleep(1.0)
            assert all(n.startswith("far") for n in self._holders(orders))
            assert all(_owned(orders, k) for k in (0, 30000, 65535))
            assert orders.clashes == []
            one.leader_role.step_down("end")

        virtual.run(main())

    def test_leader_is_replaced_meanwhile(self):
        """Guards against two owners when the leader changes meanwhile."""

        async def main():
            orders, (one, two) = self._setup(8)
            await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0))
            await asyncio.sleep(1.0)
            evacuated = eligibility.Evacuations(("z",), 9)
            one.cluster.apply_evacuations(evacuated)
            await asyncio.sleep(0.3)
            one.leader_role.step_down("killed")
            two.cluster.apply_evacuations(evacuated)
            await two.leader_role.take_over("test")
            await asyncio.sleep(8.0)
            assert all(n.startswith("far") for n in self._holders(orders))
            assert orders.clashes == []
            two.cluster.apply_evacuations(eligibility.Evacuations((), 11))
            await asyncio.sleep(1.0)
            two.cluster.apply_evacuations(eligibility.Evacuations(("far",), 12))
            await asyncio.sleep(4.0)
            assert all(n.startswith("z-") for n in self._holders(orders))
            assert orders.clashes == []
            two.leader_role.step_down("end")

        virtual.run(main())

    def test_all_zones_evacuated(self):
        """Guards against keys without an owner if all zones are evacuated."""

        async def main():
            orders, (one, _) = self._setup(2)
            await one.leader_role.take_over("test")
            await _until(lambda: _owned(orders, 0))
            one.cluster.apply_evacuations(
                eligibility.Evacuations(("far", "z"), 9)
            )
            await asyncio.sleep(4.0)
            assert all(_owned(orders, k) for k in (0, 30000, 65535))
            one.leader_role.step_down("end")

        virtual.run(main())
