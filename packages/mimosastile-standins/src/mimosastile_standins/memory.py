"""Targets and peers in memory, over a network that can be cut.

The adapters have the same interface as those over HTTP, so that the daemon's
services run unchanged under virtual time.
"""

import asyncio
from collections.abc import AsyncIterator
import itertools

import result

from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import grants
from mimosastile_core import holder
from mimosastile_core import messages
from mimosastile_entry import kernel
from mimosastile_entry import ports
from mimosastile_standins import target

SendResult = result.Result[ports.Response, errors.Failure]
_UNREACHABLE = errors.Failure(errors.ErrorKind.UNREACHABLE)
_LOST = errors.Failure(errors.ErrorKind.ANSWER_LOST)


class Network:
    """Who can reach whom, and how long it takes.

    Attributes:
        latency: Seconds one way between any two places.
        targets: The stand-in targets by VM.
        daemons: The kernels of running entry VMs by VM.
    """

    __slots__ = ("_cuts", "daemons", "latency", "targets")

    def __init__(self, latency: float = 0.0005) -> None:
        self.latency = latency
        self.targets: dict[str, target.Target] = {}
        self.daemons: dict[str, kernel.Kernel] = {}
        self._cuts: set[frozenset[str]] = set()

    def cut(self, group: set[str], others: set[str]) -> None:
        """Separates two groups of VMs."""
        self._cuts |= {
            frozenset(pair) for pair in itertools.product(group, others)
        }

    def heal(self) -> None:
        """Joins everything again."""
        self._cuts.clear()

    def reaches(self, sender: str, receiver: str) -> bool:
        """Whether a message from one VM arrives at another."""
        return frozenset((sender, receiver)) not in self._cuts


class MemoryTargets(kernel.Passive):
    """Sends grants and requests to stand-in targets."""

    __slots__ = ("_network", "_vm")

    def __init__(self, vm: str, network: Network) -> None:
        super().__init__("targets")
        self._vm = vm
        self._network = network

    async def grant(
        self, vm: fleet.Vm, grant: grants.Grant, timeout: float
    ) -> result.Result[grants.GrantReply, errors.Failure]:
        """Sends a grant and waits for the reply."""
        run = self._network.targets.get(vm.id)
        try:
            async with asyncio.timeout(timeout):
                await self._cross(vm.id)
                if run is None:
                    return result.Err(_UNREACHABLE)
                # Arrives even if the keeper no longer waits for the answer.
                reply = await asyncio.shield(
                    asyncio.ensure_future(run.grant(grant))
                )
                await self._cross(vm.id)
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
        run = self._network.targets.get(vm.id)
        if run is None or run.crashed:
            return result.Err(_UNREACHABLE)
        left = request.deadline - asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(left):
                await self._cross(vm.id)
                work = run.handle(
                    request.method, request.path, request.request_id, fence
                )
                outcome = await asyncio.shield(asyncio.ensure_future(work))
                await self._cross(vm.id)
        except (TimeoutError, target.CrashedError):
            return result.Err(_LOST)
        if outcome.refused is not None:
            return result.Err(errors.Failure(outcome.refused))
        return result.Ok(ports.Response(200, (), _once(outcome.body)))

    async def _cross(self, receiver: str) -> None:
        await asyncio.sleep(self._network.latency)
        if not self._network.reaches(self._vm, receiver):
            await asyncio.Event().wait()


class MemoryPeers(kernel.Passive):
    """Sends messages and forwarded requests to other kernels."""

    __slots__ = ("_network", "_vm")

    def __init__(self, vm: str, network: Network) -> None:
        super().__init__("peers")
        self._vm = vm
        self._network = network

    async def call(
        self, vm: fleet.Vm, message: messages.PeerMessage, timeout: float
    ) -> result.Result[messages.PeerMessage, errors.Failure]:
        """Sends a message and returns the peer's reply."""
        peer = self._network.daemons.get(vm.id)
        if not self._network.reaches(self._vm, vm.id):
            await asyncio.sleep(timeout)
            return result.Err(_LOST)
        await asyncio.sleep(2 * self._network.latency)
        if peer is None:
            return result.Err(_UNREACHABLE)
        answer: messages.PeerMessage = peer.find("inbox").receive(message)
        return result.Ok(answer)

    async def forward(self, vm: fleet.Vm, request: ports.Request) -> SendResult:
        """Passes a request to the keeper of its target."""
        peer = self._network.daemons.get(vm.id)
        if peer is None or not self._network.reaches(self._vm, vm.id):
            return result.Err(_UNREACHABLE)
        await asyncio.sleep(self._network.latency)
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
        )
        response: ports.Response = await peer.find("router").handle(inner)
        await asyncio.sleep(self._network.latency)
        named = dict(response.headers).get("x-mimosastile-error")
        if named is not None:
            await response.close()
            return result.Err(errors.Failure(errors.ErrorKind(named)))
        return result.Ok(response)


async def _once(body: bytes) -> AsyncIterator[bytes]:
    yield body
