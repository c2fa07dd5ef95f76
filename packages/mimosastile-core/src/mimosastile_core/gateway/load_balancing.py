"""Which target takes a request now, or how long it has to wait for one.

What a VM knows of a target: its own requests under way there, exactly; those
of the other VMs, some tenths of a second old; how much slower or faster than
the mean it answers; and how it failed lately. From these follows when an
answer could be expected, and the target with the earliest one is taken, with a
handicap for zones and regions that have to be crossed.
"""

from collections.abc import Iterable
import math

import msgspec

from mimosastile_core.gateway import directory
from mimosastile_core.gateway import target_feedback

_SMOOTHING = 0.15
"""Weight of one answer in the mean: some seven answers to follow a change."""
_FACTOR_BOUNDS = (0.2, 20.0)
_TROUBLE_HALF_LIFE = 2.0
"""Seconds in which the memory of failures halves."""
_TROUBLE_WEIGHT = 4.0
"""A target that fails always counts as five times as slow."""
_REST_SECONDS = 0.5
_REST_MOST_SECONDS = 4.0
"""How long a target is left alone after it could not be reached; doubles."""
_EVEN_SHARE = 2.0
"""How many times its even part a VM may have at a target that has no gate."""
_TURN_RUNS = 2.0
"""Runs of a full target's slots after which one of this VM's requests gets its
turn, while nobody knows what the other VMs have waiting."""
_GATE_REST = 1.0
"""Seconds for which a gate that did not answer is not asked."""
_ON_TIME_SHARE = 0.75
"""Part of the time within which an answer is on time that it may be expected to
take; requests differ in their work."""
_LATE_WAITING = 1
"""Requests that wait at a target to which one is sent that will be late."""
_DISTANCE_STEP = 0.1
"""Seconds of handicap that make one target farther away than another."""
_SILENT_REST = 0.3
"""How long a target is left alone that did not say its load in time: a full one
answers nothing new until a request ends."""
_OTHERS_FRESH_SECONDS = 1.5
"""Age up to which counts of other VMs are believed."""


_ALIKE = 0.5
"""How far other VMs are reckoned to choose as this one: they stand elsewhere,
and their callers come at other times."""


class Policy(msgspec.Struct, frozen=True):
    """How far targets are filled and what distance costs.

    Attributes:
        queue: Requests that may wait at a target beyond its slots. Targets
            queue more, but some never answer one that they cannot queue, and
            counts of other VMs are a little old; half of their queue is kept
            free for that.
        admitted: The same at a target with a gate, whose counts are exact:
            just enough for no slot to be idle while a place that is given
            back is on its way to the next request. What waits at the gate
            instead can still be put in order, refused or sent elsewhere.
        zone_seconds: Handicap of another zone of the same region.
        region_seconds: Handicap of another region.
        zone_bytes_per_second: Bytes to and from another zone cost a second
            per this many.
        region_bytes_per_second: The same for another region.
        zone_share: Part of a route's target latency that the handicap of
            another zone reaches at most. Within it a caller is as well served
            by a target nearby that is slower or has others waiting, and what
            crosses zones is paid for by volume; above it answers come late.
        region_share: The same for another region.
        probes: Targets whose present load is asked for before a request that
            several may run is sent, where targets report it; 0 for none.
    """

    queue: int = 6
    admitted: int = 3
    zone_seconds: float = 0.02
    region_seconds: float = 0.08
    zone_bytes_per_second: float = 1e5
    region_bytes_per_second: float = 5e4
    zone_share: float = 0.35
    region_share: float = 0.5
    probes: int = 2


class Location(msgspec.Struct, frozen=True):
    """Where something stands."""

    zone: str
    region: str


class TargetStats:
    """What this VM knows of one target."""

    __slots__ = (
        "_backoffs",
        "_trouble",
        "_trouble_at",
        "factor",
        "others",
        "others_at",
        "own",
        "rest_until",
        "said",
        "samples",
        "sent",
    )

    def __init__(self) -> None:
        self.own = 0
        self.others = 0
        self.others_at = -math.inf
        self.factor = 1.0
        self.samples = 0
        self.sent = 0
        self.rest_until = -math.inf
        self.said: target_feedback.TargetLoad | None = None
        self._trouble = 0.0
        self._trouble_at = 0.0
        self._backoffs = 0

    def under_way(self, now: float) -> int:
        """Returns the requests under way there, of all VMs."""
        fresh = now - self.others_at < _OTHERS_FRESH_SECONDS
        return self.own + (self.others if fresh else 0)

    def begin(self) -> None:
        """Notes a request that is sent there."""
        self.own += 1
        self.sent += 1

    def end(self) -> None:
        """Notes that a request is over."""
        self.own -= 1

    def estimated_requests(
        self, least_sent: int, slots: int, vms: int, now: float
    ) -> float:
        """Returns the requests under way there, as they may be by now.

        The counts of other VMs are some tenths of a second old. All find the
        same target empty and choose it, and it resets what it cannot queue.
        What this VM has sent there since, beyond what it has sent to others
        beside it, other VMs will have sent as well.

        Args:
            least_sent: What it has sent since to the one beside it that got
                least. Without that, targets far away would seem emptier.
            slots: Requests that it runs at a time; more than these are not
                supposed without a count.
            vms: How many VMs there are.
            now: The time.
        """
        unseen = _ALIKE * (self.sent - least_sent) * (vms - 1)
        return self.under_way(now) + min(unseen, slots)

    def trouble(self, now: float) -> float:
        """Returns the recent share of failures, 0 to 1."""
        age = max(now - self._trouble_at, 0.0)
        return self._trouble * math.exp2(-age / _TROUBLE_HALF_LIFE)

    def answered(self, seconds: float, work: float, now: float) -> None:
        """Notes an answer.

        Args:
            seconds: Time that it took, without waiting at the target.
            work: Mean time of such requests at all targets.
            now: The time.
        """
        low, high = _FACTOR_BOUNDS
        ratio = min(max(seconds / max(work, 1e-3), low), high)
        # One request in a hundred takes several times as long; a few of them
        # do not make a target slow.
        step = max(_SMOOTHING, 1 / (self.samples + 1))
        ratio = min(ratio, 3 * self.factor)
        self.factor += (ratio - self.factor) * step
        self.samples += 1
        self.well(now)

    def well(self, now: float) -> None:
        """Notes that it answers, whatever that took."""
        self._note(0.0, now)
        self._backoffs = 0

    def failed(self, now: float) -> None:
        """Notes a failure or a rejection."""
        self._note(1.0, now)

    def unreachable(self, now: float) -> None:
        """Notes that it could not be reached at all."""
        self._note(1.0, now)
        rest = min(_REST_SECONDS * 2**self._backoffs, _REST_MOST_SECONDS)
        self.rest_until = now + rest
        self._backoffs = min(self._backoffs + 1, 8)

    def silent(self, now: float) -> None:
        """Notes that it did not say its load in time."""
        self.rest_until = max(self.rest_until, now + _SILENT_REST)

    def _note(self, value: float, now: float) -> None:
        trouble = self.trouble(now)
        self._trouble = trouble + (value - trouble) * 0.2
        self._trouble_at = now


class Choice(msgspec.Struct, frozen=True):
    """What was found for a request.

    Attributes:
        target: The target; None if it has to wait or cannot be served.
        seconds: Expected time to its answer, or until there is room.
        runs: Runs that this time takes with those that wait there; 0 if the
            target has not said so.
    """

    target: directory.Target | None
    seconds: float
    runs: float = 0.0


class LoadBalancer:
    """Loads of all targets, and the choice among them."""

    __slots__ = (
        "_gates",
        "_gates_at",
        "_here",
        "_loads",
        "_policy",
        "_regions",
        "_reporting",
        "_silent_gates",
        "_work",
    )

    def __init__(
        self, here: Location, regions: dict[str, str], policy: Policy
    ) -> None:
        """Makes one that knows nothing.

        Args:
            here: Where this VM stands.
            regions: Region of each zone.
            policy: How far targets are filled and what distance costs.
        """
        self._here = here
        self._regions = regions
        self._policy = policy
        self._loads: dict[str, TargetStats] = {}
        self._reporting: set[str] = set()
        self._work: dict[str, tuple[float, float]] = {}
        self._gates: dict[str, str] = {}
        self._gates_at = -math.inf
        self._silent_gates: dict[str, float] = {}

    def load(self, target: str) -> TargetStats:
        """Returns what is known of a target."""
        found = self._loads.get(target)
        if found is None:
            found = self._loads[target] = TargetStats()
        return found

    def forget_except(self, targets: Iterable[str]) -> None:
        """Drops targets that are gone."""
        kept = set(targets)
        self._loads = {
            name: load
            for name, load in self._loads.items()
            if name in kept or load.own
        }

    def own(self) -> dict[str, int]:
        """Returns this VM's requests under way by target."""
        return {name: x.own for name, x in self._loads.items() if x.own}

    def factors(self) -> dict[str, float]:
        """Returns how slow targets are, where this has been seen."""
        return {
            name: round(load.factor, 2)
            for name, load in self._loads.items()
            if load.samples
        }

    @property
    def policy(self) -> Policy:
        """How far targets are filled and what distance costs."""
        return self._policy

    def reports_load(self, service: str) -> bool:
        """Whether targets of a service have said what their load is."""
        return service in self._reporting

    def record_load(
        self,
        target: directory.Target,
        said: target_feedback.TargetLoad,
    ) -> None:
        """Takes what a target has said of its load.

        Args:
            target: The target.
            said: Its load.
        """
        load = self.load(target.id)
        self._reporting.add(target.service)
        load.said = said

    def distance(
        self, target: directory.Target, route: str, latency: float
    ) -> int:
        """Returns how far away a target is, in steps that matter.

        Args:
            target: The target.
            route: Route of the request; what is large has farther to go.
            latency: Time in seconds within which an answer is on time.
        """
        away = self._handicap(target, self.size(route), latency)
        return int(away / _DISTANCE_STEP)

    def compare(
        self,
        targets: Iterable[directory.Target],
        route: str,
        guess: float,
        most_own: int,
        now: float,
        on_time: float,
        left: float,
        latency: float = math.inf,
    ) -> Choice:
        """Returns the best of some targets that have just said their load.

        A target is full if a request would be answered late there. One that
        is late in any case gets what the others leave over.

        Args:
            targets: The targets.
            route: The request's route.
            guess: Time in seconds that it takes if none was seen yet.
            most_own: Requests of this VM that one target may have.
            now: The time.
            on_time: Seconds within which its answer is on time.
            left: Seconds until its deadline.
            latency: Time in seconds within which an answer is on time.
        """
        best: tuple[float, Choice] | None = None
        soonest = math.inf
        size = self.size(route)
        for target in targets:
            load = self.load(target.id)
            said = load.said
            if said is None:
                continue
            work = self.work(route, guess) * load.factor
            if now < target.warm_at:
                work *= 2
            seconds = said.seconds(work)
            in_time = seconds < on_time * _ON_TIME_SHARE or (
                said.waiting <= _LATE_WAITING and seconds < left
            )
            full = said.waiting >= self._policy.queue or load.own >= most_own
            if full or not in_time:
                soonest = min(soonest, work / said.slots)
                continue
            seconds *= 1 + _TROUBLE_WEIGHT * load.trouble(now)
            rest = max(load.rest_until - now, 0.0)
            cost = seconds + self._handicap(target, size, latency) + 10 * rest
            if best is None or cost < best[0]:
                best = (cost, Choice(target, seconds, said.runs))
        return best[1] if best else Choice(None, soonest)

    def record_other_requests(self, totals: dict[str, int], now: float) -> None:
        """Takes the other VMs' counts; targets that are not named have 0."""
        for name, load in self._loads.items():
            load.others = totals.get(name, 0)
            load.others_at = now
            load.sent = 0
        for name, count in totals.items():
            if name not in self._loads:
                load = self.load(name)
                load.others = count
                load.others_at = now

    def replace_gates(self, gates: dict[str, str], now: float) -> None:
        """Takes the addresses of VMs that admit to contended targets."""
        self._gates = gates
        self._gates_at = now

    def add_gates(self, gates: dict[str, str]) -> None:
        """Takes gates beside the known ones, of targets just contended."""
        self._gates = {**self._gates, **gates}

    def gate(self, target: str, now: float) -> str | None:
        """Returns who admits to a target, None if it has no gate."""
        if now - self._gates_at > _OTHERS_FRESH_SECONDS:
            return None
        found = self._gates.get(target)
        if found is None or self._silent_gates.get(found, -math.inf) > now:
            return None
        return found

    def record_silent_gate(self, gate: str, now: float) -> None:
        """Notes that a gate did not answer."""
        self._silent_gates[gate] = now + _GATE_REST

    def turn_seconds(
        self, target: directory.Target, route: str, guess: float
    ) -> float:
        """Returns how soon this VM gets a turn at a full target without gate.

        Args:
            target: The target.
            route: The request's route.
            guess: Time in seconds that it takes if none was seen yet.
        """
        work = self.work(route, guess) * self.load(target.id).factor
        return _TURN_RUNS * work / target.slots

    def work(self, route: str, guess: float) -> float:
        """Returns the mean time in seconds that a route's requests take."""
        return self._work.get(route, (guess, 0.0))[0]

    def size(self, route: str) -> float:
        """Returns the mean bytes of a route's requests and answers."""
        return self._work.get(route, (0.0, 0.0))[1]

    def answered(
        self,
        route: str,
        target: str,
        seconds: float,
        size: int,
        now: float,
        *,
        waited: bool = False,
    ) -> None:
        """Notes a whole answer.

        Args:
            route: The request's route.
            target: Who answered.
            seconds: Time from sending to the answer's end.
            size: Bytes of the request and the answer.
            now: The time.
            waited: Whether it may have waited at the target, which says
                nothing about how fast that is.
        """
        mean, bytes_mean = self._work.get(route, (seconds, float(size)))
        load = self.load(target)
        if waited:
            load.well(now)
            return
        clamped = min(seconds, 5 * mean)
        mean += (clamped - mean) * _SMOOTHING / 5
        bytes_mean += (size - bytes_mean) * _SMOOTHING / 5
        self._work[route] = (mean, bytes_mean)
        load.answered(seconds, mean, now)

    def expected(
        self,
        target: directory.Target,
        route: str,
        guess: float,
        least_sent: int,
        vms: int,
        now: float,
    ) -> float:
        """Returns the time in seconds to an answer if it were sent now."""
        load = self.load(target.id)
        work = self.work(route, guess) * load.factor
        if now < target.warm_at and load.samples < 5:
            work *= 2
        estimated_requests = load.estimated_requests(
            least_sent, target.slots, vms, now
        )
        ahead = estimated_requests + 1 - target.slots
        wait = max(ahead, 0) / target.slots * work
        return (work + wait) * (1 + _TROUBLE_WEIGHT * load.trouble(now))

    def full(self, target: directory.Target, most_own: int, now: float) -> bool:
        """Whether a target should get nothing more at the moment."""
        load = self.load(target.id)
        limit = target.slots + self._policy.queue
        return load.own >= most_own or load.under_way(now) >= limit

    def full_owner(
        self, target: directory.Target, vms: int, now: float
    ) -> bool:
        """Whether the only target for a key should get nothing more now.

        Requests for one key cannot go elsewhere, so all VMs may want the same
        target at once. Before it has a gate, and while that is not reached,
        each keeps to twice its even part: together they then fill a target's
        own queue at most.

        Args:
            target: The target.
            vms: How many VMs there are.
            now: The time.
        """
        load = self.load(target.id)
        if load.under_way(now) < target.slots:
            # As far as is known a slot is free.
            return False
        limit = target.slots + self._policy.queue
        even = max(1, round(_EVEN_SHARE * limit / vms))
        return load.own >= even or load.under_way(now) >= limit

    def choose(
        self,
        targets: Iterable[directory.Target],
        route: str,
        guess: float,
        most_own: int,
        vms: int,
        now: float,
        jitter: float,
        latency: float = math.inf,
    ) -> Choice:
        """Returns the target for a request that any of some may run.

        Args:
            targets: Those that may run it.
            route: Its route.
            guess: Time in seconds that it takes if none was seen yet.
            most_own: Requests of this VM that one target may have.
            vms: How many VMs there are.
            now: The time.
            jitter: From 0 to 1, keeps VMs from all choosing the same one.
            latency: Time in seconds within which an answer is on time.
        """
        best: tuple[float, float, directory.Target] | None = None
        soonest = math.inf
        size = self.size(route)
        targets = list(targets)
        least = self._least_sent(targets)
        for index, target in enumerate(targets):
            seconds = self.expected(
                target, route, guess, least[target.zone], vms, now
            )
            if self.full(target, most_own, now):
                soonest = min(soonest, seconds / target.slots)
                continue
            rest = max(self.load(target.id).rest_until - now, 0.0)
            noise = 1 + 0.1 * ((index * 0.618 + jitter) % 1)
            away = self._handicap(target, size, latency)
            cost = seconds * noise + away + 10 * rest
            if best is None or cost < best[0]:
                best = (cost, seconds, target)
        if best is None:
            return Choice(None, soonest)
        return Choice(best[2], best[1])

    def _least_sent(
        self, targets: Iterable[directory.Target]
    ) -> dict[str, int]:
        """Returns the least that was sent to a target, by zone."""
        least: dict[str, int] = {}
        for target in targets:
            sent = self.load(target.id).sent
            least[target.zone] = min(least.get(target.zone, sent), sent)
        return least

    def _handicap(
        self, target: directory.Target, size: float, latency: float
    ) -> float:
        """Returns what distance costs, in seconds."""
        policy = self._policy
        if target.zone == self._here.zone:
            return 0.0
        if self._regions.get(target.zone) == self._here.region:
            seconds = policy.zone_seconds + size / policy.zone_bytes_per_second
            return min(seconds, policy.zone_share * latency)
        seconds = policy.region_seconds + size / policy.region_bytes_per_second
        return min(seconds, policy.region_share * latency)
