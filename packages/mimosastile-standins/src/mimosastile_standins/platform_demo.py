"""The demo on the platform's protocol: requests, a lost target, moved keys."""

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
    """Runs the whole path on loopback and prints what happened.

    Args:
        seconds: How long requests are sent beyond what is shown.
    """
    world = platform_world.World()
    began = time.monotonic()
    try:
        await world.start(vms=3, keyed=4, plain=2)
        _printing.say(
            f"3 VMs, 4 targets with keys and 2 without serve after"
            f" {time.monotonic() - began:.1f} s."
        )
        await _show_requests(world, seconds)
        await _show_leaving(world)
        await _show_loss(world)
    finally:
        await world.stop()


async def _show_requests(world: platform_world.World, seconds: float) -> None:
    statuses: collections.Counter[int] = collections.Counter()
    ends = time.monotonic() + seconds
    while True:
        for key in _KEYS:
            statuses[(await world.ask(f"/read/{key}", key)).status] += 1
        issued = await world.ask("/issue/1", method="POST")
        statuses[issued.status] += 1
        if time.monotonic() > ends:
            break
    _printing.say(f"Requests by status: {dict(statuses)}.")


async def _show_leaving(world: platform_world.World) -> None:
    leaving = world.targets["k1"]
    world.store.put("servers/k1", leaving.registration("draining"))

    async def moved() -> bool:
        return "k1" not in _owners(world)

    await world.until(moved, _WAIT_SECONDS)
    statuses = {(await world.ask("/read/x", key)).status for key in _KEYS}
    _printing.say(f"k1 leaves; its keys moved, statuses {statuses}.")


async def _show_loss(world: platform_world.World) -> None:
    began = time.monotonic()
    world.kill_target("k0")
    refused = 0
    while True:
        answers = [
            await world.ask("/read/x", key, deadline_ms=300) for key in _KEYS
        ]
        failed = sum(answer.status != 200 for answer in answers)
        refused += failed
        if not failed and "k0" not in _owners(world):
            break
        await asyncio.sleep(0.05)
    _printing.say(
        f"k0 dies; all keys are served again after"
        f" {time.monotonic() - began:.1f} s, {refused} requests refused."
    )


def _owners(world: platform_world.World) -> set[str]:
    raw = world.store.value(messages.table_key(platform_world.KEYED)) or b""
    table = messages.decode(raw, ranges.RangeTable)
    return {holder.id for holder in table.owners()}
