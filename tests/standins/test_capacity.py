"""Tests of the capacity page."""

import pathlib

from mimosastile_standins import capacity

ROOT = pathlib.Path(__file__).parent.parent.parent


class TestPage:
    """The committed capacity page."""

    def test_matches_the_committed_results(self):
        """`make capacity` regenerates the page from changed results."""
        generated = capacity.page(capacity.Results(ROOT / "measurements"))
        committed = (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")
        assert committed == generated

    def test_every_slope_has_four_sizes(self):
        """Fewer points do not support a fitted slope."""
        results = capacity.Results(ROOT / "measurements")
        assert all(len(s.points) >= 4 for s in results.slopes)
