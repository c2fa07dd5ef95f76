"""Clocks, identifiers and random numbers of a daemon, replaceable in tests."""

import asyncio
import random
import time
import uuid


class Clock:
    """Monotonic time, unique identifiers and jitter; tests replace it."""

    __slots__ = ("_random",)

    def __init__(self, seed: int | None = None) -> None:
        """Creates a clock.

        Args:
            seed: Seed for repeatable identifiers and jitter; None for a random
                one.
        """
        self._random = random.Random(seed)

    def now(self) -> float:
        """Returns the event loop's seconds, which exclude suspended time."""
        return asyncio.get_running_loop().time()

    def boottime(self) -> float:
        """Returns seconds since boot, including time in suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def new_id(self) -> str:
        """Returns a new unique identifier."""
        return uuid.UUID(int=self._random.getrandbits(128), version=4).hex

    def random(self) -> float:
        """Returns a random number from 0 to 1, for jitter only."""
        return self._random.random()


async def wait(event: asyncio.Event, seconds: float) -> None:
    """Waits for an event, at most for the given seconds."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return
