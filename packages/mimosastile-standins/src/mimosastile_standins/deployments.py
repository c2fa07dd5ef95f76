"""Deployments that scenarios and measures run on, as data."""

import itertools

import msgspec

from mimosastile_core import config
from mimosastile_core import fleet

_HOST = "127.0.0.1"


class Placed(msgspec.Struct, frozen=True):
    """An availability zone and its entry VMs.

    Attributes:
        region: The region.
        zone: The zone.
        entries: How many entry VMs stand there.
    """

    region: str
    zone: str
    entries: int


class Backend(msgspec.Struct, frozen=True):
    """A service and its targets.

    Attributes:
        targets: How many targets it has, dealt out over the zones in turn.
        service: Its configuration.
    """

    targets: int
    service: config.Service


class Deployment(msgspec.Struct, frozen=True):
    """A whole deployment.

    Attributes:
        zones: The zones; the platform stands in the first one's region.
        backends: The services by name.
        members: The members by name.
        in_zone: Seconds one way within a zone.
        between_zones: Seconds one way between zones of a region.
        between_regions: Seconds one way between regions.
    """

    zones: tuple[Placed, ...]
    backends: dict[str, Backend]
    members: dict[str, config.Member]
    in_zone: float = 0.0002
    between_zones: float = 0.0005
    between_regions: float = 0.012

    def document(self) -> config.Document:
        """Returns the configuration of all services and members."""
        services = {n: b.service for n, b in self.backends.items()}
        return config.Document(services=services, members=self.members)

    def vms(self) -> list[fleet.Vm]:
        """Returns all VMs, targets first."""
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
        Placed("kontinent", "zagreb-a", 2),
        Placed("primorje", "split-a", 2),
    ),
    backends={
        "citaonica": Backend(4, _keyed(4, 120, 12)),
        "prijemnica": Backend(2, _plain(4, 120)),
    },
    members={"vjesnik": config.Member(), "glas": config.Member()},
)
"""Two zones in two regions; enough for most faults and fast to run."""

UREDNISTVO = Deployment(
    zones=(
        Placed("kontinent", "zagreb-a", 3),
        Placed("kontinent", "osijek-a", 3),
        Placed("primorje", "split-a", 3),
        Placed("primorje", "rijeka-a", 2),
    ),
    backends={
        "citaonica": Backend(18, _keyed(4, 120, 144)),
        "prijemnica": Backend(10, _plain(4, 120)),
        "arhivar": Backend(8, _plain(4, 120)),
    },
    members={"vjesnik": config.Member(), "glas": config.Member()},
)
"""The letters-to-the-editor desks at full size."""

CONSORTIUM = Deployment(
    zones=(
        Placed("khulna", "khulna-a", 3),
        Placed("khulna", "khulna-b", 3),
        Placed("chattogram", "ctg-a", 3),
        Placed("chattogram", "ctg-b", 2),
    ),
    backends={
        "catchbook": Backend(20, _keyed(2, 130, 160)),
        "tagmint": Backend(11, _plain(2, 130)),
        "dockpack": Backend(8, _plain(2, 130)),
    },
    members={"padma": config.Member(), "meghna": config.Member()},
    between_zones=0.001,
)
"""The exporters' label platform at full size."""

DEPLOYMENTS = {
    "small": SMALL,
    "urednistvo": UREDNISTVO,
    "consortium": CONSORTIUM,
}
"""Deployments by the name that scenarios give."""
