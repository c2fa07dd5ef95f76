"""Prints the results of the policy simulation and writes text and JSON."""

from collections.abc import Iterator
import pathlib

import msgspec

from mimosastile_standins import _printing
from mimosastile_standins import policy_cases


def report(deployment: str, cases: tuple[str, ...], out: str) -> None:
    """Runs cases and reports each one when it ends.

    Args:
        deployment: Name of the deployment.
        cases: Names of the cases; empty for all.
        out: Directory for the results; empty to print only.
    """
    for case in cases or tuple(policy_cases.CASES):
        rows = policy_cases.rows(deployment, case)
        lines = list(_lines(rows))
        for line in lines:
            _printing.say(line)
        if out:
            path = pathlib.Path(out) / f"policy-{deployment}-{case}"
            path.parent.mkdir(parents=True, exist_ok=True)
            text = "\n".join(lines) + "\n"
            path.with_suffix(".txt").write_text(text)
            data = msgspec.json.format(msgspec.json.encode(rows), indent=1)
            path.with_suffix(".json").write_bytes(data + b"\n")


def _lines(rows: list[policy_cases.Row]) -> Iterator[str]:
    names = list(rows[0].figures)
    yield f"{rows[0].case} at {rows[0].deployment}"
    yield f"{'':24}" + "".join(f"{name:>20}" for name in names)
    for row in rows:
        figures = (f"{row.figures[name]:20.3f}" for name in names)
        yield f"{row.strategy:24}" + "".join(figures)
