"""Limits of a member that hold over all entry VMs together.

Each limit has one dealer, an entry VM that all others work out from the list
of VMs. The others report what they need and get a share of the limit for a
while. Whoever cannot reach the dealer falls back to a small floor that the
dealer keeps free, so that a cut-off zone goes on serving.

The sum of what all VMs may admit exceeds the limit by at most one for each VM
without a valid share, and only if the limit is lower than the number of VMs.
A rate may be exceeded by one second's worth after a quiet time.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import msgspec
import xxhash

SHARE_SECONDS = 2.0
"""How long a share is valid, from the moment in which its report was sent."""

_ASK_SECONDS = 0.5
"""Shortest time between two requests that wait for a larger share. A member
that is over its limit for long is refused at once in between."""

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

    __slots__ = ("_began", "_holdings")

    def __init__(self, now: float) -> None:
        """Begins with nothing known.

        Args:
            now: The time. For as long as shares of a former dealer may be
                valid, no share is raised: they are not known here yet, and
                the sum would overrun the limit.
        """
        self._began = now
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
        share = min(self._fair(vm, limit, names, now), limit - others)
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
        left = limit - least * (len(names) - len(heard))
        # A VM that is cut off falls back to the floor, so nobody who is heard
        # gets less, where the limit suffices for that.
        base = least if limit >= len(names) else 0.0
        return water_fill(heard, max(left, 0.0), base)[vm]


def water_fill(
    wanted: Mapping[str, float], total: float, base: float
) -> dict[str, float]:
    """Divides a total by need; what nobody needs is divided evenly.

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
    spare = left / len(wanted) if wanted else 0.0
    return {name: share + spare for name, share in shares.items()}


class Allowance:
    """What this VM may admit of one member.

    Attributes:
        in_use: Requests under way.
    """

    __slots__ = (
        "_arrivals",
        "_arrivals_since",
        "_asked_at",
        "_concurrency",
        "_offered",
        "_peak",
        "_rate",
        "_refilled_at",
        "_refused",
        "_tokens",
        "_until",
        "in_use",
    )

    def __init__(self, now: float) -> None:
        self.in_use = 0
        self._peak = 0
        self._refused = 0
        self._concurrency = 0.0
        self._rate = 0.0
        self._until = now
        self._tokens = 1.0
        self._refilled_at = now
        self._offered = 0.0
        self._arrivals = 0
        self._arrivals_since = now
        self._asked_at = now - _ASK_SECONDS

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
                self._refused += 1
                return False
        if rate and not self._take(
            self._share(self._rate, rate, count, now), now
        ):
            return False
        self.in_use += 1
        self._peak = max(self._peak, self.in_use)
        return True

    def may_ask(self, now: float) -> bool:
        """Whether a refused request may wait for the dealer's answer."""
        if now - self._asked_at < _ASK_SECONDS:
            return False
        self._asked_at = now
        return True

    def arrive(self) -> None:
        """Counts an arrival, admitted or not."""
        self._arrivals += 1

    def release(self) -> None:
        """Counts a request out."""
        self.in_use -= 1

    def needs(self, now: float) -> tuple[Need, Need]:
        """Returns the reports on concurrency and rate and begins a period."""
        seconds = now - self._arrivals_since
        if seconds > 0:
            newest = self._arrivals / seconds
            self._offered += (newest - self._offered) * min(seconds, 1.0)
        valid = now < self._until
        wanted = self._peak
        if self._refused:
            # Callers that hear a refusal send less; doubling finds out soon
            # how much they would send.
            wanted += max(self._refused, self._peak)
        concurrency = Need(
            self._concurrency if valid else 0.0, self.in_use, wanted
        )
        rate = Need(self._rate if valid else 0.0, 0.0, self._offered)
        self._peak = self.in_use
        self._refused = 0
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
