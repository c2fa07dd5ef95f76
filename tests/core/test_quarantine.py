"""Tests of the quarantine of requests that crash targets."""

import pytest

from mimosastile_core import config
from mimosastile_core import quarantine

POLICY = config.Quarantine(deaths=2, seconds=100.0)


def _crash(name, target="t1", request="r", number=1, age=0.0, ran=0.0):
    return quarantine.Crash(name, request, target, number, age, ran)


def _history(*crashes, now=0.0):
    history = quarantine.CrashHistory()
    for crash in crashes:
        history.record(crash, now)
    return history


class TestFingerprint:
    """Fingerprints identify repetitions of a request."""

    BASE = ("m", "POST", "/s/k", "q=1", b"body")

    def test_equal_requests_are_equal(self):
        """The fingerprint doesn't depend on the VM."""
        assert quarantine.fingerprint(*self.BASE) == quarantine.fingerprint(
            *self.BASE
        )

    @pytest.mark.parametrize("part", range(5))
    def test_every_part_counts(self, part):
        """A difference in any part makes a different request."""
        other = list(self.BASE)
        other[part] = other[part] + other[part][:1]
        assert quarantine.fingerprint(*other) != quarantine.fingerprint(
            *self.BASE
        )

    def test_parts_are_delimited(self):
        """Moving a character between parts makes a different request."""
        assert quarantine.fingerprint(
            "m", "GET", "/ab", "c", b""
        ) != quarantine.fingerprint("m", "GET", "/a", "bc", b"")


class TestTwoCrashes:
    """One request crashes each target that runs it and is sent again."""

    @pytest.mark.parametrize(
        ("crashes", "held"),
        [
            ([_crash("a")], False),
            ([_crash("a"), _crash("b", "t2")], True),
            # Two copies were running on one target when it crashed once.
            ([_crash("a"), _crash("b")], False),
            # The same target crashed again after its restart.
            ([_crash("a", age=30.0), _crash("b")], True),
            # It crashed again right after its restart: sent after the crash.
            ([_crash("a", age=0.6), _crash("b", ran=0.1)], True),
            # A copy that was already in flight.
            ([_crash("a", age=0.6), _crash("b", ran=0.7)], False),
            # The same record reported by two peers.
            ([_crash("a"), _crash("a")], False),
            ([_crash("a"), _crash("b", "t2", "other")], False),
            # Too old to count.
            ([_crash("a", age=100.0), _crash("b", "t2")], False),
        ],
    )
    def test_held(self, crashes, held):
        """Only two distinct crashes by one request count."""
        history = _history(*crashes)
        assert (history.held_for("r", POLICY, 0.0) > 0) is held

    def test_expires_after_the_configured_time(self):
        """Counted from the older of the two required crashes."""
        history = _history(_crash("a", age=40.0), _crash("b", "t2"))
        assert history.held_for("r", POLICY, 0.0) == 60.0
        assert history.held_for("r", POLICY, 61.0) == 0.0
        history.expire(POLICY, 101.0)
        assert not history

    @pytest.mark.parametrize(("number", "held"), [(0, True), (1, False)])
    def test_operators_clear_by_configuration(self, number, held):
        """Crashes under later configurations count again."""
        policy = config.Quarantine(2, 100.0, {"r": number})
        history = _history(_crash("a"), _crash("b", "t2"))
        assert (history.held_for("r", policy, 0.0) > 0) is held
        for name, target in (("c", "t3"), ("d", "t4")):
            history.record(_crash(name, target, number=2), 0.0)
        assert history.held_for("r", policy, 0.0) > 0

    def test_history_is_bounded(self):
        """The failure of a zone creates many records."""
        history = quarantine.CrashHistory()
        for n in range(quarantine._MAX_CRASHES + 5):
            history.record(_crash(str(n), request=str(n)), 0.0)
        assert len(history.crashes(0.0)) == quarantine._MAX_CRASHES


class TestOnlyTheConnectionWasLost:
    """A network device between router and target drops a connection.

    The response is lost but the target works. If that counted as a crash, a
    harmless letter would be refused after two such losses.
    """

    def test_response_spanning_the_loss_disproves_it(self):
        """A request sent before the loss is answered after it."""
        unconfirmed = quarantine.UnconfirmedCrashes()
        unconfirmed.add("t", "a", 5.0)
        assert unconfirmed.pop_disproved("other", 4.0) == []
        assert unconfirmed.pop_disproved("t", 6.0) == []
        assert unconfirmed.pop_disproved("t", 4.0) == ["a"]
        assert unconfirmed.pop_disproved("t", 4.0) == []

    def test_withdrawn_crash_is_not_added_again(self):
        """A peer without the withdrawal reports it again."""
        history = _history(_crash("a"), _crash("b", "t2"))
        history.withdraw(["a"], 1.0)
        assert not history.record(_crash("a"), 2.0)
        assert history.held_for("r", POLICY, 2.0) == 0.0
