"""Tests of the HTTP servers."""

import asyncio
import contextlib
import socket

import pytest

from mimosastile_core import lingering
from mimosastile_entry import serving
from tests import senders


async def _no_app(scope, receive, send):
    del scope, receive, send


class TestSmallResponses:
    """Head and body of a response are sent in two writes.

    Without TCP_NODELAY the second write waits for the acknowledgement of the
    first, which added 40 ms to every request.
    """

    def test_accepted_connections_use_tcp_nodelay(self):
        """TCP_NODELAY is set on accepted connections."""

        async def scenario():
            listener = await serving.listen(_no_app, "127.0.0.1", 0, 1.0)
            _, writer = await asyncio.open_connection(
                "127.0.0.1", listener.port
            )
            state = listener._state
            while not state.connections:
                await asyncio.sleep(0)
            (accepted,) = state.connections
            accepted_socket = accepted.transport.get_extra_info("socket")
            option = accepted_socket.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY
            )
            writer.close()
            await listener.stop()
            return option

        assert asyncio.run(scenario()) != 0


_CHUNKED = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


async def _reads_body(scope, receive, send):
    """Responds with the number of headers once the body has arrived."""
    while (await receive()).get("more_body"):
        pass
    body = b"%d" % len(scope["headers"])
    headers = [(b"content-length", b"%d" % len(body))]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})


class TestEndlessInput:
    """Input that never becomes a whole head, chunk or request."""

    @pytest.mark.parametrize(
        ("first", "repeated", "status"),
        [
            (b"GET / HTTP/1.1\r\nX: ", b"y", b"431"),
            (_CHUNKED + b"0\r\n", b"x: y\r\n", b""),
            (_CHUNKED + b"0\r\nX: ", b"y", b""),
            (_CHUNKED + b"1;", b"y", b""),
            (b"", b"\r\n", b""),
        ],
    )
    def test_ends(self, first, repeated, status):
        """Guards against trailers that are buffered forever.

        Their request is being served already, so no second response is due.
        """

        async def scenario():
            listener = await serving.listen(
                _reads_body, "127.0.0.1", 0, 1.0, head_bytes=400
            )
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", listener.port
            )
            received = b""
            with contextlib.suppress(ConnectionError):
                writer.write(first)
                for _ in range(100):
                    writer.write(1000 * repeated)
                    await writer.drain()
                received = await reader.read()
            assert received[9:12] in (status, b"")
            assert not listener.in_flight
            writer.transport.abort()
            await listener.stop()

        asyncio.run(asyncio.wait_for(scenario(), 20))

    def test_trailers(self):
        """A request with trailers is served without them."""

        async def scenario():
            listener = await serving.listen(_reads_body, "127.0.0.1", 0, 1.0)
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", listener.port
            )
            writer.write(_CHUNKED + b"1\r\na\r\n0\r\nX: y\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            assert await reader.readexactly(1) == b"2"
            writer.close()
            await listener.stop()

        asyncio.run(scenario())


def _whole_response(size):
    """Returns an application that responds with a body of some bytes."""

    async def app(scope, receive, send):
        await asyncio.sleep(0.1)
        headers = [(b"content-length", b"%d" % size)]
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": b"x" * size})

    return app


class TestClosing:
    """The last response on a connection, to a caller that sends ahead."""

    @pytest.mark.parametrize("stops", [False, True], ids=["close", "stop"])
    def test_whole_response(self, stops):
        """Guards against a response that is lost in a connection reset."""
        size = 4 << 20

        async def scenario():
            listener = await serving.listen(
                _whole_response(size), "127.0.0.1", 0, 5.0
            )
            stopping = []

            def stop():
                if stops:
                    stopping.append(asyncio.create_task(listener.stop()))

            option = b"" if stops else b"Connection: close\r\n"
            received = await senders.count_while_sending(
                ("127.0.0.1", listener.port),
                b"GET / HTTP/1.1\r\nHost: h\r\n" + option + b"\r\n",
                b"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                stop,
            )
            await asyncio.gather(*stopping)
            await listener.stop()
            assert received >= size

        asyncio.run(asyncio.wait_for(scenario(), 20))


class TestSlowCaller:
    """A caller that reads without a break over a slow link."""

    @pytest.mark.parametrize("size", [300_000, 6_000_000], ids=["end", "stall"])
    def test_whole_response(self, monkeypatch, size):
        """Guards against callers cut off while the kernel holds a response."""
        monkeypatch.setattr(lingering, "_LINGER_SECONDS", 0.2)

        async def scenario():
            listener = await serving.listen(
                _whole_response(size),
                "127.0.0.1",
                0,
                5.0,
                stall_seconds=0.5,
            )
            received = await senders.count_while_sending(
                ("127.0.0.1", listener.port),
                b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
                b"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                lambda: None,
                pause=0.1 if size < 1_000_000 else 0.01,
            )
            await listener.stop()
            assert received == size

        asyncio.run(asyncio.wait_for(scenario(), 20))


class TestWaitingHeads:
    """Heads of requests that are not served yet."""

    @pytest.mark.parametrize("behind", [False, True])
    def test_oldest_gives_way(self, behind):
        """Guards against heads that many connections hold without an end."""

        async def scenario():
            released = asyncio.Event()

            async def waits(scope, receive, send):
                await released.wait()
                await _reads_body(scope, receive, send)

            listener = await serving.listen(
                waits, "127.0.0.1", 0, 1.0, waiting_head_bytes=250 * 160
            )
            head = b"GET / HTTP/1.1\r\n" + b"x: y\r\n" * 100
            first = b"GET / HTTP/1.1\r\n\r\n" if behind else b""
            rest = b"\r\n" if behind else b""
            connections = []
            for _ in range(3):
                connections.append(
                    await asyncio.open_connection("127.0.0.1", listener.port)
                )
                connections[-1][1].write(first + head + rest)
                await asyncio.sleep(0.05)
            refusal = await connections[0][0].read()
            assert refusal[9:12] == (b"" if behind else b"503")
            assert (b"retry-after: 1" in refusal) is not behind
            released.set()
            if not behind:
                connections[1][1].write(b"\r\n")
            line = await connections[1][0].readline()
            assert line.startswith(b"HTTP/1.1 200")
            for _, writer in connections:
                writer.transport.abort()
            await listener.stop()

        asyncio.run(asyncio.wait_for(scenario(), 20))


class TestConnectionLimit:
    """More connections than a listener keeps open."""

    def test_idle_gives_way(self):
        """Guards against callers shut out by connections that do nothing.

        A request in progress is never cut off for a new connection.
        """

        async def scenario():
            released = asyncio.Event()
            received = asyncio.Event()

            async def waits(scope, receive, send):
                if scope["path"] == "/slow":
                    received.set()
                    await released.wait()
                await _reads_body(scope, receive, send)

            listener = await serving.listen(
                waits, "127.0.0.1", 0, 1.0, most_connections=2
            )

            def connect():
                return asyncio.open_connection("127.0.0.1", listener.port)

            slow_reader, slow = await connect()
            slow.write(b"GET /slow HTTP/1.1\r\n\r\n")
            await received.wait()
            silent_reader, silent = await connect()
            writers = [slow, silent]
            for _ in range(3):
                reader, writer = await connect()
                writer.write(b"GET / HTTP/1.1\r\n\r\n")
                line = await reader.readline()
                assert line.startswith(b"HTTP/1.1 200")
                writers.append(writer)
            with contextlib.suppress(ConnectionError):
                assert await silent_reader.read() == b""
            released.set()
            line = await slow_reader.readline()
            assert line.startswith(b"HTTP/1.1 200")
            for writer in writers:
                writer.transport.abort()
            await listener.stop()

        asyncio.run(asyncio.wait_for(scenario(), 20))
