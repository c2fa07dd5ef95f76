"""Claims keeper roles and hands them over between entry VMs."""

import asyncio
from collections.abc import Callable
import contextlib
import itertools
from typing import Any
from typing import Protocol

from absl import logging
import result

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import messages
from mimosastile_core import moves
from mimosastile_core import roles
from mimosastile_core import tables
from mimosastile_core import takeover
from mimosastile_entry import _background
from mimosastile_entry import _fleet
from mimosastile_entry import _inbox
from mimosastile_entry import _keeper
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

_PREFIX = "roles:"
_CLAIM_INTERVAL_SECONDS = 0.25
_QUERY_INTERVAL_SECONDS = 0.1
_RETRY_SECONDS = 0.5
_CALL_TIMEOUT_SECONDS = 0.3
_HANDOVER_INTERVAL_SECONDS = 0.05


class Membership(Protocol):
    """The interface of the membership service that takeovers need."""

    def suspects(self, vm: str) -> bool:
        """Whether an entry VM is suspected to have failed."""

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener when a suspicion starts or ends."""


class _NoSuspicions:
    """Suspects no VM; used when there is no membership service."""

    def suspects(self, vm: str) -> bool:
        """Returns False."""
        del vm
        return False

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Never calls the listener."""
        del listener


class RolesService:
    """Claims roles, hands them over and asks former keepers to stop."""

    __slots__ = (
        "_claimed",
        "_clock",
        "_fleet",
        "_keeper",
        "_membership",
        "_offered",
        "_peers",
        "_retry_at",
        "_state",
        "_stopping",
        "_takeover_backoff",
        "_tasks",
        "_vm",
        "_wake",
        "name",
        "needs",
    )

    def __init__(self, vm: str) -> None:
        """Makes the service.

        Args:
            vm: Identifier of this VM.
        """
        self.name = "roles"
        self.needs: tuple[str, ...] = (
            "state",
            "fleet",
            "keeper",
            "peers",
            "inbox",
            "clock",
        )
        self._vm = vm
        self._claimed = 0
        self._offered: dict[tables.BlockId, dict[str, int]] = {}
        self._retry_at: dict[tables.BlockId, float] = {}
        self._takeover_backoff = takeover.TakeoverBackoff()
        self._stopping = False
        self._wake = asyncio.Event()
        self._tasks = _background.Background()
        self._membership: Membership = _NoSuspicions()
        self._clock: ports.ClockPort
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._keeper: _keeper.KeeperService
        self._peers: ports.PeerPort

    async def start(self, kernel: kernel.Kernel) -> None:
        """Starts claiming roles."""
        self._clock = kernel.find("clock")
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._keeper = kernel.find("keeper")
        self._peers = kernel.find("peers")
        inbox: _inbox.InboxService = kernel.find("inbox")
        inbox.handle(messages.StandDown, self._stand_down)
        inbox.handle(messages.Handover, self._receive_handover)
        with contextlib.suppress(LookupError):
            self._membership = kernel.find("membership")
        self._membership.subscribe(self._wake.set)
        self._fleet.subscribe(self._wake.set)
        self._state.replica.subscribe(self._wake.set)
        self._tasks.keep(self._claim_roles, "roles-claim")
        self._tasks.keep(self._query_former_keepers, "roles-ask")

    async def stop(self) -> None:
        """Stops claiming roles."""
        self._tasks.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns the number of claims and the former keepers to wait for."""
        return {
            "claims": self._claimed,
            "stopping": self._stopping,
            "awaited": sorted(
                {f.vm for _, f in self._keeper.unreleased_former_keepers()}
            ),
        }

    async def hand_over(self, seconds: float = 2.0) -> None:
        """Hands all roles to peers of the zone before a graceful stop.

        This VM remains keeper until each role has its next keeper, so that no
        call fails.

        Args:
            seconds: Longest wait for the peers.
        """
        self._stopping = True
        end = self._clock.now() + seconds
        while self._clock.now() < end:
            offers = self._offers()
            if not offers:
                return
            calls = (
                self._peers.call(
                    self._fleet.fleet.entries[vm],
                    messages.Handover(self._vm, tuple(offered)),
                    _CALL_TIMEOUT_SECONDS,
                )
                for vm, offered in offers.items()
            )
            await asyncio.gather(*calls)
            await asyncio.sleep(_HANDOVER_INTERVAL_SECONDS)
        logging.warning(
            "%s stopping with roles that no peer has claimed.", _PREFIX
        )

    def _offers(self) -> dict[str, list[messages.Role]]:
        """Returns the roles of this VM by the peer that should claim them."""
        peers = [
            vm
            for vm in self._fleet.fleet.live_entries().values()
            if vm.id != self._vm and not self._membership.suspects(vm.id)
        ]
        offers: dict[str, list[messages.Role]] = {}
        for block in self._state.replica.blocks.values():
            listed = self._fleet.fleet.targets(block.service)
            own = [
                listed[target]
                for target, keeper in block.keepers.items()
                if self._keeper.is_keeper(keeper) and target in listed
            ]
            for target, vm in roles.assign_keepers(block, own, peers).items():
                fence = block.keepers[target].fence
                role = messages.Role(block.id, target, fence)
                offers.setdefault(vm, []).append(role)
        return offers

    def _receive_handover(self, handover: messages.Handover) -> messages.Ack:
        for role in handover.roles:
            self._offered.setdefault(role.block, {})[role.target] = role.fence
        self._wake.set()
        return messages.Ack(self._vm)

    def _stand_down(self, request: messages.StandDown) -> messages.StoodDown:
        ended = tuple(r for r in request.roles if self._keeper.stand_down(r))
        return messages.StoodDown(self._vm, self._keeper.boot, ended)

    async def _claim_roles(self) -> None:
        while True:
            self._wake.clear()
            for block in list(self._state.replica.blocks.values()):
                await self._claim(block)
                await self._drop_former_keepers(block.id)
            with contextlib.suppress(TimeoutError):
                # `wait_for` in Python 3.11 loses a cancellation that coincides
                # with the event; the task would then never end.
                async with asyncio.timeout(_CLAIM_INTERVAL_SECONDS):
                    await self._wake.wait()

    async def _claim(self, block: tables.Block) -> None:
        now = self._clock.now()
        if self._stopping or now < self._retry_at.get(block.id, 0.0):
            return
        due = self._due(block)
        if not due:
            return
        for claim in due:
            if claim.suspected:
                self._takeover_backoff.record(block.id, claim.target, now)
        allowed = {claim.target for claim in due}
        checks = self._service(block.id).checks_orders
        outcome = await self._state.change(
            block.id, lambda b: self._set_keepers(b, allowed, checks)
        )
        if isinstance(outcome, result.Ok):
            self._claimed += len(due)
            self._offered.pop(block.id, None)
        elif outcome.err_value.kind is not errors.ErrorKind.CONFLICT:
            self._retry_at[block.id] = now + _RETRY_SECONDS

    def _due(self, block: tables.Block) -> list[roles.Claim]:
        now = self._clock.now()
        return [
            claim
            for claim in roles.claims(block, self._view(block.id))
            if not claim.suspected
            or self._takeover_backoff.allows(block.id, claim.target, now)
        ]

    def _set_keepers(
        self, block: tables.Block, allowed: set[str], checks_orders: bool
    ) -> moves.BlockResult:
        # Another VM may have claimed a role meanwhile; it keeps that role.
        own = {
            claim.target: (self._vm, self._keeper.boot)
            for claim in roles.claims(block, self._view(block.id))
            if claim.target in allowed
        }
        return moves.set_keepers(block, own, checks_orders)

    def _view(self, block_id: tables.BlockId) -> roles.View:
        listed = self._fleet.fleet
        return roles.View(
            self._vm,
            self._keeper.boot,
            listed,
            frozenset(filter(self._membership.suspects, listed.entries)),
            self._offered.get(block_id, {}),
        )

    def _service(self, block_id: tables.BlockId) -> config.Service:
        services = self._state.replica.config.document.services
        return services.get(block_id.service) or config.Service()

    async def _drop_former_keepers(self, block_id: tables.BlockId) -> None:
        """Removes former keepers that have stopped from a block."""
        released = self._keeper.released_fences(block_id)
        block = self._state.replica.blocks[block_id]
        due = moves.drop_former_keepers(block, released)
        now = self._clock.now()
        if due.is_err() or now < self._retry_at.get(block_id, 0.0):
            return
        outcome = await self._state.change(
            block_id, lambda b: moves.drop_former_keepers(b, released)
        )
        if outcome.is_err():
            self._retry_at[block_id] = now + _RETRY_SECONDS

    async def _query_former_keepers(self) -> None:
        while True:
            pending = sorted(
                self._keeper.unreleased_former_keepers(),
                key=lambda pair: pair[1].vm,
            )
            by_vm = itertools.groupby(pending, lambda pair: pair[1].vm)
            queries = [self._query_vm(vm, list(pairs)) for vm, pairs in by_vm]
            await asyncio.gather(*queries)
            await asyncio.sleep(
                _QUERY_INTERVAL_SECONDS if pending else _CLAIM_INTERVAL_SECONDS
            )

    async def _query_vm(
        self,
        vm: str,
        pairs: list[tuple[messages.Role, tables.FormerKeeper]],
    ) -> None:
        """Finds out which former keepers on a VM have stopped."""
        if vm == self._vm:
            self._check_own_roles(pairs)
            return
        if self._fleet.is_gone(vm):
            self._record_ended(pairs)
            return
        peer = self._fleet.fleet.entries.get(vm)
        if peer is None:
            return
        request = messages.StandDown(self._vm, tuple(r for r, _ in pairs))
        reply = (
            await self._peers.call(peer, request, _CALL_TIMEOUT_SECONDS)
        ).ok()
        if not isinstance(reply, messages.StoodDown):
            return
        ended = [
            (role, former)
            for role, former in pairs
            if reply.boot == former.boot and role in reply.roles
        ]
        for role, former in ended:
            self._keeper.record_former_stopped(role, former)
        # Another incarnation responded, so the former keeper has ended.
        ended_incarnations = [
            pair for pair in pairs if pair[1].boot != reply.boot
        ]
        self._record_ended(ended_incarnations)

    def _check_own_roles(
        self, pairs: list[tuple[messages.Role, tables.FormerKeeper]]
    ) -> None:
        """Checks roles that this VM held before another VM held them.

        A `StandDown` request to itself would end the role that it holds now.
        """
        for role, former in pairs:
            same_incarnation = former.boot == self._keeper.boot
            if same_incarnation and self._keeper.has_retired(role):
                self._keeper.record_former_stopped(role, former)
        ended_incarnations = [
            p for p in pairs if p[1].boot != self._keeper.boot
        ]
        self._record_ended(ended_incarnations)

    def _record_ended(
        self, pairs: list[tuple[messages.Role, tables.FormerKeeper]]
    ) -> None:
        """Records ended keepers as stopped if the targets check fences.

        If they don't, a request of an ended keeper may still be in the receive
        buffer of a frozen target and run when the target resumes.
        """
        for role, former in pairs:
            if self._service(role.block).checks_orders:
                self._keeper.record_former_stopped(role, former)
            else:
                self._keeper.record_former_lost(role)
