"""The queue for the slots of one target, fair to members, at its keeper.

Start-time fair queueing on two levels. Classes share the slots by fixed
weights, so that bulk is slow under pressure but never starved; within a class
members share by their configured shares. What a request costs is the time it
holds a slot: it is charged an estimate when it starts and the difference when
it ends, so that a member gains nothing by sending fewer but longer requests.
"""

import collections
import math

import msgspec

from mimosastile_core import config
from mimosastile_core import errors

_WEIGHTS = {
    config.Priority.INTERACTIVE: 16.0,
    config.Priority.SUBMISSION: 4.0,
    config.Priority.BULK: 1.0,
}
_SMOOTHING = 0.1
_WAIT_SHARE = 0.5
"""Share of its remaining time that a request may spend waiting; the rest is
for the run. Whoever is refused has time left to try elsewhere."""
_CREDIT = 4.0
"""Mean requests that a member may be ahead of its share. Within that, whoever
came first goes first: strict turns would make equal members wait for chance
differences among them. An idle member keeps as much credit."""
_SHED_SECONDS = 0.5
_MAX_IDLE_LANES = 256


class Ticket:
    """One request at the queue.

    Attributes:
        member: The calling member.
        priority: Class of the request.
        share: The member's weight.
        latest: Time by which it must have started.
        queued_at: Time at which it began to wait.
    """

    __slots__ = (
        "_estimate",
        "_lane",
        "_started_at",
        "latest",
        "member",
        "priority",
        "queued_at",
        "share",
    )

    def __init__(
        self,
        member: str,
        priority: config.Priority,
        share: float = 1.0,
        latest: float = math.inf,
    ) -> None:
        self.member = member
        self.priority = priority
        self.share = share
        self.latest = latest
        self.queued_at = 0.0
        self._lane: _Lane | None = None
        self._estimate = 0.0
        self._started_at: float | None = None

    @property
    def running(self) -> bool:
        """Whether it holds a slot."""
        return self._started_at is not None

    def begin(self, lane: "_Lane", estimate: float, now: float) -> None:
        """Takes a slot and charges the lane."""
        self._lane = lane
        self._estimate = estimate
        self._started_at = now
        lane.tag += estimate / self.share

    def end(self, now: float) -> float:
        """Gives the slot back; returns the seconds it was held."""
        assert self._started_at is not None and self._lane is not None
        held = now - self._started_at
        self._started_at = None
        self._lane.tag += (held - self._estimate) / self.share
        return held


class _Lane:
    """One member's requests of one class."""

    __slots__ = ("share", "tag", "waiting")

    def __init__(self) -> None:
        self.waiting: collections.deque[Ticket] = collections.deque()
        self.share = 1.0
        self.tag = 0.0


class _Class:
    """All members' requests of one class at one target."""

    __slots__ = ("clock", "lanes", "mean", "running", "tag", "waiting")

    def __init__(self) -> None:
        self.lanes: dict[str, _Lane] = {}
        self.clock = 0.0
        self.tag = 0.0
        self.waiting = 0
        self.running = 0
        self.mean = 0.0

    def lane(self, member: str) -> _Lane:
        """Returns a member's lane; an idle one saves up little credit."""
        lane = self.lanes.get(member)
        if lane is None:
            if len(self.lanes) >= _MAX_IDLE_LANES:
                self._drop_idle()
            lane = self.lanes[member] = _Lane()
        if not lane.waiting:
            lane.tag = max(lane.tag, self.clock - _CREDIT * self.mean)
        return lane

    def first(self) -> _Lane:
        """Returns the lane whose turn it is; some request must wait."""
        waiting = [lane for lane in self.lanes.values() if lane.waiting]
        earliest = min(lane.tag for lane in waiting)
        latest = earliest + _CREDIT * self.mean
        # The credit may be lost in rounding; the earliest lane always counts.
        return min(
            (e for e in waiting if e.tag < latest or e.tag == earliest),
            key=lambda lane: (lane.waiting[0].queued_at, lane.tag),
        )

    def longest(self) -> _Lane:
        """Returns the lane that is longest for its share."""
        return max(self.lanes.values(), key=lambda e: len(e.waiting) / e.share)

    def turns_before(self, lane: _Lane, share: float) -> float:
        """Returns how many starts come before a new request of a lane."""
        rivals = sum(
            other.share
            for other in self.lanes.values()
            if other.waiting and other is not lane
        )
        fair = (len(lane.waiting) + 1) * (rivals + share) / share - 1
        return min(fair, self.waiting)

    def learn(self, held: float) -> None:
        """Takes a measured time into the mean."""
        weight = _SMOOTHING if self.mean else 1.0
        self.mean += (held - self.mean) * weight

    def _drop_idle(self) -> None:
        self.lanes = {
            member: lane
            for member, lane in self.lanes.items()
            if lane.waiting or lane.tag > self.clock
        }


class Started(msgspec.Struct, frozen=True):
    """A waiting request has got its slot."""

    ticket: Ticket


class Refused(msgspec.Struct, frozen=True):
    """A waiting request has left the queue without a slot; it did not run."""

    ticket: Ticket
    failure: errors.Failure


Action = Started | Refused


class TargetQueue:
    """Slots of one target and the requests that wait for them.

    The keeper is the only VM that sends to its target, so the count is exact.
    """

    __slots__ = (
        "_classes",
        "_clock",
        "_limit",
        "_policy",
        "_raise_at",
        "_running",
        "_slots",
        "_waiting",
    )

    def __init__(self, slots: int, policy: config.Queue) -> None:
        """Makes an idle queue.

        Args:
            slots: Requests that the target runs at a time.
            policy: Settings of the service's queues.
        """
        self._classes = {priority: _Class() for priority in config.Priority}
        self._clock = 0.0
        self._slots = slots
        self._limit = slots
        self._policy = policy
        self._raise_at = 0.0
        self._running = 0
        self._waiting = 0

    @property
    def running(self) -> int:
        """Slots that are held."""
        return self._running

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return self._waiting

    @property
    def limit(self) -> int:
        """Slots in use at most; fewer than the target's after it shed load."""
        return self._limit

    def configure(self, slots: int, policy: config.Queue) -> None:
        """Takes new settings; running requests keep their slots."""
        self._policy = policy
        if slots != self._slots:
            self._slots = self._limit = slots

    def offer(
        self, ticket: Ticket, deadline: float, now: float
    ) -> errors.Failure | None | list[Action]:
        """Takes in a request.

        Args:
            ticket: The request; it is running afterwards if a slot was free.
            deadline: Time at which the caller gives up.
            now: The time.

        Returns:
            A failure if it is refused at once, None if it runs; otherwise it
            waits, and the list holds what happened to others.
        """
        self._recover(now)
        group = self._classes[ticket.priority]
        if not group.waiting and self._has_slot(ticket.priority):
            self._start(ticket, group, group.lane(ticket.member), now)
            return None
        lane = group.lane(ticket.member)
        wait = self._expected_wait(ticket, group, lane)
        allowed = min(self._policy.wait, (deadline - now) * _WAIT_SHARE)
        if wait > allowed:
            return _overloaded(wait)
        ticket.latest = now + allowed
        ticket.queued_at = now
        return self._enqueue(ticket, group, lane, now)

    def leave(self, ticket: Ticket, now: float) -> list[Action]:
        """Takes a request out, whether it waits, runs or has left already."""
        group = self._classes[ticket.priority]
        if ticket.running:
            group.running -= 1
            self._running -= 1
            group.learn(ticket.end(now))
        else:
            self._forget(ticket, group)
        self._recover(now)
        return self._dispatch(now)

    def shed(self, now: float) -> None:
        """Heeds a target that refused a request because it is overloaded."""
        self._limit = max(1, min(self._limit, self.running) - 1)
        self._raise_at = now + _SHED_SECONDS

    def _recover(self, now: float) -> None:
        if self._limit < self._slots and now >= self._raise_at:
            self._limit += 1
            self._raise_at = now + _SHED_SECONDS

    def _has_slot(self, priority: config.Priority) -> bool:
        if self._running >= self._limit:
            return False
        if priority is not config.Priority.BULK:
            return True
        # A download holds its slot for long. If downloads could hold all of
        # them, the desk would wait for the end of one.
        allowed = self._policy.bulk_slots or max(1, self._slots // 2)
        return self._classes[priority].running < allowed

    def _start(
        self, ticket: Ticket, group: _Class, lane: _Lane, now: float
    ) -> None:
        estimate = group.mean
        if not group.waiting:
            group.tag = max(group.tag, self._clock)
        group.tag += estimate / _WEIGHTS[ticket.priority]
        group.clock = max(group.clock, lane.tag)
        group.running += 1
        self._running += 1
        ticket.begin(lane, estimate, now)

    def _enqueue(
        self, ticket: Ticket, group: _Class, lane: _Lane, now: float
    ) -> list[Action]:
        if not group.waiting:
            group.tag = max(group.tag, self._clock)
        lane.share = ticket.share
        lane.waiting.append(ticket)
        group.waiting += 1
        self._waiting += 1
        actions = self._dispatch(now)
        if self.waiting > self._policy.length:
            actions.append(self._push_out(group))
        return actions

    def _push_out(self, group: _Class) -> Refused:
        # The queue is full. Refusing whoever comes next would let one
        # member's surge keep all others out; the longest lane gives way.
        victim = group.longest().waiting.pop()
        group.waiting -= 1
        self._waiting -= 1
        wait = group.mean * group.waiting / self._limit
        return Refused(victim, _overloaded(wait))

    def _forget(self, ticket: Ticket, group: _Class) -> None:
        lane = group.lanes.get(ticket.member)
        if lane is not None and ticket in lane.waiting:
            lane.waiting.remove(ticket)
            group.waiting -= 1
            self._waiting -= 1

    def _dispatch(self, now: float) -> list[Action]:
        actions: list[Action] = []
        while self._waiting and self._running < self._limit:
            ready = [
                priority
                for priority, group in self._classes.items()
                if group.waiting and self._has_slot(priority)
            ]
            if not ready:
                break
            chosen = min(ready, key=lambda p: self._classes[p].tag)
            actions.append(self._next_of(self._classes[chosen], now))
        return actions

    def _next_of(self, group: _Class, now: float) -> Action:
        lane = group.first()
        ticket = lane.waiting.popleft()
        group.waiting -= 1
        self._waiting -= 1
        if ticket.latest <= now:
            return Refused(
                ticket, errors.Failure(errors.ErrorKind.QUEUE_TIMEOUT)
            )
        self._clock = max(self._clock, group.tag)
        self._start(ticket, group, lane, now)
        return Started(ticket)

    def _expected_wait(
        self, ticket: Ticket, group: _Class, lane: _Lane
    ) -> float:
        busy = sum(
            _WEIGHTS[priority]
            for priority, other in self._classes.items()
            if other.waiting or priority is ticket.priority
        )
        part = _WEIGHTS[ticket.priority] / busy
        turns = group.turns_before(lane, ticket.share)
        return turns * group.mean / (self._limit * part)


def _overloaded(wait: float) -> errors.Failure:
    seconds = max(1, math.ceil(wait))
    return errors.Failure(
        errors.ErrorKind.OVERLOADED, retry_after=min(seconds, 60)
    )
