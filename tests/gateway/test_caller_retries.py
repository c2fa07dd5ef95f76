"""Deadlines tell who has been trying for a while."""

import pytest

from mimosastile_core.gateway import caller_retries


def _known(deadlines):
    made = caller_retries.RetryAge()
    for deadline in deadlines:
        made.tried_for(deadline)
    return made


class TestTriedFor:
    """A caller's deadline against those of others."""

    @pytest.mark.parametrize(
        ("deadline", "expected"),
        [
            pytest.param(1.5, 0.0, id="first attempt"),
            pytest.param(1.25, 0.0, id="less patient than others"),
            pytest.param(0.7, 0.425, id="second attempt"),
            pytest.param(0.0, 1.125, id="nothing left"),
        ],
    )
    def test_known_route(self, deadline, expected):
        """A burst has callers come again; their answers are late already.

        Serving them before callers that are not would make those late too.
        """
        made = _known([1.5, 1.3, 1.4, 1.5])
        assert made.tried_for(deadline) == pytest.approx(expected, abs=0.01)

    def test_first_request(self):
        """Nothing is known yet; nobody is taken for late."""
        assert caller_retries.RetryAge().tried_for(0.2) == 0.0

    def test_follows_callers_that_change(self):
        """One caller waits for a minute; it does not make others late."""
        made = _known([60.0] + [1.5] * 3000)
        assert made.tried_for(1.5) == 0.0
