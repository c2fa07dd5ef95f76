"""What a leader changes in the tables of key ranges, and why.

Decisions about single moves are in `rebalance`; this module says when one is
due, by what VMs report and by how targets answer orders.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import math

from mimosastile_core.gateway import directory
from mimosastile_core.gateway import key_rates
from mimosastile_core.gateway import ranges
from mimosastile_core.gateway import rebalance
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import dissemination
from mimosastile_gateway import events
from mimosastile_gateway import grant_reconciliation
from mimosastile_gateway import messages
from mimosastile_gateway import settings

_RESTING_VMS = 2
"""VMs from which a target must want nothing for its keys to move: what concerns
one VM alone is that one's share of the load."""
_LIMIT_SHARE = 0.6
"""Part of a target's limit up to which it gets keys; counts of a few requests a
second differ by that much by chance before keys move."""
_LIMIT_LEAST = 0.05
"""Requests a second that it is reckoned to carry at least."""
_LEFT_LEAST = 0.1
"""Part of all requests that targets without a limit are reckoned to get."""
_LIMIT_SECONDS = 20.0
"""For how long a limit counts that nobody has heard again: its target may have
no keys that anyone asks for, and gets some then."""
_LOST_REST = 3.0
"""Seconds for which a target that was silent gets no keys."""
_COLD_SHARE = 0.5
"""What a target that has just started can carry, against one that is warm."""
_SETTLE_PAUSE = 0.3
"""Seconds between changes that only note which targets have let go."""
_LONE_REST = 4.0
"""Seconds for which a hot key stays where it was moved. Each move holds its
requests up, and the speeds of targets are not known so well that a second move
would gain what it costs."""
_WORK_GUESS = 0.1
"""Seconds of a request while no VM has reported any."""
_JOIN_LIMIT = 8
"""Joins in one change; each needs one grant more."""
_JOIN_EVERY = 2.0
_FACTOR_LEAST = 0.3
_FACTOR_MOST = 8.0
"""Bounds on how slow or fast a target is taken for."""


class KeyedService:
    """What a leader keeps of one service that is divided by key."""

    __slots__ = (
        "_lone_at",
        "_lone_key",
        "fast",
        "reconciler",
        "revision",
        "slow",
        "table",
    )

    def __init__(
        self,
        table: ranges.RangeTable,
        revision: int,
        reconciler: grant_reconciliation.GrantReconciler,
        fast: key_rates.KeyRates,
        slow: key_rates.KeyRates,
    ) -> None:
        self.table = table
        self.revision = revision
        self.reconciler = reconciler
        self.fast = fast
        self.slow = slow
        self._lone_key: int | None = None
        self._lone_at = 0.0

    def record_moves(self, moves: Iterable[ranges.Move], now: float) -> None:
        """Remembers a single key that has just moved."""
        for move in moves:
            if move.first == move.last:
                self._lone_key = move.first
                self._lone_at = now

    def settled_key(self, now: float) -> int | None:
        """Returns a single key that moved too recently to move again."""
        recent = now - self._lone_at < _LONE_REST
        return self._lone_key if recent else None


class Planner:
    """Chooses the next table of a service."""

    __slots__ = (
        "_cluster",
        "_clock",
        "_events",
        "_factors_of",
        "_joined_at",
        "_lost_until",
        "_resting",
        "_settings",
        "_settled_at",
        "_disseminator",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        disseminator: dissemination.Disseminator,
        known: cluster_state.ClusterState,
        timer: clock.Clock,
        log: events.EventLog,
    ) -> None:
        """Makes one that has heard of no load yet."""
        self._settings = configured
        self._disseminator = disseminator
        self._cluster = known
        self._clock = timer
        self._events = log
        self._factors_of: dict[str, dict[str, float]] = {}
        self._lost_until: dict[str, float] = {}
        self._resting: dict[str, dict[str, float]] = {}
        self._settled_at = 0.0
        self._joined_at = 0.0

    def next_table(
        self, keyed: KeyedService, targets: list[directory.Target], now: float
    ) -> ranges.RangeTable | None:
        """Returns the next table, None if the present one is right.

        Args:
            keyed: The service.
            targets: Its targets that may own keys.
            now: The time.
        """
        table = self._changed_lives(keyed, targets)
        if table is None:
            table = self._moved(keyed, targets, now)
        if table is None:
            table = self._settled(keyed)
        if table is None:
            table = self._joined(keyed)
        return table

    def _changed_lives(
        self, keyed: KeyedService, targets: list[directory.Target]
    ) -> ranges.RangeTable | None:
        """New fences for targets that started again or were silent."""
        present = {target.id: holder(target) for target in targets}
        renewed = {
            owner: present[owner.id]
            for owner in keyed.table.owners()
            if owner.id in present
            and (
                present[owner.id] != owner
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
        capacity = self._capacity(targets, now)
        lost = self._lost(keyed, capacity, now)
        for holder in lost:
            capacity.pop(holder, None)
        fast = keyed.fast.counts(now)
        slow = keyed.slow.counts(now)
        asked = sum(slow.values()) / self._settings.leader.heat_slow
        rates = self._rates(capacity, keyed.table.service)
        capacity = self._within_limits(capacity, asked, now)
        moves = rebalance.evacuate(keyed.table, capacity, slow, lost)
        why = "evacuated"
        if not moves and not lost and self._hears_others():
            why = "isolated a hot key"
            moves = rebalance.isolate(
                keyed.table,
                rates,
                {
                    key: count / self._settings.leader.heat_fast
                    for key, count in fast.items()
                },
                self._settings.balance,
                keyed.settled_key(now),
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
        if not moves:
            return None
        keyed.record_moves(moves, now)
        self._events.write(
            "leader",
            "moves",
            service=keyed.table.service,
            why=why,
            lost=[holder.id for holder in lost],
            moves=[(m.first, m.last, m.to.id) for m in moves],
            version=keyed.table.version,
        )
        return ranges.move(keyed.table, moves, self._clock.new_id())

    def _hears_others(self) -> bool:
        """Whether reports are complete enough to judge load by them."""
        fresh = self._disseminator.fresh()
        known = len(self._cluster.vms)
        return len(fresh) * 2 >= known

    def _capacity(
        self, targets: Iterable[directory.Target], now: float
    ) -> dict[ranges.Holder, float]:
        factors = self._factors()
        rested = self._rested(now)
        capacity = {}
        for target in targets:
            factor = factors.get(target.id, 1.0)
            factor = min(max(factor, _FACTOR_LEAST), _FACTOR_MOST)
            able = target.slots / factor
            if now < target.warm_at:
                able *= _COLD_SHARE
            if self._lost_until.get(target.id, 0.0) > now:
                continue
            capacity[holder(target)] = able
        awake = {h: part for h, part in capacity.items() if h.id not in rested}
        # Where most rest, moving their keys to the others helps nobody.
        return awake if 2 * len(awake) >= len(capacity) else capacity

    def _rates(
        self, capacity: Mapping[ranges.Holder, float], service: str
    ) -> dict[ranges.Holder, float]:
        """Returns capacities in requests a second."""
        reports = self._disseminator.fresh().values()
        works = [r.work[service] for r in reports if service in r.work]
        work = sum(works) / len(works) if works else _WORK_GUESS
        limits = self._limits(capacity, self._clock.now())
        return {
            holder: min(part / work, limits.get(holder, math.inf))
            for holder, part in capacity.items()
        }

    def _limits(
        self, holders: Iterable[ranges.Holder], now: float
    ) -> dict[ranges.Holder, float]:
        """Returns the limits that targets have named lately."""
        named = self._cluster.limits
        earliest = now - _LIMIT_SECONDS
        found = {
            holder: named.rate_since(holder.id, holder.born, earliest)
            for holder in holders
        }
        return {h: rate for h, rate in found.items() if rate is not None}

    def _within_limits(
        self,
        capacity: Mapping[ranges.Holder, float],
        asked: float,
        now: float,
    ) -> dict[ranges.Holder, float]:
        """Returns capacities that give no target more than it takes.

        Args:
            capacity: Capacities in any common unit.
            asked: Requests a second for the whole service.
            now: The time.
        """
        within = dict(capacity)
        most = {
            holder: max(rate * _LIMIT_SHARE, _LIMIT_LEAST)
            for holder, rate in self._limits(capacity, now).items()
        }
        others = sum(p for h, p in capacity.items() if h not in most)
        if not others or not most:
            return {**within, **most}
        left = max(asked - sum(most.values()), asked * _LEFT_LEAST)
        for holder, rate in most.items():
            if left:
                within[holder] = min(within[holder], rate * others / left)
        return within

    def learn(self, report: messages.Report) -> None:
        """Takes what a VM has newly seen of targets' speeds."""
        known = self._factors_of.setdefault(report.vm.id, {})
        known.update(report.factors)
        now = self._clock.now()
        self._resting[report.vm.id] = {
            target: now + seconds for target, seconds in report.backoffs.items()
        }

    def _rested(self, now: float) -> set[str]:
        """Returns targets that want nothing from several VMs for long."""
        resting = collections.Counter(
            target
            for vm in self._disseminator.fresh()
            for target, ends in self._resting.get(vm, {}).items()
            if now < ends
        )
        return {t for t, vms in resting.items() if vms >= _RESTING_VMS}

    def _factors(self) -> dict[str, float]:
        """Returns the mean of what VMs say of each target's speed."""
        fresh = self._disseminator.fresh()
        sums: dict[str, list[float]] = {}
        for vm, factors in self._factors_of.items():
            if vm in fresh:
                for target, factor in factors.items():
                    sums.setdefault(target, []).append(factor)
        return {t: sum(all_) / len(all_) for t, all_ in sums.items()}

    def _lost(
        self,
        keyed: KeyedService,
        capacity: Mapping[ranges.Holder, float],
        now: float,
    ) -> list[ranges.Holder]:
        """Returns owners that need to be relieved of all keys."""
        owners = keyed.table.owners()
        silent = {o for o in owners if keyed.reconciler.silent(o)}
        if len(silent) * 2 > len(owners) and len(owners) > 1:
            # It is this VM that is cut off, not most of the targets.
            self._events.write(
                "leader",
                "most_targets_silent",
                silent=len(silent),
                owners=len(owners),
            )
            silent = set()
        for owner in silent:
            self._lost_until[owner.id] = now + _LOST_REST
        gone = {o for o in owners if o not in capacity}
        return sorted(silent | gone, key=lambda holder: holder.id)

    def _settled(self, keyed: KeyedService) -> ranges.RangeTable | None:
        now = self._clock.now()
        settled = keyed.reconciler.settled()
        if not settled or now - self._settled_at < _SETTLE_PAUSE:
            return None
        self._settled_at = now
        return ranges.remove_released(
            keyed.table, settled, self._clock.new_id()
        )

    def _joined(self, keyed: KeyedService) -> ranges.RangeTable | None:
        now = self._clock.now()
        if now - self._joined_at < _JOIN_EVERY:
            return None
        self._joined_at = now
        table = ranges.join(keyed.table, _JOIN_LIMIT, self._clock.new_id())
        if len(table.ranges) == len(keyed.table.ranges):
            return None
        return table


def holder(target: directory.Target) -> ranges.Holder:
    """Returns a target as a holder of keys."""
    return ranges.Holder(target.id, target.born, target.address)
