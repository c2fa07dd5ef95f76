"""Answers of targets that do not keep to the protocol."""

import asyncio
import socket
import struct

import hypothesis
from hypothesis import strategies as st
import pytest

from mimosastile_gateway import http_client

ECHO = (b"x-id", b"7")
HEAD = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n"
WHOLE = HEAD + b"Content-Length: 2\r\n\r\nok"
OTHER = b"HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 5\r\n\r\nother"


class _Target:
    """Answers each request with the next of some byte strings."""

    def __init__(self, *answers, reset=False, close=False):
        self.answers = list(answers)
        self.reset = reset
        self.close = close
        self.requests = 0
        self.connections = 0
        self.writers = []

    async def serve(self, reader, writer):
        """Serves one connection."""
        self.connections += 1
        self.writers.append(writer)
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                writer.write(self.answers.pop(0) if self.answers else b"")
                await writer.drain()
                if self.reset:
                    await asyncio.sleep(0.02)
                    # Without this the other end sees an ordinary end.
                    writer.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        struct.pack("ii", 1, 0),
                    )
                    writer.transport.abort()
                    return
                if self.close:
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def _play(target, scenario):
    async def main():
        server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        pool = http_client.Pool(2.0)
        try:
            async with asyncio.timeout(10):
                return await scenario(pool, f"{host}:{port}")
        finally:
            pool.close()
            for writer in target.writers:
                writer.close()
            server.close()
            await asyncio.sleep(0)

    return asyncio.run(main())


async def _ask(pool, address):
    """Returns status, body and whether the connection is used again."""
    connection = await pool.connect(address, 5.0, 1.0)
    reply = connection.start(http_client.request("h", "GET", "/x"), ECHO)
    try:
        async with asyncio.timeout(0.3):
            await connection.wait_whole(reply, 1 << 20)
    except (http_client.AnswerLostError, TimeoutError):
        connection.abort()
        raise
    usable = connection.reusable
    pool.give_back(connection, address)
    return reply.status, reply.take(), usable


class TestWhole:
    """Which answers are whole."""

    @pytest.mark.parametrize(
        ("answer", "body"),
        [
            (WHOLE, b"ok"),
            (
                HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
                b"1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
                b"ok",
            ),
            (b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE, b"ok"),
            (HEAD + b"Content-Length: 0\r\n\r\n", b""),
            # A late answer to an earlier request comes first.
            (OTHER + WHOLE, b"ok"),
        ],
    )
    def test_taken(self, answer, body):
        """Answers in every framing, and what may stand before them."""
        found = _play(_Target(answer), _ask)
        assert found[:2] == (200, body)

    def test_without_length_ends_with_its_connection(self):
        """An answer without length is whole when its sender closes."""
        target = _Target(HEAD + b"\r\nall of it", close=True)
        assert _play(target, _ask) == (200, b"all of it", False)

    @pytest.mark.parametrize(
        ("answer", "reset", "close"),
        [
            # A reset is no end: the caller would take half a bundle for all.
            (HEAD + b"\r\nhalf of", True, False),
            (HEAD + b"Content-Length: 9\r\n\r\nhalf", False, True),
            (HEAD + b"Content-Length: 9\r\n\r\nhalf", True, False),
            (
                HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                False,
                True,
            ),
            (HEAD[:12], False, True),
            (b"", False, True),
            (b"no answer at all\r\n\r\n", False, False),
            (OTHER, False, True),
        ],
    )
    def test_broken(self, answer, reset, close):
        """What breaks off is never taken for a whole answer."""
        with pytest.raises(http_client.AnswerLostError):
            _play(_Target(answer, reset=reset, close=close), _ask)

    def test_answer_of_another_request_only(self):
        """Only another request's answer comes; it is not passed on."""
        with pytest.raises((TimeoutError, http_client.AnswerLostError)):
            _play(_Target(OTHER), _ask)

    @hypothesis.given(junk=st.binary(max_size=120))
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
    def test_any_bytes(self, junk):
        """Whatever a target sends, it is an answer, or lost, or late."""
        try:
            status, _, _ = _play(_Target(junk, close=True), _ask)
        except (http_client.AnswerLostError, TimeoutError):
            return
        assert junk.startswith(b"HTTP/1.")
        assert status >= 200


class TestReuse:
    """Which connections serve another request."""

    def test_kept(self):
        """A connection whose answer was whole is used again."""
        target = _Target(WHOLE, WHOLE)

        async def scenario(pool, address):
            assert await _ask(pool, address) == (200, b"ok", True)
            assert await _ask(pool, address) == (200, b"ok", True)

        _play(target, scenario)
        assert target.connections == 1

    @pytest.mark.parametrize(
        "answer",
        [
            HEAD + b"Connection: close\r\nContent-Length: 2\r\n\r\nok",
            # A second answer follows: nobody knows what it answers.
            WHOLE + OTHER,
            WHOLE + b"\x00\x01garbage",
            HEAD + b"Keep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
        ],
    )
    def test_not_kept(self, answer):
        """A connection that cannot be trusted serves nothing more."""
        target = _Target(answer, WHOLE)

        async def scenario(pool, address):
            status, body, _ = await _ask(pool, address)
            assert (status, body) == (200, b"ok")
            await asyncio.sleep(0.02)
            assert (await _ask(pool, address))[:2] == (200, b"ok")

        _play(target, scenario)
        assert target.connections == 2

    def test_bytes_while_idle(self):
        """A second answer arrives late, between two requests.

        Taken for the answer to the next one it would give a caller somebody
        else's letter.
        """
        target = _Target(WHOLE, WHOLE)

        async def scenario(pool, address):
            await _ask(pool, address)
            target.writers[0].write(OTHER)
            await asyncio.sleep(0.02)
            assert (await _ask(pool, address))[:2] == (200, b"ok")

        _play(target, scenario)
        assert target.connections == 2

    def test_rested_too_long(self):
        """A target forgets idle connections; careful requests avoid them."""
        target = _Target(WHOLE, WHOLE)

        async def scenario(pool, address):
            await _ask(pool, address)
            connection = await pool.connect(address, 0.0, 1.0)
            assert connection.rested(asyncio.get_running_loop().time()) >= 0
            connection.close()

        _play(target, scenario)
        assert target.connections == 2

    def test_never_sent_twice(self):
        """A kept connection dies under a request.

        A client library that sent it again by itself would print a letter
        twice.
        """
        target = _Target(WHOLE)

        async def scenario(pool, address):
            await _ask(pool, address)
            target.reset = True
            with pytest.raises(http_client.AnswerLostError):
                await _ask(pool, address)

        _play(target, scenario)
        assert target.requests == 2

    def test_nobody_listens(self):
        """A refused connection says that nothing was sent."""

        async def scenario(pool, _):
            with pytest.raises(http_client.NotSentError):
                await pool.connect("127.0.0.1:1", 1.0, 1.0)

        _play(_Target(), scenario)
