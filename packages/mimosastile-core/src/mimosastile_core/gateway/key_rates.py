"""Request rates of keys, estimated from the samples of many VMs."""

from collections.abc import Iterable
import math


class KeyRates:
    """Exponentially decaying request counts by key.

    A count is close to the number of requests in the last `seconds`, with the
    newest weighing most.
    """

    __slots__ = ("_at", "_counts", "_scale", "_seconds", "_started_at")

    _RESCALE = 1e6
    """Weight of new requests above which all counts are scaled back, far below
    the limits of floating point."""
    _NEGLIGIBLE = 1e-3
    """Counts below this, in requests, are dropped."""

    def __init__(self, seconds: float, now: float) -> None:
        """Makes an empty counter.

        Args:
            seconds: Time constant of the decay.
            now: The time.
        """
        self._seconds = seconds
        self._counts: dict[int, float] = {}
        # The weight of new requests grows, so that existing counts need no
        # update at each request.
        self._scale = 1.0
        self._at = now
        self._started_at = now

    def window(self, now: float) -> float:
        """Returns the seconds whose requests the counts amount to.

        It is less than the time constant until that has passed several times.
        """
        age = max(now - self._started_at, 0.0)
        return self._seconds * -math.expm1(-age / self._seconds)

    def add(self, keys: Iterable[int], now: float, weight: float = 1.0) -> None:
        """Counts requests.

        Args:
            keys: Key of each request.
            now: The time.
            weight: Number of requests that each sampled one represents.
        """
        self._advance(now)
        counts = self._counts
        step = self._scale * weight
        for key in keys:
            counts[key] = counts.get(key, 0.0) + step

    def counts(self, now: float) -> dict[int, float]:
        """Returns the decayed count of each recorded key."""
        self._advance(now)
        scale = self._scale
        return {key: count / scale for key, count in self._counts.items()}

    def _advance(self, now: float) -> None:
        elapsed = max(now - self._at, 0.0)
        if not elapsed:
            return
        self._at = now
        self._scale *= math.exp(min(elapsed / self._seconds, 50.0))
        if self._scale > self._RESCALE:
            smallest = self._NEGLIGIBLE * self._scale
            self._counts = {
                key: count / self._scale
                for key, count in self._counts.items()
                if count > smallest
            }
            self._scale = 1.0
