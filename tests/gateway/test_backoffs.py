"""Times for which targets want nothing."""

import pytest

from mimosastile_core.gateway import backoffs


class TestRests:
    """One VM's view."""

    @pytest.mark.parametrize(
        ("asked", "now", "left"),
        [
            ([], 1.0, 0.0),
            ([(0.0, 2.5)], 1.0, 1.5),
            ([(0.0, 2.5)], 2.5, 0.0),
            ([(0.0, 2.5), (1.0, 0.5)], 1.0, 1.5),
            ([(0.0, 2.5), (1.0, 4.0)], 2.0, 3.0),
            ([(0.0, 2.5), (3.0, 1.0)], 3.5, 0.5),
        ],
    )
    def test_longest_word_counts(self, asked, now, left):
        """Guards against a rest that an answer from before it cuts short."""
        made = backoffs.Backoffs()
        for at, seconds in asked:
            made.ask("t", 1, seconds, at)
        assert made.left("t", 1, now) == left

    def test_next_run(self):
        """Guards against the rest of a run that is over."""
        made = backoffs.Backoffs()
        made.ask("t", 1, 7200.0, 0.0)
        assert made.left("t", 2, 1.0) == 0.0
        made.ask("t", 2, 1.0, 1.0)
        assert made.left("t", 2, 1.5) == 0.5

    def test_reported(self):
        """Guards against moves of keys for a short rest."""
        made = backoffs.Backoffs()
        made.ask("short", 1, 1.5, 0.0)
        made.ask("long", 1, 4.0, 0.0)
        assert made.long(0.5) == {"long": 3.5}
        assert made.long(3.6) == {}
