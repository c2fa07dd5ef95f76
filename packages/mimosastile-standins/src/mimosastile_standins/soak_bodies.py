"""Callers and targets of a soak that make a daemon hold or read too much."""

import asyncio
import contextlib
import itertools
import random

from mimosastile_standins import platform_world

BODY_BYTES = 1 << 20
"""Size of the bodies that are read or sent slowly: the largest allowed."""
_PIECE_BYTES = 16 << 10
_PIECE_SECONDS = 0.05
"""Pause after each piece that is read or sent."""
_PIPELINED = 4
"""Requests that a slow reader sends at once on a connection."""
_FILLER_BYTES = 4 << 10
_HEAD = b"HTTP/1.1 200 OK\r\n"
_ENDLESS = {
    "head": (_HEAD, b"X-Filler: " + b"x" * _FILLER_BYTES + b"\r\n"),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "body": (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"%x\r\n%b\r\n" % (_FILLER_BYTES, b"x" * _FILLER_BYTES),
    ),
    "no answer": (b"", b"x" * _FILLER_BYTES),
}
ENDLESS_KINDS = tuple(sorted(_ENDLESS))
"""Kinds of bytes without end that are no answer or only its beginning."""


def endless(kind: str) -> tuple[bytes, bytes]:
    """Returns the beginning, and what follows it again and again."""
    return _ENDLESS[kind]


async def read_slowly(address: str, seconds: float, rng: random.Random) -> None:
    """Requests responses on one connection and reads them slowly.

    Args:
        address: Host and port of a daemon.
        seconds: Time after which the connection is closed.
        rng: Chooses keys and identifiers.
    """
    requests = b"".join(_request(b"GET", rng) for _ in range(_PIPELINED))
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(seconds):
            reader, writer = await _connect(address)
            try:
                writer.write(requests)
                while await reader.read(_PIECE_BYTES):
                    await asyncio.sleep(_PIECE_SECONDS)
            finally:
                writer.close()


async def send_slowly(address: str, seconds: float, rng: random.Random) -> None:
    """Sends a large request in chunks, slowly, and reads its response.

    Args:
        address: Host and port of a daemon.
        seconds: Time after which the connection is closed.
        rng: Chooses the identifier.
    """
    piece = b"%x\r\n%b\r\n" % (_PIECE_BYTES, bytes(_PIECE_BYTES))
    pieces = itertools.repeat(piece, BODY_BYTES // _PIECE_BYTES)
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(seconds):
            reader, writer = await _connect(address)
            try:
                writer.write(_request(b"POST", rng))
                for sent in itertools.chain(pieces, (b"0\r\n\r\n",)):
                    writer.write(sent)
                    await writer.drain()
                    await asyncio.sleep(_PIECE_SECONDS / 10)
                await reader.read()
            finally:
                writer.close()


async def _connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port), limit=_PIECE_BYTES)


def _request(method: bytes, rng: random.Random) -> bytes:
    """Returns a read with a key, or the head of a chunked upload."""
    upload = method == b"POST"
    path = b"/issue/" if upload else b"/read/"
    extra = (
        b"Transfer-Encoding: chunked"
        if upload
        else b"X-Shard-Key: %d" % rng.randrange(65536)
    )
    lines = (
        b"%b %bs HTTP/1.1" % (method, path),
        b"Host: " + platform_world.HOST.encode(),
        b"X-Attempt-Id: s%x" % rng.getrandbits(60),
        b"X-Deadline-Ms: 2000",
        extra,
    )
    return b"\r\n".join(lines) + b"\r\n\r\n"
