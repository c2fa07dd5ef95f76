"""Extension of a leader lease by witnesses during an outage of the store.

A leader may give orders for a short span after each confirmation by the store.
In an outage of the store no VM can replace it, and stopping would leave all
keys without an owner. It may therefore continue for longer, and extend its
grants, once each of its witnesses has found the store unreachable as well and
has promised to report to successors until when the leader may continue.

The witnesses are a few VMs that the leader names in the store. A successor
reads the names after it has claimed leadership, so they are final. A single
witness that never made a promise proves that the leader had to stop within the
short span and gave usual grants only, whether or not the leader itself can be
reached. If all witnesses have promised, or none can be reached, the successor
waits for the long span.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import itertools

import msgspec

WITNESS_COUNT = 3
"""Witnesses named at a time. All must agree in an outage, and one must survive
a loss of the leader."""


class Witness(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a daemon that may extend its leader's lease.

    Attributes:
        vm: Identifier of its VM.
        boot: Identifier of the incarnation. A later incarnation has no record
            of earlier promises.
    """

    vm: str
    boot: str


class Record(msgspec.Struct, frozen=True):
    """Witnesses of a leader, as recorded in the store.

    A leader writes it once all earlier leaders have stopped and all extended
    grants have expired.

    Attributes:
        epoch: Epoch of the leader.
        witnesses: All witnesses whose promises the leader needs.
    """

    epoch: int
    witnesses: tuple[Witness, ...] = ()


class Promises:
    """Promises that this VM has made to leaders as a witness."""

    __slots__ = ("_latest_until",)

    def __init__(self) -> None:
        self._latest_until: float | None = None

    def add(self, until: float) -> None:
        """Records that a leader may give orders until a time."""
        self._latest_until = (
            until
            if self._latest_until is None
            else max(self._latest_until, until)
        )

    def seconds_left(self, now: float) -> float | None:
        """Returns the seconds until the last promise expires.

        Returns None if there is no promise. The value is negative once the
        promise has expired. Grants given under it may last longer, so an
        expired promise is not the same as none.
        """
        return None if self._latest_until is None else self._latest_until - now


def choose_witnesses(
    candidates: Iterable[tuple[Witness, str]],
) -> tuple[Witness, ...]:
    """Returns the witnesses for a leader to name.

    They are spread over as many zones as possible, so that some of them survive
    the failure of one zone.

    Args:
        candidates: VMs that may be named, each with its zone, the best first.
    """
    by_zone: dict[str, list[Witness]] = {}
    for witness, zone in candidates:
        by_zone.setdefault(zone, []).append(witness)
    rounds = itertools.zip_longest(*by_zone.values())
    interleaved = itertools.chain.from_iterable(rounds)
    named = (witness for witness in interleaved if witness is not None)
    return tuple(itertools.islice(named, WITNESS_COUNT))


def should_replace(
    named: Sequence[Witness], present: Iterable[Witness], candidate_count: int
) -> bool:
    """Whether other witnesses should be named.

    Args:
        named: Witnesses recorded in the store.
        present: VMs that currently report.
        candidate_count: Number of VMs that may be named.
    """
    missing = set(named) - set(present)
    return bool(missing) or len(named) < min(candidate_count, WITNESS_COUNT)
