"""Tests of the middleware that repeats the identifier of a send."""

import asyncio

import pytest

from mimosastile_entry import _identified

_NAME = b"x-mimosastile-send-id"


async def _refuse(scope, receive, send):
    del scope, receive
    await send({"type": "http.response.start", "status": 503})
    await send({"type": "http.response.body", "body": b"busy"})


class TestIdentified:
    """Responses to other VMs."""

    @pytest.mark.parametrize(
        ("sent", "repeated"),
        [
            ([(_NAME, b"7")], [(_NAME, b"7")]),
            ([(b"host", b"h"), (_NAME, b"7")], [(_NAME, b"7")]),
            ([(b"host", b"h")], []),
            ([(_NAME, b"7"), (_NAME, b"8")], []),
        ],
    )
    def test_repeats_a_single_identifier(self, sent, repeated):
        """Guards against refusals that another VM can't match."""
        messages = []

        async def send(message):
            messages.append(message)

        app = _identified.Identified(_refuse)
        asyncio.run(app({"headers": sent}, None, send))
        assert list(messages[0].get("headers", ())) == repeated
        assert messages[1]["body"] == b"busy"
