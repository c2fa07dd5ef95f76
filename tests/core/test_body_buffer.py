"""Buffer of a body's blocks."""

import pytest

from mimosastile_core.gateway import body_buffer

_BLOCK = body_buffer.BLOCK_BYTES


def _filled(*sizes):
    buffer = body_buffer.BodyBuffer()
    for number, size in enumerate(sizes):
        buffer.append(bytes([number % 256]) * size)
    return buffer


class TestBodyBuffer:
    """Blocks, their order and their number."""

    @pytest.mark.parametrize(
        ("sizes", "blocks"),
        [
            ((), []),
            ((1,), [1]),
            ((1, 2), [3]),
            ((_BLOCK, 1), [_BLOCK, 1]),
            ((_BLOCK - 1, 1, 1), [_BLOCK, 1]),
            ((3 * _BLOCK, 1, 1), [3 * _BLOCK, 2]),
        ],
    )
    def test_blocks(self, sizes, blocks):
        """Consecutive small pieces share a block."""
        buffer = _filled(*sizes)
        assert [len(block) for block in buffer.blocks] == blocks
        assert buffer.size == sum(sizes)
        assert bool(buffer) == bool(sizes)

    def test_many_small_pieces(self):
        """Guards against an object for each byte of a body in chunks."""
        buffer = _filled(*[1] * (2 * _BLOCK))
        assert len(buffer.blocks) == 2

    def test_taken_in_order(self):
        """All bytes are returned once, in their order."""
        sizes = (10, _BLOCK, 20, 2 * _BLOCK, 5)
        whole = _filled(*sizes).joined()
        buffer = _filled(*sizes)
        first = buffer.take_block()
        assert first + buffer.take() == whole
        assert (buffer.size, buffer.take_block(), buffer.take()) == (
            0,
            b"",
            b"",
        )
