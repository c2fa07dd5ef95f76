"""Limits that targets name."""

import pytest

from mimosastile_core.gateway import limits
from mimosastile_gateway import beliefs
from mimosastile_standins import virtual
from tests.gateway import fakes


class TestHeard:
    """Which of several answers counts."""

    @pytest.mark.parametrize(
        ("answers", "expected"),
        [
            # Rate, time at which the request was sent, time of the answer.
            ([(6.1, 0.0, 1.0)], 6.1),
            ([(6.1, 0.0, 1.0), (6.1, 0.5, 1.5)], 6.1),
            ([(6.1, 0.0, 1.0), (2.0, 0.5, 1.5)], 2.0),
            ([(6.1, 0.0, 1.0), (9.0, 0.5, 1.5)], 6.1),
            ([(6.1, 0.0, 1.0), (9.0, 1.1, 1.5)], 9.0),
            ([(6.1, 0.0, 1.0), (None, 0.5, 1.5)], 6.1),
            ([(6.1, 0.0, 1.0), (None, 1.1, 1.5)], None),
            ([(None, 0.0, 1.0)], None),
            ([(6.1, 0.0, 1.0), (None, 1.1, 1.5), (3.0, 1.0, 1.6)], 3.0),
            ([(0.0, 0.0, 1.0)], 0.0),
        ],
    )
    def test_order_of_answers(self, answers, expected):
        """Guards against a limit that an answer from before it lifts."""
        made = limits.Limits()
        for rate, sent_at, now in answers:
            made.hear("t", 1, rate, sent_at, now)
        assert made.rate("t", 1) == expected

    def test_new_run(self):
        """Guards against a limit that outlives the run that named it."""
        made = limits.Limits()
        made.hear("t", 1, 6.1, 0.0, 1.0)
        assert made.rate("t", 2) is None
        made.hear("t", 2, 3.0, 0.5, 1.2)
        assert not made.hear("t", 1, 9.0, 1.5, 2.0)
        assert (made.rate("t", 1), made.rate("t", 2)) == (None, 3.0)

    def test_log(self):
        """A limit is logged when it is named, changed and lifted."""

        async def main():
            log, timer = fakes.Lines(), fakes.VirtualClock()
            known = beliefs.Beliefs(fakes.configured(), timer, log)
            target = fakes.target("a")
            for rate in (6.1, 6.1, 3.0, None, None):
                known.hear_limit(target, rate, virtual.now())
            named = [line["rate"] for line in log.named("limit_named")]
            assert named == [6.1, 3.0]
            assert len(log.named("limit_lifted")) == 1
            assert known.limits.dump() == {}

        virtual.run(main())
