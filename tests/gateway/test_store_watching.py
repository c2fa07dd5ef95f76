"""Tests of store watches: resumption, load on the store, age of views."""

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
    """A store that counts calls, with scripted responses to watches.

    Attributes:
        lists: Number of lists of each prefix.
        watches: Revisions from which watches of the targets started.
        scripted: Changes and failures that the next watches return.
    """

    def __init__(self):
        super().__init__()
        self.lists = collections.Counter()
        self.watches = []
        self.scripted = []

    async def list(self, prefix, *, stale=False):
        """Counts a list."""
        self.lists[prefix] += 1
        return await super().list(prefix, stale=stale)

    async def watch(self, prefix, after, wait):
        """Records a watch and returns the next scripted response, if any."""
        if prefix == "servers/":
            self.watches.append(after)
            if self.scripted:
                response = self.scripted.pop(0)
                succeeds = isinstance(response, ports.Changes)
                return result.Ok(response) if succeeds else result.Err(response)
        return await super().watch(prefix, after, wait)


def _watcher(store, *targets):
    """Returns a VM's store watcher, its cluster state and its log."""
    timer, log = fakes.VirtualClock(), fakes.MemoryEvents()
    state = fakes.new_cluster_state(timer, log, *targets)
    watcher = store_watching.StoreWatcher(
        settings.StoreSettings(address="127.0.0.1:1"),
        store,
        records.RecordDecoder(),
        state,
        timer,
        log,
    )
    return watcher, state, log


def _run(scenario, store, seen=0):
    async def main():
        watcher, state, log = _watcher(store, fakes.target("a"))
        state.seen = seen
        watcher.set_leader_reliable(False)
        watcher.start()
        await asyncio.sleep(2.0)
        await scenario(state, log)
        watcher.stop()

    virtual.run(main())


class TestFollow:
    """The revision from which a VM follows the store."""

    @pytest.mark.parametrize(("seen", "lists"), [(0, 1), (40, 0)])
    def test_starts_at_the_last_revision(self, seen, lists):
        """Guards against lists by all VMs when the leader fails.

        A hundred VMs that read hundreds of registrations over the link between
        regions would fill it, and delay the next leader's messages.
        """
        store = Store()

        async def scenario(state, log):
            assert store.lists["servers/"] == lists
            assert store.watches[0] == (seen or 1)

        _run(scenario, store, seen)

    def test_failed_watch_resumes(self):
        """Guards against a repeated list after a watch has failed."""
        store = Store()
        store.scripted = [fakes.UNKNOWN, fakes.UNAVAILABLE]

        async def scenario(state, log):
            assert store.lists["servers/"] == 0
            assert store.watches[:3] == [40, 40, 40]
            assert log.named("store_lost")
            assert state.store_ok

        _run(scenario, store, 40)

    def test_history_lost(self):
        """A prefix is listed again after the store has dropped its history."""
        store = Store()
        store.scripted = [ports.HistoryLost()]

        async def scenario(state, log):
            assert store.lists["servers/"] == 1

        _run(scenario, store, 40)


class TestEvacuations:
    """Zones that operators evacuate and put back into service."""

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
    def test_evacuated_zones(self, listed, changes, expected):
        """Guards against an evacuation that is missed or outlives its end."""

        class Scripted(Store):
            """A store with scripted changes of the operators' keys."""

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

        async def scenario(state, log):
            assert state.evacuations.zones == expected
            for zone in ("east", "west"):
                allowed = state.eligibility.allows(zone, ())
                assert allowed is (zone not in expected)

        _run(scenario, Scripted())


class TestPause:
    """Reads while there is, or will soon be, a reliable leader."""

    def test_list_is_cancelled(self):
        """Guards against a link filled by lists that are not needed."""

        class Slow(Store):
            """A store whose lists take ten seconds."""

            async def list(self, prefix, *, stale=False):
                self.lists[prefix] += 1
                await asyncio.sleep(10.0)
                return await super().list(prefix, stale=stale)

        store = Slow()

        async def main():
            watcher, _, log = _watcher(store)
            watcher.set_leader_reliable(False)
            watcher.start()
            await asyncio.sleep(1.0)
            assert store.lists["servers/"] == 1
            watcher.set_leader_reliable(True)
            await asyncio.sleep(20.0)
            assert store.lists["servers/"] == 1
            assert not log.named("targets_listed")
            watcher.stop()

        virtual.run(main())

    def test_lists_are_delayed(self):
        """Guards against lists by all VMs at once when a leader is lost."""
        store = Store()

        async def main():
            watcher, _, _ = _watcher(store)
            watcher.set_leader_reliable(False, read_delay=1.2)
            watcher.start()
            await asyncio.sleep(0.5)
            assert store.lists["servers/"] == 0
            await asyncio.sleep(2.0)
            assert store.lists["servers/"] == 1
            watcher.stop()

        virtual.run(main())


class LeavingStore(Store):
    """A store in which one target leaves at a given time."""

    def __init__(self, leaves_at):
        super().__init__()
        self._leaves_at = leaves_at
        self._reported = False

    async def watch(self, prefix, after, wait):
        """Returns the target's change, at once or when the target leaves."""
        if prefix != "servers/" or self._reported:
            return await super().watch(prefix, after, wait)
        await asyncio.sleep(max(self._leaves_at - virtual.now(), 0.0))
        self._reported = True
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


class TestLeavingReportedLate:
    """Targets that leave while this VM does not follow the store."""

    @pytest.mark.parametrize(
        ("current", "followed", "leaves_at"),
        [(1.0, 3.0, 1.2), (1.0, 2.0, 1.9), (1.0, 1.1, 3.0), (0.0, 5.0, 2.0)],
    )
    def test_grace_starts_at_earliest_time_of_leaving(
        self, current, followed, leaves_at
    ):
        """Guards against a grace period that starts at a late notification.

        The VM has lost its leader, and followed the store only seconds later.
        """
        drain = fakes.configured().bounds.drain

        async def main():
            watcher, state, _ = _watcher(
                LeavingStore(leaves_at),
                fakes.target("a", address="10.1.0.1:80"),
            )
            state.seen = 40
            watcher.start()
            await asyncio.sleep(current)
            state.registrations_freshness.record(virtual.now())
            await asyncio.sleep(followed - current)
            watcher.set_leader_reliable(False)
            await asyncio.sleep(max(leaves_at - followed, 0.0) + 0.1)
            entry = state.directory.get("a")
            assert entry.target.leaving
            assert entry.until < leaves_at + drain
            if leaves_at > followed + 1.0:
                assert entry.until > leaves_at + drain / 2
            watcher.stop()

        virtual.run(main())

    @pytest.mark.parametrize("listed", [False, True])
    @pytest.mark.parametrize("outage", [False, True])
    def test_registrations_expire_in_an_outage(self, outage, listed):
        """Guards against healthy targets without requests after an outage.

        All registrations have expired when the store is available again, and
        are renewed within two seconds.
        """
        store = Store()
        if outage:
            store.scripted = [fakes.UNKNOWN, fakes.UNKNOWN, fakes.UNKNOWN]
        if listed:
            store.scripted.append(ports.HistoryLost())

        async def main():
            watcher, state, _ = _watcher(store, fakes.target("a"))
            state.seen = 40
            watcher.start()
            state.registrations_freshness.record(virtual.now())
            await asyncio.sleep(8.0)
            watcher.set_leader_reliable(False)
            gone = ports.Changes((), (("servers/a", 41),), 41)
            if not listed:
                store.scripted.append(gone)
            while state.directory.is_ready("a"):
                await asyncio.sleep(0.01)
            left = state.directory.get("a").until - virtual.now()
            assert left > 0.4 if outage else left < 0.0
            watcher.stop()

        virtual.run(main())

    def test_leaders_update(self):
        """Guards against a grace period that restarts at each notified VM."""

        async def main():
            timer, log = fakes.VirtualClock(), fakes.MemoryEvents()
            leader = fakes.new_cluster_state(timer, log, fakes.target("a"))
            leader.apply_target(fakes.target("a", leaving=True, revision=5))
            leader.seen = 5
            await asyncio.sleep(1.5)
            update = leader.updates_since(1, leader.version)
            behind = fakes.new_cluster_state(timer, log, fakes.target("a"))
            behind.apply_update(update)
            ends = [vm.directory.get("a").until for vm in (leader, behind)]
            assert ends[0] == ends[1]

        virtual.run(main())


_OWN = {
    "ServiceName": "s",
    "Address": "10.1.0.1:80",
    "Zone": "z",
    "ConfigVersion": "v1",
    "Slots": 4,
    "State": "ready",
    "WarmupLeftMs": 0,
    "SeqNo": 9,
    "born": 1,
}
_STRAY = _OWN | {"Address": "10.1.0.9:80", "born": 7}
_ALL_REASONS = [
    *(
        ({k: v for k, v in _STRAY.items() if k != field}, "malformed")
        for field in _STRAY
    ),
    (_STRAY | {"Slots": "4"}, "malformed"),
    (7, "malformed"),
    (_STRAY | {"State": "asleep"}, "state"),
    (_STRAY | {"Address": "10.1.0.9:99999"}, "address"),
    (_STRAY | {"ServiceName": "unknown"}, "service"),
]


class RegistrationStore(Store):
    """A store with the registration of target "a", and changes of it."""

    def __init__(self, *values):
        super().__init__()
        self.items = [
            ports.Item("servers/a", msgspec.json.encode(value), 41 + number)
            for number, value in enumerate(values)
        ]
        self.removed_at = None

    async def list(self, prefix, *, stale=False):
        """Returns the newest registration."""
        self.lists[prefix] += 1
        if prefix != "servers/":
            return result.Ok(ports.Listing((), 0))
        return result.Ok(ports.Listing((self.items[-1],), 60))

    def script(self):
        """Makes watches return each registration, then a removal, if any."""
        self.scripted = [
            ports.Changes((item,), (), item.revision) for item in self.items
        ]
        if self.removed_at is not None:
            removal = (("servers/a", self.removed_at),)
            self.scripted.append(ports.Changes((), removal, self.removed_at))


class TestRejectedRegistrations:
    """Registrations from another writer, under the identifier of a target."""

    @pytest.mark.parametrize("listed", [False, True])
    @pytest.mark.parametrize(("stray", "reason"), _ALL_REASONS)
    def test_entry_before_it_holds(self, stray, reason, listed):
        """Guards against a live target that loses its keys to a stray entry.

        A stray registration has a later start and another address. It is no
        restart, and a list that contains it does not lack the target.
        """
        store = RegistrationStore(_OWN, stray)
        if listed:
            store.scripted = [ports.HistoryLost()]
        else:
            store.script()
        own = fakes.target("a", address="10.1.0.1:80", revision=41)

        async def scenario(state, log):
            entry = state.directory.get("a")
            assert entry.target.born == own.born
            assert entry.target.address == own.address
            assert entry.target.service == own.service
            assert state.directory.is_ready("a")
            assert not state.directory.has_restarted("a", own.born)
            assert state.rejected.counts == {reason: 1}
            [line] = log.named("target_unreadable")
            assert (line["target"], line["reason"]) == ("a", reason)

        async def main():
            watcher, state, log = _watcher(store, own)
            state.seen = 40
            watcher.set_leader_reliable(False)
            watcher.start()
            await asyncio.sleep(4.0)
            await scenario(state, log)
            watcher.stop()

        virtual.run(main())

    def test_logged_once(self):
        """Guards against a log that another writer fills."""
        strays = [_STRAY | {"Slots": None, "SeqNo": n} for n in range(5)]
        store = RegistrationStore(_OWN, *strays)
        store.script()

        async def scenario(state, log):
            assert state.rejected.counts == {"malformed": 5}
            assert len(log.named("target_unreadable")) == 1

        _run(scenario, store, 40)

    def test_removal_counts(self):
        """The key's removal counts, whoever wrote its last value."""
        store = RegistrationStore(_OWN, _STRAY | {"State": "asleep"})
        store.removed_at = 45
        store.script()

        async def scenario(state, log):
            assert not state.directory.is_ready("a")

        _run(scenario, store, 40)


class TestAges:
    """The age of this VM's views by its own watches."""

    @pytest.mark.parametrize("delay", [0.0, 0.9])
    def test_watch_without_change(self, delay):
        """Guards against a view dated by the arrival of a delayed response."""

        class Delayed(Store):
            """A store whose responses to watches are delayed."""

            async def watch(self, prefix, after, wait):
                response = await super().watch(prefix, after, wait)
                await asyncio.sleep(delay)
                return response

        async def main():
            watcher, state, _ = _watcher(Delayed(), fakes.target("a"))
            state.seen = state.configuration_seen = 40
            watcher.set_leader_reliable(False)
            watcher.start()
            wait = settings.StoreSettings(address="").watch_wait
            await asyncio.sleep(wait + delay + 0.01)
            for age in fakes.view_ages(state):
                assert age == pytest.approx(delay + 0.01, abs=0.001)
            watcher.stop()

        virtual.run(main())

    @pytest.mark.parametrize("leads_at", [0.0, 5.0])
    def test_silent_watches(self, leads_at):
        """Guards against a leader whose watches hang unnoticed.

        They may have started with a long wait, before the VM led.
        """
        store = fakes.WatchedStore()
        contact_seconds = 3.0

        async def main():
            watcher, state, _ = _watcher(store, fakes.target("a"))
            watcher.set_leader_reliable(False)
            watcher.start()
            await asyncio.sleep(leads_at)
            watcher.set_leader_reliable(False, closely=True)
            await asyncio.sleep(0.5)
            store.stall_watches()
            await asyncio.sleep(contact_seconds)
            for _ in range(100):
                assert max(fakes.view_ages(state)) < contact_seconds
                await asyncio.sleep(0.1)
            watcher.stop()

        virtual.run(main())
