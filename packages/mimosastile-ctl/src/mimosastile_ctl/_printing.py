"""Terminal output: tables for operators, JSON for programs."""

from collections.abc import Iterable
from collections.abc import Sequence
import datetime
import sys
from typing import Any

import msgspec


def write_line(line: str) -> None:
    """Prints a line of the result to standard output."""
    print(line)


def write_notice(line: str) -> None:
    """Prints a notice for the operator to standard error."""
    print(line, file=sys.stderr, flush=True)


def progress(line: str) -> None:
    """Replaces the progress line if standard error is a terminal."""
    if sys.stderr.isatty():
        print(f"\r\x1b[K{line}", end="", file=sys.stderr, flush=True)


def json(value: Any) -> None:
    """Prints a value as indented JSON."""
    encoded = msgspec.json.encode(value)
    print(msgspec.json.format(encoded, indent=2).decode())


def table(headings: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Prints rows under their headings, with columns as wide as needed."""
    cells = [
        [*map(str, headings)],
        *([*map(_format_cell, row)] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = (c.ljust(w) for c, w in zip(row, widths, strict=True))
        print("  ".join(padded).rstrip())


def format_time(seconds: float) -> str:
    """Formats Unix seconds as date and time in UTC, 0 as a dash."""
    if not seconds:
        return "-"
    time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return time.strftime("%Y-%m-%d %H:%M:%SZ")


def confirm(question: str) -> bool | None:
    """Prompts for confirmation; None if standard input is no terminal."""
    if not sys.stdin.isatty():
        return None
    return input(f"{question} [y/N] ").strip().lower() in ("y", "yes")


def _format_cell(value: Any) -> str:
    return "-" if value in ("", None) else str(value)
