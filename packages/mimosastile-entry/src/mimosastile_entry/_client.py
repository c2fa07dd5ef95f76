"""The HTTP client of the daemon, its pools and what its failures mean."""

import asyncio
import ssl
from typing import Any

import aiohttp

from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_entry import _connections
from mimosastile_entry import kernel
from mimosastile_entry import settings

CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
"""No byte of the request can have left this VM."""

CALL_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)
"""Everything that aiohttp raises for a failed exchange."""

_RESENT = (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError)
# The library would add these when a caller sent none. A target that is told
# of an encoding the caller cannot read would send an unreadable answer.
_NOT_ADDED = ("User-Agent", "Content-Type", "Accept", "Accept-Encoding")
_UNUSED_SECONDS = 60.0


class LostConnectionError(aiohttp.ClientConnectionError):
    """The connection ended before the answer; the request may have run."""


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # The library sends idempotent methods again by itself when a pooled
    # connection drops; a PUT or DELETE whose route the operators declared
    # not idempotent would run twice. It does so only for its own two errors,
    # so these are replaced by one that it does not know.
    try:
        return await handler(request)
    except CONNECT_ERRORS:
        raise
    except _RESENT as error:
        raise LostConnectionError(str(error)) from error


def kind_of(error: BaseException) -> errors.ErrorKind:
    """Returns what a failed exchange says about the request.

    Only a connection that was never made proves that nothing ran.
    """
    if isinstance(error, CONNECT_ERRORS):
        return errors.ErrorKind.UNREACHABLE
    if isinstance(error, aiohttp.ClientResponseError):
        return errors.ErrorKind.ANSWER_BROKEN
    return errors.ErrorKind.ANSWER_LOST


class Pool:
    """The connections to one address and the session that uses them.

    Attributes:
        session: The session.
        connector: Its connections.
        limit: Most connections open at a time, 0 for no limit.
        in_use: Exchanges under way.
        used_at: Loop time of the latest use.
        retired: Whether it is closed once nothing is under way.
    """

    __slots__ = (
        "connector",
        "in_use",
        "limit",
        "retired",
        "session",
        "used_at",
    )

    def __init__(
        self,
        limit: int,
        configured: settings.ConnectionSettings,
        tls: Any = True,
    ) -> None:
        self.limit = limit
        self.in_use = 0
        self.used_at = 0.0
        self.retired = False
        self.connector = _connections.Connector(limit, configured, tls)
        self.session = aiohttp.ClientSession(
            connector=self.connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=_NOT_ADDED,
            middlewares=(_send_once,),
            timeout=aiohttp.ClientTimeout(
                total=None,
                connect=configured.connect,
                sock_connect=configured.connect,
            ),
        )

    async def leave(self) -> None:
        """Notes that an exchange has ended."""
        self.in_use -= 1
        if self.retired and not self.in_use:
            await self.session.close()


class HttpClient:
    """Owns the pools; adapters share it."""

    __slots__ = (
        "_configured",
        "_plain",
        "_pools",
        "_retired",
        "name",
        "needs",
    )

    def __init__(
        self,
        configured: settings.ConnectionSettings | None = None,
    ) -> None:
        self.name = "client"
        self.needs: tuple[str, ...] = ()
        self._configured = configured or settings.ConnectionSettings()
        self._pools: dict[tuple[str, int], Pool] = {}
        self._retired: list[Pool] = []
        self._plain: Pool | None = None

    @property
    def configured(self) -> settings.ConnectionSettings:
        """Timeouts and ages."""
        return self._configured

    @property
    def session(self) -> aiohttp.ClientSession:
        """The session for the platform's services."""
        if self._plain is None:
            raise kernel.MissingServiceError("the client has not started")
        return self._plain.session

    def pool(
        self, vm: fleet.Vm, limit: int, tls: ssl.SSLContext | None = None
    ) -> Pool:
        """Returns the pool of a VM's address.

        Args:
            vm: The VM.
            limit: Most connections open at a time, 0 for no limit. A pool
                whose limit has changed is replaced; what runs in it goes on.
            tls: Context to call with, None to call in the clear.
        """
        at = (vm.host, vm.port)
        found = self._pools.get(at)
        if found is None or found.limit != limit:
            if found is not None:
                self._retire(found)
            found = Pool(limit, self._configured, tls or True)
            self._pools[at] = found
            self._retire_unused()
        found.used_at = asyncio.get_running_loop().time()
        return found

    async def start(self, kernel: kernel.Kernel) -> None:
        """Opens the session for the platform's services."""
        del kernel
        self._plain = Pool(0, self._configured)

    async def stop(self) -> None:
        """Closes all connections."""
        plain = [self._plain] if self._plain else []
        for pool in (*self._pools.values(), *self._retired, *plain):
            await pool.session.close()
        self._pools.clear()
        self._retired.clear()

    def dump(self) -> dict[str, Any]:
        """Returns limit and use of the pools by address."""
        return {
            f"{host}:{port}": {"limit": pool.limit, "in_use": pool.in_use}
            for (host, port), pool in self._pools.items()
        }

    def _retire_unused(self) -> None:
        # Targets come and go; their pools would stay for ever otherwise.
        oldest = asyncio.get_running_loop().time() - _UNUSED_SECONDS
        unused = [
            at for at, pool in self._pools.items() if 0 < pool.used_at < oldest
        ]
        for at in unused:
            self._retire(self._pools.pop(at))

    def _retire(self, pool: Pool) -> None:
        # Exchanges under way go on; the last of them closes the pool. An idle
        # one is closed with the client, its connections by their own timer.
        pool.retired = True
        self._retired = [p for p in self._retired if not p.session.closed]
        self._retired.append(pool)
