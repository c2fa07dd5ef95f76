"""Where a request goes now, how long it waits for that, or why it cannot."""

import asyncio
import contextlib
import math

import result

from mimosastile_core import errors
from mimosastile_core.gateway import admission
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import routes
from mimosastile_gateway import admission_service
from mimosastile_gateway import candidates
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import load_probing
from mimosastile_gateway import membership
from mimosastile_gateway import pending
from mimosastile_gateway import settings
from mimosastile_gateway import wait_queues

_POLL_SECONDS = 0.05
"""Longest wait for a turn: what other VMs have under way changes unseen."""
_GATE_POLL_SECONDS = 0.5
"""Longest wait for a gate before a request's deadline is looked at again: it
comes sooner when this VM stops."""
_TICK_SECONDS = 0.001
"""Shortest wait; one below the clock's resolution would spin."""
_UNREACHABLE_PAUSE = 0.05
_UNREACHABLE_PAUSE_MOST = 0.4
"""Waits after the only target for a key took no connection; doubles. A target
that has died is replaced within seconds, a full one takes the next connection
when a request ends."""
_OWNER_PAUSE = 0.02
"""Wait after a target has rejected a key, for news of its owner; doubles with
each rejection, so that a table that is wrong costs few repeats."""
SOON_SECONDS = 0.15
"""Retry-After of a request that its target did not take or that did not reach
it: about one request's work, after which another slot is free, another target
is chosen or the key has an owner again."""
_LATEST_SECONDS = 5.0
"""Longest Retry-After of a target without gate: what is known of its load does
not hold for longer."""
_ROUNDS = 2
"""Samples of targets that are compared before a request waits."""
_COMPARE_SECONDS = 0.15
"""Shortest wait between two comparisons for one request."""
_SPREAD = 0.5
"""Part of a Retry-After by which it differs between callers."""
_NO_TARGET_SECONDS = 0.2
"""Time within which a service without any target may get one."""
_RELIEF_SECONDS = 1.0
"""Retry-After of a request that did not fit into its owner's limit, or whose
owner wants nothing from this VM: by then keys have moved."""
_MOVE_SECONDS = 0.3
"""Time in which the keys of a cold target move to a warm one."""
_LEAST_WORK = 0.6
"""Part of a request's mean work for which it is still worth sending."""

_Entering = asyncio.Future[admission_service.Permit | admission.Refusal | None]


class Dispatcher:
    """Finds targets for requests, and has requests wait for them."""

    __slots__ = (
        "_admission",
        "_cluster",
        "_candidates",
        "_clock",
        "_membership",
        "_prober",
        "_balancer",
        "_settings",
        "_queues",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        known: cluster_state.ClusterState,
        balancer: load_balancing.LoadBalancer,
        own_membership: membership.Membership,
        queues: wait_queues.WaitQueues,
        admission: admission_service.AdmissionService,
        timer: clock.Clock,
        probes: load_probing.LoadProber,
    ) -> None:
        self._settings = configured
        self._cluster = known
        self._balancer = balancer
        self._membership = own_membership
        self._queues = queues
        self._admission = admission
        self._candidates = candidates.Candidates(
            configured,
            known,
            balancer,
            admission,
            timer,
            lambda: own_membership.count,
        )
        self._clock = timer
        self._prober = probes
        known.subscribe(queues.wake_all)

    def waiting(self) -> dict[str, int]:
        """Returns the requests that wait in this VM, by queue."""
        return self._queues.waiting()

    def ticket(self, priority: int) -> wait_queues.Ticket:
        """Returns a turn for a new request.

        Args:
            priority: Its rank; 0 is the most urgent.
        """
        return self._queues.ticket(priority)

    def latest_start(self, call: pending.Call) -> float:
        """Returns the time after which a request is not worth sending."""
        work = self._balancer.work(call.route.name, call.guess)
        margin = self._settings.requests.margin
        return call.deadline - margin - _LEAST_WORK * work

    def leave(self, call: pending.Call, target: directory.Target) -> None:
        """Gives back what a request had at a target; others are next."""
        self._balancer.load(target.id).end()
        place, call.place = call.place, None
        if place is not None:
            self._admission.give_back(place, answered=call.answered)
        self._queues.next(target.id)
        self._queues.next(target.service)

    async def await_owner(
        self, call: pending.Call, target: directory.Target
    ) -> None:
        """Waits a moment for news after a target has rejected a key."""
        if call.key is None:
            return
        known = self._cluster.owner(call.service.name, call.key)
        if known != target.id:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_OWNER_PAUSE * 2**call.rejects):
                await self._cluster.changed.wait()

    async def await_reachable(
        self, call: pending.Call, target: directory.Target
    ) -> None:
        """Waits for news of the only target for a key that is unreachable."""
        if call.key is None or self._candidates.owner(call) is not target:
            return
        pause = _UNREACHABLE_PAUSE * 2.0 ** min(call.unreachable, 8)
        call.unreachable += 1
        ends = self._clock.now() + min(pause, _UNREACHABLE_PAUSE_MOST)
        ends = min(ends, self.latest_start(call))
        while self._candidates.owner(call) is target:
            left = ends - self._clock.now()
            if left < _TICK_SECONDS:
                return
            await clock.wait(self._cluster.changed, left)

    async def find(
        self, call: pending.Call
    ) -> result.Result[directory.Target, errors.Failure]:
        """Waits until a target has room, and takes it.

        Whoever calls this gives the room back with `leave`.

        Returns:
            The target, or why there is none in time.
        """
        while True:
            found = await self._try(call)
            if found is not None:
                return found

    async def _try(
        self, call: pending.Call
    ) -> result.Result[directory.Target, errors.Failure] | None:
        """Looks for a target once, and waits if there is none.

        Returns:
            The target, or why there is none in time; None to look again.
        """
        now = self._clock.now()
        excluded = self._candidates.excluded(call, now)
        if excluded is not None:
            return excluded
        if call.key is not None and self._candidates.owner(call) is None:
            return await self._await_any_owner(call, call.key, now)
        entered = await self._enter(call, now)
        if entered is not None:
            return entered
        if self._compares(call):
            compared = await self._compare(call)
            if isinstance(compared, result.Ok):
                return result.Ok(self._begin(call, compared.ok_value))
            return await self._await_room(call, compared.err_value)
        call.runs = 0.0
        queue, choice = self._choose(call, now)
        ahead = self._queues.ahead(queue, call.ticket)
        if choice.target is not None and not ahead:
            return result.Ok(self._begin(call, choice.target))
        left = self.latest_start(call) - now
        seconds = min(choice.seconds, 1e6)
        if max(seconds * (ahead + 1), _TICK_SECONDS) > left:
            return self._no_room(call, choice, ahead)
        await self._queues.wait(queue, call.ticket, min(left, _POLL_SECONDS))
        return None

    def _compares(self, call: pending.Call) -> bool:
        """Whether a request's targets are asked for their load."""
        return (
            call.key is None
            and not call.service.keyed
            and self._balancer.policy.probes > 0
            and self._balancer.reports_load(call.service.name)
        )

    async def _compare(
        self, call: pending.Call
    ) -> result.Result[directory.Target, float]:
        """Compares the present load of a few targets.

        Returns:
            The best of them; the seconds until one may have room if none has.
        """
        soonest = _NO_TARGET_SECONDS
        asked: set[str] = set()
        for _ in range(_ROUNDS):
            drawn = self._candidates.draw(call, asked)
            asked.update(target.id for target in drawn)
            said = await self._prober.ask(drawn, call.service)
            now = self._clock.now()
            # What is known of them may have changed meanwhile.
            eligible = {t.id for t in self._candidates.eligible(call, now)}
            choice = self._balancer.compare(
                (t for t in said if t.id in eligible),
                call.route.name,
                call.guess,
                self._most_own(call.service),
                now,
                self._on_time_left(call, now),
                call.deadline - self._settings.requests.margin - now,
                call.route.target_latency or math.inf,
            )
            if choice.target is not None:
                call.runs = choice.runs
                return result.Ok(choice.target)
            soonest = min(soonest, choice.seconds)
        return result.Err(soonest)

    async def _await_room(
        self, call: pending.Call, seconds: float
    ) -> result.Err[errors.Failure] | None:
        """Waits before targets are compared again that had no room.

        While they are full, a request that would be answered late takes the
        place of one that would not.

        Args:
            call: The request.
            seconds: Time until one of them may have room.

        Returns:
            The refusal, if waiting is of no use.
        """
        now = self._clock.now()
        work = self._balancer.work(call.route.name, call.guess)
        left = min(
            self.latest_start(call) - now,
            self._on_time_left(call, now) - work,
        )
        if left < seconds:
            wait = max(seconds, self._settings.requests.retry_after_least)
            wait *= 1 + _SPREAD * self._clock.random()
            kind = errors.ErrorKind.OVERLOADED
            return result.Err(errors.Failure(kind, retry_after=wait))
        await asyncio.sleep(min(left, max(seconds, _COMPARE_SECONDS)))
        return None

    def _begin(
        self, call: pending.Call, target: directory.Target
    ) -> directory.Target:
        """Notes a request that is sent to a target."""
        self._balancer.load(target.id).begin()
        self._candidates.sent(target, admitted=call.place is not None)
        return target

    async def _await_any_owner(
        self, call: pending.Call, key: int, now: float
    ) -> result.Err[errors.Failure] | None:
        """Waits for news of a key that nobody owns.

        Returns:
            The refusal, if none will own it in time.
        """
        left = self.latest_start(call) - now
        seconds = self._cluster.seconds_without_owner(call.service.name, key)
        if max(seconds, _TICK_SECONDS) >= left:
            wait = max(seconds, SOON_SECONDS)
            kind = errors.ErrorKind.NO_OWNER
            return result.Err(errors.Failure(kind, retry_after=wait))
        await clock.wait(self._cluster.changed, min(left, _POLL_SECONDS))
        return None

    async def _enter(
        self, call: pending.Call, now: float
    ) -> result.Result[directory.Target, errors.Failure] | None:
        """Asks the gate of a contended or limited target for a place.

        Returns:
            The target or why there is no place; None if it has no gate that
            answers, or the request goes elsewhere meanwhile.
        """
        target = self._gated(call)
        gate = self._balancer.gate(target.id, now) if target else None
        if target is None or gate is None:
            return None
        if self._closed(target):
            return None
        entering = asyncio.ensure_future(
            self._admission.enter(
                gate,
                target.id,
                call.route.priority,
                self._on_time_left(call, now),
                call.deadline - self._settings.requests.margin - now,
                self._balancer.work(call.route.name, call.guess),
                self._balancer.load(target.id).own,
            )
        )
        try:
            moved = await self._until_moved(call, target, entering)
        except asyncio.CancelledError:
            self._abandon(entering)
            raise
        if moved:
            self._abandon(entering)
            return None
        entered = entering.result()
        if entered is None:
            self._balancer.record_silent_gate(gate, self._clock.now())
            return None
        if isinstance(entered, admission_service.Permit):
            if not self._may_get(call, target) or self._closed(target):
                # It has left, become cold or asked for a rest, or its time to
                # get work has passed meanwhile.
                self._admission.give_back(entered, answered=False)
                return None
            call.place = entered
            return result.Ok(self._begin(call, target))
        self._membership.report_full_target(target.id)
        wait = self._relieved(call, target, entered.seconds)
        wait = max(wait, self._settings.requests.retry_after_least)
        kind = errors.ErrorKind.OVERLOADED
        return result.Err(errors.Failure(kind, retry_after=wait))

    def _closed(self, target: directory.Target) -> bool:
        """Whether a target gets nothing that its gate admits.

        The rate of a cold one is bounded, and places are not; one that rests
        wants nothing from this VM.
        """
        cold = self._cluster.cold_seconds(target.id)
        return cold > 0 or self._candidates.rest_wait(target) > 0

    def _gated(self, call: pending.Call) -> directory.Target | None:
        """Returns the target that a request has to go to, if there is one."""
        if call.key is not None:
            return self._candidates.owner(call)
        return self._candidates.only_limited(call)

    def _may_get(self, call: pending.Call, target: directory.Target) -> bool:
        """Whether a target may still get a request that has waited for it."""
        if call.key is not None:
            return self._candidates.owner(call) is target
        known = self._cluster.directory
        return known.may_get_work(target.id, self._clock.now())

    def _relieved(
        self, call: pending.Call, target: directory.Target, seconds: float
    ) -> float:
        """Returns when a request can be expected to be run after a refusal.

        Args:
            call: The request.
            target: Where it was to go.
            seconds: Time until there may be room for it.
        """
        if self._candidates.rest_wait(target):
            # Another VM may be welcome, and keys move.
            return min(seconds, _RELIEF_SECONDS)
        if self._cluster.limits.pace(target.id, target.born) is None:
            return seconds
        if call.key is not None and self._is_relieved(call.service):
            return min(seconds, _RELIEF_SECONDS)
        return min(seconds, _LATEST_SECONDS)

    def _is_relieved(self, service: routes.Service) -> bool:
        """Whether keys that do not fit into a limit can move."""
        assignment = self._cluster.assignments.get(service.name)
        owners = assignment.owners if assignment else ()
        limited = self._cluster.limited_targets()
        return self._cluster.store_ok and not set(limited).issuperset(owners)

    def _on_time_left(self, call: pending.Call, now: float) -> float:
        """Returns the seconds within which an answer is on time."""
        latency = call.route.target_latency
        if not latency:
            return call.deadline - now
        return call.began + latency - call.tried_for - now

    def _abandon(self, entering: _Entering) -> None:
        """Leaves a gate's queue, or gives back a place that just came."""
        if not entering.done():
            entering.cancel()
        elif not entering.cancelled():
            entered = entering.result()
            if isinstance(entered, admission_service.Permit):
                self._admission.give_back(entered, answered=False)

    async def _until_moved(
        self,
        call: pending.Call,
        target: directory.Target,
        entering: _Entering,
    ) -> bool:
        """Waits for a gate's decision, unless the key goes elsewhere first.

        Returns:
            Whether it does, or the request's time is over.
        """
        while not entering.done():
            left = call.deadline - self._clock.now()
            if left < _TICK_SECONDS:
                return True
            changed = asyncio.ensure_future(self._cluster.changed.wait())
            try:
                done, _ = await asyncio.wait(
                    (entering, changed),
                    timeout=min(left, _GATE_POLL_SECONDS),
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                changed.cancel()
            if not done:
                continue
            if not entering.done() and not self._may_get(call, target):
                return True
        return False

    def _no_room(
        self, call: pending.Call, choice: load_balancing.Choice, ahead: int
    ) -> result.Err[errors.Failure]:
        """Refuses a request for which there will be no room in time."""
        kind = errors.ErrorKind.OVERLOADED
        owner = self._candidates.owner(call) if call.key is not None else None
        if owner is not None:
            self._membership.report_full_target(owner.id)
        wait = min(choice.seconds * (ahead + 1), _LATEST_SECONDS)
        if owner is not None:
            wait = self._relieved(call, owner, wait)
        wait = max(wait, self._settings.requests.retry_after_least)
        return result.Err(errors.Failure(kind, retry_after=wait))

    def _choose(
        self, call: pending.Call, now: float
    ) -> tuple[str, load_balancing.Choice]:
        """Returns the queue to wait in and what was found."""
        service = call.service
        if call.key is not None:
            target = self._candidates.owner(call)
            if target is None:
                return service.name, load_balancing.Choice(None, 0.0)
            wait = self._candidates.send_wait(target, call)
            if self._cluster.cold_seconds(target.id):
                wait = min(wait, _MOVE_SECONDS)
            if wait:
                return target.id, load_balancing.Choice(None, wait)
            if self._balancer.full_owner(target, self._membership.count, now):
                self._membership.report_soon()
                seconds = self._balancer.turn_seconds(
                    target, call.route.name, call.guess
                )
                return target.id, load_balancing.Choice(None, seconds)
            return target.id, load_balancing.Choice(target, 0.0)
        eligible = self._candidates.untried(call, now)
        waits = {t.id: self._candidates.send_wait(t, call) for t in eligible}
        candidates = [t for t in eligible if not waits[t.id]]
        if not candidates:
            soonest = min(waits.values(), default=_NO_TARGET_SECONDS)
            return service.name, load_balancing.Choice(None, soonest)
        choice = self._balancer.choose(
            candidates,
            call.route.name,
            call.guess,
            self._most_own(service),
            self._membership.count,
            now,
            self._clock.random(),
            call.route.target_latency or math.inf,
        )
        return service.name, choice

    def _most_own(self, service: routes.Service) -> int:
        """Returns how many requests this VM may have at one target."""
        share = service.connections / self._membership.count
        most = share * self._settings.requests.own_connections
        return max(2, int(most))
