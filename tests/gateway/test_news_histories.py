"""Seeded histories of faults: connected VMs apply changes in time."""

import asyncio
import random

import pytest

from mimosastile_standins import virtual
from tests.gateway import fleet

_VMS = 10
_MAX_KILLED = 3
_DURATION_SECONDS = 30.0
APPLY_SECONDS = 2.0
"""Bound on the time from the acknowledgement of a version until all VMs use it.
"""
DRAIN_SECONDS = 2.0
"""Bound on the time from the acknowledgement that a target leaves until its
last new request."""
CONTACT_SECONDS = 3.0
"""Time without a disruption of its own after which a VM counts as connected."""
_SAMPLE_SECONDS = 0.02
"""Interval of samples of the VMs' versions."""


class History:
    """One random history of changes and faults, determined by a seed.

    Attributes:
        fleet: The VMs and targets.
        versions: Time of each version's acknowledgement.
        leavings: Time of the acknowledgement that a target leaves, by target.
    """

    def __init__(self, seed, cluster):
        self.fleet = cluster
        self.versions = {}
        self.leavings = {}
        self._random = random.Random(seed)
        self._disturbed = {name: [] for name in cluster.vms}
        self._isolated = set()
        self._observed = {name: [] for name in cluster.vms}
        self._healing = []
        self._ends = virtual.now() + _DURATION_SECONDS

    async def run(self):
        """Makes changes and injects faults while callers send requests."""
        calling = asyncio.create_task(
            self.fleet.call(_DURATION_SECONDS + 4.0, 300.0, "/p")
        )
        await asyncio.gather(self._change(), self._disturb(), self._sample())
        await asyncio.gather(calling, *self._healing)

    async def _change(self):
        """Writes configurations and has targets leave, at random times."""
        version = 2
        plain = [
            target
            for target in self.fleet.targets.values()
            if target.service == fleet.PLAIN
        ]
        while virtual.now() < self._ends:
            await asyncio.sleep(self._random.uniform(0.1, 1.5))
            if self._random.random() < 0.7:
                version += self._random.choice((1, 2))
                routes = self._random.choice((1, 5, 60, 200))
                at = self.fleet.write_configuration(version, routes)
                self.versions[version] = at
                continue
            target = self._random.choice(plain)
            if target.id not in self.leavings and len(self.leavings) < 9:
                self.leavings[target.id] = self.fleet.leave(target)

    async def _disturb(self):
        """Isolates VMs, kills leaders and makes watches hang, overlapping."""
        while virtual.now() < self._ends:
            await asyncio.sleep(self._random.uniform(0.3, 4.0))
            choice = self._random.random()
            vms = self.fleet.vms
            leaders = [
                name for name, vm in vms.items() if vm.leader_role.is_leader
            ]
            if choice < 0.35:
                count = self._random.choice((1, 1, 2, 3))
                self._isolate(self._random.sample(sorted(vms), count))
            elif choice < 0.6:
                self._isolate(leaders[:1])
            elif choice < 0.8:
                now = virtual.now()
                self.fleet.store.stall_watches()
                for times in self._disturbed.values():
                    times.append([now, now])
            elif leaders and len(vms) > _VMS - _MAX_KILLED:
                vms.pop(leaders[0]).end()

    def _isolate(self, names):
        """Isolates VMs for a random time."""
        names = [name for name in names if name not in self._isolated]
        seconds = self._random.uniform(0.3, 4.0)
        self._healing.append(asyncio.create_task(self._cut(names, seconds)))

    async def _cut(self, names, seconds):
        spans = [[virtual.now(), float("inf")] for _ in names]
        for name, span in zip(names, spans, strict=True):
            self._disturbed[name].append(span)
        self._isolated.update(names)
        self.fleet.isolate(*names)
        await asyncio.sleep(seconds)
        self._isolated.difference_update(names)
        self.fleet.rejoin(*(name for name in names if name in self.fleet.vms))
        self.fleet.isolate(*(self._isolated & self.fleet.vms.keys()))
        for span in spans:
            span[1] = virtual.now()

    async def _sample(self):
        """Records each VM's versions with their times."""
        while virtual.now() < self._ends + 4.0:
            for name, vm in self.fleet.vms.items():
                observed = self._observed[name]
                if not observed or observed[-1][1] != vm.cluster.version:
                    observed.append((virtual.now(), vm.cluster.version))
            await asyncio.sleep(_SAMPLE_SECONDS)

    # Evaluation.

    def _due(self, name, acknowledged, taken):
        """Returns the time by which a VM has to apply an acknowledged change.

        Args:
            name: The VM.
            acknowledged: Time of the acknowledgement.
            taken: Time at which the VM applied the change.
        """
        healed = (
            ended + CONTACT_SECONDS
            for began, ended in self._disturbed[name]
            if began <= taken and ended >= acknowledged - CONTACT_SECONDS
        )
        return max(acknowledged + APPLY_SECONDS, *healed, 0.0)

    def late_versions(self):
        """Returns versions that connected VMs applied too late."""
        late = []
        for version, acknowledged in self.versions.items():
            if acknowledged > self._ends:
                continue
            for name in self.fleet.vms:
                taken = next(
                    (
                        at
                        for at, observed in self._observed[name]
                        if observed >= version
                    ),
                    float("inf"),
                )
                due = self._due(name, acknowledged, taken)
                if taken > due + _SAMPLE_SECONDS:
                    late.append((version, name, taken - acknowledged))
        return late

    def late_arrivals(self):
        """Returns requests of connected VMs to targets that had left."""
        return [
            arrival
            for name, acknowledged in self.leavings.items()
            for arrival in self.fleet.targets[name].arrivals
            if arrival.at > acknowledged + DRAIN_SECONDS
            and not any(
                began <= arrival.at and ended >= arrival.at - CONTACT_SECONDS
                for began, ended in self._disturbed[arrival.vm]
            )
        ]


class TestHistories:
    """Series of overlapping faults."""

    @pytest.mark.parametrize("seed", [5, 9, 13, 20, 23])
    def test_in_time(self, seed):
        """Guards against waits that add up to more than a bound.

        Several leaders are lost one after another while watches hang.
        """

        async def main():
            cluster = fleet.Fleet(
                _VMS,
                zones=("z", "far", "z", "farther"),
                watched=True,
                plain=12,
            )
            await cluster.ready()
            await asyncio.sleep(3.0)
            history = History(seed, cluster)
            await history.run()
            cluster.end()
            assert history.late_versions() == []
            assert history.late_arrivals() == []

        virtual.run(main())
