"""What all VMs have under way and waiting at each target.

A leader with a hundred VMs takes some two hundred reports a second and answers
each with what the others have at hundreds of targets. Adding all reports up
for every answer was most of its processor time; here a report changes what
its VM had before, and nothing else.
"""

from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
import zlib

import msgspec

from mimosastile_core.gateway import directory

_ENTER_SHARE = 1.0
"""Requests at a target, under way and wanted, per slot, above which it gets a
gate: from then on some of them wait."""
_LEAVE_SHARE = 0.5
"""The same below which it loses it."""


class _Share(msgspec.Struct):
    """What one VM reported.

    Attributes:
        under_way: Requests under way by target.
        wanted: These and the waiting ones.
        at: When.
    """

    under_way: dict[str, int]
    wanted: dict[str, int]
    at: float


class Demand:
    """Sums over the last reports of all VMs."""

    __slots__ = ("_contended", "_fresh", "_shares", "_totals", "_under_way")

    def __init__(self, fresh: float) -> None:
        """Makes an empty one.

        Args:
            fresh: Seconds for which a report counts.
        """
        self._fresh = fresh
        self._shares: dict[str, _Share] = {}
        self._under_way: dict[str, int] = {}
        self._contended: set[str] = set()
        self._totals: dict[str, int] = {}

    def take(
        self,
        vm: str,
        under_way: Mapping[str, int],
        waiting: Mapping[str, int],
        now: float,
    ) -> None:
        """Takes a VM's report in place of its last one."""
        self._drop(vm)
        wanted = dict(under_way)
        for target, count in waiting.items():
            wanted[target] = wanted.get(target, 0) + count
        self._shares[vm] = _Share(dict(under_way), wanted, now)
        _add(self._under_way, under_way.items())
        _add(self._totals, wanted.items())
        self._forget_silent(now)

    def busy(
        self, vm: str, zone: str, known: directory.Directory
    ) -> dict[str, int]:
        """Returns what other VMs have under way at targets that are busy.

        Below half of a target's slots it does not matter to anyone's choice;
        in other zones, only whether a slot is free.

        Args:
            vm: The VM that is told.
            zone: Its availability zone.
            known: The targets.
        """
        share = self._shares.get(vm)
        own = share.under_way if share else {}
        found = {}
        for name, total in self._under_way.items():
            count = total - own.get(name, 0)
            entry = known.get(name)
            if not count or entry is None or name in self._contended:
                # Whoever wants a contended one asks its gate.
                continue
            factor = 2 if entry.target.zone == zone else 1
            if count * factor >= entry.target.slots:
                found[name] = count
        return found

    def gates(
        self,
        vms: Iterable[tuple[str, str]],
        regions: Mapping[str, str],
        keyed: Container[str],
        known: directory.Directory,
        bounded: Iterable[str] = (),
    ) -> dict[str, str]:
        """Returns the VMs that admit requests to contended or bounded targets.

        It stands as near to the target as there are VMs. A target stays
        contended until much less is asked of it, so that VMs do not go back
        and forth between asking a gate and sending by themselves.

        Args:
            vms: Addresses of those that report, each with its zone.
            regions: Region of each zone.
            keyed: Services that are divided by key. A request for another one
                goes where there is room, and asks nobody.
            known: The targets.
            bounded: Targets whose rate is bounded over all VMs.
        """
        able = list(vms)
        contended = set()
        for name, total in self._totals.items():
            entry = known.get(name)
            if entry is None or entry.target.service not in keyed:
                continue
            share = _LEAVE_SHARE if name in self._contended else _ENTER_SHARE
            if total > entry.target.slots * share:
                contended.add(name)
        self._contended = contended
        found = {}
        for name in contended.union(bounded):
            entry = known.get(name)
            if entry is not None and able:
                zone = entry.target.zone
                found[name] = min(
                    able,
                    key=lambda vm, zone=zone, name=name: (  # type: ignore[misc]
                        vm[1] != zone,
                        regions.get(vm[1]) != regions.get(zone),
                        zlib.crc32(f"{vm[0]}/{name}".encode()),
                    ),
                )[0]
        return found

    def _forget_silent(self, now: float) -> None:
        silent = [
            vm
            for vm, share in self._shares.items()
            if now - share.at >= self._fresh
        ]
        for vm in silent:
            self._drop(vm)

    def _drop(self, vm: str) -> None:
        share = self._shares.pop(vm, None)
        if share is None:
            return
        _add(self._under_way, ((t, -c) for t, c in share.under_way.items()))
        _add(self._totals, ((t, -c) for t, c in share.wanted.items()))


def _add(sums: dict[str, int], counts: Iterable[tuple[str, int]]) -> None:
    for name, count in counts:
        total = sums.get(name, 0) + count
        if total:
            sums[name] = total
        else:
            sums.pop(name, None)
