"""Admission control for contended targets: requesting and granting permits.

The gate of a target is the VM that runs its admission queue. Only permits are
requested from and returned to a gate; requests go from their own VM directly to
the target. So a gate that crashes takes no request with it: waiting requests
ask elsewhere, and running ones are not affected.
"""

import asyncio
import collections
from collections.abc import Iterable
import functools
from typing import Protocol

from mimosastile_core.gateway import admission
from mimosastile_core.gateway import limits
from mimosastile_core.gateway import round_trips
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import datagrams
from mimosastile_gateway import settings

_RESPONSE_TIMEOUT_SECONDS = 0.2
"""Wait for a gate's first response, several round trips to another region, if
round trips do not take longer. Then the request is repeated, as datagrams may
be lost."""
_MAX_RESPONSE_TIMEOUT_SECONDS = 0.8
"""Longest wait for a gate's first response while round trips take long."""
_MAX_UNANSWERED_REQUESTS = 2
"""Consecutive requests without any response after which a gate counts as
lost."""
_DECISION_TIMEOUT_SECONDS = 0.5
"""Time after which a waiting request asks again, in case the decision was
lost."""
_DONE_BATCH_SECONDS = 0.01
"""Time for which returned permits are batched. The few requests that wait at
the target itself cover this delay."""
_MIN_PACING_WAIT_SECONDS = 0.002
"""Shortest wait for a rate limit to allow the next request."""
_QUEUE_PRUNE_THRESHOLD = 512
"""Number of targets from which idle queues are dropped. Below it they are kept:
what they have measured of a target's speed is of use when it is contended
again."""


_MAX_FIRST_NUMBER = 1 << 30
"""Upper bound of the random first request number."""


class ChannelPort(Protocol):
    """Datagram connection to other VMs."""

    def send(self, address: str, message: datagrams.Message) -> None:
        """Sends a message, which may be lost."""


class Permit:
    """A permit to send one request to a target.

    Attributes:
        gate: Address of the VM that granted it.
        target: The target.
        number: Number of the request, unique within this VM.
        found: Number of requests at the target when it was granted, this one
            included; 0 if unknown.
    """

    __slots__ = ("found", "gate", "number", "target")

    def __init__(
        self, gate: str, target: str, number: int, found: int = 0
    ) -> None:
        self.found = found
        self.gate = gate
        self.target = target
        self.number = number


class AdmissionService:
    """Requests permits from gates, and grants them as a gate.

    Attributes:
        address: Address at which this VM receives messages of its peers.
        stopping: Whether this VM, as a gate, takes no further requests.
    """

    __slots__ = (
        "_cluster",
        "_channel",
        "_clock",
        "_round_trips",
        "_done_batches",
        "_last_number",
        "_paced_targets",
        "_pending_decisions",
        "_permit_counts",
        "_queues",
        "_settings",
        "_waiting_counts",
        "address",
        "stopping",
    )

    def __init__(
        self,
        gateway_settings: settings.GatewaySettings,
        channel: ChannelPort,
        cluster: cluster_state.ClusterState,
        timer: clock.Clock,
    ) -> None:
        """Creates a service without permits.

        Args:
            gateway_settings: Settings of this VM.
            channel: Connection to other VMs.
            cluster: This VM's view of the cluster.
            timer: The clock.
        """
        self._settings = gateway_settings
        self._channel = channel
        self._cluster = cluster
        self._clock = timer
        self._queues: dict[str, admission.AdmissionQueue] = {}
        # The first number is random: a gate may still have permits recorded of
        # this VM's previous incarnation.
        self._last_number = round(_MAX_FIRST_NUMBER * timer.random())
        self._paced_targets: set[str] = set()
        self._round_trips = round_trips.RoundTrips(
            _RESPONSE_TIMEOUT_SECONDS, _MAX_RESPONSE_TIMEOUT_SECONDS
        )
        self._pending_decisions: dict[
            int, asyncio.Future[datagrams.Decision]
        ] = {}
        self._permit_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._waiting_counts: collections.Counter[str] = collections.Counter()
        self._done_batches: dict[str, datagrams.ReturnedPermits] = {}
        self.address = gateway_settings.vm.peers
        self.stopping = False

    def waiting_counts(self) -> dict[str, int]:
        """Returns how many requests of this VM wait at gates, by target."""
        return {
            name: count for name, count in self._waiting_counts.items() if count
        }

    def dump(self) -> dict[str, int]:
        """Returns how many requests wait at this VM as a gate, by target."""
        return {
            name: queue.waiting
            for name, queue in self._queues.items()
            if not queue.idle
        }

    # Requesting permits.

    async def request_permit(
        self,
        gate: str,
        target: str,
        priority: int,
        on_time: float,
        left: float,
        work: float,
        own_requests: int,
    ) -> Permit | admission.Refusal | None:
        """Waits until a gate grants or refuses a permit.

        Args:
            gate: Address of the gate.
            target: The target.
            priority: The request's priority; 0 is the most urgent.
            on_time: Seconds for which a response would be on time.
            left: Seconds until the request's deadline.
            work: Mean run time of such requests, in seconds.
            own_requests: Number of this VM's requests at the target. The gate
                also counts those that it has not admitted itself.

        Returns:
            The permit, or the refusal; None if the gate does not respond or is
            not the target's gate.
        """
        self._last_number += 1
        number = self._last_number
        started_at = self._clock.now()
        self._waiting_counts[target] += 1
        verdict: admission.Verdict | None = None
        try:
            unanswered = 0
            timeout = self._round_trips.timeout
            while unanswered < _MAX_UNANSWERED_REQUESTS:
                elapsed = self._clock.now() - started_at
                if elapsed > left:
                    break
                request = datagrams.PermitRequest(
                    target,
                    number,
                    priority,
                    round(1000 * (on_time - elapsed)),
                    round(1000 * (left - elapsed)),
                    round(1000 * work),
                    max(own_requests - self._permit_counts[gate, target], 0),
                )
                decision = await self._request_decision(
                    gate, request, timeout, repeated=unanswered > 0
                )
                if decision is None:
                    unanswered += 1
                    continue
                unanswered = 0
                verdict = decision.verdict
                if verdict is admission.Verdict.ADMITTED:
                    self._permit_counts[gate, target] += 1
                    return Permit(gate, target, number, decision.found)
                if verdict is admission.Verdict.REFUSED:
                    return admission.Refusal(decision.wait_ms / 1000)
                if verdict is None:
                    return None
            return None
        finally:
            self._waiting_counts[target] -= 1
            if verdict in (None, admission.Verdict.WAITS):
                # A decision may still be in flight.
                self._queue_done(gate, target, number, answered=False)

    def return_permit(self, permit: Permit, *, answered: bool) -> None:
        """Returns a permit to its gate.

        Args:
            permit: The permit.
            answered: Whether the target responded to the request.
        """
        key = (permit.gate, permit.target)
        self._permit_counts[key] -= 1
        if not self._permit_counts[key]:
            del self._permit_counts[key]
        self._queue_done(
            permit.gate, permit.target, permit.number, answered=answered
        )

    async def _request_decision(
        self,
        gate: str,
        request: datagrams.PermitRequest,
        timeout: float,
        *,
        repeated: bool,
    ) -> datagrams.Decision | None:
        """Sends a request to a gate; returns its last decision, if any.

        Args:
            gate: Address of the gate.
            request: The request.
            timeout: Longest wait in seconds for the first response.
            repeated: Whether it was sent before without a response.
        """
        loop = asyncio.get_running_loop()
        sent_at = self._clock.now()
        future = self._pending_decisions[request.number] = loop.create_future()
        decision: datagrams.Decision | None = None
        try:
            self._send(gate, request)
            async with asyncio.timeout(timeout):
                decision = await future
            if not repeated and gate != self.address:
                # The response to a repeated message may be that to the first.
                self._round_trips.record(self._clock.now() - sent_at)
            if decision.verdict is admission.Verdict.WAITS:
                future = self._pending_decisions[request.number] = (
                    loop.create_future()
                )
                async with asyncio.timeout(_DECISION_TIMEOUT_SECONDS):
                    decision = await future
        except TimeoutError:
            if decision is None:
                self._round_trips.record_timeout()
            return decision
        finally:
            del self._pending_decisions[request.number]
        return decision

    def _queue_done(
        self, gate: str, target: str, number: int, *, answered: bool
    ) -> None:
        batch = self._done_batches.get(gate)
        if batch is None:
            batch = self._done_batches[gate] = datagrams.ReturnedPermits({}, {})
            asyncio.get_running_loop().call_later(
                0.0 if gate == self.address else _DONE_BATCH_SECONDS,
                self._send_done,
                gate,
            )
        numbers_by_target = batch.answered if answered else batch.unanswered
        numbers_by_target.setdefault(target, []).append(number)

    def _send_done(self, gate: str) -> None:
        self._send(gate, self._done_batches.pop(gate))

    def _send(self, address: str, message: datagrams.Message) -> None:
        if address == self.address:
            self.receive(address, message)
        else:
            self._channel.send(address, message)

    # Granting permits.

    def receive(self, sender: str, message: datagrams.Message) -> None:
        """Handles a message from another VM or from this one."""
        _receive(message, self, sender)

    def decide(self, sender: str, request: datagrams.PermitRequest) -> None:
        """Decides on a request for a permit and sends the decision."""
        queue = self._queue(request.target)
        if queue is None:
            not_admitting = datagrams.Decision(request.number, None, 0)
            self._send(sender, not_admitting)
            return
        now = self._clock.now()
        cold = self._cluster.cold_seconds(request.target)
        if cold:
            refused = datagrams.Decision(
                request.number, admission.Verdict.REFUSED, round(1000 * cold)
            )
            self._send(sender, refused)
            return
        queue.limiter = self._rate_limiter(request.target)
        permit_request = admission.PermitRequest(
            sender,
            request.number,
            request.priority,
            request.on_time_ms / 1000,
            request.remaining_ms / 1000,
            max(request.work_ms, 0) / 1000,
            # A negative number would add capacity at the target.
            max(request.unpermitted, 0),
        )
        self._send_decisions([queue.decide(permit_request, now)])
        if queue.waiting:
            # Waits expire even if no permit is returned.
            self._advance(request.target)

    def receive_decision(self, decision: datagrams.Decision) -> None:
        """Handles a gate's decision."""
        future = self._pending_decisions.get(decision.number)
        if future is not None and not future.done():
            future.set_result(decision)

    def receive_done(
        self, sender: str, done: datagrams.ReturnedPermits
    ) -> None:
        """Handles returned permits."""
        now = self._clock.now()
        for numbers_by_target, answered in (
            (done.answered, True),
            (done.unanswered, False),
        ):
            for target, numbers in numbers_by_target.items():
                queue = self._queues.get(target)
                for number in numbers if queue else ():
                    assert queue is not None
                    self._send_decisions(
                        queue.finish(sender, number, now, answered=answered)
                    )

    def _advance(self, target: str) -> None:
        """Decides on waiting requests, now and whenever a rate limit allows."""
        queue = self._queues.get(target)
        if queue is None:
            return
        now = self._clock.now()
        queue.limiter = self._rate_limiter(target)
        self._send_decisions(queue.decide_waiting(now))
        if (
            queue.limiter is None
            or not queue.waiting
            or target in self._paced_targets
        ):
            return
        wait = max(queue.limiter.wait(now), _MIN_PACING_WAIT_SECONDS)
        self._paced_targets.add(target)
        asyncio.get_running_loop().call_later(wait, self._advance_paced, target)

    def _advance_paced(self, target: str) -> None:
        self._paced_targets.discard(target)
        self._advance(target)

    def _rate_limiter(self, target: str) -> limits.RateLimiter | None:
        """Returns the rate limiter for a target's limit, if it has one."""
        entry = self._cluster.directory.get(target)
        if entry is None:
            return None
        return self._cluster.limits.limiter(target, entry.target.born)

    def _send_decisions(self, decisions: Iterable[admission.Decision]) -> None:
        for decision in decisions:
            self._send(
                decision.request.vm,
                datagrams.Decision(
                    decision.request.number,
                    decision.verdict,
                    round(1000 * decision.seconds),
                    decision.found,
                ),
            )

    def _queue(self, target: str) -> admission.AdmissionQueue | None:
        """Returns a target's queue; None if this VM admits none to it."""
        if self.stopping:
            # Requests that already wait here still get their permits.
            return None
        queue = self._queues.get(target)
        if queue is not None:
            return queue
        entry = self._cluster.directory.get(target)
        if entry is None:
            return None
        if len(self._queues) >= _QUEUE_PRUNE_THRESHOLD:
            self._queues = {
                name: queue
                for name, queue in self._queues.items()
                if not queue.idle
            }
        extra_permits = self._settings.rooms.admitted
        queue = self._queues[target] = admission.AdmissionQueue(
            entry.target.slots, extra_permits
        )
        return queue


@functools.singledispatch
def _receive(
    message: datagrams.Message, service: AdmissionService, sender: str
) -> None:
    raise TypeError(message)


@_receive.register
def _(
    message: datagrams.PermitRequest, service: AdmissionService, sender: str
) -> None:
    service.decide(sender, message)


@_receive.register
def _(
    message: datagrams.Decision, service: AdmissionService, sender: str
) -> None:
    service.receive_decision(message)


@_receive.register
def _(
    message: datagrams.ReturnedPermits, service: AdmissionService, sender: str
) -> None:
    service.receive_done(sender, message)
