"""Tests of ownership tables."""

import msgspec
import pytest

from mimosastile_core import keys
from mimosastile_core import moves
from mimosastile_core import tables


def _block(*owners: str) -> tables.Block:
    ranges = keys.even_ranges(len(owners))
    slices = tuple(
        tables.Slice(a, b, owner, 1)
        for (a, b), owner in zip(ranges, owners, strict=True)
    )
    keepers = {o: tables.KeeperRef("e", "b", 1) for o in owners if o}
    return tables.Block("s", 0, 1, slices, keepers)


class TestLocate:
    """Look-up of the owner of a hash."""

    @pytest.mark.parametrize(
        ("position", "owner"),
        [
            (0, "a"),
            ((1 << 63) - 1, "a"),
            (1 << 63, "b"),
            (keys.LAST_HASH, "b"),
        ],
    )
    def test_finds_the_covering_slice(self, position, owner):
        """Both bounds of a range are inclusive."""
        found = tables.Table("s", [_block("a", "b")]).locate(position)
        assert found is not None
        assert found.slice.owner == owner
        assert found.keeper is not None

    def test_missing_block_has_no_location(self):
        """A hash in a block that is not cached yet has no location."""
        block = tables.empty_block("s", 1, 4, 2)
        assert tables.Table("s", [block]).locate(0) is None


class TestChangedTable:
    """A table in which one of several blocks has changed."""

    @pytest.mark.parametrize("changed", range(3))
    def test_equals_a_newly_built_table(self, changed):
        """Reused indexes give the same locations."""
        blocks = [tables.empty_block("s", i, 4, 3) for i in range(3)]
        former = tables.Table("s", blocks)
        first = blocks[changed].slices[0].first
        moved = moves.start_moves(blocks[changed], {first: "t"}).unwrap()
        blocks[changed] = moved
        table = tables.Table("s", blocks, former)
        anew = tables.Table("s", blocks)
        for block in blocks:
            for piece in block.slices:
                for position in (piece.first, piece.last):
                    assert table.locate(position) == anew.locate(position)
        assert table.locate(first).slice.owner == "t"


class TestCheckSuccessor:
    """The invariants that every change must preserve."""

    @pytest.mark.parametrize(
        ("change", "rule"),
        [
            ({"version": 3}, "increase by one"),
            ({"version": 2, "slices": ()}, "gap"),
            ({"version": 2, "slices": _block("b", "a").slices}, "new fence"),
            (
                {"version": 2, "keepers": {"a": tables.KeeperRef("x", "y", 0)}},
                "keeper fence",
            ),
        ],
    )
    def test_rejects_a_violated_invariant(self, change, rule):
        """The error names the invariant."""
        old = _block("a", "b")
        new = msgspec.structs.replace(old, **change)
        assert rule in tables.check_successor(old, new).unwrap_err()

    def test_accepts_a_valid_change(self):
        """A split that keeps owner and fence is valid."""
        old = _block("a", "b")
        first, second = old.slices
        middle = first.last // 2
        halves = (
            msgspec.structs.replace(first, last=middle),
            msgspec.structs.replace(first, first=middle + 1),
        )
        new = msgspec.structs.replace(old, version=2, slices=(*halves, second))
        assert tables.check_successor(old, new).unwrap() == new


class TestEncoding:
    """Encoding of blocks as store values."""

    def test_round_trip(self):
        """A decoded block equals the encoded one."""
        block = _block("a", "b")
        assert tables.decode(tables.encode(block)).unwrap() == block

    @pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"service": 1}'])
    def test_damaged_value_is_an_error(self, value):
        """A damaged value gives an Err and raises nothing."""
        assert tables.decode(value).is_err()
