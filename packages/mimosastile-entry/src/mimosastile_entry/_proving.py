"""Writes proofs of release and resolves writes with an unknown outcome."""

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
"""Delay before a retry after the store did not accept a change."""


class Proving:
    """Changes the blocks of kept targets as the targets' states require.

    Each target has at most one change in progress. It runs concurrently with
    renewals: a slow store must not delay the renewal of the other slices.
    """

    __slots__ = (
        "_clock",
        "_fleet",
        "_guard",
        "_kept",
        "_settling_blocks",
        "_state",
    )

    def __init__(
        self,
        kept: dict[_kept.KeptId, _kept.Kept],
        state: _state.StateService,
        fleet: _fleet.FleetService,
        clock: ports.ClockPort,
        guard: pauses.PauseGuard,
    ) -> None:
        """Initializes the instance for a keeper's targets.

        Args:
            kept: All kept targets.
            state: Holds the blocks and changes them.
            fleet: Holds the list of targets.
            clock: Source of the current time.
            guard: Detects pauses, after which this VM may not send as a keeper.
        """
        self._kept = kept
        self._state = state
        self._fleet = fleet
        self._clock = clock
        self._guard = guard
        self._settling_blocks: set[tables.BlockId] = set()

    def conclude(
        self,
        kept: _kept.Kept,
        block_id: tables.BlockId,
        service: config.Service,
    ) -> None:
        """Starts the next change of the block that a kept target requires.

        In this order: a proof of release, the withdrawal of a move that can't
        be proved, a change of reachability, and a pending write.
        """
        now = self._clock.now()
        if kept.write is not None and not kept.write.done():
            return
        if now < kept.retry_at or not self._guard.is_open(now):
            return
        proof = self._proof(kept, block_id, service)
        if proof is not None:
            kept.proof = proof
            kept.write = asyncio.create_task(
                self._submit_proof(kept, block_id, proof),
                name=f"prove-{proof.target}",
            )
        elif plan := self._unprovable_moves(kept, block_id):
            kept.write = asyncio.create_task(
                self._apply_change(
                    kept, block_id, lambda b: moves.start_moves(b, plan)
                ),
                name=f"stay-{block_id.service}",
            )
        elif change := self._reachability_change(kept, block_id):
            kept.write = asyncio.create_task(
                self._apply_change(kept, block_id, change),
                name=f"note-{block_id.service}",
            )
        elif (
            self._state.writes.is_pending(block_id)
            and block_id not in self._settling_blocks
        ):
            self._settling_blocks.add(block_id)
            kept.write = asyncio.create_task(
                self._settle(kept, block_id), name=f"settle-{block_id.service}"
            )

    def _unprovable_moves(
        self, kept: _kept.Kept, block_id: tables.BlockId
    ) -> dict[int, str]:
        target = kept.state.target
        if target not in self._fleet.fleet.live_targets(block_id.service):
            return {}
        owned = self._state.replica.blocks[block_id].owned_by(target)
        return keeping.unprovable_moves(kept.state, owned)

    def _reachability_change(
        self, kept: _kept.Kept, block_id: tables.BlockId
    ) -> _state.Change | None:
        """Returns a change that records whether the target responds, if due."""
        state = kept.state
        if not isinstance(state, grants.KeptTarget):
            return None
        lost = _kept.is_unresponsive(state, self._clock.now())
        change = functools.partial(
            moves.record_lost,
            target=state.target,
            keeper_fence=state.keeper_fence,
            lost=lost,
        )
        return (
            change
            if change(self._state.replica.blocks[block_id]).is_ok()
            else None
        )

    async def _apply_change(
        self, kept: _kept.Kept, block_id: tables.BlockId, change: _state.Change
    ) -> None:
        outcome = await self._state.change(block_id, change)
        if outcome.is_err():
            kept.retry_at = self._clock.now() + _RETRY_SECONDS
        kept.wake.set()

    def _proof(
        self,
        kept: _kept.Kept,
        block_id: tables.BlockId,
        service: config.Service,
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
        owned = self._state.replica.blocks[block_id].owned_by(target)
        return keeping.proof(kept.state, owned, evidence)

    async def _submit_proof(
        self, kept: _kept.Kept, block_id: tables.BlockId, proof: moves.Proof
    ) -> None:
        def change(block: tables.Block) -> moves.BlockResult:
            choose_owner = self._owner_chooser(block, proof.target)
            return moves.finish_moves(block, proof, choose_owner)

        try:
            outcome = await self._state.change(block_id, change)
            if isinstance(outcome, result.Ok):
                kind = type(proof).__name__.lower()
                logging.info(
                    "%s recorded proof for %s: %s.", _PREFIX, proof.target, kind
                )
            else:
                kept.retry_at = self._clock.now() + _RETRY_SECONDS
        finally:
            kept.proof = None
            kept.wake.set()

    async def _settle(self, kept: _kept.Kept, block_id: tables.BlockId) -> None:
        try:
            if not await self._state.resolve_pending_writes(block_id):
                kept.retry_at = self._clock.now() + _RETRY_SECONDS
        finally:
            self._settling_blocks.discard(block_id)

    def _owner_chooser(
        self, block: tables.Block, lost: str
    ) -> placement.OwnerChooser:
        live = set(self._fleet.fleet.live_targets(block.service)) - {lost}
        now = self._clock.now()
        unresponsive = {
            target
            for (block_id, target), kept in self._kept.items()
            if block_id == block.id and _kept.is_unresponsive(kept.state, now)
        }
        return placement.owner_chooser(
            block, (live & block.reachable()) - unresponsive
        )
