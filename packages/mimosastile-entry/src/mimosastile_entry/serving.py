"""HTTP servers on the one loop, without signals, workers or uvloop."""

import asyncio
import socket
import ssl
from typing import Any

import uvicorn
from uvicorn import server as uvicorn_server

from mimosastile_entry import _protocol

_BACKLOG = 2048
_POLL_SECONDS = 0.01
_IDLE_SECONDS = 30


class Listener:
    """One application on one port."""

    __slots__ = ("_aborted", "_port", "_seconds", "_server", "_state")

    def __init__(
        self,
        server: asyncio.Server,
        state: uvicorn_server.ServerState,
        port: int,
        shutdown_seconds: float,
    ) -> None:
        self._server = server
        self._state = state
        self._port = port
        self._seconds = shutdown_seconds
        self._aborted = False

    @property
    def port(self) -> int:
        """The bound port."""
        return self._port

    @property
    def in_flight(self) -> int:
        """Requests that are being served."""
        return len(self._state.tasks)

    def begin_stop(self) -> None:
        """Accepts no more connections; requests in flight go on.

        Idle connections are closed, the others after their answer.
        """
        self._server.close()
        for connection in list(self._state.connections):
            connection.shutdown()

    def abort(self) -> None:
        """Ends a stop that waits for requests in flight."""
        self._aborted = True

    async def stop(self) -> None:
        """Waits until the requests in flight have ended, within the bound."""
        self.begin_stop()
        loop = asyncio.get_running_loop()
        last = loop.time() + self._seconds
        while self._is_busy() and loop.time() < last and not self._aborted:
            await asyncio.sleep(_POLL_SECONDS)
        # Whoever is left loses its answer, and must see that it does.
        for connection in list(self._state.connections):
            connection.transport.abort()
        left = tuple(self._state.tasks)
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)

    def _is_busy(self) -> bool:
        return bool(self._state.connections or self._state.tasks)


async def listen(
    app: Any,
    host: str,
    port: int,
    shutdown_seconds: float,
    head_bytes: int = 64 << 10,
    head_seconds: float = 10.0,
    tls: ssl.SSLContext | None = None,
    stall_seconds: float = 30.0,
) -> Listener:
    """Begins to serve an application.

    Args:
        app: The ASGI application.
        host: IP number to listen on.
        port: Port, 0 for any free one.
        shutdown_seconds: Longest wait for requests in flight at a stop.
        head_bytes: Longest head of a request.
        head_seconds: Longest time for a head to arrive.
        tls: TLS context, None to serve in the clear.
        stall_seconds: Longest time in which a client reads nothing.

    Returns:
        The listener, accepting connections.

    Raises:
        OSError: The address cannot be bound.
    """
    config = uvicorn.Config(
        app,
        # Not "auto": uvloop may use io_uring, which the VMs forbid.
        loop="asyncio",
        http=_protocol.bounded(head_bytes, head_seconds, stall_seconds),
        lifespan="off",
        ws="none",
        access_log=False,
        log_config=None,
        server_header=False,
        date_header=False,
        # Nobody is believed about addresses, so none need be looked for.
        proxy_headers=False,
        timeout_keep_alive=_IDLE_SECONDS,
    )
    config.load()
    state = uvicorn_server.ServerState()
    loop = asyncio.get_running_loop()

    def connection() -> asyncio.Protocol:
        made: asyncio.Protocol = config.http_protocol_class(  # type: ignore[call-arg]
            config=config, server_state=state, app_state={}, _loop=loop
        )
        return made

    bound = _bind(host, port)
    server = await loop.create_server(
        connection,
        sock=bound,
        ssl=tls,
        backlog=_BACKLOG,
        ssl_handshake_timeout=head_seconds if tls else None,
    )
    return Listener(server, state, bound.getsockname()[1], shutdown_seconds)


def _bind(host: str, port: int) -> socket.socket:
    # With the protocol left at 0, asyncio does not set TCP_NODELAY on accepted
    # connections; head and body of an answer then wait for each other's
    # acknowledgement, seen as 40 ms on every request.
    bound = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, port))
    bound.setblocking(False)
    return bound
