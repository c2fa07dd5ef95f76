"""Tests of what a keeper orders and concludes."""

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


def _heard(silent=True, at=0.1):
    kept = _kept(silent)
    message = kept.message()
    kept.answered(message, holder.Holder("run").receive(message, at), at)
    return kept


def _sight(now, expiry=True, gone=None):
    return keeping.Sight(now, expiry, TIMING.lapse, gone)


class TestProof:
    """What a keeper may conclude, by the abilities of the target."""

    @pytest.mark.parametrize(
        ("kept", "sight", "proof"),
        [
            (_heard(), _sight(0.5), None),
            (_heard(), _sight(LONG), moves.Lapsed("t", 3)),
            (_heard(), _sight(LONG, expiry=False), None),
            (
                _heard(),
                _sight(LONG, expiry=False, gone=50.0),
                moves.Gone("t", 3),
            ),
            (_heard(), _sight(50.1, expiry=False, gone=50.0), None),
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
    def test_silent_target(self, kept, sight, proof):
        """Silence proves nothing but through the target's own clock."""
        assert keeping.proof(kept, OWNED, sight) == proof

    def test_gated_target_is_released_when_nothing_runs(self):
        """The keeper itself knows that."""
        gate = gates.GatedTarget(BLOCK, "t", 3)
        proof = keeping.proof(gate, MOVING, _sight(1.0))
        assert proof == moves.Released("t", 3, frozenset({0}))


class TestStuckMove:
    """A move away from a target that checks nothing can never be proved.

    An answer was lost, or a former keeper was. While the move waits, its keys
    are not served, and the platform may keep the target's VM for months.
    """

    @pytest.mark.parametrize("cause", ["nothing", "unsure", "orphaned"])
    def test_move_is_taken_back(self, cause):
        """Only if nothing else can end it."""
        gate = gates.GatedTarget(BLOCK, "t", 3)
        gate.want((grants.HeldSlice(0, 9, 2),))
        gate.enter(5, 2)
        gate.leave(5, answered=cause != "unsure")
        if cause == "orphaned":
            gate.orphaned()
        plan = {} if cause == "nothing" else {0: ""}
        assert keeping.stuck(gate, MOVING) == plan
        assert keeping.stuck(_heard(), MOVING) == {}


class TestFormerKeeper:
    """A keeper is replaced, and its successor hears nothing from the target.

    The former keeper may be cut off from its successor but not from the
    target, and go on renewing. If the successor took the silence for a lapse,
    two servers would take letters for the same thread.
    """

    def test_no_lapse_before_the_former_keeper_is_silent(self):
        """However long the target says nothing."""
        kept = _kept(silent=False)
        assert keeping.proof(kept, OWNED, _sight(LONG)) is None

    def test_lapse_counts_from_when_the_silence_became_known(self):
        """Grants from just before may be valid that long."""
        kept = _kept(silent=False)
        kept.silenced(50.0)
        assert keeping.proof(kept, OWNED, _sight(50.5)) is None
        assert keeping.proof(kept, OWNED, _sight(50.7)) is not None

    def test_answer_that_names_the_own_fence_is_as_good(self):
        """From then on the target refuses the former keeper."""
        kept = _heard(silent=False, at=5.0)
        assert keeping.proof(kept, OWNED, _sight(5.5)) is None
        assert keeping.proof(kept, OWNED, _sight(5.7)) is not None

    def test_longer_grant_of_the_former_keeper_is_waited_for(self):
        """The target says how long what it holds is valid."""
        kept = _kept(silent=False)
        message = kept.message()
        reply = holder.Holder("run").receive(message, 0.1)
        reply = msgspec.structs.replace(reply, valid_for=10.0)
        kept.answered(message, reply, 0.1)
        assert not kept.has_lapsed(10.1)
        assert kept.has_lapsed(10.3)


class TestNewRun:
    """A target restarts and has forgotten which keeper it listens to.

    A keeper that was replaced without noticing still sends to it. If its
    grant were taken, slices that have moved on would be served here as well.
    """

    def test_nothing_is_granted_before_the_role_is_confirmed(self):
        """No stamp is quoted, so nothing can be accepted."""
        kept = _heard(at=0.1)
        assert kept.needs_confirmation
        assert kept.message().quoted is None
        kept.confirm(0.05)
        assert kept.needs_confirmation
        kept.confirm(0.1)
        assert kept.message().quoted is not None
        message = kept.message()
        kept.answered(message, holder.Holder("run-2").receive(message, 9), 9)
        assert kept.needs_confirmation
        assert kept.message().quoted is None


class TestWanted:
    """What a target should own."""

    def test_moving_and_withheld_slices_are_left_out(self):
        """The others are granted with their fences."""
        pieces = (*MOVING, tables.Slice(10, 19, "t", 4), *_more())
        block = tables.Block("s", 0, 5, pieces)
        held = keeping.wanted(block, "t", lambda s: s.first == 20)
        assert held == (grants.HeldSlice(10, 19, 4),)

    def test_next_owner_is_told_what_comes(self):
        """It can warm up before it owns anything."""
        block = tables.Block("s", 0, 5, MOVING)
        assert keeping.prepared(block, "u") == (grants.HeldSlice(0, 9, 2),)
        assert keeping.prepared(block, "t") == ()


def _more():
    return tables.Slice(20, 29, "t", 4), tables.Slice(30, 39, "u", 4)
