"""Backoff of repeated takeovers from keepers that are suspected.

A target's keeper is the entry VM through which alone the target gets requests
and grants.
"""

import msgspec

from mimosastile_core import tables

_RESET_SECONDS = 60.0
_MIN_WAIT_SECONDS = 1.0
_MAX_WAIT_SECONDS = 30.0


class _Takeovers(msgspec.Struct):
    """Number of takeovers of one role on suspicion, and time of the last."""

    count: int
    at: float


class TakeoverBackoff:
    """Exponential backoff for repeated takeovers of the same target.

    Two VMs that can reach the target but not each other suspect each other.
    Without a backoff, each would take the role back from the other until the
    partition ends, with a write to the store every few milliseconds. The
    first takeover is allowed immediately; each further one waits twice as
    long as the one before.
    """

    __slots__ = ("_takeovers",)

    def __init__(self) -> None:
        self._takeovers: dict[tuple[tables.BlockId, str], _Takeovers] = {}

    def allows(self, block: tables.BlockId, target: str, now: float) -> bool:
        """Whether this VM may take over a role on suspicion now."""
        takeovers = self._takeovers.get((block, target))
        if takeovers is None or now - takeovers.at > _RESET_SECONDS:
            return True
        wait = min(
            _MAX_WAIT_SECONDS, _MIN_WAIT_SECONDS * (1 << takeovers.count - 1)
        )
        return now - takeovers.at >= wait

    def record(self, block: tables.BlockId, target: str, now: float) -> None:
        """Records an attempt of this VM to take over a role on suspicion."""
        takeovers = self._takeovers.get((block, target))
        if takeovers is None or now - takeovers.at > _RESET_SECONDS:
            self._takeovers[block, target] = _Takeovers(1, now)
        else:
            takeovers.count += 1
            takeovers.at = now
