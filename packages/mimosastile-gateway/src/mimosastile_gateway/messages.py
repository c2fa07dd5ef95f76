"""Messages between entry VMs, and records that they keep in the store."""

from typing import TypeVar
import zlib

import msgspec
import result

from mimosastile_core import decoding
from mimosastile_core import quarantine
from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import configurations
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import eligibility
from mimosastile_core.gateway import forwarding_peers
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import limits
from mimosastile_core.gateway import path_proofs
from mimosastile_core.gateway import ranges
from mimosastile_core.gateway import routes
from mimosastile_core.gateway import service_room
from mimosastile_core.gateway import target_speeds
from mimosastile_gateway import ports

STORE_PREFIX = "mimosastile/"
LEADER_KEY = STORE_PREFIX + "leader"
WITNESSES_KEY = STORE_PREFIX + "witnesses"
VM_PREFIX = "mimosastile-vm/"
"""Outside `STORE_PREFIX`, which every VM reads in full at start-up."""
TABLE_PREFIX = STORE_PREFIX + "table/"

_T = TypeVar("_T")
# Fields of the same name hide the module in a class body.
_Assignment = assignments.Assignment
_Difference = assignments.Difference
_Evacuations = eligibility.Evacuations
_LimitUpdate = limits.LimitUpdate
_PathProof = path_proofs.PathProof
_Peer = forwarding_peers.Peer
_RouteDemand = service_room.RouteDemand
_RouteShare = service_room.RouteShare
_SpeedSample = target_speeds.SpeedSample
_COMPRESS_FROM_BYTES = 600
"""Size in bytes from which a message is compressed; smaller ones fit into one
packet anyway."""
_COMPRESS_LEVEL = 1
"""Names repeat, so the fastest level already reduces a message to a quarter."""
_MAX_MESSAGE_BYTES = 8 << 20
"""Largest size in bytes of a message after decompression."""

_STORE_STEP_SECONDS = 0.02
"""Seconds of store latency that count as one step: nearly a round trip to
another region. Smaller differences are noise."""

REPORT_PATH = "/report"
ASSIGN_PATH = "/assign"
LEADER_CONTACT_PATH = "/heard"
RELAY_PATH = "/relay"
EXTEND_PATH = "/extend"


class VmEntry(msgspec.Struct, frozen=True):
    """An entry VM as registered in the store, under a lease.

    Attributes:
        id: Identifier of the VM.
        boot: Identifier of the daemon's incarnation.
        address: Address at which peers reach the VM.
        zone: Availability zone of the VM.
        strength: How well its processor and link suit a leader, from 0 to 1.
        store_seconds: Lowest latency of the store observed by the VM, in
            seconds.
    """

    id: str
    boot: str
    address: str
    zone: str
    strength: float = 1.0
    store_seconds: float = 0.0

    @property
    def order(self) -> tuple[float, int]:
        """Sort key of VMs by suitability as the leader, the best first.

        A leader in another region than the store waits longer for each table
        update, and loses the store when the regions are partitioned.
        """
        return -self.strength, int(self.store_seconds / _STORE_STEP_SECONDS)


class TargetUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A change of a target's registration.

    Attributes:
        target: The latest registration, without `warm_at`, which is a time of
            one VM's clock.
        revision: The store's revision of the change.
        gone: Whether the registration was removed.
        warm_left: Remaining seconds of the target's warm-up.
        age: Upper bound of the seconds since the change.
        unended_born: Start of the earliest incarnation that has registered
            again after a later one, None if none has.
    """

    target: directory.Target
    revision: int
    gone: bool
    warm_left: float
    age: float = 0.0
    unended_born: int | None = None


class StateUpdate(msgspec.Struct, frozen=True):
    """Changes from the store that the receiving VM has not seen yet.

    Attributes:
        after: Revision after which `targets` begins.
        revision: Revision up to which `targets` is complete.
        targets: Changed registrations.
        configuration: The whole configuration, None if the receiver has it or
            `change` is enough.
        change: Changes relative to the receiver's configuration.
        evacuations: Evacuated zones, None if the receiver has them.
    """

    after: int
    revision: int
    targets: tuple[TargetUpdate, ...] = ()
    configuration: routes.Configuration | None = None
    change: configurations.Change | None = None
    evacuations: _Evacuations | None = None


class OwnershipMiss(msgspec.Struct, frozen=True, array_like=True):
    """A key that was rejected by the target recorded as its owner.

    Attributes:
        service: Name of the service.
        key: The key.
        target: Identifier of the target.
    """

    service: str
    key: int
    target: str


class EndedTarget(msgspec.Struct, frozen=True, array_like=True):
    """A target's incarnation that has ended.

    Attributes:
        target: Identifier of the target.
        born: Start of the incarnation in Unix milliseconds.
        address: Address that responded under another identifier; empty from a
            VM of an older version.
    """

    target: str
    born: int
    address: str = ""


class LeavingTarget(msgspec.Struct, frozen=True, array_like=True):
    """A target's incarnation that announced its shutdown in a response.

    Attributes:
        target: Identifier of the target.
        born: Start of the incarnation in Unix milliseconds.
        age: Seconds since the announcement was first received.
    """

    target: str
    born: int
    age: float


class Report(msgspec.Struct, frozen=True):
    """A VM's periodic load and health report to its leader.

    Attributes:
        vm: The reporting VM.
        store: Whether the VM's last call to the store succeeded.
        keys: Requested keys since the last report, by service.
        under_way: Requests in flight by target.
        waiting: Requests, by target, that are queued for the owner of their
            key, or were refused since the last report because the owner was at
            capacity.
        work: Mean duration of a request in seconds, by service.
        factors: Slowness of targets, relative to the mean.
        responsive: Targets that responded to the VM since the last report.
        crashes: Requests that were in progress on targets when these crashed,
            for crashes that the VM has confirmed and not reported to this
            leader.
        ended: Incarnations of targets that have ended.
        ownership_misses: Keys rejected by the targets recorded as their owners.
        versions: Versions of the VM's assignments by service.
        seen: Store revision up to which the VM has all registrations.
        configuration: Version of the VM's configuration; -1 for none.
        configuration_seen: Store revision up to which that version is the
            newest.
        state_update: Changes that the VM read from the store itself.
        stopping: Whether the VM is shutting down, and so should not be an
            admission gate.
        extended_grants: Seconds until the last extended grant expires that
            this VM, as a leader, or an earlier leader gave; None if the VM has
            not led since it started.
        epoch: Epoch of the leader that the VM follows; -1 for none.
        promised: Seconds until the VM's last promise as a witness expires;
            negative for an expired one, None for none.
        evacuations: Evacuated zones in the VM's view.
        limits: Limits of targets that the leader does not have.
        leaving: Targets that announced their shutdown and that were not yet
            reported to this leader.
        backoffs: Seconds of backoff that targets requested from this VM, for
            backoffs long enough to move keys.
        seen_at: Time of the leader's clock at which `seen` was the newest
            revision of the registrations, None if this VM does not watch the
            store.
        configuration_at: The same for the configuration and evacuations.
        isolated: Services of which the VM reaches no target.
        unreachable: Number of targets that the VM could not reach lately.
        wants_peers: Whether the VM has requests to forward to peers.
        demand: Requests since the last report, by service and route.
        speeds: Measured speeds of targets that changed since the last report.
        registrations_revision: Store revision of the latest change of a
            registration that the VM has, None if it does not tell.
        led_epoch: Epoch of the last term that the VM has led since it started,
            -1 for none. `extended_grants` covers this term, and all grants of
            earlier terms.
        running: Seconds since the VM's daemon started, 0 if unknown.
        own_extended: Seconds until the extended grants that this VM gave in all
            its terms since it started have expired; None as above.
        withdrawn_crashes: Identifiers of crashes for which, as the VM has
            observed, their requests are not to blame.
    """

    vm: VmEntry
    store: bool
    keys: dict[str, list[int]] = {}
    under_way: dict[str, int] = {}
    waiting: dict[str, int] = {}
    work: dict[str, float] = {}
    factors: dict[str, float] = {}
    responsive: tuple[str, ...] = msgspec.field(name="alive", default=())
    crashes: tuple[quarantine.Crash, ...] = msgspec.field(
        name="deaths", default=()
    )
    ended: tuple[EndedTarget, ...] = ()
    ownership_misses: tuple[OwnershipMiss, ...] = msgspec.field(
        name="misses", default=()
    )
    versions: dict[str, assignments.Version] = {}
    seen: int = 0
    configuration: int = -1
    configuration_seen: int = 0
    state_update: StateUpdate | None = msgspec.field(name="news", default=None)
    stopping: bool = False
    extended_grants: float | None = msgspec.field(name="longer", default=None)
    epoch: int = -1
    promised: float | None = None
    evacuations: _Evacuations = _Evacuations()
    limits: dict[str, _LimitUpdate] = {}
    leaving: tuple[LeavingTarget, ...] = ()
    backoffs: dict[str, float] = msgspec.field(name="resting", default={})
    seen_at: float | None = None
    configuration_at: float | None = None
    isolated: tuple[str, ...] = ()
    unreachable: int = 0
    wants_peers: bool = False
    demand: dict[str, dict[str, _RouteDemand]] = {}
    speeds: dict[str, _SpeedSample] = {}

    led_epoch: int = -1
    running: float = 0.0
    own_extended: float | None = None
    registrations_revision: int | None = None
    withdrawn_crashes: tuple[str, ...] = msgspec.field(
        name="withdrawn", default=()
    )

    @property
    def newest_revision(self) -> int:
        """Revision up to which a view has to be complete to be as recent."""
        if self.registrations_revision is None:
            return self.seen
        return self.registrations_revision


class ReportReply(msgspec.Struct, frozen=True):
    """A leader's response to a report, or another VM's hint to the leader.

    A leader also sends it unrequested, as an update.

    Attributes:
        leader: The leader that the responding VM has recorded.
        leading: Whether the responding VM is that leader.
        confirmed: Seconds since the leader saw its entry in the store.
        extended_grants: Seconds until the last extended grant of this leader
            and of earlier ones expires.
        under_way: Requests of all other VMs in flight, by target.
        gates: Addresses of the admission gates of contended targets, by
            target.
        assignments: Whole assignments that the reporting VM does not have.
        differences: Changes of assignments that it has.
        state_update: Changes from the store that it does not have.
        seen: Store revision up to which the leader has all registrations.
        configuration: Version of the leader's configuration.
        configuration_seen: Store revision up to which that version is the
            newest.
        store: Whether the leader follows the store, by itself or through
            watchers, and VMs may rely on its updates.
        crashes: Requests in progress on targets that crashed, as reported by
            all VMs; only requests with several crashes.
        watchers: VMs that are requested to watch the store as well.
        vms: Number of VMs that report.
        take_over: Whether the reporting VM is requested to lead.
        evacuations: Evacuated zones in the leader's view.
        limits: Limits of targets in the leader's view.
        leaving: Targets that recently announced their shutdown.
        stamp: The leader's clock when it made the response or update.
        seen_age: Seconds since `seen` was the newest revision of the
            registrations, None if the leader has no such time.
        configuration_age: The same for the configuration and evacuations.
        peers: VMs that reach more targets than the reporting one, the nearest
            first; None if it wants no peers.
        shares: What routes may use of the services that lack capacity, by
            service and route.
        speeds: Speeds of targets that the reporting VM has not measured.
        registrations_revision: Store revision of the latest change of a
            registration that the leader has, None if it does not tell.
        path_proof: What a VM that is requested to lead has to reach before it
            does; None if the leader lacks no path.
        withdrawn_crashes: The same of all VMs.
    """

    leader: leadership.LeaderEntry | None
    leading: bool
    confirmed: float = 0.0
    extended_grants: float = msgspec.field(name="longer", default=0.0)
    under_way: dict[str, int] = {}
    gates: dict[str, str] = {}
    assignments: tuple[_Assignment, ...] = ()
    differences: tuple[_Difference, ...] = ()
    state_update: StateUpdate | None = msgspec.field(name="news", default=None)
    seen: int = 0
    configuration: int = -1
    configuration_seen: int = 0
    store: bool = False
    crashes: tuple[quarantine.Crash, ...] = msgspec.field(
        name="deaths", default=()
    )
    watchers: tuple[str, ...] = ()
    vms: int = 0
    take_over: bool = False
    evacuations: _Evacuations = _Evacuations()
    limits: dict[str, _LimitUpdate] = {}
    leaving: tuple[LeavingTarget, ...] = ()
    stamp: float | None = None
    seen_age: float | None = None
    configuration_age: float | None = None
    peers: tuple[_Peer, ...] | None = None
    shares: dict[str, dict[str, _RouteShare]] = {}
    speeds: dict[str, _SpeedSample] = {}

    path_proof: _PathProof | None = None
    registrations_revision: int | None = None
    withdrawn_crashes: tuple[str, ...] = msgspec.field(
        name="withdrawn", default=()
    )

    @property
    def newest_revision(self) -> int:
        """Revision up to which a view has to be complete to be as recent."""
        if self.registrations_revision is None:
            return self.seen
        return self.registrations_revision


class UpdateAck(msgspec.Struct, frozen=True):
    """A VM's acknowledgement of an update from its leader.

    It is empty: the VM's next report carries the state of its view, and a
    leader sends every VM several updates a second.
    """


class Relay(msgspec.Struct, frozen=True):
    """A leader's update for several VMs of a zone, sent through one of them.

    Attributes:
        update: The encoded update, which also applies to the relaying VM.
        addresses: Addresses of the other VMs that it is for.
    """

    update: bytes = msgspec.field(name="told")
    addresses: tuple[str, ...]


class Relayed(msgspec.Struct, frozen=True):
    """The outcome of a relayed update.

    Attributes:
        missed: Addresses of the VMs that did not respond.
    """

    missed: tuple[str, ...] = ()


class ExtensionRequest(msgspec.Struct, frozen=True):
    """A leader's request to a witness to extend the leader lease.

    A leader sends it when it has lost the store.

    Attributes:
        epoch: Epoch of the leader.
        boot: Incarnation of the witness that the leader has named.
        seconds: Seconds for which the leader would go on giving orders.
    """

    epoch: int
    boot: str
    seconds: float


class ExtensionReply(msgspec.Struct, frozen=True):
    """A witness's response to an `ExtensionRequest`.

    Attributes:
        promised: Whether the witness promised the extension.
    """

    promised: bool


class LeaderContact(msgspec.Struct, frozen=True):
    """A VM's view of the leader.

    Attributes:
        leader: The leader that the VM has recorded.
        seconds: Seconds since the VM last received a message from it.
        assignments: Assignments received from it.
    """

    leader: leadership.LeaderEntry | None
    seconds: float
    assignments: tuple[_Assignment, ...]


def vm_group(vm: str) -> str:
    """Returns the store prefix of the group that a VM's entry belongs to.

    A group is a sixteenth of all VMs: enough to find some peers, and little to
    read when hundreds of VMs do so at the same time.
    """
    return f"{VM_PREFIX}{zlib.crc32(vm.encode()) % 16:x}/"


def vm_key(vm: str) -> str:
    """Returns the store key of a VM's entry."""
    return vm_group(vm) + vm


def table_key(service: str) -> str:
    """Returns the store key of a service's range table."""
    return TABLE_PREFIX + service


def encode(message: msgspec.Struct) -> bytes:
    """Returns a message as JSON, compressed if it is large."""
    body = msgspec.json.encode(message)
    if len(body) < _COMPRESS_FROM_BYTES:
        return body
    return zlib.compress(body, _COMPRESS_LEVEL)


def decode(body: bytes, kind: type[_T]) -> result.Result[_T, str]:
    """Decodes a message, or a record that VMs keep in the store.

    Args:
        body: Bytes as returned by `encode`.
        kind: Type of the message.

    Returns:
        The message, or why the body is none of that type.
    """
    return decoding.decode_json(body, kind, _MAX_MESSAGE_BYTES)


def decode_table(item: ports.Item) -> result.Result[ranges.RangeTable, str]:
    """Decodes a service's range table; an error says what is wrong with it."""
    read = decode(item.value, ranges.RangeTable)
    if isinstance(read, result.Err):
        return read
    table = read.ok_value
    if table_key(table.service) != item.key:
        return result.Err(f"the table of {table.service!r}")
    problem = ranges.find_problem(table)
    return result.Err(problem) if problem else read
