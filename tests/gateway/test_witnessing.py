"""Leaders, their witnesses and successors, in histories of faults."""

import asyncio

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
    """The way to peers in one process; some are cut off from all others."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    async def call(self, address, path, body, timeout, *, fresh=False):
        """Carries requests for promises; other messages go by the fleet."""
        await asyncio.sleep(0.002)
        other = self._fleet.vms.get(address)
        apart = {self._name, address} & self._fleet.alone
        if other is None or apart:
            await asyncio.sleep(timeout)
            return None
        if path != messages.EXTEND_PATH:
            return b"{}"
        request = messages.decode(body, messages.ExtensionRequest)
        answer = await other.leading.witness.answer(request)
        return messages.encode(answer)


class Vm:
    """One VM that may lead, with its own way to store and targets."""

    def __init__(self, fleet, name, boot):
        self.name = name
        self.boot = boot
        self.store = fakes.Cut(fleet.store)
        self.log = fakes.Lines()
        self.cluster = fakes.known(
            fleet.clock, self.log, *(fakes.target(n) for n in "abc")
        )
        configured = fakes.configured(settle=0.1, settle_most=0.2)
        vm = msgspec.structs.replace(configured.vm, id=name)
        self.leading = leader_role.LeaderRole(
            msgspec.structs.replace(configured, vm=vm),
            boot,
            self.store,
            fleet.orders,
            Calls(fleet, name),
            self.cluster,
            fleet.clock,
            self.log,
        )
        self.leading.address = name

    def report(self):
        """Returns this VM's report."""
        known = self.cluster.leader
        return messages.Report(
            messages.VmEntry(self.name, self.boot, self.name, self.name),
            store=self.store.failing is None,
            extended_grants=self.leading.longer_grants(),
            epoch=known.epoch if known else -1,
            promised=self.leading.witness.promised(),
        )


class Fleet:
    """Four VMs, three targets and a store."""

    def __init__(self):
        self.clock = fakes.VirtualClock()
        self.store = fakes.Store()
        self.orders = fakes.Orders()
        self.alone = set()
        self.boots = 0
        self.vms = {}
        for name in _VMS:
            self.start(name)
        self._reporting = asyncio.create_task(self._report_on())

    def start(self, name):
        """Starts a VM's daemon, in place of the run before."""
        if name in self.vms:
            self.vms[name].leading.step_down("killed")
        self.boots += 1
        self.vms[name] = Vm(self, name, f"boot-{self.boots}")

    def stop(self):
        """Ends everything."""
        self._reporting.cancel()
        for vm in self.vms.values():
            vm.leading.step_down("end")

    @property
    def leader(self):
        """The VM of the latest epoch that leads, None if none does."""
        leading_now = [v for v in self.vms.values() if v.leading.leading]
        return max(
            leading_now, key=lambda v: v.cluster.leader.epoch, default=None
        )

    async def _report_on(self):
        while True:
            await asyncio.sleep(_REPORT_SECONDS)
            for vm in list(self.vms.values()):
                self._report(vm)

    def _report(self, vm):
        known = vm.cluster.leader
        other = self.vms.get(known.vm) if known else None
        if (
            other is None
            or {vm.name, other.name} & self.alone - {vm.name}
            or (vm.name in self.alone and other is not vm)
        ):
            return
        reply = other.leading.take_report(vm.report())
        if reply.leader is not None and vm.cluster.record_leader(reply.leader):
            vm.leading.outranked_by(reply.leader)
        if reply.leading:
            vm.leading.hear(reply)

    async def take_over(self, name):
        """Has a VM try to lead; all that it reaches hear of it."""
        vm = self.vms[name]
        if not await vm.leading.take_over("test"):
            return
        for other in self.vms.values():
            apart = {name, other.name} & self.alone
            if not apart and other.cluster.record_leader(vm.cluster.leader):
                other.leading.outranked_by(vm.cluster.leader)


async def _served(fleet, key, besides, seconds=30.0):
    """Waits until a target other than one owns a key; returns when."""
    async with asyncio.timeout(seconds):
        while not fleet.orders.holders(key) - besides:
            await asyncio.sleep(0.01)
    return virtual.now()


async def _begun():
    """Returns a fleet whose first leader has named its witnesses."""
    fleet = Fleet()
    await fleet.take_over("vm-1")
    async with asyncio.timeout(10.0):
        while not fleet.vms["vm-1"].log.named("witnesses_named"):
            await asyncio.sleep(0.05)
    return fleet


class TestSilentLeader:
    """A leader vanishes together with a target."""

    @pytest.mark.parametrize(
        ("successor", "least", "most"),
        [
            pytest.param("vm-2", 2.0, 5.0, id="a witness leads"),
            pytest.param("vm-4", 2.0, 5.0, id="another VM leads"),
        ],
    )
    def test_keys_are_back(self, successor, least, most):
        """Guards against twelve seconds without an owner for lost keys.

        The leader is cut off from everything at once with a target: nobody
        has its word, and it could go on renewing the target's grants.
        """

        async def main():
            fleet = await _begun()
            fleet.orders.dead.add("a")
            fleet.alone.add("vm-1")
            fleet.vms["vm-1"].store.failing = fakes.UNAVAILABLE
            await asyncio.sleep(0.8)
            await fleet.take_over(successor)
            began = virtual.now()
            taken = await _served(fleet, 0, {"a"})
            assert least < taken - began < most
            assert fleet.orders.clashes == []
            fleet.stop()

        virtual.run(main())

    def test_all_witnesses_restarted(self):
        """Guards against trust in witnesses that have forgotten."""

        async def main():
            fleet = await _begun()
            fleet.orders.dead.add("a")
            fleet.alone.add("vm-1")
            for name in _VMS[1:]:
                fleet.start(name)
            await fleet.take_over("vm-2")
            began = virtual.now()
            taken = await _served(fleet, 0, {"a"})
            assert taken - began > 9.0
            assert fleet.orders.clashes == []
            fleet.stop()

        virtual.run(main())

    def test_same_vm_leads_again(self):
        """Guards against a leader that forgets its last run's longer grants.

        In an outage it makes grants longer, is killed, and leads again when
        the store is back. A target that its orders do not reach still holds
        its keys.
        """

        async def main():
            fleet = await _begun()
            fleet.store.failing = fakes.UNAVAILABLE
            await asyncio.sleep(3.5)
            fleet.orders.dead.add("a")
            fleet.start("vm-1")
            fleet.store.failing = None
            await fleet.take_over("vm-1")
            await _served(fleet, 0, {"a"})
            assert fleet.orders.clashes == []
            fleet.stop()

        virtual.run(main())


class TestOutage:
    """The store is unreachable for all."""

    def test_leader_goes_on(self):
        """Guards against keys that lapse in an outage of the store."""

        async def main():
            fleet = await _begun()
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

    def test_leader_lost_in_it(self):
        """Guards against keys that lapse when a leader dies in an outage."""

        async def main():
            fleet = await _begun()
            fleet.store.failing = fakes.UNAVAILABLE
            await asyncio.sleep(2.5)
            fleet.start("vm-1")
            for _ in range(50):
                await asyncio.sleep(0.1)
                assert fleet.orders.holders(0)
            fleet.stop()

        virtual.run(main())

    def test_only_the_leader_is_cut(self):
        """Guards against longer grants while another VM could lead."""

        async def main():
            fleet = await _begun()
            fleet.vms["vm-1"].store.failing = fakes.UNAVAILABLE
            await asyncio.sleep(4.0)
            asked = fleet.vms["vm-1"].log.named("extension_asked")
            assert asked and all(a["promised"] == 0 for a in asked)
            hold = leadership.grant_expiry(0.0, 2.0)
            assert fleet.vms["vm-1"].leading.longer_grants() <= hold
            fleet.stop()

        virtual.run(main())


class TestWitness:
    """What a witness promises, and to whom."""

    @pytest.mark.parametrize(
        ("store", "boot", "epoch", "promised"),
        [
            pytest.param(False, "boot-2", 1, True, id="store unreachable"),
            pytest.param(True, "boot-2", 1, False, id="it reaches the store"),
            pytest.param(
                False, "boot-0", 1, False, id="meant for a former run"
            ),
            pytest.param(False, "boot-2", 0, False, id="of a former leader"),
        ],
    )
    def test_answer(self, store, boot, epoch, promised):
        """Guards against a promise that its VM could not keep."""

        async def main():
            fleet = await _begun()
            vm = fleet.vms["vm-2"]
            if not store:
                vm.store.failing = fakes.UNAVAILABLE
            request = messages.ExtensionRequest(epoch, boot, 7.0)
            answer = await vm.leading.witness.answer(request)
            assert answer.promised is promised
            assert (vm.leading.witness.promised() is not None) is promised
            fleet.stop()

        virtual.run(main())

    def test_silent_store(self):
        """Guards against a witness that waits as long as the store is silent.

        The leader's short authority would end meanwhile.
        """

        async def main():
            fleet = await _begun()
            vm = fleet.vms["vm-2"]

            async def read(key):
                await asyncio.sleep(1.0)
                return result.Err(
                    errors.Failure(errors.ErrorKind.STORE_UNKNOWN, "silent")
                )

            fleet.store.read = read
            began = virtual.now()
            request = messages.ExtensionRequest(1, vm.boot, 7.0)
            answer = await vm.leading.witness.answer(request)
            assert answer.promised
            assert virtual.now() - began < 0.7
            fleet.stop()

        virtual.run(main())

    def test_another_leader_meanwhile(self):
        """Guards against a promise to a leader that was replaced meanwhile."""

        async def main():
            fleet = await _begun()
            vm = fleet.vms["vm-2"]
            vm.store.failing = fakes.UNAVAILABLE
            request = messages.ExtensionRequest(1, vm.boot, 7.0)
            asked = asyncio.create_task(vm.leading.witness.answer(request))
            await asyncio.sleep(0.001)
            vm.cluster.record_leader(leadership.LeaderEntry("vm-3", "x", 2, ""))
            assert not (await asked).promised
            fleet.stop()

        virtual.run(main())


class TestRecord:
    """The witnesses as named in the store."""

    def test_lost_witness_is_replaced(self):
        """Guards against an outage in which a named witness is gone."""

        async def main():
            fleet = await _begun()
            fleet.start("vm-2")
            known = fleet.vms["vm-1"].cluster.leader
            fleet.vms["vm-2"].cluster.record_leader(known)
            await asyncio.sleep(3.0)
            stored, _ = fleet.store.items[messages.WITNESSES_KEY]
            record = msgspec.json.decode(stored, type=lease_extension.Record)
            named = {w.vm: w.boot for w in record.witnesses}
            assert named["vm-2"] == fleet.vms["vm-2"].boot
            fleet.stop()

        virtual.run(main())

    def test_unanswered_write(self):
        """Guards against a record that is in force and not reckoned with."""

        async def main():
            fleet = Fleet()
            fleet.store.loses = True
            await fleet.take_over("vm-1")
            vm = fleet.vms["vm-1"]
            async with asyncio.timeout(10.0):
                while not vm.log.named("witnesses_named"):
                    await asyncio.sleep(0.05)
            fleet.stop()

        virtual.run(main())


class History:
    """One history of faults."""

    def __init__(self, fleet):
        self.fleet = fleet

    def outage(self):
        """The store answers nobody."""
        self.fleet.store.failing = fakes.UNAVAILABLE

    def outage_ends(self):
        """It is back."""
        self.fleet.store.failing = None

    def leader_cut(self):
        """The leader does not reach the store."""
        if self.fleet.leader:
            self.fleet.leader.store.failing = fakes.UNAVAILABLE

    def leader_alone(self):
        """The leader reaches targets only."""
        if self.fleet.leader:
            self.fleet.leader.store.failing = fakes.UNAVAILABLE
            self.fleet.alone.add(self.fleet.leader.name)

    def cuts_end(self):
        """Everybody reaches everything again."""
        self.fleet.alone.clear()
        for vm in self.fleet.vms.values():
            vm.store.failing = None

    def leader_restarts(self):
        """The leader's daemon is killed and starts again."""
        if self.fleet.leader:
            self.fleet.start(self.fleet.leader.name)

    def witness_restarts(self):
        """A daemon that may be a witness does."""
        self.fleet.start("vm-3")

    def all_restart(self):
        """All daemons do."""
        for name in _VMS:
            self.fleet.start(name)

    def target_cut(self):
        """The present leader's successors do not reach a target."""
        self.fleet.orders.deaf.add("a")

    def target_leaves(self):
        """A target's registration vanishes; it lives behind a cut."""
        for vm in self.fleet.vms.values():
            vm.cluster.remove_target("a", 100)

    def target_dead(self):
        """No order reaches a target any more."""
        self.fleet.orders.dead.add("a")

    def target_cut_from_successors(self):
        """A target answers its present leader only."""
        for vm in self.fleet.vms.values():
            if vm is not self.fleet.leader:
                vm.leading._orders = fakes.Cut(self.fleet.orders)
                vm.leading._orders.dead.add("a")

    def second_leads(self):
        """Another VM takes over."""
        self._take_over("vm-2")

    def fourth_leads(self):
        """Another VM takes over."""
        self._take_over("vm-4")

    def first_leads(self):
        """The first VM takes over again."""
        self._take_over("vm-1")

    def _take_over(self, name):
        asyncio.get_running_loop().create_task(self.fleet.take_over(name))


_EVENTS = (
    History.outage,
    History.outage_ends,
    History.leader_cut,
    History.leader_alone,
    History.cuts_end,
    History.leader_restarts,
    History.witness_restarts,
    History.all_restart,
    History.target_cut,
    History.target_leaves,
    History.target_dead,
    History.target_cut_from_successors,
    History.second_leads,
    History.fourth_leads,
    History.first_leads,
)
_HISTORIES = st.lists(
    st.tuples(st.sampled_from(_EVENTS), st.sampled_from((0.0, 0.7, 2.5))),
    max_size=10,
)


def _clashes(history):
    """Plays a history; returns keys that two targets held at a time."""

    async def main():
        fleet = await _begun()
        made = History(fleet)
        for event, pause in history:
            event(made)
            await asyncio.sleep(pause)
        await asyncio.sleep(6.0)
        fleet.stop()
        return list(fleet.orders.clashes)

    return virtual.run(main())


class TestHistories:
    """No history gives a key two owners."""

    @hypothesis.given(history=_HISTORIES)
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=120)
    def test_no_key_has_two_owners(self, history):
        """Guards against two owners after any order of faults."""
        assert _clashes(history) == []

    @pytest.mark.parametrize(
        "taken_out", ["promises", "runs", "short authority"]
    )
    def test_each_part_is_needed(self, taken_out, monkeypatch):
        """With one part taken out, a history gives a key two owners."""
        # The leader alone reaches the target, and goes on renewing.
        alone = [
            (History.target_cut_from_successors, 0.0),
            (History.leader_alone, 0.7),
            (History.fourth_leads, 2.5),
        ]
        outage = [
            (History.outage, 2.5),
            (History.target_dead, 0.0),
            (History.leader_restarts, 0.0),
            (History.outage_ends, 0.0),
            (History.fourth_leads, 2.5),
        ]
        restarted = [(History.outage, 2.5), *outage[1:2]]
        restarted += [(History.all_restart, 0.0), *outage[3:]]
        record_promise = former_leaders.FormerLeaders.record_promise

        def any_run(former, witness, promised, now):
            for known in former._witnesses:
                if known.vm == witness.vm:
                    record_promise(former, known, promised, now)

        target, name, guess, history = {
            "promises": (
                former_leaders.FormerLeaders,
                "record_promise",
                lambda f, w, _, now: record_promise(f, w, None, now),
                outage,
            ),
            "runs": (
                former_leaders.FormerLeaders,
                "record_promise",
                any_run,
                restarted,
            ),
            "short authority": (
                leadership.LeaderLease,
                "need_witnesses",
                lambda _: None,
                alone,
            ),
        }[taken_out]
        assert _clashes(history) == []
        monkeypatch.setattr(target, name, guess)
        assert _clashes(history)
