"""Tests of the adapters to the platform's services, over sockets."""

import asyncio

import msgspec
import rig

from mimosastile_entry import _client
from mimosastile_entry import _platform_http
from mimosastile_entry import kernel
from mimosastile_entry import ports


def _stored(number):
    body = msgspec.json.encode(ports.Entry(f"k{number}", b"v", number + 1))
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (
        len(body),
        body,
    )


class TestCopiedResponses:
    """A service that sends copies of its earlier responses."""

    def test_write_is_not_confirmed_by_another(self):
        """Guards against a copy that confirms a write of another key."""

        def replies(number):
            earlier = _stored(number - 1) if peer.connections == 1 else b""
            return rig.Reply(earlier * bool(number) + _stored(number))

        async def scenario():
            nonlocal peer
            async with rig.raw_server(replies) as peer:
                services = kernel.Kernel()
                client = _client.HttpClient()
                services.register(client)
                await client.start(services)
                store = _platform_http.HttpStore(
                    f"http://{rig.HOST}:{peer.port}", 1.0
                )
                await store.start(services)
                found = [
                    (await store.compare_and_swap(f"k{n}", b"v", 0)).ok()
                    for n in range(3)
                ]
                await client.stop()
                return found

        peer = None
        assert asyncio.run(scenario()) == [1, 2, 3]
        assert peer.connections == 3
