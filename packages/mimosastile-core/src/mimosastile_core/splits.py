"""Splits and merges of slices that leave owners and fences unchanged."""

from collections.abc import Iterator
import itertools

import msgspec
import result

from mimosastile_core import tables


def split(
    block: tables.Block, parts: dict[int, tuple[int, ...]]
) -> result.Result[tables.Block, str]:
    """Splits slices of a block.

    A moving slice is not split, because a proof of release that names it may
    be in flight.

    Args:
        block: The current block.
        parts: First hash of a slice to the first hashes of its parts.

    Returns:
        The next version of the block, or the reason why nothing changes.
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
    starts = {f for f in parts.get(piece.first, ()) if f <= piece.last}
    firsts = sorted({piece.first} | {f for f in starts if f > piece.first})
    if piece.next:
        firsts = [piece.first]
    ends = (*firsts[1:], piece.last + 1)
    for first, end in zip(firsts, ends, strict=True):
        yield msgspec.structs.replace(piece, first=first, last=end - 1)


def merge(
    block: tables.Block, firsts: frozenset[int]
) -> result.Result[tables.Block, str]:
    """Merges slices into their predecessors where only bounds change.

    Only parts with the same owner and the same fence are merged, and no moving
    ones. Otherwise a proof that names the first part would cover keys that it
    was not issued for.

    Args:
        block: The current block.
        firsts: First hashes of slices that may be merged into the previous one.

    Returns:
        The next version of the block, or the reason why nothing changes.
    """
    joined: list[tables.Slice] = []
    for piece in block.slices:
        previous = joined[-1] if joined else None
        if (
            piece.first in firsts
            and previous
            and _is_mergeable(previous, piece)
        ):
            joined[-1] = msgspec.structs.replace(previous, last=piece.last)
        else:
            joined.append(piece)
    if len(joined) == len(block.slices):
        return result.Err("nothing to change")
    return result.Ok(
        msgspec.structs.replace(
            block, version=block.version + 1, slices=tuple(joined)
        )
    )


def _is_mergeable(previous: tables.Slice, piece: tables.Slice) -> bool:
    return (
        previous.owner == piece.owner
        and previous.fence == piece.fence
        and not previous.next
        and not piece.next
    )


def mergeable_pairs(block: tables.Block) -> Iterator[tuple[int, int]]:
    """Yields the first hashes of adjacent slices that can be merged."""
    for previous, piece in itertools.pairwise(block.slices):
        if _is_mergeable(previous, piece):
            yield previous.first, piece.first
