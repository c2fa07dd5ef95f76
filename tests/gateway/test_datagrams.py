"""Messages between VMs in datagrams: whole, cut short, and of strangers."""

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from mimosastile_core.gateway import admission
from mimosastile_gateway import admission_service
from mimosastile_gateway import datagrams
from mimosastile_standins import virtual
from tests.gateway import fakes

ASK = datagrams.Ask("a", 7, 1, 400, 1500, 100, 0)
DECISION = datagrams.Decision(7, admission.Verdict.ADMITTED, 20)
DONE = datagrams.Done({"a": [1, 2]}, {"b": [3]})
SENDER = ("10.0.0.9", 7300)
_NUMBERS = st.integers(-(1 << 31), 1 << 31)


class Channel:
    """A channel whose datagrams are handed over by the test."""

    def __init__(self):
        self.log = fakes.MemoryEvents()
        self.received = []
        self._channel = datagrams.Channel(self.log)
        self._channel._receive = lambda *taken: self.received.append(taken)

    def take(self, data):
        """Hands a datagram over."""
        self._channel.datagram_received(data, SENDER)


class Port:
    """Notes what a gate sends."""

    def __init__(self):
        self.sent = []

    def send(self, address, message):
        """Notes a message."""
        self.sent.append((address, message))


def _gate(port):
    timer, log = fakes.VirtualClock(), fakes.MemoryEvents()
    known = fakes.new_cluster_state(timer, log, fakes.target("a"))
    made = admission_service.AdmissionService(
        fakes.configured(), port, known, timer
    )
    made.address = "gate:1"
    return made


class TestRead:
    """What a channel takes."""

    @pytest.mark.parametrize("message", [ASK, DECISION, DONE])
    def test_whole(self, message):
        """A message arrives as it was sent."""
        channel = Channel()
        channel.take(msgspec.msgpack.encode(message))
        assert channel.received == [("10.0.0.9:7300", message)]

    @pytest.mark.parametrize("message", [ASK, DECISION, DONE])
    def test_cut_short(self, message):
        """Guards against a message of which a part was lost being believed."""
        channel = Channel()
        whole = msgspec.msgpack.encode(message)
        for length in range(len(whole)):
            channel.take(whole[:length])
        assert channel.received == []
        assert len(channel.log.named("message_unreadable")) == len(whole)

    @hypothesis.given(data=st.binary(max_size=64))
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    def test_any_bytes(self, data):
        """Guards against a stranger's bytes ending the daemon."""
        channel = Channel()
        channel.take(data)
        unreadable = len(channel.log.named("message_unreadable"))
        assert unreadable + len(channel.received) == 1


class TestGate:
    """What a gate answers to VMs that should not ask it."""

    def test_unknown_target(self):
        """Guards against a place at a target that nobody has heard of."""

        async def main():
            port = Port()
            _gate(port).receive("vm:1", datagrams.Ask("z", 7, 1, 4, 9, 1, 0))
            assert port.sent == [("vm:1", datagrams.Decision(7, None, 0))]

        virtual.run(main())

    def test_places_that_were_never_given(self):
        """Guards against room made by places that nobody had."""

        async def main():
            port = Port()
            gate = _gate(port)
            stranger = datagrams.Done({"a": [1, 2, 3], "z": [4]}, {"a": [5]})
            gate.receive("stranger:1", stranger)
            for number in range(12):
                gate.receive(
                    "vm:1",
                    datagrams.Ask("a", number, 1, 400, 1500, 100, 0),
                )
                gate.receive("stranger:1", stranger)
            admitted = [
                message
                for _, message in port.sent
                if message.verdict is admission.Verdict.ADMITTED
            ]
            assert len(admitted) == 4 + 3

        virtual.run(main())

    @hypothesis.given(asks=st.lists(st.tuples(*[_NUMBERS] * 6), max_size=12))
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    def test_any_numbers(self, asks):
        """Guards against a gate that fails, or overfills its target."""

        async def main():
            port = Port()
            gate = _gate(port)
            for ask in asks:
                gate.receive("vm:1", datagrams.Ask("a", *ask))
            admitted = {
                message.number
                for _, message in port.sent
                if message.verdict is admission.Verdict.ADMITTED
            }
            assert len(admitted) <= 4 + 3
            assert {address for address, _ in port.sent} <= {"vm:1"}

        virtual.run(main())
