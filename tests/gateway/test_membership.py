"""Tests of a VM's reports to its leader, failover, and load on the store."""

import asyncio
import collections

import msgspec
import pytest

from mimosastile_core.gateway import crash_detection
from mimosastile_core.gateway import forwarding_peers
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
    """Simulates a leader that responds to reports.

    Attributes:
        reports: Received reports, each with its time.
        missing: Addresses that do not respond.
    """

    def __init__(self):
        self.reports = []
        self.missing = set()

    async def call(self, address, path, body, timeout, *, fresh=False):
        """Responds to a report."""
        if address in self.missing:
            return None
        if path == messages.REPORT_PATH:
            report = messages.decode(body, messages.Report).unwrap()
            self.reports.append((virtual.now(), report))
            reply = messages.ReportReply(ENTRY, leading=True, store=True)
            return messages.encode(reply)
        return messages.encode(messages.UpdateAck())


class Store(fakes.Store):
    """A store that counts lists by prefix."""

    def __init__(self):
        super().__init__()
        self.lists = collections.Counter()

    async def list(self, prefix, *, stale=False):
        """Counts a list."""
        self.lists[prefix] += 1
        return await super().list(prefix, stale=stale)


def _member(configured, state, store, calls, timer, log):
    """Returns the membership of one VM."""
    vm = configured.vm.id
    monitor = fakes.new_reach_monitor(state, timer, log)
    leader = leader_role.LeaderRole(
        configured,
        f"boot-{vm}",
        store,
        fakes.Orders(),
        calls,
        state,
        monitor,
        timer,
        log,
    )
    return membership.Membership(
        configured,
        f"boot-{vm}",
        store,
        calls,
        state,
        load_balancing.LoadBalancer(
            load_balancing.Location("z", "r"),
            {"z": "r"},
            load_balancing.Policy(),
        ),
        leader,
        wait_queues.WaitQueues(),
        admission_service.AdmissionService(
            configured, datagrams.Channel(log), state, timer
        ),
        store_watching.StoreWatcher(
            configured.store, store, records.RecordDecoder(), state, timer, log
        ),
        crash_detection.CrashDetector(),
        monitor,
        timer,
        log,
    )


def _run(scenario):
    async def main():
        timer, log = fakes.VirtualClock(), fakes.MemoryEvents()
        state = fakes.new_cluster_state(timer, log, fakes.target("a"))
        store, calls = Store(), Calls()
        member = _member(fakes.configured(), state, store, calls, timer, log)
        await scenario(member, state, store, calls)
        member.abort()

    virtual.run(main())


def _announced():
    return messages.ReportReply(ENTRY, leading=True)


class TestReports:
    """The time and content of reports."""

    def test_at_once_to_a_new_leader(self):
        """Guards against a late report after an outage of all VMs.

        No caller is served until VMs have the configuration and the targets,
        which the new leader sends in response to reports.
        """

        async def scenario(member, state, store, calls):
            member.start()
            await asyncio.sleep(0.05)
            began = virtual.now()
            member.apply_push(_announced())
            await asyncio.sleep(0.05)
            assert calls.reports
            assert calls.reports[0][0] - began < 0.02

        _run(scenario)

    def test_refused_requests_count_as_demand(self):
        """Guards against a VM that never gets a share of a contended target.

        A VM refuses at once the requests for which it has no time slot. If only
        waiting requests counted as demand, it would never get one, and would
        refuse its callers for as long as the key is hot.
        """

        async def scenario(member, state, store, calls):
            member.start()
            member.apply_push(_announced())
            member.report_full_target("a")
            member.report_full_target("a")
            await asyncio.sleep(0.1)
            assert calls.reports[0][1].waiting == {"a": 2}
            await asyncio.sleep(0.5)
            assert calls.reports[-1][1].waiting == {}

        _run(scenario)


class TestRequestToLead:
    """Requests to lead in responses to reports."""

    @pytest.mark.parametrize("replaced", [False, True])
    def test_leader_replaced_meanwhile(self, replaced):
        """Guards against VMs that replace a leader which another one asked."""

        async def scenario(member, state, store, calls):
            member.apply_push(_announced())
            if replaced:
                state.record_leader(
                    msgspec.structs.replace(ENTRY, vm="vm-3", epoch=4)
                )
            member._take_reply(
                messages.ReportReply(ENTRY, leading=True, take_over=True)
            )
            await asyncio.sleep(0.1)
            assert (messages.LEADER_KEY in store.items) is not replaced

        _run(scenario)


class TestViews:
    """The age of a VM's views of the store."""

    @pytest.mark.parametrize("delay", [0.01, 0.3])
    def test_delayed_response(self, delay):
        """Guards against a view dated by the arrival of a delayed response."""

        async def scenario(member, state, store, calls):
            reply = messages.ReportReply(
                ENTRY,
                leading=True,
                store=True,
                configuration=state.version,
                stamp=100.0,
                seen_age=0.5,
                configuration_age=0.7,
            )
            member.apply_push(_announced())
            member._reported_at = virtual.now()
            await asyncio.sleep(delay)
            member._take_reply(reply)
            assert fakes.view_ages(state) == (
                pytest.approx(0.5 + delay),
                pytest.approx(0.7 + delay),
            )

        _run(scenario)

    @pytest.mark.parametrize("delay", [0.0, 1.5])
    def test_delayed_update(self, delay):
        """Guards against a grace period dated by a delayed update's arrival."""

        async def scenario(member, state, store, calls):
            member.apply_push(_announced())
            member._reported_at = virtual.now()
            await asyncio.sleep(0.02)
            member._take_reply(
                messages.ReportReply(ENTRY, leading=True, stamp=100.01)
            )
            await asyncio.sleep(1.0)
            leaving = messages.TargetUpdate(
                fakes.target("a", leaving=True, revision=7), 7, False, 0.0, 0.2
            )
            update = messages.ReportReply(
                ENTRY,
                leading=True,
                state_update=messages.StateUpdate(0, 7, (leaving,)),
                stamp=101.01,
            )
            changed_at = virtual.now() - 0.2
            await asyncio.sleep(delay)
            member.apply_push(update)
            since = state.directory.get("a").since
            assert changed_at - 0.05 < since <= changed_at

        _run(scenario)

    def test_reported_to_a_leader(self):
        """Guards against an outdated view of a leader that is cut off.

        A VM that also watches the store reports times of the leader's clock.
        """

        async def scenario(member, state, store, calls):
            member.apply_push(_announced())
            member._take_reply(
                messages.ReportReply(ENTRY, leading=True, stamp=100.0)
            )
            await asyncio.sleep(2.0)
            state.registrations_freshness.record(virtual.now() - 0.5)
            report = member._make_report()
            assert report.seen_at == pytest.approx(101.5)
            assert report.configuration_at is None

        _run(scenario)


class TestStore:
    """Reads of the store during start-up and failover."""

    @pytest.mark.parametrize(("announced", "lists"), [(True, 0), (False, 1)])
    def test_leader_before_registration(self, announced, lists):
        """Guards against a hundred VMs that read all tables at once.

        That would happen after a power failure. A VM that has received a
        leader's messages before its registration reads nothing.
        """

        async def scenario(member, state, store, calls):
            if announced:
                member.apply_push(_announced())
                await member._report_once()
                assert calls.reports
            assert await member._registered()
            assert store.lists[messages.LEADER_KEY] == lists
            assert not store.lists[messages.STORE_PREFIX]

        _run(scenario)

    def test_silent_leader(self):
        """The list of VMs is read only when the leader does not respond."""

        async def scenario(member, state, store, calls):
            calls.missing = {"two:1"}
            member.start()
            member.apply_push(_announced())
            await asyncio.sleep(0.5)
            assert not store.lists[messages.VM_PREFIX]
            await asyncio.sleep(3.0)
            assert store.lists[messages.VM_PREFIX]
            assert state.leader.vm == "vm-1"

        _run(scenario)


class TestFindsLeader:
    """A VM that has missed the leader's announcement."""

    def test_looks_up_the_leader(self):
        """Guards against a VM without a leader for as long as its rank demands.

        It registered after the announcement. Among hundreds of VMs it would
        wait for all others to take over, although the leader is healthy.
        """

        async def scenario(member, state, store, calls):
            names = [f"vm-{n:03}" for n in range(300)]
            state.vms = {
                n: messages.VmEntry(n, "b", "", "z", 1.0) for n in names
            }
            entry = leadership.LeaderEntry("vm-2", "b", 3, "two:1")
            member.start()
            await asyncio.sleep(0.5)
            store.items[messages.LEADER_KEY] = (msgspec.json.encode(entry), 9)
            await asyncio.sleep(5.0)
            assert state.leader == entry
            assert calls.reports

        _run(scenario)


class TestSuddenHotKey:
    """One key suddenly gets much of the traffic."""

    def test_full_target_is_reported_early(self):
        """Guards against a second in which all VMs send to a full target."""

        async def scenario(member, state, store, calls):
            state.vms = {f"vm-{n}": None for n in range(200)}
            member.start()
            member.apply_push(_announced())
            await asyncio.sleep(0.45)
            before = len(calls.reports)
            member.report_full_target("a")
            await asyncio.sleep(0.05)
            assert len(calls.reports) == before + 1
            assert calls.reports[-1][1].waiting == {"a": 1}
            # Further requests cause no further reports.
            for _ in range(20):
                member.report_full_target("a")
                await asyncio.sleep(0.01)
            assert len(calls.reports) == before + 1

        _run(scenario)

    def test_new_gate_is_sent_at_once(self):
        """Guards against new admission gates sent only with the next report."""

        async def scenario(member, state, store, calls):
            member.start()
            member.apply_push(_announced())
            await asyncio.sleep(0.1)
            update = messages.ReportReply(
                ENTRY, leading=True, gates={"a": "gate:1"}
            )
            member.apply_push(update)
            assert member._balancer.gate("a", virtual.now()) == "gate:1"

        _run(scenario)


class Cluster:
    """Many VMs with one store that exchange messages.

    Attributes:
        vms: The membership of each VM, by address.
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
            state = fakes.new_cluster_state(timer, log, fakes.target("a"))
            self.vms[name] = _member(
                msgspec.structs.replace(base, vm=vm),
                state,
                store,
                self,
                timer,
                log,
            )

    async def call(self, address, path, body, timeout, *, fresh=False):
        """Delivers a message after a short delay."""
        await asyncio.sleep(0.01)
        other = self.vms.get(address)
        if other is None:
            return None
        if path == messages.ASSIGN_PATH:
            other.apply_push(
                messages.decode(body, messages.ReportReply).unwrap()
            )
            return messages.encode(messages.UpdateAck())
        if path == messages.REPORT_PATH:
            report = messages.decode(body, messages.Report).unwrap()
            return messages.encode(other._leader.handle_report(report))
        if path == messages.LEADER_CONTACT_PATH:
            return messages.encode(other.leader_contact())
        return b"{}"


class TestManyVms:
    """The load of hundreds of VMs on the store."""

    @pytest.mark.parametrize("count", [12, 195, 600])
    def test_start(self, count):
        """Guards against a start at which all VMs read the complete state.

        Over a narrow link that takes longer than any VM waits, so each VM
        retries and the link stays full.
        """
        store = Store()

        async def main():
            cluster = Cluster(count, store)
            for vm in cluster.vms.values():
                vm.start()
            await asyncio.sleep(4.0)
            leaders = {vm._cluster.leader for vm in cluster.vms.values()}
            assert len(leaders) == 1
            whole = store.lists[messages.VM_PREFIX]
            whole += store.lists[messages.STORE_PREFIX]
            assert whole < 80
            for vm in cluster.vms.values():
                vm._leader.step_down("end")
                vm.abort()

        virtual.run(main())

    def test_lost_leader(self):
        """Guards against a full read by hundreds of VMs on leader loss."""
        store = Store()

        async def main():
            cluster = Cluster(200, store)
            for vm in cluster.vms.values():
                vm.start()
            await asyncio.sleep(4.0)
            first = cluster.vms["vm-000"]._cluster.leader
            lost = cluster.vms.pop(first.vm)
            lost._leader.step_down("killed")
            lost.abort()
            store.lists.clear()
            await asyncio.sleep(4.0)
            epochs = {vm._cluster.leader.epoch for vm in cluster.vms.values()}
            assert epochs == {first.epoch + 1}
            assert store.lists[messages.VM_PREFIX] < 40
            for vm in cluster.vms.values():
                vm._leader.step_down("end")
                vm.abort()

        virtual.run(main())


class TestForwardingPeers:
    """Peers through which a VM reaches targets that it does not reach."""

    _LEADER = leadership.LeaderEntry("vm-9", "b", 3, "leader:1")
    _PEER = forwarding_peers.Peer("peer:1", "z")

    def _listed(self, vms, peers):
        return messages.ReportReply(
            self._LEADER, leading=True, vms=vms, peers=peers
        )

    @pytest.mark.parametrize(
        ("vms", "seconds", "valid"),
        [
            (10, 1.0, True),
            (10, 2.0, False),
            (300, 2.0, True),
            (300, 3.0, False),
            (1000, 8.0, True),
        ],
    )
    def test_list_lasts_until_next_reports(self, vms, seconds, valid):
        """Guards against a leader of many VMs that gets all their requests."""

        async def scenario(member, state, store, calls):
            member._take_reply(self._listed(vms, (self._PEER,)))
            await asyncio.sleep(seconds)
            addresses = [peer.address for peer in member.forwarding_peers()]
            known = ["leader:1"] if vms <= 30 else []
            assert addresses == (["peer:1"] if valid else known)

        _run(scenario)

    def test_no_peer_reaches_more(self):
        """Guards against requests to a leader that has no path either."""

        async def scenario(member, state, store, calls):
            member._take_reply(self._listed(10, ()))
            assert not list(member.forwarding_peers())

        _run(scenario)

    def test_reply_without_list(self):
        """A reply to a report that wants no peers leaves the list as it is."""

        async def scenario(member, state, store, calls):
            member._take_reply(self._listed(10, (self._PEER,)))
            member._take_reply(self._listed(10, None))
            assert list(member.forwarding_peers()) == [self._PEER]

        _run(scenario)

    def test_wants_peers_while_forwarding(self):
        """Guards against reports that stop asking during a partition."""

        async def scenario(member, state, store, calls):
            assert not member._make_report().wants_peers
            member.request_peers()
            assert member._make_report().wants_peers
            await asyncio.sleep(2.0)
            assert not member._make_report().wants_peers

        _run(scenario)
