"""The target's side of the grant protocol: the reference implementation.

Back ends that check orders must behave like `Holder`. The stand-in targets
use it unchanged, and the adapter of a real back end is tested against it.
"""

import collections

import msgspec

from mimosastile_core import errors
from mimosastile_core import grants
from mimosastile_core import tables


class RequestFence(msgspec.Struct, frozen=True):
    """The fencing running_key of a request.

    Attributes:
        block: Block of the slice.
        position: Hash of the request's key.
        fence: Fence of the slice in the sender's table.
    """

    block: tables.BlockId
    position: int
    fence: int


class _Holding:
    """The slices held in one block."""

    __slots__ = ("expires", "keeper_fence", "sequence", "slices")

    def __init__(self) -> None:
        self.keeper_fence = 0
        self.sequence = 0
        self.expires = float("-inf")
        self.slices: dict[int, grants.HeldSlice] = {}


class Holder:
    """Grants that one incarnation of a target holds."""

    __slots__ = ("_holdings", "_incarnation", "_running")

    def __init__(self, incarnation: str) -> None:
        """Initializes a holder without grants.

        Args:
            incarnation: Identifier of this incarnation, never reused.
        """
        self._incarnation = incarnation
        self._holdings: dict[tables.BlockId, _Holding] = {}
        self._running: collections.Counter[tuple[tables.BlockId, int]] = (
            collections.Counter()
        )

    def receive(self, grant: grants.Grant, now: float) -> grants.GrantReply:
        """Applies a grant and returns the reply to it.

        Args:
            grant: The message.
            now: The target's clock in seconds.
        """
        holding = self._holdings.setdefault(grant.block, _Holding())
        status = self._judge(holding, grant, now)
        if grant.keeper_fence > holding.keeper_fence:
            # Each keeper numbers its slice sets from the start.
            holding.keeper_fence = grant.keeper_fence
            holding.sequence = 0
        if status is grants.GrantStatus.ACCEPTED and grant.quoted is not None:
            holding.expires = grant.quoted.at + grant.ttl
            holding.sequence = grant.sequence
            if grant.slices is not None:
                holding.slices = {s.first: s for s in grant.slices}
        return self._reply(grant.block, holding, status, now)

    def check(self, fence: RequestFence, now: float) -> errors.ErrorKind | None:
        """Returns why a request must not run here, None if it may.

        Must be called immediately before each request is run, also for
        buffered requests: the buffers of a target that was frozen may contain
        requests whose keys have a new owner.
        """
        holding = self._holdings.get(fence.block)
        if holding is None or now >= holding.expires:
            return errors.ErrorKind.WRONG_FENCE
        held = _covering(holding, fence.position)
        if held is None or held.fence != fence.fence:
            return errors.ErrorKind.WRONG_FENCE
        return None

    def begin(self, fence: RequestFence) -> None:
        """Records the start of a checked request."""
        self._running[fence.block, fence.position] += 1

    def end(self, fence: RequestFence) -> None:
        """Records the end of a request, whether or not it succeeded."""
        running_key = (fence.block, fence.position)
        self._running[running_key] -= 1
        if self._running[running_key] <= 0:
            del self._running[running_key]

    def owned(
        self, now: float
    ) -> list[tuple[tables.BlockId, grants.HeldSlice]]:
        """Returns the slices whose grants are valid, with their blocks."""
        return [
            (block, held)
            for block, holding in self._holdings.items()
            if now < holding.expires
            for held in holding.slices.values()
        ]

    def _judge(
        self, holding: _Holding, grant: grants.Grant, now: float
    ) -> grants.GrantStatus:
        if grant.keeper_fence < holding.keeper_fence:
            return grants.GrantStatus.STALE_KEEPER
        same_keeper = grant.keeper_fence == holding.keeper_fence
        if same_keeper and grant.sequence < holding.sequence:
            return grants.GrantStatus.STALE_SEQUENCE
        quoted = grant.quoted
        if quoted is None or quoted.incarnation != self._incarnation:
            return grants.GrantStatus.EXPIRED
        if now >= quoted.at + grant.ttl:
            return grants.GrantStatus.EXPIRED
        renews = same_keeper and grant.sequence == holding.sequence
        if grant.slices is None and not renews:
            return grants.GrantStatus.NEED_SLICES
        return grants.GrantStatus.ACCEPTED

    def _reply(
        self,
        block: tables.BlockId,
        holding: _Holding,
        status: grants.GrantStatus,
        now: float,
    ) -> grants.GrantReply:
        running = [p for at, p in self._running if at == block]
        return grants.GrantReply(
            status=status,
            stamp=grants.Stamp(self._incarnation, now),
            keeper_fence=holding.keeper_fence,
            sequence=holding.sequence,
            releasing=tuple(p for p in running if not _covering(holding, p)),
            in_flight=self._running.total(),
            valid_for=max(0.0, holding.expires - now),
        )


def _covering(holding: _Holding, position: int) -> grants.HeldSlice | None:
    return next(
        (s for s in holding.slices.values() if s.first <= position <= s.last),
        None,
    )
