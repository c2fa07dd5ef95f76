"""Background tasks that a service starts without awaiting them."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import functools
from typing import Any

from absl import logging

from mimosastile_core import supervision

_PREFIX = "background:"


class Background:
    """Holds strong references to tasks until they end, and logs failures.

    The event loop holds tasks weakly: a task without another reference may
    be garbage collected while it runs, and its message is never sent. It
    reports the failure of a task only when the task is garbage collected.
    """

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(
        self, work: Coroutine[Any, Any, Any], name: str = "message"
    ) -> asyncio.Task[Any]:
        """Starts a task that ends by itself.

        Args:
            work: Coroutine to run.
            name: Name of the task, for the log.
        """
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(functools.partial(self._on_end, name))
        return task

    def keep(
        self, work: Callable[[], Coroutine[Any, Any, None]], name: str
    ) -> asyncio.Task[Any]:
        """Starts a task that runs work again after each failure.

        Args:
            work: Starts the work.
            name: Name of the task, for the log.
        """
        running = supervision.keep_running(
            work,
            asyncio.get_running_loop().time,
            asyncio.sleep,
            functools.partial(_log, name),
            _is_failure,
        )
        return self.start(running, name)

    def cancel(self) -> None:
        """Cancels all unfinished tasks."""
        for task in self._tasks:
            task.cancel()

    def _on_end(self, name: str, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            _log(name, supervision.describe(error), 1)


async def forever(step: Callable[[], Awaitable[None]]) -> None:
    """Runs a step in an endless loop."""
    while True:
        await step()


def _is_failure(error: BaseException) -> bool:
    """Whether work has failed, and its task was not cancelled.

    Work that awaits a task which somebody else cancels raises as if its own
    task had been cancelled.
    """
    if isinstance(error, asyncio.CancelledError):
        task = asyncio.current_task()
        return task is not None and not task.cancelling()
    return isinstance(error, Exception)


def _log(name: str, failure: supervision.Failure, count: int) -> None:
    logging.error(
        "%s task %s failed at %s, %d in succession: %s.",
        _PREFIX,
        name,
        failure.where,
        count,
        failure.why,
    )
