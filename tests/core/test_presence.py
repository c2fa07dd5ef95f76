"""Tests of presence and suspicion."""

import pytest

from mimosastile_core import fleet
from mimosastile_core import presence

TIMING = presence.Timing()


def _vm(name, zone="z1"):
    return fleet.Vm(name, fleet.Role.ENTRY, "r", zone, "127.0.0.1", 1)


def _following(*near, far=(), vm="a"):
    detector = presence.Detector(vm, TIMING, 0.0)
    peers = presence.Peers(frozenset(near), frozenset(far))
    detector.follow(peers, [*near, *far], 0.0)
    for vm in near:
        detector.heard(vm, (), 0.0)
    return detector


def _run(detector, begin, end, answers):
    """Ticks as due; `answers(vm, now)` gives a delay or None for silence."""
    now, late, changes, probes = begin, [], [], 0
    while now < end:
        for at, vm in [x for x in late if x[0] <= now]:
            detector.heard(vm, (), at)
            late.remove((at, vm))
        step = detector.tick(now)
        if step.changed:
            changes.append((round(now, 3), set(detector.suspected)))
        for vm in step.probes:
            probes += 1
            delay = answers(vm, now)
            if delay is not None:
                late.append((now + delay, vm))
        dues = [detector.next_due(now), *(at for at, _ in late)]
        now = max(min(dues), now + 1e-6)
    return changes, probes


class TestCrash:
    """An entry VM dies without a word.

    Its keepers renew nothing any more, and callers wait until somebody takes
    its targets over, which begins with this suspicion.
    """

    @pytest.mark.parametrize("vm", ["a", "z"])
    @pytest.mark.parametrize("at", [1.0, 1.01, 1.03, 1.05, 1.079])
    def test_is_suspected_within_the_limit(self, at, vm):
        """Wherever in the interval it dies, whoever begins exchanges."""
        detector = _following("b", vm=vm)
        changes, _ = _run(
            detector, 0.0, 2.0, lambda _, now: 0.001 if now < at else None
        )
        (when, suspected), *_ = changes
        assert suspected == {"b"}
        assert at < when <= at + 0.25

    def test_return_ends_the_suspicion(self):
        """Two answers in a row are needed."""
        detector = _following("b")
        _run(detector, 0.0, 1.0, lambda _, now: None)
        assert detector.suspected == {"b"}
        detector.tick(1.0)
        detector.heard("b", (), 1.1)
        detector.tick(1.11)
        assert detector.suspected == {"b"}
        detector.heard("b", (), 1.2)
        detector.tick(1.21)
        assert detector.suspected == frozenset()


class TestSlowAnswers:
    """A busy peer answers late, or now and then not at all.

    If each late answer counted as a loss, its targets would change keepers
    again and again, and callers would notice each time.
    """

    @pytest.mark.parametrize("delay", [0.05, 0.1, 0.15, 0.3, 0.6])
    def test_even_delay_does_not_flap(self, delay):
        """At most one suspicion, at the step from quick to slow."""
        detector = _following("b")
        changes, _ = _run(
            detector, 0.0, 20.0, lambda _, now: 0.001 if now < 1 else delay
        )
        assert len(changes) <= 2

    def test_patience_bounds_suspicions(self):
        """A peer that hangs 300 ms each second is suspected a few times."""
        detector = _following("b")
        changes, _ = _run(
            detector, 0.0, 20.0, lambda _, now: None if now % 1 < 0.3 else 0.001
        )
        assert 0 < len(changes) <= 4


class TestOwnPause:
    """This VM itself is paused for a while.

    It then sees long silence from everyone; a storm of takeovers would follow
    although nothing is wrong with the others.
    """

    def test_nobody_is_suspected_after_it(self):
        """Silence during the own pause does not count."""
        detector = _following("b", "c")
        _run(detector, 0.0, 1.0, lambda vm, now: 0.001)
        step = detector.tick(9.0)
        assert not step.changed
        changes, _ = _run(detector, 9.0, 12.0, lambda vm, now: 0.001)
        assert changes == []


class TestWord:
    """What one VM observes reaches those that do not follow the lost one."""

    def test_is_believed_for_a_while(self):
        """It expires unless it is told again."""
        detector = _following("b")
        detector.heard("b", ("x",), 0.1)
        detector.tick(0.1)
        assert detector.suspected == {"x"}
        _run(detector, 0.1, 6.0, lambda vm, now: None)
        assert detector.suspected == {"b"}

    def test_own_observation_goes_first(self):
        """A followed peer that answers is not suspected on others' word."""
        detector = _following("b", "c")
        detector.heard("b", ("c",), 0.05)
        detector.tick(0.06)
        assert detector.suspected == frozenset()

    def test_suspicion_is_told_again_while_it_lasts(self):
        """A lost message is made good within a second."""
        detector = _following("b")
        told = sum(detector.tick(0.05 * i).tell for i in range(61))
        assert 3 <= told <= 4


class TestEcho:
    """Two VMs tell each other about a third one that has come back.

    If each told on what it was told, both would believe it for ever, and the
    returned VM would never keep a target again.
    """

    def test_hearsay_is_not_told_on(self):
        """Only own observations are."""
        detector = _following("b")
        detector.heard("b", ("x",), 0.1)
        detector.tick(0.1)
        assert detector.suspected == {"x"}
        assert detector.told_near == frozenset()
        assert detector.told_far(0.1) == {"x"}

    def test_other_zones_word_stays_here(self):
        """Each VM has its own exchange with the other zones."""
        detector = _following("b")
        detector.heard("f", ("x",), 0.1, near=False)
        detector.tick(0.1)
        assert detector.suspected == {"x"}
        assert detector.told_far(0.1) == frozenset()

    def test_nobody_suspects_itself(self):
        """Others' word on this VM is wrong, as it is here to hear it."""
        detector = _following("b")
        detector.heard("b", ("a",), 0.1)
        detector.tick(0.1)
        assert detector.suspected == frozenset()


class TestChoice:
    """Whom a VM exchanges presence with."""

    @pytest.mark.parametrize("size", [2, 3])
    def test_small_zone_is_a_full_mesh(self, size):
        """Everyone follows everyone."""
        vms = [_vm(f"e{i}") for i in range(size)]
        for vm in vms:
            chosen = presence.choose_peers(vm.id, "z1", vms, frozenset())
            assert chosen.near == {v.id for v in vms} - {vm.id}

    @pytest.mark.parametrize("size", [10, 100, 600])
    def test_cost_does_not_grow_with_the_zone(self, size):
        """Two near peers, and following is mutual."""
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
        """The next one behind a lost neighbour is followed instead."""
        vms = [_vm(f"e{i}") for i in range(20)]
        first = presence.choose_peers("e0", "z1", vms, frozenset()).near
        second = presence.choose_peers("e0", "z1", vms, first).near
        assert not first & second
        assert len(second) == 2
