"""Estimates from its deadline how long a caller has been retrying.

Callers send the time for which they will wait. A caller that was refused or got
no response retries with the rest of that time, so its deadline is well below
those of other requests on its route. Its response can be late although this
attempt has just begun.
"""

_DECAY_SHARE = 0.002
"""Share by which each request lowers the recorded longest deadline. The record
follows a change of callers within some hundred requests."""
_SPREAD_SHARE = 0.25
"""Share by which deadlines of first attempts may differ: not all callers wait
equally long."""


class RetryAge:
    """The deadlines of one route's callers."""

    __slots__ = ("_longest_deadline",)

    def __init__(self) -> None:
        self._longest_deadline = 0.0

    def estimate(self, deadline: float) -> float:
        """Records a request's deadline and estimates the retry time.

        Args:
            deadline: Seconds that its caller will wait.

        Returns:
            Least number of seconds for which the caller has been retrying; 0
            for an apparent first attempt.
        """
        self._longest_deadline = max(
            self._longest_deadline * (1 - _DECAY_SHARE), deadline
        )
        usual = self._longest_deadline * (1 - _SPREAD_SHARE)
        return max(usual - deadline, 0.0)
