"""A stand-in for the platform's key-value service."""

import asyncio
import collections

import result

from mimosastile_core import errors
from mimosastile_entry import kernel
from mimosastile_entry import ports

_UNAVAILABLE = errors.Failure(errors.ErrorKind.STORE_UNAVAILABLE)
_UNKNOWN = errors.Failure(errors.ErrorKind.STORE_UNKNOWN)


class MemoryStore(kernel.Passive):
    """Compare-and-swap, listing and watches in memory.

    Attributes:
        latency: Seconds that each call takes.
        down: Whether every call fails without effect.
        lost_answers: How many of the next writes take effect although the
            caller is told nothing.
        late_writes: How many of the next writes are told nothing of and take
            effect `late_seconds` later, if the revision still fits then.
        late_seconds: How much later.
        calls: Calls by kind; a waiting watch counts as one.
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
        "lost_answers",
    )

    def __init__(self, latency: float = 0.0) -> None:
        super().__init__("store")
        self.latency = latency
        self.down = False
        self.lost_answers = 0
        self.late_writes = 0
        self.late_seconds = 1.0
        self.calls: collections.Counter[str] = collections.Counter()
        self._entries: dict[str, ports.Entry] = {}
        self._revision = 0
        self._changed = asyncio.Event()

    @property
    def entries(self) -> dict[str, ports.Entry]:
        """Everything stored, for checks."""
        return self._entries

    async def get(
        self, key: str
    ) -> result.Result[ports.Entry | None, errors.Failure]:
        """Reads one key."""
        if not await self._answers("get"):
            return result.Err(_UNAVAILABLE)
        return result.Ok(self._entries.get(key))

    async def list(
        self, prefix: str
    ) -> result.Result[ports.WatchBatch, errors.Failure]:
        """Reads all keys with a prefix."""
        if not await self._answers("list"):
            return result.Err(_UNAVAILABLE)
        return result.Ok(self._since(prefix, 0))

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> result.Result[int, errors.Failure | ports.Conflict]:
        """Writes a key if its revision is the expected one."""
        if not await self._answers("compare_and_swap"):
            return result.Err(_UNAVAILABLE)
        if self.late_writes > 0:
            self.late_writes -= 1
            asyncio.get_running_loop().call_later(
                self.late_seconds, self._swap, key, value, revision
            )
            return result.Err(_UNKNOWN)
        swapped = self._swap(key, value, revision)
        if swapped.is_ok() and self.lost_answers > 0:
            self.lost_answers -= 1
            return result.Err(_UNKNOWN)
        return swapped

    async def watch(
        self, prefix: str, revision: int, wait: float
    ) -> result.Result[ports.WatchBatch, errors.Failure]:
        """Waits for a change under a prefix after a revision."""
        if not await self._answers("watch"):
            return result.Err(_UNAVAILABLE)
        end = asyncio.get_running_loop().time() + wait
        while not (batch := self._since(prefix, revision)).entries:
            left = end - asyncio.get_running_loop().time()
            if left <= 0 or self.down:
                break
            # Not `wait_for`: in Python 3.11 it loses a cancellation that comes
            # in the moment of a change, and the watcher then never ends.
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                break
        return result.Err(_UNAVAILABLE) if self.down else result.Ok(batch)

    def go_down(self) -> None:
        """Fails all calls from now on, waiting watches included."""
        self.down = True
        self._changed.set()
        self._changed = asyncio.Event()

    def come_back(self) -> None:
        """Answers again, with everything that was stored."""
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

    def _since(self, prefix: str, revision: int) -> ports.WatchBatch:
        newer = tuple(
            e
            for e in self._entries.values()
            if e.revision > revision and e.key.startswith(prefix)
        )
        return ports.WatchBatch(newer, self._revision)

    async def _answers(self, call: str) -> bool:
        self.calls[call] += 1
        if self.latency:
            await asyncio.sleep(self.latency)
        return not self.down
