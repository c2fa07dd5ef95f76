"""Retry policy of requests: retry budget, backoff and limits of attempts."""

import enum

import msgspec

from mimosastile_core import config
from mimosastile_core import errors

_MAX_BACKOFF_SECONDS = 0.1
"""A target may accept a grant without a table change, so waiting for a table
change alone could miss it; this bounds the delay."""

_NOT_RUN = frozenset(
    {
        errors.ErrorKind.WRONG_FENCE,
        errors.ErrorKind.DRAINING,
        errors.ErrorKind.UNREACHABLE,
        errors.ErrorKind.NO_OWNER,
        errors.ErrorKind.NO_TARGET,
    }
)
"""The request did not run. Another target, or the same one a little later, may
run it."""

_AMBIGUOUS = frozenset(
    {errors.ErrorKind.ANSWER_LOST, errors.ErrorKind.ANSWER_BROKEN}
)
"""The request may have run, so only an idempotent one may be retried."""


class Budget:
    """Retry budget of a service: a fraction of its requests.

    Without a budget, retries amplify a brown-out: each failed request is sent
    several times, and the remaining targets get several times their load. The
    targets then receive more requests than callers sent.
    """

    __slots__ = ("_tokens",)

    def __init__(self, policy: config.Retry) -> None:
        self._tokens = policy.burst

    @property
    def tokens(self) -> float:
        """Number of retries available now."""
        return self._tokens

    def earn(self, policy: config.Retry) -> None:
        """Adds the budget that the first send of a request earns."""
        self._tokens = min(self._tokens + policy.budget, policy.burst)

    def spend(self) -> bool:
        """Consumes one retry; False if none is available."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


# A wait below the clock's resolution ends before the clock has advanced. The
# next one would be as short, and the event loop would spin without serving
# other requests.
_MIN_WAIT_SECONDS = 0.001


class Step(enum.Enum):
    """Next step for a failed request."""

    GIVE_UP = "give_up"
    SLEEP = "sleep"
    AWAIT_CHANGE = "await_change"


class Decision(msgspec.Struct, frozen=True):
    """The next step and its maximum duration in seconds."""

    step: Step
    seconds: float = 0.0


_GIVE_UP = Decision(Step.GIVE_UP)


class Attempts:
    """Attempts made for one request.

    Attributes:
        avoid: Targets that failed to take the request.
        send_started: Whether a send has begun, which consumes a streamed body.
    """

    __slots__ = (
        "_backoff",
        "_deadline",
        "_idempotent",
        "_sends",
        "_sharded",
        "_streamed",
        "_waiting_since",
        "avoid",
        "send_started",
    )

    def __init__(
        self,
        *,
        idempotent: bool,
        streamed: bool,
        sharded: bool,
        deadline: float,
    ) -> None:
        """Creates the record for the first attempt.

        Args:
            idempotent: Whether the request may safely run twice.
            streamed: Whether its body can be read only once.
            sharded: Whether only the owner of its key may run it.
            deadline: Time in seconds at which the caller gives up.
        """
        self._idempotent = idempotent
        self._streamed = streamed
        self._sharded = sharded
        self._deadline = deadline
        self._sends = 1
        self._backoff = 0.0
        self._waiting_since: float | None = None
        self.avoid: frozenset[str] = frozenset()
        self.send_started = False

    def after(
        self,
        kind: errors.ErrorKind,
        policy: config.Retry,
        budget: Budget,
        now: float,
        jitter: float,
    ) -> Decision:
        """Decides on the next step after a failed attempt.

        Args:
            kind: Kind of the failure.
            policy: The service's retry settings.
            budget: The service's retry budget, consumed if the request may
                run a second time.
            now: Current time in seconds.
            jitter: Random number from 0 to 1 that scales the backoff by 0.5
                to 1.

        Returns:
            The next step. `GIVE_UP` means to respond to the caller at once.
        """
        if self._streamed and self.send_started:
            return _GIVE_UP
        pause = self._next_pause(policy, jitter)
        if now + pause >= self._deadline:
            return _GIVE_UP
        if kind in _NOT_RUN:
            return self._reroute(policy, now, pause)
        if self._may_resend(kind):
            return self._resend(policy, budget, pause)
        return _GIVE_UP

    def _may_resend(self, kind: errors.ErrorKind) -> bool:
        if kind is errors.ErrorKind.OVERLOADED:
            return not self._sharded
        return kind in _AMBIGUOUS and self._idempotent

    def _next_pause(self, policy: config.Retry, jitter: float) -> float:
        self._backoff = min(
            max(self._backoff * 2, policy.backoff), _MAX_BACKOFF_SECONDS
        )
        return self._backoff * (0.5 + jitter / 2)

    def _reroute(
        self, policy: config.Retry, now: float, pause: float
    ) -> Decision:
        if self._waiting_since is None:
            self._waiting_since = now
        left = self._waiting_since + policy.owner_wait - now
        if left <= _MIN_WAIT_SECONDS:
            return _GIVE_UP
        return Decision(Step.AWAIT_CHANGE, min(pause, left))

    def _resend(
        self, policy: config.Retry, budget: Budget, pause: float
    ) -> Decision:
        if self._sends >= policy.attempts or not budget.spend():
            return _GIVE_UP
        self._sends += 1
        self._waiting_since = None
        return Decision(Step.SLEEP, pause)
