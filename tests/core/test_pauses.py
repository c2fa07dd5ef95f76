"""Tests of noticing a pause of the own process."""

import pytest

from mimosastile_core import pauses


class TestPause:
    """A VM is stopped for a while and goes on as if nothing had happened.

    Its tables are old by then. A keeper that spoke from them would order its
    targets what was true a minute ago.
    """

    @pytest.mark.parametrize(("gap", "is_open"), [(0.5, True), (0.6, False)])
    def test_jump_of_the_clock_closes(self, gap, is_open):
        """A gap up to the limit is a busy moment, not a pause."""
        guard = pauses.PauseGuard(0.5, 10.0)
        assert guard.is_open(10.0 + gap) is is_open

    def test_only_a_reading_from_after_the_jump_opens(self):
        """One that was under way during the pause may be as old."""
        guard = pauses.PauseGuard(0.5, 10.0)
        assert not guard.is_open(20.0)
        guard.caught_up(10.1)
        assert not guard.is_open(20.1)
        guard.caught_up(20.1)
        assert guard.is_open(20.2)
