"""Admission checks at the keeper for targets that don't check fences.

Such a target runs every request that it receives. Therefore all its requests
go through its keeper, the entry VM through which alone the target gets
requests and grants, and the keeper checks them instead: it refuses requests
for slices that the target doesn't own. A slice is released when the keeper
has stopped sending requests for it and has the complete responses to all
requests that it sent.
"""

import collections

from mimosastile_core import grants
from mimosastile_core import tables


class GatedTarget:
    """Request counts at the keeper of one target that checks no fences.

    Shares with `grants.KeptTarget` the methods that a proof of release needs.
    """

    __slots__ = (
        "_block",
        "_former_keeper_lost",
        "_former_keepers_silent",
        "_keeper_fence",
        "_running",
        "_target",
        "_unconfirmed",
        "_wanted",
    )

    def __init__(
        self,
        block: tables.BlockId,
        target: str,
        keeper_fence: int,
        silent: bool = True,
    ) -> None:
        """Initializes the state of a target without slices.

        Args:
            block: The block that the slices belong to.
            target: The target.
            keeper_fence: Fence under which this VM is the keeper.
            silent: Whether all former keepers acknowledged that they have
                stopped sending and that none of their requests is running.
        """
        self._block = block
        self._target = target
        self._keeper_fence = keeper_fence
        self._former_keepers_silent = silent
        self._former_keeper_lost = False
        self._wanted: tuple[grants.HeldSlice, ...] = ()
        self._running: collections.Counter[int] = collections.Counter()
        self._unconfirmed: set[int] = set()

    @property
    def block(self) -> tables.BlockId:
        """The block that the slices belong to."""
        return self._block

    @property
    def target(self) -> str:
        """The target that this VM keeps."""
        return self._target

    @property
    def keeper_fence(self) -> int:
        """The fence under which this VM became the keeper."""
        return self._keeper_fence

    @property
    def awaits_silence(self) -> bool:
        """Whether a request of a former keeper might still run."""
        return not self._former_keepers_silent

    @property
    def idle(self) -> bool:
        """Whether no request that was sent can still be running."""
        return not self._running and not self._unconfirmed

    def set_wanted(self, slices: tuple[grants.HeldSlice, ...]) -> bool:
        """Sets the slices to admit requests for; True if they differ."""
        changed = slices != self._wanted
        self._wanted = slices
        return changed

    def former_keepers_stopped(self, now: float) -> None:
        """Records that all former keepers acknowledged that they stopped."""
        del now
        self._former_keepers_silent = True

    def former_keeper_lost(self) -> None:
        """Records that a former keeper ended without an acknowledgement."""
        self._former_keeper_lost = True

    def is_release_unprovable(self, piece: tables.Slice) -> bool:
        """Whether the release of a slice can't be proved while the VM exists.

        The target's buffers may contain a request for the slice that can run
        at any time. Either a former keeper sent it and ended, or this keeper
        sent it and lost the response.
        """
        return self._former_keeper_lost or any(
            piece.first <= p <= piece.last for p in self._unconfirmed
        )

    def admit(self, position: int, fence: int) -> bool:
        """Admits and counts a request; False if it must not run.

        Args:
            position: Hash of the request's key.
            fence: Fence of the slice in the sender's table.
        """
        if not any(
            s.first <= position <= s.last and s.fence == fence
            for s in self._wanted
        ):
            return False
        self._running[position] += 1
        return True

    def finish(self, position: int, answered: bool) -> None:
        """Records the end of an admitted request.

        Args:
            position: Hash of the request's key.
            answered: Whether the complete response was received or the
                request was never sent. Otherwise the target may run the
                request at any later time, for example when it resumes after
                a freeze, and the release of its slice can't be proved.
        """
        self._running[position] -= 1
        if self._running[position] <= 0:
            del self._running[position]
        if not answered:
            self._unconfirmed.add(position)

    def has_released(self, piece: tables.Slice) -> bool:
        """Whether no request for any key of a slice can be running."""
        return (
            self._former_keepers_silent
            and not any(grants.overlaps(s, piece) for s in self._wanted)
            and not any(
                piece.first <= p <= piece.last
                for p in (*self._running, *self._unconfirmed)
            )
        )
