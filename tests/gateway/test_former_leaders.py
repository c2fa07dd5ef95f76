"""Former leaders: when they have stopped, and when their grants expire."""

import pytest

from mimosastile_core.gateway import former_leaders
from mimosastile_core.gateway import lease_extension

W1 = lease_extension.Witness("vm-1", "boot-1")
W2 = lease_extension.Witness("vm-2", "boot-2")


def _former_leaders(calm=0.0, longer=float("-inf")):
    """Returns a leader replaced at 0 s.

    Its lease lasted 10 s, or 2.5 s without the promises of witnesses.
    """
    return former_leaders.FormerLeaders(
        10.0, ("vm-0",), calm, 2.0, 10.0, longer, (W1, W2), 2.5
    )


class TestWitnesses:
    """What reports of witnesses prove about an unreachable former leader."""

    @pytest.mark.parametrize(
        ("reports", "expires"),
        [
            pytest.param([], 12.3, id="no witness can be reached"),
            pytest.param([(W1, None)], 4.64, id="one made no promise"),
            pytest.param([(W1, 6.0)], 8.3, id="one promised six seconds"),
            pytest.param([(W1, 1.0)], 4.64, id="its promise expires sooner"),
            pytest.param([(W1, -0.5)], 4.64, id="its promise has expired"),
            pytest.param([(W1, 6.0), (W2, None)], 4.64, id="not all promised"),
            pytest.param([(W2, None), (W1, 6.0)], 4.64, id="in any order"),
            pytest.param([(W1, 6.0), (W2, 4.0)], 6.3, id="both promised"),
            pytest.param(
                [(lease_extension.Witness("vm-1", "later"), None)],
                12.3,
                id="later incarnation of a witness",
            ),
            pytest.param(
                [(lease_extension.Witness("vm-9", "boot-9"), None)],
                12.3,
                id="another VM",
            ),
        ],
    )
    def test_witness_reports(self, reports, expires):
        """Guards against a new owner for keys whose grants are still renewed.

        A former leader that cannot be reached may still renew them.
        """
        leaders = _former_leaders()
        for witness, promised in reports:
            leaders.record_promise(witness, promised, 0.0)
        assert leaders.grants_expire_at() == pytest.approx(expires, abs=0.01)

    def test_expired_promise(self):
        """Guards against ignoring grants once the promise has expired.

        The leader's process is known to have ended, and it gave extended grants
        under the promise.
        """
        leaders = _former_leaders()
        leaders.record_stopped(1.0)
        leaders.record_promise(W1, 3.0, 0.0)
        leaders.record_promise(W1, -2.0, 5.0)
        assert leaders.grants_expire_at() == pytest.approx(5.3, abs=0.01)

    def test_reports_of_leader_and_witness(self):
        """The former leader reports as a follower; its grants were usual."""
        leaders = _former_leaders()
        leaders.record_promise(W1, None, 0.5)
        leaders.record_follower("vm-0", 1.0, None)
        assert leaders.grants_expire_at() == pytest.approx(3.14, abs=0.01)

    def test_restarted_leader_without_record(self):
        """Guards against ignoring the extended grants of a restarted leader."""
        leaders = _former_leaders()
        leaders.record_follower("vm-0", 1.0, None)
        assert leaders.grants_expire_at() == pytest.approx(11.3, abs=0.01)
