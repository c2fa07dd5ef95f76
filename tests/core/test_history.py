"""Tests of the history's blocks."""

import msgspec
import pytest

from mimosastile_core import config
from mimosastile_core import history
from mimosastile_core import patches

STORE_LIMIT = 1 << 20


def _change(number, operations=({"op": "remove", "path": "/members/m"},)):
    return config.Change(
        number, f"patch-{number:08d}", "ana", "why", "", 0.0, operations, ("",)
    )


class TestBlocks:
    """Changes in blocks of successive numbers."""

    def test_append_is_idempotent(self):
        """Two VMs that record the same number leave one record."""
        once = history.append(history.Block(), _change(1))
        assert history.append(once, _change(1)) == once

    def test_worst_full_block_fits_the_store(self):
        """Longest reasons, paths and inline operations, incompressible."""
        filler = "\u20ac"
        long_operation = {
            "op": "add",
            "path": "/x",
            "value": "y" * (history.INLINE_BYTES - 60),
        }
        block = history.Block()
        for number in range(history.SPAN - 1):
            one = config.Change(
                number + 1,
                "i" * 64,
                "a" * 63,
                filler * 1000,
                filler * 200,
                1e9,
                (long_operation,),
                ("/" + "p" * (patches.MAX_PATHS_BYTES - 1),),
            )
            assert not history.is_long(one)
            block = history.append(block, one)
        assert len(msgspec.json.encode(block)) < STORE_LIMIT

    @pytest.mark.parametrize("last", [3, history.SPAN - 1])
    def test_round_trip_plain_and_compressed(self, last):
        """A full block is compressed and reads the same."""
        block = history.Block()
        for number in range(1, last + 1):
            block = history.append(block, _change(number))
        value = history.encode(block)
        assert history.decode(value).unwrap() == block
        assert value.startswith(b"x") == block.is_full

    @pytest.mark.parametrize("value", [b"", b"x\x9cbad", b"[]", b"\xff"])
    def test_damage_is_named(self, value):
        """A damaged block is an error, not an empty history."""
        assert history.decode(value).is_err()

    def test_long_operations_stand_apart(self):
        """A block holds only a short record of a long change."""
        operation = {"op": "add", "path": "/x", "value": "y" * 9000}
        long_one = _change(1, (operation,))
        assert history.is_long(long_one)
        block = history.append(history.Block(), long_one)
        assert block.changes[0].operations == ()


class TestSnapshots:
    """Which snapshots go, and that no document goes with them."""

    def test_enough_stay(self):
        """The first, every 64th and the newest ones stay."""
        last = 5 * history.THIN * history.SPAN
        gone = {
            index
            for number in range(1, last + 1)
            if (index := history.thinned_by(number)) is not None
        }
        assert not {0, history.THIN, 2 * history.THIN} & gone
        newest = last // history.SPAN
        kept = range(newest - history.KEEP_SNAPSHOTS + 1, newest + 1)
        assert not gone & set(kept)
        assert len(gone) == newest - history.KEEP_SNAPSHOTS - 4


class TestBlame:
    """Who touched a path."""

    @pytest.mark.parametrize(
        ("asked", "found"),
        [
            ("/services/desk/slots", [2, 1]),
            ("/services/desk", [2, 1]),
            ("/services/desk/timeout", [1]),
            ("/services/des", []),
            ("/members", []),
            ("", [2, 1]),
        ],
    )
    def test_whole_segments_decide(self, asked, found):
        """A change of a parent touches its children and the reverse."""
        changes = [
            msgspec.structs.replace(_change(n), paths=(path,))
            for n, path in ((2, "/services/desk/slots"), (1, "/services/desk"))
        ]
        blamed = history.blame(changes, asked)
        assert [c.number for c in blamed] == found
