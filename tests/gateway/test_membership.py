"""A VM among its peers: when it reports, and what it asks the store."""

import asyncio
import collections

import msgspec
import pytest

from mimosastile_core.gateway import crash_detection
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import load_balancing
from mimosastile_gateway import admission_service
from mimosastile_gateway import datagrams
from mimosastile_gateway import leader_role
from mimosastile_gateway import membership
from mimosastile_gateway import messages
from mimosastile_gateway import store_watching
from mimosastile_gateway import wait_queues
from mimosastile_platform import records
from mimosastile_standins import virtual
from tests.gateway import fakes

ENTRY = leadership.LeaderEntry("vm-2", "b", 3, "two:1")


class Calls:
    """A leader that answers reports, if it is there.

    Attributes:
        reports: Reports with the time of each.
        missing: Addresses that do not answer.
    """

    def __init__(self):
        self.reports = []
        self.missing = set()

    async def call(self, address, path, body, timeout, *, fresh=False):
        """Answers a report."""
        if address in self.missing:
            return None
        if path == messages.REPORT_PATH:
            report = messages.decode(body, messages.Report)
            self.reports.append((virtual.now(), report))
            reply = messages.ReportReply(ENTRY, leading=True, store=True)
            return messages.encode(reply)
        return messages.encode(messages.UpdateAck())


class Store(fakes.Store):
    """Counts lists by prefix."""

    def __init__(self):
        super().__init__()
        self.lists = collections.Counter()

    async def list(self, prefix, *, stale=False):
        """Counts a list."""
        self.lists[prefix] += 1
        return await super().list(prefix, stale=stale)


def _peers(configured, known, store, calls, timer, log):
    """Makes a VM's part among its peers."""
    vm = configured.vm.id
    leader = leader_role.LeaderRole(
        configured,
        f"boot-{vm}",
        store,
        fakes.Orders(),
        calls,
        known,
        timer,
        log,
    )
    return membership.Membership(
        configured,
        f"boot-{vm}",
        store,
        calls,
        known,
        load_balancing.LoadBalancer(
            load_balancing.Location("z", "r"),
            {"z": "r"},
            load_balancing.Policy(),
        ),
        leader,
        wait_queues.WaitQueues(),
        admission_service.AdmissionService(
            configured, datagrams.Channel(log), known, timer
        ),
        store_watching.StoreWatcher(
            configured.store, store, records.Records(), known, timer, log
        ),
        crash_detection.CrashDetector(),
        timer,
        log,
    )


def _play(scenario):
    async def main():
        timer, log = fakes.VirtualClock(), fakes.MemoryEvents()
        known = fakes.new_cluster_state(timer, log, fakes.target("a"))
        store, calls = Store(), Calls()
        made = _peers(fakes.configured(), known, store, calls, timer, log)
        await scenario(made, known, store, calls)
        made.abort()

    virtual.run(main())


def _announced():
    return messages.ReportReply(ENTRY, leading=True)


class TestReports:
    """When a VM reports, and what."""

    def test_at_once_to_a_new_leader(self):
        """All VMs were lost; one leads again and says so.

        Nobody is served before VMs have heard configuration and targets, and
        they hear them when they have reported.
        """

        async def scenario(made, known, store, calls):
            made.start()
            await asyncio.sleep(0.05)
            began = virtual.now()
            made.apply_push(_announced())
            await asyncio.sleep(0.05)
            assert calls.reports
            assert calls.reports[0][0] - began < 0.02

        _play(scenario)

    def test_refused_requests_are_wanted(self):
        """A VM refuses at once what it has no turn for.

        If only waiting requests counted as need, it would never get a turn,
        and its callers would be refused for as long as the key is hot.
        """

        async def scenario(made, known, store, calls):
            made.start()
            made.apply_push(_announced())
            made.report_full_target("a")
            made.report_full_target("a")
            await asyncio.sleep(0.1)
            assert calls.reports[0][1].waiting == {"a": 2}
            await asyncio.sleep(0.5)
            assert calls.reports[-1][1].waiting == {}

        _play(scenario)


class TestViews:
    """How old a VM takes its views of the store for."""

    @pytest.mark.parametrize("way", [0.01, 0.3])
    def test_answer_that_takes_its_time(self, way):
        """Guards against a leader's answer that is held up and looks fresh."""

        async def scenario(made, known, store, calls):
            reply = messages.ReportReply(
                ENTRY,
                leading=True,
                store=True,
                configuration=known.version,
                stamp=100.0,
                seen_age=0.5,
                configuration_age=0.7,
            )
            made.apply_push(_announced())
            made._reported_at = virtual.now()
            await asyncio.sleep(way)
            made._take_reply(reply)
            assert fakes.view_ages(known) == (
                pytest.approx(0.5 + way),
                pytest.approx(0.7 + way),
            )

        _play(scenario)

    @pytest.mark.parametrize("way", [0.0, 1.5])
    def test_news_that_are_held_up(self, way):
        """Guards against a grace that begins when late news arrive."""

        async def scenario(made, known, store, calls):
            made.apply_push(_announced())
            made._reported_at = virtual.now()
            await asyncio.sleep(0.02)
            made._take_reply(
                messages.ReportReply(ENTRY, leading=True, stamp=100.01)
            )
            await asyncio.sleep(1.0)
            leaving = messages.TargetUpdate(
                fakes.target("a", leaving=True, revision=7), 7, False, 0.0, 0.2
            )
            told = messages.ReportReply(
                ENTRY,
                leading=True,
                news=messages.StateUpdate(0, 7, (leaving,)),
                stamp=101.01,
            )
            said_at = virtual.now() - 0.2
            await asyncio.sleep(way)
            made.apply_push(told)
            since = known.directory.get("a").since
            assert said_at - 0.05 < since <= said_at

        _play(scenario)

    def test_told_to_a_leader(self):
        """Guards against a leader that is cut off and takes its view for new.

        A VM that follows the store beside it names times of its clock.
        """

        async def scenario(made, known, store, calls):
            made.apply_push(_announced())
            made._take_reply(
                messages.ReportReply(ENTRY, leading=True, stamp=100.0)
            )
            await asyncio.sleep(2.0)
            known.registrations.note(virtual.now() - 0.5)
            report = made._make_report()
            assert report.seen_at == pytest.approx(101.5)
            assert report.configuration_at is None

        _play(scenario)


class TestStore:
    """What a VM reads when it starts."""

    @pytest.mark.parametrize(("told", "lists"), [(True, 0), (False, 1)])
    def test_told_by_a_leader(self, told, lists):
        """Whoever has heard a leader before it is registered reads nothing.

        After a loss of power a hundred VMs would otherwise read all tables
        at the same time.
        """

        async def scenario(made, known, store, calls):
            if told:
                made.apply_push(_announced())
                await made._report_once()
                assert calls.reports
            assert await made._registered()
            assert store.lists[messages.LEADER_KEY] == lists
            assert not store.lists[messages.STORE_PREFIX]

        _play(scenario)

    def test_silent_leader(self):
        """The leader falls silent; who else is there is read then."""

        async def scenario(made, known, store, calls):
            calls.missing = {"two:1"}
            made.start()
            made.apply_push(_announced())
            await asyncio.sleep(0.5)
            assert not store.lists[messages.VM_PREFIX]
            await asyncio.sleep(3.0)
            assert store.lists[messages.VM_PREFIX]
            assert known.leader.vm == "vm-1"

        _play(scenario)


class TestFindsLeader:
    """A VM that no announcement has reached."""

    def test_looks_for_it(self):
        """Guards against a VM that waits for its turn among hundreds.

        It registered after the leader's announcement, and would go after all
        others in replacing a leader that is well.
        """

        async def scenario(made, known, store, calls):
            names = [f"vm-{n:03}" for n in range(300)]
            known.vms = {
                n: messages.VmEntry(n, "b", "", "z", 1.0) for n in names
            }
            entry = leadership.LeaderEntry("vm-2", "b", 3, "two:1")
            made.start()
            await asyncio.sleep(0.5)
            store.items[messages.LEADER_KEY] = (msgspec.json.encode(entry), 9)
            await asyncio.sleep(5.0)
            assert known.leader == entry
            assert calls.reports

        _play(scenario)


class TestOnsetOfACrowd:
    """One key gets much of the traffic from one moment to the next."""

    def test_full_target_is_reported_soon(self):
        """Guards against a second in which all VMs send to a full target."""

        async def scenario(made, known, store, calls):
            known.vms = {f"vm-{n}": None for n in range(200)}
            made.start()
            made.apply_push(_announced())
            await asyncio.sleep(0.45)
            before = len(calls.reports)
            made.report_full_target("a")
            await asyncio.sleep(0.05)
            assert len(calls.reports) == before + 1
            assert calls.reports[-1][1].waiting == {"a": 1}
            # Not with each request.
            for _ in range(20):
                made.report_full_target("a")
                await asyncio.sleep(0.01)
            assert len(calls.reports) == before + 1

        _play(scenario)

    def test_new_gate_is_told_at_once(self):
        """Guards against a gate that VMs hear of with their next report."""

        async def scenario(made, known, store, calls):
            made.start()
            made.apply_push(_announced())
            await asyncio.sleep(0.1)
            told = messages.ReportReply(
                ENTRY, leading=True, gates={"a": "gate:1"}
            )
            made.apply_push(told)
            assert made._balancer.gate("a", virtual.now()) == "gate:1"

        _play(scenario)


class Crowd:
    """Many VMs with one store; what one tells reaches the others.

    Attributes:
        vms: Their parts among peers, by address.
    """

    def __init__(self, count, store):
        self.vms = {}
        self._leaders = {}
        timer = fakes.VirtualClock()
        for number in range(count):
            base = fakes.configured()
            name = f"vm-{number:03}"
            vm = msgspec.structs.replace(base.vm, id=name, peers=name)
            log = fakes.MemoryEvents()
            known = fakes.new_cluster_state(timer, log, fakes.target("a"))
            self.vms[name] = _peers(
                msgspec.structs.replace(base, vm=vm),
                known,
                store,
                self,
                timer,
                log,
            )

    async def call(self, address, path, body, timeout, *, fresh=False):
        """Delivers a message after a while."""
        await asyncio.sleep(0.01)
        other = self.vms.get(address)
        if other is None:
            return None
        if path == messages.ASSIGN_PATH:
            other.apply_push(messages.decode(body, messages.ReportReply))
            return messages.encode(messages.UpdateAck())
        if path == messages.REPORT_PATH:
            report = messages.decode(body, messages.Report)
            return messages.encode(other._leader.handle_report(report))
        if path == messages.HEARD_PATH:
            return messages.encode(other.leader_contact())
        return b"{}"


class TestManyVms:
    """What a store sees of hundreds of VMs."""

    @pytest.mark.parametrize("count", [12, 195, 600])
    def test_start(self, count):
        """Guards against a start at which all VMs read all that there is.

        Over a narrow link that takes longer than any of them waits, so each
        asks again and the link stays full.
        """
        store = Store()

        async def main():
            crowd = Crowd(count, store)
            for vm in crowd.vms.values():
                vm.start()
            await asyncio.sleep(4.0)
            leaders = {vm._cluster.leader for vm in crowd.vms.values()}
            assert len(leaders) == 1
            whole = store.lists[messages.VM_PREFIX]
            whole += store.lists[messages.STORE_PREFIX]
            assert whole < 80
            for vm in crowd.vms.values():
                vm._leader.step_down("end")
                vm.abort()

        virtual.run(main())

    def test_lost_leader(self):
        """Guards against hundreds of VMs that read everything at a loss."""
        store = Store()

        async def main():
            crowd = Crowd(200, store)
            for vm in crowd.vms.values():
                vm.start()
            await asyncio.sleep(4.0)
            first = crowd.vms["vm-000"]._cluster.leader
            lost = crowd.vms.pop(first.vm)
            lost._leader.step_down("killed")
            lost.abort()
            store.lists.clear()
            await asyncio.sleep(4.0)
            epochs = {vm._cluster.leader.epoch for vm in crowd.vms.values()}
            assert epochs == {first.epoch + 1}
            assert store.lists[messages.VM_PREFIX] < 40
            for vm in crowd.vms.values():
                vm._leader.step_down("end")
                vm.abort()

        virtual.run(main())
