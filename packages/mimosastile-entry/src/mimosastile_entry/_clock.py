"""Clock and identifiers of a running daemon."""

import asyncio
import random
import time
from typing import Any
import uuid

from mimosastile_entry import kernel


class LoopClock(kernel.Passive):
    """Takes time from the running loop, so that a virtual loop sets it."""

    __slots__ = ("_random", "_seeded")

    def __init__(self, seed: int | None = None) -> None:
        """Makes a clock.

        Args:
            seed: Makes identifiers and jitter repeatable; None for real ones.
        """
        super().__init__("clock")
        self._random = random.Random(seed)
        self._seeded = seed is not None

    def dump(self) -> dict[str, Any]:
        """Returns the present loop time."""
        return {"now": self.now()}

    def now(self) -> float:
        """Returns the loop's monotonic seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Returns seconds since 1970 UTC; loop time if seeded."""
        return self.now() if self._seeded else time.time()

    def new_id(self) -> str:
        """Returns an identifier that is never used again."""
        return uuid.UUID(int=self._random.getrandbits(128), version=4).hex

    def random(self) -> float:
        """Returns a number from 0 to 1."""
        return self._random.random()
