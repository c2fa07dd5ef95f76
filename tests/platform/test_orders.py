"""Orders to targets and decoding of their responses."""

import asyncio
import itertools
import json

import pytest

from mimosastile_core import errors
from mimosastile_gateway import http_client
from mimosastile_gateway import http_server
from mimosastile_gateway import ports
from mimosastile_platform import orders

GRANT = ports.GrantOrder(4096, 8191, 12, 4.0, "5c0e")
RELEASE = ports.ReleaseOrder(4096, 8191, 12)


def _run(response, scenario):
    async def main():
        requests = []

        async def handle(incoming):
            requests.append(incoming)
            return await response()

        server = http_server.Server(handle)
        address = await server.listen("127.0.0.1:0")
        pool = http_client.Pool(2.0)
        try:
            async with asyncio.timeout(10):
                await scenario(orders.OrderClient(pool), address, requests)
        finally:
            pool.close()
            server.stop_listening()
            server.abort()
            await asyncio.sleep(0)

    asyncio.run(main())


def _respond(status, headers=()):
    async def response():
        return http_server.Response(status, headers)

    return response


class TestOrders:
    """Encoding of orders and decoding of responses."""

    def test_grant(self):
        """A grant carries range, fence, duration and handover token."""

        async def scenario(client, address, requests):
            outcome = await client.grant("i-1", address, GRANT, 1.0)
            assert outcome.is_ok()
            assert requests[0].target == b"/grant"
            assert requests[0].header(b"x-expect-instance") == b"i-1"
            assert json.loads(requests[0].body) == {
                "From": 4096,
                "Target": 8191,
                "fence": 12,
                "HoldMs": 4000,
                "Handover": "5c0e",
            }

        _run(_respond(200), scenario)

    def test_release(self):
        """A release returns the handover token for the next owner."""

        async def scenario(client, address, requests):
            outcome = await client.release("i-1", address, RELEASE, 1.0)
            assert outcome.ok_value == "77"
            assert json.loads(requests[0].body) == {
                "From": 4096,
                "Target": 8191,
                "fence": 12,
            }

        _run(_respond(200, ((b"X-Handover", b"77"),)), scenario)

    @pytest.mark.parametrize(
        ("status", "kind"),
        [
            (409, errors.ErrorKind.WRONG_FENCE),
            (421, errors.ErrorKind.TARGET_REPLACED),
            (400, errors.ErrorKind.BAD_REQUEST),
            (500, errors.ErrorKind.BAD_REQUEST),
        ],
    )
    def test_refused(self, status, kind):
        """Each error status maps to its kind of failure."""

        async def scenario(client, address, requests):
            granted = await client.grant("i-1", address, GRANT, 1.0)
            unproven = await client.release("i-1", address, RELEASE, 1.0)
            released = await client.release("i-1", address, RELEASE, 1.0)
            assert granted.err_value.kind is kind
            assert unproven.err_value.kind is errors.ErrorKind.ANSWER_LOST
            assert released.err_value.kind is kind

        other = ((b"X-Instance-Id", b"i-2"),) if status == 421 else ()
        _run(_respond(status, other), scenario)

    @pytest.mark.parametrize("headers", [(), ((b"X-Instance-Id", b"i-1"),)])
    def test_misdirected_without_another_name(self, headers):
        """Only a target that gives another name proves that one has ended."""

        async def scenario(client, address, requests):
            outcome = await client.grant("i-1", address, GRANT, 1.0)
            assert outcome.err_value.kind is errors.ErrorKind.BAD_REQUEST

        _run(_respond(421, headers), scenario)

    def test_release_without_token(self):
        """A release that only a grant's response confirms is not confirmed."""

        async def scenario(client, address, requests):
            outcome = await client.release("i-1", address, RELEASE, 1.0)
            assert outcome.err_value.kind is errors.ErrorKind.ANSWER_LOST

        _run(_respond(200), scenario)

    def test_refused_by_the_target_itself(self):
        """Guards against a live target that counts as replaced."""

        async def scenario(client, address, requests):
            granted = await client.grant("i-1", address, GRANT, 1.0)
            assert granted.err_value.kind is errors.ErrorKind.BAD_REQUEST
            granted = await client.grant("i-2", address, GRANT, 1.0)
            assert granted.err_value.kind is errors.ErrorKind.ANSWER_LOST
            granted = await client.grant("i-2", address, GRANT, 1.0)
            assert granted.err_value.kind is errors.ErrorKind.TARGET_REPLACED

        _run(_respond(421, ((b"X-Instance-Id", b"i-1"),)), scenario)

    def test_no_response(self):
        """An order without a response may take effect later."""

        async def silent():
            await asyncio.Event().wait()

        async def scenario(client, address, requests):
            outcome = await client.grant("i-1", address, GRANT, 0.05)
            assert outcome.err_value.kind is errors.ErrorKind.ANSWER_LOST

        _run(silent, scenario)

    def test_unreachable(self):
        """An order to a target that refuses connections was not sent."""

        async def scenario(client, address, requests):
            outcome = await client.grant("i-1", "127.0.0.1:1", GRANT, 0.2)
            assert outcome.err_value.kind is errors.ErrorKind.UNREACHABLE

        _run(_respond(200), scenario)


_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
_STALE = b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
_OTHER = (
    b"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: i-2\r\n"
    b"Content-Length: 0\r\n\r\n"
)
_ECHOED = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c\r\nX-Handover: 9c\r\n"
    b"Content-Length: 0\r\n\r\n"
)


def _released(token):
    return (
        b"HTTP/1.1 200 OK\r\nX-Handover: %d\r\nContent-Length: 0\r\n\r\n"
        % token
    )


class _CopyingTarget:
    """Sends copies of its responses where the next response is expected.

    Attributes:
        copies: Bytes that precede the responses on a connection, in order.
        statuses: Responses to grants; the last one is repeated.
        work: Seconds until a release is answered.
        served: Path and token of each order in the order of their responses.
    """

    def __init__(self, copies, grants=(_OK,), work=0.0):
        self.copies = list(copies)
        self.grants = list(grants)
        self.work = work
        self.served = []
        self._tokens = itertools.count(1)
        self.writers = []

    async def serve(self, reader, writer):
        """Serves one connection."""
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = head.lower().split(b"content-length: ")[1]
                await reader.readexactly(int(size.split(b"\r\n")[0]))
                path = head.split(b" ")[1]
                if self.copies and (copy := self.copies.pop(0)):
                    writer.write(copy)
                if path == b"/grant":
                    more = len(self.grants) > 1
                    response = self.grants.pop(0) if more else self.grants[0]
                else:
                    await asyncio.sleep(self.work)
                    response = _released(next(self._tokens))
                self.served.append(path)
                writer.write(response)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def _run_copies(target, scenario):
    async def main():
        server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        pool = http_client.Pool(2.0)
        try:
            async with asyncio.timeout(10):
                await scenario(orders.OrderClient(pool), f"{host}:{port}")
        finally:
            pool.close()
            for writer in target.writers:
                writer.close()
            server.close()
            await asyncio.sleep(0)

    asyncio.run(main())


class TestCopies:
    """Copies of responses that arrive where the next one is expected."""

    @pytest.mark.parametrize(
        "copy",
        [_OK, _STALE, _OTHER, _ECHOED],
        ids=["grant", "stale grant", "other target", "request"],
    )
    def test_release(self, copy):
        """A copy confirms a release while the target is at work on the keys."""

        async def scenario(client, address):
            assert (await client.grant("i-1", address, GRANT, 1.0)).is_ok()
            first = await client.release("i-1", address, RELEASE, 1.0)
            second = await client.release("i-1", address, RELEASE, 1.0)
            # The response that follows a skipped copy is the right one.
            if first.is_err():
                assert first.err_value.kind is errors.ErrorKind.ANSWER_LOST
                assert second.ok_value == str(target.served.count(b"/release"))
            else:
                assert (first.ok_value, second.ok_value) == ("1", "2")

        target = _CopyingTarget([b"", copy], work=0.1)
        _run_copies(target, scenario)

    def test_release_after_release(self):
        """The copy of an earlier release's response confirms a later one."""

        async def scenario(client, address):
            first = await client.release("i-1", address, RELEASE, 1.0)
            second = await client.release("i-1", address, RELEASE, 1.0)
            third = await client.release("i-1", address, RELEASE, 1.0)
            assert first.ok_value == "1"
            assert second.err_value.kind is errors.ErrorKind.ANSWER_LOST
            assert third.ok_value not in ("", "1")

        target = _CopyingTarget([b"", _released(1)], work=0.1)
        _run_copies(target, scenario)

    @pytest.mark.parametrize(
        "copy", [_STALE, _OTHER], ids=["stale grant", "other target"]
    )
    def test_grant(self, copy):
        """A copied refusal ends a grant that the target has accepted."""

        async def scenario(client, address):
            assert (await client.grant("i-1", address, GRANT, 1.0)).is_err()
            second = await client.grant("i-1", address, GRANT, 1.0)
            assert second.err_value.kind is errors.ErrorKind.ANSWER_LOST
            assert (await client.grant("i-1", address, GRANT, 1.0)).is_ok()

        _run_copies(_CopyingTarget([b"", copy], [copy, _OK]), scenario)

    @pytest.mark.parametrize(
        ("refusal", "kind"),
        [
            (_STALE, errors.ErrorKind.WRONG_FENCE),
            (_OTHER, errors.ErrorKind.TARGET_REPLACED),
        ],
        ids=["stale grant", "other target"],
    )
    def test_refusal_on_a_used_connection(self, refusal, kind):
        """A refusal that is no copy counts on the next connection only."""

        async def scenario(client, address):
            assert (await client.grant("i-1", address, GRANT, 1.0)).is_ok()
            first = await client.grant("i-1", address, GRANT, 1.0)
            second = await client.grant("i-1", address, GRANT, 1.0)
            assert first.err_value.kind is errors.ErrorKind.ANSWER_LOST
            assert second.err_value.kind is kind

        _run_copies(_CopyingTarget([], [_OK, refusal]), scenario)
