"""The leader's account of the capacity of services that routes compete for."""

from collections.abc import Callable
from collections.abc import Mapping

from mimosastile_core.gateway import demand
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import routes
from mimosastile_core.gateway import service_room
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events
from mimosastile_gateway import messages
from mimosastile_gateway import settings

_UPDATE_SECONDS = 0.1
"""Interval between two divisions; half of the shortest report interval."""
_CAPACITY_SECONDS = 0.5
"""Interval between two computations of the capacity from all targets."""
_VALID_SECONDS = 1.5
"""Seconds for which a report counts at least."""
_VALID_INTERVALS = 2.5
"""Report intervals for which a report counts."""
_COLD_SHARE = 0.5
"""Capacity of a target in slow start, relative to a warm one."""
_MIN_SLOWNESS = 0.3
_MAX_SLOWNESS = 8.0
"""Bounds on the slowness of a target, relative to the mean."""
_LOGGED_CHANGE = 0.3
"""Change of a route's share, relative to its load, that is logged."""

Shares = dict[str, dict[str, service_room.RouteShare]]


class _Service:
    """State of one service.

    Attributes:
        capacity: Calculated capacity in slots by region.
        competitors: The routes that have requests for it.
        division: Its division.
        logged: Shares of their load that routes got when last logged.
        slots: Slots by region and target.
    """

    __slots__ = ("capacity", "competitors", "division", "logged", "slots")

    def __init__(self, now: float) -> None:
        self.capacity: dict[str, float] = {}
        self.slots: dict[str, dict[str, int]] = {}
        self.competitors: list[service_room.Competitor] = []
        self.division = service_room.Division(now)
        self.logged: dict[str, float] = {}


class RoomAccounting:
    """Divides services whose capacity does not suffice, by route."""

    __slots__ = (
        "_capacity_at",
        "_clock",
        "_cluster",
        "_demand",
        "_events",
        "_interval",
        "_occupied",
        "_services",
        "_settings",
        "_slowness",
        "_updated_at",
        "_valid_seconds",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        cluster: cluster_state.ClusterState,
        slowness: Callable[[], Mapping[str, float]],
        timer: clock.Clock,
        log: events.EventLog,
    ) -> None:
        """Creates an account without reports.

        Args:
            configured: Settings of this VM.
            cluster: This VM's view of the cluster.
            slowness: Returns the measured slowness of targets, relative to
                the mean.
            timer: The clock.
            log: The event log.
        """
        self._settings = configured
        self._cluster = cluster
        self._slowness = slowness
        self._clock = timer
        self._events = log
        self._interval = configured.leader.report
        self._valid_seconds = _VALID_SECONDS
        self._demand = service_room.DemandAccount()
        self._occupied = demand.Demand(_VALID_SECONDS)
        self._services: dict[str, _Service] = {}
        self._updated_at = float("-inf")
        self._capacity_at = float("-inf")

    def record(self, report: messages.Report, vms: int) -> None:
        """Records a VM's report.

        Args:
            report: The report.
            vms: Number of VMs that report.
        """
        now = self._clock.now()
        leader = self._settings.leader
        self._interval = leader.report + leader.report_per_vm * vms
        self._valid_seconds = max(
            _VALID_SECONDS, _VALID_INTERVALS * self._interval
        )
        self._demand.record(report.vm.id, report.demand, now)
        self._occupied.set_valid_seconds(self._valid_seconds)
        self._occupied.record(report.vm.id, report.under_way, {}, now)

    def shares_for(self, vm: str) -> Shares:
        """Returns what routes may use of divided services, for one VM."""
        now = self._clock.now()
        if now - self._updated_at >= _UPDATE_SECONDS:
            self._updated_at = now
            self._update(now)
        shares = {
            name: self._shares_of(name, service, vm)
            for name, service in self._services.items()
            if service.division.active
        }
        return {name: by_route for name, by_route in shares.items() if by_route}

    def gauges(self) -> dict[str, dict[tuple[str, str], float]]:
        """Returns gauges in slots by name, then by service and route.

        A service's capacity has an empty route.
        """
        capacity: dict[tuple[str, str], float] = {}
        load: dict[tuple[str, str], float] = {}
        share: dict[tuple[str, str], float] = {}
        for name, service in self._services.items():
            capacity[name, ""] = service.division.capacity
            for c in service.competitors:
                granted = service.division.granted.get(c.route, c.load)
                load[name, c.route] = c.load
                share[name, c.route] = granted
        return {
            "room_capacity_slots": capacity,
            "room_demand_slots": load,
            "room_share_slots": share,
        }

    def dump(self) -> dict[str, object]:
        """Returns the account for the state dump, in slots."""
        return {
            name: {
                "capacity": round(service.division.capacity, 1),
                "correction": round(service.division.correction, 2),
                "demand": {
                    c.route: round(c.load, 2) for c in service.competitors
                },
                "shares": {
                    route: round(granted, 2)
                    for route, granted in service.division.granted.items()
                },
            }
            for name, service in self._services.items()
        }

    def _shares_of(
        self, name: str, service: _Service, vm: str
    ) -> dict[str, service_room.RouteShare]:
        """Returns a VM's shares of one divided service."""
        granted = service.division.granted
        shares = {}
        for c in service.competitors:
            if c.weighted or c.route not in granted:
                continue
            admitted = min(granted[c.route] / c.load, 1.0)
            shares[c.route] = service_room.RouteShare(
                round(admitted * c.rate, 3),
                round(self._demand.part(vm, name, c.route), 5),
                round(c.work, 4),
                c.route in service.division.limited,
                round(admitted, 4),
            )
        return shares

    def _is_keyed(self, name: str) -> bool:
        """Whether requests can go to one target only.

        The most urgent requests of such a service are refused by the gate of
        their target. A limit on all of them would refuse some whose target has
        a free slot.
        """
        configuration = self._cluster.configuration
        service = configuration.services.get(name) if configuration else None
        return service is not None and service.keyed

    def _update(self, now: float) -> None:
        """Computes the division of all services with routes of two ranks."""
        configuration = self._cluster.configuration
        ranked = _ranked_services(configuration) if configuration else {}
        for name in self._services.keys() - ranked.keys():
            del self._services[name]
        for name in ranked.keys() - self._services.keys():
            self._services[name] = _Service(now)
            self._capacity_at = float("-inf")
        if not ranked:
            return
        self._demand.drop_before(now - self._valid_seconds)
        if now - self._capacity_at >= _CAPACITY_SECONDS:
            self._capacity_at = now
            self._update_capacity(now)
        for name, service in self._services.items():
            competitors = (
                self._competitor(route, name) for route in ranked[name]
            )
            service.competitors = [c for c in competitors if c.load > 0]
            self._divide(name, service, now)

    def _competitor(
        self, route: routes.Route, service: str
    ) -> service_room.Competitor:
        total = self._demand.total(service, route.name)
        return service_room.Competitor(
            route.name,
            route.priority,
            total.rate,
            total.work,
            route.regions,
            len(route.parts) > 1,
        )

    def _divide(self, name: str, service: _Service, now: float) -> None:
        was_active = service.division.active
        service.division.update(
            service.competitors,
            service.capacity,
            self._occupancy(name, service),
            now,
            gated=self._is_keyed(name),
        )
        if was_active and not service.division.active:
            service.logged = {}
            self._events.write("room", "division_ended", service=name)
        elif service.division.active:
            self._log_shares(name, service, began=not was_active)

    def _occupancy(
        self, name: str, service: _Service
    ) -> service_room.Occupancy:
        """Returns how full the targets of a service are."""
        slots = {r: sum(s.values()) for r, s in service.slots.items()}
        spread = not self._is_keyed(name)
        busy = {
            region: self._occupied.busy(by_target, spread=spread)
            for region, by_target in service.slots.items()
        }
        overall = sum(busy.values()) / max(sum(slots.values()), 1)
        bound = {r for c in service.competitors for r in c.regions if r in busy}
        tight = max((busy[r] / max(slots[r], 1) for r in bound), default=0.0)
        served = sum(
            self._demand.total(name, c.route).served * c.work
            for c in service.competitors
        )
        by_region = {r: busy[r] / max(slots[r], 1) for r in slots}
        return service_room.Occupancy(
            overall,
            max(overall, tight),
            served,
            self._interval,
            by_region if spread else {},
        )

    def _log_shares(self, name: str, service: _Service, *, began: bool) -> None:
        """Logs a division that has begun or changed much."""
        division = service.division
        served = {
            c.route: round(division.granted[c.route] / c.load, 3)
            for c in service.competitors
            if c.route in division.limited
        }
        changed = any(
            abs(share - service.logged.get(route, 1.0)) > _LOGGED_CHANGE
            for route, share in served.items()
        )
        if not began and not changed:
            return
        service.logged = served
        self._events.write(
            "room",
            "division_began" if began else "division_changed",
            service=name,
            capacity=round(division.capacity, 1),
            correction=round(division.correction, 2),
            demand=round(division.load, 1),
            served=served,
        )

    def _update_capacity(self, now: float) -> None:
        """Adds up the capacity of the targets that take requests."""
        slowness = self._slowness()
        cold = set(self._cluster.cold_targets())
        for name, service in self._services.items():
            service.capacity = {}
            service.slots = {}
            for target in self._cluster.directory.ready(name):
                allowed = self._cluster.eligibility.allows(target.zone, ())
                if not allowed or target.id in cold:
                    continue
                slots = _effective_slots(target, slowness, now)
                region = self._settings.vm.regions.get(target.zone, "")
                service.capacity[region] = (
                    service.capacity.get(region, 0.0) + slots
                )
                by_region = service.slots.setdefault(region, {})
                by_region[target.id] = target.slots


def _effective_slots(
    target: directory.Target, slowness: Mapping[str, float], now: float
) -> float:
    """Returns a target's capacity in slots of a target of mean speed."""
    factor = slowness.get(target.id, 1.0)
    slots = target.slots / min(max(factor, _MIN_SLOWNESS), _MAX_SLOWNESS)
    return slots * _COLD_SHARE if now < target.warm_at else slots


def _ranked_services(
    configuration: routes.Configuration,
) -> dict[str, list[routes.Route]]:
    """Returns the services that routes of different ranks use."""
    users: dict[str, list[routes.Route]] = {}
    for route in configuration.routes:
        for part in route.parts:
            if part.weight > 0 and part.service in configuration.services:
                users.setdefault(part.service, []).append(route)
    return {
        name: using
        for name, using in users.items()
        if len({route.priority for route in using}) > 1
    }
