"""Scenario language: a deployment, a load and steps, written in TOML.

The set of verbs is closed. Each verb is a structure whose fields are the keys
of a `[[step]]` table and whose tag is the value of `do`.
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
        at: Seconds since the start of the load.
    """

    at: Seconds


class Start(Step, frozen=True, tag_field="do", tag="start"):
    """Starts a target, or a daemon on an entry VM without a running one.

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
    """Crashes a daemon or a target.

    Attributes:
        vm: The VM, or `owner:KEY` for the target that owns a key.
    """

    vm: str


class Freeze(Step, frozen=True, tag_field="do", tag="freeze"):
    """Pauses a daemon or a target until `thaw`.

    Attributes:
        vm: The VM, or `owner:KEY` for the target that owns a key, or
            `keeper:KEY` for the daemon on that target's keeper.
    """

    vm: str


class Thaw(Step, frozen=True, tag_field="do", tag="thaw"):
    """Resumes a frozen daemon or target.

    Attributes:
        vm: The VM; empty for all frozen ones.
    """

    vm: str = ""


class Drain(Step, frozen=True, tag_field="do", tag="drain"):
    """Marks a VM as leaving in the platform's list.

    Attributes:
        vm: The VM, or `owner:KEY`.
    """

    vm: str


class Remove(Step, frozen=True, tag_field="do", tag="remove"):
    """Ends a VM permanently and removes it from the platform's list.

    Attributes:
        vm: The VM.
        lingers: Seconds between its removal from the list and its end.
    """

    vm: str
    lingers: Seconds = 0.0


class Cut(Step, frozen=True, tag_field="do", tag="cut"):
    """Drops all messages between two groups until `heal`.

    Attributes:
        group: VMs, zones, regions, "store" or "fleet".
        others: The other group; empty for all the rest.
        one_way: Whether to drop only messages from the first group.
    """

    group: tuple[str, ...]
    others: tuple[str, ...] = ()
    one_way: bool = False


class Heal(Step, frozen=True, tag_field="do", tag="heal"):
    """Removes all cuts."""


class StoreDown(Step, frozen=True, tag_field="do", tag="store_down"):
    """Makes all calls to the store fail until `store_up`."""


class StoreUp(Step, frozen=True, tag_field="do", tag="store_up"):
    """Makes the store available again."""


class Slow(Step, frozen=True, tag_field="do", tag="slow"):
    """Sets the latency of store calls.

    Attributes:
        seconds: Latency in seconds.
    """

    seconds: Seconds


class LoseAnswer(Step, frozen=True, tag_field="do", tag="lose_answer"):
    """Makes writes to the store take effect without a response.

    Attributes:
        writes: Number of writes.
        late: Seconds after which they take effect.
    """

    writes: Annotated[int, msgspec.Meta(ge=1)] = 1
    late: Seconds = 0.0


class Lie(Step, frozen=True, tag_field="do", tag="lie"):
    """Makes the platform's list of VMs stale or unavailable.

    Attributes:
        lag: Staleness of the list in seconds.
        down: Whether the list is unavailable.
    """

    lag: Seconds = 0.0
    down: bool = False


class Patch(Step, frozen=True, tag_field="do", tag="patch"):
    """Stores the next configuration.

    Attributes:
        member: Member to add.
    """

    member: str


class Race(Step, frozen=True, tag_field="do", tag="race"):
    """Submits concurrent patches against the same configuration number.

    At most one of them may be accepted.

    Attributes:
        members: Members to add, one per patch, each through another daemon.
    """

    members: Annotated[tuple[str, ...], msgspec.Meta(min_length=2)]


class Load(Step, frozen=True, tag_field="do", tag="load"):
    """Sets the callers' load.

    Attributes:
        rate: Requests per second.
        writes: Share of requests that are not idempotent.
        keys: Number of requested keys, uniformly distributed.
        busy: Service time of a request in seconds.
    """

    rate: Annotated[float, msgspec.Meta(ge=0, le=2000)] = 40.0
    writes: Share = 0.3
    keys: Annotated[int, msgspec.Meta(ge=1)] = 40
    busy: Seconds = 0.002


class Deadly(Step, frozen=True, tag_field="do", tag="deadly"):
    """Repeatedly sends a request that crashes each target that executes it.

    Attributes:
        key: Key of the request.
        times: Number of times that it is sent, half a second apart.
        restart: Whether a crashed target restarts immediately.
    """

    key: str = "deadly"
    times: Annotated[int, msgspec.Meta(ge=1)] = 5
    restart: bool = True


class Expect(Step, frozen=True, tag_field="do", tag="expect"):
    """Checks expectations on the scenario so far.

    Attributes:
        failed: Maximum number of failed requests since the last check.
        owner_changed: Key whose owner must differ from that at the start.
        owner_kept: Key whose owner must be that at the start.
        in_force: Whether all daemons must have the newest configuration.
        settled: Whether each owner must hold grants for its slices.
        unavailable: Maximum time in seconds without a successful response for
            a requested key.
        store_calls: Maximum store calls per second since the start of the
            load.
        deaths: Maximum number of target crashes by `deadly` requests.
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
    """A scenario.

    Attributes:
        title: Summary in one line.
        steps: The steps, in order of their times.
        proves: Guarantees and faults that the scenario covers.
        deployment: Name of a deployment.
        seconds: Duration of the load.
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
        The scenario, or a one-line message that locates the error.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
        loaded = msgspec.convert(raw, Scenario)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        return result.Err(f"{path}: {error}")
    if loaded.deployment not in deployments.DEPLOYMENTS:
        choices = ", ".join(deployments.DEPLOYMENTS)
        return result.Err(
            f"{path}: deployment = {loaded.deployment!r}: expected one"
            f" of {choices}"
        )
    times = [step.at for step in loaded.steps]
    if times != sorted(times):
        return result.Err(f"{path}: steps are not in order of time")
    return result.Ok(loaded)


def to_toml(scenario: Scenario) -> str:
    """Returns the text of a scenario file."""
    raw = msgspec.to_builtins(scenario)
    steps = raw.pop("step")
    parts = [_table(raw), *(f"[[step]]\n{_table(step)}" for step in steps)]
    return "\n".join(parts)


def _table(raw: dict[str, Any]) -> str:
    # JSON and TOML share the syntax of strings, numbers, booleans and lists.
    lines = (
        f"{key} = {json.dumps(value, ensure_ascii=False)}\n"
        for key, value in raw.items()
        if value is not None
    )
    return "".join(lines)
