"""Tests of the choice of peers to forward requests to."""

import pytest

from mimosastile_core.gateway import forwarding_peers

_REGIONS = {"z": "r", "y": "r", "far": "q"}
_NEAR = forwarding_peers.Peer("near:1", "z")
_NEXT = forwarding_peers.Peer("next:1", "y")
_FAR = forwarding_peers.Peer("far:1", "far")
_ALL = (_FAR, _NEXT, _NEAR)


def _peers():
    return forwarding_peers.ForwardingPeers("z", _REGIONS)


class TestChoice:
    """The peer that gets a request."""

    @pytest.mark.parametrize(
        ("under_way", "chosen"),
        [
            ({}, _NEAR),
            ({_NEAR: 1}, _NEAR),
            ({_NEAR: 3}, _NEXT),
            ({_NEAR: 9, _NEXT: 7}, _FAR),
        ],
        ids=["nearest", "one under way", "next zone", "other region"],
    )
    def test_spreads_requests(self, under_way, chosen):
        """Guards against one peer that gets the requests of a whole zone."""
        peers = _peers()
        for peer, count in under_way.items():
            for _ in range(count):
                peers.begin(peer.address)
        assert peers.choose(_ALL, "s", (), (), 0.0) == chosen
        for peer, count in under_way.items():
            for _ in range(count):
                peers.end(peer.address)
        assert peers.choose(_ALL, "s", (), (), 0.0) == _NEAR

    @pytest.mark.parametrize(
        ("regions", "tried", "chosen"),
        [
            ((), (), _NEAR),
            ((), ("near:1",), _NEXT),
            (("q",), (), _FAR),
            (("q",), ("far:1",), None),
            (("unknown",), (), None),
        ],
    )
    def test_regions_and_earlier_tries(self, regions, tried, chosen):
        """Guards against a body that leaves the regions of its route."""
        assert _peers().choose(_ALL, "s", regions, tried, 0.0) == chosen

    def test_silent_peer(self):
        """A peer that does not respond gets nothing for a second."""
        peers = _peers()
        peers.record_silent("near:1", 0.0)
        assert peers.choose(_ALL, "s", (), (), 0.9) == _NEXT
        assert peers.choose(_ALL, "s", (), (), 1.1) == _NEAR

    def test_unreachable_service(self):
        """A peer without a path to one service gets requests for others."""
        peers = _peers()
        peers.record_unreachable("near:1", "s", 0.0)
        assert peers.choose(_ALL, "s", (), (), 0.4) == _NEXT
        assert peers.choose(_ALL, "other", (), (), 0.4) == _NEAR
        assert peers.choose(_ALL, "s", (), (), 0.6) == _NEAR


class TestNearest:
    """The peers that a leader lists."""

    def test_order(self):
        """The nearest peers come first."""
        listed = forwarding_peers.nearest(_ALL, "vm", "z", _REGIONS)
        assert listed == (_NEAR, _NEXT, _FAR)

    def test_lists_differ(self):
        """Guards against VMs of a zone that all get the same few peers."""
        peers = [forwarding_peers.Peer(f"p{n}:1", "z") for n in range(40)]
        lists = [
            forwarding_peers.nearest(peers, f"vm-{n}", "z", _REGIONS)
            for n in range(40)
        ]
        assert {len(each) for each in lists} == {forwarding_peers.MAX_LISTED}
        assert len({peer for each in lists for peer in each}) > 30
