"""Brings callers' requests to targets, and the answers back."""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import math

import result

from mimosastile_core import errors
from mimosastile_core import quarantine
from mimosastile_core.gateway import admission
from mimosastile_core.gateway import allowance
from mimosastile_core.gateway import casualties
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import patience
from mimosastile_core.gateway import ranges
from mimosastile_core.gateway import room
from mimosastile_core.gateway import routes
from mimosastile_gateway import admitting
from mimosastile_gateway import beliefs
from mimosastile_gateway import clock
from mimosastile_gateway import events
from mimosastile_gateway import http_client
from mimosastile_gateway import http_server
from mimosastile_gateway import metrics
from mimosastile_gateway import peers
from mimosastile_gateway import ports
from mimosastile_gateway import settings
from mimosastile_gateway import turns

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
_POLL_SECONDS = 0.05
"""Longest wait for a turn: what other VMs have under way changes unseen."""
_OWNER_PAUSE = 0.02
"""Wait after a target has rejected a key, for news of its owner; doubles with
each rejection, so that a table that is wrong costs few repeats."""
_SOON_SECONDS = 0.15
"""Retry-After of a request that its target did not take or that did not reach
it: about one request's work, after which another slot is free, another target
is chosen or the key has an owner again."""
_LATEST_SECONDS = 5.0
"""Longest Retry-After: what is known of load does not hold for longer."""
_REJECT_STATUSES = frozenset({400, 421, 429, 503})
"""Statuses with which a target may say that it has not run a request."""
_GUESS_SHARE = 0.35
"""Share of a route's target latency that its work is guessed to take."""
_FIXED_SHARE = 0.8
_RATIO_SHARE = 0.9
"""Parts of the bound on repeats that are used; the rest covers requests that
are counted in another window than their repeats."""

Sent = result.Result[http_server.Outgoing, errors.Failure]


class _Call:
    """One request on its way."""

    __slots__ = (
        "attempt",
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
        "sends",
        "service",
        "ticket",
        "tried",
        "tried_for",
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
        self.rejects = 0
        self.maybe_ran = False
        self.waited = False
        self.tried: set[str] = set()
        self.tried_for = 0.0
        self.place: admitting.Place | None = None
        self.ticket: turns.Ticket

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.route.kind.repeatable


class Forwarding:
    """Decides for each request where it goes, how often and what it answers."""

    __slots__ = (
        "_admitting",
        "_allowances",
        "_beliefs",
        "_casualties",
        "_clock",
        "_counts",
        "_events",
        "_metrics",
        "_names",
        "_patience",
        "_peers",
        "_pool",
        "_rooms",
        "_settings",
        "_turns",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        names: ports.HeaderNames,
        pool: http_client.Pool,
        known: beliefs.Beliefs,
        rooms: room.Rooms,
        fellows: peers.Peers,
        queues: turns.Turns,
        places: admitting.Admitting,
        dead: casualties.Casualties,
        measured: metrics.Metrics,
        timer: clock.Clock,
        log: events.Events,
    ) -> None:
        self._settings = configured
        self._names = names
        self._pool = pool
        self._beliefs = known
        self._rooms = rooms
        self._peers = fellows
        self._metrics = measured
        self._clock = timer
        self._events = log
        self._turns = queues
        self._admitting = places
        self._casualties = dead
        self._patience: dict[str, patience.Patience] = {}
        self._allowances: dict[str, allowance.RetryAllowance] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        known.subscribe(self._turns.wake_all)

    def dump(self) -> dict[str, object]:
        """Returns counts of outcomes and what waits."""
        now = self._clock.now()
        return {
            "outcomes": dict(self._counts),
            "waiting": self._turns.waiting(),
            "under_way": self._rooms.own(),
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
        if isinstance(call, result.Err):
            return self._refused(None, incoming, call.err_value)
        return await self._forward(call.ok_value)

    # Reading a request.

    def _classify(
        self, incoming: http_server.Incoming
    ) -> result.Result[_Call, errors.Failure]:
        configuration = self._beliefs.configuration
        if configuration is None:
            return _failed(errors.ErrorKind.NOT_CONFIGURED)
        host = incoming.header(b"host")
        if host is None:
            return _failed(errors.ErrorKind.BAD_REQUEST, "No Host header.")
        path = incoming.target.partition(b"?")[0].decode("latin-1")
        route = self._beliefs.route_table.find(host.decode("latin-1"), path)
        if route is None:
            return _failed(errors.ErrorKind.NO_ROUTE)
        name = self._beliefs.shares.next(route)
        service = configuration.services.get(name)
        if service is None:
            return _failed(errors.ErrorKind.NO_TARGET, f"No service {name}.")
        return result.Ok(self._call(incoming, route, service))

    def _call(
        self,
        incoming: http_server.Incoming,
        route: routes.Route,
        service: routes.Service,
    ) -> _Call:
        names = self._names
        attempt = incoming.header(names.attempt) or b""
        seconds = route.timeout
        wait = incoming.header(names.deadline)
        if wait is not None and wait.isdigit():
            seconds = min(seconds, int(wait) / 1000)
        call = _Call(incoming, route, service, attempt, incoming.at + seconds)
        if wait is not None and wait.isdigit():
            known = self._patience.setdefault(route.name, patience.Patience())
            call.tried_for = known.tried_for(int(wait) / 1000)
        key = incoming.header(names.key)
        if service.keyed and _is_key(key):
            call.key = int(key or b"0")
            self._peers.asked(service.name, call.key)
        call.head = [
            name + b": " + value
            for name, value in incoming.headers
            if name not in _HOP_BY_HOP
            and name not in (names.deadline, names.expected_target)
        ]
        call.fingerprint = _fingerprint(incoming, key)
        call.ticket = self._turns.ticket(route.priority)
        self._allowance(service.name).request(self._clock.now())
        return call

    def _allowance(self, service: str) -> allowance.RetryAllowance:
        bounds = self._settings.bounds
        fixed = bounds.retry_fixed * _FIXED_SHARE / self._peers.count
        found = self._allowances.get(service)
        if found is None:
            found = self._allowances[service] = allowance.RetryAllowance(
                bounds.retry_ratio * _RATIO_SHARE, bounds.retry_window, fixed
            )
        found.set_fixed(fixed)
        return found

    # Trying.

    async def _forward(self, call: _Call) -> http_server.Outgoing:
        last: errors.Failure | None = None
        while True:
            if self._casualties.held(call.fingerprint, self._clock.now()):
                held = errors.Failure(errors.ErrorKind.HELD_BACK)
                failure = _final(call, last, held)
                return self._refused(call, call.incoming, failure)
            found = await self._find_target(call)
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
                await self._await_owner(call, found.ok_value)

    def _may_repeat(self, call: _Call, failure: errors.Failure) -> bool:
        """Whether a request is sent once more after a failure."""
        now = self._clock.now()
        ran = failure.answer.ran is not errors.Ran.NO
        call.maybe_ran = call.maybe_ran or ran
        if call.incoming.left:
            # It was not cut off, as it might have run; nobody waits for more.
            return False
        if failure.kind is errors.ErrorKind.UNREACHABLE:
            # Nothing arrived anywhere, so it is no repeat.
            return now < self._latest_start(call)
        if call.maybe_ran and not call.repeatable:
            return False
        if call.sends >= call.route.attempts and ran:
            return False
        if now >= self._latest_start(call):
            return False
        return self._allowance(call.service.name).take(now)

    def _latest_start(self, call: _Call) -> float:
        work = self._rooms.work(call.route.name, call.guess)
        return call.deadline - self._settings.requests.margin - 0.6 * work

    async def _await_owner(self, call: _Call, target: directory.Target) -> None:
        """Waits a moment for news after a target has rejected a key."""
        if call.key is None:
            return
        known = self._beliefs.owner(call.service.name, call.key)
        if known != target.id:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_OWNER_PAUSE * 2**call.rejects):
                await self._beliefs.changed.wait()

    async def _find_target(
        self, call: _Call
    ) -> result.Result[directory.Target, errors.Failure]:
        """Waits until a target has room, and takes it."""
        while True:
            now = self._clock.now()
            if call.key is not None and self._owner(call) is None:
                vacant = await self._await_any_owner(call, call.key, now)
                if vacant is not None:
                    return vacant
                continue
            entered = await self._enter(call, now)
            if entered is not None:
                return entered
            queue, choice = self._choose(call, now)
            ahead = self._turns.ahead(queue, call.ticket)
            if choice.target is not None and not ahead:
                self._rooms.load(choice.target.id).begin()
                return result.Ok(choice.target)
            left = self._latest_start(call) - now
            seconds = min(choice.seconds, 1e6)
            if left <= 0 or seconds * (ahead + 1) > left:
                return self._no_room(call, choice, ahead)
            await self._turns.wait(queue, call.ticket, min(left, _POLL_SECONDS))

    async def _await_any_owner(
        self, call: _Call, key: int, now: float
    ) -> result.Err[errors.Failure] | None:
        """Waits for news of a key that nobody owns.

        Returns:
            The refusal, if none will own it in time.
        """
        left = self._latest_start(call) - now
        seconds = self._beliefs.seconds_without_owner(call.service.name, key)
        if seconds >= left:
            wait = max(seconds, _SOON_SECONDS)
            kind = errors.ErrorKind.NO_OWNER
            return result.Err(errors.Failure(kind, retry_after=wait))
        await clock.wait(self._beliefs.changed, min(left, _POLL_SECONDS))
        return None

    async def _enter(
        self, call: _Call, now: float
    ) -> result.Result[directory.Target, errors.Failure] | None:
        """Asks the gate of a contended target for a place.

        Returns:
            The target or why there is no place; None if it has no gate that
            answers, or the key has got another owner meanwhile.
        """
        target = self._owner(call) if call.key is not None else None
        gate = self._rooms.gate(target.id, now) if target else None
        if target is None or gate is None:
            return None
        entering = asyncio.ensure_future(
            self._admitting.enter(
                gate,
                target.id,
                call.route.priority,
                call.began + call.route.target_latency - call.tried_for - now,
                call.deadline - self._settings.requests.margin - now,
                self._rooms.work(call.route.name, call.guess),
                self._rooms.load(target.id).own,
            )
        )
        if await self._until_moved(call, target, entering):
            return None
        entered = entering.result()
        if entered is None:
            self._rooms.gate_silent(gate, self._clock.now())
            return None
        if isinstance(entered, admitting.Place):
            call.place = entered
            self._rooms.load(target.id).begin()
            return result.Ok(target)
        self._peers.turned_away(target.id)
        least = self._settings.requests.retry_after_least
        return result.Err(
            errors.Failure(
                errors.ErrorKind.OVERLOADED,
                retry_after=max(entered.seconds, least),
            )
        )

    async def _until_moved(
        self,
        call: _Call,
        target: directory.Target,
        entering: asyncio.Future[admitting.Place | admission.Refusal | None],
    ) -> bool:
        """Waits for a gate's decision, unless the key goes elsewhere first.

        Returns:
            Whether it does; the request has then left the gate's queue.
        """
        try:
            while not entering.done():
                changed = asyncio.ensure_future(self._beliefs.changed.wait())
                try:
                    await asyncio.wait(
                        (entering, changed),
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                finally:
                    changed.cancel()
                if entering.done():
                    return False
                owner = self._owner(call)
                if owner is None or owner.id != target.id:
                    return True
            return False
        finally:
            if not entering.done():
                entering.cancel()

    def _no_room(
        self, call: _Call, choice: room.Choice, ahead: int
    ) -> result.Err[errors.Failure]:
        """Refuses a request for which there will be no room in time."""
        kind = errors.ErrorKind.OVERLOADED
        owner = self._owner(call) if call.key is not None else None
        if owner is not None:
            self._peers.turned_away(owner.id)
        wait = min(choice.seconds * (ahead + 1), _LATEST_SECONDS)
        wait = max(wait, self._settings.requests.retry_after_least)
        return result.Err(errors.Failure(kind, retry_after=wait))

    def _choose(self, call: _Call, now: float) -> tuple[str, room.Choice]:
        """Returns the queue to wait in and what was found."""
        service = call.service
        if call.key is not None:
            target = self._owner(call)
            if target is None:
                return service.name, room.Choice(None, 0.0)
            if self._rooms.full_owner(target, self._peers.count, now):
                seconds = self._rooms.turn_seconds(
                    target, call.route.name, call.guess
                )
                return target.id, room.Choice(None, seconds)
            return target.id, room.Choice(target, 0.0)
        candidates = self._candidates(call, now)
        if not candidates:
            return service.name, room.Choice(None, 0.2)
        choice = self._rooms.choose(
            candidates,
            call.route.name,
            call.guess,
            self._most_own(service),
            self._peers.count,
            now,
            self._clock.random(),
            call.route.target_latency or math.inf,
        )
        return service.name, choice

    def _candidates(self, call: _Call, now: float) -> list[directory.Target]:
        service = call.service.name
        usable = self._beliefs.directory.usable(service, now)
        if call.service.keyed:
            # A target without keys runs nothing.
            assignment = self._beliefs.assignments.get(service)
            owners = set(assignment.owners) if assignment else set()
            usable = [t for t in usable if t.id in owners]
        fresh = [t for t in usable if t.id not in call.tried]
        return fresh or usable

    def _owner(self, call: _Call) -> directory.Target | None:
        assert call.key is not None
        owner = self._beliefs.owner(call.service.name, call.key)
        if owner is None:
            return None
        known = self._beliefs.directory
        entry = known.get(owner)
        if entry is None or not known.may_get_work(owner, self._clock.now()):
            return None
        return entry.target

    def _most_own(self, service: routes.Service) -> int:
        """Returns how many requests this VM may have at one target."""
        share = service.connections / self._peers.count
        most = share * self._settings.requests.own_connections
        return max(2, int(most))

    # Sending.

    async def _send(self, call: _Call, target: directory.Target) -> Sent:
        began = self._clock.now()
        call.tried.add(target.id)
        load = self._rooms.load(target.id)
        call.waited = load.under_way(began) > target.slots
        sends = call.sends
        sent: Sent
        try:
            async with asyncio.timeout_at(
                call.deadline - self._settings.requests.margin
            ):
                sent = await self._exchange(call, target)
        except TimeoutError:
            sent = self._late(call, target, sends)
        finally:
            load.end()
            place, call.place = call.place, None
            if place is not None:
                self._admitting.give_back(place)
            self._turns.next(target.id)
            self._turns.next(target.service)
        self._note(call, target, sent, began)
        return sent

    def _late(self, call: _Call, target: directory.Target, sends: int) -> Sent:
        """Says what a request is whose time ran out at a target."""
        if call.sends == sends:
            # It was still waiting for a connection.
            self._unreachable(target)
            return _failed(
                errors.ErrorKind.QUEUE_TIMEOUT, f"{target.id}: no connection."
            )
        return _failed(
            errors.ErrorKind.DEADLINE, f"{target.id} did not answer."
        )

    def _unreachable(self, target: directory.Target) -> None:
        """Notes that a target takes no connection."""
        now = self._clock.now()
        self._rooms.load(target.id).unreachable(now)
        deaths = self._casualties.unreachable(
            target.id, now, self._clock.new_id()
        )
        if deaths:
            self._peers.died(deaths)
            self._events.write(
                "requests",
                "target_died",
                target=target.id,
                requests=[death.fingerprint for death in deaths],
            )

    async def _exchange(self, call: _Call, target: directory.Target) -> Sent:
        configured = self._settings.requests
        idle = configured.idle if call.repeatable else configured.idle_careful
        try:
            connection = await self._pool.connect(
                target.address, idle, configured.connect
            )
        except http_client.NotSentError as error:
            self._unreachable(target)
            return _failed(errors.ErrorKind.UNREACHABLE, str(error))
        whole = False
        try:
            reply = connection.start(
                self._request(call, target),
                (self._names.attempt, call.attempt),
                no_body=call.incoming.method == "HEAD",
            )
            call.sends += 1
            if not call.repeatable:
                call.incoming.cancellable = False
            await connection.wait_whole(reply, configured.buffer_bytes)
            whole = reply.complete
            answer = self._answer(call, target, connection, reply)
            whole = whole or answer.is_ok()
            return answer
        except http_client.NotSentError as error:
            return _failed(errors.ErrorKind.UNREACHABLE, str(error))
        except http_client.AnswerLostError as error:
            return _failed(errors.ErrorKind.ANSWER_LOST, str(error))
        finally:
            call.incoming.cancellable = True
            if not whole:
                connection.abort()
            elif reply.complete:
                self._pool.give_back(connection, target.address)

    def _request(self, call: _Call, target: directory.Target) -> bytes:
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
        call: _Call,
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
                return _failed(
                    errors.ErrorKind.TARGET_REPLACED,
                    f"{target.address} is {answering!r}, not {target.id}.",
                )
            if status == 421:
                return _failed(
                    errors.ErrorKind.WRONG_FENCE, f"{target.id} said 421."
                )
            return _failed(
                errors.ErrorKind.REJECTED, f"{target.id} said {status}."
            )
        if 200 <= status < 300 and reply.header(names.seal) is None:
            return _failed(
                errors.ErrorKind.ANSWER_BROKEN, f"{target.id}: no signature."
            )
        if status >= 500 and reply.complete and self._has_repeat(call):
            return _failed(
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

    def _has_repeat(self, call: _Call) -> bool:
        """Whether a target's own failure need not be the caller's answer."""
        now = self._clock.now()
        return (
            call.repeatable
            and call.sends < call.route.attempts
            and now < self._latest_start(call)
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
        self, call: _Call, target: directory.Target, sent: Sent, began: float
    ) -> None:
        """Learns from the outcome of a send."""
        now = self._clock.now()
        load = self._rooms.load(target.id)
        if isinstance(sent, result.Ok):
            self._casualties.answered(target.id)
            self._peers.answered(target.id)
            answer = sent.ok_value
            if answer.status < 500 and answer.rest is None:
                self._rooms.answered(
                    call.route.name,
                    target.id,
                    now - began,
                    len(answer.body) + len(call.incoming.body),
                    now,
                    waited=call.waited,
                )
            elif answer.status >= 500:
                load.failed(now)
            self._passed(call, target, answer, now)
            return
        failure = sent.err_value
        if failure.kind is errors.ErrorKind.TARGET_REPLACED:
            self._peers.ended(target)
        elif failure.kind is errors.ErrorKind.WRONG_FENCE:
            call.rejects += 1
            if call.key is not None:
                self._peers.missed(call.service.name, call.key, target.id)
            else:
                load.failed(now)
        elif failure.kind is not errors.ErrorKind.UNREACHABLE:
            load.failed(now)
        if failure.kind is errors.ErrorKind.ANSWER_LOST:
            self._casualties.lost(target.id, call.fingerprint, now)
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
        call: _Call,
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
        )

    def _refused(
        self,
        call: _Call | None,
        incoming: http_server.Incoming,
        failure: errors.Failure,
    ) -> http_server.Outgoing:
        if failure.answer.router_retries and not failure.retry_after:
            failure = errors.Failure(
                failure.kind, failure.detail, _SOON_SECONDS
            )
        now = self._clock.now()
        attempt = incoming.header(self._names.attempt) or b""
        took = now - incoming.at
        kind = failure.kind.value
        self._counts[kind] += 1
        route = call.route.name if call else ""
        self._metrics.record(route, kind, took)
        configuration = self._beliefs.configuration
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
    call: _Call, last: errors.Failure | None, found: errors.Failure
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


def _is_key(value: bytes | None) -> bool:
    return value is not None and value.isdigit() and int(value) < ranges.KEYS


def _ms(seconds: float) -> int:
    return round(seconds * 1000)


def _failed(
    kind: errors.ErrorKind, detail: str = ""
) -> result.Err[errors.Failure]:
    return result.Err(errors.Failure(kind, detail))
