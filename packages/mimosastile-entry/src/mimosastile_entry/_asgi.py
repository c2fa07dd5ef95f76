"""The callers' side and the forwarding side as raw ASGI applications."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
import contextlib
from typing import Any

from absl import logging
import result

from mimosastile_core import errors
from mimosastile_entry import _calls
from mimosastile_entry import _router
from mimosastile_entry import _wire
from mimosastile_entry import ports
from mimosastile_entry import settings

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

_PREFIX = "callers:"
_DEADLINE_HEADER = "x-request-timeout-ms"


class CallerGoneError(Exception):
    """The caller closed its connection before the request was whole."""


class CallersApp:
    """Takes callers' requests: credential, limits, then the router."""

    __slots__ = ("_clock", "_limits", "_router", "_stopping")

    def __init__(
        self,
        router: _router.RouterService,
        clock: ports.ClockPort,
        limits: settings.LimitSettings,
    ) -> None:
        self._router = router
        self._clock = clock
        self._limits = limits
        self._stopping = False

    def begin_stop(self) -> None:
        """Turns the health answer bad so that the balancer looks away."""
        self._stopping = True

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        if scope["path"] == "/-/health":
            await _send_health(send, ok=not self._stopping)
            return
        request = await self._read(scope, receive)
        if isinstance(request, result.Ok):
            response = await self._router.handle(request.ok_value)
        else:
            response = _calls.refuse(request.err_value, self._clock.new_id())
        await _pass_on(response, send)

    async def _read(
        self, scope: Scope, receive: Receive
    ) -> result.Result[ports.Request, errors.Failure]:
        headers = _headers(scope)
        size = sum(len(n) + len(v) for n, v in headers)
        if size > self._limits.header_bytes:
            return result.Err(
                errors.Failure(errors.ErrorKind.HEADERS_TOO_LARGE)
            )
        named = dict(headers)
        member = self._router.member_of(named.get("authorization", ""))
        if member is None:
            return result.Err(errors.Failure(errors.ErrorKind.UNAUTHENTICATED))
        request = _request(scope, headers)
        request.request_id = self._clock.new_id()
        request.member = member
        wait = named.get(_DEADLINE_HEADER, "")
        if wait.isdecimal():
            request.deadline = self._clock.now() + int(wait) / 1000
        return await _read_body(request, receive, self._limits)


class ForwardApp:
    """Takes requests that a peer forwards to the keeper of their target."""

    __slots__ = ("_clock", "_limits", "_router")

    def __init__(
        self,
        router: _router.RouterService,
        clock: ports.ClockPort,
        limits: settings.LimitSettings,
    ) -> None:
        self._router = router
        self._clock = clock
        self._limits = limits

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one forwarded request."""
        headers = _headers(scope)
        named = dict(headers)
        request = _request(scope, headers)
        request.path = request.path.removeprefix(_wire.FORWARD_PATH)
        request.forwarded = True
        request.member = named.get(_wire.MEMBER, "")
        request.request_id = named.get(_wire.REQUEST_ID, "")
        request.target = named.get(_wire.TARGET, "")
        request.origin = named.get(_wire.ORIGIN, "")
        left = int(named.get(_wire.DEADLINE_MS, "0")) / 1000
        request.deadline = self._clock.now() + left
        read = await _read_body(request, receive, self._limits)
        if isinstance(read, result.Ok):
            response = await self._router.handle(read.ok_value)
        else:
            response = _calls.refuse(read.err_value, request.request_id)
        await _pass_on(response, send)


def _headers(scope: Scope) -> list[tuple[str, str]]:
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in scope["headers"]
    ]


def _request(scope: Scope, headers: list[tuple[str, str]]) -> ports.Request:
    return ports.Request(
        method=scope["method"],
        path=scope["raw_path"].decode("ascii", "replace"),
        query=scope["query_string"].decode("latin-1"),
        headers=_wire.end_to_end(headers),
    )


async def _read_body(
    request: ports.Request, receive: Receive, limits: settings.LimitSettings
) -> result.Result[ports.Request, errors.Failure]:
    """Holds a small body whole and leaves the rest of a large one to stream."""
    chunks = []
    size = 0
    while size <= limits.replay_bytes:
        message = await receive()
        if message["type"] == "http.disconnect":
            return result.Err(errors.Failure(errors.ErrorKind.CANCELLED))
        chunks.append(message.get("body", b""))
        size += len(chunks[-1])
        if not message.get("more_body", False):
            request.body = b"".join(chunks)
            return result.Ok(request)
    request.body = b"".join(chunks)
    request.stream = _rest(receive, limits.body_bytes - size)
    return result.Ok(request)


async def _rest(receive: Receive, allowed: int) -> AsyncIterator[bytes]:
    more = True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        chunk = message.get("body", b"")
        allowed -= len(chunk)
        if allowed < 0:
            raise CallerGoneError("body too large")
        more = message.get("more_body", False)
        yield chunk


async def _pass_on(response: ports.Response, send: Send) -> None:
    """Sends an answer; one that breaks off is passed on as broken."""
    try:
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": [
                    (n.encode("latin-1"), v.encode("latin-1"))
                    for n, v in response.headers
                ],
            }
        )
        async for chunk in response.body:
            await send(
                {
                    "type": "http.response.body",
                    "body": chunk,
                    "more_body": True,
                }
            )
        await send({"type": "http.response.body", "body": b""})
    except ports.BrokenAnswerError as error:
        # Returning without the last chunk makes the server cut the
        # connection, so the caller sees a broken answer, never a short one.
        logging.warning("%s an answer broke off: %s.", _PREFIX, error)
    finally:
        with contextlib.suppress(Exception):
            await response.close()


async def _send_health(send: Send, *, ok: bool) -> None:
    body = b"ok\n" if ok else b"stopping\n"
    await send(
        {
            "type": "http.response.start",
            "status": 200 if ok else 503,
            "headers": [(b"content-type", b"text/plain")],
        }
    )
    await send({"type": "http.response.body", "body": body})
