"""The gateway daemon beside callers that keep to no limits."""

import asyncio

import pytest

from tests.processes import crowds
from tests.processes import daemons

_MEMORY_MB = 64
_DESCRIPTORS = 300
_SOCKETS = 100
"""Descriptors without those that the platform reserves for files."""
_SENDERS = 8
_SENT_BYTES = 8 << 20
"""All senders together send more than the memory of the process."""
_HEAD_BYTES = 16_200
"""Just below the limit on heads."""
_UNFINISHED_HEADS = 200
_PIPELINING_CALLERS = 24
_IDLE_CALLERS = 150
_LISTENERS = ("callers", "peers", "readiness", "metrics")
_ENDLESS = [
    *((name, "callers") for name in crowds.ENDLESS),
    *(
        (name, listener)
        for name in ("value", "trailers", "trailer-value", "pipelined-value")
        for listener in _LISTENERS[1:]
    ),
]
_TEST_SECONDS = 60
"""Ends a test that hangs."""


def _run(folder, scenario):
    async def main():
        async with asyncio.timeout(_TEST_SECONDS):
            async with daemons.gateway(
                folder, _MEMORY_MB, _DESCRIPTORS
            ) as running:
                await scenario(running)

    asyncio.run(main())


async def _check(running):
    assert await running.status() == 200
    assert running.alive
    assert running.peak_memory_mb <= _MEMORY_MB
    assert running.sockets <= _SOCKETS


class TestEndlessInput:
    """Callers that send what has no end, or more than the limit."""

    @pytest.mark.parametrize(("name", "listener"), _ENDLESS)
    def test_memory_is_bounded(self, tmp_path, name, listener):
        """Guards against a process that buffers input without end."""

        async def scenario(running):
            async with crowds.crowd(
                running.addresses[listener], _SENDERS
            ) as callers:
                await callers.send_endless(*crowds.ENDLESS[name], _SENT_BYTES)
                await _check(running)

        _run(tmp_path, scenario)

    @pytest.mark.parametrize("listener", _LISTENERS)
    def test_oversized_heads(self, tmp_path, listener):
        """Guards against heads over the limit that are held whole."""

        async def scenario(running):
            async with crowds.crowd(
                running.addresses[listener],
                _UNFINISHED_HEADS // 4,
                crowds.OVERSIZED,
            ):
                await _check(running)

        _run(tmp_path, scenario)


class TestHeldHeads:
    """Callers whose heads are within the limit, and stay in memory."""

    @pytest.mark.parametrize("listener", _LISTENERS)
    def test_unfinished_heads(self, tmp_path, listener):
        """Guards against many headers that cost far more than their bytes."""

        async def scenario(running):
            async with crowds.crowd(
                running.addresses[listener],
                _UNFINISHED_HEADS,
                crowds.unfinished_head(_HEAD_BYTES),
            ):
                await _check(running)

        _run(tmp_path, scenario)

    def test_pipelined_heads(self, tmp_path):
        """Guards against heads that wait behind a request without response."""
        first = crowds.whole_head(daemons.HANGING_PATH, 200)
        behind = crowds.whole_head(daemons.HANGING_PATH, _HEAD_BYTES)

        async def scenario(running):
            async with crowds.crowd(
                running.addresses["callers"],
                _PIPELINING_CALLERS,
                first + 8 * behind,
            ):
                await _check(running)

        _run(tmp_path, scenario)


class TestHeldBodies:
    """Callers whose bodies never end."""

    @pytest.mark.parametrize("listener", _LISTENERS)
    def test_unfinished_bodies(self, tmp_path, listener):
        """Guards against bodies held by a listener that has no use for them."""
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"

        async def scenario(running):
            async with crowds.crowd(
                running.addresses[listener], _SENDERS
            ) as callers:
                await callers.send_endless(
                    head % (2 * _SENT_BYTES), b"y", _SENT_BYTES
                )
                await _check(running)

        _run(tmp_path, scenario)


class TestConnections:
    """Callers that open connections and send nothing."""

    @pytest.mark.parametrize(
        "listeners",
        [*((name,) for name in _LISTENERS), _LISTENERS],
        ids="+".join,
    )
    def test_idle_connections(self, tmp_path, listeners):
        """Guards against connections that use up all descriptors."""

        async def scenario(running):
            groups = [
                crowds.Crowd(running.addresses[name]) for name in listeners
            ]
            try:
                for group in groups:
                    await group.open(_IDLE_CALLERS)
                await _check(running)
            finally:
                for group in groups:
                    await group.close()

        _run(tmp_path, scenario)
