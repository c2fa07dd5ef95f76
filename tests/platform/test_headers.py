"""What targets say in headers."""

import hypothesis
from hypothesis import strategies as st
import pytest

from mimosastile_core.gateway import target_feedback
from mimosastile_platform import headers


class TestLoad:
    """A target's own load."""

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
        """Guards against decisions by a load that makes no sense."""
        assert headers.read_load(value) == expected

    @hypothesis.given(st.binary())
    def test_any_bytes(self, value):
        """Whatever a target sends, nothing breaks."""
        found = headers.read_load(value)
        assert found is None or found.slots > 0


class TestNotice:
    """What a target says beside an answer."""

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
        """Guards against a limit that makes no sense."""
        name = b"server-limit"
        notice = headers.read_notice([(b"date", b"x"), (name, value)])
        assert notice.limit == rate
        assert notice.names_limit
        unreadable = () if rate is not None else ((name, value),)
        assert notice.unreadable == unreadable

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
        """Guards against a target that is taken for one that leaves."""
        notice = headers.read_notice([(b"server-leaving", value)])
        assert notice.leaving is leaving
        assert bool(notice.unreadable) is not readable

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
    def test_rest(self, value, seconds):
        """Guards against a rest that makes no sense."""
        notice = headers.read_notice([(b"retry-after", value)])
        assert notice.rest == seconds
        assert bool(notice.unreadable) is (seconds is None)

    def test_nothing(self):
        """Most answers say nothing of the target."""
        notice = headers.read_notice([(b"content-length", b"3")])
        assert notice == target_feedback.TargetFeedback()

    @hypothesis.given(
        st.lists(st.tuples(st.just(b"server-limit"), st.binary()))
    )
    def test_any_bytes(self, lines):
        """Whatever a target sends, nothing breaks."""
        notice = headers.read_notice(lines)
        assert notice.limit is None or notice.limit >= 0


class TestMilliseconds:
    """Times."""

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
        """Guards against a time that makes no sense."""
        assert headers.read_milliseconds(value) == expected
