"""The leader's planner for the tables of key ranges.

It decides when a table has to change, from the load reports of VMs and the
responses of targets to orders. `rebalance` chooses the single moves.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import math

from mimosastile_core.gateway import directory
from mimosastile_core.gateway import key_rates
from mimosastile_core.gateway import ranges
from mimosastile_core.gateway import rebalance
from mimosastile_core.gateway import target_speeds
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import dissemination
from mimosastile_gateway import events
from mimosastile_gateway import grant_reconciliation
from mimosastile_gateway import messages
from mimosastile_gateway import settings

_BACKOFF_VMS = 2
"""Number of VMs that a target must have asked to back off before its keys move.
A backoff that concerns a single VM is due to that VM's share of the load."""
_LIMIT_SHARE = 0.6
"""Share of a target's rate limit up to which it gets keys. The rest is a
margin, as counts of a few requests per second deviate that far by chance before
keys move."""
_MIN_LIMITED_RATE = 0.05
"""Lower bound, in requests per second, on the estimated capacity of a
rate-limited target."""
_MIN_UNLIMITED_SHARE = 0.1
"""Lower bound on the estimated share of requests that go to targets without a
rate limit."""
_LIMIT_MAX_AGE_SECONDS = 20.0
"""Time for which a reported rate limit counts without being reported again. A
target whose keys are not requested cannot repeat its limit; after this time it
is given keys again."""
_LOST_TARGET_PAUSE_SECONDS = 3.0
"""Seconds for which a target that did not respond to orders gets no keys."""
_COLD_SHARE = 0.5
"""Capacity of a target in slow start, relative to a warm one."""
_RELEASE_COMMIT_INTERVAL_SECONDS = 0.3
"""Minimum interval between changes that only record released former owners."""
_HOT_KEY_PAUSE_SECONDS = 4.0
"""Seconds for which a hot key stays at its target after a move. Each move
delays the key's requests, and the estimated speeds of targets are not precise
enough for a second move to gain what it costs."""
_DEFAULT_REQUEST_SECONDS = 0.1
"""Assumed duration of a request while no VM has reported one."""
_MAX_MERGES = 8
"""Maximum number of merged ranges per change; each merge needs one more
grant."""
_MERGE_INTERVAL_SECONDS = 2.0
_STEADY_INTERVAL_SECONDS = 1.0
"""Interval between two evaluations of the steady load, the counts of which
change slowly and are many."""
_PRUNE_INTERVAL_SECONDS = 10.0
"""Interval between two removals of ended targets and VMs from the speeds."""
_MIN_SLOWNESS = 0.3
_MAX_SLOWNESS = 16.0
"""Bounds on the estimated slowness of a target, relative to the mean."""


class KeyedService:
    """The leader's state for one sharded service.

    Attributes:
        table: The table in force.
        revision: Store revision of the table, 0 before the first commit.
        reconciler: Sends the orders of the table.
        fast_rates: Request rates of keys over the short time constant.
        slow_rates: Request rates of keys over the long time constant.
        steady_rates: The same over the longest one.
        utilisations: Expected load of targets relative to their capacity.
    """

    __slots__ = (
        "_key_moved_at",
        "_moved_key",
        "fast_rates",
        "reconciler",
        "revision",
        "slow_rates",
        "steady_at",
        "steady_rates",
        "table",
        "utilisations",
    )

    def __init__(
        self,
        table: ranges.RangeTable,
        revision: int,
        reconciler: grant_reconciliation.GrantReconciler,
        fast_rates: key_rates.KeyRates,
        slow_rates: key_rates.KeyRates,
        steady_rates: key_rates.KeyRates,
    ) -> None:
        """Creates the state of a service for its first or stored table.

        Args:
            table: The table.
            revision: Store revision of the table, 0 if it is not stored yet.
            reconciler: Sends the orders of the table.
            fast_rates: Request rates of keys over the short time constant.
            slow_rates: Request rates of keys over the long time constant.
            steady_rates: The same over the longest one.
        """
        self.table = table
        self.revision = revision
        self.reconciler = reconciler
        self.fast_rates = fast_rates
        self.slow_rates = slow_rates
        self.steady_rates = steady_rates
        self.steady_at = -math.inf
        self.utilisations: dict[str, float] = {}
        self._moved_key: int | None = None
        self._key_moved_at = 0.0

    def record_requests(self, keys: list[int], now: float) -> None:
        """Counts requests by key."""
        for rates in (self.fast_rates, self.slow_rates, self.steady_rates):
            rates.add(keys, now)

    def record_moves(self, moves: Iterable[ranges.Move], now: float) -> None:
        """Records the time of a move that concerns a single key."""
        for move in moves:
            if move.first == move.last:
                self._moved_key = move.first
                self._key_moved_at = now

    def recently_moved_key(self, now: float) -> int | None:
        """Returns the key that moved too recently to move again, if any."""
        recent = now - self._key_moved_at < _HOT_KEY_PAUSE_SECONDS
        return self._moved_key if recent else None


class Planner:
    """Computes the next table of a service."""

    __slots__ = (
        "_backoffs_by_vm",
        "_clock",
        "_cluster",
        "_disseminator",
        "_events",
        "_excluded_until",
        "_merged_at",
        "_released_at",
        "_settings",
        "_speeds",
        "_speeds_pruned_at",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        disseminator: dissemination.Disseminator,
        cluster: cluster_state.ClusterState,
        timer: clock.Clock,
        log: events.EventLog,
    ) -> None:
        """Creates a planner without any load reports.

        Args:
            configured: Settings of this VM.
            disseminator: The reports of VMs.
            cluster: This VM's view of the cluster.
            timer: The clock.
            log: The event log.
        """
        self._settings = configured
        self._disseminator = disseminator
        self._cluster = cluster
        self._clock = timer
        self._events = log
        self._speeds = target_speeds.JoinedSpeeds()
        self._speeds_pruned_at = 0.0
        self._excluded_until: dict[str, float] = {}
        self._backoffs_by_vm: dict[str, dict[str, float]] = {}
        self._released_at = 0.0
        self._merged_at = 0.0

    def next_table(
        self, keyed: KeyedService, targets: list[directory.Target], now: float
    ) -> ranges.RangeTable | None:
        """Returns the next table, None if the current one need not change.

        Args:
            keyed: The service.
            targets: Targets of the service that may own keys.
            now: The time.
        """
        table = self._refenced(keyed, targets)
        if table is None:
            table = self._moved(keyed, targets, now)
        if table is None:
            table = self._without_released(keyed)
        if table is None:
            table = self._merged(keyed)
        return table

    def _refenced(
        self, keyed: KeyedService, targets: list[directory.Target]
    ) -> ranges.RangeTable | None:
        """Assigns new fences to restarted or unresponsive targets."""
        current = {target.id: holder(target) for target in targets}
        renewed = {
            owner: current[owner.id]
            for owner in keyed.table.owners()
            if owner.id in current
            # An earlier incarnation's registration proves no end of the owner,
            # whose keys are moved with a release instead.
            and current[owner.id].born >= owner.born
            and (
                current[owner.id] != owner
                or keyed.reconciler.needs_fence(owner)
            )
        }
        if not renewed:
            return None
        self._events.write(
            "leader",
            "refenced",
            service=keyed.table.service,
            targets=[holder.id for holder in renewed],
        )
        return ranges.refence(keyed.table, renewed, self._clock.new_id())

    def _moved(
        self, keyed: KeyedService, targets: list[directory.Target], now: float
    ) -> ranges.RangeTable | None:
        """Moves keys off lost targets, or else to balance the load."""
        capacity = self._capacity(targets, now)
        lost = self._lost(keyed, capacity, now)
        for holder in lost:
            capacity.pop(holder, None)
        fast = keyed.fast_rates.counts(now)
        slow = keyed.slow_rates.counts(now)
        request_rate = sum(slow.values()) / self._settings.leader.heat_slow
        duration = self._duration(keyed.table.service)
        rates = self._rates(capacity, duration)
        capacity = self._within_rate_limits(capacity, request_rate, now)
        moves = rebalance.evacuate(keyed.table, capacity, slow, lost)
        why = "evacuated"
        if not moves and not lost and self._has_enough_reports():
            why = "isolated a hot key"
            moves = rebalance.isolate(
                keyed.table,
                rates,
                {
                    key: count / self._settings.leader.heat_fast
                    for key, count in fast.items()
                },
                self._settings.balance,
                keyed.recently_moved_key(now),
            )
            if not moves:
                why = "spread a hot run"
                moves = rebalance.spread(
                    keyed.table, capacity, fast, self._settings.balance
                )
            if not moves:
                why = "spread"
                moves = rebalance.spread(
                    keyed.table, capacity, slow, self._settings.balance
                )
            if now - keyed.steady_at > _STEADY_INTERVAL_SECONDS:
                keyed.steady_at = now
                steady = self._spread_steady(keyed, capacity, slow, duration)
                if steady and not moves:
                    why = "spread steady load"
                    moves = steady
        if not moves:
            return None
        keyed.record_moves(moves, now)
        self._events.write(
            "leader",
            "moves",
            service=keyed.table.service,
            why=why,
            lost=[holder.id for holder in lost],
            utilisation=_summary(keyed.utilisations),
            moves=[(m.first, m.last, m.to.id) for m in moves],
            version=keyed.table.version,
        )
        return ranges.move(keyed.table, moves, self._clock.new_id())

    def _has_enough_reports(self) -> bool:
        """Whether enough VMs report for the load to be estimated."""
        fresh = self._disseminator.fresh()
        vm_count = len(self._cluster.vms)
        return len(fresh) * 2 >= vm_count

    def _capacity(
        self, targets: Iterable[directory.Target], now: float
    ) -> dict[ranges.Holder, float]:
        """Returns the usable targets' capacities in concurrent requests."""
        factors = self._speeds.factors()
        backing_off = self._targets_in_backoff(now)
        capacity = {}
        for target in targets:
            factor = factors.get(target.id, 1.0)
            factor = min(max(factor, _MIN_SLOWNESS), _MAX_SLOWNESS)
            slots = target.slots / factor
            if now < target.warm_at:
                slots *= _COLD_SHARE
            if self._excluded_until.get(target.id, 0.0) > now:
                continue
            capacity[holder(target)] = slots
        available = {
            h: slots for h, slots in capacity.items() if h.id not in backing_off
        }
        # If most targets back off, the others cannot take over their keys.
        return available if 2 * len(available) >= len(capacity) else capacity

    def _spread_steady(
        self,
        keyed: KeyedService,
        capacity: Mapping[ranges.Holder, float],
        recent: Mapping[int, float],
        duration: float,
    ) -> list[ranges.Move]:
        """Moves load that has long been more than a target's share."""
        now = self._clock.now()
        steady = keyed.steady_rates.counts(now)
        full = keyed.steady_rates.window(now) / duration
        utilisations = rebalance.utilisations(
            keyed.table, capacity, steady, full
        )
        keyed.utilisations = {
            holder.id: round(share, 3) for holder, share in utilisations.items()
        }
        load = sum(c * utilisations[h] for h, c in capacity.items())
        if not rebalance.differs(capacity) or load > sum(capacity.values()):
            # Moves do not help a service that lacks capacity.
            return []
        return rebalance.spread(
            keyed.table, capacity, steady, self._settings.balance, full, recent
        )

    def _duration(self, service: str) -> float:
        """Returns the mean duration of a service's requests in seconds."""
        reports = self._disseminator.fresh().values()
        durations = [r.work[service] for r in reports if service in r.work]
        if not durations:
            return _DEFAULT_REQUEST_SECONDS
        return sum(durations) / len(durations)

    def _rates(
        self, capacity: Mapping[ranges.Holder, float], duration: float
    ) -> dict[ranges.Holder, float]:
        """Returns capacities in requests per second."""
        limits = self._rate_limits(capacity, self._clock.now())
        return {
            holder: min(slots / duration, limits.get(holder, math.inf))
            for holder, slots in capacity.items()
        }

    def _rate_limits(
        self, holders: Iterable[ranges.Holder], now: float
    ) -> dict[ranges.Holder, float]:
        """Returns the recently reported rate limits of targets."""
        reported = self._cluster.limits
        earliest = now - _LIMIT_MAX_AGE_SECONDS
        rates = {
            holder: reported.rate_since(holder.id, holder.born, earliest)
            for holder in holders
        }
        return {h: rate for h, rate in rates.items() if rate is not None}

    def _within_rate_limits(
        self,
        capacity: Mapping[ranges.Holder, float],
        request_rate: float,
        now: float,
    ) -> dict[ranges.Holder, float]:
        """Returns capacities reduced to the rate limits of targets.

        Args:
            capacity: Capacities in any common unit.
            request_rate: Requests per second for the whole service.
            now: The time.
        """
        limited = dict(capacity)
        max_rates = {
            holder: max(rate * _LIMIT_SHARE, _MIN_LIMITED_RATE)
            for holder, rate in self._rate_limits(capacity, now).items()
        }
        unlimited = sum(c for h, c in capacity.items() if h not in max_rates)
        if not unlimited or not max_rates:
            return {**limited, **max_rates}
        remaining_rate = max(
            request_rate - sum(max_rates.values()),
            request_rate * _MIN_UNLIMITED_SHARE,
        )
        for holder, rate in max_rates.items():
            if remaining_rate:
                limited[holder] = min(
                    limited[holder], rate * unlimited / remaining_rate
                )
        return limited

    def record_report(self, report: messages.Report) -> None:
        """Records the speeds of targets and the backoffs of a VM's report."""
        now = self._clock.now()
        self._backoffs_by_vm[report.vm.id] = {
            target: now + seconds for target, seconds in report.backoffs.items()
        }
        samples = report.speeds
        if not samples:
            # A VM of an older version, or one that has measured nothing.
            samples = {
                target: target_speeds.SpeedSample(factor, 1.0, 0.0)
                for target, factor in report.factors.items()
            }
        self._speeds.record(report.vm.id, report.vm.boot, samples, now)
        if now - self._speeds_pruned_at > _PRUNE_INTERVAL_SECONDS:
            self._speeds_pruned_at = now
            self._speeds.retain(
                (entry.target.id for entry in self._cluster.directory),
                self._disseminator.fresh(),
            )

    def speeds(self) -> dict[str, float]:
        """Returns the service times of targets relative to the mean."""
        factors = self._speeds.factors().items()
        return {target: round(factor, 3) for target, factor in factors}

    def unmeasured_speeds(
        self, vm: messages.VmEntry
    ) -> dict[str, target_speeds.SpeedSample]:
        """Returns speeds of targets that a VM has not measured itself."""
        return self._speeds.unmeasured(vm.id, vm.boot, self._clock.now())

    def _targets_in_backoff(self, now: float) -> set[str]:
        """Returns targets that have asked several VMs to back off."""
        vm_counts = collections.Counter(
            target
            for vm in self._disseminator.fresh()
            for target, ends in self._backoffs_by_vm.get(vm, {}).items()
            if now < ends
        )
        return {t for t, vms in vm_counts.items() if vms >= _BACKOFF_VMS}

    def _lost(
        self,
        keyed: KeyedService,
        capacity: Mapping[ranges.Holder, float],
        now: float,
    ) -> list[ranges.Holder]:
        """Returns the owners that have to lose all their keys."""
        owners = keyed.table.owners()
        unresponsive = {
            o for o in owners if keyed.reconciler.is_unresponsive(o)
        }
        if len(unresponsive) * 2 > len(owners) and len(owners) > 1:
            # This VM is probably cut off, rather than most of the targets.
            self._events.write(
                "leader",
                "most_targets_silent",
                silent=len(unresponsive),
                owners=len(owners),
            )
            unresponsive = set()
        for owner in unresponsive:
            self._excluded_until[owner.id] = now + _LOST_TARGET_PAUSE_SECONDS
        gone = {o for o in owners if o not in capacity}
        return sorted(unresponsive | gone, key=lambda holder: holder.id)

    def _without_released(
        self, keyed: KeyedService
    ) -> ranges.RangeTable | None:
        """Removes released former owners from the table."""
        now = self._clock.now()
        released = keyed.reconciler.released_fences()
        if (
            not released
            or now - self._released_at < _RELEASE_COMMIT_INTERVAL_SECONDS
        ):
            return None
        self._released_at = now
        return ranges.remove_released(
            keyed.table, released, self._clock.new_id()
        )

    def _merged(self, keyed: KeyedService) -> ranges.RangeTable | None:
        """Merges adjacent ranges of the same owner."""
        now = self._clock.now()
        if now - self._merged_at < _MERGE_INTERVAL_SECONDS:
            return None
        self._merged_at = now
        table = ranges.join(keyed.table, _MAX_MERGES, self._clock.new_id())
        if len(table.ranges) == len(keyed.table.ranges):
            return None
        return table


def _summary(utilisations: Mapping[str, float]) -> dict[str, float]:
    """Returns the mean and the highest utilisation of targets."""
    if not utilisations:
        return {}
    shares = utilisations.values()
    return {
        "mean": round(sum(shares) / len(shares), 3),
        "highest": max(shares),
    }


def holder(target: directory.Target) -> ranges.Holder:
    """Returns a target's incarnation as an owner of keys."""
    return ranges.Holder(target.id, target.born, target.address)
