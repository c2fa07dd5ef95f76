"""What all VMs have under way and waiting at each target.

A leader with a hundred VMs takes some two hundred reports a second and answers
each with what the others have at hundreds of targets. Adding all reports up
for every answer was most of its processor time; here a report changes what
its VM had before, and nothing else.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from mimosastile_core.gateway import directory
from mimosastile_core.gateway import room


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

    __slots__ = ("_fresh", "_shares", "_totals", "_under_way", "_wanted")

    def __init__(self, fresh: float) -> None:
        """Makes an empty one.

        Args:
            fresh: Seconds for which a report counts.
        """
        self._fresh = fresh
        self._shares: dict[str, _Share] = {}
        self._under_way: dict[str, int] = {}
        self._wanted: dict[str, dict[str, int]] = {}
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
        for target, count in wanted.items():
            self._wanted.setdefault(target, {})[vm] = count
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
            if not count or entry is None:
                continue
            factor = 2 if entry.target.zone == zone else 1
            if count * factor >= entry.target.slots:
                found[name] = count
        return found

    def parts(
        self,
        vm: str,
        waiting: Mapping[str, int],
        known: directory.Directory,
        queue: int,
        turn: int,
    ) -> dict[str, room.Part]:
        """Returns what a VM has of targets that many VMs want.

        Args:
            vm: The VM.
            waiting: What it has waiting, by target.
            known: The targets.
            queue: Requests that may wait at a target.
            turn: Changes with time, so that remainders go round.
        """
        found = {}
        for name, total in self._totals.items():
            entry = known.get(name)
            if entry is None:
                continue
            limit = entry.target.slots + queue
            if name in waiting or total > limit:
                found[name] = room.part(vm, self._wanted[name], limit, turn)
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
        for target in share.wanted:
            wanted = self._wanted[target]
            del wanted[vm]
            if not wanted:
                del self._wanted[target]


def _add(sums: dict[str, int], counts: Iterable[tuple[str, int]]) -> None:
    for name, count in counts:
        total = sums.get(name, 0) + count
        if total:
            sums[name] = total
        else:
            sums.pop(name, None)
