"""Whether what targets say of themselves is kept, judged after a soak.

Callers see which VM has passed on what a target said, targets see which
requests reach them afterwards.
"""

import collections
from collections.abc import Iterator
import itertools

import msgspec

from mimosastile_standins import platform_target

CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
"""The daemons' defaults: time until all VMs keep to what is new, and until a
target that leaves gets nothing more."""
_TOLD_SECONDS = 0.5
"""Time after which a VM that was told is bound."""
_LIMIT_WINDOW = 4.0
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5
_REST_REQUESTS = 2
"""The users' bounds on what a limited target and one that rests get."""

_Run = tuple[str, int]


class _Limited(msgspec.Struct, frozen=True):
    """A time in which a target has named a limit.

    Attributes:
        rate: Requests a second.
        began: Since when.
        ended: Until when.
    """

    rate: float
    began: float
    ended: float


class Passed(msgspec.Struct, frozen=True):
    """An answer of a target that a VM has passed on.

    Attributes:
        attempt: The caller's attempt.
        vm: Who passed it on.
        at: When the caller had it.
        limited: Whether it names a limit.
        leaving: Whether it says that the target leaves.
    """

    attempt: str
    vm: str
    at: float
    limited: bool = False
    leaving: bool = False


class Notices:
    """Collects what targets say, what reaches them, and who is excused.

    Attributes:
        arrivals: Requests that have reached targets; targets write it.
    """

    __slots__ = (
        "_disturbed",
        "_limits",
        "_passed",
        "_registered",
        "_sent",
        "_trouble",
        "arrivals",
    )

    def __init__(self) -> None:
        self.arrivals: list[platform_target.Arrival] = []
        self._sent: dict[str, tuple[str, float]] = {}
        self._passed: list[Passed] = []
        self._disturbed: dict[str, list[float]] = collections.defaultdict(list)
        self._trouble: list[tuple[float, float]] = []
        self._limits: dict[_Run, list[_Limited]] = {}
        self._registered: dict[_Run, float] = {}

    def sent(self, attempt: str, vm: str, at: float) -> None:
        """Notes a caller's request."""
        self._sent[attempt] = vm, at

    def passed(self, answer: Passed) -> None:
        """Notes an answer that says something of its target."""
        self._passed.append(answer)

    def disturb(self, vm: str, at: float) -> None:
        """Notes a restart, a pause or a cut of a VM, which excuses it."""
        self._disturbed[vm].append(at)

    def trouble(self, began: float, ended: float) -> None:
        """Notes a time in which links to targets or the store were harmed."""
        self._trouble.append((began, ended))

    def limited(
        self,
        target: platform_target.PlatformTarget,
        rate: float,
        began: float,
        ended: float,
    ) -> None:
        """Notes for how long a target has named a limit."""
        times = self._limits.setdefault((target.id, target.born), [])
        times.append(_Limited(rate, began, ended))

    def registered(
        self, target: platform_target.PlatformTarget, at: float
    ) -> None:
        """Notes that the store shows that a target leaves."""
        self._registered[target.id, target.born] = at

    # The verdict.

    def wrong(self) -> list[str]:
        """Returns what was not kept, as sentences."""
        by_run: dict[_Run, list[platform_target.Arrival]] = {}
        for arrival in self.arrivals:
            run = arrival.target, arrival.born
            by_run.setdefault(run, []).append(arrival)
        return [
            *itertools.chain.from_iterable(
                itertools.chain(
                    self._over_limit(run, arrivals),
                    self._after_leaving(run, arrivals),
                    self._in_rest(arrivals),
                )
                for run, arrivals in by_run.items()
            )
        ]

    def _told(
        self, arrivals: list[platform_target.Arrival], what: str
    ) -> dict[str, list[float]]:
        """Returns when VMs passed on answers of a run that say something."""
        attempts = {arrival.attempt for arrival in arrivals}
        told: dict[str, list[float]] = collections.defaultdict(list)
        for answer in self._passed:
            if getattr(answer, what) and answer.attempt in attempts:
                told[answer.vm].append(answer.at)
        return told

    def _calm(self, vm: str, since: float, until: float) -> bool:
        """Whether nothing has excused a VM for some time."""
        times = self._disturbed[vm]
        return not any(since <= at <= until for at in times)

    def _well(self, since: float, until: float) -> bool:
        """Whether no link was harmed for some time."""
        return not any(
            began <= until and since <= ended for began, ended in self._trouble
        )

    def in_touch(self, vm: str, acknowledged: float, until: float) -> bool:
        """Whether a VM is bound by what was acknowledged at some time."""
        since = acknowledged - CONTACT_SECONDS
        return self._calm(vm, since, until) and self._well(since, until)

    def _over_limit(
        self, run: _Run, arrivals: list[platform_target.Arrival]
    ) -> Iterator[str]:
        """Yields windows in which a limited target got too much."""
        told = self._told(arrivals, "limited")
        for named in self._limits.get(run, ()):
            counted = [a.at for a in arrivals if self._counts(a, named, told)]
            allowed = _LIMIT_FACTOR * named.rate * _LIMIT_WINDOW + _LIMIT_SLACK
            over = (
                got
                for at in counted
                if at > named.began + CONTACT_SECONDS
                and self._well(at - 2 * _LIMIT_WINDOW, at)
                and (got := _within(counted, at)) > allowed
            )
            for got in itertools.islice(over, 1):
                yield f"{run[0]} named {named.rate} and got {got} in 4 s"

    def _counts(
        self,
        arrival: platform_target.Arrival,
        named: _Limited,
        told: dict[str, list[float]],
    ) -> bool:
        """Whether a request is one of a VM that knew of a limit."""
        if not named.began <= arrival.at <= named.ended:
            return False
        if arrival.attempt not in self._sent:
            return False
        vm, _ = self._sent[arrival.attempt]
        heard = [
            at
            for at in told[vm]
            if named.began <= at <= arrival.at - _TOLD_SECONDS
        ]
        since = arrival.at - 2 * _LIMIT_WINDOW
        return bool(heard) and self._calm(vm, since, arrival.at)

    def _after_leaving(
        self, run: _Run, arrivals: list[platform_target.Arrival]
    ) -> Iterator[str]:
        """Yields requests for a target that had left for their VM."""
        told = self._told(arrivals, "leaving")
        for arrival in arrivals:
            if arrival.attempt not in self._sent:
                continue
            vm, sent = self._sent[arrival.attempt]
            heard = min(told[vm], default=sent)
            if sent > heard + DRAIN_SECONDS and self._calm(vm, heard, sent):
                yield f"{vm} sent {arrival.attempt} to {run[0]}, as it left"
            late = self._after_registered(arrival)
            if late is not None and late > DRAIN_SECONDS:
                yield f"{vm} sent {arrival.attempt} to {run[0]}, registered out"

    def _after_registered(
        self, arrival: platform_target.Arrival
    ) -> float | None:
        """Returns how long after a registered leaving a request was sent.

        Returns:
            Seconds, negative before it; None if nothing was registered or the
            VM is excused.
        """
        registered = self._registered.get((arrival.target, arrival.born))
        if registered is None or arrival.attempt not in self._sent:
            return None
        vm, sent = self._sent[arrival.attempt]
        if not self.in_touch(vm, registered, sent):
            return None
        return sent - registered

    def after_leaving(self) -> Iterator[float]:
        """Yields how long after a registered leaving requests were sent."""
        for late in map(self._after_registered, self.arrivals):
            if late is not None and late > 0:
                yield late

    def _in_rest(
        self, arrivals: list[platform_target.Arrival]
    ) -> Iterator[str]:
        """Yields VMs that press a target that wanted nothing from them."""
        of_vm: dict[str, list[platform_target.Arrival]] = {}
        for arrival in arrivals:
            if arrival.attempt in self._sent:
                vm, _ = self._sent[arrival.attempt]
                of_vm.setdefault(vm, []).append(arrival)
        for vm, own in of_vm.items():
            for asked in own:
                ends = asked.at + asked.rest
                got = sum(asked.at + _TOLD_SECONDS < a.at < ends for a in own)
                if got > _REST_REQUESTS and self._calm(vm, asked.at, ends):
                    yield f"{vm} sent {got} to {asked.target} in its rest"
                    break


def _within(times: list[float], end: float) -> int:
    """Returns how many of some times lie in the window before one."""
    return sum(end - _LIMIT_WINDOW < at <= end for at in times)
