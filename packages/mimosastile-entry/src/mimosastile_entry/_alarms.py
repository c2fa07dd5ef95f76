"""A timeout for the hot path, cheaper than the one of the library."""

import asyncio


class Alarm:
    """Cancels the present task after some time.

    `asyncio.timeout` does the same with two coroutines and two objects more
    for each request.
    """

    __slots__ = ("_fired", "_handle", "_task")

    def __init__(self, seconds: float) -> None:
        """Begins to wait.

        Args:
            seconds: Time until the task is cancelled.
        """
        task = asyncio.current_task()
        assert task is not None
        self._task = task
        self._fired = False
        self._handle = task.get_loop().call_later(seconds, self._fire)

    def stop(self) -> None:
        """Waits no longer."""
        self._handle.cancel()

    def settle(self) -> None:
        """Tells the alarm from a cancellation by others.

        Raises:
            TimeoutError: The alarm alone cancelled the task.
        """
        # Taken for a timeout, somebody else's cancellation would be lost, and
        # a caller that has left would be served on.
        if self._fired and self._task.uncancel() == 0:
            raise TimeoutError

    def _fire(self) -> None:
        self._fired = True
        self._task.cancel()
