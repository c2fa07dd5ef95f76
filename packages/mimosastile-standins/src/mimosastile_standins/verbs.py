"""What the verbs of the scenario language do to a running world."""

from collections.abc import Coroutine
import functools
from typing import Any
from typing import Protocol

from mimosastile_standins import oracle
from mimosastile_standins import scenario
from mimosastile_standins import world


class Stage(Protocol):
    """The run of a scenario, as its verbs see it."""

    @property
    def world(self) -> world.World:
        """The world of this run."""

    @property
    def oracle(self) -> oracle.Oracle:
        """The oracle of this run."""

    @property
    def frozen(self) -> set[str]:
        """VMs that are frozen now."""

    def resolve(self, name: str) -> str:
        """Returns the VM that `owner:KEY` or `keeper:KEY` names now."""

    def end(self, vm: str) -> None:
        """Ends a target or a daemon without a word."""

    async def end_later(self, vm: str, seconds: float) -> None:
        """Ends a target or a daemon after some time."""

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs something beside the story."""

    def set_load(self, load: scenario.Load) -> None:
        """Changes what callers send and how long targets work on it."""

    async def send_deadly(self, step: scenario.Deadly) -> None:
        """Sends a deadly request again and again, as its caller would."""

    async def configure(self, member: str) -> None:
        """Stores the next configuration, with one more member."""

    async def race(self, members: tuple[str, ...]) -> None:
        """Submits patches against the same number, all at once."""

    def check(self, expected: scenario.Expect) -> None:
        """Notes every expectation that does not hold."""


@functools.singledispatch
async def do(step: scenario.Step, run: Stage) -> None:
    """Carries out one verb."""
    raise TypeError(f"no such verb: {step!r}")


@do.register
async def _(step: scenario.Start, run: Stage) -> None:
    if step.vm in run.world.targets:
        run.world.targets[step.vm].restart()
    elif step.vm not in run.world.daemons:
        await run.world.start_daemon(step.vm)


@do.register
async def _(step: scenario.Stop, run: Stage) -> None:
    if step.vm in run.world.daemons:
        run.oracle.stopping(step.vm)
        run.spawn(run.world.stop_daemon(step.vm))


@do.register
async def _(step: scenario.Crash, run: Stage) -> None:
    run.end(run.resolve(step.vm))


@do.register
async def _(step: scenario.Freeze, run: Stage) -> None:
    vm = run.resolve(step.vm)
    run.frozen.add(vm)
    if vm in run.world.targets:
        run.world.targets[vm].freeze()
    elif vm in run.world.daemons:
        run.world.process(vm).pause()


@do.register
async def _(step: scenario.Thaw, run: Stage) -> None:
    for vm in [step.vm] if step.vm else sorted(run.frozen):
        run.frozen.discard(vm)
        if vm in run.world.targets:
            run.world.targets[vm].thaw()
        elif vm in run.world.daemons:
            run.world.process(vm).resume()


@do.register
async def _(step: scenario.Drain, run: Stage) -> None:
    vm = run.resolve(step.vm)
    run.world.fleet.leave(vm)
    run.oracle.leaving(vm)


@do.register
async def _(step: scenario.Remove, run: Stage) -> None:
    vm = run.resolve(step.vm)
    run.world.fleet.remove(vm)
    if step.lingers:
        run.spawn(run.end_later(vm, step.lingers))
    else:
        run.end(vm)


@do.register
async def _(step: scenario.Cut, run: Stage) -> None:
    between = run.world.network
    group = set().union(*(between.named(n) for n in step.group))
    if not step.others:
        between.isolate(group)
        return
    others = set().union(*(between.named(n) for n in step.others))
    if step.one_way:
        between.cut_one_way(group, others)
    else:
        between.cut(group, others)


@do.register
async def _(step: scenario.Heal, run: Stage) -> None:
    run.world.network.heal()


@do.register
async def _(step: scenario.StoreDown, run: Stage) -> None:
    run.world.store.go_down()


@do.register
async def _(step: scenario.StoreUp, run: Stage) -> None:
    run.world.store.come_back()


@do.register
async def _(step: scenario.Slow, run: Stage) -> None:
    run.world.store.latency = step.seconds


@do.register
async def _(step: scenario.LoseAnswer, run: Stage) -> None:
    if step.late:
        run.world.store.late_seconds = step.late
        run.world.store.late_writes += step.writes
    else:
        run.world.store.lost_responses += step.writes


@do.register
async def _(step: scenario.Lie, run: Stage) -> None:
    run.world.fleet.lag = step.lag
    run.world.fleet.down = step.down


@do.register
async def _(step: scenario.Patch, run: Stage) -> None:
    await run.configure(step.member)


@do.register
async def _(step: scenario.Load, run: Stage) -> None:
    run.set_load(step)


@do.register
async def _(step: scenario.Deadly, run: Stage) -> None:
    run.spawn(run.send_deadly(step))


@do.register
async def _(step: scenario.Race, run: Stage) -> None:
    await run.race(step.members)


@do.register
async def _(step: scenario.Expect, run: Stage) -> None:
    run.check(step)
