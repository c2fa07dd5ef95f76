"""Forwards callers' requests to targets and returns the responses."""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import math

import result

from mimosastile_core import errors
from mimosastile_core import promises
from mimosastile_core.gateway import completion_times
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import held_bytes
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import target_feedback
from mimosastile_core.gateway import target_speeds
from mimosastile_gateway import classification
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import crash_monitoring
from mimosastile_gateway import dispatching
from mimosastile_gateway import events
from mimosastile_gateway import http_client
from mimosastile_gateway import http_server
from mimosastile_gateway import membership
from mimosastile_gateway import metrics
from mimosastile_gateway import peer_forwarding
from mimosastile_gateway import pending
from mimosastile_gateway import ports
from mimosastile_gateway import retry_budgets
from mimosastile_gateway import settings

_CLIENT_ERROR_STATUS = 400
"""Lowest status of a response with which a target may state that it did not run
a request."""
_BACKOFF_STATUS = 503
"""Status whose response may ask for a backoff (Retry-After)."""
_OVERLOAD_KINDS = frozenset(
    {errors.ErrorKind.REJECTED, errors.ErrorKind.ANSWER_LOST}
)
"""Failures that may show that a target is full."""
_UNSENT_KINDS = frozenset(
    {
        errors.ErrorKind.UNREACHABLE,
        errors.ErrorKind.CONFIGURATION_OLD,
        errors.ErrorKind.SHUTTING_DOWN,
    }
)
"""Failures of sends that did not reach a target."""
_RESPONSE_KINDS = frozenset(
    {
        errors.ErrorKind.REJECTED,
        errors.ErrorKind.TARGET_FAILED,
        errors.ErrorKind.WRONG_FENCE,
    }
)
"""Failures of sends to which a target has responded."""
_MAX_LOGGED_HEADER_BYTES = 64
"""Longest part of an unreadable header value that is logged."""
_MAX_CONFIGURATION_AGE_SHARE = 0.9
"""How old the view of the configuration may be for a request to be refused for
want of a route, as a share of the time within which a version has to be in
force."""
_LEADER_QUERY_TIMEOUT_SECONDS = 0.25
"""Longest wait for the leader to confirm that there is no newer version: ten
times the round trip to another region."""

SendResult = result.Result[http_server.Response, errors.Failure]


class Forwarder:
    """Dispatches each request, retries it and builds the response."""

    __slots__ = (
        "_retry_budgets",
        "_cluster",
        "_active_calls",
        "_classifier",
        "_completion_times",
        "_crashes",
        "_clock",
        "_outcome_counts",
        "_events",
        "_metrics",
        "_header_names",
        "_membership",
        "_dispatcher",
        "_peer_forwarder",
        "_pool",
        "_read_feedback",
        "_balancer",
        "_settings",
        "_target_bodies",
    )

    def __init__(
        self,
        gateway_settings: settings.GatewaySettings,
        names: ports.HeaderNames,
        read_feedback: Callable[
            [Iterable[tuple[bytes, bytes]]], target_feedback.TargetFeedback
        ],
        pool: http_client.Pool,
        cluster: cluster_state.ClusterState,
        balancer: load_balancing.LoadBalancer,
        own_membership: membership.Membership,
        dispatcher: dispatching.Dispatcher,
        peer_forwarder: peer_forwarding.PeerForwarder,
        crashes: crash_monitoring.CrashMonitor,
        budgets: retry_budgets.RetryBudgets,
        request_metrics: metrics.Metrics,
        timer: clock.Clock,
        event_log: events.EventLog,
    ) -> None:
        self._settings = gateway_settings
        self._header_names = names
        self._read_feedback = read_feedback
        self._pool = pool
        self._cluster = cluster
        self._balancer = balancer
        self._membership = own_membership
        self._metrics = request_metrics
        self._clock = timer
        self._events = event_log
        self._dispatcher = dispatcher
        self._peer_forwarder = peer_forwarder
        self._classifier = classification.Classifier(
            gateway_settings,
            names,
            cluster,
            own_membership,
            dispatcher,
            budgets,
        )
        self._crashes = crashes
        self._retry_budgets = budgets
        self._outcome_counts: collections.Counter[str] = collections.Counter()
        self._active_calls: set[pending.Call] = set()
        self._target_bodies = held_bytes.TargetBodies()
        self._completion_times = completion_times.CompletionTimes()

    def dump(self) -> dict[str, object]:
        """Returns counts of outcomes and of requests in progress."""
        now = self._clock.now()
        return {
            "outcomes": dict(self._outcome_counts),
            "waiting": self._dispatcher.queue_lengths(),
            "route_limits": self._cluster.route_limits.dump(now),
            "bodies_at_targets": self._target_bodies.dump(),
            "under_way": self._balancer.own(),
            "retries": self._retry_budgets.dump(),
        }

    async def handle(
        self, incoming: http_server.Request
    ) -> http_server.Response:
        """Returns the response to a caller's request."""
        classified = self._classifier.classify(incoming)
        if _is_unrouted(classified) and not self._configuration_is_current():
            await self._membership.report_and_wait(
                _LEADER_QUERY_TIMEOUT_SECONDS
            )
            classified = self._classifier.classify(incoming)
            if (
                _is_unrouted(classified)
                and not self._configuration_is_current()
            ):
                classified = errors.failed(errors.ErrorKind.CONFIGURATION_OLD)
        if isinstance(classified, result.Err):
            return self._refuse(None, incoming, classified.err_value)
        call = classified.ok_value
        limited = self._route_limit_failure(call)
        if limited is not None:
            return self._refuse(call, incoming, limited)
        self._active_calls.add(call)
        try:
            return await self._forward(call)
        finally:
            self._active_calls.discard(call)

    def refuse(
        self, incoming: http_server.Request, failure: errors.Failure
    ) -> http_server.Response:
        """Returns the refusal of a request that is not handled."""
        return self._refuse(None, incoming, failure)

    def cap_deadlines(self, at: float) -> None:
        """Caps the deadlines of all present and future requests.

        A target without a free slot may hold a request without any response for
        longer than this process runs.

        Args:
            at: The latest deadline, on the loop's clock.
        """
        self._classifier.latest_deadline = at
        for call in self._active_calls:
            if call.deadline <= at:
                continue
            call.deadline = at
            if call.timer is not None:
                call.timer.reschedule(at - self._settings.requests.margin)

    def _ends_in_time(self, call: pending.Call) -> bool:
        """Whether a request can be expected to end before this VM stops."""
        latest = self._classifier.latest_deadline
        if call.deadline < latest:
            # It ends at its own deadline.
            return True
        now = self._clock.now()
        # A peer has to be connected to first.
        detour = not call.origin and self._peer_forwarder.lacks_path(call)
        delay = self._settings.requests.connect if detour else 0.0
        expected = self._completion_times.expected(
            call.route.name, call.route.timeout, now
        )
        return now + delay + expected <= latest - self._settings.requests.margin

    def _configuration_is_current(self) -> bool:
        """Whether this VM has every version that has to be in force by now."""
        bound = (
            self._settings.bounds.configuration * _MAX_CONFIGURATION_AGE_SHARE
        )
        age = self._cluster.configuration_age
        return age is not None and age < bound

    # Attempts.

    async def _forward(self, call: pending.Call) -> http_server.Response:
        last: errors.Failure | None = None
        while True:
            refusal = self._rebind(call, last)
            refusal = refusal or self._refusal_before_send(call)
            if refusal is not None:
                failure = _final_failure(call, last, refusal)
                return self._refuse(call, call.incoming, failure)
            peer = self._peer_forwarder.choose(call)
            if peer is not None:
                call.sent_at = self._clock.now()
                sent = await self._peer_forwarder.send(call, peer)
                if isinstance(sent, result.Ok):
                    self._record_forwarded(call, sent.ok_value)
                    return sent.ok_value
                last = sent.err_value
                if not self._may_retry(call, last):
                    return self._refuse(call, call.incoming, last)
                continue
            acquired = await self._acquire_target(call)
            if acquired is None:
                continue
            if isinstance(acquired, result.Err):
                failure = _final_failure(call, last, acquired.err_value)
                return self._refuse(call, call.incoming, failure)
            sent = await self._send(call, acquired.ok_value)
            if isinstance(sent, result.Ok):
                return sent.ok_value
            last = sent.err_value
            if not self._may_retry(call, last):
                return self._refuse(call, call.incoming, last)
            await self._await_retry(call, acquired.ok_value, last)

    async def _acquire_target(
        self, call: pending.Call
    ) -> result.Result[directory.Target, errors.Failure] | None:
        """Waits for a target; returns None to begin anew."""
        acquired = await self._dispatcher.acquire_target(
            call, self._is_to_begin_anew
        )
        # Meanwhile the request may have crashed its third target elsewhere.
        if (
            self._classifier.is_current(call)
            and not self._crashes.is_held(call.fingerprint)
            and self._ends_in_time(call)
        ):
            return acquired
        if isinstance(acquired, result.Ok):
            self._dispatcher.finish(call, acquired.ok_value)
        return None

    def _is_to_begin_anew(self, call: pending.Call) -> bool:
        """Whether a request should not wait for its targets any longer."""
        return (
            not self._classifier.is_current(call)
            or self._can_forward(call)
            or not self._ends_in_time(call)
        )

    def _rebind(
        self, call: pending.Call, last: errors.Failure | None
    ) -> errors.Failure | None:
        """Binds a request to the configuration in force before it is sent.

        Args:
            call: The request.
            last: Failure of its last send, None before the first.

        Returns:
            Why the request must not be sent any more; None if it may.
        """
        if self._classifier.is_current(call):
            return None
        former = call.service.name, call.route.name
        unbound = self._classifier.rebind(call)
        if unbound is not None:
            return unbound
        if call.maybe_ran and not call.repeatable:
            return last
        if (call.service.name, call.route.name) != former:
            return self._route_limit_failure(call)
        return None

    def _route_limit_failure(self, call: pending.Call) -> errors.Failure | None:
        """Returns the refusal of a request above its route's share.

        The VM that forwarded a request has applied the limit.
        """
        if call.origin:
            return None
        now = self._clock.now()
        seconds = self._cluster.route_limits.admit(
            call.service.name, call.route.name, now
        )
        if not seconds:
            return None
        wait = max(seconds, self._settings.requests.retry_after_least)
        return errors.Failure(
            errors.ErrorKind.OVERLOADED,
            f"Above the share of its route at {call.service.name}.",
            wait,
        )

    def _can_forward(self, call: pending.Call) -> bool:
        """Whether a request that waits for a target should use a peer."""
        return self._peer_forwarder.choose(call) is not None

    def _refusal_before_send(self, call: pending.Call) -> errors.Failure | None:
        """Returns why a request must not be sent; None if it may."""
        if self._crashes.is_held(call.fingerprint):
            return errors.Failure(errors.ErrorKind.HELD_BACK)
        if not self._ends_in_time(call):
            return _stop_failure(call)
        if call.origin and self._peer_forwarder.lacks_path(call):
            return errors.Failure(
                errors.ErrorKind.UNREACHABLE,
                f"No path to {call.service.name} here either.",
            )
        return None

    async def _await_retry(
        self,
        call: pending.Call,
        target: directory.Target,
        failure: errors.Failure,
    ) -> None:
        """Waits until it is of use to send again after a failure."""
        if failure.kind is errors.ErrorKind.WRONG_FENCE:
            await self._dispatcher.await_owner_change(call, target)
        if failure.kind is errors.ErrorKind.UNREACHABLE:
            call.connect_failures += 1
            if not call.origin and not self._can_forward(call):
                await self._dispatcher.await_reachable(call, target)

    def _may_retry(self, call: pending.Call, failure: errors.Failure) -> bool:
        """Whether to send again after a failure; spends the retry budget."""
        now = self._clock.now()
        maybe_ran = failure.response.ran is not errors.Ran.NO
        call.maybe_ran = call.maybe_ran or maybe_ran
        if call.incoming.disconnected:
            # The request was not cancelled, as it may have run. Its caller has
            # left, so no further attempt is of use.
            return False
        if now >= self._dispatcher.latest_start(call):
            return False
        if failure.kind is not errors.ErrorKind.UNREACHABLE:
            if call.maybe_ran and not call.repeatable:
                return False
            if call.send_count >= call.max_sends and maybe_ran:
                return False
        return self._retry_budgets.take(call)

    # Sending.

    async def _send(
        self, call: pending.Call, target: directory.Target
    ) -> SendResult:
        started_at = self._clock.now()
        call.basis = self._basis(target)
        call.tried_targets.add(target.id)
        load = self._balancer.load(target.id)
        call.gated = call.permit is not None
        call.found = (
            call.permit.found if call.permit else load.under_way(started_at)
        )
        earlier_sends = call.send_count
        call.answered = False
        size = call.incoming.body_bytes
        self._target_bodies.begin(target.id, size)
        sent: SendResult
        try:
            async with asyncio.timeout_at(
                call.deadline - self._settings.requests.margin
            ) as call.timer:
                sent = await self._exchange(call, target)
                call.answered = sent.is_ok()
        except TimeoutError:
            sent = self._timeout_failure(
                call, target, earlier_sends, started_at
            )
        except asyncio.CancelledError:
            # The caller has left; its request may have crashed the target.
            if call.send_count > earlier_sends:
                self._record_silence(call, target)
            raise
        finally:
            call.timer = None
            self._target_bodies.end(target.id, size)
            self._dispatcher.finish(call, target)
        self._record_outcome(call, target, sent, started_at)
        return sent

    def _basis(self, target: directory.Target) -> pending.Basis:
        """Returns the state by which a target is chosen, for the log."""
        now = self._clock.now()
        entry = self._cluster.directory.get(target.id)
        return pending.Basis(
            entry.status.value if entry else "",
            round(now - entry.since, 3) if entry else 0.0,
            _round_age(self._cluster.registrations_age),
            self._cluster.version,
            _round_age(self._cluster.configuration_age),
        )

    def _timeout_failure(
        self,
        call: pending.Call,
        target: directory.Target,
        earlier_sends: int,
        started_at: float,
    ) -> SendResult:
        """Returns the failure of a request that timed out at a target."""
        if call.send_count == earlier_sends:
            # The request was still waiting for a connection.
            self._record_unreachable(target)
            return errors.failed(
                errors.ErrorKind.QUEUE_TIMEOUT,
                f"No connection to {target.id} in time.",
            )
        return errors.failed(
            errors.ErrorKind.DEADLINE, f"{target.id} did not respond in time."
        )

    def _record_unreachable(self, target: directory.Target) -> None:
        """Records that a target accepts no connection."""
        self._balancer.load(target.id).unreachable(self._clock.now())

    async def _exchange(
        self, call: pending.Call, target: directory.Target
    ) -> SendResult:
        request_settings = self._settings.requests
        attempted_at = self._clock.now()
        idle = (
            request_settings.idle
            if call.repeatable
            else request_settings.idle_careful
        )
        echo = (self._header_names.attempt, call.attempt)
        try:
            connection = await self._pool.connect(
                target.address, idle, request_settings.connect, echo
            )
        except http_client.NotSentError as error:
            self._record_unreachable(target)
            if not error.hung:
                self._crashes.record_refused(target, attempted_at)
            return errors.failed(errors.ErrorKind.UNREACHABLE, str(error))
        outdated = self._failure_after_connecting(call)
        if outdated is not None:
            self._pool.release(connection, target.address)
            return result.Err(outdated)
        usable = False
        try:
            reply = connection.start(
                self._encode_request(call, target),
                echo,
                no_body=call.incoming.method == "HEAD",
            )
            if call.separate_body:
                connection.send_body(call.separate_body)
            sent_at = self._clock.now()
            call.sent_at = sent_at
            call.send_count += 1
            call.retry_due = True
            if not call.repeatable:
                call.incoming.cancellable = False
            await connection.wait_complete(reply, request_settings.buffer_bytes)
            usable = reply.complete
            self._apply_feedback(target, reply, sent_at)
            outcome = self._interpret_response(call, target, connection, reply)
            usable = usable or outcome.is_ok()
            return outcome
        except http_client.NotSentError as error:
            return errors.failed(errors.ErrorKind.UNREACHABLE, str(error))
        except http_client.ResponseLostError as error:
            return errors.failed(errors.ErrorKind.ANSWER_LOST, str(error))
        finally:
            call.incoming.cancellable = True
            if not usable:
                connection.abort()
            elif reply.complete:
                reply.discard()
                self._pool.release(connection, target.address)

    def _failure_after_connecting(
        self, call: pending.Call
    ) -> errors.Failure | None:
        """Returns why a request must not be sent on its new connection."""
        if not self._classifier.is_current(call):
            return errors.Failure(
                errors.ErrorKind.CONFIGURATION_OLD,
                f"Version {call.version} was replaced before the send.",
            )
        return None if self._ends_in_time(call) else _stop_failure(call)

    def _encode_request(
        self, call: pending.Call, target: directory.Target
    ) -> bytes:
        names = self._header_names
        margin = self._settings.requests.margin
        left = max(call.deadline - margin - self._clock.now(), 0.001)
        return call.encode(
            (
                (names.deadline, b"%d" % int(left * 1000)),
                (names.expected_target, target.id.encode()),
            )
        )

    def _interpret_response(
        self,
        call: pending.Call,
        target: directory.Target,
        connection: http_client.Connection,
        reply: http_client.IncomingResponse,
    ) -> SendResult:
        """Maps a target's response to a caller's response or a failure."""
        names = self._header_names
        status = reply.status
        if status >= _CLIENT_ERROR_STATUS and reply.header(names.not_run):
            responder_id = reply.header(names.target)
            if status == 421 and responder_id not in (None, target.id.encode()):
                return errors.failed(
                    errors.ErrorKind.TARGET_REPLACED,
                    f"{target.address} is {responder_id!r}, not {target.id}.",
                )
            if status == 421:
                return errors.failed(
                    errors.ErrorKind.WRONG_FENCE,
                    f"{target.id} responded with 421.",
                )
            return errors.failed(
                errors.ErrorKind.REJECTED,
                f"{target.id} rejected it with {status}.",
            )
        if 200 <= status < 300 and reply.header(names.seal) is None:
            return errors.failed(
                errors.ErrorKind.ANSWER_BROKEN,
                f"Response of {target.id} is unsigned.",
            )
        if promises.needs_proof(status):
            return errors.failed(
                errors.ErrorKind.TARGET_FAILED,
                f"{target.id} responded with {status}, but did not state that"
                " it did not run the request.",
            )
        if status >= 500 and reply.complete and self._has_retry_left(call):
            return errors.failed(
                errors.ErrorKind.TARGET_FAILED,
                f"{target.id} failed with {status}.",
            )
        headers = tuple(
            (name, value)
            for name, value in reply.headers
            if name not in http_client.HOP_BY_HOP_HEADERS
        )
        if call.origin:
            headers += tuple(
                peer_forwarding.outcome_headers(
                    peer_forwarding.PASSED, call.send_count
                )
            )
        if reply.complete:
            return result.Ok(
                http_server.Response(status, headers, reply.take())
            )
        return result.Ok(
            http_server.Response(
                status,
                headers,
                body_stream=self._stream(call, target, connection, reply),
                stream_deadline=call.stream_deadline,
            )
        )

    async def _stream(
        self,
        call: pending.Call,
        target: directory.Target,
        connection: http_client.Connection,
        reply: http_client.IncomingResponse,
    ) -> AsyncIterator[bytes]:
        """Yields a response's body; logs a response that is cut off."""
        # The request and its body are not held while the response is sent.
        attempt, route, sent_at = call.attempt, call.route.name, call.sent_at
        fingerprint = call.fingerprint
        del call
        complete = False
        stream = self._pool.stream(connection, reply, target.address)
        try:
            async with contextlib.aclosing(stream):
                async for block in stream:
                    yield block
            complete = True
            self._crashes.record_completion(fingerprint)
            now = self._clock.now()
            self._completion_times.record(route, now - sent_at, now)
        except http_client.ResponseLostError:
            self._crashes.record_loss(target, fingerprint)
            raise
        finally:
            if not complete:
                self._outcome_counts["cut_off"] += 1
                self._events.write(
                    "requests",
                    "response_cut_off",
                    attempt=attempt.decode("latin-1"),
                    route=route,
                    target=target.id,
                    received=reply.received_bytes,
                )

    def _apply_feedback(
        self,
        target: directory.Target,
        reply: http_client.IncomingResponse,
        sent_at: float,
    ) -> None:
        """Applies the target feedback in a response's headers."""
        responder_id = reply.header(self._header_names.target)
        if responder_id not in (None, target.id.encode()):
            return
        feedback = self._read_feedback(reply.headers)
        if feedback.load is not None:
            self._balancer.record_load(target, feedback.load)
        sealed = reply.header(self._header_names.seal) is not None
        # Only a response that the target itself produced can show that it has
        # no limit.
        sent_at = sent_at if sealed else -math.inf
        if self._cluster.apply_feedback(target, feedback, sent_at):
            self._membership.report_soon()
        if reply.status == _BACKOFF_STATUS and feedback.rest:
            self._cluster.record_backoff(target, feedback.rest)
        for name, value in feedback.unreadable:
            self._events.write(
                "targets",
                "notice_unreadable",
                target=target.id,
                header=name.decode("latin-1"),
                value=value[:_MAX_LOGGED_HEADER_BYTES].decode("latin-1"),
            )

    def _has_retry_left(self, call: pending.Call) -> bool:
        """Whether a retry may replace a target's own failure."""
        now = self._clock.now()
        return (
            call.repeatable
            and call.send_count < call.max_sends
            and now < self._dispatcher.latest_start(call)
            and self._retry_budgets.left(call.service.name) >= 1
        )

    def _record_outcome(
        self,
        call: pending.Call,
        target: directory.Target,
        sent: SendResult,
        started_at: float,
    ) -> None:
        """Updates load, feedback and crash detection after a send."""
        now = self._clock.now()
        load = self._balancer.load(target.id)
        self._record_completion_time(call, sent, now)
        if isinstance(sent, result.Ok):
            self._crashes.record_response(target)
            self._membership.record_response(target.id)
            response = sent.ok_value
            if response.status < 500 and response.body_stream is None:
                self._balancer.answered(
                    call.route.name,
                    target.id,
                    now - started_at,
                    len(response.body) + call.incoming.body_bytes,
                    now,
                    occupancy=_occupancy(call, target),
                )
            elif response.status >= 500:
                load.failed(now)
            self._record_passed(call, target, response, now)
            return
        failure = sent.err_value
        if failure.kind is errors.ErrorKind.TARGET_REPLACED:
            self._membership.record_end(target)
        elif failure.kind is errors.ErrorKind.WRONG_FENCE:
            call.reject_count += 1
            if call.key is not None:
                self._membership.report_miss(
                    call.service.name, call.key, target.id
                )
            else:
                load.failed(now)
        elif failure.kind not in _UNSENT_KINDS:
            load.failed(now)
        if call.key is not None and failure.kind in _OVERLOAD_KINDS:
            self._membership.report_full_target(target.id)
        self._record_evidence(call, target, failure.kind)
        self._events.write(
            "requests",
            "send_failed",
            attempt=call.attempt.decode("latin-1"),
            route=call.route.name,
            key=call.key,
            target=target.id,
            kind=failure.kind.value,
            why=failure.detail,
            sends=call.send_count,
            took_ms=_to_milliseconds(now - started_at),
            left_ms=_to_milliseconds(call.deadline - now),
            under_way=load.under_way(now),
        )

    def _record_evidence(
        self,
        call: pending.Call,
        target: directory.Target,
        kind: errors.ErrorKind,
    ) -> None:
        """Records what a failure says about a crash of its target."""
        if kind is errors.ErrorKind.ANSWER_LOST:
            self._crashes.record_loss(target, call.fingerprint)
        elif kind is errors.ErrorKind.DEADLINE:
            self._record_silence(call, target)
        elif kind is errors.ErrorKind.TARGET_REPLACED:
            self._crashes.record_replaced(target)
        elif kind in _RESPONSE_KINDS:
            self._crashes.record_response(target)

    def _record_silence(
        self, call: pending.Call, target: directory.Target
    ) -> None:
        """Records that a target has not responded to a request."""
        self._crashes.record_silence(target, call.fingerprint, call.sent_at)

    def _record_completion_time(
        self, call: pending.Call, sent: SendResult, now: float
    ) -> None:
        """Records how long a request took that a target has worked on.

        A streamed response is recorded at its end.
        """
        if isinstance(sent, result.Ok):
            ended = sent.ok_value.body_stream is None
        else:
            ended = sent.err_value.kind is errors.ErrorKind.DEADLINE
        if ended:
            seconds = now - call.sent_at
            self._completion_times.record(call.route.name, seconds, now)

    # Responses to callers.

    def _record_forwarded(
        self, call: pending.Call, response: http_server.Response
    ) -> None:
        """Counts a response that came through a peer."""
        sealed = self._header_names.seal in dict(response.headers)
        outcome = "forwarded" if sealed else "refused_by_peer"
        now = self._clock.now()
        elapsed = now - call.received_at
        if sealed:
            self._record_completion_time(call, result.Ok(response), now)
        self._outcome_counts[outcome] += 1
        self._metrics.record(call.route.name, outcome, elapsed)

    def _record_passed(
        self,
        call: pending.Call,
        target: directory.Target,
        response: http_server.Response,
        now: float,
    ) -> None:
        if response.body_stream is None:
            self._crashes.record_completion(call.fingerprint)
        if response.status < 500:
            self._cluster.route_limits.record_response(
                call.service.name, call.route.name
            )
        elapsed = now - call.received_at
        self._outcome_counts["passed"] += 1
        self._metrics.record(call.route.name, "passed", elapsed)
        self._events.write(
            "requests",
            "passed",
            attempt=call.attempt.decode("latin-1"),
            route=call.route.name,
            key=call.key,
            target=target.id,
            status=response.status,
            sends=call.send_count,
            took_ms=_to_milliseconds(elapsed),
            configuration=call.version,
            read_configuration=call.read_version,
            read_configuration_age=_round_age(call.read_version_age),
            basis=call.basis,
        )

    def _refuse(
        self,
        call: pending.Call | None,
        incoming: http_server.Request,
        failure: errors.Failure,
    ) -> http_server.Response:
        if failure.response.router_retries and not failure.retry_after:
            failure = errors.Failure(
                failure.kind,
                failure.detail,
                dispatching.REROUTE_RETRY_AFTER_SECONDS,
            )
        now = self._clock.now()
        attempt = incoming.header(self._header_names.attempt) or b""
        elapsed = now - incoming.received_at
        kind = failure.kind.value
        self._outcome_counts[kind] += 1
        route = call.route.name if call else ""
        self._metrics.record(route, kind, elapsed)
        configuration = self._cluster.configuration
        self._events.write(
            "requests",
            "refused",
            attempt=attempt.decode("latin-1"),
            route=route,
            path=incoming.target.decode("latin-1"),
            key=call.key if call else None,
            kind=kind,
            status=failure.response.status,
            why=failure.detail,
            sends=call.send_count if call else 0,
            took_ms=_to_milliseconds(elapsed),
            retry_after=failure.wait,
            configuration=configuration.version if configuration else None,
            configuration_age=_round_age(self._cluster.configuration_age),
            read_configuration=call.read_version if call else None,
            read_configuration_age=(
                _round_age(call.read_version_age) if call else None
            ),
        )
        headers: list[tuple[bytes, bytes]] = [
            (b"content-type", b"text/plain; charset=utf-8")
        ]
        if attempt:
            headers.append((self._header_names.attempt, attempt))
        if failure.response.ran is errors.Ran.NO and failure.wait:
            headers.append((b"retry-after", b"%g" % failure.wait))
        if incoming.forwarded:
            headers.extend(
                peer_forwarding.outcome_headers(
                    kind.encode(), call.send_count if call else 0
                )
            )
        text = failure.response.text.encode() + b"\n"
        return http_server.Response(
            failure.response.status, tuple(headers), text
        )


def _occupancy(
    call: pending.Call, target: directory.Target
) -> target_speeds.Occupancy:
    """Returns how long a request was at its target in service times."""
    if call.expected_runs:
        return target_speeds.Occupancy(call.expected_runs)
    return target_speeds.occupancy(target.slots, call.found, gated=call.gated)


def _final_failure(
    call: pending.Call, last: errors.Failure | None, current: errors.Failure
) -> errors.Failure:
    """Returns the failure that the caller gets.

    It may say "not run" only if no send can have run: a later refusal does not
    revoke an earlier send.
    """
    if call.maybe_ran and last is not None and not call.repeatable:
        return last
    return current


def _stop_failure(call: pending.Call) -> errors.Failure:
    """Returns the failure of a request that would outlast this VM."""
    return errors.Failure(
        errors.ErrorKind.SHUTTING_DOWN,
        f"Requests of {call.route.name} may take longer than this VM runs.",
        dispatching.REROUTE_RETRY_AFTER_SECONDS,
    )


def _is_unrouted(
    classified: result.Result[pending.Call, errors.Failure],
) -> bool:
    failure = classified.err()
    return failure is not None and failure.kind is errors.ErrorKind.NO_ROUTE


def _round_age(age: float | None) -> float | None:
    return None if age is None else round(age, 3)


def _to_milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
