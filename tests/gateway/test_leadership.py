"""When a leader may give orders and when its last grant has expired."""

import pytest

from mimosastile_core.gateway import leadership

SPAN, USUAL, MOST, TROUBLE = 10.0, 2.0, 10.0, 3.0


def _confirmed(at):
    lease = leadership.LeaderLease(SPAN)
    lease.confirm(at)
    return lease


class TestLeaderLease:
    """How long one confirmation by the store lets a leader continue."""

    @pytest.mark.parametrize(
        ("at", "holds"), [(0.0, True), (9.9, True), (10.0, False)]
    )
    def test_ends(self, at, holds):
        """A leader that was suspended gives no orders on resumption.

        Meanwhile another leader may have given its keys away.
        """
        assert _confirmed(0.0).is_valid(at) is holds

    def test_no_orders_before_the_first_confirmation(self):
        """A VM that was never named as leader may give no orders."""
        assert not leadership.LeaderLease(SPAN).is_valid(0.0)

    def test_late_response_does_not_shorten_the_lease(self):
        """Responses that arrive out of order never shorten the lease."""
        lease = _confirmed(5.0)
        lease.confirm(3.0)
        assert lease.expires_at == 15.0


class TestGrantSeconds:
    """How long grants last."""

    @pytest.mark.parametrize(
        ("now", "expected"),
        [(0.0, 2.0), (2.9, 2.0), (3.0, 9.0), (4.0, 8.0), (9.9, 2.1)],
    )
    def test_extended_while_the_store_is_down(self, now, expected):
        """The store goes down and then the leader is lost as well.

        No VM can take over before the store is back. With usual grants,
        requests for all keys would be refused after two seconds.
        """
        hold = _confirmed(0.0).grant_seconds(now, now, USUAL, MOST, TROUBLE)
        assert hold == pytest.approx(expected)

    @pytest.mark.parametrize("now", [x / 10 for x in range(100)])
    def test_never_outlasts_the_wait_of_a_successor(self, now):
        """Without reports a successor waits for the lease and a usual grant."""
        hold = _confirmed(0.0).grant_seconds(now, now, USUAL, MOST, TROUBLE)
        assert now + hold <= SPAN + USUAL + 1e-9
        assert hold <= MOST

    def test_expiry_allows_for_a_slow_clock(self):
        """A target's clock may run 2% slow."""
        assert leadership.grant_expiry(5.0, 10.0) >= 15.2


class TestPace:
    """Load of a leader by the renewals of few and of many ranges."""

    @pytest.mark.parametrize(
        ("ranges", "renew", "hold"),
        [
            (1, 0.5, 2.0),
            (500, 0.5, 2.0),
            (700, 0.7, 2.8),
            (1700, 1.0, 4.0),
            (50_000, 1.0, 4.0),
        ],
    )
    def test_paced(self, ranges, renew, hold):
        """Guards against a leader that has more orders than it can send."""
        usual = leadership.RenewalPace(0.5, 2.0)
        found = leadership.renewal_pace(ranges, usual, 1.0, 1000.0)
        assert found.renew == pytest.approx(renew)
        assert found.hold == pytest.approx(hold)


class TestTerms:
    """Former terms that an entry lists."""

    def test_leader_of_an_earlier_version(self):
        """Guards against forgetting leaders that are listed by VM only."""
        listed = leadership.Term("b", "x", 4, 4.0)
        entry = leadership.LeaderEntry(
            "c", "y", 5, "", ("a", "b"), 4.0, (listed,)
        )
        assert entry.earlier_terms == (leadership.Term("a"), listed)
        assert entry.term == leadership.Term("c", "y", 5, 4.0)

    def test_many_terms(self):
        """An unknown term stands for the earliest ones."""
        terms = [leadership.Term("a", "x", n, 4.0) for n in range(40)]
        listed = leadership.listed_terms(terms)
        assert len(listed) == 32
        assert listed[0] == leadership.Term("", "", 8)
        assert listed[1:] == tuple(terms[9:])


class TestHoldBound:
    """The declared bound on extended grants."""

    @pytest.mark.parametrize(
        ("bound", "usual", "expected"), [(4.0, 2.0, 4.0), (1.0, 2.0, 2.0)]
    )
    def test_extended_grant(self, bound, usual, expected):
        """Guards against a grant longer than a successor waits for."""
        lease = leadership.LeaderLease(SPAN, hold_bound=bound)
        lease.confirm(0.0)
        assert lease.grant_seconds(2.0, 2.0, usual, 10.0, 1.6) == expected
