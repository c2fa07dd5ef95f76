"""What a keeper orders, and what it may conclude about a kept target."""

from collections.abc import Callable
import functools

import msgspec

from mimosastile_core import gates
from mimosastile_core import grants
from mimosastile_core import moves
from mimosastile_core import tables

Kept = grants.KeptTarget | gates.GatedTarget
Withheld = Callable[[tables.Slice], bool]
"""Whether a slice must not be granted although the table names its owner."""


class Sight(msgspec.Struct, frozen=True):
    """What a keeper knows besides the target's answers.

    Attributes:
        now: Present time in seconds.
        checks_expiry: Whether the target refuses requests once its grant has
            run out; without that nothing lapses.
        lapse: Seconds after which no grant can be valid.
        gone_since: Since when the list has lacked the target's VM, None if
            it is listed or never was.
    """

    now: float
    checks_expiry: bool
    lapse: float
    gone_since: float | None = None


def wanted(
    block: tables.Block, target: str, withheld: Withheld
) -> tuple[grants.HeldSlice, ...]:
    """Returns the slices that a target should be granted now."""
    return tuple(
        grants.HeldSlice(s.first, s.last, s.fence)
        for s in block.owned_by(target)
        if not s.next and not withheld(s)
    )


def prepared(block: tables.Block, target: str) -> tuple[grants.HeldSlice, ...]:
    """Returns the slices that are moving to a target and not yet its own."""
    return tuple(
        grants.HeldSlice(s.first, s.last, s.fence)
        for s in block.slices
        if s.next == target and s.owner != target
    )


@functools.singledispatch
def proof(
    kept: Kept, owned: tuple[tables.Slice, ...], sight: Sight
) -> moves.Proof | None:
    """Returns what now proves that a target can run nothing for slices.

    Args:
        kept: The kept target.
        owned: Slices that the table says are the target's.
        sight: What the keeper knows besides.

    Returns:
        The proof that covers most, None if there is none.
    """
    raise TypeError(f"not a kept target: {kept!r}")


@proof.register
def _(
    kept: grants.KeptTarget, owned: tuple[tables.Slice, ...], sight: Sight
) -> moves.Proof | None:
    if not owned:
        return None
    if sight.checks_expiry and kept.has_lapsed(sight.now):
        return moves.Lapsed(kept.target, kept.keeper_fence)
    if is_gone(sight, kept.lapses_at):
        return moves.Gone(kept.target, kept.keeper_fence)
    return _released(kept, owned)


@proof.register
def _(
    kept: gates.GatedTarget, owned: tuple[tables.Slice, ...], sight: Sight
) -> moves.Proof | None:
    if owned and is_gone(sight, sight.now):
        return moves.Gone(kept.target, kept.keeper_fence)
    return _released(kept, owned)


@functools.singledispatch
def stuck(kept: Kept, owned: tuple[tables.Slice, ...]) -> dict[int, str]:
    """Returns a plan that takes back moves which can never finish.

    A slice that is moving is not served. If nothing can ever prove that its
    owner let it go, it would not be served again before the owner's VM is
    gone, although the owner is well.

    Args:
        kept: The kept target, which is to stay.
        owned: Slices that the table says are the target's.
    """
    del kept, owned
    return {}


@stuck.register
def _(
    kept: gates.GatedTarget, owned: tuple[tables.Slice, ...]
) -> dict[int, str]:
    return {s.first: "" for s in owned if s.next and kept.never_releases(s)}


def is_gone(sight: Sight, not_before: float) -> bool:
    """Whether a target's VM has left the list for longer than any grant.

    Args:
        sight: What the keeper knows.
        not_before: When the keeper's own last grant has run out.
    """
    return (
        sight.gone_since is not None
        and sight.now > sight.gone_since + sight.lapse
        and sight.now >= not_before
    )


def _released(
    kept: Kept, owned: tuple[tables.Slice, ...]
) -> moves.Proof | None:
    released = frozenset(
        s.first for s in owned if s.next and kept.has_released(s)
    )
    if not released:
        return None
    return moves.Released(kept.target, kept.keeper_fence, released)
