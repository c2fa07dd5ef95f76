"""Tests of the estimate of a caller's retry time from its deadline."""

import pytest

from mimosastile_core.gateway import caller_retries


def _with_deadlines(deadlines):
    estimator = caller_retries.RetryAge()
    for deadline in deadlines:
        estimator.estimate(deadline)
    return estimator


class TestEstimate:
    """A caller's deadline compared with those of others."""

    @pytest.mark.parametrize(
        ("deadline", "expected"),
        [
            pytest.param(1.5, 0.0, id="first attempt"),
            pytest.param(1.25, 0.0, id="shorter deadline than others"),
            pytest.param(0.7, 0.425, id="second attempt"),
            pytest.param(0.0, 1.125, id="no time left"),
        ],
    )
    def test_route_with_recorded_deadlines(self, deadline, expected):
        """Guards against late retries that make other requests late too.

        Callers retry in a burst, and their responses are late already. Serving
        them first would make first attempts late.
        """
        estimator = _with_deadlines([1.5, 1.3, 1.4, 1.5])
        assert estimator.estimate(deadline) == pytest.approx(expected, abs=0.01)

    def test_first_request(self):
        """Without any recorded deadline no caller counts as retrying."""
        assert caller_retries.RetryAge().estimate(0.2) == 0.0

    def test_follows_a_change_of_callers(self):
        """One caller with a 60 s deadline does not make others look late."""
        estimator = _with_deadlines([60.0] + [1.5] * 3000)
        assert estimator.estimate(1.5) == 0.0
