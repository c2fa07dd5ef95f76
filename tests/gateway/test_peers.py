"""A VM among its peers: when it reports, and what it asks the store."""

import asyncio
import collections

import msgspec
import pytest

from mimosastile_core.gateway import casualties
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import room
from mimosastile_gateway import admitting
from mimosastile_gateway import datagrams
from mimosastile_gateway import leading
from mimosastile_gateway import messages
from mimosastile_gateway import peers
from mimosastile_gateway import turns
from mimosastile_gateway import watching
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

    async def call(self, address, path, body, timeout):
        """Answers a report."""
        if address in self.missing:
            return None
        if path == messages.REPORT_PATH:
            report = messages.decode(body, messages.Report)
            self.reports.append((virtual.now(), report))
            reply = messages.ReportReply(ENTRY, leading=True, store=True)
            return messages.encode(reply)
        return messages.encode(messages.Taken())


class Store(fakes.Store):
    """Counts lists by prefix."""

    def __init__(self):
        super().__init__()
        self.lists = collections.Counter()

    async def list(self, prefix, *, stale=False):
        """Counts a list."""
        self.lists[prefix] += 1
        return await super().list(prefix, stale=stale)


def _play(scenario):
    async def main():
        timer, log = fakes.VirtualClock(), fakes.Lines()
        configured = fakes.configured()
        known = fakes.known(timer, log, fakes.target("a"))
        store, calls = Store(), Calls()
        made = peers.Peers(
            configured,
            "boot-1",
            store,
            calls,
            known,
            room.Rooms(room.Place("z", "r"), {"z": "r"}, room.Policy()),
            leading.Leading(
                configured,
                "boot-1",
                store,
                fakes.Orders(),
                calls,
                known,
                timer,
                log,
            ),
            turns.Turns(),
            admitting.Admitting(
                configured, datagrams.Channel(log), known, timer
            ),
            watching.Watching(
                configured.store, store, records.Records(), known, timer, log
            ),
            casualties.Casualties(),
            timer,
            log,
        )
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
            made.take_push(_announced())
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
            made.take_push(_announced())
            made.turned_away("a")
            made.turned_away("a")
            await asyncio.sleep(0.1)
            assert calls.reports[0][1].waiting == {"a": 2}
            await asyncio.sleep(0.5)
            assert calls.reports[-1][1].waiting == {}

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
                made.take_push(_announced())
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
            made.take_push(_announced())
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
            made.take_push(_announced())
            await asyncio.sleep(0.45)
            before = len(calls.reports)
            made.turned_away("a")
            await asyncio.sleep(0.05)
            assert len(calls.reports) == before + 1
            assert calls.reports[-1][1].waiting == {"a": 1}
            # Not with each request.
            for _ in range(20):
                made.turned_away("a")
                await asyncio.sleep(0.01)
            assert len(calls.reports) == before + 1

        _play(scenario)

    def test_new_gate_is_told_at_once(self):
        """Guards against a gate that VMs hear of with their next report."""

        async def scenario(made, known, store, calls):
            made.start()
            made.take_push(_announced())
            await asyncio.sleep(0.1)
            told = messages.ReportReply(
                ENTRY, leading=True, gates={"a": "gate:1"}
            )
            made.take_push(told)
            assert made._rooms.gate("a", virtual.now()) == "gate:1"

        _play(scenario)
