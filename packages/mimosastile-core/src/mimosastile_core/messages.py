"""Messages between entry VMs. Each type is one case of a closed union."""

import msgspec

from mimosastile_core import config
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
    """

    vm: str
    configuration: config.Version | None = None
    blocks: tuple[tables.Block, ...] = ()


class Ack(msgspec.Struct, frozen=True, tag="ack"):
    """Says that a message was taken."""

    vm: str


class Presence(msgspec.Struct, frozen=True, tag="presence"):
    """Says that the sender runs; the answer is of the same type.

    Attributes:
        vm: The sender.
        suspected: Whom the sender suspects.
    """

    vm: str
    suspected: tuple[str, ...] = ()


PeerMessage = Pull | Delta | Ack | Presence

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
