"""Lost responses, and the evidence that decides them."""

import itertools

import pytest

from mimosastile_core.gateway import lost_responses

_LAPSE_SECONDS = 6.0


def _lost(*, linked=True, answered=False):
    """Returns the loss of a response at 1.0, with what followed until 2.0."""
    responses = lost_responses.LostResponses(_LAPSE_SECONDS)
    responses.record("t", "r", 1.0)
    if linked:
        responses.record_link("other", 1.5)
    if answered:
        responses.record_response("t", 2.0)
    return responses


class TestEvidence:
    """What shows a crash, and what does not."""

    @pytest.mark.parametrize(
        ("evidence", "linked", "answered", "crashes"),
        [
            ("refused", True, False, 1),
            ("refused", False, False, 0),
            ("refused", True, True, 0),
            ("silent", True, False, 1),
            ("silent", False, False, 0),
            ("silent", True, True, 0),
            ("gone", True, False, 1),
            ("gone", False, False, 0),
            ("gone", True, True, 0),
            ("restarted", True, False, 1),
            ("restarted", True, True, 1),
        ],
    )
    def test_decision(self, evidence, linked, answered, crashes):
        """Guards against live targets and lost links taken for crashes."""
        responses = _lost(linked=linked, answered=answered)
        ids = map(str, itertools.count())
        decide = {
            "refused": lambda: responses.take_refused("t", 2.5, 2.5),
            "silent": lambda: responses.presume("t", 1.0, lambda: next(ids)),
            "gone": lambda: responses.take_ended("t", 3.0, restarted=False),
            "restarted": lambda: responses.take_ended("t", 3.0, restarted=True),
        }
        assert len(decide[evidence]()) == crashes

    def test_later_loss(self):
        """Guards against a silence that is too short for a live target."""
        responses = _lost()
        responses.record("t", "s", 1.4)
        presumed = responses.presume("t", 1.0, lambda: "id")
        assert [loss.request for loss in presumed] == ["r"]

    def test_counted_once(self):
        """Guards against a crash that is presumed, and then counted again."""
        responses = _lost()
        assert len(responses.presume("t", 1.0, lambda: "id")) == 1
        assert responses.presume("t", 1.0, lambda: "id") == []
        assert responses.take_ended("t", 5.0, restarted=False) == []
        assert responses.targets == ()

    @pytest.mark.parametrize(("at", "disproved"), [(6.9, []), (7.1, ["id"])])
    def test_registration_stays(self, at, disproved):
        """Guards against targets that are cut off and stay registered."""
        responses = _lost()
        responses.presume("t", 1.0, lambda: "id")
        assert responses.expire(at) == disproved
        assert bool(responses.targets) is not bool(disproved)


class TestBound:
    """Many losses at once."""

    def test_cut_off(self):
        """Guards against memory and time spent on a VM that is cut off."""
        responses = lost_responses.LostResponses(_LAPSE_SECONDS)
        for number in range(100_000):
            responses.record("t", f"r{number}", 1.0)
        responses.record_link("other", 1.5)
        lost = responses.take_ended("t", 2.0, restarted=False)
        assert 0 < len(lost) < 1000
        assert responses.targets == ()


class TestLink:
    """Evidence that this VM has its link."""

    def test_other_target(self):
        """Guards against the target itself taken for another one."""
        responses = lost_responses.LostResponses(_LAPSE_SECONDS)
        responses.record("t", "r", 1.0)
        responses.record_link("t", 1.5)
        assert responses.lacks_link("t")
        responses.record_link("other", 1.6)
        assert not responses.lacks_link("t")
