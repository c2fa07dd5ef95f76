"""Tests of the API client of mimosactl over real sockets."""

import asyncio

import msgspec
import pytest

from mimosastile_core import config
from mimosastile_ctl import _api
from mimosastile_ctl import _session
from mimosastile_standins import demo


class TestCalls:
    """Successful calls, refusals and unreachable addresses."""

    def test_each_outcome(self):
        """Each failure maps to an error kind and an exit code."""

        async def scenario():
            async with demo.running() as deployment:
                first = next(iter(deployment.daemons.values()))
                port = first.find("listeners").ports["peers"]
                address = f"http://{demo.HOST}:{port}"
                client = _api.Api(address + "/", demo.OPERATOR)
                response = await client._call("GET", "/v1/config", b"")
                for path in ("/v1/tables/none", "/nothing"):
                    refused = await client._call("GET", path, b"")
                    assert refused.is_err(), path
                unauthorized = _api.Api(address, "wrong")
                refused = await unauthorized._call("GET", "/v1/config", b"")
            unreachable = await client._call("GET", "/v1/config", b"")
            return (
                response.unwrap(),
                refused.unwrap_err(),
                unreachable.unwrap_err(),
            )

        response, refused, unreachable = asyncio.run(scenario())
        version = msgspec.json.decode(response, type=config.Version)
        assert version.number == 1
        assert _session.exit_code(refused) == _session.EXIT_FORBIDDEN
        assert unreachable.refused.error == "unreachable"
        assert _session.exit_code(unreachable) == _session.EXIT_FAILED

    @pytest.mark.parametrize("text", [None, "no certificate"])
    def test_unreadable_ca_file(self, tmp_path, text):
        """An unreadable CA file fails the call before anything is sent."""
        file = tmp_path / "authority.pem"
        if text is not None:
            file.write_text(text)
        api = _api.Api("https://127.0.0.1:1", "token", str(file))
        refused = asyncio.run(api._call("GET", "/v1/config", b""))
        assert refused.unwrap_err().refused.error == "bad_request"
        assert str(file) in refused.unwrap_err().refused.message
