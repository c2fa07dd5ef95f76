"""The callers' side and the forwarding side as raw ASGI applications."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
from typing import Any

from absl import logging
import result

from mimosastile_core import errors
from mimosastile_entry import _calls
from mimosastile_entry import _credentials
from mimosastile_entry import _heads
from mimosastile_entry import _protocol
from mimosastile_entry import _router
from mimosastile_entry import _uploads
from mimosastile_entry import _wire
from mimosastile_entry import ports
from mimosastile_entry import settings

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
Read = result.Result[ports.Request, errors.Failure]

_PREFIX = "callers:"
_DEADLINE_HEADER = b"x-request-timeout-ms"
_DEADLINE_DIGITS = 9
_CLOSE = (b"connection", b"close")


class _ForwardingApp:
    """Base of both sides: reads a request, has it routed, passes it on."""

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
        """Asks callers, with each answer, to open another connection."""
        self._stopping = True

    async def _serve(
        self, head: Read, scope: Scope, receive: Receive, send: Send
    ) -> None:
        work = _protocol.begin(scope)
        upload = _uploads.Upload(scope["headers"], receive, self._limits)
        try:
            response = await self._answer(head, upload)
            await self._pass_on(response, send, work, upload)
        except asyncio.CancelledError:
            logging.debug("%s a caller left.", _PREFIX)

    async def _answer(
        self, head: Read, upload: _uploads.Upload
    ) -> ports.Response:
        read = head
        if not upload.complete and isinstance(head, result.Ok):
            read = await upload.read(head.ok_value)
        if isinstance(read, result.Err):
            return _calls.refuse(read.err_value, self._clock.new_id())
        request = read.ok_value
        try:
            return await self._router.handle(request)
        except Exception:
            logging.exception("%s %s failed.", _PREFIX, request.request_id)
            failure = errors.Failure(errors.ErrorKind.INTERNAL)
            return _calls.refuse(failure, request.request_id)

    async def _pass_on(
        self,
        response: ports.Response,
        send: Send,
        work: _protocol.Work,
        upload: _uploads.Upload,
    ) -> None:
        """Sends an answer; one that breaks off is passed on as broken."""
        headers = [(n.encode(), _encoded(v)) for n, v in response.headers]
        if self._stopping:
            headers.append(_CLOSE)
        try:
            await send(
                {
                    "type": "http.response.start",
                    "status": response.status,
                    "headers": headers,
                }
            )
            async for chunk in response.body:
                # A caller that stops reading would hold its slot for ever.
                async with asyncio.timeout(self._limits.stall_seconds):
                    await send(
                        {
                            "type": "http.response.body",
                            "body": chunk,
                            "more_body": True,
                        }
                    )
            if not upload.complete:
                await response.close()
                await upload.linger(closing=self._stopping)
            await send({"type": "http.response.body", "body": b""})
        except (ports.BrokenAnswerError, TimeoutError, RuntimeError) as error:
            # Returning without the last chunk makes the server cut the
            # connection, so the caller sees a broken answer, never a short
            # one.
            logging.warning("%s an answer broke off: %s.", _PREFIX, error)
        finally:
            # What follows must run to its end also if the caller leaves now.
            work.task = None
            await response.close()


class CallersApp(_ForwardingApp):
    """Takes callers' requests: limits, credential, then the router."""

    __slots__ = ("_credentials",)

    def __init__(
        self,
        router: _router.RouterService,
        clock: ports.ClockPort,
        limits: settings.LimitSettings,
        credentials: _credentials.Credentials,
    ) -> None:
        super().__init__(router, clock, limits)
        self._credentials = credentials

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one request."""
        if scope["path"] == "/-/health":
            await _send_health(send, ok=not self._stopping)
            return
        await self._serve(self._head(scope), scope, receive, send)

    def _head(self, scope: Scope) -> Read:
        headers = scope["headers"]
        path, query = scope["raw_path"], scope["query_string"]
        failure = _heads.too_large(path, query, headers, self._limits)
        if failure is not None:
            return result.Err(failure)
        credential = _heads.only(headers, b"authorization")
        member = self._credentials.member_of(credential)
        if member is None:
            return _failed(errors.ErrorKind.UNAUTHENTICATED)
        problem = _heads.path_problem(path)
        if problem:
            return _failed(errors.ErrorKind.BAD_REQUEST, problem)
        if _heads.length(headers) > self._limits.body_bytes:
            return _failed(errors.ErrorKind.BODY_TOO_LARGE)
        request = _request(scope)
        if isinstance(request, result.Ok):
            request.ok_value.member = member
            request.ok_value.request_id = self._clock.new_id()
            request.ok_value.deadline = self._deadline(headers)
        return request

    def _deadline(self, headers: _heads.RawHeaders) -> float:
        wait = _heads.only(headers, _DEADLINE_HEADER)
        if not wait.isdigit() or len(wait) > _DEADLINE_DIGITS:
            return 0.0
        return self._clock.now() + int(wait) / 1000


class ForwardApp(_ForwardingApp):
    """Takes requests that a peer forwards to the keeper of their target."""

    __slots__ = ()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one forwarded request."""
        await self._serve(self._head(scope), scope, receive, send)

    def _head(self, scope: Scope) -> Read:
        named = {n.decode("ascii"): v for n, v in scope["headers"]}
        left = named.get(_wire.DEADLINE_MS, b"")
        if not left.isdigit() or len(left) > _DEADLINE_DIGITS:
            return _failed(errors.ErrorKind.BAD_REQUEST)
        read = _request(scope)
        if isinstance(read, result.Err):
            return read
        request = read.ok_value
        request.path = request.path.removeprefix(_wire.FORWARD_PATH)
        request.forwarded = True
        request.member = _text(named, _wire.MEMBER)
        request.request_id = _text(named, _wire.REQUEST_ID)
        request.target = _text(named, _wire.TARGET)
        request.origin = _text(named, _wire.ORIGIN)
        request.deadline = self._clock.now() + int(left) / 1000
        return read


def _text(named: dict[str, bytes], name: str) -> str:
    return named.get(name, b"").decode("ascii", "replace")


def _request(scope: Scope) -> Read:
    headers = _heads.decoded(scope["headers"])
    if isinstance(headers, result.Err):
        return headers
    return result.Ok(
        ports.Request(
            method=scope["method"],
            path=scope["raw_path"].decode("ascii", "replace"),
            query=scope["query_string"].decode("latin-1"),
            headers=_wire.end_to_end(headers.ok_value),
        )
    )


def _encoded(value: str) -> bytes:
    # The client library reads header bytes in this way, so that any bytes of
    # a target, a file name in UTF-8 for one, reach the caller unchanged.
    return value.encode("utf-8", "surrogateescape")


async def _send_health(send: Send, *, ok: bool) -> None:
    body = b"ok\n" if ok else b"stopping\n"
    await send(
        {
            "type": "http.response.start",
            "status": 200 if ok else 503,
            "headers": [
                (b"content-type", b"text/plain"),
                (b"content-length", str(len(body)).encode()),
            ],
        }
    )
    await send({"type": "http.response.body", "body": body})


def _failed(
    kind: errors.ErrorKind, detail: str = ""
) -> result.Err[errors.Failure]:
    return result.Err(errors.Failure(kind, detail))
