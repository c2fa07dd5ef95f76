"""Which VMs are named as witnesses, and what they remember."""

import pytest

from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import lease_extension


def _witness(name):
    return lease_extension.Witness(name, f"boot-{name}")


class TestChosen:
    """The choice of witnesses."""

    @pytest.mark.parametrize(
        ("able", "names"),
        [
            ([], []),
            ([("a", "x")], ["a"]),
            ([("a", "x"), ("b", "x"), ("c", "y")], ["a", "c", "b"]),
            (
                [("a", "x"), ("b", "x"), ("c", "y"), ("d", "z")],
                ["a", "c", "d"],
            ),
        ],
    )
    def test_zones(self, able, names):
        """Guards against one zone's fault taking all witnesses."""
        chosen = lease_extension.chosen((_witness(n), zone) for n, zone in able)
        assert [w.vm for w in chosen] == names

    @pytest.mark.parametrize(
        ("named", "present", "expected"),
        [
            ("abc", "abcd", False),
            ("abc", "abd", True),
            ("a", "abc", True),
            ("ab", "ab", False),
        ],
    )
    def test_outdated(self, named, present, expected):
        """Others are named when one is lost, or when there are too few."""
        found = lease_extension.outdated(
            [_witness(n) for n in named],
            {_witness(n) for n in present},
            len(present),
        )
        assert found is expected

    def test_restarted_witness_is_lost(self):
        """Guards against reliance on a run that has forgotten its promises."""
        present = {lease_extension.Witness("a", "later")}
        assert lease_extension.outdated([_witness("a")], present, 1)


class TestPromises:
    """A witness's memory."""

    def test_longest_counts(self):
        """A shorter promise does not shorten an earlier one."""
        promises = lease_extension.Promises()
        assert promises.seconds(0.0) is None
        promises.add(9.0)
        promises.add(4.0)
        assert promises.seconds(2.0) == 7.0
        assert promises.seconds(20.0) == -11.0


class TestAuthority:
    """Authority of a leader with witnesses."""

    @pytest.mark.parametrize(
        ("witnessed", "extended", "ends"),
        [
            (False, False, 10.0),
            (True, False, 2.5),
            (True, True, 10.0),
        ],
    )
    def test_ends(self, witnessed, extended, ends):
        """Guards against orders after the time that a successor waits for."""
        authority = leadership.LeaderLease(10.0, 2.5)
        authority.confirm(0.0)
        if witnessed:
            authority.need_witnesses()
        if extended:
            authority.extend(0.0)
        assert authority.ends == ends
        assert authority.extended is extended

    @pytest.mark.parametrize(
        ("now", "extended", "replaceable", "hold"),
        [
            (1.0, True, False, 2.0),
            (2.0, False, False, 2.0),
            (2.0, True, True, 10.0),
            (4.0, True, False, 8.0),
            (9.0, True, False, 3.0),
        ],
    )
    def test_longer_grants_need_promises(
        self, now, extended, replaceable, hold
    ):
        """Guards against longer grants that no witness knows of."""
        authority = leadership.LeaderLease(10.0, 2.5)
        authority.confirm(0.0)
        authority.need_witnesses()
        authority.replaceable = replaceable
        if extended:
            authority.extend(0.0)
        found = authority.hold_seconds(now, now, 2.0, 10.0, 1.6)
        assert found == pytest.approx(hold)

    def test_next_outage_needs_new_promises(self):
        """Guards against one outage's promises serving for the next one."""
        authority = leadership.LeaderLease(10.0, 2.5)
        authority.need_witnesses()
        authority.confirm(0.0)
        authority.extend(0.0)
        authority.confirm(9.0)
        assert not authority.extended
        assert authority.ends == 11.5
