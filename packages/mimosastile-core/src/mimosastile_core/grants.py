"""The keeper's side of a grant: what to send to one target and what it proves.

A grant says which slices a target owns and until when. Its validity starts at
a stamp that the *target* took with its own clock and put into its previous
answer. A frozen target that thaws finds old renewals in its socket buffer; if
validity began at their arrival it would think itself the owner while another
target already is. Starting from its own earlier stamp, it finds them expired.
"""

import enum

import msgspec

from mimosastile_core import tables


class HeldSlice(msgspec.Struct, frozen=True, array_like=True):
    """A slice as a grant names it: range and fence."""

    first: int
    last: int
    fence: int


class Stamp(msgspec.Struct, frozen=True):
    """A moment on a target's own clock.

    Attributes:
        incarnation: Identifier of the target's run; changes when it restarts.
        at: Seconds on the target's monotonic clock.
    """

    incarnation: str
    at: float


class Grant(msgspec.Struct, frozen=True):
    """Message from a keeper to its target.

    Attributes:
        block: The block that the slices belong to.
        target: The addressed target.
        keeper_fence: The keeper's fence; lower ones are refused.
        sequence: Number of the slice set under this keeper fence.
        quoted: The target's own stamp from an earlier answer, None at first.
        ttl: Seconds from the quoted stamp for which the grant is valid.
        slices: The whole set, or None for a renewal of the set with the same
            sequence.
        prepare: Slices that the target may soon get and can warm up.
    """

    block: tables.BlockId
    target: str
    keeper_fence: int
    sequence: int
    quoted: Stamp | None
    ttl: float
    slices: tuple[HeldSlice, ...] | None
    prepare: tuple[HeldSlice, ...] = ()


class GrantStatus(enum.Enum):
    """How a target took a grant."""

    ACCEPTED = "accepted"
    STALE_KEEPER = "stale_keeper"
    STALE_SEQUENCE = "stale_sequence"
    EXPIRED = "expired"
    NEED_SLICES = "need_slices"


class GrantReply(msgspec.Struct, frozen=True):
    """A target's answer to a grant.

    Attributes:
        status: How the grant was taken.
        stamp: The target's clock when it answered.
        keeper_fence: Highest keeper fence that the target knows.
        sequence: Sequence of the set that it holds under that fence.
        releasing: Hashes of the keys of running requests that no granted
            slice covers any more; the slices around them are not yet released.
        in_flight: Requests running on the target.
    """

    status: GrantStatus
    stamp: Stamp
    keeper_fence: int
    sequence: int
    releasing: tuple[int, ...] = ()
    in_flight: int = 0


class Timing(msgspec.Struct, frozen=True):
    """Times of the grant protocol, in seconds.

    Attributes:
        ttl: Validity of a grant from the quoted stamp on.
        renew: Interval between renewals.
        timeout: How long the keeper waits for one answer.
        drift: Largest share by which a target's clock may run slower than the
            keeper's.
    """

    ttl: float = 0.6
    renew: float = 0.15
    timeout: float = 0.3
    drift: float = 0.01

    @property
    def lapse(self) -> float:
        """Seconds after the last quoted answer when no grant can be valid."""
        return self.ttl * (1 + self.drift)


class KeptTarget:
    """What a keeper knows of one target in one block.

    The object takes the wanted slices and the target's replies and yields
    messages and proofs; sending is the caller's business. At most one message
    is under way at a time.
    """

    __slots__ = (
        "_acked",
        "_block",
        "_heard_at",
        "_keeper_fence",
        "_lapse_from",
        "_releasing",
        "_replaced",
        "_sequence",
        "_stamp",
        "_target",
        "_timing",
        "_wanted",
    )

    def __init__(
        self,
        block: tables.BlockId,
        target: str,
        keeper_fence: int,
        timing: Timing,
        now: float,
    ) -> None:
        """Starts keeping a target.

        Args:
            block: The block that this grant is about.
            target: The target.
            keeper_fence: Fence under which this VM is the keeper.
            timing: Times of the protocol.
            now: Present time; no message of this keeper was quoted before it.
        """
        self._block = block
        self._target = target
        self._keeper_fence = keeper_fence
        self._timing = timing
        self._wanted: tuple[HeldSlice, ...] = ()
        self._sequence = 1
        self._acked = 0
        self._releasing: frozenset[int] = frozenset()
        self._stamp: Stamp | None = None
        self._heard_at: float | None = None
        self._lapse_from = now
        self._replaced = False

    @property
    def block(self) -> tables.BlockId:
        """The block that the grants are about."""
        return self._block

    @property
    def target(self) -> str:
        """The kept target."""
        return self._target

    @property
    def keeper_fence(self) -> int:
        """The fence that this keeper speaks under."""
        return self._keeper_fence

    @property
    def replaced(self) -> bool:
        """Whether the target knows a newer keeper."""
        return self._replaced

    @property
    def heard_at(self) -> float | None:
        """When the last answer came, None before the first."""
        return self._heard_at

    @property
    def settled(self) -> bool:
        """Whether the target has acknowledged the wanted set."""
        return self._acked == self._sequence and not self._releasing

    def want(self, slices: tuple[HeldSlice, ...]) -> bool:
        """Sets the slices that the target should own; True if they changed."""
        if slices == self._wanted:
            return False
        self._wanted = slices
        self._sequence += 1
        return True

    def message(self) -> Grant:
        """Returns the next message to send and starts the lapse from it."""
        full = self._acked != self._sequence
        if self._heard_at is not None:
            self._lapse_from = self._heard_at
        return Grant(
            block=self._block,
            target=self._target,
            keeper_fence=self._keeper_fence,
            sequence=self._sequence,
            quoted=self._stamp,
            ttl=self._timing.ttl,
            slices=self._wanted if full else None,
        )

    def answered(self, sent: Grant, reply: GrantReply, now: float) -> None:
        """Takes the target's reply to a message."""
        self._heard_at = now
        self._stamp = reply.stamp
        if reply.keeper_fence > self._keeper_fence:
            self._replaced = True
            return
        if reply.status is GrantStatus.ACCEPTED:
            self._acked = sent.sequence
            self._releasing = frozenset(reply.releasing)
        elif reply.status is not GrantStatus.EXPIRED:
            self._acked = 0

    def has_released(self, piece: tables.Slice) -> bool:
        """Whether the target acknowledged that it let a slice go.

        True only if the acknowledged set lacks the slice and no request is
        running on any key of it.
        """
        return (
            not self._replaced
            and self._acked == self._sequence
            and not any(piece.first <= p <= piece.last for p in self._releasing)
            and all(s.first != piece.first for s in self._wanted)
        )

    def has_lapsed(self, now: float) -> bool:
        """Whether no grant of this keeper can be valid on the target.

        Sound only for targets that check the expiry before each request, and
        only if the keepers before this one are silent since this one began.
        """
        return now - self._lapse_from > self._timing.lapse
