"""Decodes outside data without ever raising.

What a decoder raises depends on the data and on the library: errors of its own,
`RecursionError` for deep nesting, `ValueError` for numbers of thousands of
digits. Its callers run for ever and read what anybody may have written.
"""

from collections.abc import Callable
from typing import Any
from typing import TypeVar
import zlib

import msgspec
import result

from mimosastile_core import supervision

_T = TypeVar("_T")
_ZLIB_FIRST_BYTE = b"\x78"
"""First byte of a zlib stream; JSON never begins with it."""


def decode(
    decoder: Callable[[bytes], _T], data: bytes
) -> result.Result[_T, str]:
    """Decodes data.

    Args:
        decoder: Returns the decoded value, or raises any exception.
        data: The data.

    Returns:
        The value, or why there is none.
    """
    try:
        return result.Ok(decoder(data))
    except Exception as error:
        return result.Err(supervision.reason(error))


def convert(raw: Any, kind: type[_T]) -> result.Result[_T, str]:
    """Converts decoded JSON to a type.

    Args:
        raw: The decoded JSON.
        kind: The type.

    Returns:
        The value, or why it is none of that type.
    """
    try:
        return result.Ok(msgspec.convert(raw, kind))
    except Exception as error:
        return result.Err(supervision.reason(error))


def decompress(data: bytes, most: int) -> bytes:
    """Returns data without its compression, if it has any.

    Args:
        data: Plain JSON, or a zlib stream of it.
        most: Largest size after decompression, in bytes.

    Raises:
        ValueError: The data is too large.
        zlib.error: The stream is damaged.
    """
    if data[:1] != _ZLIB_FIRST_BYTE:
        return data
    decompressor = zlib.decompressobj()
    plain = decompressor.decompress(data, most)
    if decompressor.unconsumed_tail:
        raise ValueError(f"larger than {most} bytes after decompression")
    return plain
