"""Tests of the configuration history: blocks, snapshots and blame."""

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
        """Two VMs that append the same number produce one entry."""
        once = history.append(history.Block(), _change(1))
        assert history.append(once, _change(1)) == once

    def test_worst_full_block_fits_the_store(self):
        """The block has the longest reasons, paths and inline operations."""
        filler = "\u20ac"
        long_operation = {
            "op": "add",
            "path": "/x",
            "value": "y" * (history.MAX_INLINE_BYTES - 60),
        }
        block = history.Block()
        for number in range(history.BLOCK_SPAN - 1):
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
            assert not history.has_long_operations(one)
            block = history.append(block, one)
        assert len(msgspec.json.encode(block)) < STORE_LIMIT

    @pytest.mark.parametrize("last", [3, history.BLOCK_SPAN - 1])
    def test_round_trip_plain_and_compressed(self, last):
        """Full blocks are compressed, others not; both decode unchanged."""
        block = history.Block()
        for number in range(1, last + 1):
            block = history.append(block, _change(number))
        value = history.encode(block)
        assert history.decode(value).unwrap() == block
        assert value.startswith(b"x") == block.is_full

    @pytest.mark.parametrize("value", [b"", b"x\x9cbad", b"[]", b"\xff"])
    def test_damaged_value_is_an_error(self, value):
        """A damaged block is an error, not an empty history."""
        assert history.decode(value).is_err()

    def test_long_operations_are_stored_separately(self):
        """A block contains a long change without its operations."""
        operation = {"op": "add", "path": "/x", "value": "y" * 9000}
        long_one = _change(1, (operation,))
        assert history.has_long_operations(long_one)
        block = history.append(history.Block(), long_one)
        assert block.changes[0].operations == ()


class TestSnapshots:
    """Thinning of snapshots."""

    def test_first_periodic_and_newest_are_kept(self):
        """The first, every 64th and the newest snapshots are kept."""
        last = 5 * history.KEPT_SNAPSHOT_INTERVAL * history.BLOCK_SPAN
        gone = {
            index
            for number in range(1, last + 1)
            if (index := history.snapshot_to_thin(number)) is not None
        }
        assert (
            not {
                0,
                history.KEPT_SNAPSHOT_INTERVAL,
                2 * history.KEPT_SNAPSHOT_INTERVAL,
            }
            & gone
        )
        newest = last // history.BLOCK_SPAN
        kept = range(newest - history.RECENT_SNAPSHOTS + 1, newest + 1)
        assert not gone & set(kept)
        assert len(gone) == newest - history.RECENT_SNAPSHOTS - 4


class TestBlame:
    """Changes that affected a path."""

    @pytest.mark.parametrize(
        ("queried_path", "numbers"),
        [
            ("/services/desk/slots", [2, 1]),
            ("/services/desk", [2, 1]),
            ("/services/desk/timeout", [1]),
            ("/services/des", []),
            ("/members", []),
            ("", [2, 1]),
        ],
    )
    def test_paths_match_by_whole_segments(self, queried_path, numbers):
        """A change of a parent affects its children, and the reverse."""
        changes = [
            msgspec.structs.replace(_change(n), paths=(path,))
            for n, path in ((2, "/services/desk/slots"), (1, "/services/desk"))
        ]
        blamed = history.blame(changes, queried_path)
        assert [c.number for c in blamed] == numbers
