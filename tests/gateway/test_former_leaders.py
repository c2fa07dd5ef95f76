"""Former leaders: when they have stopped, and when their grants expire."""

import pytest

from mimosastile_core.gateway import former_leaders
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import lease_extension

W1 = lease_extension.Witness("vm-1", "boot-1")
W2 = lease_extension.Witness("vm-2", "boot-2")


def _follower(vm, boot, extended=None, own=None, led_epoch=-1, **fields):
    """Returns the report of a VM, by default of one that has restarted."""
    return former_leaders.Follower(vm, boot, extended, own, led_epoch, **fields)


def _former_leaders(calm=0.0, longer=float("-inf")):
    """Returns a leader replaced at 0 s.

    Its lease lasted 10 s, or 2.5 s without the promises of witnesses.
    """
    return former_leaders.FormerLeaders(
        10.0,
        (leadership.Term("vm-0", "boot-0", 1),),
        calm,
        2.0,
        10.0,
        longer,
        lease_extension.Record(1, (W1, W2)),
        2.5,
    )


class TestWitnesses:
    """What reports of witnesses prove about an unreachable former leader."""

    @pytest.mark.parametrize(
        ("reports", "expires"),
        [
            pytest.param([], 12.3, id="no witness can be reached"),
            pytest.param([(W1, None)], 4.64, id="one made no promise"),
            pytest.param([(W1, 6.0)], 8.3, id="one promised six seconds"),
            pytest.param([(W1, 1.0)], 4.64, id="its promise expires sooner"),
            pytest.param([(W1, -0.5)], 4.64, id="its promise has expired"),
            pytest.param([(W1, 6.0), (W2, None)], 4.64, id="not all promised"),
            pytest.param([(W2, None), (W1, 6.0)], 4.64, id="in any order"),
            pytest.param([(W1, 6.0), (W2, 4.0)], 6.3, id="both promised"),
            pytest.param(
                [(lease_extension.Witness("vm-1", "later"), None)],
                12.3,
                id="later incarnation of a witness",
            ),
            pytest.param(
                [(lease_extension.Witness("vm-9", "boot-9"), None)],
                12.3,
                id="another VM",
            ),
        ],
    )
    def test_witness_reports(self, reports, expires):
        """Guards against a new owner for keys whose grants are still renewed.

        A former leader that cannot be reached may still renew them.
        """
        leaders = _former_leaders()
        for witness, promised in reports:
            leaders.record_promise(witness, promised, 0.0)
        assert leaders.grants_expire_at() == pytest.approx(expires, abs=0.01)

    def test_expired_promise(self):
        """Guards against ignoring grants once the promise has expired.

        The leader's process is known to have ended, and it gave extended grants
        under the promise.
        """
        leaders = _former_leaders()
        leaders.record_follower(_follower("vm-0", "later"), 1.0)
        leaders.record_promise(W1, 3.0, 0.0)
        leaders.record_promise(W1, -2.0, 5.0)
        assert leaders.grants_expire_at() == pytest.approx(5.3, abs=0.01)

    def test_reports_of_leader_and_witness(self):
        """The former leader reports as a follower; its grants were usual."""
        leaders = _former_leaders()
        leaders.record_promise(W1, None, 0.5)
        leaders.record_follower(_follower("vm-0", "later"), 1.0)
        assert leaders.grants_expire_at() == pytest.approx(3.14, abs=0.01)

    def test_restarted_leader_without_record(self):
        """Guards against ignoring the extended grants of a restarted leader."""
        leaders = _former_leaders()
        leaders.record_follower(_follower("vm-0", "later"), 1.0)
        assert leaders.grants_expire_at() == pytest.approx(11.3, abs=0.01)


def _declared(*bounds, record=None, transit=0.0):
    """Returns leaders replaced at 0 s, whose entries declare bounds.

    Their VMs and epochs are numbered from 1.
    """
    terms = [
        leadership.Term(f"vm-{epoch}", f"boot-{epoch}", epoch, bound)
        for epoch, bound in enumerate(bounds, start=1)
    ]
    return former_leaders.FormerLeaders(
        10.0,
        terms,
        usual_hold=2.0,
        longest_hold=10.0,
        record=record,
        unextended_until=2.5,
        transit_seconds=transit,
    )


class TestDeclaredBounds:
    """Waits for leaders that have declared the longest of their grants."""

    @pytest.mark.parametrize(
        ("bound", "running", "transit", "expires"),
        [
            pytest.param(4.0, 0.0, 0.0, 6.18, id="bound"),
            pytest.param(1.0, 0.0, 0.0, 4.14, id="usual grants are longer"),
            pytest.param(4.0, 1.5, 0.0, 5.71, id="started before"),
            pytest.param(4.0, 0.5, 0.0, 6.18, id="orders in transit at start"),
            pytest.param(4.0, 1.5, 1.0, 5.71, id="started, between regions"),
            pytest.param(4.0, 0.0, 1.0, 7.18, id="between regions"),
            pytest.param(0.0, 1.5, 0.0, 12.3, id="not declared"),
            pytest.param(99.0, 0.0, 0.0, 12.3, id="targets accept less"),
        ],
    )
    def test_restarted_leader(self, bound, running, transit, expires):
        """Guards against a wait shorter than grants that nobody remembers."""
        leaders = _declared(bound, transit=transit)
        leaders.record_follower(
            _follower("vm-1", "later", running_seconds=running), 2.0
        )
        assert leaders.grants_expire_at() == pytest.approx(expires, abs=0.01)

    def test_longest_usual_hold(self):
        """Guards against ignoring the duration that a table names."""
        leaders = _declared(1.0)
        leaders.record_usual_hold(4.0)
        leaders.record_follower(_follower("vm-1", "later"), 2.0)
        assert leaders.grants_expire_at() > 2.0 + 4.08

    def test_unreachable_leader(self):
        """A bound says nothing of how long a leader renews its grants."""
        assert _declared(4.0).grants_expire_at() == pytest.approx(
            12.3, abs=0.01
        )


class TestChains:
    """Evidence on one of several former leaders."""

    def test_later_leader_covers_earlier_ones(self):
        """Guards against a wait that begins anew with each leader."""
        leaders = _declared(4.0, 4.0)
        leaders.record_follower(_follower("vm-2", "boot-2", 3.0, 0.0, 2), 1.0)
        assert leaders.grants_expire_at() == pytest.approx(4.0, abs=0.01)
        assert leaders.stopped_by == pytest.approx(4.0, abs=0.01)

    @pytest.mark.parametrize(
        ("bounds", "reporter"),
        [
            pytest.param((4, 4), ("vm-1", "boot-1", 0.0, 0.0, 1), id="earlier"),
            pytest.param((4, 4), ("vm-2", "later"), id="restarted"),
            pytest.param(
                (4, 4), ("vm-2", "boot-2", 0.0, 0.0, 1), id="unstarted"
            ),
            pytest.param(
                (4, 0), ("vm-2", "boot-2", 0.0, 0.0, 2), id="old version"
            ),
            pytest.param(
                (4, 4), ("vm-9", "boot-9", 0.0, 0.0, 9), id="not listed"
            ),
        ],
    )
    def test_reports_that_cover_nothing(self, bounds, reporter):
        """Guards against evidence applied to a leader it does not concern."""
        leaders = _declared(*bounds)
        leaders.record_follower(_follower(*reporter), 1.0)
        assert leaders.grants_expire_at() == pytest.approx(12.3, abs=0.01)

    def test_witnesses_of_the_first_leader(self):
        """A leader that named no witnesses came between and has reported."""
        leaders = _declared(4.0, 4.0, record=lease_extension.Record(1, (W1,)))
        leaders.record_promise(W1, None, 0.0)
        assert leaders.grants_expire_at() == pytest.approx(12.3, abs=0.01)
        leaders.record_follower(_follower("vm-2", "boot-2", 12.0, 0.0, 2), 0.5)
        assert leaders.grants_expire_at() == pytest.approx(4.64, abs=0.02)

    def test_record_of_a_later_leader(self):
        """Witnesses are named once the grants of all before have expired."""
        leaders = _declared(4.0, 4.0, record=lease_extension.Record(2, (W1,)))
        leaders.record_promise(W1, None, 0.0)
        assert leaders.grants_expire_at() == pytest.approx(4.64, abs=0.02)

    @pytest.mark.parametrize(
        ("own", "expires"),
        [
            pytest.param(0.0, 3.14, id="usual grants"),
            pytest.param(3.0, 4.0, id="extended grants"),
            pytest.param(None, 5.18, id="with those of earlier terms"),
        ],
    )
    def test_own_grants_of_a_leader(self, own, expires):
        """Guards against counting waits for earlier terms as a term's own."""
        leaders = _declared(4.0)
        leaders.record_follower(_follower("vm-1", "boot-1", 9.0, own, 1), 1.0)
        assert leaders.grants_expire_at() == pytest.approx(expires, abs=0.01)

    def test_last_to_expire(self):
        """The log names the leader that is waited for, and the evidence."""
        leaders = _declared(4.0, 4.0)
        leaders.record_follower(_follower("vm-1", "later"), 0.0)
        term, evidence = leaders.last_to_expire() or (None, "")
        assert (term.vm, evidence) == ("vm-2", "no report")
