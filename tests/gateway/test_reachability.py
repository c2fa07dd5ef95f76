"""Tests of the detection of targets that this VM cannot reach."""

import math

import pytest

from mimosastile_core.gateway import reachability
from tests.gateway import fakes

_CONNECTED, _REFUSED, _HUNG = reachability.Outcome
_RESPONDED = "responded"


def _record(attempts, targets=10):
    """Records (time, target, outcome); returns the suspicion as well."""
    tracker = reachability.Reachability()
    suspected = False
    for at, target, outcome in attempts:
        if outcome is _CONNECTED:
            tracker.record_connected("s", target, at)
        elif outcome is _RESPONDED:
            tracker.record_response("s", target, at)
        else:
            hung = outcome is _HUNG
            suspected = tracker.record_failed(
                "s", target, targets, at, hung=hung, seconds=0.3 * hung
            )
    return tracker, suspected


def _isolated(hung=False, at=3.0):
    """Returns a record of a service that is isolated since `at`."""
    tracker, _ = _record([(at, name, _REFUSED) for name in "abc"])
    outcomes = [_HUNG if hung else _REFUSED] * 5
    tracker.conclude("s", at, outcomes, at)
    return tracker


class TestSuspicion:
    """Attempts after which the path to a service is verified."""

    @pytest.mark.parametrize("failed", [_REFUSED, _HUNG])
    @pytest.mark.parametrize(
        ("attempts", "targets", "suspected"),
        [
            ("a0 b1", 10, False),
            ("a0 a1 a2", 10, False),
            ("a0 b1 c2", 10, True),
            ("a0 b1", 2, True),
            ("a0 b1", 0, False),
            ("a0 b1 +d1.5 c2", 10, False),
            ("a0 b1 c5.5", 10, False),
        ],
        ids=[
            "two",
            "one",
            "three in a row",
            "all of two",
            "no target left",
            "one connected between",
            "first failure too old",
        ],
    )
    def test_failures_in_a_row(self, failed, attempts, targets, suspected):
        """Guards against crashes of single targets that cost verifications."""
        steps = [
            (float(step.strip("+")[1:]), step.strip("+")[0], outcome)
            for step in attempts.split()
            for outcome in (_CONNECTED if step[0] == "+" else failed,)
        ]
        assert _record(steps, targets)[1] is suspected

    @pytest.mark.parametrize(
        ("failed", "suspected"), [(_REFUSED, True), (_HUNG, False)]
    )
    def test_responses(self, failed, suspected):
        """Guards against full targets that are taken for a lost path."""
        steps = [(0, "a", failed), (1, "b", failed)]
        steps += [(1.5, "d", _RESPONDED), (2, "c", failed)]
        assert _record(steps)[1] is suspected


class TestVerdict:
    """What a round of verification shows, begun at 3.0 and ended at 3.3."""

    @pytest.mark.parametrize(
        ("responded_at", "outcomes", "verdict"),
        [
            (0.0, [_HUNG] * 5, "isolated"),
            (0.0, [_REFUSED] * 5, "isolated"),
            (0.0, [_REFUSED, _HUNG], "isolated"),
            (0.0, [_HUNG] * 4 + [_CONNECTED], "reached"),
            (0.0, [], "reached"),
            (3.1, [_HUNG] * 5, "reached"),
            (3.1, [_REFUSED] * 4 + [_HUNG], "reached"),
            (2.8, [_HUNG] * 5, "undecided"),
            (2.6, [_HUNG] * 5, "isolated"),
            (3.1, [_REFUSED] * 5, "isolated"),
        ],
        ids=[
            "all hang",
            "all refuse",
            "none accepts",
            "one accepts",
            "no targets",
            "full targets respond meanwhile",
            "crashed and full targets",
            "a target responded shortly before",
            "silent for long",
            "open connections live on",
        ],
    )
    def test_evidence(self, responded_at, outcomes, verdict):
        """Guards against an isolation that nothing proves."""
        tracker = reachability.Reachability()
        tracker.record_response("s", "d", responded_at)
        shown = tracker.conclude("s", 3.0, outcomes, 3.3)
        assert shown.value == verdict
        assert tracker.is_isolated("s") is (verdict == "isolated")

    def test_earlier_failures(self):
        """Guards against failures that raise a suspicion again and again."""
        tracker, suspected = _record([(0, name, _REFUSED) for name in "abc"])
        assert suspected
        tracker.conclude("s", 0.1, [_CONNECTED], 0.2)
        later = [
            tracker.record_failed("s", name, 10, at, hung=False)
            for at, name in ((1.3, "d"), (1.4, "e"), (1.5, "f"))
        ]
        assert later == [False, False, True]

    def test_targets(self):
        """Guards against proofs by targets that are known to be down."""
        tracker, _ = _record([(0, name, _REFUSED) for name in "abc"])
        zones = dict(zip("abcdefgh", "xxyxxxyz", strict=True))
        targets = [fakes.target(n, zone=zone) for n, zone in zones.items()]
        chosen = tracker.verification_targets("s", targets, 1.0)
        assert [target.id for target in chosen] == ["d", "g", "h", "e", "f"]
        few = tracker.verification_targets("s", targets[:3], 1.0)
        assert {target.id for target in few} == {"a", "b", "c"}


class TestEnd:
    """Evidence that ends an isolation."""

    @pytest.mark.parametrize(
        ("hung", "outcome", "seconds"),
        [
            (False, _CONNECTED, 4.0),
            (True, _CONNECTED, 4.0),
            (False, _RESPONDED, None),
            (True, _RESPONDED, 4.0),
        ],
    )
    def test_end(self, hung, outcome, seconds):
        """Guards against open connections taken for a path to new ones."""
        tracker = _isolated(hung)
        record = tracker.record_connected
        if outcome is _RESPONDED:
            record = tracker.record_response
        assert record("s", "a", 7.0) == seconds
        assert tracker.is_isolated("s") is (seconds is None)
        assert record("s", "a", 8.0) is None

    def test_services_are_separate(self):
        """Guards against one unreachable service that blocks another."""
        tracker = _isolated()
        tracker.record_connected("other", "x", 3.0)
        assert tracker.isolated == {"s"}


class TestTargets:
    """Single targets."""

    def test_failure_age(self):
        """A connection that is opened later ends a failure."""
        steps = [(0, "a", _REFUSED), (0, "b", _REFUSED), (1, "b", _CONNECTED)]
        tracker, _ = _record(steps)
        assert tracker.seconds_since_failure("s", "a", 2.0) == 2.0
        assert tracker.seconds_since_failure("s", "b", 2.0) == math.inf
        assert tracker.unreachable(2.0) == {"a"}
        assert tracker.unreachable(20.0) == frozenset()

    @pytest.mark.parametrize(
        ("failed", "responded_at", "counts"),
        [
            (_HUNG, 1.6, True),
            (_HUNG, 1.8, False),
            (_HUNG, 2.5, False),
            (_REFUSED, 2.5, True),
        ],
        ids=["silent", "responds meanwhile", "responded since", "refused"],
    )
    def test_full_target(self, failed, responded_at, counts):
        """Guards against requests that take a detour to a full target."""
        steps = [(2.0, "a", failed), (responded_at, "a", _RESPONDED)]
        tracker, _ = _record(sorted(steps, key=lambda step: step[0]))
        age = tracker.seconds_since_failure("s", "a", 2.6)
        assert (age < math.inf) is counts
        assert bool(tracker.unreachable(2.6)) is counts

    def test_isolated_services_keep_their_failures(self):
        """Guards against targets that count as reached for want of attempts."""
        assert _isolated().unreachable(20.0) == {"a", "b", "c"}

    def test_removed_targets(self):
        """Guards against records of targets that no longer exist."""
        tracker = _isolated(at=0.0)
        tracker.retain([("s", "a")])
        assert tracker.unreachable(1.0) == {"a"}
        tracker.retain([])
        assert not tracker.isolated
        assert tracker.unreachable(1.0) == frozenset()
