"""Registrations of targets, and which targets may get work."""

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
    entries = directory.Directory(GRACE, LATE)
    for target in targets:
        entries.put(target, 0.0)
    return entries


class TestUsable:
    """Which targets may get new work."""

    def test_ready_targets_come_first(self):
        """A leaving target gets nothing while another is ready."""
        entries = _directory(_target(), _target("t2", leaving=True))
        assert [t.id for t in entries.usable("s", 0.0)] == ["t1"]

    @pytest.mark.parametrize(
        ("at", "expected"), [(1.0, ["t1"]), (1.79, ["t1"]), (1.81, [])]
    )
    def test_leaving_target_gets_work_for_a_while(self, at, expected):
        """The last target of a service serves until just before it ends."""
        entries = _directory(_target(leaving=True))
        assert [t.id for t in entries.usable("s", at)] == expected

    def test_registrations_that_expire_in_an_outage(self):
        """The store returns from an outage without any registrations.

        The targets are up and register again within two seconds. Without a
        grace period, callers would find the whole service refused meanwhile.
        """
        entries = _directory(_target(), _target("t2"))
        entries.remove("t1", 5.0)
        entries.remove("t2", 5.0)
        assert len(entries.usable("s", 6.5)) == 2
        entries.put(_target(), 6.6)
        assert [t.id for t in entries.usable("s", 6.6)] == ["t1"]

    def test_loss_found_late_by_a_list(self):
        """A watch was interrupted for a second while a target left.

        If the full grace period started when the list shows the loss, requests
        would be sent to a target that has ended.
        """
        entries = _directory(_target())
        entries.replace([], 5.0)
        assert entries.usable("s", 5.3)
        assert not entries.usable("s", 5.5)

    def test_vanishing_does_not_extend_the_grace_period(self):
        """A leaving target whose entry vanishes gets no new grace period."""
        entries = _directory(_target())
        entries.put(_target(leaving=True), 1.0)
        entries.remove("t1", 2.5)
        assert entries.may_get_work("t1", 2.7)
        assert not entries.may_get_work("t1", 2.9)


class TestPut:
    """Registrations."""

    @pytest.mark.parametrize(
        ("change", "affects_routing"),
        [
            ({}, False),
            ({"warm_at": 3.0}, False),
            ({"born": 2}, True),
            ({"address": "10.0.0.2:80"}, True),
            ({"leaving": True}, True),
            ({"service": "other"}, True),
            ({"zone": "y"}, True),
            ({"slots": 5}, True),
        ],
    )
    def test_changes_that_affect_routing(self, change, affects_routing):
        """Only changes that affect routing are signalled."""
        entries = _directory(_target())
        assert entries.put(_target(**change), 1.0) is affects_routing

    def test_target_that_registers_again(self):
        """A target that had vanished and registers again gets work at once."""
        entries = _directory(_target())
        entries.remove("t1", 1.0)
        assert entries.put(_target(), 2.0)
        assert entries.ready("s")
        assert entries.may_get_work("t1", 100.0)

    def test_drops_targets_that_vanished_long_ago(self):
        """Memory does not grow with every target that ever registered."""
        entries = _directory(_target())
        entries.remove("t1", 1.0)
        entries.drop_vanished(20.0, 30.0)
        assert entries.get("t1")
        entries.drop_vanished(32.0, 30.0)
        assert entries.get("t1") is None


class TestEndOfIncarnations:
    """What proves that an incarnation of a target has ended."""

    @pytest.mark.parametrize(
        ("births", "ended"),
        [
            ([5], []),
            ([5, 7], [5]),
            ([7, 5], []),
            ([5, 7, 5], []),
            ([5, 7, 5, 7], []),
            ([5, 7, 5, 9], [5, 7]),
            ([5, 7, 9, 7], [5]),
            ([5, 7, 9, 7, 5], []),
            ([5, 7, 9, 5, 7], []),
            ([9, 5], []),
        ],
    )
    def test_registrations(self, births, ended):
        """Guards against keys taken from an incarnation that is alive.

        A later incarnation's registration proves the end of earlier ones,
        except of those that have registered again since.
        """
        entries = _directory()
        for revision, born in enumerate(births, 1):
            entries.put(_target(born=born, revision=revision), 0.0)
        latest = max(births)
        assert entries.get("t1").target.born == latest
        found = [b for b in (5, 7) if entries.has_restarted("t1", b)]
        assert found == ended

    def test_earlier_state_of_the_store(self):
        """An earlier revision that arrives late is no new registration."""
        entries = _directory(_target(born=7, revision=4))
        entries.put(_target(born=5, revision=3), 0.0)
        assert entries.has_restarted("t1", 5)

    @pytest.mark.parametrize(
        ("address", "ended"),
        [("", True), ("10.0.0.1:80", True), ("10.0.0.9:80", False)],
    )
    def test_address_that_the_target_has_left(self, address, ended):
        """Guards against a proof from an address that a target has moved from.

        Another target answers there; the one that has moved is alive.
        """
        entries = _directory(_target())
        assert entries.record_end("t1", 1, 1.0, address) is ended
        assert entries.has_left_address("t1", 1) is ended

    def test_other_address_was_left(self):
        """A proof at the recorded address holds for no other one."""
        entries = _directory(_target())
        entries.record_end("t1", 1, 1.0)
        assert entries.has_left_address("t1", 1, "10.0.0.1:80")
        assert not entries.has_left_address("t1", 1, "10.0.0.9:80")
