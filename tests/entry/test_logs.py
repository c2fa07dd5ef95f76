"""Tests of the log's formats."""

import asyncio
import json
import logging
import sys

import administered
import pytest

from mimosastile_entry import _logs
from mimosastile_entry import ports
from mimosastile_standins import virtual


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


class TestRequestId:
    """Lines written while a request is served name it."""

    def test_in_both_formats(self):
        """A support case is one search over all VMs' logs."""

        async def serve(request_id):
            _logs.REQUEST_ID.set(request_id)
            await asyncio.sleep(0)
            record = _record("callers: an answer broke off.")
            return (
                _logs.TextFormatter().format(record),
                json.loads(_logs.JsonFormatter().format(record)),
            )

        async def story():
            return await asyncio.gather(
                *(asyncio.create_task(serve(i)) for i in ("r1", "r2"))
            )

        for (text, line), request_id in zip(
            asyncio.run(story()), ("r1", "r2"), strict=True
        ):
            assert text.endswith(f"broke off. [{request_id}]")
            assert line["request_id"] == request_id

    def test_router_sets_it(self):
        """Whatever the daemon then logs for the request carries it."""

        async def story():
            api = await administered.start()
            request = ports.Request(
                "GET", "/desk/k", request_id="r9", deadline=virtual.now() + 5
            )
            await api.world.daemons["e0"].find("router").handle(request)
            return _logs.REQUEST_ID.get()

        assert virtual.run(story()) == "r9"

    def test_no_request_no_suffix(self):
        """Lines of the daemon itself stay as they are."""
        line = _logs.TextFormatter().format(_record("daemon: is up."))
        assert line.endswith("daemon: is up.")
