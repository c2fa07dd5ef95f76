"""Disseminates store changes and the VM list among entry VMs.

A few VMs per zone read from the platform and push the changes to their peers.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import functools
from typing import Any

from absl import logging
import msgspec
import result

from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import gossip
from mimosastile_core import messages
from mimosastile_entry import _background
from mimosastile_entry import _fleet
from mimosastile_entry import _inbox
from mimosastile_entry import _membership
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

_PREFIX = "propagation:"


class Timing(msgspec.Struct, frozen=True):
    """Intervals and timeouts of propagation, in seconds.

    Attributes:
        watch: Longest duration of one watch.
        check: Interval at which a watcher polls the store's revision.
        retry: Delay before a retry after the store did not respond.
        list: Interval at which the zone's reader reads the VM list.
        stale: Age of the VM list above which every VM reads it itself.
        call: Timeout of a call to a peer.
        second: Delay before the second watcher pushes a change to its zone.
    """

    watch: float = 20.0
    check: float = 5.0
    retry: float = 0.5
    list: float = 0.5
    stale: float = 5.0
    call: float = 0.5
    second: float = 0.3


_WATCHERS = 2
_LIST_READERS = 1
_IDLE_INTERVAL_SECONDS = 0.5


class PropagationService:
    """Watches the store if this VM is a chosen watcher, and updates peers.

    Updates are merged into the replica, which never goes back to an older
    version.
    """

    __slots__ = (
        "_bytes",
        "_clock",
        "_counts",
        "_fleet",
        "_membership",
        "_peers",
        "_pushed",
        "_restart",
        "_state",
        "_store",
        "_tasks",
        "_sends",
        "_timing",
        "_vm",
        "_zone",
        "name",
        "needs",
    )

    def __init__(self, vm: str, zone: str) -> None:
        """Makes the service.

        Args:
            vm: Identifier of this VM.
            zone: Its availability zone.
        """
        self.name = "propagation"
        self.needs: tuple[str, ...] = (
            "state",
            "fleet",
            "membership",
            "store",
            "peers",
            "inbox",
            "clock",
        )
        self._vm = vm
        self._zone = zone
        self._timing = Timing()
        self._tasks = _background.Background()
        self._sends = _background.Background()
        self._restart = asyncio.Event()
        self._counts: dict[str, int] = {}
        self._pushed: dict[str, int] = {}
        self._bytes = 0
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._membership: _membership.MembershipService
        self._store: ports.StorePort
        self._peers: ports.PeerPort
        self._clock: ports.ClockPort

    async def start(self, kernel: kernel.Kernel) -> None:
        """Starts the watch, the revision check and the reads of the VM list."""
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._membership = kernel.find("membership")
        self._store = kernel.find("store")
        self._peers = kernel.find("peers")
        self._clock = kernel.find("clock")
        inbox: _inbox.InboxService = kernel.find("inbox")
        inbox.handle(messages.Push, self._receive_push)
        inbox.handle(messages.Listing, self._receive_listing)
        loops: dict[str, Callable[[], Awaitable[None]]] = {
            "watch": self._watch,
            "check": self._check,
            "list": self._list,
        }
        for name, step in loops.items():
            self._tasks.keep(
                functools.partial(_background.forever, step),
                f"propagate-{name}",
            )

    async def stop(self) -> None:
        """Cancels all tasks."""
        self._tasks.cancel()
        self._sends.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns counts of platform calls, messages and bytes sent."""
        return {
            "watches": self._watches(),
            "reads_list": self._reads_list(),
            "bytes_sent": self._bytes,
            "counts": dict(sorted(self._counts.items())),
        }

    def _increment(self, counter: str) -> None:
        self._counts[counter] = self._counts.get(counter, 0) + 1

    # Reading the platform.

    def _live_zone_vms(self) -> dict[str, fleet.Vm]:
        return self._membership.alive(self._zone)

    def _rank(self, purpose: str, count: int) -> int | None:
        zone_vms = self._live_zone_vms()
        if not zone_vms:
            # All VMs of the zone are leaving, this one too: no other reads.
            return 0
        chosen = gossip.readers(zone_vms, purpose, count)
        return chosen.index(self._vm) if self._vm in chosen else None

    def _watches(self) -> bool:
        return self._rank("watch", _WATCHERS) is not None

    def _reads_list(self) -> bool:
        return self._rank("list", _LIST_READERS) is not None

    def _jitter(self, seconds: float) -> float:
        return seconds * (0.75 + self._clock.random() / 2)

    async def _watch(self) -> None:
        if not self._watches():
            await asyncio.sleep(_IDLE_INTERVAL_SECONDS)
            return
        if not self._state.synced:
            self._increment("store_list")
            if not await self._state.refresh_all():
                await asyncio.sleep(self._jitter(self._timing.retry))
                return
        batch = await self._watch_once()
        if isinstance(batch, result.Ok):
            self._apply_batch(batch.ok_value)
        elif batch is not None:
            logging.warning(
                "%s watch failed: %s.", _PREFIX, batch.err_value.detail
            )
            await asyncio.sleep(self._jitter(self._timing.retry))

    async def _watch_once(
        self,
    ) -> result.Result[ports.WatchBatch, errors.Failure] | None:
        """Waits for a change; None if `_check` found the watch stalled."""
        self._restart.clear()
        self._increment("store_watch")
        watch = asyncio.ensure_future(
            self._store.watch("", self._state.revision, self._timing.watch)
        )
        restart = asyncio.ensure_future(self._restart.wait())
        try:
            await asyncio.wait(
                (watch, restart), return_when=asyncio.FIRST_COMPLETED
            )
            return watch.result() if watch.done() else None
        finally:
            for task in (watch, restart):
                task.cancel()

    async def _check(self) -> None:
        """Detects a watch that has stalled without an error.

        Its connection may be lost without either side being notified; this VM
        would then keep waiting and miss every change. A watch with a zero wait
        returns the changes that the pending one should have delivered.
        """
        await asyncio.sleep(self._jitter(self._timing.check))
        if not (self._watches() and self._state.synced):
            return
        self._increment("store_check")
        before = self._state.revision
        batch = await self._store.watch("", before, 0.0)
        if isinstance(batch, result.Err) or not batch.ok_value.entries:
            return
        if self._state.revision == before:
            logging.warning("%s watch stalled; restarting it.", _PREFIX)
            self._restart.set()
        self._apply_batch(batch.ok_value)

    def _apply_batch(self, batch: ports.WatchBatch) -> None:
        if not batch.entries:
            self._state.apply_batch(batch)
            return
        replica = self._state.replica
        pull, former = replica.pull(self._vm), dict(replica.blocks)
        self._state.apply_batch(batch)
        delta = replica.with_changes(replica.delta(self._vm, pull), former)
        if _versions(delta):
            self._sends.start(self._push_to_zone(delta))

    async def _list(self) -> None:
        await asyncio.sleep(self._jitter(self._timing.list))
        stale = self._fleet.listings.age(self._clock.now()) > self._timing.stale
        if not (stale or self._reads_list()):
            return
        self._increment("list_read")
        if await self._fleet.read():
            self.push_listing()

    # Pushing to the own zone.

    async def _push_to_zone(self, delta: messages.Delta) -> None:
        """Pushes a delta to the zone; the second watcher waits first.

        It pushes only if the push of the first watcher has not arrived.
        """
        if self._rank("watch", _WATCHERS) == 1:
            await asyncio.sleep(self._timing.second)
            if all(
                self._pushed.get(name, 0) >= number
                for name, number in _versions(delta).items()
            ):
                return
        self.push(delta)

    def push(self, delta: messages.Delta) -> None:
        """Pushes a delta to the peers of the own zone."""
        self._push(messages.Push(self._vm, delta))

    def _push(self, push: messages.Push) -> None:
        for vm in self._receivers(push.root):
            self._sends.start(self.call(vm, push))

    def push_listing(self) -> None:
        """Pushes this VM's copy of the VM list to the peers of the own zone."""
        listing = self._fleet.listings.listing(self._vm, self._clock.now())
        for vm in self._receivers(self._vm):
            self._sends.start(self.call(vm, listing))

    def _receivers(self, root: str) -> list[str]:
        zone_vms = [
            vm.id
            for vm in self._fleet.fleet.entries.values()
            if vm.zone == self._zone and not self._membership.suspects(vm.id)
        ]
        return gossip.children(root, self._vm, [*zone_vms, self._vm])

    def _receive_push(self, push: messages.Push) -> messages.Ack:
        self._increment("push_taken")
        self._pushed.update(_versions(push.delta))
        self._state.merge_delta(push.delta)
        self._push(push)
        return messages.Ack(self._vm)

    def _receive_listing(self, listing: messages.Listing) -> messages.Ack:
        if self._fleet.apply(listing):
            for vm in self._receivers(listing.root):
                self._sends.start(self.call(vm, listing))
        return messages.Ack(self._vm)

    async def call(
        self, vm: str, message: messages.PeerMessage
    ) -> messages.PeerMessage | None:
        """Sends a message and counts it; None if no response came."""
        listed = self._fleet.fleet.entries.get(vm)
        if listed is None:
            return None
        self._increment(f"sent_{type(message).__name__.lower()}")
        self._bytes += len(messages.encode(message))
        reply = await self._peers.call(listed, message, self._timing.call)
        return reply.ok()


def _versions(delta: messages.Delta) -> dict[str, int]:
    """Returns the version of each block and configuration in a delta.

    The versions of a name only ever increase.
    """
    blocks = {_state.block_key(b.id): b.version for b in delta.blocks}
    changed = {_state.block_key(c.id): c.version for c in delta.changes}
    versions = blocks | changed
    if delta.configuration is not None:
        versions[_state.CONFIG_KEY] = delta.configuration.number
    return versions
