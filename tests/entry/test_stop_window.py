"""Which requests a stopping daemon still passes on."""

import pytest
import rig

from mimosastile_entry import _stop_window
from mimosastile_entry import ports


class _Clock:
    """A clock that a test sets."""

    def __init__(self):
        self.time = 100.0

    def now(self):
        """Returns the time."""
        return self.time


class TestFits:
    """A request that arrives while a daemon stops."""

    @pytest.mark.parametrize(
        ("path", "deadline", "took", "left", "fits"),
        [
            ("/s/1", 0.0, None, None, True),
            ("/s/1", 0.0, None, 600.0, True),
            ("/s/1", 0.0, None, 0.5, False),
            ("/s/1", 0.0, 0.1, 0.5, True),
            ("/s/1", 0.0, 0.6, 0.5, False),
            ("/s/1", 100.2, 0.6, 0.5, True),
            ("/s/1", 100.8, 0.6, 0.5, False),
            ("/unknown/1", 0.0, None, 0.5, True),
        ],
        ids=[
            "no stop",
            "much time, none observed",
            "little time, none observed",
            "little time, fast",
            "little time, slow",
            "ends at its deadline",
            "deadline after the stop",
            "no such service",
        ],
    )
    def test_fits(self, path, deadline, took, left, fits):
        """Guards against requests broken off by a stop, and needless 503s."""
        clock = _Clock()
        window = _stop_window.StopWindow(rig.State(), clock)
        if took is not None:
            clock.time += took
            window.record(ports.Request("GET", "/s/2"), clock.time - took)
            clock.time -= took
        if left is not None:
            window.begin(left)
        request = ports.Request("GET", path)
        request.deadline = deadline
        assert window.fits(request) is fits
