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
            functools.partial(_uncancelled, work),
            asyncio.get_running_loop().time,
            asyncio.sleep,
            functools.partial(_log, name),
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


async def _uncancelled(
    work: Callable[[], Coroutine[Any, Any, None]],
) -> None:
    """Awaits work; a cancellation that this task did not get is a failure.

    Work that awaits a task which somebody cancels would end as if it had been
    cancelled itself.
    """
    task = asyncio.current_task()
    try:
        await work()
    except asyncio.CancelledError as error:
        if task is None or task.cancelling():
            raise
        raise RuntimeError(
            "a task that the work awaits was cancelled"
        ) from error


def _log(name: str, failure: supervision.Failure, count: int) -> None:
    logging.error(
        "%s task %s failed at %s, %d in succession: %s.",
        _PREFIX,
        name,
        failure.where,
        count,
        failure.why,
    )
