"""Messages between entry VMs, and values that they keep in the store."""

from typing import TypeVar
import zlib

import msgspec

from mimosastile_core import quarantine
from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import configurations
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import eligibility
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import limits
from mimosastile_core.gateway import routes

STORE_PREFIX = "mimosastile/"
LEADER_KEY = STORE_PREFIX + "leader"
WITNESSES_KEY = STORE_PREFIX + "witnesses"
VM_PREFIX = "mimosastile-vm/"
"""Apart from the rest, which every VM reads when it starts."""
TABLE_PREFIX = STORE_PREFIX + "table/"

_T = TypeVar("_T")
# Fields of the same name hide the module in a class body.
_Assignment = assignments.Assignment
_Difference = assignments.Difference
_Evacuations = eligibility.Evacuations
_LimitUpdate = limits.LimitUpdate
_COMPRESS_FROM = 600
"""Bytes from which a message is compressed; smaller ones fit into a packet."""
_COMPRESS_LEVEL = 1
"""Names repeat, so the fastest level already makes a quarter of it."""
_COMPRESSED = b"\x78"
"""First byte of a compressed message; JSON never begins with it."""
_MESSAGE_BYTES = 8 << 20
"""Largest message once it is decompressed."""

_STORE_STEP = 0.02
"""Seconds of distance to the store that matter: nearly the way to another
region and back. Smaller differences are chance."""

REPORT_PATH = "/report"
ASSIGN_PATH = "/assign"
HEARD_PATH = "/heard"
RELAY_PATH = "/relay"
EXTEND_PATH = "/extend"


class VmEntry(msgspec.Struct, frozen=True):
    """An entry VM as registered in the store, under a lease.

    Attributes:
        id: Its identifier.
        boot: Identifier of the run of its daemon.
        address: Where peers reach it.
        zone: Its availability zone.
        strength: From 0 to 1, how well its processor and link suit a leader.
        store_seconds: Shortest time in which the store has answered it.
    """

    id: str
    boot: str
    address: str
    zone: str
    strength: float = 1.0
    store_seconds: float = 0.0

    @property
    def order(self) -> tuple[float, int]:
        """Sorts VMs by how well they suit a leader, the best first.

        A leader in another region than the store waits longer for each change
        of a table, and loses the store when the regions are cut off.
        """
        return -self.strength, int(self.store_seconds / _STORE_STEP)


class TargetUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What became of a target's registration.

    Attributes:
        target: As it registered itself last, without `warm_at`, which is a
            time of one VM's clock.
        revision: The store's revision of the change.
        gone: Whether the registration has vanished.
        warm_left: Seconds for which it is slow after its start.
        age: Seconds since that change, at most.
    """

    target: directory.Target
    revision: int
    gone: bool
    warm_left: float
    age: float = 0.0


class StateUpdate(msgspec.Struct, frozen=True):
    """What a VM knows from the store that another one does not.

    Attributes:
        after: Revision after which `targets` begins.
        revision: Revision up to which it is complete.
        targets: Changed registrations.
        configuration: The configuration, None if the other one has it or
            `change` tells it.
        change: What has changed in the configuration that the other one has.
        evacuations: Evacuated zones, None if the other one knows them.
    """

    after: int
    revision: int
    targets: tuple[TargetUpdate, ...] = ()
    configuration: routes.Configuration | None = None
    change: configurations.Change | None = None
    evacuations: _Evacuations | None = None


class OwnershipMiss(msgspec.Struct, frozen=True, array_like=True):
    """A target rejected a key that it should own.

    Attributes:
        service: Name of the service.
        key: The key.
        target: The target.
    """

    service: str
    key: int
    target: str


class EndedTarget(msgspec.Struct, frozen=True, array_like=True):
    """A run of a target that is known to be over.

    Attributes:
        target: Identifier of the target.
        born: Unix milliseconds of the run's start.
    """

    target: str
    born: int


class LeavingTarget(msgspec.Struct, frozen=True, array_like=True):
    """A run of a target that has said in an answer that it leaves.

    Attributes:
        target: Identifier of the target.
        born: Unix milliseconds of the run's start.
        age: Seconds since it was first heard.
    """

    target: str
    born: int
    age: float


class Report(msgspec.Struct, frozen=True):
    """What a VM tells its leader.

    Attributes:
        vm: The VM.
        store: Whether its last call to the store was answered.
        keys: Keys asked for since the last report, by service.
        under_way: Requests under way by target.
        waiting: Requests that wait for a target that owns their key, and
            those that were refused for want of room there since the last
            report.
        work: Mean seconds of a request by service.
        factors: How slow targets are, compared to the mean.
        alive: Targets that answered it since the last report.
        deaths: Requests that were running on targets when these died, as far
            as they were confirmed since the last report.
        ended: Runs of targets that are known to be over.
        misses: Keys rejected by targets that should own them.
        versions: Versions of its assignments by service.
        seen: Store revision up to which it knows all registrations.
        configuration: Version of the configuration that it knows; -1 for none.
        configuration_seen: Store revision up to which that is the newest.
        news: What it has learned from the store by itself.
        stopping: Whether it is about to end, and should be no target's gate.
        longer: Seconds until grants that it gave as a leader and that were
            longer than usual, and those of leaders before it, have run out;
            None if it has not led since it started.
        epoch: Epoch of the leader that it follows; -1 for none.
        promised: Seconds until its last promise to a leader, as a witness,
            ends; negative for one that has ended, None for none.
        evacuations: Evacuated zones that it knows.
        limits: Limits of targets that its leader does not know.
        leaving: Targets that leave by their own word, as far as this leader
            has not been told.
        resting: Seconds for which targets want nothing from this VM, where
            keys should move for it.
        seen_at: Time of the leader's clock at which nothing was registered
            after `seen`, None if this VM does not follow the store.
        configuration_at: The same for the configuration and evacuations.
    """

    vm: VmEntry
    store: bool
    keys: dict[str, list[int]] = {}
    under_way: dict[str, int] = {}
    waiting: dict[str, int] = {}
    work: dict[str, float] = {}
    factors: dict[str, float] = {}
    alive: tuple[str, ...] = ()
    deaths: tuple[quarantine.Death, ...] = ()
    ended: tuple[EndedTarget, ...] = ()
    misses: tuple[OwnershipMiss, ...] = ()
    versions: dict[str, assignments.Version] = {}
    seen: int = 0
    configuration: int = -1
    configuration_seen: int = 0
    news: StateUpdate | None = None
    stopping: bool = False
    longer: float | None = None
    epoch: int = -1
    promised: float | None = None
    evacuations: _Evacuations = _Evacuations()
    limits: dict[str, _LimitUpdate] = {}
    leaving: tuple[LeavingTarget, ...] = ()
    resting: dict[str, float] = {}
    seen_at: float | None = None
    configuration_at: float | None = None


class ReportReply(msgspec.Struct, frozen=True):
    """A leader's answer to a report, or where the leader is.

    Attributes:
        leader: The leader as this VM knows it.
        leading: Whether this VM is it.
        confirmed: Seconds since the leader saw its entry in the store.
        longer: Seconds until grants that were longer than usual, its own and
            those of leaders before it, have run out.
        under_way: Requests of all other VMs by target.
        gates: Address of the VM that admits requests, by contended target.
        assignments: Those that the reporting VM does not have.
        differences: Changes of those that it has.
        news: What it does not know from the store.
        seen: Store revision up to which the leader knows all registrations.
        configuration: Version of the configuration that the leader knows.
        configuration_seen: Store revision up to which that is the newest.
        store: Whether the leader learns what the store holds, by itself or
            from watchers, so that VMs may rely on its news.
        deaths: What all VMs have reported of such requests.
        watchers: VMs that are asked to follow the store as well.
        vms: How many VMs report.
        take_over: Whether the reporting VM is asked to lead.
        evacuations: Evacuated zones that the leader knows.
        limits: Limits of targets that the leader knows.
        leaving: Targets that have lately said that they leave.
        stamp: The leader's clock when it made the answer, or a message with
            news that it sends without being asked.
        seen_age: Seconds since nothing was registered after `seen`, None if
            the leader cannot tell.
        configuration_age: The same for the configuration and evacuations.
    """

    leader: leadership.LeaderEntry | None
    leading: bool
    confirmed: float = 0.0
    longer: float = 0.0
    under_way: dict[str, int] = {}
    gates: dict[str, str] = {}
    assignments: tuple[_Assignment, ...] = ()
    differences: tuple[_Difference, ...] = ()
    news: StateUpdate | None = None
    seen: int = 0
    configuration: int = -1
    configuration_seen: int = 0
    store: bool = False
    deaths: tuple[quarantine.Death, ...] = ()
    watchers: tuple[str, ...] = ()
    vms: int = 0
    take_over: bool = False
    evacuations: _Evacuations = _Evacuations()
    limits: dict[str, _LimitUpdate] = {}
    leaving: tuple[LeavingTarget, ...] = ()
    stamp: float | None = None
    seen_age: float | None = None
    configuration_age: float | None = None


class UpdateAck(msgspec.Struct, frozen=True):
    """A VM's word that it has heard what its leader told it.

    It says no more: what the VM knows now stands in its next report, and a
    leader tells every VM several times a second.
    """


class Relay(msgspec.Struct, frozen=True):
    """What a leader tells several VMs of a zone through one of them.

    Attributes:
        told: The encoded message, for its receiver as well.
        addresses: The other VMs that it is for.
    """

    told: bytes
    addresses: tuple[str, ...]


class Relayed(msgspec.Struct, frozen=True):
    """What became of a message for several VMs.

    Attributes:
        missed: Addresses of those that did not answer.
    """

    missed: tuple[str, ...] = ()


class ExtensionRequest(msgspec.Struct, frozen=True):
    """A leader that lost the store asks a witness for a promise.

    Attributes:
        epoch: Epoch of the leader.
        boot: Run of the witness that it has named.
        seconds: For how long it would go on giving orders.
    """

    epoch: int
    boot: str
    seconds: float


class ExtensionReply(msgspec.Struct, frozen=True):
    """A witness's answer.

    Attributes:
        promised: Whether it has made the promise.
    """

    promised: bool


class LeaderContact(msgspec.Struct, frozen=True):
    """What a VM knows of the leader.

    Attributes:
        leader: The leader as this VM knows it.
        seconds: Since it was heard.
        assignments: What it told.
    """

    leader: leadership.LeaderEntry | None
    seconds: float
    assignments: tuple[_Assignment, ...]


def vm_group(vm: str) -> str:
    """Returns the prefix of the keys of a sixteenth of all VMs, one VM's.

    It is enough to find some others, and hundreds of VMs that read it at the
    same time read little.
    """
    return f"{VM_PREFIX}{zlib.crc32(vm.encode()) % 16:x}/"


def vm_key(vm: str) -> str:
    """Returns the store's key of a VM's entry."""
    return vm_group(vm) + vm


def table_key(service: str) -> str:
    """Returns the store's key of a service's table."""
    return TABLE_PREFIX + service


def encode(message: msgspec.Struct) -> bytes:
    """Returns a message as JSON, compressed if it is large."""
    body = msgspec.json.encode(message)
    if len(body) < _COMPRESS_FROM:
        return body
    return zlib.compress(body, _COMPRESS_LEVEL)


def decode(body: bytes, kind: type[_T]) -> _T:
    """Reads a message.

    Args:
        body: What `encode` returned.
        kind: Type of the message.

    Raises:
        msgspec.DecodeError: It is none.
    """
    if body[:1] == _COMPRESSED:
        unpacker = zlib.decompressobj()
        try:
            body = unpacker.decompress(body, _MESSAGE_BYTES)
        except zlib.error as error:
            raise msgspec.DecodeError(str(error)) from error
    return msgspec.json.decode(body, type=kind)
