"""Large, slow and endless messages through a daemon.

The tests wait for conditions, and assert nothing about durations.
"""

import asyncio
import hashlib

import pytest

from mimosastile_gateway import http_server
from mimosastile_standins import partitions
from mimosastile_standins import platform_target
from mimosastile_standins import platform_world
from tests.gateway import worlds

_BODY = b"".join(number.to_bytes(4, "big") for number in range(1 << 18))
_BLOCK = bytes(64 << 10)


class _Target(platform_target.PlatformTarget):
    """Hashes bodies, or answers without end."""

    async def _respond(self, incoming):
        response = await super()._respond(incoming)
        if incoming.target == b"/issue/endless":
            response.body_stream = self._endless()
        if incoming.target == b"/issue/hash":
            digest = hashlib.sha256(incoming.body).hexdigest().encode()
            response.headers += ((b"x-digest", digest),)
        return response

    async def _handle(self, incoming):
        return await self._respond(incoming)

    async def _endless(self):
        while True:
            yield _BLOCK


async def _add_target(world):
    target = _Target("endless", platform_world.PLAIN, world.runs, slots=40)
    await target.start()
    world.targets[target.id] = target
    world.store.put(f"servers/{target.id}", target.registration())


async def _open(world, head, vm="vm-0"):
    host, port = world.addresses[vm].split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        head + b"\r\nHost: " + platform_world.HOST.encode() + b"\r\n"
        b"X-Attempt-Id: own\r\nX-Deadline-Ms: 1000\r\nConnection: close\r\n"
    )
    return reader, writer


async def _digest(world, framing, vm="vm-0"):
    """Returns the digest of the body that the target received."""
    reader, writer = await _open(world, b"POST /issue/hash HTTP/1.1", vm)
    writer.write(framing)
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    lines = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
    return lines.get(b"x-digest", head)


def _with_length(body):
    return b"Content-Length: %d\r\n\r\n" % len(body) + body


def _chunked(body):
    pieces = (body[at : at + 5000] for at in range(0, len(body), 5000))
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces)
    return b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


class TestLargeBodies:
    """Bodies that are sent on in blocks."""

    @pytest.mark.parametrize("encode", [_with_length, _chunked])
    @pytest.mark.parametrize("forwarded", [False, True])
    def test_unchanged(self, encode, forwarded):
        """Guards against blocks that are lost, repeated or out of order."""
        expected = hashlib.sha256(_BODY).hexdigest().encode()

        async def scenario(world):
            await _add_target(world)
            if forwarded:
                world.cut_targets("vm-0", partitions.PartitionMode.RESET)

            async def arrives():
                return await _digest(world, encode(_BODY)) == expected

            # Messages between VMs are counted too while they are handled.
            async def released():
                held = [d.dump()["held_bytes"] for d in world.daemons.values()]
                return not any(h["requests"] or h["sending"] for h in held)

            await world.wait_until(arrives)
            await world.wait_until(released)

        worlds.run_scenario(scenario, plain=0)


class TestEndlessResponses:
    """Targets that send until the connection is closed."""

    def test_cut_off(self):
        """Guards against a response that never ends and holds its caller.

        Its caller sees that it is incomplete; other requests are served.
        """

        async def scenario(world):
            await _add_target(world)

            async def served():
                return (await world.send_request("/issue/1")).status == 200

            await world.wait_until(served)
            reader, writer = await _open(world, b"GET /issue/endless HTTP/1.1")
            writer.write(b"\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            tail = b""
            while not reader.at_eof():
                try:
                    tail = (tail + await reader.read(1 << 20))[-5:]
                except ConnectionError:
                    break
                assert await served()
            assert not tail.endswith(b"0\r\n\r\n")
            writer.close()
            daemon = world.daemons["vm-0"]

            async def nothing_held():
                return not daemon.dump()["held_bytes"]["received"]

            await world.wait_until(nothing_held)
            assert "response_cut_off" in world.log("vm-0")

        worlds.run_scenario(scenario, plain=0)


class TestStreamDeadline:
    """Responses that are streamed to slow callers."""

    def test_caller_that_stops_reading(self):
        """Guards against a stream that is held for a caller for ever."""

        async def endless():
            while True:
                yield _BLOCK

        async def handler(incoming):
            deadline = asyncio.get_running_loop().time() + 0.2
            return http_server.Response(
                200, body_stream=endless(), stream_deadline=deadline
            )

        async def main():
            server = http_server.Server(handler)
            host, port = (await server.listen("127.0.0.1:0")).split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await reader.readexactly(100)
            writer.transport.pause_reading()
            async with asyncio.timeout(10):
                while server.connections:
                    await asyncio.sleep(0.01)
            assert server.held.total == 0
            writer.close()
            server.stop_listening()

        asyncio.run(main())
