"""Tests of the detection of targets that this VM cannot reach."""

import math

import pytest

from mimosastile_core.gateway import reachability


def _record(attempts, targets=10):
    """Records attempts as (time, target, connected) on service `s`."""
    tracker = reachability.Reachability()
    for at, target, connected in attempts:
        if connected:
            tracker.record_connected("s", target, at)
        else:
            tracker.record_failed("s", target, targets, at)
    return tracker


class TestIsolation:
    """A VM that reaches no target of a service."""

    @pytest.mark.parametrize(
        ("attempts", "targets", "isolated"),
        [
            ([], 10, False),
            ([(0, "a", False), (1, "b", False)], 10, False),
            ([(0, "a", False), (1, "a", False), (2, "a", False)], 10, False),
            ([(0, "a", False), (1, "b", False), (2, "c", False)], 10, True),
            ([(0, "a", False), (1, "b", False)], 2, True),
            (
                [(0, "a", 0), (1, "b", 0), (1.5, "d", 1), (2, "c", 0)],
                10,
                False,
            ),
            ([(0, "a", 0), (1, "b", 0), (2, "c", 0), (3, "d", 1)], 10, False),
            ([(0, "a", 0), (1, "b", 0), (5.5, "c", 0)], 10, False),
        ],
        ids=[
            "no attempt",
            "two crashed",
            "one crashed",
            "three in a row",
            "all of two",
            "one connected between",
            "connected again",
            "first failure too old",
        ],
    )
    def test_failures_in_a_row(self, attempts, targets, isolated):
        """Guards against crashes of single targets taken for a cut link."""
        tracker = _record(attempts, targets)
        assert tracker.is_isolated("s") is isolated
        assert ("s" in tracker.isolated) is isolated

    def test_services_are_separate(self):
        """Guards against one unreachable service that blocks another."""
        tracker = _record([(0, "a", False), (1, "b", False), (2, "c", False)])
        tracker.record_connected("other", "x", 3.0)
        assert tracker.isolated == {"s"}

    def test_reports_begin_and_end(self):
        """The begin is reported once, the end with the duration."""
        tracker = reachability.Reachability()
        begun = [
            tracker.record_failed("s", target, 9, at)
            for at, target in enumerate("abcd")
        ]
        assert begun == [False, False, True, False]
        assert tracker.record_connected("s", "a", 6.0) == 4.0
        assert tracker.record_connected("s", "a", 7.0) is None


class TestTargets:
    """Single targets."""

    def test_failure_age(self):
        """A connection that is opened later ends a failure."""
        tracker = _record([(0, "a", False), (0, "b", False), (1, "b", True)])
        assert tracker.seconds_since_failure("s", "a", 2.0) == 2.0
        assert tracker.seconds_since_failure("s", "b", 2.0) == math.inf
        assert tracker.unreachable(2.0) == {"a"}
        assert tracker.unreachable(20.0) == frozenset()

    def test_isolated_services_keep_their_failures(self):
        """Guards against targets that count as reached for want of attempts."""
        tracker = _record([(0, "a", False), (0, "b", False), (0, "c", False)])
        assert tracker.unreachable(20.0) == {"a", "b", "c"}

    def test_removed_targets(self):
        """Guards against records of targets that no longer exist."""
        tracker = _record([(0, "a", False), (0, "b", False), (0, "c", False)])
        tracker.retain([("s", "a")])
        assert tracker.unreachable(1.0) == {"a"}
        tracker.retain([])
        assert not tracker.isolated
        assert tracker.unreachable(1.0) == frozenset()
