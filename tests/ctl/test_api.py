"""Tests of the command line's client over real sockets."""

import asyncio

import msgspec
import pytest

from mimosastile_core import config
from mimosastile_ctl import _api
from mimosastile_ctl import _session
from mimosastile_standins import demo


class TestCalls:
    """Views, refusals and addresses where nobody listens."""

    def test_each_outcome(self):
        """Every failure has a kind, and the kind an exit code."""

        async def story():
            async with demo.running() as made:
                first = next(iter(made.daemons.values()))
                port = first.find("listeners").ports["peers"]
                at = f"http://{demo.HOST}:{port}"
                good = _api.Api(at + "/", demo.OPERATOR)
                seen = await good._call("GET", "/v1/config", b"")
                for path in ("/v1/tables/none", "/nothing"):
                    refused = await good._call("GET", path, b"")
                    assert refused.is_err(), path
                wrong = _api.Api(at, "wrong")
                refused = await wrong._call("GET", "/v1/config", b"")
            gone = await good._call("GET", "/v1/config", b"")
            return seen.unwrap(), refused.unwrap_err(), gone.unwrap_err()

        seen, refused, gone = asyncio.run(story())
        version = msgspec.json.decode(seen, type=config.Version)
        assert version.number == 1
        assert _session.exit_code(refused) == _session.EXIT_FORBIDDEN
        assert gone.refused.error == "unreachable"
        assert _session.exit_code(gone) == _session.EXIT_FAILED

    @pytest.mark.parametrize("text", [None, "no certificate"])
    def test_authority_that_cannot_be_read(self, tmp_path, text):
        """Nothing is sent without the check that was asked for."""
        file = tmp_path / "authority.pem"
        if text is not None:
            file.write_text(text)
        api = _api.Api("https://127.0.0.1:1", "token", str(file))
        refused = asyncio.run(api._call("GET", "/v1/config", b""))
        assert refused.unwrap_err().refused.error == "bad_request"
        assert str(file) in refused.unwrap_err().refused.message
