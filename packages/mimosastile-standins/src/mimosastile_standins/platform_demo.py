"""Demo with the platform's protocol: requests, moved keys, a target crash."""

import asyncio
import collections
import time

from mimosastile_core.gateway import ranges
from mimosastile_gateway import messages
from mimosastile_standins import _printing
from mimosastile_standins import platform_world

_KEYS = range(0, 65536, 4096)
_WAIT_SECONDS = 10.0


async def run(seconds: float) -> None:
    """Runs the demo on loopback and prints the results.

    Args:
        seconds: Minimum duration of the requests in the first part.
    """
    world = platform_world.World()
    began = time.monotonic()
    try:
        await world.start(vms=3, keyed=4, plain=2)
        _printing.say(
            f"3 VMs, 4 targets with keys and 2 without serve requests after"
            f" {time.monotonic() - began:.1f} s."
        )
        await _show_requests(world, seconds)
        await _show_leaving(world)
        await _show_crash(world)
    finally:
        await world.stop()


async def _show_requests(world: platform_world.World, seconds: float) -> None:
    statuses: collections.Counter[int] = collections.Counter()
    ends = time.monotonic() + seconds
    while True:
        for key in _KEYS:
            statuses[
                (await world.send_request(f"/read/{key}", key)).status
            ] += 1
        issued = await world.send_request("/issue/1", method="POST")
        statuses[issued.status] += 1
        if time.monotonic() > ends:
            break
    _printing.say(f"Requests by status: {dict(statuses)}.")


async def _show_leaving(world: platform_world.World) -> None:
    leaving = world.targets["k1"]
    world.store.put("servers/k1", leaving.registration("draining"))

    async def moved() -> bool:
        return "k1" not in _owners(world)

    await world.wait_until(moved, _WAIT_SECONDS)
    statuses = {
        (await world.send_request("/read/x", key)).status for key in _KEYS
    }
    _printing.say(f"k1 leaves; its keys moved, statuses {statuses}.")


async def _show_crash(world: platform_world.World) -> None:
    began = time.monotonic()
    world.kill_target("k0")
    refused = 0
    while True:
        responses = [
            await world.send_request("/read/x", key, deadline_ms=300)
            for key in _KEYS
        ]
        failed = sum(response.status != 200 for response in responses)
        refused += failed
        if not failed and "k0" not in _owners(world):
            break
        await asyncio.sleep(0.05)
    _printing.say(
        f"k0 crashes; all keys are served again after"
        f" {time.monotonic() - began:.1f} s, {refused} requests refused."
    )


def _owners(world: platform_world.World) -> set[str]:
    raw = world.store.value(messages.table_key(platform_world.KEYED)) or b""
    table = messages.decode(raw, ranges.RangeTable).unwrap()
    return {owner.id for owner in table.owners()}
