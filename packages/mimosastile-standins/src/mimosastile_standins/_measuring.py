"""Runs the measurements and writes the results as text and JSON."""

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
    sharded_cases = itertools.product(measures.KEYED, outages.CASES)
    long_cases = (("small", label) for label in outages.LONG_CASES)
    return [
        outages.row(name, label)
        for name, label in (*sharded_cases, *long_cases)
    ]


def _measure_balance() -> tuple[list[Any], str]:
    results = measures.all_rows()
    return results, measures.table(results)


def _measure_outages() -> tuple[list[Any], str]:
    results = _outage_rows()
    return results, outages.table(results)


def _measure_propagation() -> tuple[list[Any], str]:
    results = spreading.rows()
    return results, spreading.table(results)


_MEASUREMENTS: dict[str, Callable[[], tuple[list[Any], str]]] = {
    "balance": _measure_balance,
    "outages": _measure_outages,
    "propagation": _measure_propagation,
}


def run(only: str, out: pathlib.Path, plots: bool) -> None:
    """Runs the measurements, prints and writes the results.

    Args:
        only: Name of one measurement, or empty for all.
        out: Directory for the results.
        plots: Whether to plot the balance results too.
    """
    for name, measure in _MEASUREMENTS.items():
        if only in ("", name):
            results, text = measure()
            _write(out, name, results, text)
    if plots:
        _plot(out)


def slopes(out: pathlib.Path) -> None:
    """Measures costs by size, prints and writes the results."""
    results = slopes_module.all_slopes()
    _write(out, "slopes", results, slopes_module.table(results))


def _write(out: pathlib.Path, name: str, results: list[Any], text: str) -> None:
    _printing.say(text)
    out.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(results), indent=1)
    (out / f"{name}.json").write_bytes(encoded + b"\n")
    (out / f"{name}.txt").write_text(text + "\n", encoding="utf-8")


def _bars(out: pathlib.Path) -> Iterator[tuple[str, float]]:
    rows = msgspec.json.decode(
        (out / "balance.json").read_bytes(), type=list[measures.Row]
    )
    for row in rows:
        # Labels are unique; bars with equal labels would overlap.
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
