"""Bytes that a VM holds for callers and targets, counted and bounded."""

import collections

LARGE_BYTES = 64 << 10
"""Size of a body from which it is refused first for want of memory."""
_RESERVE_SHARE = 0.125
"""Memory above the limit, as a share of it, that is left for small bodies and
for requests without a body."""
_SMALL_HEAD_BYTES = 8 << 10
"""Memory of a head up to which it is refused last."""
_LAST_RESERVE_SHARE = 0.1875
"""Memory above the limit, as a share of it, that is left for small heads."""
_MESSAGE_RESERVE_BYTES = 4 << 20
"""Memory above all reserves that is left for messages between VMs."""
_SHORT_SHARE = 0.5
"""Share of the limit above which responses are received more slowly."""
_LISTED_OWNERS = 5
"""Owners listed in the state dump."""


class HeldBytes:
    """All copies of bodies that a VM holds for callers, targets and peers.

    A request's body is counted from the moment it is accepted, with its
    announced length. Everything else is counted when it is buffered. Heads of
    requests count against the same limit until their requests have ended.

    Attributes:
        limit: Bytes up to which large bodies are accepted, 0 for no bound.
        refused: Number of requests refused for want of memory.
    """

    __slots__ = (
        "_by_owner",
        "_heads",
        "_peaks",
        "_received",
        "_requests",
        "_sending",
        "_unsent",
        "limit",
        "refused",
    )

    def __init__(self, limit: int = 0) -> None:
        """Creates an account that holds nothing.

        Args:
            limit: Bytes up to which large bodies are accepted, 0 for no bound.
        """
        self.limit = limit
        self.refused = 0
        self._heads = 0
        self._requests = 0
        self._sending = 0
        self._received = 0
        self._unsent = 0
        self._by_owner: collections.Counter[str] = collections.Counter()
        self._peaks: collections.Counter[str] = collections.Counter()

    @property
    def total(self) -> int:
        """Bytes of bodies held now."""
        return self._requests + self._sending + self._received + self._unsent

    @property
    def short(self) -> bool:
        """Whether responses should be received no faster than they are sent."""
        return bool(self.limit) and self._used > self.limit * _SHORT_SHARE

    @property
    def _used(self) -> int:
        return self.total + self._heads

    def hold(self, owner: str, size: int) -> None:
        """Counts bytes of a request's body.

        Args:
            owner: Address of the caller.
            size: Number of bytes.
        """
        self._requests += size
        self._by_owner[owner] += size
        self._record_peak("requests", self._requests)

    def release(self, owner: str, size: int) -> None:
        """Counts bytes of a body that are no longer held."""
        self._requests -= size
        self._by_owner[owner] -= size
        if self._by_owner[owner] <= 0:
            del self._by_owner[owner]

    def add_sending(self, change: int) -> None:
        """Counts bytes buffered for targets, peers and the store."""
        self._sending += change
        self._record_peak("sending", self._sending)

    def add_received(self, change: int) -> None:
        """Counts bytes of responses that are not passed on yet."""
        self._received += change
        self._record_peak("received", self._received)

    def add_unsent(self, change: int) -> None:
        """Counts bytes of responses that callers have not read yet."""
        self._unsent += change
        self._record_peak("responses", self._unsent)

    def admits(self, size: int) -> bool:
        """Whether a request with a body of a size may be received."""
        return self._fits(size, self._used + size)

    def admits_growth(self, size: int) -> bool:
        """Whether a body may go on to be received.

        Args:
            size: Bytes of it that are counted already.
        """
        return self._fits(size, self._used)

    def admits_head(self, cost: int) -> bool:
        """Whether a head may be kept until its request has ended.

        Args:
            cost: Its memory in bytes.
        """
        small = cost <= _SMALL_HEAD_BYTES
        used = self._used + cost
        return (
            small and used <= self.limit * (1 + _LAST_RESERVE_SHARE)
        ) or self._fits(cost, used)

    def admits_message(self, size: int) -> bool:
        """Whether a message from another VM may be received.

        Args:
            size: Bytes of it that are not counted yet.
        """
        most = self.limit * (1 + _LAST_RESERVE_SHARE) + _MESSAGE_RESERVE_BYTES
        return not self.limit or self._used + size <= most

    def add_heads(self, change: int) -> None:
        """Counts the memory of heads of requests that have not ended."""
        self._heads += change
        self._record_peak("heads", self._heads)

    def dump(self) -> dict[str, object]:
        """Returns bytes held, peaks by purpose and the largest owners."""
        return {
            "limit": self.limit,
            "refused": self.refused,
            "heads": self._heads,
            "requests": self._requests,
            "sending": self._sending,
            "received": self._received,
            "responses": self._unsent,
            "peaks": dict(self._peaks),
            "owners": dict(self._by_owner.most_common(_LISTED_OWNERS)),
        }

    def _fits(self, size: int, total: int) -> bool:
        if not self.limit:
            return True
        if size < LARGE_BYTES:
            return total <= self.limit * (1 + _RESERVE_SHARE)
        return total <= self.limit

    def _record_peak(self, purpose: str, size: int) -> None:
        if size > self._peaks[purpose]:
            self._peaks[purpose] = size


class TargetBodies:
    """Bodies of the requests that targets hold from one VM.

    A target crashes when the requests that it holds exceed its memory, which
    only it knows, so they are counted and not bounded.
    """

    __slots__ = ("_held", "_peak")

    def __init__(self) -> None:
        """Creates an account without requests."""
        self._held: collections.Counter[str] = collections.Counter()
        self._peak = 0

    def begin(self, target: str, size: int) -> None:
        """Records that a request is sent."""
        if size:
            self._held[target] += size
            self._peak = max(self._peak, self._held[target])

    def end(self, target: str, size: int) -> None:
        """Records that a request has ended."""
        self._held[target] -= size
        if self._held[target] <= 0:
            del self._held[target]

    def dump(self) -> dict[str, object]:
        """Returns the bytes at all targets and the most at a single one."""
        return {"total": self._held.total(), "peak_of_one": self._peak}
