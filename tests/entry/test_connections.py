"""Tests of connection pools: limits, reuse, lost connections, timeouts."""

import asyncio
import socket

import aiohttp
import pytest
import result
import rig

from mimosastile_core import errors
from mimosastile_core import messages
from mimosastile_entry import _auth
from mimosastile_entry import _peers_http

_LONG = b"z" * (64 << 10)
_OTHER = b"x-mimosastile-send-id: other\r\n"
_UNKNOWN_KINDS = (
    errors.ErrorKind.DEADLINE,
    errors.ErrorKind.ANSWER_BROKEN,
    errors.ErrorKind.ANSWER_LOST,
)
"""Failures of requests that may have run."""
PART = b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nhalf"


async def _gather(made, vm, count):
    sent = await asyncio.gather(*(rig.send(made, vm) for _ in range(count)))
    return [await rig.read_body(s.ok()) for s in sent]


class TestLimit:
    """A target accepts a limited number of connections.

    It would refuse one more, or drop that of another entry VM.
    """

    def test_no_more_connections_than_the_service_allows(self):
        """Exchanges wait for a free connection."""

        async def scenario():
            async with (
                rig.raw_server(lambda _: rig.Reply()) as peer,
                rig.sender(peer.port, connections=2) as (made, vm),
            ):
                return await _gather(made, vm, 20), peer.connections

        assert asyncio.run(scenario()) == ([b"ok"] * 20, 2)

    def test_exchange_that_waits_too_long_did_not_run(self):
        """It never got a connection."""

        async def scenario():
            async with (
                rig.raw_server(
                    lambda _: rig.Reply(PART, after=b"rest")
                ) as peer,
                rig.sender(peer.port, 1, connect=0.02) as (made, vm),
            ):
                first = await rig.send(made, vm)
                second = await rig.send(made, vm)
                peer.release.set()
                whole = await rig.read_body(first.ok())
                return whole, second.err(), len(peer.requests)

        whole, failure, requests = asyncio.run(scenario())
        assert whole == b"halfrest"
        assert failure.kind is errors.ErrorKind.UNREACHABLE
        assert requests == 1

    def test_changed_limit_replaces_the_pool(self):
        """Exchanges in progress end in the former pool."""

        async def scenario():
            async with (
                rig.raw_server(
                    lambda _: rig.Reply(PART, after=b"rest")
                ) as peer,
                rig.sender(peer.port) as (made, vm),
            ):
                client = made.find("client")
                first = (await rig.send(made, vm)).ok()
                former = client.pool(vm, 120)
                latter = client.pool(vm, 60)
                peer.release.set()
                whole = await rig.read_body(first)
                return whole, former.session.closed, latter.session.closed

        assert asyncio.run(scenario()) == (b"halfrest", True, False)


class TestReuse:
    """A connection is reused while it is recent and still open."""

    def test_within_its_age(self):
        """One connection serves consecutive requests."""

        async def scenario():
            async with (
                rig.raw_server(lambda _: rig.Reply()) as peer,
                rig.sender(peer.port) as (made, vm),
            ):
                for _ in range(5):
                    await _gather(made, vm, 1)
                return peer.connections

        assert asyncio.run(scenario()) == 1

    @pytest.mark.parametrize("times", [{"max_age": 0.01}, {"idle": 0.01}])
    def test_not_beyond_its_age(self, times):
        """A new connection replaces it."""

        async def scenario():
            async with (
                rig.raw_server(lambda _: rig.Reply()) as peer,
                rig.sender(peer.port, **times) as (made, vm),
            ):
                await _gather(made, vm, 1)
                await asyncio.sleep(0.03)
                await _gather(made, vm, 1)
                return peer.connections

        assert asyncio.run(scenario()) == 2

    def test_not_when_the_server_has_closed_it(self):
        """Even if the client has not read the end yet: a POST would be lost."""

        async def scenario():
            async with (
                rig.raw_server(lambda _: rig.Reply()) as peer,
                rig.sender(peer.port) as (made, vm),
            ):
                await _gather(made, vm, 1)
                peer.writers[0].transport.get_extra_info("socket").shutdown(
                    socket.SHUT_WR
                )
                sent = await rig.send(made, vm, "POST", b"letter")
                return await rig.read_body(sent.ok()), peer.connections

        assert asyncio.run(scenario()) == (b"ok", 2)


def _response(peer, number, *, status=200, headers=b""):
    """Returns the response to a request, with its number as the body."""
    line = b"x-mimosastile-send-id:"
    sent = peer.requests[number].split(b"\r\n")
    identifier = b"".join(x + b"\r\n" for x in sent if x.startswith(line))
    return b"HTTP/1.1 %d X\r\n%s%scontent-length: 1\r\n\r\n%d" % (
        status,
        identifier,
        headers,
        number,
    )


def _send_all(reply, count, method="GET"):
    """Sends requests one after the other to a server with scripted replies.

    Args:
        reply: Maps the server and the index of a request to the bytes sent.
        count: Number of requests.
        method: HTTP method.

    Returns:
        The body or the error kind of each request, and the server.
    """

    async def scenario():
        def replies(number):
            return rig.Reply(reply(peer, number), identified=False)

        async with (
            rig.raw_server(replies) as peer,
            rig.sender(peer.port) as (made, vm),
        ):
            found = []
            for _ in range(count):
                sent = await rig.send(made, vm, method, seconds=0.3)
                if isinstance(sent, result.Err):
                    found.append(sent.err_value.kind)
                else:
                    found.append(await rig.read_body(sent.ok_value))
            return found, peer, made.find("client").counts

    return asyncio.run(scenario())


_REFUSED = b"x-mimosastile-error: overloaded\r\n"
_LOST = errors.ErrorKind.ANSWER_LOST


class TestMatchedResponses:
    """Responses that arrive where that to another request is expected."""

    @pytest.mark.parametrize("method", ["GET", "PUT"])
    @pytest.mark.parametrize("copies", [1, 3])
    def test_copy_of_an_earlier_response(self, copies, method):
        """Guards against a body that belongs to another caller's request."""

        def reply(peer, number):
            earlier = [_response(peer, n) for n in range(number)]
            own = _response(peer, number)
            return b"".join((*earlier[-copies:], own))

        found, peer, counts = _send_all(reply, 5, method)
        assert found == [b"0", b"1", b"2", b"3", b"4"]
        assert peer.connections == 1
        assert counts.unmatched

    def test_copy_of_a_refusal(self):
        """Guards against "not run" for a request that has run."""

        def reply(peer, number):
            if not number:
                return _response(peer, 0, status=503, headers=_REFUSED)
            copy = _response(peer, 0, status=503, headers=_REFUSED)
            return copy + _response(peer, number)

        found, _, _ = _send_all(reply, 3, "PUT")
        assert found == [errors.ErrorKind.OVERLOADED, b"1", b"2"]

    @pytest.mark.parametrize(
        ("change", "kind"),
        [
            (lambda own: own.replace(b"send-id: ", b"send-id: z"), None),
            (lambda own: own.replace(b"send-id: ", b"send-id: " + _LONG), None),
            (lambda own: own.replace(b"X\r\n", b"X\r\n" + _OTHER), None),
            (lambda own: own.replace(b"send-id: ", b"other: "), _LOST),
            (
                lambda own: own.replace(b"send-id: ", b"send-id: z").replace(
                    b"content-length: 1", b"x: y"
                ),
                _LOST,
            ),
        ],
        ids=["another", "long", "two", "none", "another, without length"],
    )
    def test_response_to_another_request_only(self, change, kind):
        """Guards against a body that may belong to another request."""

        def reply(peer, number):
            own = _response(peer, number)
            return change(own) if number else own

        found, _, counts = _send_all(reply, 2)
        assert found[0] == b"0"
        assert found[1] in ((kind,) if kind else _UNKNOWN_KINDS)
        assert counts.unmatched or found[1] is errors.ErrorKind.ANSWER_BROKEN

    def test_target_that_repeats_no_identifiers(self, caplog):
        """Guards against reuse of connections that nothing could match."""

        def reply(peer, number):
            return b"HTTP/1.1 200 X\r\ncontent-length: 1\r\n\r\n%d" % number

        found, peer, counts = _send_all(reply, 4)
        assert found == [b"0", b"1", b"2", b"3"]
        assert peer.connections == counts.unidentified == 4
        lines = [r.getMessage() for r in caplog.records]
        assert sum("responds without" in line for line in lines) == 1
        assert f"{peer.port}" in "".join(lines)

    def test_bytes_after_a_response(self):
        """Guards against a second response that arrives on its own."""

        def reply(peer, number):
            return _response(peer, number) * 2

        found, _, _ = _send_all(reply, 4)
        assert found == [b"0", b"1", b"2", b"3"]

    def test_response_before_any_request(self):
        """Guards against bytes that a server sends when it is connected to."""

        async def greet(reader, writer):
            try:
                writer.write(rig.OK)
                await reader.read()
            finally:
                writer.close()

        async def wait(session, context, parameters):
            del session, context, parameters
            await asyncio.sleep(0.05)

        async def scenario():
            server = await asyncio.start_server(greet, rig.HOST, 0)
            port = server.sockets[0].getsockname()[1]
            tracing = aiohttp.TraceConfig()
            tracing.on_connection_create_end.append(wait)
            tracing.freeze()
            async with server, rig.sender(port) as (made, vm):
                pool = made.find("client").pool(vm, 120)
                pool.session._trace_configs.append(tracing)
                return await rig.send(made, vm, "PUT", seconds=0.5)

        sent = asyncio.run(scenario())
        assert sent.err().kind is errors.ErrorKind.UNREACHABLE


class TestLostConnection:
    """A network device on the path has dropped the state of a connection.

    Requests on it are lost silently, while new connections work. Callers would
    repeatedly wait until their deadline.
    """

    def test_is_replaced(self):
        """Other connections that were open at that time are replaced too."""

        async def scenario():
            def replies(number):
                return (
                    rig.Reply(b"", after=b"x") if number == 2 else rig.Reply()
                )

            async with (
                rig.raw_server(replies) as peer,
                rig.sender(peer.port, first_byte=0.6) as (made, vm),
            ):
                await _gather(made, vm, 2)
                silent = await rig.send(made, vm, "POST", b"letter")
                after = await _gather(made, vm, 1)
                return silent.err(), after, peer.connections

        failure, after, connections = asyncio.run(scenario())
        assert failure.kind is errors.ErrorKind.ANSWER_LOST
        assert failure.response.ran is errors.Ran.PERHAPS
        assert after == [b"ok"]
        assert connections == 3

    def test_kernel_detects_lost_packets(self):
        """The socket options are set on each connection."""

        async def scenario():
            async with (
                rig.raw_server(
                    lambda _: rig.Reply(PART, after=b"rest")
                ) as peer,
                rig.sender(peer.port, connect=2.0) as (made, vm),
            ):
                response = (await rig.send(made, vm)).ok()
                pool = made.find("client").pool(vm, 120)
                (protocol,) = pool.connector._acquired
                used = protocol.transport.get_extra_info("socket")
                options = [
                    used.getsockopt(level, option)
                    for level, option in (
                        (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
                        (socket.IPPROTO_TCP, socket.TCP_NODELAY),
                        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
                    )
                ]
                await response.close()
                return options

        keepalive, nodelay, unacknowledged = asyncio.run(scenario())
        assert keepalive and nodelay
        assert 0 < unacknowledged <= 10000


class TestProgress:
    """Progress distinguishes a slow response from a stalled one.

    Archive downloads take longer than any deadline for the head. If they were
    aborted half-way, they would have to start again.
    """

    def test_download_outlives_the_deadline(self):
        """The deadline limits the time to the head."""

        async def scenario():
            async with (
                rig.raw_server(
                    lambda _: rig.Reply(PART, after=b"rest")
                ) as peer,
                rig.sender(peer.port) as (made, vm),
            ):
                sent = await rig.send(made, vm, seconds=0.05)
                await asyncio.sleep(0.1)
                peer.release.set()
                return await rig.read_body(sent.ok())

        assert asyncio.run(scenario()) == b"halfrest"

    def test_download_without_progress_is_aborted(self):
        """The caller gets a broken response."""

        async def scenario():
            async with (
                rig.raw_server(
                    lambda _: rig.Reply(PART, after=b"rest")
                ) as peer,
                rig.sender(peer.port, between_bytes=0.05) as (made, vm),
            ):
                sent = await rig.send(made, vm)
                with pytest.raises(rig.ports.BrokenResponseError):
                    await rig.read_body(sent.ok())
                return made.find("client").pool(vm, 120).in_use

        assert asyncio.run(scenario()) == 0

    def test_deadline_before_the_head(self):
        """The error says that the request may have run."""

        async def scenario():
            async with (
                rig.raw_server(lambda _: rig.Reply(b"", after=b"x")) as peer,
                rig.sender(peer.port) as (made, vm),
            ):
                return await rig.send(made, vm, seconds=0.05)

        failure = asyncio.run(scenario()).err()
        assert failure.kind is errors.ErrorKind.DEADLINE
        assert failure.response.ran is errors.Ran.PERHAPS

    def test_expired_deadline_sends_nothing(self):
        """The error says that the request did not run."""

        async def scenario():
            async with (
                rig.raw_server(lambda _: rig.Reply()) as peer,
                rig.sender(peer.port) as (made, vm),
            ):
                sent = await rig.send(made, vm, seconds=0)
                return sent.err().response.ran, peer.connections

        assert asyncio.run(scenario()) == (errors.Ran.NO, 0)


class TestPeers:
    """Connections to other entry VMs are pooled in the same way."""

    def test_lost_connection_is_replaced(self):
        """A message without a reply invalidates the open connections."""
        reply = messages.encode(messages.Ack("e1"))
        data = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (
            len(reply),
            reply,
        )

        async def scenario():
            def replies(number):
                if number == 1:
                    return rig.Reply(b"", after=b"x")
                return rig.Reply(data)

            async with (
                rig.raw_server(replies) as peer,
                rig.sender(peer.port) as (made, vm),
            ):
                peers = _peers_http.HttpPeers(_auth.Signer("e0", {}, "", 10.0))
                await peers.start(made)
                ack = messages.Ack("e0")
                sent = [await peers.call(vm, ack, 0.05) for _ in range(3)]
                return sent, peer.connections

        sent, connections = asyncio.run(scenario())
        assert [s.is_ok() for s in sent] == [True, False, True]
        assert connections == 2
