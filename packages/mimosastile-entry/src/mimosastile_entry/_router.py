"""The router service: brings a request to its target and an answer back."""

import asyncio
import collections
from collections.abc import AsyncIterator
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
from mimosastile_core import tables
from mimosastile_entry import _admission
from mimosastile_entry import _fleet
from mimosastile_entry import _keeper
from mimosastile_entry import _state
from mimosastile_entry import _wire
from mimosastile_entry import kernel
from mimosastile_entry import ports

_SETTLE_SECONDS = 0.02
"""Wait between tries while a key changes owner."""

SendResult = result.Result[ports.Response, errors.Failure]


class Call(msgspec.Struct):
    """A request with everything that the configuration says about it.

    Attributes:
        request: The request.
        name: Name of the service.
        service: Its configuration.
        route: The route that applies.
        position: Hash of the key, None for a service not divided by key.
    """

    request: ports.Request
    name: str
    service: config.Service
    route: config.Route
    position: int | None


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
        "_clock",
        "_digests",
        "_fleet",
        "_keeper",
        "_peers",
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
        )
        self._vm = vm
        self._answers: collections.Counter[str] = collections.Counter()
        self._digests: dict[str, str] = {}
        self._admission = _admission.Admission()
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._keeper: _keeper.KeeperService
        self._targets: ports.TargetPort
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
        self._state.replica.subscribe(self._index_members)
        self._index_members()

    async def stop(self) -> None:
        """Does nothing; the listeners have let all requests end."""

    def dump(self) -> dict[str, Any]:
        """Returns counts of answers and what is under way."""
        return {
            "answers": dict(self._answers),
            "in_flight": self._admission.in_flight(),
        }

    async def handle(self, request: ports.Request) -> ports.Response:
        """Routes a request and always returns an answer."""
        outcome = await self._route(request)
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

    def _index_members(self) -> None:
        members = self._state.replica.config.document.members
        self._digests = {
            digest: name
            for name, member in members.items()
            for digest in member.credentials
        }

    async def _route(self, request: ports.Request) -> SendResult:
        call = self._classify(request)
        if isinstance(call, result.Err):
            return call
        while True:
            sent = await self._try_once(call.ok_value)
            if isinstance(sent, result.Ok):
                return sent
            if not self._may_try_again(request, sent.err_value):
                return sent
            await asyncio.sleep(_SETTLE_SECONDS)

    def _may_try_again(
        self, request: ports.Request, failure: errors.Failure
    ) -> bool:
        # A peer that forwarded the request decides on the retry itself: it
        # may know a newer table than this VM.
        settling = failure.kind is errors.ErrorKind.NO_OWNER
        return (
            not request.forwarded
            and (failure.answer.router_retries or settling)
            and request.stream is None
            and self._clock.now() + _SETTLE_SECONDS < request.deadline
        )

    def _classify(
        self, request: ports.Request
    ) -> result.Result[Call, errors.Failure]:
        name, _, rest = request.path.lstrip("/").partition("/")
        document = self._state.replica.config.document
        service = document.services.get(name)
        if service is None:
            return _failed(errors.ErrorKind.UNKNOWN_SERVICE)
        if not request.deadline:
            request.deadline = self._clock.now() + service.timeout
        route = config.route_for(service, "/" + rest, request.method)
        if service.key is None:
            return result.Ok(Call(request, name, service, route, None))
        key = request_key(service.key, request, rest)
        if not key:
            return _failed(errors.ErrorKind.BAD_REQUEST, "The key is missing.")
        position = keys.key_hash(key)
        return result.Ok(Call(request, name, service, route, position))

    async def _try_once(self, call: Call) -> SendResult:
        hop = self._next_hop(call)
        if isinstance(hop, result.Err):
            return hop
        target, keeper = hop.ok_value.target, hop.ok_value.keeper
        if self._keeper.is_keeper(keeper):
            return await self._send(call, target, hop.ok_value.fence)
        if call.request.forwarded:
            return _failed(errors.ErrorKind.WRONG_FENCE, "Not the keeper.")
        peer = self._fleet.fleet.entries.get(keeper.vm)
        if peer is None or peer.id == self._vm:
            return _failed(errors.ErrorKind.NO_OWNER, "The keeper changes.")
        call.request.target = target.id
        sent = await self._peers.forward(peer, call.request)
        if sent.is_err() and _knows_better(sent.err()):
            await self._state.learn_from(peer)
        return sent

    def _next_hop(self, call: Call) -> result.Result[Hop, errors.Failure]:
        table = self._state.replica.table(call.name)
        if table is None:
            return _failed(errors.ErrorKind.NO_OWNER)
        if call.position is None:
            return self._any_target(call, table)
        home = table.locate(call.position)
        if home is None or not home.slice.owner or home.keeper is None:
            return _failed(errors.ErrorKind.NO_OWNER)
        vm = self._fleet.fleet.targets(call.name).get(home.slice.owner)
        if vm is None:
            return _failed(errors.ErrorKind.NO_OWNER)
        fence = holder.RequestFence(home.block, call.position, home.slice.fence)
        return result.Ok(Hop(vm, home.keeper, fence))

    def _any_target(
        self, call: Call, table: tables.Table
    ) -> result.Result[Hop, errors.Failure]:
        live = self._fleet.fleet.live_targets(call.name)
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
        left = call.request.deadline - self._clock.now()
        admitted = await self._admission.enter(
            target.id, call.service.slots, left
        )
        if not admitted:
            return _failed(errors.ErrorKind.QUEUE_TIMEOUT)
        sent: SendResult | None = None
        try:
            sent = await self._keeper.send(target, call.request, fence)
        finally:
            if sent is None or sent.is_err():
                self._admission.leave(target.id)
        if isinstance(sent, result.Ok):
            sent.ok_value.on_close(self._admission.leaver(target.id))
        return sent


def _knows_better(failure: errors.Failure | None) -> bool:
    wrong = errors.ErrorKind.WRONG_FENCE
    return failure is not None and failure.kind is wrong


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
    answer = failure.answer
    body = msgspec.json.encode(errors.refusal(failure, request_id))
    headers = [
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
        (_wire.ERROR, failure.kind.value),
    ]
    if answer.retry_after:
        headers.append(("retry-after", str(answer.retry_after)))
    return ports.Response(answer.status, tuple(headers), _once(body))


async def _once(body: bytes) -> AsyncIterator[bytes]:
    yield body


def _failed(
    kind: errors.ErrorKind, detail: str = ""
) -> result.Err[errors.Failure]:
    return result.Err(errors.Failure(kind, detail))
