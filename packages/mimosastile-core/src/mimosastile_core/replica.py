"""A VM's copy of configuration and tables, which only moves forward."""

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
    """Configuration and blocks as far as this VM has learned them.

    Every source is offered here: the store, a watch, a peer, the VM's own
    compare-and-swap. A lagging read or a late message carries a lower number;
    taking it would undo an accepted change, which one would notice as a key
    sent to its former owner. So lower numbers are dropped.
    """

    __slots__ = ("_blocks", "_config", "_listeners", "_tables")

    def __init__(self) -> None:
        self._config = config.Version(0, config.Document())
        self._blocks: dict[tables.BlockId, tables.Block] = {}
        self._tables: dict[str, tables.Table] = {}
        self._listeners: list[Listener] = []

    @property
    def config(self) -> ConfigVersion:
        """The newest known configuration; number 0 before the first."""
        return self._config

    @property
    def blocks(self) -> dict[tables.BlockId, tables.Block]:
        """The newest known blocks."""
        return self._blocks

    def table(self, service: str) -> tables.Table | None:
        """Returns the indexed table of a service, if any block is known."""
        return self._tables.get(service)

    def subscribe(self, listener: Listener) -> None:
        """Calls the listener after each change."""
        self._listeners.append(listener)

    def offer_config(self, version: ConfigVersion) -> bool:
        """Takes a configuration if its number is higher; True if taken."""
        if version.number <= self._config.number:
            return False
        self._config = version
        self._notify()
        return True

    def offer_blocks(self, blocks: tuple[tables.Block, ...]) -> bool:
        """Takes those blocks whose version is higher; True if any was."""
        newer = [
            b
            for b in blocks
            if b.id not in self._blocks
            or b.version > self._blocks[b.id].version
        ]
        for block in newer:
            self._blocks[block.id] = block
        for service in {b.service for b in newer}:
            of_service = (
                b for b in self._blocks.values() if b.service == service
            )
            self._tables[service] = tables.Table(
                service, of_service, self._tables.get(service)
            )
        if newer:
            self._notify()
        return bool(newer)

    def pull(self, vm: str) -> messages.Pull:
        """Returns the message that asks a peer for anything newer."""
        held = (
            messages.BlockVersion(at, block.version)
            for at, block in self._blocks.items()
        )
        return messages.Pull(vm, self._config.number, tuple(held))

    def tables_digest(self) -> str:
        """Returns a hash that differs if any block or version does."""
        digest = xxhash.xxh3_64()
        for at in sorted(self._blocks):
            version = self._blocks[at].version
            digest.update(f"{at.service}/{at.index}/{version};".encode())
        return digest.hexdigest()

    def delta(self, vm: str, pull: messages.Pull) -> messages.Delta:
        """Returns what a peer lacks according to its message."""
        known = {held.id: held.version for held in pull.blocks}
        newer = itertools.filterfalse(
            lambda b: b.version <= known.get(b.id, 0), self._blocks.values()
        )
        has_config = self._config.number > pull.config_number
        return messages.Delta(
            vm, self._config if has_config else None, tuple(newer)
        )

    def merge(self, delta: messages.Delta) -> bool:
        """Takes a peer's delta forward; True if anything changed."""
        config_changed = delta.configuration is not None and self.offer_config(
            delta.configuration
        )
        made = (self._made(change) for change in delta.changes)
        blocks = (*delta.blocks, *(b for b in made if b is not None))
        return self.offer_blocks(blocks) or config_changed

    def lacks(self, delta: messages.Delta) -> bool:
        """Whether a merged delta named newer blocks that are not held."""
        return any(
            change.version > self._version(change.id)
            for change in delta.changes
        )

    def slimmed(
        self,
        delta: messages.Delta,
        former: Mapping[tables.BlockId, tables.Block],
    ) -> messages.Delta:
        """Returns a delta that carries changes in place of known blocks.

        Args:
            delta: What is newer.
            former: The blocks as peers most likely still hold them.
        """
        return msgspec.structs.replace(
            delta,
            blocks=tuple(b for b in delta.blocks if b.id not in former),
            changes=tuple(
                differences.between(former[b.id], b)
                for b in delta.blocks
                if b.id in former
            ),
        )

    def _made(self, change: differences.BlockChange) -> tables.Block | None:
        held = self._blocks.get(change.id)
        return differences.applied(held, change) if held else None

    def _version(self, block: tables.BlockId) -> int:
        held = self._blocks.get(block)
        return held.version if held else 0

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
