"""Tests of the description of exceptions."""

import pytest

from mimosastile_core import supervision


def _raise(error):
    raise error


class TestDescribe:
    """Descriptions for the log."""

    @pytest.mark.parametrize(
        ("error", "why"),
        [
            (RecursionError("too deep"), "RecursionError: too deep"),
            (KeyError("k"), "KeyError: 'k'"),
        ],
    )
    def test_raised(self, error, why):
        """The description names the exception and the place."""
        with pytest.raises(type(error)) as caught:
            _raise(error)
        described = supervision.describe(caught.value)
        assert described.why == why
        assert described.where.startswith("test_supervision.py:")
        assert described.where.endswith(" _raise")

    def test_bounded(self):
        """Guards against log lines that quote megabytes of outside data."""
        described = supervision.describe(ValueError("x" * 1_000_000))
        assert len(described.why) < 1000
        assert described.where == ""
