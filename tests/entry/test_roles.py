"""Tests of keeper handover and takeover, in virtual time."""

import asyncio
import itertools

import pytest

from mimosastile_entry import ports
from mimosastile_standins import losses
from mimosastile_standins import store
from mimosastile_standins import virtual

KEY = "k0"
DETECTION_SECONDS = 0.3


class _CrashSuspicions:
    """Suspects VMs whose daemons have crashed, after a detection delay."""

    def __init__(self, made):
        self._made = made
        self._lost_since = {}

    def suspects(self, vm):
        if vm in self._made.daemons:
            self._lost_since.pop(vm, None)
            return False
        since = self._lost_since.setdefault(vm, virtual.now())
        return virtual.now() - since >= DETECTION_SECONDS

    def subscribe(self, listener):
        del listener


def _install_detector(made):
    for daemon in made.daemons.values():
        daemon.find("roles")._membership = _CrashSuspicions(made)


def _run(fault, **options):
    chosen = {"keys": 2, "seconds": 3.0} | options
    return losses.run(fault, losses.Setting(**chosen))


async def _replace(made, old, number):
    listed = made.daemons[old]
    zone = listed.find("keeper")._zone
    region = next(
        v.region for v in made.fleet.read(virtual.now()) if v.id == old
    )
    fresh = f"fresh-{zone}-{number}"
    await made.add_daemon(fresh, region, zone)
    await virtual.pause(1.0)
    made.fleet.leave(old)
    await made.stop_daemon(old)
    made.fleet.remove(old)
    return fresh


class TestLostKeeper:
    """The VM that is a target's keeper is lost; the target is healthy.

    All requests for the target pass through its keeper, so its keys are not
    served until another VM of the zone becomes the keeper.
    """

    def test_keys_are_served_again_within_a_second(self):
        """A suspicion suffices; the VM list still names the lost VM."""

        async def fault(made, target):
            _install_detector(made)
            made.kill_daemon(losses.keeper_of(made, target))

        outcome = _run(fault)
        assert outcome.violations == ()
        assert outcome.longest < 1.0

    def test_wrongly_suspected_keeper_causes_no_longer_outage(self):
        """It continues to run, and the target refuses it."""

        async def fault(made, target):
            keeper = losses.keeper_of(made, target)
            _install_detector(made)
            for vm, daemon in made.daemons.items():
                if vm != keeper:
                    daemon.find("roles")._membership = _FixedSuspicion(keeper)

        outcome = _run(fault)
        assert outcome.violations == ()
        assert outcome.longest < 0.5

    def test_keys_of_target_lost_with_its_keeper_wait_for_the_vm_list(self):
        """Until the VM list lacks the lost keeper, it might still renew."""

        async def fault(made, target):
            _install_detector(made)
            keeper = losses.keeper_of(made, target)
            made.kill_daemon(keeper)
            made.targets[target].crash()
            await virtual.pause(2.0)
            assert losses.owner_of(made, KEY) == target
            made.fleet.remove(keeper)
            await virtual.pause(3.5)
            assert losses.owner_of(made, KEY) != target

        assert _run(fault).violations == ()


class _FixedSuspicion:
    def __init__(self, vm):
        self._vm = vm

    def suspects(self, vm):
        return vm == self._vm

    def subscribe(self, listener):
        del listener


class TestGracefulStop:
    """An entry VM is stopped gracefully under load.

    It hands its keeper roles to a peer first. Without the handover, callers
    would get errors or wait for a second.
    """

    @pytest.mark.parametrize("checks", [True, False])
    def test_no_call_fails(self, checks):
        """No request is refused, with or without fence checks at targets."""

        async def fault(made, target):
            await made.stop_daemon(losses.keeper_of(made, target))

        outcome = _run(
            fault, patient=True, checks_orders=checks, checks_expiry=checks
        )
        assert outcome.violations == ()
        assert outcome.refused == 0

    def test_last_vm_of_a_zone_stops_without_waiting(self):
        """No peer can take over its roles."""

        async def scenario():
            made = await losses.start(losses.Setting())
            zone = [vm for vm in made.daemons if "zagreb" in vm]
            for vm in zone:
                began = virtual.now()
                await made.stop_daemon(vm)
                made.fleet.remove(vm)
                await virtual.pause(1.0)
            assert virtual.now() - began < 2.0

        virtual.run(scenario())


class TestReplacedEntryVms:
    """All entry VMs of a zone are replaced, as in an image update."""

    def test_rolling_replacement_fails_no_call(self):
        """Each VM hands its roles to the running ones."""

        async def fault(made, target):
            del target
            for number, old in enumerate(sorted(made.daemons)[2:]):
                await _replace(made, old, number)

        outcome = _run(fault, patient=True, seconds=4.0)
        assert outcome.violations == ()
        assert outcome.refused == 0

    def test_all_at_once_without_handover(self):
        """Their successors serve as soon as they are on the VM list."""

        async def fault(made, target):
            keeper = losses.keeper_of(made, target)
            zone = made.daemons[keeper].find("keeper")._zone
            old = [vm for vm in sorted(made.daemons) if zone in vm]
            for vm in old:
                made.kill_daemon(vm)
                made.fleet.remove(vm)
            fresh = zip(itertools.count(), old, strict=False)
            await asyncio.gather(
                *(
                    made.add_daemon(f"fresh-{n}", "kontinent", zone)
                    for n, _ in fresh
                )
            )
            await virtual.pause(1.5)
            assert losses.owner_of(made, KEY) == target
            assert losses.keeper_of(made, target).startswith("fresh")

        outcome = _run(fault)
        assert outcome.violations == ()
        assert outcome.longest < 1.0


class TestRoleThatComesBack:
    """A target without fence checks changes keeper and changes back.

    The first keeper could not report that none of its requests is running. If
    it sent itself a `StandDown` as to a peer, it would end its own new role,
    and no request could reach the target.
    """

    def test_keeper_retains_its_new_role(self):
        """It checks its own former role and retains the new one."""

        async def fault(made, target):
            keeper = losses.keeper_of(made, target)
            peer = next(
                vm
                for vm in made.daemons
                if vm[:-1] == keeper[:-1] and vm != keeper
            )
            made.network.cut({keeper}, {peer})
            for vm, lost in ((peer, keeper), (keeper, peer)):
                for name, daemon in made.daemons.items():
                    suspects = _FixedSuspicion(lost if name == vm else "")
                    daemon.find("roles")._membership = suspects
                async with virtual.limit(2.0):
                    while losses.keeper_of(made, target) != vm:
                        await virtual.pause(0.05)
            for daemon in made.daemons.values():
                daemon.find("roles")._membership = _FixedSuspicion("")
            await virtual.pause(1.0)
            # Normally called after each change of a table.
            made.daemons[keeper].find("keeper").reconcile()
            path = f"/{losses.KEYED}/{KEY}"
            assert (await made.call(keeper, "GET", path))[0] == 200
            assert losses.keeper_of(made, target) == keeper

        outcome = _run(fault, checks_orders=False, checks_expiry=False)
        assert outcome.violations == ()


class TestTwoTargetsLost:
    """Two targets in different zones with different keepers crash together.

    Unless the block records lost targets, the keepers would endlessly assign
    the keys of one crashed target to the other.
    """

    def test_keys_are_served_again_within_a_second(self):
        """The block records which targets are lost."""

        async def fault(made, target):
            zone = made.daemons[losses.keeper_of(made, target)].find("keeper")
            other_zone_targets = [
                vm.id
                for vm in made.fleet.read(virtual.now())
                if vm.service and vm.zone != zone._zone
            ]
            made.targets[target].crash()
            made.targets[other_zone_targets[0]].crash()

        outcome = _run(fault)
        assert outcome.violations == ()
        assert outcome.longest < 1.0
        assert outcome.store_calls < 30


class TestUnprovableMove:
    """A target without fence checks is marked as leaving, then stays.

    Its keeper was lost meanwhile, so the release of its slices can never be
    proved.
    """

    def test_keys_are_served_by_it_again(self):
        """The move is withdrawn when the VM list shows the target as live."""

        async def fault(made, target):
            _install_detector(made)
            listed = next(
                v for v in made.fleet.read(virtual.now()) if v.id == target
            )
            keeper = losses.keeper_of(made, target)
            made.kill_daemon(keeper)
            made.fleet.remove(keeper)
            made.fleet.leave(target)
            await virtual.pause(2.0)
            made.fleet.put(listed)
            await virtual.pause(2.0)
            assert losses.owner_of(made, KEY) == target
            vm = losses.keeper_of(made, target)
            assert (await made.call(vm, "GET", f"/citaonica/{KEY}"))[0] == 200

        outcome = _run(fault, checks_orders=False, checks_expiry=False)
        assert outcome.violations == ()


class TestStalledWatch:
    """The watch of an entry VM stalls without an error.

    The VM receives no more changes, so its targets would not get the keys that
    were assigned to them.
    """

    def _stall_watches(self, monkeypatch):
        def empty_batch(kept, prefix, revision):
            del kept, prefix
            return ports.WatchBatch((), revision)

        monkeypatch.setattr(store.MemoryStore, "_entries_since", empty_batch)

    def test_keepers_are_notified_by_the_one_that_made_the_change(
        self, monkeypatch
    ):
        """They need no failed request to detect their outdated tables."""

        async def scenario():
            made = await losses.start(losses.Setting())
            self._stall_watches(monkeypatch)
            target = losses.owner_of(made, KEY)
            made.targets[target].crash()
            await virtual.pause(1.0)
            block = made.blocks(losses.KEYED)[0]
            assert losses.owner_of(made, KEY) != target
            for keeper in block.keepers.values():
                replica = made.daemons[keeper.vm].find("state").replica
                assert replica.blocks[block.id].version == block.version

        virtual.run(scenario())

    def test_keys_are_served_again_within_a_second(self, monkeypatch):
        """VMs without targets are updated by the peers that refuse them."""

        async def fault(made, target):
            self._stall_watches(monkeypatch)
            made.targets[target].crash()
            await virtual.pause(1.5)
            responses = [
                await made.call(vm, "GET", f"/{losses.KEYED}/{KEY}")
                for vm in made.daemons
            ]
            assert {status for status, _ in responses} == {200}

        outcome = _run(fault)
        assert outcome.violations == ()
        assert outcome.longest < 1.0
