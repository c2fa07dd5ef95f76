"""The planner service: proposes owners; the store decides."""

import asyncio
from typing import Any

from mimosastile_core import config
from mimosastile_core import moves
from mimosastile_core import placement
from mimosastile_core import tables
from mimosastile_entry import _fleet
from mimosastile_entry import _state
from mimosastile_entry import kernel

_TICK_SECONDS = 0.1


class PlannerService:
    """Looks at tables and fleet at an interval and proposes changes."""

    __slots__ = (
        "_fleet",
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
        self.needs: tuple[str, ...] = ("state", "fleet")
        self._vm = vm
        self._planned = 0
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._task: asyncio.Task[None] | None = None

    async def start(self, kernel: kernel.Kernel) -> None:
        """Begins to plan."""
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
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
        entries = self._fleet.fleet.live_entries()
        usual = placement.usual_planner(name, entries) == self._vm
        table = self._state.replica.table(name)
        blocks = table.blocks if table else {}
        if usual:
            await self._create_blocks(name, service, blocks)
        for block in list(blocks.values()):
            if usual and block.slices:
                await self._place(block)

    async def _create_blocks(
        self,
        name: str,
        service: config.Service,
        blocks: dict[int, tables.Block],
    ) -> None:
        count = service.slices if service.key else 0
        for index in placement.needs_blocks(service.blocks, blocks):
            self._planned += 1
            await self._state.create(
                tables.empty_block(name, index, count, service.blocks)
            )

    async def _place(self, block: tables.Block) -> None:
        live = set(self._fleet.fleet.live_targets(block.service))
        plan = {
            first: target
            for first, target in placement.spread(
                block, live & block.reachable()
            ).items()
            if not _stays(block, first, live)
        }
        if not plan:
            return
        self._planned += 1
        await self._state.change(block.id, lambda b: moves.start_moves(b, plan))


def _stays(block: tables.Block, first: int, live: set[str]) -> bool:
    """Whether a slice's owner is to stay although it may not answer now.

    A move away from a silent target waits for its proof of release and takes
    the key from the target if it answers again meanwhile. If it stays silent,
    its keeper moves the slice without a plan, as soon as there is a proof.
    """
    piece = block.slice_at(first)
    return piece is not None and piece.owner in live and not piece.next
