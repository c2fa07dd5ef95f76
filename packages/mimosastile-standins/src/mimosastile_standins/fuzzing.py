"""Looks for scenarios that break a promise, and makes them as short as it can.

The scenarios use the verbs and the oracle of the scenario language, nothing
else; what is found is written as a scenario file that can be run again.
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

_SECONDS = 8.0
_KEYS = 12
_RATE = 60.0
_MAX_STEPS = 8
_TICKS = 60
_TICK_SECONDS = 0.1

_VMS = deployments.SMALL.vms()
_ENTRIES = [vm.id for vm in _VMS if not vm.service]
_TARGETS = [vm.id for vm in _VMS if vm.service == "citaonica"]
_NAMED = [f"owner:k{i}" for i in range(3)] + [f"keeper:k{i}" for i in range(3)]
_ANY = st.sampled_from([*_TARGETS, *_ENTRIES, *_NAMED])
_PARTS = [*_TARGETS, *_ENTRIES, "zagreb-a", "split-a", "store", "fleet"]
_AT = st.integers(0, _TICKS).map(lambda tick: round(tick * _TICK_SECONDS, 1))


def _verbs() -> list[st.SearchStrategy[scenario.Verb]]:
    part = st.sampled_from(_PARTS)
    group = st.lists(part, min_size=1, max_size=2, unique=True).map(tuple)
    others = st.lists(part, max_size=3, unique=True).map(tuple)
    start = st.sampled_from([*_TARGETS, *_ENTRIES])
    entry = st.sampled_from(_ENTRIES)
    return [
        st.builds(scenario.Freeze, at=_AT, vm=_ANY),
        st.builds(scenario.Thaw, at=_AT),
        st.builds(scenario.Crash, at=_AT, vm=_ANY),
        st.builds(scenario.Start, at=_AT, vm=start),
        st.builds(scenario.Stop, at=_AT, vm=entry),
        st.builds(
            scenario.Drain, at=_AT, vm=st.sampled_from([*_TARGETS, _NAMED[0]])
        ),
        st.builds(
            scenario.Cut,
            at=_AT,
            group=group,
            others=others,
            one_way=st.booleans(),
        ),
        st.builds(scenario.Heal, at=_AT),
        st.builds(scenario.StoreDown, at=_AT),
        st.builds(scenario.StoreUp, at=_AT),
        st.builds(
            scenario.Slow, at=_AT, seconds=st.sampled_from([0.002, 0.3, 2.0])
        ),
        st.builds(
            scenario.LoseAnswer,
            at=_AT,
            writes=st.integers(1, 3),
            late=st.sampled_from([0.0, 0.5, 3.0]),
        ),
        st.builds(
            scenario.Lie,
            at=_AT,
            lag=st.sampled_from([0.0, 2.0]),
            down=st.booleans(),
        ),
        st.builds(scenario.Patch, at=_AT, member=st.just("nova")),
    ]


@st.composite
def stories(draw: st.DrawFn) -> scenario.Scenario:
    """Draws a scenario of any faults, together or one after another."""
    steps = draw(st.lists(st.one_of(_verbs()), max_size=_MAX_STEPS))
    load = scenario.Load(at=0.0, rate=_RATE, writes=0.5, keys=_KEYS)
    ordered = sorted(steps, key=lambda step: step.at)
    return scenario.Scenario(
        title="Found by the fuzz",
        steps=(load, *ordered),
        seconds=_SECONDS,
        seed=draw(st.integers(0, 9)),
    )


def breaks(story: scenario.Scenario) -> bool:
    """Whether a promise is broken in a scenario."""
    return bool(runner.run(story).violations)


def find(seed: int, examples: int) -> scenario.Scenario | None:
    """Looks for the shortest scenario that breaks a promise.

    Args:
        seed: Seed of the search.
        examples: How many scenarios to try.

    Returns:
        The scenario, None if none of those tried broke a promise.
    """
    try:
        return hypothesis.find(
            stories(),
            breaks,
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
    """Tries seeds, writes what is found and prints a line for each seed.

    Args:
        first: The first seed.
        seeds: How many.
        examples: Scenarios tried for each seed.
        out: Folder for the scenarios found.

    Returns:
        Exit code: 1 if anything was found.
    """
    found = 0
    for seed in range(first, first + seeds):
        story = find(seed, examples)
        if story is None:
            _printing.say(f"seed {seed}: nothing in {examples} scenarios")
            continue
        found += 1
        out.mkdir(parents=True, exist_ok=True)
        path = out / f"seed-{seed}.toml"
        path.write_text(scenario.to_toml(story), encoding="utf-8")
        broken = runner.run(story).violations[0]
        _printing.say(
            f"seed {seed}: {broken.guarantee.value}: {broken.detail} ({path})"
        )
    _printing.say(f"{seeds - found} passed, {found} failed")
    return 1 if found else 0
