"""Tests of the bound on input that delivers nothing."""

import pytest

from mimosastile_core import input_limits


class TestCount:
    """Bytes since the last whole part."""

    def test_without_a_part(self):
        """Guards against input without end that nobody counts."""
        unparsed = input_limits.UnparsedBytes()
        for _ in range(3):
            unparsed.record_input(10)
        assert unparsed.count == 30

    def test_part(self):
        """Guards against bytes of a whole part counted for the next one."""
        unparsed = input_limits.UnparsedBytes()
        unparsed.record_input(10)
        unparsed.record_part()
        unparsed.record_input(10)
        assert unparsed.count == 0
        unparsed.record_input(10)
        assert unparsed.count == 10


class TestReadSize:
    """Bytes that are read from a connection at a time."""

    @pytest.mark.parametrize(
        ("part_bytes", "small"), [(6, True), (1000, False)]
    )
    def test_small_chunks(self, part_bytes, small):
        """Guards against small chunks that keep the loop from other callers.

        Their reads stay small, and grow again with the chunks.
        """
        unparsed = input_limits.UnparsedBytes()
        for _ in range(4):
            size = unparsed.read_bytes
            for _ in range(size // part_bytes):
                unparsed.record_part()
            unparsed.record_input(size)
            assert (unparsed.read_bytes < input_limits.READ_BYTES) is small
        unparsed.record_part()
        unparsed.record_input(unparsed.read_bytes)
        assert unparsed.read_bytes == input_limits.READ_BYTES
