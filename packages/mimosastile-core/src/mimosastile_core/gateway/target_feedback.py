"""What a target says of itself in its answers."""

import msgspec

_SLOWNESS_SECONDS = 0.2
"""Time for which a target that is slow now can be expected to stay so."""


class TargetLoad(msgspec.Struct, frozen=True):
    """A target's load at the moment of its answer.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait for a slot there.
        slots: Requests that it can run at a time.
        slowness: How many times as long as usual work takes at the moment;
            targets share their machines with others.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0

    @property
    def runs(self) -> float:
        """Runs that another request takes: its own and those before it."""
        ahead = max(self.running + self.waiting + 1 - self.slots, 0)
        return 1 + ahead / self.slots

    def seconds(self, work: float) -> float:
        """Returns the time until it has answered another request.

        Its slowness changes several times a second: it delays what runs now,
        and says nothing of what will run when the queue has moved on.

        Args:
            work: Seconds of such a request there when it is as fast as usual.
        """
        usual = work * self.runs
        slowed = usual * (self.slowness - 1)
        lost = _SLOWNESS_SECONDS * (1 - 1 / self.slowness)
        return usual + max(min(slowed, lost), 0.0)


class TargetFeedback(msgspec.Struct, frozen=True):
    """What a target says in an answer that concerns other requests as well.

    Attributes:
        load: The target's load, None if it does not say.
        limit: Requests a second that it takes from all VMs together, None if
            it names none that can be read.
        names_limit: Whether it names a limit, readable or not.
        leaving: Whether it says that it is about to end.
        rest: Seconds for which it wants nothing from the VM that it answers,
            where it turns a request away; None if it does not say.
        unreadable: Headers whose values make no sense, by name.
    """

    load: TargetLoad | None = None
    limit: float | None = None
    names_limit: bool = False
    leaving: bool = False
    rest: float | None = None
    unreadable: tuple[tuple[bytes, bytes], ...] = ()


class HealthReport(msgspec.Struct, frozen=True):
    """An answer to a health check.

    Attributes:
        notice: What it says beside the check's result.
        cold_seconds: For how long it stays cold, None if it does not say.
    """

    notice: TargetFeedback = TargetFeedback()
    cold_seconds: float | None = None
