"""Small messages between entry VMs in single datagrams.

A place at a contended target is asked for, given and given back with each
request. Over HTTP that is most of a kilobyte, as much as many a request itself,
and half of it crosses the link between regions. Datagrams may be lost; whoever
needs an answer asks again.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from mimosastile_core.gateway import admission
from mimosastile_gateway import events


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A request that wants a place at a contended target.

    Attributes:
        target: The target.
        number: Tells the sender's requests apart.
        priority: Its rank; 0 is the most urgent.
        on_time: Milliseconds within which its answer is on time.
        left: Milliseconds until its deadline.
        work: Milliseconds that such requests run for.
        held: Requests that the sender has at the target without a place.
    """

    target: str
    number: int
    priority: int
    on_time: int
    left: int
    work: int
    held: int


class Decision(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """What becomes of a request.

    Attributes:
        number: The asker's number of it.
        verdict: The verdict; None if the sender admits nobody to the target.
        wait: Milliseconds until it can be expected to be admitted.
    """

    number: int
    verdict: admission.Verdict | None
    wait: int


class Done(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Places that are given back, and requests that wait no more.

    Attributes:
        answered: Targets with the sender's numbers of requests that they have
            answered.
        others: The same of requests that they have not answered.
    """

    answered: dict[str, list[int]]
    others: dict[str, list[int]]


Message = Ask | Decision | Done
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class Channel(asyncio.DatagramProtocol):
    """Sends and receives messages on one UDP port."""

    __slots__ = ("_events", "_receive", "_transport")

    def __init__(self, log: events.Events) -> None:
        """Makes one that is not open."""
        self._events = log
        self._receive: Callable[[str, Message], None] | None = None
        self._transport: asyncio.DatagramTransport | None = None

    async def open(
        self, address: str, receive: Callable[[str, Message], None]
    ) -> None:
        """Begins to receive.

        Args:
            address: Host and port.
            receive: Takes the sender's address and a message.
        """
        self._receive = receive
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )

    def close(self) -> None:
        """Receives and sends nothing more."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, address: str, message: Message) -> None:
        """Sends a message; it may be lost."""
        if self._transport is not None:
            host, _, port = address.rpartition(":")
            self._transport.sendto(_ENCODER.encode(message), (host, int(port)))

    # What follows is called by the event loop.

    def connection_made(self, transport: Any) -> None:
        """Takes the open port."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Takes a datagram."""
        sender = f"{addr[0]}:{addr[1]}"
        try:
            message = _DECODER.decode(data)
        except msgspec.DecodeError as error:
            self._events.write(
                "peers", "message_unreadable", peer=sender, why=str(error)
            )
            return
        if self._receive is not None:
            self._receive(sender, message)

    def error_received(self, exc: Exception) -> None:
        """Notes that an earlier datagram was not taken."""
        # Whoever waits for its answer notices the silence.
        self._events.write("peers", "datagram_lost", why=str(exc))
