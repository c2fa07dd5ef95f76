"""Tests of work that runs again after it has failed."""

import asyncio

import pytest

from mimosastile_core import supervision
from mimosastile_standins import virtual


async def _keep_running(failures, run_seconds=0.0):
    """Runs work that fails some times; returns when each failure happened."""
    loop = asyncio.get_running_loop()
    times, counts = [], []

    async def work():
        await asyncio.sleep(run_seconds)
        if len(times) < failures:
            times.append(loop.time())
            raise ZeroDivisionError("unexpected")

    await supervision.keep_running(
        work,
        loop.time,
        asyncio.sleep,
        lambda _, count: counts.append(count),
        lambda error: isinstance(error, Exception),
    )
    return times, counts


class TestKeepRunning:
    """Work that fails and runs again."""

    @pytest.mark.parametrize("failures", [0, 1, 5])
    def test_runs_again(self, failures):
        """Guards against work that is not begun again after a failure."""
        times, counts = virtual.run(_keep_running(failures))
        assert len(times) == failures
        assert counts == list(range(1, failures + 1))

    def test_pauses_grow(self):
        """Guards against work that fails at once and takes the processor."""
        times, _ = virtual.run(_keep_running(12))
        pauses = [b - a for a, b in zip(times, times[1:], strict=False)]
        assert pauses[0] < 0.2
        assert pauses == sorted(pauses)
        assert pauses[-1] == pytest.approx(2.0)

    def test_steady_work(self):
        """Guards against long pauses after rare failures."""
        _, counts = virtual.run(_keep_running(5, run_seconds=60.0))
        assert set(counts) == {1}

    def test_cancelled(self):
        """A task that is cancelled does not run again."""

        async def main():
            task = asyncio.create_task(_keep_running(1000))
            await asyncio.sleep(5.0)
            task.cancel()
            await asyncio.wait((task,))
            return task.cancelled()

        assert virtual.run(main())
