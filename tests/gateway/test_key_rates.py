"""Tests of the decaying request counts."""

import pytest

from mimosastile_core.gateway import key_rates


class TestDecay:
    """Decay of the counts."""

    @pytest.mark.parametrize(
        ("after", "left"), [(0.0, 1.0), (2.0, 0.3679), (20.0, 4.5e-5)]
    )
    def test_exponential(self, after, left):
        """A count decays by the time constant."""
        counts = key_rates.KeyRates(2.0, 0.0)
        counts.add([7], 0.0)
        found = counts.counts(after).get(7, 0.0)
        assert found == pytest.approx(left, rel=0.01, abs=1e-4)

    def test_steady_rate(self):
        """At a steady rate the count is the rate times the time constant."""
        counts = key_rates.KeyRates(2.0, 0.0)
        for step in range(4000):
            counts.add([3, 3], step / 100)
        assert counts.counts(40.0)[3] == pytest.approx(400, rel=0.02)

    def test_bounded_over_days(self):
        """After days without a restart neither numbers nor memory grow."""
        counts = key_rates.KeyRates(1.0, 0.0)
        for step in range(2000):
            counts.add([step], step * 10.0)
        assert len(counts.counts(20_000.0)) < 10

    def test_clock_that_stops_or_goes_back(self):
        """A late report does not make counts grow."""
        counts = key_rates.KeyRates(1.0, 10.0)
        counts.add([1], 9.0)
        assert counts.counts(9.0)[1] == pytest.approx(1.0)

    def test_window(self):
        """Guards against new counts that are taken for a low request rate."""
        counts = key_rates.KeyRates(20.0, 0.0)
        for step in range(3000):
            now = step / 1000
            counts.add([3], now)
        assert counts.counts(now)[3] / counts.window(now) == pytest.approx(
            1000, rel=0.02
        )
        assert counts.window(1000.0) == pytest.approx(20.0)
