"""Tests of failure detection among entry VMs."""

import pytest

from mimosastile_core import fleet
from mimosastile_core import presence

TIMING = presence.Timing()


def _vm(name, zone="z1"):
    return fleet.Vm(name, fleet.Role.ENTRY, "r", zone, "127.0.0.1", 1)


def _monitoring(*near, far=(), vm="a"):
    detector = presence.Detector(vm, TIMING, 0.0)
    peers = presence.Peers(frozenset(near), frozenset(far))
    detector.follow(peers, [*near, *far], 0.0)
    for vm in near:
        detector.receive(vm, (), 0.0)
    return detector


def _run(detector, begin, end, responses):
    """Ticks when due; `responses(vm, now)` gives a delay, None for silence."""
    now, late, changes, probes = begin, [], [], 0
    while now < end:
        for at, vm in [x for x in late if x[0] <= now]:
            detector.receive(vm, (), at)
            late.remove((at, vm))
        step = detector.tick(now)
        if step.changed:
            changes.append((round(now, 3), set(detector.suspected)))
        for vm in step.probes:
            probes += 1
            delay = responses(vm, now)
            if delay is not None:
                late.append((now + delay, vm))
        dues = [detector.next_due(now), *(at for at, _ in late)]
        now = max(min(dues), now + 1e-6)
    return changes, probes


class TestCrash:
    """An entry VM crashes without sending any message.

    Its targets get no more renewals, and callers wait until another VM takes
    its targets over, which starts with this suspicion.
    """

    @pytest.mark.parametrize("vm", ["a", "z"])
    @pytest.mark.parametrize("at", [1.0, 1.01, 1.03, 1.05, 1.079])
    def test_is_suspected_within_the_limit(self, at, vm):
        """At any time in the interval, whichever VM starts the exchanges."""
        detector = _monitoring("b", vm=vm)
        changes, _ = _run(
            detector, 0.0, 2.0, lambda _, now: 0.001 if now < at else None
        )
        (when, suspected), *_ = changes
        assert suspected == {"b"}
        assert at < when <= at + 0.25

    def test_recovery_ends_the_suspicion(self):
        """Two responses in a row are required."""
        detector = _monitoring("b")
        _run(detector, 0.0, 1.0, lambda _, now: None)
        assert detector.suspected == {"b"}
        detector.tick(1.0)
        detector.receive("b", (), 1.1)
        detector.tick(1.11)
        assert detector.suspected == {"b"}
        detector.receive("b", (), 1.2)
        detector.tick(1.21)
        assert detector.suspected == frozenset()


class TestSlowResponses:
    """A busy peer responds late, or sometimes not at all.

    If each late response counted as a failure, the keeper of its targets would
    change repeatedly, and each change would delay callers.
    """

    @pytest.mark.parametrize("delay", [0.05, 0.1, 0.15, 0.3, 0.6])
    def test_constant_delay_does_not_flap(self, delay):
        """At most one suspicion, when the delay increases."""
        detector = _monitoring("b")
        changes, _ = _run(
            detector, 0.0, 20.0, lambda _, now: 0.001 if now < 1 else delay
        )
        assert len(changes) <= 2

    def test_longer_timeout_bounds_suspicions(self):
        """A peer that hangs for 300 ms each second is suspected a few times."""
        detector = _monitoring("b")
        changes, _ = _run(
            detector, 0.0, 20.0, lambda _, now: None if now % 1 < 0.3 else 0.001
        )
        assert 0 < len(changes) <= 4


class TestOwnPause:
    """This VM itself is paused for some time.

    It then observes a long silence of all peers, and would start a burst of
    takeovers although the peers work.
    """

    def test_no_peer_is_suspected_after_it(self):
        """Silence during this VM's own pause does not count."""
        detector = _monitoring("b", "c")
        _run(detector, 0.0, 1.0, lambda vm, now: 0.001)
        step = detector.tick(9.0)
        assert not step.changed
        changes, _ = _run(detector, 9.0, 12.0, lambda vm, now: 0.001)
        assert changes == []


class TestReports:
    """One VM's suspicions reach VMs that don't monitor the failed one."""

    def test_report_expires(self):
        """A report expires unless it is sent again."""
        detector = _monitoring("b")
        detector.receive("b", ("x",), 0.1)
        detector.tick(0.1)
        assert detector.suspected == {"x"}
        _run(detector, 0.1, 6.0, lambda vm, now: None)
        assert detector.suspected == {"b"}

    def test_own_observation_takes_precedence(self):
        """A monitored peer that responds isn't suspected by reports."""
        detector = _monitoring("b", "c")
        detector.receive("b", ("c",), 0.05)
        detector.tick(0.06)
        assert detector.suspected == frozenset()

    def test_suspicion_is_reported_again_while_it_lasts(self):
        """A lost message is replaced within a second."""
        detector = _monitoring("b")
        reports = sum(detector.tick(0.05 * i).report for i in range(61))
        assert 3 <= reports <= 4


class TestEcho:
    """Two VMs report to each other that a third, recovered VM is suspected.

    If each forwarded received suspicions, both would renew the suspicion
    forever, and the recovered VM would never keep a target again.
    """

    def test_received_suspicion_is_not_forwarded(self):
        """Only own observations are sent within the zone."""
        detector = _monitoring("b")
        detector.receive("b", ("x",), 0.1)
        detector.tick(0.1)
        assert detector.suspected == {"x"}
        assert detector.zone_report == frozenset()
        assert detector.far_report(0.1) == {"x"}

    def test_report_of_another_zone_is_not_forwarded(self):
        """Each VM has its own exchange with the other zones."""
        detector = _monitoring("b")
        detector.receive("f", ("x",), 0.1, near=False)
        detector.tick(0.1)
        assert detector.suspected == {"x"}
        assert detector.far_report(0.1) == frozenset()

    def test_vm_does_not_suspect_itself(self):
        """A report of this VM is wrong, as this VM receives it."""
        detector = _monitoring("b")
        detector.receive("b", ("a",), 0.1)
        detector.tick(0.1)
        assert detector.suspected == frozenset()


class TestChoice:
    """The choice of monitored peers."""

    @pytest.mark.parametrize("size", [2, 3])
    def test_small_zone_is_a_full_mesh(self, size):
        """Each VM monitors all others."""
        vms = [_vm(f"e{i}") for i in range(size)]
        for vm in vms:
            chosen = presence.choose_peers(vm.id, "z1", vms, frozenset())
            assert chosen.near == {v.id for v in vms} - {vm.id}

    @pytest.mark.parametrize("size", [10, 100, 600])
    def test_cost_does_not_grow_with_the_zone(self, size):
        """Each VM has two near peers, and monitoring is mutual."""
        vms = [_vm(f"e{i}") for i in range(size)]
        near = {
            v.id: presence.choose_peers(v.id, "z1", vms, frozenset()).near
            for v in vms[:10]
        }
        assert {len(peers) for peers in near.values()} == {2}
        for vm, peers in near.items():
            for peer in peers:
                back = presence.choose_peers(peer, "z1", vms, frozenset())
                assert vm in back.near

    def test_one_far_peer_per_other_zone(self):
        """Three other zones, three far peers."""
        vms = [_vm(f"{z}{i}", z) for z in ("z1", "z2", "z3") for i in range(9)]
        chosen = presence.choose_peers("z10", "z1", vms, frozenset())
        assert {vm[:2] for vm in chosen.far} == {"z2", "z3"}
        assert len(chosen.far) == 2

    def test_suspected_vms_leave_the_ring(self):
        """The next VM behind a suspected neighbour is monitored instead."""
        vms = [_vm(f"e{i}") for i in range(20)]
        first = presence.choose_peers("e0", "z1", vms, frozenset()).near
        second = presence.choose_peers("e0", "z1", vms, first).near
        assert not first & second
        assert len(second) == 2
