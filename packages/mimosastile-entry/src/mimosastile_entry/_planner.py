"""Proposes slice owners; compare-and-swap in the store decides."""

import asyncio
from typing import Any

from mimosastile_core import balance_plan
from mimosastile_core import config
from mimosastile_core import keys
from mimosastile_core import moves
from mimosastile_core import placement
from mimosastile_core import splits
from mimosastile_core import tables
from mimosastile_entry import _background
from mimosastile_entry import _fleet
from mimosastile_entry import _loads
from mimosastile_entry import _membership
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

_PLAN_INTERVAL_SECONDS = 0.1
_BALANCE_INTERVAL_SECONDS = 2.0
_FIRST_PLACEMENT_TIMEOUT_SECONDS = 3.0
_MOVE_COOLDOWN_SECONDS = 30.0
"""Minimum time between two moves of a slice for balance."""


class PlannerService:
    """Compares tables with the fleet periodically and proposes changes.

    One entry VM plans for each service.
    """

    __slots__ = (
        "_balance_at",
        "_clock",
        "_cold_since",
        "_empty_since",
        "_fleet",
        "_loads",
        "_membership",
        "_moved_at",
        "_proposed",
        "_state",
        "_tasks",
        "_vm",
        "name",
        "needs",
    )

    def __init__(self, vm: str) -> None:
        """Makes the service.

        Args:
            vm: Identifier of this VM.
        """
        self.name = "planner"
        self.needs: tuple[str, ...] = (
            "state",
            "fleet",
            "membership",
            "loads",
            "clock",
        )
        self._vm = vm
        self._proposed = 0
        self._balance_at: dict[str, float] = {}
        self._moved_at: dict[int, float] = {}
        self._cold_since: dict[str, float] = {}
        self._empty_since: dict[tables.BlockId, float] = {}
        self._membership: _membership.MembershipService
        self._loads: _loads.LoadsService
        self._clock: ports.ClockPort
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._tasks = _background.Background()

    async def start(self, kernel: kernel.Kernel) -> None:
        """Starts the planning task."""
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._membership = kernel.find("membership")
        self._loads = kernel.find("loads")
        self._clock = kernel.find("clock")
        self._tasks.keep(self._plan, "planner")

    async def stop(self) -> None:
        """Stops the planning task."""
        self._tasks.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns the number of changes that this VM has proposed."""
        return {"proposed": self._proposed}

    async def _plan(self) -> None:
        while True:
            document = self._state.replica.config.document
            for name, service in document.services.items():
                await self._plan_service(name, service)
            await asyncio.sleep(_PLAN_INTERVAL_SECONDS)

    async def _plan_service(self, name: str, service: config.Service) -> None:
        planner = placement.preferred_planner(name, self._membership.alive())
        if planner != self._vm:
            return
        table = self._state.replica.table(name)
        blocks = table.blocks if table else {}
        await self._create_blocks(name, service, blocks)
        for block in list(blocks.values()):
            if block.slices and self._is_ready(block):
                await self._assign_owners(block, service.placement)
                await self._apply_operator_moves(block, service)
        now = self._clock.now()
        due = self._balance_at.setdefault(name, now + _BALANCE_INTERVAL_SECONDS)
        if now >= due:
            self._balance_at[name] = now + _BALANCE_INTERVAL_SECONDS
            await self._balance(name, service, list(blocks.values()))

    def _is_ready(self, block: tables.Block) -> bool:
        """Whether a block's first owners can be assigned.

        If owners were assigned as soon as the first target has a keeper, that
        target would get all slices, and most would have to move again.
        """
        if any(slice_.owner for slice_ in block.slices):
            return True
        live = set(self._fleet.fleet.live_targets(block.service))
        now = self._clock.now()
        since = self._empty_since.setdefault(block.id, now)
        return (
            live <= set(block.keepers)
            or now - since > _FIRST_PLACEMENT_TIMEOUT_SECONDS
        )

    async def _balance(
        self,
        name: str,
        service: config.Service,
        blocks: list[tables.Block],
    ) -> None:
        """Balances the load of a service with few moves."""
        weights = service.placement
        aggregator = self._loads.aggregator(name)
        now = self._clock.now()
        slices = [slice_ for block in blocks for slice_ in block.slices]
        aggregator.decay((slice_.first for slice_ in slices), now)
        candidates = self._candidates(name, slices, weights)
        owned = {slice_.owner for slice_ in slices if slice_.owner}
        if not slices or not owned <= {c.id for c in candidates}:
            # An owner is leaving, lost or unresponsive. Its slices move first;
            # `_assign_owners` and the keepers choose their new owners.
            return
        loads = aggregator.loads
        if balance_plan.is_idle(
            slices, loads, weights.idle_below * service.slots
        ):
            if not balance_plan.is_underfilled(slices, candidates):
                return
            # The service is idle: a new target gets its share by slice count.
            loads = {}
        self._moved_at = {
            first: at
            for first, at in self._moved_at.items()
            if now - at < _MOVE_COOLDOWN_SECONDS
        }
        cooling = {*self._moved_at, *_operator_placed_slices(slices, service)}
        plan = balance_plan.plan(slices, loads, candidates, weights, cooling)
        self._moved_at |= dict.fromkeys(plan.moves, now)
        for block in blocks:
            await self._apply_plan(block, plan)

    async def _apply_operator_moves(
        self, block: tables.Block, service: config.Service
    ) -> None:
        """Proposes the moves that operators have ordered."""
        live = set(self._fleet.fleet.live_targets(block.service))
        plan = balance_plan.plan_operator_moves(
            block.slices, service.moves, live & block.reachable()
        )
        await self._apply_plan(block, plan)

    async def _apply_plan(
        self, block: tables.Block, plan: balance_plan.Plan
    ) -> None:
        firsts = {slice_.first for slice_ in block.slices}
        block_splits = {f: p for f, p in plan.splits.items() if f in firsts}
        block_moves = {f: t for f, t in plan.moves.items() if f in firsts}
        if block_splits:
            self._proposed += 1
            await self._state.change(
                block.id, lambda b: splits.split(b, block_splits)
            )
        if block_moves:
            self._proposed += 1
            await self._state.change(
                block.id, lambda b: moves.start_moves(b, block_moves)
            )

    def _candidates(
        self,
        name: str,
        slices: list[tables.Slice],
        weights: config.Placement,
    ) -> list[balance_plan.Candidate]:
        now = self._clock.now()
        responding = self._loads.aggregator(name).responding_targets(now)
        owning = {slice_.owner for slice_ in slices if slice_.owner}
        live = self._fleet.fleet.live_targets(name)
        for target in responding & set(live):
            # A target first seen without slices is cold. A target that had
            # slices before this VM became the planner is warm.
            if owning and target not in owning:
                self._cold_since.setdefault(target, now)
        return [
            balance_plan.Candidate(
                vm.id, vm.zone, vm.region, self._capacity(vm.id, weights)
            )
            for vm in sorted(live.values(), key=lambda vm: vm.id)
            if vm.id in responding
        ]

    def _capacity(self, target: str, weights: config.Placement) -> float:
        since = self._cold_since.get(target)
        if since is None:
            return 1.0
        return balance_plan.slow_start_capacity(
            self._clock.now() - since, weights.ramp
        )

    async def _create_blocks(
        self,
        name: str,
        service: config.Service,
        blocks: dict[int, tables.Block],
    ) -> None:
        count = service.slices if service.key else 0
        for index in placement.missing_blocks(service.blocks, blocks):
            self._proposed += 1
            await self._state.create(
                tables.empty_block(name, index, count, service.blocks)
            )

    async def _assign_owners(
        self, block: tables.Block, weights: config.Placement
    ) -> None:
        """Assigns owners to slices without one or with a leaving owner."""
        live = set(self._fleet.fleet.live_targets(block.service))
        ready = live & block.reachable()
        orphaned = {
            slice_.first
            for slice_ in block.slices
            if (slice_.next or slice_.owner) not in ready
            and not _keeps_owner(block, slice_.first, live)
        }
        if not orphaned:
            return
        aggregator = self._loads.aggregator(block.service)
        slices = list(block.slices)
        responding = [
            candidate
            for candidate in self._candidates(block.service, slices, weights)
            if candidate.id in ready
        ]
        # No load is known before the first reports.
        plan = (
            balance_plan.reassign(
                slices, aggregator.loads, responding, orphaned
            )
            if responding
            else {
                first: target
                for first, target in placement.plan_owners(block, ready).items()
                if first in orphaned
            }
        )
        if not plan:
            return
        self._proposed += 1
        await self._state.change(block.id, lambda b: moves.start_moves(b, plan))


def _operator_placed_slices(
    slices: list[tables.Slice], service: config.Service
) -> set[int]:
    """Returns the first hashes of slices that operators have placed."""
    positions = [keys.key_hash(key) for key in service.moves]
    return {
        slice_.first
        for slice_ in slices
        if any(slice_.first <= at <= slice_.last for at in positions)
    }


def _keeps_owner(block: tables.Block, first: int, live: set[str]) -> bool:
    """Whether a slice's owner is kept even if it may be unresponsive now.

    A move away from an unresponsive target waits for its proof of release, and
    takes the slice from the target even if the target recovers meanwhile. If
    it doesn't recover, its keeper moves the slice without a plan, as soon as
    there is a proof.
    """
    slice_ = block.slice_at(first)
    return slice_ is not None and slice_.owner in live and not slice_.next
