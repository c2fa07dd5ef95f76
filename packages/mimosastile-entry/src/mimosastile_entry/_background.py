"""Background tasks that a service starts without awaiting them."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class Background:
    """Holds strong references to tasks until they end.

    The event loop holds tasks weakly: a task without another reference may
    be garbage collected while it runs, and its message is never sent.
    """

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(
        self, work: Coroutine[Any, Any, Any], name: str | None = None
    ) -> None:
        """Starts a task.

        Args:
            work: Coroutine to run.
            name: Name of the task, for debugging.
        """
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancels all unfinished tasks."""
        for task in self._tasks:
            task.cancel()
