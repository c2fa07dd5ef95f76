"""Bound on the connections that a listener keeps open.

A listener that accepts without a bound uses up the descriptors of its process,
which then can neither accept callers nor connect to targets. At the bound, each
new connection takes the place of one that waits for a request. A connection
with a request in progress is never closed for another one.
"""

import collections
from typing import Generic
from typing import TypeVar

Connection = TypeVar("Connection")


class ConnectionLimit(Generic[Connection]):
    """The open connections of one listener.

    Attributes:
        most: Largest number of connections, 0 for no bound.
        evicted: Number of connections closed for the sake of others.
    """

    __slots__ = (
        "_idle",
        "_owners",
        "_unproven",
        "_unproven_by_owner",
        "evicted",
        "most",
    )

    def __init__(self, most: int = 0) -> None:
        """Creates a limit without open connections.

        Args:
            most: Largest number of connections, 0 for no bound.
        """
        self.most = most
        self.evicted = 0
        self._owners: dict[Connection, str] = {}
        # Both in the order in which their connections began to wait.
        self._unproven: dict[Connection, None] = {}
        self._idle: dict[Connection, None] = {}
        self._unproven_by_owner: collections.Counter[str] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        """Number of open connections."""
        return len(self._owners)

    def open(self, connection: Connection, owner: str) -> Connection | None:
        """Registers a new connection.

        Args:
            connection: The connection.
            owner: Address of the caller.

        Returns:
            A connection to close now, None if there is room. It is the new one
            if all others have requests in progress.
        """
        evicted = None
        if self.most and len(self._owners) >= self.most:
            evicted = self._choose() or connection
            self.evicted += 1
            self.close(evicted)
        if evicted is not connection:
            self._owners[connection] = owner
            self._unproven[connection] = None
            self._unproven_by_owner[owner] += 1
        return evicted

    def begin(self, connection: Connection) -> None:
        """Records that a whole request has arrived."""
        self._remove_unproven(connection)
        self._idle.pop(connection, None)

    def end(self, connection: Connection) -> None:
        """Records that no request is in progress any more."""
        if connection in self._owners and connection not in self._unproven:
            self._idle[connection] = None

    def close(self, connection: Connection) -> None:
        """Removes a connection, if it is registered."""
        self.begin(connection)
        self._owners.pop(connection, None)

    def _choose(self) -> Connection | None:
        """Returns the waiting connection that is closed first.

        Callers that have never sent a whole request come before those that
        have. Among them, the caller with the most connections loses the oldest
        one, so that one caller's connections displace no one else's.
        """
        if self._unproven:
            owner = self._unproven_by_owner.most_common(1)[0][0]
            return next(c for c in self._unproven if self._owners[c] == owner)
        return next(iter(self._idle), None)

    def _remove_unproven(self, connection: Connection) -> None:
        if connection not in self._unproven:
            return
        del self._unproven[connection]
        owner = self._owners[connection]
        self._unproven_by_owner[owner] -= 1
        if not self._unproven_by_owner[owner]:
            del self._unproven_by_owner[owner]
