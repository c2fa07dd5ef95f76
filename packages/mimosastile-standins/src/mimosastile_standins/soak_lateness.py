"""Measures from outside how soon an acknowledged change takes effect.

Probes of routes that a configuration version added show which version a VM
applies. Arrivals at targets show which VMs still send requests to a leaving
target.
"""

import collections
from collections.abc import Iterator
import itertools

import msgspec

from mimosastile_standins import soak_notices

APPLY_SECONDS = 2.0
"""Default time limit within which a daemon must apply a version."""
_NOT_FOUND = 404
_OK = 200
_UNSERVED_PROBES = 10
"""Probes without success after recovery from which a version counts as never
taken."""


class Probe(msgspec.Struct, frozen=True):
    """A request on a route that a configuration version added.

    Attributes:
        vm: VM that received the request.
        version: Configuration version that added the route.
        sent: Time at which the request was sent.
        status: Status of the response, 0 without a response.
    """

    vm: str
    version: int
    sent: float
    status: int


class Lateness(msgspec.Struct, frozen=True):
    """Longest observed use of outdated state, and the margin to its limit.

    Attributes:
        configuration: Seconds from a version's acknowledgement to the last
            request that a VM handled by an older one.
        configuration_margin: Seconds from there to the limit.
        leaving: Seconds from the acknowledgement that a target leaves to the
            last request that a VM sent to the target.
        leaving_margin: Seconds from there to the limit.
    """

    configuration: float
    configuration_margin: float
    leaving: float
    leaving_margin: float


class LatenessChecker:
    """Checks from acknowledgements and probes that changes apply in time.

    Only VMs count that no fault has affected since shortly before the
    acknowledgement.
    """

    __slots__ = ("_acknowledged", "_feedback", "_probes")

    def __init__(self, feedback: soak_notices.FeedbackChecker) -> None:
        """Initializes a checker without probes.

        Args:
            feedback: Records faults of VMs and registrations of targets.
        """
        self._feedback = feedback
        self._acknowledged: dict[int, float] = {}
        self._probes: list[Probe] = []

    def record_version(self, version: int, at: float) -> None:
        """Records the time at which the store acknowledged a version."""
        self._acknowledged[version] = at

    def record_probe(self, probe: Probe) -> None:
        """Records the outcome of a probe."""
        self._probes.append(probe)

    def _late_probes(self) -> Iterator[tuple[Probe, float]]:
        """Yields probes that an older version handled, with the delay."""
        for probe in self._probes:
            acknowledged = self._acknowledged[probe.version]
            must_apply = self._feedback.must_apply(
                probe.vm, acknowledged, probe.sent
            )
            if probe.status == _NOT_FOUND and must_apply:
                yield probe, probe.sent - acknowledged

    def violations(self) -> list[str]:
        """Returns a message for each change that applied too late."""
        return [
            f"{probe.vm} applied a version older than"
            f" {probe.version}, {late:.2f} s after its acknowledgement"
            for probe, late in self._late_probes()
            if late > APPLY_SECONDS
        ]

    def never_taken(self, recovered: float) -> list[str]:
        """Returns a message for each version that a VM did not take at all.

        A VM that knows that its view is old responds 503 to what it does not
        know, and is not late by that.

        Args:
            recovered: Time from which all VMs must serve.
        """
        failed: collections.Counter[tuple[str, int]] = collections.Counter(
            (probe.vm, probe.version)
            for probe in self._probes
            if probe.sent >= recovered and probe.status != _OK
        )
        return [
            f"{vm} has not taken version {version} after recovery"
            for (vm, version), count in failed.items()
            if count >= _UNSERVED_PROBES
        ]

    def report(self) -> Lateness:
        """Returns the longest observed uses of outdated state."""
        delays = (late for _, late in self._late_probes())
        version = max(itertools.chain(delays, (0.0,)))
        leaving = max(
            itertools.chain(self._feedback.delays_after_leaving(), (0.0,))
        )
        return Lateness(
            round(version, 3),
            round(APPLY_SECONDS - version, 3),
            round(leaving, 3),
            round(soak_notices.DRAIN_SECONDS - leaving, 3),
        )
