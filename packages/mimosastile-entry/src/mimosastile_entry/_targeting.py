"""Where a call goes next: the owner of its key, or a target of its service."""

import msgspec
import result

from mimosastile_core import balancing
from mimosastile_core import errors
from mimosastile_core import holder
from mimosastile_core import tables
from mimosastile_entry import _calls
from mimosastile_entry import _fleet
from mimosastile_entry import _state
from mimosastile_entry import ports

HopResult = result.Result[_calls.Hop, errors.Failure]


class _Pool(msgspec.Struct):
    """The targets of one service that is not divided by key.

    Attributes:
        balancer: Chooses among them.
        hops: How each one is reached.
        fresh: Whether table and list are those known now.
    """

    balancer: balancing.Balancer
    hops: dict[str, _calls.Hop] = {}
    fresh: bool = False


class Targeting:
    """Finds the next hop of calls; keeps what balancing has learned."""

    __slots__ = ("_clock", "_fleet", "_here", "_pools", "_state")

    def __init__(
        self,
        here: balancing.Locality,
        state: _state.StateService,
        listed: _fleet.FleetService,
        clock: ports.ClockPort,
    ) -> None:
        """Makes one that has learned nothing.

        Args:
            here: Where this VM stands.
            state: Knows the tables.
            listed: Knows the VMs.
            clock: Tells the time.
        """
        self._here = here
        self._state = state
        self._fleet = listed
        self._clock = clock
        self._pools: dict[str, _Pool] = {}

    def changed(self) -> None:
        """Notes that tables, configuration or list have changed."""
        for pool in self._pools.values():
            pool.fresh = False

    def ejected(self) -> dict[str, list[str]]:
        """Returns the targets that are left alone, by service."""
        now = self._clock.now()
        found = {n: p.balancer.ejected(now) for n, p in self._pools.items()}
        return {name: targets for name, targets in found.items() if targets}

    def next_hop(self, call: _calls.Call) -> HopResult:
        """Returns where to send a call now."""
        if call.position is None:
            return self._any_target(call)
        table = self._state.replica.table(call.plan.name)
        home = table.locate(call.position) if table else None
        if home is None or not home.slice.owner or home.keeper is None:
            return _calls.failed(errors.ErrorKind.NO_OWNER)
        vm = self._fleet.fleet.targets(call.plan.name).get(home.slice.owner)
        if vm is None:
            return _calls.failed(errors.ErrorKind.NO_OWNER)
        if self._fleet.has_left(vm.id):
            return _calls.failed(
                errors.ErrorKind.NO_OWNER, "Its owner is leaving."
            )
        fence = holder.RequestFence(home.block, call.position, home.slice.fence)
        return result.Ok(_calls.Hop(vm, home.keeper, fence))

    def begin(self, call: _calls.Call, hop: _calls.Hop) -> None:
        """Counts a call in."""
        pool = self._pools.get(call.plan.name)
        if pool is not None:
            pool.balancer.begin(hop.target.id)

    def end(self, call: _calls.Call, hop: _calls.Hop) -> None:
        """Counts a call out."""
        pool = self._pools.get(call.plan.name)
        if pool is not None:
            pool.balancer.end(hop.target.id)

    def answered(
        self, call: _calls.Call, hop: _calls.Hop, began: float
    ) -> None:
        """Notes an answer to a call that was sent at a time."""
        pool = self._pools.get(call.plan.name)
        if pool is not None:
            now = self._clock.now()
            pool.balancer.record_response(hop.target.id, now - began, now)

    def failed(self, call: _calls.Call, hop: _calls.Hop) -> None:
        """Notes that a target was not reached or gave no answer."""
        pool = self._pools.get(call.plan.name)
        if pool is not None:
            pool.balancer.record_failure(hop.target.id, self._clock.now())

    def _any_target(self, call: _calls.Call) -> HopResult:
        table = self._state.replica.table(call.plan.name)
        if table is None:
            return _calls.failed(errors.ErrorKind.NO_OWNER)
        pool = self._pool(call, table)
        if call.request.forwarded:
            chosen: str | None = call.request.target
        else:
            chosen = pool.balancer.choose(
                call.attempts.avoid,
                self._clock.now(),
                self._clock.random(),
                self._clock.random(),
            )
        hop = pool.hops.get(chosen) if chosen else None
        if hop is None:
            return _calls.failed(errors.ErrorKind.NO_TARGET)
        return result.Ok(hop)

    def _pool(self, call: _calls.Call, table: tables.Table) -> _Pool:
        pool = self._pools.get(call.plan.name)
        if pool is None:
            pool = _Pool(balancing.Balancer(self._here))
            self._pools[call.plan.name] = pool
        if not pool.fresh:
            self._refresh(pool, call, table)
        return pool

    def _refresh(
        self, pool: _Pool, call: _calls.Call, table: tables.Table
    ) -> None:
        listed = self._fleet.fleet
        live = listed.live_targets(call.plan.name)
        keepers = table.keepers()
        # Targets that the list no longer names stay reachable; the balancer
        # decides whether they are used.
        hops = {t: hop for t, hop in pool.hops.items() if t in keepers}
        for vm in listed.targets(call.plan.name).values():
            if vm.id in keepers:
                hops[vm.id] = _calls.Hop(vm, keepers[vm.id], None)
        pool.hops = hops
        pool.balancer.update(
            (
                balancing.Candidate(
                    vm.id,
                    balancing.Locality(vm.region, vm.zone),
                    vm.id in live,
                )
                for vm in listed.targets(call.plan.name).values()
                if vm.id in keepers
            ),
            call.plan.service.slots,
            self._clock.now(),
        )
        pool.fresh = True
