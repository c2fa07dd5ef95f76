"""When former leaders have stopped, and when their grants expire.

Leaders may follow each other faster than the grants of the first one expire.
Evidence is therefore kept for each term by itself:

- A VM that follows the present leader gives no orders in its earlier terms, and
  neither does an earlier incarnation of its daemon.
- A leader that still runs reports until when its extended grants last, and the
  grants of all terms before its own.
- A witness's promises concern the term that named it. A record of witnesses
  also proves that all grants of earlier terms had expired.
- Without a report, no extended grant is longer than its leader declared in the
  store before the term began.
"""

from collections.abc import Iterable

import msgspec

from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import lease_extension

_RESTART_TRANSIT_SECONDS = 1.0
"""Seconds after the start of a daemon's next incarnation by which the orders of
the former one have arrived. The kernel goes on sending what a killed process
has written."""


class Follower(msgspec.Struct, frozen=True):
    """What a VM that follows the present leader reports of its own terms.

    Attributes:
        vm: Identifier of the VM.
        boot: Identifier of the daemon's incarnation.
        extended_seconds: Seconds until its extended grants and all grants of
            leaders before it have expired; None if it has restarted since it
            was leader and no longer has this information.
        own_extended_seconds: Seconds until the extended grants of all its own
            terms have expired, None if unknown.
        led_epoch: Epoch of the last term that this incarnation started, -1 if
            unknown.
        running_seconds: Seconds for which this incarnation has run, 0 if
            unknown. An earlier incarnation ended before it started.
    """

    vm: str
    boot: str
    extended_seconds: float | None
    own_extended_seconds: float | None = None
    led_epoch: int = -1
    running_seconds: float = 0.0


class _FormerTerm:
    """Evidence on one term.

    Attributes:
        term: The term.
        stop_bound: Time by which it has ended even if its VM never reports.
        stopped_by: Time by which all of its orders have arrived.
        confirmed: Whether its VM follows the present leader.
        reported: Whether its leader has reported its extended grants.
        extended_grants_until: Time by which its extended grants have expired,
            as reported by its leader.
        extended_until: Earliest end of the promises of its witnesses, infinite
            without a report of a witness.
        covered_until: Time by which all its grants have expired, as reported by
            a later leader; infinite without such a report.
    """

    __slots__ = (
        "confirmed",
        "covered_until",
        "extended_grants_until",
        "extended_until",
        "reported",
        "stop_bound",
        "stopped_by",
        "term",
    )

    def __init__(self, term: leadership.Term, until: float) -> None:
        self.term = term
        self.stop_bound = until
        self.stopped_by = until
        self.confirmed = False
        self.reported = False
        self.extended_grants_until = float("-inf")
        self.extended_until = float("inf")
        self.covered_until = float("inf")

    @property
    def evidence(self) -> str:
        """What the expiry of the term's grants is concluded from."""
        if self.covered_until < float("inf"):
            return "reported by a later leader"
        if self.reported:
            return "reported"
        if self.extended_until < float("inf"):
            return "reported by a witness"
        return "restarted" if self.confirmed else "no report"

    def confirm_stopped(self, by: float) -> None:
        """Records that all orders of the term have arrived by a time."""
        self.confirmed = True
        self.stopped_by = min(self.stopped_by, by)

    def cover(self, until: float) -> None:
        """Records that all grants of the term have expired by a time."""
        self.covered_until = min(self.covered_until, until)
        self.stopped_by = min(self.stopped_by, until)


class FormerLeaders:
    """Former leaders that may not have noticed their replacement yet."""

    __slots__ = (
        "_extended_grants_until",
        "_longest_hold",
        "_terms",
        "_transit_seconds",
        "_unextended_until",
        "_until",
        "_usual_grants_until",
        "_usual_hold",
        "_witnessed_epoch",
        "_witnesses",
    )

    def __init__(
        self,
        until: float,
        terms: Iterable[leadership.Term] = (),
        usual_grants_until: float = float("-inf"),
        usual_hold: float = 0.0,
        longest_hold: float = 0.0,
        extended_grants_until: float = float("-inf"),
        record: lease_extension.Record | None = None,
        unextended_until: float = float("inf"),
        transit_seconds: float = 0.0,
    ) -> None:
        """Creates the record that a new leader keeps of its predecessors.

        Args:
            until: Time by which all of them have stopped for certain.
            terms: Their terms, as far as grants may not have expired.
            usual_grants_until: Time until which they gave no extended grants
                for certain.
            usual_hold: Usual duration of a grant in seconds.
            longest_hold: Longest duration of a grant in seconds.
            extended_grants_until: Time at which the extended grants that they
                gave before that have expired.
            record: The last record of witnesses.
            unextended_until: Time by which a leader with witnesses has stopped
                if one of them made no promise.
            transit_seconds: Seconds for which orders that a leader sent until
                it stopped may be in transit. A leader whose lease expires stops
                sending earlier by as much.
        """
        self._until = until
        self._transit_seconds = transit_seconds
        self._usual_grants_until = usual_grants_until
        self._usual_hold = usual_hold
        self._longest_hold = longest_hold
        self._extended_grants_until = extended_grants_until
        self._unextended_until = unextended_until
        self._witnesses = frozenset(record.witnesses if record else ())
        self._witnessed_epoch = record.epoch if record else None
        self._terms = [
            _FormerTerm(term, until)
            for term in terms
            if not _expired_before(term, record)
        ]

    @property
    def stopped_by(self) -> float:
        """Time by which all of their orders have arrived for certain."""
        return max(
            (former.stopped_by for former in self._terms), default=self._until
        )

    def record_usual_hold(self, seconds: float) -> None:
        """Records the usual duration of grants, as read from the tables."""
        self._usual_hold = max(self._usual_hold, seconds)

    def record_follower(self, follower: Follower, now: float) -> None:
        """Records that a VM follows the present leader and gives no orders.

        Only the first report of a VM counts.

        Args:
            follower: What the VM reports.
            now: Current time.
        """
        own = [
            former
            for former in self._terms
            if former.term.vm == follower.vm and not former.confirmed
        ]
        extended_seconds = follower.extended_seconds
        own_seconds = follower.own_extended_seconds
        if own_seconds is None:
            own_seconds = extended_seconds
        for former in own:
            same = former.term.boot in ("", follower.boot)
            stopped_by = now + self._transit_seconds
            if not same and former.term.hold_bound > 0.0:
                # A leader that declares no bound may list too few earlier
                # terms, whose grants the wait has to cover too.
                ran = follower.running_seconds * (1 - leadership.CLOCK_DRIFT)
                transit = max(self._transit_seconds, _RESTART_TRANSIT_SECONDS)
                stopped_by = min(stopped_by, now - ran + transit)
            former.confirm_stopped(stopped_by)
            # Grants of a term of an unknown incarnation may not be among the
            # VM's own ones.
            seconds = own_seconds if former.term.boot else extended_seconds
            if seconds is not None and same:
                former.reported = True
                former.extended_grants_until = max(
                    former.extended_grants_until, now + seconds
                )
        last_term_listed = any(
            (former.term.boot, former.term.epoch)
            == (follower.boot, follower.led_epoch)
            and former.term.hold_bound > 0.0
            for former in own
        )
        if extended_seconds is not None and last_term_listed:
            for former in self._terms:
                if former.term.epoch < follower.led_epoch:
                    former.cover(now + extended_seconds)

    def record_promise(
        self,
        witness: lease_extension.Witness,
        promised: float | None,
        now: float,
    ) -> None:
        """Processes a witness's report on its promises to former leaders.

        The witness follows the present leader, so it makes no further promises
        to them. Its report concerns the term that named it.

        Args:
            witness: The VM and the incarnation of its daemon.
            promised: Seconds until its last promise expires, negative if it has
                expired, None if it has made none.
            now: Current time.
        """
        if witness not in self._witnesses:
            return
        # The leader needed the promises of all witnesses, so the one that
        # expires first counts.
        expires = float("-inf") if promised is None else now + promised
        for former in self._terms:
            if self._is_witnessed(former.term):
                former.extended_until = min(former.extended_until, expires)
                bound = max(self._unextended_until, former.extended_until)
                former.stop_bound = min(former.stop_bound, bound)
                former.stopped_by = min(former.stopped_by, bound)

    def _is_witnessed(self, term: leadership.Term) -> bool:
        """Whether the last record of witnesses belongs to a term."""
        return term.epoch == self._witnessed_epoch

    def grants_expire_at(self, usual_hold: float = 0.0) -> float:
        """Returns the time at which all their grants have expired.

        Args:
            usual_hold: Duration of their usual grants in seconds, if longer
                than the configured one.
        """
        usual = max(self._usual_hold, usual_hold)
        return max(
            (self._term_expires_at(former, usual) for former in self._terms),
            default=self._expired_after(self._until, usual),
        )

    def last_to_expire(
        self, usual_hold: float = 0.0
    ) -> tuple[leadership.Term, str] | None:
        """Returns the term whose grants expire last, and the evidence on it.

        Args:
            usual_hold: As for `grants_expire_at`.
        """
        usual = max(self._usual_hold, usual_hold)
        last = max(
            self._terms,
            key=lambda former: self._term_expires_at(former, usual),
            default=None,
        )
        return (last.term, last.evidence) if last else None

    def _term_expires_at(self, former: _FormerTerm, usual: float) -> float:
        """Returns the time at which all grants of one term have expired."""
        latest = min(
            self._expired_after(former.stop_bound, usual), former.covered_until
        )
        # No grant is longer, and none arrives after the term has ended.
        longest = max(self._longest_hold, usual)
        if former.term.hold_bound > 0.0:
            longest = min(longest, max(former.term.hold_bound, usual))
        bounded = leadership.grant_expiry(former.stopped_by, longest)
        usual_expire_at = leadership.grant_expiry(former.stopped_by, usual)
        extended_expire_at = self._extended_expire_at(former, usual)
        if former.term.hold_bound > 0.0 or extended_expire_at is None:
            latest = min(latest, bounded)
        if extended_expire_at is None:
            return latest
        return min(latest, max(usual_expire_at, extended_expire_at))

    def _extended_expire_at(
        self, former: _FormerTerm, usual: float
    ) -> float | None:
        """Returns when a term's extended grants have expired, None if unknown.

        The end of a witness's promise tells, as extended grants were given
        under promises only, and witnesses were named once all earlier ones had
        expired.
        """
        if former.reported:
            return former.extended_grants_until
        if former.extended_until < float("inf"):
            return self._expired_after(former.extended_until, usual)
        if former.stopped_by <= self._usual_grants_until:
            return self._extended_grants_until
        return None

    def _expired_after(self, until: float, usual: float) -> float:
        """Returns when all grants have expired after a lease has expired.

        No grant outlasts the lease by more than the usual duration, except for
        the drift of the target's clock.
        """
        drift = max(self._longest_hold - usual, 0.0) * leadership.CLOCK_DRIFT
        return leadership.grant_expiry(until, usual) + drift


def _expired_before(
    term: leadership.Term, record: lease_extension.Record | None
) -> bool:
    """Whether a record of witnesses proves that a term's grants expired."""
    return record is not None and 0 <= term.epoch < record.epoch
