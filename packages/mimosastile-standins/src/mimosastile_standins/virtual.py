"""Virtual time: a loop whose clock jumps to the next thing to do."""

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

import looptime

_T = TypeVar("_T")
# There is no input from outside, so one empty round before a jump is enough.
_IDLE_ROUNDS = 1
# A program that waits for nothing at all fails instead of hanging.
_DEADLOCK_SECONDS = 1.0
_ENDING_ROUNDS = 5


def run(main: Coroutine[Any, Any, _T]) -> _T:
    """Runs a coroutine to its end without waiting for real.

    Args:
        main: The coroutine; it must use no sockets.

    Returns:
        What the coroutine returns.
    """
    loop = looptime.new_event_loop(
        start=0, noop_cycles=_IDLE_ROUNDS, idle_timeout=_DEADLOCK_SECONDS
    )
    try:
        outcome: _T = loop.run_until_complete(main)
        return outcome
    finally:
        # After a failure too: what is left would otherwise be destroyed later,
        # in the middle of another test.
        # What ends may begin something else, so once is not enough.
        for _ in range(_ENDING_ROUNDS):
            leftover = asyncio.all_tasks(loop)
            if not leftover:
                break
            for task in leftover:
                task.cancel()
            loop.run_until_complete(
                asyncio.gather(*leftover, return_exceptions=True)
            )
        loop.close()


def now() -> float:
    """Returns the running loop's time in seconds."""
    return asyncio.get_running_loop().time()


async def pause(seconds: float) -> None:
    """Lets time pass."""
    await asyncio.sleep(seconds)


def limit(seconds: float) -> asyncio.Timeout:
    """Returns a context that fails after some time."""
    return asyncio.timeout(seconds)
