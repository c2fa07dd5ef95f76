"""Tests of load balancing over targets."""

import collections
import random

import pytest

from mimosastile_core import balancing

HERE = balancing.Locality("r1", "r1-a")
ZONE_B = balancing.Locality("r1", "r1-b")
FAR = balancing.Locality("r2", "r2-a")


def _candidates(count, locality=HERE, live=True, name="t"):
    return [
        balancing.Candidate(f"{name}{n}", locality, live) for n in range(count)
    ]


def _balancer(candidates, slots=4):
    made = balancing.Balancer(HERE)
    made.update(candidates, slots, 0.0)
    return made


def _draws(made, count=400, now=100.0, avoid=(), hold=False):
    generator = random.Random(1)
    drawn = collections.Counter()
    for _ in range(count):
        target = made.choose(avoid, now, generator.random(), generator.random())
        drawn[target] += 1
        if hold:
            made.begin(target)
    return drawn


class TestDistance:
    """The own zone goes before the region, the region before the paid link."""

    @pytest.mark.parametrize(
        ("zone", "region", "far", "expected"),
        [(2, 2, 2, "z"), (0, 2, 2, "r"), (0, 0, 2, "f"), (0, 0, 0, None)],
    )
    def test_nearest_that_exists(self, zone, region, far, expected):
        """None is returned only if there are no targets."""
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
        """The VM's own requests in flight fill the slots of the zone."""
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

    def test_avoided_targets_are_used_as_a_last_resort(self):
        """A retry on an avoided target is better than a refusal."""
        made = _balancer(_candidates(2))
        assert set(_draws(made, avoid={"t0"})) == {"t1"}
        assert set(_draws(made, avoid={"t0", "t1"})) == {"t0", "t1"}


class TestLoad:
    """The less loaded of two random targets is chosen."""

    def test_slow_target_gets_less(self):
        """Its response time is four times as long."""
        made = _balancer(_candidates(4))
        for _ in range(50):
            for n in range(4):
                made.record_response(f"t{n}", 0.04 if n == 0 else 0.01, 50.0)
        drawn = _draws(made)
        assert drawn["t0"] < 400 / 4 / 2

    def test_cold_target_ramps_up(self):
        """A new target gets few requests during its slow start."""
        made = _balancer(_candidates(3))
        made.update(_candidates(4), 4, 100.0)
        early = _draws(made, now=100.5)["t3"]
        late = _draws(made, now=111.0)["t3"]
        assert early < late / 2
        assert late > 50


class TestFailing:
    """Outlier ejection of targets that fail or seem to fail."""

    def test_failing_target_is_ejected_for_a_while(self):
        """Three consecutive failures eject; a response resets the count."""
        made = _balancer(_candidates(4))
        for _ in range(3):
            made.record_failure("t0", 100.0)
        assert _draws(made)["t0"] == 0
        assert _draws(made, now=103.0)["t0"] > 0
        made.record_failure("t1", 100.0)
        made.record_failure("t1", 100.0)
        made.record_response("t1", 0.01, 100.0)
        made.record_failure("t1", 100.0)
        assert made.ejected(100.0) == ["t0"]

    def test_half_stays_in_use_when_all_seem_to_fail(self):
        """A network fault near this VM must not become an outage."""
        made = _balancer(_candidates(6))
        for n in range(6):
            for _ in range(3):
                made.record_failure(f"t{n}", 100.0)
        assert len(_draws(made)) == 3


class TestWrongList:
    """The platform's list wrongly omits targets or reports that they leave.

    The targets still respond. Following the list would cause an outage.
    """

    def test_all_listed_as_leaving_stay_in_use(self):
        """No other targets are available."""
        made = _balancer(_candidates(4, live=False))
        assert len(_draws(made)) == 4

    @pytest.mark.parametrize("left", [0, 1])
    def test_responding_targets_missing_from_the_list_stay(self, left):
        """They stay in use while they respond, then follow the list."""
        made = _balancer(_candidates(4))
        for n in range(4):
            made.record_response(f"t{n}", 0.01, 99.0)
        made.update(_candidates(left), 4, 100.0)
        assert len(_draws(made)) == 4
        made.update(_candidates(left), 4, 120.0)
        assert len(_draws(made)) == max(left, 1)

    def test_single_leaving_target_gets_no_requests(self):
        """A list with most targets live is followed."""
        made = _balancer(_candidates(4))
        for n in range(4):
            made.record_response(f"t{n}", 0.01, 99.0)
        leaving = [*_candidates(3), *_candidates(1, live=False, name="gone")]
        made.update(leaving, 4, 100.0)
        assert set(_draws(made)) == {"t0", "t1", "t2"}

    def test_leaving_target_with_the_only_recent_response_gets_no_requests(
        self,
    ):
        """This VM has sent to one target only, and that target leaves."""
        made = _balancer(_candidates(2))
        made.record_response("t0", 0.01, 99.0)
        other = _candidates(2)[1:]
        made.update([*_candidates(1, live=False), *other], 4, 100.0)
        assert set(_draws(made)) == {"t1"}
