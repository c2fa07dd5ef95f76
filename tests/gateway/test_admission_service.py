"""Requesting, granting and losing permits for contended targets."""

import asyncio

import pytest

from mimosastile_core.gateway import admission
from mimosastile_core.gateway import load_balancing
from mimosastile_gateway import admission_service
from mimosastile_gateway import datagrams
from mimosastile_standins import virtual
from tests.gateway import fakes

GATE, OTHER = "gate:1", "other:1"
WORK = 0.1


class Network:
    """Carries datagrams between VMs.

    Attributes:
        lost: How many of the next datagrams are lost.
        unreachable: Addresses that no datagram reaches.
        sent: All messages with their receivers.
    """

    def __init__(self):
        self.lost = 0
        self.unreachable = set()
        self.sent = []
        self._vms = {}

    def join(self, address, slots=1, admitted=0):
        """Adds a VM whose cluster view holds one target."""
        timer, log = fakes.VirtualClock(), fakes.MemoryEvents()
        gateway_settings = fakes.configured()
        gateway_settings.rooms = load_balancing.Policy(admitted=admitted)
        cluster = fakes.new_cluster_state(
            timer, log, fakes.target("a", slots=slots)
        )
        service = admission_service.AdmissionService(
            gateway_settings, FakeChannel(self, address), cluster, timer
        )
        service.address = address
        self._vms[address] = service
        return service

    def deliver(self, sender, receiver, message):
        """Delivers a datagram, unless it is lost."""
        self.sent.append((receiver, message))
        if self.lost:
            self.lost -= 1
        elif not self.unreachable & {sender, receiver}:
            asyncio.get_running_loop().call_later(
                0.012, self._vms[receiver].receive, sender, message
            )


class FakeChannel:
    """One VM's connection to the network."""

    def __init__(self, network, address):
        self._network = network
        self._address = address

    def send(self, address, message):
        """Sends a message."""
        self._network.deliver(self._address, address, message)


def _request_permit(vm, *, gate=GATE, target="a", left=1.5, own=0):
    return vm.request_permit(gate, target, 1, 0.4, left, WORK, own)


def _run_scenario(scenario):
    async def main():
        network = Network()
        await scenario(network, network.join(GATE), network.join(OTHER))

    virtual.run(main())


class TestPermits:
    """One permit at a time."""

    @pytest.mark.parametrize("where", [GATE, OTHER])
    def test_granted_in_order(self, where):
        """The second request waits until the first permit is returned."""

        async def scenario(network, gate, other):
            vm = {GATE: gate, OTHER: other}[where]
            first = await _request_permit(vm)
            second = asyncio.create_task(_request_permit(vm))
            await asyncio.sleep(0.1)
            assert not second.done()
            assert vm.waiting_counts() == {"a": 1}
            vm.return_permit(first, answered=True)
            assert isinstance(await second, admission_service.Permit)
            assert vm.waiting_counts() == {}

        _run_scenario(scenario)

    def test_refused_at_once(self):
        """The first response refuses a request that cannot run in time."""

        async def scenario(network, gate, other):
            await _request_permit(gate)
            began = virtual.now()
            refused = await _request_permit(other, left=0.15)
            assert isinstance(refused, admission.Refusal)
            assert refused.seconds > 0
            assert virtual.now() - began < 0.05

        _run_scenario(scenario)

    def test_messages_are_small(self):
        """A permit costs less than a tenth of a kilobyte in all messages."""

        async def scenario(network, gate, other):
            other.return_permit(await _request_permit(other), answered=True)
            await asyncio.sleep(0.1)
            sizes = [
                len(datagrams._ENCODER.encode(message))
                for _, message in network.sent
            ]
            assert len(sizes) == 3
            assert sum(sizes) < 100

        _run_scenario(scenario)

    def test_caller_leaves(self):
        """A waiting request is cancelled; the next one gets its permit."""

        async def scenario(network, gate, other):
            first = await _request_permit(gate)
            waiting = asyncio.create_task(_request_permit(other))
            await asyncio.sleep(0.05)
            waiting.cancel()
            await asyncio.sleep(0.05)
            third = asyncio.create_task(_request_permit(gate))
            await asyncio.sleep(0.01)
            gate.return_permit(first, answered=True)
            assert isinstance(await third, admission_service.Permit)

        _run_scenario(scenario)


class TestLosses:
    """Lost datagrams and gates."""

    @pytest.mark.parametrize("lost", [1, 2])
    def test_lost_datagram(self, lost):
        """A request for a permit or its response is lost, and is sent again."""

        async def scenario(network, gate, other):
            network.lost = lost
            began = virtual.now()
            permit = await _request_permit(other)
            assert (permit is None) == (lost == 2)
            assert virtual.now() - began < 0.5

        _run_scenario(scenario)

    def test_decision_is_lost(self):
        """A request waits, and the decision to admit it is lost.

        Without another request it would wait until its deadline, and its permit
        would stay in use.
        """

        async def scenario(network, gate, other):
            first = await _request_permit(gate)
            waiting = asyncio.create_task(_request_permit(other))
            await asyncio.sleep(0.1)
            network.lost = 1
            gate.return_permit(first, answered=True)
            began = virtual.now()
            assert isinstance(await waiting, admission_service.Permit)
            assert virtual.now() - began < 0.6

        _run_scenario(scenario)

    @pytest.mark.parametrize("waits", [False, True])
    def test_gate_lost(self, waits):
        """A gate crashes or is cut off, before or while a request waits.

        The request ran nowhere; soon it gets the result that there is no gate.
        """

        async def scenario(network, gate, other):
            if waits:
                await _request_permit(gate)
            else:
                network.unreachable = {GATE}
            requesting = asyncio.create_task(_request_permit(other))
            await asyncio.sleep(0.1)
            network.unreachable = {GATE}
            began = virtual.now()
            assert await requesting is None
            assert virtual.now() - began < 1.0

        _run_scenario(scenario)

    def test_stopping_vm(self):
        """A VM that is a gate stops.

        It rejects further requests at once; one that already waits there still
        gets its permit.
        """

        async def scenario(network, gate, other):
            first = await _request_permit(gate)
            waiting = asyncio.create_task(_request_permit(other))
            await asyncio.sleep(0.05)
            gate.stopping = True
            began = virtual.now()
            assert await _request_permit(other) is None
            assert virtual.now() - began < 0.05
            gate.return_permit(first, answered=True)
            assert isinstance(await waiting, admission_service.Permit)

        _run_scenario(scenario)

    def test_new_gate_counts_running_requests(self):
        """A target gets another gate while requests run there.

        The new gate counts the requests that the former one admitted.
        """

        async def scenario(network, gate, other):
            permit = await _request_permit(other)
            waiting = asyncio.create_task(
                _request_permit(other, gate=OTHER, own=1)
            )
            await asyncio.sleep(0.01)
            assert not waiting.done()
            other.return_permit(permit, answered=True)
            waiting.cancel()

        _run_scenario(scenario)
