"""Checks after a soak that VMs complied with target feedback.

Callers observe which VM forwarded the feedback of a target, and targets observe
which requests reach them afterwards.
"""

import collections
from collections.abc import Iterator
import itertools

import msgspec

from mimosastile_standins import platform_target

CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
"""Defaults of the daemons: time until all VMs apply an update, and until a
leaving target receives no more requests."""
_COMPLY_SECONDS = 0.5
"""Time after which a VM must comply with feedback that it received."""
_LIMIT_WINDOW_SECONDS = 4.0
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5
_BACKOFF_REQUESTS = 2
"""Limits guaranteed to users: requests to a rate-limited target, and requests
of one VM to a target during its backoff."""

_Incarnation = tuple[str, int]


class _Limited(msgspec.Struct, frozen=True):
    """A period in which a target set a rate limit.

    Attributes:
        rate: Requests per second.
        began: Start time.
        ended: End time.
    """

    rate: float
    began: float
    ended: float


class ForwardedFeedback(msgspec.Struct, frozen=True):
    """A target's response with feedback that a VM forwarded.

    Attributes:
        attempt: Identifier of the caller's attempt.
        vm: VM that forwarded the response.
        at: Time at which the caller received the response.
        limited: Whether the response sets a rate limit.
        leaving: Whether the response announces that the target leaves.
    """

    attempt: str
    vm: str
    at: float
    limited: bool = False
    leaving: bool = False


class FeedbackChecker:
    """Checks compliance of VMs with target feedback, except during faults.

    Attributes:
        arrivals: Requests that reached targets, appended by the targets.
    """

    __slots__ = (
        "_detours",
        "_forwarded",
        "_limits",
        "_link_faults",
        "_registered",
        "_sent",
        "_vm_faults",
        "arrivals",
    )

    def __init__(self) -> None:
        self.arrivals: list[platform_target.Arrival] = []
        self._sent: dict[str, tuple[str, float]] = {}
        self._forwarded: list[ForwardedFeedback] = []
        self._vm_faults: dict[str, list[float]] = collections.defaultdict(list)
        self._link_faults: list[tuple[float, float]] = []
        self._detours: dict[str, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        self._limits: dict[_Incarnation, list[_Limited]] = {}
        self._registered: dict[_Incarnation, float] = {}

    def record_request(self, attempt: str, vm: str, at: float) -> None:
        """Records a caller's request."""
        self._sent[attempt] = vm, at

    def record_feedback(self, response: ForwardedFeedback) -> None:
        """Records a forwarded response with target feedback."""
        self._forwarded.append(response)

    def record_vm_fault(self, vm: str, at: float) -> None:
        """Records a restart, pause or partition of a VM, which exempts it."""
        self._vm_faults[vm].append(at)

    def record_link_fault(self, began: float, ended: float) -> None:
        """Records a period with faults on links to targets or the store."""
        self._link_faults.append((began, ended))

    def record_detour(self, vm: str, began: float, ended: float) -> None:
        """Records a period in which a VM's requests went through its peers."""
        self._detours[vm].append((began, ended))

    def record_limit(
        self,
        target: platform_target.PlatformTarget,
        rate: float,
        began: float,
        ended: float,
    ) -> None:
        """Records a period in which a target set a rate limit."""
        times = self._limits.setdefault((target.id, target.born), [])
        times.append(_Limited(rate, began, ended))

    def record_leaving(
        self, target: platform_target.PlatformTarget, at: float
    ) -> None:
        """Records when the store acknowledged that a target leaves."""
        self._registered[target.id, target.born] = at

    # Verdict.

    def violations(self) -> list[str]:
        """Returns a message for each violation."""
        by_incarnation: dict[_Incarnation, list[platform_target.Arrival]] = {}
        for arrival in self.arrivals:
            incarnation = arrival.target, arrival.born
            by_incarnation.setdefault(incarnation, []).append(arrival)
        return [
            *itertools.chain.from_iterable(
                itertools.chain(
                    self._limit_violations(incarnation, arrivals),
                    self._leaving_violations(incarnation, arrivals),
                    self._backoff_violations(arrivals),
                )
                for incarnation, arrivals in by_incarnation.items()
            )
        ]

    def _feedback_times(
        self, incarnation: _Incarnation, kind: str
    ) -> dict[str, list[float]]:
        """Returns by VM when it forwarded feedback of an incarnation.

        A response comes from the last target at which the attempt arrived; the
        others have rejected it.
        """
        responders = {
            arrival.attempt: (arrival.target, arrival.born)
            for arrival in sorted(self.arrivals, key=lambda each: each.at)
        }
        feedback_times: dict[str, list[float]] = collections.defaultdict(list)
        for response in self._forwarded:
            responder = responders.get(response.attempt)
            if getattr(response, kind) and responder == incarnation:
                feedback_times[response.vm].append(response.at)
        return feedback_times

    def _vm_undisturbed(self, vm: str, since: float, until: float) -> bool:
        """Whether no fault affected a VM during a period."""
        times = self._vm_faults[vm]
        return not any(since <= at <= until for at in times)

    def _sends_itself(self, vm: str, since: float, until: float) -> bool:
        """Whether no fault affected a VM, and it used no peers, in a period."""
        return self._vm_undisturbed(vm, since, until) and not any(
            began <= until and since <= ended
            for began, ended in self._detours[vm]
        )

    def _links_healthy(self, since: float, until: float) -> bool:
        """Whether no link had a fault during a period."""
        return not any(
            began <= until and since <= ended
            for began, ended in self._link_faults
        )

    def must_apply(self, vm: str, acknowledged: float, until: float) -> bool:
        """Whether no fault exempts a VM from applying a change in time."""
        return self.in_touch(vm, acknowledged - CONTACT_SECONDS, until)

    def in_touch(self, vm: str, since: float, until: float) -> bool:
        """Whether neither a VM nor a link had a fault during a period."""
        return self._vm_undisturbed(vm, since, until) and self._links_healthy(
            since, until
        )

    def _limit_violations(
        self, incarnation: _Incarnation, arrivals: list[platform_target.Arrival]
    ) -> Iterator[str]:
        """Yields the first excess over each limit that a target set."""
        feedback_times = self._feedback_times(incarnation, "limited")
        for limit in self._limits.get(incarnation, ()):
            counted = [
                a.at
                for a in arrivals
                if self._must_comply(a, limit, feedback_times)
            ]
            allowed = (
                _LIMIT_FACTOR * limit.rate * _LIMIT_WINDOW_SECONDS
                + _LIMIT_SLACK
            )
            over = (
                got
                for at in counted
                if at > limit.began + CONTACT_SECONDS
                and self._links_healthy(at - 2 * _LIMIT_WINDOW_SECONDS, at)
                and (got := _count_in_window(counted, at)) > allowed
            )
            for got in itertools.islice(over, 1):
                yield (
                    f"{incarnation[0]} set a limit of {limit.rate} requests/s"
                    f" and got {got} in 4 s"
                )

    def _must_comply(
        self,
        arrival: platform_target.Arrival,
        limit: _Limited,
        feedback_times: dict[str, list[float]],
    ) -> bool:
        """Whether the VM that sent a request had to comply with a limit."""
        if not limit.began <= arrival.at <= limit.ended:
            return False
        if arrival.attempt not in self._sent:
            return False
        vm, _ = self._sent[arrival.attempt]
        received = [
            at
            for at in feedback_times[vm]
            if limit.began <= at <= arrival.at - _COMPLY_SECONDS
        ]
        since = arrival.at - 2 * _LIMIT_WINDOW_SECONDS
        return bool(received) and self._sends_itself(vm, since, arrival.at)

    def _leaving_violations(
        self, incarnation: _Incarnation, arrivals: list[platform_target.Arrival]
    ) -> Iterator[str]:
        """Yields requests that VMs sent to a leaving target too late."""
        feedback_times = self._feedback_times(incarnation, "leaving")
        for arrival in arrivals:
            if arrival.attempt not in self._sent:
                continue
            vm, sent = self._sent[arrival.attempt]
            received = min(feedback_times[vm], default=sent)
            if sent > received + DRAIN_SECONDS and self._sends_itself(
                vm, received, sent
            ):
                yield (
                    f"{vm} sent {arrival.attempt} to {incarnation[0]} after"
                    " feedback that the target leaves"
                )
            late = self._delay_after_registered(arrival)
            if late is not None and late > DRAIN_SECONDS:
                yield (
                    f"{vm} sent {arrival.attempt} to {incarnation[0]},"
                    " registered as leaving"
                )

    def _delay_after_registered(
        self, arrival: platform_target.Arrival
    ) -> float | None:
        """Returns the delay of a request since its target began to leave.

        Returns:
            Seconds, negative before the registration; None without a
            registration or if a fault exempts the VM.
        """
        registered = self._registered.get((arrival.target, arrival.born))
        if registered is None or arrival.attempt not in self._sent:
            return None
        vm, sent = self._sent[arrival.attempt]
        if not self.must_apply(vm, registered, sent):
            return None
        return sent - registered

    def delays_after_leaving(self) -> Iterator[float]:
        """Yields delays of requests sent to targets registered as leaving."""
        for late in map(self._delay_after_registered, self.arrivals):
            if late is not None and late > 0:
                yield late

    def _backoff_violations(
        self, arrivals: list[platform_target.Arrival]
    ) -> Iterator[str]:
        """Yields VMs that sent too many requests during a target's backoff."""
        by_vm: dict[str, list[platform_target.Arrival]] = {}
        for arrival in arrivals:
            if arrival.attempt in self._sent:
                vm, _ = self._sent[arrival.attempt]
                by_vm.setdefault(vm, []).append(arrival)
        for vm, own in by_vm.items():
            for rejected in own:
                ends = rejected.at + rejected.rest
                got = sum(
                    rejected.at + _COMPLY_SECONDS < a.at < ends for a in own
                )
                if got > _BACKOFF_REQUESTS and self._sends_itself(
                    vm, rejected.at, ends
                ):
                    yield (
                        f"{vm} sent {got} requests to {rejected.target}"
                        " during its backoff"
                    )
                    break


def _count_in_window(times: list[float], end: float) -> int:
    """Returns how many times lie in the limit window before an end."""
    return sum(end - _LIMIT_WINDOW_SECONDS < at <= end for at in times)
