"""When a leader may give orders, and when a former one has surely stopped.

One VM leads: it alone changes the tables of key ranges and gives orders to
targets. Any VM may take the role over by a compare-and-swap, at any time, so
the death of a leader costs little. What makes that safe:

- A table changes only in a transaction that also checks the leader's entry,
  so a replaced leader changes nothing more.
- A target refuses a fence lower than one it has seen, so a replaced leader's
  orders do no harm to keys that the new one has taken from a target by order.
- Keys of a target that does not answer are given away only once every grant
  has run out. A replaced leader that does not know it might renew them; so a
  leader stops by itself when it has not seen its entry in the store for
  `authority` seconds, and its successor waits that long. Where the leader has
  named witnesses, both times are far shorter (`extension`).

All times are of a clock that runs on while the machine is suspended: a leader
that thaws must see that its time has passed.
"""

import msgspec

CLOCK_DRIFT = 0.02
"""How much slower a target's clock may run, from the platform's promise."""
LAPSE_MARGIN = 0.1
"""Seconds on top of a grant's time for delivery within a host."""


class LeaderEntry(msgspec.Struct, frozen=True):
    """The leader as named in the store.

    Attributes:
        vm: Identifier of the VM.
        boot: Identifier of the run of its daemon.
        epoch: Rises by one with each leader.
        address: Where its peers reach it.
        unsure: VMs that led before and may not have noticed that they were
            replaced when this one took over. Leaders may follow each other
            faster than the first one notices; whoever comes next has to wait
            for all of them.
    """

    vm: str
    boot: str
    epoch: int
    address: str
    unsure: tuple[str, ...] = ()


class LeaderLease:
    """How long this VM may go on giving orders as leader.

    Attributes:
        replaceable: Whether another VM reaches the store while this one does
            not, as far as is known, and so may soon lead in its place.
    """

    __slots__ = (
        "_confirmed",
        "_extended_until",
        "_longer_until",
        "_span",
        "_unextended",
        "_witnessed",
        "replaceable",
    )

    def __init__(self, span: float, unextended: float | None = None) -> None:
        """Makes one that allows nothing.

        Args:
            span: Seconds that one look at the store allows, with the promises
                of all witnesses if there are some.
            unextended: Seconds that it allows without these, if there are
                witnesses.
        """
        self._span = span
        self._unextended = span if unextended is None else unextended
        self._witnessed = False
        self._confirmed = float("-inf")
        self._extended_until = float("-inf")
        self._longer_until = float("-inf")
        self.replaceable = False

    @property
    def extended(self) -> bool:
        """Whether the last look at the store has been extended."""
        return self._extended_until >= self._confirmed + self._span

    def need_witnesses(self) -> None:
        """Shortens it, since witnesses are being named."""
        self._witnessed = True

    def extend(self, confirmed: float) -> None:
        """Notes the promises of all witnesses.

        Args:
            confirmed: The last look at the store that they were told of.
        """
        until = confirmed + self._span
        self._extended_until = max(self._extended_until, until)

    @property
    def longer_until(self) -> float:
        """Time at which all grants that were longer than usual have run out.

        An outage of the store ends, and grants are usual ones again; but a
        target that has answered nothing since still holds its keys by a longer
        one. A successor has to know that.
        """
        return self._longer_until

    def record_extended_grant(self, until: float) -> None:
        """Notes when a longer grant will have run out."""
        self._longer_until = max(self._longer_until, until)

    @property
    def confirmed(self) -> float:
        """Time of the last look at the store that showed this leader."""
        return self._confirmed

    @property
    def ends(self) -> float:
        """Time from which no order may be given."""
        if not self._witnessed:
            return self._confirmed + self._span
        unextended = self._confirmed + self._unextended
        return max(unextended, self._extended_until)

    @property
    def extended_until(self) -> float:
        """Time at which the promises of witnesses have ended."""
        return self._extended_until

    def confirm(self, asked: float) -> None:
        """Notes that the store named this leader.

        Args:
            asked: Time at which the question was sent, not answered.
        """
        self._confirmed = max(self._confirmed, asked)

    def holds(self, now: float) -> bool:
        """Whether orders may be given."""
        return now < self.ends

    def hold_seconds(
        self,
        now: float,
        arrival: float,
        usual: float,
        most: float,
        trouble_after: float,
    ) -> float:
        """Returns how long a grant given now may last.

        While the store answers nobody no successor could take over and no key
        could move, so grants are made longer: the keys then survive the loss
        of this leader in an outage. Not if only this leader is cut off: its
        successor would have to wait for them before the keys of a target that
        died can move. No grant outlasts this leader's
        authority by more than `usual`, which is what a successor waits for.

        Args:
            now: The time.
            arrival: When it arrives at the latest.
            usual: Seconds of a grant while all is well.
            most: Longest grant that targets accept.
            trouble_after: Seconds without the store after which it counts as
                not answering.
        """
        if now - self._confirmed < trouble_after:
            return usual
        if not self.extended if self._witnessed else self.replaceable:
            return usual
        return max(usual, min(most, self.ends - arrival + usual))


class RenewalPace(msgspec.Struct, frozen=True):
    """How often a grant is renewed and how long it lasts.

    Attributes:
        renew: Seconds between two renewals.
        hold: Seconds of a grant.
    """

    renew: float
    hold: float


def paced(
    ranges: int, usual: RenewalPace, slowest: float, orders_per_second: float
) -> RenewalPace:
    """Returns the pace at which a leader can renew a number of ranges.

    A leader with too many orders answers nobody in time, and all grants run
    out. So more ranges are renewed less often and granted for longer.

    Args:
        ranges: Number of ranges, one order each.
        usual: The pace for a few.
        slowest: Longest time in seconds between two renewals.
        orders_per_second: Renewals to send at most, as long as none is later
            than that.
    """
    renew = max(usual.renew, min(ranges / orders_per_second, slowest))
    return RenewalPace(renew, usual.hold * renew / usual.renew)


def lapsed_at(last_order: float, hold: float) -> float:
    """Returns when a grant has surely run out.

    Args:
        last_order: Time at which the last order that may have carried it was
            answered or its connection was reset.
        hold: Seconds that it granted.
    """
    return last_order + hold * (1 + CLOCK_DRIFT) + LAPSE_MARGIN
