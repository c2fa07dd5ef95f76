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
AUTH = PREFIX + "auth"
BODY_DIGEST = PREFIX + "body-digest"

GRANT_PATH = "/-/grant"
"""Where targets take grants."""

MESSAGE_PATH = "/peer/message"
"""Where peers take messages."""

FORWARD_PATH = "/forward"
"""Prefix under which peers take forwarded requests."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that belong to one connection and are never passed on."""

BODILESS = frozenset({204, 304})
"""Statuses of answers without a body."""


def end_to_end(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that may be passed on, names in lower case."""
    pairs = [(name.lower(), value) for name, value in headers]
    named = {
        token.strip().lower()
        for name, value in pairs
        if name == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in pairs
        if name not in HOP_BY_HOP and name not in named and not _is_own(name)
    )


def is_own(name: bytes) -> bool:
    """Whether a header, in lower case, is one of the router's own.

    Some servers hand a name on with underscores for dashes; a caller could
    use that to pass for the router.
    """
    return name[:1] == b"x" and name.replace(b"_", b"-").startswith(_PREFIX)


_PREFIX = PREFIX.encode()


def _is_own(name: str) -> bool:
    return name[:1] == "x" and name.replace("_", "-").startswith(PREFIX)


class AnswerHead:
    """What one pass over an answer's headers finds.

    Attributes:
        error: The error kind that the other side names, None without one.
        framed: Whether length or chunks tell where the body ends.
        headers: What may be passed on, names in lower case.
    """

    __slots__ = ("error", "framed", "headers")

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        """Reads the headers.

        Args:
            response: The answer.
        """
        pairs = [(n.lower(), v) for n, v in response.headers.items()]
        names = {name for name, _ in pairs}
        self.error: errors.ErrorKind | None = None
        if ERROR in names:
            self.error = named_error(response.headers[ERROR])
        chunked = "transfer-encoding" in names
        self.framed = chunked or "content-length" in names
        # A length beside another framing, or on an answer that has no body by
        # its status, is not the length of what follows; the caller would wait
        # for bytes that never come, or take the next answer for this one's
        # rest.
        if chunked or response.status in BODILESS:
            pairs = [pair for pair in pairs if pair[0] != "content-length"]
        self.headers = end_to_end(pairs)


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


def named_error(name: str | None) -> errors.ErrorKind | None:
    """Returns the error kind that an answer's header names, if any."""
    try:
        return errors.ErrorKind(name) if name else None
    except ValueError:
        return errors.ErrorKind.INTERNAL
