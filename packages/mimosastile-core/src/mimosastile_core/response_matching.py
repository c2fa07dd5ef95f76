"""Decides whether a response on a connection belongs to the request sent last.

HTTP/1.1 matches responses to requests by their order on the connection alone. A
copy of an earlier response, or one to a request of another connection, would be
taken for the next one. Therefore each send bears an identifier of its own,
which its response repeats.
"""

from collections.abc import Sequence
import enum


class Match(enum.Enum):
    """To which request a response belongs."""

    OWN = "own"
    """The one that was sent last."""
    FOREIGN = "foreign"
    """Another one. The response to the one sent last may still follow."""
    UNKNOWN = "unknown"
    """Perhaps the one that was sent last."""


class ConnectionHistory:
    """The requests sent on one connection, one at a time, and the responses.

    A server that repeats no identifiers is served as well: on a connection that
    carries one request only, there is no other response that could be taken for
    its own.
    """

    __slots__ = ("_expected", "_identified", "_sends")

    def __init__(self) -> None:
        """Creates the history of a new connection."""
        self._expected = ""
        self._sends = 0
        self._identified = True

    @property
    def reusable(self) -> bool:
        """Whether responses to further requests could be told apart."""
        return self._identified

    def begin(self, identifier: str) -> None:
        """Records that a request is sent.

        Args:
            identifier: Identifier of this send, empty if its response is
                matched by its order on the connection.
        """
        self._expected = identifier
        self._sends += 1

    def match(self, identifiers: Sequence[str]) -> Match:
        """Decides to which request a response belongs.

        Args:
            identifiers: All identifiers that the response bears.
        """
        if not self._expected:
            return Match.OWN
        if identifiers:
            own = set(identifiers) == {self._expected}
            return Match.OWN if own else Match.FOREIGN
        self._identified = False
        return Match.OWN if self._sends == 1 else Match.UNKNOWN


class ResponseCounts:
    """Counts of responses that were not plainly matched to their request.

    Attributes:
        unmatched: Responses that belonged to no pending request.
        unidentified: Responses without the identifier of their send.
    """

    __slots__ = ("unidentified", "unmatched")

    def __init__(self) -> None:
        """Starts all counts at zero."""
        self.unmatched = 0
        self.unidentified = 0
