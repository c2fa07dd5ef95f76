"""Tests of the HTTP client: nothing is sent twice, nobody is followed."""

import asyncio

import pytest
import rig

from mimosastile_core import errors


class TestDroppedConnection:
    """A server reads a request and drops the connection without an answer.

    The client library would send idempotent methods again by itself. The
    request then runs twice, though the operators may have said that it must
    not, and a letter is printed twice.
    """

    @pytest.mark.parametrize("method", ["GET", "HEAD", "PUT", "DELETE", "POST"])
    def test_request_is_sent_once(self, method):
        """On a connection of the pool, where the library resends."""

        async def story():
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

        second, peer = asyncio.run(story())
        assert peer.connections == 1
        assert len(peer.requests) == 2
        assert second.err().kind is errors.ErrorKind.ANSWER_LOST


class TestRedirect:
    """A target answers with a redirect.

    Followed by the router, the request would run a second time, perhaps on a
    server that does not own its key.
    """

    def test_redirect_is_passed_on(self):
        """The caller decides."""

        async def story():
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

        response, peer = asyncio.run(story())
        assert response.status == 307
        assert dict(response.headers)["location"] == "/s/2"
        assert len(peer.requests) == 1


class TestUnreachable:
    """Nothing listens at the target's address."""

    def test_says_that_nothing_ran(self):
        """No byte can have left."""

        async def story():
            async with rig.raw_server(lambda _: rig.Reply()) as peer:
                port = peer.port
            async with rig.sender(port) as (made, vm):
                return await rig.send(made, vm, "POST", b"letter")

        sent = asyncio.run(story())
        assert sent.err().kind is errors.ErrorKind.UNREACHABLE
        assert sent.err().response.ran is errors.Ran.NO


class TestAddedHeaders:
    """The client library adds headers that the caller did not send."""

    def test_target_gets_the_callers_headers(self):
        """An encoding that the caller cannot read is not asked for."""

        async def story():
            async with (
                rig.raw_server(lambda _: rig.Reply()) as peer,
                rig.sender(peer.port) as (made, vm),
            ):
                await rig.read_body((await rig.send(made, vm)).ok())
                return peer.requests[0].lower()

        head = asyncio.run(story())
        for name in (b"accept-encoding", b"user-agent", b"accept:"):
            assert name not in head
