"""Bytes that a VM holds for callers and targets, counted and bounded."""

import collections

LARGE_BYTES = 64 << 10
"""Size of a body from which it can be refused for want of memory. Smaller ones
are bounded by the number of connections."""
_LISTED_OWNERS = 5
"""Owners listed in the state dump."""


class HeldBytes:
    """Bodies of requests that are received or served, and unsent responses.

    Attributes:
        limit: Bytes up to which large bodies are accepted, 0 for no bound.
    """

    __slots__ = ("_by_owner", "_peaks", "_requests", "_unsent", "limit")

    def __init__(self, limit: int = 0) -> None:
        """Creates an account that holds nothing.

        Args:
            limit: Bytes up to which large bodies are accepted, 0 for no bound.
        """
        self.limit = limit
        self._requests = 0
        self._unsent = 0
        self._by_owner: collections.Counter[str] = collections.Counter()
        self._peaks: collections.Counter[str] = collections.Counter()

    @property
    def total(self) -> int:
        """Bytes held now, with the responses last sampled."""
        return self._requests + self._unsent

    def hold(self, owner: str, size: int) -> None:
        """Counts received bytes of a request's body.

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

    def sample_unsent(self, size: int) -> None:
        """Records the bytes of responses that callers have not read yet."""
        self._unsent = size
        self._record_peak("responses", size)

    def admits(self, size: int) -> bool:
        """Whether a body of a size may be received."""
        if not self.limit or size < LARGE_BYTES:
            return True
        return self.total + size <= self.limit

    def dump(self) -> dict[str, object]:
        """Returns bytes held, peaks by purpose and the largest owners."""
        return {
            "limit": self.limit,
            "requests": self._requests,
            "responses": self._unsent,
            "peaks": dict(self._peaks),
            "owners": dict(self._by_owner.most_common(_LISTED_OWNERS)),
        }

    def _record_peak(self, purpose: str, size: int) -> None:
        self._peaks[purpose] = max(self._peaks[purpose], size)


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
