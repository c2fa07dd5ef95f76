"""Longest times that requests lately took at their targets, by route.

A daemon that stops passes a request on only if it can be expected to end before
the daemon does. A mean is of no use there: each request above it would be cut
off while its target works on it.
"""

import collections
import math

_PERIOD_SECONDS = 30.0
"""Length of a period. The longest times of the current and of the preceding one
are kept."""
_MARGIN = 1.2
"""Ratio of the expected time to the longest one observed."""


class _Periods:
    """The longest times of two periods of one route."""

    __slots__ = ("began_at", "current", "preceding")

    def __init__(self) -> None:
        self.began_at = -math.inf
        self.current = 0.0
        self.preceding = 0.0

    def advance(self, now: float) -> None:
        """Begins a new period if the current one is over."""
        elapsed = now - self.began_at
        if elapsed < _PERIOD_SECONDS:
            return
        self.preceding = self.current if elapsed < 2 * _PERIOD_SECONDS else 0.0
        self.current = 0.0
        self.began_at = now


class CompletionTimes:
    """Times from the sending of requests to the end of their responses."""

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        self._routes: collections.defaultdict[str, _Periods] = (
            collections.defaultdict(_Periods)
        )

    def record(self, route: str, seconds: float, now: float) -> None:
        """Records a request that has ended or timed out.

        Args:
            route: Name of its route.
            seconds: Time since it was sent.
            now: Current time.
        """
        periods = self._routes[route]
        periods.advance(now)
        periods.current = max(periods.current, seconds)

    def expected(self, route: str, most: float, now: float) -> float:
        """Returns the seconds in which a request can be expected to end.

        Args:
            route: Name of its route.
            most: Time that requests of the route may take, in seconds. It is
                the answer if none was observed lately.
            now: Current time.
        """
        periods = self._routes.get(route)
        if periods is None:
            return most
        periods.advance(now)
        longest = max(periods.current, periods.preceding)
        return min(longest * _MARGIN, most) if longest else most
