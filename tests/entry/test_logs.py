"""Tests of the log formats."""

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
    """Each line is one JSON object."""

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
        """Programs can read the component without parsing the message."""
        line = _logs.JsonFormatter().format(_record(text, *values))
        assert "\n" not in line
        read = json.loads(line)
        assert (read["part"], read["message"]) == (part, message)
        assert read["level"] == "warning"
        assert read["time"].endswith("+00:00")

    def test_traceback_stays_in_its_line(self):
        """A traceback does not split a record over several lines."""
        try:
            raise ValueError("broken")
        except ValueError:
            record = _record("x: y", error=sys.exc_info())
        line = _logs.JsonFormatter().format(record)
        assert "\n" not in line
        assert "ValueError: broken" in json.loads(line)["error"]


class TestRequestId:
    """Lines that are logged for a request carry its identifier."""

    def test_in_both_formats(self):
        """One search over the logs of all VMs finds a request."""

        async def serve(request_id):
            _logs.REQUEST_ID.set(request_id)
            await asyncio.sleep(0)
            record = _record("callers: an answer broke off.")
            return (
                _logs.TextFormatter().format(record),
                json.loads(_logs.JsonFormatter().format(record)),
            )

        async def scenario():
            return await asyncio.gather(
                *(asyncio.create_task(serve(i)) for i in ("r1", "r2"))
            )

        for (text, line), request_id in zip(
            asyncio.run(scenario()), ("r1", "r2"), strict=True
        ):
            assert text.endswith(f"broke off. [{request_id}]")
            assert line["request_id"] == request_id

    def test_router_sets_it(self):
        """The router sets the identifier for all later lines of a request."""

        async def scenario():
            api = await administered.start()
            request = ports.Request(
                "GET", "/desk/k", request_id="r9", deadline=virtual.now() + 5
            )
            await api.world.daemons["e0"].find("router").handle(request)
            return _logs.REQUEST_ID.get()

        assert virtual.run(scenario()) == "r9"

    def test_no_request_no_suffix(self):
        """Lines outside of a request have no suffix."""
        line = _logs.TextFormatter().format(_record("daemon: is up."))
        assert line.endswith("daemon: is up.")
