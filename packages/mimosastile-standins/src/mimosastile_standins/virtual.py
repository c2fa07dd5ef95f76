"""Event loop with virtual time, whose clock jumps to the next timer."""

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

import looptime

_T = TypeVar("_T")
# Without external input, one idle iteration before a jump suffices.
_IDLE_ITERATIONS = 1
# A program that waits without any timer fails instead of hanging.
_DEADLOCK_TIMEOUT_SECONDS = 1.0
_CANCEL_ROUNDS = 5


def run(main: Coroutine[Any, Any, _T]) -> _T:
    """Runs a coroutine to completion without waiting in real time.

    Args:
        main: The coroutine; it must use no sockets.

    Returns:
        The result of the coroutine.
    """
    loop = looptime.new_event_loop(
        start=0,
        noop_cycles=_IDLE_ITERATIONS,
        idle_timeout=_DEADLOCK_TIMEOUT_SECONDS,
    )
    try:
        outcome: _T = loop.run_until_complete(main)
        return outcome
    finally:
        # Also after a failure, as remaining tasks would otherwise be destroyed
        # later, during another test.
        # Several rounds, as a task that ends may start another one.
        for _ in range(_CANCEL_ROUNDS):
            remaining = asyncio.all_tasks(loop)
            if not remaining:
                break
            for task in remaining:
                task.cancel()
            loop.run_until_complete(
                asyncio.gather(*remaining, return_exceptions=True)
            )
        loop.close()


def now() -> float:
    """Returns the running loop's time in seconds."""
    return asyncio.get_running_loop().time()


async def pause(seconds: float) -> None:
    """Waits for a number of virtual seconds."""
    await asyncio.sleep(seconds)


def limit(seconds: float) -> asyncio.Timeout:
    """Returns a context manager with a time-out in virtual seconds."""
    return asyncio.timeout(seconds)
