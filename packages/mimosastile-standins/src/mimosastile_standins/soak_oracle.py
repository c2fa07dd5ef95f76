"""Checks guarantees in a soak against the records of callers and targets."""

import collections
from collections.abc import Iterable
import itertools

import msgspec

from mimosastile_standins import platform_target
from mimosastile_standins import soak_bodies

REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that the request was and will not be executed."""


class Outcome(msgspec.Struct, frozen=True):
    """Outcome of a caller's attempt.

    Attributes:
        attempt: Identifier of the attempt.
        repeatable: Whether the request is idempotent.
        at: Time at which the request was sent.
        vm: VM that received the request.
        status: Status of the response, 0 without a response.
        body: Body of the response without the zeros at its end.
        padding_bytes: Number of these zeros.
        echoed: Attempt identifier in the response header.
        planned: Whether the VM must respond, as it was stopping as planned
            without any other fault.
    """

    attempt: str
    repeatable: bool
    at: float
    vm: str
    status: int
    body: bytes = b""
    echoed: str = ""
    planned: bool = False
    padding_bytes: int = 0


class SoakOracle:
    """Checks outcomes of attempts against executions by targets.

    Attributes:
        runs: Executions, appended by the targets.
        violations: Messages on violated guarantees.
    """

    __slots__ = ("_outcomes", "runs", "violations")

    def __init__(self) -> None:
        self.runs: list[platform_target.Execution] = []
        self.violations: list[str] = []
        self._outcomes: list[Outcome] = []

    @property
    def outcomes(self) -> list[Outcome]:
        """Outcomes recorded so far."""
        return self._outcomes

    def record_outcome(self, outcome: Outcome) -> None:
        """Records the outcome of an attempt and checks its response."""
        self._outcomes.append(outcome)
        if outcome.status == 200:
            self._check_response(outcome)

    def check_owners(
        self, targets: list[platform_target.PlatformTarget]
    ) -> None:
        """Records a violation for each key that two targets own at once."""
        owned = sorted(
            (first, last, target.id)
            for target in targets
            for first, last in target.owned_ranges()
        )
        for one, other in itertools.pairwise(owned):
            if other[0] <= one[1] and one[2] != other[2]:
                self.violations.append(
                    f"{one[2]} and {other[2]} both own key {other[0]}"
                )

    def check_grant(
        self,
        target: platform_target.PlatformTarget,
        others: Iterable[platform_target.PlatformTarget],
        first: int,
        last: int,
    ) -> None:
        """Records a violation if others still work on keys that it is given.

        Args:
            target: The target that takes a grant.
            others: All other targets of its service.
            first: First key of the grant.
            last: Last key of the grant.
        """
        self.violations.extend(
            f"{target.id} is given {first}-{last} while {other.id} works on it"
            for other in others
            if other.works_on(first, last)
        )

    def finish(self) -> None:
        """Runs the checks that need all executions to have ended."""
        runs = collections.Counter(run.attempt for run in self.runs)
        for outcome in self._outcomes:
            executions = runs[outcome.attempt]
            if not outcome.repeatable and executions > 1:
                self._add_violation(outcome, f"ran {executions} times")
            refused = outcome.status in REFUSALS
            if refused and executions and not outcome.repeatable:
                self._add_violation(outcome, "was refused as not run and ran")
            if outcome.planned and outcome.status == 0 and executions:
                self._add_violation(outcome, "was cut off by a planned stop")

    def served_share(self, since: float, until: float) -> float:
        """Returns the served share of the attempts sent in a period."""
        selected = [o for o in self._outcomes if since <= o.at < until]
        served = sum(o.status == 200 for o in selected)
        return served / len(selected) if selected else 0.0

    def _check_response(self, outcome: Outcome) -> None:
        own = outcome.body.endswith(f" ran {outcome.attempt}".encode())
        whole = outcome.padding_bytes in (0, soak_bodies.BODY_BYTES)
        if not (own and whole) or outcome.echoed not in ("", outcome.attempt):
            self._add_violation(
                outcome,
                f"got {outcome.body[:80]!r} and {outcome.padding_bytes} zeros",
            )

    def _add_violation(self, outcome: Outcome, problem: str) -> None:
        self.violations.append(f"{outcome.attempt} at {outcome.vm} {problem}")
