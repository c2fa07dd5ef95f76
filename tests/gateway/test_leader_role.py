"""Leadership: who decides, and what a decision survives."""

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


class Vm:
    """One VM that may lead."""

    def __init__(self, name, store, orders, targets, clock=None):
        self.name = name
        self.clock = clock or fakes.VirtualClock()
        self.log = fakes.Lines()
        self.cluster = fakes.known(self.clock, self.log, *targets)
        configured = fakes.configured(settle=0.1, settle_most=0.2)
        vm = msgspec.structs.replace(configured.vm, id=name)
        self.leading = leader_role.LeaderRole(
            msgspec.structs.replace(configured, vm=vm),
            f"boot-{name}",
            store,
            orders,
            peer_calls.PeerCalls(http_client.Pool(1.0), self.log),
            self.cluster,
            self.clock,
            self.log,
        )

    def report(self, *, reaches_store=True, **fields):
        """Returns a report of this VM."""
        entry = messages.VmEntry(self.name, f"boot-{self.name}", "", "z")
        return messages.Report(entry, store=reaches_store, **fields)


def _world(*names):
    store, orders = fakes.Store(), fakes.Orders()
    targets = [fakes.target(n) for n in ("a", "b", "c")]
    clock = fakes.VirtualClock()
    vms = [Vm(name, store, orders, targets, clock) for name in names]
    return store, orders, vms


def _stored(store):
    value, _ = store.items[messages.table_key("s")]
    return messages.decode(value, ranges.RangeTable)


async def _until(condition, seconds=30.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


def _owned(orders, key):
    return len(orders.holders(key)) == 1


class TestTakeOver:
    """One VM after the other leads."""

    def test_first_table(self):
        """The first leader deals all keys out and grants them."""

        async def main():
            store, orders, (one,) = _world("vm-1")
            assert await one.leading.take_over("test")
            await _until(lambda: _owned(orders, 0) and _owned(orders, 65535))
            assert ranges.find_problem(_stored(store)) == ""
            one.leading.step_down("end")

        virtual.run(main())

    def test_two_at_once(self):
        """Two VMs think that nobody leads; one of them does then."""

        async def main():
            _, _, vms = _world("vm-1", "vm-2")
            led = await asyncio.gather(
                *(vm.leading.take_over("test") for vm in vms)
            )
            assert sorted(led) == [False, True]
            for vm in vms:
                vm.leading.step_down("end")

        virtual.run(main())

    def test_replaced_leader_changes_nothing(self):
        """A leader does not know that it was replaced.

        It goes on deciding by what it knows. Its next change is refused by
        the store, it steps down, and no key ever had two owners.
        """

        async def main():
            store, orders, (one, two) = _world("vm-1", "vm-2")
            await one.leading.take_over("test")
            await _until(lambda: _owned(orders, 0))
            assert await two.leading.take_over("test")
            version = _stored(store).version
            # The old leader sees a target leave and would move its keys.
            one.cluster.remove_target("a")
            await _until(lambda: not one.leading.leading)
            assert _stored(store).version == version
            await asyncio.sleep(3.0)
            assert orders.clashes == []
            assert _owned(orders, 0)
            two.leading.step_down("end")

        virtual.run(main())

    def test_table_changes_while_another_one_takes_over(self):
        """A successor's claim takes a second on its way to the store.

        The former leader changes the table until the claim is there. By the
        table from before, the successor would give targets fences that are too
        low, and keys to targets that have handed them over.
        """

        async def main():
            store, orders, (one, two) = _world("vm-1", "vm-2")
            await one.leading.take_over("test")
            await _until(lambda: _owned(orders, 0))
            store.slow_claims = 1.0
            taking = asyncio.create_task(two.leading.take_over("test"))
            await asyncio.sleep(0.2)
            one.cluster.remove_target("a")
            version = _stored(store).version
            await _until(lambda: _stored(store).version > version)
            assert await taking
            tables = two.leading.dump()["tables"]
            assert tables["s"]["version"] == _stored(store).version
            await asyncio.sleep(4.0)
            assert orders.clashes == []
            two.leading.step_down("end")
            one.leading.step_down("end")

        virtual.run(main())

    def test_tables_cannot_be_read_at_once(self):
        """The store answers the claim and then falls silent for a moment.

        The successor goes on asking: whoever took over after it would meet
        the same store.
        """

        async def main():
            store, orders, (one, two) = _world("vm-1", "vm-2")
            await one.leading.take_over("test")
            await _until(lambda: _owned(orders, 0))
            store.failing_lists = 3
            assert await two.leading.take_over("test")
            assert two.leading.dump()["tables"]
            two.leading.step_down("end")
            one.leading.step_down("end")

        virtual.run(main())

    def test_successor_renews_in_time(self):
        """The leader dies; no key is without its owner meanwhile."""

        async def main():
            _, orders, (one, two) = _world("vm-1", "vm-2")
            await one.leading.take_over("test")
            await _until(lambda: _owned(orders, 0))
            await asyncio.sleep(1.0)
            one.leading.step_down("killed")
            await asyncio.sleep(1.0)
            await two.leading.take_over("test")
            for _ in range(60):
                await asyncio.sleep(0.05)
                assert all(_owned(orders, k) for k in (0, 30000, 65535))
            assert orders.clashes == []
            two.leading.step_down("end")

        virtual.run(main())

    def test_silent_target_and_lost_leader(self):
        """A target falls silent and the leader is cut off at once.

        The old leader may renew the target's grant until its authority ends;
        the successor waits for that before it gives the keys away.
        """

        async def main():
            _, orders, (one, two) = _world("vm-1", "vm-2")
            await one.leading.take_over("test")
            await _until(lambda: _owned(orders, 0))
            await asyncio.sleep(1.0)
            # The successor cannot reach the target that the old one renews.
            orders.dead.add("a")
            await two.leading.take_over("test")
            began = virtual.now()
            await _until(lambda: orders.holders(0) - {"a"} != set(), seconds=60)
            assert virtual.now() - began > 2.0
            assert orders.clashes == []
            two.leading.step_down("end")
            one.leading.step_down("end")

        virtual.run(main())


class Announced:
    """The way to peers; notes who was told of a leader, and when."""

    def __init__(self):
        self.told = []

    async def call(self, address, path, body, timeout, *, fresh=False):
        """Notes a message."""
        self.told.append((round(virtual.now(), 1), address))
        return b"{}"


class TestAnnouncement:
    """VMs hear of a new leader."""

    def test_vm_that_registers_late(self):
        """Guards against VMs that register after the only announcement.

        Hundreds that start together register over some seconds; each has
        looked for a leader before there was one.
        """

        async def main():
            store, _, (one, two) = _world("vm-1", "vm-2")
            calls = Announced()
            one.leading._disseminator._calls = calls
            await one.leading.take_over("test")
            await asyncio.sleep(0.2)
            assert calls.told == []
            entry = messages.VmEntry("vm-2", "boot-vm-2", "two:1", "z")
            key = messages.vm_key("vm-2")
            store.items[key] = (msgspec.json.encode(entry), 3)
            await asyncio.sleep(1.0)
            assert [address for _, address in calls.told] == ["two:1"]
            # It reports, and needs no further announcement.
            for _ in range(12):
                one.leading.take_report(two.report())
                await asyncio.sleep(1.0)
            announced = [at for at, name in calls.told if name == "two:1"]
            assert len(announced) == 1
            one.leading.step_down("end")

        virtual.run(main())

    def test_many_grants_are_few_assignments(self):
        """Guards against an assignment of all ranges for each grant."""

        async def main():
            store, orders = fakes.Store(), fakes.Orders()
            targets = [fakes.target(f"t{n}") for n in range(400)]
            one = Vm("vm-1", store, orders, targets)
            await one.leading.take_over("test")
            await _until(lambda: len(orders.log) >= 400)
            await asyncio.sleep(0.5)
            assert all(_owned(orders, key) for key in (0, 30000, 65535))
            known = one.cluster.assignments["s"]
            assert all(known.owners)
            assert known.version[1] < 40
            one.leading.step_down("end")

        virtual.run(main())


class TestNewGate:
    """A target gets a gate when more is wanted of it than it can run."""

    def test_all_vms_hear_at_once(self):
        """Guards against VMs that go on sending to a full target.

        Pattern: one key gets much of the traffic from one moment to the next,
        and each of many VMs has one request for it.
        """

        async def main():
            store, orders = fakes.Store(), fakes.Orders()
            targets = [fakes.target(n) for n in ("a", "b", "c")]
            one = Vm("vm-1", store, orders, targets)
            calls = Announced()
            one.leading._disseminator._calls = calls
            await one.leading.take_over("test")
            await asyncio.sleep(0.5)
            names = [f"vm-{n}" for n in range(2, 12)]

            def report(name, **fields):
                entry = messages.VmEntry(name, "b", f"{name}:1", "z")
                one.leading.take_report(
                    messages.Report(entry, store=True, **fields)
                )

            for name in names:
                report(name)
            await asyncio.sleep(0.2)
            calls.told.clear()
            for name in names[:5]:
                report(name, under_way={"a": 1})
            await asyncio.sleep(0.11)
            report(names[5], under_way={"a": 1})
            await asyncio.sleep(0.01)
            told = {address for _, address in calls.told}
            assert told == {f"{name}:1" for name in names}
            one.leading.step_down("end")

        virtual.run(main())


class TestAfterAnOutage:
    """Grants that were made longer while the store was away."""

    def test_successor_waits_for_longer_grants(self):
        """The store was away; it is back, and another VM takes over at once.

        Its leader says that all is well, and it is: it gives usual grants
        again. But a target that has answered no order since still holds its
        keys by a longer one, and serves them; a successor that reckons with
        usual grants gives them to a second target.
        """

        async def main():
            store, orders, (one, two) = _world("vm-1", "vm-2")
            await one.leading.take_over("test")
            await _until(lambda: _owned(orders, 0))
            store.failing = fakes.UNAVAILABLE
            await asyncio.sleep(4.0)
            orders.dead.add("a")
            store.failing = None
            await asyncio.sleep(2.0)
            reply = one.leading.take_report(two.report())
            two.leading.hear(reply)
            assert await two.leading.take_over("test")
            # The former leader follows the new one and gives no orders.
            one.leading.step_down("replaced")
            two.leading.take_report(one.report())
            await _until(lambda: orders.holders(0) - {"a"} != set(), seconds=60)
            assert orders.clashes == []
            two.leading.step_down("end")

        virtual.run(main())

    def test_chain_of_successors(self):
        """The same with a third leader that has only heard the second one."""

        async def main():
            store, orders, vms = _world("vm-1", "vm-2", "vm-3")
            one, two, three = vms
            await one.leading.take_over("test")
            await _until(lambda: _owned(orders, 0))
            store.failing = fakes.UNAVAILABLE
            await asyncio.sleep(4.0)
            orders.dead.add("a")
            store.failing = None
            await asyncio.sleep(2.0)
            for former, next_one in ((one, two), (two, three)):
                reply = former.leading.take_report(next_one.report())
                next_one.leading.hear(reply)
                assert await next_one.leading.take_over("test")
                former.leading.step_down("replaced")
                for vm in vms:
                    next_one.leading.take_report(vm.report())
            await _until(lambda: orders.holders(0) - {"a"} != set(), seconds=60)
            assert orders.clashes == []
            three.leading.step_down("end")

        virtual.run(main())


class TestFormerLeadersWord:
    """A leader that was replaced says how long its grants last."""

    @pytest.mark.parametrize(
        ("others_reach", "restarted", "least", "most"),
        [
            pytest.param(True, False, 0.0, 4.5, id="only the leader was cut"),
            pytest.param(False, False, 6.0, 12.0, id="an outage before"),
            pytest.param(True, True, 9.0, 12.0, id="it cannot tell"),
        ],
    )
    def test_keys_of_a_lost_target(self, others_reach, restarted, least, most):
        """A leader is cut off from the store, and then a target dies.

        Its successor has to wait for grants that the leader may have made
        longer, before the target's keys have an owner again: ten seconds, in
        which callers are refused. Where others reached the store all the time
        none were, and the leader says so when it follows the next one.
        """

        async def main():
            store, orders = fakes.Store(), fakes.Orders()
            targets = [fakes.target(n) for n in ("a", "b", "c")]
            clock = fakes.VirtualClock()
            stores = [fakes.Cut(store) for _ in range(2)]
            one, two = (
                Vm(f"vm-{i + 1}", stores[i], orders, targets, clock)
                for i in range(2)
            )
            await one.leading.take_over("test")
            await _until(lambda: _owned(orders, 0))
            stores[0].failing = fakes.UNAVAILABLE
            for _ in range(20):
                await asyncio.sleep(0.2)
                report = two.report(reaches_store=others_reach)
                two.leading.hear(one.leading.take_report(report))
            orders.dead.add("a")
            assert await two.leading.take_over("test")
            one.leading.step_down("replaced")
            word = None if restarted else one.leading.longer_grants()
            two.leading.take_report(one.report(extended_grants=word))
            began = virtual.now()
            await _until(lambda: orders.holders(0) - {"a"} != set(), seconds=60)
            assert least < virtual.now() - began < most
            assert orders.clashes == []
            two.leading.step_down("end")

        virtual.run(main())

    def test_never_led(self):
        """A VM that has not led since its start has nothing to say."""

        async def main():
            _, _, (one,) = _world("vm-1")
            assert one.leading.longer_grants() is None
            await one.leading.take_over("test")
            one.leading.step_down("end")
            assert one.leading.longer_grants() is not None

        virtual.run(main())


class TestFullLink:
    """Orders of a leader that wait before a link between regions."""

    @pytest.mark.parametrize("says", [True, False])
    @pytest.mark.parametrize("wait", [0.0, 0.3, 0.6, 0.9])
    def test_arrive_after_it_was_replaced(self, wait, says):
        """Guards against keys given away while such an order arrives.

        The leader stops and follows its successor, or a witness shows when it
        had to stop; what it sent until then arrives up to a second later.
        """

        async def main():
            store, orders = fakes.Store(), fakes.Orders()
            targets = [
                fakes.target(n, zone=zone)
                for n, zone in (("a", "far"), ("b", "z"), ("c", "z"))
            ]
            clock = fakes.VirtualClock()
            reach = [fakes.Cut(orders) for _ in range(2)]
            one, two = (
                Vm(f"vm-{i + 1}", store, reach[i], targets, clock)
                for i in range(2)
            )
            await one.leading.take_over("test")
            await _until(lambda: _owned(orders, 0))
            await asyncio.sleep(1.0 + wait)
            orders.queued["a"] = 0.9
            reach[1].refused = {"a"}
            await asyncio.sleep(0.6)
            await two.leading.take_over("test")
            one.leading.step_down("replaced")
            if says:
                word = one.leading.longer_grants()
                two.leading.take_report(one.report(extended_grants=word))
            await _until(lambda: orders.holders(0) - {"a"} != set(), seconds=60)
            assert orders.clashes == []
            two.leading.step_down("end")

        virtual.run(main())


class TestThirdLeader:
    """Leaders follow each other faster than the first one notices."""

    def test_waits_for_the_first_one(self):
        """A leader is cut off from the store and renews on.

        Its successor dies at once; that one's successor knows that it has
        ended, but nothing of the first. A target that only the first reaches
        still holds its keys.
        """

        async def main():
            store, orders = fakes.Store(), fakes.Orders()
            targets = [fakes.target(n) for n in ("a", "b", "c")]
            clock = fakes.VirtualClock()
            stores = [fakes.Cut(store) for _ in range(3)]
            reach = [fakes.Cut(orders) for _ in range(3)]
            one, two, three = (
                Vm(f"vm-{i + 1}", stores[i], reach[i], targets, clock)
                for i in range(3)
            )
            await one.leading.take_over("test")
            await _until(lambda: _owned(orders, 0))
            await asyncio.sleep(1.0)
            stores[0].failing = fakes.UNAVAILABLE
            reach[1].dead = reach[2].dead = {"a"}
            await two.leading.take_over("test")
            two.leading.step_down("killed")
            await three.leading.take_over("test")
            # The second one's next run reports.
            three.leading.take_report(two.report())
            await asyncio.sleep(16.0)
            assert orders.clashes == []
            assert _owned(orders, 0)
            one.leading.step_down("end")
            three.leading.step_down("end")

        virtual.run(main())


class TestPartialCut:
    """Some VMs are cut off from the store, the leader among them."""

    @pytest.mark.parametrize(("cut", "most"), [(1, 2.0), (2, 2.0), (4, 3.0)])
    def test_another_one_leads_soon(self, cut, most):
        """The leader and the VMs that it asks first do not reach the store.

        These have made no call for a while and do not know it. As long as
        nobody leads that reaches the store, no table changes and the keys of
        a lost target are refused.
        """

        async def main():
            store, orders = fakes.Store(), fakes.Orders()
            targets = [fakes.target(n) for n in ("a", "b", "c")]
            clock = fakes.VirtualClock()
            stores = [fakes.Cut(store) for _ in range(6)]
            vms = [
                Vm(f"vm-{i}", stores[i], orders, targets, clock)
                for i in range(6)
            ]
            first, *others = vms
            await first.leading.take_over("test")
            await _until(lambda: _owned(orders, 0))
            for cut_off in stores[:cut]:
                cut_off.failing = fakes.UNAVAILABLE
            began = virtual.now()
            while not any(vm.leading.leading for vm in others):
                await asyncio.sleep(0.2)
                for vm in others:
                    if first.leading.take_report(vm.report()).take_over:
                        await vm.leading.take_over("asked to")
            assert virtual.now() - began < most
            await asyncio.sleep(1.0)
            assert sum(vm.leading.leading for vm in others) == 1
            assert orders.clashes == []
            assert _owned(orders, 0)
            for vm in vms:
                vm.leading.step_down("end")

        virtual.run(main())


class TestStoreTrouble:
    """The store fails a leader."""

    def test_outage(self):
        """The store is down for longer than a grant lasts.

        Nobody can take over, so the leader goes on renewing.
        """

        async def main():
            store, orders, (one,) = _world("vm-1")
            await one.leading.take_over("test")
            await _until(lambda: _owned(orders, 0))
            store.failing = fakes.UNAVAILABLE
            for _ in range(90):
                await asyncio.sleep(0.1)
                assert _owned(orders, 0)
            store.failing = None
            await asyncio.sleep(3.0)
            assert one.leading.leading
            assert _owned(orders, 0)
            one.leading.step_down("end")

        virtual.run(main())

    def test_outage_without_end(self):
        """The store stays away; the leader stops giving orders in time.

        A successor that it does not hear of counts on that.
        """

        async def main():
            store, orders, (one,) = _world("vm-1")
            await one.leading.take_over("test")
            await _until(lambda: _owned(orders, 0))
            store.failing = fakes.UNAVAILABLE
            began = virtual.now()
            await asyncio.sleep(14.0)
            orders.log.clear()
            await asyncio.sleep(5.0)
            assert orders.log == []
            assert began + 19 > 12 + 2
            one.leading.step_down("end")

        virtual.run(main())

    def test_commit_without_answer(self):
        """A change is made and its answer is lost, again and again.

        The leader finds out what is in force; no key has two owners and the
        target that leaves is relieved.
        """

        async def main():
            store, orders, (one,) = _world("vm-1")
            await one.leading.take_over("test")
            await _until(lambda: _owned(orders, 0))
            store.loses = True
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
            one.leading.step_down("end")

        virtual.run(main())

    def test_asks_for_a_successor(self):
        """The store turns this VM away and serves another one.

        Keys could not move until this VM is let in again; the other one is
        asked to take over. It tells what the store holds meanwhile. Once no
        VM reaches the store, all are told to look for themselves.
        """

        async def main():
            store, orders, (one, two) = _world("vm-1", "vm-2")
            await one.leading.take_over("test")
            await _until(lambda: _owned(orders, 0))
            store.failing = fakes.UNAVAILABLE
            asked = False
            while not asked:
                await asyncio.sleep(0.2)
                reply = one.leading.take_report(two.report())
                asked = reply.take_over
            assert one.log.named("asks_successor")[0]["successors"] == ("vm-2",)
            assert reply.store
            for _ in range(20):
                await asyncio.sleep(0.2)
                reply = one.leading.take_report(two.report())
            assert reply.store
            reply = one.leading.take_report(two.report(reaches_store=False))
            assert not reply.store
            one.leading.step_down("end")

        virtual.run(main())

    @pytest.mark.parametrize("raw", [b"", b"{}", b'{"service": 1}', b"\xff"])
    def test_unreadable_table(self, raw):
        """What stands under a table's key cannot be read.

        The leader says so and goes on; it makes a table of its own only once
        the key is free.
        """

        async def main():
            store, _, (one,) = _world("vm-1")
            store.items[messages.table_key("s")] = (raw, 1)
            assert await one.leading.take_over("test")
            await asyncio.sleep(1.0)
            assert one.log.named("table_unreadable")
            assert store.items[messages.table_key("s")][0] == raw
            one.leading.step_down("end")

        virtual.run(main())


class TestReports:
    """What VMs hear."""

    def test_not_the_leader(self):
        """A VM that does not lead says who does."""
        entry = leadership.LeaderEntry("vm-9", "b", 3, "x:1")

        async def main():
            _, _, (one,) = _world("vm-1")
            one.cluster.record_leader(entry)
            reply = one.leading.take_report(one.report())
            assert (reply.leading, reply.leader) == (False, entry)

        virtual.run(main())

    def test_contended_target_has_a_gate(self):
        """Many VMs want one target; all hear of the same gate."""

        async def main():
            _, orders, (one, two, three) = _world("vm-1", "vm-2", "vm-3")
            await one.leading.take_over("test")
            told = []
            for vm in (two, three, two, three):
                reply = one.leading.take_report(
                    vm.report(under_way={"a": 8}, waiting={"a": 10})
                )
                told.append(reply.gates)
                await asyncio.sleep(0.2)
            assert told[2] == told[3]
            assert told[2].keys() == {"a"}
            one.leading.step_down("end")

        virtual.run(main())

    def test_stopping_vm_is_no_gate(self):
        """A VM that is about to end is named for no target."""

        async def main():
            _, orders, (one, two) = _world("vm-1", "vm-2")
            await one.leading.take_over("test")
            for _ in range(2):
                reply = one.leading.take_report(
                    two.report(under_way={"a": 8}, stopping=True)
                )
                await asyncio.sleep(0.2)
            assert reply.gates == {}
            one.leading.step_down("end")

        virtual.run(main())

    def test_news_of_a_watcher(self):
        """The leader's own view of the store stands still.

        A target leaves; a VM that follows the store as well tells the leader,
        and every other VM hears of it: one that no message reaches, with the
        answer to its report.
        """

        async def main():
            _, _, (one, two) = _world("vm-1", "vm-2")
            await one.leading.take_over("test")
            leaving = fakes.target("a", leaving=True, revision=9)
            news = messages.StateUpdate(
                0, 9, (messages.TargetUpdate(leaving, 9, False, 0.0),)
            )
            one.leading.take_report(two.report(state_update=news))
            one.leading.take_report(two.report(seen=5))
            await asyncio.sleep(0.1)
            reply = one.leading.take_report(two.report(seen=5))
            told = {
                n.target.id: n.target.leaving
                for n in reply.state_update.targets
            }
            assert told == {"a": True}
            one.leading.step_down("end")

        virtual.run(main())

    def test_write_without_value_type(self):
        """Sessions and writes are plain values."""
        assert ports.Write("k", b"v").session == 0


class TestEvacuation:
    """Keys leave targets of an evacuated zone."""

    @staticmethod
    def _world(per_zone, vms=("vm-1", "vm-2")):
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
        """Guards against keys whose owner gets nothing any more."""

        async def main():
            orders, (one, _) = self._world(per_zone)
            await one.leading.take_over("test")
            await _until(lambda: len(self._holders(orders)) >= per_zone)
            await asyncio.sleep(2.0)
            one.cluster.apply_evacuations(eligibility.Evacuations(("z",), 9))
            await asyncio.sleep(1.0)
            assert all(n.startswith("far") for n in self._holders(orders))
            assert all(_owned(orders, k) for k in (0, 30000, 65535))
            assert orders.clashes == []
            one.leading.step_down("end")

        virtual.run(main())

    def test_leader_is_replaced_meanwhile(self):
        """Guards against two owners when the leader changes in between."""

        async def main():
            orders, (one, two) = self._world(8)
            await one.leading.take_over("test")
            await _until(lambda: _owned(orders, 0))
            await asyncio.sleep(1.0)
            evacuated = eligibility.Evacuations(("z",), 9)
            one.cluster.apply_evacuations(evacuated)
            await asyncio.sleep(0.3)
            one.leading.step_down("killed")
            two.cluster.apply_evacuations(evacuated)
            await two.leading.take_over("test")
            await asyncio.sleep(8.0)
            assert all(n.startswith("far") for n in self._holders(orders))
            assert orders.clashes == []
            two.cluster.apply_evacuations(eligibility.Evacuations((), 11))
            await asyncio.sleep(1.0)
            two.cluster.apply_evacuations(eligibility.Evacuations(("far",), 12))
            await asyncio.sleep(4.0)
            assert all(n.startswith("z-") for n in self._holders(orders))
            assert orders.clashes == []
            two.leading.step_down("end")

        virtual.run(main())

    def test_nowhere_to_go(self):
        """Guards against keys without an owner while all is evacuated."""

        async def main():
            orders, (one, _) = self._world(2)
            await one.leading.take_over("test")
            await _until(lambda: _owned(orders, 0))
            one.cluster.apply_evacuations(
                eligibility.Evacuations(("far", "z"), 9)
            )
            await asyncio.sleep(4.0)
            assert all(_owned(orders, k) for k in (0, 30000, 65535))
            one.leading.step_down("end")

        virtual.run(main())
