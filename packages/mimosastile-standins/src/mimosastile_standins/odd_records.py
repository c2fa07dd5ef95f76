"""Records in forms that no writer of the platform uses, by kind.

The kinds that nest are deeper than the stack of a recursive decoder.
"""

import base64
import json
import random
import zlib

DEPTH = 3000
"""Levels of nesting; a recursive decoder fails at about a thousand."""


def _with(body: bytes, field: str, value: bytes) -> bytes:
    """Returns a JSON object with another field, whose value is given raw."""
    separator = b"," if len(body) > 2 else b""
    return body[:-1] + separator + b'"%b":%b}' % (field.encode(), value)


def forms(body: bytes) -> dict[str, bytes]:
    """Returns odd forms of a record, by kind.

    Args:
        body: The record in its usual form, a JSON object.
    """
    first = next(iter(json.loads(body)), "Odd")
    arrays = b"[" * DEPTH + b"]" * DEPTH
    objects = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
    return {
        "arrays-in-an-unknown-field": _with(body, "Odd", arrays),
        "objects-in-an-unknown-field": _with(body, "Odd", objects),
        "objects-in-a-known-field": _with(body, first, objects),
        "only-arrays": arrays,
        "only-objects": objects,
        "compressed-objects": zlib.compress(objects),
        "compressed-and-cut": zlib.compress(objects)[:-7],
        "a-number-of-400-digits": _with(body, first, b"9" * 400),
        "a-number-of-5000-digits": _with(body, "Odd", b"9" * 5000),
        "an-exponent-out-of-range": _with(body, first, b"1e400"),
        "a-field-twice": _with(body, first, b"null"),
        "a-lone-surrogate": _with(body, first, rb'"\ud800"'),
        "not-utf-8": b"\xff\xfe" + body,
        "cut": body[:-1],
        "empty": b"",
        "null": b"null",
        "base64": base64.b64encode(body),
    }


def draw(rng: random.Random, body: bytes) -> list[tuple[str, bytes]]:
    """Returns a random sequence of odd forms of a record, each kind once.

    Args:
        rng: Source of random choices.
        body: The record in its usual form, a JSON object.
    """
    kinds = list(forms(body).items())
    rng.shuffle(kinds)
    return kinds


def compressed(size: int) -> bytes:
    """Returns a JSON string that a compressed value expands to.

    Args:
        size: Its size in bytes.
    """
    compressor = zlib.compressobj(9)
    block = b"x" * (1 << 20)
    parts = [compressor.compress(b'"')]
    parts += [compressor.compress(block) for _ in range(size >> 20)]
    return b"".join((*parts, compressor.compress(b'"'), compressor.flush()))
