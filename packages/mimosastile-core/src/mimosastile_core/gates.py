"""The keeper's side for targets that do not check who gives them an order.

Such a target runs whatever reaches it, so it is reached through its keeper
alone, and the keeper checks in its place: it lets no request pass for a slice
that the target does not own. The slice is released when the keeper has
stopped sending and every request that it sent has been answered to its end.
"""

import collections

from mimosastile_core import grants
from mimosastile_core import tables


class GatedTarget:
    """What a keeper knows of one target that checks nothing.

    It has the questions in common with `grants.KeptTarget` that a proof of
    release is made from.
    """

    __slots__ = (
        "_block",
        "_keeper_fence",
        "_orphaned",
        "_running",
        "_silent",
        "_target",
        "_unsure",
        "_wanted",
    )

    def __init__(
        self,
        block: tables.BlockId,
        target: str,
        keeper_fence: int,
        silent: bool = True,
    ) -> None:
        """Starts keeping a target.

        Args:
            block: The block that the slices belong to.
            target: The target.
            keeper_fence: Fence under which this VM is the keeper.
            silent: Whether all former keepers acknowledged that they send
                nothing more and that nothing of theirs is running.
        """
        self._block = block
        self._target = target
        self._keeper_fence = keeper_fence
        self._silent = silent
        self._orphaned = False
        self._wanted: tuple[grants.HeldSlice, ...] = ()
        self._running: collections.Counter[int] = collections.Counter()
        self._unsure: set[int] = set()

    @property
    def block(self) -> tables.BlockId:
        """The block that the slices belong to."""
        return self._block

    @property
    def target(self) -> str:
        """The kept target."""
        return self._target

    @property
    def keeper_fence(self) -> int:
        """The fence that this VM was named keeper under."""
        return self._keeper_fence

    @property
    def awaits_silence(self) -> bool:
        """Whether something of a former keeper might still run."""
        return not self._silent

    @property
    def idle(self) -> bool:
        """Whether nothing that was sent can be running any more."""
        return not self._running and not self._unsure

    def want(self, slices: tuple[grants.HeldSlice, ...]) -> bool:
        """Sets the slices that requests may pass for; True if they changed."""
        changed = slices != self._wanted
        self._wanted = slices
        return changed

    def silenced(self, now: float) -> None:
        """Notes that all former keepers have acknowledged their end."""
        del now
        self._silent = True

    def orphaned(self) -> None:
        """Notes that a former keeper ended without acknowledging anything."""
        self._orphaned = True

    def never_releases(self, piece: tables.Slice) -> bool:
        """Whether a slice cannot be proved released while the VM exists.

        Something of it may lie in the target's buffers and run at any time,
        sent by a former keeper that has ended or by this one, which has lost
        the answer.
        """
        return self._orphaned or any(
            piece.first <= p <= piece.last for p in self._unsure
        )

    def enter(self, position: int, fence: int) -> bool:
        """Lets a request pass and counts it; False if it must not run.

        Args:
            position: Hash of the request's key.
            fence: Fence of the slice according to the sender.
        """
        if not any(
            s.first <= position <= s.last and s.fence == fence
            for s in self._wanted
        ):
            return False
        self._running[position] += 1
        return True

    def leave(self, position: int, answered: bool) -> None:
        """Notes the end of a request that had passed.

        Args:
            position: Hash of the request's key.
            answered: Whether the whole answer came, or it never left. If
                not, the target may run it at any later time, for example
                when it thaws; its slice can then never be proved released.
        """
        self._running[position] -= 1
        if self._running[position] <= 0:
            del self._running[position]
        if not answered:
            self._unsure.add(position)

    def has_released(self, piece: tables.Slice) -> bool:
        """Whether no request on any key of a slice can be running."""
        return (
            self._silent
            and not any(grants.overlaps(s, piece) for s in self._wanted)
            and not any(
                piece.first <= p <= piece.last
                for p in (*self._running, *self._unsure)
            )
        )
