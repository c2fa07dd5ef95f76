"""Freshness of a view of the store: the time up to which it is complete."""

import math


class Freshness:
    """The latest time at which a view was complete for certain.

    A view is complete if it holds all that the store held at that time. Each
    source gives a lower bound: the time at which a request was sent, less the
    age that the response itself states. Delays of a response in transit, in
    queues, by retransmissions or before it is processed come after that time
    and cannot make a view look fresher than it is.
    """

    __slots__ = ("_at",)

    def __init__(self) -> None:
        """Creates the freshness of a view that was never complete."""
        self._at = -math.inf

    @property
    def at(self) -> float | None:
        """The time, None if the view was never complete."""
        return None if self._at == -math.inf else self._at

    def record(self, at: float) -> None:
        """Records that the view was complete at a time."""
        self._at = max(self._at, at)

    def age(self, now: float) -> float | None:
        """Returns the seconds since then, None if it was never complete."""
        return None if self._at == -math.inf else max(now - self._at, 0.0)


class ClockOffset:
    """A reading of a peer's clock, to convert times from and to that clock.

    The peer read its clock after the request was sent and before its response
    arrived. A converted time is therefore never later than the true one,
    however long the request or the response was in transit.
    """

    __slots__ = ("_received_at", "_sent_at", "_peer_clock")

    def __init__(
        self, peer_clock: float, sent_at: float, received_at: float
    ) -> None:
        """Creates an offset from one exchange with a peer.

        Args:
            peer_clock: The peer's clock when it made its response.
            sent_at: The local clock when the request was sent.
            received_at: The local clock when the response arrived.
        """
        self._peer_clock = peer_clock
        self._sent_at = sent_at
        self._received_at = received_at

    def to_peer(self, at: float) -> float:
        """Converts a local time to the peer's clock, never to a later time."""
        return self._peer_clock + at - self._received_at

    def from_peer(self, at: float) -> float:
        """Converts a peer's time to the local clock, never to a later time."""
        return self._sent_at + at - self._peer_clock
