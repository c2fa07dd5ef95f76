"""Applies one service's table of key ranges: releases and grants of keys.

Every grant is a lease on a range of keys, protected by a fencing token.
"""

import asyncio
import bisect
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import functools
import math

import result

from mimosastile_core import errors
from mimosastile_core.gateway import former_leaders
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import ranges
from mimosastile_core.gateway import target_feedback
from mimosastile_gateway import background_tasks
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events
from mimosastile_gateway import ports
from mimosastile_gateway import settings

_ORDER_RETRY_SECONDS = 0.1
"""Delay before an order is sent again after it got no response."""
LINK_QUEUE_SECONDS = 1.0
"""Longest time that data queues before a link between regions. Callers'
requests across the link time out after that, which drains the queue; the
longest time observed was 0.8 s."""
_REFENCE_AFTER_SECONDS = 1.0
"""Time without a response after which a target may have restarted; a restart
takes seconds."""
_ALIVE_SECONDS = 0.6
"""Maximum age of a VM's report that a target responds to callers: two report
intervals and the network delay."""
_RELEASE_TIMEOUT_SECONDS = 0.45
"""Timeout of the first attempt of a release; it grows by the same amount with
each further attempt. A target responds when its running requests have ended,
and some targets carry a release out late."""
_MAX_CONCURRENT_GRANTS = 256
"""Maximum number of concurrent grants. If the grants to all targets of a new
table were sent at once, their responses would delay each other until the orders
time out."""
_MIN_WAIT_SECONDS = 0.001
"""Minimum wait; a shorter one, below the clock's resolution, would cause a busy
loop."""
_REGRANT_INTERVAL_SECONDS = 0.2
"""Minimum interval between two repeated grants of a range. A target that
rejects a key is granted its range again at once, but VMs that have not received
a change report rejections too."""


class _Exposure:
    """A range of keys and the time until which a target may hold it."""

    __slots__ = ("first", "last", "until")

    def __init__(self, first: int, last: int, until: float) -> None:
        self.first = first
        self.last = last
        self.until = until


class _PieceState:
    """Progress of one piece of the table: releases and the grant.

    Attributes:
        item: The range.
        granted: Whether the owner has acknowledged a grant.
        due: Time of the next grant.
        handover: Ticket from the former owner, for the first grant.
        released: Fences of the former owners that hold no keys any more.
        releasing: Running releases, by the fence of the former owner.
        regranted_at: Time at which a rejected key last caused a new grant.
    """

    __slots__ = (
        "due",
        "granted",
        "handover",
        "item",
        "regranted_at",
        "released",
        "releasing",
    )

    def __init__(self, item: ranges.Range) -> None:
        self.item = item
        self.granted = False
        self.due = 0.0
        self.handover = ""
        self.released: set[int] = set()
        self.releasing: dict[int, asyncio.Task[None]] = {}
        self.regranted_at = 0.0

    @property
    def free(self) -> bool:
        """Whether no former owner can still hold keys of the piece."""
        return all(f.fence in self.released for f in self.item.formers)


class _OwnerStatus:
    """Grant status of one target that owns keys.

    Attributes:
        failing_since: Time at which the first of the failed orders was sent,
            None after a success.
        failures: Consecutive failed orders.
        refused: Whether the target has refused a current fence.
        responded_at: Time of its last response to an order, None for none.
        sending: The piece whose grant is being sent, None for none.
        unreachable: Whether the last order found no connection.
        wake: Interrupts the wait for the next due grant.
        task: Sends the grants to the target.
    """

    __slots__ = (
        "failing_since",
        "failures",
        "refused",
        "responded_at",
        "sending",
        "task",
        "unreachable",
        "wake",
    )

    def __init__(self) -> None:
        self.failing_since: float | None = None
        self.failures = 0
        self.refused = False
        self.responded_at: float | None = None
        self.sending: _PieceState | None = None
        self.unreachable = False
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None


class GrantReconciler:
    """Sends the grants and releases that a table requires, and renews grants.

    Times are seconds of the boot clock, which also advances while the machine
    is suspended.
    """

    __slots__ = (
        "_clock",
        "_cluster",
        "_events",
        "_exposures",
        "_former_leaders",
        "_grant_permits",
        "_last_alive_at",
        "_lease",
        "_on_change",
        "_orders",
        "_owners",
        "_settings",
        "_states",
        "_states_by_owner",
        "_stopped",
        "_table",
        "_tasks",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        orders: ports.OrderPort,
        cluster: cluster_state.ClusterState,
        timer: clock.Clock,
        log: events.EventLog,
        lease: leadership.LeaderLease,
        former: former_leaders.FormerLeaders,
        alive_at: Mapping[str, float],
        on_change: Callable[[], None],
    ) -> None:
        """Creates an instance without a table.

        Args:
            configured: Settings of this VM.
            orders: Sends orders to targets.
            cluster: This VM's view of the cluster.
            timer: The clock.
            log: The event log.
            lease: The leader lease; orders are sent only within it.
            former: Former leaders and the expiry of their grants.
            alive_at: Times at which targets last responded to callers, by
                target.
            on_change: Called when a piece has been granted to its owner.
        """
        self._settings = configured
        self._orders = orders
        self._cluster = cluster
        self._clock = timer
        self._events = log
        self._tasks = background_tasks.BackgroundTasks(log)
        self._lease = lease
        self._former_leaders = former
        self._last_alive_at = alive_at
        self._on_change = on_change
        self._table: ranges.RangeTable | None = None
        self._states: dict[ranges.Piece, _PieceState] = {}
        self._states_by_owner: dict[ranges.Holder, list[_PieceState]] = {}
        self._owners: dict[ranges.Holder, _OwnerStatus] = {}
        self._exposures: dict[str, list[_Exposure]] = {}
        self._stopped = False
        self._grant_permits = asyncio.Semaphore(_MAX_CONCURRENT_GRANTS)

    @property
    def _table_grant_seconds(self) -> float:
        """Grant duration stored in the table, 0 without one."""
        return self._table.hold if self._table else 0.0

    @property
    def _former_grants_expire_at(self) -> float:
        """Time at which all grants of former leaders have expired."""
        return self._former_leaders.grants_expire_at(self._table_grant_seconds)

    @property
    def _regular_grant_seconds(self) -> float:
        """Duration of a regular grant in seconds."""
        return max(self._settings.leader.hold, self._table_grant_seconds)

    @property
    def _renewal_interval(self) -> float:
        """Renewal interval of a grant in seconds."""
        configured = self._settings.leader
        return configured.renew * self._regular_grant_seconds / configured.hold

    # Queries of the leader.

    def granted_pieces(self) -> set[ranges.Piece]:
        """Returns the pieces whose owners have acknowledged their grants."""
        return {p for p, state in self._states.items() if state.granted}

    def released_fences(self) -> dict[ranges.Piece, tuple[int, ...]]:
        """Returns the fences of released former owners, by piece."""
        return {
            piece: tuple(state.released)
            for piece, state in self._states.items()
            if state.released and state.item.formers
        }

    def is_unresponsive(self, holder: ranges.Holder) -> bool:
        """Whether a target has failed to acknowledge orders for too long."""
        owner = self._owners.get(holder)
        if owner is None or owner.failing_since is None:
            return False
        now = self._clock.boottime()
        configured = self._settings.leader
        detection_timeout = configured.give_up
        if self._is_alive(holder):
            # The target responds to callers, so the orders are lost or late.
            # If its keys were taken away, they would have no owner until its
            # grant has expired.
            detection_timeout = configured.give_up_alive
        unresponsive_seconds = now - owner.failing_since
        return (
            owner.failures >= 2
            and unresponsive_seconds
            > detection_timeout - configured.order_timeout
        )

    def cut_off_owners(self) -> list[str]:
        """Returns owners that other VMs reach and this one does not.

        They take no connection for orders, but have responded to callers of
        other VMs since.
        """
        return [
            holder.id
            for holder, owner in self._owners.items()
            if owner.unreachable
            and owner.failures > 1
            and owner.failing_since is not None
            and self._last_alive_at.get(holder.id, -math.inf)
            > owner.failing_since
        ]

    def needs_fence(self, holder: ranges.Holder) -> bool:
        """Whether a target needs new fences before it may be granted keys."""
        owner = self._owners.get(holder)
        if owner is None:
            return False
        if owner.refused or self._cluster.directory.has_restarted(
            holder.id, holder.born
        ):
            return True
        if owner.failing_since is None or self._is_alive(holder):
            # A target that serves its keys has not restarted.
            return False
        since = owner.responded_at or owner.failing_since
        return self._clock.boottime() - since > _REFENCE_AFTER_SECONDS

    def _is_alive(self, holder: ranges.Holder) -> bool:
        """Whether a target has recently responded to callers."""
        at = self._last_alive_at.get(holder.id, float("-inf"))
        return self._clock.boottime() - at < _ALIVE_SECONDS

    def record_miss(self, key: int, target: str) -> None:
        """Grants a range again after its owner rejected one of its keys."""
        if self._table is None:
            return
        state = self._states.get(self._table.find(key).piece)
        if state is None or state.item.owner.id != target:
            return
        now = self._clock.boottime()
        if (
            state.granted
            and now - state.regranted_at > _REGRANT_INTERVAL_SECONDS
        ):
            state.regranted_at = now
            state.due = now
            self._wake(state.item.owner)

    def dump(self) -> dict[str, object]:
        """Returns the state of grants and releases for the state dump."""
        return {
            "pieces": len(self._states),
            "ready": len(self.granted_pieces()),
            "silent": [h.id for h in self._owners if self.is_unresponsive(h)],
        }

    # The table.

    def apply(self, table: ranges.RangeTable) -> None:
        """Replaces the table that is applied by a newer one."""
        previous = self._states
        # Sorted by key, as in the table that they were created from.
        earlier = list(previous.values())
        firsts = [state.item.first for state in earlier]
        self._table = table
        self._states = {}
        for item in table.ranges:
            state = previous.pop(item.piece, None)
            if state is None:
                begin = max(bisect.bisect_right(firsts, item.first) - 1, 0)
                end = bisect.bisect_right(firsts, item.last)
                state = self._derived_state(item, earlier[begin:end])
            state.item = item
            self._states[item.piece] = state
        self._states_by_owner = {}
        for state in self._states.values():
            self._states_by_owner.setdefault(state.item.owner, []).append(state)
        for old in previous.values():
            for task in old.releasing.values():
                task.cancel()
        self._prune_expired()
        for state in self._states.values():
            self._release_all(state)
        self._update_owner_tasks()

    def stop(self) -> None:
        """Cancels all orders; none is sent afterwards."""
        self._stopped = True
        for state in self._states.values():
            for task in state.releasing.values():
                task.cancel()
        for owner in self._owners.values():
            self._cancel_grants(owner)
        self._owners = {}

    def _derived_state(
        self, item: ranges.Range, candidates: Iterable[_PieceState]
    ) -> _PieceState:
        """Returns the state of a new piece, derived from overlapping ones.

        Args:
            item: The range of the new piece.
            candidates: States of earlier pieces that may overlap it.
        """
        state = _PieceState(item)
        parts = [
            old
            for old in candidates
            if old.item.first <= item.last and item.first <= old.item.last
        ]
        # If a piece was split or merged without a change of owner, the owner
        # keeps its keys under the earlier fence until the new grant arrives.
        owner_kept = parts and all(
            old.granted and old.item.owner == item.owner for old in parts
        )
        owner = self._owners.get(item.owner)
        if owner_kept and not item.formers and not (owner and owner.refused):
            state.granted = True
        if len(parts) == 1 and parts[0].item.formers == item.formers:
            state.released = set(parts[0].released)
            state.handover = parts[0].handover
            state.granted = parts[0].granted and bool(owner_kept)
        return state

    def _update_owner_tasks(self) -> None:
        """Starts and stops grant tasks to match the owners in the table."""
        states_by_owner = self._states_by_owner
        for holder in [h for h in self._owners if h not in states_by_owner]:
            self._cancel_grants(self._owners.pop(holder))
        for holder in states_by_owner:
            owner = self._owners.setdefault(holder, _OwnerStatus())
            if owner.refused:
                owner.refused = False
            if owner.sending is not None and not self._is_current(
                owner.sending
            ):
                # The grant must not arrive after the keys have been released.
                self._cancel_grants(owner)
            if owner.task is None and not self._stopped:
                owner.task = self._tasks.keep(
                    "grant",
                    functools.partial(self._grant_loop, holder, owner),
                    holder.id,
                )
            owner.wake.set()

    def _is_current(self, state: _PieceState) -> bool:
        """Whether a piece is still in the table."""
        return self._states.get(state.item.piece) is state

    def _cancel_grants(self, owner: _OwnerStatus) -> None:
        """Ends the task that sends an owner's grants."""
        if owner.task is not None:
            owner.task.cancel()
            owner.task = None
        owner.sending = None

    def resume(self, holders: Iterable[ranges.Holder]) -> None:
        """Resumes grants to targets whose pieces have got new fences."""
        for holder in holders:
            owner = self._owners.get(holder)
            if owner is not None:
                owner.failing_since = None
                owner.failures = 0
                owner.refused = False
                owner.responded_at = None
                owner.wake.set()

    def _wake(self, holder: ranges.Holder) -> None:
        """Interrupts the wait of a target's grant task."""
        owner = self._owners.get(holder)
        if owner is not None:
            owner.wake.set()

    # Grants.

    async def _grant_loop(
        self, holder: ranges.Holder, owner: _OwnerStatus
    ) -> None:
        """Grants and renews the pieces of one target, one at a time."""
        while not self._stopped:
            owner.wake.clear()
            state = self._next_due(holder)
            now = self._clock.boottime()
            if state is None or self.needs_fence(holder):
                await owner.wake.wait()
                continue
            if state.due > now:
                await clock.wait(
                    owner.wake, max(state.due - now, _MIN_WAIT_SECONDS)
                )
                continue
            # The order may be delayed in transit and must not arrive after
            # the leader lease has ended.
            max_delay = (
                self._settings.leader.order_timeout
                + self._transit_delay(holder)
            )
            if not self._lease.is_valid(now + max_delay):
                self._events.write(
                    "grants",
                    "authority_ended",
                    target=holder.id,
                    since=round(now - self._lease.expires_at, 2),
                )
                await asyncio.sleep(_ORDER_RETRY_SECONDS)
                continue
            async with self._grant_permits:
                if not self._lease.is_valid(self._clock.boottime() + max_delay):
                    continue
                if not self._is_current(state) or self.needs_fence(holder):
                    # During the wait, the table has been replaced or the target
                    # has fallen silent. Another target may own the keys by now,
                    # or this one may have forgotten its fences.
                    continue
                owner.sending = state
                try:
                    await self._grant(holder, owner, state)
                finally:
                    owner.sending = None

    def _next_due(self, holder: ranges.Holder) -> _PieceState | None:
        """Returns the piece due first; new pieces come before renewals."""
        return min(
            (
                state
                for state in self._states_by_owner.get(holder, ())
                if state.free
            ),
            key=lambda state: (state.granted, state.due),
            default=None,
        )

    def _apply_feedback(
        self, holder: ranges.Holder, notice: target_feedback.TargetFeedback
    ) -> None:
        """Applies target feedback from the response to an order.

        A target that gets no requests from callers gives feedback only here.
        """
        entry = self._cluster.directory.get(holder.id)
        if entry is not None and entry.target.born == holder.born:
            self._cluster.apply_feedback(entry.target, notice)

    async def _grant(
        self, holder: ranges.Holder, owner: _OwnerStatus, state: _PieceState
    ) -> None:
        """Sends one grant to the owner of a piece and records the outcome."""
        configured = self._settings.leader
        sent_at = self._clock.boottime()
        latest_arrival = (
            sent_at + configured.order_timeout + self._transit_delay(holder)
        )
        grant_seconds = self._lease.grant_seconds(
            sent_at,
            latest_arrival,
            self._regular_grant_seconds,
            self._settings.bounds.hold_most,
            configured.trouble_after,
        )
        item = state.item
        # The order may leave this machine at any time until its outcome is
        # known: on an overloaded processor or link that takes longer than its
        # timeout. The target holds the keys from the arrival of the order on.
        exposure = _Exposure(item.first, item.last, float("inf"))
        if grant_seconds > self._regular_grant_seconds:
            # Recorded before the order can arrive: a leader that is replaced
            # meanwhile reports how long its grants last.
            self._lease.record_extended_grant(
                leadership.grant_expiry(latest_arrival, grant_seconds)
            )
        recorded = self._exposures.get(holder.id, ())
        self._exposures[holder.id] = [*_unexpired(recorded, sent_at), exposure]
        order = ports.GrantOrder(
            item.first, item.last, item.fence, grant_seconds, state.handover
        )
        try:
            response = await self._orders.grant(
                holder.id, holder.address, order, configured.order_timeout
            )
        finally:
            # The order was acknowledged or its connection was reset.
            now = self._clock.boottime()
            exposure.until = leadership.grant_expiry(now, grant_seconds)
            exposure.until += self._transit_delay(holder)
            if grant_seconds > self._regular_grant_seconds:
                self._lease.record_extended_grant(exposure.until)
        current = self._is_current(state)
        if isinstance(response, result.Ok):
            # The response may be a copy of an earlier one, which shows that the
            # order has been sent, not that it has arrived.
            arrived_by = max(now, sent_at + self._transit_delay(holder))
            exposure.until = leadership.grant_expiry(arrived_by, grant_seconds)
            self._apply_feedback(holder, response.ok_value)
            self._note_granted(holder, owner, state, sent_at, current)
            return
        failure = response.err_value
        if failure.kind is errors.ErrorKind.UNREACHABLE:
            exposure.until = now
        if failure.kind is errors.ErrorKind.WRONG_FENCE:
            # The target has seen a higher fence, so this order has no effect.
            exposure.until = now
            owner.refused = owner.refused or current
        if failure.kind is errors.ErrorKind.TARGET_REPLACED:
            exposure.until = now
            self._cluster.end_incarnation(
                holder.id, holder.born, holder.address
            )
        owner.unreachable = failure.kind is errors.ErrorKind.UNREACHABLE
        owner.failures += 1
        owner.failing_since = (
            sent_at if owner.failing_since is None else owner.failing_since
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
        await asyncio.sleep(_ORDER_RETRY_SECONDS * (0.5 + self._clock.random()))

    def _transit_delay(self, holder: ranges.Holder) -> float:
        """Returns the seconds by which an order may arrive after its reset.

        A saturated link between regions delivers queued data in order: first
        the order, then the reset of its connection. The grant duration counts
        from the arrival of the order, so without this allowance the target
        could still hold keys that another target has been granted.
        """
        entry = self._cluster.directory.get(holder.id)
        vm = self._settings.vm
        zone = entry.target.zone if entry else ""
        same_region = vm.regions.get(zone) == vm.region
        return 0.0 if same_region else LINK_QUEUE_SECONDS

    def _note_granted(
        self,
        holder: ranges.Holder,
        owner: _OwnerStatus,
        state: _PieceState,
        sent_at: float,
        current: bool,
    ) -> None:
        """Records an acknowledged grant and schedules its renewal.

        Args:
            holder: The target.
            owner: Its grant status.
            state: The granted piece.
            sent_at: Time at which the order was sent.
            current: Whether the piece is still in the table.
        """
        owner.failures = 0
        owner.failing_since = None
        owner.responded_at = self._clock.boottime()
        if not current:
            return
        state.due = sent_at + self._renewal_interval
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

    # Releases.

    def _release_all(self, state: _PieceState) -> None:
        """Starts the missing releases of a piece."""
        if self._stopped:
            return
        for former in state.item.formers:
            if former.fence not in state.released | state.releasing.keys():
                state.releasing[former.fence] = self._tasks.keep(
                    "release",
                    functools.partial(self._release, state, former),
                    former.holder.id,
                )

    async def _release(self, state: _PieceState, former: ranges.Former) -> None:
        """Releases the keys of a piece from a former owner.

        Returns once the target has confirmed the release, its grants have
        expired, or its incarnation has ended.
        """
        item, holder = state.item, former.holder
        started_at = self._clock.boottime()
        order = ports.ReleaseOrder(item.first, item.last, former.fence)
        how = ""
        attempts = 0
        while not how:
            now = self._clock.boottime()
            expires_at = self._grants_expire_at(holder, item)
            if self._incarnation_ended(holder):
                how = "run ended"
            elif now >= expires_at:
                how = "lapsed"
            elif self._lease.is_valid(now):
                attempts += 1
                timeout = min(
                    _RELEASE_TIMEOUT_SECONDS * attempts, expires_at - now
                )
                response = await self._orders.release(
                    holder.id, holder.address, order, max(timeout, 0.02)
                )
                if isinstance(response, result.Ok):
                    state.handover = response.ok_value
                    how = "released"
                    break
                kind = response.err_value.kind
                if kind is errors.ErrorKind.TARGET_REPLACED:
                    self._cluster.end_incarnation(
                        holder.id, holder.born, holder.address
                    )
                if kind is errors.ErrorKind.TARGET_REPLACED or (
                    kind is errors.ErrorKind.UNREACHABLE
                    and self._has_moved(holder)
                ):
                    how = "run ended"
                    break
                remaining = expires_at - self._clock.boottime()
                await asyncio.sleep(
                    min(max(remaining, 0.0), _ORDER_RETRY_SECONDS)
                )
            else:
                await asyncio.sleep(_ORDER_RETRY_SECONDS)
        self._events.write(
            "grants",
            "freed",
            target=holder.id,
            first=item.first,
            last=item.last,
            fence=former.fence,
            how=how,
            attempts=attempts,
            handover=state.handover if how == "released" else "",
            seconds=round(self._clock.boottime() - started_at, 3),
        )
        state.released.add(former.fence)
        state.releasing.pop(former.fence, None)
        self._wake(state.item.owner)

    def _grants_expire_at(
        self, holder: ranges.Holder, item: ranges.Range
    ) -> float:
        """Returns the time at which a target's grants for a range expire."""
        expiries = (
            exposure.until
            # A later incarnation may have accepted grants meant for an
            # earlier one.
            for exposure in self._exposures.get(holder.id, ())
            if exposure.first <= item.last and item.first <= exposure.last
        )
        # A former leader may have renewed the grants too, regardless of the
        # orders that this one has sent.
        return max((self._former_grants_expire_at, *expiries))

    def _incarnation_ended(self, holder: ranges.Holder) -> bool:
        """Whether no incarnation of a target can hold keys at its address."""
        return self._cluster.directory.has_left_address(
            holder.id, holder.born, holder.address
        )

    def _has_moved(self, holder: ranges.Holder) -> bool:
        """Whether a target has restarted at another address.

        This ends the wait for its earlier incarnation unless that one still
        accepts connections. After a restart at the same address, the later
        incarnation may have accepted grants meant for the earlier one, so it
        has to confirm a release.
        """
        target_directory = self._cluster.directory
        entry = target_directory.get(holder.id)
        return (
            entry is not None
            and entry.target.address != holder.address
            and target_directory.has_restarted(holder.id, holder.born)
        )

    def _prune_expired(self) -> None:
        """Drops expired exposures."""
        now = self._clock.boottime()
        self._exposures = {
            target: unexpired
            for target, all_ in self._exposures.items()
            if (unexpired := _unexpired(all_, now))
        }


def _unexpired(exposures: Iterable[_Exposure], now: float) -> list[_Exposure]:
    """Returns the exposures that have not expired."""
    return [exposure for exposure in exposures if exposure.until > now]
