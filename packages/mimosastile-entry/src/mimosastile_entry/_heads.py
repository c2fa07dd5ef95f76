"""Checks of a request's head before any work is done for it."""

import re
from urllib import parse

import result

from mimosastile_core import errors
from mimosastile_entry import settings

RawHeaders = list[tuple[bytes, bytes]]

_BAD_ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")
_DOT_SEGMENT = re.compile(rb"/(?:\.|%2[eE]){1,2}(?:/|$)")
_FRAMING = frozenset({b"content-length", b"transfer-encoding"})
_HEADER_OVERHEAD = len(": \r\n")
_MAX_LENGTH_DIGITS = 15


def path_problem(path: bytes) -> str:
    """Returns what is wrong with a path, empty if nothing is.

    Args:
        path: The path as received, percent-encoded.
    """
    if path[:1] != b"/":
        return "The path must begin with a slash."
    # A server that resolves dot segments would run the request for another
    # key than the one whose owner was chosen.
    if _DOT_SEGMENT.search(path):
        return "The path has dot segments."
    if b"%" in path:
        if _BAD_ESCAPE.search(path):
            return "The path has a broken percent encoding."
        try:
            parse.unquote_to_bytes(path).decode()
        except UnicodeDecodeError:
            return "The path is not UTF-8."
    return ""


def too_large(
    path: bytes,
    query: bytes,
    headers: RawHeaders,
    limits: settings.LimitSettings,
) -> errors.Failure | None:
    """Returns the failure of a head over its limits, None within them."""
    kind = errors.ErrorKind.HEADERS_TOO_LARGE
    if len(path) + len(query) > limits.url_bytes:
        return errors.Failure(kind, "The URL is too long.")
    size = 0
    for name, value in headers:
        size += len(name) + len(value) + _HEADER_OVERHEAD
    return errors.Failure(kind) if size > limits.header_bytes else None


def decoded(
    headers: RawHeaders,
) -> result.Result[list[tuple[str, str]], errors.Failure]:
    """Returns the headers as text; names are in lower case already."""
    try:
        return result.Ok([(n.decode("ascii"), v.decode()) for n, v in headers])
    except UnicodeDecodeError:
        return result.Err(
            errors.Failure(
                errors.ErrorKind.BAD_REQUEST, "A header is not UTF-8."
            )
        )


def length(headers: RawHeaders) -> int:
    """Returns the declared length of the body, 0 if none is declared."""
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            return int(value[:_MAX_LENGTH_DIGITS])
    return 0


def has_body(headers: RawHeaders) -> bool:
    """Whether the head announces a body."""
    return any(name in _FRAMING for name, _ in headers)


def only(headers: RawHeaders, wanted: bytes) -> bytes:
    """Returns the value of a header that must not come twice.

    Of two values this VM and the target could each believe another one, so
    two count as none.
    """
    found = [value for name, value in headers if name == wanted]
    return found[0] if len(found) == 1 else b""
