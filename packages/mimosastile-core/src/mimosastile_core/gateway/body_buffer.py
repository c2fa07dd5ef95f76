"""Bodies of messages in blocks, so that no second copy of one is made."""

import collections
from collections.abc import Sequence

BLOCK_BYTES = 64 << 10
"""Size up to which consecutive pieces are joined. It bounds the number of
objects that hold a body of many small pieces."""


class BodyBuffer:
    """The received part of a body.

    Attributes:
        size: Number of bytes in the buffer.
    """

    __slots__ = ("_blocks", "size")

    def __init__(self) -> None:
        """Creates an empty buffer."""
        self._blocks: collections.deque[bytes | bytearray] = collections.deque()
        self.size = 0

    def __bool__(self) -> bool:
        """Whether the buffer holds any bytes."""
        return self.size > 0

    @property
    def blocks(self) -> Sequence[bytes | bytearray]:
        """The bytes in their order, without copying them."""
        return tuple(self._blocks)

    def append(self, piece: bytes) -> None:
        """Appends received bytes."""
        self.size += len(piece)
        blocks = self._blocks
        if not blocks or len(blocks[-1]) + len(piece) > BLOCK_BYTES:
            blocks.append(piece)
            return
        last = blocks[-1]
        if not isinstance(last, bytearray):
            last = blocks[-1] = bytearray(last)
        last += piece

    def take_block(self) -> bytes:
        """Removes the first block and returns it; empty if there is none."""
        if not self._blocks:
            return b""
        block = self._blocks.popleft()
        self.size -= len(block)
        return bytes(block)

    def take(self) -> bytes:
        """Removes all bytes and returns them in one piece."""
        whole = self.joined()
        self.clear()
        return whole

    def joined(self) -> bytes:
        """Returns all bytes in one piece."""
        return join(self._blocks)

    def clear(self) -> None:
        """Removes all bytes."""
        self._blocks.clear()
        self.size = 0


def join(blocks: Sequence[bytes | bytearray]) -> bytes:
    """Returns blocks in one piece, without a copy of a single `bytes`."""
    return bytes(blocks[0]) if len(blocks) == 1 else b"".join(blocks)
