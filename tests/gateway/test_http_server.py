"""Requests of callers, well formed and not."""

import asyncio

import hypothesis
from hypothesis import strategies as st
import pytest

from mimosastile_core.gateway import routes
from mimosastile_gateway import http_server

LIMITS = routes.CallerLimits(
    header_bytes=400, body_bytes=50, header_seconds=0.1, idle_seconds=0.3
)


class _Handler:
    """Echoes a request, slowly if told so."""

    def __init__(self):
        self.seen = []
        self.seconds = 0.0
        self.cancelled = 0
        self.rest = None

    async def __call__(self, incoming):
        """Answers."""
        self.seen.append(incoming)
        try:
            await asyncio.sleep(self.seconds)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        text = incoming.method.encode() + b" " + incoming.body
        rest = self.rest() if self.rest else None
        return http_server.Outgoing(200, ((b"x-a", b"b"),), text, rest)


def _play(scenario, limits=LIMITS):
    async def main():
        handler = _Handler()
        server = http_server.Server(handler, limits)
        address = await server.listen("127.0.0.1:0")
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            async with asyncio.timeout(10):
                await scenario(server, handler, reader, writer)
        finally:
            writer.close()
            server.stop_listening()
            server.abort()
            await asyncio.sleep(0)

    asyncio.run(main())


async def _all(reader):
    try:
        return await reader.read()
    except ConnectionError:
        return b""


def _get(path=b"/", extra=b""):
    return b"GET " + path + b" HTTP/1.1\r\nHost: h\r\n" + extra + b"\r\n"


class TestRequests:
    """What is served."""

    @pytest.mark.parametrize(
        ("raw", "expected"),
        [
            (_get(), b"GET "),
            (
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
                b"POST abc",
            ),
            (
                b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                b"\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
                b"POST abc",
            ),
        ],
    )
    def test_framings(self, raw, expected):
        """Bodies with a length, in chunks, and none."""

        async def scenario(server, handler, reader, writer):
            writer.write(raw)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 OK\r\n")
            assert b"x-a: b\r\n" in head
            assert await reader.readexactly(len(expected)) == expected

        _play(scenario)

    def test_pipelined(self):
        """Requests sent without waiting are answered in their order."""

        async def scenario(server, handler, reader, writer):
            handler.seconds = 0.01
            writer.write(_get(b"/1") + _get(b"/2") + _get(b"/3"))
            for _ in range(3):
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(4)
            assert [i.target for i in handler.seen] == [b"/1", b"/2", b"/3"]

        _play(scenario)

    @pytest.mark.parametrize(
        ("raw", "status"),
        [
            (b"nonsense\r\n\r\n", b"400"),
            (_get(extra=b"X: " + b"y" * 500 + b"\r\n"), b"431"),
            (
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n",
                b"413",
            ),
            # Two lengths: another reader could see a second request inside.
            (
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x",
                b"400",
            ),
        ],
    )
    def test_refused(self, raw, status):
        """What cannot be read is refused and its connection ended."""

        async def scenario(server, handler, reader, writer):
            writer.write(raw)
            answer = await _all(reader)
            assert answer.startswith(b"HTTP/1.1 " + status)
            assert b"Connection: close" in answer
            assert handler.seen == []

        _play(scenario)

    def test_slow_head(self):
        """A head that does not come in time is answered 408."""

        async def scenario(server, handler, reader, writer):
            writer.write(b"GET / HTTP/1.1\r\nHo")
            assert (await _all(reader)).startswith(b"HTTP/1.1 408")

        _play(scenario)

    def test_idle_connection_ends(self):
        """A connection that rests too long is ended without an answer."""

        async def scenario(server, handler, reader, writer):
            writer.write(_get())
            await reader.readuntil(b"GET ")
            assert await _all(reader) == b""

        _play(scenario)

    @hypothesis.given(raw=st.binary(max_size=200))
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
    def test_any_bytes(self, raw):
        """Whatever comes, the server serves the next caller."""

        async def scenario(server, handler, reader, writer):
            writer.write(raw)
            writer.write_eof()
            await _all(reader)
            assert server.connections == 0

        _play(scenario)


class TestLeaving:
    """Callers that leave, and a server that stops."""

    @pytest.mark.parametrize(
        ("cancellable", "expected"), [(True, 1), (False, 0)]
    )
    def test_caller_leaves(self, cancellable, expected):
        """Work for a caller who has left is given up, unless it must not be."""

        async def scenario(server, handler, reader, writer):
            handler.seconds = 0.2
            writer.write(_get())
            while not handler.seen:
                await asyncio.sleep(0.005)
            handler.seen[0].cancellable = cancellable
            writer.transport.abort()
            await asyncio.sleep(0.1)
            assert handler.cancelled == expected

        _play(scenario)

    def test_broken_stream_does_not_look_whole(self):
        """A large answer breaks off at its target.

        Its caller must not take what came for all of it.
        """

        async def rest():
            yield b"more"
            raise RuntimeError("broke off")

        async def scenario(server, handler, reader, writer):
            handler.rest = rest
            writer.write(_get())
            answer = await _all(reader)
            assert b"chunked" in answer
            assert b"more" in answer
            assert not answer.endswith(b"0\r\n\r\n")

        _play(scenario)

    def test_stream_to_its_end(self):
        """A large answer is passed on as it comes."""

        async def rest():
            yield b"more"

        async def scenario(server, handler, reader, writer):
            handler.rest = rest
            writer.write(_get())
            answer = await reader.readuntil(b"0\r\n\r\n")
            assert b"4\r\nGET \r\n4\r\nmore\r\n0\r\n\r\n" in answer

        _play(scenario)

    def test_stopping(self):
        """A server that stops answers what it has and ends connections."""

        async def scenario(server, handler, reader, writer):
            handler.seconds = 0.05
            writer.write(_get())
            while not handler.seen:
                await asyncio.sleep(0.005)
            server.stopping = True
            server.stop_listening()
            server.close_idle()
            assert server.busy
            answer = await _all(reader)
            assert answer.startswith(b"HTTP/1.1 200")
            assert b"Connection: close" in answer

        _play(scenario)
