"""Brings callers' requests to targets, and the answers back."""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterable
import math

import result

from mimosastile_core import errors
from mimosastile_core import quarantine
from mimosastile_core.gateway import caller_retries
from mimosastile_core.gateway import crash_detection
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import ranges
from mimosastile_core.gateway import retry_budget
from mimosastile_core.gateway import routes
from mimosastile_core.gateway import target_feedback
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import dispatching
from mimosastile_gateway import events
from mimosastile_gateway import http_client
from mimosastile_gateway import http_server
from mimosastile_gateway import membership
from mimosastile_gateway import metrics
from mimosastile_gateway import pending
from mimosastile_gateway import ports
from mimosastile_gateway import settings

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that concern one connection only."""
_REJECT_STATUSES = frozenset({400, 421, 429, 503})
"""Statuses with which a target may say that it has not run a request."""
_TURNED_AWAY = 503
"""Status with which a target may say for how long it wants nothing."""
_CROWDED = frozenset({errors.ErrorKind.REJECTED, errors.ErrorKind.ANSWER_LOST})
"""Failures by which a target may show that it is full."""
_LOGGED_BYTES = 64
"""Bytes of an unreadable header that a log line holds."""
_APPLY_SHARE = 0.9
"""Part of the time within which a version has to be in force that the view of
the configuration may be old for a request to be told that no route leads
there."""
_ASK_SECONDS = 0.25
"""Longest wait for the leader's word that there is no newer version: the way to
another region and back, ten times."""
_FIXED_SHARE = 0.8
_RATIO_SHARE = 0.9
"""Parts of the bound on repeats that are used; the rest covers requests that
are counted in another window than their repeats."""

Sent = result.Result[http_server.Outgoing, errors.Failure]


class Forwarder:
    """Decides for each request where it goes, how often and what it answers."""

    __slots__ = (
        "_allowances",
        "_cluster",
        "_calls",
        "_crashes",
        "_clock",
        "_counts",
        "_ends",
        "_events",
        "_metrics",
        "_names",
        "_retry_ages",
        "_membership",
        "_dispatcher",
        "_pool",
        "_read_notice",
        "_balancer",
        "_settings",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        names: ports.HeaderNames,
        read_notice: Callable[
            [Iterable[tuple[bytes, bytes]]], target_feedback.TargetFeedback
        ],
        pool: http_client.Pool,
        known: cluster_state.ClusterState,
        balancer: load_balancing.LoadBalancer,
        own_membership: membership.Membership,
        dispatcher: dispatching.Dispatcher,
        crashes: crash_detection.CrashDetector,
        measured: metrics.Metrics,
        timer: clock.Clock,
        log: events.Events,
    ) -> None:
        self._settings = configured
        self._names = names
        self._read_notice = read_notice
        self._pool = pool
        self._cluster = known
        self._balancer = balancer
        self._membership = own_membership
        self._metrics = measured
        self._clock = timer
        self._events = log
        self._dispatcher = dispatcher
        self._crashes = crashes
        self._retry_ages: dict[str, caller_retries.RetryAge] = {}
        self._allowances: dict[str, retry_budget.RetryBudget] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._calls: set[pending.Call] = set()
        self._ends = math.inf

    def dump(self) -> dict[str, object]:
        """Returns counts of outcomes and what waits."""
        now = self._clock.now()
        return {
            "outcomes": dict(self._counts),
            "waiting": self._dispatcher.waiting(),
            "under_way": self._balancer.own(),
            "repeats_left": {
                name: round(left.left(now), 1)
                for name, left in self._allowances.items()
            },
        }

    async def handle(
        self, incoming: http_server.Incoming
    ) -> http_server.Outgoing:
        """Answers a caller's request."""
        call = self._classify(incoming)
        if _is_unrouted(call) and not self._configuration_is_new():
            await self._membership.ask_leader(_ASK_SECONDS)
            call = self._classify(incoming)
            if _is_unrouted(call) and not self._configuration_is_new():
                call = errors.failed(errors.ErrorKind.CONFIGURATION_OLD)
        if isinstance(call, result.Err):
            return self._refused(None, incoming, call.err_value)
        taken = call.ok_value
        self._calls.add(taken)
        try:
            return await self._forward(taken)
        finally:
            self._calls.discard(taken)

    def end_by(self, at: float) -> None:
        """Has all requests answered by some time, also those still to come.

        A target that has no room for a request may keep it without a word for
        longer than this process lives.

        Args:
            at: The time, on the loop's clock.
        """
        self._ends = at
        for call in self._calls:
            if call.deadline <= at:
                continue
            call.deadline = at
            if call.timer is not None:
                call.timer.reschedule(at - self._settings.requests.margin)

    # Reading a request.

    def _classify(
        self, incoming: http_server.Incoming
    ) -> result.Result[pending.Call, errors.Failure]:
        configuration = self._cluster.configuration
        if configuration is None:
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
        name = self._cluster.shares.next(route)
        service = configuration.services.get(name)
        if service is None:
            return errors.failed(
                errors.ErrorKind.NO_TARGET, f"No service {name}."
            )
        call = self._call(incoming, route, service)
        call.version = configuration.version
        return result.Ok(call)

    def _configuration_is_new(self) -> bool:
        """Whether no version is missing that has to be in force by now."""
        bound = self._settings.bounds.configuration * _APPLY_SHARE
        age = self._cluster.configuration_age
        return age is not None and age < bound

    def _call(
        self,
        incoming: http_server.Incoming,
        route: routes.Route,
        service: routes.Service,
    ) -> pending.Call:
        names = self._names
        attempt = incoming.header(names.attempt) or b""
        seconds = route.timeout
        wait = incoming.header(names.deadline)
        if wait is not None and wait.isdigit():
            seconds = min(seconds, int(wait) / 1000)
        call = pending.Call(
            incoming,
            route,
            service,
            attempt,
            min(incoming.at + seconds, self._ends),
        )
        if wait is not None and wait.isdigit():
            known = self._retry_ages.setdefault(
                route.name, caller_retries.RetryAge()
            )
            call.tried_for = known.tried_for(int(wait) / 1000)
        key = incoming.header(names.key)
        if service.keyed and _is_key(key):
            call.key = int(key or b"0")
            self._membership.asked(service.name, call.key)
        call.head = [
            name + b": " + value
            for name, value in incoming.headers
            if name not in _HOP_BY_HOP
            and name not in (names.deadline, names.expected_target)
        ]
        call.fingerprint = _fingerprint(incoming, key)
        call.ticket = self._dispatcher.ticket(route.priority)
        self._allowance(service.name).request(self._clock.now())
        return call

    def _allowance(self, service: str) -> retry_budget.RetryBudget:
        bounds = self._settings.bounds
        fixed = bounds.retry_fixed * _FIXED_SHARE / self._membership.count
        found = self._allowances.get(service)
        if found is None:
            found = self._allowances[service] = retry_budget.RetryBudget(
                bounds.retry_ratio * _RATIO_SHARE, bounds.retry_window, fixed
            )
        found.set_fixed(fixed)
        return found

    # Trying.

    async def _forward(self, call: pending.Call) -> http_server.Outgoing:
        last: errors.Failure | None = None
        while True:
            if self._crashes.held(call.fingerprint, self._clock.now()):
                held = errors.Failure(errors.ErrorKind.HELD_BACK)
                failure = _final(call, last, held)
                return self._refused(call, call.incoming, failure)
            found = await self._dispatcher.find(call)
            if isinstance(found, result.Err):
                failure = _final(call, last, found.err_value)
                return self._refused(call, call.incoming, failure)
            sent = await self._send(call, found.ok_value)
            if isinstance(sent, result.Ok):
                return sent.ok_value
            last = sent.err_value
            if not self._may_repeat(call, last):
                return self._refused(call, call.incoming, last)
            if last.kind is errors.ErrorKind.WRONG_FENCE:
                await self._dispatcher.await_owner(call, found.ok_value)
            if last.kind is errors.ErrorKind.UNREACHABLE:
                await self._dispatcher.await_reachable(call, found.ok_value)

    def _may_repeat(self, call: pending.Call, failure: errors.Failure) -> bool:
        """Whether a request is sent once more after a failure."""
        now = self._clock.now()
        ran = failure.answer.ran is not errors.Ran.NO
        call.maybe_ran = call.maybe_ran or ran
        if call.incoming.left:
            # It was not cut off, as it might have run; nobody waits for more.
            return False
        if failure.kind is errors.ErrorKind.UNREACHABLE:
            # Nothing arrived anywhere, so it is no repeat.
            return now < self._dispatcher.latest_start(call)
        if call.maybe_ran and not call.repeatable:
            return False
        if call.sends >= call.route.attempts and ran:
            return False
        if now >= self._dispatcher.latest_start(call):
            return False
        return self._allowance(call.service.name).take(now)

    # Sending.

    async def _send(self, call: pending.Call, target: directory.Target) -> Sent:
        began = self._clock.now()
        call.basis = self._basis(target)
        call.tried.add(target.id)
        load = self._balancer.load(target.id)
        call.waited = load.under_way(began) > target.slots
        sends = call.sends
        call.answered = False
        sent: Sent
        try:
            async with asyncio.timeout_at(
                call.deadline - self._settings.requests.margin
            ) as call.timer:
                sent = await self._exchange(call, target)
                call.answered = sent.is_ok()
        except TimeoutError:
            sent = self._late(call, target, sends)
        finally:
            call.timer = None
            self._dispatcher.leave(call, target)
        self._note(call, target, sent, began)
        return sent

    def _basis(self, target: directory.Target) -> pending.Basis:
        """Returns what a target is chosen by, for the log."""
        now = self._clock.now()
        entry = self._cluster.directory.get(target.id)
        return pending.Basis(
            entry.standing.value if entry else "",
            round(now - entry.since, 3) if entry else 0.0,
            _rounded(self._cluster.registrations_age),
            _rounded(self._cluster.configuration_age),
        )

    def _late(
        self, call: pending.Call, target: directory.Target, sends: int
    ) -> Sent:
        """Says what a request is whose time ran out at a target."""
        if call.sends == sends:
            # It was still waiting for a connection.
            self._unreachable(target)
            return errors.failed(
                errors.ErrorKind.QUEUE_TIMEOUT, f"{target.id}: no connection."
            )
        return errors.failed(
            errors.ErrorKind.DEADLINE, f"{target.id} did not answer."
        )

    def _unreachable(self, target: directory.Target) -> None:
        """Notes that a target takes no connection."""
        now = self._clock.now()
        self._balancer.load(target.id).unreachable(now)
        deaths = self._crashes.unreachable(target.id, now, self._clock.new_id())
        if deaths:
            self._membership.report_crashes(deaths)
            self._events.write(
                "requests",
                "target_died",
                target=target.id,
                requests=[death.fingerprint for death in deaths],
            )

    async def _exchange(
        self, call: pending.Call, target: directory.Target
    ) -> Sent:
        configured = self._settings.requests
        idle = configured.idle if call.repeatable else configured.idle_careful
        try:
            connection = await self._pool.connect(
                target.address, idle, configured.connect
            )
        except http_client.NotSentError as error:
            self._unreachable(target)
            return errors.failed(errors.ErrorKind.UNREACHABLE, str(error))
        whole = False
        try:
            reply = connection.start(
                self._request(call, target),
                (self._names.attempt, call.attempt),
                no_body=call.incoming.method == "HEAD",
            )
            began = self._clock.now()
            call.sends += 1
            if not call.repeatable:
                call.incoming.cancellable = False
            await connection.wait_whole(reply, configured.buffer_bytes)
            whole = reply.complete
            self._learn(target, reply, began)
            answer = self._answer(call, target, connection, reply)
            whole = whole or answer.is_ok()
            return answer
        except http_client.NotSentError as error:
            return errors.failed(errors.ErrorKind.UNREACHABLE, str(error))
        except http_client.AnswerLostError as error:
            return errors.failed(errors.ErrorKind.ANSWER_LOST, str(error))
        finally:
            call.incoming.cancellable = True
            if not whole:
                connection.abort()
            elif reply.complete:
                self._pool.give_back(connection, target.address)

    def _request(self, call: pending.Call, target: directory.Target) -> bytes:
        names = self._names
        incoming = call.incoming
        margin = self._settings.requests.margin
        left = max(call.deadline - margin - self._clock.now(), 0.001)
        lines = [
            b"%b %b HTTP/1.1" % (incoming.method.encode(), incoming.target),
            *call.head,
            b"%b: %d" % (names.deadline, int(left * 1000)),
            b"%b: %b" % (names.expected_target, target.id.encode()),
        ]
        if incoming.body or incoming.method in ("POST", "PUT", "PATCH"):
            lines.append(b"Content-Length: %d" % len(incoming.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + incoming.body

    def _answer(
        self,
        call: pending.Call,
        target: directory.Target,
        connection: http_client.Connection,
        reply: http_client.Reply,
    ) -> Sent:
        """Decides what an answer means."""
        names = self._names
        status = reply.status
        if status in _REJECT_STATUSES and reply.header(names.not_run):
            answering = reply.header(names.target)
            if status == 421 and answering not in (None, target.id.encode()):
                return errors.failed(
                    errors.ErrorKind.TARGET_REPLACED,
                    f"{target.address} is {answering!r}, not {target.id}.",
                )
            if status == 421:
                return errors.failed(
                    errors.ErrorKind.WRONG_FENCE, f"{target.id} said 421."
                )
            return errors.failed(
                errors.ErrorKind.REJECTED, f"{target.id} said {status}."
            )
        if 200 <= status < 300 and reply.header(names.seal) is None:
            return errors.failed(
                errors.ErrorKind.ANSWER_BROKEN, f"{target.id}: no signature."
            )
        if status >= 500 and reply.complete and self._has_repeat(call):
            return errors.failed(
                errors.ErrorKind.TARGET_FAILED, f"{target.id} said {status}."
            )
        headers = tuple(
            (name, value)
            for name, value in reply.headers
            if name not in _HOP_BY_HOP
        )
        body = reply.take()
        if reply.complete:
            return result.Ok(http_server.Outgoing(status, headers, body))
        rest = self._stream(connection, reply, target)
        return result.Ok(http_server.Outgoing(status, headers, body, rest))

    def _learn(
        self,
        target: directory.Target,
        reply: http_client.Reply,
        sent_at: float,
    ) -> None:
        """Takes what a target says of itself in an answer."""
        answering = reply.header(self._names.target)
        if answering not in (None, target.id.encode()):
            return
        notice = self._read_notice(reply.headers)
        if notice.load is not None:
            self._balancer.record_load(target, notice.load)
        sealed = reply.header(self._names.seal) is not None
        # Only an answer of the target's own work shows that it has no limit.
        sent_at = sent_at if sealed else -math.inf
        if self._cluster.apply_feedback(target, notice, sent_at):
            self._membership.report_soon()
        if reply.status == _TURNED_AWAY and notice.rest:
            self._cluster.record_backoff(target, notice.rest)
        for name, value in notice.unreadable:
            self._events.write(
                "targets",
                "notice_unreadable",
                target=target.id,
                header=name.decode("latin-1"),
                value=value[:_LOGGED_BYTES].decode("latin-1"),
            )

    def _has_repeat(self, call: pending.Call) -> bool:
        """Whether a target's own failure need not be the caller's answer."""
        now = self._clock.now()
        return (
            call.repeatable
            and call.sends < call.route.attempts
            and now < self._dispatcher.latest_start(call)
            and self._allowance(call.service.name).left(now) >= 1
        )

    async def _stream(
        self,
        connection: http_client.Connection,
        reply: http_client.Reply,
        target: directory.Target,
    ) -> AsyncIterator[bytes]:
        """Passes the rest of a large answer on as it comes."""
        whole = False
        try:
            while piece := await connection.wait_more(reply):
                yield piece
            whole = True
        finally:
            if whole:
                self._pool.give_back(connection, target.address)
            else:
                connection.abort()

    def _note(
        self,
        call: pending.Call,
        target: directory.Target,
        sent: Sent,
        began: float,
    ) -> None:
        """Learns from the outcome of a send."""
        now = self._clock.now()
        load = self._balancer.load(target.id)
        if isinstance(sent, result.Ok):
            self._crashes.answered(target.id)
            self._membership.answered(target.id)
            answer = sent.ok_value
            if answer.status < 500 and answer.rest is None:
                self._balancer.answered(
                    call.route.name,
                    target.id,
                    (now - began) / (call.runs or 1.0),
                    len(answer.body) + len(call.incoming.body),
                    now,
                    waited=call.waited and not call.runs,
                )
            elif answer.status >= 500:
                load.failed(now)
            self._passed(call, target, answer, now)
            return
        failure = sent.err_value
        if failure.kind is errors.ErrorKind.TARGET_REPLACED:
            self._membership.ended(target)
        elif failure.kind is errors.ErrorKind.WRONG_FENCE:
            call.rejects += 1
            if call.key is not None:
                self._membership.report_miss(
                    call.service.name, call.key, target.id
                )
            else:
                load.failed(now)
        elif failure.kind is not errors.ErrorKind.UNREACHABLE:
            load.failed(now)
        if call.key is not None and failure.kind in _CROWDED:
            self._membership.report_full_target(target.id)
        if failure.kind is errors.ErrorKind.ANSWER_LOST:
            self._crashes.lost(target.id, call.fingerprint, now)
        self._events.write(
            "requests",
            "send_failed",
            attempt=call.attempt.decode("latin-1"),
            route=call.route.name,
            key=call.key,
            target=target.id,
            kind=failure.kind.value,
            why=failure.detail,
            sends=call.sends,
            took_ms=_ms(now - began),
            left_ms=_ms(call.deadline - now),
            under_way=load.under_way(now),
        )

    # Answers.

    def _passed(
        self,
        call: pending.Call,
        target: directory.Target,
        answer: http_server.Outgoing,
        now: float,
    ) -> None:
        took = now - call.began
        self._counts["passed"] += 1
        self._metrics.record(call.route.name, "passed", took)
        self._events.write(
            "requests",
            "passed",
            attempt=call.attempt.decode("latin-1"),
            route=call.route.name,
            key=call.key,
            target=target.id,
            status=answer.status,
            sends=call.sends,
            took_ms=_ms(took),
            configuration=call.version,
            basis=call.basis,
        )

    def _refused(
        self,
        call: pending.Call | None,
        incoming: http_server.Incoming,
        failure: errors.Failure,
    ) -> http_server.Outgoing:
        if failure.answer.router_retries and not failure.retry_after:
            failure = errors.Failure(
                failure.kind, failure.detail, dispatching.SOON_SECONDS
            )
        now = self._clock.now()
        attempt = incoming.header(self._names.attempt) or b""
        took = now - incoming.at
        kind = failure.kind.value
        self._counts[kind] += 1
        route = call.route.name if call else ""
        self._metrics.record(route, kind, took)
        configuration = self._cluster.configuration
        self._events.write(
            "requests",
            "refused",
            attempt=attempt.decode("latin-1"),
            route=route,
            path=incoming.target.decode("latin-1"),
            key=call.key if call else None,
            kind=kind,
            status=failure.answer.status,
            why=failure.detail,
            sends=call.sends if call else 0,
            took_ms=_ms(took),
            retry_after=failure.wait,
            configuration=configuration.version if configuration else None,
            configuration_age=_rounded(self._cluster.configuration_age),
        )
        headers: list[tuple[bytes, bytes]] = [
            (b"content-type", b"text/plain; charset=utf-8")
        ]
        if attempt:
            headers.append((self._names.attempt, attempt))
        if failure.answer.ran is errors.Ran.NO and failure.wait:
            headers.append((b"retry-after", b"%g" % failure.wait))
        text = failure.answer.text.encode() + b"\n"
        return http_server.Outgoing(failure.answer.status, tuple(headers), text)


def _final(
    call: pending.Call, last: errors.Failure | None, found: errors.Failure
) -> errors.Failure:
    """Returns the failure that a caller hears.

    "Not run" is said only if no send may have run: a later refusal takes
    nothing back.
    """
    if call.maybe_ran and last is not None and not call.repeatable:
        return last
    return found


def _fingerprint(incoming: http_server.Incoming, key: bytes | None) -> str:
    """Returns what identifies a request that comes again."""
    caller = incoming.header(b"authorization") or b""
    path, _, query = incoming.target.decode("latin-1").partition("?")
    return quarantine.fingerprint(
        (caller + b"/" + (key or b"")).decode("latin-1"),
        incoming.method,
        path,
        query,
        incoming.body,
    )


def _is_unrouted(
    call: result.Result[pending.Call, errors.Failure],
) -> bool:
    failure = call.err()
    return failure is not None and failure.kind is errors.ErrorKind.NO_ROUTE


def _is_key(value: bytes | None) -> bool:
    return value is not None and value.isdigit() and int(value) < ranges.KEYS


def _rounded(age: float | None) -> float | None:
    return None if age is None else round(age, 3)


def _ms(seconds: float) -> int:
    return round(seconds * 1000)
