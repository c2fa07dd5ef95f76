"""Tests of the demo's parts: the whole path over HTTP on loopback."""

import asyncio
import json

import aiohttp
import pytest

from mimosastile_standins import demo

CREDENTIAL = {"authorization": f"Bearer {demo.TOKEN}"}
OPERATOR = {"authorization": f"Bearer {demo.OPERATOR}"}


async def _ask(session, url, headers):
    async with session.get(url, headers=headers) as response:
        return response.status, await response.read()


class TestPath:
    """Requests over real sockets, each on a free port."""

    def test_answers_and_refusals(self):
        """A key has one owner on all VMs; refusals have one shape."""

        async def story():
            async with demo.running() as made, aiohttp.ClientSession() as s:
                asked = [
                    await _ask(s, f"{at}/{demo.KEYED}/letters/7", CREDENTIAL)
                    for at in made.addresses()
                ]
                refused = await _ask(
                    s, f"{made.addresses()[0]}/{demo.KEYED}/letters/7", {}
                )
                unknown = await _ask(
                    s, f"{made.addresses()[0]}/nothing", CREDENTIAL
                )
                return asked, refused, unknown

        asked, refused, unknown = asyncio.run(story())
        assert {status for status, _ in asked} == {200}
        assert len({json.loads(body)["target"] for _, body in asked}) == 1
        for (status, body), expected, kind in (
            (refused, 401, "unauthenticated"),
            (unknown, 404, "unknown_service"),
        ):
            assert status == expected
            assert json.loads(body)["error"] == kind
            assert json.loads(body)["ran"] == "no"

    @pytest.mark.parametrize("path", ["/v1/dump", f"/v1/tables/{demo.KEYED}"])
    def test_operators_views(self, path):
        """The inner port shows the state as JSON."""

        async def story():
            async with demo.running() as made, aiohttp.ClientSession() as s:
                first = next(iter(made.daemons.values()))
                port = first.find("listeners").ports["peers"]
                url = f"http://{demo.HOST}:{port}{path}"
                return [
                    await _ask(s, url, headers)
                    for headers in (OPERATOR, CREDENTIAL, {})
                ]

        (status, body), *refused = asyncio.run(story())
        assert status == 200
        assert json.loads(body)
        assert [status for status, _ in refused] == [401, 401]
