"""Renews grants to the targets that have this VM as their keeper.

A target's keeper is the entry VM through which alone the target gets requests
and grants.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import functools
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
from mimosastile_entry import _background
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
_MAX_CLOCK_GAP_SECONDS = 0.5
"""A longer gap between two clock checks counts as a pause of this VM."""
_RETRY_SECONDS = 0.5
"""Delay before a retry when neither the store nor peers could be read."""


class KeeperService:
    """Renews grants, collects proofs of release and completes moves."""

    __slots__ = (
        "_boot",
        "_catch_up",
        "_clock",
        "_fleet",
        "_guard",
        "_kept",
        "_loads",
        "_lock",
        "_superseding_fences",
        "_proving",
        "_retiring",
        "_tasks",
        "_state",
        "_targets",
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
        self._superseding_fences: dict[_kept.KeptId, int] = {}
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
        self._tasks = _background.Background()

    @property
    def boot(self) -> str:
        """Identifier of this incarnation of the daemon."""
        return self._boot

    def is_keeper(self, keeper: tables.KeeperRef | None) -> bool:
        """Whether a table names this incarnation of the daemon as keeper."""
        return keeper is not None and (keeper.vm, keeper.boot) == (
            self._vm,
            self._boot,
        )

    async def start(self, kernel: kernel.Kernel) -> None:
        """Starts keeping the targets that the tables assign to this VM."""
        self._clock = kernel.find("clock")
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._targets = kernel.find("targets")
        self._loads = kernel.find("loads")
        self._boot = self._clock.new_id()
        self._catch_up = _catchup.CatchUp(self._vm, self._zone, kernel)
        self._guard = pauses.PauseGuard(
            _MAX_CLOCK_GAP_SECONDS, self._clock.now()
        )
        self._proving = _proving.Proving(
            self._kept, self._state, self._fleet, self._clock, self._guard
        )
        self._tasks.keep(self._check_clock, "keeper-clock")
        self._state.replica.subscribe(self.reconcile)
        self.reconcile()

    async def stop(self) -> None:
        """Stops all renewals."""
        self._tasks.cancel()
        for kept in self._kept.values():
            kept.cancel()
        self._kept.clear()

    def dump(self) -> dict[str, Any]:
        """Returns the state of each kept target."""
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
        """Starts, wakes and stops renewals to match the current tables."""
        wanted = {
            (block.id, target): keeper
            for block in self._state.replica.blocks.values()
            if block.slices
            for target, keeper in block.keepers.items()
            if self.is_keeper(keeper)
            and keeper.fence
            > self._superseding_fences.get((block.id, target), 0)
        }
        for kept_id in [
            kept_id for kept_id in self._kept if kept_id not in wanted
        ]:
            self._stop_keeping(kept_id)
        for kept_id, keeper in wanted.items():
            kept = self._kept.get(kept_id)
            if kept is not None and kept.state.keeper_fence != keeper.fence:
                self._stop_keeping(kept_id)
                kept = None
            if kept is None:
                self._start_keeping(kept_id, keeper)
            else:
                kept.wake.set()

    def unreleased_former_keepers(
        self,
    ) -> Iterator[tuple[messages.Role, tables.FormerKeeper]]:
        """Yields former keepers that are not known to have stopped.

        Each comes with the role of this VM that it held before.
        """
        for kept_id, kept in self._kept.items():
            if kept.state.awaits_silence:
                role = messages.Role(*kept_id, kept.state.keeper_fence)
                yield from ((role, former) for former in kept.former)

    def record_former_stopped(
        self, role: messages.Role, former: tables.FormerKeeper
    ) -> None:
        """Records that a former keeper sends nothing more."""
        kept = self._kept.get((role.block, role.target))
        if kept is None or kept.state.keeper_fence != role.fence:
            return
        kept.former.discard(former)
        if not kept.former:
            kept.state.former_keepers_stopped(self._clock.now())
            kept.wake.set()

    def record_former_lost(self, role: messages.Role) -> None:
        """Records that a former keeper ended without acknowledging its stop."""
        kept = self._kept.get((role.block, role.target))
        if kept is not None and isinstance(kept.state, gates.GatedTarget):
            kept.state.former_keeper_lost()

    def released_fences(self, block: tables.BlockId) -> dict[str, int]:
        """Returns the fences of targets whose former keepers have stopped."""
        return {
            target: kept.state.keeper_fence
            for (block_id, target), kept in self._kept.items()
            if block_id == block and not kept.state.awaits_silence
        }

    def stand_down(self, role: messages.Role) -> bool:
        """Ends a role because another VM has it under a higher fence.

        Returns:
            Whether no request of the role can reach the target any more, or
            the target refuses those that do.
        """
        kept_id = (role.block, role.target)
        current = self._superseding_fences.get(kept_id, 0)
        # The sender holds the role with this fence; all lower ones have ended.
        self._superseding_fences[kept_id] = max(current, role.fence)
        kept = self._kept.get(kept_id)
        if kept is not None and kept.state.keeper_fence < role.fence:
            self._stop_keeping(kept_id)
        return self.has_retired(role)

    def has_retired(self, role: messages.Role) -> bool:
        """Whether no request of an earlier role here can still be running."""
        retiring = self._retiring.get((role.block, role.target))
        return retiring is None or retiring.idle

    async def send(
        self,
        vm: fleet.Vm,
        request: ports.Request,
        fence: holder.RequestFence | None,
    ) -> result.Result[ports.Response, errors.Failure]:
        """Sends a request to a kept target, as `TargetPort.send` does.

        If the target doesn't check fences, a `gates.GatedTarget` first admits
        or refuses each request for a key.
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

    def _start_keeping(
        self, kept_id: _kept.KeptId, keeper: tables.KeeperRef
    ) -> None:
        block, target = kept_id
        service = self._service(block.service)
        if service is None:
            return
        former_stopped = not keeper.former
        state: keeping.Kept
        if service.checks_orders:
            now = self._clock.now()
            state = grants.KeptTarget(
                block, target, keeper.fence, service.grant, now, former_stopped
            )
        else:
            state = gates.GatedTarget(
                block, target, keeper.fence, former_stopped
            )
        kept = _kept.Kept(state, keeper.former)
        self._kept[kept_id] = kept
        kept.task = self._tasks.keep(
            functools.partial(self._keep, kept, block), f"keep-{target}"
        )
        logging.info(
            "%s started keeping %s for %s.", _PREFIX, target, block.service
        )

    def _stop_keeping(self, kept_id: _kept.KeptId) -> None:
        kept = self._kept.pop(kept_id)
        kept.cancel()
        if isinstance(kept.state, gates.GatedTarget):
            kept.state.set_wanted(())
            if not kept.state.idle:
                self._retiring[kept_id] = kept.state
        logging.info("%s stopped keeping %s.", _PREFIX, kept_id[1])

    def _service(self, name: str) -> config.Service | None:
        return self._state.replica.config.document.services.get(name)

    async def _check_clock(self) -> None:
        while True:
            self._guard.is_open(self._clock.now())
            self._loads.set_responding_targets(self._responding_targets())
            await asyncio.sleep(_MAX_CLOCK_GAP_SECONDS / 5)

    def _responding_targets(self) -> dict[str, tuple[str, ...]]:
        """Returns the responsive kept targets by service."""
        now = self._clock.now()
        responding: dict[str, set[str]] = {}
        for (block_id, target), kept in self._kept.items():
            if not _kept.is_unresponsive(kept.state, now):
                responding.setdefault(block_id.service, set()).add(target)
        return {name: tuple(sorted(vms)) for name, vms in responding.items()}

    async def _wait_until_current(self) -> None:
        """Waits until this VM may send as a keeper.

        After a pause, it first reads the tables again: this VM may have been
        replaced as keeper meanwhile.
        """
        if self._guard.is_open(self._clock.now()):
            return
        async with self._lock:
            while not self._guard.is_open(self._clock.now()):
                read_started_at = await self._catch_up.everything()
                if read_started_at is None:
                    await asyncio.sleep(_RETRY_SECONDS)
                    continue
                self._guard.tables_read(read_started_at)
                logging.warning(
                    "%s resumed after a pause; tables are up to date.", _PREFIX
                )
                for kept in self._kept.values():
                    _kept.resume(kept.state, self._clock.now())

    async def _keep(self, kept: _kept.Kept, block_id: tables.BlockId) -> None:
        while not _kept.is_replaced(kept.state):
            kept.wake.clear()
            await self._wait_until_current()
            service = self._service(block_id.service) or config.Service()
            self._set_wanted(kept, block_id, service)
            await self._exchange_grant(kept, block_id, service)
            self._proving.conclude(kept, block_id, service)
            await self._wait_for_renewal(kept, service)

    def _set_wanted(
        self,
        kept: _kept.Kept,
        block_id: tables.BlockId,
        service: config.Service,
    ) -> None:
        """Sets the slices that the target should own by the current block."""
        block = self._state.replica.blocks[block_id]
        proof = kept.proof

        def withheld(slice_: tables.Slice) -> bool:
            in_proof = proof is not None and moves.proves(proof, block, slice_)
            return in_proof or self._state.writes.withholds(block_id, slice_)

        target = kept.state.target
        kept.state.set_wanted(keeping.wanted(block, target, withheld))
        if isinstance(kept.state, grants.KeptTarget):
            kept.state.prepare(keeping.prepared(block, target))
            kept.state.set_timing(service.grant)

    async def _exchange_grant(
        self,
        kept: _kept.Kept,
        block_id: tables.BlockId,
        service: config.Service,
    ) -> None:
        vm = self._fleet.fleet.targets(block_id.service).get(kept.state.target)
        state = kept.state
        if vm is None or not isinstance(state, grants.KeptTarget):
            return
        message = state.message()
        left = state.expires_at - self._clock.now()
        longest = service.grant.timeout
        # Waits no longer than until the grant has certainly expired.
        timeout = (
            min(longest, left + _kept.EXPIRY_MARGIN_SECONDS)
            if left > 0
            else longest
        )
        reply = await self._targets.grant(vm, message, timeout)
        if isinstance(reply, result.Ok):
            state.handle_reply(message, reply.ok_value, self._clock.now())
        if state.needs_confirmation:
            await self._confirm(state, block_id)

    async def _confirm(
        self, state: grants.KeptTarget, block_id: tables.BlockId
    ) -> None:
        read_started_at = await self._catch_up.block(block_id)
        if read_started_at is None:
            return
        keeper = self._state.replica.blocks[block_id].keepers.get(state.target)
        if keeper is not None and keeper.fence == state.keeper_fence:
            state.confirm(read_started_at)

    async def _wait_for_renewal(
        self, kept: _kept.Kept, service: config.Service
    ) -> None:
        seconds = _kept.wait_seconds(
            kept.state, service.grant.renew, self._clock.now()
        )
        with contextlib.suppress(TimeoutError):
            # `wait_for` in Python 3.11 loses a cancellation that coincides with
            # the event; a stopped keeper would then go on renewing.
            async with asyncio.timeout(seconds):
                await kept.wake.wait()
