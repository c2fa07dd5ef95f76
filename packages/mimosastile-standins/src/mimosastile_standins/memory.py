"""A daemon's adapters in memory, over a network with faults.

They have the same interface as those over HTTP, so that the daemon's services
run unchanged under virtual time. Each daemon has its own, which know its
process: a paused process sends nothing, and what it has sent before arrives.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

import result

from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import grants
from mimosastile_core import holder
from mimosastile_core import messages
from mimosastile_entry import kernel
from mimosastile_entry import ports
from mimosastile_standins import network
from mimosastile_standins import store
from mimosastile_standins import target
from mimosastile_standins import vms

_T = TypeVar("_T")
SendResult = result.Result[ports.Response, errors.Failure]
_UNREACHABLE = errors.Failure(errors.ErrorKind.UNREACHABLE)
_LOST = errors.Failure(errors.ErrorKind.ANSWER_LOST)
_DOWN = errors.Failure(errors.ErrorKind.STORE_UNAVAILABLE)
_UNKNOWN = errors.Failure(errors.ErrorKind.STORE_UNKNOWN)
_CALL_SECONDS = 3.0
_ERROR_HEADER = "x-mimosastile-error"


class Sites:
    """Everything that the adapters can reach.

    Attributes:
        network: Who can reach whom.
        store: The key-value service.
        fleet: The list of VMs.
        targets: The stand-in targets by VM.
        processes: The running daemons by VM.
    """

    __slots__ = ("fleet", "network", "processes", "store", "targets")

    def __init__(
        self,
        between: network.Network,
        kept: store.MemoryStore,
        listed: vms.MemoryFleet,
    ) -> None:
        self.network = between
        self.store = kept
        self.fleet = listed
        self.targets: dict[str, target.Target] = {}
        self.processes: dict[str, network.Process] = {}


class _Adapter(kernel.Passive):
    """Base: the sites and the process that calls."""

    __slots__ = ("_process", "_sites")

    def __init__(
        self, name: str, sites: Sites, process: network.Process
    ) -> None:
        super().__init__(name)
        self._sites = sites
        self._process = process

    async def _round_trip(
        self, receiver: str, work: Coroutine[Any, Any, _T]
    ) -> _T:
        """Carries a call there, runs it and carries the answer back.

        The work goes on if the caller gives up: what has left arrives.
        """
        try:
            await self._process.gate()
            await self._sites.network.cross(self._process.vm, receiver)
        except asyncio.CancelledError:
            work.close()
            raise
        running = asyncio.ensure_future(work)
        running.add_done_callback(_retrieve)
        done = await asyncio.shield(running)
        await self._sites.network.cross(receiver, self._process.vm)
        await self._process.gate()
        return done


class MemoryStorePort(_Adapter):
    """A daemon's way to the key-value service."""

    __slots__ = ()

    def __init__(self, sites: Sites, process: network.Process) -> None:
        super().__init__("store", sites, process)

    async def get(
        self, key: str
    ) -> result.Result[ports.Entry | None, errors.Failure]:
        """Reads one key."""
        return await self._read(self._sites.store.get(key))

    async def list(
        self, prefix: str
    ) -> result.Result[ports.WatchBatch, errors.Failure]:
        """Reads all keys with a prefix."""
        return await self._read(self._sites.store.list(prefix))

    async def watch(
        self, prefix: str, revision: int, wait: float
    ) -> result.Result[ports.WatchBatch, errors.Failure]:
        """Waits for a change under a prefix after a revision."""
        work = self._sites.store.watch(prefix, revision, wait)
        return await self._read(work, wait)

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> result.Result[int, errors.Failure | ports.Conflict]:
        """Writes a key if its revision is the expected one."""
        work = self._sites.store.compare_and_swap(key, value, revision)
        try:
            async with asyncio.timeout(_CALL_SECONDS):
                return await self._round_trip(network.STORE, work)
        except TimeoutError:
            return result.Err(_UNKNOWN)

    async def _read(
        self,
        work: Coroutine[Any, Any, result.Result[_T, errors.Failure]],
        wait: float = 0.0,
    ) -> result.Result[_T, errors.Failure]:
        try:
            async with asyncio.timeout(_CALL_SECONDS + wait):
                return await self._round_trip(network.STORE, work)
        except TimeoutError:
            return result.Err(_DOWN)


class MemoryFleetPort(_Adapter):
    """A daemon's way to the list of VMs."""

    __slots__ = ()

    def __init__(self, sites: Sites, process: network.Process) -> None:
        super().__init__("fleet_port", sites, process)

    async def vms(
        self,
    ) -> result.Result[tuple[fleet.Vm, ...], errors.Failure]:
        """Reads the list."""
        try:
            async with asyncio.timeout(_CALL_SECONDS):
                work = self._sites.fleet.vms()
                return await self._round_trip(network.FLEET, work)
        except TimeoutError:
            return result.Err(_DOWN)


class MemoryTargets(_Adapter):
    """A daemon's way to targets."""

    __slots__ = ()

    def __init__(self, sites: Sites, process: network.Process) -> None:
        super().__init__("targets", sites, process)

    async def grant(
        self, vm: fleet.Vm, grant: grants.Grant, timeout: float
    ) -> result.Result[grants.GrantReply, errors.Failure]:
        """Sends a grant and waits for the reply."""
        run = self._sites.targets.get(vm.id)
        if run is None:
            return result.Err(_UNREACHABLE)
        try:
            async with asyncio.timeout(timeout):
                reply = await self._round_trip(vm.id, run.grant(grant))
                return result.Ok(reply)
        except (TimeoutError, target.CrashedError):
            return result.Err(_LOST)

    async def send(
        self,
        vm: fleet.Vm,
        request: ports.Request,
        fence: holder.RequestFence | None,
    ) -> SendResult:
        """Sends a request once."""
        run = self._sites.targets.get(vm.id)
        if run is None or run.crashed:
            return result.Err(_UNREACHABLE)
        left = request.deadline - self._process.now()
        work = run.handle(
            request.method, request.path, request.request_id, fence
        )
        try:
            async with asyncio.timeout(left):
                outcome = await self._round_trip(vm.id, work)
        except (TimeoutError, target.CrashedError):
            return result.Err(_LOST)
        if outcome.refused is not None:
            return result.Err(errors.Failure(outcome.refused))
        return result.Ok(ports.Response(200, (), _once(outcome.body)))


class MemoryPeers(_Adapter):
    """A daemon's way to other daemons."""

    __slots__ = ()

    def __init__(self, sites: Sites, process: network.Process) -> None:
        super().__init__("peers", sites, process)

    async def call(
        self, vm: fleet.Vm, message: messages.PeerMessage, timeout: float
    ) -> result.Result[messages.PeerMessage, errors.Failure]:
        """Sends a message and returns the peer's reply."""
        peer = self._sites.processes.get(vm.id)
        if peer is None or peer.kernel is None or peer.closed:
            return result.Err(_UNREACHABLE)
        try:
            async with asyncio.timeout(timeout):
                work = self._receive(peer, peer.kernel, message)
                return result.Ok(await self._round_trip(vm.id, work))
        except TimeoutError:
            return result.Err(_LOST)

    async def forward(self, vm: fleet.Vm, request: ports.Request) -> SendResult:
        """Passes a request to the keeper of its target."""
        peer = self._sites.processes.get(vm.id)
        if peer is None or peer.kernel is None or peer.closed:
            return result.Err(_UNREACHABLE)
        left = request.deadline - self._process.now()
        answer = _Answer()
        try:
            async with asyncio.timeout(left):
                work = self._handle(peer, peer.kernel, request, answer)
                response = await self._round_trip(vm.id, work)
        except TimeoutError:
            await answer.drop()
            return result.Err(_LOST)
        except asyncio.CancelledError:
            await answer.drop()
            raise
        named = dict(response.headers).get(_ERROR_HEADER)
        if named is not None:
            await response.close()
            return result.Err(errors.Failure(errors.ErrorKind(named)))
        return result.Ok(response)

    async def _receive(
        self,
        peer: network.Process,
        there: kernel.Kernel,
        message: messages.PeerMessage,
    ) -> messages.PeerMessage:
        await peer.gate()
        answer: messages.PeerMessage = there.find("inbox").receive(message)
        await peer.gate()
        return answer

    async def _handle(
        self,
        peer: network.Process,
        there: kernel.Kernel,
        request: ports.Request,
        answer: "_Answer",
    ) -> ports.Response:
        await peer.gate()
        inner = ports.Request(
            request.method,
            request.path,
            request.query,
            request.headers,
            request.body,
            None,
            request.request_id,
            request.member,
            request.deadline,
            True,
            request.target,
            request.origin,
        )
        peer.in_flight += 1
        try:
            response: ports.Response = await there.find("router").handle(inner)
            await answer.arrive(response)
        finally:
            peer.in_flight -= 1
        await peer.gate()
        return response


class _Answer:
    """A peer's answer that its receiver may give up before it comes.

    A server closes an answer whose receiver has gone. Without that here, the
    slot that it holds on the peer would be lost for good.
    """

    __slots__ = ("_dropped", "_response")

    def __init__(self) -> None:
        self._dropped = False
        self._response: ports.Response | None = None

    async def arrive(self, response: ports.Response) -> None:
        """Takes the answer, or closes it if nobody waits any more."""
        self._response = response
        if self._dropped:
            await response.close()

    async def drop(self) -> None:
        """Gives the answer up, now or when it comes."""
        self._dropped = True
        if self._response is not None:
            await self._response.close()


def _retrieve(done: asyncio.Future[Any]) -> None:
    # If the caller has given up, nobody else asks how the work ended.
    if not done.cancelled():
        done.exception()


async def _once(body: bytes) -> AsyncIterator[bytes]:
    yield body
