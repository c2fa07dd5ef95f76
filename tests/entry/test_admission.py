"""Tests of slots as the daemon hands them out."""

import asyncio

import pytest

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import queueing
from mimosastile_entry import _admission
from mimosastile_entry import daemon
from mimosastile_standins import virtual

SERVICE = config.Service(slots=1)


def _ticket(member="a"):
    return queueing.Ticket(member, config.Priority.INTERACTIVE)


def _enter(admission, ticket, left=20.0):
    deadline = virtual.now() + left
    return asyncio.create_task(admission.enter("t", SERVICE, ticket, deadline))


class TestCancelledWhileQueued:
    """A caller goes away in the moment in which its request gets a slot.

    If that slot were lost, the target would serve one request fewer after
    each such race until nothing is served at all.
    """

    @pytest.mark.parametrize("handed_over", [False, True])
    def test_slot_goes_to_the_next(self, handed_over):
        """Before and after the hand-over."""

        async def story():
            admission = _admission.Admission(daemon.clock(1))
            first, second, third = _ticket(), _ticket(), _ticket()
            assert await _enter(admission, first) is None
            waiting = _enter(admission, second)
            last = _enter(admission, third)
            await virtual.pause(0.1)
            if handed_over:
                admission.leave("t", first)
                waiting.cancel()
            else:
                waiting.cancel()
                await virtual.pause(0)
                admission.leave("t", first)
            assert await last is None
            assert waiting.cancelled()
            admission.leave("t", third)
            assert admission.load("t") == 0

        virtual.run(story())

    def test_cancelled_and_handed_over_before_it_wakes(self):
        """The cancellation is under way when the slot comes."""

        async def story():
            admission = _admission.Admission(daemon.clock(1))
            first, second = _ticket(), _ticket()
            await _enter(admission, first)
            waiting = _enter(admission, second)
            await virtual.pause(0.1)
            waiting.cancel()
            admission.leave("t", first)
            with pytest.raises(asyncio.CancelledError):
                await waiting
            assert admission.load("t") == 0

        virtual.run(story())


class TestStuckTarget:
    """All slots of a target hang.

    Whoever waits is told so while there is time left to try elsewhere.
    """

    def test_refused_well_before_the_deadline(self):
        """The configured wait counts, not the caller's patience."""

        async def story():
            admission = _admission.Admission(daemon.clock(1))
            await _enter(admission, _ticket())
            began = virtual.now()
            failure = await _enter(admission, _ticket(), left=30.0)
            assert failure.kind is errors.ErrorKind.QUEUE_TIMEOUT
            assert virtual.now() - began == SERVICE.queue.wait
            assert failure.wait >= 1

        virtual.run(story())

    def test_refused_when_half_of_a_short_time_is_over(self):
        """The rest is for the run, or for another try."""

        async def story():
            admission = _admission.Admission(daemon.clock(1))
            await _enter(admission, _ticket())
            await _enter(admission, _ticket(), left=2.0)
            assert virtual.now() == pytest.approx(1.0)
            assert admission.load("t") == 1

        virtual.run(story())
