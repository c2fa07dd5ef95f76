"""Runs scenario files and prints their verdicts."""

from collections.abc import Sequence
import pathlib

import result

from mimosastile_standins import _printing
from mimosastile_standins import runner
from mimosastile_standins import scenario

EXIT_BROKEN = 1
"""Exit code for a violated guarantee or a failed expectation."""

EXIT_BAD_FILE = 2
"""Exit code for a mistake in a scenario file."""


def report(files: Sequence[str], seed: int | None, trace: bool) -> int:
    """Runs scenarios, prints a line for each and a final count.

    Args:
        files: Paths of scenario files.
        seed: Seed that replaces those of the scenarios, or None.
        trace: Whether to print the trace of each scenario.

    Returns:
        The exit code.
    """
    passed = 0
    for name in files:
        loaded = scenario.load(pathlib.Path(name))
        if isinstance(loaded, result.Err):
            _printing.say(loaded.err_value)
            return EXIT_BAD_FILE
        verdict = runner.run(loaded.ok_value, seed)
        passed += verdict.good
        _print(name, verdict, trace)
    _printing.say(f"{passed} passed, {len(files) - passed} failed")
    return 0 if passed == len(files) else EXIT_BROKEN


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
            f"       {violation.at:.1f} s {violation.guarantee.value}:"
            f" {violation.detail}"
        )
    for missed in verdict.missed:
        say(f"       {missed}")
    if trace:
        for line in verdict.trace:
            say(f"         {line}")
