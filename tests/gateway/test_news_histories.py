"""Seeded histories of faults: VMs in touch act on what is new in time."""

import asyncio
import random

import pytest

from mimosastile_standins import virtual
from tests.gateway import fleet

_VMS = 10
_KILLED_MOST = 3
_SECONDS = 30.0
APPLY_SECONDS = 2.0
"""From the acknowledgement of a version until all VMs serve by it."""
DRAIN_SECONDS = 2.0
"""From the acknowledgement of a leaving to a target's last new request."""
CONTACT_SECONDS = 3.0
"""Without a disruption of its own before a VM is in touch."""
_LOOK_SECONDS = 0.02
"""Between two looks at what VMs know."""


class History:
    """One history, drawn from a seed.

    Attributes:
        fleet: The VMs and targets.
        versions: When each version was acknowledged.
        leavings: When each leaving was acknowledged, by target.
    """

    def __init__(self, seed, made):
        self.fleet = made
        self.versions = {}
        self.leavings = {}
        self._chance = random.Random(seed)
        self._disturbed = {name: [] for name in made.vms}
        self._isolated = set()
        self._known = {name: [] for name in made.vms}
        self._healing = []
        self._ends = virtual.now() + _SECONDS

    async def play(self):
        """Lets changes and faults come, while callers go on."""
        calling = asyncio.create_task(
            self.fleet.call(_SECONDS + 4.0, 300.0, "/p")
        )
        await asyncio.gather(self._change(), self._disturb(), self._look())
        await asyncio.gather(calling, *self._healing)

    async def _change(self):
        """Writes versions and leavings in series."""
        version = 2
        plain = [
            target
            for target in self.fleet.targets.values()
            if target.service == fleet.PLAIN
        ]
        while virtual.now() < self._ends:
            await asyncio.sleep(self._chance.uniform(0.1, 1.5))
            if self._chance.random() < 0.7:
                version += self._chance.choice((1, 2))
                routes = self._chance.choice((1, 5, 60, 200))
                at = self.fleet.write_configuration(version, routes)
                self.versions[version] = at
                continue
            target = self._chance.choice(plain)
            if target.id not in self.leavings and len(self.leavings) < 9:
                self.leavings[target.id] = self.fleet.leave(target)

    async def _disturb(self):
        """Isolates VMs, kills leaders and silences watches, overlapping."""
        while virtual.now() < self._ends:
            await asyncio.sleep(self._chance.uniform(0.3, 4.0))
            drawn = self._chance.random()
            vms = self.fleet.vms
            leaders = [
                name for name, vm in vms.items() if vm.leader_role.is_leader
            ]
            if drawn < 0.35:
                count = self._chance.choice((1, 1, 2, 3))
                self._isolate(self._chance.sample(sorted(vms), count))
            elif drawn < 0.6:
                self._isolate(leaders[:1])
            elif drawn < 0.8:
                now = virtual.now()
                self.fleet.store.stall_watches()
                for times in self._disturbed.values():
                    times.append([now, now])
            elif leaders and len(vms) > _VMS - _KILLED_MOST:
                vms.pop(leaders[0]).end()

    def _isolate(self, names):
        names = [name for name in names if name not in self._isolated]
        seconds = self._chance.uniform(0.3, 4.0)
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

    async def _look(self):
        while virtual.now() < self._ends + 4.0:
            for name, vm in self.fleet.vms.items():
                known = self._known[name]
                if not known or known[-1][1] != vm.cluster.version:
                    known.append((virtual.now(), vm.cluster.version))
            await asyncio.sleep(_LOOK_SECONDS)

    # The verdict.

    def _due(self, name, acknowledged, taken):
        """Returns by when a VM had to know what was acknowledged."""
        healed = (
            ended + CONTACT_SECONDS
            for began, ended in self._disturbed[name]
            if began <= taken and ended >= acknowledged - CONTACT_SECONDS
        )
        return max(acknowledged + APPLY_SECONDS, *healed, 0.0)

    def late_versions(self):
        """Returns versions that VMs in touch took too late."""
        late = []
        for version, acknowledged in self.versions.items():
            if acknowledged > self._ends:
                continue
            for name in self.fleet.vms:
                taken = next(
                    (at for at, known in self._known[name] if known >= version),
                    float("inf"),
                )
                due = self._due(name, acknowledged, taken)
                if taken > due + _LOOK_SECONDS:
                    late.append((version, name, taken - acknowledged))
        return late

    def late_arrivals(self):
        """Returns requests of VMs in touch for targets that had left."""
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
    """Faults in series that overlap."""

    @pytest.mark.parametrize("seed", [5, 9, 13, 20, 23])
    def test_in_time(self, seed):
        """Guards against waits that add up to more than a bound.

        Leaders are lost in series, beside watches that have fallen silent.
        """

        async def main():
            made = fleet.Fleet(
                _VMS,
                zones=("z", "far", "z", "farther"),
                watched=True,
                plain=12,
            )
            await made.ready()
            await asyncio.sleep(3.0)
            history = History(seed, made)
            await history.play()
            made.end()
            assert history.late_versions() == []
            assert history.late_arrivals() == []

        virtual.run(main())
