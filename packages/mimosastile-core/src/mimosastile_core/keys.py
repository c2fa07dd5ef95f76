"""Hashing of request keys into the 64-bit hash space of the slices."""

import xxhash

LAST_HASH = (1 << 64) - 1
"""Highest hash; ranges of hashes include both ends."""


def key_hash(key: str) -> int:
    """Returns the hash of a key.

    Args:
        key: The key of the request after percent-decoding.

    Returns:
        An integer from 0 to `LAST_HASH`, the same on every VM.
    """
    return xxhash.xxh3_64_intdigest(key.encode())


def even_ranges(
    count: int, first: int = 0, last: int = LAST_HASH
) -> list[tuple[int, int]]:
    """Divides a range of hashes into ranges of equal width.

    Args:
        count: Number of ranges, at least 1.
        first: Lowest hash of the range.
        last: Highest hash of the range, inclusive.

    Returns:
        The ranges in ascending order without gaps; both ends inclusive.
    """
    width = last - first + 1
    edges = [first + width * i // count for i in range(count + 1)]
    return [(a, b - 1) for a, b in zip(edges, edges[1:], strict=False)]
