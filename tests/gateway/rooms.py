"""A service under simulated load, with the VMs and the leader in front of it.

Time is simulated. Targets with gates serve the more urgent of two waiting
requests first, others in the order of arrival. What cannot be on time is
refused.
"""

import collections
import heapq
import itertools
import random

import msgspec

from mimosastile_core.gateway import route_limits
from mimosastile_core.gateway import routes
from mimosastile_core.gateway import service_room
from mimosastile_gateway import clock
from mimosastile_gateway import messages
from mimosastile_gateway import room_accounting
from tests.gateway import fakes

SERVICE = "s"
WORK = 0.25
SLOTS = 4
_LINK_SECONDS = 0.015
_SAMPLED_TARGETS = 4


class ManualClock(clock.Clock):
    """A clock that a test sets."""

    def __init__(self):
        super().__init__(1)
        self.time = 0.0

    def now(self):
        """Returns the time that was set."""
        return self.time


class Kind(msgspec.Struct, frozen=True):
    """Requests of one route: arrivals per second at a time, rank and aim."""

    route: routes.Route
    rate: object

    @property
    def aim(self):
        """Seconds within which a response is on time."""
        return self.route.target_latency


def kind(name, rank, rate, aim=1.0, **changes):
    """Returns a kind with a constant rate or a function of time."""
    route = fakes.route(
        name=name,
        prefix=f"/{name}/",
        parts=(routes.Part(SERVICE),),
        priority=rank,
        target_latency=aim,
        **changes,
    )
    return Kind(route, rate if callable(rate) else lambda _: rate)


class _Target:
    def __init__(self, registered, region):
        self.registered = registered
        self.region = region
        self.running = 0
        self.queue = []

    def ahead(self, rank):
        """Returns how many requests are served before a new one."""
        return self.running + sum(item[0] <= rank for item in self.queue)


class _Vm:
    def __init__(self, name, rng):
        self.name = name
        self.limits = route_limits.RouteLimits(rng.random)
        self.under_way = collections.Counter()


class Room:
    """Simulates one service until a time and counts requests by route."""

    def __init__(self, vms, kinds, targets, *, keyed=False, gates=True, seed=1):
        self.rng = random.Random(seed)
        self.gates = gates
        self.kinds = kinds
        self.work = WORK
        self.clock = ManualClock()
        self.log = fakes.MemoryEvents()
        self.settings = fakes.configured()
        self.targets = [
            _Target(
                fakes.target(f"{zone}-{n}", SERVICE, zone=zone, slots=SLOTS),
                self.settings.vm.regions[zone],
            )
            for zone, count in targets.items()
            for n in range(count)
        ]
        self.cluster = fakes.new_cluster_state(
            self.clock, self.log, *(t.registered for t in self.targets)
        )
        self.configure(keyed)
        self.leader = self.new_leader()
        self.epoch = 1
        self.vms = [_Vm(f"vm{n}", self.rng) for n in range(vms)]
        for vm in self.vms:
            vm.limits.keep(kind.route for kind in kinds)
        leader = self.settings.leader
        self.interval = leader.report + leader.report_per_vm * vms
        self.report_delay = 0.0
        self.leading = True
        self.arrived = collections.Counter()
        self.on_time = collections.Counter()
        self.idle_refusals = collections.Counter()
        self._counted = (float("inf"), float("inf"))
        self._allowed = {
            item.route.name: [
                target
                for target in self.targets
                if not item.route.regions or target.region in item.route.regions
            ]
            for item in kinds
        }
        self._events = []
        self._serial = itertools.count()
        for vm in self.vms:
            self._at(self.interval * self.rng.random(), self._report, vm)
        for item in kinds:
            self._at(0.0, self._arrive, item, False)

    def configure(self, keyed):
        """Puts a configuration with the routes of all kinds in force."""
        self.cluster.apply_configuration(
            routes.Configuration(
                self.cluster.version + 1,
                tuple(item.route for item in self.kinds),
                {SERVICE: routes.Service(SERVICE, keyed=keyed)},
            )
        )

    def new_leader(self):
        """Returns the account of a new leader."""
        return room_accounting.RoomAccounting(
            self.settings, self.cluster, dict, self.clock, self.log
        )

    def run(self, until):
        """Simulates until a time."""
        while self._events and self._events[0][0] <= until:
            at, _, action, arguments = heapq.heappop(self._events)
            self.clock.time = at
            action(*arguments)
        self.clock.time = until

    def count(self, since, until):
        """Simulates, and counts the requests that arrive in a time."""
        self.run(since)
        self.arrived.clear()
        self.on_time.clear()
        self.idle_refusals.clear()
        self._counted = (since, until)
        self.run(until + max(item.aim for item in self.kinds) + 0.1)

    def credit(self, name):
        """Returns the share of a route's requests that were on time."""
        return self.on_time[name] / max(self.arrived[name], 1)

    def ideal(self, name, now=0.0):
        """Returns the same for a division that knows capacity and demand."""
        capacity = collections.Counter()
        for target in self.targets:
            capacity[target.region] += SLOTS
        competitors = [
            service_room.Competitor(
                k.route.name,
                k.route.priority,
                k.rate(now),
                self.work,
                k.route.regions,
            )
            for k in self.kinds
        ]
        granted = service_room.divide(competitors, capacity)
        loads = {c.route: c.load for c in competitors}
        return granted[name] / loads[name]

    def busy(self):
        """Returns the share of the slots that are busy."""
        running = sum(t.running for t in self.targets)
        return running / (len(self.targets) * SLOTS)

    def _at(self, time, action, *arguments):
        heapq.heappush(
            self._events, (time, next(self._serial), action, arguments)
        )

    def _report(self, vm):
        now = self.clock.time
        self._at(now + self.interval, self._report, vm)
        report = messages.Report(
            messages.VmEntry(vm.name, "boot", "", "z"),
            store=True,
            under_way=dict(vm.under_way),
            demand=vm.limits.take_demand(lambda _: self.work, now),
        )
        if self.leading:
            delay = _LINK_SECONDS + self.report_delay
            self._at(now + delay, self._reply, vm, report, self.leader)

    def _reply(self, vm, report, leader):
        leader.record(report, len(self.vms))
        shares = leader.shares_for(vm.name)
        epoch = self.epoch
        self._at(
            self.clock.time + _LINK_SECONDS,
            lambda: vm.limits.apply(shares, epoch, self.clock.time),
        )

    def _arrive(self, item, counts=True):
        now = self.clock.time
        rate = item.rate(now)
        step = self.rng.expovariate(rate) if rate else 0.05
        self._at(now + min(step, 0.05), self._arrive, item, step <= 0.05)
        if not counts or not rate:
            return
        name = item.route.name
        counted = self._counted[0] <= now < self._counted[1]
        self.arrived[name] += counted
        vm = self.rng.choice(self.vms)
        if vm.limits.admit(SERVICE, name, now):
            self.idle_refusals[name] += counted and self.busy() < 0.8
            return
        allowed = self._allowed[name]
        sampled = self.rng.sample(allowed, min(_SAMPLED_TARGETS, len(allowed)))
        target = min(sampled, key=lambda t: t.running + len(t.queue))
        rank = item.route.priority if self.gates else 0
        ahead = max(target.ahead(rank) + 1 - SLOTS, 0)
        if (ahead / SLOTS + 1) * self.work > item.aim:
            return
        vm.under_way[target.registered.id] += 1
        entry = (rank, next(self._serial), now, item, vm, counted)
        heapq.heappush(target.queue, entry)
        self._start(target)

    def _start(self, target):
        while target.queue and target.running < SLOTS:
            entry = heapq.heappop(target.queue)
            _, _, arrived_at, item, vm, _ = entry
            if self.clock.time + self.work - arrived_at > item.aim:
                self._leave(target, vm)
                continue
            target.running += 1
            seconds = self.work * (0.5 + self.rng.random())
            self._at(self.clock.time + seconds, self._end, target, entry)

    def _end(self, target, entry):
        _, _, arrived_at, item, vm, counted = entry
        target.running -= 1
        self._leave(target, vm)
        in_time = self.clock.time - arrived_at <= item.aim
        self.on_time[item.route.name] += counted and in_time
        vm.limits.record_response(SERVICE, item.route.name)
        self._start(target)

    def _leave(self, target, vm):
        vm.under_way[target.registered.id] -= 1
        if not vm.under_way[target.registered.id]:
            del vm.under_way[target.registered.id]
