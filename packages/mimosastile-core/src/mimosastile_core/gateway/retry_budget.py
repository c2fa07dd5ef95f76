"""How often requests may be sent once more, over all VMs together."""

import collections


class RetryBudget:
    """One VM's part of the bound on repeated sends to a service.

    The bound holds for all VMs together: a ratio of the requests in a window
    plus a fixed amount. Each VM keeps the ratio of its own requests and an
    equal part of the fixed amount, so the bound holds without any message,
    also for VMs that are cut off.
    """

    __slots__ = ("_buckets", "_fixed", "_ratio", "_step", "_window")

    _BUCKETS = 10
    """Steps of the sliding window; the newest is partly in the future, which
    errs on the safe side by a tenth."""

    def __init__(self, ratio: float, window: float, fixed: float) -> None:
        """Makes a full one.

        Args:
            ratio: Repeats allowed per request.
            window: Seconds over which both are counted.
            fixed: Repeats allowed besides, this VM's part.
        """
        self._ratio = ratio
        self._window = window
        self._fixed = fixed
        self._step = window / self._BUCKETS
        self._buckets: collections.deque[list[float]] = collections.deque()

    def set_fixed(self, fixed: float) -> None:
        """Changes this VM's part of the fixed amount."""
        self._fixed = fixed

    def request(self, now: float) -> None:
        """Counts a caller's request."""
        self._bucket(now)[1] += 1

    def left(self, now: float) -> float:
        """Returns how many repeats are allowed now."""
        self._bucket(now)
        requests = sum(bucket[1] for bucket in self._buckets)
        repeats = sum(bucket[2] for bucket in self._buckets)
        return self._ratio * requests + self._fixed - repeats

    def take(self, now: float) -> bool:
        """Takes one repeat if it is allowed."""
        if self.left(now) < 1:
            return False
        self._bucket(now)[2] += 1
        return True

    def _bucket(self, now: float) -> list[float]:
        start = now // self._step
        buckets = self._buckets
        while buckets and buckets[0][0] <= start - self._BUCKETS:
            buckets.popleft()
        if not buckets or buckets[-1][0] != start:
            buckets.append([start, 0.0, 0.0])
        return buckets[-1]
