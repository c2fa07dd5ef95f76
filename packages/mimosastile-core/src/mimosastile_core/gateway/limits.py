"""Limits that targets name for all VMs together.

A target in need says in its answers how many requests a second it takes, for
as long as it says so. The sum over all VMs keeps to that, also of those that
hear nobody. One VM, named by the leader, sends or admits most of it. Besides,
each VM has a small share that needs no agreement: with it VMs that hear nobody
serve on, and a target that the named VM has no requests for is heard of again.
"""

from collections.abc import Mapping
import zlib

import msgspec

_SENDER_SHARE = 0.9
"""Part of a limit that the named VM uses. With `_OWN_SHARE` the limit itself is
exceeded by a twentieth; the rest of what targets tolerate covers the second and
a half in which two VMs may take themselves for the named one."""
_OWN_SHARE = 0.15
"""Part of a limit that all other VMs may use together without being asked."""
_ALONE_SHARE = 0.4
"""The same of VMs that know of no named one. If only a part of all VMs hears
nobody, its part of this comes on top of what the named VM sends."""
_BURST_SECONDS = 0.1
"""Time whose requests may be sent at once, beside a single one."""
_SLOT_SECONDS = 0.5
"""Longest slot. Slots that are not used are lost: if they were saved, all VMs
would use theirs at the moment at which the named VM is lost."""
_LEAST_RATE = 0.1
"""Least requests a second. A target that gets none at all could never say that
it takes more."""
_LIFT_SECONDS = 0.5
"""How much newer news must be to lift or raise a limit that this VM has heard
itself; their age leaves out how long they were on their way."""
_AGAIN_SECONDS = 5.0
"""How often it is reported that a limit still holds."""
_LIFTED_SECONDS = 30.0
"""For how long it is told that a limit has been lifted."""
_LOTS = 1 << 32


class LimitUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What a target has said of its limit, as one VM tells another.

    Attributes:
        born: Which run of it.
        rate: Requests a second from all VMs together; None if it names none.
        age: Seconds since it was heard.
    """

    born: int
    rate: float | None
    age: float


class RateLimiter:
    """Rate limiter of this VM for a target that has named a limit.

    The named VM takes tokens from a bucket that holds few; any other VM has a
    time slot in each period, at an offset of its own.
    """

    __slots__ = ("_at", "_offset", "_rate", "_tokens", "_used")

    def __init__(self, rate: float, offset: float, now: float) -> None:
        """Makes one that has nothing saved.

        Args:
            rate: Requests a second from all VMs together.
            offset: From 0 to 1, where in a period this VM has its slot.
            now: The time.
        """
        self._rate = max(rate, _LEAST_RATE)
        self._offset = offset
        self._tokens = 0.0
        self._at = now
        self._used = -1

    @property
    def rate(self) -> float:
        """Requests a second that the named VM sends or admits."""
        return self._rate * _SENDER_SHARE

    def set_rate(self, rate: float, now: float) -> None:
        """Changes the limit."""
        self._refill(now)
        self._rate = max(rate, _LEAST_RATE)

    def wait(self, now: float) -> float:
        """Returns the seconds until the named VM may send or admit one."""
        self._refill(now)
        return max(1.0 - self._tokens, 0.0) / self.rate

    def take(self, now: float) -> None:
        """Notes a request that the named VM sends or admits."""
        self._refill(now)
        self._tokens -= 1.0

    def share_wait(self, vms: int, now: float, *, alone: bool = False) -> float:
        """Returns the seconds until this VM may send one if it is not named.

        Args:
            vms: How many VMs there are.
            now: The time.
            alone: Whether it knows of no named VM.
        """
        turn, since, period = self._turn(vms, now, alone)
        if turn != self._used and since < min(_SLOT_SECONDS, period / 2):
            return 0.0
        return period - since

    def take_share(self, vms: int, now: float, *, alone: bool = False) -> None:
        """Notes a request that this VM sends without being named."""
        self._used, _, _ = self._turn(vms, now, alone)

    def _turn(
        self, vms: int, now: float, alone: bool
    ) -> tuple[int, float, float]:
        """Returns the number of the period, its age and its length."""
        share = _ALONE_SHARE if alone else _OWN_SHARE
        period = vms / (self._rate * share)
        gone = now / period + self._offset
        turn = int(gone)
        return turn, (gone - turn) * period, period

    def _refill(self, now: float) -> None:
        most = 1.0 + self.rate * _BURST_SECONDS
        grown = self._tokens + (now - self._at) * self.rate
        self._tokens = min(grown, most)
        self._at = now


class _Named:
    """What one run of a target has said last.

    Attributes:
        born: The run.
        rate: Its limit, None for none.
        since: When this VM first knew of it.
        at: When it was said last.
        pace: When this VM may send there, None without a limit.
    """

    __slots__ = ("at", "born", "pace", "rate", "since")

    def __init__(
        self, born: int, rate: float | None, since: float, at: float
    ) -> None:
        self.born = born
        self.rate = rate
        self.since = since
        self.at = at
        self.pace: RateLimiter | None = None


class TargetLimits:
    """The limit that each target has named last."""

    __slots__ = ("_here", "_known_at", "_limited", "_named", "_told")

    def __init__(self, here: str) -> None:
        """Makes one that knows of none.

        Args:
            here: Identifier of this VM.
        """
        self._here = here
        self._named: dict[str, _Named] = {}
        self._limited = 0
        self._told: dict[str, LimitUpdate] = {}
        self._known_at = 0.0

    @property
    def any(self) -> bool:
        """Whether any target has a limit."""
        return self._limited > 0

    def limited(self) -> list[str]:
        """Returns the targets that have a limit."""
        return [n for n, known in self._named.items() if known.pace]

    def rate(self, target: str, born: int) -> float | None:
        """Returns the limit of a target in requests a second, None for none.

        Args:
            target: Identifier of the target.
            born: Which run of it.
        """
        known = self._named.get(target)
        if known is None or known.born != born:
            return None
        return known.rate

    def rate_since(
        self, target: str, born: int, earliest: float
    ) -> float | None:
        """Returns a limit if it was said since some time."""
        known = self._named.get(target)
        if known is None or known.at < earliest:
            return None
        return self.rate(target, born)

    def pace(self, target: str, born: int) -> RateLimiter | None:
        """Returns when this VM may send to a target, None without a limit."""
        known = self._named.get(target)
        if known is None or known.born != born:
            return None
        return known.pace

    def hear(
        self,
        target: str,
        born: int,
        rate: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Takes what a target says of its limit in an answer.

        Answers arrive in another order than they were made. A limit is raised
        or lifted only by the answer to a request that was sent after it was
        heard; a lower one counts at once.

        Args:
            target: Identifier of the target.
            born: Which run of it.
            rate: Requests a second, None if it names no limit.
            sent_at: When the request was sent that it answers.
            now: The time.

        Returns:
            Whether that is news.
        """
        known = self._named.get(target)
        if known is None:
            return rate is not None and self._set(target, born, rate, now, now)
        if born < known.born:
            return False
        if born == known.born and rate == known.rate:
            known.at = now
            return False
        early = sent_at < known.since
        if born == known.born and early and _lifts(rate, known.rate):
            return False
        return self._set(target, born, rate, now, now)

    def learn(self, target: str, news: LimitUpdate, now: float) -> bool:
        """Takes what another VM has heard; returns whether that is news."""
        at = now - news.age
        known = self._named.get(target)
        if known is not None:
            if news.born < known.born:
                return False
            if news.born == known.born:
                if news.rate == known.rate:
                    known.at = max(known.at, at)
                    return False
                lifts = _lifts(news.rate, known.rate)
                if at <= known.at + (_LIFT_SECONDS if lifts else 0.0):
                    return False
        elif news.rate is None:
            return False
        return self._set(target, news.born, news.rate, now, at)

    def _set(
        self,
        target: str,
        born: int,
        rate: float | None,
        now: float,
        at: float,
    ) -> bool:
        """Keeps what a run says; returns whether a limit has changed."""
        former = self._named.get(target)
        made = self._named[target] = _Named(born, rate, now, at)
        if rate is not None:
            made.pace = former.pace if former and former.born == born else None
            if made.pace is None:
                lot = zlib.crc32(f"{self._here}/{target}".encode()) / _LOTS
                made.pace = RateLimiter(rate, lot, now)
            made.pace.set_rate(rate, now)
        self._limited = sum(n.rate is not None for n in self._named.values())
        return rate is not None or bool(former and former.rate is not None)

    def news(self, now: float) -> dict[str, LimitUpdate]:
        """Returns what a leader tells of all targets."""
        return {
            name: _news(known, now)
            for name, known in self._named.items()
            if known.rate is not None or now - known.at < _LIFTED_SECONDS
        }

    def record_leader_view(
        self, told: Mapping[str, LimitUpdate], now: float
    ) -> None:
        """Notes what the leader knows, whether or not it is news here."""
        self._told = dict(told)
        self._known_at = now

    def unknown_to_leader(self, now: float) -> dict[str, LimitUpdate]:
        """Returns what this VM reports: what its leader does not know."""
        return {
            name: _news(known, now)
            for name, known in self._named.items()
            if self._is_unknown(name, known)
        }

    def _is_unknown(self, target: str, known: _Named) -> bool:
        told = self._told.get(target)
        if told is None or told.born != known.born:
            return known.rate is not None
        at = self._known_at - told.age
        return told.rate != known.rate or known.at > at + _AGAIN_SECONDS

    def forget_except(self, targets: Mapping[str, int]) -> None:
        """Drops targets that are gone and runs that are over.

        Args:
            targets: Present runs by target.
        """
        self._named = {
            name: known
            for name, known in self._named.items()
            if known.born >= targets.get(name, known.born + 1)
        }
        self._limited = sum(n.rate is not None for n in self._named.values())

    def dump(self) -> dict[str, float]:
        """Returns the limits that are in force, by target."""
        return {
            name: known.rate
            for name, known in self._named.items()
            if known.rate is not None
        }


def _lifts(rate: float | None, known: float | None) -> bool:
    """Whether one limit allows more than another."""
    if known is None:
        return False
    return rate is None or rate > known


def _news(known: _Named, now: float) -> LimitUpdate:
    return LimitUpdate(known.born, known.rate, round(max(now - known.at, 0), 3))
