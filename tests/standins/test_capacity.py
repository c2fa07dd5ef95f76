"""Tests of the page on capacity."""

import pathlib

from mimosastile_standins import capacity

ROOT = pathlib.Path(__file__).parent.parent.parent


class TestPage:
    """The committed page."""

    def test_says_what_the_committed_results_say(self):
        """`make capacity` mends a difference."""
        made = capacity.page(capacity.Results(ROOT / "measurements"))
        committed = (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")
        assert committed == made

    def test_every_slope_has_four_sizes(self):
        """Fewer points are no slope."""
        results = capacity.Results(ROOT / "measurements")
        assert all(len(s.points) >= 4 for s in results.slopes)
