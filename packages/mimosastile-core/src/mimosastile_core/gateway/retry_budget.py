"""Retry budget: a bound on repeated sends over all VMs together."""

import collections


class RetryCounts:
    """Counts of one service since the start.

    Attributes:
        requests: Callers' requests.
        taken: Retries that the budget allowed.
        denied: Retries that it did not allow.
    """

    __slots__ = ("denied", "requests", "taken")

    def __init__(self) -> None:
        self.requests = 0
        self.taken = 0
        self.denied = 0

    @property
    def retries(self) -> int:
        """Retries that were allowed or not."""
        return self.taken + self.denied


class RetryBudget:
    """One VM's credit for retries of a service, earned by its requests.

    The bound applies to all VMs together: in any window, a ratio of the
    requests plus a fixed amount. Each request earns a part of the ratio; the
    rest of the ratio, for the requests of the last window, limits the credit
    that is kept. What all VMs send in a window is at most what they kept at
    its start and what its requests earn. A process that ends takes its credit
    with it and one that starts has none, so this holds for any sequence of
    starts, stops and moves of callers without any message.
    """

    __slots__ = (
        "_bucket_seconds",
        "_buckets",
        "_credit",
        "_kept_per_request",
        "_earned_per_request",
        "_recent_requests",
    )

    _BUCKETS = 10
    """Buckets of the sliding window. The newest one is partly in the future, so
    that the window is up to a tenth shorter than configured."""
    _KEPT_SHARE = 0.25
    """Share of the ratio that limits the credit kept."""

    def __init__(self, ratio: float, window: float) -> None:
        """Makes a budget without credit.

        Args:
            ratio: Retries allowed per request.
            window: Seconds over which requests and retries are counted.
        """
        self._earned_per_request = ratio * (1 - self._KEPT_SHARE)
        self._kept_per_request = ratio * self._KEPT_SHARE
        self._bucket_seconds = window / self._BUCKETS
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._recent_requests = 0.0
        self._credit = 0.0

    def request(self, now: float, floor: float) -> None:
        """Earns credit for a caller's request.

        Args:
            now: Current time in seconds.
            floor: Retries that may be kept even without recent requests.
        """
        # Credit above the limit lapses before the limit rises.
        self.left(now, floor)
        index = now // self._bucket_seconds
        if not self._buckets or self._buckets[-1][0] != index:
            self._buckets.append([index, 0.0])
        self._buckets[-1][1] += 1
        self._recent_requests += 1
        self._credit += self._earned_per_request

    def left(self, now: float, floor: float) -> float:
        """Returns the number of retries that are allowed now."""
        oldest = now // self._bucket_seconds - self._BUCKETS
        while self._buckets and self._buckets[0][0] <= oldest:
            self._recent_requests -= self._buckets.popleft()[1]
        limit = floor + self._kept_per_request * self._recent_requests
        self._credit = min(self._credit, limit)
        return self._credit

    def take(self, now: float, floor: float) -> bool:
        """Takes one retry from the credit if there is one."""
        if self.left(now, floor) < 1:
            return False
        self._credit -= 1
        return True
