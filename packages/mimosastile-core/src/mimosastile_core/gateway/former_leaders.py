"""When former leaders have stopped, and when their grants expire."""

from collections.abc import Iterable

from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import lease_extension


class FormerLeaders:
    """Former leaders that may not have noticed their replacement yet."""

    __slots__ = (
        "_usual_grants_until",
        "_extended_until",
        "_transit_seconds",
        "_usual_hold",
        "_stopped_by",
        "_extended_grants_until",
        "_longest_hold",
        "_had_leaders",
        "_unconfirmed",
        "_unextended_until",
        "_stop_bound",
        "_witnesses",
        "_without_report",
    )

    def __init__(
        self,
        until: float,
        vms: Iterable[str] = (),
        usual_grants_until: float = float("-inf"),
        usual_hold: float = 0.0,
        longest_hold: float = 0.0,
        extended_grants_until: float = float("-inf"),
        witnesses: Iterable[lease_extension.Witness] = (),
        unextended_until: float = float("inf"),
        transit_seconds: float = 0.0,
    ) -> None:
        """Creates the record that a new leader keeps of its predecessors.

        Args:
            until: Time by which all of them have stopped for certain.
            vms: Identifiers of their VMs.
            usual_grants_until: Time until which they gave no extended grants
                for certain.
            usual_hold: Usual duration of a grant in seconds.
            longest_hold: Longest duration of a grant in seconds.
            extended_grants_until: Time at which the extended grants that they
                gave before have expired.
            witnesses: Witnesses of the last one, if it named any.
            unextended_until: Time by which the last one has stopped if one of
                these witnesses made no promise.
            transit_seconds: Seconds for which orders that a leader sent until
                it stopped may be in transit. A leader whose lease expires stops
                sending earlier by as much.
        """
        self._transit_seconds = transit_seconds
        self._stop_bound = until
        self._extended_grants_until = extended_grants_until
        self._stopped_by = until
        self._usual_grants_until = usual_grants_until
        self._usual_hold = usual_hold
        self._longest_hold = longest_hold
        self._unconfirmed = set(vms)
        self._had_leaders = bool(self._unconfirmed)
        self._without_report = set(self._unconfirmed)
        self._witnesses = frozenset(witnesses)
        self._unextended_until = unextended_until
        self._extended_until = float("inf")

    @property
    def stopped_by(self) -> float:
        """Time by which all of their orders have arrived for certain."""
        return self._stopped_by

    def record_stopped(self, now: float) -> None:
        """Records that all of them have stopped."""
        self._unconfirmed.clear()
        self._stopped_by = min(self._stopped_by, now + self._transit_seconds)

    def record_follower(
        self, vm: str, now: float, extended_seconds: float | None
    ) -> None:
        """Records that a VM follows the present leader and gives no orders.

        Args:
            vm: Identifier of the VM.
            now: Current time.
            extended_seconds: Seconds until the extended grants of this VM and
                of leaders before it have expired, as reported by the VM; None
                if it has restarted since it was leader and no longer has this
                information.
        """
        if vm in self._unconfirmed:
            self._unconfirmed.discard(vm)
            if extended_seconds is not None:
                self._without_report.discard(vm)
                self._extended_grants_until = max(
                    self._extended_grants_until, now + extended_seconds
                )
            if not self._unconfirmed:
                self.record_stopped(now)

    def record_promise(
        self,
        witness: lease_extension.Witness,
        promised: float | None,
        now: float,
    ) -> None:
        """Processes a witness's report on its promises to former leaders.

        The witness follows the present leader, so it makes no further promises
        to them. Leaders before the last one had stopped when that one named its
        witnesses.

        Args:
            witness: The VM and the incarnation of its daemon.
            promised: Seconds until its last promise expires, negative if it has
                expired, None if it has made none.
            now: Current time.
        """
        if witness not in self._witnesses:
            return
        # The last leader needed the promises of all witnesses, so the one that
        # expires first counts.
        expires = float("-inf") if promised is None else now + promised
        self._extended_until = min(self._extended_until, expires)
        bound = max(self._unextended_until, self._extended_until)
        self._stop_bound = min(self._stop_bound, bound)
        self._stopped_by = min(self._stopped_by, bound)

    def grants_expire_at(self, usual_hold: float = 0.0) -> float:
        """Returns the time at which all their grants have expired.

        Args:
            usual_hold: Duration of their usual grants in seconds, if longer
                than the configured one.
        """
        usual = max(self._usual_hold, usual_hold)
        extended_grants_until = self._extended_grants_until
        all_reported = self._had_leaders and not self._without_report
        usual_only = (
            all_reported or self._stopped_by <= self._usual_grants_until
        )
        if self._extended_until < float("inf"):
            # Extended grants were given under promises only.
            usual_only = True
            expired = self._expired_after(self._extended_until, usual)
            extended_grants_until = max(extended_grants_until, expired)
        longest = usual if usual_only else max(self._longest_hold, usual)
        earliest = leadership.grant_expiry(self._stopped_by, longest)
        latest = self._expired_after(self._stop_bound, usual)
        return min(latest, max(earliest, extended_grants_until))

    def _expired_after(self, until: float, usual: float) -> float:
        """Returns when all grants have expired after a lease has expired.

        No grant outlasts the lease by more than the usual duration, except for
        the drift of the target's clock.
        """
        drift = max(self._longest_hold - usual, 0.0) * leadership.CLOCK_DRIFT
        return leadership.grant_expiry(until, usual) + drift
