"""HTTP exchanges with targets and peers: one attempt, streamed response."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Collection

import aiohttp
import msgspec
import result
import yarl

from mimosastile_core import errors
from mimosastile_core import response_statuses
from mimosastile_entry import _alarms
from mimosastile_entry import _client
from mimosastile_entry import _wire
from mimosastile_entry import ports

_MAX_DETAIL_CHARACTERS = 200
"""Longest detail of a failure: errors of the parser quote what was received."""


class Options(msgspec.Struct, frozen=True):
    """Timeouts of an exchange, and errors that the server may report.

    Attributes:
        deadline: Seconds within which the head must arrive.
        silence: Seconds without any byte of the head after which the
            connection counts as lost; 0 if a long wait is normal.
        not_run: Error kinds that are accepted from the response as proof
            that the request did not run.
    """

    deadline: float
    silence: float
    not_run: Collection[errors.ErrorKind]


async def send(
    client: _client.HttpClient,
    pool: _client.Pool,
    request: ports.Request,
    url: str,
    headers: list[tuple[str, str]],
    options: Options,
) -> result.Result[ports.Response, errors.Failure]:
    """Sends a request once and returns the response when its head arrives.

    The deadline limits the time to the head. The body has no total limit as
    long as it makes progress.

    Args:
        client: The client.
        pool: Connection pool of the address.
        request: The request.
        url: Destination, already percent-encoded.
        headers: All headers to send.
        options: Timeouts and accepted errors.

    Returns:
        The response, or a failure that tells whether the request may have run.
    """
    if options.deadline <= 0:
        return result.Err(errors.Failure(errors.ErrorKind.QUEUE_TIMEOUT))
    pool.in_use += 1
    response: aiohttp.ClientResponse | None = None
    returned = False
    try:
        response = await _receive_head(pool, request, url, headers, options)
        head = _wire.ResponseHead(response)
        failure = _refusal(response, head, options.not_run)
        if failure is not None:
            return result.Err(failure)
        returned = True
        return result.Ok(_to_response(client, pool, response, head))
    except (*_client.CALL_ERRORS, ValueError) as error:
        return result.Err(_failure(pool, error, options))
    finally:
        # The timeout may fire at the moment the head arrives. Without the
        # close, its connection would stay in use until garbage collection.
        if not returned:
            if response is not None:
                response.close()
            await pool.release()


async def _receive_head(
    pool: _client.Pool,
    request: ports.Request,
    url: str,
    headers: list[tuple[str, str]],
    options: Options,
) -> aiohttp.ClientResponse:
    alarm = _alarms.Alarm(
        min(options.deadline, options.silence or options.deadline)
    )
    try:
        return await pool.session.request(
            request.method,
            yarl.URL(url, encoded=True),
            headers=headers,
            data=_wire.request_body(request),
            allow_redirects=False,
        )
    except asyncio.CancelledError:
        alarm.raise_if_timed_out()
        raise
    finally:
        alarm.stop()


def _failure(
    pool: _client.Pool, error: Exception, options: Options
) -> errors.Failure:
    if isinstance(error, ValueError):
        # aiohttp rejects a head that it cannot encode before it connects.
        return errors.Failure(errors.ErrorKind.BAD_REQUEST)
    kind = _client.error_kind(error)
    if not isinstance(error, TimeoutError) or kind not in _MAY_HAVE_RUN:
        return errors.Failure(kind, str(error)[:_MAX_DETAIL_CHARACTERS])
    pool.connector.invalidate_connections()
    silent = options.silence and options.silence < options.deadline
    return errors.Failure(
        errors.ErrorKind.ANSWER_LOST if silent else errors.ErrorKind.DEADLINE
    )


_MAY_HAVE_RUN = frozenset({errors.ErrorKind.ANSWER_LOST})


def _refusal(
    response: aiohttp.ClientResponse,
    head: _wire.ResponseHead,
    not_run: Collection[errors.ErrorKind],
) -> errors.Failure | None:
    if not response_statuses.is_valid(response.status):
        return errors.Failure(
            errors.ErrorKind.ANSWER_BROKEN,
            f"Its status is {response.status:03d}.",
        )
    if head.error is not None:
        accepted = head.error in not_run
        kind = head.error if accepted else errors.ErrorKind.ANSWER_LOST
        return errors.Failure(kind)
    # A body delimited by the end of the connection looks the same whether it
    # is complete or the server crashed half-way. A caller would take half an
    # archive for all of it.
    empty = response.method == "HEAD" or response.status in _wire.BODILESS
    if not head.framed and not empty:
        return errors.Failure(
            errors.ErrorKind.ANSWER_BROKEN, "Its end cannot be told."
        )
    return None


def _to_response(
    client: _client.HttpClient,
    pool: _client.Pool,
    response: aiohttp.ClientResponse,
    head: _wire.ResponseHead,
) -> ports.Response:
    """Returns a response that is streamed chunk by chunk.

    Closing it before its end closes the connection. If another request
    followed on the same connection, its caller would get the rest of this
    response.
    """
    connection = response.connection
    if connection is not None and connection.protocol is not None:
        connection.protocol.read_timeout = client.configured.between_bytes
        connection.protocol.start_timeout()

    async def close() -> None:
        response.close()
        await pool.release()

    return ports.Response(
        response.status,
        head.headers,
        _body(response, pool),
        close,
    )


class _SingleChunk:
    """A body that has already arrived, as a single chunk."""

    __slots__ = ("_chunk",)

    def __init__(self, chunk: bytes) -> None:
        self._chunk = chunk

    def __aiter__(self) -> "_SingleChunk":
        return self

    async def __anext__(self) -> bytes:
        chunk, self._chunk = self._chunk, b""
        if not chunk:
            raise StopAsyncIteration
        return chunk


def _body(
    response: aiohttp.ClientResponse, pool: _client.Pool
) -> AsyncIterator[bytes]:
    # Most bodies arrive together with their head.
    content = response.content
    if content.is_eof() and content.exception() is None:
        return _SingleChunk(content.read_nowait(-1))
    return _chunks(response, pool)


async def _chunks(
    response: aiohttp.ClientResponse, pool: _client.Pool
) -> AsyncIterator[bytes]:
    try:
        async for chunk in response.content.iter_any():
            yield chunk
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        if isinstance(error, TimeoutError):
            pool.connector.invalidate_connections()
        raise ports.BrokenResponseError(str(error)) from error
