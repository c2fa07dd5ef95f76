"""Sums over reports, kept up as reports come."""

import collections

import hypothesis
from hypothesis import strategies as st
import pytest

from mimosastile_core.gateway import demand
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import room

COUNTS = st.dictionaries(st.sampled_from("xyz"), st.integers(0, 5), max_size=3)


def _targets(slots=2):
    known = directory.Directory(1.0, 1.0)
    for name, zone in (("x", "a"), ("y", "a"), ("z", "b")):
        known.put(directory.Target(name, 1, "s", "h:1", zone, slots), 0.0)
    return known


class TestBusy:
    """What a VM hears of the others."""

    @pytest.mark.parametrize(
        ("count", "told"),
        [(0, {}), (1, {"x": 1}), (2, {"x": 2, "z": 2})],
    )
    def test_near_and_far(self, count, told):
        """In its own zone half of the slots matter, elsewhere all."""
        sums = demand.Demand(1.5)
        sums.take("vm-1", {"x": 9}, {}, 0.0)
        sums.take("vm-2", {"x": count, "z": count}, {}, 0.0)
        assert sums.busy("vm-1", "a", _targets()) == told

    def test_gone_vm(self):
        """A VM dies; what it had does not count for ever."""
        sums = demand.Demand(1.5)
        sums.take("vm-1", {"x": 5}, {"y": 9}, 0.0)
        sums.take("vm-2", {}, {}, 2.0)
        assert sums.busy("vm-2", "a", _targets()) == {}
        assert sums.parts("vm-2", {}, _targets(), 6, 0) == {}


class TestParts:
    """How a contended target's room is dealt."""

    def test_sum(self):
        """A hot key: all VMs want one target, and share its room."""
        sums = demand.Demand(1.5)
        vms = [f"vm-{i}" for i in range(20)]
        for vm in vms:
            sums.take(vm, {"x": 1}, {"x": 2}, 0.0)
        parts = [sums.parts(vm, {"x": 2}, _targets(), 6, 0)["x"] for vm in vms]
        assert sum(part.allowed for part in parts) == 8
        assert parts[0].share == pytest.approx(0.4)

    @hypothesis.given(
        reports=st.lists(
            st.tuples(st.sampled_from("ab"), COUNTS, COUNTS), max_size=8
        )
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_as_if_added_up(self, reports):
        """Whatever came before, only the last report of each VM counts."""
        sums = demand.Demand(1.5)
        last = {}
        for vm, under_way, waiting in reports:
            sums.take(vm, under_way, waiting, 0.0)
            last[vm] = (under_way, waiting)
        needs = collections.defaultdict(dict)
        for vm, (under_way, waiting) in last.items():
            for target in {**under_way, **waiting}:
                count = under_way.get(target, 0) + waiting.get(target, 0)
                needs[target][vm] = count
        expected = {
            target: room.part("a", wanted, 3, 1)
            for target, wanted in needs.items()
            if sum(wanted.values()) > 3
        }
        assert sums.parts("a", {}, _targets(), 1, 1) == expected
