"""Tests of the choice of a target for a request."""

import collections
import itertools

import pytest

from mimosastile_core.gateway import directory
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import target_feedback
from mimosastile_core.gateway import target_speeds

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}


def _target(name, zone="a1", slots=4, warm_at=0.0):
    return directory.Target(
        name, 1, "s", "10.0.0.1:80", zone, slots, warm_at=warm_at
    )


def _balancer():
    return load_balancing.LoadBalancer(
        load_balancing.Location("a1", "a"), REGIONS, load_balancing.Policy()
    )


def _choose(balancer, targets, now=10.0):
    return balancer.choose(targets, "r", 0.1, 100, 1, now, 0.0)


class TestChoose:
    """The choice of a target."""

    def test_nearest_first(self):
        """With equal load, the own zone goes first, then the own region."""
        targets = [_target("x", "b1"), _target("y", "a2"), _target("z", "a1")]
        assert _choose(_balancer(), targets).target.id == "z"

    def test_large_answers_stay_near(self):
        """Guards against large responses that cross regions needlessly.

        Downloads fill the link between regions, which is billed. A short wait
        in the zone is better than sending 90 kB across.
        """
        balancer = _balancer()
        for _ in range(200):
            balancer.answered("r", "near", 0.1, 90_000, 10.0)
        balancer.load("near").own = 6
        targets = [_target("near"), _target("far", "b1")]
        assert _choose(balancer, targets).target.id == "near"

    @pytest.mark.parametrize(("under_way", "chosen"), [(5, "near"), (7, "far")])
    def test_near_only_within_the_target_latency(self, under_way, chosen):
        """Guards against both extremes for large responses from a busy zone.

        Going to the next zone at once costs bytes and gains callers nothing.
        Staying in the zone without a bound makes responses late.
        """
        balancer = _balancer()
        for _ in range(30):
            balancer.answered("r", "near", 0.1, 500_000, 10.0)
        balancer.load("near").own = under_way
        targets = [_target("near"), _target("far", "a2")]
        choice = balancer.choose(
            targets, "r", 0.1, 100, 1, 10.0, 0.0, latency=0.2
        )
        assert choice.target.id == chosen

    def test_free_target_before_busy_one(self):
        """A target without a free slot loses to one in the next zone."""
        balancer = _balancer()
        balancer.load("x").own = 8
        targets = [_target("x"), _target("y", "a2")]
        assert _choose(balancer, targets).target.id == "y"

    def test_requests_of_other_vms_count(self):
        """Requests of other VMs fill a target as well."""
        balancer = _balancer()
        balancer.record_other_requests({"x": 9}, 10.0)
        targets = [_target("x"), _target("y", "a2")]
        assert _choose(balancer, targets).target.id == "y"
        # Outdated counts are ignored.
        assert _choose(balancer, targets, now=20.0).target.id == "x"

    def test_slow_target_gets_less(self):
        """A target becomes slow, and its response times show it."""
        balancer = _balancer()
        for _ in range(30):
            balancer.answered("r", "y", 0.1, 100, 10.0)
            balancer.answered("r", "x", 0.6, 100, 10.0)
        targets = [_target("x"), _target("y", "a2")]
        assert _choose(balancer, targets).target.id == "y"

    def test_failing_target_gets_less_until_it_recovers(self):
        """A target sheds half of its requests though its health checks pass."""
        balancer = _balancer()
        for _ in range(10):
            balancer.load("x").failed(10.0)
        targets = [_target("x"), _target("y", "a2")]
        assert _choose(balancer, targets).target.id == "y"
        assert _choose(balancer, targets, now=25.0).target.id == "x"

    def test_unreachable_target_is_backed_off_from(self):
        """A target that cannot be reached is backed off from, not dropped."""
        balancer = _balancer()
        balancer.load("x").unreachable(10.0)
        targets = [_target("x"), _target("y", "b1")]
        assert _choose(balancer, targets).target.id == "y"
        assert _choose(balancer, targets[:1]).target.id == "x"

    def test_full_targets_get_no_requests(self):
        """Guards against overfilling targets that never answer such requests.

        A request beyond the target's queue would hang with its connection.
        """
        balancer = _balancer()
        balancer.record_other_requests({"x": 12}, 10.0)
        choice = _choose(balancer, [_target("x")])
        assert choice.target is None
        assert 0 < choice.seconds < 1

    @pytest.mark.parametrize(("most", "full"), [(3, True), (4, False)])
    def test_own_share_of_connections(self, most, full):
        """One VM does not take all connections of a target."""
        balancer = _balancer()
        balancer.load("x").own = 3
        assert balancer.is_full(_target("x"), most, 10.0) is full


class TestLoad:
    """The recorded load and health of one target."""

    def test_one_long_request_does_not_make_it_slow(self):
        """One request in a hundred takes several times as long."""
        load = load_balancing.TargetStats()
        for _ in range(30):
            load.answered(0.1, 0.1, 1.0)
        load.answered(3.0, 0.1, 1.0)
        assert load.factor < 1.5

    def test_assumes_what_other_vms_have_measured(self):
        """Guards against a restarted VM that takes all targets for equal."""
        balancer = _balancer()
        speed = target_speeds.SpeedSample(3.0, 200.0, 1.0)
        balancer.assume_speeds({"x": speed})
        assert _choose(balancer, [_target("x"), _target("y")]).target.id == "y"
        balancer.answered("r", "x", 0.1, 100, 10.0)
        assert 2.5 < balancer.load("x").factor < 3.0
        balancer.assume_speeds({"x": speed})
        assert balancer.load("x").factor < 3.0

    @pytest.mark.parametrize("found", [1, 4, 6, 7])
    def test_speed_is_measured_while_requests_wait(self, found):
        """Guards against speeds that go unmeasured, or wrong, under load."""
        balancer = _balancer()
        occupancy = target_speeds.occupancy(4, found, gated=True)
        for _ in range(50):
            for target, work in (("x", 0.3), ("y", 0.1)):
                seconds = work * max(found / 4, 1)
                balancer.answered(
                    "r", target, seconds, 100, 10.0, occupancy=occupancy
                )
        factors = balancer.factors()
        assert factors["x"] / factors["y"] == pytest.approx(3.0, rel=0.15)
        assert balancer.work("r", 1.0) == pytest.approx(0.2, rel=0.2)

    def test_backoff_grows_up_to_a_bound(self):
        """Repeated connection failures lengthen the backoff up to a bound."""
        load = load_balancing.TargetStats()
        load.unreachable(0.0)
        first = load.backoff_until
        load.unreachable(10.0)
        assert load.backoff_until - 10.0 > first
        for _ in range(20):
            load.unreachable(20.0)
        assert load.backoff_until <= 24.0

    def test_drops_ended_targets(self):
        """Guards against a leak: targets come and go all day."""
        balancer = _balancer()
        balancer.load("x").own = 1
        balancer.load("y")
        balancer.retain([])
        assert balancer.own() == {"x": 1}
        balancer.load("x").own = 0
        balancer.retain([])
        assert balancer.factors() == {}


class TestOutdatedCounts:
    """Counts of other VMs that are some tenths of a second old."""

    def _most_at_one_target(self, vms, assumed_vms):
        """Simulates a burst; returns the most that one of 8 targets got."""
        targets = [_target(f"t{n}") for n in range(8)]
        received = collections.Counter()
        for vm in range(vms):
            balancer = _balancer()
            # All VMs got the same counts: one target is empty.
            counts = {target.id: 4 for target in targets[1:]}
            balancer.record_other_requests(counts, 10.0)
            for n in range(3):
                jitter = ((vm * 3 + n) * 0.37) % 1
                choice = balancer.choose(
                    targets, "r", 0.1, 100, assumed_vms, 10.0, jitter
                )
                balancer.load(choice.target.id).begin()
                received[choice.target.id] += 1
        return max(received.values())

    def test_burst_does_not_fall_on_one_target(self):
        """Guards against a burst that all VMs send to the same empty target.

        It would get what all VMs send between two counts, and reset what it
        cannot queue.
        """
        assert self._most_at_one_target(
            12, assumed_vms=12
        ) < 0.6 * self._most_at_one_target(12, 1)

    def test_far_targets_do_not_seem_emptier(self):
        """Guards against crossing into another region on estimated counts.

        This VM has sent to all nearby targets since the last counts, and other
        VMs may have done the same.
        """
        balancer = _balancer()
        near = [_target(f"n{n}") for n in range(2)]
        far = _target("f", zone="c")
        balancer.record_other_requests({t.id: 0 for t in (*near, far)}, 10.0)
        for target in near:
            balancer.load(target.id).begin()
        choice = balancer.choose([*near, far], "r", 0.1, 100, 67, 10.0, 0.0)
        assert choice.target.id != "f"


class TestWithoutGate:
    """A target that many VMs send to before it has an admission gate."""

    @pytest.mark.parametrize(("vms", "own"), [(1, 10), (10, 2), (75, 1)])
    def test_each_vm_keeps_to_its_share(self, vms, own):
        """Guards against a target flooded when a key becomes hot within 0.1 s.

        A hundred VMs see free capacity and all send at once. The target would
        get more than it can queue and never answer the excess; callers would
        wait until their deadlines.
        """
        balancer = _balancer()
        balancer.record_other_requests({"x": 4 if vms > 1 else 0}, 10.0)
        balancer.load("x").own = own
        assert balancer.is_owner_full(_target("x"), vms, 10.0)
        balancer.load("x").own = own - 1
        assert not balancer.is_owner_full(_target("x"), vms, 10.0)

    def test_free_slots_are_used(self):
        """Two concurrent requests for one key need not wait."""
        balancer = _balancer()
        balancer.load("x").own = 3
        assert not balancer.is_owner_full(_target("x"), 75, 10.0)


class TestGates:
    """The admission gates of targets."""

    def test_assigned_by_the_leader(self):
        """A contended target has a gate, any other has none."""
        balancer = _balancer()
        balancer.replace_gates({"x": "vm-2:1"}, 10.0)
        assert balancer.gate("x", 10.1) == "vm-2:1"
        assert balancer.gate("y", 10.1) is None

    def test_outdated_update_of_a_lost_leader(self):
        """The leader is silent; gates may have changed since its update."""
        balancer = _balancer()
        balancer.replace_gates({"x": "vm-2:1"}, 10.0)
        assert balancer.gate("x", 20.0) is None

    def test_silent_gate(self):
        """Guards against requests that each wait for an unreachable gate.

        They are served without the gate, and it is used again later.
        """
        balancer = _balancer()
        balancer.replace_gates({"x": "vm-2:1"}, 10.0)
        balancer.record_silent_gate("vm-2:1", 10.0)
        assert balancer.gate("x", 10.5) is None
        balancer.replace_gates({"x": "vm-2:1"}, 11.5)
        assert balancer.gate("x", 11.5) == "vm-2:1"


class TestCompare:
    """Targets that have just reported their load."""

    @staticmethod
    def _compare(loads, on_time=1.0, left=2.0):
        balancer = _balancer()
        targets = []
        for name, said in loads.items():
            targets.append(_target(name, slots=2))
            balancer.record_load(targets[-1], target_feedback.TargetLoad(*said))
        return balancer.compare(targets, "r", 0.2, 100, 10.0, on_time, left)

    @pytest.mark.parametrize(
        ("loads", "chosen"),
        [
            ({"x": (0, 0, 2), "y": (2, 0, 2)}, "x"),
            ({"x": (2, 3, 2), "y": (2, 0, 2)}, "y"),
            ({"x": (1, 0, 2, 3.0), "y": (1, 0, 2, 1.0)}, "y"),
            # Its slowness passes in less time than the other's queue takes.
            ({"x": (1, 0, 2, 3.0), "y": (2, 3, 2, 1.0)}, "x"),
            ({"x": (2, 6, 2), "y": (2, 7, 2)}, None),
        ],
    )
    def test_earliest_answer(self, loads, chosen):
        """Guards against sending to targets that are full or slow now."""
        choice = self._compare(loads)
        assert (choice.target.id if choice.target else None) == chosen
        assert choice.seconds < 10.0

    @pytest.mark.parametrize(
        ("on_time", "waiting", "taken"),
        [(1.0, 3, True), (0.5, 3, False), (-1.0, 1, True), (-1.0, 2, False)],
    )
    def test_late_requests_need_a_short_queue(self, on_time, waiting, taken):
        """Guards against late requests that make others late."""
        choice = self._compare({"x": (2, waiting, 2)}, on_time)
        assert (choice.target is not None) is taken

    @pytest.mark.parametrize(
        ("said", "expected"),
        [((0, 0, 2), 1.0), ((2, 0, 2), 1.5), ((2, 3, 2), 3.0)],
    )
    def test_service_times_ahead(self, said, expected):
        """Guards against full targets whose service times go unmeasured."""
        assert self._compare({"x": said}).service_times == expected

    def test_no_time_left(self):
        """Guards against sending a request that cannot be answered in time."""
        assert self._compare({"x": (2, 0, 2)}, -1.0, 0.2).target is None

    def test_service_time_is_measured_while_targets_are_full(self):
        """Guards against refusals despite capacity after a restart under load.

        The initial guess of a route's service time is too long, and every
        request waits at its target. If queued responses were not measured, the
        guess would stay for ever.
        """
        balancer = _balancer()
        target = _target("x", slots=2)
        guess, work = 0.5, 0.2
        loads = itertools.cycle([(2, 0, 2), (2, 1, 2)])
        for said in itertools.islice(loads, 200):
            balancer.record_load(target, target_feedback.TargetLoad(*said))
            choice = balancer.compare([target], "r", guess, 100, 10.0, 5.0, 5.0)
            seconds = work * choice.service_times
            balancer.answered(
                "r", "x", seconds / choice.service_times, 100, 10.0
            )
        assert balancer.work("r", guess) == pytest.approx(work)
        balancer.record_load(target, target_feedback.TargetLoad(2, 3, 2))
        choice = balancer.compare([target], "r", guess, 100, 10.0, 1.0, 2.0)
        assert choice.target is target
