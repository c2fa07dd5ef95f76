"""A caller's request while it is being forwarded."""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
import math

import msgspec

from mimosastile_core.gateway import held_bytes
from mimosastile_core.gateway import routes
from mimosastile_gateway import admission_service
from mimosastile_gateway import http_server
from mimosastile_gateway import wait_queues

_WORK_ESTIMATE_SHARE = 0.35
"""Estimated work of a route's requests as a share of its target latency."""


class Basis(msgspec.Struct, frozen=True):
    """State by which a VM chose a request's target.

    Attributes:
        status: The target's status.
        status_age: Longest time in seconds that the target may have had it.
        registrations_age: Seconds since the view of the registrations was
            certainly complete, None if it never was.
        configuration: Version of the configuration that the VM had.
        configuration_age: Seconds since it was certainly the newest, None if
            that is unknown.
    """

    status: str = msgspec.field(name="standing")
    status_age: float = msgspec.field(name="standing_age")
    registrations_age: float | None
    configuration: int
    configuration_age: float | None


class Call:
    """A request and the state of its attempts.

    Attributes:
        answered: Whether the last target responded.
        attempt: Identifier of the caller's attempt.
        basis: The state by which the last target was chosen, None before the
            first.
        connect_failures: How many targets accepted no connection.
        received_at: When the request was read.
        deadline: When the caller stops waiting.
        fingerprint: The same whenever the request is repeated.
        work_estimate: Estimated seconds of work, used until the route has a
            measured mean.
        header_lines: The header lines that go to a target.
        incoming: The request as received.
        key: The request's key, None if the service is not keyed.
        max_sends: How many targets may get the request.
        maybe_ran: Whether a target may have run the request.
        origin: VM that forwarded the request to this one; empty for a request
            that came from its caller.
        permit: Its permit at a contended target.
        reject_count: How many targets have rejected the key.
        retry_due: Whether a target may have received the request since a retry
            was last taken from the budget, so that the next send needs one.
        route: The request's route.
        expected_runs: Expected time at the last target in run times, with the
            requests waiting there; 0 if the target did not report it.
        send_count: How often the request was sent.
        sent_at: When it was last sent to a target.
        stream_deadline: When a response that is still streamed is cut off.
        service: The service that it goes to.
        ticket: Its ticket in this VM's wait queues.
        timer: Times out the exchange with a target, None outside of one.
        tried_peers: Addresses of the peers that it was forwarded to.
        tried_targets: Identifiers of the targets that it was sent to.
        prior_retry_seconds: How long the caller had been retrying before.
        unreachable_count: How often the target was unreachable.
        version: Version of the configuration that was applied.
        read_version: Version that the VM had when it read the request.
        read_version_age: Seconds for which that may not have been the newest
            by then, None if unknown.
        found: Requests of all VMs at the last target when it was sent, itself
            included, as counted by this VM or its gate; 0 if unknown.
        gated: Whether the last target's gate admitted it.
    """

    __slots__ = (
        "answered",
        "attempt",
        "basis",
        "connect_failures",
        "received_at",
        "deadline",
        "fingerprint",
        "work_estimate",
        "header_lines",
        "incoming",
        "key",
        "max_sends",
        "maybe_ran",
        "origin",
        "permit",
        "reject_count",
        "retry_due",
        "route",
        "expected_runs",
        "send_count",
        "sent_at",
        "stream_deadline",
        "service",
        "ticket",
        "timer",
        "tried_peers",
        "tried_targets",
        "prior_retry_seconds",
        "read_version",
        "read_version_age",
        "unreachable_count",
        "version",
        "found",
        "gated",
    )

    def __init__(
        self,
        incoming: http_server.Request,
        route: routes.Route,
        service: routes.Service,
        attempt: bytes,
        deadline: float = math.inf,
    ) -> None:
        self.incoming = incoming
        self.attempt = attempt
        self.received_at = incoming.received_at
        self.deadline = deadline
        self.stream_deadline = deadline
        self.bind(route, service)
        self.key: int | None = None
        self.fingerprint = ""
        self.header_lines: list[bytes] = []
        self.origin = ""
        self.send_count = 0
        self.sent_at = 0.0
        self.connect_failures = 0
        self.expected_runs = 0.0
        self.reject_count = 0
        self.unreachable_count = 0
        self.read_version = -1
        self.read_version_age: float | None = None
        self.maybe_ran = False
        self.retry_due = False
        self.found = 0
        self.gated = False
        self.answered = False
        self.tried_peers: set[str] = set()
        self.tried_targets: set[str] = set()
        self.prior_retry_seconds = 0.0
        self.permit: admission_service.Permit | None = None
        self.timer: asyncio.Timeout | None = None
        self.ticket: wait_queues.Ticket
        self.basis: Basis | None = None

    def bind(
        self, route: routes.Route, service: routes.Service, version: int = -1
    ) -> None:
        """Sets what the request is handled by.

        Args:
            route: Its route.
            service: The service that it goes to.
            version: Version of the configuration with both.
        """
        self.route = route
        self.service = service
        self.version = version
        self.work_estimate = route.target_latency * _WORK_ESTIMATE_SHARE
        self.max_sends = route.attempts

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind.repeatable

    @property
    def separate_body(self) -> Sequence[bytes | bytearray]:
        """A large body, which is sent behind the encoded head."""
        incoming = self.incoming
        if incoming.body_bytes < held_bytes.LARGE_BYTES:
            return ()
        return incoming.body_blocks

    def encode(self, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
        """Encodes the request to send it on, without a large body.

        Args:
            headers: Headers in addition to the caller's.
        """
        incoming = self.incoming
        lines = [
            b"%b %b HTTP/1.1" % (incoming.method.encode(), incoming.target),
            *self.header_lines,
            *(b"%b: %b" % header for header in headers),
        ]
        size = incoming.body_bytes
        if size or incoming.method in ("POST", "PUT", "PATCH"):
            lines.append(b"Content-Length: %d" % size)
        body = incoming.body if size < held_bytes.LARGE_BYTES else b""
        return b"\r\n".join(lines) + b"\r\n\r\n" + body
