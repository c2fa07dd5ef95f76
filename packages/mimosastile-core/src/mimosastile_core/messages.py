"""Messages between entry VMs. Each type is one case of a closed union."""

import msgspec

from mimosastile_core import config
from mimosastile_core import differences
from mimosastile_core import fleet
from mimosastile_core import limits
from mimosastile_core import quarantine
from mimosastile_core import tables


class BlockVersion(msgspec.Struct, frozen=True, array_like=True):
    """A block and the version that the sender holds."""

    id: tables.BlockId
    version: int


class Pull(msgspec.Struct, frozen=True, tag="pull"):
    """Asks a peer for whatever is newer than what the sender holds.

    Attributes:
        vm: The sender.
        config_number: The sender's configuration number, 0 for none.
        blocks: The sender's blocks.
    """

    vm: str
    config_number: int
    blocks: tuple[BlockVersion, ...]


class Delta(msgspec.Struct, frozen=True, tag="delta"):
    """Newer state; the receiver merges it forward only.

    Attributes:
        vm: The sender.
        configuration: Newer configuration, if there is one.
        blocks: Newer blocks.
        changes: What turns the version before into a newer block; whoever
            holds another version asks the sender for the whole.
    """

    vm: str
    configuration: config.Version | None = None
    blocks: tuple[tables.Block, ...] = ()
    changes: tuple[differences.BlockChange, ...] = ()


class Ack(msgspec.Struct, frozen=True, tag="ack"):
    """Says that a message was taken."""

    vm: str


class NumberRequest(msgspec.Struct, frozen=True, tag="number_request"):
    """Asks which configuration is in force at a peer."""

    vm: str


class NumberReply(msgspec.Struct, frozen=True, tag="number_reply"):
    """Says which configuration is in force at the sender."""

    vm: str
    number: int


class Presence(msgspec.Struct, frozen=True, tag="presence"):
    """Says that the sender runs; the answer is of the same type.

    Attributes:
        vm: The sender.
        suspected: Whom the sender suspects.
    """

    vm: str
    suspected: tuple[str, ...] = ()


class Role(msgspec.Struct, frozen=True, array_like=True):
    """The keeping of one target in one block, under one fence."""

    block: tables.BlockId
    target: str
    fence: int


class Handover(msgspec.Struct, frozen=True, tag="handover"):
    """A stopping keeper asks the receiver to take roles over.

    Attributes:
        vm: The sender, which goes on until each role has a new keeper.
        roles: The roles with the sender's fences.
    """

    vm: str
    roles: tuple[Role, ...]


class StandDown(msgspec.Struct, frozen=True, tag="stand_down"):
    """A new keeper asks a former one to send nothing more.

    Attributes:
        vm: The sender.
        roles: The roles with the sender's fences, above the receiver's.
    """

    vm: str
    roles: tuple[Role, ...]


class StoodDown(msgspec.Struct, frozen=True, tag="stood_down"):
    """Says which roles a former keeper has ended.

    Attributes:
        vm: The sender.
        boot: Identifier of the sender's run.
        roles: Roles of the question under which it sends nothing any more.
    """

    vm: str
    boot: str
    roles: tuple[Role, ...]


class MemberNeed(msgspec.Struct, frozen=True, array_like=True):
    """What a VM needs of one member's limits."""

    member: str
    concurrency: limits.Need
    rate: limits.Need


class Needs(msgspec.Struct, frozen=True, tag="needs"):
    """Reports to the dealer of members' limits what the sender needs."""

    vm: str
    needs: tuple[MemberNeed, ...]


class MemberShare(msgspec.Struct, frozen=True, array_like=True):
    """A VM's share of one member's limits.

    Attributes:
        member: The member.
        concurrency: Requests under way.
        rate: Requests a second.
    """

    member: str
    concurrency: float
    rate: float


class Shares(msgspec.Struct, frozen=True, tag="shares"):
    """The dealer's reply to `Needs`."""

    vm: str
    shares: tuple[MemberShare, ...]


class Deaths(msgspec.Struct, frozen=True, tag="deaths"):
    """Tells of requests that were running on targets when these died.

    Attributes:
        vm: The sender.
        deaths: Deaths that the receiver may not know.
        withdrawn: Identifiers of deaths that turned out to be none.
        asks: The receiver is to reply with all that it remembers.
    """

    vm: str
    deaths: tuple[quarantine.Death, ...] = ()
    withdrawn: tuple[str, ...] = ()
    asks: bool = False


class LinkNeeds(msgspec.Struct, frozen=True, tag="link_needs"):
    """Reports what the sender needs of the link to another region."""

    vm: str
    region: str
    need: limits.Need


class LinkShare(msgspec.Struct, frozen=True, tag="link_share"):
    """The dealer's reply: bytes a second, 0 if the receiver deals not."""

    vm: str
    region: str
    rate: float


class Digest(msgspec.Struct, frozen=True, tag="digest"):
    """Says in a few bytes what the sender holds; so does the answer.

    Attributes:
        vm: The sender.
        config_number: Its configuration number.
        tables: Hash over its blocks and their versions.
        reader: Who read its list of VMs.
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
    """Newer state on its way through a zone.

    Attributes:
        root: The VM that began; receivers pass it on along a tree.
        delta: The newer state.
    """

    root: str
    delta: Delta


class AskListing(msgspec.Struct, frozen=True, tag="ask_listing"):
    """Asks a peer for its reading of the list of VMs."""

    vm: str


class Listing(msgspec.Struct, frozen=True, tag="listing"):
    """A reading of the platform's list of VMs.

    Attributes:
        root: The VM that sends it through a zone, empty for an answer.
        reader: Who read the list, as VM and run.
        number: Rises with each change that this reader saw.
        age: Seconds since the reader last confirmed it.
        vms: The listed VMs.
        gone: VMs that some reader saw listed and later not listed.
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
        load: Slots in use on average.
        hottest: Position of its hottest key.
        hottest_load: Load of that key alone.
    """

    first: int
    load: float
    hottest: int
    hottest_load: float


class LoadReport(msgspec.Struct, frozen=True, tag="load_report"):
    """A keeper's sum of load, for whoever usually plans the service.

    Its size is bounded by the targets that the sender keeps.

    Attributes:
        vm: The sender.
        service: The service.
        slices: The fullest slices, fullest first.
        heard: Targets that the sender keeps and hears.
    """

    vm: str
    service: str
    slices: tuple[SliceReport, ...]
    heard: tuple[str, ...]


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


def decode(data: bytes) -> PeerMessage:
    """Reads a message.

    Raises:
        msgspec.DecodeError: The bytes are no message of the closed union.
    """
    return _DECODER.decode(data)
