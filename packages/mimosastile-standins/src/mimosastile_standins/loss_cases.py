"""Defines the measured faults and prints tables of their results."""

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
"""How long the VM list still contains a crashed VM in these cases."""
_FROZEN_SECONDS = 3.0
_SLOW_STORE_SECONDS = 0.5


async def crash_target(simulation: world.World, target: str) -> None:
    """Crashes a target; 2 s later the VM list drops its VM."""
    simulation.targets[target].crash()
    await virtual.pause(_LISTED_SECONDS)
    simulation.fleet.remove(target)


async def freeze_target(simulation: world.World, target: str) -> None:
    """Freezes a target and thaws it 3 s later with its state intact."""
    simulation.targets[target].freeze()
    await virtual.pause(_FROZEN_SECONDS)
    simulation.targets[target].thaw()


async def cut_target(simulation: world.World, target: str) -> None:
    """Cuts only the connection between a target and its keeper."""
    simulation.network.cut({target}, {losses.keeper_of(simulation, target)})


async def restart_target(simulation: world.World, target: str) -> None:
    """Restarts a target, which loses all state."""
    simulation.targets[target].restart()
    await asyncio.sleep(0)


async def leave_target(simulation: world.World, target: str) -> None:
    """Marks a target as leaving in the VM list."""
    simulation.fleet.leave(target)
    await asyncio.sleep(0)


async def lose_keeper(simulation: world.World, target: str) -> None:
    """Crashes a target's keeper; 2 s later the VM list drops its VM."""
    keeper = losses.keeper_of(simulation, target)
    simulation.kill_daemon(keeper)
    await virtual.pause(_LISTED_SECONDS)
    simulation.fleet.remove(keeper)


async def stop_keeper(simulation: world.World, target: str) -> None:
    """Stops a target's keeper gracefully."""
    keeper = losses.keeper_of(simulation, target)
    await simulation.stop_daemon(keeper)
    simulation.fleet.remove(keeper)


async def replace_entries(simulation: world.World, target: str) -> None:
    """Replaces all entry VMs of the target's zone, one after another."""
    zone = _zone_of(simulation, target)
    listed = simulation.fleet.read(virtual.now())
    old = [
        vm for vm in listed if vm.role is fleet.Role.ENTRY and vm.zone == zone
    ]
    for number, vm in enumerate(old):
        await simulation.add_daemon(f"fresh-{number}", vm.region, zone)
        await virtual.pause(0.6)
        simulation.fleet.leave(vm.id)
        await simulation.stop_daemon(vm.id)
        simulation.fleet.remove(vm.id)


async def slow_store(simulation: world.World, target: str) -> None:
    """Slows every store call to 0.5 s and crashes a target."""
    simulation.store.latency = _SLOW_STORE_SECONDS
    await crash_target(simulation, target)


def _zone_of(simulation: world.World, name: str) -> str:
    listed = simulation.fleet.read(virtual.now())
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
_PAUSE_SECONDS = (0.2, 0.4, 0.8)
_MOVED_KEY_COUNT = 3
"""Few enough for the concurrency slots of the remaining targets."""


def _paused(seconds: float) -> losses.Fault:
    async def pause(simulation: world.World, target: str) -> None:
        process = simulation.process(losses.keeper_of(simulation, target))
        process.pause()
        await virtual.pause(seconds)
        process.resume()

    return pause


def report_abilities(seed: int) -> None:
    """Prints unavailability and refusals by fault and target ability."""
    print_line = _printing.say
    print_line(
        "longest time without service of a key / requests refused / sent"
    )
    names = " | ".join(name for name, _, _ in _ABILITIES)
    print_line(f"| loss | {names} |")
    print_line("|---|" + "---|" * len(_ABILITIES))
    for fault in (*_PLANNED, *_UNPLANNED, *_KEEPERS):
        cells = " | ".join(_cells(fault, seed))
        print_line(f"| {fault.__name__.replace('_', ' ')} | {cells} |")


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
    """Prints unavailability by time to live, renewal, drift and pause."""
    print_line = _printing.say
    print_line("longest time without service of a key")
    pauses = " | ".join(f"keeper paused {p} s" for p in _PAUSE_SECONDS)
    print_line(f"| ttl, renew, drift | target frozen | {pauses} | renewals/s |")
    print_line("|---|---|" + "---|" * (len(_PAUSE_SECONDS) + 1))
    for timing in _TIMINGS:
        faults = (freeze_target, *map(_paused, _PAUSE_SECONDS))
        setting = losses.Setting(timing=timing, seconds=5.0)
        cells = " | ".join(
            f"{losses.run(fault, setting, seed).longest:.2f} s"
            for fault in faults
        )
        print_line(
            f"| {timing.ttl} s, {timing.renew} s, {timing.drift} | {cells}"
            f" | {1 / timing.renew:.1f} |"
        )


def report_moves(seeds: int) -> None:
    """Prints callers' response times during planned moves."""
    setting = losses.Setting(patient=True, seconds=2.0, keys=_MOVED_KEY_COUNT)
    runs = [losses.run(leave_target, setting, seed) for seed in range(seeds)]
    waits = sorted(itertools.chain.from_iterable(r.waited for r in runs))
    _printing.say(
        f"planned move, {len(waits)} keys in {seeds} runs, longest wait of a"
        f" caller for an answer: p50 {_percentile(waits, 0.5):.3f} s,"
        f" p99 {_percentile(waits, 0.99):.3f} s, max {waits[-1]:.3f} s;"
        f" refused {sum(r.refused for r in runs)}"
        f" of {sum(r.sent for r in runs)}"
    )


def _percentile(ranked: list[float], share: float) -> float:
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


class Report(msgspec.Struct, frozen=True):
    """Prints all tables for given seeds.

    Attributes:
        seed: Seed of the fault and timing tables.
        move_seeds: Number of runs of the planned move, seeded from 0.
    """

    seed: int = 0
    move_seeds: int = 12

    def print(self) -> None:
        """Runs all cases and prints the tables."""
        report_abilities(self.seed)
        report_timings(self.seed)
        report_moves(self.move_seeds)
