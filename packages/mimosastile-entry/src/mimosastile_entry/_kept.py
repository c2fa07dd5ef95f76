"""A kept target as the keeper service holds it."""

import asyncio
import functools

from mimosastile_core import gates
from mimosastile_core import grants
from mimosastile_core import keeping
from mimosastile_core import moves
from mimosastile_core import tables

SHORTEST_REST = 0.002
"""Seconds to wait beyond a moment, so as to be after it for certain."""

KeptId = tuple[tables.BlockId, str]


class Kept:
    """A kept target and what goes on about it.

    Attributes:
        state: What is known of the target.
        former: Former keepers that are not known to be silent.
        proof: Proof of release that is being handed in. While it is, its
            slices are not granted, whatever the target answers meanwhile.
        gone_since: Since when the list has lacked the target's VM.
        retry_at: No change is tried before this time.
        task: The task that renews.
        write: The task that hands the proof in.
        wake: Ends a rest.
    """

    __slots__ = (
        "former",
        "gone_since",
        "proof",
        "retry_at",
        "state",
        "task",
        "wake",
        "write",
    )

    def __init__(
        self, state: keeping.Kept, former: tuple[tables.FormerKeeper, ...]
    ) -> None:
        self.state = state
        self.former = set(former)
        self.proof: moves.Proof | None = None
        self.gone_since: float | None = None
        self.retry_at = 0.0
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.write: asyncio.Task[None] | None = None

    def cancel(self) -> None:
        """Ends both tasks."""
        for task in (self.task, self.write):
            if task is not None:
                task.cancel()


@functools.singledispatch
def is_replaced(state: keeping.Kept) -> bool:
    """Whether the target knows a newer keeper."""
    raise TypeError(f"not a kept target: {state!r}")


@is_replaced.register
def _(state: grants.KeptTarget) -> bool:
    return state.replaced


@is_replaced.register
def _(state: gates.GatedTarget) -> bool:
    del state
    return False


@functools.singledispatch
def rest_seconds(state: keeping.Kept, renew: float, now: float) -> float:
    """Returns how long to wait before a target is looked at again.

    Args:
        state: The kept target.
        renew: Interval of renewals in seconds.
        now: Present time.
    """
    raise TypeError(f"not a kept target: {state!r}")


@rest_seconds.register
def _(state: grants.KeptTarget, renew: float, now: float) -> float:
    answers = (
        state.last_reply_at is not None and now - state.last_reply_at < renew
    )
    if answers and not state.synchronized and not state.needs_confirmation:
        return renew / 10
    # A lapse is noticed when it happens, not at the next renewal.
    left = state.expires_at - now
    return min(renew, left + SHORTEST_REST) if left > 0 else renew


@rest_seconds.register
def _(state: gates.GatedTarget, renew: float, now: float) -> float:
    del state, now
    return renew


def is_unheard(state: keeping.Kept, now: float) -> bool:
    """Whether a target has not answered for as long as a grant lasts."""
    return isinstance(state, grants.KeptTarget) and now > state.expires_at


def resume(state: keeping.Kept, now: float) -> None:
    """Notes that the keeper goes on after a pause."""
    if isinstance(state, grants.KeptTarget):
        state.extend_after_pause(now)
