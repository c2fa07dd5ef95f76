"""Carries one service's table out: takes keys from targets and grants them."""

import asyncio
import bisect
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import result

from mimosastile_core import errors
from mimosastile_core.gateway import former_leaders
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import ranges
from mimosastile_core.gateway import target_feedback
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events
from mimosastile_gateway import ports
from mimosastile_gateway import settings

_RETRY_SECONDS = 0.1
"""Pause after an order that was not answered."""
LINK_QUEUE_SECONDS = 1.0
"""Longest wait of bytes before a link between regions. Callers' requests that
cross it time out after that, which empties it; 0.8 s was seen at worst."""
_FENCE_AFTER = 1.0
"""Silence after which a target may have started again; that takes seconds."""
_ALIVE_SECONDS = 0.6
"""Age up to which a VM's word that a target answers callers is believed: two
reports and the way."""
_RELEASE_TRY_SECONDS = 0.45
"""Wait for the first answer to a release before it is sent again; it is
answered when running work has ended, and some are carried out late. Grows with
each try."""
_ORDERS_AT_ONCE = 256
"""Grants on their way at a time. All targets of a new table at once would have
their answers wait for each other until the orders' timeouts."""
_TICK_SECONDS = 0.001
"""Shortest wait; one below the clock's resolution would spin."""
_MISS_REST = 0.2
"""A target that rejects a key is granted it again at once, but not more often
than this: VMs that have not heard of a change report misses as well."""


class _Exposure:
    """Keys that a target may hold until some time."""

    __slots__ = ("first", "last", "until")

    def __init__(self, first: int, last: int, until: float) -> None:
        self.first = first
        self.last = last
        self.until = until


class _State:
    """How far a piece of the table is carried out."""

    __slots__ = (
        "due",
        "freed",
        "freeing",
        "granted",
        "handover",
        "item",
        "missed_at",
    )

    def __init__(self, item: ranges.Range) -> None:
        self.item = item
        self.granted = False
        self.due = 0.0
        self.handover = ""
        self.freed: set[int] = set()
        self.freeing: dict[int, asyncio.Task[None]] = {}
        self.missed_at = 0.0

    @property
    def free(self) -> bool:
        """Whether nobody but the owner can hold the keys."""
        return all(f.fence in self.freed for f in self.item.formers)


class _Owner:
    """One target that owns keys."""

    __slots__ = ("failing_since", "failures", "refused", "task", "wake")

    def __init__(self) -> None:
        self.failing_since: float | None = None
        self.failures = 0
        self.refused = False
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None


class GrantReconciler:
    """Gives the orders that a table asks for, and renews grants."""

    __slots__ = (
        "_alive_at",
        "_lease",
        "_cluster",
        "_clock",
        "_doubtful",
        "_events",
        "_exposures",
        "_formers",
        "_of_owner",
        "_on_change",
        "_orders",
        "_owners",
        "_sending",
        "_settings",
        "_states",
        "_stopped",
        "_table",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        orders: ports.OrderPort,
        known: cluster_state.ClusterState,
        timer: clock.Clock,
        log: events.EventLog,
        lease: leadership.LeaderLease,
        former: former_leaders.FormerLeaders,
        alive_at: Mapping[str, float],
        on_change: Callable[[], None],
    ) -> None:
        self._settings = configured
        self._orders = orders
        self._cluster = known
        self._clock = timer
        self._events = log
        self._lease = lease
        self._formers = former
        self._alive_at = alive_at
        self._on_change = on_change
        self._table: ranges.RangeTable | None = None
        self._states: dict[ranges.Piece, _State] = {}
        self._of_owner: dict[ranges.Holder, list[_State]] = {}
        self._owners: dict[ranges.Holder, _Owner] = {}
        self._doubtful: set[ranges.Holder] = set()
        self._exposures: dict[ranges.Holder, list[_Exposure]] = {}
        self._stopped = False
        self._sending = asyncio.Semaphore(_ORDERS_AT_ONCE)

    @property
    def _table_hold(self) -> float:
        return self._table.hold if self._table else 0.0

    @property
    def _formers_lapse(self) -> float:
        """Time at which all grants of former leaders have run out."""
        return self._formers.grants_expire_at(self._table_hold)

    @property
    def _hold(self) -> float:
        """Seconds of a usual grant."""
        return max(self._settings.leader.hold, self._table_hold)

    @property
    def _renew(self) -> float:
        """Seconds between two renewals of a grant."""
        configured = self._settings.leader
        return configured.renew * self._hold / configured.hold

    # What the leader asks.

    def ready(self) -> set[ranges.Piece]:
        """Returns the pieces that their owners have been granted."""
        return {p for p, state in self._states.items() if state.granted}

    def settled(self) -> dict[ranges.Piece, tuple[int, ...]]:
        """Returns, by piece, the former holders that hold nothing more."""
        return {
            piece: tuple(state.freed)
            for piece, state in self._states.items()
            if state.freed and state.item.formers
        }

    def silent(self, holder: ranges.Holder) -> bool:
        """Whether a target has not answered orders for too long."""
        owner = self._owners.get(holder)
        if owner is None or owner.failing_since is None:
            return False
        now = self._clock.boottime()
        limit = self._settings.leader
        patience = limit.give_up
        if self._is_alive(holder):
            # Callers get answers from it, so it is orders that are lost or
            # late. Taking its keys would leave them without an owner until
            # its grant has run out.
            patience = limit.give_up_alive
        silence = now - owner.failing_since
        return owner.failures >= 2 and silence > patience - limit.order_timeout

    def needs_fence(self, holder: ranges.Holder) -> bool:
        """Whether a target must not get its present fences any more."""
        owner = self._owners.get(holder)
        if owner is None:
            return False
        if owner.refused:
            return True
        since = owner.failing_since
        if since is None or self._is_alive(holder):
            # One that serves its keys has not started again.
            return False
        return self._clock.boottime() - since > _FENCE_AFTER

    def _is_alive(self, holder: ranges.Holder) -> bool:
        """Whether callers got answers from a target just now."""
        at = self._alive_at.get(holder.id, float("-inf"))
        return self._clock.boottime() - at < _ALIVE_SECONDS

    def record_miss(self, key: int, target: str) -> None:
        """Notes that a target has rejected a key that it should own."""
        if self._table is None:
            return
        state = self._states.get(self._table.find(key).piece)
        if state is None or state.item.owner.id != target:
            return
        now = self._clock.boottime()
        if state.granted and now - state.missed_at > _MISS_REST:
            state.missed_at = now
            state.due = now
            self._wake(state.item.owner)

    def dump(self) -> dict[str, object]:
        """Returns the state of the orders."""
        return {
            "pieces": len(self._states),
            "ready": len(self.ready()),
            "silent": [h.id for h in self._owners if self.silent(h)],
        }

    # The table.

    def follow(self, table: ranges.RangeTable) -> None:
        """Carries a table out in place of the one before."""
        former = self._states
        # In order of keys, as the table that they came from.
        earlier = list(former.values())
        firsts = [state.item.first for state in earlier]
        self._table = table
        self._states = {}
        for item in table.ranges:
            state = former.pop(item.piece, None)
            if state is None:
                begin = max(bisect.bisect_right(firsts, item.first) - 1, 0)
                end = bisect.bisect_right(firsts, item.last)
                state = self._inherited(item, earlier[begin:end])
            state.item = item
            self._states[item.piece] = state
        self._of_owner = {}
        for state in self._states.values():
            self._of_owner.setdefault(state.item.owner, []).append(state)
        for old in former.values():
            for task in old.freeing.values():
                task.cancel()
        self._prune()
        for state in self._states.values():
            self._free_all(state)
        self._keep_owners()

    def stop(self) -> None:
        """Gives no further orders."""
        self._stopped = True
        for state in self._states.values():
            for task in state.freeing.values():
                task.cancel()
        for owner in self._owners.values():
            if owner.task is not None:
                owner.task.cancel()
        self._owners = {}

    def _inherited(
        self, item: ranges.Range, former: Iterable[_State]
    ) -> _State:
        """Makes the state of a new piece from those that it was made of."""
        state = _State(item)
        parts = [
            old
            for old in former
            if old.item.first <= item.last and item.first <= old.item.last
        ]
        # A piece that was cut or joined stays with its owner, who goes on
        # holding its keys under the earlier fence until the new grant comes.
        kept = parts and all(
            old.granted and old.item.owner == item.owner for old in parts
        )
        owner = self._owners.get(item.owner)
        if kept and not item.formers and not (owner and owner.refused):
            state.granted = True
        if len(parts) == 1 and parts[0].item.formers == item.formers:
            state.freed = set(parts[0].freed)
            state.handover = parts[0].handover
            state.granted = parts[0].granted and bool(kept)
        return state

    def _keep_owners(self) -> None:
        wanted = self._of_owner
        for holder in [h for h in self._owners if h not in wanted]:
            owner = self._owners.pop(holder)
            if owner.task is not None:
                owner.task.cancel()
        for holder in wanted:
            owner = self._owners.setdefault(holder, _Owner())
            if owner.refused:
                owner.refused = False
            if owner.task is None and not self._stopped:
                owner.task = asyncio.create_task(
                    self._serve(holder, owner), name=f"grant-{holder.id}"
                )
            owner.wake.set()

    def refenced(self, holders: Iterable[ranges.Holder]) -> None:
        """Notes that targets have new fences and may be granted again."""
        for holder in holders:
            owner = self._owners.get(holder)
            if owner is not None:
                if owner.failing_since is not None:
                    # It may be another run by now that takes the new grants.
                    self._doubtful.add(holder)
                owner.failing_since = None
                owner.failures = 0
                owner.refused = False
                owner.wake.set()

    def _wake(self, holder: ranges.Holder) -> None:
        owner = self._owners.get(holder)
        if owner is not None:
            owner.wake.set()

    # Grants.

    async def _serve(self, holder: ranges.Holder, owner: _Owner) -> None:
        """Grants and renews all pieces of one target, one after the other."""
        while not self._stopped:
            owner.wake.clear()
            state = self._next(holder)
            now = self._clock.boottime()
            if state is None or self.needs_fence(holder):
                await owner.wake.wait()
                continue
            if state.due > now:
                await clock.wait(
                    owner.wake, max(state.due - now, _TICK_SECONDS)
                )
                continue
            # The order may wait on its way, and must not arrive later.
            late = self._settings.leader.order_timeout + self._held_up(holder)
            if not self._lease.is_valid(now + late):
                self._events.write(
                    "grants",
                    "authority_ended",
                    target=holder.id,
                    since=round(now - self._lease.expires_at, 2),
                )
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            async with self._sending:
                if not self._lease.is_valid(self._clock.boottime() + late):
                    continue
                await self._grant(holder, owner, state)

    def _next(self, holder: ranges.Holder) -> _State | None:
        """Returns the piece that is due first; new ones go before renewals."""
        return min(
            (state for state in self._of_owner.get(holder, ()) if state.free),
            key=lambda state: (state.granted, state.due),
            default=None,
        )

    def _hear(
        self, holder: ranges.Holder, notice: target_feedback.TargetFeedback
    ) -> None:
        """Takes what an owner says of itself; callers may ask it nothing."""
        entry = self._cluster.directory.get(holder.id)
        if entry is not None and entry.target.born == holder.born:
            self._cluster.apply_feedback(entry.target, notice)

    async def _grant(
        self, holder: ranges.Holder, owner: _Owner, state: _State
    ) -> None:
        configured = self._settings.leader
        sent = self._clock.boottime()
        latest = sent + configured.order_timeout + self._held_up(holder)
        hold = self._lease.grant_seconds(
            sent,
            latest,
            self._hold,
            self._settings.bounds.hold_most,
            configured.trouble_after,
        )
        item = state.item
        # Until its outcome is known it may still leave this machine: with too
        # little processor or link that takes longer than its timeout, and the
        # target holds the keys from its arrival on.
        exposure = _Exposure(item.first, item.last, float("inf"))
        if hold > self._hold:
            # Before it can arrive: a leader that is replaced meanwhile is
            # asked how long its grants last.
            self._lease.record_extended_grant(
                leadership.grant_expiry(latest, hold)
            )
        self._exposures.setdefault(holder, []).append(exposure)
        order = ports.GrantOrder(
            item.first, item.last, item.fence, hold, state.handover
        )
        try:
            answer = await self._orders.grant(
                holder.id, holder.address, order, configured.order_timeout
            )
        finally:
            # Answered, or its connection was reset.
            now = self._clock.boottime()
            exposure.until = leadership.grant_expiry(now, hold)
            exposure.until += self._held_up(holder)
            if hold > self._hold:
                self._lease.record_extended_grant(exposure.until)
        current = self._states.get(item.piece) is state
        if isinstance(answer, result.Ok):
            exposure.until = leadership.grant_expiry(now, hold)
            self._hear(holder, answer.ok_value)
            self._granted(holder, owner, state, sent, current)
            return
        failure = answer.err_value
        if failure.kind is errors.ErrorKind.UNREACHABLE:
            exposure.until = now
        if failure.kind is errors.ErrorKind.WRONG_FENCE:
            # Whoever gave the higher fence, this one is of no use any more.
            exposure.until = now
            owner.refused = owner.refused or current
        if failure.kind is errors.ErrorKind.TARGET_REPLACED:
            exposure.until = now
            self._cluster.end_incarnation(holder.id, holder.born)
        owner.failures += 1
        owner.failing_since = (
            sent if owner.failing_since is None else owner.failing_since
        )
        if current:
            self._events.write(
                "grants",
                "grant_failed",
                service=self._table.service if self._table else "",
                target=holder.id,
                first=item.first,
                last=item.last,
                fence=item.fence,
                kind=failure.kind.value,
                why=failure.detail,
                failures=owner.failures,
            )
        await asyncio.sleep(_RETRY_SECONDS * (0.5 + self._clock.random()))

    def _held_up(self, holder: ranges.Holder) -> float:
        """Returns how much later than its reset an order may arrive.

        What waits before a full link between regions is delivered in order:
        an order first, the reset of its connection after it. Its time counts
        from its arrival, and the target would still hold keys that another
        one has been given.
        """
        entry = self._cluster.directory.get(holder.id)
        vm = self._settings.vm
        zone = entry.target.zone if entry else ""
        near = vm.regions.get(zone) == vm.region
        return 0.0 if near else LINK_QUEUE_SECONDS

    def _granted(
        self,
        holder: ranges.Holder,
        owner: _Owner,
        state: _State,
        sent: float,
        current: bool,
    ) -> None:
        owner.failures = 0
        owner.failing_since = None
        if not current:
            return
        state.due = sent + self._renew
        if state.granted:
            return
        state.granted = True
        self._events.write(
            "grants",
            "granted",
            service=self._table.service if self._table else "",
            target=holder.id,
            born=holder.born,
            first=state.item.first,
            last=state.item.last,
            fence=state.item.fence,
            handover=bool(state.handover),
        )
        state.handover = ""
        self._on_change()

    # Taking keys back.

    def _free_all(self, state: _State) -> None:
        if self._stopped:
            return
        for former in state.item.formers:
            if former.fence not in state.freed | state.freeing.keys():
                state.freeing[former.fence] = asyncio.create_task(
                    self._free(state, former),
                    name=f"free-{former.holder.id}",
                )

    async def _free(self, state: _State, former: ranges.Former) -> None:
        """Waits until a former holder holds nothing of a piece any more."""
        item, holder = state.item, former.holder
        began = self._clock.boottime()
        order = ports.ReleaseOrder(item.first, item.last, former.fence)
        how = ""
        tries = 0
        while not how:
            now = self._clock.boottime()
            lapse = self._lapse(holder, item)
            if self._run_ended(holder):
                how = "run ended"
            elif now >= lapse:
                how = "lapsed"
            elif self._lease.is_valid(now):
                tries += 1
                timeout = min(_RELEASE_TRY_SECONDS * tries, lapse - now)
                answer = await self._orders.release(
                    holder.id, holder.address, order, max(timeout, 0.02)
                )
                if isinstance(answer, result.Ok):
                    state.handover = answer.ok_value
                    how = "released"
                    break
                if answer.err_value.kind is errors.ErrorKind.TARGET_REPLACED:
                    self._cluster.end_incarnation(holder.id, holder.born)
                left = lapse - self._clock.boottime()
                await asyncio.sleep(min(max(left, 0.0), _RETRY_SECONDS))
            else:
                await asyncio.sleep(_RETRY_SECONDS)
        self._events.write(
            "grants",
            "freed",
            target=holder.id,
            first=item.first,
            last=item.last,
            fence=former.fence,
            how=how,
            seconds=round(self._clock.boottime() - began, 3),
        )
        state.freed.add(former.fence)
        state.freeing.pop(former.fence, None)
        self._wake(state.item.owner)

    def _lapse(self, holder: ranges.Holder, item: ranges.Range) -> float:
        """Returns when a target's grants for some keys have run out."""
        given = (
            exposure.until
            for exposure in self._exposures.get(holder, ())
            if exposure.first <= item.last and item.first <= exposure.last
        )
        # A former leader may have renewed them as well, whatever this one has
        # sent since.
        return max((self._formers_lapse, *given))

    def _run_ended(self, holder: ranges.Holder) -> bool:
        """Whether a run of a target is surely over, with all that it held.

        A later run shows that the earlier one is over. But where the target
        was silent before its last grants, or a former leader may have given
        some, these may have gone to the later run already, in the earlier
        one's name; that one then answers a release, or they run out.
        """
        known = self._cluster.directory
        if known.has_left_address(holder.id, holder.born):
            return True
        if holder in self._doubtful:
            return False
        if self._clock.boottime() < self._formers_lapse:
            return False
        return known.has_restarted(holder.id, holder.born)

    def _prune(self) -> None:
        now = self._clock.boottime()
        self._exposures = {
            holder: left
            for holder, all_ in self._exposures.items()
            if (left := [e for e in all_ if e.until > now])
        }
        named = (
            holder
            for state in self._states.values()
            for holder in (
                state.item.owner,
                *(former.holder for former in state.item.formers),
            )
        )
        self._doubtful.intersection_update(named)
