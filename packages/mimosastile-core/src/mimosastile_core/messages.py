"""Messages between entry VMs, as a closed union of tagged structures."""

import msgspec
import result

from mimosastile_core import config
from mimosastile_core import decoding
from mimosastile_core import differences
from mimosastile_core import fleet
from mimosastile_core import limits
from mimosastile_core import quarantine
from mimosastile_core import tables


class BlockVersion(msgspec.Struct, frozen=True, array_like=True):
    """A block and the sender's version of it."""

    id: tables.BlockId
    version: int


class Pull(msgspec.Struct, frozen=True, tag="pull"):
    """Requests all state of a peer that is newer than the sender's.

    Attributes:
        vm: The sender.
        config_number: The sender's configuration number, 0 for none.
        blocks: The sender's blocks and their versions.
    """

    vm: str
    config_number: int
    blocks: tuple[BlockVersion, ...]


class Delta(msgspec.Struct, frozen=True, tag="delta"):
    """Newer state; the receiver never replaces newer state by older.

    Attributes:
        vm: The sender.
        configuration: Newer configuration, if there is one.
        blocks: Newer blocks.
        changes: Differences from the preceding version to a newer block. A
            receiver with another version requests the full block.
    """

    vm: str
    configuration: config.Version | None = None
    blocks: tuple[tables.Block, ...] = ()
    changes: tuple[differences.BlockChange, ...] = ()


class Ack(msgspec.Struct, frozen=True, tag="ack"):
    """Acknowledges a message."""

    vm: str


class NumberRequest(msgspec.Struct, frozen=True, tag="number_request"):
    """Requests the number of the configuration in force at a peer."""

    vm: str


class NumberReply(msgspec.Struct, frozen=True, tag="number_reply"):
    """Reports the number of the configuration in force at the sender."""

    vm: str
    number: int


class Presence(msgspec.Struct, frozen=True, tag="presence"):
    """Heartbeat of the sender; the response has the same type.

    Attributes:
        vm: The sender.
        suspected: VMs that the sender suspects of having failed.
    """

    vm: str
    suspected: tuple[str, ...] = ()


class Role(msgspec.Struct, frozen=True, array_like=True):
    """The role of keeper of one target in one block, under one fence.

    A target's keeper is the entry VM through which alone the target gets
    requests and grants.
    """

    block: tables.BlockId
    target: str
    fence: int


class Handover(msgspec.Struct, frozen=True, tag="handover"):
    """Requests that the receiver takes over the roles of a stopping keeper.

    Attributes:
        vm: The sender, which remains keeper until each role has a new one.
        roles: The roles with the sender's fences.
    """

    vm: str
    roles: tuple[Role, ...]


class StandDown(msgspec.Struct, frozen=True, tag="stand_down"):
    """Requests that a former keeper stops sending; sent by the new keeper.

    Attributes:
        vm: The sender.
        roles: The roles with the sender's fences, above the receiver's.
    """

    vm: str
    roles: tuple[Role, ...]


class StoodDown(msgspec.Struct, frozen=True, tag="stood_down"):
    """Reports the roles that a former keeper has ended.

    Attributes:
        vm: The sender.
        boot: Identifier of the incarnation of the sender's daemon.
        roles: Requested roles under which the sender has stopped sending.
    """

    vm: str
    boot: str
    roles: tuple[Role, ...]


class MemberNeed(msgspec.Struct, frozen=True, array_like=True):
    """The share of one member's limits that a VM needs."""

    member: str
    concurrency: limits.Need
    rate: limits.Need


class Needs(msgspec.Struct, frozen=True, tag="needs"):
    """Reports the sender's needs to the VM that divides members' limits."""

    vm: str
    needs: tuple[MemberNeed, ...]


class MemberShare(msgspec.Struct, frozen=True, array_like=True):
    """A VM's share of one member's limits.

    Attributes:
        member: The member.
        concurrency: Requests in flight.
        rate: Requests per second.
    """

    member: str
    concurrency: float
    rate: float


class Shares(msgspec.Struct, frozen=True, tag="shares"):
    """The response to `Needs`."""

    vm: str
    shares: tuple[MemberShare, ...]


class Deaths(msgspec.Struct, frozen=True, tag="deaths"):
    """Reports requests that were running on targets when these crashed.

    Attributes:
        vm: The sender.
        crashes: Crashes that the receiver may not have recorded.
        withdrawn: Identifiers of records that proved not to be crashes.
        requests_all: Whether the receiver must respond with all its records.
    """

    vm: str
    crashes: tuple[quarantine.Crash, ...] = msgspec.field(
        default=(), name="deaths"
    )
    withdrawn: tuple[str, ...] = ()
    requests_all: bool = msgspec.field(default=False, name="asks")


class LinkNeeds(msgspec.Struct, frozen=True, tag="link_needs"):
    """Reports the bandwidth that the sender needs to another region."""

    vm: str
    region: str
    need: limits.Need


class LinkShare(msgspec.Struct, frozen=True, tag="link_share"):
    """The response to `LinkNeeds`: bytes per second for the receiver.

    The rate is 0 if the sender doesn't divide this link's bandwidth.
    """

    vm: str
    region: str
    rate: float


class Digest(msgspec.Struct, frozen=True, tag="digest"):
    """Digest of the sender's state; the response has the same type.

    Attributes:
        vm: The sender.
        config_number: Its configuration number.
        tables: Hash over its blocks and their versions.
        reader: The reader of its list of VMs.
        list_number: Number of that reading.
        list_age: Seconds since that reading was last confirmed.
    """

    vm: str
    config_number: int
    tables: str
    reader: str
    list_number: int
    list_age: float


class Push(msgspec.Struct, frozen=True, tag="push"):
    """Newer state that is forwarded through a zone.

    Attributes:
        root: The VM that sent it first; receivers forward it along a tree.
        delta: The newer state.
    """

    root: str
    delta: Delta


class AskListing(msgspec.Struct, frozen=True, tag="ask_listing"):
    """Requests a peer's reading of the list of VMs."""

    vm: str


class Listing(msgspec.Struct, frozen=True, tag="listing"):
    """A reading of the platform's list of VMs.

    Attributes:
        root: The VM that sent it first through a zone, empty in a response.
        reader: The VM that read the list, with its daemon's incarnation.
        number: Increases with each change that this reader observed.
        age: Seconds since the reader last confirmed it.
        vms: The listed VMs.
        gone: VMs that a reader observed as listed and later as unlisted.
    """

    root: str
    reader: str
    number: int
    age: float
    vms: tuple[fleet.Vm, ...]
    gone: tuple[str, ...]


class SliceReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of one slice at its keeper.

    Attributes:
        first: First hash of the slice.
        load: Average number of slots in use.
        hottest: Hash of the key with the highest load.
        hottest_load: Load of that key alone.
    """

    first: int
    load: float
    hottest: int
    hottest_load: float


class LoadReport(msgspec.Struct, frozen=True, tag="load_report"):
    """A keeper's load report to the VM that usually plans the service.

    Its size is bounded by the number of targets that the sender keeps.

    Attributes:
        vm: The sender.
        service: The service.
        slices: The slices with the highest load, in descending order.
        responsive: Targets that the sender keeps and that respond.
    """

    vm: str
    service: str
    slices: tuple[SliceReport, ...]
    responsive: tuple[str, ...] = msgspec.field(name="heard")


PeerMessage = (
    Pull
    | Delta
    | Ack
    | NumberRequest
    | NumberReply
    | Handover
    | StandDown
    | StoodDown
    | Needs
    | Shares
    | Deaths
    | LinkNeeds
    | LinkShare
    | Presence
    | Digest
    | Push
    | AskListing
    | Listing
    | LoadReport
)

_DECODER = msgspec.json.Decoder(PeerMessage)


def encode(message: PeerMessage) -> bytes:
    """Returns the wire form of a message."""
    return msgspec.json.encode(message)


def decode(data: bytes) -> result.Result[PeerMessage, str]:
    """Decodes a message; an error says why the bytes encode none."""
    return decoding.decode(_DECODER.decode, data)
