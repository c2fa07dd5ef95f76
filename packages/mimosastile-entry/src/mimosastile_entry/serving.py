"""HTTP servers on the one loop, without signals, workers or uvloop."""

import asyncio
from collections.abc import Iterator
import contextlib
import socket
from typing import Any

import uvicorn

from mimosastile_entry import _protocol

_BACKLOG = 2048
_POLL_SECONDS = 0.005


class _Server(uvicorn.Server):
    """A server that leaves signals to the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Captures nothing."""
        yield


class Listener:
    """One application on one port."""

    __slots__ = ("_port", "_server", "_task")

    def __init__(
        self, server: uvicorn.Server, task: asyncio.Task[None], port: int
    ) -> None:
        self._server = server
        self._task = task
        self._port = port

    @property
    def port(self) -> int:
        """The bound port."""
        return self._port

    def begin_stop(self) -> None:
        """Accepts no more connections; requests in flight go on."""
        self._server.should_exit = True

    async def stop(self) -> None:
        """Waits until the requests in flight have ended."""
        self.begin_stop()
        await self._task


async def listen(
    app: Any,
    host: str,
    port: int,
    shutdown_seconds: float,
    head_bytes: int = 64 << 10,
    head_seconds: float = 10.0,
) -> Listener:
    """Begins to serve an application.

    Args:
        app: The ASGI application.
        host: IP number to listen on.
        port: Port, 0 for any free one.
        shutdown_seconds: Longest wait for requests in flight at a stop.
        head_bytes: Longest head of a request.
        head_seconds: Longest time for a head to arrive.

    Returns:
        The listener, accepting connections.

    Raises:
        OSError: The address cannot be bound.
    """
    # With the protocol left at 0, asyncio does not set TCP_NODELAY on accepted
    # connections; head and body of an answer then wait for each other's
    # acknowledgement, seen as 40 ms on every request.
    bound = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, port))
    bound.listen(_BACKLOG)
    bound.setblocking(False)
    server = _Server(
        uvicorn.Config(
            app,
            # Not "auto": uvloop may use io_uring, which the VMs forbid.
            loop="asyncio",
            http=_protocol.bounded(head_bytes, head_seconds),
            lifespan="off",
            ws="none",
            access_log=False,
            log_config=None,
            server_header=False,
            date_header=False,
            timeout_graceful_shutdown=max(1, int(shutdown_seconds)),
        )
    )
    task = asyncio.create_task(server.serve([bound]))
    while not server.started:
        await asyncio.sleep(_POLL_SECONDS)
    return Listener(server, task, bound.getsockname()[1])
