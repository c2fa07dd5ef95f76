"""Connector of the HTTP client: reuse and keepalive of connections."""

import select
import socket
from typing import Any

import aiohttp
from aiohttp import client_proto

from mimosastile_entry import settings

_KEEPALIVE_PROBES = 3
_OPENED = "mimosastile_opened"
"""Attribute of a connection's protocol with the loop time of its opening."""


class Connector(aiohttp.TCPConnector):
    """Connections to one address, limited in number.

    A connection is reused only if it is below the maximum age, was opened
    after the last invalidation, and has no unread bytes.
    """

    def __init__(
        self,
        limit: int,
        configured: settings.ConnectionSettings,
        ssl: Any = True,
    ) -> None:
        """Initializes a connector without connections.

        Args:
            limit: Maximum number of open connections, 0 for no limit.
            configured: Maximum ages and timeouts.
            ssl: TLS context of the client, or True for the default.
        """
        super().__init__(
            limit=limit,
            ssl=ssl,
            keepalive_timeout=configured.idle,
            # Hosts are IP addresses: no DNS and no race of address families.
            use_dns_cache=False,
            happy_eyeballs_delay=None,
            socket_factory=_socket_factory(configured),
        )
        self._max_age = configured.max_age
        self._invalid_before = 0.0

    def invalidate_connections(self) -> None:
        """Prevents the reuse of all connections that are open now.

        A network device on the path may have dropped the state of a
        connection. Its packets are then lost silently: an exchange makes no
        progress while new connections work. Other connections opened before
        are likely to be affected too, so each is replaced before its next use.
        """
        self._invalid_before = self._loop.time()

    async def connect(
        self, req: Any, traces: list[Any], timeout: aiohttp.ClientTimeout
    ) -> Any:
        """Returns a reusable connection, or opens a new one."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            assert protocol is not None
            now = self._loop.time()
            # Stored on the protocol itself, which saves a second table.
            opened = vars(protocol).setdefault(_OPENED, now)
            if opened == now or self._is_reusable(
                protocol, now - opened, opened
            ):
                return connection
            connection.close()

    def _is_reusable(
        self,
        protocol: client_proto.ResponseHandler,
        age: float,
        opened: float,
    ) -> bool:
        return (
            age <= self._max_age
            and opened > self._invalid_before
            and not protocol.should_close
            and not _is_readable(protocol)
        )


def _is_readable(protocol: client_proto.ResponseHandler) -> bool:
    # Nothing is due on an idle connection. Bytes on it are a second or late
    # response to an earlier request, which the next caller would get as its
    # own; an end of file means that the server has closed the connection.
    transport = protocol.transport
    found = transport.get_extra_info("socket") if transport else None
    if found is None:
        return True
    poll = select.poll()
    poll.register(found.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _socket_factory(configured: settings.ConnectionSettings) -> Any:
    idle = max(1, int(configured.connect))
    unacknowledged = int(configured.connect * (1 + _KEEPALIVE_PROBES) * 1000)

    def create(address: Any) -> socket.socket:
        family, kind, protocol, *_ = address
        # Without the protocol, asyncio does not set TCP_NODELAY.
        created = socket.socket(family, kind, protocol or socket.IPPROTO_TCP)
        # The kernel distinguishes lost packets from a slow server: the
        # remote kernel acknowledges bytes that a busy process has not read
        # yet. Without these options a lost path is detected after minutes.
        tcp = socket.IPPROTO_TCP
        created.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        created.setsockopt(tcp, socket.TCP_KEEPIDLE, idle)
        created.setsockopt(tcp, socket.TCP_KEEPINTVL, idle)
        created.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
        created.setsockopt(tcp, socket.TCP_USER_TIMEOUT, unacknowledged)
        created.setblocking(False)
        return created

    return create
