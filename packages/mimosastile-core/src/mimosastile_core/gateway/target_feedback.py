"""Target feedback: what responses state about the target itself."""

import msgspec

_SLOWNESS_SECONDS = 0.2
"""Expected duration of a target's current slowness."""


class TargetLoad(msgspec.Struct, frozen=True):
    """The load of a target at the time of its response.

    Attributes:
        running: Number of requests that it runs.
        waiting: Number of requests that wait for a slot there.
        slots: Number of requests that it can run at a time.
        slowness: Current service time as a multiple of the usual one; targets
            share their machines with other programs.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0

    @property
    def service_times(self) -> float:
        """Service times until another request ends, its own included."""
        ahead = max(self.running + self.waiting + 1 - self.slots, 0)
        return 1 + ahead / self.slots

    def seconds(self, work: float) -> float:
        """Returns the time until the target has answered another request.

        The slowness changes several times a second. It delays the requests that
        run now, but not those that run after the queue has advanced.

        Args:
            work: Usual service time of such a request at the target, in
                seconds.
        """
        usual = work * self.service_times
        slowed = usual * (self.slowness - 1)
        lost = _SLOWNESS_SECONDS * (1 - 1 / self.slowness)
        return usual + max(min(slowed, lost), 0.0)


class TargetFeedback(msgspec.Struct, frozen=True):
    """Information in a response that concerns more than its own request.

    Attributes:
        load: The target's load, None if not stated.
        limit: Requests a second that the target takes from all VMs together,
            None if it states no readable limit.
        names_limit: Whether it states a limit, readable or not.
        leaving: Whether it states that it is about to end.
        rest: Backoff in seconds that it asks of the receiving VM when it
            rejects a request; None if not stated.
        unreadable: Names and values of headers with invalid values.
    """

    load: TargetLoad | None = None
    limit: float | None = None
    names_limit: bool = False
    leaving: bool = False
    rest: float | None = None
    unreadable: tuple[tuple[bytes, bytes], ...] = ()


class HealthReport(msgspec.Struct, frozen=True):
    """The response to a health check.

    Attributes:
        notice: The target's feedback besides the result of the check.
        cold_seconds: For how long the target stays cold, None if not stated.
    """

    notice: TargetFeedback = TargetFeedback()
    cold_seconds: float | None = None
