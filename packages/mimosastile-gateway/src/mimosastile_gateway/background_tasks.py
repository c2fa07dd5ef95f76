"""Tasks that run in the background, whose end nobody awaits."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

from mimosastile_core import supervision
from mimosastile_gateway import events

_T = TypeVar("_T")


def ignore_failure(count: int) -> None:
    """Does nothing more about a failure."""
    del count


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

    def keep(
        self,
        name: str,
        work: Callable[[], Coroutine[Any, Any, None]],
        detail: str = "",
        on_failure: Callable[[int], None] = ignore_failure,
    ) -> asyncio.Task[None]:
        """Starts a task that runs work again after each failure.

        Args:
            name: Name of the task, fixed for each kind of work.
            work: Starts the work.
            detail: What it is for, such as a target.
            on_failure: Called after each failure with the number of failures
                in succession.
        """

        def record(failure: supervision.Failure, count: int) -> None:
            self._log(name, detail, failure, count)
            on_failure(count)

        running = supervision.keep_running(
            work,
            asyncio.get_running_loop().time,
            asyncio.sleep,
            record,
            _is_failure,
        )
        return self.start(name, running, detail)

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in self._tasks:
            task.cancel()

    def _on_end(self, task: asyncio.Task[Any], name: str, detail: str) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._log(name, detail, supervision.describe(error), 1)

    def _log(
        self, name: str, detail: str, failure: supervision.Failure, count: int
    ) -> None:
        self._events.write(
            "tasks",
            "task_failed",
            task=name,
            detail=detail,
            why=failure.why,
            where=failure.where,
            failures=count,
        )


def _is_failure(error: BaseException) -> bool:
    """Whether work has failed, and its task was not cancelled.

    Work that awaits a task which somebody else cancels raises as if its own
    task had been cancelled.
    """
    if isinstance(error, asyncio.CancelledError):
        task = asyncio.current_task()
        return task is not None and not task.cancelling()
    return isinstance(error, Exception)
