"""The commands that measure: text for people, JSON for later comparison."""

from collections.abc import Callable
from collections.abc import Iterator
import importlib
import itertools
import pathlib
from typing import Any

import msgspec

from mimosastile_standins import _printing
from mimosastile_standins import measures
from mimosastile_standins import outages
from mimosastile_standins import slopes as slopes_module
from mimosastile_standins import spreading


def _outage_rows() -> list[outages.Row]:
    full = itertools.product(measures.KEYED, outages.CASES)
    long = (("small", label) for label in outages.LONG_CASES)
    return [outages.row(name, label) for name, label in (*full, *long)]


def _balance() -> tuple[list[Any], str]:
    found = measures.all_rows()
    return found, measures.table(found)


def _outages() -> tuple[list[Any], str]:
    found = _outage_rows()
    return found, outages.table(found)


def _propagation() -> tuple[list[Any], str]:
    found = spreading.rows()
    return found, spreading.table(found)


_PARTS: dict[str, Callable[[], tuple[list[Any], str]]] = {
    "balance": _balance,
    "outages": _outages,
    "propagation": _propagation,
}


def run(only: str, out: pathlib.Path, plots: bool) -> None:
    """Measures, prints and writes the results.

    Args:
        only: Name of one part, or empty for all.
        out: Folder for the results.
        plots: Whether to draw balance as well.
    """
    for name, part in _PARTS.items():
        if only in ("", name):
            found, text = part()
            _write(out, name, found, text)
    if plots:
        _plot(out)


def slopes(out: pathlib.Path) -> None:
    """Measures costs by size, prints and writes them."""
    found = slopes_module.all_slopes()
    _write(out, "slopes", found, slopes_module.table(found))


def _write(out: pathlib.Path, name: str, found: list[Any], text: str) -> None:
    _printing.say(text)
    out.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(found), indent=1)
    (out / f"{name}.json").write_bytes(encoded + b"\n")
    (out / f"{name}.txt").write_text(text + "\n", encoding="utf-8")


def _bars(out: pathlib.Path) -> Iterator[tuple[str, float]]:
    rows = msgspec.json.decode(
        (out / "balance.json").read_bytes(), type=list[measures.Row]
    )
    for row in rows:
        # Two bars with one label would lie on top of each other.
        label = f"{row.deployment} {row.exponent} {row.case} {row.scheme}"
        yield label, row.imbalance


def _plot(out: pathlib.Path) -> None:
    try:
        pyplot = importlib.import_module("matplotlib.pyplot")
    except ImportError:
        _printing.say("matplotlib is not installed; no plots.")
        return
    labels, values = zip(*_bars(out), strict=True)
    figure, axes = pyplot.subplots(figsize=(10, len(labels) / 4))
    axes.barh(labels, values)
    axes.set_xlabel("load of the fullest target over the mean")
    figure.tight_layout()
    figure.savefig(out / "balance.png")
