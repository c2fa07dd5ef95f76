"""Slots of the targets that this VM keeps; the core's queue decides."""

import asyncio
from typing import Any

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import queueing
from mimosastile_entry import ports

_Turn = asyncio.Future[errors.Failure | None]


class Admission:
    """Carries out what the queues of the kept targets decide."""

    __slots__ = ("_clock", "_queues", "_turns")

    def __init__(self, clock: ports.ClockPort) -> None:
        """Makes it with no queues.

        Args:
            clock: Tells the time.
        """
        self._clock = clock
        self._queues: dict[str, queueing.TargetQueue] = {}
        self._turns: dict[queueing.Ticket, _Turn] = {}

    def load(self, target: str) -> int:
        """Returns how many requests run on a target or wait for it."""
        queue = self._queues.get(target)
        return queue.running + queue.waiting if queue else 0

    def in_flight(self) -> dict[str, int]:
        """Returns the running requests by target."""
        return {t: q.running for t, q in self._queues.items() if q.running}

    def dump(self) -> dict[str, Any]:
        """Returns the queues that are in use."""
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
        """Waits for a slot.

        Args:
            target: The target.
            service: Configuration of its service.
            ticket: The request; give it to `leave` if it got a slot.
            deadline: Loop time at which the caller gives up.

        Returns:
            None if the request holds a slot, else why it does not.
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
        turn: _Turn = asyncio.get_running_loop().create_future()
        self._turns[ticket] = turn
        self._carry_out(outcome)
        try:
            # Not `wait_for`: it swallows a cancellation that comes with the
            # slot, and a request would be sent for a caller that has gone.
            async with asyncio.timeout(ticket.latest - now):
                return await turn
        except TimeoutError:
            self.leave(target, ticket)
            return errors.Failure(errors.ErrorKind.QUEUE_TIMEOUT)
        except asyncio.CancelledError:
            # The slot may have been handed over in the same moment. Without
            # giving it back the target would serve one request fewer after
            # each such race, for good.
            self.leave(target, ticket)
            raise
        finally:
            self._turns.pop(ticket, None)

    def leave(self, target: str, ticket: queueing.Ticket) -> None:
        """Gives a slot back, or a place in the queue."""
        self._carry_out(self._queues[target].leave(ticket, self._clock.now()))

    def shed(self, target: str) -> None:
        """Heeds a target's refusal because of overload."""
        self._queues[target].shed(self._clock.now())

    def leaver(
        self, target: str, ticket: queueing.Ticket
    ) -> ports.CloseCallback:
        """Returns `leave` as something to do when an answer is closed."""

        async def close() -> None:
            self.leave(target, ticket)

        return close

    def _carry_out(self, actions: list[queueing.Action]) -> None:
        for action in actions:
            turn = self._turns.get(action.ticket)
            # Whoever is being cancelled at this moment gives the slot back
            # by itself when it wakes.
            if turn is not None and not turn.done():
                turn.set_result(
                    action.failure
                    if isinstance(action, queueing.Refused)
                    else None
                )
