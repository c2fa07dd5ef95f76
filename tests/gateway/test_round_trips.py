"""Timeout of messages that may be lost."""

import pytest

from mimosastile_core.gateway import round_trips


def _timeout(trips):
    estimate = round_trips.RoundTrips(0.2, 0.8)
    for seconds in trips:
        if seconds is None:
            estimate.record_timeout()
        else:
            estimate.record(seconds)
    return estimate.timeout


class TestTimeout:
    """After how long a message counts as lost."""

    @pytest.mark.parametrize(
        ("trips", "expected"),
        [
            ([], 0.2),
            ([0.02] * 50, 0.2),
            ([None], 0.4),
            ([None, None, None, None], 0.8),
            ([None, None, 0.02], 0.2),
            ([0.3] * 100, 0.3),
            ([0.1, 0.3] * 50, 0.6),
            ([0.1] * 50 + [0.5], 0.55),
            ([5.0], 0.8),
        ],
        ids=[
            "none measured",
            "short ones",
            "one lost",
            "several lost",
            "answered again",
            "long ones",
            "uneven ones",
            "suddenly longer",
            "far too long",
        ],
    )
    def test_values(self, trips, expected):
        """Guards against gates that count as failed behind a full link."""
        assert _timeout(trips) == pytest.approx(expected, rel=0.12)
