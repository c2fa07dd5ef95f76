"""Tests of what callers may send: refusals before any work, and a fuzz."""

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
HASTY = msgspec.structs.replace(LIMITS, head_seconds=0.05, stall_seconds=0.05)
CLOSE = "connection: close\r\n"
INPUTS = 200
"""Inputs of each fuzz; the seed is fixed."""


@pytest.fixture(scope="module")
def rigged():
    """Yields a runner, a front before a raw server, and the server."""
    with _rigged(LIMITS) as made:
        yield made


@pytest.fixture(scope="module")
def hasty():
    """Yields the same with limits that slow senders meet at once.

    Good requests are not sent to it: a machine that is busy for as long makes
    their senders slow.
    """
    with _rigged(HASTY) as made:
        yield made


@contextlib.contextmanager
def _rigged(limits):
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


def _ask(rigged, sent):
    """Returns the answer and how many requests the target got."""
    runner, front, peer = rigged
    before = len(peer.requests)
    received = runner.run(rig.exchange(front.port, sent))
    return received, len(peer.requests) - before


def _head(*lines):
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class TestRefusedBeforeAnyWork:
    """Callers send what is malformed, oversized or meant to deceive.

    Two servers that read a request differently could be made to run one that
    nobody checked, or to run it for another key than its owner's.
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
    def test_answer(self, rigged, sent, status):
        """The target gets nothing, and the refusal says so."""
        received, ran = _ask(rigged, sent)
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
    def test_ambiguous_length(self, rigged, framing):
        """The connection is closed, with a refusal if the head is at fault."""
        sent = rig.get(method="POST", extra=framing, body=b"0\r\n\r\nabc")
        received, ran = _ask(rigged, sent)
        assert ran == 0
        assert received == b"" or rig.parse(received)[0] == 400
        assert received.count(b"HTTP/1.1") <= 1

    @pytest.mark.parametrize(
        "wait", ["-1", "x", "9" * 400, "\u0663", "1e3", "0.5"]
    )
    def test_bad_deadline_counts_as_none(self, rigged, wait):
        """The service's own limit applies."""
        extra = f"{CLOSE}x-request-timeout-ms: {wait}\r\n"
        received, ran = _ask(rigged, rig.get(extra=extra))
        assert (rig.parse(received)[0], ran) == (200, 1)

    def test_upgrade_is_ignored(self, rigged):
        """The answer comes, and the connection closes after it."""
        extra = "connection: upgrade\r\nupgrade: h2c\r\n"
        received, ran = _ask(rigged, rig.get(extra=extra) * 2)
        status, headers, _ = rig.parse(received)
        assert (status, ran) == (200, 1)
        assert headers[b"connection"] == b"close"

    def test_body_over_the_limit_is_broken_off(self, rigged):
        """Chunked, so that its size shows only on the way."""
        chunk = b"2710\r\n" + b"x" * 10000 + b"\r\n"
        extra = CLOSE + "transfer-encoding: chunked\r\n"
        sent = rig.get(method="POST", extra=extra, body=chunk * 11)
        received, ran = _ask(rigged, sent + b"0\r\n\r\n")
        assert rig.parse(received)[0] in (413, 502)
        assert ran == 0


class TestSlowSenders:
    """Callers open connections and send next to nothing.

    Each would hold a connection and memory of the entry VM for ever, until
    nobody else gets in.
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
    def test_connection_is_closed(self, hasty, sent, status):
        """After the time for a head, or without progress of a body."""
        received, _ = _ask(hasty, sent)
        if status is None:
            assert received == b""
        else:
            assert rig.parse(received)[0] == status


class TestFuzz:
    """Anything may come off a socket.

    Whatever it is, the daemon answers in HTTP or closes, leaks no slot, and
    serves the next caller.
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
    def test_raw_bytes(self, rigged, data):
        """Bytes of any sort."""
        self._check(rigged, data)

    @FUZZ
    @hypothesis.given(pieces=st.lists(PIECES, max_size=16))
    def test_pieces_of_requests(self, rigged, pieces):
        """Parts of requests in any order."""
        self._check(rigged, b"".join(pieces))

    @FUZZ
    @hypothesis.given(
        at=st.integers(0, 200), junk=st.binary(max_size=4), cut=st.booleans()
    )
    def test_mutated_request(self, rigged, at, junk, cut):
        """A good request with some bytes put in, or cut short."""
        extra = "content-length: 3\r\nconnection: close\r\n"
        good = rig.get(method="POST", extra=extra, body=b"abc")
        rest = b"" if cut else good[at:]
        self._check(rigged, good[:at] + junk + rest)

    def _check(self, rigged, sent):
        runner, front, _ = rigged
        received = runner.run(_send_and_leave(front, sent))
        assert received == b"" or received.startswith(b"HTTP/1.1 ")
        assert front.router.in_flight == 0
        assert rig.parse(_ask(rigged, rig.get())[0])[0] == 200


async def _send_and_leave(front, sent):
    """Sends bytes and an end, and returns what comes back."""
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
