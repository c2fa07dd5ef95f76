"""Tests of the soak with copied and crossed responses."""

import asyncio

import pytest

from mimosastile_standins import soak_copies


class TestRun:
    """Short seeded runs over loopback."""

    @pytest.mark.parametrize(
        "trouble",
        [
            soak_copies.Trouble(copied=0.2),
            soak_copies.Trouble(copied=0.3, crossed=0.5),
            soak_copies.Trouble(copied=0.3, crossed=0.2, shed=0.2),
        ],
        ids=["copied", "crossed", "refusals"],
    )
    def test_each_caller_gets_its_own_answer(self, trouble):
        """Guards against answers that reach another request's caller."""
        report = asyncio.run(soak_copies.run(1, 400, trouble))
        assert report.clean
        assert report.copies and report.unmatched
        assert report.statuses[200] > 200
