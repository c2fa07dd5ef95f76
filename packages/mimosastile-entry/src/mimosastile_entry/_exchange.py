"""One exchange with a target or a peer: sent once, answered whole or not."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Collection

import aiohttp
import msgspec
import result
import yarl

from mimosastile_core import errors
from mimosastile_entry import _alarms
from mimosastile_entry import _client
from mimosastile_entry import _wire
from mimosastile_entry import ports


class Terms(msgspec.Struct, frozen=True):
    """How long an exchange may take and what the other side may say.

    Attributes:
        deadline: Seconds until the head must be there.
        silence: Seconds without any byte of the head, then the connection is
            taken for lost; 0 if a long wait is no sign of that.
        not_run: Error kinds that the other side may name in its answer.
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
    terms: Terms,
) -> result.Result[ports.Response, errors.Failure]:
    """Sends a request once and returns the answer as it begins.

    The deadline limits the time to the head. A body may take as long as it
    makes progress.

    Args:
        client: The client.
        pool: The connections to the address.
        request: The request.
        url: Where to; percent-encoded already.
        headers: All headers to send.
        terms: Times, and what the answer may say.

    Returns:
        The answer, or a failure that says whether the request may have run.
    """
    if terms.deadline <= 0:
        return result.Err(errors.Failure(errors.ErrorKind.QUEUE_TIMEOUT))
    pool.in_use += 1
    response: aiohttp.ClientResponse | None = None
    passed_on = False
    try:
        response = await _head(pool, request, url, headers, terms)
        head = _wire.AnswerHead(response)
        failure = _refusal(response, head, terms.not_run)
        if failure is not None:
            return result.Err(failure)
        passed_on = True
        return result.Ok(_to_response(client, pool, response, head))
    except (*_client.CALL_ERRORS, ValueError) as error:
        return result.Err(_failure(pool, error, terms))
    finally:
        # The timeout may fire in the moment in which the head arrives; its
        # connection would otherwise stay taken until it is collected.
        if not passed_on:
            if response is not None:
                response.close()
            await pool.leave()


async def _head(
    pool: _client.Pool,
    request: ports.Request,
    url: str,
    headers: list[tuple[str, str]],
    terms: Terms,
) -> aiohttp.ClientResponse:
    alarm = _alarms.Alarm(min(terms.deadline, terms.silence or terms.deadline))
    try:
        return await pool.session.request(
            request.method,
            yarl.URL(url, encoded=True),
            headers=headers,
            data=_wire.request_body(request),
            allow_redirects=False,
        )
    except asyncio.CancelledError:
        alarm.settle()
        raise
    finally:
        alarm.stop()


def _failure(
    pool: _client.Pool, error: Exception, terms: Terms
) -> errors.Failure:
    if isinstance(error, ValueError):
        # The library refuses a head that it cannot write, before it connects.
        return errors.Failure(errors.ErrorKind.BAD_REQUEST)
    kind = _client.kind_of(error)
    if not isinstance(error, TimeoutError) or kind not in _UNSURE:
        return errors.Failure(kind, str(error))
    pool.connector.suspect()
    silent = terms.silence and terms.silence < terms.deadline
    return errors.Failure(
        errors.ErrorKind.ANSWER_LOST if silent else errors.ErrorKind.DEADLINE
    )


_UNSURE = frozenset({errors.ErrorKind.ANSWER_LOST})


def _refusal(
    response: aiohttp.ClientResponse,
    head: _wire.AnswerHead,
    not_run: Collection[errors.ErrorKind],
) -> errors.Failure | None:
    if head.error is not None:
        known = head.error in not_run
        kind = head.error if known else errors.ErrorKind.ANSWER_LOST
        return errors.Failure(kind)
    # A body that ends with its connection looks the same whether it is whole
    # or the server died half-way; a caller would take half an archive for the
    # whole of it.
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
    head: _wire.AnswerHead,
) -> ports.Response:
    """Returns an answer that is passed on chunk by chunk.

    Closing it before its end closes the connection: an unfinished exchange
    must never be followed by another request on the same connection, whose
    caller would get the rest of this answer.
    """
    connection = response.connection
    if connection is not None and connection.protocol is not None:
        connection.protocol.read_timeout = client.configured.between_bytes
        connection.protocol.start_timeout()

    async def close() -> None:
        response.close()
        await pool.leave()

    return ports.Response(
        response.status,
        head.headers,
        _body(response, pool),
        close,
    )


class _Whole:
    """A body that has arrived already, as its only chunk."""

    __slots__ = ("_chunk",)

    def __init__(self, chunk: bytes) -> None:
        self._chunk = chunk

    def __aiter__(self) -> "_Whole":
        return self

    async def __anext__(self) -> bytes:
        chunk, self._chunk = self._chunk, b""
        if not chunk:
            raise StopAsyncIteration
        return chunk


def _body(
    response: aiohttp.ClientResponse, pool: _client.Pool
) -> AsyncIterator[bytes]:
    # Most answers come in one piece with their head.
    content = response.content
    if content.is_eof() and content.exception() is None:
        return _Whole(content.read_nowait(-1))
    return _chunks(response, pool)


async def _chunks(
    response: aiohttp.ClientResponse, pool: _client.Pool
) -> AsyncIterator[bytes]:
    try:
        async for chunk in response.content.iter_any():
            yield chunk
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        if isinstance(error, TimeoutError):
            pool.connector.suspect()
        raise ports.BrokenResponseError(str(error)) from error
