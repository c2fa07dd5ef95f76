"""The keeper service: grants to the targets that this VM keeps."""

import asyncio
import contextlib
from typing import Any

from absl import logging
import result

from mimosastile_core import config
from mimosastile_core import fleet
from mimosastile_core import grants
from mimosastile_core import moves
from mimosastile_core import placement
from mimosastile_core import tables
from mimosastile_entry import _fleet
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

_PREFIX = "keeper:"

KeptId = tuple[tables.BlockId, str]


class _Kept:
    """A kept target, the task that renews it and what wakes the task."""

    __slots__ = ("state", "task", "wake")

    def __init__(self, state: grants.KeptTarget) -> None:
        self.state = state
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None


class KeeperService:
    """Renews grants, collects proofs of release and finishes moves."""

    __slots__ = (
        "_boot",
        "_clock",
        "_fleet",
        "_kept",
        "_state",
        "_targets",
        "_vm",
        "name",
        "needs",
    )

    def __init__(self, vm: str) -> None:
        """Makes the service.

        Args:
            vm: Identifier of this VM.
        """
        self.name = "keeper"
        self.needs: tuple[str, ...] = ("state", "fleet", "targets", "clock")
        self._vm = vm
        self._boot = ""
        self._kept: dict[KeptId, _Kept] = {}
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._targets: ports.TargetPort
        self._clock: ports.ClockPort

    @property
    def boot(self) -> str:
        """Identifier of this run of the daemon."""
        return self._boot

    def is_keeper(self, keeper: tables.KeeperRef | None) -> bool:
        """Whether a table names this run of the daemon as keeper."""
        return keeper is not None and (keeper.vm, keeper.boot) == (
            self._vm,
            self._boot,
        )

    async def start(self, kernel: kernel.Kernel) -> None:
        """Begins to keep what the tables name this VM for."""
        self._clock = kernel.find("clock")
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._targets = kernel.find("targets")
        self._boot = self._clock.new_id()
        self._state.replica.subscribe(self.reconcile)
        self.reconcile()

    async def stop(self) -> None:
        """Stops renewing."""
        for kept in self._kept.values():
            if kept.task is not None:
                kept.task.cancel()
        self._kept.clear()

    def dump(self) -> dict[str, Any]:
        """Returns the kept targets."""
        return {
            f"{_state.block_key(block)}/{target}": {
                "keeper_fence": kept.state.keeper_fence,
                "settled": kept.state.settled,
                "replaced": kept.state.replaced,
                "heard_at": kept.state.heard_at,
            }
            for (block, target), kept in self._kept.items()
        }

    def reconcile(self) -> None:
        """Starts, wakes and ends the renewing as the tables now say."""
        wanted = {
            (block.id, target): keeper
            for block in self._state.replica.blocks.values()
            if block.slices
            for target, keeper in block.keepers.items()
            if self.is_keeper(keeper)
        }
        for at in [at for at in self._kept if at not in wanted]:
            self._end(at)
        for at, keeper in wanted.items():
            kept = self._kept.get(at)
            if kept is not None and kept.state.keeper_fence != keeper.fence:
                self._end(at)
                kept = None
            if kept is None:
                self._begin(at, keeper)
            else:
                kept.wake.set()

    def _begin(self, at: KeptId, keeper: tables.KeeperRef) -> None:
        block, target = at
        service = self._service(block.service)
        if service is None:
            return
        state = grants.KeptTarget(
            block, target, keeper.fence, service.grant, self._clock.now()
        )
        kept = _Kept(state)
        self._kept[at] = kept
        kept.task = asyncio.create_task(
            self._renew(kept, block, service), name=f"keep-{target}"
        )
        logging.info("%s keeps %s for %s.", _PREFIX, target, block.service)

    def _end(self, at: KeptId) -> None:
        kept = self._kept.pop(at)
        if kept.task is not None:
            kept.task.cancel()

    def _service(self, name: str) -> config.Service | None:
        return self._state.replica.config.document.services.get(name)

    async def _renew(
        self, kept: _Kept, at: tables.BlockId, service: config.Service
    ) -> None:
        while not kept.state.replaced:
            kept.wake.clear()
            block = self._state.replica.blocks[at]
            kept.state.want(_wanted(block, kept.state.target))
            await self._exchange(kept.state, service)
            await self._settle(kept.state, at, service)
            if not kept.state.settled and kept.state.heard_at is not None:
                await asyncio.sleep(service.grant.renew / 10)
                continue
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(kept.wake.wait(), service.grant.renew)

    async def _exchange(
        self, state: grants.KeptTarget, service: config.Service
    ) -> None:
        vm = self._fleet.fleet.targets(state.block.service).get(state.target)
        if vm is None:
            return
        message = state.message()
        reply = await self._targets.grant(vm, message, service.grant.timeout)
        if isinstance(reply, result.Ok):
            state.answered(message, reply.ok_value, self._clock.now())

    async def _settle(
        self,
        state: grants.KeptTarget,
        at: tables.BlockId,
        service: config.Service,
    ) -> None:
        """Finishes moves that the target's state now proves."""
        block = self._state.replica.blocks[at]
        proof = self._proof(state, block, service)
        if proof is None:
            return
        chosen = _chooser(block, self._fleet.fleet, state.target)
        await self._state.change(
            at, lambda b: moves.finish_moves(b, proof, chosen)
        )

    def _proof(
        self,
        state: grants.KeptTarget,
        block: tables.Block,
        service: config.Service,
    ) -> moves.Proof | None:
        owned = block.owned_by(state.target)
        lapses = bool(owned) and service.checks_expiry
        if lapses and state.has_lapsed(self._clock.now()):
            logging.warning("%s %s lapsed.", _PREFIX, state.target)
            return moves.Lapsed(state.target, state.keeper_fence)
        released = frozenset(
            s.first for s in owned if s.next and state.has_released(s)
        )
        if released:
            return moves.Released(state.target, state.keeper_fence, released)
        return None


def _wanted(block: tables.Block, target: str) -> tuple[grants.HeldSlice, ...]:
    return tuple(
        grants.HeldSlice(s.first, s.last, s.fence)
        for s in block.owned_by(target)
        if not s.next
    )


def _chooser(
    block: tables.Block, listed: fleet.Fleet, lost: str
) -> placement.Chooser:
    others = set(listed.live_targets(block.service)) - {lost}
    return placement.chooser(block, others)
