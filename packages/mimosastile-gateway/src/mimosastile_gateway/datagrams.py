"""Admission messages between entry VMs, one UDP datagram each.

Each request to a contended target needs a permit, which is requested, granted
and returned. Over HTTP these messages take almost a kilobyte, as much as many a
request itself, and half of it crosses the link between regions. Datagrams may
be lost; a sender that needs a response sends its message again.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
import result

from mimosastile_core import decoding
from mimosastile_core.gateway import admission
from mimosastile_gateway import events


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks an admission gate for a permit for a request to a target.

    Attributes:
        target: Identifier of the target.
        number: Number of the request, unique at the sender.
        priority: Priority of the request; 0 is the most urgent.
        on_time_ms: Milliseconds within which its response is on time.
        remaining_ms: Milliseconds until its deadline.
        work_ms: Expected running time of such requests, in milliseconds.
        unpermitted: Number of the sender's requests that run at the target
            without a permit.
    """

    target: str
    number: int
    priority: int
    on_time_ms: int
    remaining_ms: int
    work_ms: int
    unpermitted: int


class Decision(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An admission gate's decision on a request.

    Attributes:
        number: Number of the request at the VM that sent it.
        verdict: The verdict; None if the gate does not run the admission queue
            of the target.
        wait_ms: Expected milliseconds until the request is admitted.
        found: Number of requests at the target when it was admitted, itself
            included; 0 if unknown.
    """

    number: int
    verdict: admission.Verdict | None
    wait_ms: int
    found: int = 0


class ReturnedPermits(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Returns permits, and withdraws requests that no longer wait.

    Attributes:
        answered: Numbers of the requests that targets responded to, by target.
        unanswered: Numbers of all other ended requests, by target.
    """

    answered: dict[str, list[int]]
    unanswered: dict[str, list[int]]


Message = PermitRequest | Decision | ReturnedPermits
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class Channel(asyncio.DatagramProtocol):
    """Sends and receives admission messages on one UDP port."""

    __slots__ = ("_events", "_receive", "_transport")

    def __init__(self, log: events.EventLog) -> None:
        """Creates a channel that is not open yet."""
        self._events = log
        self._receive: Callable[[str, Message], None] | None = None
        self._transport: asyncio.DatagramTransport | None = None

    async def open(
        self, address: str, receive: Callable[[str, Message], None]
    ) -> None:
        """Opens the UDP port.

        Args:
            address: Host and port to listen on.
            receive: Called with the sender's address and each message.
        """
        self._receive = receive
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )

    def close(self) -> None:
        """Closes the port; later messages are neither received nor sent."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, address: str, message: Message) -> None:
        """Sends a message; it may be lost."""
        if self._transport is not None:
            host, _, port = address.rpartition(":")
            self._transport.sendto(_ENCODER.encode(message), (host, int(port)))

    # Callbacks of the event loop.

    def connection_made(self, transport: Any) -> None:
        """Stores the transport of the open port."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Decodes a datagram and passes it to the receiver."""
        sender = f"{addr[0]}:{addr[1]}"
        read = decoding.decode(_DECODER.decode, data)
        if isinstance(read, result.Err):
            self._events.write(
                "peers", "message_unreadable", peer=sender, why=read.err_value
            )
            return
        if self._receive is not None:
            self._receive(sender, read.ok_value)

    def error_received(self, exc: Exception) -> None:
        """Logs that an earlier datagram was not delivered."""
        # A caller that waits for a response times out.
        self._events.write("peers", "datagram_lost", why=str(exc))
