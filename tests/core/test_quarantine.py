"""Tests of requests that stop targets."""

import pytest

from mimosastile_core import config
from mimosastile_core import quarantine

POLICY = config.Quarantine(deaths=2, seconds=100.0)


def _death(name, target="t1", request="r", number=1, age=0.0, ran=0.0):
    return quarantine.Death(name, request, target, number, age, ran)


def _memory(*deaths, now=0.0):
    memory = quarantine.Memory()
    for death in deaths:
        memory.record(death, now)
    return memory


class TestFingerprint:
    """What counts as the same request."""

    BASE = ("m", "POST", "/s/k", "q=1", b"body")

    def test_equal_requests_are_equal(self):
        """Whichever VM they come through."""
        assert quarantine.fingerprint(*self.BASE) == quarantine.fingerprint(
            *self.BASE
        )

    @pytest.mark.parametrize("part", range(5))
    def test_every_part_counts(self, part):
        """Another member's or another key's request is another one."""
        other = list(self.BASE)
        other[part] = other[part] + other[part][:1]
        assert quarantine.fingerprint(*other) != quarantine.fingerprint(
            *self.BASE
        )

    def test_parts_do_not_run_into_each_other(self):
        """Moving a letter between parts makes another request."""
        assert quarantine.fingerprint(
            "m", "GET", "/ab", "c", b""
        ) != quarantine.fingerprint("m", "GET", "/a", "bc", b"")


class TestTwoDeaths:
    """One request stops each target that runs it and is sent again."""

    @pytest.mark.parametrize(
        ("deaths", "held"),
        [
            ([_death("a")], False),
            ([_death("a"), _death("b", "t2")], True),
            # Two copies on one target when it died once.
            ([_death("a"), _death("b")], False),
            # The same target again after its restart.
            ([_death("a", age=30.0), _death("b")], True),
            # Again at once after its restart: it was sent after the death.
            ([_death("a", age=0.6), _death("b", ran=0.1)], True),
            # A copy that was under way already.
            ([_death("a", age=0.6), _death("b", ran=0.7)], False),
            # The same record told by two peers.
            ([_death("a"), _death("a")], False),
            ([_death("a"), _death("b", "t2", "other")], False),
            # Too old to count.
            ([_death("a", age=100.0), _death("b", "t2")], False),
        ],
    )
    def test_held(self, deaths, held):
        """Only two separate deaths of one request count."""
        memory = _memory(*deaths)
        assert (memory.held_for("r", POLICY, 0.0) > 0) is held

    def test_forgotten_after_the_configured_time(self):
        """Counted from the older of the two that are needed."""
        memory = _memory(_death("a", age=40.0), _death("b", "t2"))
        assert memory.held_for("r", POLICY, 0.0) == 60.0
        assert memory.held_for("r", POLICY, 61.0) == 0.0
        memory.expire(POLICY, 101.0)
        assert not memory

    @pytest.mark.parametrize(("number", "held"), [(0, True), (1, False)])
    def test_operators_clear_by_configuration(self, number, held):
        """Deaths under later configurations count again."""
        policy = config.Quarantine(2, 100.0, {"r": number})
        memory = _memory(_death("a"), _death("b", "t2"))
        assert (memory.held_for("r", policy, 0.0) > 0) is held
        for name, target in (("c", "t3"), ("d", "t4")):
            memory.record(_death(name, target, number=2), 0.0)
        assert memory.held_for("r", policy, 0.0) > 0

    def test_memory_is_bounded(self):
        """A zone that falls silent makes many records."""
        memory = quarantine.Memory()
        for n in range(quarantine._MAX_DEATHS + 5):
            memory.record(_death(str(n), request=str(n)), 0.0)
        assert len(memory.deaths(0.0)) == quarantine._MAX_DEATHS


class TestOnlyTheConnectionWasLost:
    """Something between router and target loses track of a connection.

    The answer is lost but the target lives. If that counted as a death, a
    harmless letter would be refused after two such losses.
    """

    def test_answer_across_the_loss_disproves_it(self):
        """A request sent before the loss is answered after it."""
        doubts = quarantine.Doubts()
        doubts.lost("t", "a", 5.0)
        assert doubts.answered("other", 4.0) == []
        assert doubts.answered("t", 6.0) == []
        assert doubts.answered("t", 4.0) == ["a"]
        assert doubts.answered("t", 4.0) == []

    def test_withdrawn_death_does_not_come_back(self):
        """A peer that has not heard yet tells it again."""
        memory = _memory(_death("a"), _death("b", "t2"))
        memory.withdraw(["a"], 1.0)
        assert not memory.record(_death("a"), 2.0)
        assert memory.held_for("r", POLICY, 2.0) == 0.0
