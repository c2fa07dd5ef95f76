"""Measures imbalance and churn of placement and of baselines by traces."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import itertools

import msgspec

from mimosastile_core import balance_plan
from mimosastile_core import config
from mimosastile_core import fleet
from mimosastile_standins import baselines
from mimosastile_standins import deployments
from mimosastile_standins import traces

KEYS = 20_000
EXPONENTS = (0.8, 1.0)
_HOT_CHANGES = 5
_SEED = 11
KEYED = {"urednistvo": "citaonica", "consortium": "catchbook"}
WEIGHTS = {
    "urednistvo": config.Placement(unavailable=4.0),
    "consortium": config.Placement(
        imbalance=4.0, begin_above=0.08, end_below=0.04
    ),
}
"""The two users' weights: one weights unavailability, the other imbalance."""

Targets = dict[str, tuple[str, str]]
Trace = Sequence[baselines.Key]


class Row(msgspec.Struct, frozen=True):
    """Results of one placement scheme in one case.

    Attributes:
        deployment: The deployment.
        exponent: Exponent of Zipf's law.
        case: Name of the case.
        scheme: Name of the placement scheme.
        events: Number of events.
        imbalance: Largest load of a target over the mean, worst event.
        imbalance_p99: The same at the 99th percentile of targets.
        floor: Lower bound of the imbalance, given by the hottest key.
        churn: Fraction of keys that changed owner, mean per event.
        least: Fraction of keys whose owner left or crashed, mean per event.
        slices: Number of slices at the end, 0 for baselines.
    """

    deployment: str
    exponent: float
    case: str
    scheme: str
    events: int
    imbalance: float
    imbalance_p99: float
    floor: float
    churn: float
    least: float
    slices: int


class Event(msgspec.Struct, frozen=True):
    """One step of a case.

    Attributes:
        lost: Target that crashes, empty for none.
        left: Target that is drained, empty for none.
        joined: Target that is added, empty for none.
        trace: Load per key from this event on.
    """

    trace: tuple[baselines.Key, ...]
    lost: str = ""
    left: str = ""
    joined: str = ""


class _CorePlacement:
    """The core's placement as a scheme."""

    def __init__(self, name: str, targets: Targets, trace: Trace) -> None:
        slices = _service(name).slices
        self.placement = traces.Placement(targets, slices, WEIGHTS[name])
        self.placement.settle(trace)
        self.owners = self.placement.owners(trace)

    def apply(self, event: Event, targets: Targets) -> list[str]:
        """Applies one event and returns the resulting owner of each key."""
        if event.joined:
            self.placement.join(event.joined, targets[event.joined])
        if event.left:
            self.placement.leave(event.left, event.trace)
        if event.lost:
            self.placement.lose(event.lost)
        self.placement.settle(event.trace)
        return self.placement.owners(event.trace)


class _Baseline:
    """A baseline as a scheme."""

    def __init__(
        self,
        assign: Callable[[Trace, Sequence[str]], list[str]],
        targets: Targets,
        trace: Trace,
    ) -> None:
        self._assign = assign
        self.owners = assign(trace, sorted(targets))

    def apply(self, event: Event, targets: Targets) -> list[str]:
        """Applies one event and returns the resulting owner of each key."""
        return self._assign(event.trace, sorted(targets))


def _service(name: str) -> config.Service:
    return deployments.DEPLOYMENTS[name].backends[KEYED[name]].service


def targets_of(name: str) -> Targets:
    """Returns region and zone per target of the sharded service."""
    return {
        vm.id: (vm.region, vm.zone)
        for vm in deployments.DEPLOYMENTS[name].vms()
        if vm.role is fleet.Role.TARGET and vm.service == KEYED[name]
    }


def cases(targets: Targets, trace: Trace) -> dict[str, list[Event]]:
    """Returns the events of each case."""
    initial = tuple(trace)
    first, *_ = sorted(targets)
    hot: list[Event] = []
    for seed in range(_HOT_CHANGES):
        before = hot[-1].trace if hot else initial
        hot.append(Event(tuple(traces.move_hottest(before, seed))))
    return {
        "one loss": [Event(initial, lost=first)],
        "one planned stop": [Event(initial, left=first)],
        "one new target": [Event(initial, joined="fresh")],
        "rolling replacement of targets": [
            Event(initial, left=old, joined=f"fresh-{i}")
            for i, old in enumerate(sorted(targets))
        ],
        "hot keys moving": hot,
    }


def _after(targets: Targets, event: Event) -> Targets:
    removed = {event.lost, event.left}
    after = {t: locality for t, locality in targets.items() if t not in removed}
    if event.joined:
        locality = targets.get(event.left) or next(iter(targets.values()))
        after[event.joined] = locality
    return after


def _measure(
    scheme: _CorePlacement | _Baseline, targets: Targets, events: list[Event]
) -> tuple[float, float, float, float]:
    """Returns worst imbalance, worst p99, mean churn and mean least churn."""
    worst = p99 = churn = least = 0.0
    owners = scheme.owners
    for event in events:
        targets = _after(targets, event)
        new_owners = scheme.apply(event, targets)
        loads = traces.target_loads(event.trace, new_owners, sorted(targets))
        measured = balance_plan.measure_imbalance(loads)
        worst = max(worst, measured.worst)
        p99 = max(p99, measured.p99)
        pairs = list(zip(owners, new_owners, strict=True))
        churn += sum(a != b for a, b in pairs) / len(pairs)
        least += sum(a in (event.lost, event.left) for a, _ in pairs) / len(
            pairs
        )
        owners = new_owners
    return worst, p99, churn / len(events), least / len(events)


def rows(name: str, exponent: float) -> Iterator[Row]:
    """Yields all rows of one deployment and one Zipf exponent."""
    targets = targets_of(name)
    trace = traces.zipf(KEYS, exponent, _SEED)
    hottest = max(key.load for key in trace)
    schemes = ("mimosastile", *baselines.BASELINES)
    for (case, events), scheme in itertools.product(
        cases(targets, trace).items(), schemes
    ):
        scheme_state: _CorePlacement | _Baseline
        if scheme == "mimosastile":
            scheme_state = _CorePlacement(name, targets, trace)
        else:
            scheme_state = _Baseline(
                baselines.BASELINES[scheme], targets, trace
            )
        worst, p99, churn, least = _measure(scheme_state, targets, events)
        slices = (
            len(scheme_state.placement.block.slices)
            if isinstance(scheme_state, _CorePlacement)
            else 0
        )
        count = len(_after(targets, events[-1]))
        yield Row(
            name,
            exponent,
            case,
            scheme,
            len(events),
            round(worst, 3),
            round(p99, 3),
            round(max(1.0, hottest * count), 3),
            round(churn, 4),
            round(least, 4),
            slices,
        )


def all_rows() -> list[Row]:
    """Returns the rows of both deployments."""
    return [
        row
        for name, exponent in itertools.product(KEYED, EXPONENTS)
        for row in rows(name, exponent)
    ]


def table(results: Sequence[Row]) -> str:
    """Formats rows as a text table."""
    head = (
        f"{'deployment':<12}{'zipf':>5} {'case':<32}{'scheme':<13}"
        f"{'max/mean':>9}{'p99':>7}{'floor':>7}{'churn':>9}{'least':>9}"
        f"{'slices':>8}"
    )
    lines = [
        f"{r.deployment:<12}{r.exponent:>5} {r.case:<32}{r.scheme:<13}"
        f"{r.imbalance:>9.3f}{r.imbalance_p99:>7.3f}{r.floor:>7.3f}"
        f"{r.churn:>9.4f}{r.least:>9.4f}{r.slices:>8}"
        for r in results
    ]
    return "\n".join([head, *lines])
