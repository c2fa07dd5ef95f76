"""Simulation of bulk downloads beside interactive traffic on the link."""

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
"""Entry VMs of the region that sends the responses."""
_DOWNLOADS = 10
_WINDOW_BYTES = 256 << 10
"""Bytes of one download that may be in flight without pacing."""
_INTERACTIVE_PER_SECOND = 40.0
_INTERACTIVE_BYTES = 8 << 10
_INTERACTIVE_SECONDS = 0.02
_SECONDS = 20.0
_WARM_UP_SECONDS = 4.0
"""Excluded from the results because shares still adapt to demand."""
_REPORT_INTERVAL_SECONDS = 0.5


class Outcome(msgspec.Struct):
    """Results of one simulation.

    Attributes:
        desk: Latency of each interactive request in seconds.
        bulk_bytes: Bytes of downloads received.
    """

    desk: list[float] = msgspec.field(default_factory=list)
    bulk_bytes: int = 0


class Pipe:
    """One direction of the link; delivers bytes in order."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._free_at = 0.0

    async def carry(self, size: int) -> None:
        """Returns when `size` bytes have arrived at the other end."""
        start = max(virtual.now(), self._free_at)
        self._free_at = start + size / self._rate
        await asyncio.sleep(self._free_at + _DELAY_SECONDS - virtual.now())


class _Link:
    """The measured direction of the link with its senders."""

    def __init__(self, paced: bool) -> None:
        self._paced = paced
        self._measured_from = virtual.now() + _WARM_UP_SECONDS
        self._pipe = Pipe(_LINK.bytes_per_second)
        self._names = [f"sender-{n}" for n in range(_SENDERS)]
        self._pacers = [links.Pacer(virtual.now()) for _ in self._names]
        self._ledger = limits.Ledger(virtual.now() - 10.0)
        self._random = random.Random(1)
        self.outcome = Outcome()

    async def share_budget(self) -> None:
        """Divides the link's budget among the senders by demand."""
        total = links.budget(_LINK)
        while True:
            now = virtual.now()
            for name, pacer in zip(self._names, self._pacers, strict=True):
                share = self._ledger.report(
                    name, pacer.need(now), total, self._names, now
                )
                pacer.grant(share, now)
            await asyncio.sleep(_REPORT_INTERVAL_SECONDS)

    async def download(self, sender: int) -> None:
        """Sends an endless download."""
        window = asyncio.Semaphore(_WINDOW_BYTES // links.CHUNK_BYTES)
        while True:
            await window.acquire()
            await self._wait(sender, links.CHUNK_BYTES, config.Priority.BULK)
            asyncio.ensure_future(self._carry_chunk(window))

    async def send_interactive(self) -> None:
        """Sends interactive requests with Poisson arrivals."""
        end = virtual.now() + _SECONDS
        calls = []
        while virtual.now() < end:
            await asyncio.sleep(
                self._random.expovariate(_INTERACTIVE_PER_SECOND)
            )
            calls.append(asyncio.ensure_future(self._request_page()))
        await asyncio.gather(*calls)

    async def _carry_chunk(self, window: asyncio.Semaphore) -> None:
        await self._pipe.carry(links.CHUNK_BYTES)
        window.release()
        if virtual.now() >= self._measured_from:
            self.outcome.bulk_bytes += links.CHUNK_BYTES

    async def _request_page(self) -> None:
        began = virtual.now()
        await asyncio.sleep(_DELAY_SECONDS + _INTERACTIVE_SECONDS)
        sender = self._random.randrange(_SENDERS)
        await self._wait(
            sender, _INTERACTIVE_BYTES, config.Priority.INTERACTIVE
        )
        await self._pipe.carry(_INTERACTIVE_BYTES)
        if began >= self._measured_from:
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


async def simulate(paced: bool, downloads: bool) -> Outcome:
    """Simulates interactive traffic, with or without ten downloads.

    Args:
        paced: Whether the core's pacing applies.
        downloads: Whether to run downloads.
    """
    link = _Link(paced)
    tasks = [asyncio.create_task(link.share_budget())]
    if downloads:
        tasks += [
            asyncio.create_task(link.download(n % _SENDERS))
            for n in range(_DOWNLOADS)
        ]
    await link.send_interactive()
    for task in tasks:
        task.cancel()
    return link.outcome


def bulk_share(outcome: Outcome) -> float:
    """Returns the fraction of the link's capacity that downloads used."""
    seconds = _SECONDS - _WARM_UP_SECONDS
    return outcome.bulk_bytes / seconds / _LINK.bytes_per_second
