"""HTTP servers on the current event loop, without signals or workers."""

import asyncio
import socket
import ssl
from typing import Any

import uvicorn
from uvicorn import server as uvicorn_server

from mimosastile_entry import _protocol

_BACKLOG = 2048
_POLL_INTERVAL_SECONDS = 0.01
_KEEP_ALIVE_SECONDS = 30
_UNSENT_BYTES = 128 << 10
"""Bytes in the kernel beyond those that a caller has room for."""


class Listener:
    """HTTP server of one application on one port."""

    __slots__ = ("_aborted", "_port", "_shutdown_seconds", "_server", "_state")

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
        self._shutdown_seconds = shutdown_seconds
        self._aborted = False

    @property
    def port(self) -> int:
        """The bound port."""
        return self._port

    @property
    def in_flight(self) -> int:
        """Number of requests being served."""
        return len(self._state.tasks)

    def begin_stop(self) -> None:
        """Stops accepting connections; requests in flight continue.

        Idle connections are closed now, the others after their response.
        """
        self._server.close()
        for connection in list(self._state.connections):
            connection.shutdown()

    def abort(self) -> None:
        """Makes `stop` cancel the requests in flight without waiting."""
        self._aborted = True

    async def stop(self) -> None:
        """Waits for the requests in flight, at most `shutdown_seconds`.

        Requests that are still in flight then are cancelled.
        """
        self.begin_stop()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._shutdown_seconds
        while self._is_busy() and loop.time() < deadline and not self._aborted:
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        # The remaining clients lose their response. Aborting the connection
        # makes that visible to them.
        for connection in list(self._state.connections):
            connection.transport.abort()
        unfinished = tuple(self._state.tasks)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)

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
    waiting_head_bytes: int = 0,
    most_connections: int = 0,
) -> Listener:
    """Starts serving an application.

    Args:
        app: The ASGI application.
        host: IP address to listen on.
        port: Port, 0 for any free one.
        shutdown_seconds: Time-out for requests in flight at a stop.
        head_bytes: Maximum size of a request head.
        head_seconds: Time-out for receiving a request head.
        tls: TLS context, None to serve plain HTTP.
        stall_seconds: Longest time without progress while a client reads a
            response.
        waiting_head_bytes: Memory for heads whose requests are not served yet,
            0 for no bound. At the bound, the one that began first is refused.
        most_connections: Largest number of connections, 0 for no bound. At the
            bound, connections that wait for requests give way to new ones.

    Returns:
        The listener, accepting connections.

    Raises:
        OSError: The address cannot be bound.
    """
    config = uvicorn.Config(
        app,
        # Not "auto": uvloop may use io_uring, which the VMs forbid.
        loop="asyncio",
        http=_protocol.bounded(
            head_bytes,
            head_seconds,
            stall_seconds,
            waiting_head_bytes,
            most_connections,
        ),
        lifespan="off",
        ws="none",
        access_log=False,
        log_config=None,
        server_header=False,
        date_header=False,
        # Client addresses in proxy headers are not trusted, so uvicorn need
        # not parse them.
        proxy_headers=False,
        timeout_keep_alive=_KEEP_ALIVE_SECONDS,
    )
    config.load()
    state = uvicorn_server.ServerState()
    loop = asyncio.get_running_loop()

    def create_protocol() -> asyncio.Protocol:
        protocol: asyncio.Protocol = config.http_protocol_class(  # type: ignore[call-arg]
            config=config, server_state=state, app_state={}, _loop=loop
        )
        return protocol

    listening_socket = _bind(host, port)
    server = await loop.create_server(
        create_protocol,
        sock=listening_socket,
        ssl=tls,
        backlog=_BACKLOG,
        ssl_handshake_timeout=head_seconds if tls else None,
    )
    return Listener(
        server, state, listening_socket.getsockname()[1], shutdown_seconds
    )


def _bind(host: str, port: int) -> socket.socket:
    # If the protocol number is 0, asyncio does not set TCP_NODELAY on accepted
    # connections. Head and body of a response then wait for each other's
    # acknowledgement, which added 40 ms to every request.
    listening_socket = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit the option.
    listening_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, _UNSENT_BYTES
    )
    listening_socket.bind((host, port))
    listening_socket.setblocking(False)
    return listening_socket
