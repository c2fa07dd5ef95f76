"""Bytes sent and received, by purpose and by region of the remote end."""

import collections
from collections.abc import Callable
from collections.abc import Mapping

import msgspec

REQUESTS = "requests"
"""Purpose of bytes of callers' requests, to targets or through peers."""
SENT, RECEIVED = "sent", "received"
UNKNOWN_REGION = "unknown"
"""Region of an address that this VM has no zone for, such as the store's."""


class Series(msgspec.Struct, frozen=True):
    """What one counter counts.

    Attributes:
        purpose: `REQUESTS`, or the path of the gateway's own call.
        direction: `SENT` or `RECEIVED`.
        region: Region of the remote end, or `UNKNOWN_REGION`.
    """

    purpose: str
    direction: str
    region: str


class Traffic:
    """Counts bytes of connections.

    Attributes:
        region_of: Returns the region of an address, or `UNKNOWN_REGION`.
    """

    __slots__ = ("_counts", "region_of")

    def __init__(self) -> None:
        """Creates counters at zero, for addresses of unknown regions."""
        self._counts: collections.Counter[Series] = collections.Counter()
        self.region_of: Callable[[str], str] = _unknown_region

    @property
    def counts(self) -> Mapping[Series, int]:
        """Bytes so far."""
        return self._counts

    def add(self, series: Series, size: int) -> None:
        """Counts bytes."""
        self._counts[series] += size


def purpose(path: str) -> str:
    """Returns the purpose of a call, by which its bytes are counted.

    Args:
        path: Path of the call, with or without a query.
    """
    label = path.partition("?")[0]
    if label.count("/") > 1:
        # The second segment is an identifier.
        label = label[: label.index("/", 1)]
    return label


def _unknown_region(address: str) -> str:
    return UNKNOWN_REGION
