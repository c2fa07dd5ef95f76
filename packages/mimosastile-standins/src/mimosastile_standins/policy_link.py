"""The link case of the policy measure: downloads while the desk is busy."""

import asyncio
import random

import msgspec

from mimosastile_core import config
from mimosastile_core import limits
from mimosastile_core import links
from mimosastile_standins import virtual

_LINK = config.Link()
_DELAY_SECONDS = 0.012
_SENDERS = 5
"""Entry VMs of the region that answers."""
_DOWNLOADS = 10
_WINDOW = 256 << 10
"""Bytes of one download that may be under way unpaced."""
_DESK_RATE = 40.0
_DESK_BYTES = 8 << 10
_DESK_SECONDS = 0.02
_SECONDS = 20.0
_BEGIN = 4.0
"""Seconds until shares have followed the need; left out."""
_REPORT_SECONDS = 0.5


class Outcome(msgspec.Struct):
    """What one run yields.

    Attributes:
        desk: Seconds that each of the desk's requests took.
        bulk_bytes: Bytes of downloads that arrived.
    """

    desk: list[float] = msgspec.field(default_factory=list)
    bulk_bytes: int = 0


class Pipe:
    """One direction of the link: bytes leave it in the order they came."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._free_at = 0.0

    async def carry(self, size: int) -> None:
        """Returns when all bytes have arrived on the other side."""
        start = max(virtual.now(), self._free_at)
        self._free_at = start + size / self._rate
        await asyncio.sleep(self._free_at + _DELAY_SECONDS - virtual.now())


class _Link:
    """The direction under measure with its senders."""

    def __init__(self, paced: bool) -> None:
        self._paced = paced
        self._from = virtual.now() + _BEGIN
        self._pipe = Pipe(_LINK.bytes_per_second)
        self._names = [f"sender-{n}" for n in range(_SENDERS)]
        self._pacers = [links.Pacer(virtual.now()) for _ in self._names]
        self._ledger = limits.Ledger(virtual.now() - 10.0)
        self._chance = random.Random(1)
        self.outcome = Outcome()

    async def deal(self) -> None:
        """Deals the budget out among the senders by need."""
        total = links.budget(_LINK)
        while True:
            now = virtual.now()
            for name, pacer in zip(self._names, self._pacers, strict=True):
                share = self._ledger.report(
                    name, pacer.need(now), total, self._names, now
                )
                pacer.grant(share, now)
            await asyncio.sleep(_REPORT_SECONDS)

    async def download(self, sender: int) -> None:
        """Sends an archive without end."""
        window = asyncio.Semaphore(_WINDOW // links.CHUNK_BYTES)
        while True:
            await window.acquire()
            await self._wait(sender, links.CHUNK_BYTES, config.Priority.BULK)
            asyncio.ensure_future(self._chunk(window))

    async def desk(self) -> None:
        """Asks for pages at random moments."""
        end = virtual.now() + _SECONDS
        calls = []
        while virtual.now() < end:
            await asyncio.sleep(self._chance.expovariate(_DESK_RATE))
            calls.append(asyncio.ensure_future(self._page()))
        await asyncio.gather(*calls)

    async def _chunk(self, window: asyncio.Semaphore) -> None:
        await self._pipe.carry(links.CHUNK_BYTES)
        window.release()
        if virtual.now() >= self._from:
            self.outcome.bulk_bytes += links.CHUNK_BYTES

    async def _page(self) -> None:
        began = virtual.now()
        await asyncio.sleep(_DELAY_SECONDS + _DESK_SECONDS)
        sender = self._chance.randrange(_SENDERS)
        await self._wait(sender, _DESK_BYTES, config.Priority.INTERACTIVE)
        await self._pipe.carry(_DESK_BYTES)
        if began >= self._from:
            self.outcome.desk.append(virtual.now() - began)

    async def _wait(
        self, sender: int, size: int, priority: config.Priority
    ) -> None:
        if not self._paced:
            return
        total = links.budget(_LINK)
        pacer = self._pacers[sender]
        while seconds := pacer.wait(
            size, priority, total, _SENDERS, virtual.now()
        ):
            await asyncio.sleep(seconds)


async def play(paced: bool, downloads: bool) -> Outcome:
    """Plays the desk's traffic, with or without ten downloads beside it.

    Args:
        paced: Whether the product's pacing applies.
        downloads: Whether there are downloads.
    """
    link = _Link(paced)
    tasks = [asyncio.create_task(link.deal())]
    if downloads:
        tasks += [
            asyncio.create_task(link.download(n % _SENDERS))
            for n in range(_DOWNLOADS)
        ]
    await link.desk()
    for task in tasks:
        task.cancel()
    return link.outcome


def bulk_share(outcome: Outcome) -> float:
    """Returns how much of the link the downloads had."""
    seconds = _SECONDS - _BEGIN
    return outcome.bulk_bytes / seconds / _LINK.bytes_per_second
