"""HTTP client of the daemon: connection pools and error classification."""

import asyncio
import itertools
import secrets
import ssl
from typing import Any

import aiohttp

from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import response_matching
from mimosastile_entry import _connections
from mimosastile_entry import kernel
from mimosastile_entry import settings

CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
"""Errors raised before any byte of the request was sent."""

CALL_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)
"""All errors that aiohttp raises for a failed exchange."""

_RETRIED_BY_AIOHTTP = (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError)
# aiohttp would add these headers if the caller sent none. A target could then
# choose an encoding that the caller cannot decode.
_SKIPPED_HEADERS = ("User-Agent", "Content-Type", "Accept", "Accept-Encoding")
_UNUSED_POOL_SECONDS = 60.0


class LostConnectionError(aiohttp.ClientConnectionError):
    """The connection ended before the response; the request may have run."""


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # aiohttp retries idempotent methods by itself when a pooled connection
    # drops; a PUT or DELETE whose route the operators declared not
    # idempotent would run twice. It retries only on two of its own errors,
    # so these are replaced by one that it does not retry.
    try:
        return await handler(request)
    except CONNECT_ERRORS:
        raise
    except _RETRIED_BY_AIOHTTP as error:
        raise LostConnectionError(str(error)) from error


def error_kind(error: BaseException) -> errors.ErrorKind:
    """Returns the error kind of a failed exchange.

    Only a connection that was never established proves that the request did
    not run.
    """
    if isinstance(error, CONNECT_ERRORS):
        return errors.ErrorKind.UNREACHABLE
    if isinstance(error, aiohttp.ClientResponseError):
        return errors.ErrorKind.ANSWER_BROKEN
    return errors.ErrorKind.ANSWER_LOST


class Pool:
    """Connection pool of one address, with the session that uses it.

    Attributes:
        session: HTTP session of the pool.
        connector: Connections of the pool.
        limit: Maximum number of open connections, 0 for no limit.
        in_use: Number of exchanges in progress.
        used_at: Loop time of the last use.
        retired: Whether the pool closes after its last exchange.
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
        counts: response_matching.ResponseCounts | None = None,
        *,
        reuses: bool = True,
    ) -> None:
        """Initializes a pool without connections.

        Args:
            limit: Maximum number of open connections, 0 for no limit.
            configured: Maximum ages and timeouts.
            tls: TLS context of the client, or True for the default.
            counts: Counts of responses, shared with other pools.
            reuses: Whether a connection may carry more than one request.
        """
        self.limit = limit
        self.in_use = 0
        self.used_at = 0.0
        self.retired = False
        self.connector = _connections.Connector(
            limit, configured, tls, counts, reuses=reuses
        )
        self.session = aiohttp.ClientSession(
            connector=self.connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=_SKIPPED_HEADERS,
            middlewares=(_send_once,),
            timeout=aiohttp.ClientTimeout(
                total=None,
                connect=configured.connect,
                sock_connect=configured.connect,
            ),
        )

    async def release(self) -> None:
        """Ends an exchange; closes a retired pool after its last one."""
        self.in_use -= 1
        if self.retired and not self.in_use:
            await self.session.close()


class HttpClient:
    """Owns the connection pools; shared by all adapters.

    Attributes:
        counts: Counts of responses that were not plainly matched.
    """

    __slots__ = (
        "_configured",
        "_incarnation",
        "_platform_pool",
        "_pools",
        "_retired",
        "_sends",
        "counts",
        "name",
        "needs",
    )

    def __init__(
        self,
        configured: settings.ConnectionSettings | None = None,
        counts: response_matching.ResponseCounts | None = None,
    ) -> None:
        """Initializes a client without connections.

        Args:
            configured: Timeouts and maximum ages of connections.
            counts: Counts of responses, shared with the metrics.
        """
        self.name = "client"
        self.needs: tuple[str, ...] = ()
        self._configured = configured or settings.ConnectionSettings()
        self._pools: dict[tuple[str, int], Pool] = {}
        self._retired: list[Pool] = []
        self._platform_pool: Pool | None = None
        # Differs from that of all processes whose responses a proxy on the
        # path could confuse.
        self._incarnation = secrets.token_hex(8)
        self._sends = itertools.count()
        self.counts = counts or response_matching.ResponseCounts()

    @property
    def configured(self) -> settings.ConnectionSettings:
        """Timeouts and maximum ages of connections."""
        return self._configured

    @property
    def session(self) -> aiohttp.ClientSession:
        """The session for calls to the platform's services."""
        if self._platform_pool is None:
            raise kernel.MissingServiceError("the client has not started")
        return self._platform_pool.session

    def new_send_id(self) -> str:
        """Returns an identifier for one send of a request."""
        return f"{self._incarnation}-{next(self._sends):x}"

    def pool(
        self, vm: fleet.Vm, limit: int, tls: ssl.SSLContext | None = None
    ) -> Pool:
        """Returns the connection pool of a VM's address.

        Args:
            vm: The VM.
            limit: Maximum number of open connections, 0 for no limit. A pool
                whose limit has changed is replaced; its exchanges continue.
            tls: TLS context for the calls, None for plain text.
        """
        address = (vm.host, vm.port)
        found = self._pools.get(address)
        if found is None or found.limit != limit:
            if found is not None:
                self._retire(found)
            found = Pool(limit, self._configured, tls or True, self.counts)
            self._pools[address] = found
            self._retire_unused()
        found.used_at = asyncio.get_running_loop().time()
        return found

    async def start(self, kernel: kernel.Kernel) -> None:
        """Opens the session for calls to the platform's services."""
        del kernel
        # The platform's services repeat no identifiers, so that a response can
        # only be matched on a connection that carries a single request.
        self._platform_pool = Pool(0, self._configured, reuses=False)

    async def stop(self) -> None:
        """Closes all connections."""
        plain = [self._platform_pool] if self._platform_pool else []
        for pool in (*self._pools.values(), *self._retired, *plain):
            await pool.session.close()
        self._pools.clear()
        self._retired.clear()

    def dump(self) -> dict[str, Any]:
        """Returns the limits and exchanges of the pools by address."""
        return {
            f"{host}:{port}": {"limit": pool.limit, "in_use": pool.in_use}
            for (host, port), pool in self._pools.items()
        }

    def _retire_unused(self) -> None:
        # The pools of removed targets would otherwise never be closed.
        oldest_use = asyncio.get_running_loop().time() - _UNUSED_POOL_SECONDS
        unused = [
            address
            for address, pool in self._pools.items()
            if 0 < pool.used_at < oldest_use
        ]
        for address in unused:
            self._retire(self._pools.pop(address))

    def _retire(self, pool: Pool) -> None:
        # Exchanges in progress continue; the last of them closes the pool. An
        # idle pool is closed with the client, its connections by their idle
        # timeout.
        pool.retired = True
        self._retired = [p for p in self._retired if not p.session.closed]
        self._retired.append(pool)
