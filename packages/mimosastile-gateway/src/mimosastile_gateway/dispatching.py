"""Dispatches requests to targets, with queueing, admission and refusal."""

import asyncio
from collections.abc import Callable
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

_QUEUE_POLL_SECONDS = 0.05
"""Longest wait in a queue before the target is checked again: requests of other
VMs start and end without this VM being notified."""
_GATE_POLL_SECONDS = 0.5
"""Longest wait for a gate before a request's deadline is checked again: the
deadline moves forward when this VM stops."""
_MIN_WAIT_SECONDS = 0.001
"""Shortest wait; one below the clock's resolution would busy-loop."""
_UNREACHABLE_BACKOFF_SECONDS = 0.05
_MAX_UNREACHABLE_BACKOFF_SECONDS = 0.4
"""Backoff after the only target for a key accepted no connection; doubles each
time. A crashed target is replaced within seconds; a full one accepts the next
connection when a request ends."""
_OWNER_CHANGE_WAIT_SECONDS = 0.02
"""Wait for an update of a key's owner after a target has rejected the key. It
doubles with each rejection, so that a wrong table costs few retries."""
REROUTE_RETRY_AFTER_SECONDS = 0.15
"""Retry-After of a request that its target rejected or that did not reach it:
about the work of one request. After that another slot is free, another target
is chosen or the key has an owner again."""
_MAX_RETRY_AFTER_SECONDS = 5.0
"""Longest Retry-After for a target without a gate: what this VM has recorded of
its load is not valid for longer."""
_PROBE_ROUNDS = 2
"""Samples of targets that are probed before a request waits."""
_MIN_PROBE_INTERVAL_SECONDS = 0.15
"""Shortest time between two probe rounds of one request."""
_RETRY_AFTER_JITTER = 0.5
"""Jitter between callers, as a share of the Retry-After."""
_NEW_TARGET_WAIT_SECONDS = 0.2
"""Time within which a service without targets may get one."""
_REBALANCE_RETRY_AFTER_SECONDS = 1.0
"""Retry-After of a request that did not fit into the limit of its key's owner,
or whose owner has asked this VM to back off: by then keys have moved."""
_COLD_KEY_MOVE_SECONDS = 0.3
"""Time in which the keys of a cold target move to a warm one."""
_MIN_WORK_SHARE = 0.6
"""Smallest share of a request's mean work that must fit before its deadline for
it to be sent."""

_PermitFuture = asyncio.Future[
    admission_service.Permit | admission.Refusal | None
]


class Dispatcher:
    """Chooses targets for requests and queues requests until one is free."""

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
        gateway_settings: settings.GatewaySettings,
        cluster: cluster_state.ClusterState,
        balancer: load_balancing.LoadBalancer,
        own_membership: membership.Membership,
        queues: wait_queues.WaitQueues,
        admission: admission_service.AdmissionService,
        timer: clock.Clock,
        prober: load_probing.LoadProber,
    ) -> None:
        self._settings = gateway_settings
        self._cluster = cluster
        self._balancer = balancer
        self._membership = own_membership
        self._queues = queues
        self._admission = admission
        self._candidates = candidates.Candidates(
            gateway_settings,
            cluster,
            balancer,
            admission,
            timer,
            lambda: own_membership.count,
        )
        self._clock = timer
        self._prober = prober
        cluster.subscribe(queues.wake_all)

    def queue_lengths(self) -> dict[str, int]:
        """Returns the number of requests waiting in this VM, by queue."""
        return self._queues.lengths()

    def ticket(self, priority: int) -> wait_queues.Ticket:
        """Returns a wait queue ticket for a new request.

        Args:
            priority: The request's priority; 0 is the most urgent.
        """
        return self._queues.ticket(priority)

    def latest_start(self, call: pending.Call) -> float:
        """Returns the time after which a request is not worth sending."""
        work = self._balancer.work(call.route.name, call.work_estimate)
        margin = self._settings.requests.margin
        return call.deadline - margin - _MIN_WORK_SHARE * work

    def finish(self, call: pending.Call, target: directory.Target) -> None:
        """Releases a request's slot and permit, and wakes waiting ones."""
        self._balancer.load(target.id).end()
        permit, call.permit = call.permit, None
        if permit is not None:
            self._admission.return_permit(permit, answered=call.answered)
        self._queues.wake_next(target.id)
        self._queues.wake_next(target.service)

    async def await_owner_change(
        self, call: pending.Call, target: directory.Target
    ) -> None:
        """Waits briefly for an owner update after a target rejected a key."""
        if call.key is None:
            return
        owner = self._cluster.owner(call.service.name, call.key)
        if owner != target.id:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                _OWNER_CHANGE_WAIT_SECONDS * 2**call.reject_count
            ):
                await self._cluster.changed.wait()

    async def await_reachable(
        self, call: pending.Call, target: directory.Target
    ) -> None:
        """Backs off while the only target for a key is unreachable.

        Returns early if the key gets another owner.
        """
        if call.key is None or self._candidates.owner(call) is not target:
            return
        backoff = _UNREACHABLE_BACKOFF_SECONDS * 2.0 ** min(
            call.unreachable_count, 8
        )
        call.unreachable_count += 1
        ends_at = self._clock.now() + min(
            backoff, _MAX_UNREACHABLE_BACKOFF_SECONDS
        )
        ends_at = min(ends_at, self.latest_start(call))
        while self._candidates.owner(call) is target:
            left = ends_at - self._clock.now()
            if left < _MIN_WAIT_SECONDS:
                return
            await clock.wait(self._cluster.changed, left)

    async def acquire_target(
        self,
        call: pending.Call,
        gives_up: Callable[[pending.Call], bool] | None = None,
    ) -> result.Result[directory.Target, errors.Failure] | None:
        """Waits until a target has a free slot, and takes it.

        The caller gives the slot back with `finish`.

        Args:
            call: The request.
            gives_up: Whether a request should no longer wait; None if all
                should.

        Returns:
            The target, or the reason why none is free in time; None if the wait
            was given up.
        """
        while True:
            acquired = await self._try_acquire(call)
            if acquired is not None:
                return acquired
            if gives_up is not None and gives_up(call):
                return None

    async def _try_acquire(
        self, call: pending.Call
    ) -> result.Result[directory.Target, errors.Failure] | None:
        """Looks for a free target once, and waits if there is none.

        Returns:
            The target, or the reason why none is free in time; None to try
            again.
        """
        now = self._clock.now()
        exclusion = self._candidates.exclusion_failure(call, now)
        if exclusion is not None:
            return exclusion
        if call.key is not None and self._candidates.owner(call) is None:
            return await self._await_any_owner(call, call.key, now)
        admitted = await self._acquire_permit(call, now)
        if admitted is not None:
            return admitted
        if self._uses_probes(call):
            probed = await self._probe_candidates(call)
            if isinstance(probed, result.Ok):
                return result.Ok(self._record_send(call, probed.ok_value))
            return await self._await_capacity(call, probed.err_value)
        call.expected_runs = 0.0
        queue, choice = self._choose(call, now)
        ahead = self._queues.count_ahead(queue, call.ticket)
        if choice.target is not None and not ahead:
            return result.Ok(self._record_send(call, choice.target))
        left = self.latest_start(call) - now
        seconds = min(choice.seconds, 1e6)
        if max(seconds * (ahead + 1), _MIN_WAIT_SECONDS) > left:
            return self._refuse_overloaded(call, choice, ahead)
        await self._queues.wait(
            queue, call.ticket, min(left, _QUEUE_POLL_SECONDS)
        )
        return None

    def _uses_probes(self, call: pending.Call) -> bool:
        """Whether targets are probed for their load before this request."""
        return (
            call.key is None
            and not call.service.keyed
            and self._balancer.policy.probes > 0
            and self._balancer.reports_load(call.service.name)
        )

    async def _probe_candidates(
        self, call: pending.Call
    ) -> result.Result[directory.Target, float]:
        """Probes a few targets and compares their current load.

        Returns:
            The best target; if none is free, the seconds until one may be.
        """
        soonest = _NEW_TARGET_WAIT_SECONDS
        probed_ids: set[str] = set()
        for _ in range(_PROBE_ROUNDS):
            sampled = self._candidates.sample(call, probed_ids)
            probed_ids.update(target.id for target in sampled)
            responded = await self._prober.probe(sampled, call.service)
            now = self._clock.now()
            # The state of the targets may have changed during the probes.
            eligible = {t.id for t in self._candidates.eligible(call, now)}
            choice = self._balancer.compare(
                (t for t in responded if t.id in eligible),
                call.route.name,
                call.work_estimate,
                self._max_own_requests(call.service),
                now,
                self._on_time_left(call, now),
                call.deadline - self._settings.requests.margin - now,
                call.route.target_latency or math.inf,
            )
            if choice.target is not None:
                call.expected_runs = choice.service_times
                return result.Ok(choice.target)
            soonest = min(soonest, choice.seconds)
        return result.Err(soonest)

    async def _await_capacity(
        self, call: pending.Call, seconds: float
    ) -> result.Err[errors.Failure] | None:
        """Waits before probing again, after all probed targets were full.

        A request that would get its response late is refused at once: while the
        targets are full it would take the slot of a request that can still be
        on time.

        Args:
            call: The request.
            seconds: Time until one of the targets may be free.

        Returns:
            The refusal, if waiting is of no use.
        """
        now = self._clock.now()
        work = self._balancer.work(call.route.name, call.work_estimate)
        left = min(
            self.latest_start(call) - now,
            self._on_time_left(call, now) - work,
        )
        if left < seconds:
            wait = max(seconds, self._settings.requests.retry_after_least)
            wait *= 1 + _RETRY_AFTER_JITTER * self._clock.random()
            kind = errors.ErrorKind.OVERLOADED
            return result.Err(errors.Failure(kind, retry_after=wait))
        await asyncio.sleep(
            min(left, max(seconds, _MIN_PROBE_INTERVAL_SECONDS))
        )
        return None

    def _record_send(
        self, call: pending.Call, target: directory.Target
    ) -> directory.Target:
        """Records that a request is sent to a target."""
        self._balancer.load(target.id).begin()
        self._candidates.record_send(target, admitted=call.permit is not None)
        return target

    async def _await_any_owner(
        self, call: pending.Call, key: int, now: float
    ) -> result.Err[errors.Failure] | None:
        """Waits for an update of a key that has no owner.

        Returns:
            The refusal, if the key gets no owner in time.
        """
        left = self.latest_start(call) - now
        seconds = self._cluster.seconds_without_owner(call.service.name, key)
        if max(seconds, _MIN_WAIT_SECONDS) >= left:
            wait = max(seconds, REROUTE_RETRY_AFTER_SECONDS)
            kind = errors.ErrorKind.NO_OWNER
            return result.Err(errors.Failure(kind, retry_after=wait))
        await clock.wait(self._cluster.changed, min(left, _QUEUE_POLL_SECONDS))
        return None

    async def _acquire_permit(
        self, call: pending.Call, now: float
    ) -> result.Result[directory.Target, errors.Failure] | None:
        """Requests a permit from the gate of a contended or limited target.

        Returns:
            The target, or the refusal; None if the target has no gate that
            responds, or the request has to be dispatched anew.
        """
        target = self._gated_target(call)
        gate = self._balancer.gate(target.id, now) if target else None
        if target is None or gate is None:
            return None
        if self._is_closed(target):
            return None
        permit_future = asyncio.ensure_future(
            self._admission.request_permit(
                gate,
                target.id,
                call.route.priority,
                self._on_time_left(call, now),
                call.deadline - self._settings.requests.margin - now,
                self._balancer.work(call.route.name, call.work_estimate),
                self._balancer.load(target.id).own,
            )
        )
        try:
            ended_early = await self._await_permit(call, target, permit_future)
        except asyncio.CancelledError:
            self._abandon_permit(permit_future)
            raise
        if ended_early:
            self._abandon_permit(permit_future)
            return None
        decision = permit_future.result()
        if decision is None:
            self._balancer.record_silent_gate(gate, self._clock.now())
            return None
        if isinstance(decision, admission_service.Permit):
            if not self._may_receive(call, target) or self._is_closed(target):
                # The target has left, become cold or asked for a backoff, or
                # may get no more work, since the permit was requested.
                self._admission.return_permit(decision, answered=False)
                return None
            call.permit = decision
            return result.Ok(self._record_send(call, target))
        self._membership.report_full_target(target.id)
        wait = self._expected_retry_after(call, target, decision.seconds)
        wait = max(wait, self._settings.requests.retry_after_least)
        kind = errors.ErrorKind.OVERLOADED
        return result.Err(errors.Failure(kind, retry_after=wait))

    def _is_closed(self, target: directory.Target) -> bool:
        """Whether a target takes no requests through its gate.

        A cold target is bounded by its rate and not by permits. A target in
        backoff takes nothing from this VM.
        """
        cold = self._cluster.cold_seconds(target.id)
        return cold > 0 or self._candidates.backoff_wait(target) > 0

    def _gated_target(self, call: pending.Call) -> directory.Target | None:
        """Returns the target whose gate a request has to pass, if any."""
        if call.key is not None:
            return self._candidates.owner(call)
        return self._candidates.choose_limited(call)

    def _may_receive(
        self, call: pending.Call, target: directory.Target
    ) -> bool:
        """Whether a target may still get a request that has waited for it."""
        if call.key is not None:
            return self._candidates.owner(call) is target
        target_directory = self._cluster.directory
        return target_directory.may_get_work(target.id, self._clock.now())

    def _expected_retry_after(
        self, call: pending.Call, target: directory.Target, seconds: float
    ) -> float:
        """Returns the seconds until a refused request can be expected to run.

        Args:
            call: The request.
            target: The target that it was for.
            seconds: Time until the target may be free.
        """
        if self._candidates.backoff_wait(target):
            # Another VM may not be in backoff, and keys move.
            return min(seconds, _REBALANCE_RETRY_AFTER_SECONDS)
        if self._cluster.limits.limiter(target.id, target.born) is None:
            return seconds
        if call.key is not None and self._keys_can_move(call.service):
            return min(seconds, _REBALANCE_RETRY_AFTER_SECONDS)
        return min(seconds, _MAX_RETRY_AFTER_SECONDS)

    def _keys_can_move(self, service: routes.Service) -> bool:
        """Whether keys that do not fit into a limit can move."""
        assignment = self._cluster.assignments.get(service.name)
        owners = assignment.owners if assignment else ()
        limited = self._cluster.limited_targets()
        return self._cluster.store_ok and not set(limited).issuperset(owners)

    def _on_time_left(self, call: pending.Call, now: float) -> float:
        """Returns the seconds for which a response would still be on time."""
        latency = call.route.target_latency
        if not latency:
            return call.deadline - now
        return call.received_at + latency - call.prior_retry_seconds - now

    def _abandon_permit(self, permit_future: _PermitFuture) -> None:
        """Leaves a gate's queue, or returns a permit that was just granted."""
        if not permit_future.done():
            permit_future.cancel()
        elif not permit_future.cancelled():
            decision = permit_future.result()
            if isinstance(decision, admission_service.Permit):
                self._admission.return_permit(decision, answered=False)

    async def _await_permit(
        self,
        call: pending.Call,
        target: directory.Target,
        permit_future: _PermitFuture,
    ) -> bool:
        """Waits for a gate's decision while the target may get the request.

        Returns:
            Whether the wait ended without a decision: the target may no longer
            get the request, or its deadline has passed.
        """
        while not permit_future.done():
            left = call.deadline - self._clock.now()
            if left < _MIN_WAIT_SECONDS:
                return True
            changed = asyncio.ensure_future(self._cluster.changed.wait())
            try:
                done, _ = await asyncio.wait(
                    (permit_future, changed),
                    timeout=min(left, _GATE_POLL_SECONDS),
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                changed.cancel()
            if not done:
                continue
            if not permit_future.done() and not self._may_receive(call, target):
                return True
        return False

    def _refuse_overloaded(
        self, call: pending.Call, choice: load_balancing.Choice, ahead: int
    ) -> result.Err[errors.Failure]:
        """Refuses a request that no target can run in time."""
        kind = errors.ErrorKind.OVERLOADED
        owner = self._candidates.owner(call) if call.key is not None else None
        if owner is not None:
            self._membership.report_full_target(owner.id)
        wait = min(choice.seconds * (ahead + 1), _MAX_RETRY_AFTER_SECONDS)
        if owner is not None:
            wait = self._expected_retry_after(call, owner, wait)
        wait = max(wait, self._settings.requests.retry_after_least)
        return result.Err(errors.Failure(kind, retry_after=wait))

    def _choose(
        self, call: pending.Call, now: float
    ) -> tuple[str, load_balancing.Choice]:
        """Returns the queue to wait in, and the chosen target or its wait."""
        service = call.service
        if call.key is not None:
            target = self._candidates.owner(call)
            if target is None:
                return service.name, load_balancing.Choice(None, 0.0)
            wait = self._candidates.send_wait(target, call)
            if self._cluster.cold_seconds(target.id):
                wait = min(wait, _COLD_KEY_MOVE_SECONDS)
            if wait:
                return target.id, load_balancing.Choice(None, wait)
            if self._balancer.is_owner_full(
                target, self._membership.count, now
            ):
                self._membership.report_soon()
                seconds = self._balancer.slot_wait_seconds(
                    target, call.route.name, call.work_estimate
                )
                return target.id, load_balancing.Choice(None, seconds)
            return target.id, load_balancing.Choice(target, 0.0)
        eligible = self._candidates.untried(call, now)
        waits = {t.id: self._candidates.send_wait(t, call) for t in eligible}
        available = [t for t in eligible if not waits[t.id]]
        if not available:
            soonest = min(waits.values(), default=_NEW_TARGET_WAIT_SECONDS)
            return service.name, load_balancing.Choice(None, soonest)
        choice = self._balancer.choose(
            available,
            call.route.name,
            call.work_estimate,
            self._max_own_requests(service),
            self._membership.count,
            now,
            self._clock.random(),
            call.route.target_latency or math.inf,
        )
        return service.name, choice

    def _max_own_requests(self, service: routes.Service) -> int:
        """Returns how many requests this VM may have at one target."""
        share = service.connections / self._membership.count
        most = share * self._settings.requests.own_connections
        return max(2, int(most))
