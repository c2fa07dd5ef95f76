"""HTTP server: valid and invalid requests, disconnects and graceful stop."""

import asyncio
import errno
import itertools

import hypothesis
from hypothesis import strategies as st
import pytest

from mimosastile_core import lingering
from mimosastile_core.gateway import routes
from mimosastile_gateway import http_server
from tests import senders

LIMITS = routes.CallerLimits(
    header_bytes=400, body_bytes=50, header_seconds=0.1, idle_seconds=0.3
)


LIMITS_OF_HEADS = routes.CallerLimits(header_bytes=400, body_bytes=50)


class _Handler:
    """Echoes requests, with a delay if set."""

    def __init__(self):
        self.requests = []
        self.delay = 0.0
        self.cancelled = 0
        self.body_stream = None

    async def __call__(self, incoming):
        """Returns the response to a request."""
        self.requests.append(incoming)
        try:
            await asyncio.sleep(self.delay)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        text = incoming.method.encode() + b" " + incoming.body
        body_stream = self.body_stream() if self.body_stream else None
        return http_server.Response(200, ((b"x-a", b"b"),), text, body_stream)


def _run(scenario, limits=LIMITS):
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


async def _read_all(reader):
    try:
        return await reader.read()
    except ConnectionError:
        return b""


def _get(path=b"/", extra=b""):
    return b"GET " + path + b" HTTP/1.1\r\nHost: h\r\n" + extra + b"\r\n"


async def _count_received(server, writer, stops, first, ahead, pause=0.001):
    """Counts what a caller receives that sends ahead.

    Args:
        server: The server.
        writer: Of another connection to it.
        stops: Whether the server stops when all of `first` was sent.
        first: What is sent at once.
        ahead: What is sent with each piece that is received.
        pause: Seconds between two pieces.
    """

    def stop():
        server.stopping = stops

    address = writer.get_extra_info("peername")
    return await senders.count_while_sending(
        address, first, ahead, stop, pause=pause
    )


class TestRequests:
    """Parsing and rejection of requests."""

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
        """Accepts bodies with a length, chunked bodies and no body."""

        async def scenario(server, handler, reader, writer):
            writer.write(raw)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 OK\r\n")
            assert b"x-a: b\r\n" in head
            assert await reader.readexactly(len(expected)) == expected

        _run(scenario)

    def test_pipelined(self):
        """Pipelined requests are served in their order."""

        async def scenario(server, handler, reader, writer):
            handler.delay = 0.01
            writer.write(_get(b"/1") + _get(b"/2") + _get(b"/3"))
            for _ in range(3):
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(4)
            assert [i.target for i in handler.requests] == [b"/1", b"/2", b"/3"]

        _run(scenario)

    @pytest.mark.parametrize(
        ("raw", "status"),
        [
            (b"nonsense\r\n\r\n", b"400"),
            (_get(extra=b"X: " + b"y" * 500 + b"\r\n"), b"431"),
            (
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n",
                b"413",
            ),
            # Two framings: another parser could find a second request in the
            # body (request smuggling).
            (
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x",
                b"400",
            ),
        ],
    )
    def test_refused(self, raw, status):
        """An invalid request is rejected and its connection closed."""

        async def scenario(server, handler, reader, writer):
            writer.write(raw)
            response = await _read_all(reader)
            assert response.startswith(b"HTTP/1.1 " + status)
            assert b"Connection: close" in response
            assert handler.requests == []

        _run(scenario)

    def test_slow_head(self):
        """A head that is not complete in time is answered with 408."""

        async def scenario(server, handler, reader, writer):
            writer.write(b"GET / HTTP/1.1\r\nHo")
            assert (await _read_all(reader)).startswith(b"HTTP/1.1 408")

        _run(scenario)

    @pytest.mark.parametrize("stalls", [True, False])
    def test_slow_head_behind_a_request(self, stalls):
        """Guards against a pipelined head for which no timer runs.

        The request in service is answered, then the connection ends.
        """

        async def scenario(server, handler, reader, writer):
            server.limits = routes.CallerLimits(
                header_seconds=0.1, idle_seconds=60.0
            )
            handler.delay = 0.3 if stalls else 0.0
            writer.write(_get() + b"GET / HTTP/1.1\r\nHo")
            received = await _read_all(reader)
            assert received.startswith(b"HTTP/1.1 200")
            assert received.count(b"HTTP/1.1 408") == (not stalls)

        _run(scenario)

    def test_idle_connection_ends(self):
        """A connection idle for too long is closed without a response."""

        async def scenario(server, handler, reader, writer):
            writer.write(_get())
            await reader.readuntil(b"GET ")
            assert await _read_all(reader) == b""

        _run(scenario)

    @hypothesis.given(raw=st.binary(max_size=200))
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
    def test_any_bytes(self, raw):
        """Any bytes leave the server without open connections."""

        async def scenario(server, handler, reader, writer):
            writer.write(raw)
            writer.write_eof()
            await _read_all(reader)
            assert server.connections == 0

        _run(scenario)


class TestRefusedBody:
    """A body that is refused before it is read, between other requests."""

    @pytest.mark.parametrize("seconds", [0.0, 0.1])
    def test_requests_behind_it(self, seconds):
        """Guards against requests that run behind a connection's last answer.

        Their answers would be lost, or stand where another one is due.
        """

        async def scenario(server, handler, reader, writer):
            handler.delay = seconds
            requests = (
                [b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"] if seconds else []
            )
            requests += [
                b"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 51\r\n\r\n"
                + b"x" * 51,
                b"POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
            ]
            writer.write(b"".join(requests))
            received = await _read_all(reader)
            await asyncio.sleep(0.2)
            targets = [request.target for request in handler.requests]
            assert targets == ([b"/1"] if seconds else [])
            assert received.count(b"HTTP/1.1 ") == 1
            assert server.held.total == 0

        _run(scenario)


class TestEndlessInput:
    """Input that never becomes a whole head, chunk or request."""

    @pytest.mark.parametrize(
        ("first", "repeated", "status"),
        [
            (b"GET / HTTP/1.1\r\nX: ", b"y", b"431"),
            (b"GET / HTTP/1.1\r\n", b"y", b"431"),
            (
                b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"0\r\nX: ",
                b"y",
                b"431",
            ),
            (
                b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
                b"y",
                b"431",
            ),
            (b"", b"\r\n", b""),
        ],
    )
    def test_ends(self, first, repeated, status):
        """Guards against a name, value or trailer that is buffered forever."""

        async def scenario(server, handler, reader, writer):
            server.limits = routes.CallerLimits(header_bytes=400)
            writer.write(first)
            for _ in range(100):
                writer.write(1000 * repeated)
                await asyncio.sleep(0)
            response = await _read_all(reader)
            assert response.startswith(b"HTTP/1.1 " + status if status else b"")
            assert response.count(b"HTTP/1.1") == bool(status)
            assert handler.requests == []

        _run(scenario)

    def test_refusal_reaches_its_caller(self):
        """Guards against a refusal that is lost in a reset.

        The caller sends on, beyond a head that is over the limit already.
        """

        async def scenario(server, handler, reader, writer):
            server.limits = routes.CallerLimits(header_bytes=400)
            writer.transport.pause_reading()
            writer.write(_get(extra=b"X: " + b"y" * 5000 + b"\r\nZ: ")[:-2])
            for _ in range(50):
                writer.write(b"z" * 10_000)
                await writer.drain()
                await asyncio.sleep(0)
            writer.transport.resume_reading()
            line = await reader.readline()
            assert line.startswith(b"HTTP/1.1 431")

        _run(scenario)

    def test_empty_lines_behind_a_request(self):
        """Guards against empty lines that keep a connection busy forever."""

        async def scenario(server, handler, reader, writer):
            server.limits = routes.CallerLimits(header_bytes=400)
            writer.write(_get())
            await reader.readuntil(b"GET ")
            writer.write(b"\r\n" * 1000)
            assert await _read_all(reader) == b""

        _run(scenario)

    @hypothesis.given(
        sizes=st.lists(st.integers(1, 40), min_size=1, max_size=40),
        name_bytes=st.integers(1, 350),
    )
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=30)
    def test_heads_within_the_limit(self, sizes, name_bytes):
        """Guards against a limit that refuses heads within it.

        A head at the limit arrives in any pieces, a body in chunks of one byte.
        """
        # The path, and 4 bytes for each of the three headers.
        counted = len("/hosthtransfer-encodingchunked") + 3 * 4
        name = b"n" * name_bytes
        value = b"v" * (LIMITS_OF_HEADS.header_bytes - counted - name_bytes)
        raw = (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
            + name
            + b": "
            + value
            + b"\r\n\r\n"
            + b"1\r\nx\r\n" * 50
            + b"0\r\n\r\n"
        )

        async def scenario(server, handler, reader, writer):
            rest = raw
            for size in itertools.cycle(sizes):
                writer.write(rest[:size])
                await asyncio.sleep(0)
                rest = rest[size:]
                if not rest:
                    break
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            assert await reader.readexactly(55) == b"POST " + b"x" * 50

        _run(scenario, LIMITS_OF_HEADS)


class TestConnectionLimit:
    """More connections than a server keeps open."""

    def test_idle_gives_way(self):
        """Guards against callers shut out by connections that do nothing.

        A request in progress is never cut off for a new connection.
        """

        async def scenario(server, handler, reader, writer):
            server.connection_limit.most = 2
            host, port = writer.get_extra_info("peername")
            handler.delay = 0.2
            writer.write(_get(b"/slow"))
            while not handler.requests:
                await asyncio.sleep(0.005)
            handler.delay = 0.0
            idle_reader, idle = await asyncio.open_connection(host, port)
            new_reader, new = await asyncio.open_connection(host, port)
            new.write(_get(b"/new"))
            assert await _read_all(idle_reader) == b""
            for served in (new_reader, reader):
                assert await served.readuntil(b"GET ")
            assert server.connections == 2
            assert server.connection_limit.evicted == 1
            for each in (idle, new):
                each.close()

        _run(scenario)

    def test_unread_response(self):
        """Guards against a response cut off while its caller reads slowly."""

        async def body_stream():
            yield b"x" * (8 << 20)

        async def scenario(server, handler, reader, writer):
            server.connection_limit.most = 1
            host, port = writer.get_extra_info("peername")
            handler.body_stream = body_stream
            writer.write(_get())
            await reader.readexactly(100)
            new_reader, new = await asyncio.open_connection(host, port)
            assert await _read_all(new_reader) == b""
            assert (await _read_all(reader)).endswith(b"x\r\n0\r\n\r\n")
            new.close()

        _run(scenario)


class TestLeaving:
    """Callers that disconnect, and a server that stops."""

    @pytest.mark.parametrize(
        ("cancellable", "expected"), [(True, 1), (False, 0)]
    )
    def test_caller_disconnects(self, cancellable, expected):
        """A disconnect cancels the handler if it is cancellable."""

        async def scenario(server, handler, reader, writer):
            handler.delay = 0.2
            writer.write(_get())
            while not handler.requests:
                await asyncio.sleep(0.005)
            handler.requests[0].cancellable = cancellable
            writer.transport.abort()
            await asyncio.sleep(0.1)
            assert handler.cancelled == expected

        _run(scenario)

    def test_broken_stream_is_incomplete(self):
        """Guards against a truncated response that looks complete.

        The response of a target breaks off while it is streamed.
        """

        async def body_stream():
            yield b"more"
            raise RuntimeError("broke off")

        async def scenario(server, handler, reader, writer):
            handler.body_stream = body_stream
            writer.write(_get())
            response = await _read_all(reader)
            assert b"chunked" in response
            assert b"more" in response
            assert not response.endswith(b"0\r\n\r\n")

        _run(scenario)

    def test_complete_stream(self):
        """A streamed response is sent in chunks to its end."""

        async def body_stream():
            yield b"more"

        async def scenario(server, handler, reader, writer):
            handler.body_stream = body_stream
            writer.write(_get())
            response = await reader.readuntil(b"0\r\n\r\n")
            assert b"4\r\nGET \r\n4\r\nmore\r\n0\r\n\r\n" in response

        _run(scenario)

    def test_stop_waits_for_slow_callers(self):
        """Guards against a stop that truncates a response to a slow caller.

        The response is written but still in the process's own buffer, which
        would be lost at the end of the process.
        """

        async def scenario(server, handler, reader, writer):
            async def body_stream():
                yield b"x" * (8 << 20)

            handler.body_stream = body_stream
            writer.write(_get())
            await reader.readexactly(100)
            server.stopping = True
            server.stop_listening()
            await asyncio.sleep(0.1)
            server.close_idle()
            assert server.busy
            response = await _read_all(reader)
            assert response.endswith(b"0\r\n\r\n")
            await asyncio.sleep(0.02)
            assert not server.busy

        _run(scenario)

    def test_stopping(self):
        """A stopping server completes requests and closes connections."""

        async def scenario(server, handler, reader, writer):
            handler.delay = 0.05
            writer.write(_get())
            while not handler.requests:
                await asyncio.sleep(0.005)
            server.stopping = True
            server.stop_listening()
            server.close_idle()
            assert server.busy
            response = await _read_all(reader)
            assert response.startswith(b"HTTP/1.1 200")
            assert b"Connection: close" in response

        _run(scenario)


class TestFailingHandler:
    """A handler that raises for a reason that nobody expects."""

    def test_caller_gets_a_response(self):
        """Guards against a caller that waits for a response until its deadline.

        The status promises nothing, as the request may have been passed on.
        """
        reported = []

        async def scenario(server, handler, reader, writer):
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(
                lambda _, context: reported.append(context["exception"])
            )
            handler.delay = "no number"
            writer.write(_get())
            response = await _read_all(reader)
            assert response.startswith(b"HTTP/1.1 502")
            assert b"Connection: close" in response
            assert not server.busy

        _run(scenario)
        assert [type(error) for error in reported] == [TypeError]


def _raise_not_connected():
    raise OSError(errno.ENOTCONN, "Transport endpoint is not connected")


class TestClosing:
    """The last response on a connection, to a caller that sends ahead."""

    @pytest.mark.parametrize(
        ("first", "stops", "ahead", "streamed"),
        [
            (_get(), True, 0, False),
            (_get(extra=b"Connection: close\r\n"), False, 0, False),
            (_get(), False, 9, False),
            (_get(), True, 0, True),
            (_get(), False, 9, True),
        ],
        ids=[
            "stop",
            "caller asks for it",
            "ninth request",
            "stop in a stream",
            "ninth request in a stream",
        ],
    )
    def test_whole_response(self, first, stops, ahead, streamed):
        """Guards against a response that is lost in a connection reset."""
        size = 4 << 20

        async def scenario(server, handler, reader, writer):
            async def pieces():
                for _ in range(64):
                    await asyncio.sleep(0)
                    yield b"x" * (size // 64)

            async def whole(incoming):
                await asyncio.sleep(0.1)
                if streamed:
                    return http_server.Response(200, body_stream=pieces())
                return http_server.Response(200, body=b"x" * size)

            server._handler = whole
            received = await _count_received(
                server, writer, stops, first + _get() * ahead, _get()
            )
            assert received >= size

        _run(scenario, routes.CallerLimits())

    @pytest.mark.parametrize(
        ("first", "stops", "ahead"),
        [
            (_get(), True, _get()),
            (_get(extra=b"Connection: close\r\n"), False, _get()),
            (_get(), False, b""),
        ],
        ids=["stop", "caller asks for it", "idle time-out"],
    )
    def test_slow_caller(self, monkeypatch, first, stops, ahead):
        """Guards against callers cut off while the kernel holds a response."""
        monkeypatch.setattr(lingering, "_LINGER_SECONDS", 0.2)
        size = 300_000

        async def scenario(server, handler, reader, writer):
            async def whole(incoming):
                await asyncio.sleep(0.1)
                return http_server.Response(200, body=b"x" * size)

            server._handler = whole
            received = await _count_received(
                server, writer, stops, first, ahead, pause=0.1
            )
            assert received == size

        _run(scenario)

    def test_requests_behind_slow_reading(self):
        """Guards against a stop that takes long for requests sent ahead.

        The kernel holds megabytes of responses unless it is told otherwise.
        """
        size = 200_000

        async def scenario(server, handler, reader, writer):
            served = []

            async def whole(incoming):
                served.append(incoming)
                return http_server.Response(200, body=b"x" * size)

            def stop():
                asyncio.get_running_loop().call_later(
                    0.6, setattr, server, "stopping", True
                )

            server._handler = whole
            address = writer.get_extra_info("peername")
            received = await senders.count_while_sending(
                address, _get() * 8, b"", stop, pause=0.2
            )
            assert len(served) < 5
            assert received == size * len(served)

        _run(scenario, routes.CallerLimits())

    def test_reset_by_the_caller(self, monkeypatch):
        """Guards against a close that fails when the caller has left."""

        async def scenario(server, handler, reader, writer):
            writer.write(_get())
            await reader.readuntil(b"GET ")
            (connection,) = server._connections
            transport = connection._transport
            monkeypatch.setattr(
                type(transport),
                "write_eof",
                lambda _: _raise_not_connected(),
            )
            connection.close_if_idle()
            monkeypatch.undo()
            await asyncio.sleep(0.05)
            assert not server.connections

        _run(scenario)

    def test_reset_in_a_stream(self, monkeypatch):
        """Guards against a stream that goes on for ever behind a reset.

        Its source never waits, so the event loop can't report the reset.
        """
        sent = []

        async def scenario(server, handler, reader, writer):
            async def pieces():
                for number in range(1000):
                    sent.append(number)
                    yield b"x"

            handler.body_stream = pieces
            (connection,) = server._connections
            write = connection._write

            def fail_later(data):
                write(data)
                if len(sent) == 3:
                    connection.abort()

            monkeypatch.setattr(
                type(connection), "_write", lambda _, data: fail_later(data)
            )
            writer.write(_get())
            while server.connections:
                await asyncio.sleep(0.01)
            assert len(sent) < 10

        _run(scenario)

    def test_ends_without_the_caller(self):
        """Guards against a connection that a caller keeps open for ever."""

        async def scenario(server, handler, reader, writer):
            writer.write(_get(extra=b"Connection: close\r\n"))
            await _read_all(reader)
            assert server.lingering
            while server.connections:
                await asyncio.sleep(0.05)

        _run(scenario)
