"""The router service: brings a request to its target and an answer back."""

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
_NO_ANSWER = frozenset(
    {
        errors.ErrorKind.UNREACHABLE,
        errors.ErrorKind.ANSWER_LOST,
        errors.ErrorKind.ANSWER_BROKEN,
    }
)
"""The target, or its keeper, was not reached or did not answer."""


class RouterService:
    """Decides for each request where it goes, how often and what it answers."""

    __slots__ = (
        "_answers",
        "_changed",
        "_clock",
        "_fleet",
        "_keeper",
        "_limits",
        "_metrics",
        "_number",
        "_place",
        "_plans",
        "_quarantine",
        "_sending",
        "_state",
        "_targeting",
        "_vm",
        "name",
        "needs",
    )

    def __init__(self, vm: str, place: balancing.Locality) -> None:
        """Makes the service.

        Args:
            vm: Identifier of this VM.
            place: Where it stands.
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
        self._place = place
        self._answers: collections.Counter[str] = collections.Counter()
        self._number = -1
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
        """Finds the services that routing needs."""
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._keeper = kernel.find("keeper")
        self._clock = kernel.find("clock")
        self._quarantine = kernel.find("quarantine")
        self._limits = kernel.find("limits")
        self._metrics = kernel.find("metrics")
        self._targeting = _targeting.Targeting(
            self._place, self._state, self._fleet, self._clock
        )
        self._sending = _sending.Sending(
            self._place.region,
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
        """Does nothing; the listeners have let all requests end."""

    def dump(self) -> dict[str, Any]:
        """Returns counts of answers and what is under way."""
        return {
            "answers": dict(self._answers),
            "queues": self._sending.admission.dump(),
            "left_alone": self._targeting.ejected(),
            "retry_tokens": {
                name: plan.budget.tokens for name, plan in self._plans.items()
            },
        }

    async def handle(self, request: ports.Request) -> ports.Response:
        """Routes a request and always returns an answer."""
        _logs.REQUEST_ID.set(request.request_id)
        began = self._clock.now()
        outcome = await self._admit(request)
        if isinstance(outcome, result.Ok):
            self._count(request, _metrics.PASSED_ON, began)
            return outcome.ok_value
        failure = outcome.err_value
        self._count(request, failure.kind.value, began)
        return _calls.refuse(failure, request.request_id)

    def _count(
        self, request: ports.Request, outcome: str, began: float
    ) -> None:
        self._answers[outcome] += 1
        # A forwarded request is measured where it came in.
        if not request.forwarded:
            self._metrics.record(request, outcome, self._clock.now() - began)

    def _on_change(self) -> None:
        version = self._state.replica.config
        if version.number != self._number:
            self._number = version.number
            self._plans = plans.compile_plans(version.document, self._plans)
        self._targeting.changed()
        self._changed.set()
        self._changed = asyncio.Event()

    async def _admit(self, request: ports.Request) -> _calls.SendResult:
        """Routes a request within its member's limits."""
        if request.forwarded:
            # The VM that forwards it has counted it.
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
            outcome.ok_value.on_close(self._limits.leaver(member))
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
            # Taken before the try, so that a change during it is not missed.
            changed = self._changed
            sent = await self._try_once(call)
            if isinstance(sent, result.Ok):
                return sent
            failure = sent.err_value
            if failure.response.ran is errors.Ran.PERHAPS:
                lost = failure
            decision = self._decide(call, failure)
            if decision.step is retries.Step.GIVE_UP:
                # A second send that did not run takes nothing back: "not
                # run" would be a lie if the first one did.
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
        # A peer that forwarded the request decides on the retry itself: it
        # may know a newer table than this VM.
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
        # Timers of the loop may fire a little early.
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
        held = self._quarantine.check(call.request)
        if held is not None:
            return result.Err(held)
        found = self._targeting.next_hop(call)
        if isinstance(found, result.Err):
            return found
        hop = found.ok_value
        if call.request.forwarded:
            return await self._send(call, hop)
        began = self._clock.now()
        self._targeting.begin(call, hop)
        sent: _calls.SendResult | None = None
        try:
            sent = await self._send(call, hop)
        finally:
            if sent is None or sent.is_err():
                self._targeting.end(call, hop)
        if isinstance(sent, result.Ok):
            self._targeting.answered(call, hop, began)
            sent.ok_value.on_close(self._ender(call, hop))
            return sent
        call.attempts.avoid |= {hop.target.id}
        if sent.err_value.kind in _NO_ANSWER:
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
        if sent.is_err() and _knows_better(sent.err()):
            await self._state.learn_from(peer)
        return sent

    def _ender(self, call: _calls.Call, hop: _calls.Hop) -> ports.CloseCallback:
        async def close() -> None:
            self._targeting.end(call, hop)

        return close


def _knows_better(failure: errors.Failure | None) -> bool:
    wrong = errors.ErrorKind.WRONG_FENCE
    return failure is not None and failure.kind is wrong
