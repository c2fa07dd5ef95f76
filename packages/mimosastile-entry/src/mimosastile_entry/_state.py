"""The state service: this VM's replica and how it learns and changes it."""

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
"""Prefix of the store keys that all daemons read of the configuration."""

_PREFIX = "state:"
_PEER_SECONDS = 0.5
_ASK_SECONDS = 0.1
"""Shortest time between two questions to the same peer."""
_MAX_TRIES = 8
_CATCH_UP_TRIES = 5

Change = Callable[[tables.Block], result.Result[tables.Block, str]]


class _Stored(msgspec.Struct, frozen=True):
    """A block as it was read, with its revision in the store."""

    block: tables.Block
    revision: int


def block_key(block: tables.BlockId) -> str:
    """Returns the store key of a block."""
    return f"{TABLE_PREFIX}{block.service}/{block.index}"


# The property `writes` hides the module of that name inside the class.
PendingWrites = writes.PendingWrites


class StateService:
    """Keeps the replica up to date and makes changes by compare-and-swap."""

    __slots__ = (
        "_asked_at",
        "_fleet",
        "_peers",
        "_replica",
        "_revision",
        "_store",
        "_synced",
        "_tellings",
        "_vm",
        "_writes",
        "name",
        "needs",
    )

    def __init__(self, vm: str) -> None:
        """Makes the service.

        Args:
            vm: Identifier of this VM.
        """
        self.name = "state"
        self.needs: tuple[str, ...] = ("store", "peers", "fleet", "inbox")
        self._vm = vm
        self._replica = replica.Replica()
        self._writes = writes.PendingWrites()
        # Before all other listeners, so that these find the doubts settled.
        self._replica.subscribe(self._note_seen)
        self._store: ports.StorePort
        self._peers: ports.PeerPort
        self._fleet: _fleet.FleetService
        self._revision = 0
        self._synced = False
        self._tellings = _background.Background()
        self._asked_at: dict[str, float] = {}

    @property
    def replica(self) -> replica.Replica:
        """The VM's copy of configuration and tables."""
        return self._replica

    @property
    def writes(self) -> PendingWrites:
        """Writes of this VM whose outcome is not known."""
        return self._writes

    @property
    def revision(self) -> int:
        """Revision up to which the store's changes were taken."""
        return self._revision

    @property
    def synced(self) -> bool:
        """Whether the last reading of the whole store succeeded."""
        return self._synced

    async def start(self, kernel: kernel.Kernel) -> None:
        """Reads the store and asks peers for what it did not show."""
        self._store = kernel.find("store")
        self._peers = kernel.find("peers")
        self._fleet = kernel.find("fleet")
        inbox: _inbox.InboxService = kernel.find("inbox")
        inbox.handle(messages.Pull, self._answer_pull)
        inbox.handle(messages.Delta, self._take_delta)
        await self._read_all()
        # Even after a reading: it may lag behind what peers know already, and
        # this VM would serve with an older number than it could learn.
        await self.pull_from_peers()

    async def stop(self) -> None:
        """Ends what is being told."""
        self._tellings.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns numbers and versions."""
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
        """Asks some listed peers of each zone for anything newer, at once."""
        pull = self._replica.pull(self._vm)
        calls = (
            self._peers.call(vm, pull, _PEER_SECONDS)
            for vm in gossip.sample_each_zone(
                self._vm, self._fleet.peers().values()
            )
        )
        for reply in await asyncio.gather(*calls):
            delta = reply.ok()
            if isinstance(delta, messages.Delta):
                self._replica.merge(delta)

    async def create(self, block: tables.Block) -> None:
        """Writes a block that does not exist yet; losing a race is fine."""
        outcome = await self._store.compare_and_swap(
            block_key(block.id), tables.encode(block), 0
        )
        if outcome.is_ok():
            self._replica.offer_blocks((block,))

    async def change(
        self, block: tables.BlockId, change: Change
    ) -> result.Result[tables.Block, errors.Failure]:
        """Changes a block by compare-and-swap.

        The change is applied to what the store holds, never to a memory of
        it, and reported as made only after a write or a read that shows it.

        Args:
            block: The block.
            change: Returns the successor or why there is nothing to change.

        Returns:
            The block as stored, or why it was not changed. `STORE_UNKNOWN`
            says that it may still be changed later; `writes` knows of it.
        """
        proposed: tables.Block | None = None
        for _ in range(_MAX_TRIES):
            read = await self._read_block(block)
            if isinstance(read, result.Err):
                return self._doubted(block, read.err_value)
            stored = read.ok_value
            if stored.block == proposed:
                return result.Ok(stored.block)
            successor = _successor(stored.block, change)
            if isinstance(successor, result.Err):
                return self._doubted(block, successor.err_value)
            proposed = successor.ok_value
            if await self._write(stored, proposed):
                self._tell(stored.block, proposed)
                return successor
            # A lost race or a lost answer: the next read tells which.
        return errors.failed(errors.ErrorKind.STORE_UNKNOWN, "no try succeeded")

    async def settle(self, block: tables.BlockId) -> bool:
        """Ends the doubt about a block's writes with a write of its own.

        While the block stays at its version, a write whose answer was lost
        can still take effect. A further version, whoever writes it, ends that.

        Returns:
            Whether there is no doubt any more.
        """

        def change(stored: tables.Block) -> result.Result[tables.Block, str]:
            if self._writes.is_pending(block):
                return result.Ok(moves.barrier(stored))
            return result.Err("no doubt is left")

        await self.change(block, change)
        return not self._writes.is_pending(block)

    async def refresh(self, block: tables.BlockId) -> bool:
        """Reads one block anew; whether the store answered."""
        return (await self._read_block(block)).is_ok()

    async def refresh_all(self) -> bool:
        """Reads everything anew; whether the store answered."""
        return await self._read_all()

    async def refresh_from(self, peers: Iterable[fleet.Vm]) -> bool:
        """Asks peers for anything newer; whether every one answered."""
        pull = self._replica.pull(self._vm)
        calls = [self._peers.call(vm, pull, _PEER_SECONDS) for vm in peers]
        deltas = [reply.ok() for reply in await asyncio.gather(*calls)]
        heard = [d for d in deltas if isinstance(d, messages.Delta)]
        for delta in heard:
            self._replica.merge(delta)
        return len(heard) == len(calls)

    async def learn_from(self, peer: fleet.Vm) -> None:
        """Asks a peer for anything newer, unless it was asked just before.

        For whoever meets a peer that knows better: a watch can stop without
        a word, and this VM would go by its old tables until it runs out.
        """
        now = asyncio.get_running_loop().time()
        if now - self._asked_at.get(peer.id, -_ASK_SECONDS) >= _ASK_SECONDS:
            self._asked_at[peer.id] = now
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
        # Noted before it is sent: a task that is cancelled while it waits
        # for the answer leaves a write behind that may still take effect.
        self._writes.sent(stored.block, proposed)
        wrote = await self._store.compare_and_swap(
            block_key(proposed.id), tables.encode(proposed), stored.revision
        )
        if wrote.is_ok():
            self._replica.offer_blocks((proposed,))
        elif isinstance(wrote.err(), ports.Conflict):
            self._writes.failed(proposed)
        return wrote.is_ok()

    def _tell(self, former: tables.Block, block: tables.Block) -> None:
        """Sends a changed block to the keepers that it names.

        A watch can stop without a word. A keeper that learned only by its
        watch would grant what its target was given when the watch has run
        out, and the keys would have no server for that long.
        """
        change = differences.diff(former, block)
        delta = messages.Delta(self._vm, changes=(change,))
        named = {keeper.vm for keeper in block.keepers.values()}
        for vm in self._fleet.peers().values():
            if vm.id in named:
                call = self._peers.call(vm, delta, _PEER_SECONDS)
                self._tellings.start(call)

    def _doubted(
        self, block: tables.BlockId, failure: errors.Failure
    ) -> result.Err[errors.Failure]:
        if self._writes.is_pending(block):
            return errors.failed(errors.ErrorKind.STORE_UNKNOWN, failure.detail)
        return result.Err(failure)

    def _note_seen(self) -> None:
        for at in self._writes.blocks():
            self._writes.observe(self._replica.blocks[at])

    def _answer_pull(self, pull: messages.Pull) -> messages.Delta:
        return self._replica.delta(self._vm, pull)

    def _take_delta(self, delta: messages.Delta) -> messages.Ack:
        self.merge_told(delta)
        return messages.Ack(self._vm)

    def merge_told(self, delta: messages.Delta) -> None:
        """Takes what a peer tells, and asks it for what does not fit.

        A change fits one version only. Whoever missed the one before would
        otherwise stay behind until the next digest.
        """
        self._replica.merge(delta)
        sender = self._fleet.peers().get(delta.vm)
        if self._replica.misses_blocks(delta) and sender is not None:
            self._tellings.start(self._catch_up(sender, delta))

    async def _catch_up(self, peer: fleet.Vm, delta: messages.Delta) -> None:
        for _ in range(_CATCH_UP_TRIES):
            await self.learn_from(peer)
            if not self._replica.misses_blocks(delta):
                return
            await asyncio.sleep(_ASK_SECONDS)

    async def _read_all(self) -> bool:
        # Not everything: the history of years stands in the same store.
        # Tables first, so that the watch goes on from the older reading.
        for prefix in (TABLE_PREFIX, CONFIG_PREFIX):
            batch = await self._store.list(prefix)
            if isinstance(batch, result.Err):
                self._synced = False
                return False
            self.take(batch.ok_value, resume=prefix == TABLE_PREFIX)
        self._synced = True
        return True

    def take(self, batch: ports.WatchBatch, resume: bool = True) -> None:
        """Takes what the store brought, forward only.

        Args:
            batch: What it brought.
            resume: Whether the next watch may continue from there.
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
