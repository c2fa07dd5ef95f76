"""Admission datagrams: intact, truncated, and from unknown senders."""

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from mimosastile_core.gateway import admission
from mimosastile_gateway import admission_service
from mimosastile_gateway import datagrams
from mimosastile_standins import virtual
from tests.gateway import fakes

REQUEST = datagrams.PermitRequest("a", 7, 1, 400, 1500, 100, 0)
DECISION = datagrams.Decision(7, admission.Verdict.ADMITTED, 20)
RETURNED = datagrams.ReturnedPermits({"a": [1, 2]}, {"b": [3]})
SENDER = ("10.0.0.9", 7300)
_NUMBERS = st.integers(-(1 << 31), 1 << 31)


class Channel:
    """A channel that receives its datagrams from the test."""

    def __init__(self):
        self.log = fakes.MemoryEvents()
        self.received = []
        self._channel = datagrams.Channel(self.log)
        self._channel._receive = lambda *message: self.received.append(message)

    def deliver(self, data):
        """Delivers a datagram."""
        self._channel.datagram_received(data, SENDER)


class Port:
    """Records the messages that an admission gate sends."""

    def __init__(self):
        self.sent = []

    def send(self, address, message):
        """Records a message."""
        self.sent.append((address, message))


def _gate(port):
    timer, log = fakes.VirtualClock(), fakes.MemoryEvents()
    state = fakes.new_cluster_state(timer, log, fakes.target("a"))
    gate = admission_service.AdmissionService(
        fakes.configured(), port, state, timer
    )
    gate.address = "gate:1"
    return gate


class TestRead:
    """Decoding of received datagrams."""

    @pytest.mark.parametrize("message", [REQUEST, DECISION, RETURNED])
    def test_whole(self, message):
        """A message is received as it was sent."""
        channel = Channel()
        channel.deliver(msgspec.msgpack.encode(message))
        assert channel.received == [("10.0.0.9:7300", message)]

    @pytest.mark.parametrize("message", [REQUEST, DECISION, RETURNED])
    def test_truncated(self, message):
        """Guards against accepting a truncated message."""
        channel = Channel()
        whole = msgspec.msgpack.encode(message)
        for length in range(len(whole)):
            channel.deliver(whole[:length])
        assert channel.received == []
        assert len(channel.log.named("message_unreadable")) == len(whole)

    @hypothesis.given(data=st.binary(max_size=64))
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    def test_any_bytes(self, data):
        """Guards against bytes from an unknown sender stopping the daemon."""
        channel = Channel()
        channel.deliver(data)
        unreadable = len(channel.log.named("message_unreadable"))
        assert unreadable + len(channel.received) == 1


class TestGate:
    """Responses of an admission gate to unexpected requests."""

    def test_unknown_target(self):
        """Guards against a permit for an unknown target."""

        async def main():
            port = Port()
            _gate(port).receive(
                "vm:1", datagrams.PermitRequest("z", 7, 1, 4, 9, 1, 0)
            )
            assert port.sent == [("vm:1", datagrams.Decision(7, None, 0))]

        virtual.run(main())

    def test_permits_that_were_never_granted(self):
        """Guards against capacity freed by permits that were never granted."""

        async def main():
            port = Port()
            gate = _gate(port)
            unknown = datagrams.ReturnedPermits(
                {"a": [1, 2, 3], "z": [4]}, {"a": [5]}
            )
            gate.receive("stranger:1", unknown)
            for number in range(12):
                gate.receive(
                    "vm:1",
                    datagrams.PermitRequest("a", number, 1, 400, 1500, 100, 0),
                )
                gate.receive("stranger:1", unknown)
            admitted = [
                message
                for _, message in port.sent
                if message.verdict is admission.Verdict.ADMITTED
            ]
            assert len(admitted) == 4 + 3

        virtual.run(main())

    @hypothesis.given(
        requests=st.lists(st.tuples(*[_NUMBERS] * 6), max_size=12)
    )
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    def test_any_numbers(self, requests):
        """Guards against a gate that fails or admits too many requests."""

        async def main():
            port = Port()
            gate = _gate(port)
            for fields in requests:
                gate.receive("vm:1", datagrams.PermitRequest("a", *fields))
            admitted = {
                message.number
                for _, message in port.sent
                if message.verdict is admission.Verdict.ADMITTED
            }
            assert len(admitted) <= 4 + 3
            assert {address for address, _ in port.sent} <= {"vm:1"}

        virtual.run(main())
