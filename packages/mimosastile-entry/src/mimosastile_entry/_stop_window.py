"""Decides which requests a stopping daemon still passes on."""

import math

from mimosastile_core.gateway import completion_times
from mimosastile_entry import _state
from mimosastile_entry import ports

_RESPONSE_MARGIN_SECONDS = 0.05
"""Time kept for sending a response before the daemon ends."""


class StopWindow:
    """The time that is left for requests, and how much of it they need."""

    __slots__ = ("_clock", "_completion_times", "_ends_at", "_state")

    def __init__(
        self, state: _state.StateService, clock: ports.ClockPort
    ) -> None:
        """Creates it for a daemon that does not stop.

        Args:
            state: Holds the configuration with the services' timeouts.
            clock: Source of the current time.
        """
        self._state = state
        self._clock = clock
        self._completion_times = completion_times.CompletionTimes()
        self._ends_at = math.inf

    def begin(self, seconds: float) -> None:
        """Begins the stop.

        Args:
            seconds: Longest time until requests in flight are cancelled.
        """
        ends_at = self._clock.now() + seconds - _RESPONSE_MARGIN_SECONDS
        self._ends_at = min(self._ends_at, ends_at)

    def record(self, request: ports.Request, began_at: float) -> None:
        """Records that the response to a request has ended.

        Args:
            request: The request.
            began_at: Time at which it was passed on.
        """
        name = _service_name(request)
        if name in self._state.replica.config.document.services:
            now = self._clock.now()
            self._completion_times.record(name, now - began_at, now)

    def fits(self, request: ports.Request) -> bool:
        """Whether a request can be expected to end before the daemon."""
        if 0 < request.deadline < self._ends_at or self._ends_at == math.inf:
            return True
        name = _service_name(request)
        service = self._state.replica.config.document.services.get(name)
        if service is None:
            # It will be refused.
            return True
        now = self._clock.now()
        expected = self._completion_times.expected(name, service.timeout, now)
        return now + expected <= self._ends_at


def _service_name(request: ports.Request) -> str:
    return request.path.lstrip("/").partition("/")[0]
