"""The soak measures from outside how late a change is in force."""

import pytest

from mimosastile_standins import platform_target
from mimosastile_standins import soak_lateness
from mimosastile_standins import soak_notices


class _Target:
    """A target's run."""

    id, born = "t", 1


class TestVersions:
    """Probes of a route that version 5, acknowledged at 10 s, has added."""

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
        """Guards against a VM in touch that goes by an old version."""
        notices = soak_notices.Notices()
        if disturbed is not None:
            notices.disturb("v", disturbed)
        made = soak_lateness.Lag(notices)
        made.written(5, 10.0)
        made.probed(soak_lateness.Probe("v", 5, sent, status))
        assert len(made.wrong()) == wrong
        assert made.report().configuration == pytest.approx(late)
        assert made.report().configuration_margin == pytest.approx(2.0 - late)

    def test_harmed_links(self):
        """Nobody is late while links to the store are harmed."""
        notices = soak_notices.Notices()
        notices.trouble(8.0, 9.0)
        made = soak_lateness.Lag(notices)
        made.written(5, 10.0)
        made.probed(soak_lateness.Probe("v", 5, 12.5, 404))
        assert made.wrong() == []


class TestLeavings:
    """Requests for a target that registered its leaving at 10 s."""

    @pytest.mark.parametrize(
        ("at", "disturbed", "late"),
        [(9.0, None, 0.0), (11.5, None, 1.5), (12.2, None, 2.2), (12, 11, 0.0)],
    )
    def test_last_request(self, at, disturbed, late):
        """The report names the last one of a VM in touch."""
        notices = soak_notices.Notices()
        notices.arrivals.append(platform_target.Arrival("a1", "t", 1, at))
        notices.sent("a1", "v", at)
        notices.registered(_Target(), 10.0)
        if disturbed is not None:
            notices.disturb("v", disturbed)
        report = soak_lateness.Lag(notices).report()
        assert report.leaving == pytest.approx(late)
        assert report.leaving_margin == pytest.approx(2.0 - late)
