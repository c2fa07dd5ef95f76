"""Connections that open more slowly than a call waits for them."""

import asyncio
import itertools

import pytest
import result

from mimosastile_gateway import connection_attempts
from mimosastile_gateway import http_client
from mimosastile_gateway import peer_calls
from mimosastile_gateway import settings
from mimosastile_platform import store
from mimosastile_standins import virtual
from tests.gateway import fakes

ADDRESS = "127.0.0.1:1"
_PAUSE_SECONDS = 0.3
"""Pause between two calls."""


class _Transport(asyncio.Transport):
    """A transport that responds to each request at once."""

    def __init__(self, protocol):
        super().__init__()
        self._protocol = protocol
        self.closed = False

    def write(self, data):
        """Responds to a request."""
        body = b'{"Key": "k", "Revision": 1}'
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        asyncio.get_running_loop().call_soon(
            self._protocol.data_received, response + body
        )

    def set_write_buffer_limits(self, high=None, low=None):
        """Ignores the limits."""

    def get_write_buffer_size(self):
        """Returns that nothing is buffered."""
        return 0

    def is_closing(self):
        """Whether the transport was closed."""
        return self.closed

    def close(self):
        """Closes the transport."""
        self.closed = True

    def abort(self):
        """Closes the transport."""
        self.closed = True


class _Network:
    """Opens connections after given times.

    Attributes:
        opening: Attempts that have not ended.
        transports: Transports of the connections that were opened.
    """

    def __init__(self, monkeypatch, seconds):
        self._seconds = iter(seconds)
        self.opening = 0
        self.transports = []
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "create_connection", self._connect)

    async def _connect(self, make_protocol, host, port):
        protocol = make_protocol()
        self.opening += 1
        try:
            seconds = next(self._seconds)
            if seconds is None:
                raise ConnectionRefusedError
            await asyncio.sleep(seconds)
        finally:
            self.opening -= 1
        transport = _Transport(protocol)
        protocol.connection_made(transport)
        self.transports.append(transport)
        return transport, protocol


async def _call_store(pool):
    """Reads a key of the store; returns whether it responded."""
    configured = settings.StoreSettings(address=ADDRESS)
    read = await store.StoreClient(pool, configured).read("k")
    return isinstance(read, result.Ok)


async def _call_peer(pool):
    """Calls a peer; returns whether it responded."""
    calls = peer_calls.PeerCalls(pool, fakes.MemoryEvents())
    return await calls.call(ADDRESS, "/report", b"{}", 0.4) is not None


async def _reached(pool, call, tries):
    """Makes calls until one gets a response; returns how many failed."""
    for failed in range(tries):
        if await call(pool):
            return failed
        await asyncio.sleep(_PAUSE_SECONDS)
    raise AssertionError(f"no response to {tries} calls")


_CALLS = pytest.mark.parametrize("call", [_call_store, _call_peer])


class TestSlowLink:
    """A link on which a round trip takes longer than a call waits."""

    @_CALLS
    @pytest.mark.parametrize("seconds", [0.7, 1.0, 1.7, 2.5])
    def test_reached(self, monkeypatch, call, seconds):
        """Guards against VMs that never reach a remote end over a full link."""

        async def main():
            network = _Network(monkeypatch, itertools.repeat(seconds))
            pool = http_client.Pool(2.0)
            await _reached(pool, call, 6)
            assert virtual.now() < seconds + 1.0
            # Further calls use that connection.
            opened = len(network.transports)
            assert await _reached(pool, call, 1) == 0
            pool.close()
            await asyncio.sleep(4.0)
            assert network.opening == 0
            assert len(network.transports) - opened <= 3
            assert all(transport.closed for transport in network.transports)

        virtual.run(main())

    def test_abandoned_attempts_are_bounded(self, monkeypatch):
        """Guards against sockets for every VM that a cut-off leader calls."""

        async def main():
            network = _Network(monkeypatch, itertools.repeat(10.0))
            pool = http_client.Pool(2.0)
            calls = peer_calls.PeerCalls(pool, fakes.MemoryEvents())
            await asyncio.gather(
                *(
                    calls.call(f"127.0.0.1:{port}", "/report", b"{}", 0.4)
                    for port in range(1, 301)
                )
            )
            assert network.opening <= 64
            await asyncio.sleep(4.0)
            assert network.opening == 0

        virtual.run(main())

    @_CALLS
    def test_expired_attempts(self, monkeypatch, call):
        """Guards against calls that fail early with an attempt before them."""

        async def main():
            _Network(monkeypatch, itertools.repeat(10.0))
            pool = http_client.Pool(2.0)
            took = []
            for _ in range(12):
                began = virtual.now()
                assert not await call(pool)
                took.append(virtual.now() - began)
                # Attempts then end while a later call waits.
                await asyncio.sleep(0.25)
            assert min(took) == pytest.approx(took[0])
            pool.close()

        virtual.run(main())

    def test_ended_calls_are_forgotten(self):
        """Guards against memory that grows with calls that got nothing."""

        async def never(address, seconds):
            await asyncio.Event().wait()

        async def main():
            attempts = connection_attempts.ConnectionAttempts(never, None)
            for _ in range(3):
                with pytest.raises(TimeoutError):
                    await attempts.first(ADDRESS, 0.3)
            assert not attempts._waiting
            attempts.close()

        virtual.run(main())

    def test_cancelled_call(self, monkeypatch):
        """Guards against connections that are lost with a cancelled call."""

        async def main():
            network = _Network(monkeypatch, itertools.repeat(0.2))
            pool = http_client.Pool(2.0)
            for seconds in (0.1, 0.2, 0.21):
                call = asyncio.create_task(_call_peer(pool))
                await asyncio.sleep(seconds)
                call.cancel()
            await asyncio.sleep(1.0)
            pool.close()
            assert network.opening == 0
            assert all(transport.closed for transport in network.transports)

        virtual.run(main())


class TestRefusal:
    """A remote end that refuses connections."""

    @_CALLS
    def test_reported_at_once(self, monkeypatch, call):
        """Guards against calls that wait although nothing listens."""

        async def main():
            _Network(monkeypatch, itertools.repeat(None))
            pool = http_client.Pool(2.0)
            assert not await call(pool)
            assert virtual.now() == 0.0

        virtual.run(main())
