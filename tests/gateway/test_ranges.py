"""Tables of key ranges."""

import hypothesis
from hypothesis import strategies as st
import pytest

from mimosastile_core.gateway import ranges

HOLDERS = [ranges.Holder(f"t{i}", 1, f"10.0.0.{i}:80") for i in range(4)]
A, B, C, D = HOLDERS


def _table(*weights):
    given = weights or (1, 1, 1)
    return ranges.initial_table(
        "s", dict(zip(HOLDERS, map(float, given), strict=False)), "c1"
    )


class TestInitial:
    """The first table."""

    @pytest.mark.parametrize(
        "weights", [(1,), (1, 1, 1), (4, 2, 1, 1), (1000, 0.001)]
    )
    def test_covers_all_keys(self, weights):
        """Every key has one owner."""
        table = _table(*weights)
        assert ranges.find_problem(table) == ""

    def test_widths_follow_weights(self):
        """A target with twice the slots gets twice the keys."""
        table = _table(2, 1, 1)
        assert [r.width for r in table.ranges] == [32768, 16384, 16384]

    @pytest.mark.parametrize("revision", [1, 1000])
    def test_fences_after_a_lost_table(self, revision):
        """Guards against a fence that an unreadable table gave out before.

        As many changes as there are revisions move every key.
        """
        highest = ranges.initial_table("s", {A: 1.0, B: 1.0}, "c").next_fence
        highest += (revision - 1) * 2 * ranges.KEYS
        table = ranges.initial_table(
            "s", {A: 1.0, B: 1.0}, "c", ranges.fence_after(revision) + 1
        )
        assert all(item.fence > highest - 3 for item in table.ranges)
        assert ranges.find_problem(table) == ""


class TestMove:
    """Moves of keys between owners."""

    def test_middle_of_a_range(self):
        """A hot interval within a range moves, and adjacent keys stay."""
        table = ranges.move(_table(1, 1), [ranges.Move(100, 200, B)], "c2")
        assert ranges.find_problem(table) == ""
        assert [(r.first, r.last, r.owner) for r in table.ranges[:3]] == [
            (0, 99, A),
            (100, 200, B),
            (201, 32767, A),
        ]

    def test_two_new_fences(self):
        """Keys return to a target that owned them before.

        Late orders from the target's first ownership must not count as new
        ones. Each change therefore has its own fences, and the fence that takes
        keys away is lower than the one that grants them.
        """
        first = ranges.move(_table(1, 1), [ranges.Move(0, 9, B)], "c2")
        moved = first.find(5)
        assert moved.formers[0].holder == A
        assert moved.formers[0].fence == 3
        assert moved.fence == 4
        settled = ranges.remove_released(first, {moved.piece: [3]}, "c3")
        back = ranges.move(settled, [ranges.Move(0, 9, A)], "c4").find(5)
        assert (back.formers[0].fence, back.fence) == (5, 6)

    def test_new_owner_lost_before_its_grant(self):
        """A range's new owner crashes before it gets its grant.

        Both the new owner and the former one may hold the keys, so the third
        one must wait for both.
        """
        table = ranges.move(_table(1, 1), [ranges.Move(0, 9, B)], "c2")
        table = ranges.move(table, [ranges.Move(0, 9, C)], "c3")
        assert [f.holder for f in table.find(0).formers] == [A, B]

    def test_move_to_the_present_owner_changes_nothing(self):
        """A move to the present owner takes nothing from it."""
        table = ranges.move(_table(1, 1), [ranges.Move(0, 9, A)], "c2")
        assert table.find(5).formers == ()
        assert table.find(5).fence == 1


class TestRefence:
    """Targets that restarted."""

    def test_new_incarnation_gets_new_fences(self):
        """A target restarts under its identifier and loses its grants.

        A renewal under the old fence would count as a grant to an incarnation
        that never had it.
        """
        restarted = ranges.Holder("t0", 2, "10.0.0.0:80")
        table = ranges.refence(_table(1, 1), {A: restarted}, "c2")
        assert table.find(0).owner == restarted
        assert table.find(0).fence >= 3
        assert table.find(40000).fence == 2
        assert ranges.find_problem(table) == ""


class TestJoin:
    """Adjacent ranges of one owner."""

    def test_joined_under_a_new_fence(self):
        """Ranges split for a hot interval are joined when the load is gone."""
        table = ranges.move(_table(1, 1), [ranges.Move(5, 9, B)], "c2")
        table = ranges.remove_released(table, {table.find(5).piece: [3]}, "c3")
        table = ranges.move(table, [ranges.Move(5, 9, A)], "c4")
        table = ranges.remove_released(table, {table.find(5).piece: [5]}, "c5")
        joined = ranges.join(table, 8, "c6")
        assert len(joined.ranges) == 2
        assert joined.find(7).fence >= table.next_fence
        assert ranges.find_problem(joined) == ""

    def test_not_during_a_handover(self):
        """A range in a handover is not joined."""
        table = ranges.move(_table(1, 1), [ranges.Move(0, 9, B)], "c2")
        table = ranges.move(table, [ranges.Move(10, 32767, B)], "c3")
        assert len(ranges.join(table, 8, "c4").ranges) == len(table.ranges)


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["move", "settle", "refence", "join"]),
        st.integers(0, ranges.KEYS - 1),
        st.integers(0, 9000),
        st.sampled_from(HOLDERS),
    ),
    max_size=25,
)


@hypothesis.given(steps=_STEPS)
@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
def test_any_sequence_of_changes_keeps_the_table_valid(steps):
    """Any sequence of changes leaves each key with one owner, and fences rise.

    If the fence of a key's owner fell, the owner would refuse the key for ever.
    If former owners were missing while they still hold a key, the key would
    have two owners.
    """
    table = _table(1, 1, 1)
    seen = {}
    borders = {first for _, first, _, _ in steps}
    borders |= {min(f + w, ranges.KEYS - 1) for _, f, w, _ in steps}
    for number, (step, first, width, holder) in enumerate(steps):
        last = min(first + width, ranges.KEYS - 1)
        commit = f"c{number + 2}"
        if step == "move":
            table = ranges.move(
                table, [ranges.Move(first, last, holder)], commit
            )
        elif step == "settle":
            item = table.find(first)
            done = {item.piece: [f.fence for f in item.formers]}
            table = ranges.remove_released(table, done, commit)
        elif step == "refence":
            table = ranges.refence(table, {holder: holder}, commit)
        else:
            table = ranges.join(table, 4, commit)
        assert ranges.find_problem(table) == ""
        for key in (0, *borders, ranges.KEYS - 1):
            found = table.find(key)
            assert key in found
            owner, fence = seen.get(key, (None, 0))
            assert found.fence >= fence
            if owner not in (None, found.owner):
                assert found.fence > fence
                assert owner in {f.holder for f in found.formers}
            seen[key] = (found.owner, found.fence)
