"""Tests of the HTTP servers."""

import asyncio
import socket

from mimosastile_entry import serving


async def _no_app(scope, receive, send):
    del scope, receive, send


class TestSmallAnswers:
    """Head and body of an answer leave in two writes.

    Without TCP_NODELAY the second waits for the acknowledgement of the first,
    and callers see 40 ms on every request.
    """

    def test_accepted_connections_send_at_once(self):
        """The option is set on what the listener accepts."""

        async def story():
            listener = await serving.listen(_no_app, "127.0.0.1", 0, 1.0)
            _, writer = await asyncio.open_connection(
                "127.0.0.1", listener.port
            )
            state = listener._state
            while not state.connections:
                await asyncio.sleep(0)
            (accepted,) = state.connections
            bound = accepted.transport.get_extra_info("socket")
            option = bound.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            writer.close()
            await listener.stop()
            return option

        assert asyncio.run(story()) != 0
