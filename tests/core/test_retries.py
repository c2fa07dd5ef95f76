"""Tests of the retry policy."""

import pytest

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import retries

POLICY = config.Retry(budget=0.1, burst=2, attempts=3, owner_wait=1.0)
GIVE_UP = retries.Step.GIVE_UP
SLEEP = retries.Step.SLEEP
AWAIT = retries.Step.AWAIT_CHANGE


def _attempts(idempotent=True, streamed=False, sharded=True, deadline=10.0):
    return retries.Attempts(
        idempotent=idempotent,
        streamed=streamed,
        sharded=sharded,
        deadline=deadline,
    )


def _after(attempts, kind, budget=None, now=0.0):
    budget = budget or retries.Budget(POLICY)
    return attempts.after(kind, POLICY, budget, now, 0.5).step


class TestSecondRun:
    """The connection to a target breaks while a request is running there.

    If a letter were sent again, it could be printed twice. If a page request
    were not, an editor would see a needless error.
    """

    @pytest.mark.parametrize(
        ("kind", "idempotent", "expected"),
        [
            (errors.ErrorKind.ANSWER_LOST, False, GIVE_UP),
            (errors.ErrorKind.ANSWER_BROKEN, False, GIVE_UP),
            (errors.ErrorKind.ANSWER_LOST, True, SLEEP),
            (errors.ErrorKind.ANSWER_BROKEN, True, SLEEP),
            (errors.ErrorKind.ANSWER_TOO_LARGE, True, GIVE_UP),
            (errors.ErrorKind.WRONG_FENCE, False, AWAIT),
            (errors.ErrorKind.DRAINING, False, AWAIT),
            (errors.ErrorKind.UNREACHABLE, False, AWAIT),
            (errors.ErrorKind.NO_OWNER, False, AWAIT),
            (errors.ErrorKind.QUARANTINED, True, GIVE_UP),
            (errors.ErrorKind.QUEUE_TIMEOUT, True, GIVE_UP),
        ],
    )
    def test_step(self, kind, idempotent, expected):
        """Only requests that did not run, or may run twice, are retried."""
        assert _after(_attempts(idempotent), kind) is expected

    @pytest.mark.parametrize("kind", errors.ErrorKind)
    def test_non_idempotent_request_is_not_retried_after_an_ambiguous_failure(
        self, kind
    ):
        """The parameters also cover kinds added later."""
        if errors.ERROR_RESPONSES[kind].ran is errors.Ran.PERHAPS:
            assert _after(_attempts(idempotent=False), kind) is GIVE_UP

    def test_streamed_body_is_sent_once(self):
        """The first send consumes the body of a large upload."""
        attempts = _attempts(streamed=True)
        assert _after(attempts, errors.ErrorKind.NO_OWNER) is AWAIT
        attempts.send_started = True
        assert _after(attempts, errors.ErrorKind.UNREACHABLE) is GIVE_UP

    def test_number_of_sends_is_bounded(self):
        """After the third lost response no retry follows."""
        attempts = _attempts()
        lost = errors.ErrorKind.ANSWER_LOST
        steps = [_after(attempts, lost) for _ in range(3)]
        assert steps == [SLEEP, SLEEP, GIVE_UP]


class TestOwnerWait:
    """A key has no owner and gets none.

    The caller gets an early error and can decide, instead of waiting until its
    own deadline.
    """

    def test_refused_long_before_the_deadline(self):
        """`owner_wait` counts from the first failure."""
        attempts = _attempts(deadline=30.0)
        none = errors.ErrorKind.NO_OWNER
        steps = [_after(attempts, none, now=t) for t in (5.0, 5.9, 6.0)]
        assert steps == [AWAIT, AWAIT, GIVE_UP]

    def test_last_wait_is_never_too_short_for_a_clock(self):
        """Rounding leaves 4e-16 s; such a wait would make the loop spin."""
        attempts = _attempts(deadline=30.0)
        none = errors.ErrorKind.NO_OWNER
        _after(attempts, none, now=5.1)
        assert _after(attempts, none, now=6.1 - 4e-16) is GIVE_UP

    def test_no_wait_beyond_the_deadline(self):
        """No time is left for another attempt."""
        attempts = _attempts(deadline=1.0)
        step = _after(attempts, errors.ErrorKind.NO_OWNER, now=0.999)
        assert step is GIVE_UP


class TestBudget:
    """Half of a service's targets fail, and every failed request is retried.

    The other half would get twice its load and fail as well.
    """

    def test_retries_stay_a_share_of_requests(self):
        """After the burst, one in ten requests is retried."""
        budget = retries.Budget(POLICY)
        resent = 0
        for _ in range(1000):
            budget.earn(POLICY)
            lost = errors.ErrorKind.ANSWER_LOST
            resent += _after(_attempts(), lost, budget) is SLEEP
        assert resent <= 1000 * POLICY.budget + POLICY.burst

    def test_shed_request_is_retried_elsewhere_unless_sharded(self):
        """Only the owner of a key may run its requests."""
        shed = errors.ErrorKind.OVERLOADED
        assert _after(_attempts(sharded=True), shed) is GIVE_UP
        assert _after(_attempts(sharded=False), shed) is SLEEP

    def test_backoff_doubles_and_is_bounded(self):
        """Jitter keeps each pause between half of the backoff and all of it."""
        attempts = _attempts(deadline=100.0)
        pauses = [
            attempts.after(
                errors.ErrorKind.WRONG_FENCE,
                POLICY,
                retries.Budget(POLICY),
                0.0,
                1.0,
            ).seconds
            for _ in range(6)
        ]
        assert pauses == [0.01, 0.02, 0.04, 0.08, 0.1, 0.1]
