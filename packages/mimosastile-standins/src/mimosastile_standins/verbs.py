"""Implements the verbs of the scenario language on a running scenario."""

from collections.abc import Coroutine
import functools
from typing import Any
from typing import Protocol

from mimosastile_standins import oracle
from mimosastile_standins import scenario
from mimosastile_standins import world


class ScenarioRun(Protocol):
    """Interface of a running scenario to its verbs."""

    @property
    def world(self) -> world.World:
        """The deployment."""

    @property
    def oracle(self) -> oracle.Oracle:
        """The oracle."""

    @property
    def frozen(self) -> set[str]:
        """The currently frozen VMs."""

    def resolve(self, name: str) -> str:
        """Returns the VM to which `owner:KEY` or `keeper:KEY` refers now.

        The keeper of a target is the entry VM through which alone it gets
        requests and grants.
        """

    def crash(self, vm: str) -> None:
        """Crashes a target or a daemon."""

    async def crash_later(self, vm: str, seconds: float) -> None:
        """Crashes a target or a daemon after a delay in seconds."""

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Starts a background task."""

    def set_load(self, load: scenario.Load) -> None:
        """Sets the callers' load and the targets' service time."""

    async def send_deadly(self, step: scenario.Deadly) -> None:
        """Sends a request repeatedly that crashes each target."""

    async def configure(self, member: str) -> None:
        """Stores the next configuration with an additional member."""

    async def race(self, members: tuple[str, ...]) -> None:
        """Submits concurrent patches against the same number."""

    def check(self, expected: scenario.Expect) -> None:
        """Records the expectations that do not hold."""


@functools.singledispatch
async def execute(step: scenario.Step, run: ScenarioRun) -> None:
    """Executes a step.

    Raises:
        TypeError: The verb is unknown.
    """
    raise TypeError(f"unknown verb: {step!r}")


@execute.register
async def _(step: scenario.Start, run: ScenarioRun) -> None:
    if step.vm in run.world.targets:
        run.world.targets[step.vm].restart()
    elif step.vm not in run.world.daemons:
        await run.world.start_daemon(step.vm)


@execute.register
async def _(step: scenario.Stop, run: ScenarioRun) -> None:
    if step.vm in run.world.daemons:
        run.oracle.stopping(step.vm)
        run.spawn(run.world.stop_daemon(step.vm))


@execute.register
async def _(step: scenario.Crash, run: ScenarioRun) -> None:
    run.crash(run.resolve(step.vm))


@execute.register
async def _(step: scenario.Freeze, run: ScenarioRun) -> None:
    vm = run.resolve(step.vm)
    run.frozen.add(vm)
    if vm in run.world.targets:
        run.world.targets[vm].freeze()
    elif vm in run.world.daemons:
        run.world.process(vm).pause()


@execute.register
async def _(step: scenario.Thaw, run: ScenarioRun) -> None:
    for vm in [step.vm] if step.vm else sorted(run.frozen):
        run.frozen.discard(vm)
        if vm in run.world.targets:
            run.world.targets[vm].thaw()
        elif vm in run.world.daemons:
            run.world.process(vm).resume()


@execute.register
async def _(step: scenario.Drain, run: ScenarioRun) -> None:
    vm = run.resolve(step.vm)
    run.world.fleet.leave(vm)
    run.oracle.leaving(vm)


@execute.register
async def _(step: scenario.Remove, run: ScenarioRun) -> None:
    vm = run.resolve(step.vm)
    run.world.fleet.remove(vm)
    if step.lingers:
        run.spawn(run.crash_later(vm, step.lingers))
    else:
        run.crash(vm)


@execute.register
async def _(step: scenario.Cut, run: ScenarioRun) -> None:
    links = run.world.network
    group = set().union(*(links.named(n) for n in step.group))
    if not step.others:
        links.isolate(group)
        return
    others = set().union(*(links.named(n) for n in step.others))
    if step.one_way:
        links.cut_one_way(group, others)
    else:
        links.cut(group, others)


@execute.register
async def _(step: scenario.Heal, run: ScenarioRun) -> None:
    run.world.network.heal()


@execute.register
async def _(step: scenario.StoreDown, run: ScenarioRun) -> None:
    run.world.store.go_down()


@execute.register
async def _(step: scenario.StoreUp, run: ScenarioRun) -> None:
    run.world.store.come_back()


@execute.register
async def _(step: scenario.Slow, run: ScenarioRun) -> None:
    run.world.store.latency = step.seconds


@execute.register
async def _(step: scenario.LoseAnswer, run: ScenarioRun) -> None:
    if step.late:
        run.world.store.late_seconds = step.late
        run.world.store.late_writes += step.writes
    else:
        run.world.store.lost_responses += step.writes


@execute.register
async def _(step: scenario.Lie, run: ScenarioRun) -> None:
    run.world.fleet.lag = step.lag
    run.world.fleet.down = step.down


@execute.register
async def _(step: scenario.Patch, run: ScenarioRun) -> None:
    await run.configure(step.member)


@execute.register
async def _(step: scenario.Load, run: ScenarioRun) -> None:
    run.set_load(step)


@execute.register
async def _(step: scenario.Deadly, run: ScenarioRun) -> None:
    run.spawn(run.send_deadly(step))


@execute.register
async def _(step: scenario.Race, run: ScenarioRun) -> None:
    await run.race(step.members)


@execute.register
async def _(step: scenario.Expect, run: ScenarioRun) -> None:
    run.check(step)
