"""Tests of the loss cases, in virtual time."""

import pytest

from mimosastile_core import fleet
from mimosastile_standins import deployments
from mimosastile_standins import loss_cases
from mimosastile_standins import losses
from mimosastile_standins import target
from mimosastile_standins import virtual
from mimosastile_standins import world

FEW = {"keys": 2, "seconds": 2.5}


def _execution(name, fence):
    return target.Execution(name, "", "GET", "/s/k", 5, fence, 0.0)


class TestOrder:
    """What shows that two targets took themselves for the owner."""

    @pytest.mark.parametrize(
        ("runs", "broken"),
        [
            ([("a", 1), ("a", 1), ("b", 2)], False),
            ([("a", 1), ("b", 2), ("a", 1)], True),
            ([("a", 1), ("b", 1)], True),
            ([("a", 2), ("a", 1)], True),
        ],
    )
    def test_fences_only_rise(self, runs, broken):
        """A run under a former owner's fence is a violation."""
        order = losses.Order()
        for name, fence in runs:
            order.note(_execution(name, fence))
        assert bool(order.violations) is broken


class TestLostTarget:
    """A target is lost in one of several ways.

    Callers of its keys are refused until another target has them.
    """

    @pytest.mark.parametrize(
        "fault",
        [
            loss_cases.crash_target,
            loss_cases.freeze_target,
            loss_cases.cut_target,
            loss_cases.restart_target,
        ],
        ids=lambda f: f.__name__,
    )
    def test_keys_are_served_again_within_a_second(self, fault):
        """Where targets check orders and expiry."""
        outcome = losses.run(fault, losses.Setting(**FEW))
        assert outcome.violations == ()
        assert outcome.longest < 1.0

    @pytest.mark.parametrize("fault", [loss_cases.freeze_target])
    def test_no_other_target_gets_them_without_a_proof(self, fault):
        """Where targets check no expiry, nobody can know."""
        setting = losses.Setting(checks_expiry=False, keys=2, seconds=4.0)
        outcome = losses.run(fault, setting)
        assert outcome.violations == ()
        assert 2.0 < outcome.longest < 4.0


class TestPlannedMove:
    """A target leaves while callers send.

    They see neither a refusal nor a noticeable wait.
    """

    @pytest.mark.parametrize(
        ("orders", "expiry"), [(True, True), (True, False), (False, False)]
    )
    def test_no_request_is_refused(self, orders, expiry):
        """Whatever the targets can do."""
        setting = losses.Setting(
            checks_orders=orders, checks_expiry=expiry, patient=True, **FEW
        )
        outcome = losses.run(loss_cases.leave_target, setting)
        assert outcome.violations == ()
        assert outcome.refused == 0
        assert outcome.waited[0] < 0.5


class TestLeavingTargetWithoutKeys:
    """A target of a service that is not divided by key is to leave."""

    def test_gets_no_new_work_after_three_seconds(self):
        """From when the list says so."""

        async def story():
            made = world.World()
            await made.deploy(deployments.SMALL)
            leaving = "prijemnica-0"
            made.fleet.leave(leaving)
            state = made.fleet.read(virtual.now())
            assert any(v.state is fleet.VmState.LEAVING for v in state)
            await virtual.pause(3.0)
            run = made.targets[leaving]
            before = len(run.executions)
            for number in range(20):
                vm = sorted(made.daemons)[number % len(made.daemons)]
                path = f"/prijemnica/{number}"
                status, _ = await made.call(vm, "GET", path)
                assert status == 200
            assert len(run.executions) == before

        virtual.run(story())


class TestCutOffZone:
    """A zone is cut off from everything and comes back.

    Inside it, the keys that it owned are served on; outside, they wait.
    """

    def test_serves_what_it_owned(self):
        """Nobody outside takes its keys meanwhile."""

        async def story():
            made = await losses.start(losses.Setting())
            owner = losses.owner_of(made, "k0")
            zone = made.daemons[losses.keeper_of(made, owner)]
            inside = made.network.named(zone.find("keeper")._zone)
            made.network.isolate(inside)
            await virtual.pause(10.0)
            vms = sorted(inside & set(made.daemons))
            answers = [
                await made.call(vm, "GET", f"/{losses.KEYED}/k0") for vm in vms
            ]
            assert {status for status, _ in answers} == {200}
            assert losses.owner_of(made, "k0") == owner

        virtual.run(story())
