"""Tests of block transitions."""

import msgspec
import pytest

from mimosastile_core import moves
from mimosastile_core import tables

FIRST = 0
KEEPER = tables.KeeperRef("e", "boot", 3)
OWNED = tables.Block(
    "s", 0, 5, (tables.Slice(0, 9, "a", 2, "b"),), {"a": KEEPER}
)


def _choose_none(piece):
    del piece
    return ""


class TestFinishMoves:
    """A slice changes owner only with a valid proof of release."""

    @pytest.mark.parametrize(
        "proof",
        [
            moves.Released("a", 3, frozenset({FIRST})),
            moves.Lapsed("a", 3),
            moves.Gone("a", 3),
        ],
    )
    def test_proof_moves_the_slice(self, proof):
        """The next owner gets the slice with a higher fence."""
        block = moves.finish_moves(OWNED, proof, _choose_none).unwrap()
        assert block.slices == (tables.Slice(0, 9, "b", 6),)
        released = isinstance(proof, moves.Released)
        assert block.keepers["a"].lost is not released

    @pytest.mark.parametrize(
        "proof",
        [
            moves.Released("a", 3, frozenset()),
            moves.Released("a", 2, frozenset({FIRST})),
            moves.Released("b", 3, frozenset({FIRST})),
            moves.Lapsed("a", 2),
            moves.Lapsed("b", 3),
            moves.Gone("a", 2),
            moves.Gone("b", 3),
        ],
    )
    def test_void_proof_moves_nothing(self, proof):
        """A proof of another target or of a replaced keeper is void."""
        assert moves.finish_moves(OWNED, proof, _choose_none).is_err()


class TestStartMoves:
    """Planned moves mark or assign slices."""

    def test_owned_slice_is_only_marked(self):
        """The owner keeps its slice until a proof of release exists."""
        plain = tables.Block("s", 0, 5, (tables.Slice(0, 9, "a", 2),))
        block = moves.start_moves(plain, {FIRST: "c"}).unwrap()
        assert block.slices == (tables.Slice(0, 9, "a", 2, "c"),)

    def test_unowned_slice_is_assigned(self):
        """An unowned slice needs no proof of release."""
        free = tables.Block("s", 0, 5, (tables.Slice(0, 9),))
        block = moves.start_moves(free, {FIRST: "c"}).unwrap()
        assert block.slices == (tables.Slice(0, 9, "c", 6),)

    def test_empty_plan_makes_no_version(self):
        """The result is an error instead of an unchanged successor."""
        assert moves.start_moves(OWNED, {}).is_err()


class TestSetKeepers:
    """Setting the keepers of targets."""

    def test_fence_rises(self):
        """Targets then refuse messages from the former keeper."""
        block = moves.set_keepers(OWNED, {"a": ("f", "boot")}).unwrap()
        former = (tables.FormerKeeper("e", "boot"),)
        assert block.keepers["a"] == tables.KeeperRef("f", "boot", 4, former)

    def test_restarted_daemon_is_a_new_keeper(self):
        """A restart loses the daemon's record of grants."""
        block = moves.set_keepers(OWNED, {"a": ("e", "boot-2")}).unwrap()
        assert block.keepers["a"].fence > KEEPER.fence

    def test_fence_of_a_removed_keeper_is_not_reused(self):
        """A target without a keeper gets a fence above all former ones."""
        bare = tables.Block("s", 0, 5, OWNED.slices)
        block = moves.set_keepers(bare, {"a": ("f", "boot")}).unwrap()
        assert block.keepers["a"].fence == 6


class TestTwoTargetsLost:
    """Two targets with different keepers crash at the same time.

    Each keeper would assign its target's slices to the other crashed target,
    back and forth as fast as the store accepts writes, and the keys would stay
    without a server.
    """

    LOST = msgspec.structs.replace(KEEPER, lost=True)

    def test_slice_does_not_go_to_a_lost_target(self):
        """A move that was planned before is dropped as well."""
        keepers = {"a": KEEPER, "b": self.LOST}
        block = msgspec.structs.replace(OWNED, keepers=keepers)
        proof = moves.Lapsed("a", 3)
        done = moves.finish_moves(block, proof, lambda s: "c").unwrap()
        assert done.slices[0].owner == "c"
        assert done.reachable() == set()

    def test_target_that_responds_again_is_reachable(self):
        """Only its current keeper may record this, and only as a change."""
        block = msgspec.structs.replace(OWNED, keepers={"a": self.LOST})
        assert moves.record_lost(block, "a", 2, False).is_err()
        found = moves.record_lost(block, "a", 3, False).unwrap()
        assert found.reachable() == {"a"}
        assert moves.record_lost(found, "a", 3, False).is_err()
