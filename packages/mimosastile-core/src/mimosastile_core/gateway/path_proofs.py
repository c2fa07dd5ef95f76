"""Decides who replaces a leader that has no path to owners of keys.

A leader cannot know which VMs have a path: those that send no requests to a
service have not tried it. So it asks VMs of all zones, a few at first and then
more, and each proves its path before it leads.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence

import msgspec

_FIRST_ASKED = 8
"""VMs asked in the first round. If two thirds of the VMs are cut off, all eight
are cut off once in 25 times."""
_GROWTH = 3
"""Factor from round to round: five rounds ask 968 VMs."""
_ROUND_SECONDS = 0.4
"""Time from round to round: attempts to connect, two calls to the store and the
transit both ways."""
_PAUSE_SECONDS = 2.0
"""Time before VMs that have been asked without success are asked again. A VM
that regains a path reports it, and is asked at once."""
_MAX_OWNERS = 4
"""Owners at which a successor has to prove its path."""


class PathProof(msgspec.Struct, frozen=True, array_like=True):
    """What a VM has to reach before it leads.

    Attributes:
        services: Services divided by key that the leader does not reach.
        owners: Owners of keys that the leader does not reach.
    """

    services: tuple[str, ...] = ()
    owners: tuple[str, ...] = ()


class Candidate(msgspec.Struct, frozen=True):
    """A VM that may be asked to lead.

    Attributes:
        id: Its identifier.
        zone: Its zone.
    """

    id: str
    zone: str


def needed_proof(
    isolated: Collection[str], owners: Collection[str]
) -> PathProof | None:
    """Returns what a successor has to prove; None if none is needed.

    Args:
        isolated: Services divided by key that the leader does not reach.
        owners: Owners that the leader does not reach, and that responded to
            other VMs since. The keys of a single one move to another target.
    """
    if isolated:
        return PathProof(tuple(sorted(isolated)))
    if len(owners) > 1:
        return PathProof((), tuple(sorted(owners)[:_MAX_OWNERS]))
    return None


def suffices(proof: PathProof, unreached: Collection[str]) -> bool:
    """Whether a VM should lead in place of the one that asks.

    It has to reach more services, or two VMs that each lack another one would
    replace each other for ever.

    Args:
        proof: What the leader asks for.
        unreached: Services divided by key that the VM does not reach.
    """
    return len(unreached) < max(len(proof.services), 1)


class PathSuccessors:
    """Tracks which VMs a leader without a path has asked to lead."""

    __slots__ = ("_asked", "_asked_at", "_round")

    def __init__(self) -> None:
        """Creates a record of no requests."""
        self._asked: set[str] = set()
        self._asked_at = float("-inf")
        self._round = 0

    @property
    def asked(self) -> Collection[str]:
        """The VMs asked since the path was lost."""
        return self._asked

    def clear(self) -> None:
        """Resets the record, when the path is there again."""
        self._asked = set()
        self._asked_at = float("-inf")
        self._round = 0

    def next(
        self, candidates: Sequence[Candidate], now: float
    ) -> tuple[str, ...]:
        """Returns the VMs to ask now, none while the last ones have time.

        Args:
            candidates: VMs that may have a path, the best first.
            now: Current time.
        """
        if now - self._asked_at < _ROUND_SECONDS:
            return ()
        # A VM that has lost its path and regained it is asked anew.
        self._asked &= {candidate.id for candidate in candidates}
        remaining = [c for c in candidates if c.id not in self._asked]
        if not remaining:
            if now - self._asked_at < _PAUSE_SECONDS:
                return ()
            self._asked = set()
            self._round = 0
            remaining = list(candidates)
        count = _FIRST_ASKED * _GROWTH**self._round
        chosen = tuple(spread_over_zones(remaining)[:count])
        if chosen:
            self._asked.update(chosen)
            self._asked_at = now
            self._round += 1
        return chosen


def spread_over_zones(candidates: Iterable[Candidate]) -> list[str]:
    """Returns identifiers, best first, taking the zones in rotation."""
    counts: dict[str, int] = {}
    ranked: list[tuple[int, int, str]] = []
    for index, candidate in enumerate(candidates):
        rank = counts.get(candidate.zone, 0)
        counts[candidate.zone] = rank + 1
        ranked.append((rank, index, candidate.id))
    return [name for _, _, name in sorted(ranked)]
