"""Requests that wait until a target has room for them."""

import asyncio
import heapq
import itertools


class _Waiter:
    """One waiting request."""

    __slots__ = ("future", "order")

    def __init__(
        self, order: tuple[int, int], future: asyncio.Future[None]
    ) -> None:
        self.order = order
        self.future = future

    def __lt__(self, other: "_Waiter") -> bool:
        """Whether this one goes first."""
        return self.order < other.order


class Ticket:
    """A request's place in a queue; kept when it has to wait again."""

    __slots__ = ("order",)

    def __init__(self, order: tuple[int, int]) -> None:
        self.order = order


class WaitQueues:
    """Queues by name, urgent requests first, then in order of arrival."""

    __slots__ = ("_numbers", "_queues")

    def __init__(self) -> None:
        self._queues: dict[str, list[_Waiter]] = {}
        self._numbers = itertools.count()

    def ticket(self, priority: int) -> Ticket:
        """Returns a new place.

        Args:
            priority: Rank of the request; 0 is the most urgent.
        """
        return Ticket((priority, next(self._numbers)))

    def ahead(self, queue: str, ticket: Ticket) -> int:
        """Returns how many requests wait before a place."""
        waiting = self._queues.get(queue, ())
        return sum(w.order < ticket.order for w in waiting)

    def waiting(self) -> dict[str, int]:
        """Returns the length of each queue."""
        return {name: len(queue) for name, queue in self._queues.items()}

    async def wait(self, queue: str, ticket: Ticket, seconds: float) -> None:
        """Waits for a turn, or for some time.

        Args:
            queue: Name of the queue.
            ticket: The place.
            seconds: Longest wait.
        """
        loop = asyncio.get_running_loop()
        waiter = _Waiter(ticket.order, loop.create_future())
        waiting = self._queues.setdefault(queue, [])
        heapq.heappush(waiting, waiter)
        try:
            async with asyncio.timeout(seconds):
                await waiter.future
        except TimeoutError:
            return
        finally:
            if waiter in waiting:
                waiting.remove(waiter)
                heapq.heapify(waiting)
            if not waiting and self._queues.get(queue) is waiting:
                del self._queues[queue]

    def next(self, queue: str) -> None:
        """Gives the first of a queue its turn."""
        waiting = self._queues.get(queue)
        while waiting:
            waiter = heapq.heappop(waiting)
            if not waiter.future.done():
                waiter.future.set_result(None)
                return

    def wake_all(self) -> None:
        """Gives everyone a turn, in order, after a change of the targets."""
        for waiting in list(self._queues.values()):
            for waiter in sorted(waiting):
                if not waiter.future.done():
                    waiter.future.set_result(None)
            waiting.clear()
