"""VMs that start together beyond a narrow link."""

import asyncio

import msgspec
import pytest

from mimosastile_standins import virtual
from tests.gateway import fleet
from tests.gateway import links

APPLY_SECONDS = 2.0
"""From the acknowledgement of a version until all VMs serve by it."""
_READY_SECONDS = 10.0
"""From the start of the VMs to that of traffic."""
_TARGETS = 1000
_REGISTER_SECONDS = 3.0
"""Time over which targets register."""
_BEATS = 0.2
"""Part of the link that targets' own calls to the store take."""


async def _register(made):
    """Has targets register over some seconds."""
    for number in range(_TARGETS):
        record = {
            "ServiceName": fleet.PLAIN,
            "Address": f"10.1.{number // 250}.{number % 250}:80",
            "Zone": "z",
            "Slots": 4,
            "State": "ready",
            "born": 1790548315080 + number,
        }
        made.store.put(f"servers/x{number}", msgspec.json.encode(record))
        await asyncio.sleep(_REGISTER_SECONDS / _TARGETS)


async def _beat(link):
    """Has targets call the store all the time."""
    while True:
        await asyncio.sleep(0.05)
        size = link.rate * 0.05 * _BEATS
        for direction in ("there", "back"):
            asyncio.create_task(link.carry(size, "beats", direction))


def _play(scenario, vms, mbps, over):
    """Starts VMs, half of them beyond a link, over some seconds."""

    async def main():
        link = links.Link(mbps)
        zones = ("z", "far", "z", "farther")
        made = fleet.Fleet(0, zones=zones, watched=True, link=link)
        made.store.stale_seconds = 0.5
        others = [
            asyncio.create_task(_register(made)),
            asyncio.create_task(_beat(link)),
        ]
        for number in range(vms):
            made.add_vm(f"vm-{number:03}")
            await asyncio.sleep(over / vms)
        await scenario(made, link)
        for task in others:
            task.cancel()
        made.end()

    virtual.run(main())


def _behind(made, version):
    """Returns the VMs that do not know a version."""
    return [
        name for name, vm in made.vms.items() if vm.cluster.version < version
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
        """Guards against a link kept full by what each VM reads of all others.

        VMs beyond it then hear of no version for as long as they run.
        """

        async def scenario(made, link):
            await asyncio.sleep(_READY_SECONDS)
            assert _behind(made, 2) == []
            made.write_configuration(3, 5)
            await asyncio.sleep(APPLY_SECONDS)
            assert _behind(made, 3) == []

        _play(scenario, vms, mbps, over)

    @pytest.mark.parametrize(("vms", "mbps"), [(88, 10), (300, 10), (300, 30)])
    def test_busy_leader(self, vms, mbps):
        """Guards against VMs that all read what registers at the start.

        The leader answers their reports too late while hundreds of targets
        register.
        """

        async def scenario(made, link):
            made.report_seconds = 0.6
            await asyncio.sleep(_REGISTER_SECONDS)
            made.report_seconds = 0.0
            await asyncio.sleep(_READY_SECONDS - _REGISTER_SECONDS)
            assert _behind(made, 2) == []
            made.write_configuration(3, 5)
            await asyncio.sleep(APPLY_SECONDS)
            assert _behind(made, 3) == []

        _play(scenario, vms, mbps, 0.3)

    @pytest.mark.parametrize("vms", [12, 88, 300, 600])
    def test_bytes_between_regions(self, vms):
        """Guards against reading that grows with the square of the VMs."""

        async def scenario(made, link):
            await asyncio.sleep(5.0)
            read = sum(
                size
                for purpose, size in link.carried.items()
                if purpose.startswith(("list mimosastile", "read"))
            )
            assert read < 4000 * vms

        _play(scenario, vms, 30, 0.3)
