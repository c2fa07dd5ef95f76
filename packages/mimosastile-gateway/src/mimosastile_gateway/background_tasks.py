"""Tasks that run in the background, whose end nobody awaits."""

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

from mimosastile_core import supervision
from mimosastile_gateway import events

_T = TypeVar("_T")


class BackgroundTasks:
    """Starts the tasks of one service, and logs each that fails.

    The event loop holds tasks weakly and reports a failure only when the task
    is garbage collected, which never happens to one that a service keeps.
    """

    __slots__ = ("_events", "_tasks")

    def __init__(self, log: events.EventLog) -> None:
        """Creates it without any task.

        Args:
            log: The event log.
        """
        self._events = log
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(
        self, name: str, work: Coroutine[Any, Any, _T], detail: str = ""
    ) -> asyncio.Task[_T]:
        """Starts a task that ends by itself.

        Args:
            name: Name of the task, fixed for each kind of work.
            work: The work.
            detail: What it is for, such as a target.
        """
        task = asyncio.create_task(work, name=f"{name}-{detail}".rstrip("-"))
        self._tasks.add(task)
        task.add_done_callback(lambda _: self._on_end(task, name, detail))
        return task

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in self._tasks:
            task.cancel()

    def _on_end(self, task: asyncio.Task[Any], name: str, detail: str) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            failure = supervision.describe(error)
            self._events.write(
                "tasks",
                "task_failed",
                task=name,
                detail=detail,
                why=failure.why,
                where=failure.where,
            )
