"""Tests of the grant protocol between a keeper and a grant holder."""

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
    kept.set_wanted(HELD)
    return kept


def _exchange(kept, held, now):
    message = kept.message()
    reply = held.receive(message, now)
    kept.handle_reply(message, reply, now)
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
        """Nothing is granted before the target has sent its clock's stamp."""
        kept, held = _keeper(), holder.Holder("run-1")
        assert _exchange(kept, held, 0.0) is grants.GrantStatus.EXPIRED
        assert held.check(REQUEST, 0.0) is errors.ErrorKind.WRONG_FENCE

    def test_granted_slice_is_served_until_the_grant_expires(self):
        """The validity starts at the target's stamp, here taken at 0."""
        _, held = _granted()
        assert held.check(REQUEST, 0.599) is None
        assert held.check(REQUEST, 0.6) is errors.ErrorKind.WRONG_FENCE

    def test_renewal_carries_no_slices(self):
        """A target that acknowledged its slices gets a small message."""
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
    def test_request_with_another_fence_is_refused(self, fence):
        """Block, range and fence must all match."""
        _, held = _granted()
        assert held.check(fence, 0.2) is errors.ErrorKind.WRONG_FENCE


class TestResumedTarget:
    """A target freezes, its grant expires, and its key gets a new owner.

    When the target resumes, its socket buffer still contains old renewals. If
    it accepted them, it would print a letter that the new owner has printed.
    """

    def test_buffered_renewal_does_not_extend_the_grant(self):
        """The renewal quotes a stamp from before the freeze."""
        kept, held = _granted()
        buffered = kept.message()
        assert held.receive(buffered, 5.0).status is grants.GrantStatus.EXPIRED
        assert held.check(REQUEST, 5.0) is errors.ErrorKind.WRONG_FENCE

    def test_keeper_computes_when_all_grants_have_expired(self):
        """The expiry counts from the last response that was quoted."""
        kept, held = _granted()
        kept.message()
        assert not kept.has_lapsed(0.1 + TIMING.max_validity)
        assert kept.has_lapsed(0.1 + TIMING.max_validity + 0.001)
        assert held.check(REQUEST, 0.1 + TIMING.max_validity) is not None


class TestRelease:
    """Revoking a slice from a target that responds."""

    def test_released_when_acknowledged(self):
        """The proof is the acknowledgement of the set without the slice."""
        kept, held = _granted()
        kept.set_wanted(())
        assert not kept.has_released(PIECE)
        _exchange(kept, held, 0.2)
        assert kept.has_released(PIECE)
        assert held.check(REQUEST, 0.2) is errors.ErrorKind.WRONG_FENCE

    def test_running_request_delays_the_release(self):
        """A slice stays unreleased until a running download has ended."""
        kept, held = _granted()
        held.begin(REQUEST)
        kept.set_wanted(())
        _exchange(kept, held, 0.2)
        assert not kept.has_released(PIECE)
        held.end(REQUEST)
        _exchange(kept, held, 0.3)
        assert kept.has_released(PIECE)


class TestReplacedKeeper:
    """Two VMs act as keeper of the same target.

    The former keeper was paused and hasn't observed its replacement. If the
    target accepted grants of both, it would regain a released key.
    """

    def test_former_keeper_is_refused(self):
        """The response shows the former keeper that it was replaced."""
        former, held = _granted()
        _exchange(_keeper(2, 0.2), held, 0.2)
        status = _exchange(former, held, 0.3)
        assert status is grants.GrantStatus.STALE_KEEPER
        assert former.replaced
        assert not former.has_released(PIECE)


class TestRestartedTarget:
    """A target restarted and lost its grants."""

    def test_grant_for_the_former_incarnation_is_refused(self):
        """The grant quotes a stamp of an incarnation that has ended."""
        kept, _ = _granted()
        status = _exchange(kept, holder.Holder("run-2"), 0.2)
        assert status is grants.GrantStatus.EXPIRED
