"""Limits of a member that hold over all entry VMs together.

Each limit has one dealer, an entry VM that all others work out from the list
of VMs. The others report what they need and get a share of the limit for a
while. Whoever cannot reach the dealer falls back to a small floor that the
dealer keeps free, so that a cut-off zone goes on serving.

Limits that are small for the number of VMs stay with the dealer, and a VM asks
when it needs more; its share follows what it uses. Of larger limits each VM
holds some in advance, so that asking is rare.

The sum of what all VMs may admit exceeds a small limit by at most one for each
VM without a valid share, and a larger one not at all. A rate may be exceeded
by one second's worth after a quiet time.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import msgspec
import xxhash

SHARE_SECONDS = 2.0
"""How long a share is valid, from the moment in which its report was sent."""

_REFUSED_SECONDS = 0.1
"""Time without asking after the dealer had nothing left. A member that is over
its limit for long is refused at once, and its dealer is not flooded."""

_AMPLE = 4
"""Multiple of the number of VMs from which on a limit is not small."""

_LINGER_SECONDS = 30.0
"""Requests admitted under a share may run this long after it has lapsed."""


class Need(msgspec.Struct, frozen=True, array_like=True):
    """What one VM reports about one limit.

    Attributes:
        held: Its valid share, 0 for none.
        used: How much of it is in use.
        wanted: How much it could use.
    """

    held: float = 0.0
    used: float = 0.0
    wanted: float = 0.0


def dealer(member: str, vms: Iterable[str]) -> str:
    """Returns the VM that deals a member's limits, empty if there is none.

    Args:
        member: The member.
        vms: Listed entry VMs; each VM finds the same dealer in the same list.
    """
    return max(
        vms,
        key=lambda vm: xxhash.xxh3_64_intdigest(f"{vm}/{member}".encode()),
        default="",
    )


def floor(limit: float, count: int) -> float:
    """Returns what each VM may admit without a share.

    Args:
        limit: The limit.
        count: How many entry VMs are listed.
    """
    return max(1.0, limit // (2 * max(count, 1)))


class _Holding(msgspec.Struct):
    """What the dealer knows of one VM."""

    granted: float
    need: Need
    heard_at: float

    @property
    def committed(self) -> float:
        """What the VM may be using, whether or not it got the last reply."""
        return max(self.granted, self.need.held, self.need.used)


class Ledger:
    """The dealer's book of one limit."""

    __slots__ = ("_began", "_holdings", "_whole")

    def __init__(self, now: float, *, whole: bool = False) -> None:
        """Begins with nothing known.

        Args:
            now: The time. For as long as shares of a former dealer may be
                valid, no share is raised: they are not known here yet, and
                the sum would overrun the limit.
            whole: Shares are whole numbers, as of requests under way.
        """
        self._began = now
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
        """Takes a report and returns the VM's new share.

        Args:
            vm: The reporting VM.
            need: Its report.
            limit: The limit.
            listed: All listed entry VMs.
            now: The time.
        """
        names = set(listed) | {vm}
        held = self._holdings.get(vm)
        granted = held.granted if held else need.held
        self._holdings[vm] = _Holding(granted, need, now)
        self._forget(names, now)
        least = floor(limit, len(names))
        others = sum(self._committed(name, least, now) for name in names - {vm})
        fair = self._fair(vm, limit, names, now)
        if self._whole:
            # Rounded down, shares of many VMs would leave much unused.
            fair = math.ceil(fair)
        share = min(fair, limit - others)
        if now < self._began + SHARE_SECONDS:
            share = min(share, max(need.held, least))
        share = max(share, 0.0)
        self._holdings[vm].granted = share
        return share

    def _committed(self, vm: str, least: float, now: float) -> float:
        holding = self._holdings.get(vm)
        if holding is None:
            return least
        if now - holding.heard_at > SHARE_SECONDS:
            return max(holding.committed, least)
        return holding.committed

    def _forget(self, names: set[str], now: float) -> None:
        self._holdings = {
            vm: holding
            for vm, holding in self._holdings.items()
            if vm in names and now - holding.heard_at <= _LINGER_SECONDS
        }

    def _fair(
        self, vm: str, limit: float, names: set[str], now: float
    ) -> float:
        """Returns the share that a VM ought to have by all needs."""
        least = floor(limit, len(names))
        heard = {
            name: holding.need.wanted
            for name, holding in self._holdings.items()
            if now - holding.heard_at <= SHARE_SECONDS
        }
        left = max(limit - least * (len(names) - len(heard)), 0.0)
        if limit < _AMPLE * len(names):
            # Held in advance by everybody, a small limit would be used up
            # while hardly anything runs, and members would be refused for
            # no reason.
            return water_fill(heard, left, 0.0)[vm]
        # A VM that is cut off falls back to the floor, so nobody who is heard
        # gets less. Half of what nobody needs waits for those who ask.
        share = water_fill(heard, left, least)[vm]
        spare = max(left - sum(heard.values()), 0.0)
        return share + spare / len(heard) / 2


def water_fill(
    wanted: Mapping[str, float], total: float, base: float
) -> dict[str, float]:
    """Divides a total by need, small needs first.

    Args:
        wanted: What each one could use.
        total: What there is.
        base: What each one gets at least.

    Returns:
        Shares whose sum is at most the total, unless `base` alone exceeds it.
    """
    shares: dict[str, float] = {}
    left = total
    for done, name in enumerate(sorted(wanted, key=lambda n: wanted[n])):
        even = left / (len(wanted) - done)
        shares[name] = min(max(wanted[name], base), even)
        left -= shares[name]
    return shares


class Allowance:
    """What this VM may admit of one member.

    Attributes:
        in_use: Requests under way.
    """

    __slots__ = (
        "_arrivals",
        "_arrivals_since",
        "_concurrency",
        "_full_until",
        "_offered",
        "_rate",
        "_refilled_at",
        "_tokens",
        "_until",
        "in_use",
    )

    def __init__(self, now: float) -> None:
        self.in_use = 0
        self._concurrency = 0.0
        self._rate = 0.0
        self._until = now
        self._tokens = 1.0
        self._refilled_at = now
        self._offered = 0.0
        self._arrivals = 0
        self._arrivals_since = now
        self._full_until = now

    @property
    def busy(self) -> bool:
        """Whether there is anything to report soon."""
        return bool(self.in_use or self._arrivals or self._concurrency)

    def admit(
        self, concurrency: int, rate: float, count: int, now: float
    ) -> bool:
        """Counts a request in, or says that there is no room for it.

        Args:
            concurrency: The member's limit of requests under way, 0 for none.
            rate: Its limit of requests a second, 0 for none.
            count: How many entry VMs are listed.
            now: The time.
        """
        if concurrency:
            allowed = self._share(self._concurrency, concurrency, count, now)
            if self.in_use + 1 > allowed:
                return False
        if rate and not self._take(
            self._share(self._rate, rate, count, now), now
        ):
            return False
        self.in_use += 1
        return True

    def may_ask(self, now: float) -> bool:
        """Whether asking the dealer for a larger share makes sense."""
        return now >= self._full_until

    def full(self, now: float) -> None:
        """Notes that the dealer had nothing left."""
        self._full_until = now + _REFUSED_SECONDS

    def arrive(self) -> None:
        """Counts an arrival, admitted or not."""
        self._arrivals += 1

    def release(self) -> None:
        """Counts a request out."""
        self.in_use -= 1

    def needs(self, now: float, asking: int = 0) -> tuple[Need, Need]:
        """Returns the reports on concurrency and rate and begins a period.

        Args:
            now: The time.
            asking: Requests that wait for a larger share.
        """
        seconds = now - self._arrivals_since
        if seconds > 0:
            newest = self._arrivals / seconds
            self._offered += (newest - self._offered) * min(seconds, 1.0)
        valid = now < self._until
        concurrency = Need(
            self._concurrency if valid else 0.0,
            self.in_use,
            self.in_use + asking,
        )
        # Arrivals come in bursts; twice their mean covers most.
        rate = Need(self._rate if valid else 0.0, 0.0, 2 * self._offered + 1)
        self._arrivals = 0
        self._arrivals_since = now
        return concurrency, rate

    def grant(self, concurrency: float, rate: float, sent_at: float) -> None:
        """Takes a share.

        Args:
            concurrency: Requests under way.
            rate: Requests a second.
            sent_at: When the report was sent that it answers.
        """
        self._concurrency = concurrency
        self._rate = rate
        self._until = sent_at + SHARE_SECONDS

    def _share(
        self, granted: float, limit: float, count: int, now: float
    ) -> float:
        share = granted if now < self._until else floor(limit, count)
        return min(share, limit)

    def _take(self, rate: float, now: float) -> bool:
        earned = (now - self._refilled_at) * rate
        self._tokens = min(self._tokens + earned, max(rate, 1.0))
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
