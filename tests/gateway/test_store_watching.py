"""Following the store without reading what is known already."""

import asyncio
import collections

import msgspec
import pytest
import result

from mimosastile_gateway import ports
from mimosastile_gateway import settings
from mimosastile_gateway import store_watching
from mimosastile_platform import records
from mimosastile_standins import virtual
from tests.gateway import fakes


class Store(fakes.Store):
    """Counts calls, and answers watches as it is told.

    Attributes:
        lists: How often each prefix was listed.
        watches: Revisions from which watches went on.
        moods: Failures that the next watches answer.
    """

    def __init__(self):
        super().__init__()
        self.lists = collections.Counter()
        self.watches = []
        self.moods = []

    async def list(self, prefix, *, stale=False):
        """Counts a list."""
        self.lists[prefix] += 1
        return await super().list(prefix, stale=stale)

    async def watch(self, prefix, after, wait):
        """Notes a watch."""
        if prefix == "servers/":
            self.watches.append(after)
            if self.moods:
                mood = self.moods.pop(0)
                answers = isinstance(mood, ports.Changes)
                return result.Ok(mood) if answers else result.Err(mood)
        return await super().watch(prefix, after, wait)


def _watcher(store, *targets):
    """Makes a VM's view of the store; returns it with its beliefs and log."""
    timer, log = fakes.VirtualClock(), fakes.MemoryEvents()
    known = fakes.new_cluster_state(timer, log, *targets)
    made = store_watching.StoreWatcher(
        settings.StoreSettings(address="127.0.0.1:1"),
        store,
        records.Records(),
        known,
        timer,
        log,
    )
    return made, known, log


def _play(scenario, store, known_up_to=0):
    async def main():
        made, known, log = _watcher(store, fakes.target("a"))
        known.seen = known_up_to
        made.set_leader_reliable(False)
        made.start()
        await asyncio.sleep(2.0)
        await scenario(known, log)
        made.stop()

    virtual.run(main())


class TestFollow:
    """Where a VM begins that has to look for itself."""

    @pytest.mark.parametrize(("known_up_to", "lists"), [(0, 1), (40, 0)])
    def test_begins_where_it_is(self, known_up_to, lists):
        """The leader dies and all VMs turn to the store at once.

        A hundred of them that read hundreds of registrations over the link
        between regions would fill it; the next leader could not be heard.
        """
        store = Store()

        async def scenario(known, log):
            assert store.lists["servers/"] == lists
            assert store.watches[0] == (known_up_to or 1)

        _play(scenario, store, known_up_to)

    def test_failed_watch_goes_on(self):
        """A watch is cut; nothing is read twice for that."""
        store = Store()
        store.moods = [fakes.UNKNOWN, fakes.UNAVAILABLE]

        async def scenario(known, log):
            assert store.lists["servers/"] == 0
            assert store.watches[:3] == [40, 40, 40]
            assert log.named("store_lost")
            assert known.store_ok

        _play(scenario, store, 40)

    def test_history_lost(self):
        """The store has dropped what this VM missed: it reads all."""
        store = Store()
        store.moods = [ports.HistoryLost()]

        async def scenario(known, log):
            assert store.lists["servers/"] == 1

        _play(scenario, store, 40)


class TestEvacuations:
    """Zones that operators evacuate and take back."""

    @pytest.mark.parametrize(
        ("listed", "changes", "expected"),
        [
            ((), (), ()),
            (("east", "west"), (), ("east", "west")),
            ((), ((("east",), (), 5),), ("east",)),
            (("east",), (((), ("east",), 5),), ()),
            (("east",), ((("west",), ("east",), 5),), ("west",)),
            ((), ((("east",), (), 5), ((), ("east",), 6)), ()),
            (
                ("east",),
                (((), ("east",), 5), (("east",), (), 6)),
                ("east",),
            ),
        ],
    )
    def test_taken(self, listed, changes, expected):
        """Guards against an evacuation that is missed or outlives its end."""

        class Changing(Store):
            """Brings changes of what operators wrote."""

            def __init__(self):
                super().__init__()
                self.items = {
                    f"op/evacuate/{zone}": (b"{}", 2) for zone in listed
                }
                self.left = list(changes)

            async def watch(self, prefix, after, wait):
                if prefix != "op/" or not self.left:
                    return await super().watch(prefix, after, wait)
                begun, ended, revision = self.left.pop(0)
                return result.Ok(
                    ports.Changes(
                        tuple(
                            ports.Item(f"op/evacuate/{z}", b"{}", revision)
                            for z in begun
                        ),
                        tuple((f"op/evacuate/{z}", revision) for z in ended),
                        revision,
                    )
                )

        async def scenario(known, log):
            assert known.evacuations.zones == expected
            for zone in ("east", "west"):
                allowed = known.eligibility.allows(zone, ())
                assert allowed is (zone not in expected)

        _play(scenario, Changing())


class TestRest:
    """A leader can be relied on while a VM reads."""

    def test_reading_ends(self):
        """Guards against a link kept full by lists that nobody needs."""

        class Slow(Store):
            """Lists take ten seconds."""

            async def list(self, prefix, *, stale=False):
                self.lists[prefix] += 1
                await asyncio.sleep(10.0)
                return await super().list(prefix, stale=stale)

        store = Slow()

        async def main():
            made, _, log = _watcher(store)
            made.set_leader_reliable(False)
            made.start()
            await asyncio.sleep(1.0)
            assert store.lists["servers/"] == 1
            made.set_leader_reliable(True)
            await asyncio.sleep(20.0)
            assert store.lists["servers/"] == 1
            assert not log.named("targets_listed")
            made.stop()

        virtual.run(main())

    def test_lists_are_not_read_all_at_once(self):
        """Guards against all VMs reading everything when a leader is lost."""
        store = Store()

        async def main():
            made, _, _ = _watcher(store)
            made.set_leader_reliable(False, patience=1.2)
            made.start()
            await asyncio.sleep(0.5)
            assert store.lists["servers/"] == 0
            await asyncio.sleep(2.0)
            assert store.lists["servers/"] == 1
            made.stop()

        virtual.run(main())


class Changing(Store):
    """Answers one watch with a target that leaves.

    Attributes:
        leaves_at: When the store acknowledges that.
        acknowledged: The time at which it did.
    """

    def __init__(self, leaves_at):
        super().__init__()
        self._leaves_at = leaves_at
        self._told = False

    async def watch(self, prefix, after, wait):
        """Answers at once, or when the target leaves."""
        if prefix != "servers/" or self._told:
            return await super().watch(prefix, after, wait)
        await asyncio.sleep(max(self._leaves_at - virtual.now(), 0.0))
        self._told = True
        item = ports.Item("servers/a", _LEAVING, after + 1)
        return result.Ok(ports.Changes((item,), (), after + 1))


_LEAVING = msgspec.json.encode(
    {
        "ServiceName": "s",
        "Address": "10.1.0.1:80",
        "Zone": "z",
        "ConfigVersion": "v1",
        "Slots": 4,
        "State": "draining",
        "WarmupLeftMs": 0,
        "SeqNo": 9,
        "born": 1,
    }
)


class TestLeavingHeardLate:
    """A target leaves while nobody tells this VM what the store holds."""

    @pytest.mark.parametrize(
        ("current", "followed", "leaves_at"),
        [(1.0, 3.0, 1.2), (1.0, 2.0, 1.9), (1.0, 1.1, 3.0), (0.0, 5.0, 2.0)],
    )
    def test_time_counts_from_when_it_may_have_left(
        self, current, followed, leaves_at
    ):
        """Guards against a grace that begins only when a VM hears of it.

        Its leader was lost, and it turned to the store seconds later.
        """
        drain = fakes.configured().bounds.drain

        async def main():
            made, known, _ = _watcher(
                Changing(leaves_at), fakes.target("a", address="10.1.0.1:80")
            )
            known.seen = 40
            made.start()
            await asyncio.sleep(current)
            known.registrations.note(virtual.now())
            await asyncio.sleep(followed - current)
            made.set_leader_reliable(False)
            await asyncio.sleep(max(leaves_at - followed, 0.0) + 0.1)
            entry = known.directory.get("a")
            assert entry.target.leaving
            assert entry.until < leaves_at + drain
            if leaves_at > followed + 1.0:
                assert entry.until > leaves_at + drain / 2
            made.stop()

        virtual.run(main())

    @pytest.mark.parametrize("listed", [False, True])
    @pytest.mark.parametrize("outage", [False, True])
    def test_registrations_that_lapse_in_an_outage(self, outage, listed):
        """Guards against targets that are well and get no work after an outage.

        All registrations have lapsed when the store is back, and come again
        within two seconds.
        """
        store = Store()
        if outage:
            store.moods = [fakes.UNKNOWN, fakes.UNKNOWN, fakes.UNKNOWN]
        if listed:
            store.moods.append(ports.HistoryLost())

        async def main():
            made, known, _ = _watcher(store, fakes.target("a"))
            known.seen = 40
            made.start()
            known.registrations.note(virtual.now())
            await asyncio.sleep(8.0)
            made.set_leader_reliable(False)
            gone = ports.Changes((), (("servers/a", 41),), 41)
            if not listed:
                store.moods.append(gone)
            while known.directory.is_ready("a"):
                await asyncio.sleep(0.01)
            left = known.directory.get("a").until - virtual.now()
            assert left > 0.4 if outage else left < 0.0
            made.stop()

        virtual.run(main())

    def test_news_of_a_leader(self):
        """Guards against a grace that begins anew at each VM that is told."""

        async def main():
            timer, log = fakes.VirtualClock(), fakes.MemoryEvents()
            leader = fakes.new_cluster_state(timer, log, fakes.target("a"))
            leader.apply_target(fakes.target("a", leaving=True, revision=5))
            leader.seen = 5
            await asyncio.sleep(1.5)
            news = leader.updates_since(1, leader.version)
            behind = fakes.new_cluster_state(timer, log, fakes.target("a"))
            behind.apply_update(news)
            ends = [k.directory.get("a").until for k in (leader, behind)]
            assert ends[0] == ends[1]

        virtual.run(main())


class TestAges:
    """How old this VM's views are by its own watches."""

    @pytest.mark.parametrize("held_up", [0.0, 0.9])
    def test_watch_without_change(self, held_up):
        """Guards against an answer that is held up and makes a view fresh."""

        class HeldUp(Store):
            """Answers come late by some seconds."""

            async def watch(self, prefix, after, wait):
                brought = await super().watch(prefix, after, wait)
                await asyncio.sleep(held_up)
                return brought

        async def main():
            made, known, _ = _watcher(HeldUp(), fakes.target("a"))
            known.seen = known.configuration_seen = 40
            made.set_leader_reliable(False)
            made.start()
            wait = settings.StoreSettings(address="").watch_wait
            await asyncio.sleep(wait + held_up + 0.01)
            for age in fakes.view_ages(known):
                assert age == pytest.approx(held_up + 0.01, abs=0.001)
            made.stop()

        virtual.run(main())

    @pytest.mark.parametrize("leads_at", [0.0, 5.0])
    def test_silent_watches(self, leads_at):
        """Guards against a leader whose watches have fallen silent.

        It may have been a watcher with a long wait when they did.
        """
        store = fakes.WatchedStore()
        contact = 3.0

        async def main():
            made, known, _ = _watcher(store, fakes.target("a"))
            made.set_leader_reliable(False)
            made.start()
            await asyncio.sleep(leads_at)
            made.set_leader_reliable(False, closely=True)
            await asyncio.sleep(0.5)
            store.stall_watches()
            await asyncio.sleep(contact)
            for _ in range(100):
                assert max(fakes.view_ages(known)) < contact
                await asyncio.sleep(0.1)
            made.stop()

        virtual.run(main())
