"""Decodes outside data without ever raising.

What a decoder raises depends on the data and on the library: errors of its own,
`RecursionError` for deep nesting, `ValueError` for numbers of thousands of
digits. Its callers run for ever and read what anybody may have written.
"""

from collections.abc import Callable
from typing import TypeVar
import zlib

import msgspec
import result

from mimosastile_core import supervision

_Data = TypeVar("_Data")
_T = TypeVar("_T")
_ZLIB_FIRST_BYTE = b"\x78"
"""First byte of a zlib stream; JSON never begins with it."""


def decode(
    decoder: Callable[[_Data], _T], data: _Data
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


def decode_json(
    data: bytes, kind: type[_T], most: int
) -> result.Result[_T, str]:
    """Decodes JSON, which may be compressed.

    Args:
        data: Plain JSON, or a zlib stream of it.
        kind: Type of the value.
        most: Largest size after decompression, in bytes.

    Returns:
        The value, or why there is none of that type.
    """
    return decode(
        lambda raw: msgspec.json.decode(_decompress(raw, most), type=kind),
        data,
    )


def _decompress(data: bytes, most: int) -> bytes:
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
