"""What is known of targets, and which may get work."""

import pytest

from mimosastile_core.gateway import directory

GRACE, LATE = 1.8, 0.4


def _target(name="t1", **changes):
    fields = {
        "born": 1,
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "slots": 4,
    }
    return directory.Target(id=name, **(fields | changes))


def _directory(*targets):
    made = directory.Directory(GRACE, LATE)
    for target in targets:
        made.put(target, 0.0)
    return made


class TestUsable:
    """Who may get new work."""

    def test_ready_ones_go_before_all_others(self):
        """A leaving target gets nothing while another is ready."""
        made = _directory(_target(), _target("t2", leaving=True))
        assert [t.id for t in made.usable("s", 0.0)] == ["t1"]

    @pytest.mark.parametrize(
        ("at", "expected"), [(1.0, ["t1"]), (1.79, ["t1"]), (1.81, [])]
    )
    def test_leaving_one_gets_work_for_a_while(self, at, expected):
        """The last target of a service serves on until it is about to go."""
        made = _directory(_target(leaving=True))
        assert [t.id for t in made.usable("s", at)] == expected

    def test_registrations_that_lapse_in_an_outage(self):
        """The store comes back from an outage without any registration.

        The targets are well and register again within two seconds. Callers
        would see the whole service refused meanwhile.
        """
        made = _directory(_target(), _target("t2"))
        made.remove("t1", 5.0)
        made.remove("t2", 5.0)
        assert len(made.usable("s", 6.5)) == 2
        made.put(_target(), 6.6)
        assert [t.id for t in made.usable("s", 6.6)] == ["t1"]

    def test_vanishing_found_late(self):
        """A watch was silent for a second while a target left.

        Counting the full time from when the list shows it would send requests
        to a target that has gone.
        """
        made = _directory(_target())
        made.replace([], 5.0)
        assert made.usable("s", 5.3)
        assert not made.usable("s", 5.5)

    def test_vanishing_after_leaving_extends_nothing(self):
        """The time of a leaving target runs on when its entry vanishes."""
        made = _directory(_target())
        made.put(_target(leaving=True), 1.0)
        made.remove("t1", 2.5)
        assert made.may_get_work("t1", 2.7)
        assert not made.may_get_work("t1", 2.9)


class TestPut:
    """Registrations."""

    @pytest.mark.parametrize(
        ("change", "matters"),
        [
            ({}, False),
            ({"warm_at": 3.0}, False),
            ({"born": 2}, True),
            ({"address": "10.0.0.2:80"}, True),
            ({"leaving": True}, True),
        ],
    )
    def test_what_matters(self, change, matters):
        """Only changes that routing must know of are signalled."""
        made = _directory(_target())
        assert made.put(_target(**change), 1.0) is matters

    def test_a_target_that_is_back(self):
        """One that had vanished and registers again gets work at once."""
        made = _directory(_target())
        made.remove("t1", 1.0)
        assert made.put(_target(), 2.0)
        assert made.ready("s")
        assert made.may_get_work("t1", 100.0)

    def test_forgets_what_vanished_long_ago(self):
        """Memory does not grow with every target that ever was."""
        made = _directory(_target())
        made.remove("t1", 1.0)
        made.forget(20.0, 30.0)
        assert made.get("t1")
        made.forget(32.0, 30.0)
        assert made.get("t1") is None
