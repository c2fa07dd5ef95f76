"""What the command line prints: tables for people, JSON for programs."""

from collections.abc import Iterable
from collections.abc import Sequence
import datetime
import sys
from typing import Any

import msgspec


def say(line: str) -> None:
    """Prints a line of the outcome."""
    print(line)


def note(line: str) -> None:
    """Prints a line for people beside the outcome."""
    print(line, file=sys.stderr, flush=True)


def progress(line: str) -> None:
    """Replaces the line of progress; nothing if nobody watches."""
    if sys.stderr.isatty():
        print(f"\r\x1b[K{line}", end="", file=sys.stderr, flush=True)


def json(value: Any) -> None:
    """Prints JSON, indented."""
    encoded = msgspec.json.encode(value)
    print(msgspec.json.format(encoded, indent=2).decode())


def table(heads: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Prints rows under their heads, columns as wide as needed."""
    cells = [[*map(str, heads)], *([*map(_cell, row)] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = (c.ljust(w) for c, w in zip(row, widths, strict=True))
        print("  ".join(padded).rstrip())


def moment(seconds: float) -> str:
    """Returns a time of day in UTC, or a dash for an unknown one."""
    if not seconds:
        return "-"
    at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return at.strftime("%Y-%m-%d %H:%M:%SZ")


def confirm(question: str) -> bool | None:
    """Asks a person; None if nobody is there to ask."""
    if not sys.stdin.isatty():
        return None
    return input(f"{question} [y/N] ").strip().lower() in ("y", "yes")


def _cell(value: Any) -> str:
    return "-" if value in ("", None) else str(value)
