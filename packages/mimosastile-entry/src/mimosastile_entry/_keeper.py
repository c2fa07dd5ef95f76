"""The keeper service: grants to the targets that this VM keeps."""

import asyncio
from collections.abc import Iterator
import contextlib
from typing import Any

from absl import logging
import result

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import gates
from mimosastile_core import grants
from mimosastile_core import holder
from mimosastile_core import keeping
from mimosastile_core import messages
from mimosastile_core import moves
from mimosastile_core import pauses
from mimosastile_core import tables
from mimosastile_entry import _catchup
from mimosastile_entry import _fleet
from mimosastile_entry import _gating
from mimosastile_entry import _kept
from mimosastile_entry import _loads
from mimosastile_entry import _proving
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

_PREFIX = "keeper:"
_PAUSE_SECONDS = 0.5
"""Longest gap between two looks at the clock that is not a pause."""
_RETRY_SECONDS = 0.5
"""Wait after nobody could tell what has happened during a pause."""


class KeeperService:
    """Renews grants, collects proofs of release and finishes moves."""

    __slots__ = (
        "_boot",
        "_catch_up",
        "_clock",
        "_fleet",
        "_guard",
        "_kept",
        "_loads",
        "_lock",
        "_outranked",
        "_proving",
        "_retiring",
        "_state",
        "_targets",
        "_tick",
        "_vm",
        "_zone",
        "name",
        "needs",
    )

    def __init__(self, vm: str, zone: str) -> None:
        """Makes the service.

        Args:
            vm: Identifier of this VM.
            zone: Availability zone of this VM.
        """
        self.name = "keeper"
        self.needs: tuple[str, ...] = (
            "state",
            "fleet",
            "fleet_port",
            "targets",
            "clock",
            "loads",
        )
        self._vm = vm
        self._zone = zone
        self._boot = ""
        self._kept: dict[_kept.KeptId, _kept.Kept] = {}
        self._outranked: dict[_kept.KeptId, int] = {}
        self._retiring: dict[_kept.KeptId, gates.GatedTarget] = {}
        self._lock = asyncio.Lock()
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._targets: ports.TargetPort
        self._clock: ports.ClockPort
        self._loads: _loads.LoadsService
        self._catch_up: _catchup.CatchUp
        self._guard: pauses.PauseGuard
        self._proving: _proving.Proving
        self._tick: asyncio.Task[None] | None = None

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
        self._loads = kernel.find("loads")
        self._boot = self._clock.new_id()
        self._catch_up = _catchup.CatchUp(self._vm, self._zone, kernel)
        self._guard = pauses.PauseGuard(_PAUSE_SECONDS, self._clock.now())
        self._proving = _proving.Proving(
            self._kept, self._state, self._fleet, self._clock, self._guard
        )
        self._tick = asyncio.create_task(self._look(), name="keeper-clock")
        self._state.replica.subscribe(self.reconcile)
        self.reconcile()

    async def stop(self) -> None:
        """Stops renewing."""
        if self._tick is not None:
            self._tick.cancel()
        for kept in self._kept.values():
            kept.cancel()
        self._kept.clear()

    def dump(self) -> dict[str, Any]:
        """Returns the kept targets."""
        return {
            f"{_state.block_key(block)}/{target}": {
                "keeper_fence": kept.state.keeper_fence,
                "awaits_silence": kept.state.awaits_silence,
                "proof": type(kept.proof).__name__ if kept.proof else None,
                "gone_since": kept.gone_since,
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
            and keeper.fence > self._outranked.get((block.id, target), 0)
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

    def awaited(self) -> Iterator[tuple[messages.Role, tables.FormerKeeper]]:
        """Yields each role with a former keeper that is to be silent first."""
        for at, kept in self._kept.items():
            if kept.state.awaits_silence:
                role = messages.Role(*at, kept.state.keeper_fence)
                yield from ((role, former) for former in kept.former)

    def silence(self, role: messages.Role, former: tables.FormerKeeper) -> None:
        """Notes that a former keeper is known to send nothing more."""
        kept = self._kept.get((role.block, role.target))
        if kept is None or kept.state.keeper_fence != role.fence:
            return
        kept.former.discard(former)
        if not kept.former:
            kept.state.former_keepers_stopped(self._clock.now())
            kept.wake.set()

    def orphan(self, role: messages.Role) -> None:
        """Notes that a former keeper ended and acknowledged nothing."""
        kept = self._kept.get((role.block, role.target))
        if kept is not None and isinstance(kept.state, gates.GatedTarget):
            kept.state.former_keeper_lost()

    def settled_fences(self, block: tables.BlockId) -> dict[str, int]:
        """Returns target to fence where no former keeper matters any more."""
        return {
            target: kept.state.keeper_fence
            for (at, target), kept in self._kept.items()
            if at == block and not kept.state.awaits_silence
        }

    def stand_down(self, role: messages.Role) -> bool:
        """Ends a role because another VM has it under a higher fence.

        Returns:
            Whether nothing of it can reach the target any more, or whatever
            does is refused there.
        """
        at = (role.block, role.target)
        known = self._outranked.get(at, 0)
        # The role with this very fence is the sender's, all below are over.
        self._outranked[at] = max(known, role.fence)
        kept = self._kept.get(at)
        if kept is not None and kept.state.keeper_fence < role.fence:
            self._end(at)
        return self.has_retired(role)

    def has_retired(self, role: messages.Role) -> bool:
        """Whether nothing of an earlier role of this run can be running."""
        retiring = self._retiring.get((role.block, role.target))
        return retiring is None or retiring.idle

    async def send(
        self,
        vm: fleet.Vm,
        request: ports.Request,
        fence: holder.RequestFence | None,
    ) -> result.Result[ports.Response, errors.Failure]:
        """Sends a request to a kept target, as `TargetPort.send` does.

        Requests for a key of a target that checks nothing pass a gate here.
        """
        kept = self._kept.get((fence.block, vm.id)) if fence else None
        if fence is not None and not self._may_send(kept):
            return result.Err(errors.Failure(errors.ErrorKind.WRONG_FENCE))
        if fence is None or kept is None:
            return await self._targets.send(vm, request, fence)
        if isinstance(kept.state, gates.GatedTarget):
            work = _gating.send(
                self._targets, vm, request, fence, kept.state, kept.wake.set
            )
        else:
            work = self._targets.send(vm, request, fence)
        return await self._loads.measure(fence, work)

    def _may_send(self, kept: _kept.Kept | None) -> bool:
        return kept is not None and self._guard.is_open(self._clock.now())

    def _begin(self, at: _kept.KeptId, keeper: tables.KeeperRef) -> None:
        block, target = at
        service = self._service(block.service)
        if service is None:
            return
        silent = not keeper.former
        state: keeping.Kept
        if service.checks_orders:
            now = self._clock.now()
            state = grants.KeptTarget(
                block, target, keeper.fence, service.grant, now, silent
            )
        else:
            state = gates.GatedTarget(block, target, keeper.fence, silent)
        kept = _kept.Kept(state, keeper.former)
        self._kept[at] = kept
        kept.task = asyncio.create_task(
            self._keep(kept, block), name=f"keep-{target}"
        )
        logging.info("%s keeps %s for %s.", _PREFIX, target, block.service)

    def _end(self, at: _kept.KeptId) -> None:
        kept = self._kept.pop(at)
        kept.cancel()
        if isinstance(kept.state, gates.GatedTarget):
            kept.state.set_wanted(())
            if not kept.state.idle:
                self._retiring[at] = kept.state
        logging.info("%s keeps %s no longer.", _PREFIX, at[1])

    def _service(self, name: str) -> config.Service | None:
        return self._state.replica.config.document.services.get(name)

    async def _look(self) -> None:
        while True:
            self._guard.is_open(self._clock.now())
            self._loads.set_heard(self._heard())
            await asyncio.sleep(_PAUSE_SECONDS / 5)

    def _heard(self) -> dict[str, tuple[str, ...]]:
        """Returns by service the kept targets that answer."""
        now = self._clock.now()
        heard: dict[str, set[str]] = {}
        for (at, target), kept in self._kept.items():
            if not _kept.is_unheard(kept.state, now):
                heard.setdefault(at.service, set()).add(target)
        return {name: tuple(sorted(vms)) for name, vms in heard.items()}

    async def _awake(self) -> None:
        """Returns once this VM may speak as a keeper."""
        if self._guard.is_open(self._clock.now()):
            return
        async with self._lock:
            while not self._guard.is_open(self._clock.now()):
                began = await self._catch_up.everything()
                if began is None:
                    await asyncio.sleep(_RETRY_SECONDS)
                    continue
                self._guard.tables_read(began)
                logging.warning("%s was paused, has caught up.", _PREFIX)
                for kept in self._kept.values():
                    _kept.resume(kept.state, self._clock.now())

    async def _keep(self, kept: _kept.Kept, at: tables.BlockId) -> None:
        while not _kept.is_replaced(kept.state):
            kept.wake.clear()
            await self._awake()
            service = self._service(at.service) or config.Service()
            self._order(kept, at, service)
            await self._exchange(kept, at, service)
            self._proving.conclude(kept, at, service)
            await self._rest(kept, service)

    def _order(
        self, kept: _kept.Kept, at: tables.BlockId, service: config.Service
    ) -> None:
        """Sets what the target should own as the block now says."""
        block = self._state.replica.blocks[at]
        proof = kept.proof

        def withheld(piece: tables.Slice) -> bool:
            handed_in = proof is not None and moves.proves(proof, block, piece)
            return handed_in or self._state.writes.withholds(at, piece)

        target = kept.state.target
        kept.state.set_wanted(keeping.wanted(block, target, withheld))
        if isinstance(kept.state, grants.KeptTarget):
            kept.state.prepare(keeping.prepared(block, target))
            kept.state.set_timing(service.grant)

    async def _exchange(
        self, kept: _kept.Kept, at: tables.BlockId, service: config.Service
    ) -> None:
        vm = self._fleet.fleet.targets(at.service).get(kept.state.target)
        state = kept.state
        if vm is None or not isinstance(state, grants.KeptTarget):
            return
        message = state.message()
        left = state.expires_at - self._clock.now()
        longest = service.grant.timeout
        # Waits no longer than it takes to know that the grant has lapsed.
        timeout = (
            min(longest, left + _kept.SHORTEST_REST) if left > 0 else longest
        )
        reply = await self._targets.grant(vm, message, timeout)
        if isinstance(reply, result.Ok):
            state.handle_reply(message, reply.ok_value, self._clock.now())
        if state.needs_confirmation:
            await self._confirm(state, at)

    async def _confirm(
        self, state: grants.KeptTarget, at: tables.BlockId
    ) -> None:
        began = await self._catch_up.block(at)
        if began is None:
            return
        keeper = self._state.replica.blocks[at].keepers.get(state.target)
        if keeper is not None and keeper.fence == state.keeper_fence:
            state.confirm(began)

    async def _rest(self, kept: _kept.Kept, service: config.Service) -> None:
        rest = _kept.rest_seconds(
            kept.state, service.grant.renew, self._clock.now()
        )
        with contextlib.suppress(TimeoutError):
            # Not `wait_for`: in Python 3.11 it loses a cancellation that comes
            # together with the event; an ended keeper would go on renewing.
            async with asyncio.timeout(rest):
                await kept.wake.wait()
