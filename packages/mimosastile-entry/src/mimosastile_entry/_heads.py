"""Parsing and validation of request heads."""

from collections.abc import Sequence
import re
from urllib import parse

from mimosastile_core import errors
from mimosastile_entry import _wire
from mimosastile_entry import settings

RawHeaders = list[tuple[bytes, bytes]]

_BAD_ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")
_DOT_SEGMENT = re.compile(rb"/(?:\.|%2[eE]){1,2}(?:/|$)")
_HEADER_OVERHEAD = len(": \r\n")
_MAX_LENGTH_DIGITS = 15
_MAX_DEADLINE_DIGITS = 9
_DEADLINE_HEADER = b"x-request-timeout-ms"
_FORWARDED = frozenset({b"content-length", _DEADLINE_HEADER})
"""Headers that are read here and also forwarded."""

# The credential is not forwarded: a target that leaked it would let others
# act as the member.
_SPECIAL = _FORWARDED | {
    name.encode() for name in (*_wire.HOP_BY_HOP, "authorization")
}
_X = ord("x")


def path_error(path: bytes) -> str:
    """Returns the problem with a path, empty if it is valid.

    Args:
        path: The path as received, percent-encoded.
    """
    if path[:1] != b"/":
        return "The path must begin with a slash."
    # A server that resolves dot segments would run the request for a
    # different key than the one used to choose the owner.
    if (b"/." in path or b"%2" in path) and _DOT_SEGMENT.search(path):
        return "The path has dot segments."
    if b"%" in path:
        if _BAD_ESCAPE.search(path):
            return "The path has a broken percent encoding."
        try:
            parse.unquote_to_bytes(path).decode()
        except UnicodeDecodeError:
            return "The path is not UTF-8."
    return ""


class Head:
    """Parsed request headers, collected in one pass.

    Attributes:
        size: Size of all headers on the wire, in bytes.
        length: Declared body length in bytes, 0 if none is declared.
        has_body: Whether the headers declare a body.
        closes: Whether the caller closes the connection after the response.
        expects: Whether the caller waits for 100 Continue to send its body.
        authorization: The credential, empty unless there is exactly one.
        deadline: The requested timeout, empty unless there is exactly one.
        headers: Headers to forward, None if one cannot be decoded.
    """

    __slots__ = (
        "authorization",
        "closes",
        "deadline",
        "expects",
        "has_body",
        "headers",
        "length",
        "size",
    )

    def __init__(self, raw: RawHeaders) -> None:
        """Parses the headers.

        Args:
            raw: Lower-case names and values, as received from the server.
        """
        special: dict[bytes, list[bytes]] = {}
        forwarded = []
        size = _HEADER_OVERHEAD * len(raw)
        for pair in raw:
            name, value = pair
            size += len(name) + len(value)
            if name in _SPECIAL:
                special.setdefault(name, []).append(value)
                if name not in _FORWARDED:
                    continue
            elif name[0] == _X and _wire.is_router_header(name):
                continue
            forwarded.append(pair)
        self.size = size
        # This VM and the target could each use a different one of two values,
        # so duplicates count as none.
        self.authorization = _single(special.pop(b"authorization", ()))
        self.deadline = b""
        self.length = 0
        self.closes = self.expects = self.has_body = False
        if special:
            forwarded = self._parse_special(special, forwarded)
        self.headers = _decode(forwarded)

    def _parse_special(
        self, special: dict[bytes, list[bytes]], forwarded: RawHeaders
    ) -> RawHeaders:
        """Parses optional headers; returns the headers to forward."""
        self.deadline = _single(special.get(_DEADLINE_HEADER, ()))
        self.length = _length(special.get(b"content-length", ()))
        self.expects = b"expect" in special
        self.has_body = (
            b"content-length" in special or b"transfer-encoding" in special
        )
        tokens = special.get(b"connection", ())
        self.closes = any(b"close" in token.lower() for token in tokens)
        return _without_named(forwarded, tokens) if tokens else forwarded


def too_large(
    path: bytes, query: bytes, head: Head, limits: settings.LimitSettings
) -> errors.Failure | None:
    """Returns the failure of a head that exceeds a limit, else None."""
    kind = errors.ErrorKind.HEADERS_TOO_LARGE
    if len(path) + len(query) > limits.url_bytes:
        return errors.Failure(kind, "The URL is too long.")
    if head.size > limits.header_bytes:
        return errors.Failure(kind)
    return None


def milliseconds(text: bytes) -> int | None:
    """Returns a header's time in ms, None if it is not a valid number."""
    if not text.isdigit() or len(text) > _MAX_DEADLINE_DIGITS:
        return None
    return int(text)


def _single(values: Sequence[bytes]) -> bytes:
    return values[0] if len(values) == 1 else b""


def _length(values: Sequence[bytes]) -> int:
    text = _single(values)
    return int(text[:_MAX_LENGTH_DIGITS]) if text.isdigit() else 0


def _without_named(
    forwarded: RawHeaders, tokens: Sequence[bytes]
) -> RawHeaders:
    """Drops the hop-by-hop headers that the connection header names."""
    connection_options = {
        name.strip().lower() for token in tokens for name in token.split(b",")
    }
    return [pair for pair in forwarded if pair[0] not in connection_options]


def _decode(forwarded: RawHeaders) -> tuple[tuple[str, str], ...] | None:
    try:
        return tuple([(n.decode("ascii"), v.decode()) for n, v in forwarded])
    except UnicodeDecodeError:
        return None


def decoded(raw: RawHeaders) -> list[tuple[str, str]] | None:
    """Returns all headers as text, None if one cannot be decoded."""
    text = _decode(raw)
    return None if text is None else list(text)
