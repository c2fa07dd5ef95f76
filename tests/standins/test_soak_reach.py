"""Tests of the check of VMs that are partitioned from all targets."""

import pytest

from mimosastile_standins import soak_notices
from mimosastile_standins import soak_oracle
from mimosastile_standins import soak_reach


def _outcomes(vm, served, tries, at=15.0):
    return [
        soak_oracle.Outcome(
            f"{vm}{n}", True, at, vm, 200 if n < served else 503
        )
        for n in range(tries)
    ]


def _checker(feedback=None):
    checker = soak_reach.ReachChecker(
        feedback or soak_notices.FeedbackChecker()
    )
    checker.record_partition(
        soak_reach.Partitioned(frozenset({"cut"}), 10.0, 20.0)
    )
    return checker


class TestBound:
    """The bound on service at partitioned VMs."""

    @pytest.mark.parametrize(
        ("cut", "others", "at", "wrong"),
        [
            ((4, 100), (99, 100), 15.0, 1),
            ((65, 100), (99, 100), 15.0, 1),
            ((67, 100), (99, 100), 15.0, 0),
            ((4, 100), (5, 100), 15.0, 0),
            ((0, 10), (90, 90), 15.0, 0),
            ((0, 20), (90, 90), 15.0, 1),
            ((4, 100), (99, 100), 12.9, 0),
            ((4, 100), (99, 100), 20.5, 0),
            ((4, 100), (0, 0), 15.0, 0),
        ],
        ids=[
            "none served",
            "just below two thirds",
            "just above",
            "others neither",
            "few tries",
            "more than few",
            "too soon",
            "after the end",
            "all cut",
        ],
    )
    def test_shares(self, cut, others, at, wrong):
        """Guards against VMs without targets that refuse their callers."""
        outcomes = _outcomes("cut", *cut, at) + _outcomes("other", *others, at)
        assert len(_checker().violations(outcomes)) == wrong

    @pytest.mark.parametrize(("at", "wrong"), [(13.0, 0), (5.0, 1)])
    def test_other_faults(self, at, wrong):
        """VMs out of touch for other reasons do not count."""
        feedback = soak_notices.FeedbackChecker()
        feedback.record_vm_fault("cut", at)
        outcomes = _outcomes("cut", 4, 100) + _outcomes("other", 99, 100)
        assert len(_checker(feedback).violations(outcomes)) == wrong

    def test_overlapping_partitions(self):
        """Guards against VMs without targets that lower the bound."""
        checker = _checker()
        checker.record_partition(
            soak_reach.Partitioned(frozenset({"second"}), 14.0, 16.0)
        )
        outcomes = [
            *_outcomes("cut", 30, 100),
            *_outcomes("second", 0, 100),
            *_outcomes("other", 50, 50),
        ]
        assert len(checker.violations(outcomes)) == 1


class TestReport:
    """The figures of a verdict."""

    def test_margin(self):
        """The report names the smallest margin to the bound."""
        outcomes = _outcomes("cut", 80, 100) + _outcomes("other", 90, 100)
        report = _checker().report(outcomes)
        assert report == soak_reach.Reach(0.8, 0.9, 0.2, 100)

    def test_no_partition(self):
        """Without a partition nothing counts."""
        checker = soak_reach.ReachChecker(soak_notices.FeedbackChecker())
        assert checker.report(_outcomes("cut", 0, 9)).tries == 0
