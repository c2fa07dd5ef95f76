"""Audit service: records administration API calls in the store.

The history keeps accepted patches permanently. The audit log keeps the most
recent refusals and other notable calls of each zone.
"""

import asyncio
import collections
from typing import Any

from absl import logging
import msgspec
import result

from mimosastile_core import administration
from mimosastile_core import decoding
from mimosastile_core import errors
from mimosastile_entry import _background
from mimosastile_entry import kernel
from mimosastile_entry import ports

PREFIX = "audit/"
MAX_ENTRIES = 500
"""Maximum number of entries per zone; well under a megabyte."""

_PREFIX = "audit:"
_FLUSH_INTERVAL_SECONDS = 10.0
"""Shortest interval between two writes of a VM, so that callers who guess
tokens cannot load the store."""
_MAX_DETAIL_LENGTH = 300

_ENTRIES = msgspec.json.Decoder(tuple[administration.AuditEntry, ...])
Entries = tuple[administration.AuditEntry, ...]


class AuditService:
    """Buffers entries and appends them to the zone's list in the store."""

    __slots__ = (
        "_clock",
        "_dropped",
        "_pending",
        "_store",
        "_tasks",
        "_vm",
        "_zone",
        "name",
        "needs",
    )

    def __init__(self, vm: str, zone: str) -> None:
        """Initializes the service.

        Args:
            vm: Identifier of this VM.
            zone: Its availability zone. All VMs of a zone share one list, so
                that the store does not keep a list for every replaced VM.
        """
        self.name = "audit"
        self.needs: tuple[str, ...] = ("store", "clock")
        self._vm = vm
        self._zone = zone
        self._pending: collections.deque[administration.AuditEntry] = (
            collections.deque(maxlen=MAX_ENTRIES)
        )
        self._dropped = 0
        self._store: ports.StorePort
        self._clock: ports.ClockPort
        self._tasks = _background.Background()

    async def start(self, kernel: kernel.Kernel) -> None:
        """Starts the periodic flush."""
        self._store = kernel.find("store")
        self._clock = kernel.find("clock")
        self._tasks.keep(self._flush_periodically, "audit")

    async def stop(self) -> None:
        """Stops the periodic flush and writes the buffered entries."""
        self._tasks.cancel()
        await self.flush()

    def dump(self) -> dict[str, Any]:
        """Returns the counts of buffered and dropped entries."""
        return {"pending": len(self._pending), "dropped": self._dropped}

    def record(
        self, operator: str, action: str, outcome: str, detail: str = ""
    ) -> None:
        """Buffers an entry for the next flush."""
        if len(self._pending) == MAX_ENTRIES:
            self._dropped += 1
        entry = administration.AuditEntry(
            self._clock.wall(),
            self._vm,
            operator,
            action[:_MAX_DETAIL_LENGTH],
            outcome,
            detail[:_MAX_DETAIL_LENGTH],
        )
        self._pending.append(entry)
        logging.info(
            "%s %s %s: %s.",
            _PREFIX,
            operator or "nobody",
            entry.action,
            outcome,
        )

    async def entries(
        self,
    ) -> result.Result[list[administration.AuditEntry], errors.Failure]:
        """Reads the entries of all zones, newest first."""
        await self.flush()
        read = await self._store.list(PREFIX)
        if isinstance(read, result.Err):
            return read
        merged = [e for v in read.ok_value.entries for e in _decode(v.value)]
        return result.Ok(sorted(merged, key=lambda e: e.time, reverse=True))

    async def flush(self) -> None:
        """Writes buffered entries to the zone's list; keeps them on failure."""
        if not self._pending:
            return
        key = PREFIX + self._zone
        read = await self._store.get(key)
        if isinstance(read, result.Err):
            return
        stored = read.ok_value
        new = tuple(self._pending)
        before = _decode(stored.value) if stored else ()
        # After a lost response, the list may already contain the entries.
        recorded = set(before)
        added = (entry for entry in new if entry not in recorded)
        value = msgspec.json.encode((*before, *added)[-MAX_ENTRIES:])
        wrote = await self._store.compare_and_swap(
            key, value, stored.revision if stored else 0
        )
        if wrote.is_ok():
            written = set(new)
            remaining = [e for e in self._pending if e not in written]
            self._pending.clear()
            self._pending.extend(remaining)

    async def _flush_periodically(self) -> None:
        while True:
            await asyncio.sleep(_FLUSH_INTERVAL_SECONDS)
            await self.flush()


def _decode(value: bytes) -> Entries:
    read = decoding.decode(_ENTRIES.decode, value)
    if isinstance(read, result.Ok):
        return read.ok_value
    logging.error("%s a stored log is damaged: %s.", _PREFIX, read.err_value)
    return ()
