"""Archive service: the configuration history in the store."""

from collections.abc import AsyncIterator
from typing import Any

import msgspec
import result

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import history
from mimosastile_core import patches
from mimosastile_entry import kernel
from mimosastile_entry import ports

_MAX_ATTEMPTS = 8

Failed = result.Err[errors.Failure]


class ArchiveService(kernel.Passive):
    """Writes configuration changes to the history and reads them."""

    __slots__ = ("_recorded", "_store")

    def __init__(self) -> None:
        super().__init__("archive", ("store",))
        self._store: ports.StorePort
        self._recorded = 0

    async def start(self, kernel: kernel.Kernel) -> None:
        """Looks up the store service."""
        self._store = kernel.find("store")

    def dump(self) -> dict[str, Any]:
        """Returns the highest number that this VM has archived."""
        return {"recorded": self._recorded}

    async def record(
        self, version: config.Version
    ) -> result.Result[history.Block, errors.Failure]:
        """Ensures that the history contains the change of a version.

        Called before the version is overwritten: a VM that crashes in between
        leaves the change stored twice, but never loses it. The block is
        written last, after every value that it refers to.

        Args:
            version: The version in force.

        Returns:
            The block that holds the change.
        """
        if version.number == 0:
            return result.Ok(history.Block())
        change = history.change_for(version)
        key = history.block_key(history.block_index(version.number))
        for _ in range(_MAX_ATTEMPTS):
            read = await self._read_block(key)
            if isinstance(read, result.Err):
                return read
            block, revision = read.ok_value
            if block.last >= version.number:
                self._recorded = max(self._recorded, version.number)
                return result.Ok(block)
            dependencies = await self._write_dependencies(version, change)
            if isinstance(dependencies, result.Err):
                return dependencies
            block = history.append(block, change)
            value = history.encode(block)
            wrote = await self._store.compare_and_swap(key, value, revision)
            if wrote.is_ok():
                await self._thin_snapshot(version.number)
                self._recorded = max(self._recorded, version.number)
                return result.Ok(block)
            # After a lost race or a lost response, the next read shows which.
        return errors.failed(
            errors.ErrorKind.STORE_UNKNOWN, "No write succeeded."
        )

    async def change(
        self, number: int
    ) -> result.Result[config.Change | None, errors.Failure]:
        """Reads one change with its operations; None if there is none."""
        read = await self._read_block(
            history.block_key(history.block_index(number))
        )
        if isinstance(read, result.Err):
            return read
        for change in read.ok_value[0].changes:
            if change.number == number:
                return await self._with_operations(change)
        return result.Ok(None)

    async def changes(
        self, before: int
    ) -> AsyncIterator[result.Result[config.Change, errors.Failure]]:
        """Yields changes with lower numbers, newest first.

        Long operations are omitted; `change` reads them. Stops after a
        failure.
        """
        for index in range(history.block_index(max(before - 1, 0)), -1, -1):
            read = await self._read_block(history.block_key(index))
            if isinstance(read, result.Err):
                yield read
                return
            for change in reversed(read.ok_value[0].changes):
                if change.number < before:
                    yield result.Ok(change)

    async def document(
        self, number: int
    ) -> result.Result[config.Document, errors.Failure]:
        """Rebuilds the document of an earlier number."""
        found: list[config.Change] = []
        raw: Any = None
        for index in range(history.block_index(number), -1, -1):
            start = index * history.BLOCK_SPAN
            read = await self._read_block(history.block_key(index))
            snapshot = await self._read_snapshot(index)
            for outcome in (read, snapshot):
                if isinstance(outcome, result.Err):
                    return outcome
            raw = snapshot.unwrap()
            found[:0] = [
                change
                for change in read.unwrap()[0].changes
                if change.number <= number
                and (raw is None or change.number > start)
            ]
            from_start = bool(found) and found[0].paths == ("",)
            if raw is not None or from_start:
                break
        first = number % history.BLOCK_SPAN == 0 and raw is not None
        reached = bool(found) and found[-1].number == number
        if number and not first and not reached:
            return errors.failed(errors.ErrorKind.NOT_FOUND, f"number {number}")
        return await self._replay(raw, found)

    async def _replay(
        self, raw: Any, found: list[config.Change]
    ) -> result.Result[config.Document, errors.Failure]:
        complete = []
        for change in found:
            read = await self._with_operations(change)
            if isinstance(read, result.Err):
                return read
            complete.append(read.ok_value)
        if raw is None:
            raw = patches.to_raw(config.Document())
        replayed = history.replay(raw, complete)
        if isinstance(replayed, result.Err):
            return errors.failed(errors.ErrorKind.INTERNAL, replayed.err_value)
        return replayed

    async def _with_operations(
        self, change: config.Change
    ) -> result.Result[config.Change, errors.Failure]:
        if change.operations:
            return result.Ok(change)
        key = history.operations_key(change.number)
        read = await self._store.get(key)
        if isinstance(read, result.Err):
            return read
        if read.ok_value is None:
            return errors.failed(errors.ErrorKind.INTERNAL, f"{key} is missing")
        decoded = history.decode_operations(read.ok_value.value)
        if isinstance(decoded, result.Err):
            return errors.failed(errors.ErrorKind.INTERNAL, decoded.err_value)
        return result.Ok(
            msgspec.structs.replace(change, operations=decoded.ok_value)
        )

    async def _write_dependencies(
        self, version: config.Version, change: config.Change
    ) -> result.Result[None, errors.Failure]:
        """Writes the snapshot and operations that the block refers to."""
        if version.number % history.BLOCK_SPAN == 0:
            key = history.snapshot_key(history.block_index(version.number))
            raw = patches.to_raw(version.document)
            wrote = await self._create_if_absent(key, history.encode_json(raw))
            if isinstance(wrote, result.Err):
                return wrote
        if history.has_long_operations(change):
            key = history.operations_key(change.number)
            value = history.encode_json(change.operations)
            return await self._create_if_absent(key, value)
        return result.Ok(None)

    async def _create_if_absent(
        self, key: str, value: bytes
    ) -> result.Result[None, errors.Failure]:
        """Writes a value that is identical on every VM, unless it exists."""
        outcome = await self._store.compare_and_swap(key, value, 0)
        if isinstance(outcome, result.Err):
            failure = outcome.err_value
            if isinstance(failure, errors.Failure):
                # An unknown outcome counts as a failure: the block must not
                # refer to a value that may be missing.
                return result.Err(failure)
        return result.Ok(None)

    async def _thin_snapshot(self, number: int) -> None:
        """Empties a snapshot that can be rebuilt from the others.

        If a crash prevents this, the only cost is store space.
        """
        index = history.snapshot_to_thin(number)
        if index is None:
            return
        key = history.snapshot_key(index)
        read = await self._store.get(key)
        if isinstance(read, result.Ok) and read.ok_value is not None:
            await self._store.compare_and_swap(
                key, history.thinned_snapshot(), read.ok_value.revision
            )

    async def _read_block(
        self, key: str
    ) -> result.Result[tuple[history.Block, int], errors.Failure]:
        read = await self._store.get(key)
        if isinstance(read, result.Err):
            return read
        if read.ok_value is None:
            return result.Ok((history.Block(), 0))
        decoded = history.decode(read.ok_value.value)
        if isinstance(decoded, result.Err):
            return errors.failed(
                errors.ErrorKind.INTERNAL, f"{key}: {decoded.err_value}"
            )
        return result.Ok((decoded.ok_value, read.ok_value.revision))

    async def _read_snapshot(
        self, index: int
    ) -> result.Result[Any, errors.Failure]:
        key = history.snapshot_key(index)
        read = await self._store.get(key)
        if isinstance(read, result.Err):
            return read
        if read.ok_value is None:
            return result.Ok(None)
        decoded = history.decode_snapshot(read.ok_value.value)
        if isinstance(decoded, result.Err):
            return errors.failed(
                errors.ErrorKind.INTERNAL, f"{key}: {decoded.err_value}"
            )
        return decoded
