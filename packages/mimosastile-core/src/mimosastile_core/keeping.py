"""Wanted slices of a keeper's target, and proofs that it released them.

A target's keeper is the entry VM through which alone the target gets requests
and grants.
"""

from collections.abc import Callable
import functools

import msgspec

from mimosastile_core import gates
from mimosastile_core import grants
from mimosastile_core import moves
from mimosastile_core import tables

Kept = grants.KeptTarget | gates.GatedTarget
Withheld = Callable[[tables.Slice], bool]
"""Whether a slice must not be granted although it has an owner in the table."""


class Evidence(msgspec.Struct, frozen=True):
    """A keeper's observations of a target besides the target's replies.

    Attributes:
        now: Current time in seconds.
        checks_expiry: Whether the target refuses requests once its grant has
            expired; only then is an expired grant a proof.
        max_validity: Seconds after which every grant has expired.
        gone_since: Time since which the list of VMs has lacked the target's
            VM, None if the VM is listed or never was.
    """

    now: float
    checks_expiry: bool
    max_validity: float = msgspec.field(name="lapse")
    gone_since: float | None = None


def wanted(
    block: tables.Block, target: str, withheld: Withheld
) -> tuple[grants.HeldSlice, ...]:
    """Returns the slices to grant to a target."""
    return tuple(
        grants.HeldSlice(s.first, s.last, s.fence)
        for s in block.owned_by(target)
        if not s.next and not withheld(s)
    )


def prepared(block: tables.Block, target: str) -> tuple[grants.HeldSlice, ...]:
    """Returns the slices that are moving to a target it doesn't own yet."""
    return tuple(
        grants.HeldSlice(s.first, s.last, s.fence)
        for s in block.slices
        if s.next == target and s.owner != target
    )


@functools.singledispatch
def proof(
    kept: Kept, owned: tuple[tables.Slice, ...], evidence: Evidence
) -> moves.Proof | None:
    """Returns a proof that a target can't run requests for slices any more.

    Args:
        kept: The target's state at its keeper.
        owned: Slices that the target owns according to the table.
        evidence: Further observations of the keeper.

    Returns:
        The proof that covers the most slices, None if there is none.
    """
    raise TypeError(f"unsupported target state: {kept!r}")


@proof.register
def _(
    kept: grants.KeptTarget, owned: tuple[tables.Slice, ...], evidence: Evidence
) -> moves.Proof | None:
    if not owned:
        return None
    if evidence.checks_expiry and kept.has_lapsed(evidence.now):
        return moves.Lapsed(kept.target, kept.keeper_fence)
    if is_gone(evidence, kept.expires_at):
        return moves.Gone(kept.target, kept.keeper_fence)
    return _released(kept, owned)


@proof.register
def _(
    kept: gates.GatedTarget, owned: tuple[tables.Slice, ...], evidence: Evidence
) -> moves.Proof | None:
    if owned and is_gone(evidence, evidence.now):
        return moves.Gone(kept.target, kept.keeper_fence)
    return _released(kept, owned)


@functools.singledispatch
def unprovable_moves(
    kept: Kept, owned: tuple[tables.Slice, ...]
) -> dict[int, str]:
    """Returns a plan that cancels moves whose release can't be proved.

    A moving slice is not served. If the release by its owner can never be
    proved, it would stay unserved until the owner's VM is gone, although the
    owner works.

    Args:
        kept: State of a target that isn't being removed.
        owned: Slices that the target owns according to the table.

    Returns:
        First hash of each such slice to an empty string for no next owner.
    """
    del kept, owned
    return {}


@unprovable_moves.register
def _(
    kept: gates.GatedTarget, owned: tuple[tables.Slice, ...]
) -> dict[int, str]:
    return {
        s.first: "" for s in owned if s.next and kept.is_release_unprovable(s)
    }


def is_gone(evidence: Evidence, not_before: float) -> bool:
    """Whether a target's VM has been unlisted for longer than any grant.

    Args:
        evidence: The keeper's observations.
        not_before: Time at which the keeper's own last grant has expired.
    """
    return (
        evidence.gone_since is not None
        and evidence.now > evidence.gone_since + evidence.max_validity
        and evidence.now >= not_before
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
