"""Whether, when and at whose expense a failed request is sent again."""

import enum

import msgspec

from mimosastile_core import config
from mimosastile_core import errors

_LONGEST_BACKOFF_SECONDS = 0.1
"""A target takes a grant without any change of the table, so waiting for a
change alone could miss the moment; this bounds the loss."""

_REROUTED = frozenset(
    {
        errors.ErrorKind.WRONG_FENCE,
        errors.ErrorKind.DRAINING,
        errors.ErrorKind.UNREACHABLE,
        errors.ErrorKind.NO_OWNER,
        errors.ErrorKind.NO_TARGET,
    }
)
"""The request did not run and another target, or the same one a little later,
may run it."""

_UNSURE = frozenset(
    {errors.ErrorKind.ANSWER_LOST, errors.ErrorKind.ANSWER_BROKEN}
)
"""The request may have run; an idempotent one may run again."""


class Budget:
    """Retries that a service may make: a share of its requests.

    Without it a brown-out is multiplied: each request that fails is sent
    several times, and the targets that are left get several times their load.
    One would notice more requests at the targets than callers sent.
    """

    __slots__ = ("_tokens",)

    def __init__(self, policy: config.Retry) -> None:
        self._tokens = policy.burst

    @property
    def tokens(self) -> float:
        """Retries that may be made now."""
        return self._tokens

    def earn(self, policy: config.Retry) -> None:
        """Counts a first send."""
        self._tokens = min(self._tokens + policy.budget, policy.burst)

    def spend(self) -> bool:
        """Takes one retry; False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


# A wait below a clock's resolution ends before the clock has moved; the next
# one would be as short, and the loop would spin without serving anyone else.
_LEAST_WAIT_SECONDS = 0.001


class Step(enum.Enum):
    """What to do with a failed request."""

    GIVE_UP = "give_up"
    SLEEP = "sleep"
    AWAIT_CHANGE = "await_change"


class Decision(msgspec.Struct, frozen=True):
    """A step and its longest duration in seconds."""

    step: Step
    seconds: float = 0.0


_GIVE_UP = Decision(Step.GIVE_UP)


class Attempts:
    """What happened to one request so far.

    Attributes:
        avoid: Targets that could not take the request.
        began: Whether a send has begun, so that a streamed body is used up.
    """

    __slots__ = (
        "_backoff",
        "_deadline",
        "_divided",
        "_idempotent",
        "_sends",
        "_streamed",
        "_waiting_since",
        "avoid",
        "began",
    )

    def __init__(
        self,
        *,
        idempotent: bool,
        streamed: bool,
        divided: bool,
        deadline: float,
    ) -> None:
        """Begins with nothing sent.

        Args:
            idempotent: Whether running the request twice does no harm.
            streamed: Whether its body can be read only once.
            divided: Whether only the owner of its key may run it.
            deadline: Time at which the caller gives up.
        """
        self._idempotent = idempotent
        self._streamed = streamed
        self._divided = divided
        self._deadline = deadline
        self._sends = 1
        self._backoff = 0.0
        self._waiting_since: float | None = None
        self.avoid: frozenset[str] = frozenset()
        self.began = False

    def after(
        self,
        kind: errors.ErrorKind,
        policy: config.Retry,
        budget: Budget,
        now: float,
        chance: float,
    ) -> Decision:
        """Decides after a failure.

        Args:
            kind: What went wrong.
            policy: The service's settings.
            budget: The service's budget, drawn on for a second run.
            now: The time.
            chance: From 0 to 1, for jitter.

        Returns:
            What to do. Giving up means to answer the caller at once.
        """
        if self._streamed and self.began:
            return _GIVE_UP
        pause = self._next_pause(policy, chance)
        if now + pause >= self._deadline:
            return _GIVE_UP
        if kind in _REROUTED:
            return self._reroute(policy, now, pause)
        if self._may_resend(kind):
            return self._resend(policy, budget, pause)
        return _GIVE_UP

    def _may_resend(self, kind: errors.ErrorKind) -> bool:
        if kind is errors.ErrorKind.OVERLOADED:
            return not self._divided
        return kind in _UNSURE and self._idempotent

    def _next_pause(self, policy: config.Retry, chance: float) -> float:
        self._backoff = min(
            max(self._backoff * 2, policy.backoff), _LONGEST_BACKOFF_SECONDS
        )
        return self._backoff * (0.5 + chance / 2)

    def _reroute(
        self, policy: config.Retry, now: float, pause: float
    ) -> Decision:
        if self._waiting_since is None:
            self._waiting_since = now
        left = self._waiting_since + policy.owner_wait - now
        if left <= _LEAST_WAIT_SECONDS:
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
