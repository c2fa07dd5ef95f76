"""Bound on the memory for requests whose heads have not arrived whole.

The limit on a head bounds its bytes. Its parsed headers take many times as
much, and a caller may hold them on every connection without ever sending a
request.
"""

from typing import Generic
from typing import TypeVar

Holder = TypeVar("Holder")

HEADER_OVERHEAD_BYTES = 160
"""Memory of a parsed header besides the bytes of its name and value."""


def head_cost(size: int, headers: int) -> int:
    """Returns the memory that a head takes, in bytes.

    Args:
        size: Bytes of the head.
        headers: Number of its headers.
    """
    return size + headers * HEADER_OVERHEAD_BYTES


class UnfinishedHeads(Generic[Holder]):
    """Memory held by unfinished heads, by holder.

    Attributes:
        most: Bytes that all heads together may hold, 0 for no bound.
        evicted: Number of heads dropped for the sake of others.
        total: Bytes that all heads hold now.
    """

    __slots__ = ("_costs", "evicted", "most", "total")

    def __init__(self, most: int = 0) -> None:
        """Creates an account without heads.

        Args:
            most: Bytes that all heads together may hold, 0 for no bound.
        """
        self.most = most
        self.evicted = 0
        self.total = 0
        self._costs: dict[Holder, int] = {}

    def hold(self, holder: Holder, cost: int) -> list[Holder]:
        """Counts the memory of a head so far.

        Args:
            holder: The head's connection.
            cost: Its memory in bytes.

        Returns:
            Holders whose heads are to be dropped, those that began first
            before others. They are no longer counted.
        """
        self.total += cost - self._costs.get(holder, 0)
        self._costs[holder] = cost
        dropped = []
        while self.most and self.total > self.most:
            oldest = next(iter(self._costs))
            self.release(oldest)
            dropped.append(oldest)
        self.evicted += len(dropped)
        return dropped

    def release(self, holder: Holder) -> None:
        """Removes a head that is whole or dropped, if it is counted."""
        self.total -= self._costs.pop(holder, 0)
