"""Headers and paths of the HTTP exchanges with targets and between peers."""

from collections.abc import AsyncIterator
from collections.abc import Iterable

import aiohttp

from mimosastile_core import errors
from mimosastile_core import holder
from mimosastile_entry import ports

PREFIX = "x-mimosastile-"
"""Headers of the router; a caller's are stripped."""

MEMBER = PREFIX + "member"
REQUEST_ID = PREFIX + "request-id"
DEADLINE_MS = PREFIX + "deadline-ms"
TARGET = PREFIX + "target"
ORIGIN = PREFIX + "origin"
BLOCK = PREFIX + "block"
POSITION = PREFIX + "position"
FENCE = PREFIX + "fence"
ERROR = PREFIX + "error"

GRANT_PATH = "/-/grant"
"""Where targets take grants."""

MESSAGE_PATH = "/peer/message"
"""Where peers take messages."""

FORWARD_PATH = "/forward"
"""Prefix under which peers take forwarded requests."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that belong to one connection and are never passed on."""

CHUNK = 64 << 10
"""Bytes passed on at a time; also what one slow reader holds in memory."""


def end_to_end(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that may be passed on, names in lower case."""
    pairs = ((name.lower(), value) for name, value in headers)
    return tuple(
        (name, value)
        for name, value in pairs
        if name not in HOP_BY_HOP and not name.startswith(PREFIX)
    )


def fence_headers(fence: holder.RequestFence) -> dict[str, str]:
    """Returns the headers that tell a target whose order a request is."""
    return {
        BLOCK: f"{fence.block.service}/{fence.block.index}",
        POSITION: str(fence.position),
        FENCE: str(fence.fence),
    }


def request_body(
    request: ports.Request,
) -> bytes | AsyncIterator[bytes] | None:
    """Returns what the client sends as the body."""
    if request.stream is None:
        return request.body or None
    return _joined(request.body, request.stream)


async def _joined(
    head: bytes, stream: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    if head:
        yield head
    async for chunk in stream:
        yield chunk


async def response_chunks(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[bytes]:
    """Yields the body of an answer; raises if it breaks off.

    Raises:
        ports.BrokenAnswerError: The connection ended before the answer did.
    """
    try:
        async for chunk in response.content.iter_chunked(CHUNK):
            yield chunk
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise ports.BrokenAnswerError(str(error)) from error


def to_response(response: aiohttp.ClientResponse) -> ports.Response:
    """Returns an answer that is passed on chunk by chunk.

    Closing it before its end closes the connection: an unfinished exchange
    must never be followed by another request on the same connection, whose
    caller would get the rest of this answer.
    """

    async def close() -> None:
        response.close()

    return ports.Response(
        response.status,
        end_to_end(response.headers.items()),
        response_chunks(response),
        close,
    )


def named_error(name: str | None) -> errors.ErrorKind | None:
    """Returns the error kind that an answer's header names, if any."""
    try:
        return errors.ErrorKind(name) if name else None
    except ValueError:
        return errors.ErrorKind.INTERNAL
