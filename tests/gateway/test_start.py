"""VMs that start together behind a narrow link."""

import asyncio

import msgspec
import pytest

from mimosastile_standins import virtual
from tests.gateway import fleet
from tests.gateway import links

APPLY_SECONDS = 2.0
"""Time from the acknowledgement of a version until all VMs apply it."""
_READY_SECONDS = 10.0
"""Time from the start of the VMs until traffic starts."""
_TARGETS = 1000
_REGISTER_SECONDS = 3.0
"""Time over which targets register."""
_STORE_TRAFFIC_SHARE = 0.2
"""Share of the link that targets' own calls to the store take."""


async def _register(fleet_under_test):
    """Registers targets over several seconds."""
    for number in range(_TARGETS):
        record = {
            "ServiceName": fleet.PLAIN,
            "Address": f"10.1.{number // 250}.{number % 250}:80",
            "Zone": "z",
            "ConfigVersion": "v1",
            "Slots": 4,
            "State": "ready",
            "WarmupLeftMs": 0,
            "SeqNo": 1,
            "born": 1790548315080 + number,
        }
        fleet_under_test.store.put(
            f"servers/x{number}", msgspec.json.encode(record)
        )
        await asyncio.sleep(_REGISTER_SECONDS / _TARGETS)


async def _call_store(link):
    """Makes targets call the store continuously."""
    while True:
        await asyncio.sleep(0.05)
        size = link.rate * 0.05 * _STORE_TRAFFIC_SHARE
        for direction in ("there", "back"):
            asyncio.create_task(link.carry(size, "beats", direction))


def _run_scenario(scenario, vms, mbps, over):
    """Starts VMs, half of them behind a link, and runs a scenario."""

    async def main():
        link = links.Link(mbps)
        zones = ("z", "far", "z", "farther")
        fleet_under_test = fleet.Fleet(0, zones=zones, watched=True, link=link)
        fleet_under_test.store.stale_seconds = 0.5
        background = [
            asyncio.create_task(_register(fleet_under_test)),
            asyncio.create_task(_call_store(link)),
        ]
        for number in range(vms):
            fleet_under_test.add_vm(f"vm-{number:03}")
            await asyncio.sleep(over / vms)
        await scenario(fleet_under_test, link)
        for task in background:
            task.cancel()
        fleet_under_test.end()

    virtual.run(main())


def _vms_behind(fleet_under_test, version):
    """Returns the VMs that do not have a version yet."""
    return [
        name
        for name, vm in fleet_under_test.vms.items()
        if vm.cluster.version < version
    ]


class TestAllVmsStart:
    """Hundreds of VMs start, and the store is in another region."""

    @pytest.mark.parametrize(
        ("vms", "mbps", "over"),
        [
            (12, 2, 0.3),
            (88, 10, 0.3),
            (300, 10, 0.3),
            (300, 12, 1.0),
            (600, 30, 1.0),
        ],
    )
    def test_configuration_in_force(self, vms, mbps, over):
        """Guards against a link saturated by what each VM reads of all others.

        VMs behind it then receive no version for as long as they run.
        """

        async def scenario(fleet_under_test, link):
            await asyncio.sleep(_READY_SECONDS)
            assert _vms_behind(fleet_under_test, 2) == []
            fleet_under_test.write_configuration(3, 5)
            await asyncio.sleep(APPLY_SECONDS)
            assert _vms_behind(fleet_under_test, 3) == []

        _run_scenario(scenario, vms, mbps, over)

    @pytest.mark.parametrize(("vms", "mbps"), [(88, 10), (300, 10), (300, 30)])
    def test_busy_leader(self, vms, mbps):
        """Guards against VMs that all read the registrations at the start.

        The leader responds to their reports too late while hundreds of targets
        register.
        """

        async def scenario(fleet_under_test, link):
            fleet_under_test.report_seconds = 0.6
            await asyncio.sleep(_REGISTER_SECONDS)
            fleet_under_test.report_seconds = 0.0
            await asyncio.sleep(_READY_SECONDS - _REGISTER_SECONDS)
            assert _vms_behind(fleet_under_test, 2) == []
            fleet_under_test.write_configuration(3, 5)
            await asyncio.sleep(APPLY_SECONDS)
            assert _vms_behind(fleet_under_test, 3) == []

        _run_scenario(scenario, vms, mbps, 0.3)

    @pytest.mark.parametrize("vms", [12, 88, 300, 600])
    def test_bytes_between_regions(self, vms):
        """Guards against reads that grow with the square of the VMs."""

        async def scenario(fleet_under_test, link):
            await asyncio.sleep(5.0)
            read = sum(
                size
                for purpose, size in link.carried.items()
                if purpose.startswith(("list mimosastile", "read"))
            )
            assert read < 4000 * vms

        _run_scenario(scenario, vms, 30, 0.3)
