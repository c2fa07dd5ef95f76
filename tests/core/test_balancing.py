"""Tests of the choice among targets."""

import collections
import random

import pytest

from mimosastile_core import balancing

HERE = balancing.Place("r1", "r1-a")
ZONE_B = balancing.Place("r1", "r1-b")
FAR = balancing.Place("r2", "r2-a")


def _candidates(count, place=HERE, live=True, name="t"):
    return [
        balancing.Candidate(f"{name}{n}", place, live) for n in range(count)
    ]


def _balancer(candidates, slots=4):
    made = balancing.Balancer(HERE)
    made.update(candidates, slots, 0.0)
    return made


def _draws(made, count=400, now=100.0, avoid=(), hold=False):
    chance = random.Random(1)
    drawn = collections.Counter()
    for _ in range(count):
        target = made.choose(avoid, now, chance.random(), chance.random())
        drawn[target] += 1
        if hold:
            made.begin(target)
    return drawn


class TestDistance:
    """The zone goes before the region, the region before the paid link."""

    @pytest.mark.parametrize(
        ("zone", "region", "far", "expected"),
        [(2, 2, 2, "z"), (0, 2, 2, "r"), (0, 0, 2, "f"), (0, 0, 0, None)],
    )
    def test_nearest_that_exists(self, zone, region, far, expected):
        """None only if there is none at all."""
        made = _balancer(
            [
                *_candidates(zone, HERE, name="z"),
                *_candidates(region, ZONE_B, name="r"),
                *_candidates(far, FAR, name="f"),
            ]
        )
        drawn = _draws(made)
        assert {t and t[0] for t in drawn} == {expected}

    def test_busy_zone_spills_into_the_region(self):
        """Its own requests under way fill the zone's slots."""
        made = _balancer(
            [
                *_candidates(2, HERE, name="z"),
                *_candidates(2, ZONE_B, name="r"),
                *_candidates(2, FAR, name="f"),
            ],
            slots=2,
        )
        drawn = _draws(made, 16, hold=True)
        assert drawn["z0"] + drawn["z1"] >= 4
        assert drawn["r0"] + drawn["r1"] >= 4
        assert drawn["f0"] + drawn["f1"] == 0
        drawn = _draws(made, 40, hold=True)
        assert drawn["f0"] + drawn["f1"] > 0

    def test_avoided_targets_come_back_if_nothing_else_is_left(self):
        """One more try is better than a refusal."""
        made = _balancer(_candidates(2))
        assert set(_draws(made, avoid={"t0"})) == {"t1"}
        assert set(_draws(made, avoid={"t0", "t1"})) == {"t0", "t1"}


class TestLoad:
    """The less loaded of two is chosen."""

    def test_slow_target_gets_less(self):
        """Its answers take four times as long."""
        made = _balancer(_candidates(4))
        for _ in range(50):
            for n in range(4):
                made.answered(f"t{n}", 0.04 if n == 0 else 0.01, 50.0)
        drawn = _draws(made)
        assert drawn["t0"] < 400 / 4 / 2

    def test_cold_target_ramps_up(self):
        """A server that has just started gets little at first."""
        made = _balancer(_candidates(3))
        made.update(_candidates(4), 4, 100.0)
        early = _draws(made, now=100.5)["t3"]
        late = _draws(made, now=111.0)["t3"]
        assert early < late / 2
        assert late > 50


class TestFailing:
    """Targets fail, or only seem to."""

    def test_failing_target_is_left_alone_for_a_while(self):
        """Three failures in a row; an answer in between forgives."""
        made = _balancer(_candidates(4))
        for _ in range(3):
            made.failed("t0", 100.0)
        assert _draws(made)["t0"] == 0
        assert _draws(made, now=103.0)["t0"] > 0
        made.failed("t1", 100.0)
        made.failed("t1", 100.0)
        made.answered("t1", 0.01, 100.0)
        made.failed("t1", 100.0)
        assert made.ejected(100.0) == ["t0"]

    def test_half_stays_in_use_when_all_seem_to_fail(self):
        """A fault near this VM must not become an outage."""
        made = _balancer(_candidates(6))
        for n in range(6):
            for _ in range(3):
                made.failed(f"t{n}", 100.0)
        assert len(_draws(made)) == 3


class TestLyingList:
    """The platform's list says that targets leave, or forgets them.

    They answer all the same. Believing it would be an outage without cause.
    """

    def test_list_that_says_all_leave(self):
        """There is nothing better to try."""
        made = _balancer(_candidates(4, live=False))
        assert len(_draws(made)) == 4

    @pytest.mark.parametrize("left", [0, 1])
    def test_list_that_forgets_most_of_those_that_answer(self, left):
        """They stay as long as they answer."""
        made = _balancer(_candidates(4))
        for n in range(4):
            made.answered(f"t{n}", 0.01, 99.0)
        made.update(_candidates(left), 4, 100.0)
        assert len(_draws(made)) == 4
        made.update(_candidates(left), 4, 120.0)
        assert len(_draws(made)) == max(left, 1)

    def test_single_target_that_leaves_gets_nothing(self):
        """That is what the list is for."""
        made = _balancer(_candidates(4))
        for n in range(4):
            made.answered(f"t{n}", 0.01, 99.0)
        leaving = [*_candidates(3), *_candidates(1, live=False, name="gone")]
        made.update(leaving, 4, 100.0)
        assert set(_draws(made)) == {"t0", "t1", "t2"}

    def test_leaving_target_that_alone_answered_lately_gets_nothing(self):
        """A VM far from the others sends to one target; it leaves too."""
        made = _balancer(_candidates(2))
        made.answered("t0", 0.01, 99.0)
        other = _candidates(2)[1:]
        made.update([*_candidates(1, live=False), *other], 4, 100.0)
        assert set(_draws(made)) == {"t1"}
