"""How a leader outlasts its last look at the store, and who can tell later.

A leader may give orders for a short span after each look at the store. In an
outage of the store no VM can replace it, and stopping would leave all keys
without an owner. So it may go on for longer, and grant keys for longer, once
each of its witnesses has found the store unreachable as well and has promised
to tell successors until when the leader may go on.

The witnesses are a few VMs that the leader names in the store. A successor
reads the names after its own claim, so they are final. One witness that never
made a promise shows that the leader had to stop within the short span and gave
usual grants only, whatever became of the leader itself. If all witnesses have
promised, or none can be asked, the successor waits for the long span.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import itertools

import msgspec

WITNESSES = 3
"""Named at a time. All have to agree in an outage, and one has to survive a
loss of the leader."""


class Witness(msgspec.Struct, frozen=True, array_like=True):
    """One run of a daemon that may extend its leader's authority.

    Attributes:
        vm: Identifier of its VM.
        boot: Identifier of the run. A later run knows nothing of promises.
    """

    vm: str
    boot: str


class Record(msgspec.Struct, frozen=True):
    """Witnesses of a leader, as named in the store.

    A leader writes it once all earlier leaders have stopped and no grant
    longer than usual is left.

    Attributes:
        epoch: Epoch of the leader.
        witnesses: All whose promises it needs.
    """

    epoch: int
    witnesses: tuple[Witness, ...] = ()


class Promises:
    """What this VM has promised to leaders as a witness."""

    __slots__ = ("_until",)

    def __init__(self) -> None:
        self._until: float | None = None

    def add(self, until: float) -> None:
        """Notes that a leader may give orders until a time."""
        self._until = until if self._until is None else max(self._until, until)

    def seconds(self, now: float) -> float | None:
        """Returns the time until the last promise ends, None if there is none.

        It is negative once that has ended. Grants given under it may last
        longer, so an ended promise is not the same as none.
        """
        return None if self._until is None else self._until - now


def chosen(able: Iterable[tuple[Witness, str]]) -> tuple[Witness, ...]:
    """Returns the witnesses for a leader to name.

    They stand in different zones as far as possible: a fault of one zone then
    leaves some of them.

    Args:
        able: VMs that may be named, each with its zone, the best first.
    """
    by_zone: dict[str, list[Witness]] = {}
    for witness, zone in able:
        by_zone.setdefault(zone, []).append(witness)
    rows = itertools.zip_longest(*by_zone.values())
    spread = itertools.chain.from_iterable(rows)
    named = (witness for witness in spread if witness is not None)
    return tuple(itertools.islice(named, WITNESSES))


def outdated(
    named: Sequence[Witness], present: Iterable[Witness], able: int
) -> bool:
    """Whether other witnesses should be named.

    Args:
        named: Those in the store.
        present: VMs that report at present.
        able: How many of them may be named.
    """
    missing = set(named) - set(present)
    return bool(missing) or len(named) < min(able, WITNESSES)
