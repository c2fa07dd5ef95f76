"""The scenario language: a deployment, a load and steps, written in TOML.

The verbs are a closed list; each is one structure here, with its fields as
the keys of a `[[step]]` table and its name as the value of `do`.
"""

import json
import pathlib
import tomllib
from typing import Annotated
from typing import Any

import msgspec
import result

from mimosastile_standins import deployments

Seconds = Annotated[float, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class Step(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base of all verbs.

    Attributes:
        at: Seconds after the load began.
    """

    at: Seconds


class Start(Step, frozen=True, tag_field="do", tag="start"):
    """Starts a daemon on an entry VM whose former one is dead, or a target.

    Attributes:
        vm: The VM.
    """

    vm: str


class Stop(Step, frozen=True, tag_field="do", tag="stop"):
    """Stops a daemon gracefully.

    Attributes:
        vm: The entry VM.
    """

    vm: str


class Crash(Step, frozen=True, tag_field="do", tag="crash"):
    """Ends a daemon or a target without a word.

    Attributes:
        vm: The VM, or `owner:KEY` for the target that owns a key.
    """

    vm: str


class Freeze(Step, frozen=True, tag_field="do", tag="freeze"):
    """Stops a daemon or a target from doing anything, until `thaw`.

    Attributes:
        vm: The VM, or `owner:KEY` for the target that owns a key, or
            `keeper:KEY` for the daemon that keeps it.
    """

    vm: str


class Thaw(Step, frozen=True, tag_field="do", tag="thaw"):
    """Lets a frozen daemon or target go on as if nothing had happened.

    Attributes:
        vm: The VM; empty for all that are frozen.
    """

    vm: str = ""


class Drain(Step, frozen=True, tag_field="do", tag="drain"):
    """Marks a VM as leaving in the platform's list.

    Attributes:
        vm: The VM, or `owner:KEY`.
    """

    vm: str


class Remove(Step, frozen=True, tag_field="do", tag="remove"):
    """Ends a VM for good and takes it off the platform's list.

    Attributes:
        vm: The VM.
        lingers: Seconds for which it runs on after the list has lost it.
    """

    vm: str
    lingers: Seconds = 0.0


class Cut(Step, frozen=True, tag_field="do", tag="cut"):
    """Loses every message between two groups, until `heal`.

    Attributes:
        group: VMs, zones, regions, "store" or "fleet".
        others: The other side; empty for everything else.
        one_way: Loses only what the first group sends.
    """

    group: tuple[str, ...]
    others: tuple[str, ...] = ()
    one_way: bool = False


class Heal(Step, frozen=True, tag_field="do", tag="heal"):
    """Joins everything again."""


class StoreDown(Step, frozen=True, tag_field="do", tag="store_down"):
    """Fails every call to the store, until `store_up`."""


class StoreUp(Step, frozen=True, tag_field="do", tag="store_up"):
    """Lets the store answer again."""


class Slow(Step, frozen=True, tag_field="do", tag="slow"):
    """Changes how long a store call takes.

    Attributes:
        seconds: The new time.
    """

    seconds: Seconds


class LoseAnswer(Step, frozen=True, tag_field="do", tag="lose_answer"):
    """Lets writes to the store take effect without an answer.

    Attributes:
        writes: How many.
        late: Seconds after which they take effect.
    """

    writes: Annotated[int, msgspec.Meta(ge=1)] = 1
    late: Seconds = 0.0


class Lie(Step, frozen=True, tag_field="do", tag="lie"):
    """Changes how the platform's list of VMs misleads.

    Attributes:
        lag: Seconds by which it is behind.
        down: Whether it does not answer.
    """

    lag: Seconds = 0.0
    down: bool = False


class Patch(Step, frozen=True, tag_field="do", tag="patch"):
    """Stores the next number of the configuration.

    Attributes:
        member: A member that it adds.
    """

    member: str


class Race(Step, frozen=True, tag_field="do", tag="race"):
    """Operators submit patches against the same number, all at once.

    At most one of them may be accepted.

    Attributes:
        members: Members that they add, one each, each through another daemon.
    """

    members: Annotated[tuple[str, ...], msgspec.Meta(min_length=2)]


class Load(Step, frozen=True, tag_field="do", tag="load"):
    """Changes what callers send.

    Attributes:
        rate: Requests a second.
        writes: Share of requests that are not idempotent.
        keys: How many keys are asked for, each as likely as any other.
        busy: Seconds that a target works on each.
    """

    rate: Annotated[float, msgspec.Meta(ge=0, le=2000)] = 40.0
    writes: Share = 0.3
    keys: Annotated[int, msgspec.Meta(ge=1)] = 40
    busy: Seconds = 0.002


class Deadly(Step, frozen=True, tag_field="do", tag="deadly"):
    """Sends a request that crashes each target that runs it, again and again.

    Attributes:
        key: Its key.
        times: How often its caller sends it, half a second apart.
        restart: Whether a crashed target starts again at once.
    """

    key: str = "deadly"
    times: Annotated[int, msgspec.Meta(ge=1)] = 5
    restart: bool = True


class Expect(Step, frozen=True, tag_field="do", tag="expect"):
    """Checks what has happened so far.

    Attributes:
        failed: Most requests that may have failed since the last check.
        owner_changed: Key whose owner must differ from that at the start.
        owner_kept: Key whose owner must be that at the start.
        in_force: Whether all daemons must have the newest configuration.
        settled: Whether each owner must hold its slices.
        unavailable: Longest time in seconds that a key may have been without
            a good answer although it was asked for.
        store_calls: Most store calls a second since the load began.
        deaths: Most crashes that deadly requests may have caused.
    """

    failed: int | None = None
    owner_changed: str = ""
    owner_kept: str = ""
    in_force: bool = False
    settled: bool = False
    unavailable: float | None = None
    store_calls: float | None = None
    deaths: int | None = None


Verb = (
    Start
    | Stop
    | Crash
    | Freeze
    | Thaw
    | Drain
    | Remove
    | Cut
    | Heal
    | StoreDown
    | StoreUp
    | Slow
    | LoseAnswer
    | Lie
    | Patch
    | Race
    | Load
    | Deadly
    | Expect
)


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One story.

    Attributes:
        title: What happens, in one line.
        steps: The steps, in order of their times.
        proves: Promises and faults that it is about.
        deployment: Name of a deployment.
        seconds: How long the load lasts.
        seed: Seed of callers and daemons.
    """

    title: str
    steps: tuple[Verb, ...] = msgspec.field(name="step", default=())
    proves: tuple[str, ...] = ()
    deployment: str = "small"
    seconds: Annotated[float, msgspec.Meta(gt=0, le=7200)] = 10.0
    seed: int = 1


def load(path: pathlib.Path) -> result.Result[Scenario, str]:
    """Reads and checks a scenario file.

    Args:
        path: The TOML file.

    Returns:
        The scenario, or one line that says where the mistake is.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
        made = msgspec.convert(raw, Scenario)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        return result.Err(f"{path}: {error}")
    if made.deployment not in deployments.DEPLOYMENTS:
        known = ", ".join(deployments.DEPLOYMENTS)
        return result.Err(
            f"{path}: deployment = {made.deployment!r}: expected one of {known}"
        )
    times = [step.at for step in made.steps]
    if times != sorted(times):
        return result.Err(f"{path}: steps are not in the order of their times")
    return result.Ok(made)


def to_toml(scenario: Scenario) -> str:
    """Returns the text of a scenario file."""
    raw = msgspec.to_builtins(scenario)
    steps = raw.pop("step")
    parts = [_table(raw), *(f"[[step]]\n{_table(step)}" for step in steps)]
    return "\n".join(parts)


def _table(raw: dict[str, Any]) -> str:
    # Strings, numbers, booleans and lists of them look alike in JSON and TOML.
    lines = (
        f"{key} = {json.dumps(value, ensure_ascii=False)}\n"
        for key, value in raw.items()
        if value is not None
    )
    return "".join(lines)
