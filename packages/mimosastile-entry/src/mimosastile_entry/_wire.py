"""Headers and paths of the HTTP exchanges with targets and between peers."""

from collections.abc import AsyncIterator
from collections.abc import Iterable

import aiohttp

from mimosastile_core import errors
from mimosastile_core import holder
from mimosastile_entry import ports

PREFIX = "x-mimosastile-"
"""Prefix of the router's headers; they are stripped from callers' requests."""

MEMBER = PREFIX + "member"
REQUEST_ID = PREFIX + "request-id"
SEND_ID = PREFIX + "send-id"
"""Identifier of one send of a request, which its response repeats."""
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
"""Path at which targets receive grants."""

MESSAGE_PATH = "/peer/message"
"""Path at which peers receive messages."""

FORWARD_PATH = "/forward"
"""Path prefix at which peers receive forwarded requests."""

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
"""Headers that apply to one connection and are never forwarded."""

BODILESS = frozenset({204, 304})
"""Status codes of responses without a body."""


def end_to_end(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that may be forwarded, names in lower case."""
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
        if name not in HOP_BY_HOP
        and name not in named
        and not _is_router_header(name)
    )


def is_router_header(name: bytes) -> bool:
    """Returns whether a header name, in lower case, is reserved to the router.

    Some servers treat underscores in names as dashes; a caller could use that
    to impersonate the router.
    """
    return name[:1] == b"x" and name.replace(b"_", b"-").startswith(_PREFIX)


_PREFIX = PREFIX.encode()


def _is_router_header(name: str) -> bool:
    return name[:1] == "x" and name.replace("_", "-").startswith(PREFIX)


class ResponseHead:
    """Parsed headers of a response.

    Attributes:
        error: Error kind that the server reports, None if it reports none.
        framed: Whether a length or chunks delimit the body.
        headers: Headers that may be forwarded, names in lower case.
    """

    __slots__ = ("error", "framed", "headers")

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        """Parses the headers.

        Args:
            response: Response whose head has arrived.
        """
        pairs = [(n.lower(), v) for n, v in response.headers.items()]
        names = {name for name, _ in pairs}
        self.error: errors.ErrorKind | None = None
        if ERROR in names:
            self.error = parse_error_kind(response.headers[ERROR])
        chunked = "transfer-encoding" in names
        self.framed = chunked or "content-length" in names
        # A length besides chunked encoding, or on a response that has no
        # body by its status, is not the length of the bytes that follow. The
        # caller would wait for bytes that never arrive, or read the next
        # response as part of this one.
        if chunked or response.status in BODILESS:
            pairs = [pair for pair in pairs if pair[0] != "content-length"]
        self.headers = end_to_end(pairs)


def fence_headers(fence: holder.RequestFence) -> dict[str, str]:
    """Returns the headers that carry the fencing token of a request."""
    return {
        BLOCK: f"{fence.block.service}/{fence.block.index}",
        POSITION: str(fence.position),
        FENCE: str(fence.fence),
    }


def request_body(
    request: ports.Request,
) -> bytes | AsyncIterator[bytes] | None:
    """Returns the body that the client sends, None if it is empty."""
    if request.stream is None:
        return request.body or None
    return _concatenate(request.body, request.stream)


async def _concatenate(
    head: bytes, stream: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    if head:
        yield head
    async for chunk in stream:
        yield chunk


def parse_error_kind(name: str | None) -> errors.ErrorKind | None:
    """Returns the error kind that a response's header names, if any.

    An unknown name gives `INTERNAL`.
    """
    try:
        return errors.ErrorKind(name) if name else None
    except ValueError:
        return errors.ErrorKind.INTERNAL
