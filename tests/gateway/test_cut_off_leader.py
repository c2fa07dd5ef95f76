"""A leader that does not reach owners of keys, under virtual time."""

import asyncio

import msgspec
import pytest

from mimosastile_core.gateway import path_proofs
from mimosastile_core.gateway import reachability
from mimosastile_core.gateway import routes
from mimosastile_gateway import path_succession
from tests.gateway import test_leader_role


def _cut_off(vm, names):
    """Makes a VM's attempts to reach targets fail."""
    for name in names:
        vm.pool.outcomes[f"{name}:80"] = reachability.Outcome.REFUSED
        vm.monitor.record_attempt(
            f"{name}:80", reachability.Outcome.REFUSED, 0.0
        )


def _asked(vm):
    return [
        name
        for line in vm.log.named("asks_successor_with_path")
        for name in line["successors"]
    ]


def _run(scenario):
    async def main():
        store, orders, vms = test_leader_role._setup("vm-1", "vm-2", "vm-3")
        assert await vms[0].leader_role.take_over("test")
        await asyncio.sleep(2.0)
        await scenario(vms, orders)
        for vm in vms:
            vm.monitor.stop()
            vm.leader_role.step_down("end")

    test_leader_role.virtual.run(main())


class TestSuccessor:
    """The VM that is asked to lead."""

    @pytest.mark.parametrize(
        ("reports", "asked"),
        [
            ({"vm-2": {}}, ["vm-2"]),
            ({"vm-2": {"isolated": ("s",), "unreachable": 3}}, []),
            ({"vm-2": {"stopping": True}}, []),
            ({"vm-2": {"reaches_store": False}}, []),
            (
                {
                    "vm-2": {"isolated": ("s",), "unreachable": 3},
                    "vm-3": {"unreachable": 1},
                },
                ["vm-3"],
            ),
        ],
        ids=[
            "one that may have a path",
            "cut off as well",
            "stopping",
            "without the store",
            "the one with a path",
        ],
    )
    def test_isolated_leader(self, reports, asked):
        """Guards against a successor that cannot renew grants either."""

        async def scenario(vms, orders):
            leader, *others = vms
            for vm in others:
                if vm.name in reports:
                    leader.leader_role.handle_report(
                        vm.report(**reports[vm.name])
                    )
            _cut_off(leader, "abc")
            await asyncio.sleep(0.5)
            assert sorted(set(_asked(leader))) == asked
            reply = leader.leader_role.handle_report(vms[1].report())
            assert reply.take_over is ("vm-2" in asked)
            assert (reply.path_proof is not None) is ("vm-2" in asked)

        _run(scenario)

    def test_reached_leader(self):
        """Guards against leaders that replace each other without need."""

        async def scenario(vms, orders):
            leader, other, _ = vms
            _cut_off(leader, "ab")
            leader.leader_role.handle_report(other.report())
            await asyncio.sleep(0.4)
            assert not _asked(leader)

        _run(scenario)

    @pytest.mark.parametrize(
        ("responsive", "cut", "asks"),
        [
            ("ab", "ab", True),
            ("a", "ab", False),
            ("", "ab", False),
            ("ab", "", False),
            ("ab", "a", False),
        ],
        ids=[
            "two that others reach",
            "one",
            "none",
            "two that are back, or addresses in use again",
            "one that is back",
        ],
    )
    def test_owners_that_others_reach(self, responsive, cut, asks):
        """Guards against grants that lapse as some owners are cut off."""

        async def scenario(vms, orders):
            leader, other, _ = vms
            orders.dead = {"a", "b"}
            _cut_off(leader, cut)
            for _ in range(8):
                await asyncio.sleep(0.2)
                leader.leader_role.handle_report(
                    other.report(responsive=tuple(responsive))
                )
            assert bool(_asked(leader)) is asks

        _run(scenario)

    def test_orders_without_response(self):
        """Guards against a new leader for orders that are carried out late."""

        async def scenario(vms, orders):
            leader, other, _ = vms
            orders.silent = {"a", "b", "c"}
            for _ in range(8):
                await asyncio.sleep(0.2)
                leader.leader_role.handle_report(
                    other.report(responsive=("a", "b", "c"))
                )
            assert not _asked(leader)

        _run(scenario)


class TestProof:
    """A VM that is asked to lead in place of one without a path."""

    @pytest.mark.parametrize(
        ("proof", "cut", "renamed", "leads"),
        [
            ((("s",), ()), "", False, True),
            ((("s",), ()), "ab", False, True),
            ((("s",), ()), "abc", False, False),
            (((), ("a", "b")), "", False, True),
            (((), ("a", "b")), "b", False, False),
            (((), ("a", "b")), "c", False, True),
            ((("s",), ()), "", True, False),
        ],
        ids=[
            "reaches all",
            "reaches one",
            "cut off as well, or targets are down",
            "reaches the owners",
            "one owner is down or full",
            "another target is down",
            "led by another VM meanwhile",
        ],
    )
    def test_takes_over(self, proof, cut, renamed, leads):
        """Guards against successors without a path, one after the other."""

        async def scenario(vms, orders):
            leader, vm, third = vms
            for name in cut:
                vm.pool.outcomes[f"{name}:80"] = reachability.Outcome.HUNG
            prover = path_succession.PathProver(vm.cluster, vm.monitor, vm.log)
            taken = []

            async def take_over():
                taken.append(vm.name)

            vm.cluster.record_leader(leader.cluster.leader)
            proving = asyncio.create_task(
                prover.take_over(path_proofs.PathProof(*proof), take_over)
            )
            await asyncio.sleep(0)
            if renamed:
                entry = leader.cluster.leader
                vm.cluster.record_leader(
                    msgspec.structs.replace(entry, epoch=entry.epoch + 1)
                )
            await proving
            assert bool(taken) is leads

        _run(scenario)

    def test_announced_during_take_over(self):
        """Guards against VMs asked together that replace each other."""

        async def scenario(vms, orders):
            leader, first, second = vms
            for vm in (first, second):
                vm.cluster.record_leader(leader.cluster.leader)
            taking = asyncio.create_task(first.leader_role.take_over("asked"))
            # The second one reads after the first one has written its entry.
            await asyncio.sleep(0.007)
            late = asyncio.create_task(second.leader_role.take_over("asked"))
            await asyncio.sleep(0.004)
            entry = msgspec.structs.replace(
                leader.cluster.leader, vm=first.name, epoch=2, boot="boot-vm-2"
            )
            second.cluster.record_leader(entry)
            assert await taking
            assert not await late

        _run(scenario)


class TestLacksPath:
    """When a VM should not lead."""

    @pytest.mark.parametrize(("keyed", "lacks"), [(True, True), (False, False)])
    def test_services_divided_by_key(self, keyed, lacks):
        """Guards against a leader replaced for a service without grants."""

        async def scenario(vms, orders):
            vm = vms[1]
            vm.cluster.apply_configuration(
                routes.Configuration(
                    2, services={"s": routes.Service("s", keyed=keyed)}
                )
            )
            _cut_off(vm, "abc")
            await asyncio.sleep(0.1)
            assert vm.leader_role.lacks_path is lacks

        _run(scenario)


class TestGates:
    """The VMs that admit requests to contended targets."""

    @pytest.mark.parametrize(
        ("isolated", "gate"),
        [(("vm-2",), "vm-3"), (("vm-3",), "vm-2"), (("vm-2", "vm-3"), "any")],
        ids=["one", "the other", "all"],
    )
    def test_isolated_vms(self, isolated, gate):
        """Guards against contended targets without any gate."""

        async def scenario(vms, orders):
            leader, *others = vms
            for vm in others:
                report = vm.report(
                    isolated=("other",) if vm.name in isolated else (),
                    under_way={"a": 9},
                )
                entry = msgspec.structs.replace(report.vm, address=vm.name)
                report = msgspec.structs.replace(report, vm=entry)
                await asyncio.sleep(0.2)
                reply = leader.leader_role.handle_report(report)
            assert reply.gates["a"] == gate or gate == "any"

        _run(scenario)
