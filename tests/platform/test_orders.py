"""Orders to targets and decoding of their responses."""

import asyncio
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
            released = await client.release("i-1", address, RELEASE, 1.0)
            assert granted.err_value.kind is kind
            assert released.err_value.kind is kind

        _run(_respond(status), scenario)

    def test_refused_by_the_target_itself(self):
        """Guards against a live target that counts as replaced."""

        async def scenario(client, address, requests):
            granted = await client.grant("i-1", address, GRANT, 1.0)
            assert granted.err_value.kind is errors.ErrorKind.BAD_REQUEST
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
