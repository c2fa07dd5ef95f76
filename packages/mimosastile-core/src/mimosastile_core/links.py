"""Bandwidth budget of a slow, paid link between two regions, per direction.

The budget is allocated by need among the entry VMs that send in this direction,
and `Pacer` enforces one VM's share with a token bucket. Priority classes differ
in the debt that they may run up: the few bytes of interactive requests are sent
at once, while bulk downloads wait until the debt is paid, so bulk uses only the
bandwidth that the other classes leave.
"""

import collections

from mimosastile_core import config
from mimosastile_core import limits

CHUNK_BYTES = 8 << 10
"""Bytes sent at a time. At 30 Mbit/s a chunk delays others by 2 ms."""

_MAX_DEBT_SECONDS = {
    config.Priority.INTERACTIVE: 1.0,
    config.Priority.SUBMISSION: 0.5,
    config.Priority.BULK: 0.0,
}
_BURST_SECONDS = 0.005
_MIN_WAIT_SECONDS = 0.001
_MIN_WANTED_BYTES_PER_SECOND = 64 << 10
"""Least bandwidth requested by a VM whose requests had to wait."""


def budget(link: config.Link) -> float:
    """Returns the bytes a second left for requests and responses."""
    usable = link.bytes_per_second * link.usable
    return max(usable - link.control_bytes_per_second, 1.0)


class Pacer:
    """Token bucket for one VM's share of one direction."""

    __slots__ = (
        "_granted",
        "_granted_until",
        "_period_started_at",
        "_rate",
        "_refilled_at",
        "_sent",
        "_tokens",
        "_waited",
    )

    def __init__(self, now: float) -> None:
        """Creates a pacer without a share.

        Args:
            now: Current time in seconds.
        """
        self._granted = 0.0
        self._rate = 0.0
        self._granted_until = now
        self._tokens = 0.0
        self._refilled_at = now
        self._sent = 0
        self._period_started_at = now
        self._waited = False

    def wait(
        self,
        size: int,
        priority: config.Priority,
        total: float,
        count: int,
        now: float,
    ) -> float:
        """Requests to send bytes.

        Args:
            size: Number of bytes.
            priority: Priority class of the request.
            total: Budget of the direction in bytes a second.
            count: Number of entry VMs that share it.
            now: Current time in seconds.

        Returns:
            0 if the bytes may be sent now, in which case they are counted;
            otherwise the seconds after which to retry.
        """
        share = (
            self._granted
            if now < self._granted_until
            else limits.guaranteed_share(total, count)
        )
        rate = max(min(share, total), 1.0)
        earned = (now - self._refilled_at) * rate
        self._refilled_at = now
        self._tokens = min(self._tokens + earned, rate * _BURST_SECONDS)
        min_tokens = -_MAX_DEBT_SECONDS[priority] * rate
        if self._tokens >= min_tokens:
            self._tokens -= size
            self._sent += size
            return 0.0
        self._waited = True
        return max((min_tokens - self._tokens) / rate, _MIN_WAIT_SECONDS)

    def need(self, now: float) -> limits.Need:
        """Returns the report to the allocator and starts a new period."""
        seconds = max(now - self._period_started_at, _MIN_WAIT_SECONDS)
        rate = self._sent / seconds
        granted = self._granted if now < self._granted_until else 0.0
        # A VM whose requests had to wait could use more than its share.
        wanted = (
            2 * max(rate, granted, _MIN_WANTED_BYTES_PER_SECOND)
            if self._waited
            else rate
        )
        self._sent = 0
        self._period_started_at = now
        self._waited = False
        return limits.Need(granted, 0.0, wanted)

    def grant(self, rate: float, sent_at: float) -> None:
        """Sets a new share.

        Args:
            rate: Bytes a second.
            sent_at: Time at which this VM sent the report, in seconds.
        """
        self._granted = rate
        self._granted_until = sent_at + limits.SHARE_SECONDS


class Meter:
    """Byte counts by region, member and service, for billing by volume."""

    __slots__ = ("_bytes",)

    def __init__(self) -> None:
        self._bytes: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )

    def count(self, region: str, member: str, service: str, size: int) -> None:
        """Counts bytes sent to a region."""
        self._bytes[region, member, service] += size

    def total(self) -> dict[str, int]:
        """Returns `region/member/service` to bytes."""
        return {"/".join(at): size for at, size in self._bytes.items()}
