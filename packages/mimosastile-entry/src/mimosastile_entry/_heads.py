"""Checks of a request's head before any work is done for it."""

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
_DEADLINE_DIGITS = 9
_DEADLINE_HEADER = b"x-request-timeout-ms"
_PASSED = frozenset({b"content-length", _DEADLINE_HEADER})
"""Headers that are read here and passed on all the same."""

# The credential ends here: a target that leaked it could act as the member.
_NOTED = _PASSED | {
    name.encode() for name in (*_wire.HOP_BY_HOP, "authorization")
}
_X = ord("x")


def path_problem(path: bytes) -> str:
    """Returns what is wrong with a path, empty if nothing is.

    Args:
        path: The path as received, percent-encoded.
    """
    if path[:1] != b"/":
        return "The path must begin with a slash."
    # A server that resolves dot segments would run the request for another
    # key than the one whose owner was chosen.
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
    """What one pass over a request's headers finds.

    Attributes:
        size: Bytes of all headers on the wire.
        length: Declared length of the body, 0 if none is declared.
        has_body: Whether a body is announced.
        closes: Whether the caller closes the connection after the answer.
        expects: Whether the caller waits for leave to send its body.
        authorization: The credential, empty if there is none or are two.
        deadline: The wish for a deadline, empty if there is none or are two.
        headers: What may be passed on, None if it is no text.
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
        """Reads the headers.

        Args:
            raw: Names in lower case and values, as the server gives them.
        """
        special: dict[bytes, list[bytes]] = {}
        plain = []
        size = _HEADER_OVERHEAD * len(raw)
        for pair in raw:
            name, value = pair
            size += len(name) + len(value)
            if name in _NOTED:
                special.setdefault(name, []).append(value)
                if name not in _PASSED:
                    continue
            elif name[0] == _X and _wire.is_router_header(name):
                continue
            plain.append(pair)
        self.size = size
        # Of two values this VM and the target could each believe another
        # one, so two count as none.
        self.authorization = _only(special.pop(b"authorization", ()))
        self.deadline = b""
        self.length = 0
        self.closes = self.expects = self.has_body = False
        if special:
            plain = self._read(special, plain)
        self.headers = _decoded(plain)

    def _read(
        self, special: dict[bytes, list[bytes]], plain: RawHeaders
    ) -> RawHeaders:
        """Reads what only some requests have; returns what is passed on."""
        self.deadline = _only(special.get(_DEADLINE_HEADER, ()))
        self.length = _length(special.get(b"content-length", ()))
        self.expects = b"expect" in special
        self.has_body = (
            b"content-length" in special or b"transfer-encoding" in special
        )
        tokens = special.get(b"connection", ())
        self.closes = any(b"close" in token.lower() for token in tokens)
        return _without(plain, tokens) if tokens else plain


def too_large(
    path: bytes, query: bytes, head: Head, limits: settings.LimitSettings
) -> errors.Failure | None:
    """Returns the failure of a head over its limits, None within them."""
    kind = errors.ErrorKind.HEADERS_TOO_LARGE
    if len(path) + len(query) > limits.url_bytes:
        return errors.Failure(kind, "The URL is too long.")
    if head.size > limits.header_bytes:
        return errors.Failure(kind)
    return None


def milliseconds(text: bytes) -> int | None:
    """Returns a time that a header names, None if it is no such number."""
    if not text.isdigit() or len(text) > _DEADLINE_DIGITS:
        return None
    return int(text)


def _only(values: Sequence[bytes]) -> bytes:
    return values[0] if len(values) == 1 else b""


def _length(values: Sequence[bytes]) -> int:
    text = _only(values)
    return int(text[:_MAX_LENGTH_DIGITS]) if text.isdigit() else 0


def _without(plain: RawHeaders, tokens: Sequence[bytes]) -> RawHeaders:
    """Drops what the connection header names as its own."""
    named = {
        name.strip().lower() for token in tokens for name in token.split(b",")
    }
    return [pair for pair in plain if pair[0] not in named]


def _decoded(plain: RawHeaders) -> tuple[tuple[str, str], ...] | None:
    try:
        return tuple([(n.decode("ascii"), v.decode()) for n, v in plain])
    except UnicodeDecodeError:
        return None


def decoded(raw: RawHeaders) -> list[tuple[str, str]] | None:
    """Returns all headers as text, None if they are no text."""
    text = _decoded(raw)
    return None if text is None else list(text)
