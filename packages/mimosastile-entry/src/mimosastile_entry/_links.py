"""Links service: rate-limits and counts traffic to other regions."""

import asyncio
import collections
from collections.abc import AsyncIterator
from typing import Any

import msgspec

from mimosastile_core import config
from mimosastile_core import limits
from mimosastile_core import links
from mimosastile_core import messages
from mimosastile_entry import _background
from mimosastile_entry import _fleet
from mimosastile_entry import _inbox
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

_REPORT_SECONDS = 0.5
_CALL_SECONDS = 0.5


class Load(msgspec.Struct, frozen=True):
    """Destination and attribution of bytes that cross a link.

    Attributes:
        region: Destination region.
        member: Member whose account is charged.
        service: Service that the bytes belong to.
        priority: Priority class.
    """

    region: str
    member: str
    service: str
    priority: config.Priority


class LinksService:
    """Paces and counts the bytes that this VM sends to other regions.

    For each pair of regions one entry VM, the allocator, divides the bandwidth
    into shares.
    """

    __slots__ = (
        "_clock",
        "_fleet",
        "_ledgers",
        "_meter",
        "_pacers",
        "_peers",
        "_region",
        "_send_locks",
        "_state",
        "_tasks",
        "_vm",
        "name",
        "needs",
    )

    def __init__(self, vm: str, region: str) -> None:
        """Initializes the service.

        Args:
            vm: Identifier of this VM.
            region: Region of this VM.
        """
        self.name = "links"
        self.needs: tuple[str, ...] = (
            "state",
            "fleet",
            "peers",
            "inbox",
            "clock",
        )
        self._vm = vm
        self._region = region
        self._meter = links.Meter()
        self._pacers: dict[str, links.Pacer] = {}
        self._ledgers: dict[str, limits.Ledger] = {}
        # Serializes the senders of a priority class in order of arrival.
        self._send_locks: dict[tuple[str, config.Priority], asyncio.Lock] = (
            collections.defaultdict(asyncio.Lock)
        )
        self._tasks = _background.Background()
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._peers: ports.PeerPort
        self._clock: ports.ClockPort

    async def start(self, kernel: kernel.Kernel) -> None:
        """Starts to report needs and to allocate shares."""
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._peers = kernel.find("peers")
        self._clock = kernel.find("clock")
        inbox: _inbox.InboxService = kernel.find("inbox")
        inbox.handle(messages.LinkNeeds, self._allocate)
        self._tasks.keep(self._run, "links-report")

    async def stop(self) -> None:
        """Stops the reports."""
        self._tasks.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns the bytes sent by region, member and service."""
        return {"sent_bytes": self._meter.total()}

    def crosses(self, region: str) -> bool:
        """Returns whether traffic to a region crosses a link."""
        return bool(region) and region != self._region

    async def send(self, load: Load, size: int) -> None:
        """Counts bytes and waits until they may be sent.

        Args:
            load: Destination and attribution of the bytes.
            size: Number of bytes.
        """
        self._meter.count(load.region, load.member, load.service, size)
        pacer = self._pacer(load.region)
        if not self._wait(pacer, load, size):
            return
        async with self._send_locks[load.region, load.priority]:
            while True:
                seconds = self._wait(pacer, load, size)
                if not seconds:
                    return
                # A VM that has just started has almost no share. A full wait at
                # that rate would last minutes although the share is raised
                # at once, and requests would appear to hang.
                await asyncio.sleep(min(seconds, _REPORT_SECONDS))

    async def paced(
        self, load: Load, chunks: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Yields the chunks of a body at the rate that the link allows.

        Args:
            load: Destination and attribution of the bytes.
            chunks: The body.
        """
        async for chunk in chunks:
            for at in range(0, len(chunk), links.CHUNK_BYTES):
                piece = chunk[at : at + links.CHUNK_BYTES]
                await self.send(load, len(piece))
                yield piece

    def _wait(self, pacer: links.Pacer, load: Load, size: int) -> float:
        return pacer.wait(
            size,
            load.priority,
            self._budget,
            len(self._senders()),
            self._clock.now(),
        )

    @property
    def _budget(self) -> float:
        return links.budget(self._state.replica.config.document.link)

    def _senders(self) -> set[str]:
        """Returns the entry VMs that share this region's outgoing links."""
        listed = self._fleet.fleet.entries.values()
        return {vm.id for vm in listed if vm.region == self._region} | {
            self._vm
        }

    def _pacer(self, region: str) -> links.Pacer:
        pacer = self._pacers.get(region)
        if pacer is None:
            pacer = self._pacers[region] = links.Pacer(self._clock.now())
        return pacer

    async def _run(self) -> None:
        while True:
            await self._report()
            await asyncio.sleep(_REPORT_SECONDS)

    async def _report(self) -> None:
        now = self._clock.now()
        regions = {vm.region for vm in self._fleet.fleet.entries.values()}
        for region in regions - {self._region}:
            need = self._pacer(region).need(now)
            message = messages.LinkNeeds(self._vm, region, need)
            await self._request_share(message, now)

    async def _request_share(
        self, message: messages.LinkNeeds, now: float
    ) -> None:
        allocator = self._allocator(message.region)
        if allocator == self._vm:
            self._apply_share(self._allocate(message), now)
            return
        # A ledger reused after another VM was the allocator would be stale.
        self._ledgers.pop(message.region, None)
        peer = self._fleet.fleet.entries.get(allocator)
        if peer is not None:
            reply = await self._peers.call(peer, message, _CALL_SECONDS)
            share = reply.ok()
            if isinstance(share, messages.LinkShare):
                self._apply_share(share, now)

    def _apply_share(self, share: messages.LinkShare, sent_at: float) -> None:
        if share.rate > 0:
            self._pacer(share.region).grant(share.rate, sent_at)

    def _allocator(self, region: str) -> str:
        direction = f"{self._region}/{region}"
        return limits.allocator(direction, self._senders())

    def _allocate(self, message: messages.LinkNeeds) -> messages.LinkShare:
        if self._allocator(message.region) != self._vm:
            return messages.LinkShare(self._vm, message.region, 0.0)
        now = self._clock.now()
        ledger = self._ledgers.get(message.region)
        if ledger is None:
            ledger = self._ledgers[message.region] = limits.Ledger(now)
        rate = ledger.report(
            message.vm, message.need, self._budget, self._senders(), now
        )
        return messages.LinkShare(self._vm, message.region, rate)
