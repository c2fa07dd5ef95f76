"""Writes to the store whose outcome is not known.

A compare-and-swap whose answer was lost may take effect at any later time, as
long as the block is still at the version that it was made for. A keeper that
handed in a proof of release and heard nothing must not grant the slice again:
the write would give it to another target while the first one serves it.
"""

import msgspec

from mimosastile_core import tables


class _Attempt(msgspec.Struct, frozen=True):
    """A write that was sent: the version it was made for and its content."""

    base: int
    proposed: tables.Block


class PendingWrites:
    """Writes of this VM that were sent and not yet seen to succeed or fail.

    A write is noted before it is sent, so that a cancelled task leaves its
    trace as well. Whatever later version of the block is seen ends the doubt:
    the write has taken effect or never will.
    """

    __slots__ = ("_attempts",)

    def __init__(self) -> None:
        self._attempts: dict[tables.BlockId, list[_Attempt]] = {}

    def sent(self, base: tables.Block, proposed: tables.Block) -> None:
        """Notes a write that is about to leave."""
        attempt = _Attempt(base.version, proposed)
        self._attempts.setdefault(base.id, []).append(attempt)

    def failed(self, proposed: tables.Block) -> None:
        """Notes that a write is known to have had no effect."""
        attempts = self._attempts.get(proposed.id, [])
        self._attempts[proposed.id] = [
            a for a in attempts if a.proposed is not proposed
        ]

    def seen(self, block: tables.Block) -> None:
        """Notes the block as it is; writes for earlier versions are over."""
        attempts = self._attempts.get(block.id)
        if attempts is not None:
            left = [a for a in attempts if a.base >= block.version]
            if left:
                self._attempts[block.id] = left
            else:
                del self._attempts[block.id]

    def is_pending(self, block: tables.BlockId) -> bool:
        """Whether a write to a block may still take effect."""
        return bool(self._attempts.get(block))

    def blocks(self) -> list[tables.BlockId]:
        """Returns the blocks with a pending write."""
        return [at for at, attempts in self._attempts.items() if attempts]

    def withholds(self, at: tables.BlockId, piece: tables.Slice) -> bool:
        """Whether a pending write would take a slice from its owner."""
        return any(
            _takes(attempt.proposed, piece)
            for attempt in self._attempts.get(at, ())
        )


def _takes(proposed: tables.Block, piece: tables.Slice) -> bool:
    return any(
        (other.owner, other.fence) != (piece.owner, piece.fence)
        for other in proposed.slices
        if other.first <= piece.last and piece.first <= other.last
    )
