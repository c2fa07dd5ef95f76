"""Rate limits that targets set for all VMs together.

An overloaded target states in its responses how many requests a second it
takes; the limit holds as long as responses state it. The sum over all VMs keeps
to the limit, including VMs that are cut off from the others. One VM, the sender
named by the leader, sends or admits most of the requests. Each other VM has a
small share that needs no agreement. With this share, cut-off VMs can still
serve requests, and a target for which the sender has no requests still gets
some and can report a change of its limit.
"""

from collections.abc import Mapping
import zlib

import msgspec

_SENDER_SHARE = 0.9
"""Share of a limit that the sender uses. Together with `_OWN_SHARE`, the limit
is exceeded by a twentieth. The rest of what targets tolerate covers the 1.5 s
in which two VMs may act as the sender."""
_OWN_SHARE = 0.15
"""Share of a limit that all other VMs together may use on their own."""
_ALONE_SHARE = 0.4
"""The same for VMs without a known sender. If only some VMs are cut off, their
part of this is added to the requests of the sender."""
_BURST_SECONDS = 0.1
"""The sender may send the requests of this time at once, plus one."""
_SLOT_SECONDS = 0.5
"""Longest time slot. Unused slots expire: if they accumulated, all VMs would
use theirs at once when the sender is lost."""
_LEAST_RATE = 0.1
"""Least requests a second. A target that gets no requests could never report a
higher limit."""
_LIFT_SECONDS = 0.5
"""How much newer a peer's update must be to lift or raise a limit that this VM
received itself: the age in an update leaves out its time in transit."""
_AGAIN_SECONDS = 5.0
"""Interval of the reports that a limit still holds."""
_LIFTED_SECONDS = 30.0
"""For this time a leader reports that a limit has been lifted."""
_LOTS = 1 << 32


class LimitNews(msgspec.Struct, frozen=True, array_like=True):
    """A target's limit as VMs report it to each other.

    Attributes:
        born: Incarnation of the target.
        rate: Requests a second from all VMs together; None without a limit.
        age: Seconds since a VM received it from the target.
    """

    born: int
    rate: float | None
    age: float


class Pace:
    """Rate limiter of this VM for a target that has set a limit.

    The sender uses a token bucket of small capacity. Any other VM has one time
    slot in each period, at an offset of its own.
    """

    __slots__ = ("_at", "_offset", "_rate", "_tokens", "_used")

    def __init__(self, rate: float, offset: float, now: float) -> None:
        """Makes a rate limiter without tokens.

        Args:
            rate: Requests a second from all VMs together.
            offset: Position of this VM's time slot in a period, 0 to 1.
            now: The time.
        """
        self._rate = max(rate, _LEAST_RATE)
        self._offset = offset
        self._tokens = 0.0
        self._at = now
        self._used = -1

    @property
    def rate(self) -> float:
        """Requests a second that the sender sends or admits."""
        return self._rate * _SENDER_SHARE

    def set_rate(self, rate: float, now: float) -> None:
        """Changes the limit."""
        self._refill(now)
        self._rate = max(rate, _LEAST_RATE)

    def wait(self, now: float) -> float:
        """Returns the seconds until the sender may send or admit a request."""
        self._refill(now)
        return max(1.0 - self._tokens, 0.0) / self.rate

    def take(self, now: float) -> None:
        """Records a request that the sender sends or admits."""
        self._refill(now)
        self._tokens -= 1.0

    def own_wait(self, vms: int, now: float, *, alone: bool = False) -> float:
        """Returns the seconds until this VM, not the sender, may send.

        Args:
            vms: Number of VMs.
            now: The time.
            alone: Whether this VM knows of no sender.
        """
        turn, since, period = self._turn(vms, now, alone)
        if turn != self._used and since < min(_SLOT_SECONDS, period / 2):
            return 0.0
        return period - since

    def take_own(self, vms: int, now: float, *, alone: bool = False) -> None:
        """Records a request that this VM sends without being the sender."""
        self._used, _, _ = self._turn(vms, now, alone)

    def _turn(
        self, vms: int, now: float, alone: bool
    ) -> tuple[int, float, float]:
        """Returns the number, age and length of the current period."""
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
    """The limit that one incarnation of a target stated last.

    Attributes:
        born: The incarnation.
        rate: Its limit, None for none.
        since: When this VM first recorded this limit.
        at: When the target stated it last.
        pace: Rate limiter of this VM for the target, None without a limit.
    """

    __slots__ = ("at", "born", "pace", "rate", "since")

    def __init__(
        self, born: int, rate: float | None, since: float, at: float
    ) -> None:
        self.born = born
        self.rate = rate
        self.since = since
        self.at = at
        self.pace: Pace | None = None


class Limits:
    """The current rate limit of each target."""

    __slots__ = ("_here", "_known_at", "_limited", "_named", "_told")

    def __init__(self, here: str) -> None:
        """Makes a record without limits.

        Args:
            here: Identifier of this VM.
        """
        self._here = here
        self._named: dict[str, _Named] = {}
        self._limited = 0
        self._told: dict[str, LimitNews] = {}
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
            born: Its incarnation.
        """
        known = self._named.get(target)
        if known is None or known.born != born:
            return None
        return known.rate

    def rate_since(
        self, target: str, born: int, earliest: float
    ) -> float | None:
        """Returns a limit if the target stated it at `earliest` or later."""
        known = self._named.get(target)
        if known is None or known.at < earliest:
            return None
        return self.rate(target, born)

    def pace(self, target: str, born: int) -> Pace | None:
        """Returns this VM's rate limiter for a target, None without a limit."""
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
        """Records the limit that a target states in a response.

        Responses may arrive in another order than the target sent them. Only a
        response to a request that was sent after the current limit was recorded
        can raise or lift it; a lower limit applies at once.

        Args:
            target: Identifier of the target.
            born: Its incarnation.
            rate: Requests a second, None if the response states no limit.
            sent_at: When the request of that response was sent.
            now: The time.

        Returns:
            Whether this changes the limit.
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

    def learn(self, target: str, news: LimitNews, now: float) -> bool:
        """Records a limit that another VM received.

        Args:
            target: Identifier of the target.
            news: The limit.
            now: The time.

        Returns:
            Whether this changes the limit.
        """
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
        """Stores an incarnation's limit; returns whether a limit changed."""
        former = self._named.get(target)
        made = self._named[target] = _Named(born, rate, now, at)
        if rate is not None:
            made.pace = former.pace if former and former.born == born else None
            if made.pace is None:
                lot = zlib.crc32(f"{self._here}/{target}".encode()) / _LOTS
                made.pace = Pace(rate, lot, now)
            made.pace.set_rate(rate, now)
        self._limited = sum(n.rate is not None for n in self._named.values())
        return rate is not None or bool(former and former.rate is not None)

    def news(self, now: float) -> dict[str, LimitNews]:
        """Returns the limits that a leader sends to all VMs."""
        return {
            name: _news(known, now)
            for name, known in self._named.items()
            if known.rate is not None or now - known.at < _LIFTED_SECONDS
        }

    def take_told(self, told: Mapping[str, LimitNews], now: float) -> None:
        """Records the leader's limits, including those known here."""
        self._told = dict(told)
        self._known_at = now

    def unknown_to_leader(self, now: float) -> dict[str, LimitNews]:
        """Returns the limits that the leader lacks, for this VM's report."""
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
        """Drops targets that no longer exist and ended incarnations.

        Args:
            targets: Present incarnations by target.
        """
        self._named = {
            name: known
            for name, known in self._named.items()
            if known.born >= targets.get(name, known.born + 1)
        }
        self._limited = sum(n.rate is not None for n in self._named.values())

    def dump(self) -> dict[str, float]:
        """Returns the limits in force by target."""
        return {
            name: known.rate
            for name, known in self._named.items()
            if known.rate is not None
        }


def _lifts(rate: float | None, known: float | None) -> bool:
    """Whether a rate allows more than the recorded one."""
    if known is None:
        return False
    return rate is None or rate > known


def _news(known: _Named, now: float) -> LimitNews:
    return LimitNews(known.born, known.rate, round(max(now - known.at, 0), 3))
