"""One exact queue for a target that more requests want than it can run.

Dealing a target's room out among VMs fails with their number: ten places for a
hundred VMs are a tenth of one each, and a VM whose requests come now and then
has none when one comes. So one VM, the target's gate, admits the requests of
all: it knows every place in use, and who waits.

Answers three patterns of load. A burst that the target can absorb: everyone is
admitted within the wait that their deadlines allow. One key that gets more than
its owner can answer, for long: places go to requests that can still be on time,
and the rest hears at once when to come back, since requests that wait until
they are late would make all answers late. And a target that has turned slow:
the rate at which places are given back shows it, and fewer are kept waiting.
"""

from collections.abc import Iterator
import enum
import math

import msgspec

from mimosastile_core.gateway import limits

_SMOOTHING = 0.1
"""Weight of one request in means: some ten requests to follow a change."""
_RATIO_BOUNDS = (0.2, 5.0)
"""Bounds on one request's part in the mean, as shares of it."""
_SPREAD = 0.3
"""How much longer than the mean, as a share of it, a request may take and
still be on time: one that is admitted at the last moment is late half of the
time, and takes the place of one that is not."""
_LEAST_WORK = 1.2
"""How much of a request's mean work must fit before its deadline. With less,
most of those that are begun at the last moment are cut off by it."""
_LOST_FACTOR = 3.0
_LOST_LEAST = 0.5
"""When a place counts as given back without a word: after this many times what
a request usually takes, and seconds besides. Its VM may be lost."""
_TOLERANCE = 1.3
"""How much later than reckoned a waiting request must be before it is refused
after all: the estimate follows chance."""
_MOST_WAITING = 256
"""Bounds the memory for one target."""
_RATE_SECONDS = 1.0
"""Time over which admitted requests that can be on time are counted."""
_PUNCTUAL_SHARE = 0.8
"""Part of that rate which is reckoned to go before a request that will be late.
Less than all: the rate is counted over a few dozen requests only."""
_LATE_ROOM = 0.05
"""Least part of a target's rate that requests which will be late are reckoned
to get."""


class PermitRequest(msgspec.Struct, frozen=True):
    """A request that wants a place at a target.

    Attributes:
        vm: Names the VM that has it.
        number: Tells that VM's requests apart.
        priority: Its rank; 0 is the most urgent.
        on_time: Seconds within which its answer is on time.
        left: Seconds until its deadline.
        work: Seconds that such requests run for on average at all targets.
        held: Requests that its VM has at the target without a place.
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
        """Tells all requests apart."""
        return self.vm, self.number


class Verdict(enum.Enum):
    """What becomes of a request."""

    ADMITTED = "admitted"
    WAITS = "waits"
    REFUSED = "refused"


class Decision(msgspec.Struct, frozen=True):
    """A verdict on one request.

    Attributes:
        ask: The request.
        verdict: What becomes of it.
        seconds: Time until it can be expected to be admitted.
    """

    ask: PermitRequest
    verdict: Verdict
    seconds: float = 0.0


class Refusal(msgspec.Struct, frozen=True):
    """There is no place for a request in time.

    Attributes:
        seconds: Time until it could be expected to be admitted.
    """

    seconds: float


class _Permit:
    """A request that was admitted."""

    __slots__ = ("at", "busy", "until", "work")

    def __init__(self, work: float, at: float, until: float, busy: int) -> None:
        self.work = work
        self.at = at
        self.until = until
        self.busy = busy


class _Waiting:
    """A request that waits."""

    __slots__ = ("arrived", "ask", "number")

    def __init__(self, ask: PermitRequest, number: int, now: float) -> None:
        self.ask = ask
        self.number = number
        self.arrived = now


class AdmissionQueue:
    """Places of one target, and who waits for one.

    Attributes:
        pace: When another request may be admitted, None if the target has
            named no limit.
    """

    __slots__ = (
        "_beyond",
        "_factor",
        "_held",
        "_numbers",
        "_places",
        "_punctual",
        "_punctual_at",
        "_slots",
        "_waiting",
        "_work",
        "pace",
    )

    def __init__(self, slots: int, beyond: int) -> None:
        """Makes one with all places free.

        Args:
            slots: Requests that the target runs at a time.
            beyond: Requests that may wait at the target itself, so that none
                of its slots is idle while news of a free place are on their
                way.
        """
        self._slots = slots
        self._beyond = beyond
        self._work = 0.0
        self._factor = 1.0
        self._places: dict[tuple[str, int], _Permit] = {}
        self._held: dict[str, tuple[int, float]] = {}
        self._waiting: list[_Waiting] = []
        self._numbers = 0
        self._punctual = 0.0
        self._punctual_at = 0.0
        self.pace: limits.RateLimiter | None = None

    @property
    def idle(self) -> bool:
        """Whether nothing is under way or waits."""
        return not self._places and not self._waiting

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    def busy(self, now: float) -> int:
        """Returns the requests at the target."""
        held = sum(count for count, until in self._held.values() if now < until)
        return len(self._places) + held

    def ask(self, ask: PermitRequest, now: float) -> Decision:
        """Decides on a request; one that asks again keeps its turn."""
        if ask.id in self._places:
            return Decision(ask, Verdict.ADMITTED)
        if any(w.ask.id == ask.id for w in self._waiting):
            return Decision(ask, Verdict.WAITS)
        self._work = self._work or ask.work
        self._work += (ask.work - self._work) * _SMOOTHING
        self._held[ask.vm] = (ask.held, now + ask.work)
        self._forget_lost(now)
        entry = _Waiting(ask, self._numbers, now)
        self._numbers += 1
        order = self._order(entry, now)
        ahead = sum(self._order(w, now) < order for w in self._waiting)
        if not ahead and self._free(now):
            return self._admit(entry, now)
        late = self._is_late(entry, now, ahead)
        start = self._start_seconds(ahead, now, late=late)
        full = len(self._waiting) >= _MOST_WAITING
        if start > self._start_left(entry, now) or full:
            return Decision(ask, Verdict.REFUSED, start)
        self._waiting.append(entry)
        return Decision(ask, Verdict.WAITS, start)

    def done(
        self, vm: str, number: int, now: float, *, answered: bool = True
    ) -> list[Decision]:
        """Ends a request that ran or waited; returns what that decides.

        Args:
            vm: Names the VM that has it.
            number: Tells that VM's requests apart.
            now: The time.
            answered: Whether it was answered. A target that rejects requests,
                or takes no connection, would seem fast.
        """
        place = self._places.pop((vm, number), None)
        if place is not None and answered:
            self._note_run(place, now)
        if place is None:
            self._waiting = [
                w for w in self._waiting if w.ask.id != (vm, number)
            ]
        return self.turn(now)

    def turn(self, now: float) -> list[Decision]:
        """Decides on those that wait: who is admitted, and who is refused."""
        self._forget_lost(now)
        return [*self._admitted(now), *self._refused(now)]

    def _admitted(self, now: float) -> Iterator[Decision]:
        while self._waiting and self._free(now):
            first = min(self._waiting, key=lambda w: self._order(w, now))
            self._waiting.remove(first)
            if self._start_left(first, now) < 0:
                yield Decision(first.ask, Verdict.REFUSED, self._interval)
            else:
                yield self._admit(first, now)

    def _refused(self, now: float) -> Iterator[Decision]:
        """Yields those that will get no place in time."""
        self._waiting.sort(key=lambda w: self._order(w, now))
        kept: list[_Waiting] = []
        for entry in self._waiting:
            late = self._is_late(entry, now, len(kept))
            start = self._start_seconds(len(kept), now, late=late)
            if start > self._start_left(entry, now) * _TOLERANCE:
                yield Decision(entry.ask, Verdict.REFUSED, start)
            else:
                kept.append(entry)
        self._waiting = kept

    def _admit(self, entry: _Waiting, now: float) -> Decision:
        if not self._is_late(entry, now, 0):
            self._note_punctual(now)
        busy = self.busy(now) + 1
        usual = self._factor * entry.ask.work * max(busy / self._slots, 1.0)
        until = now + _LOST_LEAST + _LOST_FACTOR * usual
        if self.pace is not None:
            self.pace.take(now)
        self._places[entry.ask.id] = _Permit(entry.ask.work, now, until, busy)
        return Decision(entry.ask, Verdict.ADMITTED)

    def _free(self, now: float) -> bool:
        if self.pace is not None and self.pace.wait(now) > 0:
            return False
        return self.busy(now) < self._slots + self._beyond

    @property
    def _interval(self) -> float:
        """Seconds between two places that are given back."""
        return self._factor * self._work / self._slots

    def _start_seconds(self, ahead: int, now: float, *, late: bool) -> float:
        """Returns when one that waits behind others begins to run."""
        start = (ahead + 1 + self._beyond) * self._interval
        if late:
            # Those that can be on time go first, also the ones to come.
            taken = self._punctual_rate(now) * self._interval
            start /= max(1 - _PUNCTUAL_SHARE * taken, _LATE_ROOM)
        return max(start, self._paced_seconds(ahead, now))

    def _paced_seconds(self, ahead: int, now: float) -> float:
        """Returns when the target's limit lets one that waits begin."""
        if self.pace is None:
            return 0.0
        return self.pace.wait(now) + ahead / self.pace.rate

    def _start_left(self, entry: _Waiting, now: float) -> float:
        """Returns for how long it is still worth beginning."""
        work = self._factor * entry.ask.work * _LEAST_WORK
        return entry.ask.left - (now - entry.arrived) - work

    def _is_late(self, entry: _Waiting, now: float, ahead: int) -> bool:
        """Whether its answer would be late with some others before it."""
        work = self._factor * entry.ask.work * (1 + _SPREAD)
        left = entry.ask.on_time - (now - entry.arrived) - work
        begins = (ahead + self._beyond) * self._interval
        return max(begins, self._paced_seconds(ahead, now)) > left

    def _order(self, entry: _Waiting, now: float) -> tuple[bool, int, int]:
        late = self._is_late(entry, now, 0)
        return late, entry.ask.priority, entry.number

    def _note_run(self, place: _Permit, now: float) -> None:
        """Learns how long requests run here, without their wait."""
        run = (now - place.at) / max(place.busy / self._slots, 1.0)
        low, high = _RATIO_BOUNDS
        ratio = run / max(place.work, 1e-3)
        ratio = min(max(ratio, low * self._factor), high * self._factor)
        self._factor += (ratio - self._factor) * _SMOOTHING

    def _punctual_rate(self, now: float) -> float:
        """Returns the requests a second that get a place in time."""
        gone = math.exp(-(now - self._punctual_at) / _RATE_SECONDS)
        return self._punctual * gone / _RATE_SECONDS

    def _note_punctual(self, now: float) -> None:
        gone = math.exp(-(now - self._punctual_at) / _RATE_SECONDS)
        self._punctual = self._punctual * gone + 1
        self._punctual_at = now

    def _forget_lost(self, now: float) -> None:
        lost = [key for key, p in self._places.items() if now > p.until]
        for key in lost:
            del self._places[key]
        past = [vm for vm, (_, until) in self._held.items() if now > until]
        for vm in past:
            del self._held[vm]
