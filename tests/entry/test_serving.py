"""Tests of the HTTP servers."""

import asyncio
import socket

from mimosastile_entry import serving


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
