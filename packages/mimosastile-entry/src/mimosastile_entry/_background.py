"""Work that a service starts and does not wait for."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class Background:
    """Keeps tasks until they end.

    The loop itself holds tasks weakly: one that nobody else holds may vanish
    in the middle of its work, seen as a message that is never sent.
    """

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(
        self, work: Coroutine[Any, Any, Any], name: str | None = None
    ) -> None:
        """Starts work.

        Args:
            work: The work.
            name: Name of its task, for debugging.
        """
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancels whatever has not ended."""
        for task in self._tasks:
            task.cancel()
