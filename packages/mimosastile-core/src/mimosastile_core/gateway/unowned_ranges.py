"""Since when keys have had no owner, and when they can be expected to have one.

Keys that are handed over are back within some tenths of a second. Those of a
target that died wait for its grant to run out, and if its leader has vanished
with it, for that one's authority as well. A VM sees only that nobody owns them;
the time for which that has been so tells which of the three it is. Requests
that would wait until their deadlines for nothing are refused at once, with the
time at which the keys can be expected to be back.
"""

from collections.abc import Iterable
import itertools

from mimosastile_core.gateway import assignments

_HANDOVER_SECONDS = 0.6
"""Time within which nearly all keys that are handed over have their next owner:
a release waits for the work that runs."""


class _UnownedRange:
    """Neighbouring keys without an owner."""

    __slots__ = ("first", "last", "since")

    def __init__(self, first: int, last: int, since: float) -> None:
        self.first = first
        self.last = last
        self.since = since


class UnownedRanges:
    """Keys of all services that nobody owns."""

    __slots__ = ("_lapse", "_longest", "_of")

    def __init__(self, lapse: float, longest: float) -> None:
        """Makes one that knows of none.

        Args:
            lapse: Seconds for which keys of a target that died wait.
            longest: The same if the leader was lost with it.
        """
        self._lapse = lapse
        self._longest = longest
        self._of: dict[str, list[_UnownedRange]] = {}

    def take(self, known: assignments.Assignment, now: float) -> None:
        """Notes which keys have no owner; others that had none before have."""
        former = self._of.get(known.service, [])
        found: list[_UnownedRange] = []
        index = 0
        for span in known.spans():
            if span.owner:
                continue
            # Both are in order of keys.
            while index < len(former) and former[index].last < span.first:
                index += 1
            since = _since(span, itertools.islice(former, index, None), now)
            found.append(_UnownedRange(span.first, span.last, since))
        self._of[known.service] = found

    def seconds(self, service: str, key: int, now: float) -> float:
        """Returns the time until a key can be expected to have an owner.

        Args:
            service: Its service.
            key: A key that nobody owns.
            now: The time.
        """
        for vacancy in self._of.get(service, ()):
            if vacancy.first <= key <= vacancy.last:
                return self.expected(now - vacancy.since)
        return 0.0

    def expected(self, gone: float) -> float:
        """Returns the time left after keys had no owner for some time.

        Args:
            gone: Seconds for which they have had none.
        """
        if gone < _HANDOVER_SECONDS:
            return 0.0
        if gone < self._lapse:
            return self._lapse - gone
        return max(self._longest - gone, _HANDOVER_SECONDS)


def _since(
    span: assignments.Span, former: Iterable[_UnownedRange], now: float
) -> float:
    """Returns since when a range has had no owner, at the longest.

    Args:
        span: The range.
        former: Earlier vacancies that do not end before it, in order of keys.
        now: The time.
    """
    overlapping = itertools.takewhile(lambda v: v.first <= span.last, former)
    return min((vacancy.since for vacancy in overlapping), default=now)
