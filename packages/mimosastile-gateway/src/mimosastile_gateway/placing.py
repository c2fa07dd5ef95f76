"""Where a request goes now, how long it waits for that, or why it cannot."""

import asyncio
import contextlib
import math

import result

from mimosastile_core import errors
from mimosastile_core.gateway import admission
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import room
from mimosastile_core.gateway import routes
from mimosastile_gateway import admitting
from mimosastile_gateway import beliefs
from mimosastile_gateway import clock
from mimosastile_gateway import peers
from mimosastile_gateway import pending
from mimosastile_gateway import settings
from mimosastile_gateway import turns

_POLL_SECONDS = 0.05
"""Longest wait for a turn: what other VMs have under way changes unseen."""
_TICK_SECONDS = 0.001
"""Shortest wait; one below the clock's resolution would spin."""
_UNREACHABLE_PAUSE = 0.05
_UNREACHABLE_PAUSE_MOST = 0.4
"""Waits after the only target for a key took no connection; doubles. A target
that has died is replaced within seconds, a full one takes the next connection
when a request ends."""
_OWNER_PAUSE = 0.02
"""Wait after a target has rejected a key, for news of its owner; doubles with
each rejection, so that a table that is wrong costs few repeats."""
SOON_SECONDS = 0.15
"""Retry-After of a request that its target did not take or that did not reach
it: about one request's work, after which another slot is free, another target
is chosen or the key has an owner again."""
_LATEST_SECONDS = 5.0
"""Longest Retry-After of a target without gate: what is known of its load does
not hold for longer."""
_LEAST_WORK = 0.6
"""Part of a request's mean work for which it is still worth sending."""

_Entering = asyncio.Future[admitting.Place | admission.Refusal | None]


class Placing:
    """Finds targets for requests, and has requests wait for them."""

    __slots__ = (
        "_admitting",
        "_beliefs",
        "_clock",
        "_peers",
        "_rooms",
        "_settings",
        "_turns",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        known: beliefs.Beliefs,
        rooms: room.Rooms,
        fellows: peers.Peers,
        queues: turns.Turns,
        places: admitting.Admitting,
        timer: clock.Clock,
    ) -> None:
        self._settings = configured
        self._beliefs = known
        self._rooms = rooms
        self._peers = fellows
        self._turns = queues
        self._admitting = places
        self._clock = timer
        known.subscribe(queues.wake_all)

    def waiting(self) -> dict[str, int]:
        """Returns the requests that wait in this VM, by queue."""
        return self._turns.waiting()

    def ticket(self, priority: int) -> turns.Ticket:
        """Returns a turn for a new request.

        Args:
            priority: Its rank; 0 is the most urgent.
        """
        return self._turns.ticket(priority)

    def latest_start(self, call: pending.Call) -> float:
        """Returns the time after which a request is not worth sending."""
        work = self._rooms.work(call.route.name, call.guess)
        margin = self._settings.requests.margin
        return call.deadline - margin - _LEAST_WORK * work

    def leave(self, call: pending.Call, target: directory.Target) -> None:
        """Gives back what a request had at a target; others are next."""
        self._rooms.load(target.id).end()
        place, call.place = call.place, None
        if place is not None:
            self._admitting.give_back(place, answered=call.answered)
        self._turns.next(target.id)
        self._turns.next(target.service)

    async def await_owner(
        self, call: pending.Call, target: directory.Target
    ) -> None:
        """Waits a moment for news after a target has rejected a key."""
        if call.key is None:
            return
        known = self._beliefs.owner(call.service.name, call.key)
        if known != target.id:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_OWNER_PAUSE * 2**call.rejects):
                await self._beliefs.changed.wait()

    async def await_reachable(
        self, call: pending.Call, target: directory.Target
    ) -> None:
        """Waits for news of the only target for a key that is unreachable."""
        if call.key is None or self._owner(call) is not target:
            return
        pause = _UNREACHABLE_PAUSE * 2.0 ** min(call.unreachable, 8)
        call.unreachable += 1
        ends = self._clock.now() + min(pause, _UNREACHABLE_PAUSE_MOST)
        ends = min(ends, self.latest_start(call))
        while self._owner(call) is target:
            left = ends - self._clock.now()
            if left < _TICK_SECONDS:
                return
            await clock.wait(self._beliefs.changed, left)

    async def find(
        self, call: pending.Call
    ) -> result.Result[directory.Target, errors.Failure]:
        """Waits until a target has room, and takes it.

        Whoever calls this gives the room back with `leave`.

        Returns:
            The target, or why there is none in time.
        """
        while True:
            now = self._clock.now()
            if call.key is not None and self._owner(call) is None:
                vacant = await self._await_any_owner(call, call.key, now)
                if vacant is not None:
                    return vacant
                continue
            entered = await self._enter(call, now)
            if entered is not None:
                return entered
            queue, choice = self._choose(call, now)
            ahead = self._turns.ahead(queue, call.ticket)
            if choice.target is not None and not ahead:
                self._rooms.load(choice.target.id).begin()
                return result.Ok(choice.target)
            left = self.latest_start(call) - now
            seconds = min(choice.seconds, 1e6)
            if left <= 0 or seconds * (ahead + 1) > left:
                return self._no_room(call, choice, ahead)
            await self._turns.wait(queue, call.ticket, min(left, _POLL_SECONDS))

    async def _await_any_owner(
        self, call: pending.Call, key: int, now: float
    ) -> result.Err[errors.Failure] | None:
        """Waits for news of a key that nobody owns.

        Returns:
            The refusal, if none will own it in time.
        """
        left = self.latest_start(call) - now
        seconds = self._beliefs.seconds_without_owner(call.service.name, key)
        if seconds >= left:
            wait = max(seconds, SOON_SECONDS)
            kind = errors.ErrorKind.NO_OWNER
            return result.Err(errors.Failure(kind, retry_after=wait))
        await clock.wait(self._beliefs.changed, min(left, _POLL_SECONDS))
        return None

    async def _enter(
        self, call: pending.Call, now: float
    ) -> result.Result[directory.Target, errors.Failure] | None:
        """Asks the gate of a contended target for a place.

        Returns:
            The target or why there is no place; None if it has no gate that
            answers, or the key has got another owner meanwhile.
        """
        target = self._owner(call) if call.key is not None else None
        gate = self._rooms.gate(target.id, now) if target else None
        if target is None or gate is None:
            return None
        entering = asyncio.ensure_future(
            self._admitting.enter(
                gate,
                target.id,
                call.route.priority,
                self._on_time_left(call, now),
                call.deadline - self._settings.requests.margin - now,
                self._rooms.work(call.route.name, call.guess),
                self._rooms.load(target.id).own,
            )
        )
        try:
            moved = await self._until_moved(call, target, entering)
        except asyncio.CancelledError:
            self._abandon(entering)
            raise
        if moved:
            self._abandon(entering)
            return None
        entered = entering.result()
        if entered is None:
            self._rooms.gate_silent(gate, self._clock.now())
            return None
        if isinstance(entered, admitting.Place):
            if self._owner(call) is not target:
                # It has left, or its time to get work has passed meanwhile.
                self._admitting.give_back(entered, answered=False)
                return None
            call.place = entered
            self._rooms.load(target.id).begin()
            return result.Ok(target)
        self._peers.turned_away(target.id)
        least = self._settings.requests.retry_after_least
        return result.Err(
            errors.Failure(
                errors.ErrorKind.OVERLOADED,
                retry_after=max(entered.seconds, least),
            )
        )

    def _on_time_left(self, call: pending.Call, now: float) -> float:
        """Returns the seconds within which an answer is on time."""
        latency = call.route.target_latency
        if not latency:
            return call.deadline - now
        return call.began + latency - call.tried_for - now

    def _abandon(self, entering: _Entering) -> None:
        """Leaves a gate's queue, or gives back a place that just came."""
        if not entering.done():
            entering.cancel()
        elif not entering.cancelled():
            entered = entering.result()
            if isinstance(entered, admitting.Place):
                self._admitting.give_back(entered, answered=False)

    async def _until_moved(
        self,
        call: pending.Call,
        target: directory.Target,
        entering: _Entering,
    ) -> bool:
        """Waits for a gate's decision, unless the key goes elsewhere first.

        Returns:
            Whether it does.
        """
        while not entering.done():
            changed = asyncio.ensure_future(self._beliefs.changed.wait())
            try:
                await asyncio.wait(
                    (entering, changed), return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                changed.cancel()
            owner = self._owner(call)
            if not entering.done() and (owner is None or owner.id != target.id):
                return True
        return False

    def _no_room(
        self, call: pending.Call, choice: room.Choice, ahead: int
    ) -> result.Err[errors.Failure]:
        """Refuses a request for which there will be no room in time."""
        kind = errors.ErrorKind.OVERLOADED
        owner = self._owner(call) if call.key is not None else None
        if owner is not None:
            self._peers.turned_away(owner.id)
        wait = min(choice.seconds * (ahead + 1), _LATEST_SECONDS)
        wait = max(wait, self._settings.requests.retry_after_least)
        return result.Err(errors.Failure(kind, retry_after=wait))

    def _choose(
        self, call: pending.Call, now: float
    ) -> tuple[str, room.Choice]:
        """Returns the queue to wait in and what was found."""
        service = call.service
        if call.key is not None:
            target = self._owner(call)
            if target is None:
                return service.name, room.Choice(None, 0.0)
            if self._rooms.full_owner(target, self._peers.count, now):
                self._peers.hurry()
                seconds = self._rooms.turn_seconds(
                    target, call.route.name, call.guess
                )
                return target.id, room.Choice(None, seconds)
            return target.id, room.Choice(target, 0.0)
        candidates = self._candidates(call, now)
        if not candidates:
            return service.name, room.Choice(None, 0.2)
        choice = self._rooms.choose(
            candidates,
            call.route.name,
            call.guess,
            self._most_own(service),
            self._peers.count,
            now,
            self._clock.random(),
            call.route.target_latency or math.inf,
        )
        return service.name, choice

    def _candidates(
        self, call: pending.Call, now: float
    ) -> list[directory.Target]:
        service = call.service.name
        usable = self._beliefs.directory.usable(service, now)
        if call.service.keyed:
            # A target without keys runs nothing.
            assignment = self._beliefs.assignments.get(service)
            owners = set(assignment.owners) if assignment else set()
            usable = [t for t in usable if t.id in owners]
        fresh = [t for t in usable if t.id not in call.tried]
        return fresh or usable

    def _owner(self, call: pending.Call) -> directory.Target | None:
        assert call.key is not None
        owner = self._beliefs.owner(call.service.name, call.key)
        if owner is None:
            return None
        known = self._beliefs.directory
        entry = known.get(owner)
        if entry is None or not known.may_get_work(owner, self._clock.now()):
            return None
        return entry.target

    def _most_own(self, service: routes.Service) -> int:
        """Returns how many requests this VM may have at one target."""
        share = service.connections / self._peers.count
        most = share * self._settings.requests.own_connections
        return max(2, int(most))
