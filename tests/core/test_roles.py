"""Tests of the assignment of keepers to targets."""

import pytest

from mimosastile_core import fleet
from mimosastile_core import roles
from mimosastile_core import tables

LIVE, LEAVING = fleet.VmState.LIVE, fleet.VmState.LEAVING


def _entry(vm, zone="z", state=LIVE):
    return fleet.Vm(vm, fleet.Role.ENTRY, "r", zone, "h", 1, "", state)


def _target(vm, zone="z"):
    return fleet.Vm(vm, fleet.Role.TARGET, "r", zone, "h", 1, "s")


def _block(**keepers):
    slices = tuple(
        tables.Slice(i, i, target, 1) for i, target in enumerate("tu")
    )
    named = {t: tables.KeeperRef(vm, "b", 1) for t, vm in keepers.items()}
    return tables.Block("s", 0, 1, slices, named)


def _claims(block, vms, me="e1", boot="b", suspects=(), offered=None):
    view = roles.View(
        me, boot, fleet.Fleet(tuple(vms)), frozenset(suspects), offered or {}
    )
    return {c.target: c.suspected for c in roles.claims(block, view)}


TARGETS = (_target("t"), _target("u"))
BOTH = (*TARGETS, _entry("e1"), _entry("e2"))


class TestClaims:
    """The roles that a VM claims."""

    @pytest.mark.parametrize(
        ("keepers", "vms", "options", "claimed"),
        [
            ({"t": "e2", "u": "e2"}, BOTH, {}, {}),
            ({}, BOTH, {}, {"t": False}),
            ({}, BOTH, {"me": "e2"}, {"u": False}),
            ({"t": "e2", "u": "e1"}, BOTH, {"suspects": ["e2"]}, {"t": True}),
            ({"t": "e2", "u": "e1"}, BOTH, {"suspects": ["e1"]}, {}),
            ({"t": "e1", "u": "e2"}, BOTH, {"boot": "b2"}, {"t": False}),
            (
                {"t": "e2", "u": "e2"},
                (*TARGETS, _entry("e1"), _entry("e2", state=LEAVING)),
                {},
                {"t": False, "u": False},
            ),
            (
                {"t": "e2", "u": "e2"},
                (*TARGETS, _entry("e1", "other")),
                {},
                {},
            ),
            (
                {"t": "e2", "u": "e2"},
                (TARGETS[0], _entry("e1", "other")),
                {},
                {"u": False},
            ),
            (
                {"t": "e2", "u": "e2"},
                BOTH,
                {"offered": {"t": 1, "u": 0}},
                {"t": False},
            ),
        ],
        ids=[
            "kept",
            "unkept-first",
            "unkept-second",
            "suspected",
            "suspects-itself",
            "restarted",
            "leaving",
            "other-zone",
            "gone-target-of-a-failed-zone",
            "offered",
        ],
    )
    def test_table(self, keepers, vms, options, claimed):
        """Each reason for a claim, and cases without one."""
        assert _claims(_block(**keepers), vms, **options) == claimed
