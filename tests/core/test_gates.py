"""Tests of the admission checks for targets that check no fences."""

import pytest

from mimosastile_core import gates
from mimosastile_core import grants
from mimosastile_core import tables

BLOCK = tables.BlockId("s", 0)
PIECE = tables.Slice(0, 99, "t", 7)
HELD = (grants.HeldSlice(0, 99, 7),)


def _gate(silent: bool = True) -> gates.GatedTarget:
    gate = gates.GatedTarget(BLOCK, "t", 1, silent)
    gate.set_wanted(HELD)
    return gate


class TestGate:
    """A target that checks no fences runs every request that it receives.

    If its keeper admitted a request after the key has moved, the new owner
    and this target would both issue the label.
    """

    @pytest.mark.parametrize(
        ("position", "fence", "admitted"),
        [(0, 7, True), (99, 7, True), (100, 7, False), (5, 6, False)],
    )
    def test_admits_only_owned_slices(self, position, fence, admitted):
        """Range and fence must both match."""
        assert _gate().admit(position, fence) is admitted

    def test_released_when_all_admitted_requests_are_answered(self):
        """Running requests delay the release."""
        gate = _gate()
        gate.admit(5, 7)
        gate.set_wanted(())
        assert not gate.admit(5, 7)
        assert not gate.has_released(PIECE)
        gate.finish(5, answered=True)
        assert gate.has_released(PIECE)

    def test_lost_response_prevents_the_release(self):
        """A frozen target may run the request at any later time."""
        gate = _gate()
        gate.admit(5, 7)
        gate.set_wanted(())
        gate.finish(5, answered=False)
        assert not gate.has_released(PIECE)
        assert gate.has_released(tables.Slice(100, 199, "t", 7))
        assert not gate.idle

    def test_nothing_is_released_while_a_former_keeper_may_send(self):
        """The former keeper's requests are not counted at this keeper."""
        gate = _gate(silent=False)
        gate.set_wanted(())
        assert not gate.has_released(PIECE)
        gate.former_keepers_stopped(1.0)
        assert gate.has_released(PIECE)
