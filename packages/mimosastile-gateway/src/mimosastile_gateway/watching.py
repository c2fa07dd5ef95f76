"""Keeps beliefs fresh from the platform's store."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

import result

from mimosastile_core.gateway import directory
from mimosastile_gateway import beliefs
from mimosastile_gateway import clock
from mimosastile_gateway import events
from mimosastile_gateway import ports
from mimosastile_gateway import settings

Apply = Callable[[Iterable[ports.Item]], None]


class Watching:
    """Lists two prefixes, then follows their changes.

    A watch may fall silent without an end, may be cut, and its history may be
    dropped. A lost history, and any failure, is followed by a new list; a
    watch's wait is short, so that a silent one is found. It begins when it is
    told that the leader cannot be relied on.
    """

    __slots__ = (
        "_beliefs",
        "_clock",
        "_events",
        "_needed",
        "_records",
        "_settings",
        "_store",
        "_tasks",
    )

    def __init__(
        self,
        configured: settings.StoreSettings,
        store: ports.StorePort,
        records: ports.RecordPort,
        known: beliefs.Beliefs,
        timer: clock.Clock,
        log: events.Events,
    ) -> None:
        self._settings = configured
        self._store = store
        self._records = records
        self._beliefs = known
        self._clock = timer
        self._events = log
        self._needed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    def rely_on_leader(self, relies: bool) -> None:
        """Rests while a leader tells what the store holds, or goes on.

        Each waiting watch is a call that is paid for, and their number would
        grow with the VMs. A VM that cannot rely on its leader any more goes on
        where it stopped.

        Args:
            relies: Whether the leader's news are fresh.
        """
        if relies:
            self._needed.clear()
        else:
            self._needed.set()

    def start(self) -> None:
        """Begins to follow."""
        self._tasks = [
            asyncio.create_task(
                self._follow(
                    self._records.configuration_key,
                    self._configuration_listed,
                    self._configurations,
                    lambda _: None,
                ),
                name="watch-configuration",
            ),
            asyncio.create_task(
                self._follow(
                    self._records.targets_prefix,
                    self._targets_listed,
                    self._targets_changed,
                    self._targets_removed,
                ),
                name="watch-targets",
            ),
        ]

    def stop(self) -> None:
        """Stops following."""
        for task in self._tasks:
            task.cancel()

    async def _follow(
        self,
        prefix: str,
        listed: Callable[[ports.Listing], None],
        changed: Apply,
        removed: Callable[[Iterable[tuple[str, int]]], None],
    ) -> None:
        while True:
            await self._needed.wait()
            listing = await self._list(prefix)
            listed(listing)
            await self._follow_from(prefix, listing.revision, changed, removed)

    async def _list(self, prefix: str) -> ports.Listing:
        pause = self._settings.retry_least
        while True:
            found = await self._store.list(prefix)
            if isinstance(found, result.Ok):
                self._beliefs.note_store(ok=True)
                return found.ok_value
            self._beliefs.note_store(ok=False, why=found.err_value.detail)
            await asyncio.sleep(pause * (0.5 + self._clock.random()))
            pause = min(pause * 2, self._settings.retry_most)

    async def _follow_from(
        self,
        prefix: str,
        revision: int,
        changed: Apply,
        removed: Callable[[Iterable[tuple[str, int]]], None],
    ) -> None:
        """Follows changes until they cannot be followed any more."""
        while True:
            await self._needed.wait()
            brought = await self._store.watch(
                prefix, revision, self._settings.watch_wait
            )
            if isinstance(brought, result.Err):
                lost = brought.err_value
                why = (
                    "history lost"
                    if isinstance(lost, ports.HistoryLost)
                    else lost.detail
                )
                self._events.write(
                    "store",
                    "watch_ended",
                    prefix=prefix,
                    revision=revision,
                    why=why,
                )
                return
            changes = brought.ok_value
            self._beliefs.note_store(ok=True)
            revision = changes.revision
            changed(changes.items)
            removed(changes.removed)
            if prefix == self._records.targets_prefix:
                self._beliefs.seen = max(self._beliefs.seen, revision)
            if changes.items or changes.removed:
                await asyncio.sleep(self._settings.watch_pause)

    def _configurations(self, items: Iterable[ports.Item]) -> None:
        for item in items:
            if item.key != self._records.configuration_key:
                continue
            read = self._records.configuration(item.value)
            if isinstance(read, result.Ok):
                self._beliefs.take_configuration(read.ok_value)
            else:
                self._refuse("configuration", item, read.err_value)

    def _configuration_listed(self, listing: ports.Listing) -> None:
        self._configurations(listing.items)

    def _targets_listed(self, listing: ports.Listing) -> None:
        self._beliefs.take_targets(self._read(listing.items), listing.revision)

    def _targets_changed(self, items: Iterable[ports.Item]) -> None:
        items = list(items)
        readable = self._read(items)
        for target in readable:
            self._beliefs.take_target(target)
        # A registration that was overwritten by something unreadable names no
        # target to use.
        names = {target.id for target in readable}
        prefix = self._records.targets_prefix
        for item in items:
            name = item.key.removeprefix(prefix)
            if name not in names:
                self._beliefs.lose_target(name, item.revision)

    def _targets_removed(self, keys: Iterable[tuple[str, int]]) -> None:
        prefix = self._records.targets_prefix
        for key, revision in keys:
            self._beliefs.lose_target(key.removeprefix(prefix), revision)

    def _read(self, items: Iterable[ports.Item]) -> list[directory.Target]:
        found = []
        for item in items:
            read = self._records.target(item, self._clock.now())
            if isinstance(read, result.Ok):
                found.append(read.ok_value)
            else:
                self._refuse("target", item, read.err_value)
        return found

    def _refuse(self, what: str, item: ports.Item, why: str) -> None:
        self._events.write(
            "store",
            f"{what}_unreadable",
            key=item.key,
            revision=item.revision,
            why=why,
        )
