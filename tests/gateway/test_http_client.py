"""HTTP client: complete, broken and late responses; reuse of connections."""

import asyncio
import contextlib
import socket
import struct

import hypothesis
from hypothesis import strategies as st
import pytest

from mimosastile_core.gateway import held_bytes
from mimosastile_core.gateway import reachability
from mimosastile_gateway import http_client
from mimosastile_standins import virtual

_HUNG = reachability.Outcome.HUNG
ECHO = (b"x-id", b"7")
HEAD = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n"
WHOLE = HEAD + b"Content-Length: 2\r\n\r\nok"
OTHER = b"HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 5\r\n\r\nother"
BOTH = OTHER.replace(b"X-Id: 6", b"X-Id: 6\r\nX-Id: 7")
NEITHER = OTHER.replace(b"X-Id: 6", b"X-Other: 7")
LONG = OTHER.replace(b"X-Id: 6", b"X-Id: " + b"7" * (64 << 10))


class _Target:
    """Sends the next of several byte strings in response to each request."""

    def __init__(self, *responses, reset=False, close=False):
        self.responses = list(responses)
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
                writer.write(self.responses.pop(0) if self.responses else b"")
                await writer.drain()
                if self.reset:
                    await asyncio.sleep(0.02)
                    # Without this the client sees a regular end of stream.
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


async def _check_health(pool, address, **options):
    """Makes a call of this VM's own, as health checks are."""
    return await http_client.call(
        pool,
        address,
        "GET",
        "/health",
        timeout=5.0,
        connect=1.0,
        **options,
    )


def _run(target, scenario):
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


async def _request(pool, address):
    """Returns status, body and whether the connection is reusable."""
    connection = await pool.connect(address, 5.0, 1.0)
    response = connection.start(http_client.request("h", "GET", "/x"), ECHO)
    try:
        async with asyncio.timeout(0.3):
            await connection.wait_complete(response, 1 << 20)
    except (http_client.ResponseLostError, TimeoutError):
        connection.abort()
        raise
    usable = connection.reusable
    pool.release(connection, address)
    return response.status, response.take(), usable


class TestCompleteness:
    """Detection of complete and incomplete responses."""

    @pytest.mark.parametrize(
        ("raw", "body"),
        [
            (WHOLE, b"ok"),
            (
                HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
                b"1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
                b"ok",
            ),
            (b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE, b"ok"),
            (HEAD + b"Content-Length: 0\r\n\r\n", b""),
            # A late response to an earlier request comes first.
            (OTHER + WHOLE, b"ok"),
            (BOTH + WHOLE, b"ok"),
            (NEITHER + WHOLE, b"ok"),
        ],
    )
    def test_complete(self, raw, body):
        """Accepts every framing, and skips interim and late responses."""
        found = _run(_Target(raw), _request)
        assert found[:2] == (200, body)

    def test_without_length_ends_with_its_connection(self):
        """A response without a length is complete when its sender closes."""
        target = _Target(HEAD + b"\r\nall of it", close=True)
        assert _run(target, _request) == (200, b"all of it", False)

    @pytest.mark.parametrize(
        ("raw", "reset", "close"),
        [
            # A reset must not count as the end of the body: the caller would
            # treat half a body as complete.
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
    def test_broken(self, raw, reset, close):
        """A response that breaks off is never treated as complete."""
        with pytest.raises(http_client.ResponseLostError):
            _run(_Target(raw, reset=reset, close=close), _request)

    @pytest.mark.parametrize("raw", [OTHER, BOTH, NEITHER, LONG])
    def test_response_to_another_request_only(self, raw):
        """A response to another request is not returned."""
        with pytest.raises((TimeoutError, http_client.ResponseLostError)):
            _run(_Target(raw), _request)

    @hypothesis.given(junk=st.binary(max_size=120))
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
    def test_any_bytes(self, junk):
        """Any bytes of a target give a response, an error or a timeout."""
        try:
            status, _, _ = _run(_Target(junk, close=True), _request)
        except (http_client.ResponseLostError, TimeoutError):
            return
        assert junk.startswith(b"HTTP/1.")
        assert status >= 200


class _Endless:
    """Sends the same bytes without end, until the connection is closed.

    Attributes:
        sent_bytes: Number of bytes sent.
    """

    def __init__(self, beginning, repeated):
        self.writers = []
        self.sent_bytes = 0
        self._beginning = beginning
        self._repeated = repeated * (4096 // len(repeated) + 1)

    async def serve(self, reader, writer):
        """Responds to the first request of a connection."""
        self.writers.append(writer)
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._beginning)
            while True:
                writer.write(self._repeated)
                self.sent_bytes += len(self._repeated)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


_ENDLESS = pytest.mark.parametrize(
    ("beginning", "repeated"),
    [
        (HEAD, b"a: b\r\n"),
        (HEAD + b"a: ", b"b"),
        (b"HTTP/1.1 200 ", b"O"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"", OTHER),
        (
            OTHER.replace(b"Length: 5", b"Length: 99999999"),
            b"x",
        ),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\na: ", b"b"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    ],
    ids=[
        "headers",
        "header value",
        "reason",
        "interim responses",
        "late responses",
        "late body",
        "trailers",
        "trailer value",
        "smallest chunks",
    ],
)
"""Responses without an end, with little or no body."""


class TestEndlessResponses:
    """Bytes that come until the connection is closed."""

    @_ENDLESS
    def test_little_or_no_body(self, beginning, repeated):
        """Guards against memory that grows until the caller gives up."""
        target = _Endless(beginning, repeated)

        async def scenario(pool, address):
            connection = await pool.connect(address, 5.0, 1.0)
            response = connection.start(
                http_client.request("h", "GET", "/x"), ECHO
            )
            with pytest.raises(http_client.ResponseLostError):
                await connection.wait_complete(response, 1 << 20)
            connection.abort()

        _run(target, scenario)
        # Beyond the bound are only bytes in the buffers of the sockets.
        assert target.sent_bytes < 16 << 20

    @_ENDLESS
    def test_own_call(self, beginning, repeated):
        """Guards against the same in responses to health checks and orders.

        Calls to the store and to other VMs are made in the same way.
        """
        target = _Endless(beginning, repeated)

        async def scenario(pool, address):
            with pytest.raises(http_client.ResponseLostError):
                await _check_health(pool, address, idle=5.0, echo=ECHO)

        _run(target, scenario)
        assert target.sent_bytes < 16 << 20

    @pytest.mark.parametrize(
        ("beginning", "repeated", "most"),
        [
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n", 300),
            (b"", OTHER, 300),
            (b"", HEAD + b"Content-Length: 0\r\n\r\n", 1),
        ],
        ids=["interim responses", "late responses", "answers"],
    )
    def test_parsing_ends(self, beginning, repeated, most):
        """Guards against responses without end that occupy the event loop."""
        heads = []

        async def scenario(pool, address):
            pool.on_response = heads.append
            connection = await pool.connect(address, 5.0, 1.0)
            response = connection.start(
                http_client.request("h", "GET", "/x"), ECHO
            )
            with contextlib.suppress(http_client.ResponseLostError):
                await connection.wait_complete(response, 1 << 20)
            await asyncio.sleep(0.05)
            connection.abort()

        _run(_Endless(beginning, repeated), scenario)
        assert 0 < len(heads) <= most

    @pytest.mark.parametrize(
        ("beginning", "repeated", "reason"),
        [
            (b"HTTP/1.1 200 OK\r\n\r\n", b"x", "exceeds"),
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"1\r\nx\r\n",
                "too many bytes",
            ),
        ],
        ids=["until close", "chunked"],
    )
    def test_body_of_an_own_call(self, beginning, repeated, reason):
        """Guards against a call that holds all that its target sends."""
        target = _Endless(beginning, repeated)

        async def scenario(pool, address):
            pool.held = held_bytes.HeldBytes()
            with pytest.raises(http_client.ResponseLostError, match=reason):
                await _check_health(pool, address, idle=1.0, most=64 << 10)
            assert pool.held.dump()["peaks"]["received"] <= 192 << 10
            assert pool.held.total == 0

        _run(target, scenario)

    def test_stream_to_a_slow_caller_while_memory_is_short(self):
        """Guards against streams that fill the memory that is left."""
        target = _Endless(HEAD + b"\r\n", b"x")

        async def scenario(pool, address):
            pool.held = held = held_bytes.HeldBytes(1 << 20)
            held.hold("caller", 1 << 20)
            connection = await pool.connect(address, 5.0, 1.0)
            response = connection.start(
                http_client.request("h", "GET", "/x"), ECHO
            )
            await connection.wait_complete(response, 1 << 20)
            assert not response.complete
            stream = pool.stream(connection, response, address)
            for _ in range(20):
                assert len(await anext(stream)) <= 64 << 10
                await asyncio.sleep(0.005)
            assert held.dump()["peaks"]["received"] <= 192 << 10
            await stream.aclose()
            assert held.dump()["received"] == 0

        _run(target, scenario)


class TestLargeMessages:
    """Bodies that are larger than the buffers."""

    def test_large_response_to_an_own_call(self):
        """Guards against a call that waits for a body that it reads no further.

        The connection is as good as before for the next call.
        """
        body = b"x" * (3 << 20)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        target = _Target(head + body, head + body)

        async def scenario(pool, address):
            for _ in range(2):
                response = await http_client.call(
                    pool,
                    address,
                    "GET",
                    "/x",
                    timeout=2.0,
                    connect=1.0,
                    idle=5.0,
                )
                assert response.body == body
            assert pool.held.total == 0

        _run(target, scenario)
        assert target.connections == 1

    def test_body_for_a_slow_target(self):
        """Guards against a second copy of a body that its target reads slowly.

        The target gets the whole body all the same.
        """
        blocks = [bytes([number]) * (200 << 10) for number in range(100)]
        received = []

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.1)
            received.append(await reader.readexactly(sum(map(len, blocks))))
            writer.write(WHOLE)
            writer.close()

        async def main():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            pool = http_client.Pool(2.0)
            connection = await pool.connect(f"{host}:{port}", 5.0, 1.0)
            response = connection.start(
                http_client.request("h", "POST", "/x"), ECHO
            )
            connection.send_body(blocks)
            async with asyncio.timeout(10):
                await connection.wait_complete(response, 1 << 20)
            assert response.take() == b"ok"
            assert pool.held.dump()["peaks"]["sending"] <= 128 << 10
            connection.abort()
            await asyncio.sleep(0.01)
            assert pool.held.total == 0
            server.close()

        asyncio.run(main())
        assert received == [b"".join(blocks)]

    def test_response_before_the_body_was_sent(self):
        """Guards against the rest of a body on a connection that is reused."""
        target = _Target(WHOLE, WHOLE)

        async def scenario(pool, address):
            connection = await pool.connect(address, 5.0, 1.0)
            response = connection.start(
                http_client.request("h", "POST", "/x"), ECHO
            )
            connection.send_body([bytes(20 << 20)])
            await connection.wait_complete(response, 1 << 20)
            assert not connection.reusable
            pool.release(connection, address)
            assert (await _request(pool, address))[:2] == (200, b"ok")

        _run(target, scenario)


class TestReuse:
    """Reuse of connections."""

    def test_reused(self):
        """A connection is reused after a complete response."""
        target = _Target(WHOLE, WHOLE)

        async def scenario(pool, address):
            assert await _request(pool, address) == (200, b"ok", True)
            assert await _request(pool, address) == (200, b"ok", True)

        _run(target, scenario)
        assert target.connections == 1

    @pytest.mark.parametrize(
        "raw",
        [
            HEAD + b"Connection: close\r\nContent-Length: 2\r\n\r\nok",
            # A second response follows that belongs to no request.
            WHOLE + OTHER,
            WHOLE + b"\x00\x01garbage",
            HEAD + b"Keep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
        ],
    )
    def test_not_reused(self, raw):
        """A connection in an unclear or closing state is not reused."""
        target = _Target(raw, WHOLE)

        async def scenario(pool, address):
            status, body, _ = await _request(pool, address)
            assert (status, body) == (200, b"ok")
            await asyncio.sleep(0.02)
            assert (await _request(pool, address))[:2] == (200, b"ok")

        _run(target, scenario)
        assert target.connections == 2

    @pytest.mark.parametrize(
        ("echo", "connections"), [(ECHO, 2), ((b"x-id", b"6"), 1)]
    )
    def test_not_repeated_on_its_connection(self, echo, connections):
        """A copy of a rejection answers the same request that is sent again.

        The echo tells responses to different requests apart, not those to two
        sends of one.
        """
        rejection = b"HTTP/1.1 503 X\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n"
        target = _Target(rejection, WHOLE)

        async def scenario(pool, address):
            assert (await _request(pool, address))[0] == 503
            connection = await pool.connect(address, 5.0, 1.0, echo)
            connection.close()

        _run(target, scenario)
        assert target.connections == connections

    def test_avoided_connection_stays_open(self):
        """A connection that one request must not use serves others."""
        rejection = b"HTTP/1.1 503 X\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n"
        target = _Target(rejection)

        async def scenario(pool, address):
            await _request(pool, address)
            avoiding = await pool.connect(address, 5.0, 1.0, ECHO)
            other = await pool.connect(address, 5.0, 1.0)
            assert avoiding is not other
            avoiding.close()
            other.close()

        _run(target, scenario)
        assert target.connections == 2

    def test_response_to_another_request(self):
        """A request that no response echoes gets the response to another one.

        A health check shares its connections with requests.
        """
        silent = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        target = _Target(OTHER + silent)

        async def scenario(pool, address):
            response = await http_client.call(
                pool,
                address,
                "GET",
                "/health",
                timeout=1.0,
                connect=1.0,
                idle=1.0,
                echo=(b"x-id", None),
            )
            assert response.body == b"ok"

        _run(target, scenario)

    def test_bytes_while_idle(self):
        """Guards against a second response that arrives between two requests.

        Matched to the next request, it would return another caller's data.
        """
        target = _Target(WHOLE, WHOLE)

        async def scenario(pool, address):
            await _request(pool, address)
            target.writers[0].write(OTHER)
            await asyncio.sleep(0.02)
            assert (await _request(pool, address))[:2] == (200, b"ok")

        _run(target, scenario)
        assert target.connections == 2

    @pytest.mark.parametrize(
        ("raw", "idle_bytes", "unmatched"),
        [(WHOLE, b"", 0), (OTHER + WHOLE, b"", 1), (WHOLE, OTHER, 1)],
        ids=["none", "late", "idle"],
    )
    def test_unmatched_responses_are_counted(self, raw, idle_bytes, unmatched):
        """Counts responses that belong to no pending request."""
        target = _Target(raw)

        async def scenario(pool, address):
            await _request(pool, address)
            target.writers[0].write(idle_bytes)
            await asyncio.sleep(0.02)
            assert pool.unmatched == unmatched

        _run(target, scenario)

    def test_idle_too_long(self):
        """A connection beyond the allowed idle time is not reused."""
        target = _Target(WHOLE, WHOLE)

        async def scenario(pool, address):
            await _request(pool, address)
            connection = await pool.connect(address, 0.0, 1.0)
            assert (
                connection.idle_seconds(asyncio.get_running_loop().time()) >= 0
            )
            connection.close()

        _run(target, scenario)
        assert target.connections == 2

    def test_never_sent_twice(self):
        """Guards against a retry when a reused connection breaks.

        A client library that retries by itself would run a request twice that
        is not idempotent.
        """
        target = _Target(WHOLE)

        async def scenario(pool, address):
            await _request(pool, address)
            target.reset = True
            with pytest.raises(http_client.ResponseLostError):
                await _request(pool, address)

        _run(target, scenario)
        assert target.requests == 2

    def test_connection_refused(self):
        """A refused connection is reported as a request not sent."""

        async def scenario(pool, _):
            with pytest.raises(http_client.NotSentError):
                await pool.connect("127.0.0.1:1", 1.0, 1.0)

        _run(_Target(), scenario)

    @pytest.mark.parametrize(
        "address",
        [
            "127.0.0.1:99999",
            "127.0.0.1:-1",
            "127.0.0.1:port",
            "127.0.0.1",
            "a" * 70 + ".b:80",
            "a\0b:80",
            "\udcff:80",
            "..:80",
            "",
        ],
    )
    def test_address_that_cannot_be_dialled(self, address):
        """Guards against a request that never gets a response.

        An error of another type would end the handler of the caller's request.
        """
        seen = []

        async def scenario(pool, _):
            pool.on_attempt = lambda _, outcome, __: seen.append(outcome)
            with pytest.raises(http_client.NotSentError) as raised:
                # The resolver's first use may take a second on a busy machine.
                await pool.connect(address, 1.0, 9.0)
            assert not raised.value.hung

        _run(_Target(), scenario)
        assert seen == [reachability.Outcome.REFUSED]


class TestAttempts:
    """Outcomes of attempts to connect."""

    @pytest.mark.parametrize(
        ("gives_up_after", "attempts"),
        [
            (0.4, [(_HUNG, 0.3)]),
            (0.2, [(_HUNG, 0.2)]),
            (0.05, [(_HUNG, 0.05)]),
        ],
        ids=["timeout", "caller gives up late", "caller gives up early"],
    )
    def test_caller_gives_up(self, monkeypatch, gives_up_after, attempts):
        """Guards against unreachable targets hidden by short deadlines."""

        async def never(*_):
            await asyncio.Event().wait()

        async def main():
            loop = asyncio.get_running_loop()
            monkeypatch.setattr(loop, "create_connection", never)
            pool = http_client.Pool(2.0)
            seen = []
            pool.on_attempt = lambda _, *attempt: seen.append(attempt)
            with pytest.raises((TimeoutError, http_client.NotSentError)):
                async with asyncio.timeout(gives_up_after):
                    await pool.connect("127.0.0.1:1", 0.0, 0.3)
            assert seen == attempts

        virtual.run(main())

    def test_reason_of_a_timeout(self, monkeypatch):
        """Guards against failed calls that are logged without a reason."""

        async def never(*_):
            await asyncio.Event().wait()

        async def main():
            loop = asyncio.get_running_loop()
            monkeypatch.setattr(loop, "create_connection", never)
            with pytest.raises(http_client.NotSentError, match=r"in 0\.3 s"):
                await http_client.Pool(2.0).connect("127.0.0.1:1", 0.0, 0.3)

        virtual.run(main())
