"""HTTP load generator that records statuses, latencies and targets."""

import asyncio
import collections
import random

import aiohttp
import msgspec


class Statistics(msgspec.Struct):
    """Results that the callers recorded.

    Attributes:
        sent: Requests sent.
        answers: Responses by status; 0 for a failed connection.
        seconds: Time to the complete response of each request, in seconds.
        first_answer: Loop time of the first successful response, 0 before it.
        served_by: Successful responses by target.
    """

    sent: int = 0
    answers: collections.Counter[int] = msgspec.field(
        default_factory=collections.Counter
    )
    seconds: list[float] = msgspec.field(default_factory=list)
    first_answer: float = 0.0
    served_by: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )

    def percentile(self, share: float) -> float:
        """Returns the percentile `share` (0 to 1) of response seconds."""
        ordered = sorted(self.seconds)
        if not ordered:
            return 0.0
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


async def call_for(
    seconds: float,
    addresses: list[str],
    paths: list[str],
    token: str,
    workers: int,
    seed: int,
) -> Statistics:
    """Sends requests from concurrent workers for a given time.

    Args:
        seconds: Duration in seconds.
        addresses: Base URLs of the entry VMs, chosen at random.
        paths: Request paths, chosen at random.
        token: Bearer token of the member.
        workers: Number of concurrent requests.
        seed: Seed of the random choices.

    Returns:
        The recorded results.
    """
    statistics = Statistics()
    generator = random.Random(seed)
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    headers = {"authorization": f"Bearer {token}"}

    async def work(session: aiohttp.ClientSession) -> None:
        while loop.time() < end:
            url = generator.choice(addresses) + generator.choice(paths)
            method = generator.choice(("GET", "GET", "POST"))
            await _call(session, method, url, statistics)

    async with aiohttp.ClientSession(headers=headers) as session:
        await asyncio.gather(*(work(session) for _ in range(workers)))
    return statistics


async def _call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    statistics: Statistics,
) -> None:
    loop = asyncio.get_running_loop()
    began = loop.time()
    statistics.sent += 1
    try:
        async with session.request(method, url) as response:
            body = await response.read()
            statistics.answers[response.status] += 1
            if response.ok:
                statistics.first_answer = statistics.first_answer or loop.time()
                statistics.served_by[msgspec.json.decode(body)["target"]] += 1
    except aiohttp.ClientError:
        statistics.answers[0] += 1
    statistics.seconds.append(loop.time() - began)
