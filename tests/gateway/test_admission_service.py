"""Places at contended targets: asked for, given, lost on the way."""

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
        silent: Addresses that nothing reaches.
        sent: All messages with their receivers.
    """

    def __init__(self):
        self.lost = 0
        self.silent = set()
        self.sent = []
        self._vms = {}

    def join(self, address, slots=1, admitted=0):
        """Adds a VM that knows one target."""
        timer, log = fakes.VirtualClock(), fakes.MemoryEvents()
        configured = fakes.configured()
        configured.rooms = load_balancing.Policy(admitted=admitted)
        known = fakes.new_cluster_state(
            timer, log, fakes.target("a", slots=slots)
        )
        made = admission_service.AdmissionService(
            configured, Port(self, address), known, timer
        )
        made.address = address
        self._vms[address] = made
        return made

    def carry(self, sender, receiver, message):
        """Brings a datagram over, unless it is lost."""
        self.sent.append((receiver, message))
        if self.lost:
            self.lost -= 1
        elif not self.silent & {sender, receiver}:
            asyncio.get_running_loop().call_later(
                0.012, self._vms[receiver].receive, sender, message
            )


class Port:
    """One VM's way into the network."""

    def __init__(self, network, address):
        self._network = network
        self._address = address

    def send(self, address, message):
        """Sends a message."""
        self._network.carry(self._address, address, message)


def _enter(vm, *, gate=GATE, target="a", left=1.5, own=0):
    return vm.enter(gate, target, 1, 0.4, left, WORK, own)


def _play(scenario):
    async def main():
        network = Network()
        await scenario(network, network.join(GATE), network.join(OTHER))

    virtual.run(main())


class TestPlaces:
    """A place at a time."""

    @pytest.mark.parametrize("where", [GATE, OTHER])
    def test_given_in_turn(self, where):
        """The second request waits until the first one is done."""

        async def scenario(network, gate, other):
            vm = {GATE: gate, OTHER: other}[where]
            first = await _enter(vm)
            second = asyncio.create_task(_enter(vm))
            await asyncio.sleep(0.1)
            assert not second.done()
            assert vm.waiting() == {"a": 1}
            vm.give_back(first, answered=True)
            assert isinstance(await second, admission_service.Permit)
            assert vm.waiting() == {}

        _play(scenario)

    def test_refused_at_once(self):
        """What cannot be served in time hears so with the first answer."""

        async def scenario(network, gate, other):
            await _enter(gate)
            began = virtual.now()
            refused = await _enter(other, left=0.15)
            assert isinstance(refused, admission.Refusal)
            assert refused.seconds > 0
            assert virtual.now() - began < 0.05

        _play(scenario)

    def test_messages_are_small(self):
        """Places cost less than a tenth of a kilobyte each way."""

        async def scenario(network, gate, other):
            other.give_back(await _enter(other), answered=True)
            await asyncio.sleep(0.1)
            sizes = [
                len(datagrams._ENCODER.encode(message))
                for _, message in network.sent
            ]
            assert len(sizes) == 3
            assert sum(sizes) < 100

        _play(scenario)

    def test_caller_leaves(self):
        """A request that waits is given up; the next one gets its turn."""

        async def scenario(network, gate, other):
            first = await _enter(gate)
            waiting = asyncio.create_task(_enter(other))
            await asyncio.sleep(0.05)
            waiting.cancel()
            await asyncio.sleep(0.05)
            third = asyncio.create_task(_enter(gate))
            await asyncio.sleep(0.01)
            gate.give_back(first, answered=True)
            assert isinstance(await third, admission_service.Permit)

        _play(scenario)


class TestLosses:
    """Datagrams and gates are lost."""

    @pytest.mark.parametrize("lost", [1, 2])
    def test_lost_datagram(self, lost):
        """A question or its answer is lost; it is asked again."""

        async def scenario(network, gate, other):
            network.lost = lost
            began = virtual.now()
            place = await _enter(other)
            assert (place is None) == (lost == 2)
            assert virtual.now() - began < 0.5

        _play(scenario)

    def test_decision_is_lost(self):
        """A request waits, and the word that it is admitted is lost.

        It would wait until its deadline passes, and its place with it.
        """

        async def scenario(network, gate, other):
            first = await _enter(gate)
            waiting = asyncio.create_task(_enter(other))
            await asyncio.sleep(0.1)
            network.lost = 1
            gate.give_back(first, answered=True)
            began = virtual.now()
            assert isinstance(await waiting, admission_service.Permit)
            assert virtual.now() - began < 0.6

        _play(scenario)

    @pytest.mark.parametrize("waits", [False, True])
    def test_gate_is_lost(self, waits):
        """A gate dies or is cut off, before or while a request waits.

        The request has run nowhere; it is told soon that there is no gate.
        """

        async def scenario(network, gate, other):
            if waits:
                await _enter(gate)
            else:
                network.silent = {GATE}
            entering = asyncio.create_task(_enter(other))
            await asyncio.sleep(0.1)
            network.silent = {GATE}
            began = virtual.now()
            assert await entering is None
            assert virtual.now() - began < 1.0

        _play(scenario)

    def test_stopping_vm(self):
        """A VM that is a gate stops.

        It takes no further requests, and says so at once; one that waits
        there already still gets its place.
        """

        async def scenario(network, gate, other):
            first = await _enter(gate)
            waiting = asyncio.create_task(_enter(other))
            await asyncio.sleep(0.05)
            gate.stopping = True
            began = virtual.now()
            assert await _enter(other) is None
            assert virtual.now() - began < 0.05
            gate.give_back(first, answered=True)
            assert isinstance(await waiting, admission_service.Permit)

        _play(scenario)

    def test_next_gate_learns_what_is_under_way(self):
        """A target gets another gate while requests run there.

        The new one counts what VMs have under way by the former one's word.
        """

        async def scenario(network, gate, other):
            place = await _enter(other)
            asked = asyncio.create_task(_enter(other, gate=OTHER, own=1))
            await asyncio.sleep(0.01)
            assert not asked.done()
            other.give_back(place, answered=True)
            asked.cancel()

        _play(scenario)
