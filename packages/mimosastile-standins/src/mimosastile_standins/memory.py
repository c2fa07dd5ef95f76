"""In-memory adapters of a daemon, over a network with faults.

They have the interface of the HTTP adapters, so the daemon's services run
unchanged under virtual time. Each daemon has its own adapters, tied to its
process: a paused process sends nothing, but messages sent earlier arrive.
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
_CALL_TIMEOUT_SECONDS = 3.0
_ERROR_HEADER = "x-mimosastile-error"


class Sites:
    """Parts of a deployment that the adapters can call.

    Attributes:
        network: Network between all parts.
        store: The key-value service.
        fleet: The list of VMs.
        targets: The stand-in targets by VM.
        processes: The running daemons by VM.
    """

    __slots__ = ("fleet", "network", "processes", "store", "targets")

    def __init__(
        self,
        links: network.Network,
        key_values: store.MemoryStore,
        listing: vms.MemoryFleet,
    ) -> None:
        self.network = links
        self.store = key_values
        self.fleet = listing
        self.targets: dict[str, target.Target] = {}
        self.processes: dict[str, network.Process] = {}


class _Adapter(kernel.Passive):
    """Base class with the reachable parts and the calling process."""

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
        """Delivers a call, executes it and delivers the response.

        If the caller is cancelled after the delivery, the work continues, as
        the receiver already has the call.
        """
        try:
            await self._process.gate()
            await self._sites.network.cross(self._process.vm, receiver)
        except asyncio.CancelledError:
            work.close()
            raise
        running = asyncio.ensure_future(work)
        running.add_done_callback(_retrieve_exception)
        done = await asyncio.shield(running)
        await self._sites.network.cross(receiver, self._process.vm)
        await self._process.gate()
        return done


class MemoryStorePort(_Adapter):
    """Connection of a daemon to the key-value service."""

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
            async with asyncio.timeout(_CALL_TIMEOUT_SECONDS):
                return await self._round_trip(network.STORE, work)
        except TimeoutError:
            return result.Err(_UNKNOWN)

    async def _read(
        self,
        work: Coroutine[Any, Any, result.Result[_T, errors.Failure]],
        wait: float = 0.0,
    ) -> result.Result[_T, errors.Failure]:
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_SECONDS + wait):
                return await self._round_trip(network.STORE, work)
        except TimeoutError:
            return result.Err(_DOWN)


class MemoryFleetPort(_Adapter):
    """Connection of a daemon to the list of VMs."""

    __slots__ = ()

    def __init__(self, sites: Sites, process: network.Process) -> None:
        super().__init__("fleet_port", sites, process)

    async def vms(
        self,
    ) -> result.Result[tuple[fleet.Vm, ...], errors.Failure]:
        """Reads the list."""
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_SECONDS):
                work = self._sites.fleet.vms()
                return await self._round_trip(network.FLEET, work)
        except TimeoutError:
            return result.Err(_DOWN)


class MemoryTargets(_Adapter):
    """Connection of a daemon to targets."""

    __slots__ = ()

    def __init__(self, sites: Sites, process: network.Process) -> None:
        super().__init__("targets", sites, process)

    async def grant(
        self, vm: fleet.Vm, grant: grants.Grant, timeout: float
    ) -> result.Result[grants.GrantReply, errors.Failure]:
        """Sends a grant and waits for the reply."""
        receiver = self._sites.targets.get(vm.id)
        if receiver is None:
            return result.Err(_UNREACHABLE)
        try:
            async with asyncio.timeout(timeout):
                reply = await self._round_trip(vm.id, receiver.grant(grant))
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
        receiver = self._sites.targets.get(vm.id)
        if receiver is None or receiver.crashed:
            return result.Err(_UNREACHABLE)
        remaining = request.deadline - self._process.now()
        work = receiver.handle(
            request.method, request.path, request.request_id, fence
        )
        try:
            async with asyncio.timeout(remaining):
                outcome = await self._round_trip(vm.id, work)
        except (TimeoutError, target.CrashedError):
            return result.Err(_LOST)
        if outcome.refused is not None:
            return result.Err(errors.Failure(outcome.refused))
        return result.Ok(ports.Response(200, (), _once(outcome.body)))


class MemoryPeers(_Adapter):
    """Connection of a daemon to its peers."""

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
        """Forwards a request to the keeper of its target.

        The keeper is the entry VM through which alone the target gets requests
        and grants.
        """
        peer = self._sites.processes.get(vm.id)
        if peer is None or peer.kernel is None or peer.closed:
            return result.Err(_UNREACHABLE)
        remaining = request.deadline - self._process.now()
        pending = _PendingResponse()
        try:
            async with asyncio.timeout(remaining):
                work = self._handle(peer, peer.kernel, request, pending)
                response = await self._round_trip(vm.id, work)
        except TimeoutError:
            await pending.drop()
            return result.Err(_LOST)
        except asyncio.CancelledError:
            await pending.drop()
            raise
        error_kind = dict(response.headers).get(_ERROR_HEADER)
        if error_kind is not None:
            await response.close()
            return result.Err(errors.Failure(errors.ErrorKind(error_kind)))
        return result.Ok(response)

    async def _receive(
        self,
        peer: network.Process,
        receiver: kernel.Kernel,
        message: messages.PeerMessage,
    ) -> messages.PeerMessage:
        await peer.gate()
        reply: messages.PeerMessage = receiver.find("inbox").receive(message)
        await peer.gate()
        return reply

    async def _handle(
        self,
        peer: network.Process,
        receiver: kernel.Kernel,
        request: ports.Request,
        pending: "_PendingResponse",
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
            response: ports.Response = await receiver.find("router").handle(
                inner
            )
            await pending.arrive(response)
        finally:
            peer.in_flight -= 1
        await peer.gate()
        return response


class _PendingResponse:
    """A peer's response that its receiver may abandon before it arrives.

    A server closes a response whose receiver has disconnected. Without this,
    the slot that the response holds on the peer would never be freed.
    """

    __slots__ = ("_dropped", "_response")

    def __init__(self) -> None:
        self._dropped = False
        self._response: ports.Response | None = None

    async def arrive(self, response: ports.Response) -> None:
        """Stores the response, or closes it if the receiver abandoned it."""
        self._response = response
        if self._dropped:
            await response.close()

    async def drop(self) -> None:
        """Closes the response now or on its arrival."""
        self._dropped = True
        if self._response is not None:
            await self._response.close()


def _retrieve_exception(done: asyncio.Future[Any]) -> None:
    # Marks the exception as retrieved if the caller was cancelled.
    if not done.cancelled():
        done.exception()


async def _once(body: bytes) -> AsyncIterator[bytes]:
    yield body
