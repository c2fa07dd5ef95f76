"""Whom a leader that is cut off from the store asks to lead in its place.

What a leader knows of other VMs' ways to the store is some seconds old: most of
them rarely call it. The ones it asks may be cut off by the same fault. A leader
that waits for one that cannot come keeps tables unchanged and lost targets'
keys without an owner, while most VMs reach the store. So several are asked at a
time, and others soon after; the store lets one of them through.
"""

from collections.abc import Sequence

_AT_ONCE = 3
"""VMs asked at a time. When a third of the VMs is turned away, all of three are
so once in 27 times."""
_PATIENCE = 0.6
"""Seconds for which those asked last have time: two calls to the store and the
way there and back."""


class SuccessorSelection:
    """Remembers which VMs were asked, so that others come next."""

    __slots__ = ("_asked", "_asked_at")

    def __init__(self) -> None:
        self._asked: tuple[str, ...] = ()
        self._asked_at = float("-inf")

    @property
    def asked(self) -> tuple[str, ...]:
        """The VMs asked since the store was last reached."""
        return self._asked

    def clear(self) -> None:
        """Asks nobody any more."""
        self._asked = ()
        self._asked_at = float("-inf")

    def next(self, able: Sequence[str], now: float) -> tuple[str, ...]:
        """Returns the VMs to ask now, none while the last ones have time.

        Args:
            able: VMs that say they reach the store, the best first.
            now: The time.
        """
        if now - self._asked_at < _PATIENCE:
            return ()
        left = [vm for vm in able if vm not in self._asked]
        if not left:
            # All were asked in vain; their ways to the store may be back.
            self._asked = ()
            left = list(able)
        chosen = tuple(left[:_AT_ONCE])
        if chosen:
            self._asked += chosen
            self._asked_at = now
        return chosen
