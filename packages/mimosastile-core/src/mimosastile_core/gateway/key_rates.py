"""Which keys are asked for how often, from samples of many VMs."""

from collections.abc import Iterable
import math


class KeyRates:
    """Decaying counts of requests by key.

    Exponential decay by a time constant: a count is close to the number of
    requests in the last `seconds`, with the newest weighing most.
    """

    __slots__ = ("_at", "_counts", "_scale", "_seconds")

    _RESCALE = 1e6
    """Growth of the weight of new requests after which all are scaled back,
    far from the limits of floating point."""
    _NEGLIGIBLE = 1e-3
    """Counts below this are dropped: a thousandth of a request."""

    def __init__(self, seconds: float, now: float) -> None:
        """Makes an empty one.

        Args:
            seconds: Time constant of the decay.
            now: The time.
        """
        self._seconds = seconds
        self._counts: dict[int, float] = {}
        # New requests are counted with growing weight instead of shrinking
        # all counts each time.
        self._scale = 1.0
        self._at = now

    def add(self, keys: Iterable[int], now: float, weight: float = 1.0) -> None:
        """Counts requests.

        Args:
            keys: Key of each.
            now: The time.
            weight: Requests that each one stands for.
        """
        self._advance(now)
        counts = self._counts
        grown = self._scale * weight
        for key in keys:
            counts[key] = counts.get(key, 0.0) + grown

    def counts(self, now: float) -> dict[int, float]:
        """Returns the decayed count of each key that has one."""
        self._advance(now)
        scale = self._scale
        return {key: count / scale for key, count in self._counts.items()}

    def _advance(self, now: float) -> None:
        passed = max(now - self._at, 0.0)
        if not passed:
            return
        self._at = now
        self._scale *= math.exp(min(passed / self._seconds, 50.0))
        if self._scale > self._RESCALE:
            least = self._NEGLIGIBLE * self._scale
            self._counts = {
                key: count / self._scale
                for key, count in self._counts.items()
                if count > least
            }
            self._scale = 1.0
