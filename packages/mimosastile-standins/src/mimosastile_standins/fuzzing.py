"""Fuzzer that searches for scenarios that violate a safety promise.

Scenarios use only the verbs and the oracle of the scenario language. A failing
scenario is shrunk and written as a scenario file that can be run again.
"""

import pathlib
import random

import hypothesis
from hypothesis import errors as hypothesis_errors
from hypothesis import strategies as st

from mimosastile_standins import _printing
from mimosastile_standins import deployments
from mimosastile_standins import runner
from mimosastile_standins import scenario

_SCENARIO_SECONDS = 8.0
_KEY_COUNT = 12
_REQUESTS_PER_SECOND = 60.0
_MAX_STEPS = 8
_MAX_TICKS = 60
_TICK_SECONDS = 0.1

_VMS = deployments.SMALL.vms()
_ENTRIES = [vm.id for vm in _VMS if not vm.service]
_TARGETS = [vm.id for vm in _VMS if vm.service == "citaonica"]
_NAMED_BY_KEY = [f"owner:k{i}" for i in range(3)] + [
    f"keeper:k{i}" for i in range(3)
]
_ANY_VM = st.sampled_from([*_TARGETS, *_ENTRIES, *_NAMED_BY_KEY])
_NETWORK_PARTS = [*_TARGETS, *_ENTRIES, "zagreb-a", "split-a", "store", "fleet"]
_START_TIME = st.integers(0, _MAX_TICKS).map(
    lambda tick: round(tick * _TICK_SECONDS, 1)
)


def _verbs() -> list[st.SearchStrategy[scenario.Verb]]:
    part = st.sampled_from(_NETWORK_PARTS)
    group = st.lists(part, min_size=1, max_size=2, unique=True).map(tuple)
    others = st.lists(part, max_size=3, unique=True).map(tuple)
    start = st.sampled_from([*_TARGETS, *_ENTRIES])
    entry = st.sampled_from(_ENTRIES)
    return [
        st.builds(scenario.Freeze, at=_START_TIME, vm=_ANY_VM),
        st.builds(scenario.Thaw, at=_START_TIME),
        st.builds(scenario.Crash, at=_START_TIME, vm=_ANY_VM),
        st.builds(scenario.Start, at=_START_TIME, vm=start),
        st.builds(scenario.Stop, at=_START_TIME, vm=entry),
        st.builds(
            scenario.Drain,
            at=_START_TIME,
            vm=st.sampled_from([*_TARGETS, _NAMED_BY_KEY[0]]),
        ),
        st.builds(
            scenario.Cut,
            at=_START_TIME,
            group=group,
            others=others,
            one_way=st.booleans(),
        ),
        st.builds(scenario.Heal, at=_START_TIME),
        st.builds(scenario.StoreDown, at=_START_TIME),
        st.builds(scenario.StoreUp, at=_START_TIME),
        st.builds(
            scenario.Slow,
            at=_START_TIME,
            seconds=st.sampled_from([0.002, 0.3, 2.0]),
        ),
        st.builds(
            scenario.LoseAnswer,
            at=_START_TIME,
            writes=st.integers(1, 3),
            late=st.sampled_from([0.0, 0.5, 3.0]),
        ),
        st.builds(
            scenario.Lie,
            at=_START_TIME,
            lag=st.sampled_from([0.0, 2.0]),
            down=st.booleans(),
        ),
        st.builds(scenario.Patch, at=_START_TIME, member=st.just("nova")),
    ]


@st.composite
def fault_scenarios(draw: st.DrawFn) -> scenario.Scenario:
    """Hypothesis strategy for scenarios of concurrent or successive faults."""
    steps = draw(st.lists(st.one_of(_verbs()), max_size=_MAX_STEPS))
    load = scenario.Load(
        at=0.0, rate=_REQUESTS_PER_SECOND, writes=0.5, keys=_KEY_COUNT
    )
    ordered = sorted(steps, key=lambda step: step.at)
    return scenario.Scenario(
        title="Found by the fuzz",
        steps=(load, *ordered),
        seconds=_SCENARIO_SECONDS,
        seed=draw(st.integers(0, 9)),
    )


def violates_promise(candidate: scenario.Scenario) -> bool:
    """Returns whether a run of the scenario violates a promise."""
    return bool(runner.run(candidate).violations)


def find(seed: int, examples: int) -> scenario.Scenario | None:
    """Searches for the shortest scenario that violates a promise.

    Args:
        seed: Seed of the search.
        examples: Number of scenarios to try.

    Returns:
        The scenario, None if none of those tried violated a promise.
    """
    try:
        return hypothesis.find(
            fault_scenarios(),
            violates_promise,
            settings=hypothesis.settings(
                max_examples=examples,
                deadline=None,
                database=None,
                suppress_health_check=list(hypothesis.HealthCheck),
            ),
            random=random.Random(seed),
        )
    except hypothesis_errors.NoSuchExample:
        return None


def search(first: int, seeds: int, examples: int, out: pathlib.Path) -> int:
    """Searches with several seeds and prints a line for each.

    Writes each scenario found to a file `seed-N.toml`.

    Args:
        first: The first seed.
        seeds: Number of seeds.
        examples: Scenarios tried for each seed.
        out: Folder for the scenarios found.

    Returns:
        Exit code: 1 if any scenario was found.
    """
    found = 0
    for seed in range(first, first + seeds):
        candidate = find(seed, examples)
        if candidate is None:
            _printing.say(f"seed {seed}: nothing in {examples} scenarios")
            continue
        found += 1
        out.mkdir(parents=True, exist_ok=True)
        path = out / f"seed-{seed}.toml"
        path.write_text(scenario.to_toml(candidate), encoding="utf-8")
        violation = runner.run(candidate).violations[0]
        _printing.say(
            f"seed {seed}: {violation.guarantee.value}: {violation.detail}"
            f" ({path})"
        )
    _printing.say(f"{seeds - found} passed, {found} failed")
    return 1 if found else 0
