"""Tests of the configuration service against the stand-in store."""

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
"""Numbers per block of the history here, so that few patches fill many."""
_UNKNOWN = result.Err(errors.Failure(errors.ErrorKind.STORE_UNKNOWN))


@pytest.fixture(autouse=True, scope="module")
def _short_blocks():
    """Blocks and snapshots as in production, only more of them."""
    with pytest.MonkeyPatch.context() as patched:
        patched.setattr(history, "BLOCK_SPAN", SPAN)
        patched.setattr(history, "RECENT_SNAPSHOTS", 2)
        patched.setattr(history, "KEPT_SNAPSHOT_INTERVAL", 3)
        yield


class _DiedError(Exception):
    """The VM that submits dies at this point."""


class FaultyStore(store.MemoryStore):
    """Does something to chosen writes of the configuration.

    Attributes:
        faults: Number of a write, from 0, to what happens to it.
        writes: Writes of configuration and history so far.
    """

    def __init__(self):
        super().__init__(latency=0.002)
        self.faults = {}
        self.writes = 0
        self.late = []

    async def compare_and_swap(self, key, value, revision):
        """Writes, unless a fault is planned."""
        if not key.startswith(("config/", "history/")):
            return await super().compare_and_swap(key, value, revision)
        fault = self.faults.get(self.writes, "")
        self.writes += 1
        if fault == "late":
            write = self._later(key, value, revision)
            self.late.append(asyncio.ensure_future(write))
            return _UNKNOWN
        if fault not in ("never", "dies before"):
            done = await super().compare_and_swap(key, value, revision)
            if not fault:
                return done
        if fault.startswith("dies"):
            raise _DiedError
        return _UNKNOWN

    async def _later(self, key, value, revision):
        await virtual.pause(LATE_SECONDS)
        return await super().compare_and_swap(key, value, revision)


def _patch(number, base, path="/members/m{}", value=None):
    operation = patches.Operation(
        "add", path.format(number), {} if value is None else value
    )
    return patches.Patch(
        f"patch-{number:04d}", base, f"why {number}", (operation,)
    )


def _anything(paths):
    del paths


async def _apply(made, vm, patch, author="ana"):
    service = made.daemons[vm].find("configuration")
    return await service.apply(patch, author, _anything)


async def _world(vms=2):
    made = world.World()
    made.store = made.sites.store = FaultyStore()
    for i in range(vms):
        await made.add_daemon(f"e{i}", *PLACES[i % 2])
    return made


def _stored(made):
    held = made.store.entries["config/current"].value
    return config.decode_version(held).unwrap()


async def _check_trace(made, vm):
    """The history is whole and rebuilds every document up to the current."""
    service = made.daemons[vm].find("configuration")
    current = _stored(made)
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
    """Patches one after another."""

    def test_numbers_rise_by_one_and_the_trace_is_whole(self):
        """Over nine blocks, with every document rebuilt, thinned ones too."""

        async def story():
            made = await _world()
            expected = {0: config.Document()}
            for number in range(1, 9 * SPAN + 3):
                done = await _apply(made, "e0", _patch(number, number - 1))
                assert done.unwrap().number == number
                expected[number] = _stored(made).document
            await _check_trace(made, "e1")
            service = made.daemons["e1"].find("configuration")
            for number, document in expected.items():
                assert (await service.document(number)).unwrap() == document
            gone = [
                key
                for key, entry in made.store.entries.items()
                if key.startswith("history/snapshot")
                and entry.value == history.thinned_snapshot()
            ]
            assert len(gone) == 5

        virtual.run(story())

    def test_long_operations_and_imported_versions_are_rebuilt(self):
        """A value that came without a patch, then a long patch, then more."""

        async def story():
            made = await _world()
            first = config.Document(members={"old": config.Member(share=3)})
            await made.configure(first, 7)
            await virtual.pause(1.0)
            drains = [f"target-{i:08d}" for i in range(900)]
            long_one = _patch(8, 7, "/services/s", {"drains": drains})
            assert (await _apply(made, "e0", long_one)).is_ok()
            assert (await _apply(made, "e1", _patch(9, 8))).is_ok()
            assert (await _apply(made, "e0", _patch(10, 9))).is_ok()
            service = made.daemons["e1"].find("configuration")
            assert (await service.document(7)).unwrap() == first
            rebuilt = (await service.document(8)).unwrap()
            assert list(rebuilt.services["s"].drains) == drains
            found = (await service.history(0, 9)).unwrap()
            assert [c.number for c in found] == [10, 9, 8, 7]
            missing = await service.document(3)
            assert missing.unwrap_err().kind is errors.ErrorKind.NOT_FOUND

        virtual.run(story())

    def test_blame_and_revert(self):
        """Who changed a path last, and a new patch that undoes it."""

        async def story():
            made = await _world()
            path = "/members/m1/share"
            for patch in (
                _patch(1, 0),
                _patch(2, 1, path, 4.0),
                _patch(3, 2),
            ):
                assert (await _apply(made, "e0", patch)).is_ok()
            service = made.daemons["e1"].find("configuration")
            blamed = (await service.blame(path, 10)).unwrap()
            assert [c.number for c in blamed] == [2, 1]
            undo = (await service.revert(2)).unwrap()
            patch = patches.Patch("patch-undo", 3, "undo 2", undo)
            assert (await _apply(made, "e1", patch)).unwrap().number == 4
            members = _stored(made).document.members
            assert members["m1"].share == 1.0
            assert "m3" in members

        virtual.run(story())

    @pytest.mark.parametrize(
        ("base", "kind"),
        [(0, errors.ErrorKind.CONFLICT), (2, errors.ErrorKind.CONFLICT)],
    )
    def test_other_base_is_a_conflict(self, base, kind):
        """Neither an old base nor one that does not exist yet."""

        async def story():
            made = await _world()
            await _apply(made, "e0", _patch(1, 0))
            refused = await _apply(made, "e0", _patch(2, base))
            assert refused.unwrap_err().failure.kind is kind
            assert refused.unwrap_err().current == 1

        virtual.run(story())


class TestRace:
    """Two operators submit patches against the same number at once.

    One of them wins. The other is told what was accepted meanwhile and by
    whom, and nothing of its patch is in force.
    """

    def test_loser_sees_the_winner(self):
        """Paths and author of the change that came first."""

        async def story():
            made = await _world()
            one, two = await asyncio.gather(
                _apply(made, "e0", _patch(1, 0), "ana"),
                _apply(made, "e1", _patch(2, 0), "ivo"),
            )
            won, lost = (one, two) if one.is_ok() else (two, one)
            winner = "ana" if won is one else "ivo"
            rejected = lost.unwrap_err()
            assert rejected.failure.kind is errors.ErrorKind.CONFLICT
            assert [m.author for m in rejected.meanwhile] == [winner]
            assert rejected.meanwhile[0].paths == won.unwrap().paths
            assert len(_stored(made).document.members) == 1

        virtual.run(story())

    def test_many_racers_share_out_the_numbers(self):
        """Each rebases until it wins; no number is given twice."""

        async def racer(made, vm, number):
            base = 0
            for _ in range(100):
                done = await _apply(made, vm, _patch(number, base))
                if done.is_ok():
                    return done.unwrap().number
                base = done.unwrap_err().current or base
            raise AssertionError("never won")

        async def story():
            made = await _world(3)
            numbers = await asyncio.gather(
                *(racer(made, f"e{i % 3}", i) for i in range(12))
            )
            assert sorted(numbers) == list(range(1, 13))
            await _check_trace(made, "e2")

        virtual.run(story())


class TestLostAnswer:
    """The store's answer to a write gets lost, or the write comes late.

    The operator hears nothing, or that the outcome is open, and sends the
    patch again. It must not take effect twice, nor be reported as refused
    and show up later.
    """

    FAULTS = ("lost", "late", "never")

    @pytest.mark.parametrize("fault", FAULTS)
    @pytest.mark.parametrize("write", range(3))
    def test_each_write_is_settled(self, fault, write):
        """Whichever write it hits, the patch is one number afterwards."""

        async def story():
            made = await _world()
            await _apply(made, "e0", _patch(1, 0))
            patch = _patch(2, 1)
            made.store.faults = {made.store.writes + write: fault}
            done = await _apply(made, "e0", patch)
            if done.is_err():
                assert done.unwrap_err().failure.kind in (
                    errors.ErrorKind.STORE_UNKNOWN,
                    errors.ErrorKind.STORE_UNAVAILABLE,
                )
            await virtual.pause(2 * LATE_SECONDS)
            again = await _apply(made, "e1", patch)
            assert again.unwrap().number == 2
            assert again.unwrap().repeated == done.is_ok()
            assert _stored(made).number == 2
            await _apply(made, "e1", _patch(3, 2))
            await _check_trace(made, "e1")

        virtual.run(story())

    @pytest.mark.parametrize("fault", FAULTS)
    def test_another_patch_wins_while_the_fate_is_open(self, fault):
        """If the late write comes after another's, it has no effect."""

        async def story():
            made = await _world()
            await _apply(made, "e0", _patch(1, 0))
            made.store.faults = {made.store.writes + 1: fault}
            one, two = await asyncio.gather(
                _apply(made, "e0", _patch(2, 1)),
                _apply(made, "e1", _patch(3, 1)),
            )
            assert sorted((one.is_ok(), two.is_ok())) == [False, True]
            await virtual.pause(2 * LATE_SECONDS)
            current = _stored(made)
            assert current.number == 2
            won = "patch-0002" if one.is_ok() else "patch-0003"
            assert current.change.id == won
            await _check_trace(made, "e0")

        virtual.run(story())

    def test_same_id_on_a_newer_base_is_refused(self):
        """Rebasing an open patch under its old identifier applies nothing."""

        async def story():
            made = await _world()
            await _apply(made, "e0", _patch(1, 0))
            await _apply(made, "e0", _patch(2, 1))
            path = "/members/other{}"
            for again in (_patch(2, 2, path), _patch(1, 2, path)):
                refused = await _apply(made, "e1", again)
                failure = refused.unwrap_err().failure
                assert failure.kind is errors.ErrorKind.BAD_REQUEST
                assert "already" in failure.detail
            assert _stored(made).number == 2

        virtual.run(story())

    def test_same_id_with_other_content_is_refused(self):
        """An identifier cannot be borrowed to hear "accepted"."""

        async def story():
            made = await _world()
            await _apply(made, "e0", _patch(1, 0))
            other = msgspec.structs.replace(
                _patch(2, 0), id="patch-0001", reason="other"
            )
            refused = await _apply(made, "e0", other)
            failure = refused.unwrap_err().failure
            assert failure.kind is errors.ErrorKind.CONFLICT
            assert "another patch" in failure.detail

        virtual.run(story())


class TestDeath:
    """The VM that takes a patch dies between two writes.

    The operator hears nothing and sends the patch through another VM. The
    patch is one number then, and every earlier change is still there to read.
    """

    @pytest.mark.parametrize("base", [1, SPAN, 2 * SPAN, 6 * SPAN])
    @pytest.mark.parametrize("fault", ["dies before", "dies after"])
    @pytest.mark.parametrize("write", range(4))
    def test_each_point(self, base, fault, write):
        """Also where a block, a snapshot or long operations are begun."""

        async def story():
            made = await _world()
            for number in range(1, base):
                await _apply(made, "e0", _patch(number, number - 1))
            drains = [f"target-{i:08d}" for i in range(500)]
            long_one = _patch(base, base - 1, "/services/s", {"drains": drains})
            await _apply(made, "e0", long_one)
            patch = _patch(base + 1, base)
            made.store.faults = {made.store.writes + write: fault}
            try:
                await _apply(made, "e0", patch)
            except _DiedError:
                await made.stop_daemon("e0")
            made.store.faults = {}
            again = await _apply(made, "e1", patch)
            assert again.unwrap().number == base + 1
            await _apply(made, "e1", _patch(base + 2, base + 1))
            await _check_trace(made, "e1")

        virtual.run(story())


class TestStoreOutage:
    """The store goes down while operators work.

    What was accepted stays in force on every VM, restarted ones included.
    A patch that could not be written is refused and nothing of it appears.
    """

    def test_patch_during_an_outage_is_refused(self):
        """The same patch goes through once the store is back."""

        async def story():
            made = await _world()
            await _apply(made, "e0", _patch(1, 0))
            made.store.go_down()
            patch = _patch(2, 1)
            refused = await _apply(made, "e0", patch)
            kind = refused.unwrap_err().failure.kind
            assert kind is errors.ErrorKind.STORE_UNAVAILABLE
            await virtual.pause(30.0)
            made.store.come_back()
            assert _stored(made).number == 1
            assert (await _apply(made, "e1", patch)).unwrap().number == 2

        virtual.run(story())

    def test_outage_in_the_middle_of_a_patch(self):
        """The answer is lost and the store then stays away for a minute."""

        async def story():
            made = await _world()
            await _apply(made, "e0", _patch(1, 0))
            made.store.faults = {made.store.writes + 1: "lost"}
            patch = _patch(2, 1)
            task = asyncio.ensure_future(_apply(made, "e0", patch))
            while made.store.faults and _stored(made).number == 1:
                await virtual.pause(0.001)
            made.store.go_down()
            open_fate = (await task).unwrap_err().failure
            assert open_fate.kind is errors.ErrorKind.STORE_UNKNOWN
            await virtual.pause(60.0)
            made.store.come_back()
            settled = (await _apply(made, "e1", patch)).unwrap()
            assert (settled.number, settled.repeated) == (2, True)

        virtual.run(story())

    def test_restarted_fleet_does_not_revert(self):
        """VMs are replaced one by one while the store is down."""

        async def story():
            made = await _world(3)
            for number in range(1, 6):
                await _apply(made, "e0", _patch(number, number - 1))
            await virtual.pause(1.0)
            made.store.go_down()
            for vm in ("e0", "e1", "e2"):
                await made.stop_daemon(vm)
                await made.start_daemon(vm)
            for kernel in made.daemons.values():
                assert kernel.find("configuration").current.number == 5

        virtual.run(story())

    def test_store_restored_from_a_backup_takes_no_patch(self):
        """A number that is in force is never given to something else."""

        async def story():
            made = await _world()
            await _apply(made, "e0", _patch(1, 0))
            backup = dict(made.store.entries)
            await _apply(made, "e0", _patch(2, 1))
            made.store.entries.clear()
            made.store.entries.update(backup)
            refused = await _apply(made, "e0", _patch(3, 1))
            failure = refused.unwrap_err().failure
            assert failure.kind is errors.ErrorKind.STORE_UNAVAILABLE
            assert "2 is in force" in failure.detail

        virtual.run(story())


class TestInForce:
    """An operator waits until a change has reached every VM."""

    def test_lagging_watcher_is_named(self):
        """A VM that is cut off does not answer and counts as lagging."""

        async def story():
            made = await _world(3)
            await virtual.pause(1.0)
            made.network.cut({"e2"}, {"e0", "e1"})
            await _apply(made, "e0", _patch(1, 0))
            await virtual.pause(1.0)
            service = made.daemons["e0"].find("configuration")
            seen = await service.in_force(1)
            assert seen.numbers == {"e0": 1, "e1": 1, "e2": None}
            assert seen.lagging == ("e2",)
            made.network.heal()
            await virtual.pause(1.0)
            assert (await service.in_force(1)).lagging == ()
            assert (await service.in_force(2)).lagging == ("e0", "e1", "e2")

        virtual.run(story())


class TestStoreLoad:
    """What a change costs the store, and what daemons read of it."""

    def test_calls_per_change_and_no_history_in_a_start(self):
        """Four calls a change; a start reads the value in force alone."""

        async def story():
            made = await _world()
            for number in range(1, 4):
                await _apply(made, "e0", _patch(number, number - 1))
            calls = made.store.calls
            before = calls["get"] + calls["compare_and_swap"]
            await _apply(made, "e0", _patch(4, 3))
            assert calls["get"] + calls["compare_and_swap"] - before == 4
            prefixes = []
            listing = made.store.list

            async def spy(prefix):
                prefixes.append(prefix)
                return await listing(prefix)

            made.store.list = spy
            await made.add_daemon("e9", *PLACES[0])
            assert "" not in prefixes
            assert json.dumps(made.daemons["e9"].dump())

        virtual.run(story())


class TestDrain:
    """An operator takes a target out of use although the list says live."""

    def test_slices_move_away_and_may_come_back(self):
        """It gets nothing while it is drained; it is usable again after."""

        async def story():
            made = await _world()
            for vm in ("t0", "t1"):
                made.add_target(vm, "s", *PLACES[0])
            key = {"place": "path"}
            service = {"key": key, "slices": 6, "checks_orders": True}
            await _apply(made, "e0", _patch(1, 0, "/services/s", service))
            await made.settle("s")
            assert made.owners("s")["t0"]
            path = "/services/s/drains"
            await _apply(made, "e1", _patch(2, 1, path, ["t0"]))
            async with virtual.limit(10.0):
                while made.owners("s")["t0"]:
                    await virtual.pause(0.1)
            for vm in ("e0", "e1"):
                listed = made.daemons[vm].find("fleet").fleet
                assert set(listed.live_targets("s")) == {"t1"}
            await _apply(made, "e1", _patch(3, 2, path, []))
            await virtual.pause(1.0)
            listed = made.daemons["e0"].find("fleet").fleet
            assert set(listed.live_targets("s")) == {"t0", "t1"}

        virtual.run(story())


_FAULTS = strategies.dictionaries(
    strategies.integers(0, 25),
    strategies.sampled_from(["lost", "late", "never", "dies before"]),
    max_size=8,
)
_OPEN = "open"
_REFUSED = "refused"


async def _submit(made, vm, patch, author):
    """Returns what an operator hears, and the number to go on from."""
    try:
        done = await _apply(made, vm, patch, author)
    except _DiedError:
        return _OPEN, 0
    if done.is_ok():
        return done.unwrap().number, done.unwrap().number
    rejected = done.unwrap_err()
    unsure = rejected.failure.kind is errors.ErrorKind.STORE_UNKNOWN
    return (_OPEN if unsure else _REFUSED), rejected.current


async def _operate(made, name, base, told):
    """Submits three patches, each until it is accepted or its fate open."""
    for i in range(3):
        patch = _patch(1000 * name + i, base)
        for _ in range(8):
            patch = msgspec.structs.replace(patch, base=base)
            vm = f"e{(name + i) % 3}"
            heard, current = await _submit(made, vm, patch, f"op{name}")
            told[patch.id] = heard
            base = current or base
            if heard is not _REFUSED:
                break
            await virtual.pause(0.05)


class TestAnyFaults:
    """Several operators race while any of the store's writes goes wrong.

    Whatever an operator is told must hold for good: accepted patches are in
    the history once, refused ones never appear in it, open ones at most once.
    """

    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=20, database=None
    )
    @hypothesis.given(
        _FAULTS,
        strategies.lists(strategies.floats(0.05, 0.6), max_size=2),
        strategies.integers(0, 2),
    )
    def test_what_was_told_holds(self, faults, outages, start):
        """Compared with the list of what each operator heard."""
        told = {}

        async def story():
            made = await _world(3)
            for number in range(1, start + 1):
                await _apply(made, "e0", _patch(number, number - 1))
            made.store.faults = {
                made.store.writes + at: fault for at, fault in faults.items()
            }
            for at in outages:
                loop = asyncio.get_running_loop()
                loop.call_later(at, made.store.go_down)
                loop.call_later(at + 0.2, made.store.come_back)
            await asyncio.gather(
                *(_operate(made, name, start, told) for name in (1, 2, 3))
            )
            await virtual.pause(4 * LATE_SECONDS)
            made.store.faults = {}
            base = _stored(made).number if made.store.entries else 0
            await _apply(made, "e0", _patch(9, base))
            await _check_trace(made, "e1")
            service = made.daemons["e2"].find("configuration")
            changes = (await service.history(0, 1000)).unwrap()
            return {change.id: change.number for change in changes}

        held = virtual.run(story())
        assert not {p for p, heard in told.items() if heard is _REFUSED} & set(
            held
        )
        accepted = {p: n for p, n in told.items() if isinstance(n, int)}
        assert accepted.items() <= held.items()
