"""Requests that end every target that begins to run them."""

import pytest

from mimosastile_core.gateway import crash_detection


def _deaths(made, request, count, begin=0.0):
    for number in range(count):
        at = begin + number
        made.lost(f"t{number}", request, at)
        made.unreachable(f"t{number}", at + 0.1, f"id{at}")


class TestHeld:
    """Which requests are refused."""

    @pytest.mark.parametrize(
        ("count", "held"), [(1, False), (2, False), (3, True)]
    )
    def test_third_death(self, count, held):
        """One request crashes whatever runs it and is sent again and again.

        Without a memory of it, it takes one target after the other from all
        other callers.
        """
        made = crash_detection.CrashDetector()
        _deaths(made, "r", count)
        assert made.held("r", 5.0) is held
        assert not made.held("other", 5.0)

    def test_answers_lost_on_the_way(self):
        """Targets lose a third of their answers but live.

        Their callers' requests must not be refused for it.
        """
        made = crash_detection.CrashDetector()
        for number in range(50):
            made.lost("t1", "r", number * 0.1)
            made.answered("t1")
            made.unreachable("t1", number * 0.1, str(number))
        assert not made.held("r", 5.0)

    def test_crash_long_after(self):
        """A target dies of something else, seconds after a lost answer."""
        made = crash_detection.CrashDetector()
        for number in range(5):
            made.lost(f"t{number}", "r", 0.0)
            assert made.unreachable(f"t{number}", 4.0, "x") == []
        assert not made.held("r", 5.0)

    def test_deaths_seen_by_others(self):
        """The request comes to another VM each time."""
        made, other = (
            crash_detection.CrashDetector(),
            crash_detection.CrashDetector(),
        )
        _deaths(made, "r", 3)
        for death in made.deaths(5.0):
            other.learn(death, 5.0)
        assert other.held("r", 5.0)

    def test_forgotten_in_the_end(self):
        """Memory does not grow, and a caller may try again later."""
        made = crash_detection.CrashDetector()
        _deaths(made, "r", 3)
        assert not made.held("r", 70.0)
        assert made.deaths(70.0) == ()
