"""Tests of changes of a block."""

import msgspec
import pytest

from mimosastile_core import moves
from mimosastile_core import tables

FIRST = 0
KEEPER = tables.KeeperRef("e", "boot", 3)
OWNED = tables.Block(
    "s", 0, 5, (tables.Slice(0, 9, "a", 2, "b"),), {"a": KEEPER}
)


def _nobody(piece):
    del piece
    return ""


class TestFinishMoves:
    """A slice leaves its owner with a proof only."""

    @pytest.mark.parametrize(
        "proof",
        [
            moves.Released("a", 3, frozenset({FIRST})),
            moves.Lapsed("a", 3),
            moves.Gone("a", 3),
        ],
    )
    def test_proof_moves_the_slice(self, proof):
        """The next owner gets it under a higher fence."""
        block = moves.finish_moves(OWNED, proof, _nobody).unwrap()
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
        assert moves.finish_moves(OWNED, proof, _nobody).is_err()


class TestStartMoves:
    """Planning."""

    def test_owned_slice_is_only_marked(self):
        """The owner keeps its slice until there is a proof."""
        plain = tables.Block("s", 0, 5, (tables.Slice(0, 9, "a", 2),))
        block = moves.start_moves(plain, {FIRST: "c"}).unwrap()
        assert block.slices == (tables.Slice(0, 9, "a", 2, "c"),)

    def test_ownerless_slice_is_assigned(self):
        """Nothing has to be proved for a slice that nobody owns."""
        free = tables.Block("s", 0, 5, (tables.Slice(0, 9),))
        block = moves.start_moves(free, {FIRST: "c"}).unwrap()
        assert block.slices == (tables.Slice(0, 9, "c", 6),)

    def test_nothing_to_change_is_no_version(self):
        """A version is not spent on nothing."""
        assert moves.start_moves(OWNED, {}).is_err()


class TestSetKeepers:
    """Naming keepers."""

    def test_fence_rises(self):
        """The former keeper's messages are refused from then on."""
        block = moves.set_keepers(OWNED, {"a": ("f", "boot")}).unwrap()
        former = (tables.FormerKeeper("e", "boot"),)
        assert block.keepers["a"] == tables.KeeperRef("f", "boot", 4, former)

    def test_restarted_daemon_is_a_new_keeper(self):
        """It has forgotten what it granted."""
        block = moves.set_keepers(OWNED, {"a": ("e", "boot-2")}).unwrap()
        assert block.keepers["a"].fence > KEEPER.fence

    def test_fence_of_a_forgotten_keeper_is_not_used_again(self):
        """A target without a keeper gets a fence above all former ones."""
        bare = tables.Block("s", 0, 5, OWNED.slices)
        block = moves.set_keepers(bare, {"a": ("f", "boot")}).unwrap()
        assert block.keepers["a"].fence == 6


class TestTwoTargetsLost:
    """Two targets with different keepers die together.

    Each keeper would give its target's slices to the other dead one, back and
    forth as fast as the store takes writes, and their keys would stay without
    a server.
    """

    LOST = msgspec.structs.replace(KEEPER, lost=True)

    def test_slice_does_not_go_to_a_lost_target(self):
        """Not even if the move there was planned before."""
        keepers = {"a": KEEPER, "b": self.LOST}
        block = msgspec.structs.replace(OWNED, keepers=keepers)
        proof = moves.Lapsed("a", 3)
        done = moves.finish_moves(block, proof, lambda s: "c").unwrap()
        assert done.slices[0].owner == "c"
        assert done.reachable() == set()

    def test_target_that_answers_again_may_get_work(self):
        """Only its keeper says so, and once."""
        block = msgspec.structs.replace(OWNED, keepers={"a": self.LOST})
        assert moves.note_lost(block, "a", 2, False).is_err()
        found = moves.note_lost(block, "a", 3, False).unwrap()
        assert found.reachable() == {"a"}
        assert moves.note_lost(found, "a", 3, False).is_err()
