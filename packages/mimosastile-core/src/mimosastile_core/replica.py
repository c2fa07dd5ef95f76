"""Monotonic in-memory replica of the configuration and ownership tables."""

from collections.abc import Callable
from collections.abc import Mapping
import itertools

import msgspec
import xxhash

from mimosastile_core import config
from mimosastile_core import differences
from mimosastile_core import messages
from mimosastile_core import tables

Listener = Callable[[], None]
# The property `config` hides the module of that name inside the class.
ConfigVersion = config.Version


class Replica:
    """The newest configuration and blocks that this VM has received.

    Updates from the store, a watch, a peer and the VM's own compare-and-swap
    are all offered here. A stale read or a late message carries a lower version
    number. Applying it would undo an accepted change and send requests for a
    key to its former owner, so lower versions are dropped.
    """

    __slots__ = ("_blocks", "_config", "_listeners", "_tables")

    def __init__(self) -> None:
        self._config = config.Version(0, config.Document())
        self._blocks: dict[tables.BlockId, tables.Block] = {}
        self._tables: dict[str, tables.Table] = {}
        self._listeners: list[Listener] = []

    @property
    def config(self) -> ConfigVersion:
        """The newest configuration received; number 0 before the first."""
        return self._config

    @property
    def blocks(self) -> dict[tables.BlockId, tables.Block]:
        """The newest blocks received."""
        return self._blocks

    def table(self, service: str) -> tables.Table | None:
        """Returns the table of a service, None before its first block."""
        return self._tables.get(service)

    def subscribe(self, listener: Listener) -> None:
        """Registers a listener that is called after each change."""
        self._listeners.append(listener)

    def offer_config(self, version: ConfigVersion) -> bool:
        """Applies a configuration if it is newer; True if applied."""
        if version.number <= self._config.number:
            return False
        self._config = version
        self._notify()
        return True

    def offer_blocks(self, blocks: tuple[tables.Block, ...]) -> bool:
        """Applies the blocks that are newer; True if any was applied."""
        newer = [
            b
            for b in blocks
            if b.id not in self._blocks
            or b.version > self._blocks[b.id].version
        ]
        for block in newer:
            self._blocks[block.id] = block
        for service in {b.service for b in newer}:
            service_blocks = (
                b for b in self._blocks.values() if b.service == service
            )
            self._tables[service] = tables.Table(
                service, service_blocks, self._tables.get(service)
            )
        if newer:
            self._notify()
        return bool(newer)

    def pull(self, vm: str) -> messages.Pull:
        """Returns the message that requests newer versions from a peer."""
        held = (
            messages.BlockVersion(at, block.version)
            for at, block in self._blocks.items()
        )
        return messages.Pull(vm, self._config.number, tuple(held))

    def tables_digest(self) -> str:
        """Returns a digest of the identifiers and versions of all blocks."""
        digest = xxhash.xxh3_64()
        for at in sorted(self._blocks):
            version = self._blocks[at].version
            digest.update(f"{at.service}/{at.index}/{version};".encode())
        return digest.hexdigest()

    def delta(self, vm: str, pull: messages.Pull) -> messages.Delta:
        """Returns the versions that a peer lacks according to its request."""
        peer_versions = {held.id: held.version for held in pull.blocks}
        newer = itertools.filterfalse(
            lambda b: b.version <= peer_versions.get(b.id, 0),
            self._blocks.values(),
        )
        has_config = self._config.number > pull.config_number
        return messages.Delta(
            vm, self._config if has_config else None, tuple(newer)
        )

    def merge(self, delta: messages.Delta) -> bool:
        """Applies a peer's delta; True if anything changed."""
        config_changed = delta.configuration is not None and self.offer_config(
            delta.configuration
        )
        changed_blocks = (
            self._apply_change(change) for change in delta.changes
        )
        blocks = (*delta.blocks, *(b for b in changed_blocks if b is not None))
        return self.offer_blocks(blocks) or config_changed

    def misses_blocks(self, delta: messages.Delta) -> bool:
        """Returns whether a merged delta names newer blocks not held here."""
        return any(
            change.version > self._held_version(change.id)
            for change in delta.changes
        )

    def with_changes(
        self,
        delta: messages.Delta,
        former: Mapping[tables.BlockId, tables.Block],
    ) -> messages.Delta:
        """Returns a delta with changes in place of blocks that peers hold.

        Args:
            delta: The newer configuration and blocks.
            former: The blocks as peers most likely still hold them.
        """
        return msgspec.structs.replace(
            delta,
            blocks=tuple(b for b in delta.blocks if b.id not in former),
            changes=tuple(
                differences.diff(former[b.id], b)
                for b in delta.blocks
                if b.id in former
            ),
        )

    def _apply_change(
        self, change: differences.BlockChange
    ) -> tables.Block | None:
        held = self._blocks.get(change.id)
        return differences.apply(held, change) if held else None

    def _held_version(self, block: tables.BlockId) -> int:
        held = self._blocks.get(block)
        return held.version if held else 0

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
