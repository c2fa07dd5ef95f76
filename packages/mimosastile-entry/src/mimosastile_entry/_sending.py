"""Sends a call once: to a kept target, or to the keeper of another target.

A target's keeper is the entry VM through which alone the target gets requests.
"""

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

_TARGET_REFUSALS = frozenset(
    {
        errors.ErrorKind.WRONG_FENCE,
        errors.ErrorKind.DRAINING,
        errors.ErrorKind.OVERLOADED,
    }
)
"""Errors that the target itself sent, so the target is running."""
_ESTIMATED_HEAD_BYTES = 512
"""Estimate of request line, headers and framing on an inter-region link."""


class Sending:
    """Sends a call over one hop and records the outcome."""

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
        """Initializes the instance with empty admission queues.

        Args:
            region: Region in which this VM is located.
            state: Holds the configuration with the members' shares.
            keeper: Sends requests to the targets that this VM keeps.
            peers: Forwards requests to other keepers.
            quarantine: Records responses and crashes of targets.
            links: Limits the byte rate to other regions.
            clock: Source of the current time.
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
        """The admission queues of the targets that this VM keeps."""
        return self._admission

    async def forward(
        self, call: _calls.Call, hop: _calls.Hop, keeper: fleet.Vm
    ) -> _calls.SendResult:
        """Forwards a call to the keeper of its target."""
        request = call.request
        request.target = hop.target.id
        request.origin = self._region
        if self._links.crosses(keeper.region):
            load = self._link_load(call, keeper.region)
            left = request.deadline - self._clock.now()
            try:
                async with asyncio.timeout(left):
                    size = len(request.body) + _ESTIMATED_HEAD_BYTES
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
        """Waits for a slot of a kept target, then sends the call to it."""
        target = hop.target
        ticket = self._ticket(call)
        refused = await self._admission.enter(
            target.id, call.plan.service, ticket, call.request.deadline
        )
        if refused is not None:
            return result.Err(refused)
        call.attempts.send_started = True
        started_at = self._clock.now()
        sent: _calls.SendResult | None = None
        try:
            sent = await self._keeper.send(target, call.request, hop.fence)
        finally:
            if sent is None or sent.is_err():
                self._admission.leave(target.id, ticket)
        if isinstance(sent, result.Err):
            self._record_failure(
                target.id, call, sent.err_value.kind, started_at
            )
            return sent
        self._quarantine.record_response(target.id, started_at)
        response = sent.ok_value
        response.on_close(self._admission.leave_callback(target.id, ticket))
        origin = call.request.origin
        if call.request.forwarded and self._links.crosses(origin):
            load = self._link_load(call, origin)
            response.body = self._links.paced(load, response.body)
        return sent

    def _ticket(self, call: _calls.Call) -> queueing.Ticket:
        name = call.request.member
        member = self._state.replica.config.document.members.get(name)
        return queueing.Ticket(
            name, call.treatment.priority, member.share if member else 1.0
        )

    def _link_load(self, call: _calls.Call, region: str) -> _links.Load:
        return _links.Load(
            region,
            call.request.member,
            call.plan.name,
            call.treatment.priority,
        )

    def _record_failure(
        self,
        target: str,
        call: _calls.Call,
        kind: errors.ErrorKind,
        started_at: float,
    ) -> None:
        if kind in _TARGET_REFUSALS:
            self._quarantine.record_response(target, started_at)
        else:
            self._quarantine.record_failure(
                target, call.request, kind, started_at
            )
        if kind is errors.ErrorKind.OVERLOADED:
            self._admission.shed(target)
