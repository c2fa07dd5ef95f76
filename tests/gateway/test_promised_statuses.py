"""Statuses that promise "not run" from targets that have run the request.

The tests wait for conditions, never for a time, and assert nothing about
durations.
"""

import collections

import pytest

from mimosastile_core import promises
from mimosastile_standins import partitions
from mimosastile_standins import platform_target
from tests.gateway import worlds

_SHED = platform_target.Fault.SHED
_UNMARKED = platform_target.Fault.UNMARKED
_STREAMED_BYTES = 3 << 19
"""Above the size up to which responses are buffered whole."""


async def _isolate(world, vm):
    """Cuts a VM off from all targets and waits until it has noticed."""
    world.cut_targets(vm, partitions.PartitionMode.RESET)

    async def isolated():
        for _ in range(3):
            await world.send_request("/issue/1", None, vm, 600, "POST")
        return "tagmint" in world.daemons[vm].dump()["services_unreachable"]

    await world.wait_until(isolated)


class TestPromises:
    """A caller sends a request again after 408, 421, 429 and 503."""

    @pytest.mark.parametrize("status", sorted(promises.NOT_RUN_STATUSES))
    @pytest.mark.parametrize("padding", [0, _STREAMED_BYTES])
    @pytest.mark.parametrize("faults", [(_UNMARKED,), (_SHED, _UNMARKED)])
    @pytest.mark.parametrize("through_peer", [False, True])
    def test_needs_a_statement_of_the_target(
        self, through_peer, faults, padding, status
    ):
        """Guards against a target's status that promises without a proof."""

        async def scenario(world):
            if through_peer:
                await _isolate(world, "vm-0")
            for name, fault in zip(("p0", "p1"), faults * 2, strict=False):
                world.targets[name].fault = fault
                world.targets[name].unmarked_status = status
                world.targets[name].padding_bytes = padding
            answers = [
                await world.send_request("/issue/1", None, "vm-0", 900, "POST")
                for _ in range(6)
            ]
            runs = collections.Counter(run.attempt for run in world.runs)
            assert max(runs.values()) == 1
            for answer in answers:
                attempt = answer.header(b"x-attempt-id").decode()
                if runs[attempt]:
                    assert answer.status == 502
                    assert answer.header(b"x-server-seal") is None
                    assert answer.header(b"retry-after") is None
                else:
                    assert answer.status == 503

        worlds.run_scenario(scenario)
