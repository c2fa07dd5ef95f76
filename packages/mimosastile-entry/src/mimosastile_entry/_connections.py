"""Connector of the HTTP client: reuse, keepalive, and matched responses."""

import asyncio
import functools
import select
import socket
from typing import Any
from typing import cast

from absl import logging
import aiohttp
from aiohttp import client_proto
from aiohttp import hdrs
from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams

from mimosastile_core import input_limits
from mimosastile_core import response_matching
from mimosastile_core import response_statuses
from mimosastile_entry import _wire
from mimosastile_entry import settings

_PREFIX = "client:"
_KEEPALIVE_PROBES = 3
_MAX_DISCARDED_RESPONSES = 256
"""Interim and late responses that are discarded while a request is pending."""
_READ_BUFFER = memoryview(bytearray(input_limits.READ_BYTES))
"""Shared by all connections: what was read is copied before the next read. It
bounds what one connection receives at a time, and so the objects and error
messages that the parser makes of it."""
_OPENED = "mimosastile_opened"
"""Attribute of a connection's protocol with the loop time of its opening."""


class ForeignResponseError(aiohttp.ClientConnectionError):
    """A response arrived that perhaps belongs to another request."""


class _ResponseHandler(client_proto.ResponseHandler, asyncio.BufferedProtocol):
    """A connection that skips responses to other requests.

    Attributes:
        history: The requests sent on it.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, connector: "Connector"
    ) -> None:
        """Initializes a connection that is not open yet.

        Args:
            loop: The event loop.
            connector: Counts responses that are not plainly matched.
        """
        super().__init__(loop)
        self.history = response_matching.ConnectionHistory()
        self._discarded = 0
        self._connector = connector

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer to read into."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parses the bytes that were read into the buffer."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def begin(self, send_id: str) -> None:
        """Records that a request is sent.

        Args:
            send_id: Identifier that its response repeats.
        """
        self._discarded = 0
        self.history.begin(send_id)

    async def read(
        self,
    ) -> tuple[http_parser.RawResponseMessage, streams.StreamReader]:
        """Returns the next response that belongs to the pending request.

        Raises:
            ForeignResponseError: None can be told to belong to it.
            http_exceptions.HttpProcessingError: Too many others came before.
        """
        while True:
            message, payload = await super().read()
            self._discarded += 1
            if self._discarded > _MAX_DISCARDED_RESPONSES:
                self.force_close()
                raise http_exceptions.HttpProcessingError(
                    message="too many interim responses"
                )
            if response_statuses.is_interim(message.code):
                return message, payload
            match = self.history.match(
                message.headers.getall(_wire.SEND_ID, ())
            )
            if not self.history.reusable:
                transport = self.transport
                self._connector.count_unidentified(
                    transport and transport.get_extra_info("peername")
                )
                self.force_close()
            if match is response_matching.Match.OWN:
                return message, payload
            self._connector.counts.unmatched += 1
            if match is response_matching.Match.UNKNOWN:
                raise ForeignResponseError("a response without an identifier")
            await _discard(message, payload)


class Connector(aiohttp.TCPConnector):
    """Connections to one address, limited in number.

    A connection is reused only if it is below the maximum age, was opened
    after the last invalidation, has no unread bytes, and its responses have
    repeated the identifiers of their requests.

    Attributes:
        counts: Counts of responses that were not plainly matched.
    """

    def __init__(
        self,
        limit: int,
        configured: settings.ConnectionSettings,
        ssl: Any = True,
        counts: response_matching.ResponseCounts | None = None,
        *,
        reuses: bool = True,
    ) -> None:
        """Initializes a connector without connections.

        Args:
            limit: Maximum number of open connections, 0 for no limit.
            configured: Maximum ages and timeouts.
            ssl: TLS context of the client, or True for the default.
            counts: Counts shared with other connectors.
            reuses: Whether a connection may carry more than one request.
        """
        super().__init__(
            limit=limit,
            ssl=ssl,
            keepalive_timeout=configured.idle if reuses else None,
            force_close=not reuses,
            # Hosts are IP addresses: no DNS and no race of address families.
            use_dns_cache=False,
            happy_eyeballs_delay=None,
            socket_factory=_socket_factory(configured),
        )
        self._factory = cast(
            "functools.partial[client_proto.ResponseHandler]",
            functools.partial(
                _ResponseHandler, loop=self._loop, connector=self
            ),
        )
        self._max_age = configured.max_age
        self._invalid_before = 0.0
        self._has_warned = False
        self.counts = counts or response_matching.ResponseCounts()

    def count_unidentified(self, peer: object) -> None:
        """Counts a response without an identifier; logs the first one.

        Args:
            peer: Address of the server that sent it.
        """
        self.counts.unidentified += 1
        if not self._has_warned:
            self._has_warned = True
            logging.warning(
                "%s %s responds without %s; its connections are not reused.",
                _PREFIX,
                peer,
                _wire.SEND_ID,
            )

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
        """Returns a reusable connection, or opens a new one.

        Raises:
            aiohttp.ClientConnectorError: No connection could be opened, or a
                new one received bytes before any request.
        """
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            assert isinstance(protocol, _ResponseHandler)
            now = self._loop.time()
            # Stored on the protocol itself, which saves a second table.
            opened = vars(protocol).setdefault(_OPENED, now)
            if opened == now and protocol.should_close:
                connection.close()
                raise aiohttp.ClientConnectorError(
                    req.connection_key, OSError("bytes before any request")
                )
            if opened == now or self._is_reusable(
                protocol, now - opened, opened
            ):
                protocol.begin(req.headers.get(_wire.SEND_ID, ""))
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


async def _discard(
    message: http_parser.RawResponseMessage, payload: streams.StreamReader
) -> None:
    """Reads the body of a response to another request and drops it.

    Raises:
        ForeignResponseError: Only the end of the connection would end it.
    """
    framed = message.chunked or hdrs.CONTENT_LENGTH in message.headers
    if not framed and not payload.is_eof():
        raise ForeignResponseError("an unterminated response")
    while not payload.at_eof():
        await payload.readany()


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
