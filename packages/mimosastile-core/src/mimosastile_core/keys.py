"""Hashing of request keys into the 64-bit space that slices divide."""

import xxhash

LAST_HASH = (1 << 64) - 1
"""Highest value of the hash space; ranges are inclusive on both ends."""


def key_hash(key: str) -> int:
    """Returns the position of a key in the hash space.

    Args:
        key: The key as the request carries it, percent-decoding done.

    Returns:
        A number from 0 to `LAST_HASH`, the same on every VM.
    """
    return xxhash.xxh3_64_intdigest(key.encode())


def even_ranges(
    count: int, first: int = 0, last: int = LAST_HASH
) -> list[tuple[int, int]]:
    """Divides a range of the hash space into ranges of equal width.

    Args:
        count: How many ranges, at least 1.
        first: Lowest hash of the whole range.
        last: Highest hash of the whole range, inclusive.

    Returns:
        The ranges in order, inclusive on both ends and without gaps.
    """
    width = last - first + 1
    edges = [first + width * i // count for i in range(count + 1)]
    return [(a, b - 1) for a, b in zip(edges, edges[1:], strict=False)]
