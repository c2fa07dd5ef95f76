"""Keeps work running that must not end, whatever it raises."""

from collections.abc import Awaitable
from collections.abc import Callable
import traceback

import msgspec

_MAX_TEXT_LENGTH = 300
"""Longest description of an exception, in characters; it may quote outside
data."""
_FIRST_PAUSE_SECONDS = 0.1
"""Pause before work that has failed once runs again; doubles."""
_LONGEST_PAUSE_SECONDS = 2.0
"""Bound on that pause: the time within which a change has to be in force."""
_STEADY_SECONDS = 10.0
"""Time of running after which earlier failures no longer count."""


class Failure(msgspec.Struct, frozen=True):
    """An exception that has ended a task.

    Attributes:
        why: Type and message of the exception.
        where: Place that raised it: file, line and function; empty if unknown.
    """

    why: str
    where: str


class Restarts:
    """The failures in succession of one piece of work.

    Attributes:
        count: Number of failures since the work last ran steadily.
    """

    __slots__ = ("count",)

    def __init__(self) -> None:
        """Creates it without any failure."""
        self.count = 0

    def record(self, ran_seconds: float) -> float:
        """Records a failure; returns the seconds until the work runs again.

        Args:
            ran_seconds: Time for which the work ran before it failed.
        """
        if ran_seconds >= _STEADY_SECONDS:
            self.count = 0
        self.count += 1
        pause = _FIRST_PAUSE_SECONDS * 2.0 ** min(self.count - 1, 10)
        return min(pause, _LONGEST_PAUSE_SECONDS)


async def keep_running(
    work: Callable[[], Awaitable[None]],
    now: Callable[[], float],
    pause: Callable[[float], Awaitable[None]],
    record: Callable[[Failure, int], None],
    is_failure: Callable[[BaseException], bool],
) -> None:
    """Runs work again after each failure, until it ends without one.

    Args:
        work: Starts the work.
        now: Returns the time in seconds.
        pause: Waits for a number of seconds.
        record: Records each failure, and how many there were in succession.
        is_failure: Whether what the work raised is a failure, and not the end
            of the task that runs it.
    """
    restarts = Restarts()
    while True:
        started_at = now()
        try:
            return await work()
        except BaseException as error:
            if not is_failure(error):
                raise
            seconds = restarts.record(now() - started_at)
            record(describe(error), restarts.count)
            await pause(seconds)


def describe(error: BaseException) -> Failure:
    """Returns the description of an exception.

    Args:
        error: The exception, with its traceback.
    """
    where = ""
    for frame, line in traceback.walk_tb(error.__traceback__):
        code = frame.f_code
        file = code.co_filename.rpartition("/")[2]
        where = f"{file}:{line} {code.co_name}"
    return Failure(reason(error), where)


def reason(error: BaseException) -> str:
    """Returns type and message of an exception, bound in length."""
    return f"{type(error).__name__}: {error}"[:_MAX_TEXT_LENGTH]
