"""The keeper's side of the grant protocol, a lease of slices to one target.

A target's keeper is the entry VM through which alone the target gets requests
and grants. A grant names the slices that a target owns and when the ownership
expires. Its validity starts at a stamp that the *target* took from its own
clock and put into its previous response. A frozen target that resumes reads
old renewals from its socket buffer. If validity started at their arrival, the
target would act as the owner while another target already owns the slices.
Because validity starts at the target's own earlier stamp, they have expired.
"""

import enum

import msgspec

from mimosastile_core import tables


class HeldSlice(msgspec.Struct, frozen=True, array_like=True):
    """A granted slice: an inclusive range of key hashes and its fence."""

    first: int
    last: int
    fence: int


def overlaps(held: HeldSlice, piece: tables.Slice) -> bool:
    """Whether a granted slice shares any key with a slice of the table.

    The table may have split a slice since it was granted. If only the first
    hashes were compared, the second part would count as released while the
    target still serves it under the grant of the whole slice, and its keys
    would have two owners.
    """
    return held.first <= piece.last and piece.first <= held.last


class Stamp(msgspec.Struct, frozen=True):
    """A timestamp of a target's own clock.

    Attributes:
        incarnation: Identifier of the target's process; changes when it
            restarts.
        at: Seconds on the target's monotonic clock.
    """

    incarnation: str
    at: float


class Grant(msgspec.Struct, frozen=True):
    """Message from a keeper to its target.

    Attributes:
        block: The block that the slices belong to.
        target: The addressed target.
        keeper_fence: The keeper's fencing token; the target refuses lower
            ones.
        sequence: Number of the slice set under this keeper fence.
        quoted: The target's own stamp from an earlier response, None before
            the first response.
        ttl: Seconds from the quoted stamp for which the grant is valid.
        slices: The full set of slices, or None to renew the set with the same
            sequence.
        prepare: Slices that the target may own soon and can warm up.
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
    """Outcome of a grant at the target."""

    ACCEPTED = "accepted"
    STALE_KEEPER = "stale_keeper"
    STALE_SEQUENCE = "stale_sequence"
    EXPIRED = "expired"
    NEED_SLICES = "need_slices"


class GrantReply(msgspec.Struct, frozen=True):
    """A target's response to a grant.

    Attributes:
        status: Whether the target accepted the grant, or why not.
        stamp: The target's clock when it responded.
        keeper_fence: Highest keeper fence that the target has received.
        sequence: Sequence of the slice set that the target holds under that
            fence.
        releasing: Key hashes of running requests that no granted slice covers
            any more; the slices that contain them are not yet released.
        in_flight: Number of requests running on the target.
        valid_for: Seconds on the target's clock until its present grant,
            which may come from a former keeper, expires.
    """

    status: GrantStatus
    stamp: Stamp
    keeper_fence: int
    sequence: int
    releasing: tuple[int, ...] = ()
    in_flight: int = 0
    valid_for: float = 0.0


class Timing(msgspec.Struct, frozen=True):
    """Durations of the grant protocol, in seconds.

    Attributes:
        ttl: Validity of a grant, counted from the quoted stamp.
        renew: Interval between renewals.
        timeout: How long the keeper waits for one response.
        drift: Maximum clock drift: the largest fraction by which a target's
            clock may run slower than the keeper's.
    """

    ttl: float = 0.6
    renew: float = 0.15
    timeout: float = 0.3
    drift: float = 0.01

    @property
    def max_validity(self) -> float:
        """Seconds after the last quoted response until all grants expired."""
        return self.ttl * (1 + self.drift)


class KeptTarget:
    """Grant state that a keeper maintains for one target in one block.

    Takes the wanted slices and the target's replies, and returns the messages
    to send and the proofs of release. The caller sends the messages, at most
    one at a time.
    """

    __slots__ = (
        "_acked",
        "_acknowledged",
        "_block",
        "_confirmed",
        "_expires_at",
        "_former_keepers_silent",
        "_incarnation_seen_at",
        "_keeper_fence",
        "_last_reply_at",
        "_prepare",
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
        silent: bool = True,
    ) -> None:
        """Initializes the state of a target without slices.

        Args:
            block: The block that the granted slices belong to.
            target: The target.
            keeper_fence: Fence under which this VM is the keeper.
            timing: Durations of the protocol.
            now: Current time in seconds, before the first message of this
                keeper.
            silent: Whether all former keepers have stopped sending grants.
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
        self._last_reply_at: float | None = None
        self._incarnation_seen_at = now
        self._confirmed = False
        self._former_keepers_silent = silent
        self._expires_at = now + timing.max_validity
        self._replaced = False

    @property
    def block(self) -> tables.BlockId:
        """The block that the granted slices belong to."""
        return self._block

    @property
    def target(self) -> str:
        """The target that this VM keeps."""
        return self._target

    @property
    def keeper_fence(self) -> int:
        """The fence of this keeper, sent with each grant."""
        return self._keeper_fence

    @property
    def replaced(self) -> bool:
        """Whether the target has accepted a newer keeper."""
        return self._replaced

    @property
    def last_reply_at(self) -> float | None:
        """Time of the last response, None before the first."""
        return self._last_reply_at

    @property
    def synchronized(self) -> bool:
        """Whether the target acknowledged the wanted slices."""
        return self._acked == self._sequence and not self._releasing

    @property
    def acknowledged(self) -> bool:
        """Whether the target has this keeper's fence and refuses lower."""
        return self._acknowledged

    @property
    def awaits_silence(self) -> bool:
        """Whether a former keeper might still renew grants at the target."""
        return not (self._former_keepers_silent or self._acknowledged)

    @property
    def needs_confirmation(self) -> bool:
        """Whether this VM must confirm its role to a new incarnation.

        A target that has just restarted has no keeper fence. It would accept
        grants of a keeper that was replaced without noticing, and two targets
        would serve a key that has moved. Therefore nothing is granted to a
        new incarnation before `confirm`.
        """
        return self._stamp is not None and not self._confirmed

    @property
    def expires_at(self) -> float:
        """Time at which all grants have expired unless the target responds."""
        return self._expires_at

    def set_wanted(self, slices: tuple[HeldSlice, ...]) -> bool:
        """Sets the slices that the target should own; True if they differ."""
        if slices == self._wanted:
            return False
        self._wanted = slices
        self._sequence += 1
        return True

    def prepare(self, slices: tuple[HeldSlice, ...]) -> None:
        """Sets the slices that the target may own soon and can warm up."""
        self._prepare = slices

    def set_timing(self, timing: Timing) -> None:
        """Sets the durations that apply to all further messages."""
        self._timing = timing

    def message(self) -> Grant:
        """Returns the next grant to send."""
        full = self._acked != self._sequence
        if self._last_reply_at is not None:
            self._extend_expiry(self._last_reply_at + self._timing.max_validity)
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

    def handle_reply(self, sent: Grant, reply: GrantReply, now: float) -> None:
        """Processes the target's reply to a grant."""
        if reply.keeper_fence > self._keeper_fence:
            self._replaced = True
            return
        self._last_reply_at = now
        self._meet(reply.stamp, now)
        # The first response with this fence may come long after this keeper
        # started, just after the target accepted a former keeper's grant.
        # The expiry counts from this response; otherwise the target would
        # still serve after the computed expiry.
        self._acknowledged |= reply.keeper_fence == self._keeper_fence
        valid_seconds = max(self._timing.ttl, reply.valid_for)
        self._extend_expiry(now + valid_seconds * (1 + self._timing.drift))
        if reply.status is GrantStatus.ACCEPTED:
            self._acked = sent.sequence
            self._releasing = frozenset(reply.releasing)
        elif reply.status is not GrantStatus.EXPIRED:
            self._acked = 0

    def confirm(self, requested_at: float) -> None:
        """Records that a request confirmed this VM as the keeper.

        Args:
            requested_at: Time at which that request was sent. A request sent
                before the target's incarnation was first seen proves nothing.
        """
        if requested_at >= self._incarnation_seen_at:
            self._confirmed = True

    def former_keepers_stopped(self, now: float) -> None:
        """Records that no former keeper sends grants any more."""
        if not self._former_keepers_silent:
            self._former_keepers_silent = True
            self._extend_expiry(now + self._timing.max_validity)

    def extend_after_pause(self, now: float) -> None:
        """Extends the expiry after a pause of this process.

        Otherwise each pause of a keeper would make it move all slices of its
        targets, although the targets would respond.
        """
        self._extend_expiry(now + self._timing.max_validity)

    def has_released(self, piece: tables.Slice) -> bool:
        """Whether the target acknowledged the release of a slice.

        True only if the acknowledged set doesn't contain the slice and no
        request for any of its keys is running.
        """
        return (
            not self._replaced
            and self._acked == self._sequence
            and not any(piece.first <= p <= piece.last for p in self._releasing)
            and not any(overlaps(s, piece) for s in self._wanted)
        )

    def has_lapsed(self, now: float) -> bool:
        """Whether all grants of all keepers have expired at the target.

        Valid only for targets that check the expiry before each request.
        False while a former keeper might still renew: a former keeper that
        can't reach this VM may still reach the target and extend its grant.
        """
        return (
            not self._replaced
            and not self.awaits_silence
            and now > self._expires_at
        )

    def _meet(self, stamp: Stamp, now: float) -> None:
        previous = self._stamp
        if previous is None or previous.incarnation != stamp.incarnation:
            self._incarnation_seen_at = now
            self._confirmed = False
            self._acked = 0
        self._stamp = stamp

    def _extend_expiry(self, at: float) -> None:
        self._expires_at = max(self._expires_at, at)
