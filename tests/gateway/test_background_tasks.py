"""Tests of tasks whose end nobody awaits."""

import asyncio

import pytest

from mimosastile_gateway import background_tasks
from mimosastile_standins import virtual
from tests.gateway import fakes


async def _fail():
    await asyncio.sleep(1.0)
    raise RecursionError("too deep")


async def _end():
    await asyncio.sleep(1.0)


class TestStart:
    """Tasks that end by themselves."""

    @pytest.mark.parametrize(
        ("work", "why"), [(_fail, ["RecursionError: too deep"]), (_end, [])]
    )
    def test_failures_are_logged(self, work, why):
        """Guards against a task that fails unseen since a service holds it."""
        log = fakes.MemoryEvents()

        async def main():
            tasks = background_tasks.BackgroundTasks(log)
            held = tasks.start("work", work(), "detail")
            await asyncio.sleep(2.0)
            return held

        assert virtual.run(main()).done()
        assert [line["why"] for line in log.named("task_failed")] == why

    def test_cancelled(self):
        """A task that is cancelled has not failed."""
        log = fakes.MemoryEvents()

        async def main():
            tasks = background_tasks.BackgroundTasks(log)
            task = tasks.start("work", _fail())
            await asyncio.sleep(0.1)
            tasks.cancel()
            await asyncio.wait((task,))
            return task

        assert virtual.run(main()).cancelled()
        assert log.lines == []


class TestKeep:
    """Tasks that run again after a failure."""

    def test_awaited_task_is_cancelled(self):
        """Guards against work that ends with a task that it awaits."""
        log = fakes.MemoryEvents()
        runs = []

        async def work():
            runs.append(virtual.now())
            inner = asyncio.ensure_future(asyncio.sleep(60.0))
            if len(runs) < 3:
                inner.cancel()
            await inner

        async def main():
            tasks = background_tasks.BackgroundTasks(log)
            tasks.keep("work", work)
            await asyncio.sleep(5.0)
            tasks.cancel()

        virtual.run(main())
        assert len(runs) == 3
        assert [line["failures"] for line in log.named("task_failed")] == [1, 2]
