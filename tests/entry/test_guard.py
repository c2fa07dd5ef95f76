"""Tests of the inner port: only requests signed by peers are accepted."""

import asyncio
import contextlib

import hypothesis
from hypothesis import strategies as st
import pytest
import rig

from mimosastile_core import fleet
from mimosastile_core import messages
from mimosastile_entry import _auth
from mimosastile_entry import _guard
from mimosastile_entry import _peers_http
from mimosastile_entry import ports
from mimosastile_entry import serving

KEYS = {"k": "s" * 32}
REPLY = messages.encode(messages.Ack("e1"))


class _App:
    """Records the requests that pass the guard."""

    def __init__(self):
        self.reached = []

    async def __call__(self, scope, receive, send):
        """Reads the body and responds."""
        body = b""
        message = {"more_body": True}
        while message.get("more_body"):
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message.get("body", b"")
        self.reached.append((scope["path"], body))
        headers = [(b"content-length", b"%d" % len(REPLY))]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send({"type": "http.response.body", "body": REPLY})


@pytest.fixture(scope="module")
def guarded():
    """Yields a runner, the application behind the guard, and its port."""
    with asyncio.Runner() as runner:
        app = _App()
        guard = _guard.Guard(app, _auth.Signer("e1", KEYS, "k", 10.0))
        listener = runner.run(serving.listen(guard, rig.HOST, 0, 1.0))
        yield runner, app, listener.port
        runner.run(listener.stop())


@contextlib.asynccontextmanager
async def _peers(port, key="s" * 32):
    async with rig.sender(port) as (made, _):
        signer = _auth.Signer("e0", {"k": key}, "k", 10.0)
        peers = _peers_http.HttpPeers(signer)
        await peers.start(made)
        yield (
            peers,
            fleet.Vm("e1", fleet.Role.ENTRY, "r", "z", rig.HOST, port),
            made.find("clock").now() + 5,
        )


async def _chunks():
    yield b"rest"


class TestPeers:
    """Requests of a peer with the shared key are accepted."""

    def test_message(self, guarded):
        """The reply is returned."""
        runner, app, port = guarded

        async def scenario():
            async with _peers(port) as (peers, vm, _):
                return await peers.call(vm, messages.Ack("e0"), 5.0)

        assert runner.run(scenario()).ok() == messages.Ack("e1")
        assert app.reached[-1][0] == "/peer/message"

    @pytest.mark.parametrize(
        ("body", "streamed", "whole"),
        [(b"", False, b""), (b"body", False, b"body"), (b"a", True, b"arest")],
    )
    def test_forwarded_request(self, guarded, body, streamed, whole):
        """Its body arrives unchanged: empty, buffered or streamed."""
        runner, app, port = guarded

        async def scenario():
            async with _peers(port) as (peers, vm, deadline):
                request = ports.Request(
                    "POST",
                    "/s/%C4%8D",
                    query="a=%20b",
                    headers=(("x", "\u010d"), ("host", "h")),
                    body=body,
                    stream=_chunks() if streamed else None,
                    deadline=deadline,
                )
                sent = await peers.forward(vm, request)
                return await rig.read_body(sent.ok())

        assert runner.run(scenario()) == REPLY
        assert app.reached[-1] == ("/forward/s/\u010d", whole)


class TestUnauthenticated:
    """A client on the inner port has no valid key, or changes a message.

    If it were accepted, it could act with any member's rights.
    """

    def test_wrong_key(self, guarded):
        """Nothing runs, and the sender's error says so."""
        runner, app, port = guarded
        before = len(app.reached)

        async def scenario():
            async with _peers(port, "x" * 32) as (peers, vm, deadline):
                request = ports.Request("POST", "/s/1", deadline=deadline)
                return await peers.forward(vm, request)

        assert runner.run(scenario()).err().response.ran.value == "no"
        assert len(app.reached) == before

    @pytest.mark.parametrize(
        "path",
        ["/peer/message", "/forward/s/1", "/peer%2Fmessage", "/%66orward/s"],
    )
    @pytest.mark.parametrize(
        "extra",
        [
            "",
            "x-mimosastile-body-digest: \r\n",
            "x-mimosastile-body-digest: streamed\r\n"
            "x-mimosastile-auth: k:1:1:1\r\n",
        ],
    )
    def test_unsigned(self, guarded, path, extra):
        """Refused, also with an encoded path or forged headers."""
        runner, app, port = guarded
        before = len(app.reached)
        sent = rig.get(path, "POST", extra + "connection: close\r\n")
        received = runner.run(rig.exchange(port, sent))
        assert rig.parse(received)[0] == 401
        assert len(app.reached) == before

    @pytest.mark.parametrize(
        ("path", "signed", "sent", "status"),
        [
            ("/forward/s/1", b"aaaa", b"aaaa", 200),
            ("/forward/s/1", b"aaaa", b"bbbb", 401),
            ("/forward/s/1", None, b"bbbb", 200),
            ("/peer/message", b"aaaa", b"aaaa", 200),
            ("/peer/message", b"aaaa", b"bbbb", 401),
            ("/peer/message", None, b"bbbb", 401),
            ("/peer/message", b"", b"bbbb", 401),
        ],
    )
    def test_changed_body(self, guarded, path, signed, sent, status):
        """The digest is signed with the head; a message is never streamed."""
        runner, app, port = guarded
        before = len(app.reached)
        signer = _auth.Signer("e0", KEYS, "k", 10.0)
        given = [("host", "h"), ("authorization", f"Bearer {rig.TOKEN}")]
        headers = signer.sign("e1", "POST", path, given[1:], signed)
        extra = "".join(f"{n}: {v}\r\n" for n, v in headers)
        extra += f"connection: close\r\ncontent-length: {len(sent)}\r\n"
        raw = rig.get(path, "POST", extra, sent)
        received = runner.run(rig.exchange(port, raw))
        assert rig.parse(received)[0] == status
        assert len(app.reached) - before == (status == 200)


class TestFuzz:
    """The inner port receives arbitrary bytes."""

    @hypothesis.settings(
        max_examples=150,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        path=st.sampled_from(["/peer/message", "/forward/s/1", "/forward/"]),
        auth=st.text(st.characters(codec="latin-1"), max_size=40),
        at=st.integers(0, 250),
        junk=st.binary(max_size=4),
    )
    def test_nothing_unsigned_is_accepted(self, guarded, path, auth, at, junk):
        """It responds in HTTP or closes; no unsigned peer request passes."""
        runner, app, port = guarded
        before = len(app.reached)
        extra = f"x-mimosastile-auth: {auth}\r\nconnection: close\r\n"
        good = rig.get(path, "POST", extra + "content-length: 2\r\n", b"{}")
        received = runner.run(_send(port, good[:at] + junk + good[at:]))
        assert received == b"" or received.startswith(b"HTTP/1.1 ")
        reached = [path for path, _ in app.reached[before:]]
        assert not any(p.startswith(("/peer/", "/forward/")) for p in reached)


async def _send(port, sent):
    reader, writer = await asyncio.open_connection(rig.HOST, port)
    writer.write(sent)
    received = b""
    with contextlib.suppress(ConnectionResetError, TimeoutError):
        async with asyncio.timeout(0.002):
            received = await reader.read(200)
    writer.close()
    return received
