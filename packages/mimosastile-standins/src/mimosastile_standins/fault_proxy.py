"""A loopback proxy between a process and what it calls, with faults."""

import asyncio
import contextlib
import enum
import socket
import struct

_PIECE = 1 << 16
_STOP_PAUSE = 0.01
"""Seconds between two looks whether all connections have ended."""
_RESET = struct.pack("ii", 1, 0)


class LinkFault(enum.Enum):
    """What a link does to what crosses it."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    CUT_THERE = "cut there"
    CUT_BACK = "cut back"

    def stops(self, *, back: bool) -> bool:
        """Whether nothing passes in a direction."""
        one_way = LinkFault.CUT_BACK if back else LinkFault.CUT_THERE
        return self in (LinkFault.SILENT, one_way)


class FaultProxy:
    """Passes TCP connections on, as well as its fault lets it.

    A connection that was open while a link was silent stays silent for good,
    as one that a firewall has forgotten: only new ones work afterwards.

    Attributes:
        fault: What the link does now; set it with `set_fault`.
    """

    __slots__ = ("_connections", "_delay", "_server", "_target", "fault")

    def __init__(self, target: str) -> None:
        """Makes one that does not listen yet.

        Args:
            target: Host and port that connections go to.
        """
        self._target = target
        self._delay = 0.0
        self._connections: set[_Pair] = set()
        self._server: asyncio.Server | None = None
        self.fault = LinkFault.NONE

    @property
    def delay(self) -> float:
        """Seconds that each piece waits."""
        return self._delay if self.fault is LinkFault.DELAY else 0.0

    async def start(self) -> str:
        """Listens on loopback; returns the address."""
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0, limit=_PIECE
        )
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Ends all connections and stops listening."""
        if self._server is not None:
            self._server.close()
        while self._connections:
            for pair in list(self._connections):
                pair.reset()
            await asyncio.sleep(_STOP_PAUSE)

    def set_fault(self, fault: LinkFault, delay: float = 0.0) -> None:
        """Changes what the link does.

        Args:
            fault: The fault; NONE heals it.
            delay: Seconds that each piece waits, for DELAY.
        """
        self.fault = fault
        self._delay = delay
        for pair in list(self._connections):
            if fault is LinkFault.RESET:
                pair.reset()
            pair.note(fault)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        pair = _Pair(self, reader, writer)
        self._connections.add(pair)
        try:
            await pair.run(self._target)
        finally:
            self._connections.discard(pair)


class _Pair:
    """One connection and its continuation."""

    __slots__ = ("_muted", "_proxy", "_reader", "_writer", "_writers")

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
        self.note(proxy.fault)

    def note(self, fault: LinkFault) -> None:
        """Mutes directions that a fault stops, for good."""
        self._muted |= {b for b in (False, True) if fault.stops(back=b)}

    def reset(self) -> None:
        """Resets both ends."""
        for writer in self._writers:
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            writer.transport.abort()

    async def run(self, target: str) -> None:
        """Passes bytes both ways until one end closes."""
        if self._proxy.fault is LinkFault.RESET:
            self.reset()
            return
        host, _, port = target.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=_PIECE
            )
        except OSError:
            self.reset()
            return
        self._writers.append(writer)
        with contextlib.suppress(OSError):
            await asyncio.gather(
                self._pass(self._reader, writer, back=False),
                self._pass(reader, self._writer, back=True),
            )
        for each in self._writers:
            each.close()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        back: bool,
    ) -> None:
        while piece := await reader.read(_PIECE):
            if self._proxy.delay:
                await asyncio.sleep(self._proxy.delay)
            if back in self._muted:
                continue
            writer.write(piece)
            await writer.drain()
        if back not in self._muted and writer.can_write_eof():
            writer.write_eof()
