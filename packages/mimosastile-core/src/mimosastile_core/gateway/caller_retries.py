"""How long a caller has been trying already, as its deadline shows.

Callers send how long they will wait. One that was refused or got no answer
comes again with what is left of that, so its deadline is well below what others
of its route send. Its answer can be late though this attempt has just begun.
"""

_DECAY = 0.002
"""Part by which each request lowers the longest deadline that is remembered,
so that it follows callers that change: some hundred requests."""
_SPREAD = 0.25
"""Share by which deadlines of first attempts may differ: callers do not all
wait equally long."""


class RetryAge:
    """Deadlines of one route's callers."""

    __slots__ = ("_longest",)

    def __init__(self) -> None:
        self._longest = 0.0

    def tried_for(self, deadline: float) -> float:
        """Takes a request's deadline.

        Args:
            deadline: Seconds that its caller will wait.

        Returns:
            Seconds for which its caller has been trying, at least; 0 for what
            seems to be a first attempt.
        """
        self._longest = max(self._longest * (1 - _DECAY), deadline)
        usual = self._longest * (1 - _SPREAD)
        return max(usual - deadline, 0.0)
