"""How long after its acknowledgement a change is in force, seen from outside.

Probes of routes that a version has added show by which version a VM handles
requests; arrivals at targets show which VMs still send to one that leaves.
"""

from collections.abc import Iterator
import itertools

import msgspec

from mimosastile_standins import soak_notices

APPLY_SECONDS = 2.0
"""The daemons' default: time within which a version has to be in force."""
_NOT_FOUND = 404


class Probe(msgspec.Struct, frozen=True):
    """One request on a route that a version has added.

    Attributes:
        vm: Who got it.
        version: The version.
        sent: When it was sent.
        status: The answer's status, 0 if there was none.
    """

    vm: str
    version: int
    sent: float
    status: int


class Lateness(msgspec.Struct, frozen=True):
    """The latest effect of old knowledge, and what was left to its bound.

    Attributes:
        configuration: Seconds from a version's acknowledgement to the last
            request that a VM handled by an older one.
        configuration_margin: Seconds from there to the bound.
        leaving: Seconds from the acknowledgement of a leaving to the last
            request that a VM sent to the target.
        leaving_margin: Seconds from there to the bound.
    """

    configuration: float
    configuration_margin: float
    leaving: float
    leaving_margin: float


class Lag:
    """Collects acknowledgements and probes, and judges them.

    VMs count that nothing has excused since shortly before the
    acknowledgement.
    """

    __slots__ = ("_notices", "_probes", "_written")

    def __init__(self, notices: soak_notices.Notices) -> None:
        """Makes one without probes.

        Args:
            notices: Knows who is excused, and what targets register.
        """
        self._notices = notices
        self._written: dict[int, float] = {}
        self._probes: list[Probe] = []

    def written(self, version: int, at: float) -> None:
        """Notes that the store has acknowledged a version."""
        self._written[version] = at

    def probed(self, probe: Probe) -> None:
        """Notes the outcome of a probe."""
        self._probes.append(probe)

    def _behind(self) -> Iterator[tuple[Probe, float]]:
        """Yields probes handled by older versions, with their lateness."""
        for probe in self._probes:
            written = self._written[probe.version]
            bound = self._notices.in_touch(probe.vm, written, probe.sent)
            if probe.status == _NOT_FOUND and bound:
                yield probe, probe.sent - written

    def wrong(self) -> list[str]:
        """Returns what was too late, as sentences."""
        return [
            f"{probe.vm} handled a request by a version before"
            f" {probe.version}, {late:.2f} s after that"
            for probe, late in self._behind()
            if late > APPLY_SECONDS
        ]

    def report(self) -> Lateness:
        """Returns the latest effects of old knowledge."""
        behind = (late for _, late in self._behind())
        version = max(itertools.chain(behind, (0.0,)))
        leaving = max(itertools.chain(self._notices.after_leaving(), (0.0,)))
        return Lateness(
            round(version, 3),
            round(APPLY_SECONDS - version, 3),
            round(leaving, 3),
            round(soak_notices.DRAIN_SECONDS - leaving, 3),
        )
