"""Crowds of callers that send what no well-behaved caller sends.

Nothing here depends on how fast a machine is: callers send a fixed number of
bytes or keep a fixed number of connections.
"""

import asyncio
import contextlib
import itertools

_BLOCK_BYTES = 64 << 10
_HEAD = b"GET /issue/1 HTTP/1.1\r\nHost: labels.example\r\n"
_WHOLE = _HEAD + b"\r\n"
_CHUNKED = (
    b"POST /issue/1 HTTP/1.1\r\nHost: labels.example\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)

ENDLESS = {
    "value": (_HEAD + b"X: ", b"y"),
    "name": (_HEAD, b"y"),
    "target": (b"GET /", b"y"),
    "method": (b"", b"G"),
    "version": (b"GET / HTTP/1.1", b"1"),
    "headers": (_HEAD, b"x: y\r\n"),
    "folded-lines": (_HEAD + b"X: y\r\n", b" y\r\n"),
    "trailers": (_CHUNKED + b"0\r\n", b"x: y\r\n"),
    "trailer-value": (_CHUNKED + b"0\r\nX: ", b"y"),
    "trailer-name": (_CHUNKED + b"0\r\n", b"y"),
    "pipelined-value": (_WHOLE + _HEAD + b"X: ", b"y"),
    "pipelined-name": (_WHOLE + _HEAD, b"y"),
    "pipelined-headers": (_WHOLE + _HEAD, b"x: y\r\n"),
    "pipelined-target": (_WHOLE + b"GET /", b"y"),
    "empty-lines": (b"", b"\r\n"),
    "empty-lines-without-cr": (b"", b"\n"),
    "empty-lines-behind-a-request": (_WHOLE, b"\r\n"),
    "chunk-size": (_CHUNKED, b"0"),
    "chunk-extension": (_CHUNKED + b"1;", b"y"),
    "chunks-of-one-byte": (_CHUNKED, b"1\r\ny\r\n"),
}
"""What a caller sends first, and what it repeats without end."""

OVERSIZED = _HEAD + b"X: " + b"y" * (1 << 20) + b"\r\n\r\n"
"""A complete head beyond the limit."""


def unfinished_head(size):
    """Returns a head of many short headers that lacks its last line.

    Args:
        size: Its size as the limit on heads counts it.
    """
    return _HEAD + b"x:y\r\n" * ((size - len(_HEAD)) // 6)


def whole_head(path, size):
    """Returns a complete head of many short headers."""
    head = unfinished_head(size - len(path))
    return head.replace(b"/issue/1", path) + b"\r\n"


class Crowd:
    """Connections to one address, kept open until the end of the crowd.

    Attributes:
        refused: Number of connections that could not be opened.
    """

    def __init__(self, address):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._writers = []
        self._readers = []
        self.refused = 0

    async def open(self, count, data=b""):
        """Opens connections, and sends the same bytes on each."""
        for _ in range(count):
            try:
                reader, writer = await asyncio.open_connection(
                    self._host, self._port
                )
            except OSError:
                self.refused += 1
                continue
            self._readers.append(asyncio.create_task(_drop(reader)))
            self._writers.append(writer)
            with contextlib.suppress(OSError):
                writer.write(data)
                await writer.drain()

    async def send_endless(self, first, repeated, size):
        """Sends on all connections until each has sent `size` bytes.

        A connection that the server closes sends no further.
        """
        block = repeated * (_BLOCK_BYTES // len(repeated))
        await asyncio.gather(
            *(_send(w, first, block, size) for w in self._writers)
        )

    async def close(self):
        """Ends all connections."""
        for writer in self._writers:
            writer.transport.abort()
        for task in self._readers:
            task.cancel()
        await asyncio.gather(*self._readers, return_exceptions=True)


async def _send(writer, first, block, size):
    with contextlib.suppress(OSError):
        writer.write(first)
        for _ in itertools.repeat(None, size // len(block)):
            if writer.is_closing():
                break
            writer.write(block)
            await writer.drain()


async def _drop(reader):
    with contextlib.suppress(OSError):
        while await reader.read(_BLOCK_BYTES):
            pass


@contextlib.asynccontextmanager
async def crowd(address, count, data=b""):
    """Runs a crowd of connections to one address."""
    callers = Crowd(address)
    try:
        await callers.open(count, data)
        yield callers
    finally:
        await callers.close()


async def answer(address, request):
    """Returns the status line and headers of the response to a request."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        return await reader.readuntil(b"\r\n\r\n")
    finally:
        writer.transport.abort()
