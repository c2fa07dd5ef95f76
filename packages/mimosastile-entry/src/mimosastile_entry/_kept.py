"""State that the keeper service holds for each kept target."""

import asyncio
import functools

from mimosastile_core import gates
from mimosastile_core import grants
from mimosastile_core import keeping
from mimosastile_core import moves
from mimosastile_core import tables

EXPIRY_MARGIN_SECONDS = 0.002
"""Extra wait, so that a timer surely fires after the expiry it waits for."""

KeptId = tuple[tables.BlockId, str]


class Kept:
    """A kept target and the tasks that serve it.

    Attributes:
        state: Renewal state, or gate state if the target takes no grants.
        former: Former keepers that are not known to have stopped.
        proof: Proof of release that is being written to the store. Until the
            write ends, its slices are not granted, however the target responds.
        gone_since: When the target's VM was first missing from the VM list.
        retry_at: Earliest time for the next change of the block.
        task: The task that renews grants.
        write: The task that changes the block, for example with a proof.
        wake: Ends the wait for the next renewal.
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
        """Cancels both tasks."""
        for task in (self.task, self.write):
            if task is not None:
                task.cancel()


@functools.singledispatch
def is_replaced(state: keeping.Kept) -> bool:
    """Whether the target has reported a newer keeper."""
    raise TypeError(f"not a kept target: {state!r}")


@is_replaced.register
def _(state: grants.KeptTarget) -> bool:
    return state.replaced


@is_replaced.register
def _(state: gates.GatedTarget) -> bool:
    del state
    return False


@functools.singledispatch
def wait_seconds(state: keeping.Kept, renew: float, now: float) -> float:
    """Returns the seconds until a target is due for its next renewal.

    Args:
        state: The kept target.
        renew: Renewal interval in seconds.
        now: Current time in seconds.
    """
    raise TypeError(f"not a kept target: {state!r}")


@wait_seconds.register
def _(state: grants.KeptTarget, renew: float, now: float) -> float:
    responsive = (
        state.last_reply_at is not None and now - state.last_reply_at < renew
    )
    if responsive and not state.synchronized and not state.needs_confirmation:
        return renew / 10
    # An expiry is detected when it happens, not at the next renewal.
    left = state.expires_at - now
    return min(renew, left + EXPIRY_MARGIN_SECONDS) if left > 0 else renew


@wait_seconds.register
def _(state: gates.GatedTarget, renew: float, now: float) -> float:
    del state, now
    return renew


def is_unresponsive(state: keeping.Kept, now: float) -> bool:
    """Whether a target has not responded for a whole grant duration."""
    return isinstance(state, grants.KeptTarget) and now > state.expires_at


def resume(state: keeping.Kept, now: float) -> None:
    """Extends the grant state after a pause of the keeper."""
    if isinstance(state, grants.KeptTarget):
        state.extend_after_pause(now)
