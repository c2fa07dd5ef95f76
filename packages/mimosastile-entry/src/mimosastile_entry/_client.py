"""The one HTTP client of the daemon and what its failures mean."""

import asyncio
from collections.abc import Collection
from typing import Any

import aiohttp
import result
import yarl

from mimosastile_core import errors
from mimosastile_entry import _wire
from mimosastile_entry import kernel
from mimosastile_entry import ports

CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
"""No byte of the request can have left this VM."""

CALL_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)
"""Everything that aiohttp raises for a failed exchange."""


def kind_of(error: BaseException) -> errors.ErrorKind:
    """Returns what a failed exchange says about the request.

    Only a connection that was never made proves that nothing ran.
    """
    if isinstance(error, CONNECT_ERRORS):
        return errors.ErrorKind.UNREACHABLE
    return errors.ErrorKind.ANSWER_LOST


class HttpClient:
    """Owns the connection pool; adapters share it."""

    __slots__ = ("_session", "name", "needs")

    def __init__(self) -> None:
        self.name = "client"
        self.needs: tuple[str, ...] = ()
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """The running session."""
        if self._session is None:
            raise kernel.MissingServiceError("the client has not started")
        return self._session

    async def start(self, kernel: kernel.Kernel) -> None:
        """Opens the session."""
        del kernel
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=15)
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=1.0),
        )

    async def stop(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    def dump(self) -> dict[str, Any]:
        """Returns whether the session is open."""
        return {"open": self._session is not None}


async def exchange(
    client: HttpClient,
    request: ports.Request,
    url: str,
    headers: list[tuple[str, str]],
    seconds: float,
    not_run: Collection[errors.ErrorKind],
) -> result.Result[ports.Response, errors.Failure]:
    """Sends a request once and returns the answer as it begins.

    Args:
        client: The client.
        request: The request.
        url: Where to; percent-encoded already.
        headers: All headers to send.
        seconds: Longest time until the answer is complete.
        not_run: Error kinds that the other side may name in its answer.

    Returns:
        The answer, or a failure that says whether the request may have run.
    """
    if seconds <= 0:
        return result.Err(errors.Failure(errors.ErrorKind.QUEUE_TIMEOUT))
    try:
        response = await client.session.request(
            request.method,
            yarl.URL(url, encoded=True),
            headers=headers,
            data=_wire.request_body(request),
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=seconds, sock_connect=1.0),
            skip_auto_headers=("User-Agent", "Content-Type", "Accept"),
        )
    except CALL_ERRORS as error:
        return result.Err(errors.Failure(kind_of(error), str(error)))
    kind = _wire.named_error(response.headers.get(_wire.ERROR))
    if kind is None:
        return result.Ok(_wire.to_response(response))
    response.close()
    if kind not in not_run:
        kind = errors.ErrorKind.ANSWER_LOST
    return result.Err(errors.Failure(kind))
