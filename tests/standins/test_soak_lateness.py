"""Tests of the delay with which acknowledged changes take effect."""

import pytest

from mimosastile_standins import platform_target
from mimosastile_standins import soak_lateness
from mimosastile_standins import soak_notices


class _Target:
    """Incarnation of a target."""

    id, born = "t", 1


class TestVersions:
    """Probes of a route added by version 5, acknowledged at 10 s."""

    @pytest.mark.parametrize(
        ("sent", "status", "disturbed", "wrong", "late"),
        [
            (10.5, 404, None, 0, 0.5),
            (11.9, 404, None, 0, 1.9),
            (12.1, 404, None, 1, 2.1),
            (12.1, 200, None, 0, 0.0),
            (12.1, 503, None, 0, 0.0),
            (12.1, 404, 9.0, 0, 0.0),
            (12.1, 404, 11.0, 0, 0.0),
            (12.1, 404, 5.0, 1, 2.1),
        ],
    )
    def test_older_version(self, sent, status, disturbed, wrong, late):
        """Guards against an undisturbed VM that applies an old version."""
        feedback = soak_notices.FeedbackChecker()
        if disturbed is not None:
            feedback.record_vm_fault("v", disturbed)
        checker = soak_lateness.LatenessChecker(feedback)
        checker.record_version(5, 10.0)
        checker.record_probe(soak_lateness.Probe("v", 5, sent, status))
        assert len(checker.violations()) == wrong
        assert checker.report().configuration == pytest.approx(late)
        assert checker.report().configuration_margin == pytest.approx(
            2.0 - late
        )

    def test_harmed_links(self):
        """No VM counts as late during faults on links to the store."""
        feedback = soak_notices.FeedbackChecker()
        feedback.record_link_fault(8.0, 9.0)
        checker = soak_lateness.LatenessChecker(feedback)
        checker.record_version(5, 10.0)
        checker.record_probe(soak_lateness.Probe("v", 5, 12.5, 404))
        assert checker.violations() == []


class TestNeverTaken:
    """Probes after recovery, at 20 s, of a route added by version 5."""

    @pytest.mark.parametrize(
        ("since", "status", "wrong"),
        [(20.0, 503, 1), (20.0, 404, 1), (20.0, 200, 0), (17.0, 503, 0)],
    )
    def test_version(self, since, status, wrong):
        """Guards against a VM that never takes a version and responds 503."""
        checker = soak_lateness.LatenessChecker(soak_notices.FeedbackChecker())
        checker.record_version(5, 10.0)
        for number in range(16):
            sent = since + 0.2 * number
            checker.record_probe(soak_lateness.Probe("v", 5, sent, status))
        assert len(checker.never_taken(20.0)) == wrong


class TestLeavings:
    """Requests for a target that registered as leaving at 10 s."""

    @pytest.mark.parametrize(
        ("at", "disturbed", "late"),
        [(9.0, None, 0.0), (11.5, None, 1.5), (12.2, None, 2.2), (12, 11, 0.0)],
    )
    def test_last_request(self, at, disturbed, late):
        """The report gives the last one of an undisturbed VM."""
        feedback = soak_notices.FeedbackChecker()
        feedback.arrivals.append(platform_target.Arrival("a1", "t", 1, at))
        feedback.record_request("a1", "v", at)
        feedback.record_leaving(_Target(), 10.0)
        if disturbed is not None:
            feedback.record_vm_fault("v", disturbed)
        report = soak_lateness.LatenessChecker(feedback).report()
        assert report.leaving == pytest.approx(late)
        assert report.leaving_margin == pytest.approx(2.0 - late)
