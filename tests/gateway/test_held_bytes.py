"""Tests of the bytes that a VM holds for callers and targets."""

import asyncio

import pytest

from mimosastile_core import unfinished_heads
from mimosastile_core.gateway import held_bytes
from mimosastile_core.gateway import routes
from mimosastile_gateway import http_server

_LARGE = held_bytes.LARGE_BYTES


def _post(size):
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
    return head + b"x" * size


def _chunked(size):
    head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"%x\r\n" % size + b"x" * size + b"\r\n0\r\n\r\n"


def _head(headers):
    return b"GET / HTTP/1.1\r\n" + b"x:y\r\n" * headers + b"\r\n"


def _run(scenario, limit, limits=None, **options):
    async def main():
        release = asyncio.Event()

        async def handler(incoming):
            await release.wait()
            return http_server.Response(200, (), incoming.body)

        held = held_bytes.HeldBytes(limit)
        server = http_server.Server(handler, limits, held, **options)
        address = await server.listen("127.0.0.1:0")
        host, port = address.split(":")
        try:
            async with asyncio.timeout(10):
                await scenario(
                    server,
                    release,
                    lambda: asyncio.open_connection(host, int(port)),
                )
        finally:
            server.stop_listening()
            server.abort()
            await asyncio.sleep(0.01)

    asyncio.run(main())


async def _until(condition):
    while not condition():
        await asyncio.sleep(0.01)


class TestCallers:
    """Bodies from callers, and responses to them."""

    def test_large_body_near_the_bound(self):
        """Guards against a process that is ended for its use of memory.

        A second large body does not fit; the first is served, small ones too.
        """

        async def scenario(server, release, connect):
            first_reader, first = await connect()
            first.write(_post(2 * _LARGE))
            await _until(lambda: server.held.total == 2 * _LARGE)
            reader, second = await connect()
            second.write(_post(2 * _LARGE)[:1000])
            refusal = await reader.read()
            assert refusal.startswith(b"HTTP/1.1 503")
            assert b"retry-after: 1" in refusal
            small_reader, small = await connect()
            small.write(_post(10))
            release.set()
            for served in (first_reader, small_reader):
                line = await served.readline()
                assert line.startswith(b"HTTP/1.1 200")
            await _until(lambda: not server.held.dump()["requests"])
            for writer in (first, second, small):
                writer.close()

        _run(scenario, 3 * _LARGE)

    def test_announced_bodies_count(self):
        """Guards against bodies that are accepted at once and all arrive."""

        async def scenario(server, release, connect):
            _, first = await connect()
            first.write(_post(2 * _LARGE)[:1000])
            await _until(lambda: server.connections == 1)
            await asyncio.sleep(0.05)
            reader, second = await connect()
            second.write(_post(2 * _LARGE)[:1000])
            line = await asyncio.wait_for(reader.readline(), 1)
            assert line.startswith(b"HTTP/1.1 503")
            for writer in (first, second):
                writer.close()

        _run(scenario, 3 * _LARGE)

    def test_chunked_body_beyond_the_bound(self):
        """Guards against bodies without a length that nobody bounds."""

        async def scenario(server, release, connect):
            release.set()
            reader, writer = await connect()
            writer.write(_chunked(3 * _LARGE))
            refusal = await reader.read()
            assert refusal.startswith(b"HTTP/1.1 503")
            assert b"retry-after: 1" in refusal
            assert server.held.total == 0
            small_reader, small = await connect()
            small.write(_chunked(_LARGE // 2))
            line = await small_reader.readline()
            assert line.startswith(b"HTTP/1.1 200")
            for each in (writer, small):
                each.close()

        _run(scenario, 2 * _LARGE)

    def test_small_chunks_are_counted_together(self, monkeypatch):
        """Guards against small chunks that keep a process from its callers.

        Counting each of them took twice as long as parsing it.
        """
        counted = []
        hold = held_bytes.HeldBytes.hold

        def counting(held, owner, size):
            counted.append(size)
            hold(held, owner, size)

        monkeypatch.setattr(held_bytes.HeldBytes, "hold", counting)

        async def scenario(server, release, connect):
            release.set()
            reader, writer = await connect()
            writer.write(
                b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                + b"1\r\nx\r\n" * 5000
                + b"0\r\n\r\n"
            )
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            assert len(counted) <= 2
            assert server.held.total == 0
            writer.close()

        _run(scenario, 0)

    @pytest.mark.parametrize("encode", [_post, _chunked])
    def test_refusal_reaches_a_caller_that_sends_on(self, encode):
        """Guards against a refusal that a reset takes from its caller."""

        async def scenario(server, release, connect):
            reader, writer = await connect()
            message = encode(200 * _LARGE)
            for start in range(0, len(message), _LARGE):
                writer.write(message[start : start + _LARGE])
                await writer.drain()
                await asyncio.sleep(0)
            await asyncio.sleep(0.05)
            line = await reader.readline()
            assert line.startswith(b"HTTP/1.1 503")
            writer.close()

        _run(scenario, _LARGE)

    def test_small_requests_use_the_reserve(self):
        """Guards against small requests refused for large bodies.

        They are refused only once the reserve is used as well.
        """
        held = held_bytes.HeldBytes(8 * _LARGE)
        held.hold("a", 8 * _LARGE)
        assert not held.admits(_LARGE)
        assert held.admits(0)
        assert held.admits(_LARGE - 1)
        held.add_unsent(_LARGE)
        assert held.admits(0)
        assert not held.admits(1)
        held.add_sending(1)
        assert not held.admits(0)

    def test_unbounded_requests(self):
        """Guards against messages between VMs refused for want of memory."""

        async def scenario(server, release, connect):
            release.set()
            for encode in (_post, _chunked):
                reader, writer = await connect()
                writer.write(encode(3 * _LARGE))
                line = await reader.readline()
                assert line.startswith(b"HTTP/1.1 200")
                writer.close()

        _run(scenario, _LARGE, bounded=lambda incoming: False)

    def test_caller_that_reads_nothing(self):
        """Guards against responses that pile up for one connection.

        Its further requests wait, and it is disconnected in the end.
        """

        async def scenario(server, release, connect):
            release.set()
            _, writer = await connect()
            writer.transport.pause_reading()
            for _ in range(6):
                writer.write(_post(150 * _LARGE))
            await _until(lambda: "responses" in server.held.dump()["peaks"])
            await _until(lambda: server.connections == 0)
            peaks = server.held.dump()["peaks"]
            assert peaks["responses"] <= 151 * _LARGE
            assert server.held.total == 0
            writer.close()

        limits = routes.CallerLimits(header_seconds=5.0, idle_seconds=0.2)
        _run(scenario, 0, limits)

    def test_nothing_is_held_for_callers_that_left(self):
        """Guards against growth from callers that leave midway."""

        async def scenario(server, release, connect):
            for sent in (_LARGE // 2, _LARGE + 200):
                _, writer = await connect()
                writer.write(_post(_LARGE)[:sent])
                await _until(lambda: server.held.total > 0)
                writer.close()
                await _until(lambda: server.held.total == 0)
            assert server.held.dump()["owners"] == {}

        _run(scenario, 0)

    def test_unread_responses_count(self):
        """Guards against slow callers that nobody counts."""

        async def scenario(server, release, connect):
            release.set()
            _, writer = await connect()
            writer.transport.pause_reading()
            writer.write(_post(200 * _LARGE))
            await _until(lambda: server.held.dump()["peaks"])
            while not server.held.dump()["responses"]:
                await asyncio.sleep(0.01)
                server.sample_unsent()
            incoming = http_server.Request("POST", b"/", 0.0)
            assert not server.admits_request(incoming, 400 * _LARGE)
            writer.close()

        _run(scenario, 500 * _LARGE)


class TestHeads:
    """Heads of requests, whole and unfinished."""

    def test_small_heads_come_last(self):
        """Guards against usual requests refused for large heads."""
        held = held_bytes.HeldBytes(8 * _LARGE)
        held.add_heads(8 * _LARGE)
        assert not held.admits_head(_LARGE)
        assert held.admits_head(_LARGE // 2)
        held.add_heads(_LARGE)
        assert not held.admits_head(_LARGE // 2)
        assert held.admits_head(2000)

    def test_whole_heads_count(self):
        """Guards against heads in memory that nobody counts.

        Requests wait for their responses, one behind another.
        """

        async def scenario(server, release, connect):
            reader, writer = await connect()
            writer.write(3 * _head(100))
            await _until(lambda: server.held.dump()["heads"] > 3 * 100 * 160)
            release.set()
            for _ in range(3):
                await reader.readuntil(b"\r\n\r\n")
            await _until(lambda: not server.held.dump()["heads"])
            writer.write(_head(100)[:-2])
            await _until(lambda: server.heads.total > 100 * 160)
            writer.close()
            await _until(lambda: not server.heads.total)

        _run(scenario, 0)

    def test_trailers_count(self):
        """Guards against trailers that are held and not counted."""

        async def scenario(server, release, connect):
            _, writer = await connect()
            writer.write(_chunked(10)[:-2] + b"x:y\r\n" * 100)
            await _until(lambda: server.held.dump()["heads"] > 100 * 160)
            writer.close()
            await _until(lambda: not server.held.dump()["heads"])

        _run(scenario, 0)

    def test_unfinished_heads_give_way(self):
        """Guards against callers whose heads never end and keep out others."""
        heads = unfinished_heads.UnfinishedHeads(250 * 160)

        async def scenario(server, release, connect):
            release.set()
            first_reader, first = await connect()
            first.write(_head(100)[:-2])
            await _until(lambda: heads.total)
            _, second = await connect()
            second.write(_head(100)[:-2])
            _, third = await connect()
            third.write(_head(100)[:-2])
            refusal = await first_reader.read()
            assert refusal.startswith(b"HTTP/1.1 503")
            assert b"retry-after: 1" in refusal
            reader, whole = await connect()
            whole.write(_head(100))
            line = await reader.readline()
            assert line.startswith(b"HTTP/1.1 200")
            for writer in (first, second, third, whole):
                writer.close()

        _run(scenario, 0, heads=heads)


class TestTargets:
    """Bodies that targets hold."""

    def test_peak(self):
        """Guards against bodies that count after their requests have ended."""
        bodies = held_bytes.TargetBodies()
        bodies.begin("t", 8 * _LARGE)
        bodies.begin("t", _LARGE)
        bodies.begin("u", 10)
        bodies.end("t", 8 * _LARGE)
        assert bodies.dump() == {
            "total": _LARGE + 10,
            "peak_of_one": 9 * _LARGE,
        }
        bodies.end("t", _LARGE)
        bodies.end("u", 10)
        assert bodies.dump()["total"] == 0
