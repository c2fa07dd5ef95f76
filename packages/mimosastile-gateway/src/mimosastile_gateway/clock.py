"""Time of a running daemon."""

import asyncio
import random
import time
import uuid


class Clock:
    """Monotonic times, identifiers and jitter; replaced by a test."""

    __slots__ = ("_random",)

    def __init__(self, seed: int | None = None) -> None:
        """Makes a clock.

        Args:
            seed: Makes identifiers and jitter repeatable; None for real ones.
        """
        self._random = random.Random(seed)

    def now(self) -> float:
        """Returns the loop's seconds, which stand still in a suspension."""
        return asyncio.get_running_loop().time()

    def boot(self) -> float:
        """Returns seconds that run on while the machine is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def new_id(self) -> str:
        """Returns an identifier that is never used again."""
        return uuid.UUID(int=self._random.getrandbits(128), version=4).hex

    def random(self) -> float:
        """Returns a number from 0 to 1, for jitter alone."""
        return self._random.random()


async def wait(event: asyncio.Event, seconds: float) -> None:
    """Waits for an event, for some seconds at most."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return
