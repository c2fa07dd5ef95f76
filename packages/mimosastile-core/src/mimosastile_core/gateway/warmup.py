"""Limits the request rate of cold targets.

A target that has just started, or has lost its caches, crashes at a rate that
is harmless to a warm one. The bound applies to the sum over all VMs, including
those that are cut off. Therefore one VM at a time is named as the only sender
of a cold target, and keeps to the rate locally.
"""

import collections
import math

WINDOW_SECONDS = 1.0
"""Window over which requests to a cold target are counted."""
_MAX_TARGETS = 128
"""Above this number of targets, those without recent requests are dropped."""


class SendRate:
    """The requests that this VM has recently sent to cold targets."""

    __slots__ = ("_sent",)

    def __init__(self) -> None:
        """Makes a record without requests."""
        self._sent: dict[str, collections.deque[float]] = {}

    def wait(self, target: str, rate: float, now: float) -> float:
        """Returns the seconds until a cold target may get another request.

        Args:
            target: Identifier of the target.
            rate: Requests a second that the target tolerates.
            now: The time.

        Returns:
            0 if it may get one now; infinity if it may never get any.
        """
        capacity = math.floor(rate)
        if capacity < 1:
            return math.inf
        sent = self._sent.get(target, ())
        if len(sent) < capacity:
            return 0.0
        return max(sent[-capacity] + WINDOW_SECONDS - now, 0.0)

    def record(self, target: str, now: float) -> None:
        """Records a request that is sent to a cold target."""
        if len(self._sent) >= _MAX_TARGETS:
            self._drop_idle(now)
        sent = self._sent.setdefault(target, collections.deque())
        sent.append(now)
        while now - sent[0] >= WINDOW_SECONDS:
            sent.popleft()

    def _drop_idle(self, now: float) -> None:
        self._sent = {
            target: sent
            for target, sent in self._sent.items()
            if now - sent[-1] < WINDOW_SECONDS
        }
