"""A caller that sends requests ahead while it reads slowly."""

import asyncio
import contextlib
import socket

_RECEIVE_BUFFER_BYTES = 16 << 10


async def count_while_sending(address, first, ahead, begun, pause=0.001):
    """Sends requests until the connection ends, and counts what it receives.

    Args:
        address: Host and port.
        first: What is sent at once.
        ahead: What is sent with each piece that is received.
        begun: Called when all of `first` was sent.
        pause: Seconds between two pieces.

    Returns:
        Number of bytes `x` received.

    Raises:
        ConnectionResetError: The connection was reset.
    """
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        sock.setblocking(False)
        await loop.sock_connect(sock, address)
        await loop.sock_sendall(sock, first)
        await asyncio.sleep(0.05)
        begun()
        received = 0
        while data := await loop.sock_recv(sock, 32 << 10):
            received += data.count(b"x")
            with contextlib.suppress(BrokenPipeError):
                await loop.sock_sendall(sock, ahead)
            await asyncio.sleep(pause)
    return received
