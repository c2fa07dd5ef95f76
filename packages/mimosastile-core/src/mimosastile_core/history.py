"""The history of the configuration: every change, in blocks of store values.

The value in force carries its own change. A change moves into the history
before the next one takes its place, so that history and value together never
lack one, whatever breaks off in between.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
import zlib

import msgspec
import result

from mimosastile_core import config
from mimosastile_core import patches

SPAN = 64
"""Numbers per block and from one snapshot to the next."""

KEEP_SNAPSHOTS = 64
"""Newest snapshots that all stay."""

THIN = 64
"""Of older snapshots, every so many stays."""

INLINE_BYTES = 4 << 10
"""Longest operations inside a block; longer ones have a value of their own, so
that a full block stays under `SPAN` times this and a little more."""

_PREFIX = "history/"
_THINNED = b"{}"


class Block(msgspec.Struct, frozen=True):
    """The changes of `SPAN` successive numbers.

    Attributes:
        changes: In order of their numbers; operations of long ones are left
            out here and stand under `operations_key`.
    """

    changes: tuple[config.Change, ...] = ()

    @property
    def last(self) -> int:
        """Highest number held, 0 for none."""
        return self.changes[-1].number if self.changes else 0

    @property
    def is_full(self) -> bool:
        """Whether the last number of the span is in."""
        return bool(self.changes) and self.last % SPAN == SPAN - 1


def block_of(number: int) -> int:
    """Returns the index of the block that holds a number."""
    return number // SPAN


def block_key(index: int) -> str:
    """Returns the store key of a block."""
    return f"{_PREFIX}block/{index:08d}"


def snapshot_key(index: int) -> str:
    """Returns the store key of the document at the first number of a block."""
    return f"{_PREFIX}snapshot/{index:08d}"


def operations_key(number: int) -> str:
    """Returns the store key of operations too long for a block."""
    return f"{_PREFIX}operations/{number:010d}"


def change_of(version: config.Version) -> config.Change:
    """Returns the change that made a version.

    A version that was put into the store by other means has none; its change
    then replaces the whole document and says so.
    """
    if version.change is not None:
        return version.change
    raw = patches.to_raw(version.document)
    return config.Change(
        number=version.number,
        id=f"imported-{version.number}",
        author="",
        reason="Written to the store without a patch.",
        ticket="",
        time=0.0,
        operations=({"op": "replace", "path": "", "value": raw},),
        paths=("",),
    )


def is_long(change: config.Change) -> bool:
    """Whether a change's operations get a value of their own."""
    return len(msgspec.json.encode(change.operations)) > INLINE_BYTES


def append(block: Block, change: config.Change) -> Block:
    """Returns the block with a change, the same block if it has it.

    Whoever appends a number appends the same change: it comes from the value
    that had this number, and there is only one.
    """
    if change.number <= block.last:
        return block
    if is_long(change):
        change = msgspec.structs.replace(change, operations=())
    return Block((*block.changes, change))


def thinned_by(number: int) -> int | None:
    """Returns the snapshot that is no longer needed at a number, if any.

    Every document can still be rebuilt, from an older snapshot and more
    changes. No change is ever dropped.
    """
    index = block_of(number) - KEEP_SNAPSHOTS
    starts = number % SPAN == 0
    return index if starts and index > 0 and index % THIN else None


def encode(block: Block) -> bytes:
    """Returns the store value; a full block is compressed for good."""
    plain = msgspec.json.encode(block)
    return zlib.compress(plain, 9) if block.is_full else plain


def decode(value: bytes) -> result.Result[Block, str]:
    """Reads a block from its store value."""
    return _decoded(value, Block)


def encode_json(value: Any) -> bytes:
    """Returns a snapshot or long operations as a store value."""
    return zlib.compress(msgspec.json.encode(value), 9)


def decode_operations(
    value: bytes,
) -> result.Result[tuple[Any, ...], str]:
    """Reads long operations."""
    return _decoded(value, tuple[Any, ...])


def decode_snapshot(value: bytes) -> result.Result[Any, str]:
    """Reads a snapshot; None if it was thinned out."""
    if value == _THINNED:
        return result.Ok(None)
    return _decoded(value, Any)


def thinned() -> bytes:
    """Returns the value that takes the place of a thinned snapshot."""
    return _THINNED


def replay(
    raw: Any, changes: Iterable[config.Change]
) -> result.Result[config.Document, str]:
    """Applies changes in order to a plain JSON document.

    Args:
        raw: A snapshot, as stored.
        changes: With their operations.

    Returns:
        The document after the last change. Fields that were added to the
        schema since have their defaults.
    """
    for change in changes:
        operations = msgspec.convert(
            change.operations, tuple[patches.Operation, ...]
        )
        applied = patches.apply_raw(raw, operations)
        if isinstance(applied, result.Err):
            detail = applied.err_value.detail
            return result.Err(f"number {change.number}: {detail}")
        raw = applied.ok_value
    return config.convert_document(raw)


def blame(
    changes: Iterable[config.Change], path: str
) -> Iterator[config.Change]:
    """Yields the changes that touched a path, in the order given."""
    return (
        c for c in changes if any(patches.touches(p, path) for p in c.paths)
    )


def _decoded(value: bytes, kind: Any) -> result.Result[Any, str]:
    try:
        # JSON never begins with the first byte of a zlib stream.
        plain = zlib.decompress(value) if value[:1] == b"x" else value
        return result.Ok(msgspec.json.decode(plain, type=kind))
    except (zlib.error, msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Err(str(error))
