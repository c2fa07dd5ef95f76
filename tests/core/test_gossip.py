"""Tests of the platform's readers and the dissemination tree of a zone."""

import pytest

from mimosastile_core import fleet
from mimosastile_core import gossip


class TestReaders:
    """A few VMs of a zone read the platform."""

    @pytest.mark.parametrize("size", [0, 1, 2, 3, 50])
    def test_count_is_bounded(self, size):
        """As many as requested, or all members of a smaller zone."""
        chosen = gossip.readers([f"e{i}" for i in range(size)], "watch", 2)
        assert len(chosen) == min(size, 2)

    def test_loss_of_another_changes_nothing(self):
        """The readers don't change when another VM is lost."""
        members = [f"e{i}" for i in range(20)]
        chosen = gossip.readers(members, "watch", 2)
        for lost in set(members) - set(chosen):
            left = [m for m in members if m != lost]
            assert gossip.readers(left, "watch", 2) == chosen


class TestTree:
    """VMs forward an update along a tree."""

    @pytest.mark.parametrize("size", [1, 2, 3, 11, 100, 622])
    def test_reaches_each_member_once(self, size):
        """In a few hops, and no VM sends to more peers than the fan-out."""
        members = [f"e{i}" for i in range(size)]
        level, reached, hops = ["e0"], ["e0"], 0
        while level:
            nexts = [gossip.children("e0", vm, members) for vm in level]
            assert all(len(n) <= gossip.FANOUT for n in nexts)
            level = [vm for n in nexts for vm in n]
            reached += level
            hops += bool(level)
        assert sorted(reached) == sorted(members)
        assert hops <= 5

    def test_unknown_vm_forwards_nothing(self):
        """A VM that isn't in the tree yet waits for a digest."""
        assert gossip.children("e0", "new", ["e0", "e1"]) == []


class TestSampleEachZone:
    """A starting VM queries a few peers of each zone."""

    def test_count_does_not_grow_with_zones(self):
        """Four of each zone, regardless of its size."""
        vms = [
            fleet.Vm(f"{z}{i}", fleet.Role.ENTRY, "r", z, "127.0.0.1", 1)
            for z in "abc"
            for i in range(30)
        ]
        chosen = gossip.sample_each_zone("a0", vms)
        assert {z: sum(v.zone == z for v in chosen) for z in "abc"} == {
            "a": 4,
            "b": 4,
            "c": 4,
        }
