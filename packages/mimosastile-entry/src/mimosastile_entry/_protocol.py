"""The server's side of one connection: bounds on heads, callers that leave."""

import asyncio
from typing import Any

import msgspec
from uvicorn.protocols.http import httptools_impl

from mimosastile_core import errors

_STATE_KEY = "mimosastile.work"
_PIPELINED = 8
"""Requests sent ahead on one connection beyond which reading stops."""

_REASONS = {
    400: b"Bad Request",
    408: b"Request Timeout",
    431: b"Request Header Fields Too Large",
}


class Work:
    """The task that serves the present request of one connection."""

    __slots__ = ("task",)

    def __init__(self) -> None:
        self.task: asyncio.Task[Any] | None = None

    def cancel(self) -> None:
        """Cancels the task if it still serves."""
        task, self.task = self.task, None
        if task is not None:
            task.cancel()


def begin(scope: Any) -> Work:
    """Notes that the present task serves a request until `task` is cleared.

    Args:
        scope: The request's ASGI scope.
    """
    work: Work = scope.get("state", {}).get(_STATE_KEY) or Work()
    work.task = asyncio.current_task()
    return work


class Protocol(httptools_impl.HttpToolsProtocol):
    """A connection whose caller may be slow, oversized or gone.

    Attributes:
        head_bytes: Longest head that is read.
        head_seconds: Longest time for a head to arrive.
        stall_seconds: Longest time in which a caller reads nothing.
    """

    head_bytes = 64 << 10
    head_seconds = 10.0
    stall_seconds = 30.0

    def __init__(self, *args: Any, **named: Any) -> None:
        """Makes the connection; the server passes the arguments."""
        super().__init__(*args, **named)
        self._work = Work()
        self.app_state = {**self.app_state, _STATE_KEY: self._work}
        self._closing = False
        self._in_head = False
        self._in_body = False
        self._head_size = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._stall_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Expects a head soon."""
        super().connection_made(transport)
        self._watch_head()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the work for a caller that has gone."""
        self._stop_watch()
        self._stop_stall()
        super().connection_lost(exc)
        # The library tells only the latest of several requests that were sent
        # at once, and only when it next asks. A slot would stay taken for a
        # caller who will never read the answer.
        self._work.cancel()
        self.pipeline.clear()

    def data_received(self, data: bytes) -> None:
        """Reads, within the bounds on a head."""
        super().data_received(data)
        if self._in_body:
            return
        if not self._in_head and not self._is_idle():
            self._stop_watch()
            return
        # A caller that sends its head byte by byte, or without end, would
        # hold a connection and memory for ever; the library has no bound.
        self._head_size += len(data)
        if self._head_size > self.head_bytes:
            self._refuse(431, errors.ErrorKind.HEADERS_TOO_LARGE)
        elif self._head_timer is None:
            self._watch_head()

    def on_message_begin(self) -> None:
        """Begins to read a head."""
        super().on_message_begin()
        self._in_head = True

    def on_headers_complete(self) -> None:
        """Ends the head and begins to serve."""
        self._in_head = False
        self._in_body = True
        self._head_size = 0
        self._stop_watch()
        super().on_headers_complete()
        if 0 < len(self.pipeline) < _PIPELINED:
            # The library stops reading when a second request comes before the
            # first is answered, and then does not notice that the caller
            # leaves.
            self.flow.resume_reading()
        # The parser reads nothing after a request that asks for another
        # protocol, so a next request would wait for ever.
        if self._closing or self.parser.should_upgrade():
            self.cycle.keep_alive = False

    def on_message_complete(self) -> None:
        """Ends the request's body."""
        self._in_body = False
        self._stop_watch()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Ends an answer."""
        super().on_response_complete()
        if self._in_body and not self.transport.is_closing():
            # The rest of a refused upload is read and thrown away, so that
            # the answer is not lost in a reset; but not for ever.
            self._stop_watch()
            self._watch_head()

    def pause_writing(self) -> None:
        """Notes that the caller does not keep up."""
        super().pause_writing()
        # A caller that stops reading would hold its slot for ever. Timed
        # here, where it shows, it costs nothing for all others.
        self._stall_timer = self.loop.call_later(
            self.stall_seconds, self.transport.abort
        )

    def resume_writing(self) -> None:
        """Notes that the caller has caught up."""
        self._stop_stall()
        super().resume_writing()

    def shutdown(self) -> None:
        """Closes an idle connection, a busy one after its answer."""
        if self._in_head:
            # A request whose head is arriving is answered; cut off here, its
            # caller could not tell whether it ran.
            self._closing = True
            return
        super().shutdown()

    def send_400_response(self, msg: str) -> None:
        """Refuses what is no request."""
        del msg
        self._refuse(400, errors.ErrorKind.BAD_REQUEST)

    def _is_idle(self) -> bool:
        return self.cycle is None or self.cycle.response_complete

    def _watch_head(self) -> None:
        self._head_timer = self.loop.call_later(
            self.head_seconds, self._head_late
        )

    def _stop_watch(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _stop_stall(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _head_late(self) -> None:
        self._head_timer = None
        if self._in_head:
            self._refuse(408, errors.ErrorKind.REQUEST_TIMEOUT)
        # Without a request there is nothing to answer; words on an idle
        # connection would be taken for the answer to the next request.
        self.transport.close()

    def _refuse(self, status: int, kind: errors.ErrorKind) -> None:
        if self.transport.is_closing():
            return
        if self._is_idle():
            body = msgspec.json.encode(errors.refusal(errors.Failure(kind), ""))
            reason = _REASONS[status]
            self.transport.write(
                b"HTTP/1.1 %d %s\r\ncontent-type: application/json\r\n"
                b"content-length: %d\r\nconnection: close\r\n\r\n%s"
                % (status, reason, len(body), body)
            )
        # Within an answer there is no place for another one: a caller would
        # take it for the rest of the first.
        self.transport.close()


def bounded(
    head_bytes: int, head_seconds: float, stall_seconds: float
) -> type[Protocol]:
    """Returns a protocol class with other bounds."""
    return type(
        "BoundedProtocol",
        (Protocol,),
        {
            "head_bytes": head_bytes,
            "head_seconds": head_seconds,
            "stall_seconds": stall_seconds,
        },
    )
