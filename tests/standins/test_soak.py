"""Tests of the soak oracle and the fault proxy."""

import asyncio

import pytest

from mimosastile_standins import fault_proxy
from mimosastile_standins import platform_target
from mimosastile_standins import soak_bodies
from mimosastile_standins import soak_oracle

FAULTS = fault_proxy.LinkFault


def _outcome(status, attempt="a1", **fields):
    defaults = {
        "repeatable": False,
        "at": 1.0,
        "vm": "vm-1",
        "body": f"t-1 ran {attempt}".encode(),
    }
    return soak_oracle.Outcome(attempt, status=status, **(defaults | fields))


def _executions(*attempts):
    return [platform_target.Execution(a, None, "t-1", 1.0) for a in attempts]


class _Owner:
    """A target that owns ranges of keys."""

    def __init__(self, name, *ranges, working=()):
        self.id = name
        self._ranges = list(ranges)
        self._working = working

    def works_on(self, first, last):
        """Whether it works on a key in a range."""
        return any(first <= key <= last for key in self._working)

    def owned_ranges(self):
        """Returns the owned ranges."""
        return self._ranges


class TestOracle:
    """Reports each violated guarantee and nothing else."""

    @pytest.mark.parametrize(
        ("outcome", "runs", "wrong"),
        [
            (_outcome(200), ["a1"], 0),
            (_outcome(0), ["a1"], 0),
            (_outcome(502), ["a1"], 0),
            (_outcome(200), ["a1", "a1"], 1),
            (_outcome(200, repeatable=True), ["a1", "a1"], 0),
            (_outcome(503), [], 0),
            (_outcome(503), ["a1"], 1),
            (_outcome(429), ["a1"], 1),
            (_outcome(503, repeatable=True), ["a1"], 0),
            (_outcome(200, body=b"t-1 ran a2"), ["a1"], 1),
            (_outcome(200, body=b"t-1 ran"), ["a1"], 1),
            (_outcome(200, echoed="a2"), ["a1"], 1),
            (_outcome(0, planned=True), ["a1"], 1),
            (_outcome(0, planned=True), [], 0),
        ],
    )
    def test_outcomes(self, outcome, runs, wrong):
        """Duplicate, refused, misdirected and interrupted requests."""
        oracle = soak_oracle.SoakOracle()
        oracle.runs.extend(_executions(*runs))
        oracle.record_outcome(outcome)
        oracle.finish()
        assert len(oracle.violations) == wrong

    @pytest.mark.parametrize(
        ("other", "wrong"),
        [((10, 19), 0), ((9, 19), 1), ((0, 9), 1), ((3, 4), 1)],
    )
    def test_two_owners(self, other, wrong):
        """Two targets own one key at the same time."""
        oracle = soak_oracle.SoakOracle()
        oracle.check_owners([_Owner("x", (0, 9)), _Owner("y", other)])
        assert len(oracle.violations) == wrong

    @pytest.mark.parametrize(
        ("working", "wrong"), [((), 0), ((9,), 0), ((10,), 1), ((19, 30), 1)]
    )
    def test_grant_beside_work(self, working, wrong):
        """A target is given keys on which another one works."""
        oracle = soak_oracle.SoakOracle()
        others = [_Owner("x", working=working), _Owner("y")]
        oracle.check_grant(_Owner("z"), others, 10, 19)
        assert len(oracle.violations) == wrong

    def test_served_share(self):
        """Only attempts sent in the given period count."""
        oracle = soak_oracle.SoakOracle()
        for at, status in ((1.0, 503), (2.0, 200), (2.5, 503), (3.0, 503)):
            oracle.record_outcome(_outcome(status, at=at, repeatable=True))
        assert oracle.served_share(2.0, 3.0) == 0.5


class TestProxy:
    """Effects of link faults on forwarded data."""

    @pytest.mark.parametrize(
        ("fault", "arrives", "answered", "ended"),
        [
            (FAULTS.NONE, True, True, False),
            (FAULTS.DELAY, True, True, False),
            (FAULTS.SILENT, False, False, False),
            (FAULTS.CUT_THERE, False, False, False),
            (FAULTS.CUT_BACK, True, False, False),
            (FAULTS.RESET, False, False, True),
        ],
    )
    def test_open_connection(self, fault, arrives, answered, ended):
        """A fault starts while a connection is open."""

        async def main():
            seen = asyncio.Event()

            async def echo(reader, writer):
                while data := await reader.read(100):
                    if data == b"two":
                        seen.set()
                    writer.write(data)
                writer.close()

            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            proxy = fault_proxy.FaultProxy(f"{host}:{port}")
            host, _, port = (await proxy.start()).rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"one")
            assert await reader.readexactly(3) == b"one"
            proxy.set_fault(fault, 0.01)
            got = await self._exchange(reader, writer)
            # A muted connection stays silent after the fault is removed.
            proxy.set_fault(FAULTS.NONE)
            assert (got == b"two") is answered
            assert (got is not None and not got) is ended
            assert seen.is_set() is arrives
            writer.close()
            await proxy.stop()
            server.close()

        asyncio.run(main())

    @pytest.mark.parametrize("copies", [False, True])
    def test_copied_answer(self, copies):
        """An earlier answer comes again before that to the next request."""

        async def main():
            async def answer(reader, writer):
                for number in (b"1", b"2"):
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(b"HTTP/1.1 200 " + number + b"\r\n\r\n")

            server = await asyncio.start_server(answer, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            proxy = fault_proxy.FaultProxy(f"{host}:{port}")
            host, _, port = (await proxy.start()).rpartition(":")
            proxy.copies_answer = lambda: copies
            reader, writer = await asyncio.open_connection(host, int(port))
            received = []
            async with asyncio.timeout(5.0):
                for count in (1, 1 + copies):
                    writer.write(b"GET / HTTP/1.1\r\n\r\n")
                    for _ in range(count):
                        head = await reader.readuntil(b"\r\n\r\n")
                        received.append(head[13:14])
            expected = [b"1", b"1", b"2"] if copies else [b"1", b"2"]
            assert received == expected
            writer.close()
            await proxy.stop()
            server.close()

        asyncio.run(main())

    @pytest.mark.parametrize("kind", soak_bodies.ENDLESS_KINDS)
    def test_endless_answer(self, kind):
        """Bytes follow each other until the client closes the connection."""

        async def main():
            forwarded = []

            async def answer(reader, writer):
                forwarded.append(await reader.read())
                writer.close()

            server = await asyncio.start_server(answer, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            proxy = fault_proxy.FaultProxy(f"{host}:{port}")
            proxy.endless = soak_bodies.endless(kind)
            host, _, port = (await proxy.start()).rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            async with asyncio.timeout(5.0):
                await reader.readexactly(1 << 20)
            writer.close()
            await proxy.stop()
            server.close()
            assert not any(forwarded)

        asyncio.run(main())

    async def _exchange(self, reader, writer):
        """Returns the response, empty at the end, None on a timeout."""
        try:
            writer.write(b"two")
            async with asyncio.timeout(1.0):
                return await reader.read(3)
        except TimeoutError:
            return None
        except ConnectionError:
            return b""
