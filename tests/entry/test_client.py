"""Tests of the HTTP client: no automatic retries, redirects or headers."""

import asyncio

import pytest
import rig

from mimosastile_core import errors


class TestDroppedConnection:
    """A server reads a request and closes the connection without a response.

    aiohttp would retry idempotent methods by itself. The request would run
    twice, although its route may be declared not idempotent.
    """

    @pytest.mark.parametrize("method", ["GET", "HEAD", "PUT", "DELETE", "POST"])
    def test_request_is_sent_once(self, method):
        """Sent on a pooled connection, where aiohttp would retry."""

        async def scenario():
            def replies(number):
                return rig.Reply() if number == 0 else rig.Reply(b"", True)

            async with (
                rig.raw_server(replies) as peer,
                rig.sender(peer.port) as (made, vm),
            ):
                first = await rig.send(made, vm)
                assert await rig.read_body(first.ok()) == b"ok"
                second = await rig.send(made, vm, method)
                return second, peer

        second, peer = asyncio.run(scenario())
        assert peer.connections == 1
        assert len(peer.requests) == 2
        assert second.err().kind is errors.ErrorKind.ANSWER_LOST


class TestRedirect:
    """A target responds with a redirect.

    If the router followed it, the request would run a second time, possibly
    on a target that does not own its key.
    """

    def test_redirect_is_returned(self):
        """The caller decides whether to follow it."""

        async def scenario():
            moved = (
                b"HTTP/1.1 307 Moved\r\nlocation: /s/2\r\n"
                b"content-length: 0\r\n\r\n"
            )
            async with (
                rig.raw_server(lambda _: rig.Reply(moved)) as peer,
                rig.sender(peer.port) as (made, vm),
            ):
                sent = await rig.send(made, vm, "POST", b"letter")
                await sent.ok().close()
                return sent.ok(), peer

        response, peer = asyncio.run(scenario())
        assert response.status == 307
        assert dict(response.headers)["location"] == "/s/2"
        assert len(peer.requests) == 1


class TestUnreachable:
    """No server listens at the target's address."""

    def test_reported_as_not_run(self):
        """No byte of the request was sent."""

        async def scenario():
            async with rig.raw_server(lambda _: rig.Reply()) as peer:
                port = peer.port
            async with rig.sender(port) as (made, vm):
                return await rig.send(made, vm, "POST", b"letter")

        sent = asyncio.run(scenario())
        assert sent.err().kind is errors.ErrorKind.UNREACHABLE
        assert sent.err().response.ran is errors.Ran.NO


class TestAddedHeaders:
    """aiohttp would add headers that the caller did not send."""

    def test_target_gets_the_callers_headers(self):
        """The target must not choose an encoding unknown to the caller."""

        async def scenario():
            async with (
                rig.raw_server(lambda _: rig.Reply()) as peer,
                rig.sender(peer.port) as (made, vm),
            ):
                await rig.read_body((await rig.send(made, vm)).ok())
                return peer.requests[0].lower()

        head = asyncio.run(scenario())
        for name in (b"accept-encoding", b"user-agent", b"accept:"):
            assert name not in head
