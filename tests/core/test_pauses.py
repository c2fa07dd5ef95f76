"""Tests of the detection of pauses of the process."""

import pytest

from mimosastile_core import pauses


class TestPause:
    """A VM is stopped for some time and continues without any signal.

    Its tables are out of date by then. A keeper that acted on them would send
    its targets grants that were correct a minute ago.
    """

    @pytest.mark.parametrize(("gap", "is_open"), [(0.5, True), (0.6, False)])
    def test_jump_of_the_clock_closes(self, gap, is_open):
        """A gap up to the limit is load, not a pause."""
        guard = pauses.PauseGuard(0.5, 10.0)
        assert guard.is_open(10.0 + gap) is is_open

    def test_only_a_read_started_after_the_jump_opens(self):
        """A read that started before the pause may be as old."""
        guard = pauses.PauseGuard(0.5, 10.0)
        assert not guard.is_open(20.0)
        guard.tables_read(10.1)
        assert not guard.is_open(20.1)
        guard.tables_read(20.1)
        assert guard.is_open(20.2)
