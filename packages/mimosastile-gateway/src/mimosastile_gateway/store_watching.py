"""Keeps beliefs fresh from the platform's store."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
import itertools
from typing import Any
from typing import TypeVar

import result

from mimosastile_core import errors
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import eligibility
from mimosastile_core.gateway import freshness
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events
from mimosastile_gateway import ports
from mimosastile_gateway import settings

_T = TypeVar("_T")
_AT_ONCE = 0.5
"""Seconds within which a watch answers that has not waited for a change: more
than a slow store takes for an answer."""
_SLACK_SECONDS = 1.0
"""Seconds beyond its wait after which a watch is taken for silent, twice as
many after a failure: a large configuration takes part of a second over a small
link, and to break it off again and again would bring nothing."""
_RETRY_WAIT = 0.5
"""Longest wait in seconds of a watch that follows a failed one: it shows soon
whether the store is back."""


class StoreWatcher:
    """Lists two prefixes, then follows their changes.

    A watch may fall silent without an end, may be cut, and its history may be
    dropped. After a failure it goes on from where it stopped; after a lost
    history everything is listed anew. A watch's wait is short, so that a
    silent one is found. It begins when it is told that the leader cannot be
    relied on.
    """

    __slots__ = (
        "_anew",
        "_cluster",
        "_clock",
        "_closely",
        "_events",
        "_needed",
        "_patience",
        "_records",
        "_resting",
        "_settings",
        "_store",
        "_tasks",
    )

    def __init__(
        self,
        configured: settings.StoreSettings,
        store: ports.StorePort,
        records: ports.RecordPort,
        known: cluster_state.ClusterState,
        timer: clock.Clock,
        log: events.Events,
    ) -> None:
        self._settings = configured
        self._store = store
        self._records = records
        self._cluster = known
        self._clock = timer
        self._events = log
        self._patience = 0.0
        self._closely = False
        self._anew = asyncio.Event()
        self._needed = asyncio.Event()
        self._resting = asyncio.Event()
        self._resting.set()
        self._tasks: list[asyncio.Task[None]] = []

    def set_leader_reliable(
        self, relies: bool, *, patience: float = 0.0, closely: bool = False
    ) -> None:
        """Rests while a leader tells what the store holds, or goes on.

        Each waiting watch is a call that is paid for, and their number would
        grow with the VMs. A VM that cannot rely on its leader any more goes on
        where it stopped.

        Args:
            relies: Whether the leader's news are fresh.
            patience: Seconds, by half more or less, to wait before anything
                large is read. A configuration is hundreds of kilobytes, and
                when a leader is lost all VMs turn to the store at the same
                moment; most hear the next leader sooner than they would have
                read it.
            closely: Whether others rely on this VM, so that its watches must
                not be silent for long.
        """
        resumes = not relies and not self._needed.is_set()
        if resumes or (closely and not self._closely):
            # A watch that has waited since long ago may have fallen silent.
            self._anew.set()
        self._closely = closely
        self._patience = patience
        if relies:
            self._needed.clear()
            self._resting.set()
        else:
            self._resting.clear()
            self._needed.set()

    def start(self) -> None:
        """Begins to follow."""
        self._tasks = [
            asyncio.create_task(
                self._follow(
                    self._records.operator_prefix,
                    lambda: self._cluster.configuration_seen,
                    self._cluster.operated,
                    self._configuration_listed,
                    self._configuration_changed,
                ),
                name="watch-configuration",
            ),
            asyncio.create_task(
                self._follow(
                    self._records.targets_prefix,
                    lambda: self._cluster.seen,
                    self._cluster.registrations,
                    self._targets_listed,
                    self._targets_changed,
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
        seen: Callable[[], int],
        view: freshness.Freshness,
        listed: Callable[[ports.Listing], None],
        changed: Callable[[ports.Changes, float | None], None],
    ) -> None:
        """Follows one prefix.

        Args:
            prefix: Beginning of the keys.
            seen: Returns the revision up to which this VM knows them, 0 if it
                does not. A leader may have told it: then nothing is read that
                is known already.
            view: Until when this VM's view of them was complete.
            listed: Takes a whole list.
            changed: Takes changes, and the earliest time of them; None for
                now.
        """
        lost = False
        while True:
            await self._turn(prefix, whole=lost or not seen())
            if lost or not seen():
                found = await self._list(prefix)
                if found is None:
                    continue
                listing, asked = found
                listed(listing)
                view.note(asked)
            await self._follow_from(prefix, seen, view, changed)
            lost = True

    async def _list(self, prefix: str) -> tuple[ports.Listing, float] | None:
        """Reads everything, unless a leader can be relied on meanwhile.

        Thousands of registrations that a hundred VMs read over one narrow
        link keep it full for longer than the leader needs to tell them.

        Returns:
            The list, and when it was asked for; None if it was given up.
        """
        for failures in itertools.count(1):
            asked = self._clock.now()
            found = await self._unless(self._resting, self._store.list(prefix))
            if found is None:
                return None
            if isinstance(found, result.Ok):
                self._cluster.record_store_status(ok=True)
                return found.ok_value, asked
            self._cluster.record_store_status(
                ok=False, why=found.err_value.detail
            )
            await self._unless(
                self._resting, asyncio.sleep(self._pause(failures))
            )
        raise AssertionError("counting ends")

    async def _unless(
        self, ended: asyncio.Event, work: Coroutine[Any, Any, _T]
    ) -> _T | None:
        """Returns what some work brings; None if something ends it before."""
        working = asyncio.ensure_future(work)
        ending = asyncio.ensure_future(ended.wait())
        try:
            await asyncio.wait(
                (working, ending), return_when=asyncio.FIRST_COMPLETED
            )
            return working.result() if working.done() else None
        finally:
            working.cancel()
            ending.cancel()

    async def _follow_from(
        self,
        prefix: str,
        seen: Callable[[], int],
        view: freshness.Freshness,
        changed: Callable[[ports.Changes, float | None], None],
    ) -> None:
        """Follows changes until the store has dropped their history."""
        failures = 0
        while True:
            await self._turn(prefix)
            revision = seen()
            wait = self._wait(failures)
            asked = self._clock.now()
            brought = await self._watch(prefix, revision, wait, failures)
            if brought is None:
                continue
            if isinstance(brought, result.Ok):
                failures = 0
                self._cluster.record_store_status(ok=True)
                at_once = self._clock.now() - asked < _AT_ONCE
                # What came after a wait happened at its end.
                since = view.at if at_once else None
                changed(brought.ok_value, since)
                moved = brought.ok_value.items or brought.ok_value.removed
                waited = self._clock.now() - asked >= wait
                # The store has answered a watch that brings nothing at the
                # end of its wait, which began when it arrived there.
                view.note(asked + (wait if waited and not moved else 0.0))
                if moved:
                    await asyncio.sleep(self._settings.watch_pause)
                continue
            lost = brought.err_value
            dropped = isinstance(lost, ports.HistoryLost)
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
            if dropped:
                return
            failures += 1
            if failures > 1:
                # One that waits may be cut; the next one should not be.
                self._cluster.record_store_status(ok=False, why=why)
            await asyncio.sleep(self._pause(failures))

    def _wait(self, failures: int) -> float:
        """Returns the wait of the next watch, in seconds."""
        if failures:
            return _RETRY_WAIT
        configured = self._settings
        if self._closely:
            return configured.watch_wait_leading
        return configured.watch_wait

    async def _watch(
        self, prefix: str, revision: int, wait: float, failures: int
    ) -> (
        result.Result[ports.Changes, errors.Failure | ports.HistoryLost] | None
    ):
        """Waits for changes; a watch that is silent has failed.

        Returns:
            What the watch brought; None if it is to begin again.
        """
        self._anew.clear()
        slack = _SLACK_SECONDS * (2.0 if failures else 1.0)
        try:
            async with asyncio.timeout(wait + slack):
                return await self._unless(
                    self._anew, self._store.watch(prefix, revision, wait)
                )
        except TimeoutError:
            return errors.failed(errors.ErrorKind.STORE_UNKNOWN, "silent")

    async def _turn(self, prefix: str, *, whole: bool = False) -> None:
        """Waits until this VM has to look for itself.

        Args:
            prefix: Beginning of the keys.
            whole: Whether it would read all of them, not only changes.
        """
        while True:
            await self._needed.wait()
            large = whole or prefix == self._records.operator_prefix
            if not self._patience or not large:
                return
            await asyncio.sleep(self._patience * (0.5 + self._clock.random()))
            if self._needed.is_set():
                return

    def _pause(self, failures: int) -> float:
        """Returns the wait after some failures in a row, in seconds."""
        longest = self._settings.retry_least * 2.0 ** min(failures - 1, 8)
        pause = min(longest, self._settings.retry_most)
        return pause * (0.5 + self._clock.random())

    def _configurations(self, items: Iterable[ports.Item]) -> None:
        for item in items:
            if item.key != self._records.configuration_key:
                continue
            read = self._records.configuration(item.value)
            if isinstance(read, result.Ok):
                self._cluster.apply_configuration(read.ok_value, "store")
            else:
                self._refuse("configuration", item, read.err_value)

    def _configuration_listed(self, listing: ports.Listing) -> None:
        self._configurations(listing.items)
        zones = self._evacuated(item.key for item in listing.items)
        self._take_evacuated(zones, listing.revision)
        self._seen_configuration(listing.revision)

    def _configuration_changed(
        self, changes: ports.Changes, since: float | None
    ) -> None:
        self._configurations(changes.items)
        begun = self._evacuated(item.key for item in changes.items)
        ended = self._evacuated(key for key, _ in changes.removed)
        if begun or ended:
            zones = set(self._cluster.evacuations.zones)
            self._take_evacuated((zones | begun) - ended, changes.revision)
        self._seen_configuration(changes.revision)

    def _evacuated(self, keys: Iterable[str]) -> set[str]:
        """Returns the zones that some keys evacuate."""
        zones = (self._records.evacuated_zone(key) for key in keys)
        return {zone for zone in zones if zone is not None}

    def _take_evacuated(self, zones: Iterable[str], revision: int) -> None:
        self._cluster.apply_evacuations(
            eligibility.Evacuations(tuple(sorted(zones)), revision)
        )

    def _seen_configuration(self, revision: int) -> None:
        known = self._cluster
        known.confirm_configuration(
            known.version, revision, known.evacuations.zones
        )

    def _targets_listed(self, listing: ports.Listing) -> None:
        self._cluster.replace_targets(
            self._read(listing.items), listing.revision
        )

    def _targets_changed(
        self, changes: ports.Changes, since: float | None
    ) -> None:
        self._targets_written(changes.items, since)
        gone_since = self._cluster.vanished_since(since)
        self._targets_removed(changes.removed, gone_since)
        self._cluster.seen = max(self._cluster.seen, changes.revision)

    def _targets_written(
        self, items: Iterable[ports.Item], since: float | None
    ) -> None:
        items = list(items)
        readable = self._read(items)
        names = {target.id for target in readable}
        prefix = self._records.targets_prefix
        found = ((i.key.removeprefix(prefix), i.revision) for i in items)
        # A registration that was overwritten by something unreadable names no
        # target to use.
        unreadable = [
            (name, revision) for name, revision in found if name not in names
        ]
        self._take(readable, unreadable, since)

    def _targets_removed(
        self, keys: Iterable[tuple[str, int]], since: float | None
    ) -> None:
        prefix = self._records.targets_prefix
        gone = [(key.removeprefix(prefix), revision) for key, revision in keys]
        self._take([], gone, since)

    def _take(
        self,
        targets: list[directory.Target],
        vanished: list[tuple[str, int]],
        since: float | None,
    ) -> None:
        names = [target.id for target in targets]
        names += [name for name, _ in vanished]
        times = {} if since is None else dict.fromkeys(names, since)
        self._cluster.apply_registrations(targets, vanished, times)

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
