"""Division of a service's capacity among the routes that use it.

Capacity and load are in slots: a load of one keeps one slot of a target of mean
speed busy. A division takes effect only while a service is used by routes of
different ranks and has no free capacity.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import msgspec

_SURPLUS_SHARE = 0.3
"""Capacity that is granted in addition, to the least urgent routes, where the
targets have gates. What does not fit waits there, and the gates, which know
each slot, run the more urgent first."""
_FLOOR_SHARE = 0.35
"""Least share of a route's requests that is served, relative to the share of
all requests to the service: a route counts as starved below a quarter."""
_MIN_LOAD_SHARE = 0.05
"""Share of a service's load from which a route counts as a competitor."""
_PROTECTED_BELOW = 1.2
"""Share of its floor below which a route needs protection from the most urgent
ones."""
_FREE_BELOW = 0.8
"""Share of busy slots below which a service has free capacity."""
_FULL_FROM = 0.9
"""Share of busy slots from which waiting times rise steeply."""
_MEASURED_FROM = 0.5
"""Share of busy slots from which capacity is measured by what is served."""
_STEADY_WITHIN = 0.1
"""Change of the share of busy slots within which capacity is measured."""
_MEASURED_SECONDS = 3.0
"""Time constant of measured capacity."""
_MIN_MEASURED_SECONDS = 0.5
"""Seconds of measurement before the first division, as after a change of the
leader."""
_MIN_CORRECTION = 0.25
_MAX_CORRECTION = 4.0
"""Bounds on measured relative to calculated capacity."""
_RAISE_SECONDS = 1.0
"""Time in which shares rise by a factor of e while slots are free."""
_RAISE_UPDATES = 2.0
"""The same in report intervals, after which the effect is visible."""
_MAX_RAISE = 4.0
"""Bound on the rise."""
_ENOUGH_SHARE = 1 - 1e-6
"""Share of a route's load from which it counts as served in full."""
_MAX_REPORTED = 1e6
"""Largest rate, in requests per second, that a report of one VM may state."""
_RATE_SECONDS = 0.5
"""Time constant of the rates that are divided."""
_PART_SECONDS = 3.0
"""Time constant of the rates that the VMs' parts are computed from. A VM gets a
few requests a second, so shorter ones would be chance."""
_EVEN_SHARE = 0.2
"""Share of a route's rate that is spread evenly over the VMs, for requests at
VMs that had none lately."""
_MIN_RATE = 0.01
"""Requests per second below which a VM's demand is dropped."""


class RouteDemand(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one route for one service, as one VM has received them.

    Attributes:
        rate: Requests per second, refused ones included.
        work: Mean service time in seconds; 0 if the VM has measured none.
        served: Responses of targets per second.
    """

    rate: float
    work: float
    served: float = 0.0


class RouteShare(msgspec.Struct, frozen=True, array_like=True):
    """What a route may use of a service that lacks capacity.

    Attributes:
        rate: Requests per second of all VMs together.
        part: Part of it that the receiving VM may use, from 0 to 1.
        work: Mean service time in seconds.
        limited: Whether requests above the rate are refused. Otherwise they
            displace requests of limited routes.
        admitted: Share of the requests that the rate suffices for.
    """

    rate: float
    part: float
    work: float = 0.0
    limited: bool = True
    admitted: float = 1.0


class Competitor(msgspec.Struct, frozen=True):
    """A route's demand for a service.

    Attributes:
        route: Name of the route.
        rank: Its priority; 0 is the most urgent.
        rate: Requests per second at all VMs.
        work: Mean service time in seconds.
        regions: Regions in which its requests may run; empty for any.
        weighted: Whether the route divides its requests among services.
    """

    route: str
    rank: int
    rate: float
    work: float
    regions: tuple[str, ...] = ()
    weighted: bool = False

    @property
    def load(self) -> float:
        """Slots that the route's requests would keep busy."""
        return self.rate * self.work


class Occupancy(msgspec.Struct, frozen=True):
    """How full the targets of a service are.

    Attributes:
        busy: Share of the slots that are busy.
        tight: The same for the fullest region that a route is bound to; of all
            slots if none is.
        served: Load that is served, in slots.
        interval: Seconds between two reports of a VM.
        regions: Share of busy slots by region, where requests go to any target
            with a free slot.
    """

    busy: float
    tight: float
    served: float
    interval: float
    regions: dict[str, float] = {}

    def has_free_slots(self, competitor: Competitor) -> bool:
        """Whether a region that a route may use has free capacity."""
        return any(
            busy < _FREE_BELOW
            for region, busy in self.regions.items()
            if not competitor.regions or region in competitor.regions
        )


def divide(
    competitors: Iterable[Competitor], capacity: Mapping[str, float]
) -> dict[str, float]:
    """Divides capacity by rank, with a floor for each route.

    Routes of the same rank get the same share of their load. Capacity outside
    of a route's regions is of no use to it.

    Args:
        competitors: The routes that use the service.
        capacity: Capacity in slots by region.

    Returns:
        Slots by route, at most the route's load.
    """
    routes = [c for c in competitors if c.load > 0]
    granted = {c.route: 0.0 for c in routes}
    total = sum(c.load for c in routes)
    if not total:
        return granted
    free = dict(capacity)
    floor = _FLOOR_SHARE * min(1.0, sum(free.values()) / total)
    _fill(routes, {c.route: c.load * floor for c in routes}, free, granted)
    for rank in sorted({c.rank for c in routes}):
        of_rank = [c for c in routes if c.rank == rank]
        wanted = {c.route: c.load - granted[c.route] for c in of_rank}
        even = min(1.0, sum(free.values()) / max(sum(wanted.values()), 1e-9))
        first = {route: load * even for route, load in wanted.items()}
        _fill(of_rank, first, free, granted)
        rest = {c.route: c.load - granted[c.route] for c in of_rank}
        _fill(of_rank, rest, free, granted)
    return granted


def _fill(
    routes: Iterable[Competitor],
    wanted: Mapping[str, float],
    free: dict[str, float],
    granted: dict[str, float],
) -> None:
    """Moves free capacity to routes, those bound to fewer regions first."""
    for c in sorted(routes, key=lambda c: len(c.regions) or math.inf):
        regions = [r for r in free if not c.regions or r in c.regions]
        available = sum(free[r] for r in regions)
        if available <= 0:
            continue
        taken = min(wanted[c.route], available)
        granted[c.route] += taken
        for region in regions:
            # Keys and requests are spread by capacity.
            free[region] *= 1 - taken / available


def _add_surplus(
    competitors: Iterable[Competitor],
    granted: dict[str, float],
    surplus: float,
) -> None:
    """Grants a surplus to the least urgent routes that lack capacity."""
    for c in sorted(competitors, key=lambda c: -c.rank):
        if c.load <= 0:
            continue
        added = min(c.load - granted[c.route], surplus)
        granted[c.route] += added
        surplus -= added


class Division:
    """The division of one service, corrected by what its targets show.

    Calculated capacity is wrong where targets fail, keys are uneven or service
    times have changed. What the busy slots serve corrects it. Slots that are
    free while requests are refused raise the shares in addition.

    Attributes:
        capacity: Corrected capacity in slots.
        correction: Corrected relative to calculated capacity.
        granted: Slots by route; empty while there is no division.
        limited: Routes that may not use more than what is granted to them.
        load: Slots that all routes together ask for.
    """

    __slots__ = (
        "_busy",
        "_measured_seconds",
        "_raise",
        "_updated_at",
        "capacity",
        "correction",
        "granted",
        "limited",
        "load",
    )

    def __init__(self, now: float) -> None:
        """Creates the state of a service without a division."""
        self.correction = 1.0
        self.capacity = 0.0
        self.load = 0.0
        self.granted: dict[str, float] = {}
        self.limited: frozenset[str] = frozenset()
        self._busy = 0.0
        self._measured_seconds = 0.0
        self._raise = 1.0
        self._updated_at = now

    @property
    def active(self) -> bool:
        """Whether the capacity is divided."""
        return bool(self.granted)

    def update(
        self,
        competitors: list[Competitor],
        capacity: Mapping[str, float],
        occupancy: Occupancy,
        now: float,
        *,
        gated: bool = False,
    ) -> None:
        """Computes the division anew.

        Args:
            competitors: The routes that use the service.
            capacity: Calculated capacity in slots by region.
            occupancy: How full the targets are.
            now: The time.
            gated: Whether targets run the more urgent of two waiting requests
                first.
        """
        elapsed = max(now - self._updated_at, 0.0)
        self._updated_at = now
        self._measure(sum(capacity.values()), occupancy, elapsed)
        corrected = {r: c * self.correction for r, c in capacity.items()}
        self.capacity = sum(corrected.values())
        self.load = sum(c.load for c in competitors)
        counted = [
            c for c in competitors if c.load > self.load * _MIN_LOAD_SHARE
        ]
        ranks = {c.rank for c in counted}
        begins = self.active or (
            occupancy.tight >= _FULL_FROM
            and self._measured_seconds >= _MIN_MEASURED_SECONDS
        )
        if len(ranks) < 2 or not self.capacity or not begins:
            self.granted = {}
            return
        granted = divide(
            counted, {r: c * self._raise for r, c in corrected.items()}
        )
        protects = not gated and self._needs_protection(
            [c for c in counted if c.rank > min(ranks) and not c.weighted],
            granted,
        )
        if gated:
            _add_surplus(counted, granted, self.capacity * _SURPLUS_SHARE)
        self.limited = frozenset(
            c.route
            for c in counted
            if granted[c.route] < c.load * _ENOUGH_SHARE
            and (c.rank > min(ranks) or protects)
            and not occupancy.has_free_slots(c)
            # A limit at one of its services would shift its shares.
            and not c.weighted
        )
        self.granted = granted if self.limited else {}

    def _needs_protection(
        self, less_urgent: Iterable[Competitor], granted: Mapping[str, float]
    ) -> bool:
        """Whether a route would fall below its floor without limits on all.

        Where each gets more, the most urgent routes lack capacity that the
        others do not use, as in a region that these are not bound to.
        """
        floor = _FLOOR_SHARE * min(1.0, self.capacity * self._raise / self.load)
        return any(
            granted[c.route] < c.load * floor * _PROTECTED_BELOW
            for c in less_urgent
        )

    def _measure(
        self, capacity: float, occupancy: Occupancy, elapsed: float
    ) -> None:
        """Adapts the correction and the rise to what the targets show."""
        lag = _RATE_SECONDS + occupancy.interval / 2
        weight = 1 - math.exp(-elapsed / lag)
        self._busy += (occupancy.busy - self._busy) * weight
        # Responses are counted later than requests in progress.
        steady = abs(occupancy.busy - self._busy) < _STEADY_WITHIN
        busy_enough = self._busy >= _MEASURED_FROM
        if busy_enough and steady and capacity and occupancy.served:
            # Counts of many VMs are old, and so too low at full targets.
            busy = 1.0 if self._busy >= _FULL_FROM else self._busy
            measured = occupancy.served / (busy * capacity)
            elapsed = min(elapsed, _MIN_MEASURED_SECONDS)
            self._measured_seconds += elapsed
            # At first the mean of all measurements.
            weight = max(
                1 - math.exp(-elapsed / _MEASURED_SECONDS),
                elapsed / max(self._measured_seconds, _RATE_SECONDS),
            )
            self.correction += (measured - self.correction) * weight
            self.correction = min(
                max(self.correction, _MIN_CORRECTION), _MAX_CORRECTION
            )
        seconds = max(_RAISE_SECONDS, _RAISE_UPDATES * occupancy.interval)
        step = math.exp(min(elapsed / seconds, 1.0))
        if self.active and occupancy.tight < _FREE_BELOW:
            self._raise = min(self._raise * step, _MAX_RAISE)
        elif occupancy.tight >= _FULL_FROM:
            self._raise = max(self._raise / step, 1.0)


class _Rate:
    """One VM's requests of a route for a service.

    Attributes:
        fast: Requests per second over the short time constant.
        slow: The same over the long one.
        served: Responses per second over the short one.
        work: Mean service time in seconds.
    """

    __slots__ = ("fast", "served", "slow", "work")

    def __init__(self, item: RouteDemand) -> None:
        self.fast = item.rate
        self.slow = item.rate
        self.served = item.served
        self.work = item.work


_NO_DEMAND = RouteDemand(0.0, 0.0)
_TOTALS = 5
"""Sums over the VMs: rates over the two time constants, load and rate of VMs
that have measured the work, and responses."""


class DemandAccount:
    """Requests of all VMs by service and route, from their reports."""

    __slots__ = ("_rates", "_reported_at", "_totals")

    def __init__(self) -> None:
        """Creates an account without reports."""
        self._rates: dict[str, dict[tuple[str, str], _Rate]] = {}
        self._reported_at: dict[str, float] = {}
        self._totals: dict[tuple[str, str], list[float]] = {}

    def record(
        self,
        vm: str,
        demand: Mapping[str, Mapping[str, RouteDemand]],
        now: float,
    ) -> None:
        """Records a VM's report."""
        reported = {
            (service, route): item
            for service, by_route in demand.items()
            for route, item in by_route.items()
            if _is_valid(item)
        }
        rates = self._rates.setdefault(vm, {})
        elapsed = max(now - self._reported_at.get(vm, -math.inf), 0.0)
        self._reported_at[vm] = now
        fast = 1 - math.exp(-elapsed / _RATE_SECONDS)
        slow = 1 - math.exp(-elapsed / _PART_SECONDS)
        self._add(rates, -1)
        for name, item in reported.items():
            entry = rates.setdefault(name, _Rate(item))
            entry.work = item.work or entry.work
        for name, entry in list(rates.items()):
            item = reported.get(name, _NO_DEMAND)
            entry.fast += (item.rate - entry.fast) * fast
            entry.slow += (item.rate - entry.slow) * slow
            entry.served += (item.served - entry.served) * fast
            if max(entry.fast, entry.slow, entry.served) < _MIN_RATE:
                del rates[name]
        self._add(rates, 1)

    def drop_before(self, earliest: float) -> None:
        """Drops the demand of VMs whose last report is older."""
        old = [vm for vm, at in self._reported_at.items() if at < earliest]
        for vm in old:
            del self._reported_at[vm]
            self._add(self._rates.pop(vm), -1)

    def total(self, service: str, route: str) -> RouteDemand:
        """Returns the demand of all VMs."""
        rate, _, load, measured, served = self._totals.get(
            (service, route), (0.0,) * _TOTALS
        )
        work = load / measured if measured > _MIN_RATE else 0.0
        return RouteDemand(max(rate, 0.0), max(work, 0.0), max(served, 0.0))

    def part(self, vm: str, service: str, route: str) -> float:
        """Returns a VM's part of a route's requests for a service."""
        count = len(self._reported_at)
        if vm not in self._reported_at:
            return 0.0
        total = self._totals.get((service, route), (0.0,) * _TOTALS)[1]
        entry = self._rates[vm].get((service, route))
        if total <= _MIN_RATE:
            return 1 / count
        own = entry.slow / total if entry else 0.0
        return (1 - _EVEN_SHARE) * min(own, 1.0) + _EVEN_SHARE / count

    def _add(self, rates: Mapping[tuple[str, str], _Rate], sign: int) -> None:
        """Adds a VM's rates to the totals, or subtracts them."""
        for name, entry in rates.items():
            total = self._totals.setdefault(name, [0.0] * _TOTALS)
            total[0] += sign * entry.fast
            total[1] += sign * entry.slow
            if entry.work:
                total[2] += sign * entry.fast * entry.work
                total[3] += sign * entry.fast
            total[4] += sign * entry.served


def _is_valid(item: RouteDemand) -> bool:
    """Whether a reported demand can be used."""
    return all(
        0 <= value <= _MAX_REPORTED
        for value in (item.rate, item.work, item.served)
    )
