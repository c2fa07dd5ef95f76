"""Checks that VMs without a path to targets serve their callers nevertheless.

While some VMs are partitioned from all targets, first tries at these VMs must
be served nearly as often as those at the others.
"""

from collections.abc import Iterable

import msgspec

from mimosastile_standins import soak_notices
from mimosastile_standins import soak_oracle

CONTACT_SECONDS = 3.0
"""Seconds after the beginning of a partition from which first tries count."""
_MIN_RATIO = 2 / 3
"""Least served share at partitioned VMs, relative to that at the others."""
_ALLOWED_FAILURES = 10
_ALLOWED_SHARE = 1 / 50
"""Failures at partitioned VMs that are allowed, and as a share of all tries."""
_OK = 200


class Partitioned(msgspec.Struct, frozen=True):
    """A partition of some VMs from all targets.

    Attributes:
        vms: The VMs.
        began: When it began.
        ended: When it ended.
    """

    vms: frozenset[str]
    began: float
    ended: float


class Reach(msgspec.Struct, frozen=True):
    """Least service at partitioned VMs, and the margin to its bound.

    Attributes:
        served: Lowest served share of first tries at partitioned VMs, 1 if
            none counted.
        others: Served share at the other VMs in the same partition.
        margin: `served` less its bound.
        tries: First tries at partitioned VMs that counted, in all partitions.
    """

    served: float
    others: float
    margin: float
    tries: int


class ReachChecker:
    """Compares first tries at partitioned VMs with those at the others."""

    __slots__ = ("_feedback", "_partitions")

    def __init__(self, feedback: soak_notices.FeedbackChecker) -> None:
        """Creates a checker without partitions.

        Args:
            feedback: Records other faults of VMs, the store and links.
        """
        self._feedback = feedback
        self._partitions: list[Partitioned] = []

    def record_partition(self, partition: Partitioned) -> None:
        """Records a partition that has ended."""
        self._partitions.append(partition)

    def _tries(
        self,
        partition: Partitioned,
        outcomes: Iterable[soak_oracle.Outcome],
    ) -> dict[bool, list[bool]]:
        """Returns which tries were served, at partitioned and other VMs."""
        tries: dict[bool, list[bool]] = {True: [], False: []}
        for outcome in outcomes:
            counts = (
                partition.began + CONTACT_SECONDS < outcome.at < partition.ended
            )
            if counts and self._feedback.in_touch(
                outcome.vm, outcome.at - CONTACT_SECONDS, outcome.at
            ):
                cut = outcome.vm in partition.vms
                if cut or not self._is_partitioned(outcome.vm, outcome.at):
                    tries[cut].append(outcome.status == _OK)
        return tries

    def _is_partitioned(self, vm: str, at: float) -> bool:
        """Whether any partition hit a VM shortly before."""
        return any(
            vm in other.vms
            and other.began <= at < other.ended + CONTACT_SECONDS
            for other in self._partitions
        )

    def violations(self, outcomes: list[soak_oracle.Outcome]) -> list[str]:
        """Returns a message for each partition with too little service."""
        found = []
        for partition in self._partitions:
            tries = self._tries(partition, outcomes)
            cut, others = tries[True], tries[False]
            failed = len(cut) - sum(cut)
            allowed = _ALLOWED_FAILURES + _ALLOWED_SHARE * (
                len(cut) + len(others)
            )
            too_few = _share(cut) < _MIN_RATIO * _share(others)
            if others and failed > allowed and too_few:
                found.append(
                    f"{sorted(partition.vms)} without targets served"
                    f" {sum(cut)} of {len(cut)} first tries, others"
                    f" {sum(others)} of {len(others)}"
                )
        return found

    def report(self, outcomes: list[soak_oracle.Outcome]) -> Reach:
        """Returns the partition with the smallest margin."""
        least = Reach(1.0, 1.0, 1.0 - _MIN_RATIO, 0)
        total = 0
        for partition in self._partitions:
            tries = self._tries(partition, outcomes)
            if not tries[True] or not tries[False]:
                continue
            total += len(tries[True])
            cut, others = _share(tries[True]), _share(tries[False])
            margin = cut - _MIN_RATIO * others
            if margin < least.margin:
                least = Reach(
                    round(cut, 3), round(others, 3), round(margin, 3), 0
                )
        return msgspec.structs.replace(least, tries=total)


def _share(served: list[bool]) -> float:
    return sum(served) / len(served) if served else 0.0
