"""Random histories of orders: no key has two owners."""

import os

import pytest

from tests.platform import order_history
from tests.platform import order_world

Trouble = order_world.Trouble
_FIRST_SEED = int(os.environ.get("ORDER_HISTORIES_FIRST", "1"))
_SEEDS = int(os.environ.get("ORDER_HISTORIES", "12"))
"""Number of random histories; runs by hand play more."""

_TRACE_LINES = 60
"""Last lines of the trace of a violation that a failed test shows."""


def _assert_one_owner(seed, troubles):
    violations, trace = order_history.play(seed, troubles)
    assert not violations, "\n".join(trace[-_TRACE_LINES:])


class TestOwners:
    """The rule on owners, under the troubles that each fault takes."""

    @pytest.mark.parametrize("seed", [1, 4, 9])
    def test_copied_grant_answer(self, seed):
        """Guards against a copied answer to a grant that confirms a release.

        The next owner gets keys on which the former one still works.
        """
        _assert_one_owner(seed, {Trouble.EXTRA_GRANTED})

    @pytest.mark.parametrize("seed", [1, 2, 4])
    def test_copied_release_answer(self, seed):
        """Guards against a copied answer to another release."""
        _assert_one_owner(seed, {Trouble.EXTRA_RELEASED, Trouble.LONG_WORK})

    @pytest.mark.parametrize("seed", [2, 4, 10])
    def test_grant_of_earlier_table(self, seed):
        """Guards against a grant sent after its keys have another owner.

        It waits for a permit while its table is replaced.
        """
        _assert_one_owner(seed, {Trouble.FEW_PERMITS, Trouble.LATE_ANSWERS})

    @pytest.mark.parametrize("seed", [11, 14, 18])
    def test_grant_taken_after_restart(self, seed):
        """Guards against a restart as a proof that a grant has ended.

        The grant was sent to the earlier incarnation and taken by the later
        one, before its registration arrived.
        """
        _assert_one_owner(
            seed,
            {
                Trouble.RESTARTS,
                Trouble.LATE_REGISTRATIONS,
                Trouble.SLOW_STORE,
            },
        )

    @pytest.mark.parametrize("seed", [32, 53])
    def test_lapse_after_restart(self, seed):
        """Guards against a wait that omits grants to an earlier incarnation.

        The later one took such a grant, was given a new fence, and lost the
        keys to another target before it was sent a grant of its own.
        """
        _assert_one_owner(seed, {Trouble.RESTARTS, Trouble.LATE_ANSWERS})

    @pytest.mark.parametrize("seed", [4, 69])
    def test_release_during_restart(self, seed):
        """Guards against a restart that ends the wait for a release.

        The later incarnation works on keys of a grant that was sent to the
        earlier one, and has not confirmed the release.
        """
        _assert_one_owner(
            seed,
            {
                Trouble.RESTARTS,
                Trouble.LATE_REGISTRATIONS,
                Trouble.LONG_WORK,
            },
        )

    @pytest.mark.parametrize("seed", [4, 41, 64])
    def test_copied_rejection(self, seed):
        """Guards against a copied 421 that proves the end of a target.

        It was sent to an order for the former target at the address, and
        comes again where the answer to an order for the present one belongs.
        """
        _assert_one_owner(
            seed,
            {
                Trouble.EXTRA_REPLACED,
                Trouble.RESTARTS,
                Trouble.REUSED_ADDRESSES,
            },
        )

    @pytest.mark.parametrize("seed", [3, 5, 8])
    def test_foreign_registration(self, seed):
        """Guards against an incomplete registration as a proof of a restart."""
        _assert_one_owner(
            seed, {Trouble.FOREIGN_REGISTRATIONS, Trouble.SLOW_STORE}
        )


class TestHistories:
    """The rule on owners under troubles that are drawn for each history."""

    @pytest.mark.parametrize("seed", range(_FIRST_SEED, _FIRST_SEED + _SEEDS))
    def test_one_owner(self, seed):
        """Guards against troubles that break the rule only together."""
        _assert_one_owner(seed, order_history.draw(seed))
