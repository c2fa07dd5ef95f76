"""Quarantine of requests that crash the targets that run them.

Sometimes one request crashes every target that runs it, and its caller sends
it again. Each crash is recorded with the request's fingerprint and reported
to all entry VMs. After a configured number of crashes, every entry VM refuses
the request.

A lost response alone doesn't show that a target crashed. It counts as a crash
unless another request to the same target that was in flight at that moment
gets its complete response: then only the connection was lost.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import msgspec
import xxhash

from mimosastile_core import config

_TRANSIT_SECONDS = 0.05
"""Messages carry ages, which differ by at most this much due to transit."""
_UNCONFIRMED_SECONDS = 60.0
"""Time for which a response can still disprove a crash of its target."""
_MAX_CRASHES = 10_000


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """One request that was running on a target when it crashed.

    Attributes:
        id: Identifier of this record.
        fingerprint: Fingerprint of the request.
        target: The target.
        number: Number of the configuration in force at the crash. Operators
            clear a quarantine up to a configuration number.
        age: Seconds since the crash; an age, as clocks of VMs may differ.
        ran: Seconds from the sending of the request to the crash.
    """

    id: str
    fingerprint: str
    target: str
    number: int
    age: float = 0.0
    ran: float = 0.0


def fingerprint(
    member: str, method: str, path: str, query: str, *body: bytes | bytearray
) -> str:
    """Returns a hash that is equal for repetitions of a request.

    Args:
        member: The calling member.
        method: HTTP method.
        path: Path, which contains the service and may contain the key.
        query: Query string.
        *body: Pieces of the body, or of the buffered part of a large one.
    """
    digest = xxhash.xxh3_128()
    for part in (member, method, path, query):
        data = part.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    for piece in body:
        digest.update(piece)
    return digest.hexdigest()


class _Record(msgspec.Struct):
    """A crash and the local time at which it happened."""

    crash: Crash
    at: float


class CrashHistory:
    """Crashes recorded by one VM, its own and those reported by peers."""

    __slots__ = ("_by_fingerprint", "_records", "_withdrawn")

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._by_fingerprint: dict[str, list[_Record]] = {}
        self._withdrawn: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Whether there are any records; usually there are none."""
        return bool(self._records)

    def record(self, crash: Crash, now: float) -> bool:
        """Adds a crash; False if recorded, withdrawn or over capacity."""
        full = len(self._records) >= _MAX_CRASHES
        if full or crash.id in self._records or crash.id in self._withdrawn:
            return False
        kept = _Record(crash, now - crash.age)
        self._records[crash.id] = kept
        self._by_fingerprint.setdefault(crash.fingerprint, []).append(kept)
        return True

    def withdraw(self, ids: Iterable[str], now: float) -> None:
        """Removes records that proved not to be crashes.

        The identifiers are kept for the quarantine's duration. Otherwise a
        peer without the withdrawal would add the records again.
        """
        for crash_id in ids:
            self._withdrawn[crash_id] = now
            self._drop(crash_id)

    def held_for(
        self, request: str, policy: config.Quarantine, now: float
    ) -> float:
        """Returns the remaining quarantine of a request in seconds, or 0."""
        crashes = self._counted(request, policy, now)
        if len(crashes) < policy.deaths:
            return 0.0
        return crashes[-policy.deaths] + policy.seconds - now

    def expire(self, policy: config.Quarantine, now: float) -> None:
        """Removes records that are too old or cleared by operators."""
        expired = [
            crash_id
            for crash_id, record in self._records.items()
            if not _counts(record, policy, now)
        ]
        for crash_id in expired:
            self._drop(crash_id)
        self._withdrawn = {
            crash_id: since
            for crash_id, since in self._withdrawn.items()
            if now - since < policy.seconds
        }

    def crashes(self, now: float) -> tuple[Crash, ...]:
        """Returns all recorded crashes with their current ages."""
        return tuple(
            msgspec.structs.replace(record.crash, age=now - record.at)
            for record in self._records.values()
        )

    def withdrawn(self) -> tuple[str, ...]:
        """Returns the identifiers of withdrawn records."""
        return tuple(self._withdrawn)

    def crash_ids(self, request: str) -> list[str]:
        """Returns the identifiers of a request's recorded crashes."""
        records = self._by_fingerprint.get(request, ())
        return [record.crash.id for record in records]

    def fingerprints(self) -> Mapping[str, int]:
        """Returns fingerprints and their numbers of recorded crashes."""
        return {f: len(r) for f, r in self._by_fingerprint.items()}

    def _counted(
        self, request: str, policy: config.Quarantine, now: float
    ) -> list[float]:
        """Returns the times of distinct crashes, oldest first."""
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
            # Several copies of the request may run on a target when it crashes
            # once. A copy that was sent after the preceding crash ran on the
            # restarted target, so its loss is a second crash.
            before = last.get(record.crash.target, -math.inf)
            if record.at - record.crash.ran > before + _TRANSIT_SECONDS:
                times.append(record.at)
            last[record.crash.target] = record.at
        return times

    def _drop(self, crash_id: str) -> None:
        record = self._records.pop(crash_id, None)
        if record is None:
            return
        same_request = self._by_fingerprint[record.crash.fingerprint]
        same_request.remove(record)
        if not same_request:
            del self._by_fingerprint[record.crash.fingerprint]


def _counts(record: _Record, policy: config.Quarantine, now: float) -> bool:
    cleared = policy.cleared.get(record.crash.fingerprint, -1)
    return now - record.at < policy.seconds and record.crash.number > cleared


class UnconfirmedCrashes:
    """Lost responses that count as crashes until a response disproves them.

    Each entry VM records them for the targets of which it is the keeper: the
    entry VM through which alone a target gets requests and grants.
    """

    __slots__ = ("_lost",)

    def __init__(self) -> None:
        self._lost: dict[str, list[tuple[float, str]]] = {}

    def add(self, target: str, crash: str, now: float) -> None:
        """Records a lost response that counts as a crash for now."""
        recent = [
            (at, other_crash)
            for at, other_crash in self._lost.get(target, ())
            if now - at < _UNCONFIRMED_SECONDS
        ]
        self._lost[target] = [*recent, (now, crash)]

    def pop_disproved(self, target: str, began: float) -> list[str]:
        """Removes and returns the crashes that a response disproves.

        Args:
            target: The target.
            began: Time at which the request with the complete response was
                sent. The target hasn't crashed since then.
        """
        recorded = self._lost.get(target)
        if not recorded:
            return []
        disproved = [crash for at, crash in recorded if at >= began]
        remaining = [(at, crash) for at, crash in recorded if at < began]
        if remaining:
            self._lost[target] = remaining
        else:
            del self._lost[target]
        return disproved
