"""The audit service: who called the administration API, kept in the store.

Accepted patches are kept for good by the history. Here stand refusals and
other calls that matter, the newest of each zone.
"""

import asyncio
import collections
from typing import Any

from absl import logging
import msgspec
import result

from mimosastile_core import administration
from mimosastile_core import errors
from mimosastile_entry import kernel
from mimosastile_entry import ports

PREFIX = "audit/"
KEPT = 500
"""Entries that a zone keeps; well under a megabyte."""

_PREFIX = "audit:"
_FLUSH_SECONDS = 10.0
"""Shortest time between two writes of a VM: guessing tokens must not become
a load on the store."""
_DETAIL_LENGTH = 300

_ENTRIES = msgspec.json.Decoder(tuple[administration.AuditEntry, ...])
Entries = tuple[administration.AuditEntry, ...]


class AuditService:
    """Collects entries and adds them to the zone's list in the store."""

    __slots__ = (
        "_clock",
        "_dropped",
        "_pending",
        "_store",
        "_task",
        "_vm",
        "_zone",
        "name",
        "needs",
    )

    def __init__(self, vm: str, zone: str) -> None:
        """Makes the service.

        Args:
            vm: Identifier of this VM.
            zone: Its availability zone; its VMs share one list, so that the
                store does not keep one for each VM there ever was.
        """
        self.name = "audit"
        self.needs: tuple[str, ...] = ("store", "clock")
        self._vm = vm
        self._zone = zone
        self._pending: collections.deque[administration.AuditEntry] = (
            collections.deque(maxlen=KEPT)
        )
        self._dropped = 0
        self._store: ports.StorePort
        self._clock: ports.ClockPort
        self._task: asyncio.Task[None] | None = None

    async def start(self, kernel: kernel.Kernel) -> None:
        """Begins to write at an interval."""
        self._store = kernel.find("store")
        self._clock = kernel.find("clock")
        self._task = asyncio.create_task(self._flush_always(), name="audit")

    async def stop(self) -> None:
        """Writes what is left."""
        if self._task is not None:
            self._task.cancel()
        await self.flush()

    def dump(self) -> dict[str, Any]:
        """Returns how many entries wait to be written."""
        return {"pending": len(self._pending), "dropped": self._dropped}

    def note(
        self, operator: str, action: str, outcome: str, detail: str = ""
    ) -> None:
        """Keeps an entry, to be written soon."""
        if len(self._pending) == KEPT:
            self._dropped += 1
        entry = administration.AuditEntry(
            self._clock.wall(),
            self._vm,
            operator,
            action[:_DETAIL_LENGTH],
            outcome,
            detail[:_DETAIL_LENGTH],
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
        """Adds what waits to the zone's list; keeps it if that fails."""
        if not self._pending:
            return
        key = PREFIX + self._zone
        read = await self._store.get(key)
        if isinstance(read, result.Err):
            return
        held = read.ok_value
        new = tuple(self._pending)
        before = _decode(held.value) if held else ()
        # After a lost answer the entries stand there already.
        known = set(before)
        added = (entry for entry in new if entry not in known)
        value = msgspec.json.encode((*before, *added)[-KEPT:])
        wrote = await self._store.compare_and_swap(
            key, value, held.revision if held else 0
        )
        if wrote.is_ok():
            written = set(new)
            left = [e for e in self._pending if e not in written]
            self._pending.clear()
            self._pending.extend(left)

    async def _flush_always(self) -> None:
        while True:
            await asyncio.sleep(_FLUSH_SECONDS)
            await self.flush()


def _decode(value: bytes) -> Entries:
    try:
        return _ENTRIES.decode(value)
    except msgspec.DecodeError:
        return ()
