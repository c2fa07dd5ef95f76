"""Leader lease: how long a leader may give orders, and when its grants expire.

One VM is the leader: it alone changes the tables of key ranges and gives orders
to targets. Any VM may take the role over by a compare-and-swap at any time, so
the loss of a leader is cheap. This is safe because:

- A table changes only in a transaction that also checks the leader's entry, so
  a replaced leader can change no table.
- A target refuses a fence lower than one that it has seen, so orders of a
  replaced leader do no harm to keys that the new one has taken from a target by
  order.
- Keys of a target that does not respond get another owner only once every grant
  for them has expired. A replaced leader that has not noticed its replacement
  could renew those grants. Therefore a leader stops by itself when it has not
  seen its entry in the store for `authority` seconds, and its successor waits
  that long. If the leader has named witnesses, both times are far shorter
  (`lease_extension`).

All times are readings of a clock that advances while the machine is suspended,
so that a leader sees on resumption that its lease has expired.
"""

from collections.abc import Sequence

import msgspec

_MAX_TERMS = 32
"""Former terms that an entry lists; an entry stays below three kilobytes."""
CLOCK_DRIFT = 0.02
"""Largest fraction by which a target's clock may run slow, as guaranteed by the
platform."""
EXPIRY_MARGIN_SECONDS = 0.1
"""Seconds added to the duration of a grant, for delivery within a host."""


class Term(msgspec.Struct, frozen=True, array_like=True):
    """One term of a leader, as its successors list it.

    Attributes:
        vm: Identifier of the VM.
        boot: Identifier of the daemon's incarnation, empty if unknown.
        epoch: Epoch of the term, -1 if unknown.
        hold_bound: Longest duration in seconds of the term's extended grants;
            0 if the leader declared none.
    """

    vm: str
    boot: str = ""
    epoch: int = -1
    hold_bound: float = 0.0


def listed_terms(terms: Sequence[Term]) -> tuple[Term, ...]:
    """Returns the former terms that an entry lists, in order of their epochs.

    If there are too many, one unknown term stands for the earliest ones. No VM
    reports for it, so a successor waits the longest time for it.
    """
    if len(terms) <= _MAX_TERMS:
        return tuple(terms)
    split = len(terms) - _MAX_TERMS + 1
    unknown = Term("", "", terms[split - 1].epoch)
    return (unknown, *terms[split:])


class LeaderEntry(msgspec.Struct, frozen=True):
    """The leader as recorded in the store.

    Attributes:
        vm: Identifier of the VM.
        boot: Identifier of the daemon's incarnation.
        epoch: Rises by one with each leader.
        address: Address at which its peers reach it.
        unsure: VMs that led before and may not have noticed their replacement
            when this one took over. Leaders may follow each other faster than
            the first one notices, and each successor has to wait for all of
            them.
        hold_bound: Longest duration in seconds of this leader's extended
            grants. It is in the store before the first grant, so a successor
            relies on it when nobody is left to report. 0 if not declared: the
            leader may extend grants up to what targets accept.
        formers: Earlier terms whose grants may not have expired when this
            leader took over, in order of their epochs.
    """

    vm: str
    boot: str
    epoch: int
    address: str
    unsure: tuple[str, ...] = ()
    hold_bound: float = 0.0
    formers: tuple[Term, ...] = ()

    @property
    def term(self) -> Term:
        """This leader's own term."""
        return Term(self.vm, self.boot, self.epoch, self.hold_bound)

    @property
    def earlier_terms(self) -> tuple[Term, ...]:
        """Terms before this one whose grants may not have expired.

        A leader that lists VMs only knows neither their epochs nor bounds.
        """
        listed = {term.vm for term in self.formers}
        unknown = tuple(Term(vm) for vm in self.unsure if vm not in listed)
        return unknown + self.formers


class LeaderLease:
    """Tracks how long this VM may give orders as leader.

    Attributes:
        replaceable: Whether another VM is reported to reach the store while
            this one does not, and may therefore soon become leader in its
            place.
    """

    __slots__ = (
        "_confirmed",
        "_extended_until",
        "_extended_grants_until",
        "_hold_bound",
        "_span_seconds",
        "_unextended_seconds",
        "_witnessed",
        "replaceable",
    )

    def __init__(
        self,
        span: float,
        unextended_span: float | None = None,
        hold_bound: float = float("inf"),
    ) -> None:
        """Creates a lease that allows no orders.

        Args:
            span: Seconds for which one confirmation by the store is valid, with
                the promises of all witnesses if there are witnesses.
            unextended_span: Seconds for which it is valid without these
                promises, if there are witnesses.
            hold_bound: Longest duration of an extended grant in seconds, as
                declared in the leader's entry.
        """
        self._span_seconds = span
        self._hold_bound = hold_bound
        self._unextended_seconds = (
            span if unextended_span is None else unextended_span
        )
        self._witnessed = False
        self._confirmed = float("-inf")
        self._extended_until = float("-inf")
        self._extended_grants_until = float("-inf")
        self.replaceable = False

    @property
    def extended(self) -> bool:
        """Whether the last confirmation by the store has been extended."""
        return self._extended_until >= self._confirmed + self._span_seconds

    def need_witnesses(self) -> None:
        """Shortens the lease, because witnesses are being named."""
        self._witnessed = True

    def extend(self, confirmed: float) -> None:
        """Extends the lease by the promises of all witnesses.

        Args:
            confirmed: Time of the confirmation by the store that the witnesses
                were sent.
        """
        until = confirmed + self._span_seconds
        self._extended_until = max(self._extended_until, until)

    @property
    def extended_grants_until(self) -> float:
        """Time at which all extended grants have expired.

        When an outage of the store ends, grants get their usual duration again.
        A target that has not responded since still holds its keys by an
        extended grant, and a successor has to take that into account.
        """
        return self._extended_grants_until

    def record_extended_grant(self, until: float) -> None:
        """Records the time at which an extended grant expires."""
        self._extended_grants_until = max(self._extended_grants_until, until)

    @property
    def confirmed(self) -> float:
        """Time of the last store request that confirmed this leader."""
        return self._confirmed

    @property
    def expires_at(self) -> float:
        """Time from which no order may be given."""
        if not self._witnessed:
            return self._confirmed + self._span_seconds
        unextended_until = self._confirmed + self._unextended_seconds
        return max(unextended_until, self._extended_until)

    @property
    def extended_until(self) -> float:
        """Time at which the promises of the witnesses have expired."""
        return self._extended_until

    def confirm(self, sent_at: float) -> None:
        """Records that the store named this VM as leader.

        Args:
            sent_at: Time at which the request to the store was sent, not that
                of its response.
        """
        self._confirmed = max(self._confirmed, sent_at)

    def is_valid(self, now: float) -> bool:
        """Whether orders may be given."""
        return now < self.expires_at

    def grant_seconds(
        self,
        now: float,
        arrival: float,
        usual: float,
        longest: float,
        trouble_after: float,
    ) -> float:
        """Returns the duration of a grant given now.

        While the store is down for all VMs, no successor can take over and no
        key can move. Grants are therefore extended, so that keys keep their
        owners if this leader is lost during the outage. Grants are not extended
        if only this leader is cut off from the store: its successor would have
        to wait for them before it could move the keys of a crashed target. No
        grant outlasts this leader's lease by more than `usual`, and no extended
        grant is longer than the declared bound: a successor waits for either.

        Args:
            now: Current time.
            arrival: Latest time at which the grant arrives.
            usual: Duration of a grant in normal operation, in seconds.
            longest: Longest duration that targets accept, in seconds.
            trouble_after: Seconds without a confirmation after which the store
                counts as unreachable.
        """
        if now - self._confirmed < trouble_after:
            return usual
        if not self.extended if self._witnessed else self.replaceable:
            return usual
        longest = min(longest, self._hold_bound)
        return max(usual, min(longest, self.expires_at - arrival + usual))


class RenewalPace(msgspec.Struct, frozen=True):
    """How often a grant is renewed and how long it lasts.

    Attributes:
        renew: Seconds between two renewals.
        hold: Duration of a grant in seconds.
    """

    renew: float
    hold: float


def renewal_pace(
    ranges: int, usual: RenewalPace, slowest: float, orders_per_second: float
) -> RenewalPace:
    """Returns the pace at which a leader can renew a number of ranges.

    A leader with too many orders to send responds too late, and all grants
    expire. Therefore the more ranges there are, the less often they are renewed
    and the longer their grants last.

    Args:
        ranges: Number of ranges, one order each.
        usual: Pace for a small number of ranges.
        slowest: Longest time in seconds between two renewals.
        orders_per_second: Limit on renewals per second; exceeded if it would
            make a renewal later than `slowest`.
    """
    renew = max(usual.renew, min(ranges / orders_per_second, slowest))
    return RenewalPace(renew, usual.hold * renew / usual.renew)


def grant_expiry(last_order: float, hold: float) -> float:
    """Returns the time by which a grant has expired for certain.

    Args:
        last_order: Time at which the last order that may have carried the grant
            was answered or its connection was reset.
        hold: Duration of the grant in seconds.
    """
    return last_order + hold * (1 + CLOCK_DRIFT) + EXPIRY_MARGIN_SECONDS
