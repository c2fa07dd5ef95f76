"""Tests of the keeper service under faults, in virtual time."""

import pytest

from mimosastile_core import grants
from mimosastile_core import messages
from mimosastile_standins import losses
from mimosastile_standins import virtual

KEY = "k0"
MAX_GRANT_SECONDS = grants.Timing().max_validity


def _run(scenario, **options):
    async def run_scenario():
        made = await losses.start(losses.Setting(**options))
        order = losses.OwnershipChecker()
        for target in made.targets.values():
            target.observer = order.observe
        await scenario(made, losses.owner_of(made, KEY))
        assert order.violations == []

    virtual.run(run_scenario())


async def _call(made, seconds=0.3):
    vm = sorted(made.daemons)[0]
    status, body = await made.call(
        vm, "GET", f"/{losses.KEYED}/{KEY}", seconds=seconds
    )
    return losses.served_by(body) if status == 200 else status


def _all_others(made, vm):
    return {*made.daemons, *made.targets, "store", "fleet"} - {vm}


def _isolate_with_target(made, keeper, target):
    """Cuts a keeper and its target off from all but each other."""
    made.network.cut({keeper}, _all_others(made, keeper) - {target})
    made.network.cut({target}, _all_others(made, target) - {keeper})


class TestLostWriteResponse:
    """The response to a write that moves a frozen target's keys is lost.

    The store goes down before the keeper can read it. The target resumes, and
    only then the write takes effect. If the target owned its keys again, both
    it and the new owner would approve the same letter.
    """

    def test_resumed_target_gets_no_slices_while_write_is_pending(self):
        """Slices of a pending write are not granted."""

        async def scenario(made, former):
            made.store.late_writes, made.store.late_seconds = 1, 3.0
            made.targets[former].freeze()
            async with virtual.limit(2.0):
                while made.store.late_writes:
                    await virtual.pause(0.001)
            made.store.go_down()
            made.targets[former].thaw()
            for _ in range(20):
                await virtual.pause(0.1)
                assert made.targets[former].served() == []
            assert losses.owner_of(made, KEY) == former
            await virtual.pause(2.0)
            made.store.come_back()
            await virtual.pause(1.5)
            assert await _call(made) == losses.owner_of(made, KEY) != former

        _run(scenario)

    def test_write_that_never_arrived_is_settled(self):
        """A barrier write resolves it; the target keeps its keys."""

        async def scenario(made, former):
            made.store.late_writes, made.store.late_seconds = 1, 60.0
            made.targets[former].freeze()
            async with virtual.limit(2.0):
                while made.store.late_writes:
                    await virtual.pause(0.001)
            made.store.go_down()
            made.targets[former].thaw()
            await virtual.pause(1.0)
            made.store.come_back()
            await virtual.pause(1.5)
            assert await _call(made) == losses.owner_of(made, KEY) == former
            keeper = losses.keeper_of(made, former)
            dumped = made.daemons[keeper].find("state").dump()
            assert dumped["pending_writes"] == []

        _run(scenario)


class TestTargetUnreachableForNewKeeper:
    """A keeper is cut off from all but its target and replaced.

    Its successor gets no response from the target. The former keeper still
    renews grants, so the target still serves its keys; moving them would make
    two owners.
    """

    def _cut(self, made, target, keeper, successor):
        made.network.cut({keeper}, _all_others(made, keeper) - {target})
        made.network.cut({successor}, {target})
        for vm in set(made.daemons) - {keeper}:
            roles = made.daemons[vm].find("roles")
            roles._membership = _FixedSuspicions(keeper)

    def test_keys_stay_while_the_former_keeper_may_renew(self):
        """They move after the former keeper's VM is off the VM list."""

        async def scenario(made, target):
            keeper = losses.keeper_of(made, target)
            zone = keeper.rpartition("-")[0]
            successor = next(
                vm
                for vm in made.daemons
                if vm.startswith(zone) and vm != keeper
            )
            self._cut(made, target, keeper, successor)
            await virtual.pause(5 * MAX_GRANT_SECONDS)
            assert losses.keeper_of(made, target) == successor
            assert losses.owner_of(made, KEY) == target
            assert made.targets[target].served()
            made.kill_daemon(keeper)
            made.fleet.remove(keeper)
            await virtual.pause(2.0 + 3 * MAX_GRANT_SECONDS)
            assert losses.owner_of(made, KEY) != target

        _run(scenario)


class _FixedSuspicions:
    def __init__(self, *vms):
        self._vms = vms

    def suspects(self, vm):
        return vm in self._vms

    def subscribe(self, listener):
        del listener


class TestRestartedTarget:
    """A target restarts and loses the record of its current keeper.

    Its keeper was replaced while cut off. If that keeper sent grants by its old
    table, the target would serve keys that have moved to other targets.
    """

    def test_replaced_keeper_grants_nothing_to_the_new_incarnation(self):
        """It can read neither the store nor a peer, so it sends no grant."""

        async def scenario(made, target):
            _isolate_with_target(made, losses.keeper_of(made, target), target)
            made.targets[target].restart()
            await virtual.pause(5.0)
            assert made.targets[target].served() == []
            made.network.heal()
            await virtual.pause(3.0)
            assert await _call(made) == losses.owner_of(made, KEY)

        _run(scenario)

    def test_peers_of_the_zone_confirm_the_keeper_while_the_store_is_down(self):
        """A restarted target serves again although the store is down."""

        async def scenario(made, target):
            made.store.go_down()
            made.targets[target].restart()
            await virtual.pause(1.0)
            assert await _call(made) == target

        _run(scenario)


class TestPausedKeeper:
    """A keeper's VM pauses for a few seconds and resumes.

    Its tables are as old as the pause. Grants that it sends before it reads
    them again may be out of date.
    """

    def test_nothing_is_sent_before_it_has_caught_up(self):
        """It sends nothing if it can read neither the store nor a peer."""

        async def scenario(made, target):
            keeper = losses.keeper_of(made, target)
            process = made.process(keeper)
            process.pause()
            _isolate_with_target(made, keeper, target)
            await virtual.pause(3.0)
            process.resume()
            await virtual.pause(3.0)
            assert made.targets[target].served() == []
            made.network.heal()
            await virtual.pause(1.5)
            assert made.targets[target].served()

        _run(scenario)

    def test_targets_keep_their_keys(self):
        """No key moves because of a short pause."""

        async def scenario(made, target):
            process = made.process(losses.keeper_of(made, target))
            process.pause()
            await virtual.pause(1.0)
            process.resume()
            await virtual.pause(0.3)
            assert await _call(made) == target
            assert losses.owner_of(made, KEY) == target

        _run(scenario)


class TestTargetWithoutFenceChecks:
    """A target runs every request that it receives, without fence checks.

    Only its keeper can tell whether requests for a key are still running. If a
    key moved while a label is issued, its serial would be issued twice.
    """

    @pytest.mark.parametrize(
        ("responds", "moves"), [(True, True), (False, False)]
    )
    def test_key_moves_only_after_the_complete_response(self, responds, moves):
        """A request whose response was lost may still run at any time."""

        async def scenario(made, former):
            target = made.targets[former]
            target.service_time = 0.5
            if not responds:
                target.freeze()
            assert (await _call(made, 1.0) == former) is responds
            target.thaw()
            made.fleet.leave(former)
            await virtual.pause(1.5)
            assert (losses.owner_of(made, KEY) != former) is moves

        _run(scenario, checks_orders=False, checks_expiry=False)

    def test_gone_target_loses_its_keys(self):
        """Its VM is missing from the VM list for the longest grant duration."""

        async def scenario(made, former):
            made.targets[former].crash()
            await virtual.pause(3.0)
            assert losses.owner_of(made, KEY) == former
            made.fleet.remove(former)
            await virtual.pause(2.0)
            assert await _call(made) == losses.owner_of(made, KEY) != former

        _run(scenario, checks_orders=False, checks_expiry=False)

    def test_no_grant_is_sent_to_it(self):
        """Such a target cannot process grants."""

        async def scenario(made, target):
            assert made.targets[target].holder.owned(0.0) == []
            assert await _call(made) == target

        _run(scenario, checks_orders=False, checks_expiry=False)


class TestStandDown:
    """A new keeper requests that the former one stop."""

    def test_former_keeper_stops_at_once(self):
        """It stops before it has received the changed table."""

        async def scenario(made, target):
            keeper = made.daemons[losses.keeper_of(made, target)]
            block = made.blocks(losses.KEYED)[0]
            fence = block.keepers[target].fence + 1
            role = messages.Role(block.id, target, fence)
            request = messages.StandDown("other", (role,))
            reply = keeper.find("inbox").receive(request)
            assert reply.roles == (role,)
            await virtual.pause(1.0)
            assert made.targets[target].served() == []

        _run(scenario)
