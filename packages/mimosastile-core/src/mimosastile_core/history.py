"""Change history of the configuration, in blocks and snapshots in the store.

The stored current configuration contains the change that made it. That change
is written to the history before the next configuration replaces the current
one. History and current configuration together therefore contain every
change, even if a VM crashes between the two writes.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
import zlib

import msgspec
import result

from mimosastile_core import config
from mimosastile_core import decoding
from mimosastile_core import patches

BLOCK_SPAN = 64
"""Numbers per block, and from one snapshot to the next."""

RECENT_SNAPSHOTS = 64
"""Number of newest snapshots that are all kept."""

KEPT_SNAPSHOT_INTERVAL = 64
"""Of the older snapshots, one in this number is kept."""

MAX_INLINE_BYTES = 4 << 10
"""Maximum size of operations inside a block; longer ones have a store value of
their own. A full block stays little above `BLOCK_SPAN` times this size."""

_PREFIX = "history/"
_THINNED_SNAPSHOT = b"{}"
_MAX_VALUE_BYTES = 64 << 20
"""Largest size in bytes of a value after decompression."""


class Block(msgspec.Struct, frozen=True):
    """The changes of `BLOCK_SPAN` successive numbers.

    Attributes:
        changes: By ascending number; operations longer than `MAX_INLINE_BYTES`
            are left out here and stored under `operations_key`.
    """

    changes: tuple[config.Change, ...] = ()

    @property
    def last(self) -> int:
        """Highest number in the block, 0 for none."""
        return self.changes[-1].number if self.changes else 0

    @property
    def is_full(self) -> bool:
        """Whether the block contains the last number of its span."""
        return bool(self.changes) and self.last % BLOCK_SPAN == BLOCK_SPAN - 1


def block_index(number: int) -> int:
    """Returns the index of the block that contains a number."""
    return number // BLOCK_SPAN


def block_key(index: int) -> str:
    """Returns the store key of a block."""
    return f"{_PREFIX}block/{index:08d}"


def snapshot_key(index: int) -> str:
    """Returns the store key of the document at the first number of a block."""
    return f"{_PREFIX}snapshot/{index:08d}"


def operations_key(number: int) -> str:
    """Returns the store key of a change's operations too long for a block."""
    return f"{_PREFIX}operations/{number:010d}"


def change_for(version: config.Version) -> config.Change:
    """Returns the change that made a version.

    A version that was written to the store without a patch has no change; a
    change that replaces the whole document is returned for it.
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


def has_long_operations(change: config.Change) -> bool:
    """Whether a change's operations get a store value of their own."""
    return len(msgspec.json.encode(change.operations)) > MAX_INLINE_BYTES


def append(block: Block, change: config.Change) -> Block:
    """Returns the block with a change added; idempotent.

    Every VM that appends a number appends the same change, because it comes
    from the only configuration that had this number.
    """
    if change.number <= block.last:
        return block
    if has_long_operations(change):
        change = msgspec.structs.replace(change, operations=())
    return Block((*block.changes, change))


def snapshot_to_thin(number: int) -> int | None:
    """Returns the index of the snapshot to thin out at a number, if any.

    Every document can still be rebuilt from an older snapshot and more
    changes. No change is ever deleted.
    """
    index = block_index(number) - RECENT_SNAPSHOTS
    starts = number % BLOCK_SPAN == 0
    return (
        index
        if starts and index > 0 and index % KEPT_SNAPSHOT_INTERVAL
        else None
    )


def encode(block: Block) -> bytes:
    """Returns the store value of a block; full blocks are compressed."""
    plain = msgspec.json.encode(block)
    return zlib.compress(plain, 9) if block.is_full else plain


def decode(value: bytes) -> result.Result[Block, str]:
    """Decodes a block from its store value."""
    return _decode_value(value, Block)


def encode_json(value: Any) -> bytes:
    """Returns a snapshot or long operations as a store value."""
    return zlib.compress(msgspec.json.encode(value), 9)


def decode_operations(
    value: bytes,
) -> result.Result[tuple[Any, ...], str]:
    """Decodes operations that are stored outside a block."""
    return _decode_value(value, tuple[Any, ...])


def decode_snapshot(value: bytes) -> result.Result[Any, str]:
    """Decodes a snapshot; None if it was thinned out."""
    if value == _THINNED_SNAPSHOT:
        return result.Ok(None)
    return _decode_value(value, Any)


def thinned_snapshot() -> bytes:
    """Returns the store value that replaces a thinned snapshot."""
    return _THINNED_SNAPSHOT


def replay(
    raw: Any, changes: Iterable[config.Change]
) -> result.Result[config.Document, str]:
    """Applies changes in order to a plain JSON document.

    Args:
        raw: The decoded snapshot.
        changes: The changes by ascending number, with their operations.

    Returns:
        The document after the last change, or an error message. Fields that
        were added to the schema since have their defaults.
    """
    for change in changes:
        read = decoding.decode(_to_operations, change.operations)
        if isinstance(read, result.Err):
            return result.Err(f"number {change.number}: {read.err_value}")
        applied = patches.apply_raw(raw, read.ok_value)
        if isinstance(applied, result.Err):
            detail = applied.err_value.detail
            return result.Err(f"number {change.number}: {detail}")
        raw = applied.ok_value
    return config.convert_document(raw)


def blame(
    changes: Iterable[config.Change], path: str
) -> Iterator[config.Change]:
    """Yields the changes that affected a path, in the given order."""
    return (
        c for c in changes if any(patches.overlaps(p, path) for p in c.paths)
    )


def _to_operations(raw: Any) -> tuple[patches.Operation, ...]:
    return msgspec.convert(raw, tuple[patches.Operation, ...])


def _decode_value(value: bytes, kind: Any) -> result.Result[Any, str]:
    return decoding.decode_json(value, kind, _MAX_VALUE_BYTES)
