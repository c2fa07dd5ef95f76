"""Sums of the requests in progress and waiting at each target, of all VMs.

A leader of a hundred VMs receives some two hundred reports a second and
responds to each with the other VMs' counts at hundreds of targets. Adding up
all reports for every response took most of its processor time. Here a report
only replaces its VM's former counts in the sums.
"""

from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
import zlib

import msgspec

from mimosastile_core.gateway import directory

_GATE_ABOVE_SHARE = 1.0
"""A target gets an admission gate above this number of requests per slot, in
progress and waiting: from then on some of them wait."""
_GATE_BELOW_SHARE = 0.5
"""The same below which a target loses its gate."""
_WEAK_SHARE = 0.5
"""Strength of a VM, as a share of the strongest one's, below which it is no
gate if there are others: its link is taken up by the responses that it passes
on, and messages of a gate wait behind them or are lost."""


class _Report(msgspec.Struct):
    """The report of one VM.

    Attributes:
        under_way: Requests in progress by target.
        wanted: Requests in progress and waiting by target.
        at: Time of the report.
    """

    under_way: dict[str, int]
    wanted: dict[str, int]
    at: float


class Demand:
    """Sums over the last reports of all VMs."""

    __slots__ = (
        "_contended",
        "_reports",
        "_under_way",
        "_valid_seconds",
        "_wanted",
    )

    def __init__(self, valid_seconds: float) -> None:
        """Makes empty sums.

        Args:
            valid_seconds: Seconds for which a report counts.
        """
        self._valid_seconds = valid_seconds
        self._reports: dict[str, _Report] = {}
        self._under_way: dict[str, int] = {}
        self._contended: set[str] = set()
        self._wanted: dict[str, int] = {}

    def set_valid_seconds(self, seconds: float) -> None:
        """Sets the time in seconds for which a report counts."""
        self._valid_seconds = seconds

    def record(
        self,
        vm: str,
        under_way: Mapping[str, int],
        waiting: Mapping[str, int],
        now: float,
    ) -> None:
        """Replaces a VM's last report."""
        self._drop(vm)
        wanted = dict(under_way)
        for target, count in waiting.items():
            wanted[target] = wanted.get(target, 0) + count
        self._reports[vm] = _Report(dict(under_way), wanted, now)
        _add_counts(self._under_way, under_way.items())
        _add_counts(self._wanted, wanted.items())
        self._drop_expired(now)

    def busy_counts(
        self, vm: str, zone: str, targets: directory.Directory
    ) -> dict[str, int]:
        """Returns the requests of other VMs at targets that are busy.

        Targets of the VM's own zone count as busy from half of their slots on;
        fewer requests do not influence the choice of a target. In other zones
        all slots must be taken.

        Args:
            vm: The VM that receives the counts.
            zone: Its availability zone.
            targets: The targets.
        """
        report = self._reports.get(vm)
        own = report.under_way if report else {}
        counts = {}
        for name, total in self._under_way.items():
            count = total - own.get(name, 0)
            entry = targets.get(name)
            if not count or entry is None or name in self._contended:
                # VMs ask a contended target's gate and need no count.
                continue
            factor = 2 if entry.target.zone == zone else 1
            if count * factor >= entry.target.slots:
                counts[name] = count
        return counts

    def busy(self, slots: Mapping[str, int], *, spread: bool) -> int:
        """Returns how many slots of targets are busy.

        Args:
            slots: Slots by target.
            spread: Whether requests go to any target with a free slot. Counts
                of many VMs are old; single targets then seem to have free
                slots by chance.
        """
        counts = {name: self._under_way.get(name, 0) for name in slots}
        if spread:
            return min(sum(counts.values()), sum(slots.values()))
        return sum(min(counts[name], count) for name, count in slots.items())

    def gates(
        self,
        vms: Iterable[tuple[str, str]],
        regions: Mapping[str, str],
        keyed: Container[str],
        targets: directory.Directory,
        bounded: Iterable[str] = (),
        weak: Container[str] = (),
    ) -> dict[str, str]:
        """Returns the admission gates of contended and rate-limited targets.

        A gate is a VM as near to the target as possible; a VM of the target's
        zone that is weak comes after others of its region. A target stays
        contended until its load is much lower. This keeps VMs from switching
        back and forth between using a gate and sending directly.

        Args:
            vms: Addresses of the VMs that report, each with its zone.
            regions: Region of each zone.
            keyed: Services whose targets own ranges of keys. Requests of other
                services go to any target with capacity and need no gate.
            targets: The targets.
            bounded: Targets with a limit on the rate of all VMs.
            weak: Addresses of VMs that should not be gates.
        """
        candidates = list(vms)
        contended = set()
        for name, total in self._wanted.items():
            entry = targets.get(name)
            if entry is None or entry.target.service not in keyed:
                continue
            share = (
                _GATE_BELOW_SHARE
                if name in self._contended
                else _GATE_ABOVE_SHARE
            )
            if total > entry.target.slots * share:
                contended.add(name)
        self._contended = contended
        gates = {}
        for name in contended.union(bounded):
            entry = targets.get(name)
            if entry is not None and candidates:
                zone = entry.target.zone
                gates[name] = min(
                    candidates,
                    key=lambda vm, zone=zone, name=name: (  # type: ignore[misc]
                        regions.get(vm[1]) != regions.get(zone),
                        vm[0] in weak,
                        vm[1] != zone,
                        zlib.crc32(f"{vm[0]}/{name}".encode()),
                    ),
                )[0]
        return gates

    def _drop_expired(self, now: float) -> None:
        expired = [
            vm
            for vm, report in self._reports.items()
            if now - report.at >= self._valid_seconds
        ]
        for vm in expired:
            self._drop(vm)

    def _drop(self, vm: str) -> None:
        report = self._reports.pop(vm, None)
        if report is None:
            return
        _add_counts(
            self._under_way, ((t, -c) for t, c in report.under_way.items())
        )
        _add_counts(self._wanted, ((t, -c) for t, c in report.wanted.items()))


def weak_vms(strengths: Mapping[str, float]) -> frozenset[str]:
    """Returns the VMs that should not be admission gates.

    Args:
        strengths: Strength of each VM's processor and link, by address.
    """
    least = _WEAK_SHARE * max(strengths.values(), default=0.0)
    return frozenset(vm for vm, value in strengths.items() if value < least)


def _add_counts(
    sums: dict[str, int], counts: Iterable[tuple[str, int]]
) -> None:
    for name, count in counts:
        total = sums.get(name, 0) + count
        if total:
            sums[name] = total
        else:
            sums.pop(name, None)
