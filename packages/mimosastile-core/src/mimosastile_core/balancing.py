"""Load balancing over the targets of a service that is not sharded by key.

The balancer picks the less loaded of two random targets (power of two
choices), by this VM's own requests in flight and by the response time. It
prefers its own zone, then its region, before it uses the link between regions.
Lists and health reports lag and may be wrong, so they never empty the set:
targets that responded to this VM stay in use, and outlier ejection leaves half
of the set.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math

import msgspec

_LATENCY_SMOOTHING = 0.1
_SLOW_START_SECONDS = 10.0
_MIN_WARM_SHARE = 0.1
"""Initial share of its usual load that a new target gets (slow start)."""
_FAILURES_TO_EJECT = 3
"""Consecutive failures after which a target is ejected for a while."""
_EJECT_SECONDS = 2.0
_MAX_EJECT_SECONDS = 60.0
_MAX_EJECTED_SHARE = 0.5
_RESPONSE_VALID_SECONDS = 10.0
"""Time for which a response outweighs a list without the target."""
_INITIAL_LATENCY_SECONDS = 0.01
"""Response time assumed for a target before its first response."""

_SPILL_FACTORS = (1.0, 3.0, math.inf)
"""Own requests in flight per slot of a target from which requests spill over,
first from the zone to the region, then to all regions. The link between regions
is slow and paid for by volume, so a short queue in the own region is better."""


class Locality(msgspec.Struct, frozen=True):
    """Location of a VM."""

    region: str
    zone: str


class Candidate(msgspec.Struct, frozen=True):
    """A target that may be chosen.

    Attributes:
        target: Its identifier.
        locality: Its region and zone.
        live: Whether the list reports that it accepts new requests.
    """

    target: str
    locality: Locality
    live: bool = True


class _TargetStats:
    """Statistics of this VM's requests to one target."""

    __slots__ = (
        "candidate",
        "ejected_until",
        "ejections",
        "failures",
        "in_flight",
        "latency",
        "responded_at",
        "since",
    )

    def __init__(self, candidate: Candidate, since: float) -> None:
        self.candidate = candidate
        self.since = since
        self.in_flight = 0
        self.latency = _INITIAL_LATENCY_SECONDS
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.responded_at = float("-inf")

    def cost(self, now: float) -> float:
        """Returns the estimated wait at the target, raised in slow start."""
        ramp_progress = (now - self.since) / _SLOW_START_SECONDS
        share = min(max(ramp_progress, _MIN_WARM_SHARE), 1.0)
        return (self.in_flight + 1) * self.latency / share


class Balancer:
    """Chooses among the targets of one service."""

    __slots__ = ("_any_ejected_until", "_here", "_pools", "_slots", "_targets")

    def __init__(self, here: Locality) -> None:
        """Creates a balancer without targets.

        Args:
            here: Location of this VM.
        """
        self._here = here
        self._any_ejected_until = 0.0
        self._slots = 1
        self._targets: dict[str, _TargetStats] = {}
        self._pools: tuple[list[_TargetStats], ...] = ()

    def update(
        self, candidates: Iterable[Candidate], slots: int, now: float
    ) -> None:
        """Replaces the list of targets.

        Args:
            candidates: The targets that can be reached.
            slots: Requests that one target runs concurrently.
            now: Current time in seconds.
        """
        self._slots = slots
        # Targets of the first list are all equally new and skip the slow start.
        since = now if self._targets else now - _SLOW_START_SECONDS
        former, self._targets = self._targets, {}
        for candidate in candidates:
            stats = former.get(candidate.target)
            if stats is None:
                stats = _TargetStats(candidate, since)
            stats.candidate = candidate
            self._targets[candidate.target] = stats
        self._keep_responding(former, now)
        self._pools = self._by_distance()

    def choose(
        self,
        avoid: Collection[str],
        now: float,
        first: float,
        second: float,
    ) -> str | None:
        """Returns the target for a request, None if there are no targets.

        Args:
            avoid: Targets that failed to take the request. They are used only
                if no other target is available.
            now: Current time in seconds.
            first: Random number in [0, 1) that picks the first of two.
            second: Random number in [0, 1) that picks the second of two.
        """
        excluded: set[_TargetStats] | None = None
        if avoid or now < self._any_ejected_until:
            excluded = self._excluded(avoid, now)
        for pool, factor in zip(self._pools, _SPILL_FACTORS, strict=False):
            usable = pool
            if excluded:
                usable = [s for s in pool if s not in excluded]
            if not usable:
                continue
            best = min(
                usable[int(first * len(usable))],
                usable[int(second * len(usable))],
                key=lambda stats: stats.cost(now),
            )
            if best.in_flight < self._slots * factor:
                return best.candidate.target
        return self.choose((), now, first, second) if avoid else None

    def begin(self, target: str) -> None:
        """Counts the start of a request to a target."""
        stats = self._targets.get(target)
        if stats is not None:
            stats.in_flight += 1

    def end(self, target: str) -> None:
        """Counts the end of a request to a target."""
        stats = self._targets.get(target)
        if stats is not None and stats.in_flight:
            stats.in_flight -= 1

    def record_response(self, target: str, seconds: float, now: float) -> None:
        """Records a response and the seconds to its first byte."""
        stats = self._targets.get(target)
        if stats is None:
            return
        stats.latency += (seconds - stats.latency) * _LATENCY_SMOOTHING
        stats.failures = 0
        stats.ejections = 0
        stats.responded_at = now

    def record_failure(self, target: str, now: float) -> None:
        """Records that a target was unreachable or did not respond."""
        stats = self._targets.get(target)
        if stats is None:
            return
        stats.failures += 1
        # A target that was ejected before is ejected again at its first
        # failure.
        if stats.failures >= _FAILURES_TO_EJECT or stats.ejections:
            pause = _EJECT_SECONDS * 2**stats.ejections
            stats.ejected_until = now + min(pause, _MAX_EJECT_SECONDS)
            self._any_ejected_until = max(
                self._any_ejected_until, stats.ejected_until
            )
            stats.ejections = min(stats.ejections + 1, 10)
            stats.failures = 0

    def ejected(self, now: float) -> list[str]:
        """Returns the targets that are currently ejected."""
        return [t for t, s in self._targets.items() if s.ejected_until > now]

    def _keep_responding(
        self, former: dict[str, _TargetStats], now: float
    ) -> None:
        # A list that suddenly contains few targets may be wrong. Missing
        # targets stay in use while they respond, until most of them are listed
        # again. A target listed as leaving is not missing: it would receive
        # requests until it stops, and the last of them would be cut off.
        leaving = {t for t, s in self._targets.items() if not s.candidate.live}
        responding = {
            target: stats
            for target, stats in former.items()
            if now - stats.responded_at < _RESPONSE_VALID_SECONDS
            and target not in leaving
        }
        live = {t for t, s in self._targets.items() if s.candidate.live}
        if len(responding.keys() & live) * 2 >= len(responding):
            return
        for target, stats in responding.items():
            kept = msgspec.structs.replace(stats.candidate, live=True)
            stats.candidate = kept
            self._targets[target] = stats

    def _by_distance(self) -> tuple[list[_TargetStats], ...]:
        targets = list(self._targets.values())
        live = [s for s in targets if s.candidate.live] or targets
        here = self._here
        zone = [s for s in live if s.candidate.locality == here]
        region = [s for s in live if s.candidate.locality.region == here.region]
        return zone, region, live

    def _excluded(
        self, avoid: Collection[str], now: float
    ) -> set[_TargetStats]:
        if avoid:
            found = {self._targets[t] for t in avoid if t in self._targets}
        else:
            found = set()
        if now >= self._any_ejected_until:
            return found
        # Half of the targets stay in use however many seem to fail. If all
        # were ejected, a network fault near this VM would become an outage.
        ejected = sorted(
            (s for s in self._targets.values() if s.ejected_until > now),
            key=lambda s: s.ejected_until,
            reverse=True,
        )
        limit = int(len(self._targets) * _MAX_EJECTED_SHARE)
        return found.union(ejected[:limit])
