"""The choice of a target for a request."""

import collections
import itertools

import pytest

from mimosastile_core.gateway import directory
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import target_feedback

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
    """Which target gets a request."""

    def test_near_before_far(self):
        """With equal load the zone goes before the region and the link."""
        targets = [_target("x", "b1"), _target("y", "a2"), _target("z", "a1")]
        assert _choose(_balancer(), targets).target.id == "z"

    def test_large_answers_stay_near(self):
        """Downloads fill the link between regions and are paid for there.

        A short wait in the zone is better than a hundred kilobytes across.
        """
        balancer = _balancer()
        for _ in range(200):
            balancer.answered("r", "near", 0.1, 90_000, 10.0)
        balancer.load("near").own = 6
        targets = [_target("near"), _target("far", "b1")]
        assert _choose(balancer, targets).target.id == "near"

    @pytest.mark.parametrize(("under_way", "chosen"), [(5, "near"), (7, "far")])
    def test_near_only_within_the_target_latency(self, under_way, chosen):
        """Large answers are worth a wait nearby, but not to be late for it.

        All targets of a zone are busy. Going to the next zone at once pays for
        bytes and gains callers nothing; staying for ever makes them wait.
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

    def test_free_before_busy(self):
        """A target whose slots are taken loses to one in the next zone."""
        balancer = _balancer()
        balancer.load("x").own = 8
        targets = [_target("x"), _target("y", "a2")]
        assert _choose(balancer, targets).target.id == "y"

    def test_others_requests_count(self):
        """What other VMs have under way fills a target as well."""
        balancer = _balancer()
        balancer.record_other_requests({"x": 9}, 10.0)
        targets = [_target("x"), _target("y", "a2")]
        assert _choose(balancer, targets).target.id == "y"
        # Old news count for nothing.
        assert _choose(balancer, targets, now=20.0).target.id == "x"

    def test_slow_target_gets_less(self):
        """A target turns slow; its answers show it."""
        balancer = _balancer()
        for _ in range(30):
            balancer.answered("r", "y", 0.1, 100, 10.0)
            balancer.answered("r", "x", 0.6, 100, 10.0)
        targets = [_target("x"), _target("y", "a2")]
        assert _choose(balancer, targets).target.id == "y"

    def test_failing_target_gets_less_and_comes_back(self):
        """A target sheds half of its requests though its health is good."""
        balancer = _balancer()
        for _ in range(10):
            balancer.load("x").failed(10.0)
        targets = [_target("x"), _target("y", "a2")]
        assert _choose(balancer, targets).target.id == "y"
        assert _choose(balancer, targets, now=25.0).target.id == "x"

    def test_unreachable_target_rests(self):
        """A target that cannot be reached is left alone, not forgotten."""
        balancer = _balancer()
        balancer.load("x").unreachable(10.0)
        targets = [_target("x"), _target("y", "b1")]
        assert _choose(balancer, targets).target.id == "y"
        assert _choose(balancer, targets[:1]).target.id == "x"

    def test_full_targets_get_nothing(self):
        """Targets that never answer what they cannot queue are not filled.

        A request beyond the queue would hang with its connection.
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
        assert balancer.full(_target("x"), most, 10.0) is full


class TestLoad:
    """What is learned of one target."""

    def test_one_long_request_does_not_make_it_slow(self):
        """One request in a hundred takes several times as long."""
        load = load_balancing.TargetStats()
        for _ in range(30):
            load.answered(0.1, 0.1, 1.0)
        load.answered(3.0, 0.1, 1.0)
        assert load.factor < 1.5

    def test_rest_grows_and_ends(self):
        """Repeated failures to reach it make it rest longer."""
        load = load_balancing.TargetStats()
        load.unreachable(0.0)
        first = load.rest_until
        load.unreachable(10.0)
        assert load.rest_until - 10.0 > first
        for _ in range(20):
            load.unreachable(20.0)
        assert load.rest_until <= 24.0

    def test_forgets_targets_that_are_gone(self):
        """Targets come and go all day; what was learned of them goes too."""
        balancer = _balancer()
        balancer.load("x").own = 1
        balancer.load("y")
        balancer.forget_except([])
        assert balancer.own() == {"x": 1}
        balancer.load("x").own = 0
        balancer.forget_except([])
        assert balancer.factors() == {}


class TestOldCounts:
    """Counts of other VMs that are some tenths of a second old."""

    def _most(self, vms, reckons_for):
        """Plays a burst; returns the most that one of 8 targets got."""
        targets = [_target(f"t{n}") for n in range(8)]
        got = collections.Counter()
        for vm in range(vms):
            balancer = _balancer()
            # All were told the same: one target is empty.
            counts = {target.id: 4 for target in targets[1:]}
            balancer.record_other_requests(counts, 10.0)
            for n in range(3):
                jitter = ((vm * 3 + n) * 0.37) % 1
                choice = balancer.choose(
                    targets, "r", 0.1, 100, reckons_for, 10.0, jitter
                )
                balancer.load(choice.target.id).begin()
                got[choice.target.id] += 1
        return max(got.values())

    def test_burst_does_not_fall_on_one_target(self):
        """Many users come at once; all VMs find the same target empty.

        It gets what all VMs send in the time between two counts, and resets
        what it cannot queue.
        """
        assert self._most(12, reckons_for=12) < 0.6 * self._most(12, 1)

    def test_far_targets_do_not_seem_emptier(self):
        """This VM has sent to all targets beside it since the last counts.

        Others may have too; that is no reason to cross into another region.
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
    """A target that many VMs want, before it has a gate."""

    @pytest.mark.parametrize(("vms", "own"), [(1, 10), (10, 2), (75, 1)])
    def test_each_vm_keeps_to_its_part(self, vms, own):
        """A key gets hot within a tenth of a second.

        A hundred VMs find its target with room and all send at once. It would
        get more than it can queue and never answer the rest; their callers
        would wait until their deadlines for nothing.
        """
        balancer = _balancer()
        balancer.record_other_requests({"x": 4 if vms > 1 else 0}, 10.0)
        balancer.load("x").own = own
        assert balancer.full_owner(_target("x"), vms, 10.0)
        balancer.load("x").own = own - 1
        assert not balancer.full_owner(_target("x"), vms, 10.0)

    def test_free_slots_are_used(self):
        """Two requests for one key at once wait for nothing."""
        balancer = _balancer()
        balancer.load("x").own = 3
        assert not balancer.full_owner(_target("x"), 75, 10.0)


class TestGates:
    """Who admits requests to a target."""

    def test_named_by_the_leader(self):
        """A contended target has a gate, any other none."""
        balancer = _balancer()
        balancer.replace_gates({"x": "vm-2:1"}, 10.0)
        assert balancer.gate("x", 10.1) == "vm-2:1"
        assert balancer.gate("y", 10.1) is None

    def test_old_word_of_a_lost_leader(self):
        """The leader falls silent; gates may have changed since."""
        balancer = _balancer()
        balancer.replace_gates({"x": "vm-2:1"}, 10.0)
        assert balancer.gate("x", 20.0) is None

    def test_silent_gate(self):
        """A gate is cut off from this VM.

        Its callers would wait for its word with each request; they are served
        without it, and it is asked again later.
        """
        balancer = _balancer()
        balancer.replace_gates({"x": "vm-2:1"}, 10.0)
        balancer.record_silent_gate("vm-2:1", 10.0)
        assert balancer.gate("x", 10.5) is None
        balancer.replace_gates({"x": "vm-2:1"}, 11.5)
        assert balancer.gate("x", 11.5) == "vm-2:1"


class TestCompare:
    """Targets that have just said their load."""

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
            # It is slow for less time than the other's queue takes.
            ({"x": (1, 0, 2, 3.0), "y": (2, 3, 2, 1.0)}, "x"),
            ({"x": (2, 6, 2), "y": (2, 7, 2)}, None),
        ],
    )
    def test_earliest_answer(self, loads, chosen):
        """Guards against work for targets that are full or slow now."""
        found = self._compare(loads)
        assert (found.target.id if found.target else None) == chosen
        assert found.seconds < 10.0

    @pytest.mark.parametrize(
        ("on_time", "waiting", "taken"),
        [(1.0, 3, True), (0.5, 3, False), (-1.0, 1, True), (-1.0, 2, False)],
    )
    def test_late_ones_get_what_is_left(self, on_time, waiting, taken):
        """Guards against late requests that make others late."""
        found = self._compare({"x": (2, waiting, 2)}, on_time)
        assert (found.target is not None) is taken

    @pytest.mark.parametrize(
        ("said", "runs"),
        [((0, 0, 2), 1.0), ((2, 0, 2), 1.5), ((2, 3, 2), 3.0)],
    )
    def test_runs_before_it(self, said, runs):
        """Guards against work that is never learned while targets are full."""
        assert self._compare({"x": said}).runs == runs

    def test_no_time_left(self):
        """Guards against a send whose answer cannot come in time."""
        assert self._compare({"x": (2, 0, 2)}, -1.0, 0.2).target is None

    def test_work_is_learned_while_targets_are_full(self):
        """Guards against refusals beside room after a restart under load.

        The first guess of a route's work is too long, and every request waits
        at its target: without their answers it would stay so for ever.
        """
        balancer = _balancer()
        target = _target("x", slots=2)
        guess, work = 0.5, 0.2
        loads = itertools.cycle([(2, 0, 2), (2, 1, 2)])
        for said in itertools.islice(loads, 200):
            balancer.record_load(target, target_feedback.TargetLoad(*said))
            found = balancer.compare([target], "r", guess, 100, 10.0, 5.0, 5.0)
            seconds = work * found.runs
            balancer.answered("r", "x", seconds / found.runs, 100, 10.0)
        assert balancer.work("r", guess) == pytest.approx(work)
        balancer.record_load(target, target_feedback.TargetLoad(2, 3, 2))
        found = balancer.compare([target], "r", guess, 100, 10.0, 1.0, 2.0)
        assert found.target is target
