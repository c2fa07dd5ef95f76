"""Raw ASGI applications for callers' requests and forwarded requests."""

import abc
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
from mimosastile_entry import _stop_window
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
_NOT_UTF8 = "A header is not UTF-8."
_CLOSE = (b"connection", b"close")


class _ForwardingApp(abc.ABC):
    """Base application: reads a request, routes it, sends the response."""

    __slots__ = ("_clock", "_limits", "_router", "_stop_window", "_stopping")

    def __init__(
        self,
        router: _router.RouterService,
        clock: ports.ClockPort,
        limits: settings.LimitSettings,
        stop_window: _stop_window.StopWindow,
    ) -> None:
        self._router = router
        self._clock = clock
        self._limits = limits
        self._stop_window = stop_window
        self._stopping = False

    def begin_stop(self) -> None:
        """Closes connections after each response from now on."""
        self._stopping = True

    @abc.abstractmethod
    def _request(self, scope: Scope, head: _heads.Head) -> Read:
        """Returns the request that a head describes, or the refusal."""

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        work = _protocol.begin(scope)
        head = _heads.Head(scope["headers"])
        upload = _uploads.Upload(head, receive, self._limits)
        try:
            response = await self._respond(self._request(scope, head), upload)
            await self._send_response(response, send, work, upload)
        except asyncio.CancelledError:
            logging.debug("%s a caller disconnected.", _PREFIX)

    async def _respond(
        self, head: Read, upload: _uploads.Upload
    ) -> ports.Response:
        read = head
        if not upload.complete and isinstance(head, result.Ok):
            read = await upload.read(head.ok_value)
        if isinstance(read, result.Err):
            return _calls.refuse(read.err_value, self._clock.new_id())
        request = read.ok_value
        if not self._stop_window.fits(request):
            failure = errors.Failure(errors.ErrorKind.SHUTTING_DOWN)
            return _calls.refuse(failure, request.request_id)
        began_at = self._clock.now()

        async def record_end() -> None:
            self._stop_window.record(request, began_at)

        try:
            response = await self._router.handle(request)
            response.on_close(record_end)
            return response
        except Exception:
            logging.exception(
                "%s request %s failed with an exception.",
                _PREFIX,
                request.request_id,
            )
            failure = errors.Failure(errors.ErrorKind.INTERNAL)
            return _calls.refuse(failure, request.request_id)

    async def _send_response(
        self,
        response: ports.Response,
        send: Send,
        work: _protocol.Work,
        upload: _uploads.Upload,
    ) -> None:
        """Sends a response; aborts the connection if the response is broken."""
        headers = [(n.encode(), _encode(v)) for n, v in response.headers]
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
            remaining = _length(response)
            ended = False
            async for chunk in response.body:
                remaining -= len(chunk)
                # The last byte completes a body of declared length, so that
                # no separate end message is needed.
                ended = not remaining and upload.complete
                await send(
                    {
                        "type": "http.response.body",
                        "body": chunk,
                        "more_body": not ended,
                    }
                )
            if not upload.complete:
                await response.close()
                await upload.linger(closing=self._stopping)
            if not ended:
                await send({"type": "http.response.body", "body": b""})
        except (ports.BrokenResponseError, TimeoutError, RuntimeError) as error:
            # Returning without the last chunk makes the server close the
            # connection, so the caller detects a broken response and never
            # accepts a truncated one.
            logging.warning("%s response aborted: %s.", _PREFIX, error)
        finally:
            # The close must complete even if the caller disconnects now.
            work.task = None
            await response.close()


class CallersApp(_ForwardingApp):
    """Serves callers: checks limits and credential, then routes."""

    __slots__ = ("_credentials",)

    def __init__(
        self,
        router: _router.RouterService,
        clock: ports.ClockPort,
        limits: settings.LimitSettings,
        stop_window: _stop_window.StopWindow,
        credentials: _credentials.Credentials,
    ) -> None:
        super().__init__(router, clock, limits, stop_window)
        self._credentials = credentials

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one request."""
        if scope["path"] == "/-/health":
            await _send_health(send, ok=not self._stopping)
            return
        await self._serve(scope, receive, send)

    def _request(self, scope: Scope, head: _heads.Head) -> Read:
        path, query = scope["raw_path"], scope["query_string"]
        failure = _heads.too_large(path, query, head, self._limits)
        if failure is not None:
            return result.Err(failure)
        member = self._credentials.member_of(head.authorization)
        if member is None:
            return errors.failed(errors.ErrorKind.UNAUTHENTICATED)
        problem = _heads.path_error(path)
        if problem:
            return errors.failed(errors.ErrorKind.BAD_REQUEST, problem)
        if head.length > self._limits.body_bytes:
            return errors.failed(errors.ErrorKind.BODY_TOO_LARGE)
        request = _request(scope, head)
        if request is None:
            return errors.failed(errors.ErrorKind.BAD_REQUEST, _NOT_UTF8)
        request.member = member
        request.request_id = self._clock.new_id()
        timeout_ms = _heads.milliseconds(head.deadline)
        if timeout_ms is not None:
            request.deadline = self._clock.now() + timeout_ms / 1000
        return result.Ok(request)


class ForwardApp(_ForwardingApp):
    """Serves requests that a peer forwards to this VM.

    This VM is then the target's keeper: the entry VM through which alone the
    target receives requests and grants.
    """

    __slots__ = ()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one forwarded request."""
        await self._serve(scope, receive, send)

    def _request(self, scope: Scope, head: _heads.Head) -> Read:
        fields = {name.decode("ascii"): v for name, v in scope["headers"]}
        remaining = _heads.milliseconds(fields.get(_wire.DEADLINE_MS, b""))
        request = _request(scope, head)
        if remaining is None or request is None:
            return errors.failed(errors.ErrorKind.BAD_REQUEST)
        request.path = request.path.removeprefix(_wire.FORWARD_PATH)
        request.forwarded = True
        request.member = _field(fields, _wire.MEMBER)
        request.request_id = _field(fields, _wire.REQUEST_ID)
        request.target = _field(fields, _wire.TARGET)
        request.origin = _field(fields, _wire.ORIGIN)
        request.deadline = self._clock.now() + remaining / 1000
        return result.Ok(request)


def _field(fields: dict[str, bytes], name: str) -> str:
    return fields.get(name, b"").decode("ascii", "replace")


def _request(scope: Scope, head: _heads.Head) -> ports.Request | None:
    if head.headers is None:
        return None
    return ports.Request(
        scope["method"],
        scope["raw_path"].decode("ascii", "replace"),
        scope["query_string"].decode("latin-1"),
        head.headers,
    )


def _length(response: ports.Response) -> int:
    """Returns the declared body length, -1 if there is none."""
    for name, value in response.headers:
        if name == "content-length":
            return int(value) if value.isdecimal() else -1
    return -1


def _encode(value: str) -> bytes:
    # The client library decodes header bytes the same way, so that any bytes
    # from a target, such as a UTF-8 file name, reach the caller unchanged.
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
