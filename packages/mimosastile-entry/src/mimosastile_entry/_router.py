"""Router service: routes requests to targets and returns their responses."""

import asyncio
import collections
import contextlib
from typing import Any

import result

from mimosastile_core import balancing
from mimosastile_core import errors
from mimosastile_core import plans
from mimosastile_core import retries
from mimosastile_entry import _calls
from mimosastile_entry import _fleet
from mimosastile_entry import _keeper
from mimosastile_entry import _limits
from mimosastile_entry import _logs
from mimosastile_entry import _metrics
from mimosastile_entry import _quarantine
from mimosastile_entry import _sending
from mimosastile_entry import _state
from mimosastile_entry import _targeting
from mimosastile_entry import kernel
from mimosastile_entry import ports

_TIMER_SECONDS = 0.005
_NO_RESPONSE = frozenset(
    {
        errors.ErrorKind.UNREACHABLE,
        errors.ErrorKind.ANSWER_LOST,
        errors.ErrorKind.ANSWER_BROKEN,
    }
)
"""Errors where the target or its keeper was unreachable or sent no response."""


class RouterService:
    """Selects each request's next hop, retries it and builds its response."""

    __slots__ = (
        "_changed",
        "_clock",
        "_config_number",
        "_fleet",
        "_keeper",
        "_limits",
        "_locality",
        "_metrics",
        "_plans",
        "_quarantine",
        "_response_counts",
        "_sending",
        "_state",
        "_targeting",
        "_vm",
        "name",
        "needs",
    )

    def __init__(self, vm: str, locality: balancing.Locality) -> None:
        """Initializes the service.

        Args:
            vm: Identifier of this VM.
            locality: Region and zone of this VM.
        """
        self.name = "router"
        self.needs: tuple[str, ...] = (
            "state",
            "fleet",
            "keeper",
            "targets",
            "peers",
            "clock",
            "limits",
            "links",
            "quarantine",
            "metrics",
        )
        self._vm = vm
        self._locality = locality
        self._response_counts: collections.Counter[str] = collections.Counter()
        self._config_number = -1
        self._plans: dict[str, plans.Plan] = {}
        self._changed = asyncio.Event()
        self._sending: _sending.Sending
        self._targeting: _targeting.Targeting
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._keeper: _keeper.KeeperService
        self._quarantine: _quarantine.QuarantineService
        self._limits: _limits.LimitsService
        self._clock: ports.ClockPort

    async def start(self, kernel: kernel.Kernel) -> None:
        """Looks up the services that routing depends on."""
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._keeper = kernel.find("keeper")
        self._clock = kernel.find("clock")
        self._quarantine = kernel.find("quarantine")
        self._limits = kernel.find("limits")
        self._metrics = kernel.find("metrics")
        self._targeting = _targeting.Targeting(
            self._locality, self._state, self._fleet, self._clock
        )
        self._sending = _sending.Sending(
            self._locality.region,
            self._state,
            self._keeper,
            kernel.find("peers"),
            self._quarantine,
            kernel.find("links"),
            self._clock,
        )
        self._state.replica.subscribe(self._on_change)
        self._fleet.subscribe(self._on_change)
        self._on_change()

    async def stop(self) -> None:
        """Does nothing; the listeners have already drained all requests."""

    def dump(self) -> dict[str, Any]:
        """Returns response counts, queues, ejected targets, retry budgets."""
        return {
            "answers": dict(self._response_counts),
            "queues": self._sending.admission.dump(),
            "left_alone": self._targeting.ejected(),
            "retry_tokens": {
                name: plan.budget.tokens for name, plan in self._plans.items()
            },
        }

    async def handle(self, request: ports.Request) -> ports.Response:
        """Routes a request; failures are returned as error responses."""
        _logs.REQUEST_ID.set(request.request_id)
        started_at = self._clock.now()
        outcome = await self._admit(request)
        if isinstance(outcome, result.Ok):
            self._count(request, _metrics.TARGET_RESPONDED, started_at)
            return outcome.ok_value
        failure = outcome.err_value
        self._count(request, failure.kind.value, started_at)
        return _calls.refuse(failure, request.request_id)

    def _count(
        self, request: ports.Request, outcome: str, started_at: float
    ) -> None:
        self._response_counts[outcome] += 1
        # The entry VM that received the request from the caller records it.
        if not request.forwarded:
            self._metrics.record(
                request, outcome, self._clock.now() - started_at
            )

    def _on_change(self) -> None:
        version = self._state.replica.config
        if version.number != self._config_number:
            self._config_number = version.number
            self._plans = plans.compile_plans(version.document, self._plans)
        self._targeting.changed()
        self._changed.set()
        self._changed = asyncio.Event()

    async def _admit(self, request: ports.Request) -> _calls.SendResult:
        """Routes a request if its member is within its limits."""
        if request.forwarded:
            # The forwarding VM has already counted it against the limits.
            return await self._route(request)
        member = request.member
        refused = await self._limits.enter(member)
        if refused is not None:
            return result.Err(refused)
        outcome: _calls.SendResult | None = None
        try:
            outcome = await self._route(request)
        finally:
            if outcome is None or outcome.is_err():
                self._limits.leave(member)
        if isinstance(outcome, result.Ok):
            outcome.ok_value.on_close(self._limits.leave_callback(member))
        return outcome

    async def _route(self, request: ports.Request) -> _calls.SendResult:
        classified = self._classify(request)
        if isinstance(classified, result.Err):
            return classified
        call = classified.ok_value
        request.priority = call.treatment.priority
        if not request.forwarded:
            call.plan.budget.earn(call.plan.service.retry)
        lost: errors.Failure | None = None
        while True:
            # Read before the attempt, so that a change during it is not missed.
            changed = self._changed
            sent = await self._try_once(call)
            if isinstance(sent, result.Ok):
                return sent
            failure = sent.err_value
            if failure.response.ran is errors.Ran.PERHAPS:
                lost = failure
            decision = self._decide(call, failure)
            if decision.step is retries.Step.GIVE_UP:
                # An earlier attempt may have run. Its failure takes
                # precedence, as "not run" would then be wrong.
                return result.Err(self._final(call, lost or failure))
            if decision.step is retries.Step.SLEEP:
                await asyncio.sleep(decision.seconds)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(decision.seconds):
                    await changed.wait()

    def _decide(
        self, call: _calls.Call, failure: errors.Failure
    ) -> retries.Decision:
        # The peer that forwarded the request decides on retries: it may
        # have a newer table than this VM.
        if call.request.forwarded:
            return retries.Decision(retries.Step.GIVE_UP)
        return call.attempts.after(
            failure.kind,
            call.plan.service.retry,
            call.plan.budget,
            self._clock.now(),
            self._clock.random(),
        )

    def _final(
        self, call: _calls.Call, failure: errors.Failure
    ) -> errors.Failure:
        kind = failure.kind
        # Timers of the event loop may fire slightly early.
        late = self._clock.now() + _TIMER_SECONDS >= call.request.deadline
        if late and kind is errors.ErrorKind.ANSWER_LOST:
            kind = errors.ErrorKind.DEADLINE
        return errors.Failure(
            kind,
            failure.detail,
            failure.retry_after,
            call.treatment.idempotent,
        )

    def _classify(
        self, request: ports.Request
    ) -> result.Result[_calls.Call, errors.Failure]:
        name, _, rest = request.path.lstrip("/").partition("/")
        plan = self._plans.get(name)
        if plan is None:
            return _calls.failed(errors.ErrorKind.UNKNOWN_SERVICE)
        if not request.deadline:
            request.deadline = self._clock.now() + plan.service.timeout
        return _calls.classify(plan, request, rest)

    async def _try_once(self, call: _calls.Call) -> _calls.SendResult:
        quarantined = self._quarantine.check(call.request)
        if quarantined is not None:
            return result.Err(quarantined)
        found = self._targeting.next_hop(call)
        if isinstance(found, result.Err):
            return found
        hop = found.ok_value
        if call.request.forwarded:
            return await self._send(call, hop)
        started_at = self._clock.now()
        self._targeting.begin(call, hop)
        sent: _calls.SendResult | None = None
        try:
            sent = await self._send(call, hop)
        finally:
            if sent is None or sent.is_err():
                self._targeting.end(call, hop)
        if isinstance(sent, result.Ok):
            self._targeting.answered(call, hop, started_at)
            sent.ok_value.on_close(self._end_callback(call, hop))
            return sent
        call.attempts.avoid |= {hop.target.id}
        if sent.err_value.kind in _NO_RESPONSE:
            self._targeting.failed(call, hop)
        return sent

    async def _send(
        self, call: _calls.Call, hop: _calls.Hop
    ) -> _calls.SendResult:
        if self._keeper.is_keeper(hop.keeper):
            return await self._sending.send(call, hop)
        if call.request.forwarded:
            return _calls.failed(
                errors.ErrorKind.WRONG_FENCE, "Not the keeper."
            )
        peer = self._fleet.fleet.entries.get(hop.keeper.vm)
        if peer is None or peer.id == self._vm:
            return _calls.failed(
                errors.ErrorKind.NO_OWNER, "The keeper changes."
            )
        sent = await self._sending.forward(call, hop, peer)
        if sent.is_err() and _has_stale_state(sent.err()):
            await self._state.pull_from(peer)
        return sent

    def _end_callback(
        self, call: _calls.Call, hop: _calls.Hop
    ) -> ports.CloseCallback:
        async def close() -> None:
            self._targeting.end(call, hop)

        return close


def _has_stale_state(failure: errors.Failure | None) -> bool:
    wrong = errors.ErrorKind.WRONG_FENCE
    return failure is not None and failure.kind is wrong
