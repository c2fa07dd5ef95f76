"""Tests of the assembled daemon."""

from absl import logging

from mimosastile_entry import daemon
from mimosastile_entry import kernel


class TestDumpBySignal:
    """The state dump is available when no port responds."""

    def test_is_one_line_of_the_log(self, monkeypatch):
        """The handler of SIGUSR1 logs the dump as a single line."""
        lines = []
        monkeypatch.setattr(
            logging, "info", lambda text, *args: lines.append(text % args)
        )
        daemon.log_dump(kernel.Kernel())
        assert lines == ["daemon: state: {}"]
