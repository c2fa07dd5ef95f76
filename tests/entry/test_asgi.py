"""Tests of request validation: early refusals, slow senders and fuzzing."""

import asyncio
import contextlib
import json

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest
import rig

from mimosastile_entry import settings

LIMITS = settings.LimitSettings(
    body_bytes=100000,
    replay_bytes=1000,
    header_bytes=2000,
    url_bytes=500,
)
SHORT_TIMEOUTS = msgspec.structs.replace(
    LIMITS, head_seconds=0.05, stall_seconds=0.05
)
CLOSE = "connection: close\r\n"
INPUTS = 200
"""Number of inputs of each fuzz test; the seed is fixed."""


@pytest.fixture(scope="module")
def server():
    """Yields a runner, a front for a raw server, and that server."""
    with _running_server(LIMITS) as running:
        yield running


@pytest.fixture(scope="module")
def impatient_server():
    """Yields the same with timeouts that slow senders exceed quickly.

    Tests send no valid requests to it: on a machine that is busy for as long
    as a timeout, their senders would count as slow.
    """
    with _running_server(SHORT_TIMEOUTS) as running:
        yield running


@contextlib.contextmanager
def _running_server(limits):
    with asyncio.Runner() as runner:
        stack = contextlib.AsyncExitStack()

        async def start():
            peer = await stack.enter_async_context(
                rig.raw_server(lambda _: rig.Reply())
            )
            front = await stack.enter_async_context(
                rig.front(peer.port, limits)
            )
            return front, peer

        front, peer = runner.run(start())
        yield runner, front, peer
        runner.run(stack.aclose())


def _exchange(server, sent):
    """Returns the response and how many requests the target received."""
    runner, front, peer = server
    before = len(peer.requests)
    received = runner.run(rig.exchange(front.port, sent))
    return received, len(peer.requests) - before


def _head(*lines):
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class TestRefusedBeforeAnyWork:
    """Callers send malformed, oversized or deceptive requests.

    If two servers parse a request differently, an attacker could make the
    target run a request that was never checked, or run it for a key that the
    target does not own.
    """

    @pytest.mark.parametrize(
        ("sent", "status"),
        [
            (_head("GET /s/1 HTTP/1.1", "host: h", CLOSE.strip()), 401),
            (
                rig.get(extra=CLOSE + "authorization: Bearer other\r\n"),
                401,
            ),
            (rig.get().replace(rig.TOKEN.encode(), b"wrong"), 401),
            (rig.get().replace(b"Bearer", b"Basic"), 401),
            (rig.get("/s/%zz"), 400),
            (rig.get("/s/%4"), 400),
            (rig.get("/s/%ff"), 400),
            (rig.get("/s/a/../b"), 400),
            (rig.get("/s/a/%2e%2E/b"), 400),
            (rig.get("/s/."), 400),
            (rig.get("*", method="OPTIONS"), 400),
            (rig.get("/s/\u010d"), 400),
            (rig.get("/s/a b"), 400),
            (rig.get("/s/" + "a" * 600), 431),
            (rig.get("/s?" + "a" * 600), 431),
            (rig.get(extra=CLOSE + "x: " + "a" * 2000 + "\r\n"), 431),
            (rig.get(extra="x: " + "a" * 5000)[:-4], 431),
            (rig.get(extra=CLOSE + "x: a\r\n" * 400), 431),
            (rig.get(extra=CLOSE + "x: \x01\r\n"), 400),
            (
                rig.get().replace(b"connection", b"x: \xff\r\nconnection"),
                400,
            ),
            (rig.get(extra=CLOSE + "content-length: 100001\r\n"), 413),
        ],
    )
    def test_refusal(self, server, sent, status):
        """The target receives nothing, and the refusal reports that."""
        received, ran = _exchange(server, sent)
        got, headers, body = rig.parse(received)
        assert (got, ran) == (status, 0)
        assert json.loads(body)["ran"] == "no"
        assert int(headers[b"content-length"]) == len(body)

    @pytest.mark.parametrize(
        "framing",
        [
            "content-length: 3\r\ncontent-length: 4\r\n",
            "content-length: 3\r\ncontent-length: 3\r\n",
            "content-length: 3, 4\r\n",
            "content-length: +3\r\n",
            "content-length: -3\r\n",
            "content-length: 0x3\r\n",
            "content-length: 3\r\ntransfer-encoding: chunked\r\n",
            "transfer-encoding: chunked\r\ncontent-length: 3\r\n",
            "transfer-encoding: chunked, identity\r\n",
            "transfer-encoding: xchunked\r\n",
            "transfer-encoding : chunked\r\n",
            "content-length: 3\n\rx: y\r\n",
            " content-length: 3\r\n",
        ],
    )
    def test_ambiguous_length(self, server, framing):
        """The connection closes, with a refusal if the head is invalid."""
        sent = rig.get(method="POST", extra=framing, body=b"0\r\n\r\nabc")
        received, ran = _exchange(server, sent)
        assert ran == 0
        assert received == b"" or rig.parse(received)[0] == 400
        assert received.count(b"HTTP/1.1") <= 1

    @pytest.mark.parametrize(
        "wait", ["-1", "x", "9" * 400, "\u0663", "1e3", "0.5"]
    )
    def test_invalid_deadline_is_ignored(self, server, wait):
        """An invalid timeout is ignored; the service's limit applies."""
        extra = f"{CLOSE}x-request-timeout-ms: {wait}\r\n"
        received, ran = _exchange(server, rig.get(extra=extra))
        assert (rig.parse(received)[0], ran) == (200, 1)

    def test_upgrade_is_ignored(self, server):
        """The request is served, and the connection closes afterwards."""
        extra = "connection: upgrade\r\nupgrade: h2c\r\n"
        received, ran = _exchange(server, rig.get(extra=extra) * 2)
        status, headers, _ = rig.parse(received)
        assert (status, ran) == (200, 1)
        assert headers[b"connection"] == b"close"

    def test_body_over_the_limit_is_cut_off(self, server):
        """A chunked body has no declared size; it is cut off at the limit."""
        chunk = b"2710\r\n" + b"x" * 10000 + b"\r\n"
        extra = CLOSE + "transfer-encoding: chunked\r\n"
        sent = rig.get(method="POST", extra=extra, body=chunk * 11)
        received, ran = _exchange(server, sent + b"0\r\n\r\n")
        assert rig.parse(received)[0] in (413, 502)
        assert ran == 0


class TestSlowSenders:
    """Callers open connections and send almost nothing.

    Each would hold a connection and memory of the entry VM indefinitely, until
    no other caller can connect.
    """

    @pytest.mark.parametrize(
        ("sent", "status"),
        [
            (b"", None),
            (b"\r\n\r\n", None),
            (b"GET /s/1 HT", 408),
            (b"GET /s/1 HTTP/1.1\r\nhost: h\r\nx: ", 408),
            (rig.get(extra="") + b"GET /s", 200),
            (rig.get(method="POST", extra="content-length: 9\r\n"), 408),
        ],
    )
    def test_connection_is_closed(self, impatient_server, sent, status):
        """The head timeout or the stall timeout closes the connection."""
        received, _ = _exchange(impatient_server, sent)
        if status is None:
            assert received == b""
        else:
            assert rig.parse(received)[0] == status


class TestFuzz:
    """Arbitrary bytes arrive on a socket.

    For any input, the daemon responds in HTTP or closes the connection, leaks
    no slot, and serves the next caller.
    """

    FUZZ = hypothesis.settings(
        max_examples=INPUTS,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    PIECES = st.sampled_from(
        [
            b"GET ",
            b"POST ",
            b"/s/1",
            b"/-/health",
            b"/forward/s/1",
            b" HTTP/1.1\r\n",
            b" HTTP/1.0\r\n",
            b"host: h\r\n",
            rig.AUTH.encode(),
            b"content-length: 3\r\n",
            b"transfer-encoding: chunked\r\n",
            b"expect: 100-continue\r\n",
            b"x-mimosastile-deadline-ms: x\r\n",
            b"connection: close\r\n",
            b"\r\n",
            b"abc",
            b"3\r\nabc\r\n0\r\n\r\n",
            b"%",
            b"\x00",
        ]
    )

    @FUZZ
    @hypothesis.given(data=st.binary(max_size=300))
    def test_raw_bytes(self, server, data):
        """Arbitrary bytes."""
        self._check(server, data)

    @FUZZ
    @hypothesis.given(pieces=st.lists(PIECES, max_size=16))
    def test_pieces_of_requests(self, server, pieces):
        """Parts of requests in any order."""
        self._check(server, b"".join(pieces))

    @FUZZ
    @hypothesis.given(
        at=st.integers(0, 200), junk=st.binary(max_size=4), cut=st.booleans()
    )
    def test_mutated_request(self, server, at, junk, cut):
        """A valid request with some bytes inserted, or truncated."""
        extra = "content-length: 3\r\nconnection: close\r\n"
        good = rig.get(method="POST", extra=extra, body=b"abc")
        rest = b"" if cut else good[at:]
        self._check(server, good[:at] + junk + rest)

    def _check(self, server, sent):
        runner, front, _ = server
        received = runner.run(_send_and_disconnect(front, sent))
        assert received == b"" or received.startswith(b"HTTP/1.1 ")
        assert front.router.in_flight == 0
        assert rig.parse(_exchange(server, rig.get())[0])[0] == 200


async def _send_and_disconnect(front, sent):
    """Sends bytes, disconnects, and returns the received bytes."""
    reader, writer = await asyncio.open_connection(rig.HOST, front.port)
    writer.write(sent)
    received = b""
    with contextlib.suppress(ConnectionResetError, TimeoutError):
        async with asyncio.timeout(0.002):
            received = await reader.read(200)
    writer.close()
    async with asyncio.timeout(5):
        while front.router.in_flight or front.listener.in_flight:
            await asyncio.sleep(0)
    return received
