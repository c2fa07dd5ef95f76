"""Requests that were running on targets when these died.

Now and then one request stops every target that runs it, and its caller sends
it again. Each death is remembered with the request's fingerprint and told to
all entry VMs; after enough deaths the request is refused wherever it comes.

A lost answer alone does not show that a target died. It counts as a death
unless another exchange with the same target, under way at that moment, ends
well: then only the connection was lost.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import msgspec
import xxhash

from mimosastile_core import config

_TRANSIT_SECONDS = 0.05
"""Ages are told in messages; by so much two may differ in transit."""
_DOUBT_SECONDS = 60.0
"""How long an exchange may still prove that its target had not died."""
_MAX_DEATHS = 10_000


class Death(msgspec.Struct, frozen=True, array_like=True):
    """One request that was running on a target when it died.

    Attributes:
        id: Identifier of this record.
        fingerprint: The request.
        target: The target.
        number: Configuration number in force then; operators clear by it.
        age: Seconds since the death; clocks of VMs are not compared.
        ran: Seconds for which the request had been under way.
    """

    id: str
    fingerprint: str
    target: str
    number: int
    age: float = 0.0
    ran: float = 0.0


def fingerprint(
    member: str, method: str, path: str, query: str, body: bytes
) -> str:
    """Returns what identifies a request that is sent again.

    Args:
        member: The calling member.
        method: HTTP method.
        path: Path, which names the service and may carry the key.
        query: Query string.
        body: The body, or as much of a large one as is held.
    """
    digest = xxhash.xxh3_128()
    for part in (member, method, path, query):
        data = part.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    digest.update(body)
    return digest.hexdigest()


class _Record(msgspec.Struct):
    """A death and the local time at which it happened."""

    death: Death
    at: float


class Memory:
    """What one VM remembers of deaths, its own and those told by others."""

    __slots__ = ("_by_fingerprint", "_records", "_withdrawn")

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._by_fingerprint: dict[str, list[_Record]] = {}
        self._withdrawn: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Whether anything is remembered; usually nothing is."""
        return bool(self._records)

    def record(self, death: Death, now: float) -> bool:
        """Takes in a death; False if it is known or withdrawn."""
        full = len(self._records) >= _MAX_DEATHS
        if full or death.id in self._records or death.id in self._withdrawn:
            return False
        kept = _Record(death, now - death.age)
        self._records[death.id] = kept
        self._by_fingerprint.setdefault(death.fingerprint, []).append(kept)
        return True

    def withdraw(self, ids: Iterable[str], now: float) -> None:
        """Forgets deaths that turned out to be none.

        The identifiers are kept for a while, so that a peer that has not
        heard yet does not bring them back.
        """
        for at in ids:
            self._withdrawn[at] = now
            self._drop(at)

    def held_for(
        self, request: str, policy: config.Quarantine, now: float
    ) -> float:
        """Returns how many seconds a request is still refused, 0 if not."""
        deaths = self._counted(request, policy, now)
        if len(deaths) < policy.deaths:
            return 0.0
        return deaths[-policy.deaths] + policy.seconds - now

    def expire(self, policy: config.Quarantine, now: float) -> None:
        """Forgets what is too old or cleared by the operators."""
        old = [
            at
            for at, record in self._records.items()
            if not _counts(record, policy, now)
        ]
        for at in old:
            self._drop(at)
        self._withdrawn = {
            at: since
            for at, since in self._withdrawn.items()
            if now - since < policy.seconds
        }

    def deaths(self, now: float) -> tuple[Death, ...]:
        """Returns everything remembered, with present ages."""
        return tuple(
            msgspec.structs.replace(record.death, age=now - record.at)
            for record in self._records.values()
        )

    def withdrawn(self) -> tuple[str, ...]:
        """Returns the identifiers of deaths that turned out to be none."""
        return tuple(self._withdrawn)

    def fingerprints(self) -> Mapping[str, int]:
        """Returns the remembered requests with their records."""
        return {f: len(r) for f, r in self._by_fingerprint.items()}

    def _counted(
        self, request: str, policy: config.Quarantine, now: float
    ) -> list[float]:
        """Returns the times of distinct deaths, oldest first."""
        records = sorted(
            (
                record
                for record in self._by_fingerprint.get(request, ())
                if _counts(record, policy, now)
            ),
            key=lambda record: record.at,
        )
        times: list[float] = []
        last: dict[str, float] = {}
        for record in records:
            # Several copies may run on a target when it dies once. One that
            # was sent after the former death found the target alive again:
            # a second death, however soon it came.
            before = last.get(record.death.target, -math.inf)
            if record.at - record.death.ran > before + _TRANSIT_SECONDS:
                times.append(record.at)
            last[record.death.target] = record.at
        return times

    def _drop(self, at: str) -> None:
        record = self._records.pop(at, None)
        if record is None:
            return
        fellows = self._by_fingerprint[record.death.fingerprint]
        fellows.remove(record)
        if not fellows:
            del self._by_fingerprint[record.death.fingerprint]


def _counts(record: _Record, policy: config.Quarantine, now: float) -> bool:
    cleared = policy.cleared.get(record.death.fingerprint, -1)
    return now - record.at < policy.seconds and record.death.number > cleared


class Doubts:
    """Lost answers of the targets that one VM keeps, while in doubt."""

    __slots__ = ("_lost",)

    def __init__(self) -> None:
        self._lost: dict[str, list[tuple[float, str]]] = {}

    def lost(self, target: str, death: str, now: float) -> None:
        """Notes a lost answer that counts as a death for now."""
        recent = [
            (at, known)
            for at, known in self._lost.get(target, ())
            if now - at < _DOUBT_SECONDS
        ]
        self._lost[target] = [*recent, (now, death)]

    def answered(self, target: str, began: float) -> list[str]:
        """Returns the deaths that a whole answer disproves.

        Args:
            target: The target.
            began: When the answered request was sent. The target has lived
                through every moment since then.
        """
        noted = self._lost.get(target)
        if not noted:
            return []
        disproved = [death for at, death in noted if at >= began]
        left = [(at, death) for at, death in noted if at < began]
        if left:
            self._lost[target] = left
        else:
            del self._lost[target]
        return disproved
