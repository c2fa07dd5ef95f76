"""Priority queues of requests that wait until a target has a free slot."""

import asyncio
import heapq
import itertools


class _Waiter:
    """A waiting request."""

    __slots__ = ("future", "order")

    def __init__(
        self, order: tuple[int, int], future: asyncio.Future[None]
    ) -> None:
        self.order = order
        self.future = future

    def __lt__(self, other: "_Waiter") -> bool:
        """Whether this request goes first."""
        return self.order < other.order


class Ticket:
    """A request's position in a queue, kept when it waits again."""

    __slots__ = ("order",)

    def __init__(self, order: tuple[int, int]) -> None:
        self.order = order


class WaitQueues:
    """Wait queues by name, ordered by priority, then by arrival."""

    __slots__ = ("_sequence", "_queues")

    def __init__(self) -> None:
        self._queues: dict[str, list[_Waiter]] = {}
        self._sequence = itertools.count()

    def ticket(self, priority: int) -> Ticket:
        """Returns a ticket for a new request.

        Args:
            priority: The request's priority; 0 is the most urgent.
        """
        return Ticket((priority, next(self._sequence)))

    def count_ahead(self, queue: str, ticket: Ticket) -> int:
        """Returns the number of requests that wait ahead of a ticket."""
        waiting = self._queues.get(queue, ())
        return sum(w.order < ticket.order for w in waiting)

    def lengths(self) -> dict[str, int]:
        """Returns the length of each queue."""
        return {name: len(queue) for name, queue in self._queues.items()}

    async def wait(self, queue: str, ticket: Ticket, seconds: float) -> None:
        """Waits until the request is woken or the time is over.

        Args:
            queue: Name of the queue.
            ticket: The request's ticket.
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

    def wake_next(self, queue: str) -> None:
        """Wakes the first waiting request of a queue."""
        waiting = self._queues.get(queue)
        while waiting:
            waiter = heapq.heappop(waiting)
            if not waiter.future.done():
                waiter.future.set_result(None)
                return

    def wake_all(self) -> None:
        """Wakes all requests in order, after a change of the targets."""
        for waiting in list(self._queues.values()):
            for waiter in sorted(waiting):
                if not waiter.future.done():
                    waiter.future.set_result(None)
            waiting.clear()
