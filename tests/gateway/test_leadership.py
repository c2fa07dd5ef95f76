"""When a leader may give orders and when its last grant has run out."""

import pytest

from mimosastile_core.gateway import leadership

SPAN, USUAL, MOST, TROUBLE = 10.0, 2.0, 10.0, 3.0


def _confirmed(at):
    made = leadership.LeaderLease(SPAN)
    made.confirm(at)
    return made


class TestAuthority:
    """How long one look at the store allows a leader to go on."""

    @pytest.mark.parametrize(
        ("at", "holds"), [(0.0, True), (9.9, True), (10.0, False)]
    )
    def test_ends(self, at, holds):
        """A leader that was suspended gives no orders when it wakes.

        Meanwhile another one may have given its keys away.
        """
        assert _confirmed(0.0).holds(at) is holds

    def test_holds_nothing_before_the_first_look(self):
        """A VM that was never named leads nothing."""
        assert not leadership.LeaderLease(SPAN).holds(0.0)

    def test_an_answer_that_comes_late_does_not_take_back(self):
        """Answers that overtake each other never shorten the time."""
        made = _confirmed(5.0)
        made.confirm(3.0)
        assert made.ends == 15.0


class TestHold:
    """How long grants last."""

    @pytest.mark.parametrize(
        ("now", "expected"),
        [(0.0, 2.0), (2.9, 2.0), (3.0, 9.0), (4.0, 8.0), (9.9, 2.1)],
    )
    def test_longer_while_the_store_is_away(self, now, expected):
        """The store is down and then the leader dies as well.

        Nobody can take over before the store is back; with usual grants all
        keys would be refused after two seconds.
        """
        hold = _confirmed(0.0).hold_seconds(now, now, USUAL, MOST, TROUBLE)
        assert hold == pytest.approx(expected)

    @pytest.mark.parametrize("now", [x / 10 for x in range(100)])
    def test_never_beyond_what_a_successor_waits_for(self, now):
        """A successor without word waits for authority and a usual grant."""
        hold = _confirmed(0.0).hold_seconds(now, now, USUAL, MOST, TROUBLE)
        assert now + hold <= SPAN + USUAL + 1e-9
        assert hold <= MOST

    def test_lapse_covers_a_slow_clock(self):
        """A target's clock may run 2% slow."""
        assert leadership.lapsed_at(5.0, 10.0) >= 15.2


class TestPace:
    """Renewals of few and of many ranges: load of a leader by targets."""

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
        found = leadership.paced(ranges, usual, 1.0, 1000.0)
        assert found.renew == pytest.approx(renew)
        assert found.hold == pytest.approx(hold)
