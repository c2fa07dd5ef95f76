"""How VMs hear what a leader knows."""

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
    """Keeps what is sent to peers."""

    def __init__(self):
        self.sent = []
        self.relayed = []
        self.dead = set()
        self.silent = set()
        self.slow = 0.0
        self.times = []

    async def call(self, address, path, body, timeout, *, fresh=False):
        """Keeps one message."""
        self.times.append((address, virtual.now()))
        if self.slow > timeout or address in self.silent:
            await asyncio.sleep(timeout)
            return None
        await asyncio.sleep(self.slow)
        if address in self.dead:
            return None
        addresses = (address,)
        if path == messages.RELAY_PATH:
            relay = messages.decode(body, messages.Relay)
            self.relayed.append(address)
            addresses = (address, *relay.addresses)
            body = relay.told
        told = messages.decode(body, messages.ReportReply)
        reached = [a for a in addresses if a not in self.dead]
        self.sent.extend((a, told) for a in reached)
        missed = tuple(a for a in addresses if a in self.dead)
        return messages.encode(messages.Relayed(missed))


def _vm(name, zone="z"):
    return messages.VmEntry(name, "b", f"{name}:1", zone)


def _play(scenario):
    async def main():
        timer = fakes.VirtualClock()
        known = fakes.new_cluster_state(
            timer, fakes.MemoryEvents(), fakes.target("a")
        )
        calls = Calls()
        made = dissemination.Disseminator(
            "vm-1", "z", calls, known, timer, fakes.MemoryEvents()
        )
        made.begin(ENTRY)
        made.announce([_vm("vm-1"), _vm("vm-2"), _vm("vm-3")])
        await asyncio.sleep(0.1)
        await scenario(made, known, calls)
        made.stop()

    virtual.run(main())


class TestBegin:
    """A VM begins to lead."""

    def test_all_registered_vms_hear_of_it(self):
        """A leader dies and another one takes over.

        VMs that go on reporting to the dead one would hear of no change until
        they have read the store, all at the same time.
        """

        async def scenario(made, known, calls):
            assert {address for address, _ in calls.sent} == {
                "vm-2:1",
                "vm-3:1",
            }
            assert all(told.leader == ENTRY for _, told in calls.sent)

        _play(scenario)


class TestNews:
    """Changes go out at once, and only what is new in them."""

    @pytest.mark.parametrize("behind", [0, 1])
    def test_configuration(self, behind):
        """A VM that knows the version before is told what has changed."""

        async def scenario(made, known, calls):
            report = messages.Report(
                _vm("vm-2"), True, configuration=known.version - behind * 2
            )
            made.take(report)
            calls.sent.clear()
            known.apply_configuration(routes.Configuration(2))
            await asyncio.sleep(0.1)
            ((address, told),) = calls.sent
            assert address == "vm-2:1"
            whole = told.news.configuration is not None
            assert whole is bool(behind)
            assert (told.news.change is not None) is not whole

        _play(scenario)

    @pytest.mark.parametrize(
        ("knows", "told"),
        [((), True), (("east",), False), (("west",), True)],
    )
    def test_evacuations(self, knows, told):
        """Guards against a VM that goes on sending to an evacuated zone."""

        async def scenario(made, known, calls):
            report = messages.Report(
                _vm("vm-2"),
                True,
                configuration=known.version,
                evacuations=eligibility.Evacuations(knows, 3),
            )
            made.take(report)
            await asyncio.sleep(0.1)
            calls.sent.clear()
            known.apply_evacuations(eligibility.Evacuations(("east",), 9))
            await asyncio.sleep(0.1)
            sent = [
                reply.news.evacuations
                for _, reply in calls.sent
                if reply.news is not None
            ]
            expected = [eligibility.Evacuations(("east",), 9)] if told else []
            assert sent == expected

        _play(scenario)

    def test_nothing_twice(self):
        """What a VM was told is not told again before it reports."""

        async def scenario(made, known, calls):
            made.take(messages.Report(_vm("vm-2"), True))
            await asyncio.sleep(0.1)
            calls.sent.clear()
            known.apply_configuration(routes.Configuration(2))
            await asyncio.sleep(0.1)
            known.signal()
            await asyncio.sleep(0.1)
            assert len(calls.sent) == 1

        _play(scenario)

    def test_assignment_by_difference(self):
        """A VM that has the assignment before gets the changed keys alone."""

        async def scenario(made, known, calls):
            old = assignments.Assignment("s", (1, 1), (0, 9), ("a", "b"))
            made.publish(old)
            missing_updates = made.missing_updates(
                messages.Report(_vm("vm-2"), True)
            )
            assert missing_updates.assignments == (old,)
            new = assignments.Assignment("s", (1, 2), (0, 9), ("a", "a"))
            made.publish(new)
            missing_updates = made.missing_updates(
                messages.Report(_vm("vm-2"), True, versions={"s": (1, 1)})
            )
            (told,) = missing_updates.differences
            assert assignments.apply(old, told).owner(10) == "a"
            assert not missing_updates.assignments

        _play(scenario)


class TestRelay:
    """VMs of another zone."""

    def test_one_passes_it_on(self):
        """A configuration grows by a thousand routes.

        Sent to every VM beyond a narrow link by itself, it would take seconds,
        and requests that cross the link would wait as long.
        """

        async def scenario(made, known, calls):
            for number in range(9):
                vm = _vm(f"far-{number}", "far")
                made.take(messages.Report(vm, True))
            await asyncio.sleep(0.2)
            assert len(calls.relayed) == 1
            reached = {address for address, _ in calls.sent}
            assert {f"far-{n}:1" for n in range(9)} < reached

        _play(scenario)

    @pytest.mark.parametrize("dead", [1, 2, 5])
    def test_lost_relay(self, dead):
        """Guards against a zone that waits for VMs which are dead.

        Those that should pass the message on hear all with the answer to
        their next report.
        """

        async def scenario(made, known, calls):
            calls.dead = {f"far-{n}:1" for n in range(dead)}
            reports = [
                messages.Report(_vm(f"far-{n}", "far"), True) for n in range(6)
            ]
            for report in reports:
                made.take(report)
                assert made.answer(report).nothing
            calls.sent.clear()
            await asyncio.sleep(0.2)
            alive = [f"far-{n}:1" for n in range(dead, 6)]
            assert [address for address, _ in calls.sent] == alive
            heard = [made.answer(report).nothing for report in reports]
            assert heard == [False] * dead + [True] * len(alive)
            calls.dead.clear()
            calls.sent.clear()
            made.take(reports[0])
            await asyncio.sleep(0.1)
            assert [address for address, _ in calls.sent] == ["far-0:1"]

        _play(scenario)

    @pytest.mark.parametrize("reports", [True, False])
    def test_silent_relays(self, reports):
        """Guards against a wait that grows with each VM that is silent.

        While nobody reports the link may be full; then nothing is sent twice.
        """

        async def scenario(made, known, calls):
            calls.silent = {"far-0:1", "far-1:1"}
            began = virtual.now()
            for n in range(6):
                made.take(messages.Report(_vm(f"far-{n}", "far"), True))
            while virtual.now() < began + 1.4:
                await asyncio.sleep(0.2)
                told = {address for address, _ in calls.sent}
                for n in range(2, 6) if reports else ():
                    knows = known.version if f"far-{n}:1" in told else -1
                    vm = _vm(f"far-{n}", "far")
                    made.take(messages.Report(vm, True, configuration=knows))
            sent = [(n, at) for n, at in calls.times if n.startswith("far")]
            if reports:
                assert [name for name, _ in sent] == ["far-0:1", "far-2:1"]
                assert sent[1][1] - began < 0.7
            else:
                assert [name for name, _ in sent] == ["far-0:1"]

        _play(scenario)

    def test_one_of_them_missed_it(self):
        """The message reaches all but one."""

        async def scenario(made, known, calls):
            calls.dead = {"far-2:1"}
            reports = [
                messages.Report(_vm(f"far-{n}", "far"), True) for n in range(4)
            ]
            for report in reports:
                made.take(report)
            await asyncio.sleep(0.2)
            heard = [made.answer(report).nothing for report in reports]
            assert heard == [True, True, False, True]

        _play(scenario)


class TestSlowLink:
    """A VM behind a full link."""

    def test_one_message_at_a_time(self):
        """The configuration changes ten times while one message travels.

        Sending each version by itself would fill the link further with what
        is old when it arrives. The VM gets two messages, and knows all then.
        """

        async def scenario(made, known, calls):
            calls.sent.clear()
            calls.slow = 1.0
            made.take(messages.Report(_vm("vm-2"), True))
            for version in range(2, 12):
                await asyncio.sleep(0.05)
                known.apply_configuration(routes.Configuration(version))
            await asyncio.sleep(3.0)
            told = [told for _, told in calls.sent]
            assert len(told) == 2
            assert told[-1].news.change.version == 11

        _play(scenario)

    @pytest.mark.parametrize(("routes_more", "told"), [(3, True), (90, False)])
    def test_silent_connection(self, routes_more, told):
        """The connection to a VM has fallen silent without a reset.

        It takes seconds until that shows. Small news that cannot wait come
        with the answer to the VM's next report; large ones would fill a link
        that is merely full.
        """

        async def scenario(made, known, calls):
            calls.slow = 1.5
            report = messages.Report(_vm("vm-2"), True, configuration=1)
            made.take(report)
            more = tuple(
                routes.Route(
                    f"r-{n}",
                    "h",
                    f"/{n}/",
                    routes.RouteKind.DOWNLOAD,
                    (routes.Part("s"),),
                    1.0,
                    0.5,
                )
                for n in range(routes_more)
            )
            known.apply_configuration(
                routes.Configuration(2, more, known.configuration.services)
            )
            await asyncio.sleep(0.3)
            assert made.answer(report).nothing
            await asyncio.sleep(0.4)
            assert made.answer(report).nothing is not told

        _play(scenario)
