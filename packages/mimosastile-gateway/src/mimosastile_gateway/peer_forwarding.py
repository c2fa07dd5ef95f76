"""Forwards requests through a peer while this VM has no path to their target.

A forwarded request goes to the address on which a peer listens for other VMs.
The peer handles it like a caller's request, with its own admission, limits and
retries, but never forwards it again. Its response says what came of it, so that
this VM can tell a target's response from the peer's own refusal.
"""

import asyncio
from collections.abc import Iterable

import result

from mimosastile_core import errors
from mimosastile_core import promises
from mimosastile_core.gateway import forwarding_peers
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events
from mimosastile_gateway import http_client
from mimosastile_gateway import http_server
from mimosastile_gateway import membership
from mimosastile_gateway import pending
from mimosastile_gateway import ports
from mimosastile_gateway import reach_monitoring
from mimosastile_gateway import settings

ORIGIN_HEADER = b"mimosastile-origin"
"""Request header with the VM that forwarded the request."""
SENDS_LEFT_HEADER = b"mimosastile-sends-left"
"""Request header with the number of targets that may still get the request."""
OUTCOME_HEADER = b"mimosastile-outcome"
"""Response header with `PASSED`, or with the kind of the peer's refusal."""
SENDS_HEADER = b"mimosastile-sends"
"""Response header with the number of sends to targets."""
HEADERS = frozenset(
    {ORIGIN_HEADER, SENDS_LEFT_HEADER, OUTCOME_HEADER, SENDS_HEADER}
)
"""Headers of forwarded requests, which neither callers nor targets get."""
PASSED = b"passed"
_REROUTED_OUTCOMES = frozenset(
    kind.value.encode()
    for kind in (
        errors.ErrorKind.UNREACHABLE,
        errors.ErrorKind.SHUTTING_DOWN,
        errors.ErrorKind.NOT_CONFIGURED,
        errors.ErrorKind.CONFIGURATION_OLD,
        errors.ErrorKind.NO_ROUTE,
    )
)
"""Refusals that concern the peer, so that another one may serve the request."""
_PROMISING_OUTCOMES = frozenset(kind.value.encode() for kind in promises.PROOFS)
"""Refusals that promise that no target has run the request."""
_UNREAD_STATUSES = frozenset({400, 404, 408, 413, 431, 503})
"""Statuses with which a peer's server refuses a request that it has not handed
on, so without an outcome."""
_MAX_PEERS = 3
"""Peers that are tried for one request."""
_MAX_UNREACHABLE_TARGETS = 2
"""Targets without a key that are tried before a peer."""
_RETRY_TARGET_SECONDS = 1.0
"""Time after a failed connection to the owner of a key in which its requests
are forwarded at once; the next one then tries the owner again."""
_RESPONSE_MARGIN_SECONDS = 0.03
"""Part of a request's deadline that is kept for the peer's response: a round
trip to another region."""


class PeerForwarder:
    """Chooses peers for requests and exchanges the requests with them."""

    __slots__ = (
        "_clock",
        "_cluster",
        "_events",
        "_header_names",
        "_membership",
        "_monitor",
        "_peers",
        "_pool",
        "_settings",
    )

    def __init__(
        self,
        gateway_settings: settings.GatewaySettings,
        names: ports.HeaderNames,
        pool: http_client.Pool,
        cluster: cluster_state.ClusterState,
        own_membership: membership.Membership,
        monitor: reach_monitoring.ReachMonitor,
        timer: clock.Clock,
        event_log: events.EventLog,
    ) -> None:
        """Creates a forwarder that knows no peers yet.

        Args:
            gateway_settings: Settings of this VM.
            names: Names of the HTTP headers.
            pool: Connection pool.
            cluster: This VM's view of the cluster.
            own_membership: Knows the peers that reach targets.
            monitor: Knows the targets that this VM does not reach.
            timer: The clock.
            event_log: The event log.
        """
        vm = gateway_settings.vm
        self._settings = gateway_settings
        self._header_names = names
        self._pool = pool
        self._cluster = cluster
        self._membership = own_membership
        self._monitor = monitor
        self._clock = timer
        self._events = event_log
        self._peers = forwarding_peers.ForwardingPeers(vm.zone, vm.regions)

    def lacks_path(self, call: pending.Call) -> bool:
        """Whether this VM reaches no target that may run a request."""
        service = call.service.name
        if self._monitor.is_isolated(service):
            return True
        if not call.origin and self._monitor.is_suspected(service):
            # A detour costs a hop; an attempt that hangs costs 0.3 s.
            return True
        if call.key is None:
            return call.connect_failures >= _MAX_UNREACHABLE_TARGETS
        owner = self._cluster.owner(service, call.key)
        if owner is None:
            return False
        age = self._monitor.seconds_since_failure(service, owner)
        return age < _RETRY_TARGET_SECONDS

    def choose(self, call: pending.Call) -> forwarding_peers.Peer | None:
        """Returns the peer to forward a request to.

        Returns:
            The peer; None if the request should not be forwarded, or no peer
            is known that could serve it.
        """
        if (
            call.origin
            or len(call.tried_peers) >= _MAX_PEERS
            or not self.lacks_path(call)
        ):
            return None
        self._membership.request_peers()
        return self._peers.choose(
            self._membership.forwarding_peers(),
            self._scope(call),
            call.route.regions,
            call.tried_peers,
            self._clock.now(),
        )

    async def send(
        self, call: pending.Call, peer: forwarding_peers.Peer
    ) -> result.Result[http_server.Response, errors.Failure]:
        """Forwards a request to a peer and returns its response.

        Returns:
            The response for the caller, which may be the peer's own refusal; or
            the failure if the peer did not respond or has no path either.
        """
        call.tried_peers.add(peer.address)
        self._peers.begin(peer.address)
        earlier_sends = call.send_count
        sent: result.Result[http_server.Response, errors.Failure]
        try:
            async with asyncio.timeout_at(
                call.deadline - self._settings.requests.margin
            ) as call.timer:
                sent = await self._exchange(call, peer)
        except TimeoutError:
            # The target may be slow rather than the peer, so the peer is not
            # excluded; the requests that it has keep others away from it.
            kind = (
                errors.ErrorKind.UNREACHABLE
                if call.send_count == earlier_sends
                else errors.ErrorKind.DEADLINE
            )
            sent = errors.failed(
                kind, f"Peer {peer.address} did not respond in time."
            )
        finally:
            call.timer = None
            self._peers.end(peer.address)
        if isinstance(sent, result.Err):
            self._events.write(
                "requests",
                "forward_failed",
                attempt=call.attempt.decode("latin-1"),
                route=call.route.name,
                peer=peer.address,
                kind=sent.err_value.kind.value,
                why=sent.err_value.detail,
            )
        return sent

    async def _exchange(
        self, call: pending.Call, peer: forwarding_peers.Peer
    ) -> result.Result[http_server.Response, errors.Failure]:
        request_settings = self._settings.requests
        idle = (
            request_settings.idle
            if call.repeatable
            else request_settings.idle_careful
        )
        try:
            connection = await self._pool.connect(
                peer.address, idle, request_settings.connect
            )
        except http_client.NotSentError as error:
            self._peers.record_silent(peer.address, self._clock.now())
            return errors.failed(errors.ErrorKind.UNREACHABLE, str(error))
        usable = False
        earlier_sends = call.send_count
        try:
            reply = connection.start(
                self._encode_request(call),
                (self._header_names.attempt, call.attempt),
                no_body=call.incoming.method == "HEAD",
            )
            if call.separate_body:
                connection.send_body(call.separate_body)
            # Until the peer responds, all sends that it may make count.
            call.send_count = max(call.max_sends, earlier_sends + 1)
            due_before = call.retry_due
            call.retry_due = True
            if not call.repeatable:
                call.incoming.cancellable = False
            await connection.wait_complete(reply, request_settings.buffer_bytes)
            usable = reply.complete
            call.send_count = earlier_sends + _number(reply, SENDS_HEADER)
            # The peer takes all its sends but the first from its own budget.
            call.retry_due = due_before or call.send_count > earlier_sends
            if call.repeatable and call.send_count > earlier_sends:
                call.maybe_ran = True
            outcome = self._interpret(call, peer, connection, reply)
            usable = usable or outcome.is_ok()
            return outcome
        except http_client.NotSentError as error:
            return errors.failed(errors.ErrorKind.UNREACHABLE, str(error))
        except http_client.ResponseLostError as error:
            self._peers.record_silent(peer.address, self._clock.now())
            return errors.failed(errors.ErrorKind.ANSWER_LOST, str(error))
        finally:
            call.incoming.cancellable = True
            if not usable:
                connection.abort()
            elif reply.complete:
                reply.discard()
                self._pool.release(connection, peer.address)

    def _encode_request(self, call: pending.Call) -> bytes:
        margin = self._settings.requests.margin + _RESPONSE_MARGIN_SECONDS
        left = max(call.deadline - margin - self._clock.now(), 0.001)
        sends_left = max(call.max_sends - call.send_count, 1)
        return call.encode(
            (
                (ORIGIN_HEADER, self._settings.vm.id.encode()),
                (SENDS_LEFT_HEADER, b"%d" % sends_left),
                (self._header_names.deadline, b"%d" % int(left * 1000)),
            )
        )

    def _interpret(
        self,
        call: pending.Call,
        peer: forwarding_peers.Peer,
        connection: http_client.Connection,
        reply: http_client.IncomingResponse,
    ) -> result.Result[http_server.Response, errors.Failure]:
        """Maps a peer's response to a caller's response or a failure."""
        outcome = reply.header(OUTCOME_HEADER)
        if outcome is None and reply.status not in _UNREAD_STATUSES:
            return errors.failed(
                errors.ErrorKind.ANSWER_LOST,
                f"Peer {peer.address} responded with {reply.status} without an"
                " outcome.",
            )
        if outcome is None or outcome in _REROUTED_OUTCOMES:
            now = self._clock.now()
            self._peers.record_unreachable(peer.address, self._scope(call), now)
            cause = (outcome or b"%d" % reply.status).decode("latin-1")
            return errors.failed(
                errors.ErrorKind.UNREACHABLE,
                f"Peer {peer.address} responded with {cause}.",
            )
        if not self._is_proven(reply, outcome):
            return errors.failed(
                errors.ErrorKind.TARGET_FAILED,
                f"{reply.status} through {peer.address} comes without a proof"
                " that no target has run the request.",
            )
        sealed = reply.header(self._header_names.seal) is not None
        if 200 <= reply.status < 300 and not sealed:
            return errors.failed(
                errors.ErrorKind.ANSWER_BROKEN,
                f"Response through {peer.address} is unsigned.",
            )
        headers = tuple(
            (name, value)
            for name, value in reply.headers
            if name not in http_client.HOP_BY_HOP_HEADERS
            and name not in HEADERS
        )
        self._events.write(
            "requests",
            "forwarded",
            attempt=call.attempt.decode("latin-1"),
            route=call.route.name,
            key=call.key,
            peer=peer.address,
            outcome=outcome.decode("latin-1"),
            status=reply.status,
            took_ms=round(1000 * (self._clock.now() - call.received_at)),
        )
        if reply.complete:
            return result.Ok(
                http_server.Response(reply.status, headers, reply.take())
            )
        return result.Ok(
            http_server.Response(
                reply.status,
                headers,
                body_stream=self._pool.stream(connection, reply, peer.address),
                stream_deadline=call.stream_deadline,
            )
        )

    def _is_proven(
        self, reply: http_client.IncomingResponse, outcome: bytes
    ) -> bool:
        """Whether a response keeps the promise that its status makes."""
        if not promises.needs_proof(reply.status):
            return True
        if outcome == PASSED:
            return reply.header(self._header_names.not_run) is not None
        return outcome in _PROMISING_OUTCOMES

    def _scope(self, call: pending.Call) -> str:
        """Returns the service or the single target that is not reached."""
        service = call.service.name
        if call.key is None or self._monitor.is_isolated(service):
            return service
        return self._cluster.owner(service, call.key) or service


def origin(incoming: http_server.Request) -> str:
    """Returns the VM that forwarded a request; empty if none did."""
    return (incoming.header(ORIGIN_HEADER) or b"").decode("latin-1")


def sends_left(incoming: http_server.Request) -> int:
    """Returns how many targets may get a forwarded request."""
    value = incoming.header(SENDS_LEFT_HEADER) or b""
    return max(int(value), 1) if value.isdigit() else 1


def outcome_headers(
    outcome: bytes, sends: int
) -> Iterable[tuple[bytes, bytes]]:
    """Returns the headers of the response to a forwarded request.

    Args:
        outcome: `PASSED`, or the kind of the refusal.
        sends: Number of sends to targets.
    """
    return ((OUTCOME_HEADER, outcome), (SENDS_HEADER, b"%d" % sends))


def _number(reply: http_client.IncomingResponse, name: bytes) -> int:
    value = reply.header(name) or b""
    return int(value) if value.isdigit() else 0
