"""Tests of assembling and watching a daemon."""

from absl import logging

from mimosastile_entry import daemon
from mimosastile_entry import kernel


class TestDumpBySignal:
    """No port answers, and an operator wants to see the state."""

    def test_is_one_line_of_the_log(self, monkeypatch):
        """SIGUSR1 asks for it."""
        lines = []
        monkeypatch.setattr(
            logging, "info", lambda text, *args: lines.append(text % args)
        )
        daemon.log_dump(kernel.Kernel())
        assert lines == ["daemon: state: {}"]
