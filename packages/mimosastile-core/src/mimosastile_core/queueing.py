"""Fair queue of a target's slots at its keeper, by class and member.

A target's keeper is the entry VM through which alone the target gets requests
and grants. The queue uses start-time fair queueing on two levels. Classes
share the slots by fixed weights, so bulk requests are slow under load but
never starved. Within a class, members share the slots by their configured
shares. A request's cost is the time for which it holds a slot: its lane is
charged an estimate at the start and the difference at the end. A member
therefore gains nothing by sending fewer but longer requests.
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
_MEAN_SMOOTHING = 0.1
_MAX_WAIT_FRACTION = 0.5
"""Maximum fraction of a request's remaining time that it may wait; the rest is
for the run. A caller that is refused has time left to try elsewhere."""
_CREDIT_REQUESTS = 4.0
"""Number of mean-length requests by which a member may exceed its share.
Within this credit, requests start in order of arrival: strict fair queueing
would make equal members wait for random differences among them. An idle member
keeps the same credit."""
_LIMIT_RAISE_SECONDS = 0.5
_MAX_IDLE_LANES = 256


class Ticket:
    """One request of the queue.

    Attributes:
        member: The calling member.
        priority: Class of the request.
        share: The member's weight.
        latest: Time by which it must have started.
        queued_at: Time at which it joined the queue.
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
        """Records the start and charges the lane the estimated seconds."""
        self._lane = lane
        self._estimate = estimate
        self._started_at = now
        lane.tag += estimate / self.share

    def end(self, now: float) -> float:
        """Releases the slot; returns the seconds for which it was held."""
        assert self._started_at is not None and self._lane is not None
        held = now - self._started_at
        self._started_at = None
        self._lane.tag += (held - self._estimate) / self.share
        return held


class _Lane:
    """One member's waiting requests of one class."""

    __slots__ = ("share", "tag", "waiting")

    def __init__(self) -> None:
        self.waiting: collections.deque[Ticket] = collections.deque()
        self.share = 1.0
        self.tag = 0.0


class _PriorityClass:
    """All members' requests of one priority class at one target."""

    __slots__ = ("clock", "lanes", "mean", "running", "tag", "waiting")

    def __init__(self) -> None:
        self.lanes: dict[str, _Lane] = {}
        self.clock = 0.0
        self.tag = 0.0
        self.waiting = 0
        self.running = 0
        self.mean = 0.0

    def lane(self, member: str) -> _Lane:
        """Returns a member's lane; the credit of an idle one is bounded."""
        lane = self.lanes.get(member)
        if lane is None:
            if len(self.lanes) >= _MAX_IDLE_LANES:
                self._drop_idle()
            lane = self.lanes[member] = _Lane()
        if not lane.waiting:
            lane.tag = max(lane.tag, self.clock - _CREDIT_REQUESTS * self.mean)
        return lane

    def next_lane(self) -> _Lane:
        """Returns the lane to serve next; at least one request must wait."""
        waiting = [lane for lane in self.lanes.values() if lane.waiting]
        earliest = min(lane.tag for lane in waiting)
        latest = earliest + _CREDIT_REQUESTS * self.mean
        # Rounding may lose the credit; the earliest lane is always eligible.
        return min(
            (e for e in waiting if e.tag < latest or e.tag == earliest),
            key=lambda lane: (lane.waiting[0].queued_at, lane.tag),
        )

    def longest_lane(self) -> _Lane:
        """Returns the lane with the most waiting requests per share."""
        return max(self.lanes.values(), key=lambda e: len(e.waiting) / e.share)

    def starts_before(self, lane: _Lane, share: float) -> float:
        """Returns the expected number of starts before a lane's new request."""
        rivals = sum(
            other.share
            for other in self.lanes.values()
            if other.waiting and other is not lane
        )
        fair = (len(lane.waiting) + 1) * (rivals + share) / share - 1
        return min(fair, self.waiting)

    def update_mean(self, held: float) -> None:
        """Updates the mean holding time with a measured one, in seconds."""
        weight = _MEAN_SMOOTHING if self.mean else 1.0
        self.mean += (held - self.mean) * weight

    def _drop_idle(self) -> None:
        self.lanes = {
            member: lane
            for member, lane in self.lanes.items()
            if lane.waiting or lane.tag > self.clock
        }


class Started(msgspec.Struct, frozen=True):
    """A waiting request has started and holds a slot."""

    ticket: Ticket


class Refused(msgspec.Struct, frozen=True):
    """A waiting request was removed from the queue and did not run."""

    ticket: Ticket
    failure: errors.Failure


Action = Started | Refused


class TargetQueue:
    """Concurrency limit of one target and the queue of waiting requests.

    Only the keeper sends requests to its target, so the count is exact.
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
        """Initializes an empty queue.

        Args:
            slots: Number of requests that the target runs concurrently.
            policy: Settings of the service's queues.
        """
        self._classes = {
            priority: _PriorityClass() for priority in config.Priority
        }
        self._clock = 0.0
        self._slots = slots
        self._limit = slots
        self._policy = policy
        self._raise_at = 0.0
        self._running = 0
        self._waiting = 0

    @property
    def running(self) -> int:
        """Number of slots in use."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self._waiting

    @property
    def limit(self) -> int:
        """Current concurrency limit; reduced after the target sheds load."""
        return self._limit

    def configure(self, slots: int, policy: config.Queue) -> None:
        """Applies new settings; running requests keep their slots."""
        self._policy = policy
        if slots != self._slots:
            self._slots = self._limit = slots

    def offer(
        self, ticket: Ticket, deadline: float, now: float
    ) -> errors.Failure | None | list[Action]:
        """Admits, queues or refuses a request.

        Args:
            ticket: The request; it is running afterwards if a slot was free.
            deadline: Time at which the caller gives up.
            now: Current time in seconds.

        Returns:
            A failure if the request is refused immediately, None if it runs.
            Otherwise it was queued, and the list contains the actions for
            queued requests.
        """
        self._raise_limit(now)
        group = self._classes[ticket.priority]
        if not group.waiting and self._has_slot(ticket.priority):
            self._start(ticket, group, group.lane(ticket.member), now)
            return None
        lane = group.lane(ticket.member)
        wait = self._expected_wait(ticket, group, lane)
        allowed = min(self._policy.wait, (deadline - now) * _MAX_WAIT_FRACTION)
        if wait > allowed:
            return _overloaded(wait)
        ticket.latest = now + allowed
        ticket.queued_at = now
        return self._enqueue(ticket, group, lane, now)

    def leave(self, ticket: Ticket, now: float) -> list[Action]:
        """Removes a request, whether it waits, runs or was removed before."""
        group = self._classes[ticket.priority]
        if ticket.running:
            group.running -= 1
            self._running -= 1
            group.update_mean(ticket.end(now))
        else:
            self._remove_waiting(ticket, group)
        self._raise_limit(now)
        return self._dispatch(now)

    def shed(self, now: float) -> None:
        """Lowers the limit after the target refused a request as overloaded."""
        self._limit = max(1, min(self._limit, self.running) - 1)
        self._raise_at = now + _LIMIT_RAISE_SECONDS

    def _raise_limit(self, now: float) -> None:
        if self._limit < self._slots and now >= self._raise_at:
            self._limit += 1
            self._raise_at = now + _LIMIT_RAISE_SECONDS

    def _has_slot(self, priority: config.Priority) -> bool:
        if self._running >= self._limit:
            return False
        if priority is not config.Priority.BULK:
            return True
        # A download holds its slot for a long time. If downloads could use all
        # slots, interactive requests would wait until one of them ends.
        allowed = self._policy.bulk_slots or max(1, self._slots // 2)
        return self._classes[priority].running < allowed

    def _start(
        self, ticket: Ticket, group: _PriorityClass, lane: _Lane, now: float
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
        self, ticket: Ticket, group: _PriorityClass, lane: _Lane, now: float
    ) -> list[Action]:
        if not group.waiting:
            group.tag = max(group.tag, self._clock)
        lane.share = ticket.share
        lane.waiting.append(ticket)
        group.waiting += 1
        self._waiting += 1
        actions = self._dispatch(now)
        if self.waiting > self._policy.length:
            actions.append(self._evict(group))
        return actions

    def _evict(self, group: _PriorityClass) -> Refused:
        # The queue is full. If new requests were refused, one member's surge
        # would block all others; therefore the longest lane loses a request.
        evicted = group.longest_lane().waiting.pop()
        group.waiting -= 1
        self._waiting -= 1
        wait = group.mean * group.waiting / self._limit
        return Refused(evicted, _overloaded(wait))

    def _remove_waiting(self, ticket: Ticket, group: _PriorityClass) -> None:
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
            actions.append(self._start_next(self._classes[chosen], now))
        return actions

    def _start_next(self, group: _PriorityClass, now: float) -> Action:
        lane = group.next_lane()
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
        self, ticket: Ticket, group: _PriorityClass, lane: _Lane
    ) -> float:
        busy = sum(
            _WEIGHTS[priority]
            for priority, other in self._classes.items()
            if other.waiting or priority is ticket.priority
        )
        class_share = _WEIGHTS[ticket.priority] / busy
        starts = group.starts_before(lane, ticket.share)
        return starts * group.mean / (self._limit * class_share)


def _overloaded(wait: float) -> errors.Failure:
    seconds = max(1, math.ceil(wait))
    return errors.Failure(
        errors.ErrorKind.OVERLOADED, retry_after=min(seconds, 60)
    )
