"""Hands proofs of release in and ends doubts about writes."""

import asyncio
import functools

from absl import logging
import result

from mimosastile_core import config
from mimosastile_core import grants
from mimosastile_core import keeping
from mimosastile_core import moves
from mimosastile_core import pauses
from mimosastile_core import placement
from mimosastile_core import tables
from mimosastile_entry import _fleet
from mimosastile_entry import _kept
from mimosastile_entry import _state
from mimosastile_entry import ports

_PREFIX = "keeper:"
_RETRY_SECONDS = 0.5
"""Wait after the store did not take a change."""


class Proving:
    """Looks at kept targets and changes their block where that follows.

    One change at a time is under way for a target, beside its renewals: a
    slow store must not keep the slices that stay from being renewed.
    """

    __slots__ = ("_clock", "_fleet", "_guard", "_kept", "_settling", "_state")

    def __init__(
        self,
        kept: dict[_kept.KeptId, _kept.Kept],
        state: _state.StateService,
        fleet: _fleet.FleetService,
        clock: ports.ClockPort,
        guard: pauses.PauseGuard,
    ) -> None:
        """Makes it for a keeper's targets.

        Args:
            kept: All kept targets.
            state: Changes blocks.
            fleet: Knows which targets are listed.
            clock: Tells the time.
            guard: Tells whether this VM may speak as a keeper.
        """
        self._kept = kept
        self._state = state
        self._fleet = fleet
        self._clock = clock
        self._guard = guard
        self._settling: set[tables.BlockId] = set()

    def conclude(
        self, kept: _kept.Kept, at: tables.BlockId, service: config.Service
    ) -> None:
        """Hands in a proof if there is one, or ends doubts about a write."""
        now = self._clock.now()
        if kept.write is not None and not kept.write.done():
            return
        if now < kept.retry_at or not self._guard.is_open(now):
            return
        proof = self._proof(kept, at, service)
        if proof is not None:
            kept.proof = proof
            kept.write = asyncio.create_task(
                self._hand_in(kept, at, proof), name=f"prove-{proof.target}"
            )
        elif plan := self._stuck(kept, at):
            kept.write = asyncio.create_task(
                self._try(kept, at, lambda b: moves.start_moves(b, plan)),
                name=f"stay-{at.service}",
            )
        elif note := self._note(kept, at):
            kept.write = asyncio.create_task(
                self._try(kept, at, note), name=f"note-{at.service}"
            )
        elif self._state.writes.is_pending(at) and at not in self._settling:
            self._settling.add(at)
            kept.write = asyncio.create_task(
                self._settle(kept, at), name=f"settle-{at.service}"
            )

    def _stuck(self, kept: _kept.Kept, at: tables.BlockId) -> dict[int, str]:
        target = kept.state.target
        if target not in self._fleet.fleet.live_targets(at.service):
            return {}
        owned = self._state.replica.blocks[at].owned_by(target)
        return keeping.unprovable_moves(kept.state, owned)

    def _note(
        self, kept: _kept.Kept, at: tables.BlockId
    ) -> _state.Change | None:
        """Returns the change that says whether the target answers."""
        state = kept.state
        if not isinstance(state, grants.KeptTarget):
            return None
        lost = _kept.is_unheard(state, self._clock.now())
        note = functools.partial(
            moves.record_lost,
            target=state.target,
            keeper_fence=state.keeper_fence,
            lost=lost,
        )
        return note if note(self._state.replica.blocks[at]).is_ok() else None

    async def _try(
        self, kept: _kept.Kept, at: tables.BlockId, change: _state.Change
    ) -> None:
        outcome = await self._state.change(at, change)
        if outcome.is_err():
            kept.retry_at = self._clock.now() + _RETRY_SECONDS
        kept.wake.set()

    def _proof(
        self, kept: _kept.Kept, at: tables.BlockId, service: config.Service
    ) -> moves.Proof | None:
        now = self._clock.now()
        target = kept.state.target
        if not self._fleet.is_gone(target):
            kept.gone_since = None
        elif kept.gone_since is None:
            kept.gone_since = now
        evidence = keeping.Evidence(
            now,
            service.checks_expiry,
            service.grant.max_validity,
            kept.gone_since,
        )
        owned = self._state.replica.blocks[at].owned_by(target)
        return keeping.proof(kept.state, owned, evidence)

    async def _hand_in(
        self, kept: _kept.Kept, at: tables.BlockId, proof: moves.Proof
    ) -> None:
        def change(block: tables.Block) -> moves.BlockResult:
            chosen = self._chooser(block, proof.target)
            return moves.finish_moves(block, proof, chosen)

        try:
            outcome = await self._state.change(at, change)
            if isinstance(outcome, result.Ok):
                kind = type(proof).__name__.lower()
                logging.info("%s %s is %s.", _PREFIX, proof.target, kind)
            else:
                kept.retry_at = self._clock.now() + _RETRY_SECONDS
        finally:
            kept.proof = None
            kept.wake.set()

    async def _settle(self, kept: _kept.Kept, at: tables.BlockId) -> None:
        try:
            if not await self._state.settle(at):
                kept.retry_at = self._clock.now() + _RETRY_SECONDS
        finally:
            self._settling.discard(at)

    def _chooser(
        self, block: tables.Block, lost: str
    ) -> placement.OwnerChooser:
        live = set(self._fleet.fleet.live_targets(block.service)) - {lost}
        now = self._clock.now()
        unheard = {
            target
            for (at, target), kept in self._kept.items()
            if at == block.id and _kept.is_unheard(kept.state, now)
        }
        return placement.owner_chooser(
            block, (live & block.reachable()) - unheard
        )
