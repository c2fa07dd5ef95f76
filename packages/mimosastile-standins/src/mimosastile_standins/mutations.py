"""Mutation tests of the safety oracle.

An oracle that never reports a violation proves nothing. Each mutation disables
one safety check of the core; the scenarios or the fuzzer must detect it.
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

_SLOW_PREFIXES = ("consortium", "urednistvo", "store-down", "regions-apart")
_FIRST_SEED = 0


class Mutation(msgspec.Struct, frozen=True):
    """Replacement that disables one safety check.

    Attributes:
        name: Name of the mutation in the report.
        rule: Safety rule that the check enforces.
        owner: Class or module that defines the check.
        attribute: Name of the check in `owner`.
        replacement: Object that replaces the check.
        first: Scenarios that are run before all others.
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


def _accept_all(
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
    """Returns a `_judge` that counts a grant's validity from arrival."""

    def lenient(
        self: holder.Holder, holding: Any, grant: grants.Grant, now: float
    ) -> Any:
        status = judge(self, holding, grant, now)
        expired = (
            status is grants.GrantStatus.EXPIRED and grant.quoted is not None
        )
        if expired and grant.quoted is not None:
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


def _accept_any_keeper(judge: Callable[..., Any]) -> Callable[..., Any]:
    def lenient(
        self: holder.Holder, holding: Any, grant: grants.Grant, now: float
    ) -> Any:
        highest = max(grant.keeper_fence, holding.keeper_fence)
        raised = msgspec.structs.replace(grant, keeper_fence=highest)
        return judge(self, holding, raised, now)

    return lenient


def _accept_any_config(self: replica.Replica, version: config.Version) -> bool:
    changed = version.number != self.config.number
    object.__setattr__(self, "_config", version)
    return changed


def _returning(value: object) -> Callable[..., Any]:
    def constant(*args: object, **kwargs: object) -> Any:
        del args, kwargs
        return value

    return constant


def _property_returning(value: object) -> property:
    return property(_returning(value))


def _confirmed_without_check(method: Callable[..., Any]) -> Callable[..., Any]:
    def lenient(
        self: grants.KeptTarget, stamp: grants.Stamp, now: float
    ) -> None:
        method(self, stamp, now)
        self.confirm(now)

    return lenient


def _released_without_acknowledgement(
    self: grants.KeptTarget, slice_: tables.Slice
) -> bool:
    return not self.replaced and bool(slice_)


def _expired_early(self: grants.KeptTarget, now: float) -> bool:
    last_reply_at = self.last_reply_at
    return (
        not self.replaced
        and last_reply_at is not None
        and now > last_reply_at + 0.2
    )


def _resend_all(self: retries.Attempts, kind: errors.ErrorKind) -> bool:
    del self
    return kind in (
        errors.ErrorKind.ANSWER_LOST,
        errors.ErrorKind.ANSWER_BROKEN,
    )


def _with_leaving_targets(
    self: fleet.Fleet, service: str
) -> dict[str, fleet.Vm]:
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
        _accept_all,
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
        _accept_any_keeper(_JUDGE),
        ("keeper-paused", "restarted-target-meets-old-keeper", "hidden-keeper"),
    ),
    Mutation(
        "release without acknowledgement",
        "released: the target acknowledged the set without the slice",
        grants.KeptTarget,
        "has_released",
        _released_without_acknowledgement,
        ("frozen-while-leaving", "drain-and-crash"),
    ),
    Mutation(
        "lapse too early",
        "expired: time to live and drift after the last quoted response",
        grants.KeptTarget,
        "has_lapsed",
        _expired_early,
        ("short-freeze",),
    ),
    Mutation(
        "predecessor taken for silent",
        "a new keeper's proof of expiry waits until the former is silent",
        grants.KeptTarget,
        "awaits_silence",
        _property_returning(False),
        ("hidden-keeper",),
    ),
    Mutation(
        "new run granted unconfirmed",
        "a keeper confirms its role before it grants to a new incarnation",
        grants.KeptTarget,
        "_meet",
        _confirmed_without_check(grants.KeptTarget.__dict__["_meet"]),
        ("restarted-target-meets-old-keeper",),
    ),
    Mutation(
        "gone at once",
        "gone: every grant that the VM can hold has expired as well",
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
        _returning(True),
        ("replaced-keeper-and-slow-store", "keeper-sees-only-the-store"),
    ),
    Mutation(
        "lost writes forgotten",
        "slices of a write with unknown outcome are granted to no target",
        writes.PendingWrites,
        "withholds",
        _returning(False),
        ("late-write-in-a-cut-off-zone", "late-write"),
    ),
    Mutation(
        "pause unnoticed",
        "a keeper that was paused catches up before it speaks",
        pauses.PauseGuard,
        "is_open",
        _returning(True),
        ("keeper-paused", "paused-keeper-and-restarted-target"),
    ),
    Mutation(
        "configuration goes back",
        "a lower number is never taken",
        replica.Replica,
        "offer_config",
        _accept_any_config,
        ("config-forward", "start-without-store"),
    ),
    Mutation(
        "everything is sent again",
        "what is not idempotent is sent to one target once",
        retries.Attempts,
        "_may_resend",
        _resend_all,
        ("crash-under-long-requests", "not-run"),
    ),
    Mutation(
        "no quarantine",
        "a request that stopped two targets is refused",
        quarantine.CrashHistory,
        "held_for",
        _returning(0.0),
        ("deadly-request",),
    ),
    Mutation(
        "leaving ignored",
        "a leaving target gets no new work",
        fleet.Fleet,
        "live_targets",
        _with_leaving_targets,
        ("leaving-target",),
    ),
)
"""Mutations, one for each tested safety rule."""


@contextlib.contextmanager
def applied(mutation: Mutation) -> Any:
    """Applies a mutation for the duration of a `with` block."""
    with mock.patch.object(
        mutation.owner, mutation.attribute, mutation.replacement
    ):
        yield


def found_by(
    mutation: Mutation, files: list[pathlib.Path], seeds: int, examples: int
) -> str:
    """Returns what detects a mutation, or an empty string.

    Args:
        mutation: The mutation.
        files: Scenario files, tried first.
        seeds: Number of fuzzer seeds, tried next.
        examples: Scenarios per seed.
    """
    with applied(mutation):
        ordered = sorted(files, key=lambda p: p.stem not in mutation.first)
        scenarios = (_found_by_file(path) for path in ordered)
        searches = (
            _found_by_seed(seed, examples)
            for seed in range(_FIRST_SEED, _FIRST_SEED + seeds)
        )
        attempts = itertools.chain(scenarios, searches)
        return next((found for found in attempts if found), "")


def report(only: str, folder: pathlib.Path, seeds: int, examples: int) -> int:
    """Prints what detects each mutation.

    Args:
        only: Substring of the mutations' names, empty for all.
        folder: Folder of the scenario files.
        seeds: Number of fuzzer seeds for each mutation.
        examples: Scenarios per seed.

    Returns:
        Exit code: 1 if a mutation was not detected.
    """
    files = [
        path
        for path in sorted(folder.glob("*.toml"))
        if not path.stem.startswith(_SLOW_PREFIXES)
    ]
    selected = [m for m in MUTATIONS if only in m.name]
    undetected = 0
    for mutation in selected:
        found = found_by(mutation, files, seeds, examples)
        undetected += not found
        _printing.say(f"{mutation.name}: {found or 'NOT FOUND'}")
    _printing.say(f"{len(selected) - undetected} passed, {undetected} failed")
    return 1 if undetected else 0


def _found_by_file(path: pathlib.Path) -> str:
    verdict = runner.run(scenario.load(path).unwrap())
    if verdict.violations:
        violation = verdict.violations[0]
        return f"{path.stem}: {violation.guarantee.value}: {violation.detail}"
    if verdict.missed:
        return f"{path.stem}: {verdict.missed[0]}"
    return ""


def _found_by_seed(seed: int, examples: int) -> str:
    found = fuzzing.find(seed, examples)
    if found is None:
        return ""
    violation = runner.run(found).violations[0]
    return f"fuzz seed {seed}: {violation.guarantee.value}: {violation.detail}"
