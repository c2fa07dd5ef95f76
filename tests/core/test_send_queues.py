"""Counts of bytes that a peer has not received yet."""

import asyncio
import socket

import pytest

from mimosastile_core import send_queues


class _Transport:
    """A transport whose socket is not of the kind that has a send queue."""

    def __init__(self, connected):
        self._connected = connected

    def get_extra_info(self, name, default=None):
        """Returns the socket."""
        return self._connected

    def get_write_buffer_size(self):
        """Returns the size of the buffer."""
        return 7


class TestUndeliveredBytes:
    """Bytes in this process and in the kernel."""

    @pytest.mark.parametrize("size", [1000, 8_000_000])
    def test_unread(self, size):
        """Guards against bytes in the kernel that count as received."""

        async def scenario():
            with socket.create_server(("127.0.0.1", 0)) as listening:
                listening.setblocking(False)
                reader, writer = await asyncio.open_connection(
                    *listening.getsockname()
                )
                peer, _ = await asyncio.get_running_loop().sock_accept(
                    listening
                )
                transport = writer.transport
                transport.write(b"x" * size)
                errors = []
                before = send_queues.undelivered_bytes(transport, errors.append)
                received = 0
                loop = asyncio.get_running_loop()
                while received < size:
                    received += len(await loop.sock_recv(peer, 1 << 20))
                await asyncio.sleep(0.1)
                after = send_queues.undelivered_bytes(transport, errors.append)
                writer.close()
                peer.close()
                return before, after, errors

        before, after, errors = asyncio.run(scenario())
        assert (before > 1_000_000) is (size > 1_000_000)
        assert (after, errors) == (0, [])

    @pytest.mark.parametrize(
        ("kind", "reported"), [("file", 1), ("closed", 0), ("none", 0)]
    )
    def test_unknown(self, kind, reported):
        """Guards against a close that fails for want of a count."""
        first, second = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
        with first, second, open("/dev/null", "rb") as other:
            if kind == "closed":
                first.close()
            connected = {"file": other, "closed": first}.get(kind)
            errors = []
            count = send_queues.undelivered_bytes(
                _Transport(connected), errors.append
            )
        assert (count, len(errors)) == (7, reported)
