"""Clock, identifiers and random numbers of a running daemon."""

import asyncio
import random
import time
from typing import Any
import uuid

from mimosastile_entry import kernel


class LoopClock(kernel.Passive):
    """Reads time from the running loop, so that tests can control it."""

    __slots__ = ("_random", "_seeded")

    def __init__(self, seed: int | None = None) -> None:
        """Initializes the clock.

        Args:
            seed: Makes identifiers and jitter reproducible; None for random
                ones.
        """
        super().__init__("clock")
        self._random = random.Random(seed)
        self._seeded = seed is not None

    def dump(self) -> dict[str, Any]:
        """Returns the current loop time in seconds."""
        return {"now": self.now()}

    def now(self) -> float:
        """Returns the loop's monotonic time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Returns the Unix time in seconds, or the loop time if seeded."""
        return self.now() if self._seeded else time.time()

    def new_id(self) -> str:
        """Returns a unique identifier."""
        return uuid.UUID(int=self._random.getrandbits(128), version=4).hex

    def random(self) -> float:
        """Returns a random number in [0, 1)."""
        return self._random.random()
