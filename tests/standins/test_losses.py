"""Tests of the fault cases, in virtual time."""

import pytest

from mimosastile_core import fleet
from mimosastile_standins import deployments
from mimosastile_standins import loss_cases
from mimosastile_standins import losses
from mimosastile_standins import target
from mimosastile_standins import virtual
from mimosastile_standins import world

FEW_KEYS = {"keys": 2, "seconds": 2.5}


def _execution(name, fence):
    return target.Execution(name, "", "GET", "/s/k", 5, fence, 0.0)


class TestOwnershipChecker:
    """Detection of two targets that act as the owner of one key."""

    @pytest.mark.parametrize(
        ("runs", "broken"),
        [
            ([("a", 1), ("a", 1), ("b", 2)], False),
            ([("a", 1), ("b", 2), ("a", 1)], True),
            ([("a", 1), ("b", 1)], True),
            ([("a", 2), ("a", 1)], True),
        ],
    )
    def test_fences_must_rise(self, runs, broken):
        """An execution under a former owner's fence is a violation."""
        checker = losses.OwnershipChecker()
        for name, fence in runs:
            checker.observe(_execution(name, fence))
        assert bool(checker.violations) is broken


class TestLostTarget:
    """A target crashes, freezes, restarts or loses its connection.

    Callers of its keys get errors until another target owns the keys.
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
        """Holds if the targets check grants and their expiry."""
        outcome = losses.run(fault, losses.Setting(**FEW_KEYS))
        assert outcome.violations == ()
        assert outcome.longest < 1.0

    @pytest.mark.parametrize("fault", [loss_cases.freeze_target])
    def test_no_other_target_gets_keys_without_proof_of_release(self, fault):
        """Without expiry checks, silence does not prove that it released."""
        setting = losses.Setting(checks_expiry=False, keys=2, seconds=4.0)
        outcome = losses.run(fault, setting)
        assert outcome.violations == ()
        assert 2.0 < outcome.longest < 4.0


class TestPlannedMove:
    """A target leaves while callers send requests.

    No request is refused, and none waits for half a second.
    """

    @pytest.mark.parametrize(
        ("orders", "expiry"), [(True, True), (True, False), (False, False)]
    )
    def test_no_request_is_refused(self, orders, expiry):
        """Holds for targets with and without checks of grants and expiry."""
        setting = losses.Setting(
            checks_orders=orders, checks_expiry=expiry, patient=True, **FEW_KEYS
        )
        outcome = losses.run(loss_cases.leave_target, setting)
        assert outcome.violations == ()
        assert outcome.refused == 0
        assert outcome.waited[0] < 0.5


class TestLeavingTargetWithoutKeys:
    """A leaving target of a service that is not divided by key."""

    def test_gets_no_new_work_after_three_seconds(self):
        """The time counts from its VM being listed as leaving."""

        async def scenario():
            simulation = world.World()
            await simulation.deploy(deployments.SMALL)
            leaving = "prijemnica-0"
            simulation.fleet.leave(leaving)
            state = simulation.fleet.read(virtual.now())
            assert any(v.state is fleet.VmState.LEAVING for v in state)
            await virtual.pause(3.0)
            run = simulation.targets[leaving]
            before = len(run.executions)
            for number in range(20):
                vm = sorted(simulation.daemons)[
                    number % len(simulation.daemons)
                ]
                path = f"/prijemnica/{number}"
                status, _ = await simulation.call(vm, "GET", path)
                assert status == 200
            assert len(run.executions) == before

        virtual.run(scenario())


class TestCutOffZone:
    """A zone is isolated from the rest of the network.

    Inside the zone the keys of its targets are still served; outside, their
    callers wait.
    """

    def test_serves_the_keys_of_its_targets(self):
        """The owner stays the same: no target outside takes its keys."""

        async def scenario():
            simulation = await losses.start(losses.Setting())
            owner = losses.owner_of(simulation, "k0")
            zone = simulation.daemons[losses.keeper_of(simulation, owner)]
            inside = simulation.network.named(zone.find("keeper")._zone)
            simulation.network.isolate(inside)
            await virtual.pause(10.0)
            vms = sorted(inside & set(simulation.daemons))
            answers = [
                await simulation.call(vm, "GET", f"/{losses.KEYED}/k0")
                for vm in vms
            ]
            assert {status for status, _ in answers} == {200}
            assert losses.owner_of(simulation, "k0") == owner

        virtual.run(scenario())
