"""Tests of the selection of targets to compare."""

import random

import pytest

from mimosastile_core.gateway import directory
from mimosastile_core.gateway import sampling

ZONES = ("near", "next", "far")


def _targets(count, zones=ZONES):
    return [
        directory.Target(
            id=f"{zone}-{n}",
            born=1,
            service="s",
            address="",
            zone=zone,
            slots=2,
        )
        for zone in zones
        for n in range(count)
    ]


def _distance(target):
    return ZONES.index(target.zone)


def _pool(targets, vm="vm-1"):
    return sampling.pool(targets, vm, _distance)


class TestPool:
    """A VM's subset of the targets."""

    @pytest.mark.parametrize(("count", "kept"), [(3, 3), (8, 8), (40, 8)])
    def test_subset_of_each_distance(self, count, kept):
        """Guards against a connection from every VM to every target."""
        pool = _pool(_targets(count))
        assert {t.zone for t in pool.nearest} == {"near"}
        for zone in ZONES:
            assert sum(t.zone == zone for t in pool.all) == kept

    def test_subsets_cover_all_targets(self):
        """Guards against targets that no VM ever draws."""
        targets = _targets(40, ("near",))
        used = [t.id for n in range(88) for t in _pool(targets, f"vm-{n}").all]
        counts = [used.count(t.id) for t in targets]
        assert min(counts) > 88 * 8 / 40 / 2.5

    def test_no_targets(self):
        """A service without targets has an empty pool."""
        assert _pool([]) == sampling.Pool((), ())


class TestSample:
    """A sample for one request."""

    @pytest.mark.parametrize("count", [1, 2, 3, 8])
    def test_nearest_targets_first(self, count):
        """Guards against a sample without the nearest targets."""
        pool = _pool(_targets(6))
        drawn = sampling.sample(
            pool, count, random.Random(3).random, lambda _: False
        )
        assert len({t.id for t in drawn}) == count
        assert sum(t.zone == "near" for t in drawn) == min(count, 6)

    @pytest.mark.parametrize("left", [0, 1, 2])
    def test_excluded_targets(self, left):
        """Guards against targets that were already tried or found full."""
        targets = _targets(3, ("near",))
        excluded = {t.id for t in targets[left:]}
        drawn = sampling.sample(
            _pool(targets),
            2,
            random.Random(3).random,
            lambda t: t.id in excluded,
        )
        assert {t.id for t in drawn} == {t.id for t in targets[:left]}
