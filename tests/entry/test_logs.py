"""Tests of the log's formats."""

import json
import logging
import sys

import pytest

from mimosastile_entry import _logs


def _record(text, *values, error=None):
    return logging.LogRecord(
        "absl", logging.WARNING, "f.py", 1, text, values, error
    )


class TestJson:
    """One JSON object a line."""

    @pytest.mark.parametrize(
        ("text", "values", "part", "message"),
        [
            ("%s %s is up.", ("daemon:", "e0"), "daemon", "e0 is up."),
            ("no part here", (), "", "no part here"),
            ("inbox: two\nlines", (), "inbox", "two\nlines"),
            ("http://x is no part", (), "", "http://x is no part"),
        ],
    )
    def test_part_is_a_field(self, text, values, part, message):
        """Programs need not cut the sentence."""
        line = _logs.JsonFormatter().format(_record(text, *values))
        assert "\n" not in line
        read = json.loads(line)
        assert (read["part"], read["message"]) == (part, message)
        assert read["level"] == "warning"
        assert read["time"].endswith("+00:00")

    def test_traceback_stays_in_its_line(self):
        """A failure is one record, not many."""
        try:
            raise ValueError("broken")
        except ValueError:
            record = _record("x: y", error=sys.exc_info())
        line = _logs.JsonFormatter().format(record)
        assert "\n" not in line
        assert "ValueError: broken" in json.loads(line)["error"]
