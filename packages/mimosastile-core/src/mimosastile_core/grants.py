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


def overlaps(held: HeldSlice, piece: tables.Slice) -> bool:
    """Whether a granted slice covers any key of a slice of the table.

    The table may have split a slice since it was granted. Comparing first
    hashes alone, the second part would seem released while the target still
    serves it under the grant of the whole, and the key would get two owners.
    """
    return held.first <= piece.last and piece.first <= held.last


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
        valid_for: Seconds on the target's clock for which a grant that it
            holds, perhaps of a former keeper, goes on to be valid.
    """

    status: GrantStatus
    stamp: Stamp
    keeper_fence: int
    sequence: int
    releasing: tuple[int, ...] = ()
    in_flight: int = 0
    valid_for: float = 0.0


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
        "_acknowledged",
        "_block",
        "_confirmed",
        "_heard_at",
        "_keeper_fence",
        "_lapses_at",
        "_met_at",
        "_prepare",
        "_releasing",
        "_replaced",
        "_sequence",
        "_silent",
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
        silent: bool = True,
    ) -> None:
        """Starts keeping a target.

        Args:
            block: The block that this grant is about.
            target: The target.
            keeper_fence: Fence under which this VM is the keeper.
            timing: Times of the protocol.
            now: Present time; no message of this keeper was quoted before it.
            silent: Whether all former keepers are known to send nothing more.
        """
        self._block = block
        self._target = target
        self._keeper_fence = keeper_fence
        self._timing = timing
        self._wanted: tuple[HeldSlice, ...] = ()
        self._prepare: tuple[HeldSlice, ...] = ()
        self._sequence = 1
        self._acked = 0
        self._acknowledged = False
        self._releasing: frozenset[int] = frozenset()
        self._stamp: Stamp | None = None
        self._heard_at: float | None = None
        self._met_at = now
        self._confirmed = False
        self._silent = silent
        self._lapses_at = now + timing.lapse
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

    @property
    def acknowledged(self) -> bool:
        """Whether the target knows this keeper's fence and refuses lower."""
        return self._acknowledged

    @property
    def awaits_silence(self) -> bool:
        """Whether a former keeper might still renew grants at the target."""
        return not (self._silent or self._acknowledged)

    @property
    def needs_confirmation(self) -> bool:
        """Whether the target's present run is new to this keeper.

        A run that has just begun knows no fence. A keeper that was replaced
        without noticing would be obeyed by it, and a key that has moved on
        would be served by two targets. So nothing is granted to a new run
        before `confirm`.
        """
        return self._stamp is not None and not self._confirmed

    @property
    def lapses_at(self) -> float:
        """When no grant is valid any more if no answer comes until then."""
        return self._lapses_at

    def want(self, slices: tuple[HeldSlice, ...]) -> bool:
        """Sets the slices that the target should own; True if they changed."""
        if slices == self._wanted:
            return False
        self._wanted = slices
        self._sequence += 1
        return True

    def prepare(self, slices: tuple[HeldSlice, ...]) -> None:
        """Sets the slices that the target may soon get."""
        self._prepare = slices

    def retime(self, timing: Timing) -> None:
        """Takes times from a new configuration for what is sent from now on."""
        self._timing = timing

    def message(self) -> Grant:
        """Returns the next message to send."""
        full = self._acked != self._sequence
        if self._heard_at is not None:
            self._lapse_not_before(self._heard_at + self._timing.lapse)
        return Grant(
            block=self._block,
            target=self._target,
            keeper_fence=self._keeper_fence,
            sequence=self._sequence,
            quoted=self._stamp if self._confirmed else None,
            ttl=self._timing.ttl,
            slices=self._wanted if full else None,
            prepare=self._prepare,
        )

    def answered(self, sent: Grant, reply: GrantReply, now: float) -> None:
        """Takes the target's reply to a message."""
        if reply.keeper_fence > self._keeper_fence:
            self._replaced = True
            return
        self._heard_at = now
        self._meet(reply.stamp, now)
        # The answer that names this fence may come long after this keeper
        # began, with a former keeper's grant accepted just before it. The
        # lapse counts from here, or the target would serve on after it.
        self._acknowledged |= reply.keeper_fence == self._keeper_fence
        held_for = max(self._timing.ttl, reply.valid_for)
        self._lapse_not_before(now + held_for * (1 + self._timing.drift))
        if reply.status is GrantStatus.ACCEPTED:
            self._acked = sent.sequence
            self._releasing = frozenset(reply.releasing)
        elif reply.status is not GrantStatus.EXPIRED:
            self._acked = 0

    def confirm(self, asked_at: float) -> None:
        """Notes that this VM was still the keeper.

        Args:
            asked_at: When the question was asked whose answer says so. One
                that was asked before the target's run was met proves nothing.
        """
        if asked_at >= self._met_at:
            self._confirmed = True

    def silenced(self, now: float) -> None:
        """Notes that no former keeper sends anything from now on."""
        if not self._silent:
            self._silent = True
            self._lapse_not_before(now + self._timing.lapse)

    def resumed(self, now: float) -> None:
        """Gives the target time to answer after a pause of the keeper.

        Without this each pause of a keeper would end with its targets'
        slices being moved, although every one of them would answer.
        """
        self._lapse_not_before(now + self._timing.lapse)

    def has_released(self, piece: tables.Slice) -> bool:
        """Whether the target acknowledged that it let a slice go.

        True only if the acknowledged set lacks the slice and no request is
        running on any key of it.
        """
        return (
            not self._replaced
            and self._acked == self._sequence
            and not any(piece.first <= p <= piece.last for p in self._releasing)
            and not any(overlaps(s, piece) for s in self._wanted)
        )

    def has_lapsed(self, now: float) -> bool:
        """Whether no grant of any keeper can be valid on the target.

        Sound only for targets that check the expiry before each request.
        False while a former keeper might still renew: one that is cut off
        from this VM, but not from the target, keeps the target serving.
        """
        return (
            not self._replaced
            and not self.awaits_silence
            and now > self._lapses_at
        )

    def _meet(self, stamp: Stamp, now: float) -> None:
        known = self._stamp
        if known is None or known.incarnation != stamp.incarnation:
            self._met_at = now
            self._confirmed = False
            self._acked = 0
        self._stamp = stamp

    def _lapse_not_before(self, at: float) -> None:
        self._lapses_at = max(self._lapses_at, at)
