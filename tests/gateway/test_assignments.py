"""Assignments of keys and the updates sent when they change."""

import hypothesis
from hypothesis import strategies as st

from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import ranges

_OWNERS = ["", "t1", "t2", "t3"]


def _assignment(version, cuts, owners):
    firsts = (0, *sorted(set(cuts)))
    named = tuple(owners[i % len(owners)] for i in range(len(firsts)))
    return assignments.Assignment("s", version, firsts, named)


_ASSIGNMENTS = st.builds(
    _assignment,
    st.just((1, 1)),
    st.lists(st.integers(1, ranges.KEYS - 1), max_size=12),
    st.lists(st.sampled_from(_OWNERS), min_size=1, max_size=8),
)


class TestDifference:
    """The update that is sent instead of the whole assignment."""

    @hypothesis.given(
        old=_ASSIGNMENTS, new=_ASSIGNMENTS, keys=st.lists(st.integers(0, 65535))
    )
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    def test_update_makes_the_new_assignment(self, old, new, keys):
        """A VM that applies updates routes by the same owners as the leader."""
        new = assignments.Assignment("s", (1, 2), new.firsts, new.owners)
        update = assignments.difference(old, new)
        updated = assignments.apply(old, update)
        assert updated.version == (1, 2)
        for key in {0, 65535, *keys, *old.firsts, *new.firsts}:
            assert updated.owner(key) == new.owner(key)
        assert list(updated.firsts) == sorted(set(updated.firsts))

    def test_wrong_base(self):
        """An update for another version than the current one is not applied.

        Otherwise requests would be sent to targets that lost their keys long
        ago.
        """
        old = _assignment((1, 1), [9], ["t1", "t2"])
        new = _assignment((1, 3), [10], ["t1", "t2"])
        other = _assignment((1, 2), [9], ["t1", "t2"])
        assert (
            assignments.apply(other, assignments.difference(old, new)) is None
        )

    def test_of_table(self):
        """Keys in a handover have no owner to route to."""
        holder = ranges.Holder("t1", 1, "t1:80")
        other = ranges.Holder("t2", 1, "t2:80")
        table = ranges.initial_table("s", {holder: 1.0, other: 1.0}, "c")
        updated = assignments.from_table(table, (4, 7), {table.ranges[1].piece})
        assert (updated.owner(0), updated.owner(65535)) == ("", "t2")
