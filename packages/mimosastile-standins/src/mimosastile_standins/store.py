"""An in-memory stand-in for the platform's key-value service."""

import asyncio
import collections

import result

from mimosastile_core import errors
from mimosastile_entry import kernel
from mimosastile_entry import ports

_UNAVAILABLE = errors.Failure(errors.ErrorKind.STORE_UNAVAILABLE)
_UNKNOWN = errors.Failure(errors.ErrorKind.STORE_UNKNOWN)


class MemoryStore(kernel.Passive):
    """In-memory key-value store with compare-and-swap, lists and watches.

    Faults are injected through its attributes.

    Attributes:
        latency: Latency of each call in seconds.
        down: Whether every call fails without effect.
        lost_responses: Number of next successful writes whose response is lost:
            they take effect, and the caller gets `STORE_UNKNOWN`.
        late_writes: Number of next writes that are delayed: the caller gets
            `STORE_UNKNOWN`, and the write takes effect after `late_seconds` if
            its revision still matches.
        late_seconds: Delay of late writes in seconds.
        calls: Number of calls by kind; a pending watch counts as one.
    """

    __slots__ = (
        "_changed",
        "_entries",
        "_revision",
        "calls",
        "down",
        "late_seconds",
        "late_writes",
        "latency",
        "lost_responses",
    )

    def __init__(self, latency: float = 0.0) -> None:
        super().__init__("store")
        self.latency = latency
        self.down = False
        self.lost_responses = 0
        self.late_writes = 0
        self.late_seconds = 1.0
        self.calls: collections.Counter[str] = collections.Counter()
        self._entries: dict[str, ports.Entry] = {}
        self._revision = 0
        self._changed = asyncio.Event()

    @property
    def entries(self) -> dict[str, ports.Entry]:
        """All stored entries by key, for checks."""
        return self._entries

    async def get(
        self, key: str
    ) -> result.Result[ports.Entry | None, errors.Failure]:
        """Reads one key; returns None if it is missing."""
        if not await self._is_available("get"):
            return result.Err(_UNAVAILABLE)
        return result.Ok(self._entries.get(key))

    async def list(
        self, prefix: str
    ) -> result.Result[ports.WatchBatch, errors.Failure]:
        """Reads all entries whose keys have a prefix."""
        if not await self._is_available("list"):
            return result.Err(_UNAVAILABLE)
        return result.Ok(self._entries_since(prefix, 0))

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> result.Result[int, errors.Failure | ports.Conflict]:
        """Writes a key if its current revision equals `revision`.

        Revision 0 means that the key is missing. Returns the new revision.
        """
        if not await self._is_available("compare_and_swap"):
            return result.Err(_UNAVAILABLE)
        if self.late_writes > 0:
            self.late_writes -= 1
            asyncio.get_running_loop().call_later(
                self.late_seconds, self._swap, key, value, revision
            )
            return result.Err(_UNKNOWN)
        swapped = self._swap(key, value, revision)
        if swapped.is_ok() and self.lost_responses > 0:
            self.lost_responses -= 1
            return result.Err(_UNKNOWN)
        return swapped

    async def watch(
        self, prefix: str, revision: int, wait: float
    ) -> result.Result[ports.WatchBatch, errors.Failure]:
        """Waits up to `wait` seconds for changes under a prefix.

        Returns the entries newer than `revision`, none after a timeout.
        """
        if not await self._is_available("watch"):
            return result.Err(_UNAVAILABLE)
        end = asyncio.get_running_loop().time() + wait
        while not (batch := self._entries_since(prefix, revision)).entries:
            remaining = end - asyncio.get_running_loop().time()
            if remaining <= 0 or self.down:
                break
            # Not `wait_for`: in Python 3.11 it loses a cancellation that
            # coincides with a change, and the watcher then never ends.
            try:
                async with asyncio.timeout(remaining):
                    await self._changed.wait()
            except TimeoutError:
                break
        return result.Err(_UNAVAILABLE) if self.down else result.Ok(batch)

    def go_down(self) -> None:
        """Makes all calls fail, including pending watches."""
        self.down = True
        self._changed.set()
        self._changed = asyncio.Event()

    def come_back(self) -> None:
        """Serves calls again with all stored entries."""
        self.down = False

    def _swap(
        self, key: str, value: bytes, revision: int
    ) -> result.Result[int, errors.Failure | ports.Conflict]:
        current = self._entries.get(key)
        if (current.revision if current else 0) != revision:
            return result.Err(ports.Conflict(current))
        self._revision += 1
        self._entries[key] = ports.Entry(key, value, self._revision)
        self._changed.set()
        self._changed = asyncio.Event()
        return result.Ok(self._revision)

    def _entries_since(self, prefix: str, revision: int) -> ports.WatchBatch:
        newer = tuple(
            e
            for e in self._entries.values()
            if e.revision > revision and e.key.startswith(prefix)
        )
        return ports.WatchBatch(newer, self._revision)

    async def _is_available(self, call: str) -> bool:
        self.calls[call] += 1
        if self.latency:
            await asyncio.sleep(self.latency)
        return not self.down
