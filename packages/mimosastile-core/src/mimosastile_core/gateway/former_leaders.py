"""When former leaders have stopped, and how long their grants last."""

from collections.abc import Iterable

from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import lease_extension


class FormerLeaders:
    """Leaders that may not have noticed yet that they were replaced."""

    __slots__ = (
        "_calm_until",
        "_extended_until",
        "_held_up",
        "_hold",
        "_known",
        "_longer_until",
        "_most",
        "_named",
        "_silent",
        "_unextended_until",
        "_until",
        "_witnesses",
        "_wordless",
    )

    def __init__(
        self,
        until: float,
        vms: Iterable[str] = (),
        calm_until: float = float("-inf"),
        hold: float = 0.0,
        most: float = 0.0,
        longer_until: float = float("-inf"),
        witnesses: Iterable[lease_extension.Witness] = (),
        unextended_until: float = float("inf"),
        held_up: float = 0.0,
    ) -> None:
        """Makes one.

        Args:
            until: When all have surely stopped.
            vms: Identifiers of their VMs.
            calm_until: Until when they surely gave usual grants only.
            hold: Seconds of a usual grant.
            most: Seconds of the longest grant.
            longer_until: When the longer grants that they gave before have
                run out.
            witnesses: Witnesses of the last one, if it named some.
            unextended_until: When that one has stopped if one of these made no
                promise.
            held_up: Seconds for which what a leader sent until it stopped may
                be on its way. One whose authority ends sends its last orders
                earlier by as much.
        """
        self._held_up = held_up
        self._until = until
        self._longer_until = longer_until
        self._known = until
        self._calm_until = calm_until
        self._hold = hold
        self._most = most
        self._silent = set(vms)
        self._named = bool(self._silent)
        self._wordless = set(self._silent)
        self._witnesses = frozenset(witnesses)
        self._unextended_until = unextended_until
        self._extended_until = float("inf")

    @property
    def stopped_by(self) -> float:
        """Time by which all orders of theirs have surely arrived."""
        return self._known

    def stopped(self, now: float) -> None:
        """Notes that all are known to have stopped."""
        self._silent.clear()
        self._known = min(self._known, now + self._held_up)

    def follows(self, vm: str, now: float, longer: float | None) -> None:
        """Notes that a VM follows the present leader and gives no orders.

        Args:
            vm: Identifier of the VM.
            now: The time.
            longer: Seconds until grants that were longer than usual, its own
                and those of leaders before it, have run out, as it says; None
                if it has started again since it led and cannot tell.
        """
        if vm in self._silent:
            self._silent.discard(vm)
            if longer is not None:
                self._wordless.discard(vm)
                self._longer_until = max(self._longer_until, now + longer)
            if not self._silent:
                self.stopped(now)

    def record_promise(
        self,
        witness: lease_extension.Witness,
        promised: float | None,
        now: float,
    ) -> None:
        """Takes a VM's word on what it has promised to former leaders.

        It follows the present leader, so it promises nothing more. Leaders
        before the last one had stopped when that one named its witnesses.

        Args:
            witness: The VM and its run.
            promised: Seconds until its last promise ends, negative for one
                that has ended, None if it has made none.
            now: The time.
        """
        if witness not in self._witnesses:
            return
        # The last leader needed the promises of all, so the first to end
        # counts.
        ends = float("-inf") if promised is None else now + promised
        self._extended_until = min(self._extended_until, ends)
        bound = max(self._unextended_until, self._extended_until)
        self._until = min(self._until, bound)
        self._known = min(self._known, bound)

    def lapse(self, hold: float = 0.0) -> float:
        """Returns when all their grants have run out.

        Args:
            hold: Seconds of their usual grants, if that is longer than the
                one in the settings.
        """
        usual = max(self._hold, hold)
        longer_until = self._longer_until
        all_said = self._named and not self._wordless
        calm = all_said or self._known <= self._calm_until
        if self._extended_until < float("inf"):
            # Longer grants were given under promises only.
            calm = True
            lapsed = self._lapsed_after(self._extended_until, usual)
            longer_until = max(longer_until, lapsed)
        longest = usual if calm else max(self._most, usual)
        known = leadership.lapsed_at(self._known, longest)
        latest = self._lapsed_after(self._until, usual)
        return min(latest, max(known, longer_until))

    def _lapsed_after(self, until: float, usual: float) -> float:
        """Returns when all grants have run out after authority has ended.

        None outlasts it by more than a usual one, but for the drift of the
        target's clock.
        """
        drift = max(self._most - usual, 0.0) * leadership.CLOCK_DRIFT
        return leadership.lapsed_at(until, usual) + drift
