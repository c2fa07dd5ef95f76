"""Tests of the dissemination of updates from the leader to all VMs."""

import asyncio

import pytest

from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import eligibility
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import routes
from mimosastile_gateway import dissemination
from mimosastile_gateway import messages
from mimosastile_standins import virtual
from tests.gateway import fakes

ENTRY = leadership.LeaderEntry("vm-1", "b", 1, "one:1")


class Calls:
    """Records messages to peers, and simulates peers that do not respond.

    Attributes:
        sent: Each receiver's address with its update.
        relayed: Addresses of VMs that relayed an update.
        dead: Addresses that fail at once.
        silent: Addresses that never respond.
        slow: Seconds until any address responds.
        times: Address and start time of each call.
    """

    def __init__(self):
        self.sent = []
        self.relayed = []
        self.dead = set()
        self.silent = set()
        self.slow = 0.0
        self.times = []

    async def call(self, address, path, body, timeout, *, fresh=False):
        """Records one message and returns the response of its receiver."""
        self.times.append((address, virtual.now()))
        if self.slow > timeout or address in self.silent:
            await asyncio.sleep(timeout)
            return None
        await asyncio.sleep(self.slow)
        if address in self.dead:
            return None
        addresses = (address,)
        if path == messages.RELAY_PATH:
            relay = messages.decode(body, messages.Relay).unwrap()
            self.relayed.append(address)
            addresses = (address, *relay.addresses)
            body = relay.update
        update = messages.decode(body, messages.ReportReply).unwrap()
        reached = [a for a in addresses if a not in self.dead]
        self.sent.extend((a, update) for a in reached)
        missed = tuple(a for a in addresses if a in self.dead)
        return messages.encode(messages.Relayed(missed))


def _vm(name, zone="z"):
    return messages.VmEntry(name, "b", f"{name}:1", zone)


def _run(scenario):
    async def main():
        timer = fakes.VirtualClock()
        state = fakes.new_cluster_state(
            timer, fakes.MemoryEvents(), fakes.target("a")
        )
        calls = Calls()
        sender = dissemination.Disseminator(
            "vm-1", "z", calls, state, timer, fakes.MemoryEvents()
        )
        sender.begin(ENTRY)
        sender.announce([_vm("vm-1"), _vm("vm-2"), _vm("vm-3")])
        await asyncio.sleep(0.1)
        await scenario(sender, state, calls)
        sender.stop()

    virtual.run(main())


class TestBegin:
    """The first messages of a new leader."""

    def test_announced_to_all_registered_vms(self):
        """Guards against VMs that go on reporting to a failed leader.

        They would get no update until they have read the store, and would all
        do that at the same time.
        """

        async def scenario(sender, state, calls):
            assert {address for address, _ in calls.sent} == {
                "vm-2:1",
                "vm-3:1",
            }
            assert all(update.leader == ENTRY for _, update in calls.sent)

        _run(scenario)


class TestUpdates:
    """Changes are sent at once, as deltas."""

    @pytest.mark.parametrize("behind", [0, 1])
    def test_configuration(self, behind):
        """A VM that has the previous version is sent only the changes."""

        async def scenario(sender, state, calls):
            report = messages.Report(
                _vm("vm-2"), True, configuration=state.version - behind * 2
            )
            sender.take(report)
            calls.sent.clear()
            state.apply_configuration(routes.Configuration(2))
            await asyncio.sleep(0.1)
            ((address, update),) = calls.sent
            assert address == "vm-2:1"
            whole = update.state_update.configuration is not None
            assert whole is bool(behind)
            assert (update.state_update.change is not None) is not whole

        _run(scenario)

    @pytest.mark.parametrize(
        ("current", "updated"),
        [((), True), (("east",), False), (("west",), True)],
    )
    def test_evacuations(self, current, updated):
        """Guards against a VM that goes on sending to an evacuated zone."""

        async def scenario(sender, state, calls):
            report = messages.Report(
                _vm("vm-2"),
                True,
                configuration=state.version,
                evacuations=eligibility.Evacuations(current, 3),
            )
            sender.take(report)
            await asyncio.sleep(0.1)
            calls.sent.clear()
            state.apply_evacuations(eligibility.Evacuations(("east",), 9))
            await asyncio.sleep(0.1)
            sent = [
                reply.state_update.evacuations
                for _, reply in calls.sent
                if reply.state_update is not None
            ]
            expected = (
                [eligibility.Evacuations(("east",), 9)] if updated else []
            )
            assert sent == expected

        _run(scenario)

    def test_no_update_is_sent_twice(self):
        """An acknowledged update is not sent again before the next report."""

        async def scenario(sender, state, calls):
            sender.take(messages.Report(_vm("vm-2"), True))
            await asyncio.sleep(0.1)
            calls.sent.clear()
            state.apply_configuration(routes.Configuration(2))
            await asyncio.sleep(0.1)
            state.signal()
            await asyncio.sleep(0.1)
            assert len(calls.sent) == 1

        _run(scenario)

    def test_assignment_by_difference(self):
        """A VM that has the previous assignment gets only the changed keys."""

        async def scenario(sender, state, calls):
            old = assignments.Assignment("s", (1, 1), (0, 9), ("a", "b"))
            sender.publish(old)
            missing = sender.missing_updates(messages.Report(_vm("vm-2"), True))
            assert missing.assignments == (old,)
            new = assignments.Assignment("s", (1, 2), (0, 9), ("a", "a"))
            sender.publish(new)
            missing = sender.missing_updates(
                messages.Report(_vm("vm-2"), True, versions={"s": (1, 1)})
            )
            (difference,) = missing.differences
            assert assignments.apply(old, difference).owner(10) == "a"
            assert not missing.assignments

        _run(scenario)


class TestRelay:
    """Updates to VMs of another zone."""

    def test_one_vm_relays_for_its_zone(self):
        """Guards against a narrow link filled by copies of an update.

        A change of a thousand routes, sent to each VM beyond the link, would
        take seconds and delay the requests that cross it.
        """

        async def scenario(sender, state, calls):
            for number in range(9):
                vm = _vm(f"far-{number}", "far")
                sender.take(messages.Report(vm, True))
            await asyncio.sleep(0.2)
            assert len(calls.relayed) == 1
            reached = {address for address, _ in calls.sent}
            assert {f"far-{n}:1" for n in range(9)} < reached

        _run(scenario)

    @pytest.mark.parametrize("dead", [1, 2, 5])
    def test_failed_relay(self, dead):
        """Guards against a zone that waits for failed VMs.

        VMs that failed as relays get everything with the response to their
        next report.
        """

        async def scenario(sender, state, calls):
            calls.dead = {f"far-{n}:1" for n in range(dead)}
            reports = [
                messages.Report(_vm(f"far-{n}", "far"), True) for n in range(6)
            ]
            for report in reports:
                sender.take(report)
                assert sender.updates_for_reply(report).empty
            calls.sent.clear()
            await asyncio.sleep(0.2)
            alive = [f"far-{n}:1" for n in range(dead, 6)]
            assert [address for address, _ in calls.sent] == alive
            current = [
                sender.updates_for_reply(report).empty for report in reports
            ]
            assert current == [False] * dead + [True] * len(alive)
            calls.dead.clear()
            calls.sent.clear()
            sender.take(reports[0])
            await asyncio.sleep(0.1)
            assert [address for address, _ in calls.sent] == ["far-0:1"]

        _run(scenario)

    @pytest.mark.parametrize("reports", [True, False])
    def test_silent_relays(self, reports):
        """Guards against a wait that grows with each unresponsive VM.

        While no VM reports, the link may be full; then nothing is sent twice.
        """

        async def scenario(sender, state, calls):
            calls.silent = {"far-0:1", "far-1:1"}
            began = virtual.now()
            for n in range(6):
                sender.take(messages.Report(_vm(f"far-{n}", "far"), True))
            while virtual.now() < began + 1.4:
                await asyncio.sleep(0.2)
                reached = {address for address, _ in calls.sent}
                for n in range(2, 6) if reports else ():
                    version = state.version if f"far-{n}:1" in reached else -1
                    vm = _vm(f"far-{n}", "far")
                    sender.take(
                        messages.Report(vm, True, configuration=version)
                    )
            sent = [(n, at) for n, at in calls.times if n.startswith("far")]
            if reports:
                assert [name for name, _ in sent] == ["far-0:1", "far-2:1"]
                assert sent[1][1] - began < 0.7
            else:
                assert [name for name, _ in sent] == ["far-0:1"]

        _run(scenario)

    def test_relay_misses_one_vm(self):
        """A VM that a relay misses gets the update with its next report."""

        async def scenario(sender, state, calls):
            calls.dead = {"far-2:1"}
            reports = [
                messages.Report(_vm(f"far-{n}", "far"), True) for n in range(4)
            ]
            for report in reports:
                sender.take(report)
            await asyncio.sleep(0.2)
            current = [
                sender.updates_for_reply(report).empty for report in reports
            ]
            assert current == [True, True, False, True]

        _run(scenario)


class TestSlowLink:
    """Updates to a VM behind a full link."""

    def test_one_update_in_flight(self):
        """Guards against updates that are out of date when they arrive.

        The configuration changes ten times while one update is in flight. One
        update for each version would add load to the link; the VM gets the
        newest version with the second update.
        """

        async def scenario(sender, state, calls):
            calls.sent.clear()
            calls.slow = 1.0
            sender.take(messages.Report(_vm("vm-2"), True))
            for version in range(2, 12):
                await asyncio.sleep(0.05)
                state.apply_configuration(routes.Configuration(version))
            await asyncio.sleep(3.0)
            updates = [update for _, update in calls.sent]
            assert len(updates) == 2
            assert updates[-1].state_update.change.version == 11

        _run(scenario)

    @pytest.mark.parametrize(("routes_added", "sent"), [(3, True), (90, False)])
    def test_silent_connection(self, routes_added, sent):
        """Guards against a late update over a connection broken without reset.

        It takes seconds to detect that. Small urgent updates go with the
        response to the VM's next report; large ones do not, since they would
        add load to a link that may just be full.
        """

        async def scenario(sender, state, calls):
            calls.slow = 1.5
            report = messages.Report(_vm("vm-2"), True, configuration=1)
            sender.take(report)
            added = tuple(
                routes.Route(
                    f"r-{n}",
                    "h",
                    f"/{n}/",
                    routes.RouteKind.DOWNLOAD,
                    (routes.Part("s"),),
                    1.0,
                    0.5,
                )
                for n in range(routes_added)
            )
            state.apply_configuration(
                routes.Configuration(2, added, state.configuration.services)
            )
            await asyncio.sleep(0.3)
            assert sender.updates_for_reply(report).empty
            await asyncio.sleep(0.4)
            assert sender.updates_for_reply(report).empty is not sent

        _run(scenario)
