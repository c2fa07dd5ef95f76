"""Tests of leaders, their witnesses and successors under faults."""

import asyncio
import collections

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest
import result

from mimosastile_core import errors
from mimosastile_core.gateway import former_leaders
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import lease_extension
from mimosastile_gateway import leader_role
from mimosastile_gateway import messages
from mimosastile_standins import virtual
from tests.gateway import fakes

_VMS = ("vm-1", "vm-2", "vm-3", "vm-4")
_REPORT_SECONDS = 0.2


class Calls:
    """Calls between VMs in one process, some of which are partitioned."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    async def call(self, address, path, body, timeout, *, fresh=False):
        """Delivers requests for promises and discards other messages.

        The fleet delivers reports itself.
        """
        await asyncio.sleep(0.002)
        other = self._fleet.vms.get(address)
        apart = {self._name, address} & self._fleet.isolated
        if other is None or apart:
            await asyncio.sleep(timeout)
            return None
        if path != messages.EXTEND_PATH:
            return b"{}"
        request = messages.decode(body, messages.ExtensionRequest).unwrap()
        response = await other.leader_role.witness.handle_request(request)
        return messages.encode(response)


class Vm:
    """A VM that may lead, with its own connections to store and targets."""

    def __init__(self, fleet, name, boot, **leader):
        self.name = name
        self.boot = boot
        self._fleet = fleet
        self.store = fakes.FaultyProxy(fleet.store)
        self.log = fakes.MemoryEvents()
        self.cluster = fakes.new_cluster_state(
            fleet.clock, self.log, *(fakes.target(n) for n in "abc")
        )
        configured = fakes.configured(settle=0.1, settle_most=0.2, **leader)
        vm = msgspec.structs.replace(configured.vm, id=name)
        self.leader_role = leader_role.LeaderRole(
            msgspec.structs.replace(configured, vm=vm),
            boot,
            self.store,
            fleet.orders,
            Calls(fleet, name),
            self.cluster,
            fakes.new_reach_monitor(self.cluster, fleet.clock, self.log),
            fleet.clock,
            self.log,
        )
        self.leader_role.address = name

    def report(self):
        """Returns this VM's report."""
        leader = self.cluster.leader
        return messages.Report(
            messages.VmEntry(self.name, self.boot, self.name, self.name),
            store=self.store.failing is None
            and self._fleet.store.failing is None,
            extended_grants=self.leader_role.extended_grants_seconds(),
            epoch=leader.epoch if leader else -1,
            promised=self.leader_role.witness.promised_seconds(),
            led_epoch=self.leader_role.led_epoch,
            running=self.leader_role.running_seconds,
            own_extended=self.leader_role.own_extended_seconds(),
        )


class Fleet:
    """Four VMs, three targets and a store.

    Attributes:
        isolated: Names of the VMs that reach no other VM.
        boots: Number of daemons started.
    """

    def __init__(self, **leader):
        self._leader_settings = leader
        self.clock = fakes.VirtualClock()
        self.store = fakes.Store()
        self.orders = fakes.Orders()
        self.isolated = set()
        self.boots = 0
        self.vms = {}
        self._claims = collections.defaultdict(list)
        for name in _VMS:
            self.start(name)
        self._reporting = asyncio.create_task(self._report_loop())

    def start(self, name):
        """Starts a VM's daemon in place of its earlier incarnation."""
        if name in self.vms:
            self.vms[name].leader_role.step_down("killed")
        # A killed daemon does not go on with a claim.
        for claim in self._claims.pop(name, ()):
            claim.cancel()
        self.boots += 1
        self.vms[name] = Vm(
            self, name, f"boot-{self.boots}", **self._leader_settings
        )

    def stop(self):
        """Stops all VMs."""
        self._reporting.cancel()
        for vm in self.vms.values():
            vm.leader_role.step_down("end")

    @property
    def leader(self):
        """The leading VM of the latest epoch, None if no VM leads."""
        leading_now = [v for v in self.vms.values() if v.leader_role.is_leader]
        return max(
            leading_now,
            key=lambda v: v.cluster.leader.epoch,
            default=None,
        )

    async def _report_loop(self):
        while True:
            await asyncio.sleep(_REPORT_SECONDS)
            for vm in list(self.vms.values()):
                self._report(vm)

    def _report(self, vm):
        leader = vm.cluster.leader
        other = self.vms.get(leader.vm) if leader else None
        if (
            other is None
            or {vm.name, other.name} & self.isolated - {vm.name}
            or (vm.name in self.isolated and other is not vm)
        ):
            return
        reply = other.leader_role.handle_report(vm.report())
        if reply.leader is not None and vm.cluster.record_leader(reply.leader):
            vm.leader_role.step_down_if_outranked(reply.leader)
        if reply.leading:
            vm.leader_role.handle_reply(reply)

    def begin_take_over(self, name):
        """Has a VM try to take over in the background, until it is killed."""
        self._claims[name].append(asyncio.create_task(self.take_over(name)))

    async def take_over(self, name):
        """Has a VM try to take over; notifies all VMs that it reaches."""
        vm = self.vms[name]
        if not await vm.leader_role.take_over("test"):
            return
        for other in self.vms.values():
            apart = {name, other.name} & self.isolated
            if not apart and other.cluster.record_leader(vm.cluster.leader):
                other.leader_role.step_down_if_outranked(vm.cluster.leader)


async def _wait_granted(fleet, key, excluded, seconds=30.0):
    """Waits until a target that is not excluded owns a key; returns when."""
    async with asyncio.timeout(seconds):
        while not fleet.orders.holders(key) - excluded:
            await asyncio.sleep(0.01)
    return virtual.now()


async def _started_fleet(**leader):
    """Returns a fleet whose first leader has named its witnesses.

    Args:
        leader: Changed leader settings.
    """
    fleet = Fleet(**leader)
    await fleet.take_over("vm-1")
    async with asyncio.timeout(10.0):
        while not fleet.vms["vm-1"].log.named("witnesses_named"):
            await asyncio.sleep(0.05)
    return fleet


class TestLostLeader:
    """A leader is lost together with a target."""

    @pytest.mark.parametrize(
        ("successor", "least", "most"),
        [
            pytest.param("vm-2", 2.0, 5.0, id="witness takes over"),
            pytest.param("vm-4", 2.0, 5.0, id="other VM takes over"),
        ],
    )
    def test_keys_get_an_owner_again(self, successor, least, most):
        """Guards against twelve seconds without an owner for lost keys.

        The leader is partitioned from everything together with a target. No
        VM has a report of its grants, and it could go on renewing those of the
        target.
        """

        async def main():
            fleet = await _started_fleet()
            fleet.orders.dead.add("a")
            fleet.isolated.add("vm-1")
            fleet.vms["vm-1"].store.failing = fakes.UNAVAILABLE
            await asyncio.sleep(0.8)
            await fleet.take_over(successor)
            started_at = virtual.now()
            granted_at = await _wait_granted(fleet, 0, {"a"})
            assert least < granted_at - started_at < most
            assert fleet.orders.clashes == []
            fleet.stop()

        virtual.run(main())

    def test_all_witnesses_restarted(self):
        """Guards against relying on witnesses that lost their promises."""

        async def main():
            fleet = await _started_fleet()
            fleet.orders.dead.add("a")
            fleet.isolated.add("vm-1")
            for name in _VMS[1:]:
                fleet.start(name)
            await fleet.take_over("vm-2")
            started_at = virtual.now()
            granted_at = await _wait_granted(fleet, 0, {"a"})
            assert granted_at - started_at > 9.0
            assert fleet.orders.clashes == []
            fleet.stop()

        virtual.run(main())

    def test_same_vm_leads_again(self):
        """Guards against ignoring extended grants of an earlier incarnation.

        A leader extends grants during an outage, is killed, and leads again
        when the store has recovered. A target that its orders do not reach
        still holds its keys.
        """

        async def main():
            fleet = await _started_fleet()
            fleet.store.failing = fakes.UNAVAILABLE
            await asyncio.sleep(3.5)
            fleet.orders.dead.add("a")
            fleet.start("vm-1")
            fleet.store.failing = None
            await fleet.take_over("vm-1")
            await _wait_granted(fleet, 0, {"a"})
            assert fleet.orders.clashes == []
            fleet.stop()

        virtual.run(main())


async def _restart_all(fleet):
    """Kills all daemons together with a target, and has one VM lead.

    Returns:
        The time of the restart.
    """
    fleet.orders.dead.add("a")
    for name in _VMS:
        fleet.start(name)
    restarted_at = virtual.now()
    await asyncio.sleep(1.2)
    await fleet.take_over("vm-2")
    for vm in fleet.vms.values():
        vm.cluster.record_leader(fleet.vms["vm-2"].cluster.leader)
    return restarted_at


class TestNobodyRemembers:
    """No daemon is left that knows the grants of the former leader."""

    @pytest.mark.parametrize(
        ("bound", "most"),
        [
            pytest.param(6.0, 8.0, id="default"),
            pytest.param(4.0, 6.0, id="bound binds"),
            pytest.param(2.0, 4.2, id="own orders bind"),
        ],
    )
    def test_keys_of_a_lost_target(self, bound, most):
        """Guards against ten seconds without an owner after a loss of all VMs.

        The wait is the declared bound, a second in transit, and a second until
        the target counts as lost.
        """

        async def main():
            fleet = await _started_fleet(longest_hold=bound)
            restarted_at = await _restart_all(fleet)
            granted_at = await _wait_granted(fleet, 0, {"a"})
            assert bound < granted_at - restarted_at < most
            assert fleet.orders.clashes == []
            fleet.stop()

        virtual.run(main())

    @pytest.mark.parametrize("seconds", [0.2, 0.5])
    def test_shorter_usual_grants(self, seconds):
        """Guards against waits by the usual grants of the successor."""

        async def main():
            fleet = await _started_fleet(longest_hold=2.0, hold=4.0)
            fleet.orders.dead.add("a")
            fleet._leader_settings = {"longest_hold": 2.0, "hold": 2.0}
            for name in _VMS:
                fleet.start(name)
            await asyncio.sleep(seconds)
            await fleet.take_over("vm-2")
            for vm in fleet.vms.values():
                vm.cluster.record_leader(fleet.vms["vm-2"].cluster.leader)
            await asyncio.sleep(8.0)
            assert fleet.orders.clashes == []
            fleet.stop()

        virtual.run(main())

    def test_usual_grants_of_a_table(self):
        """Guards against reports that forget the long grants of a table."""

        async def main():
            fleet = await _started_fleet(
                renew_slowest=1.0, orders_per_second=2.0, longest_hold=2.0
            )
            await fleet.take_over("vm-2")
            second = fleet.vms["vm-2"].leader_role
            leading = second.extended_grants_seconds()
            await fleet.take_over("vm-3")
            await asyncio.sleep(0.01)
            assert second.extended_grants_seconds() >= leading - 0.1
            fleet.stop()

        virtual.run(main())

    def test_leader_of_an_earlier_version(self):
        """Guards against relying on a bound that the leader did not declare."""

        async def main():
            fleet = await _started_fleet(longest_hold=10.0)
            stored, revision = fleet.store.items[messages.LEADER_KEY]
            entry = msgspec.json.decode(stored)
            del entry["hold_bound"], entry["formers"]
            value = msgspec.json.encode(entry)
            fleet.store.items[messages.LEADER_KEY] = (value, revision)
            restarted_at = await _restart_all(fleet)
            granted_at = await _wait_granted(fleet, 0, {"a"})
            assert granted_at - restarted_at > 10.2
            fleet.stop()

        virtual.run(main())


class TestChainOfLeaders:
    """Leaders follow each other before the wait for the first one is over."""

    def test_keys_of_a_lost_target(self):
        """Guards against a wait that begins anew with each leader.

        The first leader is lost for good together with a target. Its witnesses
        know that it gave usual grants, and each later leader reports.
        """

        async def main():
            fleet = await _started_fleet()
            fleet.orders.dead.add("a")
            fleet.isolated.add("vm-1")
            fleet.vms["vm-1"].store.failing = fakes.UNAVAILABLE
            await asyncio.sleep(0.8)
            for name in ("vm-2", "vm-3", "vm-4"):
                await fleet.take_over(name)
                await asyncio.sleep(0.4)
            last_at = virtual.now() - 0.4
            granted_at = await _wait_granted(fleet, 0, {"a"})
            assert granted_at - last_at < 5.0
            assert fleet.orders.clashes == []
            fleet.stop()

        virtual.run(main())


class TestOutage:
    """The store is unreachable for all VMs."""

    def test_leader_goes_on(self):
        """Guards against grants that expire during a store outage."""

        async def main():
            fleet = await _started_fleet()
            fleet.store.failing = fakes.UNAVAILABLE
            for _ in range(80):
                await asyncio.sleep(0.1)
                assert all(
                    fleet.orders.holders(key) for key in (0, 30000, 65535)
                )
            fleet.store.failing = None
            await asyncio.sleep(1.0)
            assert fleet.leader.name == "vm-1"
            fleet.stop()

        virtual.run(main())

    @pytest.mark.parametrize(
        ("settings", "kept"),
        [
            pytest.param({}, 5.0, id="default"),
            pytest.param({"longest_hold": 10.0}, 8.5, id="longest"),
            pytest.param({"longest_hold": 4.0}, 3.5, id="shorter bound"),
        ],
    )
    def test_leader_lost_during_outage(self, settings, kept):
        """Guards against expired grants if a leader crashes in an outage.

        Keys outlive it by the declared bound, less one renewal interval.
        """

        async def main():
            fleet = await _started_fleet(**settings)
            fleet.store.failing = fakes.UNAVAILABLE
            await asyncio.sleep(2.5)
            fleet.start("vm-1")
            for _ in range(round(kept * 10)):
                await asyncio.sleep(0.1)
                assert fleet.orders.holders(0)
            fleet.stop()

        virtual.run(main())

    def test_only_the_leader_is_cut_off(self):
        """Guards against extended grants while another VM could lead."""

        async def main():
            fleet = await _started_fleet()
            fleet.vms["vm-1"].store.failing = fakes.UNAVAILABLE
            await asyncio.sleep(4.0)
            asked = fleet.vms["vm-1"].log.named("extension_asked")
            assert asked and all(a["promised"] == 0 for a in asked)
            hold = leadership.grant_expiry(0.0, 2.0)
            assert (
                fleet.vms["vm-1"].leader_role.extended_grants_seconds() <= hold
            )
            fleet.stop()

        virtual.run(main())


class TestWitness:
    """Conditions under which a witness makes a promise."""

    @pytest.mark.parametrize(
        ("store", "boot", "epoch", "promised"),
        [
            pytest.param(False, "boot-2", 1, True, id="store unreachable"),
            pytest.param(True, "boot-2", 1, False, id="store reached"),
            pytest.param(
                False, "boot-0", 1, False, id="for an earlier incarnation"
            ),
            pytest.param(False, "boot-2", 0, False, id="of a former leader"),
        ],
    )
    def test_response(self, store, boot, epoch, promised):
        """Guards against a promise that the VM could not keep."""

        async def main():
            fleet = await _started_fleet()
            vm = fleet.vms["vm-2"]
            if not store:
                vm.store.failing = fakes.UNAVAILABLE
            request = messages.ExtensionRequest(epoch, boot, 7.0)
            response = await vm.leader_role.witness.handle_request(request)
            assert response.promised is promised
            assert (
                vm.leader_role.witness.promised_seconds() is not None
            ) is promised
            fleet.stop()

        virtual.run(main())

    def test_unresponsive_store(self):
        """Guards against a witness that waits until the store responds.

        The leader's short lease would end meanwhile.
        """

        async def main():
            fleet = await _started_fleet()
            vm = fleet.vms["vm-2"]

            async def read(key):
                await asyncio.sleep(1.0)
                return result.Err(
                    errors.Failure(errors.ErrorKind.STORE_UNKNOWN, "silent")
                )

            fleet.store.read = read
            started_at = virtual.now()
            request = messages.ExtensionRequest(1, vm.boot, 7.0)
            response = await vm.leader_role.witness.handle_request(request)
            assert response.promised
            assert virtual.now() - started_at < 0.7
            fleet.stop()

        virtual.run(main())

    def test_another_leader_meanwhile(self):
        """Guards against a promise to a leader that was replaced meanwhile."""

        async def main():
            fleet = await _started_fleet()
            vm = fleet.vms["vm-2"]
            vm.store.failing = fakes.UNAVAILABLE
            request = messages.ExtensionRequest(1, vm.boot, 7.0)
            pending = asyncio.create_task(
                vm.leader_role.witness.handle_request(request)
            )
            await asyncio.sleep(0.001)
            vm.cluster.record_leader(leadership.LeaderEntry("vm-3", "x", 2, ""))
            assert not (await pending).promised
            fleet.stop()

        virtual.run(main())


class TestRecord:
    """The record of witnesses in the store."""

    def test_lost_witness_is_replaced(self):
        """Guards against an outage while a named witness is missing."""

        async def main():
            fleet = await _started_fleet()
            fleet.start("vm-2")
            leader = fleet.vms["vm-1"].cluster.leader
            fleet.vms["vm-2"].cluster.record_leader(leader)
            await asyncio.sleep(3.0)
            stored, _ = fleet.store.items[messages.WITNESSES_KEY]
            record = msgspec.json.decode(stored, type=lease_extension.Record)
            named = {w.vm: w.boot for w in record.witnesses}
            assert named["vm-2"] == fleet.vms["vm-2"].boot
            fleet.stop()

        virtual.run(main())

    def test_unacknowledged_write(self):
        """Guards against a record that is in force but not accounted for."""

        async def main():
            fleet = Fleet()
            fleet.store.loses_responses = True
            await fleet.take_over("vm-1")
            vm = fleet.vms["vm-1"]
            async with asyncio.timeout(10.0):
                while not vm.log.named("witnesses_named"):
                    await asyncio.sleep(0.05)
            fleet.stop()

        virtual.run(main())


class History:
    """Faults and repairs that make up a history."""

    def __init__(self, fleet):
        self.fleet = fleet

    def outage(self):
        """The store responds to no VM."""
        self.fleet.store.failing = fakes.UNAVAILABLE

    def outage_ends(self):
        """The store responds again."""
        self.fleet.store.failing = None

    def leader_cut_off(self):
        """The leader does not reach the store."""
        if self.fleet.leader:
            self.fleet.leader.store.failing = fakes.UNAVAILABLE

    def leader_alone(self):
        """The leader reaches targets only."""
        if self.fleet.leader:
            self.fleet.leader.store.failing = fakes.UNAVAILABLE
            self.fleet.isolated.add(self.fleet.leader.name)

    def cuts_end(self):
        """All VMs reach each other and the store again."""
        self.fleet.isolated.clear()
        for vm in self.fleet.vms.values():
            vm.store.failing = None

    def leader_restarts(self):
        """The leader's daemon is killed and restarted."""
        if self.fleet.leader:
            self.fleet.start(self.fleet.leader.name)

    def witness_restarts(self):
        """The daemon of a possible witness is killed and restarted."""
        self.fleet.start("vm-3")

    def all_restart(self):
        """All daemons are killed and restarted."""
        for name in _VMS:
            self.fleet.start(name)

    def releases_lost(self):
        """Releases do not reach a target any more."""
        self.fleet.orders.lost_releases.add("a")

    def registration_expires(self):
        """A partitioned target's registration expires."""
        for vm in self.fleet.vms.values():
            vm.cluster.remove_target("a", 100)

    def target_dead(self):
        """Orders do not reach a target any more."""
        self.fleet.orders.dead.add("a")

    def target_cut_off_from_successors(self):
        """Only the current leader reaches a target."""
        for vm in self.fleet.vms.values():
            if vm is not self.fleet.leader:
                vm.leader_role._orders = fakes.FaultyProxy(self.fleet.orders)
                vm.leader_role._orders.dead.add("a")

    def second_leads(self):
        """Another VM takes over."""
        self._take_over("vm-2")

    def third_leads(self):
        """Another VM takes over."""
        self._take_over("vm-3")

    def fourth_leads(self):
        """Another VM takes over."""
        self._take_over("vm-4")

    def first_leads(self):
        """The first VM takes over again."""
        self._take_over("vm-1")

    def _take_over(self, name):
        self.fleet.begin_take_over(name)


_EVENTS = (
    History.outage,
    History.outage_ends,
    History.leader_cut_off,
    History.leader_alone,
    History.cuts_end,
    History.leader_restarts,
    History.witness_restarts,
    History.all_restart,
    History.releases_lost,
    History.registration_expires,
    History.target_dead,
    History.target_cut_off_from_successors,
    History.second_leads,
    History.third_leads,
    History.fourth_leads,
    History.first_leads,
)
_HISTORIES = st.lists(
    st.tuples(st.sampled_from(_EVENTS), st.sampled_from((0.0, 0.7, 2.5))),
    max_size=10,
)


def _clashes(history):
    """Runs a history; returns the keys that two targets held at once."""

    async def main():
        fleet = await _started_fleet()
        faults = History(fleet)
        for event, pause in history:
            event(faults)
            await asyncio.sleep(pause)
        await asyncio.sleep(6.0)
        fleet.stop()
        return list(fleet.orders.clashes)

    return virtual.run(main())


# Only the leader reaches the target, and it goes on renewing grants.
_PARTITIONED = [
    (History.target_cut_off_from_successors, 0.0),
    (History.leader_alone, 0.7),
    (History.fourth_leads, 2.5),
]
_PARTITIONED_IN_OUTAGE = [
    (History.outage, 2.5),
    (History.target_cut_off_from_successors, 0.0),
    (History.leader_alone, 0.0),
    (History.outage_ends, 0.0),
    (History.fourth_leads, 2.5),
]
_ALL_RESTARTED_IN_OUTAGE = [
    (History.outage, 2.5),
    (History.target_dead, 0.0),
    (History.all_restart, 0.0),
    (History.outage_ends, 0.0),
    (History.fourth_leads, 2.5),
]
_LEADER_RESTARTED_IN_OUTAGE = [
    (History.outage, 2.5),
    (History.target_dead, 0.0),
    (History.leader_restarts, 0.0),
    (History.outage_ends, 0.0),
    (History.fourth_leads, 2.5),
]
_LEADS_AGAIN_AFTER_OUTAGE = [
    (History.outage, 2.5),
    (History.target_dead, 0.0),
    (History.outage_ends, 0.0),
    (History.second_leads, 0.7),
    (History.first_leads, 0.7),
    (History.fourth_leads, 2.5),
]
_RESTARTED_SUCCESSOR = [
    (History.second_leads, 0.7),
    (History.outage, 2.5),
    (History.target_dead, 0.0),
    (History.leader_restarts, 0.0),
    (History.outage_ends, 0.0),
    (History.second_leads, 2.5),
]
# The second leader has named no witnesses yet.
_PARTITIONED_SUCCESSOR = [
    (History.second_leads, 0.7),
    (History.target_cut_off_from_successors, 0.0),
    (History.leader_alone, 0.7),
    (History.fourth_leads, 2.5),
]
_record_promise = former_leaders.FormerLeaders.record_promise
_record_follower = former_leaders.FormerLeaders.record_follower
_unexpired_terms = leader_role.LeaderRole._unexpired_terms
_grant_seconds = leadership.LeaderLease.grant_seconds


def _promise_of_any_incarnation(former, witness, promised, now):
    for named in former._witnesses:
        if named.vm == witness.vm:
            _record_promise(former, named, promised, now)


def _unbounded_grant(lease, *args):
    lease._hold_bound = 10.0
    return _grant_seconds(lease, *args)


def _follower_covers_all(former, follower, now):
    _record_follower(former, follower, now)
    if follower.extended_seconds is not None:
        for term in former._terms:
            term.cover(now + follower.extended_seconds)


def _early_start(former, follower, now):
    running = follower.running_seconds + 9.0
    follower = msgspec.structs.replace(follower, running_seconds=running)
    _record_follower(former, follower, now)


_MUTATIONS = {
    "promises": (
        former_leaders.FormerLeaders,
        "record_promise",
        lambda f, w, _, now: _record_promise(f, w, None, now),
        _PARTITIONED_IN_OUTAGE,
    ),
    "promises to a leader that restarts": (
        former_leaders.FormerLeaders,
        "record_promise",
        lambda f, w, _, now: _record_promise(f, w, None, now),
        _LEADER_RESTARTED_IN_OUTAGE,
    ),
    "own grants of earlier terms": (
        leader_role.LeaderRole,
        "_own_extended_grants_until",
        property(lambda role: role._lease.extended_grants_until),
        _LEADS_AGAIN_AFTER_OUTAGE,
    ),
    "runs": (
        former_leaders.FormerLeaders,
        "record_promise",
        _promise_of_any_incarnation,
        _ALL_RESTARTED_IN_OUTAGE,
    ),
    "short authority": (
        leadership.LeaderLease,
        "need_witnesses",
        lambda _: None,
        _PARTITIONED,
    ),
    "bound kept": (
        leadership.LeaderLease,
        "grant_seconds",
        _unbounded_grant,
        _ALL_RESTARTED_IN_OUTAGE,
    ),
    "start of an incarnation": (
        former_leaders.FormerLeaders,
        "record_follower",
        _early_start,
        _ALL_RESTARTED_IN_OUTAGE,
    ),
    "own earlier incarnation": (
        leader_role.LeaderRole,
        "_unexpired_terms",
        lambda role, former: tuple(
            term
            for term in _unexpired_terms(role, former)
            if term.vm != role._settings.vm.id
        ),
        _RESTARTED_SUCCESSOR,
    ),
    "witnesses of the term": (
        former_leaders.FormerLeaders,
        "_is_witnessed",
        lambda _, term: True,
        _PARTITIONED_SUCCESSOR,
    ),
    "reports cover earlier terms only": (
        former_leaders.FormerLeaders,
        "record_follower",
        _follower_covers_all,
        _PARTITIONED_SUCCESSOR,
    ),
}


class TestHistories:
    """No history gives a key two owners."""

    @hypothesis.given(history=_HISTORIES)
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=120)
    def test_no_key_has_two_owners(self, history):
        """Guards against two owners after any sequence of faults."""
        assert _clashes(history) == []

    def test_own_earlier_incarnation_in_a_chain(self):
        """Guards against ignoring grants of this VM's earlier incarnation.

        The leader before it reports usual grants, which says nothing of those
        that its successor gave in an outage before it was killed.
        """
        assert _clashes(_RESTARTED_SUCCESSOR) == []

    @pytest.mark.parametrize("disabled", sorted(_MUTATIONS))
    def test_each_part_is_needed(self, disabled, monkeypatch):
        """With one part disabled, a history gives a key two owners."""
        target, name, replacement, history = _MUTATIONS[disabled]
        assert _clashes(history) == []
        monkeypatch.setattr(target, name, replacement)
        assert _clashes(history)
