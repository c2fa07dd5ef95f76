"""Compares measurement results with those of an earlier commit."""

from collections.abc import Iterator
import json
import pathlib
from typing import Any

_MIN_RELATIVE_CHANGE = 0.1
"""Smaller relative changes are not reported."""


def differences(former: pathlib.Path, latter: pathlib.Path) -> Iterator[str]:
    """Yields a line for each number that changed by more than 10%.

    Rows match if all their strings and sizes are equal. A row that exists on
    one side only is reported as new or gone.

    Args:
        former: Directory of the earlier results.
        latter: Directory of the later results.
    """
    for path in sorted(latter.glob("*.json")):
        before = _rows(former / path.name)
        after = _rows(path)
        for name in sorted(before.keys() ^ after.keys()):
            side = "new" if name in after else "gone"
            yield f"{path.stem} {name}: {side}"
        for name in sorted(before.keys() & after.keys()):
            yield from _changes(
                f"{path.stem} {name}", before[name], after[name]
            )


def _changes(
    name: str, before: dict[str, Any], after: dict[str, Any]
) -> Iterator[str]:
    for key, old in before.items():
        new: Any = after.get(key)
        if not _is_number(old) or not _is_number(new):
            continue
        if abs(new - old) > _MIN_RELATIVE_CHANGE * max(abs(old), abs(new)):
            yield f"{name} {key}: {old:g} -> {new:g}"


def _rows(path: pathlib.Path) -> dict[str, dict[str, Any]]:
    if not path.exists():
        return {}
    results = json.loads(path.read_text(encoding="utf-8"))
    rows = results if isinstance(results, list) else [results]
    return {_name(row): row for row in rows if isinstance(row, dict)}


def _name(row: dict[str, Any]) -> str:
    texts = (v for v in row.values() if isinstance(v, str))
    sizes = (
        f"{key} {row[key]}"
        for key in ("vms", "size", "concurrency", "exponent")
        if key in row
    )
    return " / ".join((*texts, *sizes))


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)
