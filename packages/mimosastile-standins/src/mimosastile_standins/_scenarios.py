"""Runs scenario files and prints their verdicts."""

from collections.abc import Sequence
import pathlib

import result

from mimosastile_standins import _printing
from mimosastile_standins import runner
from mimosastile_standins import scenario

EXIT_BROKEN = 1
"""Exit code if a promise or an expectation did not hold."""

EXIT_BAD_FILE = 2
"""Exit code for a mistake in a scenario file."""


def report(files: Sequence[str], seed: int | None, trace: bool) -> int:
    """Runs scenarios, prints a line for each and a count at the end.

    Args:
        files: Paths of scenario files.
        seed: Replaces the scenarios' own seeds.
        trace: Prints what was done, step by step.

    Returns:
        The exit code.
    """
    good = 0
    for name in files:
        story = scenario.load(pathlib.Path(name))
        if isinstance(story, result.Err):
            _printing.say(story.err_value)
            return EXIT_BAD_FILE
        verdict = runner.run(story.ok_value, seed)
        good += verdict.good
        _print(name, verdict, trace)
    _printing.say(f"{good} passed, {len(files) - good} failed")
    return 0 if good == len(files) else EXIT_BROKEN


def _print(name: str, verdict: runner.Verdict, trace: bool) -> None:
    say = _printing.say
    m = verdict.measures
    word = "held" if verdict.good else "BROKEN"
    say(
        f"{word:6} {pathlib.Path(name).stem:36} sent {m.sent:5}"
        f" failed {m.failed:4} unavailable {m.unavailable:5.2f} s"
        f" churn {m.churn:4.2f} imbalance {m.imbalance:4.2f}"
        f" store {m.store_calls:5.1f}/s"
    )
    for violation in verdict.violations:
        say(
            f"       {violation.at:.1f} s {violation.promise.value}:"
            f" {violation.detail}"
        )
    for missed in verdict.missed:
        say(f"       {missed}")
    if trace:
        for line in verdict.trace:
            say(f"         {line}")
