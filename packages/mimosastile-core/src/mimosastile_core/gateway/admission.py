"""Admission control for a contended target: one exact wait queue of all VMs.

Dividing a target's capacity among VMs does not scale with their number. Ten
permits for a hundred VMs are a tenth of a permit each, and a VM that sends only
now and then has none when a request comes. Therefore one VM, the target's
admission gate, admits the requests of all VMs: it has the record of every
permit in use and of every waiting request.

The queue handles three load patterns:

* A burst that the target can absorb: every request is admitted within the wait
  that its deadline allows.
* One key that for a long time gets more requests than its owner can answer:
  permits go to requests that can still be on time. The others are refused at
  once with a time to retry after, since queueing them until they are late would
  make all responses late.
* A target that has become slow: the rate at which permits are returned shows
  it, and fewer requests are kept waiting.
"""

from collections.abc import Iterator
import enum
import math

import msgspec

from mimosastile_core.gateway import limits

_SMOOTHING_WEIGHT = 0.1
"""Weight of one request in means: a mean follows a change within about ten
requests."""
_SAMPLE_BOUNDS = (0.2, 5.0)
"""Bounds on one request's sample, as multiples of the current mean."""
_LATE_MARGIN_SHARE = 0.3
"""Margin, as a share of the mean, by which a request may take longer and still
be on time. Without it, a request that is admitted at the last moment is late
half of the time, and takes the permit of one that would be on time."""
_MIN_TIME_LEFT_FACTOR = 1.2
"""A request is worth starting if this multiple of its mean service time is left
before its deadline. With less, the deadline cuts off most of the requests that
start at the last moment."""
_LOST_FACTOR = 3.0
_LOST_EXTRA_SECONDS = 0.5
"""A permit is reclaimed after `_LOST_FACTOR` times the usual service time plus
these seconds: its VM may have failed."""
_REFUSAL_TOLERANCE = 1.3
"""A waiting request is refused when its expected start exceeds the time left by
this factor. The estimate fluctuates."""
_MAX_WAITING = 256
"""Bounds the memory for one target."""
_RATE_WINDOW_SECONDS = 1.0
"""Time constant of the rate of admitted requests that can be on time."""
_ON_TIME_PRECEDENCE = 0.8
"""Share of that rate that is assumed to go before a late request. It is below 1
since the rate is measured over only a few dozen requests."""
_MIN_LATE_SHARE = 0.05
"""Least share of a target's rate that late requests are assumed to get."""


class PermitRequest(msgspec.Struct, frozen=True):
    """A request that needs a permit for a target.

    Attributes:
        vm: The VM that holds the request.
        number: Unique among that VM's requests.
        priority: Its rank; 0 is the most urgent.
        on_time: Seconds within which its response is on time.
        left: Seconds until its deadline.
        work: Mean service time, in seconds, of such requests at all targets.
        held: Number of requests that its VM has at the target without a permit.
    """

    vm: str
    number: int
    priority: int
    on_time: float
    left: float
    work: float
    held: int = 0

    @property
    def id(self) -> tuple[str, int]:
        """Unique among the requests of all VMs."""
        return self.vm, self.number


class Verdict(enum.Enum):
    """The outcome of an admission decision."""

    ADMITTED = "admitted"
    WAITS = "waits"
    REFUSED = "refused"


class Decision(msgspec.Struct, frozen=True):
    """An admission decision on one request.

    Attributes:
        request: The request.
        verdict: The outcome.
        seconds: Expected time until it is admitted.
        found: If admitted, number of requests at the target, this one included;
            0 if unknown. It shows how long the request is going to wait there.
    """

    request: PermitRequest
    verdict: Verdict
    seconds: float = 0.0
    found: int = 0


class Refusal(msgspec.Struct, frozen=True):
    """A request that cannot be admitted in time.

    Attributes:
        seconds: Time until a request can be expected to be admitted.
    """

    seconds: float


class _Permit:
    """A permit of an admitted request.

    Attributes:
        work: Mean service time, in seconds, of such requests.
        admitted_at: When the request was admitted.
        expires_at: When the permit is reclaimed if it is not returned.
        busy: Number of requests at the target then, this one included.
    """

    __slots__ = ("admitted_at", "busy", "expires_at", "work")

    def __init__(
        self, work: float, admitted_at: float, expires_at: float, busy: int
    ) -> None:
        self.work = work
        self.admitted_at = admitted_at
        self.expires_at = expires_at
        self.busy = busy


class _Waiting:
    """A waiting request."""

    __slots__ = ("arrived", "number", "request")

    def __init__(self, request: PermitRequest, number: int, now: float) -> None:
        self.request = request
        self.number = number
        self.arrived = now


class AdmissionQueue:
    """Permits of one target, and the requests that wait for one.

    Attributes:
        limiter: Rate limiter for the limit that the target has set; None
            without such a limit.
    """

    __slots__ = (
        "_held",
        "_mean_work",
        "_next_number",
        "_on_time_count",
        "_on_time_count_at",
        "_permits",
        "_slots",
        "_target_queue",
        "_waiting",
        "_work_factor",
        "limiter",
    )

    def __init__(self, slots: int, target_queue: int) -> None:
        """Makes a queue with all permits free.

        Args:
            slots: Number of requests that the target runs at a time.
            target_queue: Number of requests that may wait at the target itself.
                They keep its slots busy while a returned permit is on its way
                to the next request.
        """
        self._slots = slots
        self._target_queue = target_queue
        self._mean_work = 0.0
        self._work_factor = 1.0
        self._permits: dict[tuple[str, int], _Permit] = {}
        self._held: dict[str, tuple[int, float]] = {}
        self._waiting: list[_Waiting] = []
        self._next_number = 0
        self._on_time_count = 0.0
        self._on_time_count_at = 0.0
        self.limiter: limits.RateLimiter | None = None

    @property
    def idle(self) -> bool:
        """Whether no request is in progress or waiting."""
        return not self._permits and not self._waiting

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    def busy(self, now: float) -> int:
        """Returns the number of requests at the target."""
        held = sum(count for count, until in self._held.values() if now < until)
        return len(self._permits) + held

    def decide(self, request: PermitRequest, now: float) -> Decision:
        """Decides on a request; a repeated one keeps its position."""
        if request.id in self._permits:
            return Decision(request, Verdict.ADMITTED)
        if any(w.request.id == request.id for w in self._waiting):
            return Decision(request, Verdict.WAITS)
        self._mean_work = self._mean_work or request.work
        self._mean_work += (request.work - self._mean_work) * _SMOOTHING_WEIGHT
        self._held[request.vm] = (request.held, now + request.work)
        self._reclaim_lost(now)
        entry = _Waiting(request, self._next_number, now)
        self._next_number += 1
        position = self._position(entry, now)
        ahead = sum(self._position(w, now) < position for w in self._waiting)
        if not ahead and self._free(now):
            return self._admit(entry, now)
        late = self._is_late(entry, now, ahead)
        wait = self._expected_wait(ahead, now, late=late)
        full = len(self._waiting) >= _MAX_WAITING
        if wait > self._time_to_start(entry, now) or full:
            return Decision(request, Verdict.REFUSED, wait)
        self._waiting.append(entry)
        return Decision(request, Verdict.WAITS, wait)

    def finish(
        self, vm: str, number: int, now: float, *, answered: bool = True
    ) -> list[Decision]:
        """Ends an admitted or waiting request; returns the resulting decisions.

        Args:
            vm: The VM that holds the request.
            number: Unique among that VM's requests.
            now: The time.
            answered: Whether it was answered. Counting a rejection or a failed
                connection as a response would make the target seem fast.
        """
        permit = self._permits.pop((vm, number), None)
        if permit is not None and answered:
            self._update_factor(permit, now)
        if permit is None:
            self._waiting = [
                w for w in self._waiting if w.request.id != (vm, number)
            ]
        return self.decide_waiting(now)

    def decide_waiting(self, now: float) -> list[Decision]:
        """Decides on waiting requests: which to admit and which to refuse."""
        self._reclaim_lost(now)
        return [*self._admitted(now), *self._refused(now)]

    def _admitted(self, now: float) -> Iterator[Decision]:
        while self._waiting and self._free(now):
            first = min(self._waiting, key=lambda w: self._position(w, now))
            self._waiting.remove(first)
            if self._time_to_start(first, now) < 0:
                yield Decision(first.request, Verdict.REFUSED, self._interval)
            else:
                yield self._admit(first, now)

    def _refused(self, now: float) -> Iterator[Decision]:
        """Yields refusals of requests that will not get a permit in time."""
        self._waiting.sort(key=lambda w: self._position(w, now))
        kept: list[_Waiting] = []
        for entry in self._waiting:
            late = self._is_late(entry, now, len(kept))
            wait = self._expected_wait(len(kept), now, late=late)
            if wait > self._time_to_start(entry, now) * _REFUSAL_TOLERANCE:
                yield Decision(entry.request, Verdict.REFUSED, wait)
            else:
                kept.append(entry)
        self._waiting = kept

    def _admit(self, entry: _Waiting, now: float) -> Decision:
        if not self._is_late(entry, now, 0):
            self._count_on_time(now)
        busy = self.busy(now) + 1
        expected = (
            self._work_factor
            * entry.request.work
            * max(busy / self._slots, 1.0)
        )
        expires_at = now + _LOST_EXTRA_SECONDS + _LOST_FACTOR * expected
        if self.limiter is not None:
            self.limiter.take(now)
        self._permits[entry.request.id] = _Permit(
            entry.request.work, now, expires_at, busy
        )
        return Decision(entry.request, Verdict.ADMITTED, found=busy)

    def _free(self, now: float) -> bool:
        if self.limiter is not None and self.limiter.wait(now) > 0:
            return False
        return self.busy(now) < self._slots + self._target_queue

    @property
    def _interval(self) -> float:
        """Expected seconds between two returned permits."""
        return self._work_factor * self._mean_work / self._slots

    def _expected_wait(self, ahead: int, now: float, *, late: bool) -> float:
        """Returns the expected wait of a request behind others."""
        wait = (ahead + 1 + self._target_queue) * self._interval
        if late:
            # Requests that can be on time go first, including future ones.
            taken = self._on_time_rate(now) * self._interval
            wait /= max(1 - _ON_TIME_PRECEDENCE * taken, _MIN_LATE_SHARE)
        return max(wait, self._limiter_wait(ahead, now))

    def _limiter_wait(self, ahead: int, now: float) -> float:
        """Returns the wait that the target's rate limit imposes."""
        if self.limiter is None:
            return 0.0
        return self.limiter.wait(now) + ahead / self.limiter.rate

    def _time_to_start(self, entry: _Waiting, now: float) -> float:
        """Returns the seconds for which starting the request is worthwhile."""
        needed = self._work_factor * entry.request.work * _MIN_TIME_LEFT_FACTOR
        return entry.request.left - (now - entry.arrived) - needed

    def _is_late(self, entry: _Waiting, now: float, ahead: int) -> bool:
        """Whether the response would be late behind `ahead` requests."""
        work = self._work_factor * entry.request.work * (1 + _LATE_MARGIN_SHARE)
        left = entry.request.on_time - (now - entry.arrived) - work
        wait = (ahead + self._target_queue) * self._interval
        return max(wait, self._limiter_wait(ahead, now)) > left

    def _position(self, entry: _Waiting, now: float) -> tuple[bool, int, int]:
        late = self._is_late(entry, now, 0)
        return late, entry.request.priority, entry.number

    def _update_factor(self, permit: _Permit, now: float) -> None:
        """Updates the mean service time at the target, without queueing."""
        service_time = (now - permit.admitted_at) / max(
            permit.busy / self._slots, 1.0
        )
        low, high = _SAMPLE_BOUNDS
        ratio = service_time / max(permit.work, 1e-3)
        ratio = min(
            max(ratio, low * self._work_factor), high * self._work_factor
        )
        self._work_factor += (ratio - self._work_factor) * _SMOOTHING_WEIGHT

    def _on_time_rate(self, now: float) -> float:
        """Returns the on-time admissions per second."""
        decay = math.exp(-(now - self._on_time_count_at) / _RATE_WINDOW_SECONDS)
        return self._on_time_count * decay / _RATE_WINDOW_SECONDS

    def _count_on_time(self, now: float) -> None:
        decay = math.exp(-(now - self._on_time_count_at) / _RATE_WINDOW_SECONDS)
        self._on_time_count = self._on_time_count * decay + 1
        self._on_time_count_at = now

    def _reclaim_lost(self, now: float) -> None:
        lost = [
            request_id
            for request_id, p in self._permits.items()
            if now > p.expires_at
        ]
        for request_id in lost:
            del self._permits[request_id]
        expired = [vm for vm, (_, until) in self._held.items() if now > until]
        for vm in expired:
            del self._held[vm]
