"""Connections of the HTTP client: which may be used again, and how long."""

import select
import socket
from typing import Any

import aiohttp
from aiohttp import client_proto

from mimosastile_entry import settings

_KEEPALIVE_PROBES = 3
_OPENED = "mimosastile_opened"
"""Attribute of a connection's protocol: loop time at which it was opened."""


class Connector(aiohttp.TCPConnector):
    """The connections to one address, within a limit.

    A connection is used again only if it is young, was not opened before the
    address became suspect, and nothing waits to be read on it.
    """

    def __init__(
        self,
        limit: int,
        configured: settings.ConnectionSettings,
        ssl: Any = True,
    ) -> None:
        """Makes a connector without connections.

        Args:
            limit: Most connections open at a time, 0 for no limit.
            configured: Ages and timeouts.
            ssl: TLS context of the client's side, or True for the default.
        """
        super().__init__(
            limit=limit,
            ssl=ssl,
            keepalive_timeout=configured.idle,
            # Addresses are IP numbers: no resolver, no race of families.
            use_dns_cache=False,
            happy_eyeballs_delay=None,
            socket_factory=_socket_factory(configured),
        )
        self._max_age = configured.max_age
        self._suspect_before = 0.0

    def suspect(self) -> None:
        """Uses no connection again that is open now.

        Something between the ends may have lost track of a connection. Bytes
        then vanish without a sign, seen as an exchange without progress while
        new connections work. Others opened in the same time are likely to
        have met the same fate, so each is replaced before its next use.
        """
        self._suspect_before = self._loop.time()

    async def connect(
        self, req: Any, traces: list[Any], timeout: aiohttp.ClientTimeout
    ) -> Any:
        """Returns a sound connection, opening one if there is none."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            assert protocol is not None
            now = self._loop.time()
            # Kept with the connection itself: it costs no second table.
            opened = vars(protocol).setdefault(_OPENED, now)
            if opened == now or self._is_sound(protocol, now - opened, opened):
                return connection
            connection.close()

    def _is_sound(
        self,
        protocol: client_proto.ResponseHandler,
        age: float,
        opened: float,
    ) -> bool:
        return (
            age <= self._max_age
            and opened > self._suspect_before
            and not protocol.should_close
            and not _is_readable(protocol)
        )


def _is_readable(protocol: client_proto.ResponseHandler) -> bool:
    # An idle connection has nothing to say. Bytes on it are a second or late
    # answer to an earlier request, which the next caller would get as its
    # own; an end of file is a server that has closed it meanwhile.
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

    def make(address: Any) -> socket.socket:
        family, kind, protocol, *_ = address
        # Without the protocol, asyncio does not set TCP_NODELAY.
        made = socket.socket(family, kind, protocol or socket.IPPROTO_TCP)
        # Packets that vanish are told from a slow server by the kernel: the
        # other end's kernel acknowledges what a busy process has not read
        # yet. Without this a lost path is noticed after minutes.
        tcp = socket.IPPROTO_TCP
        made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        made.setsockopt(tcp, socket.TCP_KEEPIDLE, idle)
        made.setsockopt(tcp, socket.TCP_KEEPINTVL, idle)
        made.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
        made.setsockopt(tcp, socket.TCP_USER_TIMEOUT, unacknowledged)
        made.setblocking(False)
        return made

    return make
