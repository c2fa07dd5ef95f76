"""Compares results with those of an earlier commit."""

from collections.abc import Iterator
import json
import pathlib
from typing import Any

_LEAST_CHANGE = 0.1
"""Smaller shares of change are not told."""


def differences(former: pathlib.Path, latter: pathlib.Path) -> Iterator[str]:
    """Yields a line for each figure that changed by more than a tenth.

    Rows are the same if all their texts are; a row that one side lacks is
    told as such.

    Args:
        former: Folder of the earlier results.
        latter: Folder of the later ones.
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
        if abs(new - old) > _LEAST_CHANGE * max(abs(old), abs(new)):
            yield f"{name} {key}: {old:g} -> {new:g}"


def _rows(path: pathlib.Path) -> dict[str, dict[str, Any]]:
    if not path.exists():
        return {}
    found = json.loads(path.read_text(encoding="utf-8"))
    rows = found if isinstance(found, list) else [found]
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
