"""Detection of target crashes among requests that got no response.

Occasionally a request crashes every target that starts to run it, and is sent
again by its caller. Responses are lost for many other reasons, though, and a
request must not be refused because a link loses packets. The difference is that
a target that has crashed responds to nothing for some seconds, while others go
on to respond: if none does, the fault is this VM's own link.

What shows a crash is decided in `lost_responses`. A target that is silent
without refusing connections is presumed to have crashed until it responds. If
its registration does not end either, it was cut off or hangs, and the crash is
withdrawn on all VMs.

A target may also crash for another reason while it runs a request. A request
that crashes its targets never completes, so one that has completed is not at
fault.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import functools
import itertools
import math

from mimosastile_core import config
from mimosastile_core import quarantine
from mimosastile_core.gateway import lost_responses

_LAPSE_SECONDS = 6.5
"""Usual time within which a VM knows that a target's registration has ended."""
_COMPLETION_SECONDS = 5.0
"""Time after a complete response within which its request is not blamed for the
crash of a target. Copies of a frequent request run on many targets at once and
are all lost when these are killed together."""
_MAX_COMPLETIONS = 4096
"""Number of requests whose latest complete response is remembered."""
POLICY = config.Quarantine(deaths=3, seconds=60.0)
"""A third crash is beyond chance; a minute covers the retries of a caller."""


class CrashDetector:
    """Lost responses observed by one VM, and the crashes that caused them."""

    __slots__ = (
        "_completed",
        "_crashes",
        "_disproved",
        "_lost",
    )

    def __init__(self, lapse_seconds: float = _LAPSE_SECONDS) -> None:
        """Creates a detector without any loss.

        Args:
            lapse_seconds: Longest time from the crash of a target until this
                VM knows that its registration has ended.
        """
        self._completed: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._crashes = quarantine.CrashHistory()
        self._disproved: dict[str, float] = {}
        self._lost = lost_responses.LostResponses(lapse_seconds)

    @property
    def undecided_targets(self) -> tuple[str, ...]:
        """Targets that may have crashed."""
        return self._lost.targets

    def record_loss(self, target: str, request: str, now: float) -> bool:
        """Records that a response was lost.

        Args:
            target: The target.
            request: Fingerprint of the request.
            now: Current time.

        Returns:
            Whether the target may have crashed because of the request.
        """
        if self._has_completed(request, now):
            return False
        self._lost.record(target, request, now)
        return True

    def record_silence(
        self, target: str, request: str, sent_at: float, now: float
    ) -> bool:
        """Records that no response has arrived in time.

        Args:
            target: The target.
            request: Fingerprint of the request.
            sent_at: Time at which the request was sent.
            now: Current time.

        Returns:
            Whether the target may have crashed because of the request. It has
            not if it has responded to others meanwhile.
        """
        if self._lost.has_responded(target, sent_at):
            return False
        return self.record_loss(target, request, now)

    def record_completion(self, request: str, now: float) -> None:
        """Records that a target has run a request and sent its response.

        Crashes of other targets that ran the request had other reasons.

        Args:
            request: Fingerprint of the request.
            now: Current time.
        """
        self._completed[request] = now
        self._completed.move_to_end(request)
        if len(self._completed) > _MAX_COMPLETIONS:
            self._completed.popitem(last=False)
        crashes = self._crashes.crash_ids(request) if self._crashes else ()
        self.withdraw(crashes, now)
        if len(crashes) > 1:
            self._disproved.update(dict.fromkeys(crashes, now))

    def withdraw(self, crashes: Iterable[str], now: float) -> None:
        """Removes crashes for which their requests are not to blame.

        Args:
            crashes: Identifiers of the crashes.
            now: Current time.
        """
        self._crashes.withdraw(crashes, now)

    def withdrawn(self) -> tuple[str, ...]:
        """Returns the identifiers of crashes that were withdrawn lately."""
        return self._crashes.withdrawn()

    def disproved(self, now: float) -> tuple[str, ...]:
        """Returns the crashes that this VM has disproved lately.

        A request with a single crash is far from being refused, so only those
        of requests with several are included.
        """
        self._disproved = {
            crash: at
            for crash, at in self._disproved.items()
            if now - at < POLICY.seconds
        }
        return tuple(self._disproved)

    def is_undecided(self, target: str, now: float) -> bool:
        """Whether attempts to connect to a target can show a crash."""
        return self._lost.is_undecided(target, now)

    def has_link(self, target: str, since: float) -> bool:
        """Whether another target was reached after a time."""
        return self._lost.has_link(target, since)

    def lacks_link(self, target: str) -> bool:
        """Whether no other target was reached after a loss."""
        return self._lost.lacks_link(target)

    def record_link(self, target: str, now: float) -> None:
        """Records that a target was reached, though it may not respond."""
        self._lost.record_link(target, now)

    def record_response(self, target: str, now: float) -> None:
        """Records that a target responds; earlier losses were no crashes."""
        self._disprove(self._lost.record_response(target, now), now)

    def confirm_crashes(
        self, target: str, attempted_at: float, now: float, id_prefix: str
    ) -> list[quarantine.Crash]:
        """Records that a target accepts no connections.

        Losses after which no other target has responded before the attempt stay
        unconfirmed, as this VM may have lost its link.

        Args:
            target: The target.
            attempted_at: Time at which the connection was attempted.
            now: Current time.
            id_prefix: Prefix for the identifiers of the crashes.

        Returns:
            The crashes that this confirms.
        """
        lost = self._lost.take_refused(target, attempted_at, now)
        return self._record(target, lost, now, id_prefix, ran=0.0)

    def presume_crashes(
        self, target: str, until: float, now: float, id_prefix: str
    ) -> list[quarantine.Crash]:
        """Records that a target has responded to nothing.

        The crashes are withdrawn when it responds, or when its registration
        has not ended in time.

        Args:
            target: The target.
            until: Time of the losses up to which this shows a crash.
            now: Current time.
            id_prefix: Prefix for the identifiers of the crashes.

        Returns:
            The crashes that are presumed now.
        """
        new_id = functools.partial(next, _identifiers(id_prefix))
        return self._record(
            target, self._lost.presume(target, until, new_id), now, id_prefix
        )

    def confirm_end(
        self, target: str, now: float, id_prefix: str, *, restarted: bool
    ) -> list[quarantine.Crash]:
        """Records that the registration of a target has ended.

        Args:
            target: The target.
            now: Current time.
            id_prefix: Prefix for the identifiers of the crashes.
            restarted: Whether a later incarnation has replaced it.

        Returns:
            The crashes that this shows, without those that were presumed.
        """
        lost = self._lost.take_ended(target, now, restarted=restarted)
        return self._record(target, lost, now, id_prefix)

    def expire(self, now: float) -> None:
        """Drops losses of targets whose registrations have not ended."""
        self._disprove(self._lost.expire(now), now)

    def record_crash(self, death: quarantine.Crash, now: float) -> None:
        """Records a crash that another VM has confirmed."""
        self._crashes.record(death, now)

    def is_held(self, request: str, now: float) -> bool:
        """Whether a request has crashed too many targets to be sent again."""
        if not self._crashes:
            return False
        return self._crashes.held_for(request, POLICY, now) > 0

    def crashes(self, now: float) -> tuple[quarantine.Crash, ...]:
        """Returns all crashes still recorded, with their current ages."""
        self._crashes.expire(POLICY, now)
        return self._crashes.crashes(now)

    def repeated(self, now: float) -> tuple[quarantine.Crash, ...]:
        """Returns the recorded crashes of requests that have several."""
        counts = self._crashes.fingerprints()
        return tuple(
            crash
            for crash in self.crashes(now)
            if counts[crash.fingerprint] > 1
        )

    def _record(
        self,
        target: str,
        lost: Iterable[lost_responses.Loss],
        now: float,
        id_prefix: str,
        ran: float = POLICY.seconds,
    ) -> list[quarantine.Crash]:
        """Records the crashes that lost responses show; returns them.

        Args:
            target: The target.
            lost: The lost responses.
            now: Current time.
            id_prefix: Prefix for the identifiers of the crashes.
            ran: Seconds for which the requests may have run. Those of one
                incarnation count as one crash.
        """
        crashes = [
            quarantine.Crash(
                loss.crash or identifier,
                loss.request,
                target,
                0,
                now - loss.at,
                ran,
            )
            for identifier, loss in zip(
                _identifiers(id_prefix), lost, strict=False
            )
            if not self._has_completed(loss.request, now)
        ]
        for crash in crashes:
            self._crashes.record(crash, now)
        return crashes

    def _disprove(self, crashes: list[str], now: float) -> None:
        """Withdraws presumed crashes on all VMs."""
        if crashes:
            self.withdraw(crashes, now)
            self._disproved.update(dict.fromkeys(crashes, now))

    def _has_completed(self, request: str, now: float) -> bool:
        """Whether a target has lately run a request to its end."""
        completed_at = self._completed.get(request, -math.inf)
        return now - completed_at < _COMPLETION_SECONDS


def _identifiers(prefix: str) -> Iterator[str]:
    return (f"{prefix}-{number}" for number in itertools.count())


class CrashReports:
    """Crashes confirmed by one VM that its leader may not have.

    A report may be lost, and a new leader has none of its predecessor's.
    """

    __slots__ = ("_confirmed", "_detector", "_own", "_reported")

    def __init__(self, detector: CrashDetector) -> None:
        """Creates it without any crash.

        Args:
            detector: The VM's own detector, which has recorded the crashes.
        """
        self._detector = detector
        self._own: frozenset[str] = frozenset()
        self._reported: frozenset[str] = frozenset()
        self._confirmed: frozenset[str] = frozenset()

    def add(self, crashes: Iterable[str]) -> None:
        """Adds crashes by their identifiers."""
        self._own |= frozenset(crashes)

    def due(self, now: float) -> tuple[quarantine.Crash, ...]:
        """Returns the crashes for the next report, with their current ages."""
        if not self._own:
            return ()
        own = [c for c in self._detector.crashes(now) if c.id in self._own]
        self._own = self._reported = frozenset(crash.id for crash in own)
        return tuple(c for c in own if c.id not in self._confirmed)

    def confirm(self) -> None:
        """Records that the leader has received the last report."""
        self._confirmed = self._reported

    def repeat(self) -> None:
        """Repeats all crashes, as there is a new leader."""
        self._confirmed = frozenset()
