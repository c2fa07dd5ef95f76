"""Tests of the grant protocol, keeper against holder."""

import pytest

from mimosastile_core import errors
from mimosastile_core import grants
from mimosastile_core import holder
from mimosastile_core import tables

BLOCK = tables.BlockId("s", 0)
TIMING = grants.Timing()
PIECE = tables.Slice(0, 99, "t", 7)
HELD = (grants.HeldSlice(0, 99, 7),)
REQUEST = holder.RequestFence(BLOCK, 5, 7)


def _keeper(fence: int = 1, now: float = 0.0) -> grants.KeptTarget:
    kept = grants.KeptTarget(BLOCK, "t", fence, TIMING, now)
    kept.want(HELD)
    return kept


def _exchange(kept, held, now):
    message = kept.message()
    reply = held.receive(message, now)
    kept.answered(message, reply, now)
    kept.confirm(now)
    return reply.status


def _granted():
    kept, held = _keeper(), holder.Holder("run-1")
    _exchange(kept, held, 0.0)
    assert _exchange(kept, held, 0.1) is grants.GrantStatus.ACCEPTED
    return kept, held


class TestGrant:
    """Granting slices."""

    def test_first_message_only_fetches_the_stamp(self):
        """Nothing is granted before the target has put its clock into it."""
        kept, held = _keeper(), holder.Holder("run-1")
        assert _exchange(kept, held, 0.0) is grants.GrantStatus.EXPIRED
        assert held.check(REQUEST, 0.0) is errors.ErrorKind.WRONG_FENCE

    def test_granted_slice_is_served_until_its_time_runs_out(self):
        """The time runs from the target's stamp, here taken at 0."""
        _, held = _granted()
        assert held.check(REQUEST, 0.599) is None
        assert held.check(REQUEST, 0.6) is errors.ErrorKind.WRONG_FENCE

    def test_renewal_carries_no_slices(self):
        """A settled target is renewed with a small message."""
        kept, held = _granted()
        assert kept.message().slices is None
        _exchange(kept, held, 0.5)
        _exchange(kept, held, 0.6)
        assert held.check(REQUEST, 1.0) is None

    @pytest.mark.parametrize(
        "fence",
        [
            holder.RequestFence(BLOCK, 5, 6),
            holder.RequestFence(BLOCK, 5, 8),
            holder.RequestFence(BLOCK, 100, 7),
            holder.RequestFence(tables.BlockId("s", 1), 5, 7),
        ],
    )
    def test_request_of_another_fence_is_refused(self, fence):
        """Only the very slice with the very fence is served."""
        _, held = _granted()
        assert held.check(fence, 0.2) is errors.ErrorKind.WRONG_FENCE


class TestThawedTarget:
    """A target froze, its grant lapsed, its key has a new owner.

    When it thaws, renewals from before still lie in its socket buffer. If it
    took them for fresh it would print a letter that the new owner printed.
    """

    def test_buffered_renewal_does_not_revive_the_grant(self):
        """The renewal quotes a stamp from before the freeze."""
        kept, held = _granted()
        buffered = kept.message()
        assert held.receive(buffered, 5.0).status is grants.GrantStatus.EXPIRED
        assert held.check(REQUEST, 5.0) is errors.ErrorKind.WRONG_FENCE

    def test_keeper_knows_when_no_grant_can_be_valid(self):
        """The lapse counts from the last answer that was quoted."""
        kept, held = _granted()
        kept.message()
        assert not kept.has_lapsed(0.1 + TIMING.lapse)
        assert kept.has_lapsed(0.1 + TIMING.lapse + 0.001)
        assert held.check(REQUEST, 0.1 + TIMING.lapse) is not None


class TestRelease:
    """Taking a slice away from a target that answers."""

    def test_released_when_acknowledged(self):
        """The acknowledgement of the smaller set is the proof."""
        kept, held = _granted()
        kept.want(())
        assert not kept.has_released(PIECE)
        _exchange(kept, held, 0.2)
        assert kept.has_released(PIECE)
        assert held.check(REQUEST, 0.2) is errors.ErrorKind.WRONG_FENCE

    def test_running_request_holds_the_release_back(self):
        """A half-finished download keeps its key until it has ended."""
        kept, held = _granted()
        held.begin(REQUEST)
        kept.want(())
        _exchange(kept, held, 0.2)
        assert not kept.has_released(PIECE)
        held.end(REQUEST)
        _exchange(kept, held, 0.3)
        assert kept.has_released(PIECE)


class TestReplacedKeeper:
    """Two VMs believe that they keep the same target.

    The former one was paused and does not know that it was replaced. If the
    target listened to both, a released key would come back to it.
    """

    def test_former_keeper_is_refused(self):
        """It learns from the answer that it was replaced."""
        former, held = _granted()
        _exchange(_keeper(2, 0.2), held, 0.2)
        status = _exchange(former, held, 0.3)
        assert status is grants.GrantStatus.STALE_KEEPER
        assert former.replaced
        assert not former.has_released(PIECE)


class TestRestartedTarget:
    """A target restarted and has forgotten what it was told."""

    def test_grant_for_the_former_run_is_refused(self):
        """It quotes a stamp of a run that is over."""
        kept, _ = _granted()
        status = _exchange(kept, holder.Holder("run-2"), 0.2)
        assert status is grants.GrantStatus.EXPIRED
