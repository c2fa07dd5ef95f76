"""Tests of the keeper service under faults, in virtual time."""

import pytest

from mimosastile_core import grants
from mimosastile_core import messages
from mimosastile_standins import losses
from mimosastile_standins import virtual

KEY = "k0"
LAPSE = grants.Timing().max_validity


def _run(story, **options):
    async def whole():
        made = await losses.start(losses.Setting(**options))
        order = losses.Order()
        for run in made.targets.values():
            run.observer = order.note
        await story(made, losses.owner_of(made, KEY))
        assert order.violations == []

    virtual.run(whole())


async def _call(made, seconds=0.3):
    vm = sorted(made.daemons)[0]
    status, body = await made.call(
        vm, "GET", f"/{losses.KEYED}/{KEY}", seconds=seconds
    )
    return losses.served_by(body) if status == 200 else status


def _others(made, vm):
    return {*made.daemons, *made.targets, "store", "fleet"} - {vm}


def _leave_only(made, keeper, target):
    """Leaves a keeper and its target to each other alone."""
    made.network.cut({keeper}, _others(made, keeper) - {target})
    made.network.cut({target}, _others(made, target) - {keeper})


class TestLostAnswer:
    """A write that moves the keys of a frozen target has its answer lost.

    The store goes down before the keeper can look. The target thaws, and only
    then the write takes effect. If the target had its keys again, a letter
    would be approved there and by the new owner.
    """

    def test_thawed_target_gets_its_keys_back_only_when_that_is_safe(self):
        """Nothing of the doubtful slices is granted in between."""

        async def story(made, former):
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

        _run(story)

    def test_write_that_never_arrived_is_settled(self):
        """A barrier ends the doubt; the target goes on with its keys."""

        async def story(made, former):
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

        _run(story)


class TestSilentTargetOfANewKeeper:
    """A keeper is cut off from all but its target and replaced.

    Its successor does not hear the target. The former keeper still renews, so
    the target still serves; giving its keys away would make two owners.
    """

    def _cut(self, made, target, keeper, successor):
        made.network.cut({keeper}, _others(made, keeper) - {target})
        made.network.cut({successor}, {target})
        for vm in set(made.daemons) - {keeper}:
            roles = made.daemons[vm].find("roles")
            roles._membership = _Suspects(keeper)

    def test_keys_stay_while_the_former_keeper_may_renew(self):
        """They move when the list says that its VM is gone."""

        async def story(made, target):
            keeper = losses.keeper_of(made, target)
            zone = keeper.rpartition("-")[0]
            successor = next(
                vm
                for vm in made.daemons
                if vm.startswith(zone) and vm != keeper
            )
            self._cut(made, target, keeper, successor)
            await virtual.pause(5 * LAPSE)
            assert losses.keeper_of(made, target) == successor
            assert losses.owner_of(made, KEY) == target
            assert made.targets[target].served()
            made.kill_daemon(keeper)
            made.fleet.remove(keeper)
            await virtual.pause(2.0 + 3 * LAPSE)
            assert losses.owner_of(made, KEY) != target

        _run(story)


class _Suspects:
    def __init__(self, *vms):
        self._vms = vms

    def suspects(self, vm):
        return vm in self._vms

    def subscribe(self, listener):
        del listener


class TestRestartedTarget:
    """A target restarts and no longer knows which keeper it listens to.

    Its keeper was replaced while it was cut off. If it granted from its old
    table, keys that have moved on would be served here once more.
    """

    def test_replaced_keeper_grants_nothing_to_the_new_run(self):
        """It can ask neither the store nor a peer, so it keeps silent."""

        async def story(made, target):
            _leave_only(made, losses.keeper_of(made, target), target)
            made.targets[target].restart()
            await virtual.pause(5.0)
            assert made.targets[target].served() == []
            made.network.heal()
            await virtual.pause(3.0)
            assert await _call(made) == losses.owner_of(made, KEY)

        _run(story)

    def test_peers_of_the_zone_answer_while_the_store_is_down(self):
        """A cut-off zone gets its restarted target back."""

        async def story(made, target):
            made.store.go_down()
            made.targets[target].restart()
            await virtual.pause(1.0)
            assert await _call(made) == target

        _run(story)


class TestPausedKeeper:
    """A keeper's VM stops for some seconds and goes on.

    Its tables are as old as the pause. What it orders before it has read them
    anew may have been true only before.
    """

    def test_nothing_is_sent_before_it_has_caught_up(self):
        """With neither store nor peers it stays silent."""

        async def story(made, target):
            keeper = losses.keeper_of(made, target)
            process = made.process(keeper)
            process.pause()
            _leave_only(made, keeper, target)
            await virtual.pause(3.0)
            process.resume()
            await virtual.pause(3.0)
            assert made.targets[target].served() == []
            made.network.heal()
            await virtual.pause(1.5)
            assert made.targets[target].served()

        _run(story)

    def test_targets_keep_their_keys(self):
        """The pause is over soon; nothing has to move."""

        async def story(made, target):
            process = made.process(losses.keeper_of(made, target))
            process.pause()
            await virtual.pause(1.0)
            process.resume()
            await virtual.pause(0.3)
            assert await _call(made) == target
            assert losses.owner_of(made, KEY) == target

        _run(story)


class TestTargetThatChecksNothing:
    """A target runs whatever reaches it.

    Its keeper alone can say that nothing of it is running. A key that moved
    while a label was being issued would have its serial issued twice.
    """

    @pytest.mark.parametrize(
        ("answered", "moves"), [(True, True), (False, False)]
    )
    def test_key_moves_only_after_the_whole_answer(self, answered, moves):
        """A request whose answer was lost may run at any later time."""

        async def story(made, former):
            run = made.targets[former]
            run.service_time = 0.5
            if not answered:
                run.freeze()
            assert (await _call(made, 1.0) == former) is answered
            run.thaw()
            made.fleet.leave(former)
            await virtual.pause(1.5)
            assert (losses.owner_of(made, KEY) != former) is moves

        _run(story, checks_orders=False, checks_expiry=False)

    def test_gone_target_loses_its_keys(self):
        """The list lacked its VM for as long as a grant could last."""

        async def story(made, former):
            made.targets[former].crash()
            await virtual.pause(3.0)
            assert losses.owner_of(made, KEY) == former
            made.fleet.remove(former)
            await virtual.pause(2.0)
            assert await _call(made) == losses.owner_of(made, KEY) != former

        _run(story, checks_orders=False, checks_expiry=False)

    def test_no_grant_is_sent_to_it(self):
        """It would not understand one."""

        async def story(made, target):
            assert made.targets[target].holder.owned(0.0) == []
            assert await _call(made) == target

        _run(story, checks_orders=False, checks_expiry=False)


class TestStandDown:
    """A new keeper asks the former one to be silent."""

    def test_former_keeper_stops_at_once(self):
        """It does so even before it has seen the table change."""

        async def story(made, target):
            keeper = made.daemons[losses.keeper_of(made, target)]
            block = made.blocks(losses.KEYED)[0]
            fence = block.keepers[target].fence + 1
            role = messages.Role(block.id, target, fence)
            question = messages.StandDown("other", (role,))
            reply = keeper.find("inbox").receive(question)
            assert reply.roles == (role,)
            await virtual.pause(1.0)
            assert made.targets[target].served() == []

        _run(story)
