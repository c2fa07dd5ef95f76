"""Statuses that promise "not run" from targets that have run the request.

The tests wait for conditions, never for a time, and assert nothing about
durations.
"""

import collections

import pytest

from mimosastile_gateway import http_server
from mimosastile_gateway import peer_forwarding
from mimosastile_standins import partitions
from mimosastile_standins import platform_target
from tests.gateway import worlds

_SHED = platform_target.Fault.SHED
_UNMARKED = platform_target.Fault.UNMARKED
_STREAMED_BYTES = 3 << 19
"""Above the size up to which responses are buffered whole."""


async def _isolate(world, vm):
    """Cuts a VM off from all targets and waits until it has noticed."""
    world.cut_targets(vm, partitions.PartitionMode.RESET)

    async def isolated():
        for _ in range(3):
            await world.send_request("/issue/1", None, vm, 600, "POST")
        return "tagmint" in world.daemons[vm].dump()["services_unreachable"]

    await world.wait_until(isolated)


class TestPromises:
    """A caller sends a request again after 408, 421, 429 and 503."""

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    @pytest.mark.parametrize("padding", [0, _STREAMED_BYTES])
    @pytest.mark.parametrize("faults", [(_UNMARKED,), (_SHED, _UNMARKED)])
    @pytest.mark.parametrize("through_peer", [False, True])
    def test_needs_a_statement_of_the_target(
        self, through_peer, faults, padding, status
    ):
        """Guards against a target's status that promises without a proof."""

        async def scenario(world):
            if through_peer:
                await _isolate(world, "vm-0")
            for name, fault in zip(("p0", "p1"), faults * 2, strict=False):
                world.targets[name].fault = fault
                world.targets[name].unmarked_status = status
                world.targets[name].padding_bytes = padding
            answers = [
                await world.send_request("/issue/1", None, "vm-0", 900, "POST")
                for _ in range(6)
            ]
            runs = collections.Counter(run.attempt for run in world.runs)
            assert max(runs.values()) == 1
            for answer in answers:
                attempt = answer.header(b"x-attempt-id").decode()
                if runs[attempt]:
                    assert answer.status == 502
                    assert answer.header(b"x-server-seal") is None
                    assert answer.header(b"retry-after") is None
                else:
                    assert answer.status == 503

        worlds.run_scenario(scenario)


class _Peer:
    """A peer that responds to each forwarded request in the same way."""

    def __init__(self, status, outcome, *, not_run=False):
        self.sends = 0
        self._status = status
        self._headers = (
            tuple(peer_forwarding.outcome_headers(outcome, 1))
            if outcome
            else ()
        )
        if not_run:
            self._headers += ((b"x-not-executed", b"1"),)

    async def handle(self, incoming):
        """Returns the response to a forwarded request."""
        self.sends += 1
        attempt = (b"x-attempt-id", incoming.header(b"x-attempt-id"))
        return http_server.Response(self._status, (attempt, *self._headers))


class TestPeers:
    """Responses of other VMs, which may run an earlier version."""

    @pytest.mark.parametrize(
        ("peer", "status"),
        [
            (_Peer(503, b"passed"), 502),
            (_Peer(429, b"passed"), 502),
            (_Peer(503, b"passed", not_run=True), 503),
            (_Peer(503, b"overloaded"), 503),
            (_Peer(503, b"answer_lost"), 502),
            (_Peer(503, b"kind of a later version"), 502),
            (_Peer(500, b""), 502),
            (_Peer(200, b""), 502),
        ],
        ids=[
            "503 of a target",
            "429 of a target",
            "503 that the target states",
            "refusal",
            "refusal that promises nothing",
            "unknown refusal",
            "error without an outcome",
            "success without an outcome",
        ],
    )
    def test_promise_of_a_peer(self, peer, status):
        """Guards against promises of a peer that prove nothing."""

        async def scenario(world):
            await _isolate(world, "vm-0")
            world.daemons["vm-1"]._forwarder = peer
            peer.sends = 0
            answer = await world.send_request(
                "/issue/1", None, "vm-0", 900, "POST"
            )
            assert answer.status == status
            assert peer.sends == 1

        worlds.run_scenario(scenario)
