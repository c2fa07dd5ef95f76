"""State service: keeps this VM's replica current and writes table blocks."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from absl import logging
import msgspec
import result

from mimosastile_core import config
from mimosastile_core import differences
from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import gossip
from mimosastile_core import messages
from mimosastile_core import moves
from mimosastile_core import replica
from mimosastile_core import tables
from mimosastile_core import writes
from mimosastile_entry import _background
from mimosastile_entry import _fleet
from mimosastile_entry import _inbox
from mimosastile_entry import kernel
from mimosastile_entry import ports

CONFIG_KEY = "config/current"
"""Store key of the numbered configuration in force."""

TABLE_PREFIX = "table/"
"""Prefix of the store keys of table blocks."""

CONFIG_PREFIX = "config/"
"""Prefix of the configuration keys that every daemon reads."""

_PREFIX = "state:"
_PEER_TIMEOUT_SECONDS = 0.5
_PULL_INTERVAL_SECONDS = 0.1
"""Shortest interval between two pulls from the same peer."""
_MAX_ATTEMPTS = 8
_CATCH_UP_ATTEMPTS = 5

Change = Callable[[tables.Block], result.Result[tables.Block, str]]


class _Stored(msgspec.Struct, frozen=True):
    """A block as read from the store, with its store revision."""

    block: tables.Block
    revision: int


def block_key(block: tables.BlockId) -> str:
    """Returns the store key of a block."""
    return f"{TABLE_PREFIX}{block.service}/{block.index}"


# Inside the class, the property `writes` shadows the module `writes`.
PendingWrites = writes.PendingWrites


class StateService:
    """Keeps the replica current and changes blocks by compare-and-swap."""

    __slots__ = (
        "_fleet",
        "_peers",
        "_pulled_at",
        "_replica",
        "_revision",
        "_store",
        "_synced",
        "_tasks",
        "_vm",
        "_writes",
        "name",
        "needs",
    )

    def __init__(self, vm: str) -> None:
        """Initializes the service.

        Args:
            vm: Identifier of this VM.
        """
        self.name = "state"
        self.needs: tuple[str, ...] = ("store", "peers", "fleet", "inbox")
        self._vm = vm
        self._replica = replica.Replica()
        self._writes = writes.PendingWrites()
        # Subscribed first, so that the other subscribers run after the outcome
        # of pending writes has been resolved.
        self._replica.subscribe(self._observe_blocks)
        self._store: ports.StorePort
        self._peers: ports.PeerPort
        self._fleet: _fleet.FleetService
        self._revision = 0
        self._synced = False
        self._tasks = _background.Background()
        self._pulled_at: dict[str, float] = {}

    @property
    def replica(self) -> replica.Replica:
        """The VM's copy of configuration and tables."""
        return self._replica

    @property
    def writes(self) -> PendingWrites:
        """This VM's writes whose outcome is unknown."""
        return self._writes

    @property
    def revision(self) -> int:
        """Store revision up to which changes have been applied."""
        return self._revision

    @property
    def synced(self) -> bool:
        """Whether the last full read of the store succeeded."""
        return self._synced

    async def start(self, kernel: kernel.Kernel) -> None:
        """Reads the store, then pulls newer state from peers."""
        self._store = kernel.find("store")
        self._peers = kernel.find("peers")
        self._fleet = kernel.find("fleet")
        inbox: _inbox.InboxService = kernel.find("inbox")
        inbox.handle(messages.Pull, self._handle_pull)
        inbox.handle(messages.Delta, self._handle_delta)
        await self._read_all()
        # Needed even after a successful read: the read may lag behind the
        # peers, and this VM would serve with an outdated configuration.
        await self.pull_from_peers()

    async def stop(self) -> None:
        """Cancels updates and pulls in progress."""
        self._tasks.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns the configuration number and the block versions."""
        return {
            "config_number": self._replica.config.number,
            "store_revision": self._revision,
            "synced": self._synced,
            "pending_writes": [block_key(at) for at in self._writes.blocks()],
            "blocks": {
                block_key(at): block.version
                for at, block in self._replica.blocks.items()
            },
        }

    async def pull_from_peers(self) -> None:
        """Pulls newer state from sampled peers of each zone, in parallel."""
        pull = self._replica.pull(self._vm)
        calls = (
            self._peers.call(vm, pull, _PEER_TIMEOUT_SECONDS)
            for vm in gossip.sample_each_zone(
                self._vm, self._fleet.peers().values()
            )
        )
        for reply in await asyncio.gather(*calls):
            delta = reply.ok()
            if isinstance(delta, messages.Delta):
                self._replica.merge(delta)

    async def create(self, block: tables.Block) -> None:
        """Writes a block unless it exists; another VM may create it first."""
        outcome = await self._store.compare_and_swap(
            block_key(block.id), tables.encode(block), 0
        )
        if outcome.is_ok():
            self._replica.offer_blocks((block,))

    async def change(
        self, block: tables.BlockId, change: Change
    ) -> result.Result[tables.Block, errors.Failure]:
        """Changes a block by compare-and-swap.

        The change is applied to the block as read from the store, never to a
        cached copy. Success is reported only after a write that succeeded or
        a read that shows the change.

        Args:
            block: The block.
            change: Returns the successor, or the reason not to change it.

        Returns:
            The block as stored, or why it was not changed. `STORE_UNKNOWN`
            means that the write may still take effect; `writes` tracks it.
        """
        proposed: tables.Block | None = None
        for _ in range(_MAX_ATTEMPTS):
            read = await self._read_block(block)
            if isinstance(read, result.Err):
                return self._failure_of(block, read.err_value)
            stored = read.ok_value
            if stored.block == proposed:
                return result.Ok(stored.block)
            successor = _successor(stored.block, change)
            if isinstance(successor, result.Err):
                return self._failure_of(block, successor.err_value)
            proposed = successor.ok_value
            if await self._write(stored, proposed):
                self._send_to_keepers(stored.block, proposed)
                return successor
            # The write lost a race or its response was lost; the next read
            # shows which.
        return errors.failed(errors.ErrorKind.STORE_UNKNOWN, "no try succeeded")

    async def resolve_pending_writes(self, block: tables.BlockId) -> bool:
        """Resolves a block's pending writes by writing a barrier version.

        While the block stays at its version, a write whose response was lost
        can still take effect. Any later version, from any VM, rules it out.

        Returns:
            Whether the block has no pending write left.
        """

        def change(stored: tables.Block) -> result.Result[tables.Block, str]:
            if self._writes.is_pending(block):
                return result.Ok(moves.barrier(stored))
            return result.Err("no doubt is left")

        await self.change(block, change)
        return not self._writes.is_pending(block)

    async def refresh(self, block: tables.BlockId) -> bool:
        """Rereads one block; returns whether the read succeeded."""
        return (await self._read_block(block)).is_ok()

    async def refresh_all(self) -> bool:
        """Rereads tables and configuration; returns whether that succeeded."""
        return await self._read_all()

    async def refresh_from(self, peers: Iterable[fleet.Vm]) -> bool:
        """Pulls newer state from peers; returns whether all responded."""
        pull = self._replica.pull(self._vm)
        calls = [
            self._peers.call(vm, pull, _PEER_TIMEOUT_SECONDS) for vm in peers
        ]
        deltas = [reply.ok() for reply in await asyncio.gather(*calls)]
        received = [d for d in deltas if isinstance(d, messages.Delta)]
        for delta in received:
            self._replica.merge(delta)
        return len(received) == len(calls)

    async def pull_from(self, peer: fleet.Vm) -> None:
        """Pulls newer state from a peer, rate-limited per peer.

        Called when a peer turns out to have newer state: a watch can stop
        silently, and this VM would use outdated tables until it times out.
        """
        now = asyncio.get_running_loop().time()
        if (
            now - self._pulled_at.get(peer.id, -_PULL_INTERVAL_SECONDS)
            >= _PULL_INTERVAL_SECONDS
        ):
            self._pulled_at[peer.id] = now
            await self.refresh_from((peer,))

    async def _read_block(
        self, block: tables.BlockId
    ) -> result.Result[_Stored, errors.Failure]:
        read = await self._store.get(block_key(block))
        if isinstance(read, result.Err):
            return read
        if read.ok_value is None:
            return errors.failed(errors.ErrorKind.NOT_FOUND, "no such block")
        decoded = tables.decode(read.ok_value.value)
        if isinstance(decoded, result.Err):
            return errors.failed(errors.ErrorKind.INTERNAL, decoded.err_value)
        self._replica.offer_blocks((decoded.ok_value,))
        return result.Ok(_Stored(decoded.ok_value, read.ok_value.revision))

    async def _write(self, stored: _Stored, proposed: tables.Block) -> bool:
        # Recorded before it is sent: a task that is cancelled while it waits
        # for the response leaves a write that may still take effect.
        self._writes.sent(stored.block, proposed)
        wrote = await self._store.compare_and_swap(
            block_key(proposed.id), tables.encode(proposed), stored.revision
        )
        if wrote.is_ok():
            self._replica.offer_blocks((proposed,))
        elif isinstance(wrote.err(), ports.Conflict):
            self._writes.failed(proposed)
        return wrote.is_ok()

    def _send_to_keepers(
        self, former: tables.Block, block: tables.Block
    ) -> None:
        """Sends a changed block to the keepers that it names.

        A keeper is the entry VM through which alone a target receives
        requests and grants. A watch can stop silently. A keeper that relied
        on its watch alone would issue grants only after the watch timed out,
        and the keys would be unavailable until then.
        """
        change = differences.diff(former, block)
        delta = messages.Delta(self._vm, changes=(change,))
        keeper_vms = {keeper.vm for keeper in block.keepers.values()}
        for vm in self._fleet.peers().values():
            if vm.id in keeper_vms:
                call = self._peers.call(vm, delta, _PEER_TIMEOUT_SECONDS)
                self._tasks.start(call)

    def _failure_of(
        self, block: tables.BlockId, failure: errors.Failure
    ) -> result.Err[errors.Failure]:
        if self._writes.is_pending(block):
            return errors.failed(errors.ErrorKind.STORE_UNKNOWN, failure.detail)
        return result.Err(failure)

    def _observe_blocks(self) -> None:
        for at in self._writes.blocks():
            self._writes.observe(self._replica.blocks[at])

    def _handle_pull(self, pull: messages.Pull) -> messages.Delta:
        return self._replica.delta(self._vm, pull)

    def _handle_delta(self, delta: messages.Delta) -> messages.Ack:
        self.merge_delta(delta)
        return messages.Ack(self._vm)

    def merge_delta(self, delta: messages.Delta) -> None:
        """Merges a peer's update and pulls any block it does not apply to.

        A change applies to exactly one version. A VM that missed the previous
        version would otherwise stay outdated until the next digest.
        """
        self._replica.merge(delta)
        sender = self._fleet.peers().get(delta.vm)
        if self._replica.misses_blocks(delta) and sender is not None:
            self._tasks.start(self._catch_up(sender, delta))

    async def _catch_up(self, peer: fleet.Vm, delta: messages.Delta) -> None:
        for _ in range(_CATCH_UP_ATTEMPTS):
            await self.pull_from(peer)
            if not self._replica.misses_blocks(delta):
                return
            await asyncio.sleep(_PULL_INTERVAL_SECONDS)

    async def _read_all(self) -> bool:
        # Reads only these prefixes: the store also holds years of history.
        # Tables come first, so that the watch resumes from the older read.
        for prefix in (TABLE_PREFIX, CONFIG_PREFIX):
            batch = await self._store.list(prefix)
            if isinstance(batch, result.Err):
                self._synced = False
                return False
            self.apply_batch(batch.ok_value, resume=prefix == TABLE_PREFIX)
        self._synced = True
        return True

    def apply_batch(self, batch: ports.WatchBatch, resume: bool = True) -> None:
        """Applies a batch of store entries; never moves to older versions.

        Args:
            batch: The entries, with the revision at which they were read.
            resume: Whether the next watch may resume from that revision.
        """
        if resume:
            self._revision = max(self._revision, batch.revision)
        blocks = []
        for entry in batch.entries:
            if entry.key == CONFIG_KEY:
                self._take_config(entry.value)
            elif entry.key.startswith(TABLE_PREFIX):
                decoded = tables.decode(entry.value)
                if isinstance(decoded, result.Ok):
                    blocks.append(decoded.ok_value)
                else:
                    logging.error(
                        "%s %s is damaged: %s.",
                        _PREFIX,
                        entry.key,
                        decoded.err_value,
                    )
        self._replica.offer_blocks(tuple(blocks))

    def _take_config(self, value: bytes) -> None:
        decoded = config.decode_version(value)
        if isinstance(decoded, result.Err):
            logging.error(
                "%s configuration is damaged: %s.", _PREFIX, decoded.err_value
            )
        elif self._replica.offer_config(decoded.ok_value):
            logging.info(
                "%s configuration %d is in force.",
                _PREFIX,
                decoded.ok_value.number,
            )


def _successor(
    stored: tables.Block, change: Change
) -> result.Result[tables.Block, errors.Failure]:
    changed = change(stored)
    if isinstance(changed, result.Err):
        return errors.failed(errors.ErrorKind.CONFLICT, changed.err_value)
    checked = tables.check_successor(stored, changed.ok_value)
    if isinstance(checked, result.Err):
        return errors.failed(errors.ErrorKind.INTERNAL, checked.err_value)
    return checked
