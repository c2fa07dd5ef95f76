"""Choice of successors by a leader that has lost its access to the store.

A leader's view of other VMs' connections to the store is several seconds old,
because most VMs rarely call the store. VMs that it asks may be cut off by the
same fault. While a leader waits for a VM that cannot take over, tables do not
change and keys of lost targets have no owner, although most VMs reach the
store. Therefore several VMs are asked at a time, and others soon after; the
store lets one of them through.
"""

from collections.abc import Sequence

_CONCURRENT_REQUESTS = 3
"""VMs asked at a time. If a third of the VMs is cut off, all three are cut off
once in 27 times."""
_RESPONSE_SECONDS = 0.6
"""Time that the VMs asked last are given: two calls to the store and the
transit both ways."""


class SuccessorSelection:
    """Tracks which VMs were asked to lead, so that others are asked next."""

    __slots__ = ("_asked", "_asked_at")

    def __init__(self) -> None:
        self._asked: tuple[str, ...] = ()
        self._asked_at = float("-inf")

    @property
    def asked(self) -> tuple[str, ...]:
        """The VMs asked since the store was last reached."""
        return self._asked

    def clear(self) -> None:
        """Resets the record of the VMs asked."""
        self._asked = ()
        self._asked_at = float("-inf")

    def next(self, candidates: Sequence[str], now: float) -> tuple[str, ...]:
        """Returns the VMs to ask now, none while the last ones have time.

        Args:
            candidates: VMs that report access to the store, the best first.
            now: Current time.
        """
        if now - self._asked_at < _RESPONSE_SECONDS:
            return ()
        remaining = [vm for vm in candidates if vm not in self._asked]
        if not remaining:
            # All were asked without success; some may reach the store again.
            self._asked = ()
            remaining = list(candidates)
        chosen = tuple(remaining[:_CONCURRENT_REQUESTS])
        if chosen:
            self._asked += chosen
            self._asked_at = now
        return chosen
