"""Chooses a target for each request by load, and estimates waiting times.

A VM has these data on a target: its own requests in progress there, exactly;
those of the other VMs, some tenths of a second old; the target's response time
relative to the mean; and its recent failures. From them it estimates the time
to a response and takes the target with the shortest one. Targets in other zones
and regions get a handicap.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import msgspec

from mimosastile_core.gateway import directory
from mimosastile_core.gateway import target_feedback
from mimosastile_core.gateway import target_speeds

_SMOOTHING_WEIGHT = 0.15
"""Weight of one response in the mean: the mean follows a change within about
seven responses."""
_FACTOR_BOUNDS = (0.2, 20.0)
_MAX_PRIOR_SAMPLES = 10.0
"""Responses that the other VMs' estimate of a target's speed is worth."""
_MIN_ROUTE_SAMPLES = 3
"""Responses of a route from which its mean service time shows which targets are
fast."""
_FAILURE_HALF_LIFE_SECONDS = 2.0
"""Half-life of the recorded failure share."""
_FAILURE_WEIGHT = 4.0
"""A target that always fails counts as five times as slow."""
_FIRST_BACKOFF_SECONDS = 0.5
_MAX_BACKOFF_SECONDS = 4.0
"""Longest backoff after a target could not be reached. The backoff starts at
`_FIRST_BACKOFF_SECONDS` and doubles with each failure."""
_EVEN_SHARE_FACTOR = 2.0
"""A VM may have this many times its even share of the requests at a target
without an admission gate."""
_SLOT_WAIT_SERVICE_TIMES = 2.0
"""Number of service times, divided by the slots, after which one of this VM's
requests may expect a slot at a full target without a gate. What other VMs have
waiting there is unknown."""
_GATE_BACKOFF_SECONDS = 1.0
"""Backoff after an admission gate did not respond."""
_ON_TIME_SHARE = 0.75
"""Share of the remaining on-time budget that the estimated response time may
take. The margin covers the variance of service times."""
_MAX_WAITING_IF_LATE = 1
"""A request that will be late is sent to a target only if at most this many
requests wait there."""
_DISTANCE_STEP_SECONDS = 0.1
"""Size, in seconds of handicap, of one distance rank."""
SILENT_BACKOFF_SECONDS = 0.3
"""Backoff after a target did not report its load in time. A full target answers
no new request until one of its requests ends."""
_COUNTS_VALID_SECONDS = 1.5
"""Oldest age at which the counts of other VMs and the gates are used."""


_NOT_WAITED = target_speeds.Occupancy(1.0)
_SAME_CHOICE_SHARE = 0.5
"""Estimated share of other VMs that choose the same target as this one. They
are located elsewhere, and their callers' requests come at other times."""


class Policy(msgspec.Struct, frozen=True):
    """Limits on the load of targets, and the cost of distance.

    Attributes:
        queue: Requests that may wait at a target beyond its slots. Targets
            queue more, but some never answer a request that they cannot queue,
            and counts of other VMs are slightly old. Half of the targets' queue
            is kept free as a margin.
        admitted: The same for a target with an admission gate, whose counts are
            exact. It is just enough to keep all slots busy while a returned
            permit is on its way to the next request. A request that waits at
            the gate instead can still be reordered, refused or sent elsewhere.
        zone_seconds: Handicap of another zone of the same region.
        region_seconds: Handicap of another region.
        zone_bytes_per_second: Adds a second of handicap per this many bytes to
            and from another zone.
        region_bytes_per_second: The same for another region.
        zone_share: Upper bound on the handicap of another zone, as a share of
            the route's target latency. Within the target latency, a nearby
            target that is slower or has a queue serves a caller as well, and
            traffic between zones is billed by volume. Beyond it, responses are
            late.
        region_share: The same for another region.
        probes: Number of targets whose current load is requested before a
            request that several targets may run is sent, where targets report
            their load; 0 for none.
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
    """A location."""

    zone: str
    region: str


class TargetStats:
    """The load and health of one target as recorded by this VM."""

    __slots__ = (
        "_failure_share",
        "_failure_share_at",
        "_unreachable_count",
        "backoff_until",
        "factor",
        "others",
        "others_at",
        "own",
        "prior_samples",
        "reported_load",
        "samples",
        "sent",
    )

    def __init__(self) -> None:
        self.own = 0
        self.others = 0
        self.others_at = -math.inf
        self.factor = 1.0
        self.samples = 0.0
        self.prior_samples = 0.0
        self.sent = 0
        self.backoff_until = -math.inf
        self.reported_load: target_feedback.TargetLoad | None = None
        self._failure_share = 0.0
        self._failure_share_at = 0.0
        self._unreachable_count = 0

    def under_way(self, now: float) -> int:
        """Returns the number of requests in progress there, of all VMs."""
        valid = now - self.others_at < _COUNTS_VALID_SECONDS
        return self.own + (self.others if valid else 0)

    def begin(self) -> None:
        """Records that a request is sent to the target."""
        self.own += 1
        self.sent += 1

    def end(self) -> None:
        """Records that a request has ended."""
        self.own -= 1

    def estimated_requests(
        self, least_sent: int, slots: int, vms: int, now: float
    ) -> float:
        """Estimates the number of requests in progress there now.

        The counts of other VMs are some tenths of a second old. In that time
        all VMs may see the same target as empty and choose it, and it resets
        what it cannot queue. The estimate assumes that other VMs have also sent
        there what this VM has sent beyond its requests to the least used
        neighbor.

        Args:
            least_sent: The least number of requests that this VM has sent since
                the last counts to a target of the same zone. Without this
                correction, targets far away would seem emptier.
            slots: Number of requests that the target runs at a time; upper
                bound on the requests that are estimated without a count.
            vms: Number of VMs.
            now: The time.
        """
        uncounted = _SAME_CHOICE_SHARE * (self.sent - least_sent) * (vms - 1)
        return self.under_way(now) + min(uncounted, slots)

    def failure_share(self, now: float) -> float:
        """Returns the recent share of failures, 0 to 1."""
        age = max(now - self._failure_share_at, 0.0)
        return self._failure_share * math.exp2(
            -age / _FAILURE_HALF_LIFE_SECONDS
        )

    def answered(
        self, seconds: float, work: float, now: float, weight: float = 1.0
    ) -> None:
        """Records a response and its service time.

        Args:
            seconds: Service time, without queueing at the target.
            work: Mean service time of such requests at all targets.
            now: The time.
            weight: Weight of the response, from 0 to 1.
        """
        low, high = _FACTOR_BOUNDS
        ratio = min(max(seconds / max(work, 1e-3), low), high)
        # One request in a hundred takes several times as long. A few of them do
        # not make a target slow.
        known = self.samples + self.prior_samples
        step = max(_SMOOTHING_WEIGHT * weight, weight / (known + weight))
        ratio = min(ratio, 3 * self.factor)
        self.factor += (ratio - self.factor) * step
        self.samples += weight
        self.responded(now)

    def assume(self, speed: target_speeds.SpeedSample) -> None:
        """Takes over what other VMs have measured until this VM has."""
        if not self.samples:
            low, high = _FACTOR_BOUNDS
            self.factor = min(max(speed.factor, low), high)
            self.prior_samples = min(speed.samples, _MAX_PRIOR_SAMPLES)

    def responded(self, now: float) -> None:
        """Records that the target responded, with any service time."""
        self._update_failure_share(0.0, now)
        self._unreachable_count = 0

    def reached(self) -> None:
        """Records that this VM's path to the target works again."""
        self.backoff_until = -math.inf
        self._unreachable_count = 0

    def failed(self, now: float) -> None:
        """Records a failure or a rejection."""
        self._update_failure_share(1.0, now)

    def unreachable(self, now: float) -> None:
        """Records that the target could not be reached, and backs off."""
        self._update_failure_share(1.0, now)
        backoff = min(
            _FIRST_BACKOFF_SECONDS * 2**self._unreachable_count,
            _MAX_BACKOFF_SECONDS,
        )
        self.backoff_until = now + backoff
        self._unreachable_count = min(self._unreachable_count + 1, 8)

    def load_report_missed(self, now: float) -> None:
        """Records that the target did not report its load in time."""
        self.backoff_until = max(
            self.backoff_until, now + SILENT_BACKOFF_SECONDS
        )

    def _update_failure_share(self, value: float, now: float) -> None:
        share = self.failure_share(now)
        self._failure_share = share + (value - share) * 0.2
        self._failure_share_at = now


class Choice(msgspec.Struct, frozen=True):
    """The result of choosing a target for a request.

    Attributes:
        target: The target; None if the request has to wait or cannot be served.
        seconds: Expected time to the response or, without a target, until one
            has capacity.
        service_times: The expected time as a number of service times, including
            those of requests that wait there; 0 if the target has not reported
            its load.
    """

    target: directory.Target | None
    seconds: float
    service_times: float = 0.0


class LoadBalancer:
    """Load balancer: the loads of all targets, and the choice among them."""

    __slots__ = (
        "_gates",
        "_gates_updated_at",
        "_here",
        "_loads",
        "_policy",
        "_regions",
        "_reporting_services",
        "_route_means",
        "_silent_gates_until",
        "_speeds",
    )

    def __init__(
        self, here: Location, regions: dict[str, str], policy: Policy
    ) -> None:
        """Makes a balancer without any recorded load.

        Args:
            here: Location of this VM.
            regions: Region of each zone.
            policy: Limits on the load of targets, and the cost of distance.
        """
        self._here = here
        self._regions = regions
        self._policy = policy
        self._loads: dict[str, TargetStats] = {}
        self._reporting_services: set[str] = set()
        self._route_means: dict[str, tuple[float, float, int]] = {}
        self._gates: dict[str, str] = {}
        self._gates_updated_at = -math.inf
        self._silent_gates_until: dict[str, float] = {}
        self._speeds = target_speeds.SpeedMeter()

    def load(self, target: str) -> TargetStats:
        """Returns the recorded load of a target."""
        load = self._loads.get(target)
        if load is None:
            load = self._loads[target] = TargetStats()
        return load

    def retain(self, targets: Iterable[str]) -> None:
        """Drops targets that no longer exist and have no own requests."""
        kept = set(targets)
        self._loads = {
            name: load
            for name, load in self._loads.items()
            if name in kept or load.own
        }
        self._speeds.retain(kept)

    def own(self) -> dict[str, int]:
        """Returns this VM's requests in progress by target."""
        return {
            name: load.own for name, load in self._loads.items() if load.own
        }

    def factors(self) -> dict[str, float]:
        """Returns each target's service time relative to the mean.

        Targets without a measured response are left out.
        """
        return {
            name: round(load.factor, 2)
            for name, load in self._loads.items()
            if load.samples
        }

    def take_speeds(
        self, now: float, *, standing: bool
    ) -> dict[str, target_speeds.SpeedSample]:
        """Returns the speeds to report; see `SpeedMeter.take`."""
        return self._speeds.take(now, standing=standing)

    def assume_speeds(
        self, speeds: Mapping[str, target_speeds.SpeedSample]
    ) -> None:
        """Takes over speeds that other VMs have measured."""
        for target, speed in speeds.items():
            self.load(target).assume(speed)

    @property
    def policy(self) -> Policy:
        """Limits on the load of targets, and the cost of distance."""
        return self._policy

    def reports_load(self, service: str) -> bool:
        """Whether any target of a service has reported its load."""
        return service in self._reporting_services

    def record_load(
        self,
        target: directory.Target,
        reported_load: target_feedback.TargetLoad,
    ) -> None:
        """Records the load that a target reported.

        Args:
            target: The target.
            reported_load: Its load.
        """
        load = self.load(target.id)
        self._reporting_services.add(target.service)
        load.reported_load = reported_load

    def distance(
        self, target: directory.Target, route: str, latency: float
    ) -> int:
        """Returns the distance rank of a target.

        Args:
            target: The target.
            route: Route of the request; a larger mean size makes targets in
                other zones more distant.
            latency: Time in seconds within which a response is on time.
        """
        handicap = self._handicap(target, self.size(route), latency)
        return int(handicap / _DISTANCE_STEP_SECONDS)

    def compare(
        self,
        targets: Iterable[directory.Target],
        route: str,
        default_work: float,
        most_own: int,
        now: float,
        on_time: float,
        left: float,
        latency: float = math.inf,
    ) -> Choice:
        """Returns the best of the targets that have just reported their load.

        A target is left out if a request would be answered late there. A
        request that is late in any case is only sent to a target that has a
        short queue and can respond before the deadline.

        Args:
            targets: The targets.
            route: The request's route.
            default_work: Service time in seconds to assume if none was
                measured yet.
            most_own: Most requests of this VM at one target.
            now: The time.
            on_time: Seconds within which the response is on time.
            left: Seconds until the request's deadline.
            latency: Time in seconds within which a response is on time.
        """
        best: tuple[float, Choice] | None = None
        shortest_wait = math.inf
        size = self.size(route)
        for target in targets:
            load = self.load(target.id)
            reported = load.reported_load
            if reported is None:
                continue
            work = self.work(route, default_work) * load.factor
            if now < target.warm_at:
                work *= 2
            seconds = reported.seconds(work)
            in_time = seconds < on_time * _ON_TIME_SHARE or (
                reported.waiting <= _MAX_WAITING_IF_LATE and seconds < left
            )
            full = (
                reported.waiting >= self._policy.queue or load.own >= most_own
            )
            if full or not in_time:
                shortest_wait = min(shortest_wait, work / reported.slots)
                continue
            seconds *= 1 + _FAILURE_WEIGHT * load.failure_share(now)
            backoff = max(load.backoff_until - now, 0.0)
            cost = (
                seconds + self._handicap(target, size, latency) + 10 * backoff
            )
            if best is None or cost < best[0]:
                best = (cost, Choice(target, seconds, reported.service_times))
        return best[1] if best else Choice(None, shortest_wait)

    def record_other_requests(self, totals: dict[str, int], now: float) -> None:
        """Records the other VMs' counts; unnamed targets have 0."""
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
        """Records the addresses of all contended targets' admission gates."""
        self._gates = gates
        self._gates_updated_at = now

    def add_gates(self, gates: dict[str, str]) -> None:
        """Adds the gates of targets that have just become contended."""
        self._gates = {**self._gates, **gates}

    def gate(self, target: str, now: float) -> str | None:
        """Returns the address of a target's gate, None without a usable one."""
        if now - self._gates_updated_at > _COUNTS_VALID_SECONDS:
            return None
        gate = self._gates.get(target)
        if gate is None or self._silent_gates_until.get(gate, -math.inf) > now:
            return None
        return gate

    def record_silent_gate(self, gate: str, now: float) -> None:
        """Records that a gate did not respond."""
        self._silent_gates_until[gate] = now + _GATE_BACKOFF_SECONDS

    def slot_wait_seconds(
        self, target: directory.Target, route: str, default_work: float
    ) -> float:
        """Estimates the wait for a slot at a full target without a gate.

        Args:
            target: The target.
            route: The request's route.
            default_work: Service time in seconds to assume if none was
                measured yet.
        """
        work = self.work(route, default_work) * self.load(target.id).factor
        return _SLOT_WAIT_SERVICE_TIMES * work / target.slots

    def work(self, route: str, default_work: float) -> float:
        """Returns the mean service time in seconds of a route's requests."""
        return self._route_means.get(route, (default_work, 0.0, 0))[0]

    def size(self, route: str) -> float:
        """Returns the mean bytes of a route's requests and responses."""
        return self._route_means.get(route, (0.0, 0.0, 0))[1]

    def answered(
        self,
        route: str,
        target: str,
        seconds: float,
        size: int,
        now: float,
        *,
        occupancy: target_speeds.Occupancy = _NOT_WAITED,
    ) -> None:
        """Records a complete response.

        Args:
            route: The request's route.
            target: Identifier of the target.
            seconds: Time from sending to the end of the response.
            size: Bytes of the request and the response.
            now: The time.
            occupancy: How long the request was at the target in service times.
                With a weight of 0 its time says nothing about the target.
        """
        load = self.load(target)
        weight = occupancy.weight
        if not weight:
            load.responded(now)
            return
        seconds /= occupancy.service_times
        mean, bytes_mean, count = self._route_means.get(
            route, (seconds, float(size), 0)
        )
        step = weight * max(_SMOOTHING_WEIGHT / 5, 1 / (count + 1))
        clamped = min(seconds, 5 * mean)
        mean += (clamped - mean) * step
        bytes_mean += (size - bytes_mean) * step
        self._route_means[route] = (mean, bytes_mean, count + 1)
        load.answered(seconds, mean, now, weight)
        if count >= _MIN_ROUTE_SAMPLES:
            self._speeds.record(target, seconds / max(mean, 1e-3), weight, now)

    def expected_seconds(
        self,
        target: directory.Target,
        route: str,
        default_work: float,
        least_sent: int,
        vms: int,
        now: float,
    ) -> float:
        """Estimates the seconds to a response if the request were sent now."""
        load = self.load(target.id)
        work = self.work(route, default_work) * load.factor
        if now < target.warm_at and load.samples < 5:
            work *= 2
        under_way = load.estimated_requests(least_sent, target.slots, vms, now)
        ahead = under_way + 1 - target.slots
        wait = max(ahead, 0) / target.slots * work
        return (work + wait) * (1 + _FAILURE_WEIGHT * load.failure_share(now))

    def is_full(
        self, target: directory.Target, most_own: int, now: float
    ) -> bool:
        """Whether a target should get no further request at the moment."""
        load = self.load(target.id)
        limit = target.slots + self._policy.queue
        return load.own >= most_own or load.under_way(now) >= limit

    def is_owner_full(
        self, target: directory.Target, vms: int, now: float
    ) -> bool:
        """Whether the only target for a key should get no further request.

        Requests for one key cannot go elsewhere, so all VMs may send to the
        same target at once. While it has no reachable admission gate, each VM
        keeps to twice its even share: together they then fill the target's own
        queue at most.

        Args:
            target: The target.
            vms: Number of VMs.
            now: The time.
        """
        load = self.load(target.id)
        if load.under_way(now) < target.slots:
            # A slot is free according to the current counts.
            return False
        limit = target.slots + self._policy.queue
        even_share = max(1, round(_EVEN_SHARE_FACTOR * limit / vms))
        return load.own >= even_share or load.under_way(now) >= limit

    def choose(
        self,
        targets: Iterable[directory.Target],
        route: str,
        default_work: float,
        most_own: int,
        vms: int,
        now: float,
        jitter: float,
        latency: float = math.inf,
    ) -> Choice:
        """Returns the best target for a request that several may run.

        Args:
            targets: The targets that may run it.
            route: Its route.
            default_work: Service time in seconds to assume if none was
                measured yet.
            most_own: Most requests of this VM at one target.
            vms: Number of VMs.
            now: The time.
            jitter: From 0 to 1; keeps VMs from all choosing the same target.
            latency: Time in seconds within which a response is on time.
        """
        best: tuple[float, float, directory.Target] | None = None
        shortest_wait = math.inf
        size = self.size(route)
        targets = list(targets)
        least_sent = self._least_sent(targets)
        for index, target in enumerate(targets):
            seconds = self.expected_seconds(
                target, route, default_work, least_sent[target.zone], vms, now
            )
            if self.is_full(target, most_own, now):
                shortest_wait = min(shortest_wait, seconds / target.slots)
                continue
            backoff = max(self.load(target.id).backoff_until - now, 0.0)
            noise = 1 + 0.1 * ((index * 0.618 + jitter) % 1)
            handicap = self._handicap(target, size, latency)
            cost = seconds * noise + handicap + 10 * backoff
            if best is None or cost < best[0]:
                best = (cost, seconds, target)
        if best is None:
            return Choice(None, shortest_wait)
        return Choice(best[2], best[1])

    def _least_sent(
        self, targets: Iterable[directory.Target]
    ) -> dict[str, int]:
        """Returns the fewest requests sent to any target, by zone."""
        least_sent: dict[str, int] = {}
        for target in targets:
            sent = self.load(target.id).sent
            least_sent[target.zone] = min(
                least_sent.get(target.zone, sent), sent
            )
        return least_sent

    def _handicap(
        self, target: directory.Target, size: float, latency: float
    ) -> float:
        """Returns the cost of distance in seconds."""
        policy = self._policy
        if target.zone == self._here.zone:
            return 0.0
        if self._regions.get(target.zone) == self._here.region:
            seconds = policy.zone_seconds + size / policy.zone_bytes_per_second
            return min(seconds, policy.zone_share * latency)
        seconds = policy.region_seconds + size / policy.region_bytes_per_second
        return min(seconds, policy.region_share * latency)
