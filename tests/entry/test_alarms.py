"""Tests of the timeout of the hot path."""

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
        alarm.settle()
        raise
    finally:
        alarm.stop()


class TestAlarm:
    """It fires alone, not at all, or together with another cancellation."""

    def test_in_time(self):
        """What ends in time is left alone for good."""

        async def story():
            outcome = await _wait(1.0, 0.5)
            await virtual.pause(2.0)
            return outcome

        assert virtual.run(story()) == "done"

    def test_too_late(self):
        """It is a timeout, and the task can go on."""

        async def story():
            with pytest.raises(TimeoutError):
                await _wait(1.0, 5.0)
            await virtual.pause(1.0)
            return asyncio.current_task().cancelling()

        assert virtual.run(story()) == 0

    @pytest.mark.parametrize("at", [0.5, 1.0])
    def test_cancelled_by_others(self, at):
        """The cancellation stays one, also in the same moment."""

        async def story():
            task = asyncio.create_task(_wait(1.0, 5.0))
            await virtual.pause(at)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return task.cancelled()

        assert virtual.run(story())
