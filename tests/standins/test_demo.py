"""Tests of the demo: the whole request path over HTTP on loopback."""

import asyncio
import json

import aiohttp
import pytest

from mimosastile_standins import demo

CREDENTIAL = {"authorization": f"Bearer {demo.TOKEN}"}
OPERATOR = {"authorization": f"Bearer {demo.OPERATOR}"}


async def _get(session, url, headers):
    async with session.get(url, headers=headers) as response:
        return response.status, await response.read()


class TestPath:
    """Requests over real sockets, each listener on a free port."""

    def test_responses_and_errors(self):
        """All entry VMs route a key to one target; errors share one format."""

        async def scenario():
            async with (
                demo.running() as deployment,
                aiohttp.ClientSession() as s,
            ):
                accepted = [
                    await _get(s, f"{at}/{demo.KEYED}/letters/7", CREDENTIAL)
                    for at in deployment.addresses()
                ]
                refused = await _get(
                    s, f"{deployment.addresses()[0]}/{demo.KEYED}/letters/7", {}
                )
                unknown = await _get(
                    s, f"{deployment.addresses()[0]}/nothing", CREDENTIAL
                )
                return accepted, refused, unknown

        accepted, refused, unknown = asyncio.run(scenario())
        assert {status for status, _ in accepted} == {200}
        assert len({json.loads(body)["target"] for _, body in accepted}) == 1
        for (status, body), expected, kind in (
            (refused, 401, "unauthenticated"),
            (unknown, 404, "unknown_service"),
        ):
            assert status == expected
            assert json.loads(body)["error"] == kind
            assert json.loads(body)["ran"] == "no"

    @pytest.mark.parametrize("path", ["/v1/dump", f"/v1/tables/{demo.KEYED}"])
    def test_operator_views(self, path):
        """The peer port serves the state as JSON to operators only."""

        async def scenario():
            async with (
                demo.running() as deployment,
                aiohttp.ClientSession() as s,
            ):
                first = next(iter(deployment.daemons.values()))
                port = first.find("listeners").ports["peers"]
                url = f"http://{demo.HOST}:{port}{path}"
                return [
                    await _get(s, url, headers)
                    for headers in (OPERATOR, CREDENTIAL, {})
                ]

        (status, body), *refused = asyncio.run(scenario())
        assert status == 200
        assert json.loads(body)
        assert [status for status, _ in refused] == [401, 401]
