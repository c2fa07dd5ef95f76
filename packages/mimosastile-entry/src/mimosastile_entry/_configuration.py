"""The configuration service: takes patches and tells how they fared."""

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
_MAX_TRIES = 6
_RETRY_SECONDS = 0.1
_PEER_SECONDS = 0.5
_MAX_MEANWHILE = 50

Allowed = Callable[[tuple[str, ...]], errors.Failure | None]
"""Says why an operator may not change paths, None if it may."""


class _Held(msgspec.Struct, frozen=True):
    """The version in the store and its revision there."""

    version: config.Version
    revision: int


Outcome = result.Result[administration.Accepted, administration.Rejected]
_HeldResult = result.Result[_Held, errors.Failure]


class ConfigurationService:
    """Accepts patches by compare-and-swap and answers questions about them."""

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
        """Makes the service.

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
        """Finds the services it needs and answers peers' questions."""
        self._store = kernel.find("store")
        self._state = kernel.find("state")
        self._archive = kernel.find("archive")
        self._peers = kernel.find("peers")
        self._fleet = kernel.find("fleet")
        self._clock = kernel.find("clock")
        inbox: _inbox.InboxService = kernel.find("inbox")
        inbox.handle(messages.NumberRequest, self._answer_number)
        self._state.replica.subscribe(self._tell_drains)
        self._tell_drains()

    async def stop(self) -> None:
        """Does nothing; what is under way settles by its patch's id."""

    def dump(self) -> dict[str, Any]:
        """Returns the number in force here and counts of patches."""
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
        held = await self._read()
        if isinstance(held, result.Err):
            return result.Err(administration.Rejected(held.err_value))
        version = held.ok_value.version
        if version.number != patch.base:
            return result.Err(await self._conflict(patch, version))
        proposal = _proposed(version, patch, allowed)
        if isinstance(proposal, result.Err):
            return result.Err(
                administration.Rejected(proposal.err_value, version.number)
            )
        made = proposal.ok_value
        return result.Ok(
            administration.Preview(patch.base, made.paths, made.document)
        )

    async def apply(
        self, patch: patches.Patch, author: str, allowed: Allowed
    ) -> Outcome:
        """Makes a patch the next number, or says why not.

        A base is followed by one number only, so a patch can be accepted once
        at most, under the number after its base. After a lost answer the
        patch with that number tells whether it was this one. A write that may
        still take effect late is raced with the same write: the revision lets
        only one of them through.

        Args:
            patch: The patch.
            author: Operator who sent it.
            allowed: Says whether the author may touch what the patch touches.

        Returns:
            The new number, or why the patch was not accepted. The kind
            `STORE_UNKNOWN` means that it may be accepted yet; sending it
            again with the same identifier settles it.
        """
        outcome = await self._apply(patch, author, allowed)
        if isinstance(outcome, result.Ok):
            self._accepted += not outcome.ok_value.repeated
            logging.info(
                "%s patch %s by %s is number %d.",
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
        held = await self._read()
        if isinstance(held, result.Err):
            return held
        return await self._change(number, held.ok_value.version)

    async def document(
        self, number: int
    ) -> result.Result[config.Document, errors.Failure]:
        """Returns the document of a number, rebuilt if it is an old one."""
        if number == self.current.number:
            return result.Ok(self.current.document)
        held = await self._read()
        if isinstance(held, result.Err):
            return held
        version = held.ok_value.version
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
        """Asks every listed entry VM which number is in force there."""
        peers = self._fleet.peers()
        question = messages.NumberRequest(self._vm)
        replies = await asyncio.gather(
            *(
                self._peers.call(vm, question, _PEER_SECONDS)
                for vm in peers.values()
            )
        )
        numbers: dict[str, int | None] = {self._vm: self.current.number}
        for vm, reply in zip(peers, replies, strict=True):
            told = reply.ok()
            numbers[vm] = (
                told.number if isinstance(told, messages.NumberReply) else None
            )
        return administration.InForce(number, dict(sorted(numbers.items())))

    def _tell_drains(self) -> None:
        services = self.current.document.services.values()
        self._fleet.drain(frozenset(vm for s in services for vm in s.drains))

    def _answer_number(
        self, request: messages.NumberRequest
    ) -> messages.NumberReply:
        del request
        return messages.NumberReply(self._vm, self.current.number)

    async def _apply(
        self, patch: patches.Patch, author: str, allowed: Allowed
    ) -> Outcome:
        unsure = False
        for attempt in range(_MAX_TRIES):
            await asyncio.sleep(_RETRY_SECONDS * attempt)
            tried = await self._try(patch, author, allowed)
            if tried is None:
                continue
            if isinstance(tried, result.Ok):
                return tried
            kind = tried.err_value.failure.kind
            unsure = unsure or kind is errors.ErrorKind.STORE_UNKNOWN
            # Once a write's fate is unknown, an outage tells nothing about
            # it: saying "not accepted" could turn out wrong later.
            if not (unsure and kind in _STORE_KINDS):
                return tried
        return result.Err(administration.Rejected(_UNSURE if unsure else _BUSY))

    async def _try(
        self, patch: patches.Patch, author: str, allowed: Allowed
    ) -> Outcome | None:
        """Tries once; None if another write came first."""
        held = await self._read()
        if isinstance(held, result.Err):
            return result.Err(administration.Rejected(held.err_value))
        version = held.ok_value.version
        if version.number != patch.base:
            return await self._settle(patch, author, version)
        proposal = _proposed(version, patch, allowed)
        if isinstance(proposal, result.Err):
            return result.Err(
                administration.Rejected(proposal.err_value, version.number)
            )
        wrote = await self._write(
            held.ok_value, patch, author, proposal.ok_value
        )
        if isinstance(wrote, result.Ok):
            return wrote
        if wrote.err_value.kind is errors.ErrorKind.CONFLICT:
            return None
        return result.Err(administration.Rejected(wrote.err_value))

    async def _write(
        self,
        held: _Held,
        patch: patches.Patch,
        author: str,
        proposal: patches.Proposal,
    ) -> result.Result[administration.Accepted, errors.Failure]:
        """Records the version in force, then puts the next in its place."""
        recorded = await self._archive.record(held.version)
        if isinstance(recorded, result.Err):
            # Nothing of this patch has been written yet.
            detail = recorded.err_value.detail
            return errors.failed(errors.ErrorKind.STORE_UNAVAILABLE, detail)
        # A patch whose outcome was open, moved to a newer base under its old
        # identifier, would be applied twice if the first try had succeeded.
        for known in recorded.ok_value.changes:
            if known.id == patch.id:
                return errors.failed(
                    errors.ErrorKind.BAD_REQUEST,
                    f"{patch.id} is number {known.number} already.",
                )
        number = held.version.number + 1
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
            _state.CONFIG_KEY, msgspec.json.encode(version), held.revision
        )
        if isinstance(wrote, result.Ok):
            self._state.replica.offer_config(version)
            return result.Ok(administration.Accepted(number, proposal.paths))
        if isinstance(wrote.err_value, ports.Conflict):
            return errors.failed(errors.ErrorKind.CONFLICT, "")
        return result.Err(wrote.err_value)

    async def _settle(
        self, patch: patches.Patch, author: str, version: config.Version
    ) -> Outcome:
        """Says how a patch fared whose base is not the version in force."""
        if patch.base > version.number:
            return result.Err(await self._conflict(patch, version))
        follower = await self._change(patch.base + 1, version)
        if isinstance(follower, result.Err):
            if follower.err_value.kind is not errors.ErrorKind.NOT_FOUND:
                return result.Err(administration.Rejected(_UNSURE))
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
        """Tells the loser of a race what was accepted meanwhile."""
        detail = f"Base is {patch.base}, in force is {version.number}."
        failure = errors.Failure(errors.ErrorKind.CONFLICT, detail)
        since = version.number - patch.base
        if since <= 0:
            return administration.Rejected(failure, version.number)
        newest = await self._collect(0, min(since, _MAX_MEANWHILE), "")
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
        """Reads changes newest first; before 0 means from the newest on."""
        held = await self._read()
        if isinstance(held, result.Err):
            return held
        version = held.ok_value.version
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

    async def _read(self) -> _HeldResult:
        """Reads the version in force from the store."""
        read = await self._store.get(_state.CONFIG_KEY)
        if isinstance(read, result.Err):
            return read
        held = _Held(config.Version(0, config.Document()), 0)
        if read.ok_value is not None:
            decoded = config.decode_version(read.ok_value.value)
            if isinstance(decoded, result.Err):
                return errors.failed(
                    errors.ErrorKind.INTERNAL, decoded.err_value
                )
            held = _Held(decoded.ok_value, read.ok_value.revision)
        self._state.replica.offer_config(held.version)
        if held.version.number < self.current.number:
            # A lagging read, or a store restored from a backup. Accepting a
            # patch on it would give a number that is taken to something
            # else; VMs would then disagree about what that number says.
            return errors.failed(
                errors.ErrorKind.STORE_UNAVAILABLE,
                f"The store holds number {held.version.number}, but"
                f" {self.current.number} is in force.",
            )
        return result.Ok(held)


_STORE_KINDS = frozenset(
    {errors.ErrorKind.STORE_UNKNOWN, errors.ErrorKind.STORE_UNAVAILABLE}
)
_UNSURE = errors.Failure(
    errors.ErrorKind.STORE_UNKNOWN,
    "The patch may be accepted yet; send it again with the same id.",
)
_BUSY = errors.Failure(
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
