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
_NO_SENDER_SHARE = 0.4
"""The same for VMs without a known sender. If only some VMs are cut off, their
part of this is added to the requests of the sender."""
_BURST_SECONDS = 0.1
"""Capacity of the sender's token bucket, as a time of the limit's rate, beside
one request."""
_SLOT_SECONDS = 0.5
"""Longest time slot. Unused slots expire: if they accumulated, all VMs would
use theirs at once when the sender is lost."""
_MIN_RATE = 0.1
"""Least requests a second. A target that gets no requests could never report a
higher limit."""
_LIFT_MARGIN_SECONDS = 0.5
"""How much newer a peer's update must be to lift or raise a limit that this VM
received itself: the age in an update leaves out its time in transit."""
_CONFIRM_SECONDS = 5.0
"""Interval at which VMs report again that a limit still holds."""
_REPORT_LIFTED_SECONDS = 30.0
"""Time for which a leader reports that a limit has been lifted."""
_HASH_RANGE = 1 << 32


class LimitUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A target's limit as VMs report it to each other.

    Attributes:
        born: Incarnation of the target.
        rate: Requests a second from all VMs together; None without a limit.
        age: Seconds since a VM received it from the target.
    """

    born: int
    rate: float | None
    age: float


class RateLimiter:
    """Rate limiter of this VM for a target that has set a limit.

    The sender uses a token bucket of small capacity. Any other VM has one time
    slot in each period, at an offset of its own.
    """

    __slots__ = ("_offset", "_rate", "_refilled_at", "_tokens", "_used_period")

    def __init__(self, rate: float, offset: float, now: float) -> None:
        """Makes a rate limiter without tokens.

        Args:
            rate: Requests a second from all VMs together.
            offset: Position of this VM's time slot in a period, 0 to 1.
            now: The time.
        """
        self._rate = max(rate, _MIN_RATE)
        self._offset = offset
        self._tokens = 0.0
        self._refilled_at = now
        self._used_period = -1

    @property
    def rate(self) -> float:
        """Requests a second that the sender sends or admits."""
        return self._rate * _SENDER_SHARE

    def set_rate(self, rate: float, now: float) -> None:
        """Changes the limit."""
        self._refill(now)
        self._rate = max(rate, _MIN_RATE)

    def wait(self, now: float) -> float:
        """Returns the seconds until the sender may send or admit a request."""
        self._refill(now)
        return max(1.0 - self._tokens, 0.0) / self.rate

    def take(self, now: float) -> None:
        """Records a request that the sender sends or admits."""
        self._refill(now)
        self._tokens -= 1.0

    def share_wait(
        self, vms: int, now: float, *, without_sender: bool = False
    ) -> float:
        """Returns the seconds until this VM, not the sender, may send.

        Args:
            vms: Number of VMs.
            now: The time.
            without_sender: Whether this VM knows of no sender.
        """
        period_number, elapsed, period = self._current_period(
            vms, now, without_sender
        )
        if period_number != self._used_period and elapsed < min(
            _SLOT_SECONDS, period / 2
        ):
            return 0.0
        return period - elapsed

    def take_share(
        self, vms: int, now: float, *, without_sender: bool = False
    ) -> None:
        """Records a request that this VM sends without being the sender."""
        self._used_period, _, _ = self._current_period(vms, now, without_sender)

    def _current_period(
        self, vms: int, now: float, without_sender: bool
    ) -> tuple[int, float, float]:
        """Returns the number, age and length of the current period."""
        share = _NO_SENDER_SHARE if without_sender else _OWN_SHARE
        period = vms / (self._rate * share)
        periods = now / period + self._offset
        period_number = int(periods)
        return period_number, (periods - period_number) * period, period

    def _refill(self, now: float) -> None:
        capacity = 1.0 + self.rate * _BURST_SECONDS
        tokens = self._tokens + (now - self._refilled_at) * self.rate
        self._tokens = min(tokens, capacity)
        self._refilled_at = now


class _TargetLimit:
    """The limit that one incarnation of a target stated last.

    Attributes:
        born: The incarnation.
        rate: Its limit, None for none.
        recorded_at: When this VM first recorded this limit.
        stated_at: When the target stated it last.
        limiter: Rate limiter of this VM for the target, None without a limit.
    """

    __slots__ = ("born", "limiter", "rate", "recorded_at", "stated_at")

    def __init__(
        self,
        born: int,
        rate: float | None,
        recorded_at: float,
        stated_at: float,
    ) -> None:
        self.born = born
        self.rate = rate
        self.recorded_at = recorded_at
        self.stated_at = stated_at
        self.limiter: RateLimiter | None = None


class TargetLimits:
    """The current rate limit of each target."""

    __slots__ = (
        "_here",
        "_leader_limits",
        "_leader_limits_at",
        "_limited_count",
        "_limits",
    )

    def __init__(self, here: str) -> None:
        """Makes a record without limits.

        Args:
            here: Identifier of this VM.
        """
        self._here = here
        self._limits: dict[str, _TargetLimit] = {}
        self._limited_count = 0
        self._leader_limits: dict[str, LimitUpdate] = {}
        self._leader_limits_at = 0.0

    @property
    def any(self) -> bool:
        """Whether any target has a limit."""
        return self._limited_count > 0

    def limited(self) -> list[str]:
        """Returns the targets that have a limit."""
        return [n for n, limit in self._limits.items() if limit.limiter]

    def rate(self, target: str, born: int) -> float | None:
        """Returns the limit of a target in requests a second, None for none.

        Args:
            target: Identifier of the target.
            born: Its incarnation.
        """
        limit = self._limits.get(target)
        if limit is None or limit.born != born:
            return None
        return limit.rate

    def rate_since(
        self, target: str, born: int, earliest: float
    ) -> float | None:
        """Returns a limit if the target stated it at `earliest` or later."""
        limit = self._limits.get(target)
        if limit is None or limit.stated_at < earliest:
            return None
        return self.rate(target, born)

    def limiter(self, target: str, born: int) -> RateLimiter | None:
        """Returns this VM's rate limiter for a target, None without a limit."""
        limit = self._limits.get(target)
        if limit is None or limit.born != born:
            return None
        return limit.limiter

    def observe(
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
        current = self._limits.get(target)
        if current is None:
            return rate is not None and self._set(target, born, rate, now, now)
        if born < current.born:
            return False
        if born == current.born and rate == current.rate:
            current.stated_at = now
            return False
        early = sent_at < current.recorded_at
        if born == current.born and early and _lifts(rate, current.rate):
            return False
        return self._set(target, born, rate, now, now)

    def merge(self, target: str, update: LimitUpdate, now: float) -> bool:
        """Records a limit that another VM received.

        Args:
            target: Identifier of the target.
            update: The limit.
            now: The time.

        Returns:
            Whether this changes the limit.
        """
        stated_at = now - update.age
        current = self._limits.get(target)
        if current is not None:
            if update.born < current.born:
                return False
            if update.born == current.born:
                if update.rate == current.rate:
                    current.stated_at = max(current.stated_at, stated_at)
                    return False
                lifts = _lifts(update.rate, current.rate)
                if stated_at <= current.stated_at + (
                    _LIFT_MARGIN_SECONDS if lifts else 0.0
                ):
                    return False
        elif update.rate is None:
            return False
        return self._set(target, update.born, update.rate, now, stated_at)

    def _set(
        self,
        target: str,
        born: int,
        rate: float | None,
        now: float,
        stated_at: float,
    ) -> bool:
        """Stores an incarnation's limit; returns whether a limit changed."""
        previous = self._limits.get(target)
        updated = self._limits[target] = _TargetLimit(
            born, rate, now, stated_at
        )
        if rate is not None:
            updated.limiter = (
                previous.limiter if previous and previous.born == born else None
            )
            if updated.limiter is None:
                offset = (
                    zlib.crc32(f"{self._here}/{target}".encode()) / _HASH_RANGE
                )
                updated.limiter = RateLimiter(rate, offset, now)
            updated.limiter.set_rate(rate, now)
        self._limited_count = sum(
            n.rate is not None for n in self._limits.values()
        )
        return rate is not None or bool(previous and previous.rate is not None)

    def updates(self, now: float) -> dict[str, LimitUpdate]:
        """Returns the limits that a leader sends to all VMs."""
        return {
            name: _limit_update(limit, now)
            for name, limit in self._limits.items()
            if limit.rate is not None
            or now - limit.stated_at < _REPORT_LIFTED_SECONDS
        }

    def record_leader_view(
        self, limits: Mapping[str, LimitUpdate], now: float
    ) -> None:
        """Records the limits that the leader has, whether new here or not."""
        self._leader_limits = dict(limits)
        self._leader_limits_at = now

    def unknown_to_leader(self, now: float) -> dict[str, LimitUpdate]:
        """Returns the limits that the leader lacks, for this VM's report."""
        return {
            name: _limit_update(limit, now)
            for name, limit in self._limits.items()
            if self._is_unknown(name, limit)
        }

    def _is_unknown(self, target: str, limit: _TargetLimit) -> bool:
        leader_limit = self._leader_limits.get(target)
        if leader_limit is None or leader_limit.born != limit.born:
            return limit.rate is not None
        leader_stated_at = self._leader_limits_at - leader_limit.age
        return (
            leader_limit.rate != limit.rate
            or limit.stated_at > leader_stated_at + _CONFIRM_SECONDS
        )

    def retain(self, targets: Mapping[str, int]) -> None:
        """Drops targets that no longer exist and ended incarnations.

        Args:
            targets: Present incarnations by target.
        """
        self._limits = {
            name: limit
            for name, limit in self._limits.items()
            if limit.born >= targets.get(name, limit.born + 1)
        }
        self._limited_count = sum(
            n.rate is not None for n in self._limits.values()
        )

    def dump(self) -> dict[str, float]:
        """Returns the limits in force by target."""
        return {
            name: limit.rate
            for name, limit in self._limits.items()
            if limit.rate is not None
        }


def _lifts(rate: float | None, current: float | None) -> bool:
    """Whether a rate allows more than the recorded one."""
    if current is None:
        return False
    return rate is None or rate > current


def _limit_update(limit: _TargetLimit, now: float) -> LimitUpdate:
    return LimitUpdate(
        limit.born, limit.rate, round(max(now - limit.stated_at, 0), 3)
    )
