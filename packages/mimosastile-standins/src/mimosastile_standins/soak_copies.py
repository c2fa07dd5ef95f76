"""Soak of the project's own daemon with copied and crossed responses.

Proxies between the daemons and the targets send copies of earlier responses, on
the same or another connection, where the next response is expected: responses
to requests, refusals, and replies to grants.
"""

import asyncio
import collections
from collections.abc import Iterable
import itertools
import random

import aiohttp
import msgspec

from mimosastile_standins import demo

_WORKERS = 8
_WRITES_SHARE = 0.5


class Trouble(msgspec.Struct, frozen=True):
    """How often responses are disturbed.

    Attributes:
        copied: Share of requests before whose response a copy arrives.
        crossed: Share of these copies that are of another connection's
            response.
        shed: Share of requests that targets refuse.
    """

    copied: float = 0.0
    crossed: float = 0.0
    shed: float = 0.0


def draw_trouble(seed: int) -> Trouble:
    """Returns how often responses are disturbed in the round of a seed."""
    generator = random.Random(f"trouble/{seed}")
    return Trouble(
        copied=generator.choice((0.03, 0.1, 0.3)),
        crossed=generator.choice((0.0, 0.2, 0.5)),
        shed=generator.choice((0.0, 0.1, 0.3)),
    )


class Answer(msgspec.Struct, frozen=True):
    """What the caller of one request got.

    Attributes:
        path: Path of the request, which no other request has.
        method: HTTP method.
        status: HTTP status, 0 for a failed connection.
        body: Decoded body.
    """

    path: str
    method: str
    status: int
    body: dict[str, object]


class Report(msgspec.Struct):
    """What a run has found.

    Attributes:
        statuses: Number of answers by status.
        copies: Number of copies sent.
        unmatched: Responses that the daemons have skipped.
        seconds: Duration of the requests.
        foreign: Paths whose callers got the body of another request.
        refused: Paths that were answered "not run" though they had run.
        repeated: Paths of writes that ran more than once.
    """

    statuses: collections.Counter[int]
    copies: int
    unmatched: int
    seconds: float
    foreign: list[str]
    refused: list[str]
    repeated: list[str]

    @property
    def clean(self) -> bool:
        """Whether each caller got its own answer and no promise was broken."""
        return not (self.foreign or self.refused or self.repeated)


async def run(seed: int, requests: int, trouble: Trouble) -> Report:
    """Sends requests through a small deployment and checks all answers.

    Args:
        seed: Seed of all random choices.
        requests: Number of requests.
        trouble: How often responses are disturbed.
    """
    generator = random.Random(seed)

    def draw(share: float) -> bool:
        return generator.random() < share

    async with demo.running(proxied=True) as parts:
        for proxy in parts.proxies.values():
            proxy.copies_answer = lambda: draw(trouble.copied)
            proxy.crosses_answer = lambda: draw(trouble.crossed)
        for target in parts.targets.values():
            target.sheds = lambda: draw(trouble.shed)
        loop = asyncio.get_running_loop()
        began = loop.time()
        answers = await _send_all(parts, requests, generator)
        seconds = loop.time() - began
        runs = collections.Counter(
            execution.path
            for target in parts.targets.values()
            for execution in target.executions
        )
        return Report(
            statuses=collections.Counter(a.status for a in answers),
            copies=sum(proxy.copies for proxy in parts.proxies.values()),
            unmatched=sum(
                daemon.find("client").counts.unmatched
                for daemon in parts.daemons.values()
            ),
            seconds=seconds,
            foreign=[a.path for a in answers if _is_foreign(a)],
            refused=[
                a.path
                for a in answers
                if a.body.get("ran") == "no" and runs[a.path]
            ],
            repeated=[
                a.path
                for a in answers
                if a.method == "PUT" and runs[a.path] > 1
            ],
        )


def _is_foreign(answer: Answer) -> bool:
    return answer.status == 200 and answer.body.get("path") != answer.path


async def _send_all(
    parts: demo.Demo, requests: int, generator: random.Random
) -> list[Answer]:
    addresses = parts.addresses()
    numbers = iter(range(requests))
    headers = {"authorization": f"Bearer {demo.TOKEN}"}

    async def work(session: aiohttp.ClientSession) -> list[Answer]:
        return [
            await _send(
                session,
                generator.choice(addresses),
                "PUT" if generator.random() < _WRITES_SHARE else "GET",
                f"/{demo.KEYED}/letters/{number}",
            )
            for number in numbers
        ]

    async with aiohttp.ClientSession(headers=headers) as session:
        found: Iterable[list[Answer]] = await asyncio.gather(
            *(work(session) for _ in range(_WORKERS))
        )
    return list(itertools.chain.from_iterable(found))


async def _send(
    session: aiohttp.ClientSession, address: str, method: str, path: str
) -> Answer:
    try:
        async with session.request(method, address + path) as response:
            body = msgspec.json.decode(await response.read())
            return Answer(path, method, response.status, body)
    except aiohttp.ClientError:
        return Answer(path, method, 0, {})
