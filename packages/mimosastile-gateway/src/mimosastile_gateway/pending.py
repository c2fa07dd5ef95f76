"""A caller's request on its way to a target."""

import asyncio

import msgspec

from mimosastile_core.gateway import routes
from mimosastile_gateway import admission_service
from mimosastile_gateway import http_server
from mimosastile_gateway import wait_queues

_GUESS_SHARE = 0.35
"""Share of a route's target latency that its work is guessed to take."""


class Basis(msgspec.Struct, frozen=True):
    """What this VM knew when it chose a request's target.

    Attributes:
        standing: How the target stood.
        standing_age: Seconds for which it may have stood so.
        registrations_age: Seconds since all registrations were surely known,
            None if they never were.
        configuration_age: The same for the configuration.
    """

    standing: str
    standing_age: float
    registrations_age: float | None
    configuration_age: float | None


class Call:
    """One request, and what has become of it so far.

    Attributes:
        answered: Whether its last target has answered it.
        attempt: Identifier of the caller's attempt.
        basis: What its last target was chosen by, None before the first.
        began: When it was read.
        deadline: When its caller stops waiting.
        fingerprint: What identifies it when it comes again.
        guess: Seconds of work, while nothing is known of its route.
        head: Its header lines for a target.
        incoming: As it came.
        key: Its key, None if its service has none.
        maybe_ran: Whether a target may have run it.
        place: Its place at a contended target.
        rejects: How many targets have rejected its key.
        route: Its route.
        runs: Runs that its last target said it would take, with those that
            waited there; 0 if it did not say.
        sends: How often it was sent.
        service: The service that it goes to.
        ticket: Its turn among those that wait in this VM.
        timer: Ends its exchange with a target, None outside of one.
        tried: Targets that it was sent to.
        tried_for: Seconds for which its caller had been trying before.
        unreachable: How often its target took no connection.
        version: Version of the configuration that decides on it.
        waited: Whether it may have waited at its last target.
    """

    __slots__ = (
        "answered",
        "attempt",
        "basis",
        "began",
        "deadline",
        "fingerprint",
        "guess",
        "head",
        "incoming",
        "key",
        "maybe_ran",
        "place",
        "rejects",
        "route",
        "runs",
        "sends",
        "service",
        "ticket",
        "timer",
        "tried",
        "tried_for",
        "unreachable",
        "version",
        "waited",
    )

    def __init__(
        self,
        incoming: http_server.Incoming,
        route: routes.Route,
        service: routes.Service,
        attempt: bytes,
        deadline: float,
    ) -> None:
        self.incoming = incoming
        self.route = route
        self.service = service
        self.attempt = attempt
        self.began = incoming.at
        self.deadline = deadline
        self.guess = route.target_latency * _GUESS_SHARE
        self.key: int | None = None
        self.fingerprint = ""
        self.head: list[bytes] = []
        self.sends = 0
        self.runs = 0.0
        self.rejects = 0
        self.unreachable = 0
        self.version = -1
        self.maybe_ran = False
        self.waited = False
        self.answered = False
        self.tried: set[str] = set()
        self.tried_for = 0.0
        self.place: admission_service.Permit | None = None
        self.timer: asyncio.Timeout | None = None
        self.ticket: wait_queues.Ticket
        self.basis: Basis | None = None

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.route.kind.repeatable
