"""Broken responses of targets, as callers of the daemon see them.

They are cut off, or their status is none.
"""

import asyncio
import contextlib

import pytest

from mimosastile_gateway import http_client
from mimosastile_standins import partitions
from mimosastile_standins import platform_world
from tests.gateway import worlds

_BODY = b"whole body"
_STREAMED = b"x" * (3 << 19)
"""Above the size up to which responses are buffered whole."""
_LENGTH = b"Content-Length: %d\r\n\r\n%b"
_STATUS = b"HTTP/1.1 200 OK\r\n%bX-Server-Seal: s\r\n"
_FRAMINGS = {
    "length": _STATUS + _LENGTH % (len(_BODY), _BODY),
    "chunks": _STATUS
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"6\r\nwhole \r\n4\r\nbody\r\n0\r\n\r\n",
    "interim": b"HTTP/1.1 103 Early Hints\r\n%b\r\n"
    + _STATUS
    + _LENGTH % (len(_BODY), _BODY),
    "continue": b"HTTP/1.1 100 Continue\r\n\r\n"
    + _STATUS
    + _LENGTH % (len(_BODY), _BODY),
    "close": _STATUS + b"Connection: close\r\n" + _LENGTH % (len(_BODY), _BODY),
    "http-1.0": (_STATUS + _LENGTH % (len(_BODY), _BODY)).replace(
        b"HTTP/1.1", b"HTTP/1.0"
    ),
}
"""Whole responses by framing, without the identifier of the request."""


class _Target:
    """A target that sends the first bytes of a response and closes.

    Attributes:
        response: The whole response.
        size: Number of bytes that it sends of it, None for all.
        keeps_open: Whether it leaves closing the connection to the daemon.
    """

    def __init__(self, response):
        self.response = response
        self.size = None
        self.keeps_open = False
        self._tasks = set()

    async def start(self):
        """Starts to listen; returns the server."""
        return await asyncio.start_server(self._serve, "127.0.0.1", 0)

    def stop(self):
        """Ends all connections."""
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            attempt = [
                line + b"\r\n"
                for line in head.split(b"\r\n")
                if line.lower().startswith(b"x-attempt-id:")
            ]
            whole = self.response
            if attempt:
                whole = whole.replace(b"%b", attempt[0])
            writer.write(whole[: self.size])
            await writer.drain()
            if self.keeps_open:
                await reader.read()
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()


async def _outcome(world, path="/issue/1"):
    """Sends a request; returns the response, None for a broken one."""
    try:
        return await world.send_request(path, None, "vm-0", 2000, "POST")
    except http_client.ResponseLostError:
        return None


async def _register(world, target, count=1):
    """Registers addresses of a target; returns their servers."""
    servers = [await target.start() for _ in range(count)]
    for number, server in enumerate(servers):
        host, port = server.sockets[0].getsockname()
        record = {
            **world.targets["k0"].registration(address=f"{host}:{port}"),
            "ServiceName": platform_world.PLAIN,
        }
        world.store.put(f"servers/cut-{number}", record)

    async def served():
        response = await _outcome(world)
        return response is not None and response.status == 200

    await world.wait_until(served)
    return servers


def _run(scenario, response, count=1, *, through_peer=False):
    async def main(world):
        target = _Target(response)
        servers = await _register(world, target, count)
        try:
            if through_peer:
                addresses = {
                    "{}:{}".format(*server.sockets[0].getsockname())
                    for server in servers
                }
                world.partitions["vm-0"].begin(
                    partitions.PartitionMode.RESET, addresses.__contains__
                )
            await scenario(world, target)
        finally:
            target.stop()
            for server in servers:
                server.close()
            await asyncio.sleep(0)

    worlds.run_scenario(main, vms=2, keyed=1, plain=0)


@pytest.mark.parametrize("framing", _FRAMINGS)
@pytest.mark.parametrize("through_peer", [False, True])
class TestCutResponses:
    """A target stops in the middle of its response and closes."""

    def test_never_complete(self, framing, through_peer):
        """Guards against a cut response that callers take for a whole one."""

        async def scenario(world, target):
            whole = target.response.replace(b"%b", b"X-Attempt-Id: a1000\r\n")
            for size in range(0, len(whole) - 8, 5):
                target.size = size
                response = await _outcome(world)
                assert response is None or response.status >= 500, size

        _run(scenario, _FRAMINGS[framing], through_peer=through_peer)


class TestInvalidStatuses:
    """A target responds with a status outside 100 to 599."""

    @pytest.mark.parametrize(
        "status", [b"000", b"001", b"099", b"600", b"999", b"00", b"2000"]
    )
    @pytest.mark.parametrize("through_peer", [False, True])
    def test_no_response(self, status, through_peer):
        """Guards against an invalid status that callers take for a response.

        Nor do they wait for another response, as behind an interim one.
        """

        async def scenario(world, target):
            target.response = target.response.replace(b"200 OK", status)
            target.keeps_open = True
            response = await _outcome(world)
            assert response.status == 502
            assert response.header(b"x-server-seal") is None

        _run(scenario, _FRAMINGS["length"], through_peer=through_peer)


class TestSeveralTargets:
    """All targets of a service cut their responses."""

    @pytest.mark.parametrize("size", [10, 40, 70])
    def test_several_targets(self, size):
        """Guards against a response made up of the parts of two."""

        async def scenario(world, target):
            target.size = size
            responses = await asyncio.gather(
                *(_outcome(world) for _ in range(20))
            )
            assert all(r is None or r.status >= 500 for r in responses)

        _run(scenario, _FRAMINGS["length"], count=3)


class TestStreamedBodies:
    """A body that is passed on while it arrives."""

    @pytest.mark.parametrize("cut", [1, 1000, 1 << 19])
    @pytest.mark.parametrize("chunked", [False, True])
    @pytest.mark.parametrize("through_peer", [False, True])
    def test_cut_while_streaming(self, cut, chunked, through_peer):
        """Guards against a streamed body whose cut looks like its end."""
        head = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(_STREAMED)
        response = _STATUS + (
            head + _STREAMED + b"\r\n0\r\n\r\n"
            if chunked
            else _LENGTH % (len(_STREAMED), _STREAMED)
        )

        async def scenario(world, target):
            for _ in range(3):
                target.size = None
                whole = await _outcome(world)
                assert whole.body == _STREAMED
                target.size = len(target.response) - cut
                broken = await _outcome(world)
                assert broken is None or broken.status >= 500

        _run(scenario, response, through_peer=through_peer)


class TestEmptyBody:
    """A response whose length is zero is whole, whatever follows."""

    def test_bytes_after_it(self):
        """Guards against bytes after an empty body that reach a caller."""
        response = _STATUS + _LENGTH % (0, _BODY)

        async def scenario(world, target):
            for _ in range(20):
                answer = await _outcome(world)
                assert answer.status == 200
                assert answer.body == b""

        _run(scenario, response)
