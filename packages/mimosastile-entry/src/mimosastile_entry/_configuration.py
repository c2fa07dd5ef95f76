"""Configuration service: applies patches and reports their outcome."""

import asyncio
from collections.abc import Callable
from typing import Any

from absl import logging
import msgspec
import result

from mimosastile_core import administration
from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import history
from mimosastile_core import messages
from mimosastile_core import patches
from mimosastile_entry import _archive
from mimosastile_entry import _fleet
from mimosastile_entry import _inbox
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

_PREFIX = "configuration:"
_MAX_ATTEMPTS = 6
_RETRY_BACKOFF_SECONDS = 0.1
_PEER_TIMEOUT_SECONDS = 0.5
_MAX_CONFLICTING_CHANGES = 50

Allowed = Callable[[tuple[str, ...]], errors.Failure | None]
"""Returns why an operator may not change paths, or None if permitted."""


class _Stored(msgspec.Struct, frozen=True):
    """The stored configuration version and its store revision."""

    version: config.Version
    revision: int


Outcome = result.Result[administration.Accepted, administration.Rejected]
_StoredResult = result.Result[_Stored, errors.Failure]


class ConfigurationService:
    """Applies patches by compare-and-swap and serves the change history."""

    __slots__ = (
        "_accepted",
        "_archive",
        "_clock",
        "_fleet",
        "_peers",
        "_refused",
        "_state",
        "_store",
        "_vm",
        "name",
        "needs",
    )

    def __init__(self, vm: str) -> None:
        """Initializes the service.

        Args:
            vm: Identifier of this VM.
        """
        self.name = "configuration"
        self.needs: tuple[str, ...] = (
            "store",
            "state",
            "archive",
            "peers",
            "fleet",
            "inbox",
            "clock",
        )
        self._vm = vm
        self._accepted = 0
        self._refused = 0
        self._store: ports.StorePort
        self._state: _state.StateService
        self._archive: _archive.ArchiveService
        self._peers: ports.PeerPort
        self._fleet: _fleet.FleetService
        self._clock: ports.ClockPort

    async def start(self, kernel: kernel.Kernel) -> None:
        """Looks up its services and registers its peer message handler."""
        self._store = kernel.find("store")
        self._state = kernel.find("state")
        self._archive = kernel.find("archive")
        self._peers = kernel.find("peers")
        self._fleet = kernel.find("fleet")
        self._clock = kernel.find("clock")
        inbox: _inbox.InboxService = kernel.find("inbox")
        inbox.handle(messages.NumberRequest, self._handle_number_request)
        self._state.replica.subscribe(self._update_drains)
        self._update_drains()

    async def stop(self) -> None:
        """Does nothing; a retry with the same id resolves open patches."""

    def dump(self) -> dict[str, Any]:
        """Returns the number in force at this VM and the patch counts."""
        return {
            "number": self.current.number,
            "accepted": self._accepted,
            "refused": self._refused,
        }

    @property
    def current(self) -> config.Version:
        """The version in force at this VM."""
        version: config.Version = self._state.replica.config
        return version

    async def preview(
        self, patch: patches.Patch, allowed: Allowed
    ) -> result.Result[administration.Preview, administration.Rejected]:
        """Checks a patch against the version in force without applying it."""
        stored = await self._read()
        if isinstance(stored, result.Err):
            return result.Err(administration.Rejected(stored.err_value))
        version = stored.ok_value.version
        if version.number != patch.base:
            return result.Err(await self._conflict(patch, version))
        proposal = _proposed(version, patch, allowed)
        if isinstance(proposal, result.Err):
            return result.Err(
                administration.Rejected(proposal.err_value, version.number)
            )
        proposed = proposal.ok_value
        return result.Ok(
            administration.Preview(
                patch.base, proposed.paths, proposed.document
            )
        )

    async def apply(
        self, patch: patches.Patch, author: str, allowed: Allowed
    ) -> Outcome:
        """Applies a patch as the next number, or returns why it cannot.

        Exactly one number follows a base, so a patch is accepted at most once,
        under the number after its base. After a lost response, the patch
        stored under that number shows whether it was this one. While a write
        may still take effect late, the same write is repeated: the store
        revision admits only one of the two.

        Args:
            patch: The patch.
            author: Operator who sent it.
            allowed: Checks whether the author may change the patch's paths.

        Returns:
            The new number, or why the patch was not accepted. The kind
            `STORE_UNKNOWN` means that it may still be accepted; sending it
            again with the same identifier resolves this.
        """
        outcome = await self._apply(patch, author, allowed)
        if isinstance(outcome, result.Ok):
            self._accepted += not outcome.ok_value.repeated
            logging.info(
                "%s patch %s by %s was accepted as number %d.",
                _PREFIX,
                patch.id,
                author,
                outcome.ok_value.number,
            )
        else:
            self._refused += 1
            logging.info(
                "%s patch %s by %s was not accepted: %s.",
                _PREFIX,
                patch.id,
                author,
                outcome.err_value.failure.kind.value,
            )
        return outcome

    async def history(
        self, before: int, limit: int
    ) -> result.Result[list[config.Change], errors.Failure]:
        """Reads changes with lower numbers, newest first."""
        return await self._collect(before, limit, "")

    async def blame(
        self, path: str, limit: int
    ) -> result.Result[list[config.Change], errors.Failure]:
        """Reads the newest changes that touched a path, newest first."""
        return await self._collect(0, limit, path)

    async def change(
        self, number: int
    ) -> result.Result[config.Change, errors.Failure]:
        """Reads one change with its operations."""
        stored = await self._read()
        if isinstance(stored, result.Err):
            return stored
        return await self._change(number, stored.ok_value.version)

    async def document(
        self, number: int
    ) -> result.Result[config.Document, errors.Failure]:
        """Returns the document of a number; rebuilds an earlier one."""
        if number == self.current.number:
            return result.Ok(self.current.document)
        stored = await self._read()
        if isinstance(stored, result.Err):
            return stored
        version = stored.ok_value.version
        if number == version.number:
            return result.Ok(version.document)
        if number > version.number:
            return errors.failed(errors.ErrorKind.NOT_FOUND, f"number {number}")
        return await self._archive.document(number)

    async def revert(
        self, number: int
    ) -> result.Result[tuple[patches.Operation, ...], errors.Failure]:
        """Returns operations on the version in force that undo one change."""
        if number < 1:
            return errors.failed(errors.ErrorKind.NOT_FOUND, f"number {number}")
        after = await self.document(number)
        if isinstance(after, result.Err):
            return after
        before = await self.document(number - 1)
        if isinstance(before, result.Err):
            return before
        return patches.revert(
            before.ok_value, after.ok_value, self.current.document
        )

    async def in_force(self, number: int) -> administration.InForce:
        """Queries all listed entry VMs for their number in force."""
        peers = self._fleet.peers()
        request = messages.NumberRequest(self._vm)
        replies = await asyncio.gather(
            *(
                self._peers.call(vm, request, _PEER_TIMEOUT_SECONDS)
                for vm in peers.values()
            )
        )
        numbers: dict[str, int | None] = {self._vm: self.current.number}
        for vm, reply in zip(peers, replies, strict=True):
            response = reply.ok()
            numbers[vm] = (
                response.number
                if isinstance(response, messages.NumberReply)
                else None
            )
        return administration.InForce(number, dict(sorted(numbers.items())))

    def _update_drains(self) -> None:
        services = self.current.document.services.values()
        self._fleet.drain(frozenset(vm for s in services for vm in s.drains))

    def _handle_number_request(
        self, request: messages.NumberRequest
    ) -> messages.NumberReply:
        del request
        return messages.NumberReply(self._vm, self.current.number)

    async def _apply(
        self, patch: patches.Patch, author: str, allowed: Allowed
    ) -> Outcome:
        outcome_unknown = False
        for attempt in range(_MAX_ATTEMPTS):
            await asyncio.sleep(_RETRY_BACKOFF_SECONDS * attempt)
            outcome = await self._attempt(patch, author, allowed)
            if outcome is None:
                continue
            if isinstance(outcome, result.Ok):
                return outcome
            kind = outcome.err_value.failure.kind
            outcome_unknown = (
                outcome_unknown or kind is errors.ErrorKind.STORE_UNKNOWN
            )
            # Once the outcome of a write is unknown, a store outage does
            # not resolve it: a rejection could turn out wrong later.
            if not (outcome_unknown and kind in _STORE_KINDS):
                return outcome
        return result.Err(
            administration.Rejected(
                _OUTCOME_UNKNOWN if outcome_unknown else _LOST_RACES
            )
        )

    async def _attempt(
        self, patch: patches.Patch, author: str, allowed: Allowed
    ) -> Outcome | None:
        """Makes one attempt; returns None if another write came first."""
        stored = await self._read()
        if isinstance(stored, result.Err):
            return result.Err(administration.Rejected(stored.err_value))
        version = stored.ok_value.version
        if version.number != patch.base:
            return await self._resolve_outcome(patch, author, version)
        proposal = _proposed(version, patch, allowed)
        if isinstance(proposal, result.Err):
            return result.Err(
                administration.Rejected(proposal.err_value, version.number)
            )
        wrote = await self._write(
            stored.ok_value, patch, author, proposal.ok_value
        )
        if isinstance(wrote, result.Ok):
            return wrote
        if wrote.err_value.kind is errors.ErrorKind.CONFLICT:
            return None
        return result.Err(administration.Rejected(wrote.err_value))

    async def _write(
        self,
        stored: _Stored,
        patch: patches.Patch,
        author: str,
        proposal: patches.Proposal,
    ) -> result.Result[administration.Accepted, errors.Failure]:
        """Archives the version in force, then replaces it with the next."""
        recorded = await self._archive.record(stored.version)
        if isinstance(recorded, result.Err):
            # No part of this patch has been written yet.
            detail = recorded.err_value.detail
            return errors.failed(errors.ErrorKind.STORE_UNAVAILABLE, detail)
        # A patch with an unknown outcome that is rebased under the same
        # identifier would be applied twice if the first attempt succeeded.
        for recorded_change in recorded.ok_value.changes:
            if recorded_change.id == patch.id:
                return errors.failed(
                    errors.ErrorKind.BAD_REQUEST,
                    f"{patch.id} is number {recorded_change.number} already.",
                )
        number = stored.version.number + 1
        change = config.Change(
            number=number,
            id=patch.id,
            author=author,
            reason=patch.reason,
            ticket=patch.ticket,
            time=self._clock.wall(),
            operations=tuple(msgspec.to_builtins(patch.operations)),
            paths=proposal.paths,
        )
        version = config.Version(number, proposal.document, change)
        wrote = await self._store.compare_and_swap(
            _state.CONFIG_KEY, msgspec.json.encode(version), stored.revision
        )
        if isinstance(wrote, result.Ok):
            self._state.replica.offer_config(version)
            return result.Ok(administration.Accepted(number, proposal.paths))
        if isinstance(wrote.err_value, ports.Conflict):
            return errors.failed(errors.ErrorKind.CONFLICT, "")
        return result.Err(wrote.err_value)

    async def _resolve_outcome(
        self, patch: patches.Patch, author: str, version: config.Version
    ) -> Outcome:
        """Resolves a patch whose base is not the version in force."""
        if patch.base > version.number:
            return result.Err(await self._conflict(patch, version))
        follower = await self._change(patch.base + 1, version)
        if isinstance(follower, result.Err):
            if follower.err_value.kind is not errors.ErrorKind.NOT_FOUND:
                return result.Err(administration.Rejected(_OUTCOME_UNKNOWN))
            return result.Err(await self._conflict(patch, version))
        change = follower.ok_value
        if change.id != patch.id:
            return result.Err(await self._conflict(patch, version))
        same = tuple(msgspec.to_builtins(patch.operations)) == change.operations
        if same and change.author == author:
            return result.Ok(
                administration.Accepted(change.number, change.paths, True)
            )
        return result.Err(
            administration.Rejected(
                errors.Failure(
                    errors.ErrorKind.CONFLICT,
                    f"{patch.id} is the identifier of another patch,"
                    f" number {change.number}.",
                ),
                version.number,
            )
        )

    async def _conflict(
        self, patch: patches.Patch, version: config.Version
    ) -> administration.Rejected:
        """Returns a conflict with the changes accepted since the base."""
        detail = f"Base is {patch.base}, in force is {version.number}."
        failure = errors.Failure(errors.ErrorKind.CONFLICT, detail)
        since = version.number - patch.base
        if since <= 0:
            return administration.Rejected(failure, version.number)
        newest = await self._collect(
            0, min(since, _MAX_CONFLICTING_CHANGES), ""
        )
        changes = newest.unwrap_or([])
        return administration.Rejected(
            failure,
            version.number,
            tuple(
                administration.Meanwhile(
                    c.number, c.author, c.time, c.reason, c.paths
                )
                for c in changes
                if c.number > patch.base
            ),
        )

    async def _collect(
        self, before: int, limit: int, path: str
    ) -> result.Result[list[config.Change], errors.Failure]:
        """Reads changes newest first; 0 for `before` starts at the newest."""
        stored = await self._read()
        if isinstance(stored, result.Err):
            return stored
        version = stored.ok_value.version
        found: list[config.Change] = []
        if version.number and (not before or version.number < before):
            found.extend(history.blame([history.change_for(version)], path))
        older = min(before or version.number, version.number)
        async for change in self._archive.changes(older):
            if len(found) >= limit:
                break
            if isinstance(change, result.Err):
                return change
            found.extend(history.blame([change.ok_value], path))
        return result.Ok(found[:limit])

    async def _change(
        self, number: int, version: config.Version
    ) -> result.Result[config.Change, errors.Failure]:
        if number == version.number and number:
            return result.Ok(history.change_for(version))
        read = await self._archive.change(number)
        if isinstance(read, result.Err):
            return read
        if read.ok_value is None:
            return errors.failed(errors.ErrorKind.NOT_FOUND, f"number {number}")
        return result.Ok(read.ok_value)

    async def _read(self) -> _StoredResult:
        """Reads the version in force from the store."""
        read = await self._store.get(_state.CONFIG_KEY)
        if isinstance(read, result.Err):
            return read
        stored = _Stored(config.Version(0, config.Document()), 0)
        if read.ok_value is not None:
            decoded = config.decode_version(read.ok_value.value)
            if isinstance(decoded, result.Err):
                return errors.failed(
                    errors.ErrorKind.INTERNAL, decoded.err_value
                )
            stored = _Stored(decoded.ok_value, read.ok_value.revision)
        self._state.replica.offer_config(stored.version)
        if stored.version.number < self.current.number:
            # Either a stale read or a store restored from a backup. A patch
            # accepted here would reuse a number that is already in force,
            # and VMs would hold different documents under that number.
            return errors.failed(
                errors.ErrorKind.STORE_UNAVAILABLE,
                f"The store holds number {stored.version.number}, but"
                f" {self.current.number} is in force.",
            )
        return result.Ok(stored)


_STORE_KINDS = frozenset(
    {errors.ErrorKind.STORE_UNKNOWN, errors.ErrorKind.STORE_UNAVAILABLE}
)
_OUTCOME_UNKNOWN = errors.Failure(
    errors.ErrorKind.STORE_UNKNOWN,
    "The patch may be accepted yet; send it again with the same id.",
)
_LOST_RACES = errors.Failure(
    errors.ErrorKind.STORE_UNAVAILABLE,
    "Other patches came first each time; nothing was changed.",
)


def _proposed(
    version: config.Version, patch: patches.Patch, allowed: Allowed
) -> patches.Outcome:
    proposal = patches.propose(version.document, patch)
    if isinstance(proposal, result.Ok):
        refused = allowed(proposal.ok_value.paths)
        if refused is not None:
            return result.Err(refused)
    return proposal
