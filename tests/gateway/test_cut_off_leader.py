"""A leader that does not reach owners of keys, under virtual time."""

import asyncio

import msgspec
import pytest

from mimosastile_core.gateway import routes
from tests.gateway import test_leader_role


def _cut_off(vm, names):
    """Makes a VM's attempts to reach targets fail."""
    for name in names:
        vm.monitor.record_attempt(f"{name}:80", False)


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
        ("alive", "reports", "asked"),
        [
            (True, {"vm-2": {}}, ["vm-2"]),
            (False, {"vm-2": {}}, []),
            (True, {"vm-2": {"isolated": ("s",), "unreachable": 3}}, []),
            (True, {"vm-2": {"unreachable": 3}}, []),
            (True, {"vm-2": {"stopping": True}}, []),
            (True, {"vm-2": {"reaches_store": False}}, []),
            (
                True,
                {
                    "vm-2": {"isolated": ("s",), "unreachable": 3},
                    "vm-3": {"unreachable": 1},
                },
                ["vm-3"],
            ),
        ],
        ids=[
            "one with a path",
            "targets that are down",
            "cut off as well",
            "reaches no more",
            "stopping",
            "without the store",
            "the one with a path",
        ],
    )
    def test_isolated_leader(self, alive, reports, asked):
        """Guards against a successor that cannot renew grants either."""

        async def scenario(vms, orders):
            leader, *others = vms
            for vm in others:
                if vm.name in reports:
                    leader.leader_role.handle_report(
                        vm.report(**reports[vm.name])
                    )
            _cut_off(leader, "abc")
            await asyncio.sleep(0.1)
            leader.leader_role.handle_report(
                leader.report(responsive=("a",) if alive else ())
            )
            await asyncio.sleep(0.4)
            assert sorted(set(_asked(leader))) == asked

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
        ("responsive", "asks"),
        [(("a", "b"), True), (("a",), False), ((), False)],
        ids=["two that others reach", "one", "none"],
    )
    def test_owners_that_others_reach(self, responsive, asks):
        """Guards against grants that lapse as some owners are cut off."""

        async def scenario(vms, orders):
            leader, other, _ = vms
            orders.dead = {"a", "b"}
            _cut_off(leader, "ab")
            for _ in range(8):
                await asyncio.sleep(0.2)
                leader.leader_role.handle_report(
                    other.report(responsive=responsive)
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
