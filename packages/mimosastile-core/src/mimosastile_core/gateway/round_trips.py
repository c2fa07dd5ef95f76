"""Timeout of messages that may be lost, from measured round trips (RFC 6298).

A VM whose link is taken up by large responses gets answers late. With a fixed
timeout it would take every gate for failed at such a moment, and send requests
to full targets without a permit.
"""

_SMOOTHING = 0.125
"""Weight of one round trip in the mean."""
_VARIATION_SMOOTHING = 0.25
"""Weight of one deviation in the mean deviation."""
_DEVIATIONS = 4.0
"""Mean deviations above the mean at which a message counts as lost."""


class RoundTrips:
    """Mean and deviation of the round trips of one VM."""

    __slots__ = ("_backoff", "_deviation", "_least", "_mean", "_most")

    def __init__(self, least: float, most: float) -> None:
        """Creates an estimate without measured round trips.

        Args:
            least: Shortest timeout in seconds, and the first one.
            most: Longest timeout in seconds.
        """
        self._backoff = 1.0
        self._least = least
        self._most = most
        self._mean: float | None = None
        self._deviation = 0.0

    @property
    def timeout(self) -> float:
        """Seconds after which a message without a response counts as lost."""
        expected = self._least
        if self._mean is not None:
            variation = _DEVIATIONS * self._deviation
            expected = max(self._mean + variation, self._least)
        return min(self._backoff * expected, self._most)

    def record(self, seconds: float) -> None:
        """Records the round trip of a message that was sent once."""
        self._backoff = 1.0
        if self._mean is None:
            self._mean, self._deviation = seconds, seconds / 2
            return
        difference = abs(seconds - self._mean)
        self._deviation += (difference - self._deviation) * _VARIATION_SMOOTHING
        self._mean += (seconds - self._mean) * _SMOOTHING

    def record_timeout(self) -> None:
        """Records that a message had no response within the timeout.

        The timeout doubles until there is a response again, or round trips that
        are longer would never be measured.
        """
        self._backoff = min(2 * self._backoff, self._most / self._least)
