"""Takes one safety rule away at a time and sees whether the oracle notices.

An oracle that never speaks proves nothing. Each mutation here replaces one
guard of the core by none; scenarios and then the fuzz must find it.
"""

from collections.abc import Callable
import contextlib
import itertools
import pathlib
from typing import Any
from unittest import mock

import msgspec

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import grants
from mimosastile_core import holder
from mimosastile_core import keeping
from mimosastile_core import moves
from mimosastile_core import pauses
from mimosastile_core import quarantine
from mimosastile_core import replica
from mimosastile_core import retries
from mimosastile_core import tables
from mimosastile_core import writes
from mimosastile_standins import _printing
from mimosastile_standins import fuzzing
from mimosastile_standins import runner
from mimosastile_standins import scenario

_SLOW = ("consortium", "urednistvo", "store-down", "regions-apart")
_FIRST_SEED = 0


class Mutation(msgspec.Struct, frozen=True):
    """One guard taken away.

    Attributes:
        name: Name, as the report prints it.
        rule: The safety rule that the guard keeps.
        owner: Class or module that holds the guard.
        attribute: Name of the guard.
        replacement: What stands in its place.
        first: Scenarios that are tried before all others.
    """

    name: str
    rule: str
    owner: Any
    attribute: str
    replacement: Any
    first: tuple[str, ...] = ()


def _check_without_fence(
    self: holder.Holder, fence: holder.RequestFence, now: float
) -> errors.ErrorKind | None:
    covered = any(
        block == fence.block and held.first <= fence.position <= held.last
        for block, held in self.owned(now)
    )
    return None if covered else errors.ErrorKind.WRONG_FENCE


def _check_nothing(
    self: holder.Holder, fence: holder.RequestFence, now: float
) -> None:
    del self, fence, now


def _without_expiry(check: Callable[..., Any]) -> Callable[..., Any]:
    def lenient(
        self: holder.Holder, fence: holder.RequestFence, now: float
    ) -> Any:
        del now
        return check(self, fence, float("-inf"))

    return lenient


def _from_arrival(judge: Callable[..., Any]) -> Callable[..., Any]:
    """Counts a grant's validity from its arrival."""

    def lenient(
        self: holder.Holder, holding: Any, grant: grants.Grant, now: float
    ) -> Any:
        status = judge(self, holding, grant, now)
        late = status is grants.GrantStatus.EXPIRED and grant.quoted is not None
        if late and grant.quoted is not None:
            fresh = grants.Stamp(grant.quoted.incarnation, now)
            renewed = msgspec.structs.replace(grant, quoted=fresh)
            status = judge(self, holding, renewed, now)
            if status is grants.GrantStatus.ACCEPTED:
                holding.expires = now + grant.ttl
                if grant.slices is not None:
                    holding.slices = {s.first: s for s in grant.slices}
                return grants.GrantStatus.EXPIRED
        return status

    return lenient


def _any_keeper(judge: Callable[..., Any]) -> Callable[..., Any]:
    def lenient(
        self: holder.Holder, holding: Any, grant: grants.Grant, now: float
    ) -> Any:
        highest = max(grant.keeper_fence, holding.keeper_fence)
        raised = msgspec.structs.replace(grant, keeper_fence=highest)
        return judge(self, holding, raised, now)

    return lenient


def _offer_any_config(self: replica.Replica, version: config.Version) -> bool:
    vars_changed = version.number != self.config.number
    object.__setattr__(self, "_config", version)
    return vars_changed


def _says(value: object) -> Callable[..., Any]:
    def answer(*args: object, **kwargs: object) -> Any:
        del args, kwargs
        return value

    return answer


def _is_property(value: object) -> property:
    return property(_says(value))


def _confirmed_at_once(meet: Callable[..., Any]) -> Callable[..., Any]:
    def trusting(
        self: grants.KeptTarget, stamp: grants.Stamp, now: float
    ) -> None:
        meet(self, stamp, now)
        self.confirm(now)

    return trusting


def _released_at_once(self: grants.KeptTarget, piece: tables.Slice) -> bool:
    return not self.replaced and bool(piece)


def _lapsed_early(self: grants.KeptTarget, now: float) -> bool:
    heard = self.last_reply_at
    return not self.replaced and heard is not None and now > heard + 0.2


def _resend_anything(self: retries.Attempts, kind: errors.ErrorKind) -> bool:
    del self
    return kind in (
        errors.ErrorKind.ANSWER_LOST,
        errors.ErrorKind.ANSWER_BROKEN,
    )


def _all_targets(self: fleet.Fleet, service: str) -> dict[str, fleet.Vm]:
    return self.targets(service)


_JUDGE = holder.Holder.__dict__["_judge"]

MUTATIONS = (
    Mutation(
        "no fence check",
        "a target runs a request only under the fence it was granted",
        holder.Holder,
        "check",
        _check_without_fence,
        ("at-most-once", "late-write"),
    ),
    Mutation(
        "no check at the target",
        "a target runs a request only while it holds a valid grant",
        holder.Holder,
        "check",
        _check_nothing,
        ("sole-owner",),
    ),
    Mutation(
        "grants never expire",
        "a grant ends by the target's own clock",
        holder.Holder,
        "check",
        _without_expiry(holder.Holder.check),
        ("sole-owner",),
    ),
    Mutation(
        "validity from arrival",
        "validity runs from a stamp of the target, not from arrival",
        holder.Holder,
        "_judge",
        _from_arrival(_JUDGE),
        ("sole-owner", "short-freeze"),
    ),
    Mutation(
        "any keeper is obeyed",
        "a target refuses a keeper with a lower fence",
        holder.Holder,
        "_judge",
        _any_keeper(_JUDGE),
        ("keeper-paused", "restarted-target-meets-old-keeper", "hidden-keeper"),
    ),
    Mutation(
        "release without acknowledgement",
        "released: the target acknowledged the set without the slice",
        grants.KeptTarget,
        "has_released",
        _released_at_once,
        ("frozen-while-leaving", "drain-and-crash"),
    ),
    Mutation(
        "lapse too early",
        "lapsed: time to live and drift after the last quoted answer",
        grants.KeptTarget,
        "has_lapsed",
        _lapsed_early,
        ("short-freeze",),
    ),
    Mutation(
        "predecessor taken for silent",
        "a new keeper's lapse waits until the former one is silent",
        grants.KeptTarget,
        "awaits_silence",
        _is_property(False),
        ("hidden-keeper",),
    ),
    Mutation(
        "new run granted unconfirmed",
        "a keeper that meets a new run of a target confirms its role",
        grants.KeptTarget,
        "_meet",
        _confirmed_at_once(grants.KeptTarget.__dict__["_meet"]),
        ("restarted-target-meets-old-keeper",),
    ),
    Mutation(
        "gone at once",
        "gone: every grant that the VM can hold has lapsed as well",
        keeping,
        "is_gone",
        lambda evidence, not_before: evidence.gone_since is not None,
        ("list-drops-a-running-target",),
    ),
    Mutation(
        "void proofs accepted",
        "a proof of a keeper that was replaced is void",
        moves,
        "_is_keeper",
        _says(True),
        ("replaced-keeper-and-slow-store", "keeper-sees-only-the-store"),
    ),
    Mutation(
        "lost writes forgotten",
        "slices of a write with unknown outcome are granted to nobody",
        writes.PendingWrites,
        "withholds",
        _says(False),
        ("late-write-in-a-cut-off-zone", "late-write"),
    ),
    Mutation(
        "pause unnoticed",
        "a keeper that was paused catches up before it speaks",
        pauses.PauseGuard,
        "is_open",
        _says(True),
        ("keeper-paused", "paused-keeper-and-restarted-target"),
    ),
    Mutation(
        "configuration goes back",
        "a lower number is never taken",
        replica.Replica,
        "offer_config",
        _offer_any_config,
        ("config-forward", "start-without-store"),
    ),
    Mutation(
        "everything is sent again",
        "what is not idempotent is sent to one target once",
        retries.Attempts,
        "_may_resend",
        _resend_anything,
        ("crash-under-long-requests", "not-run"),
    ),
    Mutation(
        "no quarantine",
        "a request that stopped two targets is refused",
        quarantine.CrashHistory,
        "held_for",
        _says(0.0),
        ("deadly-request",),
    ),
    Mutation(
        "leaving ignored",
        "a leaving target gets no new work",
        fleet.Fleet,
        "live_targets",
        _all_targets,
        ("leaving-target",),
    ),
)
"""One mutation for each safety rule."""


@contextlib.contextmanager
def applied(mutation: Mutation) -> Any:
    """Takes a guard away for the length of a block."""
    with mock.patch.object(
        mutation.owner, mutation.attribute, mutation.replacement
    ):
        yield


def found_by(
    mutation: Mutation, files: list[pathlib.Path], seeds: int, examples: int
) -> str:
    """Returns what finds a mutation, empty if nothing does.

    Args:
        mutation: The mutation.
        files: Scenario files, tried first.
        seeds: Seeds of the fuzz, tried next.
        examples: Scenarios for each seed.
    """
    with applied(mutation):
        ordered = sorted(files, key=lambda p: p.stem not in mutation.first)
        scenarios = (_found_by_file(path) for path in ordered)
        searches = (
            _found_by_seed(seed, examples)
            for seed in range(_FIRST_SEED, _FIRST_SEED + seeds)
        )
        both = itertools.chain(scenarios, searches)
        return next((found for found in both if found), "")


def report(only: str, folder: pathlib.Path, seeds: int, examples: int) -> int:
    """Prints what finds each mutation.

    Args:
        only: Part of the names to try, empty for all.
        folder: Folder of the scenario files.
        seeds: Seeds of the fuzz for each mutation.
        examples: Scenarios for each seed.

    Returns:
        Exit code: 1 if a mutation was not found.
    """
    files = [
        path
        for path in sorted(folder.glob("*.toml"))
        if not path.stem.startswith(_SLOW)
    ]
    chosen = [m for m in MUTATIONS if only in m.name]
    missed = 0
    for mutation in chosen:
        found = found_by(mutation, files, seeds, examples)
        missed += not found
        _printing.say(f"{mutation.name}: {found or 'NOT FOUND'}")
    _printing.say(f"{len(chosen) - missed} passed, {missed} failed")
    return 1 if missed else 0


def _found_by_file(path: pathlib.Path) -> str:
    verdict = runner.run(scenario.load(path).unwrap())
    if verdict.violations:
        broken = verdict.violations[0]
        return f"{path.stem}: {broken.guarantee.value}: {broken.detail}"
    if verdict.missed:
        return f"{path.stem}: {verdict.missed[0]}"
    return ""


def _found_by_seed(seed: int, examples: int) -> str:
    story = fuzzing.find(seed, examples)
    if story is None:
        return ""
    broken = runner.run(story).violations[0]
    return f"fuzz seed {seed}: {broken.guarantee.value}: {broken.detail}"
