"""Writes to the store whose outcome is unknown.

A compare-and-swap whose response was lost may take effect at any later time,
as long as the block is still at the expected version. A keeper that sent a
proof of release and got no response must not grant the slice again: the write
may assign the slice to another target while the first one serves it.
"""

import msgspec

from mimosastile_core import tables


class _Attempt(msgspec.Struct, frozen=True):
    """A write that was sent: its expected version and its content."""

    base: int
    proposed: tables.Block


class PendingWrites:
    """Writes that this VM has sent and whose outcome is not yet known.

    A write is recorded before it is sent, so the write of a cancelled task is
    recorded as well. Any later version of the block resolves the outcome: the
    write has taken effect or never will.
    """

    __slots__ = ("_attempts",)

    def __init__(self) -> None:
        self._attempts: dict[tables.BlockId, list[_Attempt]] = {}

    def sent(self, base: tables.Block, proposed: tables.Block) -> None:
        """Records a write that is about to be sent."""
        attempt = _Attempt(base.version, proposed)
        self._attempts.setdefault(base.id, []).append(attempt)

    def failed(self, proposed: tables.Block) -> None:
        """Removes a write that certainly had no effect."""
        attempts = self._attempts.get(proposed.id, [])
        self._attempts[proposed.id] = [
            a for a in attempts if a.proposed is not proposed
        ]

    def observe(self, block: tables.Block) -> None:
        """Removes the writes that expect a version before the block's."""
        attempts = self._attempts.get(block.id)
        if attempts is not None:
            remaining = [a for a in attempts if a.base >= block.version]
            if remaining:
                self._attempts[block.id] = remaining
            else:
                del self._attempts[block.id]

    def is_pending(self, block: tables.BlockId) -> bool:
        """Whether a write to a block may still take effect."""
        return bool(self._attempts.get(block))

    def blocks(self) -> list[tables.BlockId]:
        """Returns the blocks with a pending write."""
        return [at for at, attempts in self._attempts.items() if attempts]

    def withholds(self, at: tables.BlockId, piece: tables.Slice) -> bool:
        """Whether a pending write would change a slice's owner or fence."""
        return any(
            _changes(attempt.proposed, piece)
            for attempt in self._attempts.get(at, ())
        )


def _changes(proposed: tables.Block, piece: tables.Slice) -> bool:
    return any(
        (other.owner, other.fence) != (piece.owner, piece.fence)
        for other in proposed.slices
        if other.first <= piece.last and piece.first <= other.last
    )
