"""Sends a call once: to a target that this VM keeps, or to its keeper."""

import asyncio

import result

from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import queueing
from mimosastile_entry import _admission
from mimosastile_entry import _calls
from mimosastile_entry import _keeper
from mimosastile_entry import _links
from mimosastile_entry import _quarantine
from mimosastile_entry import _state
from mimosastile_entry import ports

_TARGET_SAID = frozenset(
    {
        errors.ErrorKind.WRONG_FENCE,
        errors.ErrorKind.DRAINING,
        errors.ErrorKind.OVERLOADED,
    }
)
"""The target itself refused, so it is alive."""
_HEAD_BYTES = 512
"""Request line, headers and framing, roughly, on the link between regions."""


class Sending:
    """Carries a call over one hop and notes what became of it."""

    __slots__ = (
        "_admission",
        "_clock",
        "_keeper",
        "_links",
        "_peers",
        "_quarantine",
        "_region",
        "_state",
    )

    def __init__(
        self,
        region: str,
        state: _state.StateService,
        keeper: _keeper.KeeperService,
        peers: ports.PeerPort,
        quarantine: _quarantine.QuarantineService,
        links: _links.LinksService,
        clock: ports.ClockPort,
    ) -> None:
        """Makes one with no queues.

        Args:
            region: Where this VM stands.
            state: Knows the members' shares.
            keeper: Speaks to the targets that this VM keeps.
            peers: Speaks to keepers.
            quarantine: Is told of deaths.
            links: Paces what crosses to other regions.
            clock: Tells the time.
        """
        self._region = region
        self._state = state
        self._keeper = keeper
        self._peers = peers
        self._quarantine = quarantine
        self._links = links
        self._clock = clock
        self._admission = _admission.Admission(clock)

    @property
    def admission(self) -> _admission.Admission:
        """The queues of the targets that this VM keeps."""
        return self._admission

    async def forward(
        self, call: _calls.Call, hop: _calls.Hop, keeper: fleet.Vm
    ) -> _calls.SendResult:
        """Passes a call to the keeper of its target."""
        request = call.request
        request.target = hop.target.id
        request.origin = self._region
        if self._links.crosses(keeper.region):
            load = self._load(call, keeper.region)
            left = request.deadline - self._clock.now()
            try:
                async with asyncio.timeout(left):
                    size = len(request.body) + _HEAD_BYTES
                    await self._links.send(load, size)
            except TimeoutError:
                return _calls.failed(errors.ErrorKind.QUEUE_TIMEOUT)
            if request.stream is not None:
                request.stream = self._links.paced(load, request.stream)
        call.attempts.send_started = True
        return await self._peers.forward(keeper, request)

    async def send(
        self, call: _calls.Call, hop: _calls.Hop
    ) -> _calls.SendResult:
        """Waits for a slot of a target that this VM keeps and sends."""
        target = hop.target
        ticket = self._ticket(call)
        refused = await self._admission.enter(
            target.id, call.plan.service, ticket, call.request.deadline
        )
        if refused is not None:
            return result.Err(refused)
        call.attempts.send_started = True
        began = self._clock.now()
        sent: _calls.SendResult | None = None
        try:
            sent = await self._keeper.send(target, call.request, hop.fence)
        finally:
            if sent is None or sent.is_err():
                self._admission.leave(target.id, ticket)
        if isinstance(sent, result.Err):
            self._note(target.id, call, sent.err_value.kind, began)
            return sent
        self._quarantine.answered(target.id, began)
        response = sent.ok_value
        response.on_close(self._admission.leaver(target.id, ticket))
        origin = call.request.origin
        if call.request.forwarded and self._links.crosses(origin):
            load = self._load(call, origin)
            response.body = self._links.paced(load, response.body)
        return sent

    def _ticket(self, call: _calls.Call) -> queueing.Ticket:
        name = call.request.member
        member = self._state.replica.config.document.members.get(name)
        return queueing.Ticket(
            name, call.treatment.priority, member.share if member else 1.0
        )

    def _load(self, call: _calls.Call, region: str) -> _links.Load:
        return _links.Load(
            region,
            call.request.member,
            call.plan.name,
            call.treatment.priority,
        )

    def _note(
        self,
        target: str,
        call: _calls.Call,
        kind: errors.ErrorKind,
        began: float,
    ) -> None:
        if kind in _TARGET_SAID:
            self._quarantine.answered(target, began)
        else:
            self._quarantine.failed(target, call.request, kind, began)
        if kind is errors.ErrorKind.OVERLOADED:
            self._admission.shed(target)
