"""Growth of a gateway's load with the number of VMs, from a sweep."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import math
import pathlib

import msgspec

_MIN_POWER = 0.0
_MAX_POWER = 2.0
"""Bounds on a fitted exponent: three sizes support no more than that."""


class Share(msgspec.Struct, frozen=True):
    """A fraction of the whole day at each size.

    Attributes:
        name: The measured quantity.
        before: Values of the previous sweep's code.
        after: Values of this sweep's code.
    """

    name: str
    before: tuple[float, ...]
    after: tuple[float, ...]


class Series(msgspec.Struct, frozen=True):
    """One load or time at each size.

    Attributes:
        name: The measured quantity.
        unit: Unit of the values.
        limit: The users' aim for one daemon, None if there is none.
        before: Load of the busiest daemon, or the longest time, on the previous
            sweep's code.
        middle: Load of the median daemon; None for times.
        busiest: Load of the busiest daemon, or the longest time.
    """

    name: str
    unit: str
    limit: float | None
    before: tuple[float, ...]
    middle: tuple[float, ...] | None
    busiest: tuple[float, ...]


class Sweep(msgspec.Struct, frozen=True):
    """Results of one day at several sizes.

    Attributes:
        sizes: Numbers of VMs.
        targets: Numbers of targets.
        shares: Fractions of the day.
        series: Loads and times.
    """

    sizes: tuple[int, ...]
    targets: tuple[int, ...]
    shares: tuple[Share, ...]
    series: tuple[Series, ...]


def read(path: pathlib.Path) -> Sweep:
    """Reads a committed sweep.

    Args:
        path: The file.

    Raises:
        msgspec.ValidationError: The file is not a sweep.
    """
    return msgspec.json.decode(path.read_bytes(), type=Sweep)


def power(sizes: Sequence[int], values: Sequence[float]) -> float | None:
    """Returns the exponent of the power law by which a value grows.

    The exponent is fitted by least squares to the logarithms and clamped to 0
    to 2. Returns None if there are fewer than two positive values.
    """
    points = [
        (math.log(size), math.log(value))
        for size, value in zip(sizes, values, strict=True)
        if value > 0
    ]
    if len(points) < 2:
        return None
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return min(max(slope, _MIN_POWER), _MAX_POWER)


def table(sweep: Sweep, daemons: int) -> str:
    """Returns the page's tables, extrapolated to a number of daemons."""
    heads = [
        f"{vms} VMs, {targets:,} targets"
        for vms, targets in zip(sweep.sizes, sweep.targets, strict=True)
    ]
    lines = [
        _row(["share of the day", *heads]),
        _rule(len(heads) + 1),
        *(_row(cells) for share in sweep.shares for cells in _shares(share)),
        "",
        _row(
            [
                "busiest daemon, or longest time",
                *heads,
                "before",
                "middle daemon",
                "power",
                f"at {daemons:,} VMs",
                "aim",
                "reached",
            ]
        ),
        _rule(len(heads) + 7),
        *(_row(_series(sweep, series, daemons)) for series in sweep.series),
    ]
    return "\n".join(lines)


def _shares(share: Share) -> Iterator[list[str]]:
    yield [f"{share.name}, before", *(f"{v:.3f}" for v in share.before)]
    yield [f"{share.name}, now", *(f"{v:.3f}" for v in share.after)]


def _series(sweep: Sweep, series: Series, daemons: int) -> list[str]:
    exponent = power(sweep.sizes, series.busiest)
    last = series.busiest[-1]
    extrapolated = (
        last * (daemons / sweep.sizes[-1]) ** exponent
        if exponent is not None
        else None
    )
    reached = ""
    if series.limit is not None and extrapolated is not None:
        reached = "yes" if extrapolated <= series.limit else "no"
    return [
        f"{series.name}, {series.unit}",
        *(f"{v:g}" for v in series.busiest),
        " / ".join(f"{v:g}" for v in series.before),
        " / ".join(f"{v:g}" for v in series.middle or ()),
        "" if exponent is None else f"{exponent:.2f}",
        "" if extrapolated is None else f"{extrapolated:,.3g}",
        "" if series.limit is None else f"{series.limit:g}",
        reached,
    ]


def _row(cells: Iterable[str]) -> str:
    return f"| {' | '.join(cells)} |"


def _rule(columns: int) -> str:
    return "|" + "---|" * columns
