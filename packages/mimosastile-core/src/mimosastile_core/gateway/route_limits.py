"""One VM's limits on routes at services that lack capacity."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from mimosastile_core.gateway import routes
from mimosastile_core.gateway import service_room

_BURST_SECONDS = 0.5
_BURST_REQUESTS = 4.0
"""Unused requests that are kept, in seconds of the rate and at least. With a
smaller burst, chance would refuse requests at one VM that fit at another."""
_RATE_MARGIN = 1.25
"""A VM's rate relative to its part of the share. The admitted part of requests
keeps all VMs together to the share; this bounds a VM whose requests rise."""
_VALID_SECONDS = 3.0
"""Age up to which shares apply unchanged: a new leader replies by then."""
_WIDEN_SECONDS = 1.0
"""Time in which older shares double. Capacity and demand may have changed, and
targets without a division still serve the most urgent requests first."""
_EXPIRE_SECONDS = 8.0
"""Age from which shares no longer apply."""
_MAX_WAIT_SECONDS = 5.0
"""Longest time that a refused request is asked to wait."""

_Name = tuple[str, str]
"""Names of a service and a route."""


class _Bucket:
    """Token bucket of one route at one service.

    Attributes:
        at: Time of the last refill.
        share: This VM's part of the route's rate, in requests per second.
        tokens: Requests that may be sent now.
        work: Mean service time in seconds.
        limited: Whether requests without a token are refused.
        admitted: Share of the requests that are admitted.
        due: Admitted share of the requests so far, less those sent.
    """

    __slots__ = (
        "admitted",
        "at",
        "due",
        "limited",
        "share",
        "tokens",
        "work",
    )

    def __init__(self, due: float, now: float) -> None:
        self.tokens = _BURST_REQUESTS
        self.at = now
        self.share = 0.0
        self.work = 0.0
        self.limited = True
        self.admitted = 1.0
        self.due = due

    def refill(self, widening: float, now: float) -> float:
        """Adds the tokens of the time since the last refill.

        Returns:
            The rate in requests per second.
        """
        rate = self.share * widening * _RATE_MARGIN
        burst = max(_BURST_REQUESTS, rate * _BURST_SECONDS)
        added = rate * max(now - self.at, 0.0)
        self.tokens = min(self.tokens + added, burst)
        self.at = now
        return rate

    def take(self, widening: float) -> bool:
        """Takes a token if the request is among those admitted."""
        if self.limited:
            self.due += min(self.admitted * widening, 1.0)
            if self.due < 1 or self.tokens < 1:
                self.due = min(self.due, 1.0)
                return False
            self.due -= 1
        elif self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class RouteLimits:
    """Counts a VM's requests by service and route, and limits them."""

    __slots__ = (
        "_applied_at",
        "_buckets",
        "_counts",
        "_epoch",
        "_ranks",
        "_random",
        "_refused",
        "_served",
        "_taken_at",
    )

    def __init__(self, random: Callable[[], float]) -> None:
        """Creates limits that refuse nothing.

        Args:
            random: Returns a number from 0 to 1; the first content of a bucket,
                so that a thousand VMs do not all send one request at once.
        """
        self._random = random
        self._buckets: dict[_Name, _Bucket] = {}
        self._counts: collections.Counter[_Name] = collections.Counter()
        self._served: collections.Counter[_Name] = collections.Counter()
        self._refused: collections.Counter[_Name] = collections.Counter()
        self._ranks: dict[_Name, int] = {}
        self._epoch = -1
        self._applied_at = 0.0
        self._taken_at = 0.0

    def take_demand(
        self, work: Callable[[str], float], now: float
    ) -> dict[str, dict[str, service_room.RouteDemand]]:
        """Returns the requests since the last call and counts anew.

        Args:
            work: Returns the mean service time in seconds of a route, 0 if
                unknown.
            now: The time.
        """
        elapsed = max(now - self._taken_at, 0.05)
        self._taken_at = now
        demand: dict[str, dict[str, service_room.RouteDemand]] = {}
        for service, route in self._counts.keys() | self._served.keys():
            name = service, route
            demand.setdefault(service, {})[route] = service_room.RouteDemand(
                round(self._counts[name] / elapsed, 3),
                round(work(route), 4),
                round(self._served[name] / elapsed, 3),
            )
        self._counts.clear()
        self._served.clear()
        return demand

    def keep(self, configured: Iterable[routes.Route]) -> None:
        """Drops the limits of routes and services that are not configured."""
        self._ranks = {
            (part.service, route.name): route.priority
            for route in configured
            for part in route.parts
            if part.weight > 0
        }
        for name in self._buckets.keys() - self._ranks.keys():
            del self._buckets[name]

    def apply(
        self,
        shares: Mapping[str, Mapping[str, service_room.RouteShare]],
        epoch: int,
        now: float,
    ) -> None:
        """Applies the shares of a leader unless a later leader has sent some.

        Args:
            shares: Shares by service and route; routes without one have no
                limit.
            epoch: Epoch of the leader.
            now: The time.
        """
        if epoch < self._epoch:
            return
        self._epoch = epoch
        self._applied_at = now
        received = {
            (service, route): share
            for service, by_route in shares.items()
            for route, share in by_route.items()
            if (service, route) in self._ranks
        }
        for name in self._buckets.keys() - received.keys():
            del self._buckets[name]
        for name, share in received.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                bucket = self._buckets[name] = _Bucket(self._random(), now)
            bucket.refill(1.0, now)
            bucket.share = share.rate * share.part
            bucket.work = share.work
            bucket.limited = share.limited
            bucket.admitted = share.admitted

    def admit(self, service: str, route: str, now: float) -> float:
        """Counts a caller's request and returns whether it may be sent.

        Returns:
            0 if it may, otherwise the seconds until the next one may.
        """
        name = service, route
        self._counts[name] += 1
        bucket = self._buckets.get(name)
        widening = self._widening(now)
        if bucket is None or not widening:
            return 0.0
        rate = bucket.refill(widening, now)
        if bucket.take(widening):
            return 0.0
        if not bucket.limited:
            self._displace(service, bucket, self._ranks[name], now)
            return 0.0
        self._refused[name] += 1
        return min(1 / rate, _MAX_WAIT_SECONDS) if rate else _MAX_WAIT_SECONDS

    def record_response(self, service: str, route: str) -> None:
        """Counts a target's response to a request."""
        self._served[service, route] += 1

    def dump(self, now: float) -> dict[str, object]:
        """Returns the limits and what they refused, for the state dump."""
        return {
            "age": round(now - self._applied_at, 2),
            "limits": {
                f"{service}/{route}": round(bucket.share, 3)
                for (service, route), bucket in self._buckets.items()
                if bucket.limited
            },
            "refused": {
                f"{service}/{route}": count
                for (service, route), count in self._refused.items()
            },
        }

    def _widening(self, now: float) -> float:
        """Returns the factor on all shares because of their age, 0 for none."""
        age = now - self._applied_at
        if age >= _EXPIRE_SECONDS:
            return 0.0
        return float(2.0 ** max((age - _VALID_SECONDS) / _WIDEN_SECONDS, 0.0))

    def _displace(
        self, service: str, urgent: _Bucket, rank: int, now: float
    ) -> None:
        """Takes the tokens of an urgent request from a less urgent route.

        The leader learns of a rise in urgent requests after a report; until
        then each VM makes way for its own.
        """
        less_urgent = [
            (self._ranks[name], bucket)
            for name, bucket in self._buckets.items()
            if name[0] == service
            and bucket.limited
            and self._ranks[name] > rank
        ]
        if not less_urgent:
            return
        lowest = max(found for found, _ in less_urgent)
        buckets = [bucket for found, bucket in less_urgent if found == lowest]
        for bucket in buckets:
            bucket.refill(self._widening(now), now)
            cost = urgent.work / bucket.work if bucket.work else 1.0
            floor = -max(_BURST_REQUESTS, bucket.share * _BURST_SECONDS)
            bucket.tokens = max(bucket.tokens - cost / len(buckets), floor)
