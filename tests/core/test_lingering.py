"""How long a connection stays open after its last response."""

import pytest

from mimosastile_core import lingering


class TestLinger:
    """Looks at what a caller has not received yet."""

    @pytest.mark.parametrize(
        ("undelivered", "seconds"),
        [
            (lambda now: 0, 2.0),
            (lambda now: 500, 5.0),
            (lambda now: max(1000 - int(50 * now), 0), 22.0),
            (lambda now: max(1000 - int(50 * now), 700), 11.0),
        ],
        ids=[
            "has everything",
            "reads nothing",
            "reads slowly",
            "stops reading",
        ],
    )
    def test_ends(self, undelivered, seconds):
        """Guards against callers cut off while they read, and endless ones."""
        linger = lingering.Linger(5.0, 0.0)
        now = 0.0
        while wait := linger.wait(undelivered(now), now):
            now += wait
        assert now == pytest.approx(seconds, abs=0.3)


class TestProgress:
    """Whether a caller has received anything since the last look."""

    def test_look(self):
        """Guards against new bytes taken for bytes that nobody reads."""
        progress = lingering.Progress()
        looks = [progress.record(size) for size in (100, 100, 40, 90)]
        progress.restart()
        assert [*looks, progress.record(200)] == [
            True,
            False,
            True,
            False,
            True,
        ]
