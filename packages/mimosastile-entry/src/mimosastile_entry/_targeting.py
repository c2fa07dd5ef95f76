"""Chooses the next hop of a call: its key's owner, or any service target."""

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
    """The targets of one service that is not sharded by key.

    Attributes:
        balancer: Chooses a target for each call.
        hops: Path to each target, by target id.
        up_to_date: Whether the pool reflects the current table and VM list.
    """

    balancer: balancing.Balancer
    hops: dict[str, _calls.Hop] = {}
    up_to_date: bool = False


class Targeting:
    """Finds the next hop of calls and holds the state of load balancing."""

    __slots__ = ("_clock", "_fleet", "_locality", "_pools", "_state")

    def __init__(
        self,
        locality: balancing.Locality,
        state: _state.StateService,
        listed: _fleet.FleetService,
        clock: ports.ClockPort,
    ) -> None:
        """Initializes the instance without load-balancing state.

        Args:
            locality: Zone and region of this VM.
            state: Holds the tables.
            listed: Holds the VM list.
            clock: Source of the current time.
        """
        self._locality = locality
        self._state = state
        self._fleet = listed
        self._clock = clock
        self._pools: dict[str, _Pool] = {}

    def changed(self) -> None:
        """Invalidates all pools.

        To be called after a change of tables, configuration or VM list.
        """
        for pool in self._pools.values():
            pool.up_to_date = False

    def ejected(self) -> dict[str, list[str]]:
        """Returns the ejected targets by service."""
        now = self._clock.now()
        found = {n: p.balancer.ejected(now) for n, p in self._pools.items()}
        return {name: targets for name, targets in found.items() if targets}

    def next_hop(self, call: _calls.Call) -> HopResult:
        """Returns the next hop of a call, or the reason that there is none."""
        if call.position is None:
            return self._choose_target(call)
        table = self._state.replica.table(call.plan.name)
        location = table.locate(call.position) if table else None
        if (
            location is None
            or not location.slice.owner
            or location.keeper is None
        ):
            return _calls.failed(errors.ErrorKind.NO_OWNER)
        vm = self._fleet.fleet.targets(call.plan.name).get(location.slice.owner)
        if vm is None:
            return _calls.failed(errors.ErrorKind.NO_OWNER)
        if self._fleet.has_left(vm.id):
            return _calls.failed(
                errors.ErrorKind.NO_OWNER, "Its owner is leaving."
            )
        fence = holder.RequestFence(
            location.block, call.position, location.slice.fence
        )
        return result.Ok(_calls.Hop(vm, location.keeper, fence))

    def begin(self, call: _calls.Call, hop: _calls.Hop) -> None:
        """Counts a call as in progress at its target."""
        pool = self._pools.get(call.plan.name)
        if pool is not None:
            pool.balancer.begin(hop.target.id)

    def end(self, call: _calls.Call, hop: _calls.Hop) -> None:
        """Counts a call at its target as ended."""
        pool = self._pools.get(call.plan.name)
        if pool is not None:
            pool.balancer.end(hop.target.id)

    def answered(
        self, call: _calls.Call, hop: _calls.Hop, sent_at: float
    ) -> None:
        """Records the response to a call.

        Args:
            call: The call.
            hop: The path that the call took.
            sent_at: Time at which the call was sent.
        """
        pool = self._pools.get(call.plan.name)
        if pool is not None:
            now = self._clock.now()
            pool.balancer.record_response(hop.target.id, now - sent_at, now)

    def failed(self, call: _calls.Call, hop: _calls.Hop) -> None:
        """Records that a target was unreachable or sent no response."""
        pool = self._pools.get(call.plan.name)
        if pool is not None:
            pool.balancer.record_failure(hop.target.id, self._clock.now())

    def _choose_target(self, call: _calls.Call) -> HopResult:
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
            pool = _Pool(balancing.Balancer(self._locality))
            self._pools[call.plan.name] = pool
        if not pool.up_to_date:
            self._refresh(pool, call, table)
        return pool

    def _refresh(
        self, pool: _Pool, call: _calls.Call, table: tables.Table
    ) -> None:
        listed = self._fleet.fleet
        live = listed.live_targets(call.plan.name)
        keepers = table.keepers()
        # Targets that left the VM list keep their hops; the balancer decides
        # whether they get calls.
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
        pool.up_to_date = True
