"""Definitions of the deployments that scenarios and measurements run on."""

import itertools

import msgspec

from mimosastile_core import config
from mimosastile_core import fleet

_HOST = "127.0.0.1"


class ZoneEntries(msgspec.Struct, frozen=True):
    """An availability zone and the number of its entry VMs.

    Attributes:
        region: The region.
        zone: The zone.
        entries: Number of entry VMs in the zone.
    """

    region: str
    zone: str
    entries: int


class Backend(msgspec.Struct, frozen=True):
    """A service and its targets.

    Attributes:
        targets: Number of targets, distributed round robin over the zones.
        service: Its configuration.
    """

    targets: int
    service: config.Service


class Deployment(msgspec.Struct, frozen=True):
    """Zones, services and members of a deployment, with network latencies.

    Attributes:
        zones: The zones; the platform is located in the first one's region.
        backends: The services by name.
        members: The members by name.
        in_zone: One-way latency within a zone, in seconds.
        between_zones: One-way latency between zones of a region, in seconds.
        between_regions: One-way latency between regions, in seconds.
    """

    zones: tuple[ZoneEntries, ...]
    backends: dict[str, Backend]
    members: dict[str, config.Member]
    in_zone: float = 0.0002
    between_zones: float = 0.0005
    between_regions: float = 0.012

    def document(self) -> config.Document:
        """Returns the configuration document of all services and members."""
        services = {n: b.service for n, b in self.backends.items()}
        return config.Document(services=services, members=self.members)

    def vms(self) -> list[fleet.Vm]:
        """Returns all VMs, targets before entry VMs."""
        targets = [
            fleet.Vm(
                f"{name}-{i}",
                fleet.Role.TARGET,
                at.region,
                at.zone,
                _HOST,
                0,
                name,
            )
            for name, backend in self.backends.items()
            for i, at in zip(
                range(backend.targets),
                itertools.cycle(self.zones),
                strict=False,
            )
        ]
        entries = [
            fleet.Vm(
                f"entry-{at.zone}-{i}",
                fleet.Role.ENTRY,
                at.region,
                at.zone,
                _HOST,
                0,
            )
            for at in self.zones
            for i in range(at.entries)
        ]
        return [*targets, *entries]


def _keyed(slots: int, connections: int, slices: int) -> config.Service:
    return config.Service(
        key=config.KeySource(config.KeyPlace.PATH, segment=0),
        slots=slots,
        connections=connections,
        slices=slices,
        checks_orders=True,
        checks_expiry=True,
    )


def _plain(slots: int, connections: int) -> config.Service:
    return config.Service(slots=slots, connections=connections)


SMALL = Deployment(
    zones=(
        ZoneEntries("kontinent", "zagreb-a", 2),
        ZoneEntries("primorje", "split-a", 2),
    ),
    backends={
        "citaonica": Backend(4, _keyed(4, 120, 12)),
        "prijemnica": Backend(2, _plain(4, 120)),
    },
    members={"vjesnik": config.Member(), "glas": config.Member()},
)
"""Two zones in two regions: enough for most faults, and fast."""

UREDNISTVO = Deployment(
    zones=(
        ZoneEntries("kontinent", "zagreb-a", 3),
        ZoneEntries("kontinent", "osijek-a", 3),
        ZoneEntries("primorje", "split-a", 3),
        ZoneEntries("primorje", "rijeka-a", 2),
    ),
    backends={
        "citaonica": Backend(18, _keyed(4, 120, 144)),
        "prijemnica": Backend(10, _plain(4, 120)),
        "arhivar": Backend(8, _plain(4, 120)),
    },
    members={"vjesnik": config.Member(), "glas": config.Member()},
)
"""The deployment of the letters-to-the-editor desks at full size."""

CONSORTIUM = Deployment(
    zones=(
        ZoneEntries("khulna", "khulna-a", 3),
        ZoneEntries("khulna", "khulna-b", 3),
        ZoneEntries("chattogram", "ctg-a", 3),
        ZoneEntries("chattogram", "ctg-b", 2),
    ),
    backends={
        "catchbook": Backend(20, _keyed(2, 130, 160)),
        "tagmint": Backend(11, _plain(2, 130)),
        "dockpack": Backend(8, _plain(2, 130)),
    },
    members={"padma": config.Member(), "meghna": config.Member()},
    between_zones=0.001,
)
"""The deployment of the exporters' label platform at full size."""

DEPLOYMENTS = {
    "small": SMALL,
    "urednistvo": UREDNISTVO,
    "consortium": CONSORTIUM,
}
"""Deployments by their name in scenario files."""
