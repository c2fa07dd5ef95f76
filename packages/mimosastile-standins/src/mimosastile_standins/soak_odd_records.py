"""Records in odd forms that another writer puts into the store in a soak."""

import random

from mimosastile_gateway import messages
from mimosastile_standins import odd_records
from mimosastile_standins import platform_store

_REGISTRATION = b'{"ServiceName":"tagmint","Address":"127.0.0.1:9"}'
# Without a version, or VMs would take a form whose odd field they ignore.
_CONFIGURATION = b'{"ListenerList":[]}'
_VM = b'{"id":"vm-odd","boot":"b","address":"127.0.0.1:9","zone":"zone-a"}'
_TABLE = b'{"service":"odd","version":1,"ranges":[]}'
_BODIES = {
    "servers/odd": _REGISTRATION,
    "op/odd": _CONFIGURATION,
    "op/config": _CONFIGURATION,
    messages.vm_key("vm-odd"): _VM,
    messages.table_key("odd"): _TABLE,
    messages.LEADER_KEY: _VM,
    messages.WITNESSES_KEY: _TABLE,
}
"""Records in their usual form, by key."""


class OddRecords:
    """Writes odd records, one at a time, and takes some of them back.

    The operators' configuration is written back unless they have changed it
    meanwhile. VMs replace the leader's and the witnesses' record by themselves.
    """

    __slots__ = ("_former", "_key", "_rng", "_store", "_written")

    def __init__(
        self, store: platform_store.PlatformStore, rng: random.Random
    ) -> None:
        """Creates a writer that has written nothing.

        Args:
            store: The store.
            rng: Source of random choices.
        """
        self._store = store
        self._rng = rng
        self._key = ""
        self._former: bytes | None = None
        self._written = b""

    def write(self) -> str:
        """Writes a record under a random key; returns key and form."""
        self._key = self._rng.choice(sorted(_BODIES))
        kinds = odd_records.forms(_BODIES[self._key])
        kind = self._rng.choice(sorted(kinds))
        self._former = self._store.value(self._key)
        self._written = kinds[kind]
        self._store.put_bytes(self._key, self._written)
        return f"{self._key}, {kind}"

    def take_back(self) -> None:
        """Writes the operators' configuration back, and removes others."""
        if self._store.value(self._key) != self._written:
            return
        if self._key in (messages.LEADER_KEY, messages.WITNESSES_KEY):
            return
        if self._former is None:
            self._store.remove(self._key)
        else:
            self._store.put_bytes(self._key, self._former)
