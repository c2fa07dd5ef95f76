"""The losses that are measured, and the tables that are printed of them."""

import asyncio
from collections.abc import Iterator
import itertools

import msgspec

from mimosastile_core import fleet
from mimosastile_core import grants
from mimosastile_standins import _printing
from mimosastile_standins import losses
from mimosastile_standins import virtual
from mimosastile_standins import world

_LISTED_SECONDS = 2.0
"""How long the list goes on to name a lost VM in these cases."""
_FROZEN_SECONDS = 3.0
_SLOW_STORE_SECONDS = 0.5


async def crash_target(made: world.World, target: str) -> None:
    """A target dies; later the list drops its VM."""
    made.targets[target].crash()
    await virtual.pause(_LISTED_SECONDS)
    made.fleet.remove(target)


async def freeze_target(made: world.World, target: str) -> None:
    """A target freezes and later thaws as if nothing had happened."""
    made.targets[target].freeze()
    await virtual.pause(_FROZEN_SECONDS)
    made.targets[target].thaw()


async def cut_target(made: world.World, target: str) -> None:
    """A target and its keeper lose each other; all else is well."""
    made.network.cut({target}, {losses.keeper_of(made, target)})


async def restart_target(made: world.World, target: str) -> None:
    """A target restarts and has forgotten everything."""
    made.targets[target].restart()
    await asyncio.sleep(0)


async def leave_target(made: world.World, target: str) -> None:
    """A target is on the leaving list."""
    made.fleet.leave(target)
    await asyncio.sleep(0)


async def lose_keeper(made: world.World, target: str) -> None:
    """A target's keeper dies; later the list drops its VM."""
    keeper = losses.keeper_of(made, target)
    made.kill_daemon(keeper)
    await virtual.pause(_LISTED_SECONDS)
    made.fleet.remove(keeper)


async def stop_keeper(made: world.World, target: str) -> None:
    """A target's keeper is stopped gracefully."""
    keeper = losses.keeper_of(made, target)
    await made.stop_daemon(keeper)
    made.fleet.remove(keeper)


async def replace_entries(made: world.World, target: str) -> None:
    """All entry VMs of the target's zone are replaced one after another."""
    zone = _zone_of(made, target)
    listed = made.fleet.read(virtual.now())
    old = [
        vm for vm in listed if vm.role is fleet.Role.ENTRY and vm.zone == zone
    ]
    for number, vm in enumerate(old):
        await made.add_daemon(f"fresh-{number}", vm.region, zone)
        await virtual.pause(0.6)
        made.fleet.leave(vm.id)
        await made.stop_daemon(vm.id)
        made.fleet.remove(vm.id)


async def slow_store(made: world.World, target: str) -> None:
    """Each call of the store takes long, and a target dies."""
    made.store.latency = _SLOW_STORE_SECONDS
    await crash_target(made, target)


def _zone_of(made: world.World, name: str) -> str:
    listed = made.fleet.read(virtual.now())
    return next(vm.zone for vm in listed if vm.id == name)


_ABILITIES = (
    ("orders, expiry", True, True),
    ("orders", True, False),
    ("nothing", False, False),
)
_PLANNED = (leave_target, stop_keeper, replace_entries)
_UNPLANNED = (crash_target, freeze_target, cut_target, restart_target)
_KEEPERS = (lose_keeper, slow_store)
_TIMINGS = (
    grants.Timing(ttl=0.3, renew=0.075, timeout=0.15),
    grants.Timing(),
    grants.Timing(drift=0.1),
    grants.Timing(ttl=1.2, renew=0.3, timeout=0.6),
    grants.Timing(ttl=2.4, renew=0.6, timeout=1.2),
)
_PAUSES = (0.2, 0.4, 0.8)
_MOVED_KEYS = 3
"""Few enough that the slots of the targets that are left suffice."""


def _paused(seconds: float) -> losses.Fault:
    async def pause(made: world.World, target: str) -> None:
        process = made.process(losses.keeper_of(made, target))
        process.pause()
        await virtual.pause(seconds)
        process.resume()

    return pause


def report_abilities(seed: int) -> None:
    """Prints what each loss costs by the targets' abilities."""
    say = _printing.say
    say("longest time without service of a key / requests refused / sent")
    names = " | ".join(name for name, _, _ in _ABILITIES)
    say(f"| loss | {names} |")
    say("|---|" + "---|" * len(_ABILITIES))
    for fault in (*_PLANNED, *_UNPLANNED, *_KEEPERS):
        cells = " | ".join(_cells(fault, seed))
        say(f"| {fault.__name__.replace('_', ' ')} | {cells} |")


def _cells(fault: losses.Fault, seed: int) -> Iterator[str]:
    for _, orders, expiry in _ABILITIES:
        setting = losses.Setting(
            checks_orders=orders,
            checks_expiry=expiry,
            patient=fault in _PLANNED,
            seconds=6.0,
        )
        outcome = losses.run(fault, setting, seed)
        wrong = (
            f" {len(outcome.violations)} WRONG" if outcome.violations else ""
        )
        yield (
            f"{outcome.longest:.2f} s / {outcome.refused} / {outcome.sent}"
            f"{wrong}"
        )


def report_timings(seed: int) -> None:
    """Prints the trade of time to live, renewal, drift and pauses."""
    say = _printing.say
    say("longest time without service of a key")
    pauses = " | ".join(f"keeper paused {p} s" for p in _PAUSES)
    say(f"| ttl, renew, drift | target frozen | {pauses} | renewals/s |")
    say("|---|---|" + "---|" * (len(_PAUSES) + 1))
    for timing in _TIMINGS:
        faults = (freeze_target, *map(_paused, _PAUSES))
        setting = losses.Setting(timing=timing, seconds=5.0)
        cells = " | ".join(
            f"{losses.run(fault, setting, seed).longest:.2f} s"
            for fault in faults
        )
        say(
            f"| {timing.ttl} s, {timing.renew} s, {timing.drift} | {cells}"
            f" | {1 / timing.renew:.1f} |"
        )


def report_moves(seeds: int) -> None:
    """Prints how long callers wait for a key during a planned move."""
    setting = losses.Setting(patient=True, seconds=2.0, keys=_MOVED_KEYS)
    runs = [losses.run(leave_target, setting, seed) for seed in range(seeds)]
    waits = sorted(itertools.chain.from_iterable(r.waited for r in runs))
    _printing.say(
        f"planned move, {len(waits)} keys in {seeds} runs, longest wait of a"
        f" caller for an answer: p50 {_share(waits, 0.5):.3f} s,"
        f" p99 {_share(waits, 0.99):.3f} s, max {waits[-1]:.3f} s;"
        f" refused {sum(r.refused for r in runs)}"
        f" of {sum(r.sent for r in runs)}"
    )


def _share(ranked: list[float], share: float) -> float:
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


class Report(msgspec.Struct, frozen=True):
    """Which seeds a report runs with."""

    seed: int = 0
    move_seeds: int = 12

    def print(self) -> None:
        """Runs all cases and prints the tables."""
        report_abilities(self.seed)
        report_timings(self.seed)
        report_moves(self.move_seeds)
