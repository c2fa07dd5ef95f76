"""The router service: brings a request to its target and an answer back."""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import hashlib
from typing import Any
from urllib import parse

import msgspec
import result

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import holder
from mimosastile_core import keys
from mimosastile_core import plans
from mimosastile_core import queueing
from mimosastile_core import retries
from mimosastile_core import tables
from mimosastile_entry import _admission
from mimosastile_entry import _fleet
from mimosastile_entry import _keeper
from mimosastile_entry import _limits
from mimosastile_entry import _quarantine
from mimosastile_entry import _state
from mimosastile_entry import _wire
from mimosastile_entry import kernel
from mimosastile_entry import ports

_TIMER_SECONDS = 0.005
_TARGET_SAID = frozenset(
    {
        errors.ErrorKind.WRONG_FENCE,
        errors.ErrorKind.DRAINING,
        errors.ErrorKind.OVERLOADED,
    }
)
"""The target itself refused, so it is alive."""

SendResult = result.Result[ports.Response, errors.Failure]


class Call(msgspec.Struct):
    """A request with everything that the configuration says about it.

    Attributes:
        request: The request.
        plan: What the configuration says about its service.
        treatment: What it says about requests like this one.
        position: Hash of the key, None for a service not divided by key.
        attempts: What happened so far.
    """

    request: ports.Request
    plan: plans.Plan
    treatment: plans.Treatment
    position: int | None
    attempts: retries.Attempts


class Hop(msgspec.Struct, frozen=True):
    """One way to send a call: the target, its keeper and the order."""

    target: fleet.Vm
    keeper: tables.KeeperRef
    fence: holder.RequestFence | None


class RouterService:
    """Decides for each request where it goes, how often and what it answers."""

    __slots__ = (
        "_admission",
        "_answers",
        "_changed",
        "_clock",
        "_digests",
        "_fleet",
        "_keeper",
        "_limits",
        "_peers",
        "_plans",
        "_quarantine",
        "_state",
        "_targets",
        "_vm",
        "name",
        "needs",
    )

    def __init__(self, vm: str) -> None:
        """Makes the service.

        Args:
            vm: Identifier of this VM.
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
            "quarantine",
        )
        self._vm = vm
        self._answers: collections.Counter[str] = collections.Counter()
        self._digests: dict[str, str] = {}
        self._plans: dict[str, plans.Plan] = {}
        self._changed = asyncio.Event()
        self._admission: _admission.Admission
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._keeper: _keeper.KeeperService
        self._targets: ports.TargetPort
        self._quarantine: _quarantine.QuarantineService
        self._limits: _limits.LimitsService
        self._peers: ports.PeerPort
        self._clock: ports.ClockPort

    async def start(self, kernel: kernel.Kernel) -> None:
        """Finds the services that routing needs."""
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._keeper = kernel.find("keeper")
        self._targets = kernel.find("targets")
        self._peers = kernel.find("peers")
        self._clock = kernel.find("clock")
        self._quarantine = kernel.find("quarantine")
        self._limits = kernel.find("limits")
        self._admission = _admission.Admission(self._clock)
        self._state.replica.subscribe(self._on_change)
        self._fleet.subscribe(self._on_change)
        self._on_change()

    async def stop(self) -> None:
        """Does nothing; the listeners have let all requests end."""

    def dump(self) -> dict[str, Any]:
        """Returns counts of answers and what is under way."""
        return {
            "answers": dict(self._answers),
            "queues": self._admission.dump(),
            "retry_tokens": {
                name: plan.budget.tokens for name, plan in self._plans.items()
            },
        }

    async def handle(self, request: ports.Request) -> ports.Response:
        """Routes a request and always returns an answer."""
        outcome = await self._admit(request)
        if isinstance(outcome, result.Ok):
            self._answers["passed_on"] += 1
            return outcome.ok_value
        failure = outcome.err_value
        self._answers[failure.kind.value] += 1
        return refuse(failure, request.request_id)

    def member_of(self, authorization: str) -> str | None:
        """Returns the member that a credential belongs to, None if unknown."""
        scheme, _, token = authorization.partition(" ")
        if scheme.lower() != "bearer" or not token:
            return None
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        return self._digests.get(digest)

    def _on_change(self) -> None:
        document = self._state.replica.config.document
        self._digests = {
            digest: name
            for name, member in document.members.items()
            for digest in member.credentials
        }
        self._plans = plans.compile_plans(document, self._plans)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _admit(self, request: ports.Request) -> SendResult:
        """Routes a request within its member's limits."""
        if request.forwarded:
            # The VM that forwards it has counted it.
            return await self._route(request)
        member = request.member
        refused = await self._limits.enter(member)
        if refused is not None:
            return result.Err(refused)
        outcome: SendResult | None = None
        try:
            outcome = await self._route(request)
        finally:
            if outcome is None or outcome.is_err():
                self._limits.leave(member)
        if isinstance(outcome, result.Ok):
            outcome.ok_value.on_close(self._limits.leaver(member))
        return outcome

    async def _route(self, request: ports.Request) -> SendResult:
        classified = self._classify(request)
        if isinstance(classified, result.Err):
            return classified
        call = classified.ok_value
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
            if failure.answer.ran is errors.Ran.PERHAPS:
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

    def _decide(self, call: Call, failure: errors.Failure) -> retries.Decision:
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

    def _final(self, call: Call, failure: errors.Failure) -> errors.Failure:
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
    ) -> result.Result[Call, errors.Failure]:
        name, _, rest = request.path.lstrip("/").partition("/")
        plan = self._plans.get(name)
        if plan is None:
            return _failed(errors.ErrorKind.UNKNOWN_SERVICE)
        if not request.deadline:
            request.deadline = self._clock.now() + plan.service.timeout
        treatment = plan.treatment("/" + rest, request.method)
        source = plan.service.key
        position = None
        if source is not None:
            key = request_key(source, request, rest)
            if not key:
                return _failed(
                    errors.ErrorKind.BAD_REQUEST, "The key is missing."
                )
            position = keys.key_hash(key)
        attempts = retries.Attempts(
            idempotent=treatment.idempotent,
            streamed=request.stream is not None,
            divided=position is not None,
            deadline=request.deadline,
        )
        return result.Ok(Call(request, plan, treatment, position, attempts))

    async def _try_once(self, call: Call) -> SendResult:
        held = self._quarantine.check(call.request)
        if held is not None:
            return result.Err(held)
        hop = self._next_hop(call)
        if isinstance(hop, result.Err):
            return hop
        target, keeper = hop.ok_value.target, hop.ok_value.keeper
        if self._keeper.is_keeper(keeper):
            sent = await self._send(call, target, hop.ok_value.fence)
            return self._noted(call, target, sent)
        if call.request.forwarded:
            return _failed(errors.ErrorKind.WRONG_FENCE, "Not the keeper.")
        peer = self._fleet.fleet.entries.get(keeper.vm)
        if peer is None or peer.id == self._vm:
            return _failed(errors.ErrorKind.NO_OWNER, "The keeper changes.")
        call.request.target = target.id
        call.attempts.began = True
        sent = await self._peers.forward(peer, call.request)
        return self._noted(call, target, sent)

    def _noted(
        self, call: Call, target: fleet.Vm, sent: SendResult
    ) -> SendResult:
        if sent.is_err():
            call.attempts.avoid |= {target.id}
        return sent

    def _next_hop(self, call: Call) -> result.Result[Hop, errors.Failure]:
        table = self._state.replica.table(call.plan.name)
        if table is None:
            return _failed(errors.ErrorKind.NO_OWNER)
        if call.position is None:
            return self._any_target(call, table)
        home = table.locate(call.position)
        if home is None or not home.slice.owner or home.keeper is None:
            return _failed(errors.ErrorKind.NO_OWNER)
        vm = self._fleet.fleet.targets(call.plan.name).get(home.slice.owner)
        if vm is None:
            return _failed(errors.ErrorKind.NO_OWNER)
        fence = holder.RequestFence(home.block, call.position, home.slice.fence)
        return result.Ok(Hop(vm, home.keeper, fence))

    def _any_target(
        self, call: Call, table: tables.Table
    ) -> result.Result[Hop, errors.Failure]:
        live = self._fleet.fleet.live_targets(call.plan.name)
        keepers = table.keepers()
        usable = [
            Hop(vm, keepers[vm.id], None)
            for vm in live.values()
            if vm.id in keepers
        ]
        chosen = call.request.target
        if call.request.forwarded and chosen:
            usable = [hop for hop in usable if hop.target.id == chosen]
        if not usable:
            return _failed(errors.ErrorKind.NO_TARGET)
        avoid = call.attempts.avoid
        usable = [h for h in usable if h.target.id not in avoid] or usable
        # The less busy of two, by this VM's own counts.
        picks = (
            usable[int(self._clock.random() * len(usable))] for _ in range(2)
        )
        return result.Ok(
            min(picks, key=lambda h: self._admission.load(h.target.id))
        )

    async def _send(
        self,
        call: Call,
        target: fleet.Vm,
        fence: holder.RequestFence | None,
    ) -> SendResult:
        """Waits for a slot of a target that this VM keeps and sends."""
        member = self._state.replica.config.document.members.get(
            call.request.member
        )
        ticket = queueing.Ticket(
            call.request.member,
            call.treatment.priority,
            member.share if member else 1.0,
        )
        refused = await self._admission.enter(
            target.id, call.plan.service, ticket, call.request.deadline
        )
        if refused is not None:
            return result.Err(refused)
        call.attempts.began = True
        began = self._clock.now()
        sent: SendResult | None = None
        try:
            sent = await self._targets.send(target, call.request, fence)
        finally:
            if sent is None or sent.is_err():
                self._admission.leave(target.id, ticket)
        if isinstance(sent, result.Ok):
            self._quarantine.answered(target.id, began)
            sent.ok_value.on_close(self._admission.leaver(target.id, ticket))
            return sent
        kind = sent.err_value.kind
        if kind in _TARGET_SAID:
            self._quarantine.answered(target.id, began)
        else:
            self._quarantine.failed(target.id, call.request, kind)
        if kind is errors.ErrorKind.OVERLOADED:
            self._admission.shed(target.id)
        return sent


def request_key(
    source: config.KeySource, request: ports.Request, rest: str
) -> str:
    """Returns the key that a request carries, empty if it carries none.

    Args:
        source: Where the service declares it.
        request: The request.
        rest: The path after the service's name, percent-encoded.
    """
    if source.place is config.KeyPlace.PATH:
        segments = rest.split("/")
        found = segments[source.segment : source.segment + 1]
        return parse.unquote(found[0]) if found else ""
    if source.place is config.KeyPlace.QUERY:
        return parse.parse_qs(request.query).get(source.name, [""])[0]
    wanted = source.name.lower()
    return next((v for n, v in request.headers if n == wanted), "")


def refuse(failure: errors.Failure, request_id: str) -> ports.Response:
    """Returns the answer that tells a caller of a failure."""
    body = msgspec.json.encode(errors.refusal(failure, request_id))
    headers = [
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
        (_wire.ERROR, failure.kind.value),
    ]
    if failure.wait:
        headers.append(("retry-after", str(failure.wait)))
    return ports.Response(failure.answer.status, tuple(headers), _once(body))


async def _once(body: bytes) -> AsyncIterator[bytes]:
    yield body


def _failed(
    kind: errors.ErrorKind, detail: str = ""
) -> result.Err[errors.Failure]:
    return result.Err(errors.Failure(kind, detail))
