"""Loopback TCP proxy that injects faults into the connections it forwards."""

import asyncio
from collections.abc import Callable
import contextlib
import enum
import socket
import struct

_CHUNK_BYTES = 1 << 16
_STOP_POLL_SECONDS = 0.01
"""Seconds between checks whether all connections have ended."""
_METHODS = (b"GET ", b"POST ", b"PUT ")
_LINGER_RESET = struct.pack("ii", 1, 0)


class LinkFault(enum.Enum):
    """Faults of a link."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    CUT_THERE = "cut there"
    CUT_BACK = "cut back"

    def stops(self, *, back: bool) -> bool:
        """Whether the fault drops all data in a direction."""
        one_way = LinkFault.CUT_BACK if back else LinkFault.CUT_THERE
        return self in (LinkFault.SILENT, one_way)


class FaultProxy:
    """Forwards TCP connections, subject to the current fault.

    A connection that was open while the link was silent stays silent, like one
    whose state a firewall has dropped. Only new connections work afterwards.

    Attributes:
        fault: Current fault; change it with `set_fault`.
        copies_answer: Decides for each request on a connection whether a copy
            of the answer to the former one comes before its own.
        crosses_answer: Decides whether that copy is of the latest answer on
            any connection.
        endless: What is sent in answer to each request, and what follows it
            until the connection is closed; None to forward requests.
        copies: Number of copies sent.
        latest_answer: The latest answer on any connection.
    """

    __slots__ = (
        "_connections",
        "_delay",
        "_server",
        "_target",
        "copies",
        "copies_answer",
        "crosses_answer",
        "endless",
        "fault",
        "latest_answer",
    )

    def __init__(self, target: str) -> None:
        """Initializes a proxy that does not listen yet.

        Args:
            target: Host and port to which connections are forwarded.
        """
        self._target = target
        self._delay = 0.0
        self._connections: set[_ConnectionPair] = set()
        self._server: asyncio.Server | None = None
        self.fault = LinkFault.NONE
        self.copies_answer: Callable[[], bool] = _copies_none
        self.crosses_answer: Callable[[], bool] = _copies_none
        self.endless: tuple[bytes, bytes] | None = None
        self.copies = 0
        self.latest_answer = b""

    @property
    def delay(self) -> float:
        """Seconds by which each chunk is delayed."""
        return self._delay if self.fault is LinkFault.DELAY else 0.0

    async def start(self) -> str:
        """Listens on the loopback interface and returns the address."""
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0, limit=_CHUNK_BYTES
        )
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Resets all connections and stops listening."""
        if self._server is not None:
            self._server.close()
        while self._connections:
            for pair in list(self._connections):
                pair.reset()
            await asyncio.sleep(_STOP_POLL_SECONDS)

    def stop_copies(self) -> None:
        """Sends no more copies of answers."""
        self.copies_answer = self.crosses_answer = _copies_none

    def set_fault(self, fault: LinkFault, delay: float = 0.0) -> None:
        """Sets the fault of the link.

        Args:
            fault: The fault; NONE removes it.
            delay: Seconds by which DELAY delays each chunk.
        """
        self.fault = fault
        self._delay = delay
        for pair in list(self._connections):
            if fault is LinkFault.RESET:
                pair.reset()
            pair.apply_fault(fault)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        pair = _ConnectionPair(self, reader, writer)
        self._connections.add(pair)
        try:
            await pair.run(self._target)
        finally:
            self._connections.discard(pair)


class _ConnectionPair:
    """An accepted connection and the one that it is forwarded to."""

    __slots__ = (
        "_answer",
        "_muted",
        "_proxy",
        "_reader",
        "_writer",
        "_writers",
    )

    def __init__(
        self,
        proxy: FaultProxy,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._proxy = proxy
        self._reader = reader
        self._writer = writer
        self._writers = [writer]
        self._muted: set[bool] = set()
        self._answer = b""
        self.apply_fault(proxy.fault)

    def apply_fault(self, fault: LinkFault) -> None:
        """Mutes permanently the directions that a fault stops."""
        self._muted |= {b for b in (False, True) if fault.stops(back=b)}

    def reset(self) -> None:
        """Resets both connections."""
        for writer in self._writers:
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
                )
            writer.transport.abort()

    async def run(self, target: str) -> None:
        """Forwards bytes in both directions until one end closes."""
        if self._proxy.fault is LinkFault.RESET:
            self.reset()
            return
        host, _, port = target.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=_CHUNK_BYTES
            )
        except OSError:
            self.reset()
            return
        self._writers.append(writer)
        with contextlib.suppress(OSError):
            await asyncio.gather(
                self._forward(self._reader, writer, back=False),
                self._forward(reader, self._writer, back=True),
            )
        for each in self._writers:
            each.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        back: bool,
    ) -> None:
        while chunk := await reader.read(_CHUNK_BYTES):
            if self._proxy.delay:
                await asyncio.sleep(self._proxy.delay)
            if back in self._muted:
                continue
            if back:
                self._answer = self._proxy.latest_answer = chunk
            elif chunk.startswith(_METHODS):
                if self._proxy.endless is not None:
                    await self._send_endlessly(*self._proxy.endless)
                self._copy_answer()
            writer.write(chunk)
            await writer.drain()
        if back not in self._muted and writer.can_write_eof():
            writer.write_eof()

    async def _send_endlessly(self, beginning: bytes, repeated: bytes) -> None:
        """Writes to the client until it closes the connection.

        Raises:
            OSError: It has closed the connection.
        """
        self._writer.write(beginning)
        while True:
            self._writer.write(repeated)
            await self._writer.drain()
            await asyncio.sleep(0)

    def _copy_answer(self) -> None:
        """Sends the former answer again where the next one is expected."""
        proxy = self._proxy
        answer = self._answer
        if answer and proxy.crosses_answer():
            answer = proxy.latest_answer
        # An answer in several chunks cannot be copied as a whole.
        if answer.startswith(b"HTTP/") and proxy.copies_answer():
            proxy.copies += 1
            self._writer.write(answer)


def _copies_none() -> bool:
    """Copies no answers."""
    return False
