"""Unowned key ranges, and when they can be expected to have an owner again.

Keys in a handover have an owner again within some tenths of a second. Keys of a
crashed target have none until its grant has expired and, if its leader was lost
as well, until that leader's lease has expired too. A VM only sees that keys
have no owner; the time since they lost it indicates which of the three cases
applies. A request that would wait past its deadline is refused at once, with
the time until its key can be expected to have an owner.
"""

from collections.abc import Iterable
import itertools

from mimosastile_core.gateway import assignments

_HANDOVER_SECONDS = 0.6
"""Time within which nearly all handovers end: a release waits for the requests
in progress."""
_MAX_UNKNOWN_SECONDS = 2.0
"""Longest expected time if a VM cannot know what an owner waits for: a leader
that is replaced, a path that is lost, or a grant that was extended. Most of
these end far earlier than the longest grant."""


class _UnownedRange:
    """Adjacent keys without an owner."""

    __slots__ = ("first", "last", "since")

    def __init__(self, first: int, last: int, since: float) -> None:
        self.first = first
        self.last = last
        self.since = since


class UnownedRanges:
    """Unowned ranges of all services."""

    __slots__ = ("_crash_seconds", "_longest_seconds", "_unowned")

    def __init__(self, crash_seconds: float, longest_seconds: float) -> None:
        """Creates a record without unowned ranges.

        Args:
            crash_seconds: Seconds for which keys of a crashed target have no
                owner.
            longest_seconds: The same if the leader was lost as well.
        """
        self._crash_seconds = crash_seconds
        self._longest_seconds = longest_seconds
        self._unowned: dict[str, list[_UnownedRange]] = {}

    def update(self, assignment: assignments.Assignment, now: float) -> None:
        """Updates the unowned ranges of a service from its assignment."""
        earlier = self._unowned.get(assignment.service, [])
        unowned: list[_UnownedRange] = []
        index = 0
        for span in assignment.spans():
            if span.owner:
                continue
            # Both lists are in order of keys.
            while index < len(earlier) and earlier[index].last < span.first:
                index += 1
            since = _unowned_since(
                span, itertools.islice(earlier, index, None), now
            )
            unowned.append(_UnownedRange(span.first, span.last, since))
        self._unowned[assignment.service] = unowned

    def seconds(self, service: str, key: int, now: float) -> float:
        """Returns the seconds until a key can be expected to have an owner.

        Args:
            service: Service of the key.
            key: A key without an owner.
            now: Current time.
        """
        for unowned_range in self._unowned.get(service, ()):
            if unowned_range.first <= key <= unowned_range.last:
                return self.expected_seconds(now - unowned_range.since)
        return 0.0

    def expected_seconds(self, unowned_seconds: float) -> float:
        """Returns the seconds until unowned keys should have an owner.

        Args:
            unowned_seconds: Seconds for which they have had none.
        """
        if unowned_seconds < _HANDOVER_SECONDS:
            return 0.0
        if unowned_seconds < self._crash_seconds:
            return self._crash_seconds - unowned_seconds
        left = self._longest_seconds - unowned_seconds
        return min(max(left, _HANDOVER_SECONDS), _MAX_UNKNOWN_SECONDS)


def _unowned_since(
    span: assignments.Span, earlier: Iterable[_UnownedRange], now: float
) -> float:
    """Returns the earliest time from which a range may have had no owner.

    Args:
        span: The range.
        earlier: Earlier unowned ranges that do not end before it, in order of
            keys.
        now: Current time.
    """
    overlapping = itertools.takewhile(lambda r: r.first <= span.last, earlier)
    return min(
        (unowned_range.since for unowned_range in overlapping), default=now
    )
