"""Binds requests to a route, a service and the rest of a configuration.

A request is bound to the configuration in force when it is read, and again when
that is replaced before the request is sent to a target. What a target may have
received already keeps the configuration by which it was sent.
"""

import math

import result

from mimosastile_core import errors
from mimosastile_core import quarantine
from mimosastile_core.gateway import caller_retries
from mimosastile_core.gateway import ranges
from mimosastile_core.gateway import routes
from mimosastile_gateway import cluster_state
from mimosastile_gateway import dispatching
from mimosastile_gateway import http_client
from mimosastile_gateway import http_server
from mimosastile_gateway import membership
from mimosastile_gateway import peer_forwarding
from mimosastile_gateway import pending
from mimosastile_gateway import ports
from mimosastile_gateway import retry_budgets
from mimosastile_gateway import settings

_STREAM_MARGIN_SECONDS = 0.25
"""Time after a caller's deadline in which it ends its response by itself."""


class Classifier:
    """Makes calls of requests and binds them to the configuration in force.

    Attributes:
        latest_deadline: Latest deadline of any request, on the loop's clock.
    """

    __slots__ = (
        "_cluster",
        "_dispatcher",
        "_header_names",
        "_membership",
        "_retry_ages",
        "_retry_budgets",
        "_settings",
        "latest_deadline",
    )

    def __init__(
        self,
        gateway_settings: settings.GatewaySettings,
        names: ports.HeaderNames,
        cluster: cluster_state.ClusterState,
        own_membership: membership.Membership,
        dispatcher: dispatching.Dispatcher,
        budgets: retry_budgets.RetryBudgets,
    ) -> None:
        """Creates a classifier.

        Args:
            gateway_settings: Settings of this VM.
            names: Names of the HTTP headers.
            cluster: This VM's view of the cluster.
            own_membership: Counts the requests for keys.
            dispatcher: Issues the tickets of wait queues.
            budgets: Count the requests for services.
        """
        self._settings = gateway_settings
        self._header_names = names
        self._cluster = cluster
        self._membership = own_membership
        self._dispatcher = dispatcher
        self._retry_budgets = budgets
        self._retry_ages: dict[str, caller_retries.RetryAge] = {}
        self.latest_deadline = math.inf

    def classify(
        self, incoming: http_server.Request
    ) -> result.Result[pending.Call, errors.Failure]:
        """Returns the call of a request, or why it has none."""
        routed = self._route(incoming)
        if isinstance(routed, result.Err):
            return routed
        route = routed.ok_value
        chosen = self._service(self._cluster.shares.next(route))
        if isinstance(chosen, result.Err):
            return chosen
        call = pending.Call(
            incoming,
            route,
            chosen.ok_value,
            incoming.header(self._header_names.attempt) or b"",
        )
        self._apply(call, route, chosen.ok_value)
        call.read_version = call.version
        call.read_version_age = self._cluster.configuration_age
        self._describe(call)
        self._count(call)
        return result.Ok(call)

    def is_current(self, call: pending.Call) -> bool:
        """Whether a call is bound to the configuration in force."""
        return call.version == self._cluster.version

    def rebind(self, call: pending.Call) -> errors.Failure | None:
        """Binds a call that no target runs to the configuration in force.

        A call keeps its service if its route still has it, so that the shares
        of weighted services stay exact.

        Returns:
            The failure if the configuration has no route or service for it.
        """
        routed = self._route(call.incoming)
        if isinstance(routed, result.Err):
            return routed.err_value
        route = routed.ok_value
        weighted = {part.service for part in route.parts if part.weight > 0}
        former = call.service.name
        name = (
            former if former in weighted else self._cluster.shares.next(route)
        )
        chosen = self._service(name)
        if isinstance(chosen, result.Err):
            return chosen.err_value
        priority = call.route.priority
        self._apply(call, route, chosen.ok_value)
        if route.priority != priority:
            call.ticket = self._dispatcher.ticket(route.priority)
        if name != former:
            self._count(call)
        return None

    def _route(
        self, incoming: http_server.Request
    ) -> result.Result[routes.Route, errors.Failure]:
        """Returns the route of a request in the configuration in force."""
        if self._cluster.configuration is None:
            return errors.failed(errors.ErrorKind.NOT_CONFIGURED)
        host = incoming.header(b"host")
        if host is None:
            return errors.failed(
                errors.ErrorKind.BAD_REQUEST, "No Host header."
            )
        path = incoming.target.partition(b"?")[0].decode("latin-1")
        route = self._cluster.route_table.find(host.decode("latin-1"), path)
        if route is None:
            return errors.failed(errors.ErrorKind.NO_ROUTE)
        return result.Ok(route)

    def _service(
        self, name: str
    ) -> result.Result[routes.Service, errors.Failure]:
        configuration = self._cluster.configuration
        service = configuration.services.get(name) if configuration else None
        if service is None:
            return errors.failed(
                errors.ErrorKind.NO_TARGET, f"Service {name} is not configured."
            )
        return result.Ok(service)

    def _apply(
        self, call: pending.Call, route: routes.Route, service: routes.Service
    ) -> None:
        """Sets what a call gets from the configuration in force."""
        call.bind(route, service, self._cluster.version)
        incoming = call.incoming
        seconds = route.timeout
        deadline_seconds = self._deadline_seconds(incoming)
        if deadline_seconds is not None:
            seconds = min(seconds, deadline_seconds)
        call.deadline = min(
            incoming.received_at + seconds, self.latest_deadline
        )
        key = incoming.header(self._header_names.key)
        call.key = int(key or b"0") if service.keyed and _is_key(key) else None
        if incoming.forwarded:
            sends_left = peer_forwarding.sends_left(incoming)
            call.max_sends = min(call.max_sends, sends_left)

    def _describe(self, call: pending.Call) -> None:
        """Sets what a call gets from its request alone."""
        names = self._header_names
        incoming = call.incoming
        stream_seconds = self._settings.requests.stream
        deadline_seconds = self._deadline_seconds(incoming)
        if deadline_seconds is not None:
            stream_seconds = min(
                stream_seconds, deadline_seconds + _STREAM_MARGIN_SECONDS
            )
            retry_age = self._retry_ages.setdefault(
                call.route.name, caller_retries.RetryAge()
            )
            call.prior_retry_seconds = retry_age.estimate(deadline_seconds)
        call.stream_deadline = incoming.received_at + stream_seconds
        call.header_lines = [
            name + b": " + value
            for name, value in incoming.headers
            if name not in http_client.HOP_BY_HOP_HEADERS
            and name not in (names.deadline, names.expected_target)
            and not (incoming.forwarded and name in peer_forwarding.HEADERS)
        ]
        call.fingerprint = _fingerprint(incoming, incoming.header(names.key))
        call.ticket = self._dispatcher.ticket(call.route.priority)
        if incoming.forwarded:
            call.origin = peer_forwarding.origin(incoming)

    def _deadline_seconds(self, incoming: http_server.Request) -> float | None:
        """Returns how long a caller waits, None if it does not say."""
        header = incoming.header(self._header_names.deadline)
        if header is None or not header.isdigit():
            return None
        return int(header) / 1000

    def _count(self, call: pending.Call) -> None:
        """Counts a request for its service and key.

        The VM that forwarded a request has counted it.
        """
        if call.incoming.forwarded:
            return
        if call.key is not None:
            self._membership.record_request(call.service.name, call.key)
        self._retry_budgets.record_request(call.service.name)


def _fingerprint(incoming: http_server.Request, key: bytes | None) -> str:
    """Returns a fingerprint that is the same whenever a request is repeated."""
    caller = incoming.header(b"authorization") or b""
    path, _, query = incoming.target.decode("latin-1").partition("?")
    return quarantine.fingerprint(
        (caller + b"/" + (key or b"")).decode("latin-1"),
        incoming.method,
        path,
        query,
        *incoming.body_blocks,
    )


def _is_key(value: bytes | None) -> bool:
    return value is not None and value.isdigit() and int(value) < ranges.KEYS
