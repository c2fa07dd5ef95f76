"""Partitions between one VM and targets, injected into its connections.

A partition hits all connections of one daemon to the addresses in question,
while all other daemons still reach them. It is injected into the daemon's
connection pools, since a proxy in front of a target cannot tell daemons apart
that share a loopback interface.
"""

import asyncio
from collections.abc import Callable
import enum
import weakref

from mimosastile_core.gateway import reachability
from mimosastile_gateway import http_client


class PartitionMode(enum.Enum):
    """What happens to connections across a partition."""

    NONE = "none"
    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"

    @property
    def refuses(self) -> bool:
        """Whether new connections are refused at once instead of hanging."""
        return self is PartitionMode.REFUSE


class Partition:
    """The current partition of one VM, shared by its connection pools.

    HANG drops all data on open connections, and new ones get no response.
    RESET ends open connections, and new ones get no response. With REFUSE open
    connections live on, and new ones are refused.
    """

    __slots__ = ("_affects", "_connections", "_mode")

    def __init__(self) -> None:
        """Creates a partition that is not in force."""
        self._mode = PartitionMode.NONE
        self._affects: Callable[[str], bool] = lambda _: False
        self._connections: weakref.WeakSet[_Connection] = weakref.WeakSet()

    def begin(
        self, mode: PartitionMode, affects: Callable[[str], bool]
    ) -> None:
        """Cuts the VM off.

        Args:
            mode: What happens to connections.
            affects: Whether an address is behind the partition.
        """
        self._mode = mode
        self._affects = affects
        for connection in list(self._connections):
            if not affects(connection.address):
                continue
            if mode is PartitionMode.RESET:
                connection.abort()
            elif mode is PartitionMode.HANG:
                connection.freeze()

    def end(self) -> None:
        """Lets new connections through again."""
        self._mode = PartitionMode.NONE

    def add(self, connection: "_Connection") -> None:
        """Adds an open connection."""
        self._connections.add(connection)

    def mode_for(self, address: str) -> PartitionMode:
        """Returns what happens to new connections to an address."""
        return self._mode if self._affects(address) else PartitionMode.NONE


class _Connection(http_client.Connection):
    """A connection that can be made to drop all data."""

    __slots__ = ("__weakref__", "_frozen", "address")

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.address = address
        self._frozen = False

    def freeze(self) -> None:
        """Drops all data from now on."""
        self._frozen = True

    def data_received(self, data: bytes) -> None:
        """Parses received bytes unless the connection is frozen."""
        if not self._frozen:
            super().data_received(data)

    def _write(
        self, transport: asyncio.Transport, data: bytes | memoryview
    ) -> None:
        if not self._frozen:
            super()._write(transport, data)


class PartitionablePool(http_client.Pool):
    """A connection pool behind a partition."""

    __slots__ = ("_partition",)

    def __init__(self, silent_timeout: float, partition: Partition) -> None:
        """Creates an empty pool.

        Args:
            silent_timeout: Seconds of unacknowledged data after which a
                connection ends.
            partition: The VM's partition.
        """
        super().__init__(silent_timeout)
        self._partition = partition

    def _new_connection(self, address: str) -> http_client.Connection:
        connection = _Connection(address)
        self._partition.add(connection)
        return connection

    async def _open(
        self, address: str, timeout: float
    ) -> http_client.Connection:
        mode = self._partition.mode_for(address)
        if mode is PartitionMode.NONE:
            return await super()._open(address, timeout)
        outcome = (
            reachability.Outcome.REFUSED
            if mode.refuses
            else reachability.Outcome.HUNG
        )
        began = asyncio.get_running_loop().time()
        try:
            if not mode.refuses:
                await asyncio.sleep(timeout)
        finally:
            seconds = asyncio.get_running_loop().time() - began
            self.on_attempt(address, outcome, seconds)
        raise http_client.NotSentError(
            f"{address}: partitioned", hung=not mode.refuses
        )
