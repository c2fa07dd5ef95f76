"""Who takes the place of a keeper that seems lost, and how often."""

import msgspec

from mimosastile_core import tables

_CALM_SECONDS = 60.0
_FIRST_WAIT = 1.0
_LONGEST_WAIT = 30.0


class _Taken(msgspec.Struct):
    """How often this VM took one role on suspicion, and when last."""

    count: int
    at: float


class TakeoverPace:
    """Slows down takeovers that follow each other on the same target.

    Two VMs that hear the target but not each other suspect each other. Each
    would take the role back from the other for as long as the cut lasts, seen
    as a write to the store every few milliseconds. The first takeover comes
    at once; each further one waits twice as long as the one before.
    """

    __slots__ = ("_taken",)

    def __init__(self) -> None:
        self._taken: dict[tuple[tables.BlockId, str], _Taken] = {}

    def allows(self, block: tables.BlockId, target: str, now: float) -> bool:
        """Whether this VM may take a role on suspicion now."""
        taken = self._taken.get((block, target))
        if taken is None or now - taken.at > _CALM_SECONDS:
            return True
        wait = min(_LONGEST_WAIT, _FIRST_WAIT * (1 << taken.count - 1))
        return now - taken.at >= wait

    def note(self, block: tables.BlockId, target: str, now: float) -> None:
        """Notes that this VM tries to take a role on suspicion."""
        taken = self._taken.get((block, target))
        if taken is None or now - taken.at > _CALM_SECONDS:
            self._taken[block, target] = _Taken(1, now)
        else:
            taken.count += 1
            taken.at = now
