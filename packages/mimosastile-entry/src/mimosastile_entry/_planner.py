"""The planner service: proposes owners; the store decides."""

import asyncio
from typing import Any

from mimosastile_core import balance_plan
from mimosastile_core import config
from mimosastile_core import keys
from mimosastile_core import moves
from mimosastile_core import placement
from mimosastile_core import splits
from mimosastile_core import tables
from mimosastile_entry import _fleet
from mimosastile_entry import _loads
from mimosastile_entry import _membership
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

_TICK_SECONDS = 0.1
_BALANCE_SECONDS = 2.0
_PATIENCE_SECONDS = 3.0
_REST_SECONDS = 30.0
"""Time for which a slice that has moved stays where it is."""


class PlannerService:
    """Looks at tables and fleet at an interval and proposes changes."""

    __slots__ = (
        "_balance_at",
        "_clock",
        "_cold_since",
        "_empty_since",
        "_fleet",
        "_loads",
        "_membership",
        "_moved_at",
        "_planned",
        "_state",
        "_task",
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
        self._planned = 0
        self._balance_at: dict[str, float] = {}
        self._moved_at: dict[int, float] = {}
        self._cold_since: dict[str, float] = {}
        self._empty_since: dict[tables.BlockId, float] = {}
        self._membership: _membership.MembershipService
        self._loads: _loads.LoadsService
        self._clock: ports.ClockPort
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._task: asyncio.Task[None] | None = None

    async def start(self, kernel: kernel.Kernel) -> None:
        """Begins to plan."""
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._membership = kernel.find("membership")
        self._loads = kernel.find("loads")
        self._clock = kernel.find("clock")
        self._task = asyncio.create_task(self._plan(), name="planner")

    async def stop(self) -> None:
        """Ends the planning."""
        if self._task is not None:
            self._task.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns how many changes this VM has proposed."""
        return {"proposed": self._planned}

    async def _plan(self) -> None:
        while True:
            document = self._state.replica.config.document
            for name, service in document.services.items():
                await self._plan_service(name, service)
            await asyncio.sleep(_TICK_SECONDS)

    async def _plan_service(self, name: str, service: config.Service) -> None:
        usual = placement.preferred_planner(name, self._membership.alive())
        if usual != self._vm:
            return
        table = self._state.replica.table(name)
        blocks = table.blocks if table else {}
        await self._create_blocks(name, service, blocks)
        for block in list(blocks.values()):
            if block.slices and self._is_ready(block):
                await self._place(block, service.placement)
                await self._obey(block, service)
        now = self._clock.now()
        due = self._balance_at.setdefault(name, now + _BALANCE_SECONDS)
        if now >= due:
            self._balance_at[name] = now + _BALANCE_SECONDS
            await self._balance(name, service, list(blocks.values()))

    def _is_ready(self, block: tables.Block) -> bool:
        """Whether a block's first owners can be named.

        If they were named as soon as the first target has a keeper, that one
        would get all slices, and most of them would have to move again.
        """
        if any(piece.owner for piece in block.slices):
            return True
        live = set(self._fleet.fleet.live_targets(block.service))
        now = self._clock.now()
        since = self._empty_since.setdefault(block.id, now)
        return live <= set(block.keepers) or now - since > _PATIENCE_SECONDS

    async def _balance(
        self,
        name: str,
        service: config.Service,
        blocks: list[tables.Block],
    ) -> None:
        """Evens the load out with few moves."""
        weights = service.placement
        board = self._loads.board(name)
        now = self._clock.now()
        slices = [piece for block in blocks for piece in block.slices]
        board.decay((piece.first for piece in slices), now)
        candidates = self._candidates(name, slices, weights)
        owned = {piece.owner for piece in slices if piece.owner}
        if not slices or not owned <= {c.id for c in candidates}:
            # Some owner is leaving, lost or not heard: its slices move first,
            # and who is to have them is decided elsewhere.
            return
        loads = board.loads
        if balance_plan.is_idle(
            slices, loads, weights.idle_below * service.slots
        ):
            if not balance_plan.is_underfilled(slices, candidates):
                return
            # A new target gets its share by count.
            loads = {}
        self._moved_at = {
            first: at
            for first, at in self._moved_at.items()
            if now - at < _REST_SECONDS
        }
        resting = {*self._moved_at, *_ordered_slices(slices, service)}
        plan = balance_plan.plan(slices, loads, candidates, weights, resting)
        self._moved_at |= dict.fromkeys(plan.moves, now)
        for block in blocks:
            await self._carry_out(block, plan)

    async def _obey(self, block: tables.Block, service: config.Service) -> None:
        """Carries out the moves that operators have ordered."""
        live = set(self._fleet.fleet.live_targets(block.service))
        plan = balance_plan.plan_operator_moves(
            block.slices, service.moves, live & block.reachable()
        )
        await self._carry_out(block, plan)

    async def _carry_out(
        self, block: tables.Block, plan: balance_plan.Plan
    ) -> None:
        firsts = {piece.first for piece in block.slices}
        parts = {f: p for f, p in plan.splits.items() if f in firsts}
        named = {f: t for f, t in plan.moves.items() if f in firsts}
        if parts:
            self._planned += 1
            await self._state.change(block.id, lambda b: splits.split(b, parts))
        if named:
            self._planned += 1
            await self._state.change(
                block.id, lambda b: moves.start_moves(b, named)
            )

    def _candidates(
        self,
        name: str,
        slices: list[tables.Slice],
        weights: config.Placement,
    ) -> list[balance_plan.Candidate]:
        now = self._clock.now()
        heard = self._loads.board(name).responding_targets(now)
        owning = {piece.owner for piece in slices if piece.owner}
        live = self._fleet.fleet.live_targets(name)
        for target in heard & set(live):
            # Cold is who was first seen without slices; a target that others
            # have filled before this VM began to plan is warm.
            if owning and target not in owning:
                self._cold_since.setdefault(target, now)
        return [
            balance_plan.Candidate(
                vm.id, vm.zone, vm.region, self._capacity(vm.id, weights)
            )
            for vm in sorted(live.values(), key=lambda vm: vm.id)
            if vm.id in heard
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
            self._planned += 1
            await self._state.create(
                tables.empty_block(name, index, count, service.blocks)
            )

    async def _place(
        self, block: tables.Block, weights: config.Placement
    ) -> None:
        """Names owners for slices that have none or whose owner leaves."""
        live = set(self._fleet.fleet.live_targets(block.service))
        ready = live & block.reachable()
        homeless = {
            piece.first
            for piece in block.slices
            if (piece.next or piece.owner) not in ready
            and not _stays(block, piece.first, live)
        }
        if not homeless:
            return
        board = self._loads.board(block.service)
        slices = list(block.slices)
        heard = [
            candidate
            for candidate in self._candidates(block.service, slices, weights)
            if candidate.id in ready
        ]
        # Before the first reports nothing is known of load.
        plan = (
            balance_plan.reassign(slices, board.loads, heard, homeless)
            if heard
            else {
                first: target
                for first, target in placement.plan_owners(block, ready).items()
                if first in homeless
            }
        )
        if not plan:
            return
        self._planned += 1
        await self._state.change(block.id, lambda b: moves.start_moves(b, plan))


def _ordered_slices(
    slices: list[tables.Slice], service: config.Service
) -> set[int]:
    """Returns first hashes of the slices that operators have placed."""
    positions = [keys.key_hash(key) for key in service.moves]
    return {
        piece.first
        for piece in slices
        if any(piece.first <= at <= piece.last for at in positions)
    }


def _stays(block: tables.Block, first: int, live: set[str]) -> bool:
    """Whether a slice's owner is to stay although it may not answer now.

    A move away from a silent target waits for its proof of release and takes
    the key from the target if it answers again meanwhile. If it stays silent,
    its keeper moves the slice without a plan, as soon as there is a proof.
    """
    piece = block.slice_at(first)
    return piece is not None and piece.owner in live and not piece.next
