"""Requests that crash every target that starts to run them."""

import pytest

from mimosastile_core.gateway import crash_detection


def _crash(detector, request, count, begin=0.0):
    for number in range(count):
        at = begin + number
        detector.record_loss(f"t{number}", request, at)
        detector.record_response("up", at + 0.05)
        detector.confirm_crashes(f"t{number}", at + 0.1, at + 0.1, f"id{at}")


class TestRefusal:
    """Which requests are refused."""

    @pytest.mark.parametrize(
        ("count", "held"), [(1, False), (2, False), (3, True)]
    )
    def test_third_crash(self, count, held):
        """One request crashes each target that runs it and is sent repeatedly.

        Unless its crashes are recorded, it takes one target after another from
        all other callers.
        """
        detector = crash_detection.CrashDetector()
        _crash(detector, "r", count)
        assert detector.is_held("r", 5.0) is held
        assert not detector.is_held("other", 5.0)

    def test_responses_lost_in_transit(self):
        """Targets lose a third of their responses but stay up.

        Their callers' requests must not be refused because of that.
        """
        detector = crash_detection.CrashDetector()
        for number in range(50):
            detector.record_loss("t1", "r", number * 0.1)
            detector.record_response("up", number * 0.1)
            detector.record_response("t1", number * 0.1)
            at = number * 0.1
            detector.confirm_crashes("t1", at, at, str(number))
        assert not detector.is_held("r", 5.0)

    def test_crash_long_after(self):
        """A target crashes for another reason seconds after a lost response."""
        detector = crash_detection.CrashDetector()
        for number in range(5):
            detector.record_loss(f"t{number}", "r", 0.0)
            detector.record_response("up", 3.9)
            assert detector.confirm_crashes(f"t{number}", 4.0, 4.0, "x") == []
        assert not detector.is_held("r", 5.0)

    def test_crashes_observed_by_other_vms(self):
        """The request arrives at another VM each time."""
        detector, other = (
            crash_detection.CrashDetector(),
            crash_detection.CrashDetector(),
        )
        _crash(detector, "r", 3)
        for death in detector.crashes(5.0):
            other.record_crash(death, 5.0)
        assert other.is_held("r", 5.0)

    def test_expires(self):
        """Memory does not grow, and a caller may try again later."""
        detector = crash_detection.CrashDetector()
        _crash(detector, "r", 3)
        assert not detector.is_held("r", 70.0)
        assert detector.crashes(70.0) == ()


class TestOtherReasons:
    """Crashes for which the request that ran is not to blame."""

    @pytest.mark.parametrize(
        ("completed_at", "held"),
        [(None, True), (0.5, False), (2.5, False), (3.5, False)],
        ids=["never", "between crashes", "before the third", "afterwards"],
    )
    def test_completed_request(self, completed_at, held):
        """Guards against innocent requests that are refused after kills."""
        detector = crash_detection.CrashDetector()
        for number in range(3):
            _crash(detector, "r", 1, begin=float(number))
            if completed_at is not None and number <= completed_at < number + 1:
                detector.record_completion("r", completed_at)
        if completed_at == 3.5:
            detector.record_completion("r", completed_at)
        assert detector.is_held("r", 4.0) is held

    def test_completed_at_another_vm(self):
        """Guards against a VM that goes on to refuse an innocent request."""
        observer, other = (
            crash_detection.CrashDetector(),
            crash_detection.CrashDetector(),
        )
        _crash(observer, "r", 3)
        for crash in observer.repeated(4.0):
            other.record_crash(crash, 4.0)
        observer.record_completion("r", 4.5)
        other.withdraw(observer.disproved(5.0), 5.0)
        assert not other.is_held("r", 5.0)
        assert observer.disproved(5.0)
        assert not observer.disproved(70.0)

    def test_response(self):
        """Guards against lost responses of a live target taken for crashes."""
        detector = crash_detection.CrashDetector()
        detector.record_loss("t", "r", 0.0)
        detector.record_response("t", 0.2)
        detector.record_loss("t", "s", 0.4)
        detector.record_response("up", 0.5)
        crashes = detector.confirm_crashes("t", 0.6, 0.6, "id")
        assert [crash.fingerprint for crash in crashes] == ["s"]
        assert not detector.is_undecided("t", 0.7)

    def test_responses_to_others(self):
        """Guards against requests blamed for a full target's silence."""
        detector = crash_detection.CrashDetector()
        detector.record_response("t", 0.5)
        assert not detector.record_silence("t", "r", 0.1, 2.0)
        assert detector.record_silence("t", "r", 0.6, 2.0)

    @pytest.mark.parametrize("alive", ["response", "registration"])
    def test_silence_ends(self, alive):
        """Guards against requests refused for targets that were cut off."""
        observer, other = (
            crash_detection.CrashDetector(lapse_seconds=6.0),
            crash_detection.CrashDetector(),
        )
        for number in range(3):
            observer.record_loss(f"t{number}", "r", 0.0)
            observer.record_response("up", 1.0)
            observer.presume_crashes(f"t{number}", 0.0, 2.5, str(number))
        for crash in observer.repeated(2.6):
            other.record_crash(crash, 2.6)
        assert observer.is_held("r", 2.6) and other.is_held("r", 2.6)
        if alive == "response":
            observer.record_response("t1", 3.0)
        else:
            observer.expire(6.1)
        other.withdraw(observer.disproved(6.1), 6.1)
        assert not observer.is_held("r", 6.2)
        assert not other.is_held("r", 6.2)

    def test_one_incarnation(self):
        """Guards against a target counted often that one VM can't reach."""
        detector = crash_detection.CrashDetector()
        for number in range(4):
            detector.record_loss("t", "r", float(number))
            detector.record_response("up", number + 0.5)
            detector.presume_crashes("t", float(number), 5.0, str(number))
        assert not detector.is_held("r", 5.0)


class TestReports:
    """What a VM reports to its leader."""

    def test_lost_report(self):
        """Guards against crashes that are lost with a report or a leader."""
        detector = crash_detection.CrashDetector()
        reports = crash_detection.CrashReports(detector)
        assert reports.due(0.0) == ()
        _crash(detector, "r", 2)
        reports.add(crash.id for crash in detector.crashes(2.0))
        sent = [len(reports.due(2.0)), len(reports.due(3.0))]
        reports.confirm()
        sent.append(len(reports.due(4.0)))
        reports.repeat()
        sent.append(len(reports.due(5.0)))
        assert sent == [2, 2, 0, 2]
        assert reports.due(90.0) == ()


class TestLostLink:
    """A VM that loses its own link to targets."""

    @pytest.mark.parametrize(
        ("responses", "attempted_at", "confirmed"),
        [
            ([], 0.5, False),
            ([("up", -0.5)], 0.5, False),
            ([("up", 0.2)], 0.5, True),
            ([("up", 0.2), ("t", 0.3)], 0.5, False),
            ([("up", 0.2)], 0.1, False),
            ([("up", 0.2), ("next", 0.4)], 0.5, True),
        ],
        ids=[
            "no response",
            "response before the loss",
            "another target responds",
            "the target itself responds",
            "attempt before the response",
            "two targets respond",
        ],
    )
    def test_another_target_must_respond(
        self, responses, attempted_at, confirmed
    ):
        """Guards against lost links taken for crashes of targets."""
        detector = crash_detection.CrashDetector()
        for target, at in responses:
            if at < 0:
                detector.record_response(target, at)
        detector.record_loss("t", "r", 0.0)
        for target, at in responses:
            if at >= 0:
                detector.record_response(target, at)
        crashes = detector.confirm_crashes("t", attempted_at, 0.6, "id")
        assert bool(crashes) is confirmed

    def test_confirmed_later(self):
        """Guards against a crash that is forgotten for want of responses."""
        detector = crash_detection.CrashDetector()
        detector.record_loss("t", "r", 0.0)
        assert detector.confirm_crashes("t", 0.2, 0.2, "id") == []
        detector.record_response("up", 0.5)
        assert len(detector.confirm_crashes("t", 0.6, 0.6, "id")) == 1
        assert detector.confirm_crashes("t", 0.7, 0.7, "id") == []
