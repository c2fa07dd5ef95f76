"""Tests of the incremental sums over the VMs' reports."""

import collections

import hypothesis
from hypothesis import strategies as st
import pytest

from mimosastile_core.gateway import demand
from mimosastile_core.gateway import directory

COUNTS = st.dictionaries(st.sampled_from("xyz"), st.integers(0, 5), max_size=3)


VMS = (("one:1", "a"), ("two:1", "a"), ("three:1", "b"))
REGIONS = {"a": "east", "b": "west", "c": "west"}


def _targets(slots=2):
    targets = directory.Directory(1.0, 1.0)
    for name, zone in (("x", "a"), ("y", "a"), ("z", "b")):
        targets.put(directory.Target(name, 1, "s", "h:1", zone, slots), 0.0)
    return targets


class TestBusyCounts:
    """The counts of other VMs that a VM receives."""

    @pytest.mark.parametrize(
        ("count", "expected"),
        [(0, {}), (1, {"x": 1}), (2, {"x": 2, "z": 2})],
    )
    def test_near_and_far(self, count, expected):
        """In a VM's own zone half of the slots matter, elsewhere all."""
        sums = demand.Demand(1.5)
        sums.record("vm-1", {"x": 9}, {}, 0.0)
        sums.record("vm-2", {"x": count, "z": count}, {}, 0.0)
        assert sums.busy_counts("vm-1", "a", _targets()) == expected

    def test_failed_vm(self):
        """Guards against the counts of a failed VM staying in the sums."""
        sums = demand.Demand(1.5)
        sums.record("vm-1", {"x": 5}, {"y": 9}, 0.0)
        sums.record("vm-2", {}, {}, 2.0)
        assert sums.busy_counts("vm-2", "a", _targets()) == {}
        assert sums.gates(VMS, REGIONS, {"s"}, _targets()) == {}


class TestGates:
    """Contended targets and their admission gates."""

    def test_hot_key(self):
        """All VMs send to one target; a VM of its zone becomes the gate."""
        sums = demand.Demand(1.5)
        for vm in ("vm-1", "vm-2", "vm-3"):
            sums.record(vm, {"x": 1}, {"x": 2}, 0.0)
        found = sums.gates(VMS, REGIONS, {"s"}, _targets())
        assert found.keys() == {"x"}
        assert found["x"] in {"one:1", "two:1"}
        # The gate stays the same while the same VMs report.
        assert sums.gates(VMS[::-1], REGIONS, {"s"}, _targets()) == found

    @pytest.mark.parametrize(
        ("vms", "expected"),
        [
            ((("one:1", "a"), ("four:1", "b")), "four:1"),
            ((("one:1", "a"), ("five:1", "c")), "five:1"),
            ((("one:1", "a"),), "one:1"),
        ],
    )
    def test_nearest_vm(self, vms, expected):
        """VMs in the target's zone go first, then those of its region."""
        sums = demand.Demand(1.5)
        sums.record("vm-1", {"z": 9}, {}, 0.0)
        assert sums.gates(vms, REGIONS, {"s"}, _targets()) == {"z": expected}

    @pytest.mark.parametrize(
        ("vms", "weak", "expected"),
        [
            ((("one:1", "c"), ("two:1", "b")), ("one:1",), "two:1"),
            ((("one:1", "c"), ("two:1", "c")), ("one:1",), "two:1"),
            ((("one:1", "c"), ("two:1", "a")), ("one:1",), "one:1"),
            ((("one:1", "c"),), ("one:1",), "one:1"),
        ],
        ids=["zone", "same zone", "no other region", "no other VM"],
    )
    def test_weak_vm(self, vms, weak, expected):
        """Guards against gates behind links that responses take up."""
        sums = demand.Demand(1.5)
        sums.record("vm-1", {"z": 9}, {}, 0.0)
        found = sums.gates(vms, REGIONS, {"s"}, _targets(), (), weak)
        assert found == {"z": expected}

    @pytest.mark.parametrize(
        ("strengths", "expected"),
        [
            ({}, set()),
            ({"a": 0.0, "b": 0.0}, set()),
            ({"a": 0.3, "b": 0.3}, set()),
            ({"a": 0.3, "b": 0.5}, set()),
            ({"a": 0.2, "b": 0.5, "c": 0.1}, {"a", "c"}),
        ],
    )
    def test_weak_vms(self, strengths, expected):
        """Guards against VMs of one kind without any gate."""
        assert demand.weak_vms(strengths) == expected

    def test_service_without_keys(self):
        """Its requests can go to other targets and need no gate."""
        sums = demand.Demand(1.5)
        sums.record("vm-1", {"x": 9}, {}, 0.0)
        assert sums.gates(VMS, REGIONS, (), _targets()) == {}

    def test_gates_replace_counts(self):
        """A target has either counts or a gate, which bounds the responses."""
        sums = demand.Demand(1.5)
        sums.record("vm-1", {"x": 9}, {}, 0.0)
        assert sums.busy_counts("vm-2", "a", _targets()) == {"x": 9}
        assert sums.gates(VMS, REGIONS, {"s"}, _targets())
        assert sums.busy_counts("vm-2", "a", _targets()) == {}

    def test_no_vm_reports(self):
        """Without reporting VMs there is no gate."""
        sums = demand.Demand(1.5)
        sums.record("vm-1", {"x": 9}, {}, 0.0)
        assert sums.gates((), REGIONS, {"s"}, _targets()) == {}

    def test_gate_does_not_flap(self):
        """Demand varies around a target's slots; its gate stays."""
        sums = demand.Demand(1.5)
        contended = []
        for count in (2, 3, 2, 3, 2, 1):
            sums.record("vm-1", {"x": count}, {}, 0.0)
            contended.append(bool(sums.gates(VMS, REGIONS, {"s"}, _targets())))
        assert contended == [False, True, True, True, True, False]

    @hypothesis.given(
        reports=st.lists(
            st.tuples(st.sampled_from("ab"), COUNTS, COUNTS), max_size=8
        )
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_sums_equal_those_of_the_last_reports(self, reports):
        """After any series of reports only the last of each VM counts."""
        sums = demand.Demand(1.5)
        last = {}
        for vm, under_way, waiting in reports:
            sums.record(vm, under_way, waiting, 0.0)
            last[vm] = (under_way, waiting)
        totals = collections.Counter()
        for under_way, waiting in last.values():
            totals.update(under_way)
            totals.update(waiting)
        expected = {target for target, total in totals.items() if total > 2}
        assert sums.gates(VMS, REGIONS, {"s"}, _targets()).keys() == expected
