"""Admission control for the targets whose keeper is this VM.

The keeper of a target is the only entry VM that sends it requests and grants.
"""

import asyncio
from typing import Any

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import queueing
from mimosastile_entry import ports

_Waiter = asyncio.Future[errors.Failure | None]


class Admission:
    """Applies the decisions of the targets' admission queues."""

    __slots__ = ("_clock", "_queues", "_waiters")

    def __init__(self, clock: ports.ClockPort) -> None:
        """Initializes the admission control without queues.

        Args:
            clock: Source of the loop time.
        """
        self._clock = clock
        self._queues: dict[str, queueing.TargetQueue] = {}
        self._waiters: dict[queueing.Ticket, _Waiter] = {}

    def load(self, target: str) -> int:
        """Returns the number of running and queued requests of a target."""
        queue = self._queues.get(target)
        return queue.running + queue.waiting if queue else 0

    def in_flight(self) -> dict[str, int]:
        """Returns the number of running requests by target."""
        return {t: q.running for t, q in self._queues.items() if q.running}

    def dump(self) -> dict[str, Any]:
        """Returns the queues that have running or waiting requests."""
        return {
            target: {
                "running": queue.running,
                "waiting": queue.waiting,
                "limit": queue.limit,
            }
            for target, queue in self._queues.items()
            if queue.running or queue.waiting
        }

    async def enter(
        self,
        target: str,
        service: config.Service,
        ticket: queueing.Ticket,
        deadline: float,
    ) -> errors.Failure | None:
        """Waits for a slot of a target.

        Args:
            target: The target.
            service: Configuration of its service.
            ticket: Queue entry of the request; pass it to `leave` to release
                the slot.
            deadline: Loop time at which the caller's request expires.

        Returns:
            None if the request holds a slot, else the failure.
        """
        queue = self._queues.get(target)
        if queue is None:
            queue = queueing.TargetQueue(service.slots, service.queue)
            self._queues[target] = queue
        queue.configure(service.slots, service.queue)
        now = self._clock.now()
        outcome = queue.offer(ticket, deadline, now)
        if not isinstance(outcome, list):
            return outcome
        waiter: _Waiter = asyncio.get_running_loop().create_future()
        self._waiters[ticket] = waiter
        self._apply(outcome)
        try:
            # Not `wait_for`: it swallows a cancellation that coincides with
            # the slot, and a request would be sent for a caller that has
            # disconnected.
            async with asyncio.timeout(ticket.latest - now):
                return await waiter
        except TimeoutError:
            self.leave(target, ticket)
            return errors.Failure(errors.ErrorKind.QUEUE_TIMEOUT)
        except asyncio.CancelledError:
            # The slot may have been assigned at the same moment. Unless it is
            # released, each such race permanently reduces the target's
            # concurrency by one.
            self.leave(target, ticket)
            raise
        finally:
            self._waiters.pop(ticket, None)

    def leave(self, target: str, ticket: queueing.Ticket) -> None:
        """Releases a slot, or removes a request from the queue."""
        self._apply(self._queues[target].leave(ticket, self._clock.now()))

    def shed(self, target: str) -> None:
        """Records that a target refused a request because of overload."""
        self._queues[target].shed(self._clock.now())

    def leave_callback(
        self, target: str, ticket: queueing.Ticket
    ) -> ports.CloseCallback:
        """Returns a callback that calls `leave` when a response is closed."""

        async def close() -> None:
            self.leave(target, ticket)

        return close

    def _apply(self, actions: list[queueing.Action]) -> None:
        for action in actions:
            waiter = self._waiters.get(action.ticket)
            # A waiter that is being cancelled releases the slot itself when
            # it resumes.
            if waiter is not None and not waiter.done():
                waiter.set_result(
                    action.failure
                    if isinstance(action, queueing.Refused)
                    else None
                )
