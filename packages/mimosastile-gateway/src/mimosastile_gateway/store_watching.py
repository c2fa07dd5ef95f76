"""Watches of the platform's store that keep the cluster state current."""

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
from mimosastile_gateway import background_tasks
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events
from mimosastile_gateway import ports
from mimosastile_gateway import settings

_T = TypeVar("_T")
_IMMEDIATE_SECONDS = 0.5
"""Time in seconds within which a watch returns if changes existed when it
started: more than a slow store takes to respond."""
_TIMEOUT_SLACK_SECONDS = 1.0
"""Time beyond its wait after which a watch has failed, doubled after a failure.
A large configuration takes part of a second over a narrow link; repeated
time-outs during its transfer would never let it arrive."""
_RETRY_WAIT_SECONDS = 0.5
"""Wait in seconds of a watch after a failed one; a short one detects early that
the store is available again."""

_LEAST_WAIT_SECONDS = 0.001
"""Shortest wait in seconds; a shorter one may end before the clock advances.
"""


class StoreWatcher:
    """Lists two prefixes of the store, then watches their changes.

    A watch may hang, its connection may be cut, and the store may drop its
    history. After a failure a new watch continues at the last revision; after a
    dropped history, the prefix is listed again. Watches wait only briefly, so
    that one that hangs is detected. Watching starts once `set_leader_reliable`
    reports that the leader cannot be relied on.
    """

    __slots__ = (
        "_clock",
        "_closely",
        "_cluster",
        "_events",
        "_large_reads_at",
        "_needed",
        "_paused",
        "_records",
        "_restart",
        "_settings",
        "_store",
        "_tasks",
    )

    def __init__(
        self,
        configured: settings.StoreSettings,
        store: ports.StorePort,
        records: ports.RecordPort,
        state: cluster_state.ClusterState,
        timer: clock.Clock,
        log: events.EventLog,
    ) -> None:
        self._settings = configured
        self._store = store
        self._records = records
        self._cluster = state
        self._clock = timer
        self._events = log
        self._large_reads_at = float("-inf")
        self._closely = False
        self._restart = asyncio.Event()
        self._needed = asyncio.Event()
        self._paused = asyncio.Event()
        self._paused.set()
        self._tasks = background_tasks.BackgroundTasks(log)

    def set_leader_reliable(
        self, relies: bool, *, read_delay: float = 0.0, closely: bool = False
    ) -> None:
        """Pauses watching while the leader sends updates, or resumes it.

        Each waiting watch is a call that costs money, and their number would
        grow with the number of VMs. A VM that cannot rely on its leader any
        more resumes at the last revision that it has.

        Args:
            relies: Whether the leader's updates are current.
            read_delay: Mean delay in seconds of the first large read; jitter
                changes it by up to a half. A configuration is hundreds of
                kilobytes, and after the loss of a leader all VMs turn to the
                store at the same moment. Most get the next leader's update
                sooner than they could read the configuration.
            closely: Whether other VMs rely on this one, so that watches that
                hang must be detected sooner.
        """
        resumes = not relies and not self._needed.is_set()
        if resumes or not read_delay:
            jitter = 0.5 + self._clock.random()
            self._large_reads_at = self._clock.now() + read_delay * jitter
        if resumes or (closely and not self._closely):
            # A watch that has waited for long may hang.
            self._restart.set()
        self._closely = closely
        if relies:
            self._needed.clear()
            self._paused.set()
        else:
            self._paused.clear()
            self._needed.set()

    def start(self) -> None:
        """Starts the tasks that follow the two prefixes."""
        self._tasks.keep(
            "watch-configuration",
            lambda: self._follow(
                self._records.operator_prefix,
                lambda: self._cluster.configuration_seen,
                self._cluster.configuration_freshness,
                self._configuration_listed,
                self._configuration_changed,
            ),
        )
        self._tasks.keep(
            "watch-targets",
            lambda: self._follow(
                self._records.targets_prefix,
                lambda: self._cluster.seen,
                self._cluster.registrations_freshness,
                self._targets_listed,
                self._targets_changed,
            ),
        )

    def stop(self) -> None:
        """Cancels the tasks."""
        self._tasks.cancel()

    async def _follow(
        self,
        prefix: str,
        seen: Callable[[], int],
        view: freshness.Freshness,
        listed: Callable[[ports.Listing], None],
        changed: Callable[[ports.Changes, float | None], None],
    ) -> None:
        """Follows one prefix for ever.

        Args:
            prefix: Prefix of the keys.
            seen: Returns the revision up to which this VM's view is complete,
                0 if there is none. A leader's update may have advanced it; then
                only later changes are read.
            view: Records when this VM's view was complete.
            listed: Applies a whole list.
            changed: Applies changes, given the earliest time at which they may
                have happened, None for now.
        """
        lost = False
        while True:
            await self._until_needed(prefix, whole=lost or not seen())
            if lost or not seen():
                found = await self._list(prefix)
                if found is None:
                    continue
                listing, requested_at = found
                listed(listing)
                view.record(requested_at)
            await self._follow_from(prefix, seen, view, changed)
            lost = True

    async def _list(self, prefix: str) -> tuple[ports.Listing, float] | None:
        """Lists a prefix; gives up once the leader can be relied on again.

        Thousands of registrations that a hundred VMs read over one narrow link
        fill it for longer than the leader needs to send its updates.

        Returns:
            The list and the time of its request; None if it was given up.
        """
        for failures in itertools.count(1):
            requested_at = self._clock.now()
            found = await self._unless(self._paused, self._store.list(prefix))
            if found is None:
                return None
            if isinstance(found, result.Ok):
                self._cluster.record_store_status(ok=True)
                return found.ok_value, requested_at
            self._cluster.record_store_status(
                ok=False, why=found.err_value.detail
            )
            await self._unless(
                self._paused, asyncio.sleep(self._backoff(failures))
            )
        raise AssertionError("itertools.count ended")

    async def _unless(
        self, cancelled: asyncio.Event, work: Coroutine[Any, Any, _T]
    ) -> _T | None:
        """Returns a coroutine's result, None if an event is set before."""
        working = asyncio.ensure_future(work)
        cancelling = asyncio.ensure_future(cancelled.wait())
        try:
            await asyncio.wait(
                (working, cancelling), return_when=asyncio.FIRST_COMPLETED
            )
            return working.result() if working.done() else None
        finally:
            working.cancel()
            cancelling.cancel()

    async def _follow_from(
        self,
        prefix: str,
        seen: Callable[[], int],
        view: freshness.Freshness,
        changed: Callable[[ports.Changes, float | None], None],
    ) -> None:
        """Watches changes until the store has dropped their history.

        The arguments are those of `_follow`.
        """
        failures = 0
        while True:
            await self._until_needed(prefix)
            revision = seen()
            wait = self._wait(failures)
            started_at = self._clock.now()
            watched = await self._watch(prefix, revision, wait, failures)
            if watched is None:
                continue
            if isinstance(watched, result.Ok):
                failures = 0
                self._cluster.record_store_status(ok=True)
                immediate = self._clock.now() - started_at < _IMMEDIATE_SECONDS
                # Changes that ended a wait happened just now.
                since = view.at if immediate else None
                changed(watched.ok_value, since)
                moved = watched.ok_value.items or watched.ok_value.removed
                waited = self._clock.now() - started_at >= wait
                # Without changes, the store responds at the end of the wait,
                # which began when the request arrived there.
                view.record(
                    started_at + (wait if waited and not moved else 0.0)
                )
                if moved:
                    await asyncio.sleep(self._settings.watch_pause)
                continue
            failure = watched.err_value
            dropped = isinstance(failure, ports.HistoryLost)
            why = (
                "history lost"
                if isinstance(failure, ports.HistoryLost)
                else failure.detail
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
                # A single failure may be a cut connection during the wait; a
                # second one means that the store is unavailable.
                self._cluster.record_store_status(ok=False, why=why)
            await asyncio.sleep(self._backoff(failures))

    def _wait(self, failures: int) -> float:
        """Returns the wait of the next watch, in seconds."""
        if failures:
            return _RETRY_WAIT_SECONDS
        configured = self._settings
        if self._closely:
            return configured.watch_wait_leading
        return configured.watch_wait

    async def _watch(
        self, prefix: str, revision: int, wait: float, failures: int
    ) -> (
        result.Result[ports.Changes, errors.Failure | ports.HistoryLost] | None
    ):
        """Waits for changes; a watch without a response in time has failed.

        Returns:
            The changes or the failure; None if the watch has to be restarted.
        """
        self._restart.clear()
        slack = _TIMEOUT_SLACK_SECONDS * (2.0 if failures else 1.0)
        try:
            async with asyncio.timeout(wait + slack):
                return await self._unless(
                    self._restart, self._store.watch(prefix, revision, wait)
                )
        except TimeoutError:
            return errors.failed(errors.ErrorKind.STORE_UNKNOWN, "silent")

    async def _until_needed(self, prefix: str, *, whole: bool = False) -> None:
        """Waits until this VM has to read the store itself.

        Args:
            prefix: Prefix of the keys.
            whole: Whether the next read is a whole list, not only changes.
        """
        while True:
            await self._needed.wait()
            large = whole or prefix == self._records.operator_prefix
            wait = self._large_reads_at - self._clock.now()
            if not large or wait <= 0:
                return
            await asyncio.sleep(max(wait, _LEAST_WAIT_SECONDS))

    def _backoff(self, failures: int) -> float:
        """Returns the exponential backoff with jitter, in seconds.

        Args:
            failures: Number of consecutive failures.
        """
        backoff = self._settings.retry_least * 2.0 ** min(failures - 1, 8)
        bounded = min(backoff, self._settings.retry_most)
        return bounded * (0.5 + self._clock.random())

    def _apply_configuration(self, items: Iterable[ports.Item]) -> None:
        """Applies the configuration if it is among some items."""
        for item in items:
            if item.key != self._records.configuration_key:
                continue
            read = self._records.configuration(item.value)
            if isinstance(read, result.Ok):
                self._cluster.apply_configuration(read.ok_value, "store")
            else:
                self._log_malformed(item, read.err_value)

    def _configuration_listed(self, listing: ports.Listing) -> None:
        """Applies the whole list of the operators' keys."""
        self._apply_configuration(listing.items)
        zones = self._evacuated(item.key for item in listing.items)
        self._apply_evacuated(zones, listing.revision)
        self._confirm_configuration(listing.revision)

    def _configuration_changed(
        self, changes: ports.Changes, since: float | None
    ) -> None:
        self._apply_configuration(changes.items)
        begun = self._evacuated(item.key for item in changes.items)
        ended = self._evacuated(key for key, _ in changes.removed)
        if begun or ended:
            zones = set(self._cluster.evacuations.zones)
            self._apply_evacuated((zones | begun) - ended, changes.revision)
        self._confirm_configuration(changes.revision)

    def _evacuated(self, keys: Iterable[str]) -> set[str]:
        """Returns the zones for which there is an evacuation key."""
        zones = (self._records.evacuated_zone(key) for key in keys)
        return {zone for zone in zones if zone is not None}

    def _apply_evacuated(self, zones: Iterable[str], revision: int) -> None:
        self._cluster.apply_evacuations(
            eligibility.Evacuations(tuple(sorted(zones)), revision)
        )

    def _confirm_configuration(self, revision: int) -> None:
        """Records that the configuration is current up to a revision."""
        state = self._cluster
        state.confirm_configuration(
            state.version, revision, state.evacuations.zones
        )

    def _targets_listed(self, listing: ports.Listing) -> None:
        """Applies the whole list of registrations."""
        prefix = self._records.targets_prefix
        targets = self._decode(listing.items)
        listed = {item.key.removeprefix(prefix) for item in listing.items}
        self._cluster.replace_targets(
            targets,
            listing.revision,
            listed - {target.id for target in targets},
        )

    def _targets_changed(
        self, changes: ports.Changes, since: float | None
    ) -> None:
        self._targets_written(changes.items, since)
        gone_since = self._cluster.removed_since(since)
        self._targets_removed(changes.removed, gone_since)
        self._cluster.seen = max(self._cluster.seen, changes.revision)

    def _targets_written(
        self, items: Iterable[ports.Item], since: float | None
    ) -> None:
        self._apply(self._decode(items), [], since)

    def _targets_removed(
        self, keys: Iterable[tuple[str, int]], since: float | None
    ) -> None:
        prefix = self._records.targets_prefix
        gone = [(key.removeprefix(prefix), revision) for key, revision in keys]
        self._apply([], gone, since)

    def _apply(
        self,
        targets: list[directory.Target],
        vanished: list[tuple[str, int]],
        since: float | None,
    ) -> None:
        names = [target.id for target in targets]
        names += [name for name, _ in vanished]
        times = {} if since is None else dict.fromkeys(names, since)
        self._cluster.apply_registrations(targets, vanished, times)

    def _decode(self, items: Iterable[ports.Item]) -> list[directory.Target]:
        """Returns the targets that items name; records those that name none."""
        found = []
        for item in items:
            read = self._records.target(item, self._clock.now())
            if isinstance(read, result.Ok):
                found.append(read.ok_value)
                continue
            self._cluster.rejected.record(
                item.key.removeprefix(self._records.targets_prefix),
                item.revision,
                read.err_value,
            )
        return found

    def _log_malformed(self, item: ports.Item, why: str) -> None:
        self._events.write(
            "store",
            "configuration_unreadable",
            key=item.key,
            revision=item.revision,
            why=why,
        )
