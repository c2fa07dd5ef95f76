"""Random histories of orders: no key has two owners."""

import pytest

from tests.platform import order_history
from tests.platform import order_world

Trouble = order_world.Trouble


class TestOwners:
    """The rule on owners under single troubles and pairs of them."""

    @pytest.mark.parametrize("seed", [1, 4, 9])
    def test_copied_grant_answer(self, seed):
        """Guards against a copied answer to a grant that confirms a release.

        The next owner gets keys on which the former one still works.
        """
        violations, trace = order_history.play(seed, {Trouble.EXTRA_ANSWERS})
        assert not violations, "\n".join(trace)

    @pytest.mark.parametrize("seed", [2, 4, 10])
    def test_grant_of_earlier_table(self, seed):
        """Guards against a grant sent after its keys have another owner.

        It waits for a permit while its table is replaced.
        """
        violations, trace = order_history.play(
            seed, {Trouble.FEW_PERMITS, Trouble.LATE_ANSWERS}
        )
        assert not violations, "\n".join(trace)

    @pytest.mark.parametrize("seed", [20, 58769])
    def test_former_leader_and_restart(self, seed):
        """Guards against a former leader that renews what a target released.

        The target has restarted meanwhile and knows no fences.
        """
        violations, trace = order_history.play(
            seed, {Trouble.CUT_LEADERS, Trouble.RESTARTS}
        )
        assert not violations, "\n".join(trace)
