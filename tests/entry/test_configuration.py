"""Tests of the configuration service against an in-memory store."""

import asyncio
import json

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
import result

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import history
from mimosastile_core import patches
from mimosastile_standins import store
from mimosastile_standins import virtual
from mimosastile_standins import world

PLACES = (("kontinent", "zagreb-a"), ("primorje", "split-a"))
LATE_SECONDS = 0.25
SPAN = 8
"""Numbers per history block; small, so that few patches fill many blocks."""
_UNKNOWN = result.Err(errors.Failure(errors.ErrorKind.STORE_UNKNOWN))


@pytest.fixture(autouse=True, scope="module")
def _short_blocks():
    """Shortens history blocks, so that tests create many snapshots."""
    with pytest.MonkeyPatch.context() as patched:
        patched.setattr(history, "BLOCK_SPAN", SPAN)
        patched.setattr(history, "RECENT_SNAPSHOTS", 2)
        patched.setattr(history, "KEPT_SNAPSHOT_INTERVAL", 3)
        yield


class _CrashedError(Exception):
    """The VM that applies the patch crashes at this point."""


class FaultyStore(store.MemoryStore):
    """A store that injects faults into writes of the configuration.

    Attributes:
        faults: Fault by number of the write, from 0.
        writes: Number of writes of configuration and history so far.
        late: Tasks of the delayed writes.
    """

    def __init__(self):
        super().__init__(latency=0.002)
        self.faults = {}
        self.writes = 0
        self.late = []

    async def compare_and_swap(self, key, value, revision):
        """Writes, or injects the planned fault."""
        if not key.startswith(("config/", "history/")):
            return await super().compare_and_swap(key, value, revision)
        fault = self.faults.get(self.writes, "")
        self.writes += 1
        if fault == "late":
            write = self._write_late(key, value, revision)
            self.late.append(asyncio.ensure_future(write))
            return _UNKNOWN
        if fault not in ("never", "dies before"):
            done = await super().compare_and_swap(key, value, revision)
            if not fault:
                return done
        if fault.startswith("dies"):
            raise _CrashedError
        return _UNKNOWN

    async def _write_late(self, key, value, revision):
        await virtual.pause(LATE_SECONDS)
        return await super().compare_and_swap(key, value, revision)


def _patch(number, base, path="/members/m{}", value=None):
    operation = patches.Operation(
        "add", path.format(number), {} if value is None else value
    )
    return patches.Patch(
        f"patch-{number:04d}", base, f"why {number}", (operation,)
    )


def _allow_all(paths):
    del paths


async def _apply(cluster, vm, patch, author="ana"):
    service = cluster.daemons[vm].find("configuration")
    return await service.apply(patch, author, _allow_all)


async def _cluster(vms=2):
    cluster = world.World()
    cluster.store = cluster.sites.store = FaultyStore()
    for i in range(vms):
        await cluster.add_daemon(f"e{i}", *PLACES[i % 2])
    return cluster


def _stored(cluster):
    recorded = cluster.store.entries["config/current"].value
    return config.decode_version(recorded).unwrap()


async def _check_history(cluster, vm):
    """Checks that the history is complete and rebuilds the document."""
    service = cluster.daemons[vm].find("configuration")
    current = _stored(cluster)
    changes = (await service.history(0, 1000)).unwrap()
    numbers = [c.number for c in changes]
    assert numbers == list(range(current.number, 0, -1))
    assert len({c.id for c in changes}) == len(changes)
    document = (await service.document(current.number)).unwrap()
    assert document == current.document
    if current.number > 1:
        before = (await service.document(current.number - 1)).unwrap()
        last = (await service.change(current.number)).unwrap()
        operations = msgspec.convert(
            last.operations, tuple[patches.Operation, ...]
        )
        raw = patches.apply_raw(patches.to_raw(before), operations).unwrap()
        assert config.convert_document(raw).unwrap() == current.document


class TestApply:
    """Patches are applied one after another."""

    def test_numbers_rise_by_one_and_the_history_is_complete(self):
        """Nine blocks; all documents are rebuilt, also from thinned ones."""

        async def scenario():
            cluster = await _cluster()
            expected = {0: config.Document()}
            for number in range(1, 9 * SPAN + 3):
                done = await _apply(cluster, "e0", _patch(number, number - 1))
                assert done.unwrap().number == number
                expected[number] = _stored(cluster).document
            await _check_history(cluster, "e1")
            service = cluster.daemons["e1"].find("configuration")
            for number, document in expected.items():
                assert (await service.document(number)).unwrap() == document
            thinned_keys = [
                key
                for key, entry in cluster.store.entries.items()
                if key.startswith("history/snapshot")
                and entry.value == history.thinned_snapshot()
            ]
            assert len(thinned_keys) == 5

        virtual.run(scenario())

    def test_long_operations_and_imported_versions_are_rebuilt(self):
        """A version imported without a patch, a long patch, then short ones."""

        async def scenario():
            cluster = await _cluster()
            first = config.Document(members={"old": config.Member(share=3)})
            await cluster.configure(first, 7)
            await virtual.pause(1.0)
            drains = [f"target-{i:08d}" for i in range(900)]
            long_one = _patch(8, 7, "/services/s", {"drains": drains})
            assert (await _apply(cluster, "e0", long_one)).is_ok()
            assert (await _apply(cluster, "e1", _patch(9, 8))).is_ok()
            assert (await _apply(cluster, "e0", _patch(10, 9))).is_ok()
            service = cluster.daemons["e1"].find("configuration")
            assert (await service.document(7)).unwrap() == first
            rebuilt = (await service.document(8)).unwrap()
            assert list(rebuilt.services["s"].drains) == drains
            found = (await service.history(0, 9)).unwrap()
            assert [c.number for c in found] == [10, 9, 8, 7]
            missing = await service.document(3)
            assert missing.unwrap_err().kind is errors.ErrorKind.NOT_FOUND

        virtual.run(scenario())

    def test_blame_and_revert(self):
        """Blame finds the last change of a path; a new patch reverts it."""

        async def scenario():
            cluster = await _cluster()
            path = "/members/m1/share"
            for patch in (
                _patch(1, 0),
                _patch(2, 1, path, 4.0),
                _patch(3, 2),
            ):
                assert (await _apply(cluster, "e0", patch)).is_ok()
            service = cluster.daemons["e1"].find("configuration")
            blamed = (await service.blame(path, 10)).unwrap()
            assert [c.number for c in blamed] == [2, 1]
            undo = (await service.revert(2)).unwrap()
            patch = patches.Patch("patch-undo", 3, "undo 2", undo)
            assert (await _apply(cluster, "e1", patch)).unwrap().number == 4
            members = _stored(cluster).document.members
            assert members["m1"].share == 1.0
            assert "m3" in members

        virtual.run(scenario())

    @pytest.mark.parametrize(
        ("base", "kind"),
        [(0, errors.ErrorKind.CONFLICT), (2, errors.ErrorKind.CONFLICT)],
    )
    def test_other_base_is_a_conflict(self, base, kind):
        """Neither an outdated base nor one that does not exist yet is valid."""

        async def scenario():
            cluster = await _cluster()
            await _apply(cluster, "e0", _patch(1, 0))
            refused = await _apply(cluster, "e0", _patch(2, base))
            assert refused.unwrap_err().failure.kind is kind
            assert refused.unwrap_err().current == 1

        virtual.run(scenario())


class TestRace:
    """Two operators submit patches against the same number at once.

    One of them wins. The other receives the changes accepted meanwhile with
    their authors, and no part of its patch is in force.
    """

    def test_loser_sees_the_winner(self):
        """The conflict names paths and author of the winning change."""

        async def scenario():
            cluster = await _cluster()
            one, two = await asyncio.gather(
                _apply(cluster, "e0", _patch(1, 0), "ana"),
                _apply(cluster, "e1", _patch(2, 0), "ivo"),
            )
            won, lost = (one, two) if one.is_ok() else (two, one)
            winner = "ana" if won is one else "ivo"
            rejected = lost.unwrap_err()
            assert rejected.failure.kind is errors.ErrorKind.CONFLICT
            assert [m.author for m in rejected.meanwhile] == [winner]
            assert rejected.meanwhile[0].paths == won.unwrap().paths
            assert len(_stored(cluster).document.members) == 1

        virtual.run(scenario())

    def test_concurrent_patches_get_distinct_numbers(self):
        """Each rebases until it wins; no number is assigned twice."""

        async def submitter(cluster, vm, number):
            base = 0
            for _ in range(100):
                done = await _apply(cluster, vm, _patch(number, base))
                if done.is_ok():
                    return done.unwrap().number
                base = done.unwrap_err().current or base
            raise AssertionError("never won")

        async def scenario():
            cluster = await _cluster(3)
            numbers = await asyncio.gather(
                *(submitter(cluster, f"e{i % 3}", i) for i in range(12))
            )
            assert sorted(numbers) == list(range(1, 13))
            await _check_history(cluster, "e2")

        virtual.run(scenario())


class TestLostResponse:
    """The store's response to a write is lost, or the write is delayed.

    The operator gets no response or an unknown outcome, and sends the patch
    again. The patch must not take effect twice, nor be reported as refused
    and appear later.
    """

    FAULTS = ("lost", "late", "never")

    @pytest.mark.parametrize("fault", FAULTS)
    @pytest.mark.parametrize("write", range(3))
    def test_each_write_is_resolved(self, fault, write):
        """The patch has exactly one number, whichever write the fault hits."""

        async def scenario():
            cluster = await _cluster()
            await _apply(cluster, "e0", _patch(1, 0))
            patch = _patch(2, 1)
            cluster.store.faults = {cluster.store.writes + write: fault}
            done = await _apply(cluster, "e0", patch)
            if done.is_err():
                assert done.unwrap_err().failure.kind in (
                    errors.ErrorKind.STORE_UNKNOWN,
                    errors.ErrorKind.STORE_UNAVAILABLE,
                )
            await virtual.pause(2 * LATE_SECONDS)
            again = await _apply(cluster, "e1", patch)
            assert again.unwrap().number == 2
            assert again.unwrap().repeated == done.is_ok()
            assert _stored(cluster).number == 2
            await _apply(cluster, "e1", _patch(3, 2))
            await _check_history(cluster, "e1")

        virtual.run(scenario())

    @pytest.mark.parametrize("fault", FAULTS)
    def test_another_patch_wins_while_the_outcome_is_unknown(self, fault):
        """A late write has no effect after another patch was written."""

        async def scenario():
            cluster = await _cluster()
            await _apply(cluster, "e0", _patch(1, 0))
            cluster.store.faults = {cluster.store.writes + 1: fault}
            one, two = await asyncio.gather(
                _apply(cluster, "e0", _patch(2, 1)),
                _apply(cluster, "e1", _patch(3, 1)),
            )
            assert sorted((one.is_ok(), two.is_ok())) == [False, True]
            await virtual.pause(2 * LATE_SECONDS)
            current = _stored(cluster)
            assert current.number == 2
            won = "patch-0002" if one.is_ok() else "patch-0003"
            assert current.change.id == won
            await _check_history(cluster, "e0")

        virtual.run(scenario())

    def test_same_id_on_a_newer_base_is_refused(self):
        """An open patch that is rebased under its old id is not applied."""

        async def scenario():
            cluster = await _cluster()
            await _apply(cluster, "e0", _patch(1, 0))
            await _apply(cluster, "e0", _patch(2, 1))
            path = "/members/other{}"
            for again in (_patch(2, 2, path), _patch(1, 2, path)):
                refused = await _apply(cluster, "e1", again)
                failure = refused.unwrap_err().failure
                assert failure.kind is errors.ErrorKind.BAD_REQUEST
                assert "already" in failure.detail
            assert _stored(cluster).number == 2

        virtual.run(scenario())

    def test_same_id_with_other_content_is_refused(self):
        """A different patch with a used id is never reported as accepted."""

        async def scenario():
            cluster = await _cluster()
            await _apply(cluster, "e0", _patch(1, 0))
            other = msgspec.structs.replace(
                _patch(2, 0), id="patch-0001", reason="other"
            )
            refused = await _apply(cluster, "e0", other)
            failure = refused.unwrap_err().failure
            assert failure.kind is errors.ErrorKind.CONFLICT
            assert "another patch" in failure.detail

        virtual.run(scenario())


class TestCrash:
    """The VM that applies a patch crashes between two writes.

    The operator gets no response and sends the patch through another VM. The
    patch then has exactly one number, and all earlier changes are readable.
    """

    @pytest.mark.parametrize("base", [1, SPAN, 2 * SPAN, 6 * SPAN])
    @pytest.mark.parametrize("fault", ["dies before", "dies after"])
    @pytest.mark.parametrize("write", range(4))
    def test_crash_before_or_after_each_write(self, base, fault, write):
        """Covers writes of a new block, a snapshot and long operations."""

        async def scenario():
            cluster = await _cluster()
            for number in range(1, base):
                await _apply(cluster, "e0", _patch(number, number - 1))
            drains = [f"target-{i:08d}" for i in range(500)]
            long_one = _patch(base, base - 1, "/services/s", {"drains": drains})
            await _apply(cluster, "e0", long_one)
            patch = _patch(base + 1, base)
            cluster.store.faults = {cluster.store.writes + write: fault}
            try:
                await _apply(cluster, "e0", patch)
            except _CrashedError:
                await cluster.stop_daemon("e0")
            cluster.store.faults = {}
            again = await _apply(cluster, "e1", patch)
            assert again.unwrap().number == base + 1
            await _apply(cluster, "e1", _patch(base + 2, base + 1))
            await _check_history(cluster, "e1")

        virtual.run(scenario())


class TestStoreOutage:
    """The store is unavailable while operators submit patches.

    Accepted patches stay in force on every VM, including restarted ones. A
    patch that could not be written is refused and never appears.
    """

    def test_patch_during_an_outage_is_refused(self):
        """The same patch is accepted once the store is available again."""

        async def scenario():
            cluster = await _cluster()
            await _apply(cluster, "e0", _patch(1, 0))
            cluster.store.go_down()
            patch = _patch(2, 1)
            refused = await _apply(cluster, "e0", patch)
            kind = refused.unwrap_err().failure.kind
            assert kind is errors.ErrorKind.STORE_UNAVAILABLE
            await virtual.pause(30.0)
            cluster.store.come_back()
            assert _stored(cluster).number == 1
            assert (await _apply(cluster, "e1", patch)).unwrap().number == 2

        virtual.run(scenario())

    def test_outage_in_the_middle_of_a_patch(self):
        """The response is lost and the store then fails for a minute."""

        async def scenario():
            cluster = await _cluster()
            await _apply(cluster, "e0", _patch(1, 0))
            cluster.store.faults = {cluster.store.writes + 1: "lost"}
            patch = _patch(2, 1)
            task = asyncio.ensure_future(_apply(cluster, "e0", patch))
            while cluster.store.faults and _stored(cluster).number == 1:
                await virtual.pause(0.001)
            cluster.store.go_down()
            unknown = (await task).unwrap_err().failure
            assert unknown.kind is errors.ErrorKind.STORE_UNKNOWN
            await virtual.pause(60.0)
            cluster.store.come_back()
            retried = (await _apply(cluster, "e1", patch)).unwrap()
            assert (retried.number, retried.repeated) == (2, True)

        virtual.run(scenario())

    def test_restarted_fleet_does_not_revert(self):
        """VMs are restarted one by one during a store outage."""

        async def scenario():
            cluster = await _cluster(3)
            for number in range(1, 6):
                await _apply(cluster, "e0", _patch(number, number - 1))
            await virtual.pause(1.0)
            cluster.store.go_down()
            for vm in ("e0", "e1", "e2"):
                await cluster.stop_daemon(vm)
                await cluster.start_daemon(vm)
            for kernel in cluster.daemons.values():
                assert kernel.find("configuration").current.number == 5

        virtual.run(scenario())

    def test_store_restored_from_a_backup_takes_no_patch(self):
        """A number that is in force is never reassigned."""

        async def scenario():
            cluster = await _cluster()
            await _apply(cluster, "e0", _patch(1, 0))
            backup = dict(cluster.store.entries)
            await _apply(cluster, "e0", _patch(2, 1))
            cluster.store.entries.clear()
            cluster.store.entries.update(backup)
            refused = await _apply(cluster, "e0", _patch(3, 1))
            failure = refused.unwrap_err().failure
            assert failure.kind is errors.ErrorKind.STORE_UNAVAILABLE
            assert "2 is in force" in failure.detail

        virtual.run(scenario())


class TestInForce:
    """An operator waits until a change is in force on every VM."""

    def test_lagging_watcher_is_named(self):
        """A partitioned VM does not respond and is reported as lagging."""

        async def scenario():
            cluster = await _cluster(3)
            await virtual.pause(1.0)
            cluster.network.cut({"e2"}, {"e0", "e1"})
            await _apply(cluster, "e0", _patch(1, 0))
            await virtual.pause(1.0)
            service = cluster.daemons["e0"].find("configuration")
            report = await service.in_force(1)
            assert report.numbers == {"e0": 1, "e1": 1, "e2": None}
            assert report.lagging == ("e2",)
            cluster.network.heal()
            await virtual.pause(1.0)
            assert (await service.in_force(1)).lagging == ()
            assert (await service.in_force(2)).lagging == ("e0", "e1", "e2")

        virtual.run(scenario())


class TestStoreLoad:
    """Store calls per change, and prefixes that a starting daemon reads."""

    def test_calls_per_change_and_no_history_read_at_start(self):
        """A change takes four calls; a start reads no history."""

        async def scenario():
            cluster = await _cluster()
            for number in range(1, 4):
                await _apply(cluster, "e0", _patch(number, number - 1))
            calls = cluster.store.calls
            before = calls["get"] + calls["compare_and_swap"]
            await _apply(cluster, "e0", _patch(4, 3))
            assert calls["get"] + calls["compare_and_swap"] - before == 4
            prefixes = []
            listing = cluster.store.list

            async def spy(prefix):
                prefixes.append(prefix)
                return await listing(prefix)

            cluster.store.list = spy
            await cluster.add_daemon("e9", *PLACES[0])
            assert "" not in prefixes
            assert json.dumps(cluster.daemons["e9"].dump())

        virtual.run(scenario())


class TestDrain:
    """An operator drains a target that is listed as live."""

    def test_slices_move_away_and_target_is_usable_again(self):
        """A drained target loses its slices and is usable again afterwards."""

        async def scenario():
            cluster = await _cluster()
            for vm in ("t0", "t1"):
                cluster.add_target(vm, "s", *PLACES[0])
            key = {"place": "path"}
            service = {"key": key, "slices": 6, "checks_orders": True}
            await _apply(cluster, "e0", _patch(1, 0, "/services/s", service))
            await cluster.settle("s")
            assert cluster.owners("s")["t0"]
            path = "/services/s/drains"
            await _apply(cluster, "e1", _patch(2, 1, path, ["t0"]))
            async with virtual.limit(10.0):
                while cluster.owners("s")["t0"]:
                    await virtual.pause(0.1)
            for vm in ("e0", "e1"):
                listed = cluster.daemons[vm].find("fleet").fleet
                assert set(listed.live_targets("s")) == {"t1"}
            await _apply(cluster, "e1", _patch(3, 2, path, []))
            await virtual.pause(1.0)
            listed = cluster.daemons["e0"].find("fleet").fleet
            assert set(listed.live_targets("s")) == {"t0", "t1"}

        virtual.run(scenario())


_FAULTS = strategies.dictionaries(
    strategies.integers(0, 25),
    strategies.sampled_from(["lost", "late", "never", "dies before"]),
    max_size=8,
)
_OPEN = "open"
_REFUSED = "refused"


async def _submit(cluster, vm, patch, author):
    """Returns the reported outcome, and the number to use as next base."""
    try:
        done = await _apply(cluster, vm, patch, author)
    except _CrashedError:
        return _OPEN, 0
    if done.is_ok():
        return done.unwrap().number, done.unwrap().number
    rejected = done.unwrap_err()
    outcome_unknown = rejected.failure.kind is errors.ErrorKind.STORE_UNKNOWN
    return (_OPEN if outcome_unknown else _REFUSED), rejected.current


async def _operate(cluster, name, base, reported):
    """Submits three patches, each until accepted or of unknown outcome."""
    for i in range(3):
        patch = _patch(1000 * name + i, base)
        for _ in range(8):
            patch = msgspec.structs.replace(patch, base=base)
            vm = f"e{(name + i) % 3}"
            outcome, current = await _submit(cluster, vm, patch, f"op{name}")
            reported[patch.id] = outcome
            base = current or base
            if outcome is not _REFUSED:
                break
            await virtual.pause(0.05)


class TestAnyFaults:
    """Several operators race while any of the store's writes can fail.

    Every reported outcome must stay true: accepted patches are in the history
    exactly once, refused ones never, and open ones at most once.
    """

    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=20, database=None
    )
    @hypothesis.given(
        _FAULTS,
        strategies.lists(strategies.floats(0.05, 0.6), max_size=2),
        strategies.integers(0, 2),
    )
    def test_reported_outcomes_stay_true(self, faults, outages, start):
        """Compares the history with the outcomes reported to operators."""
        reported = {}

        async def scenario():
            cluster = await _cluster(3)
            for number in range(1, start + 1):
                await _apply(cluster, "e0", _patch(number, number - 1))
            cluster.store.faults = {
                cluster.store.writes + at: fault for at, fault in faults.items()
            }
            for at in outages:
                loop = asyncio.get_running_loop()
                loop.call_later(at, cluster.store.go_down)
                loop.call_later(at + 0.2, cluster.store.come_back)
            await asyncio.gather(
                *(
                    _operate(cluster, name, start, reported)
                    for name in (1, 2, 3)
                )
            )
            await virtual.pause(4 * LATE_SECONDS)
            cluster.store.faults = {}
            base = _stored(cluster).number if cluster.store.entries else 0
            await _apply(cluster, "e0", _patch(9, base))
            await _check_history(cluster, "e1")
            service = cluster.daemons["e2"].find("configuration")
            changes = (await service.history(0, 1000)).unwrap()
            return {change.id: change.number for change in changes}

        recorded = virtual.run(scenario())
        assert not {
            p for p, outcome in reported.items() if outcome is _REFUSED
        } & set(recorded)
        accepted = {p: n for p, n in reported.items() if isinstance(n, int)}
        assert accepted.items() <= recorded.items()
