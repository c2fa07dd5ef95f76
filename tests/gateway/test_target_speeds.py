"""Tests of the estimates of targets' speeds."""

import pytest

from mimosastile_core.gateway import target_speeds

_Sample = target_speeds.SpeedSample


def _report(joined, factor, now, vms=12, samples=1.0):
    for number in range(vms):
        sample = {"t": _Sample(factor, samples, 0.0)}
        joined.record(f"vm{number}", "b", sample, now)


class TestOccupancy:
    """How long a request was at its target."""

    @pytest.mark.parametrize(
        ("found", "gated", "expected"),
        [
            (1, False, (1.0, 1.0)),
            (4, True, (1.0, 1.0)),
            (6, True, (1.5, 1.0)),
            (6, False, (1.5, 0.3)),
            (900, False, (4.0, 0.3)),
            # A gate of an older version does not tell.
            (0, True, (1.0, 0.0)),
        ],
    )
    def test_by_count(self, found, gated, expected):
        """Guards against targets that seem slow because they are full."""
        occupancy = target_speeds.occupancy(4, found, gated=gated)
        assert (occupancy.service_times, occupancy.weight) == expected


class TestMeter:
    """What one VM reports."""

    def test_reports_each_sample_once(self):
        """Guards against samples that count again with every report."""
        meter = target_speeds.SpeedMeter()
        meter.record("t", 2.0, 1.0, 1.0)
        meter.record("t", 1.0, 1.0, 2.0)
        assert meter.take(3.0, standing=False) == {"t": _Sample(1.5, 2.0, 0.0)}
        assert not meter.take(3.0, standing=False)

    def test_new_leader_gets_standing_estimates(self):
        """Guards against a new leader that places keys as if all were equal."""
        meter = target_speeds.SpeedMeter()
        for second in range(30):
            meter.record("t", 2.0, 1.0, second)
        meter.take(30.0, standing=False)
        sample = meter.take(34.0, standing=True)["t"]
        assert sample.factor == pytest.approx(2.0)
        assert 8 < sample.samples <= 12
        assert sample.age == 5.0
        joined = target_speeds.JoinedSpeeds()
        _report(joined, sample.factor, 34.0, 72)
        assert joined.factors()["t"] == pytest.approx(2.0, rel=0.1)

    def test_drops_ended_targets(self):
        """Guards against memory that grows with each replaced target."""
        meter = target_speeds.SpeedMeter()
        meter.record("t", 2.0, 1.0, 1.0)
        meter.retain([])
        assert not meter.take(3.0, standing=True)


class TestJoined:
    """The leader's estimates."""

    def test_follows_a_change(self):
        """Guards against estimates that stay after a target has changed."""
        joined = target_speeds.JoinedSpeeds()
        for second in range(30):
            _report(joined, 1.0, second)
        for second in range(30, 38):
            _report(joined, 12.0, second)
        assert joined.factors()["t"] > 8
        for second in range(38, 46):
            _report(joined, 1.0, second)
        assert joined.factors()["t"] < 1.5

    def test_few_samples_stay_near_the_mean(self):
        """Guards against moves because of a single long request."""
        joined = target_speeds.JoinedSpeeds()
        _report(joined, 10.0, 0.0, vms=1)
        assert joined.factors()["t"] < 4

    @pytest.mark.parametrize("factor", [20.0, 0.1, 1e9, -1.0, float("nan")])
    def test_one_false_reporter(self, factor):
        """Guards against one VM whose samples outweigh those of all others."""
        joined = target_speeds.JoinedSpeeds()
        for second in range(60):
            _report(joined, 1.0, second, 11)
            lie = {"t": _Sample(factor, 1e6, 0.0)}
            joined.record("liar", "b", lie, second)
        assert 0.7 < joined.factors()["t"] < 1.8

    def test_passed_on_to_vms_that_have_not_measured(self):
        """Guards against a restarted VM that takes all targets for equal."""
        joined = target_speeds.JoinedSpeeds()
        _report(joined, 2.0, 1.0)
        assert not joined.unmeasured("vm1", "b", 2.0)
        assert joined.unmeasured("vm1", "restarted", 2.0)["t"].factor > 1.5
        assert not joined.unmeasured("vm1", "restarted", 2.0)

    def test_drops_ended_targets(self):
        """Guards against memory that grows with each replaced target."""
        joined = target_speeds.JoinedSpeeds()
        _report(joined, 2.0, 1.0)
        joined.retain([], [])
        assert not joined.factors()
