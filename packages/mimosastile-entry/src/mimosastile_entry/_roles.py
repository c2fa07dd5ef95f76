"""The roles service: who keeps which target, and the change of keepers."""

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
from mimosastile_entry import _fleet
from mimosastile_entry import _inbox
from mimosastile_entry import _keeper
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

_PREFIX = "roles:"
_TICK_SECONDS = 0.25
_ASK_SECONDS = 0.1
_RETRY_SECONDS = 0.5
_CALL_SECONDS = 0.3
_HANDOVER_STEP = 0.05


class Membership(Protocol):
    """The part of the membership service that takeovers use."""

    def suspects(self, vm: str) -> bool:
        """Whether an entry VM seems lost."""

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener when a suspicion begins or ends."""


class _Nobody:
    """Suspects nobody, where there is no membership service."""

    def suspects(self, vm: str) -> bool:
        """Returns False."""
        del vm
        return False

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Never calls the listener."""
        del listener


class RolesService:
    """Claims roles, hands them over and asks former keepers for silence."""

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
        self._tasks: list[asyncio.Task[None]] = []
        self._membership: Membership = _Nobody()
        self._clock: ports.ClockPort
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._keeper: _keeper.KeeperService
        self._peers: ports.PeerPort

    async def start(self, kernel: kernel.Kernel) -> None:
        """Begins to claim roles."""
        self._clock = kernel.find("clock")
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._keeper = kernel.find("keeper")
        self._peers = kernel.find("peers")
        inbox: _inbox.InboxService = kernel.find("inbox")
        inbox.handle(messages.StandDown, self._stand_down)
        inbox.handle(messages.Handover, self._take_offer)
        with contextlib.suppress(LookupError):
            self._membership = kernel.find("membership")
        self._membership.subscribe(self._wake.set)
        self._fleet.subscribe(self._wake.set)
        self._state.replica.subscribe(self._wake.set)
        self._tasks = [
            asyncio.create_task(self._claim_always(), name="roles-claim"),
            asyncio.create_task(self._ask_always(), name="roles-ask"),
        ]

    async def stop(self) -> None:
        """Ends the claiming."""
        for task in self._tasks:
            task.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns what this VM claims and awaits."""
        return {
            "claims": self._claimed,
            "stopping": self._stopping,
            "awaited": sorted({f.vm for _, f in self._keeper.awaited()}),
        }

    async def hand_over(self, seconds: float = 2.0) -> None:
        """Gives all roles to peers of the zone before a graceful stop.

        This VM goes on as keeper until each role has its next keeper, so
        callers notice nothing.

        Args:
            seconds: Longest time to wait for the peers.
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
                    _CALL_SECONDS,
                )
                for vm, offered in offers.items()
            )
            await asyncio.gather(*calls)
            await asyncio.sleep(_HANDOVER_STEP)
        logging.warning("%s stops with roles that nobody took.", _PREFIX)

    def _offers(self) -> dict[str, list[messages.Role]]:
        """Returns the own roles by the VM that should take them."""
        others = [
            vm
            for vm in self._fleet.fleet.live_entries().values()
            if vm.id != self._vm and not self._membership.suspects(vm.id)
        ]
        offers: dict[str, list[messages.Role]] = {}
        for block in self._state.replica.blocks.values():
            listed = self._fleet.fleet.targets(block.service)
            mine = [
                listed[target]
                for target, keeper in block.keepers.items()
                if self._keeper.is_keeper(keeper) and target in listed
            ]
            for target, vm in roles.assign_keepers(block, mine, others).items():
                fence = block.keepers[target].fence
                role = messages.Role(block.id, target, fence)
                offers.setdefault(vm, []).append(role)
        return offers

    def _take_offer(self, handover: messages.Handover) -> messages.Ack:
        for role in handover.roles:
            self._offered.setdefault(role.block, {})[role.target] = role.fence
        self._wake.set()
        return messages.Ack(self._vm)

    def _stand_down(self, question: messages.StandDown) -> messages.StoodDown:
        ended = tuple(r for r in question.roles if self._keeper.stand_down(r))
        return messages.StoodDown(self._vm, self._keeper.boot, ended)

    async def _claim_always(self) -> None:
        while True:
            self._wake.clear()
            for block in list(self._state.replica.blocks.values()):
                await self._claim(block)
                await self._forget(block.id)
            with contextlib.suppress(TimeoutError):
                # Not `wait_for`: in Python 3.11 it loses a cancellation that
                # comes together with the event; the task would go on for good.
                async with asyncio.timeout(_TICK_SECONDS):
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
            block.id, lambda b: self._named(b, allowed, checks)
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

    def _named(
        self, block: tables.Block, allowed: set[str], checks_orders: bool
    ) -> moves.BlockResult:
        # Another VM may have taken a role meanwhile; it is not taken back.
        mine = {
            claim.target: (self._vm, self._keeper.boot)
            for claim in roles.claims(block, self._view(block.id))
            if claim.target in allowed
        }
        return moves.set_keepers(block, mine, checks_orders)

    def _view(self, block: tables.BlockId) -> roles.View:
        listed = self._fleet.fleet
        return roles.View(
            self._vm,
            self._keeper.boot,
            listed,
            frozenset(filter(self._membership.suspects, listed.entries)),
            self._offered.get(block, {}),
        )

    def _service(self, block: tables.BlockId) -> config.Service:
        services = self._state.replica.config.document.services
        return services.get(block.service) or config.Service()

    async def _forget(self, at: tables.BlockId) -> None:
        """Drops former keepers that can do nothing any more."""
        settled = self._keeper.settled_fences(at)
        block = self._state.replica.blocks[at]
        due = moves.drop_former_keepers(block, settled)
        now = self._clock.now()
        if due.is_err() or now < self._retry_at.get(at, 0.0):
            return
        outcome = await self._state.change(
            at, lambda b: moves.drop_former_keepers(b, settled)
        )
        if outcome.is_err():
            self._retry_at[at] = now + _RETRY_SECONDS

    async def _ask_always(self) -> None:
        while True:
            awaited = sorted(
                self._keeper.awaited(), key=lambda pair: pair[1].vm
            )
            by_vm = itertools.groupby(awaited, lambda pair: pair[1].vm)
            asked = [self._ask(vm, list(pairs)) for vm, pairs in by_vm]
            await asyncio.gather(*asked)
            await asyncio.sleep(_ASK_SECONDS if awaited else _TICK_SECONDS)

    async def _ask(
        self,
        vm: str,
        pairs: list[tuple[messages.Role, tables.FormerKeeper]],
    ) -> None:
        """Learns whether one former keeper is silent."""
        if vm == self._vm:
            self._ask_itself(pairs)
            return
        if self._fleet.is_gone(vm):
            self._silence_checked(pairs)
            return
        peer = self._fleet.fleet.entries.get(vm)
        if peer is None:
            return
        question = messages.StandDown(self._vm, tuple(r for r, _ in pairs))
        reply = (await self._peers.call(peer, question, _CALL_SECONDS)).ok()
        if not isinstance(reply, messages.StoodDown):
            return
        ended = [
            (role, former)
            for role, former in pairs
            if reply.boot == former.boot and role in reply.roles
        ]
        for role, former in ended:
            self._keeper.silence(role, former)
        # Another run answers: the one that was the keeper is over.
        over = [pair for pair in pairs if pair[1].boot != reply.boot]
        self._silence_checked(over)

    def _ask_itself(
        self, pairs: list[tuple[messages.Role, tables.FormerKeeper]]
    ) -> None:
        """Looks at roles that this VM had before another one had them.

        Asked like a peer, it would stand down from the role that it has now.
        """
        for role, former in pairs:
            same_run = former.boot == self._keeper.boot
            if same_run and self._keeper.has_retired(role):
                self._keeper.silence(role, former)
        over = [p for p in pairs if p[1].boot != self._keeper.boot]
        self._silence_checked(over)

    def _silence_checked(
        self, pairs: list[tuple[messages.Role, tables.FormerKeeper]]
    ) -> None:
        """Counts keepers that ended as silent, where targets check orders.

        Where they do not, a request of an ended keeper may still lie in a
        frozen target's buffer and run when it thaws.
        """
        for role, former in pairs:
            if self._service(role.block).checks_orders:
                self._keeper.silence(role, former)
            else:
                self._keeper.orphan(role)
