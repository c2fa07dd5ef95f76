"""Tests of the wanted slices and the proofs of a keeper."""

import msgspec
import pytest

from mimosastile_core import gates
from mimosastile_core import grants
from mimosastile_core import holder
from mimosastile_core import keeping
from mimosastile_core import moves
from mimosastile_core import tables

BLOCK = tables.BlockId("s", 0)
TIMING = grants.Timing()
OWNED = (tables.Slice(0, 9, "t", 2),)
MOVING = (tables.Slice(0, 9, "t", 2, "u"),)
LONG = 100.0


def _kept(silent=True):
    return grants.KeptTarget(BLOCK, "t", 3, TIMING, 0.0, silent)


def _responded(silent=True, at=0.1):
    kept = _kept(silent)
    message = kept.message()
    kept.handle_reply(message, holder.Holder("run").receive(message, at), at)
    return kept


def _sight(now, expiry=True, gone=None):
    return keeping.Evidence(now, expiry, TIMING.max_validity, gone)


class TestProof:
    """Proofs of release, by the checks that the target performs."""

    @pytest.mark.parametrize(
        ("kept", "evidence", "proof"),
        [
            (_responded(), _sight(0.5), None),
            (_responded(), _sight(LONG), moves.Lapsed("t", 3)),
            (_responded(), _sight(LONG, expiry=False), None),
            (
                _responded(),
                _sight(LONG, expiry=False, gone=50.0),
                moves.Gone("t", 3),
            ),
            (_responded(), _sight(50.1, expiry=False, gone=50.0), None),
            (gates.GatedTarget(BLOCK, "t", 3), _sight(LONG), None),
            (
                gates.GatedTarget(BLOCK, "t", 3),
                _sight(LONG, expiry=False, gone=50.0),
                moves.Gone("t", 3),
            ),
        ],
        ids=[
            "fresh",
            "lapsed",
            "no-expiry",
            "gone",
            "just-gone",
            "gated-never-lapses",
            "gated-gone",
        ],
    )
    def test_silent_target(self, kept, evidence, proof):
        """Silence proves a release only if the target checks the expiry."""
        assert keeping.proof(kept, OWNED, evidence) == proof

    def test_gated_target_is_released_when_nothing_runs(self):
        """The keeper itself counts the running requests."""
        gate = gates.GatedTarget(BLOCK, "t", 3)
        proof = keeping.proof(gate, MOVING, _sight(1.0))
        assert proof == moves.Released("t", 3, frozenset({0}))


class TestUnprovableMove:
    """The release by a target that checks no fences can't be proved.

    A response was lost, or a former keeper failed. While the move is pending,
    its keys are not served, and the target's VM may run for months.
    """

    @pytest.mark.parametrize("cause", ["nothing", "unsure", "orphaned"])
    def test_move_is_cancelled(self, cause):
        """Only if nothing else can end it."""
        gate = gates.GatedTarget(BLOCK, "t", 3)
        gate.set_wanted((grants.HeldSlice(0, 9, 2),))
        gate.admit(5, 2)
        gate.finish(5, answered=cause != "unsure")
        if cause == "orphaned":
            gate.former_keeper_lost()
        plan = {} if cause == "nothing" else {0: ""}
        assert keeping.unprovable_moves(gate, MOVING) == plan
        assert keeping.unprovable_moves(_responded(), MOVING) == {}


class TestFormerKeeper:
    """A keeper is replaced, and the target doesn't respond to its successor.

    The former keeper may still reach the target and renew its grant although
    it can't reach the successor. If the successor took the silence for an
    expired grant, two servers would accept letters for the same thread.
    """

    def test_no_expiry_before_the_former_keeper_has_stopped(self):
        """Regardless of how long the target doesn't respond."""
        kept = _kept(silent=False)
        assert keeping.proof(kept, OWNED, _sight(LONG)) is None

    def test_expiry_counts_from_the_confirmed_stop(self):
        """A grant sent just before the stop is valid for that long."""
        kept = _kept(silent=False)
        kept.former_keepers_stopped(50.0)
        assert keeping.proof(kept, OWNED, _sight(50.5)) is None
        assert keeping.proof(kept, OWNED, _sight(50.7)) is not None

    def test_response_with_this_keepers_fence_suffices(self):
        """From then on the target refuses the former keeper."""
        kept = _responded(silent=False, at=5.0)
        assert keeping.proof(kept, OWNED, _sight(5.5)) is None
        assert keeping.proof(kept, OWNED, _sight(5.7)) is not None

    def test_longer_grant_of_the_former_keeper_is_awaited(self):
        """The target reports for how long its present grant is valid."""
        kept = _kept(silent=False)
        message = kept.message()
        reply = holder.Holder("run").receive(message, 0.1)
        reply = msgspec.structs.replace(reply, valid_for=10.0)
        kept.handle_reply(message, reply, 0.1)
        assert not kept.has_lapsed(10.1)
        assert kept.has_lapsed(10.3)


class TestNewIncarnation:
    """A target restarts and has lost its keeper's fence.

    A keeper that was replaced without noticing still sends grants to it. If
    the target accepted them, it would also serve slices that have moved.
    """

    def test_nothing_is_granted_before_the_role_is_confirmed(self):
        """No stamp is quoted, so nothing can be accepted."""
        kept = _responded(at=0.1)
        assert kept.needs_confirmation
        assert kept.message().quoted is None
        kept.confirm(0.05)
        assert kept.needs_confirmation
        kept.confirm(0.1)
        assert kept.message().quoted is not None
        message = kept.message()
        kept.handle_reply(
            message, holder.Holder("run-2").receive(message, 9), 9
        )
        assert kept.needs_confirmation
        assert kept.message().quoted is None


class TestWanted:
    """The slices that a target should own."""

    def test_moving_and_withheld_slices_are_left_out(self):
        """The others are granted with their fences."""
        pieces = (
            *MOVING,
            tables.Slice(10, 19, "t", 4),
            *_withheld_and_foreign(),
        )
        block = tables.Block("s", 0, 5, pieces)
        held = keeping.wanted(block, "t", lambda s: s.first == 20)
        assert held == (grants.HeldSlice(10, 19, 4),)

    def test_next_owner_gets_the_slices_to_prepare(self):
        """It can warm up before it owns the slice."""
        block = tables.Block("s", 0, 5, MOVING)
        assert keeping.prepared(block, "u") == (grants.HeldSlice(0, 9, 2),)
        assert keeping.prepared(block, "t") == ()


def _withheld_and_foreign():
    return tables.Slice(20, 29, "t", 4), tables.Slice(30, 39, "u", 4)
