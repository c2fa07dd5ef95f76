"""What must hold while a soak runs, judged by callers' and targets' sides."""

import collections
import itertools

import msgspec

from mimosastile_standins import platform_target

_REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses that promise: not run, and never will be."""


class Outcome(msgspec.Struct, frozen=True):
    """How a caller's attempt ended.

    Attributes:
        attempt: Its identifier.
        repeatable: Whether it may run more than once.
        at: When it was sent.
        vm: Who got it.
        status: The answer's status; 0 if there was none.
        body: The answer's body.
        echoed: Attempt that the answer names.
        planned: Whether the VM was stopping by plan and nothing else was
            wrong, so that an answer is owed.
    """

    attempt: str
    repeatable: bool
    at: float
    vm: str
    status: int
    body: bytes = b""
    echoed: str = ""
    planned: bool = False


class SoakOracle:
    """Collects outcomes and runs, and names what is wrong.

    Attributes:
        runs: What targets ran; they write it.
        wrong: Broken promises, as sentences.
    """

    __slots__ = ("_outcomes", "runs", "wrong")

    def __init__(self) -> None:
        self.runs: list[platform_target.Run] = []
        self.wrong: list[str] = []
        self._outcomes: list[Outcome] = []

    @property
    def outcomes(self) -> list[Outcome]:
        """All outcomes so far."""
        return self._outcomes

    def ended(self, outcome: Outcome) -> None:
        """Takes the end of a caller's attempt."""
        self._outcomes.append(outcome)
        if outcome.status == 200:
            self._check_own(outcome)

    def check_owners(
        self, targets: list[platform_target.PlatformTarget]
    ) -> None:
        """Notes keys that two targets hold at this moment."""
        held = sorted(
            (first, last, target.id)
            for target in targets
            for first, last in target.spans()
        )
        for one, other in itertools.pairwise(held):
            if other[0] <= one[1] and one[2] != other[2]:
                self.wrong.append(
                    f"{one[2]} and {other[2]} both hold key {other[0]}"
                )

    def finish(self) -> None:
        """Judges what can be judged only when nothing runs any more."""
        runs = collections.Counter(run.attempt for run in self.runs)
        for outcome in self._outcomes:
            times = runs[outcome.attempt]
            if not outcome.repeatable and times > 1:
                self._note(outcome, f"ran {times} times")
            refused = outcome.status in _REFUSALS
            if refused and times and not outcome.repeatable:
                self._note(outcome, "was refused as not run and ran")
            if outcome.planned and outcome.status == 0 and times:
                self._note(outcome, "was cut off by a planned stop")

    def served_share(self, since: float, until: float) -> float:
        """Returns the share of attempts of some time that were served."""
        judged = [o for o in self._outcomes if since <= o.at < until]
        served = sum(o.status == 200 for o in judged)
        return served / len(judged) if judged else 0.0

    def _check_own(self, outcome: Outcome) -> None:
        own = outcome.body.endswith(f" ran {outcome.attempt}".encode())
        if not own or outcome.echoed not in ("", outcome.attempt):
            self._note(outcome, f"got {outcome.body[:80]!r}")

    def _note(self, outcome: Outcome, what: str) -> None:
        self.wrong.append(f"{outcome.attempt} at {outcome.vm} {what}")
