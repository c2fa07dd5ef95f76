"""Tests of the admission control of targets."""

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
    """A caller disconnects at the moment its request gets a slot.

    If that slot leaked, each such race would reduce the target's concurrency
    by one until it served nothing.
    """

    @pytest.mark.parametrize("assigned_first", [False, True])
    def test_slot_goes_to_the_next(self, assigned_first):
        """The cancellation comes before or after the assignment of the slot."""

        async def scenario():
            admission = _admission.Admission(daemon.clock(1))
            first, second, third = _ticket(), _ticket(), _ticket()
            assert await _enter(admission, first) is None
            waiting = _enter(admission, second)
            last = _enter(admission, third)
            await virtual.pause(0.1)
            if assigned_first:
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

        virtual.run(scenario())

    def test_cancelled_and_assigned_before_it_resumes(self):
        """The cancellation is pending when the slot is assigned."""

        async def scenario():
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

        virtual.run(scenario())


class TestHangingTarget:
    """All slots of a target are held by requests that hang.

    Waiting requests are refused while there is time to try another target.
    """

    def test_refused_well_before_the_deadline(self):
        """The configured wait applies, not the caller's deadline."""

        async def scenario():
            admission = _admission.Admission(daemon.clock(1))
            await _enter(admission, _ticket())
            began = virtual.now()
            failure = await _enter(admission, _ticket(), left=30.0)
            assert failure.kind is errors.ErrorKind.QUEUE_TIMEOUT
            assert virtual.now() - began == SERVICE.queue.wait
            assert failure.wait >= 1

        virtual.run(scenario())

    def test_refused_after_half_of_a_short_deadline(self):
        """The other half is left for running the request, or for a retry."""

        async def scenario():
            admission = _admission.Admission(daemon.clock(1))
            await _enter(admission, _ticket())
            await _enter(admission, _ticket(), left=2.0)
            assert virtual.now() == pytest.approx(1.0)
            assert admission.load("t") == 1

        virtual.run(scenario())
