"""The budget of a slow, paid link between two regions, in one direction.

The budget is dealt out by need among the entry VMs that send into this
direction; `Pacer` keeps one VM's share. Classes differ in how far they may run
into debt: the desk's few bytes go at once and downloads wait until the debt
is paid, so that bulk takes whatever the others leave.
"""

import collections

from mimosastile_core import config
from mimosastile_core import limits

CHUNK = 8 << 10
"""Bytes sent at a time. At 30 Mbit/s this holds up others for 2 ms."""

_DEBT_SECONDS = {
    config.Priority.INTERACTIVE: 1.0,
    config.Priority.SUBMISSION: 0.5,
    config.Priority.BULK: 0.0,
}
_BURST_SECONDS = 0.005
_SHORTEST_WAIT_SECONDS = 0.001
_LEAST_WANTED = 64 << 10
"""Bytes a second that whoever had to wait asks for at least."""


def budget(link: config.Link) -> float:
    """Returns the bytes a second that requests and answers may take."""
    usable = link.bytes_per_second * link.usable
    return max(usable - link.control_bytes_per_second, 1.0)


class Pacer:
    """One VM's share of one direction."""

    __slots__ = (
        "_held",
        "_rate",
        "_refilled_at",
        "_sent",
        "_since",
        "_tokens",
        "_until",
        "_waited",
    )

    def __init__(self, now: float) -> None:
        """Begins without a share.

        Args:
            now: The time.
        """
        self._held = 0.0
        self._rate = 0.0
        self._until = now
        self._tokens = 0.0
        self._refilled_at = now
        self._sent = 0
        self._since = now
        self._waited = False

    def wait(
        self,
        size: int,
        priority: config.Priority,
        total: float,
        count: int,
        now: float,
    ) -> float:
        """Asks to send.

        Args:
            size: Bytes.
            priority: Class of the request.
            total: Budget of the direction in bytes a second.
            count: Entry VMs that share it.
            now: The time.

        Returns:
            0 if the bytes may go now and are accounted; otherwise the seconds
            after which to ask again.
        """
        share = self._held if now < self._until else limits.floor(total, count)
        rate = max(min(share, total), 1.0)
        earned = (now - self._refilled_at) * rate
        self._refilled_at = now
        self._tokens = min(self._tokens + earned, rate * _BURST_SECONDS)
        least = -_DEBT_SECONDS[priority] * rate
        if self._tokens >= least:
            self._tokens -= size
            self._sent += size
            return 0.0
        self._waited = True
        return max((least - self._tokens) / rate, _SHORTEST_WAIT_SECONDS)

    def need(self, now: float) -> limits.Need:
        """Returns what to report and begins a new period."""
        seconds = max(now - self._since, _SHORTEST_WAIT_SECONDS)
        rate = self._sent / seconds
        held = self._held if now < self._until else 0.0
        # Whoever had to wait could use more than it was given.
        wanted = 2 * max(rate, held, _LEAST_WANTED) if self._waited else rate
        self._sent = 0
        self._since = now
        self._waited = False
        return limits.Need(held, 0.0, wanted)

    def grant(self, rate: float, sent_at: float) -> None:
        """Takes a share.

        Args:
            rate: Bytes a second.
            sent_at: When the report was sent that it answers.
        """
        self._held = rate
        self._until = sent_at + limits.SHARE_SECONDS


class Meter:
    """Bytes by region, member and service; the link is paid for by volume."""

    __slots__ = ("_bytes",)

    def __init__(self) -> None:
        self._bytes: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )

    def count(self, region: str, member: str, service: str, size: int) -> None:
        """Counts bytes sent to a region."""
        self._bytes[region, member, service] += size

    def total(self) -> dict[str, int]:
        """Returns the bytes, named `region/member/service`."""
        return {"/".join(at): size for at, size in self._bytes.items()}
