"""Callers that send requests over HTTP and note what they noticed."""

import asyncio
import collections
import random

import aiohttp
import msgspec


class Notes(msgspec.Struct):
    """What the callers noticed.

    Attributes:
        sent: Requests sent.
        answers: Answers by status; 0 for a broken connection.
        seconds: Time to the whole answer of each request.
        first_answer: Loop time of the first good answer, 0 before it.
        served_by: Good answers by target.
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
        """Returns a percentile of the answer times in seconds."""
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
) -> Notes:
    """Sends requests for some time, each worker one after another.

    Args:
        seconds: How long.
        addresses: Base addresses of the entry VMs, used in turn.
        paths: Paths to ask for.
        token: Bearer token of the member.
        workers: How many requests are under way at a time.
        seed: Seed of the order.

    Returns:
        What the callers noticed.
    """
    notes = Notes()
    chance = random.Random(seed)
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    headers = {"authorization": f"Bearer {token}"}

    async def work(session: aiohttp.ClientSession) -> None:
        while loop.time() < end:
            url = chance.choice(addresses) + chance.choice(paths)
            method = chance.choice(("GET", "GET", "POST"))
            await _call(session, method, url, notes)

    async with aiohttp.ClientSession(headers=headers) as session:
        await asyncio.gather(*(work(session) for _ in range(workers)))
    return notes


async def _call(
    session: aiohttp.ClientSession, method: str, url: str, notes: Notes
) -> None:
    loop = asyncio.get_running_loop()
    began = loop.time()
    notes.sent += 1
    try:
        async with session.request(method, url) as response:
            body = await response.read()
            notes.answers[response.status] += 1
            if response.ok:
                notes.first_answer = notes.first_answer or loop.time()
                notes.served_by[msgspec.json.decode(body)["target"]] += 1
    except aiohttp.ClientError:
        notes.answers[0] += 1
    notes.seconds.append(loop.time() - began)
