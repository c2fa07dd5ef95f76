"""Tests of load rebalancing by moves and splits of slices."""

import hypothesis
from hypothesis import strategies as st
import pytest

from mimosastile_core import balance_plan
from mimosastile_core import config
from mimosastile_core import keys
from mimosastile_core import moves
from mimosastile_core import splits
from mimosastile_core import tables

WEIGHTS = config.Placement()
FREE = config.Placement(moves_in_flight=10_000)


def _slices(owners):
    ranges = keys.even_ranges(len(owners))
    return tuple(
        tables.Slice(first, last, owner, 2)
        for (first, last), owner in zip(ranges, owners, strict=True)
    )


def _candidates(*names, **capacities):
    return [
        balance_plan.Candidate(n, f"z{i % 2}", "r", capacities.get(n, 1.0))
        for i, n in enumerate(names)
    ]


def _loads(slices, weights):
    return {
        s.first: balance_plan.SliceLoad(w)
        for s, w in zip(slices, weights, strict=True)
    }


def _after(slices, loads, plan):
    held = {}
    for piece in slices:
        owner = plan.moves.get(piece.first, piece.owner)
        held[owner] = held.get(owner, 0.0) + loads[piece.first].load
    return held


class TestRebalancing:
    """An uneven load is levelled with few moves."""

    def test_even_load_gives_an_empty_plan(self):
        """The plan has neither moves nor splits."""
        slices = _slices(["a", "b"] * 8)
        loads = _loads(slices, [1.0] * 16)
        made = balance_plan.plan(slices, loads, _candidates("a", "b"), WEIGHTS)
        assert made == balance_plan.Plan()

    def test_new_target_gets_its_share(self):
        """Slices move to it although no other target leaves."""
        slices = _slices(["a", "b"] * 12)
        loads = _loads(slices, [1.0] * 24)
        made = balance_plan.plan(
            slices, loads, _candidates("a", "b", "c"), WEIGHTS
        )
        assert list(made.moves.values()).count("c") == 8
        assert len(made.moves) == 8

    def test_cold_target_gets_a_smaller_share(self):
        """Its capacity is reduced during the slow start."""
        slices = _slices(["a", "b"] * 12)
        loads = _loads(slices, [1.0] * 24)
        cold = _candidates("a", "b", "c", c=0.25)
        made = balance_plan.plan(slices, loads, cold, WEIGHTS)
        assert 1 <= len(made.moves) <= 4

    def test_moves_in_flight_are_bounded(self):
        """Moves already in flight count toward the bound."""
        slices = list(_slices(["a"] * 40))
        slices[0] = tables.Slice(slices[0].first, slices[0].last, "a", 2, "b")
        weights = config.Placement(moves_in_flight=5)
        loads = _loads(slices, [1.0] * 40)
        made = balance_plan.plan(slices, loads, _candidates("a", "b"), weights)
        assert len(made.moves) == 4

    def test_unlisted_owner_loses_its_slices(self):
        """The largest slices go first, each to the least filled target."""
        slices = _slices(["a", "gone", "b", "gone"])
        loads = _loads(slices, [1.0, 3.0, 3.0, 1.0])
        made = balance_plan.plan(slices, loads, _candidates("a", "b"), FREE)
        assert made.moves[slices[1].first] == "a"
        assert len(made.moves) == 2

    @pytest.mark.parametrize("noise", [0.0, 0.01, 0.02])
    def test_noise_moves_nothing(self, noise):
        """Three slices on two targets cannot be levelled further."""
        slices = _slices(["a", "a", "b"])
        loads = _loads(slices, [1.0 - noise, 1.0, 1.0 - 2 * noise])
        made = balance_plan.plan(slices, loads, _candidates("a", "b"), FREE)
        assert made.moves == {}

    def test_recently_moved_slice_stays(self):
        """It is excluded from the plan at any load."""
        slices = _slices(["a"] * 4)
        loads = _loads(slices, [1.0] * 4)
        recently_moved = {s.first for s in slices[:3]}
        made = balance_plan.plan(
            slices, loads, _candidates("a", "b"), FREE, recently_moved
        )
        assert set(made.moves) <= {slices[3].first}

    def test_own_zone_is_preferred(self):
        """It goes before another zone among targets with enough headroom."""
        slices = _slices(["a"] * 6 + ["b"] * 3 + ["c"] * 3)
        places = [
            balance_plan.Candidate("a", "z1", "r1"),
            balance_plan.Candidate("b", "z2", "r2"),
            balance_plan.Candidate("c", "z1", "r1"),
        ]
        loads = _loads(slices, [1.0] * 12)
        weights = config.Placement(moves_in_flight=1)
        made = balance_plan.plan(slices, loads, places, weights)
        assert list(made.moves.values()) == ["c"]

    @pytest.mark.parametrize(
        ("churn", "moves_made"), [(1.0, True), (200, False)]
    )
    def test_weights_decide(self, churn, moves_made):
        """With a high churn weight a slight imbalance is kept."""
        slices = _slices(["a"] * 10 + ["b"] * 7)
        loads = _loads(slices, [1.0] * 17)
        weights = config.Placement(churn=churn)
        made = balance_plan.plan(slices, loads, _candidates("a", "b"), weights)
        assert bool(made.moves) is moves_made

    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(
        st.lists(st.floats(0.01, 10), min_size=8, max_size=60),
        st.integers(2, 6),
    )
    def test_maximum_load_never_increases(self, weights, count):
        """Property test over random loads and target counts."""
        names = [f"t{i}" for i in range(count)]
        slices = _slices([names[i * i % count] for i in range(len(weights))])
        loads = _loads(slices, weights)
        made = balance_plan.plan(slices, loads, _candidates(*names), FREE)
        before = _after(slices, loads, balance_plan.Plan())
        after = _after(slices, loads, made)
        assert max(after.values()) <= max(before.values()) + 1e-9


class TestHotKey:
    """One key takes a large part of all requests.

    Moving its slice would overload another target in the same way, and the
    other keys of the slice would become unavailable with it.
    """

    def test_becomes_a_slice_of_its_own(self):
        """The slice is split on both sides of the key."""
        slices = _slices(["a", "b"] * 2)
        loads = _loads(slices, [1.0] * 4)
        piece = slices[0]
        hot = piece.first + 1000
        loads[piece.first] = balance_plan.SliceLoad(9.0, hot, 8.0)
        made = balance_plan.plan(slices, loads, _candidates("a", "b"), WEIGHTS)
        assert made.splits[piece.first] == (piece.first, hot, hot + 1)

    def test_new_target_gets_slices_despite_a_hot_key(self):
        """The target with the hot key gives none and does not end the plan."""
        slices = _slices(["a"] + ["b"] * 8 + ["c"] * 8)
        loads = _loads(slices, [50.0] + [1.0] * 16)
        names = _candidates("a", "b", "c", "fresh")
        made = balance_plan.plan(slices, loads, names, WEIGHTS)
        assert set(made.moves.values()) == {"fresh"}
        assert slices[0].first not in made.moves

    def test_slice_without_a_hot_key_is_halved(self):
        """One half can then be moved."""
        slices = _slices(["a", "b"] * 2)
        loads = _loads(slices, [9.0, 1.0, 1.0, 1.0])
        made = balance_plan.plan(slices, loads, _candidates("a", "b"), WEIGHTS)
        assert len(made.splits[slices[0].first]) == 2


class TestOperatorMoves:
    """An operator orders the move of a key to a target."""

    def test_key_is_split_off_then_moved(self):
        """The split comes first; the next plan moves the key alone."""
        block = tables.Block("s", 0, 5, _slices(["a", "b"]))
        first = balance_plan.plan_operator_moves(
            block.slices, {"k": "b"}, {"a", "b"}
        )
        other = balance_plan.plan_operator_moves(
            block.slices, {"k": "a"}, {"a", "b"}
        )
        cut, wanted = (first, "b") if first.splits else (other, "a")
        after = splits.split(block, cut.splits).unwrap()
        plan = balance_plan.plan_operator_moves(
            after.slices, {"k": wanted}, {"a", "b"}
        )
        at = keys.key_hash("k")
        assert plan.moves == {at: wanted}
        assert plan.splits == {}

    def test_target_that_is_not_ready_gets_nothing(self):
        """The order stays pending."""
        slices = _slices(["a", "a"])
        made = balance_plan.plan_operator_moves(slices, {"k": "b"}, {"a"})
        assert made == balance_plan.Plan()


class TestSlowStart:
    """The capacity of a target that has just started is reduced."""

    @pytest.mark.parametrize(
        ("age", "seconds", "share"),
        [(0, 30, 0.1), (15, 30, 0.5), (30, 30, 1), (99, 30, 1), (0, 0, 1)],
    )
    def test_capacity_grows_with_age(self, age, seconds, share):
        """It grows from a tenth to the full capacity."""
        assert balance_plan.slow_start_capacity(age, seconds) == share


class TestImbalance:
    """Imbalance of the loads of targets."""

    def test_worst_over_mean(self):
        """1 is even; an empty distribution counts as even."""
        assert balance_plan.measure_imbalance({"a": 3.0, "b": 1.0}).worst == 1.5
        assert balance_plan.measure_imbalance({}).worst == 1.0


class TestPlannedChangeIsValid:
    """Applied plans give block versions that preserve the invariants."""

    def test_split_and_moves_are_successors(self):
        """`check_successor` accepts each step."""
        slices = _slices(["a"] * 4 + ["b"] * 2)
        block = tables.Block("s", 0, 5, slices)
        loads = _loads(slices, [9.0, 1, 1, 1, 1, 1])
        made = balance_plan.plan(slices, loads, _candidates("a", "b"), WEIGHTS)
        after = splits.split(block, made.splits).unwrap()
        assert tables.check_successor(block, after).is_ok()
        last = moves.start_moves(after, made.moves).unwrap()
        assert tables.check_successor(after, last).is_ok()
