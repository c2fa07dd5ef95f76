"""Decoding of targets' headers."""

import hypothesis
from hypothesis import strategies as st
import pytest

from mimosastile_core.gateway import target_feedback
from mimosastile_platform import headers


class TestLoad:
    """Load reported by a target."""

    @pytest.mark.parametrize(
        ("value", "expected"),
        [
            (b"3,0,8", target_feedback.TargetLoad(3, 0, 8)),
            (b"2,5,2,100", target_feedback.TargetLoad(2, 5, 2, 1.0)),
            (b"2, 5, 2, 300", target_feedback.TargetLoad(2, 5, 2, 3.0)),
            (None, None),
            (b"", None),
            (b"3", None),
            (b"3,0", None),
            (b"3,0,8,100,9", None),
            (b"3,0,0,100", None),
            (b"3,0,8,0", None),
            (b"-1,0,8", None),
            (b"3,x,8,100", None),
            (b"3,,8,100", None),
            (b"3,0,8,1e2", None),
            (b"3,0,8,999999", None),
            (b"3,9999999999,8,100", None),
        ],
    )
    def test_read(self, value, expected):
        """Guards against decisions by an invalid load."""
        assert headers.read_load(value) == expected

    @hypothesis.given(st.binary())
    def test_any_bytes(self, value):
        """Any bytes are decoded without an error."""
        found = headers.read_load(value)
        assert found is None or found.slots > 0


class TestTargetFeedback:
    """Feedback in the headers of a target's response."""

    @pytest.mark.parametrize(
        ("value", "rate"),
        [
            (b"6.1", 6.1),
            (b" 6.1 ", 6.1),
            (b"0.4", 0.4),
            (b".4", 0.4),
            (b"12", 12.0),
            (b"0", 0.0),
            (b"", None),
            (b"-3", None),
            (b"nan", None),
            (b"inf", None),
            (b"1e3", None),
            (b"many", None),
            (b"6,1", None),
            (b"999999999", None),
            (b"1" * 400, None),
        ],
    )
    def test_limit(self, value, rate):
        """Guards against an invalid rate limit."""
        name = b"server-limit"
        feedback = headers.read_target_feedback(
            [(b"date", b"x"), (name, value)]
        )
        assert feedback.limit == rate
        assert feedback.names_limit
        unreadable = () if rate is not None else ((name, value),)
        assert feedback.unreadable == unreadable

    @pytest.mark.parametrize(
        ("value", "leaving", "readable"),
        [
            (b"1", True, True),
            (b" 1 ", True, True),
            (b"0", False, True),
            (b"yes", False, False),
            (b"", False, False),
        ],
    )
    def test_leaving(self, value, leaving, readable):
        """Guards against a target wrongly treated as leaving."""
        feedback = headers.read_target_feedback([(b"server-leaving", value)])
        assert feedback.leaving is leaving
        assert bool(feedback.unreadable) is not readable

    @pytest.mark.parametrize(
        ("value", "seconds"),
        [
            (b"2.5", 2.5),
            (b"0", 0.0),
            (b"7200", 7200.0),
            (b"-1", None),
            (b"soon", None),
            (b"Thu, 01 Jan 1970 00:00:00 GMT", None),
            (b"99999999", None),
        ],
    )
    def test_backoff(self, value, seconds):
        """Guards against an invalid backoff."""
        feedback = headers.read_target_feedback([(b"retry-after", value)])
        assert feedback.rest == seconds
        assert bool(feedback.unreadable) is (seconds is None)

    def test_nothing(self):
        """Most responses carry no feedback."""
        feedback = headers.read_target_feedback([(b"content-length", b"3")])
        assert feedback == target_feedback.TargetFeedback()

    @hypothesis.given(
        st.lists(st.tuples(st.just(b"server-limit"), st.binary()))
    )
    def test_any_bytes(self, lines):
        """Any bytes are decoded without an error."""
        feedback = headers.read_target_feedback(lines)
        assert feedback.limit is None or feedback.limit >= 0


class TestMilliseconds:
    """Times in milliseconds."""

    @pytest.mark.parametrize(
        ("value", "expected"),
        [
            (b"2500", 2.5),
            (b"0", 0.0),
            (None, None),
            (b"", None),
            (b"-5", None),
            (b"1.5", None),
            (b"9999999999", None),
        ],
    )
    def test_read(self, value, expected):
        """Guards against an invalid time."""
        assert headers.read_milliseconds(value) == expected
