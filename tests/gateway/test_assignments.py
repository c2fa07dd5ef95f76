"""Assignments of keys and what is told of their changes."""

import hypothesis
from hypothesis import strategies as st

from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import ranges

_OWNERS = ["", "t1", "t2", "t3"]


def _assignment(version, cuts, owners):
    firsts = (0, *sorted(set(cuts)))
    named = tuple(owners[i % len(owners)] for i in range(len(firsts)))
    return assignments.Assignment("s", version, firsts, named)


_MADE = st.builds(
    _assignment,
    st.just((1, 1)),
    st.lists(st.integers(1, ranges.KEYS - 1), max_size=12),
    st.lists(st.sampled_from(_OWNERS), min_size=1, max_size=8),
)


class TestDifference:
    """What is told instead of the whole."""

    @hypothesis.given(
        old=_MADE, new=_MADE, keys=st.lists(st.integers(0, 65535))
    )
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    def test_applied_it_makes_the_new_one(self, old, new, keys):
        """A VM that is told changes routes as one that is told everything."""
        new = assignments.Assignment("s", (1, 2), new.firsts, new.owners)
        told = assignments.difference(old, new)
        made = assignments.apply(old, told)
        assert made.version == (1, 2)
        for key in {0, 65535, *keys, *old.firsts, *new.firsts}:
            assert made.owner(key) == new.owner(key)
        assert list(made.firsts) == sorted(set(made.firsts))

    def test_wrong_base(self):
        """A change for another version than the known one is not applied.

        Keys would be sent to targets that lost them long ago.
        """
        old = _assignment((1, 1), [9], ["t1", "t2"])
        new = _assignment((1, 3), [10], ["t1", "t2"])
        other = _assignment((1, 2), [9], ["t1", "t2"])
        assert (
            assignments.apply(other, assignments.difference(old, new)) is None
        )

    def test_of_table(self):
        """Keys that change hands have no owner to route to."""
        holder = ranges.Holder("t1", 1, "t1:80")
        other = ranges.Holder("t2", 1, "t2:80")
        table = ranges.initial("s", {holder: 1.0, other: 1.0}, "c")
        made = assignments.of_table(table, (4, 7), {table.ranges[1].piece})
        assert (made.owner(0), made.owner(65535)) == ("", "t2")
