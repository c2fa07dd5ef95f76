"""Messages between entry VMs, and values that they keep in the store."""

import msgspec

from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import ranges

STORE_PREFIX = "mimosastile/"
LEADER_KEY = STORE_PREFIX + "leader"
VM_PREFIX = STORE_PREFIX + "vm/"
TABLE_PREFIX = STORE_PREFIX + "table/"

REPORT_PATH = "/report"
ASSIGN_PATH = "/assign"
HEARD_PATH = "/heard"


class VmEntry(msgspec.Struct, frozen=True):
    """An entry VM as registered in the store, under a lease.

    Attributes:
        id: Its identifier.
        boot: Identifier of the run of its daemon.
        address: Where peers reach it.
        zone: Its availability zone.
    """

    id: str
    boot: str
    address: str
    zone: str


class Assignment(msgspec.Struct, frozen=True, array_like=True):
    """Who owns which keys of a service, as VMs route by it.

    Attributes:
        service: Name of the service.
        epoch: Epoch of the leader that tells it; 0 for one that was read from
            the store.
        serial: Rises with each change within an epoch.
        owners: Identifiers of targets.
        firsts: First key of each range, rising from 0.
        indexes: For each range the index of its owner; -1 while the keys are
            changing hands.
    """

    service: str
    epoch: int
    serial: int
    owners: tuple[str, ...]
    firsts: tuple[int, ...]
    indexes: tuple[int, ...]


class Miss(msgspec.Struct, frozen=True, array_like=True):
    """A target rejected a key that it should own.

    Attributes:
        service: Name of the service.
        key: The key.
        target: The target.
    """

    service: str
    key: int
    target: str


class Ended(msgspec.Struct, frozen=True, array_like=True):
    """A run of a target that is known to be over.

    Attributes:
        target: Identifier of the target.
        born: Unix milliseconds of the run's start.
    """

    target: str
    born: int


class Report(msgspec.Struct, frozen=True):
    """What a VM tells its leader.

    Attributes:
        vm: The VM.
        store: Whether its last call to the store was answered.
        keys: Keys asked for since the last report, by service.
        under_way: Requests under way by target.
        waiting: Requests that wait for a target that owns their key.
        work: Mean seconds of a request by service.
        factors: How slow targets are, compared to the mean.
        alive: Targets that answered it since the last report.
        ended: Runs of targets that are known to be over.
        misses: Keys rejected by targets that should own them.
        serials: Epoch and serial of its assignments by service.
    """

    vm: VmEntry
    store: bool
    keys: dict[str, list[int]] = {}
    under_way: dict[str, int] = {}
    waiting: dict[str, int] = {}
    work: dict[str, float] = {}
    factors: dict[str, float] = {}
    alive: tuple[str, ...] = ()
    ended: tuple[Ended, ...] = ()
    misses: tuple[Miss, ...] = ()
    serials: dict[str, tuple[int, int]] = {}


class ReportReply(msgspec.Struct, frozen=True):
    """A leader's answer to a report, or where the leader is.

    Attributes:
        leader: The leader as this VM knows it.
        leading: Whether this VM is it.
        confirmed: Seconds since the leader saw its entry in the store.
        under_way: Requests of all other VMs by target.
        allowed: What the reporting VM may have under way at targets that are
            contended.
        assignments: Those that the reporting VM does not have.
        vms: Identifiers of the VMs that report.
        successor: The VM that is asked to take over, empty for none.
    """

    leader: leadership.LeaderEntry | None
    leading: bool
    confirmed: float = 0.0
    under_way: dict[str, int] = {}
    allowed: dict[str, int] = {}
    assignments: tuple[Assignment, ...] = ()
    vms: tuple[str, ...] = ()
    successor: str = ""


class Heard(msgspec.Struct, frozen=True):
    """What a VM knows of the leader.

    Attributes:
        leader: The leader as this VM knows it.
        seconds: Since it was heard.
        assignments: What it told.
    """

    leader: leadership.LeaderEntry | None
    seconds: float
    assignments: tuple[Assignment, ...]


def table_key(service: str) -> str:
    """Returns the store's key of a service's table."""
    return TABLE_PREFIX + service


def assignment_of(
    table: ranges.RangeTable, epoch: int, serial: int, ready: set[ranges.Piece]
) -> Assignment:
    """Returns what VMs are told of a table.

    Args:
        table: The table.
        epoch: Epoch of the leader.
        serial: Rises with each change within the epoch.
        ready: Pieces that their owners have been granted.
    """
    owners = sorted({item.owner.id for item in table.ranges})
    index = {owner: number for number, owner in enumerate(owners)}
    return Assignment(
        table.service,
        epoch,
        serial,
        tuple(owners),
        tuple(item.first for item in table.ranges),
        tuple(
            index[item.owner.id] if item.piece in ready else -1
            for item in table.ranges
        ),
    )
