"""Distributed concurrency and rate limits of a member across all entry VMs.

Each limit has one allocator, an entry VM that every VM computes from the list
of VMs. The others report their needs and receive a share of the limit, valid
for a short time. A VM that cannot reach the allocator falls back to a small
guaranteed share that the allocator reserves, so an isolated zone continues to
serve.

The allocator retains limits that are small for the number of VMs. A VM requests
more when it needs it, and its share follows its use. Of larger limits each VM
holds a part in advance, so requests to the allocator are rare.

The sum admitted by all VMs exceeds a small limit by at most one for each VM
without a valid share, and never exceeds a larger limit. A rate may be exceeded
by the tokens of one second after an idle period.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import msgspec
import xxhash

SHARE_SECONDS = 2.0
"""Validity of a share, counted from when the VM sent its report."""

_REFUSAL_HOLD_SECONDS = 0.1
"""Pause in requests for a larger share after the allocator had nothing left. A
member that stays over its limit is refused at once, and its allocator is not
flooded."""

_SMALL_LIMIT_FACTOR = 4
"""Multiple of the number of VMs below which a limit counts as small."""

_LINGER_SECONDS = 30.0
"""Time for which requests admitted under an expired share may still run."""


class Need(msgspec.Struct, frozen=True, array_like=True):
    """One VM's report on one limit.

    Attributes:
        held: Its valid share, 0 for none.
        used: Amount of the limit in use.
        wanted: Amount that it could use.
    """

    held: float = 0.0
    used: float = 0.0
    wanted: float = 0.0


def allocator(member: str, vms: Iterable[str]) -> str:
    """Returns the VM that allocates a member's limits, empty without VMs.

    Args:
        member: The member.
        vms: Listed entry VMs; the same list gives the same allocator on every
            VM (rendezvous hashing).
    """
    return max(
        vms,
        key=lambda vm: xxhash.xxh3_64_intdigest(f"{vm}/{member}".encode()),
        default="",
    )


def guaranteed_share(limit: float, count: int) -> float:
    """Returns the amount that each VM may admit without a valid share.

    Args:
        limit: The limit.
        count: Number of listed entry VMs.
    """
    return max(1.0, limit // (2 * max(count, 1)))


class _Holding(msgspec.Struct):
    """The allocator's record of one VM."""

    granted: float
    need: Need
    reported_at: float

    @property
    def committed(self) -> float:
        """Upper bound on the VM's use, whether or not it got the last reply."""
        return max(self.granted, self.need.held, self.need.used)


class Ledger:
    """The allocator's record of the shares of one limit."""

    __slots__ = ("_holdings", "_started_at", "_whole")

    def __init__(self, now: float, *, whole: bool = False) -> None:
        """Creates an empty ledger.

        Args:
            now: Current time in seconds. While shares of a former allocator may
                be valid, no share is raised: they are not recorded here yet,
                and the sum would exceed the limit.
            whole: Whether shares are rounded up to whole numbers, as for
                concurrency limits.
        """
        self._started_at = now
        self._whole = whole
        self._holdings: dict[str, _Holding] = {}

    def report(
        self,
        vm: str,
        need: Need,
        limit: float,
        listed: Iterable[str],
        now: float,
    ) -> float:
        """Records a report and returns the VM's new share.

        Args:
            vm: The reporting VM.
            need: Its report.
            limit: The limit.
            listed: All listed entry VMs.
            now: Current time in seconds.
        """
        names = set(listed) | {vm}
        held = self._holdings.get(vm)
        granted = held.granted if held else need.held
        self._holdings[vm] = _Holding(granted, need, now)
        self._drop_stale(names, now)
        guaranteed = guaranteed_share(limit, len(names))
        others = sum(
            self._committed(name, guaranteed, now) for name in names - {vm}
        )
        fair = self._fair_share(vm, limit, names, now)
        if self._whole:
            # Rounding the shares of many VMs down would leave much unused.
            fair = math.ceil(fair)
        share = min(fair, limit - others)
        if now < self._started_at + SHARE_SECONDS:
            share = min(share, max(need.held, guaranteed))
        share = max(share, 0.0)
        self._holdings[vm].granted = share
        return share

    def _committed(self, vm: str, guaranteed: float, now: float) -> float:
        holding = self._holdings.get(vm)
        if holding is None:
            return guaranteed
        if now - holding.reported_at > SHARE_SECONDS:
            return max(holding.committed, guaranteed)
        return holding.committed

    def _drop_stale(self, names: set[str], now: float) -> None:
        self._holdings = {
            vm: holding
            for vm, holding in self._holdings.items()
            if vm in names and now - holding.reported_at <= _LINGER_SECONDS
        }

    def _fair_share(
        self, vm: str, limit: float, names: set[str], now: float
    ) -> float:
        """Returns a VM's fair share by the reported needs of all VMs."""
        guaranteed = guaranteed_share(limit, len(names))
        reported_needs = {
            name: holding.need.wanted
            for name, holding in self._holdings.items()
            if now - holding.reported_at <= SHARE_SECONDS
        }
        left = max(limit - guaranteed * (len(names) - len(reported_needs)), 0.0)
        if limit < _SMALL_LIMIT_FACTOR * len(names):
            # If every VM held a part in advance, a small limit would be
            # exhausted while hardly anything runs, and requests of members
            # would be refused needlessly.
            return water_fill(reported_needs, left, 0.0)[vm]
        # An isolated VM falls back to the guaranteed share, so no reporting VM
        # gets less. Half of the unneeded rest stays free for requests for more.
        share = water_fill(reported_needs, left, guaranteed)[vm]
        spare = max(left - sum(reported_needs.values()), 0.0)
        return share + spare / len(reported_needs) / 2


def water_fill(
    wanted: Mapping[str, float], total: float, base: float
) -> dict[str, float]:
    """Divides a total by max-min fairness: small needs are met first.

    Args:
        wanted: Amount that each one could use.
        total: Amount to divide.
        base: Least share of each one, even if it wants less.

    Returns:
        Shares whose sum is at most the total, unless `base` alone exceeds it.
    """
    shares: dict[str, float] = {}
    left = total
    for served, name in enumerate(sorted(wanted, key=lambda n: wanted[n])):
        even = left / (len(wanted) - served)
        shares[name] = min(max(wanted[name], base), even)
        left -= shares[name]
    return shares


class Allowance:
    """One VM's share of one member's limits, enforced on admission.

    Attributes:
        in_use: Requests in flight.
    """

    __slots__ = (
        "_arrivals",
        "_arrivals_since",
        "_concurrency",
        "_granted_until",
        "_offered",
        "_rate",
        "_refilled_at",
        "_refused_until",
        "_tokens",
        "in_use",
    )

    def __init__(self, now: float) -> None:
        self.in_use = 0
        self._concurrency = 0.0
        self._rate = 0.0
        self._granted_until = now
        self._tokens = 1.0
        self._refilled_at = now
        self._offered = 0.0
        self._arrivals = 0
        self._arrivals_since = now
        self._refused_until = now

    @property
    def busy(self) -> bool:
        """Whether requests, arrivals or a share are due for a report."""
        return bool(self.in_use or self._arrivals or self._concurrency)

    def admit(
        self, concurrency: int, rate: float, count: int, now: float
    ) -> bool:
        """Admits and counts a request; False if a limit is reached.

        Args:
            concurrency: The member's limit of requests in flight, 0 for none.
            rate: The member's limit of requests a second, 0 for none.
            count: Number of listed entry VMs.
            now: Current time in seconds.
        """
        if concurrency:
            allowed = self._share(self._concurrency, concurrency, count, now)
            if self.in_use + 1 > allowed:
                return False
        if rate and not self._take_token(
            self._share(self._rate, rate, count, now), now
        ):
            return False
        self.in_use += 1
        return True

    def may_request(self, now: float) -> bool:
        """Returns whether a request for a larger share may be sent now."""
        return now >= self._refused_until

    def record_refusal(self, now: float) -> None:
        """Records that the allocator had no larger share to give."""
        self._refused_until = now + _REFUSAL_HOLD_SECONDS

    def record_arrival(self) -> None:
        """Counts an arrival, admitted or not."""
        self._arrivals += 1

    def release(self) -> None:
        """Counts the end of an admitted request."""
        self.in_use -= 1

    def needs(self, now: float, waiting: int = 0) -> tuple[Need, Need]:
        """Returns the reports on concurrency and rate, and starts a new period.

        Args:
            now: Current time in seconds.
            waiting: Requests that wait for a larger share.
        """
        seconds = now - self._arrivals_since
        if seconds > 0:
            newest = self._arrivals / seconds
            self._offered += (newest - self._offered) * min(seconds, 1.0)
        is_valid = now < self._granted_until
        concurrency = Need(
            self._concurrency if is_valid else 0.0,
            self.in_use,
            self.in_use + waiting,
        )
        # Arrivals are bursty; twice their mean rate covers most bursts.
        rate = Need(self._rate if is_valid else 0.0, 0.0, 2 * self._offered + 1)
        self._arrivals = 0
        self._arrivals_since = now
        return concurrency, rate

    def grant(self, concurrency: float, rate: float, sent_at: float) -> None:
        """Sets a new share.

        Args:
            concurrency: Requests in flight.
            rate: Requests a second.
            sent_at: Time at which this VM sent the report, in seconds.
        """
        self._concurrency = concurrency
        self._rate = rate
        self._granted_until = sent_at + SHARE_SECONDS

    def _share(
        self, granted: float, limit: float, count: int, now: float
    ) -> float:
        share = (
            granted
            if now < self._granted_until
            else guaranteed_share(limit, count)
        )
        return min(share, limit)

    def _take_token(self, rate: float, now: float) -> bool:
        earned = (now - self._refilled_at) * rate
        self._tokens = min(self._tokens + earned, max(rate, 1.0))
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
