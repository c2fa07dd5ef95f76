"""Request bodies from callers: buffering, streaming, limits and draining."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
from typing import Any

import result

from mimosastile_core import errors
from mimosastile_entry import _heads
from mimosastile_entry import ports
from mimosastile_entry import settings

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]

_LINGER_SECONDS = 2.0
_LINGER_BYTES = 4 << 20


class CallerGoneError(Exception):
    """The caller disconnected, stalled or exceeded the size limit."""


class Upload:
    """The body of one request.

    Attributes:
        complete: Whether the body has been read to its end.
    """

    __slots__ = ("_head", "_limits", "_receive", "_size", "complete")

    def __init__(
        self,
        head: _heads.Head,
        receive: Receive,
        limits: settings.LimitSettings,
    ) -> None:
        """Initializes the upload with nothing read.

        Args:
            head: The request's head.
            receive: ASGI callable that yields the body.
            limits: Size limits and timeouts.
        """
        self.complete = not head.has_body
        self._head = head
        self._receive = receive
        self._limits = limits
        self._size = 0

    async def read(
        self, request: ports.Request
    ) -> result.Result[ports.Request, errors.Failure]:
        """Buffers the body up to the replay limit and streams the rest.

        Args:
            request: The request; gets its body, and a stream if it is large.
        """
        chunks: list[bytes] = []
        while not self.complete and self._size <= self._limits.replay_bytes:
            try:
                chunks.append(await self._next_chunk())
            except TimeoutError:
                return errors.failed(errors.ErrorKind.REQUEST_TIMEOUT)
            except CallerGoneError:
                return errors.failed(errors.ErrorKind.CANCELLED)
        if self._size > self._limits.body_bytes:
            return errors.failed(errors.ErrorKind.BODY_TOO_LARGE)
        request.body = b"".join(chunks)
        if not self.complete:
            request.stream = self._stream_rest()
        return result.Ok(request)

    async def linger(self, *, closing: bool) -> None:
        """Reads and discards the rest of the body before a connection closes.

        If a server closes while the caller is still sending, the caller's
        kernel discards the response and reports a reset instead.

        Args:
            closing: Whether this VM closes the connection afterwards.
        """
        # A caller that waits for "100 Continue" sends no body after a refusal.
        if self._head.expects or not (closing or self._head.closes):
            return
        try:
            async with asyncio.timeout(_LINGER_SECONDS):
                last = self._size + _LINGER_BYTES
                while not self.complete and self._size < last:
                    await self._next_chunk()
        except (TimeoutError, CallerGoneError):
            return

    async def _next_chunk(self) -> bytes:
        async with asyncio.timeout(self._limits.stall_seconds):
            message = await self._receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError("left")
        chunk: bytes = message.get("body", b"")
        self._size += len(chunk)
        self.complete = not message.get("more_body", False)
        return chunk

    async def _stream_rest(self) -> AsyncIterator[bytes]:
        while not self.complete:
            try:
                chunk = await self._next_chunk()
            except TimeoutError as error:
                raise CallerGoneError("body stalled") from error
            if self._size > self._limits.body_bytes:
                raise CallerGoneError("body too large")
            yield chunk
