"""Tests of the gate in front of a target that checks nothing."""

import pytest

from mimosastile_core import gates
from mimosastile_core import grants
from mimosastile_core import tables

BLOCK = tables.BlockId("s", 0)
PIECE = tables.Slice(0, 99, "t", 7)
HELD = (grants.HeldSlice(0, 99, 7),)


def _gate(silent: bool = True) -> gates.GatedTarget:
    gate = gates.GatedTarget(BLOCK, "t", 1, silent)
    gate.want(HELD)
    return gate


class TestGate:
    """A target that checks nothing runs whatever reaches it.

    If its keeper let a request pass after the key has moved on, the new owner
    and this target would both issue the label.
    """

    @pytest.mark.parametrize(
        ("position", "fence", "passes"),
        [(0, 7, True), (99, 7, True), (100, 7, False), (5, 6, False)],
    )
    def test_passes_only_owned_slices(self, position, fence, passes):
        """Range and fence must both fit."""
        assert _gate().enter(position, fence) is passes

    def test_released_when_all_that_passed_is_answered(self):
        """Requests under way hold the slice back."""
        gate = _gate()
        gate.enter(5, 7)
        gate.want(())
        assert not gate.enter(5, 7)
        assert not gate.has_released(PIECE)
        gate.leave(5, answered=True)
        assert gate.has_released(PIECE)

    def test_lost_answer_holds_its_slice_back_for_good(self):
        """A frozen target may run the request at any later time."""
        gate = _gate()
        gate.enter(5, 7)
        gate.want(())
        gate.leave(5, answered=False)
        assert not gate.has_released(PIECE)
        assert gate.has_released(tables.Slice(100, 199, "t", 7))
        assert not gate.idle

    def test_nothing_is_released_while_a_former_keeper_may_send(self):
        """The former keeper's requests are not counted here."""
        gate = _gate(silent=False)
        gate.want(())
        assert not gate.has_released(PIECE)
        gate.silenced(1.0)
        assert gate.has_released(PIECE)
