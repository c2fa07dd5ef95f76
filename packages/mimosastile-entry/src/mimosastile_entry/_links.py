"""The links service: what this VM sends to other regions, within a budget."""

import asyncio
import collections
from collections.abc import AsyncIterator
from typing import Any

import msgspec

from mimosastile_core import config
from mimosastile_core import limits
from mimosastile_core import links
from mimosastile_core import messages
from mimosastile_entry import _fleet
from mimosastile_entry import _inbox
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

_REPORT_SECONDS = 0.5
_CALL_SECONDS = 0.5


class Load(msgspec.Struct, frozen=True):
    """What crosses the link and on whose account.

    Attributes:
        region: Where it goes.
        member: Who pays.
        service: Which service it belongs to.
        priority: Its class.
    """

    region: str
    member: str
    service: str
    priority: config.Priority


class LinksService:
    """Paces and counts the bytes that this VM sends to other regions."""

    __slots__ = (
        "_clock",
        "_fleet",
        "_ledgers",
        "_meter",
        "_pacers",
        "_peers",
        "_region",
        "_state",
        "_task",
        "_turns",
        "_vm",
        "name",
        "needs",
    )

    def __init__(self, vm: str, region: str) -> None:
        """Makes the service.

        Args:
            vm: Identifier of this VM.
            region: Where it stands.
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
        # One sender of a class asks at a time, in the order of arrival.
        self._turns: dict[tuple[str, config.Priority], asyncio.Lock] = (
            collections.defaultdict(asyncio.Lock)
        )
        self._task: asyncio.Task[None] | None = None
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._peers: ports.PeerPort
        self._clock: ports.ClockPort

    async def start(self, kernel: kernel.Kernel) -> None:
        """Begins to report needs and to deal shares."""
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._peers = kernel.find("peers")
        self._clock = kernel.find("clock")
        inbox: _inbox.InboxService = kernel.find("inbox")
        inbox.handle(messages.LinkNeeds, self._deal)
        self._task = asyncio.create_task(self._run(), name="links-report")

    async def stop(self) -> None:
        """Ends the reports."""
        if self._task is not None:
            self._task.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns the bytes sent by region, member and service."""
        return {"sent_bytes": self._meter.total()}

    def crosses(self, region: str) -> bool:
        """Whether what goes to a region crosses a link."""
        return bool(region) and region != self._region

    async def send(self, load: Load, size: int) -> None:
        """Waits until some bytes may go, and accounts them.

        Args:
            load: What they belong to.
            size: How many.
        """
        self._meter.count(load.region, load.member, load.service, size)
        pacer = self._pacer(load.region)
        if not self._wait(pacer, load, size):
            return
        async with self._turns[load.region, load.priority]:
            while True:
                seconds = self._wait(pacer, load, size)
                if not seconds:
                    return
                # A VM that has just begun holds next to nothing; slept out at
                # that rate, a wait would last minutes although the share is
                # raised at once, seen as requests that are never answered.
                await asyncio.sleep(min(seconds, _REPORT_SECONDS))

    async def paced(
        self, load: Load, chunks: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Yields the chunks of a body as the link allows.

        Args:
            load: What they belong to.
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
        """Returns the entry VMs that share this region's directions."""
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
            await self._ask(message, now)

    async def _ask(self, message: messages.LinkNeeds, now: float) -> None:
        dealer = self._dealer(message.region)
        if dealer == self._vm:
            self._take(self._deal(message), now)
            return
        # A book taken up again after another VM has dealt would be stale.
        self._ledgers.pop(message.region, None)
        peer = self._fleet.fleet.entries.get(dealer)
        if peer is not None:
            reply = await self._peers.call(peer, message, _CALL_SECONDS)
            share = reply.ok()
            if isinstance(share, messages.LinkShare):
                self._take(share, now)

    def _take(self, share: messages.LinkShare, sent_at: float) -> None:
        if share.rate > 0:
            self._pacer(share.region).grant(share.rate, sent_at)

    def _dealer(self, region: str) -> str:
        direction = f"{self._region}/{region}"
        return limits.allocator(direction, self._senders())

    def _deal(self, message: messages.LinkNeeds) -> messages.LinkShare:
        if self._dealer(message.region) != self._vm:
            return messages.LinkShare(self._vm, message.region, 0.0)
        now = self._clock.now()
        ledger = self._ledgers.get(message.region)
        if ledger is None:
            ledger = self._ledgers[message.region] = limits.Ledger(now)
        rate = ledger.report(
            message.vm, message.need, self._budget, self._senders(), now
        )
        return messages.LinkShare(self._vm, message.region, rate)
