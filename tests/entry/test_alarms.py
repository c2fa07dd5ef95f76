"""Tests of the hot-path timeout."""

import asyncio

import pytest

from mimosastile_entry import _alarms
from mimosastile_standins import virtual


async def _wait(alarm_seconds, wait_seconds):
    alarm = _alarms.Alarm(alarm_seconds)
    try:
        await virtual.pause(wait_seconds)
        return "done"
    except asyncio.CancelledError:
        alarm.raise_if_timed_out()
        raise
    finally:
        alarm.stop()


class TestAlarm:
    """The timer fires alone, never, or along with an external cancellation."""

    def test_in_time(self):
        """A task that ends in time is never cancelled."""

        async def scenario():
            outcome = await _wait(1.0, 0.5)
            await virtual.pause(2.0)
            return outcome

        assert virtual.run(scenario()) == "done"

    def test_too_late(self):
        """The timer raises a timeout, and the task can continue."""

        async def scenario():
            with pytest.raises(TimeoutError):
                await _wait(1.0, 5.0)
            await virtual.pause(1.0)
            return asyncio.current_task().cancelling()

        assert virtual.run(scenario()) == 0

    @pytest.mark.parametrize("at", [0.5, 1.0])
    def test_external_cancellation(self, at):
        """An external cancellation is kept, also at the same instant."""

        async def scenario():
            task = asyncio.create_task(_wait(1.0, 5.0))
            await virtual.pause(at)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return task.cancelled()

        assert virtual.run(scenario())
