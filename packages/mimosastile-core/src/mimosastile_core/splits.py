"""Splitting slices: the parts keep owner and fence, so nothing else changes."""

from collections.abc import Iterator
import itertools

import msgspec
import result

from mimosastile_core import tables


def split(
    block: tables.Block, parts: dict[int, tuple[int, ...]]
) -> result.Result[tables.Block, str]:
    """Splits slices of a block.

    A slice that is moving is left whole: a proof of release may be under way
    that names it.

    Args:
        block: The block as it is.
        parts: First hash of a slice to the first hashes of its parts.

    Returns:
        The next version, or why nothing changes.
    """
    pieces = tuple(
        part for piece in block.slices for part in _parts(piece, parts)
    )
    if pieces == block.slices:
        return result.Err("nothing to change")
    return result.Ok(
        msgspec.structs.replace(block, version=block.version + 1, slices=pieces)
    )


def _parts(
    piece: tables.Slice, parts: dict[int, tuple[int, ...]]
) -> Iterator[tables.Slice]:
    inside = {f for f in parts.get(piece.first, ()) if f <= piece.last}
    firsts = sorted({piece.first} | {f for f in inside if f > piece.first})
    if piece.next:
        firsts = [piece.first]
    ends = (*firsts[1:], piece.last + 1)
    for first, end in zip(firsts, ends, strict=True):
        yield msgspec.structs.replace(piece, first=first, last=end - 1)


def merge(
    block: tables.Block, firsts: frozenset[int]
) -> result.Result[tables.Block, str]:
    """Joins slices to the one before them, where nothing else would change.

    Only parts of the same owner with the same fence are joined, and none that
    is moving: a proof that names the first part would otherwise cover keys
    that it was not given for.

    Args:
        block: The block as it is.
        firsts: First hashes of slices that may be joined to the one before.

    Returns:
        The next version, or why nothing changes.
    """
    joined: list[tables.Slice] = []
    for piece in block.slices:
        before = joined[-1] if joined else None
        if piece.first in firsts and before and _is_twin(before, piece):
            joined[-1] = msgspec.structs.replace(before, last=piece.last)
        else:
            joined.append(piece)
    if len(joined) == len(block.slices):
        return result.Err("nothing to change")
    return result.Ok(
        msgspec.structs.replace(
            block, version=block.version + 1, slices=tuple(joined)
        )
    )


def _is_twin(before: tables.Slice, piece: tables.Slice) -> bool:
    return (
        before.owner == piece.owner
        and before.fence == piece.fence
        and not before.next
        and not piece.next
    )


def neighbours(block: tables.Block) -> Iterator[tuple[int, int]]:
    """Yields first hashes of neighbours that could be joined."""
    for before, piece in itertools.pairwise(block.slices):
        if _is_twin(before, piece):
            yield before.first, piece.first
