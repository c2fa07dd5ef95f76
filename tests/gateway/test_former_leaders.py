"""Former leaders: when they have stopped, and how long their grants last."""

import pytest

from mimosastile_core.gateway import former_leaders
from mimosastile_core.gateway import lease_extension

W1 = lease_extension.Witness("vm-1", "boot-1")
W2 = lease_extension.Witness("vm-2", "boot-2")


def _formers(calm=0.0, longer=float("-inf")):
    """Returns a leader replaced at 0, with authority of 10 s, short 2.5 s."""
    return former_leaders.FormerLeaders(
        10.0, ("vm-0",), calm, 2.0, 10.0, longer, (W1, W2), 2.5
    )


class TestWitnesses:
    """What witnesses of a silent leader prove."""

    @pytest.mark.parametrize(
        ("words", "lapse"),
        [
            pytest.param([], 12.3, id="nobody can be asked"),
            pytest.param([(W1, None)], 4.64, id="one made no promise"),
            pytest.param([(W1, 6.0)], 8.3, id="one promised six seconds"),
            pytest.param([(W1, 1.0)], 4.64, id="its promise ends sooner"),
            pytest.param([(W1, -0.5)], 4.64, id="its promise has ended"),
            pytest.param([(W1, 6.0), (W2, None)], 4.64, id="not all promised"),
            pytest.param([(W2, None), (W1, 6.0)], 4.64, id="in any order"),
            pytest.param([(W1, 6.0), (W2, 4.0)], 6.3, id="both promised"),
            pytest.param(
                [(lease_extension.Witness("vm-1", "later"), None)],
                12.3,
                id="a later run of a witness knows nothing",
            ),
            pytest.param(
                [(lease_extension.Witness("vm-9", "boot-9"), None)],
                12.3,
                id="another VM",
            ),
        ],
    )
    def test_word(self, words, lapse):
        """Guards against keys given away while a silent leader renews them."""
        former = _formers()
        for witness, promised in words:
            former.record_promise(witness, promised, 0.0)
        assert former.lapse() == pytest.approx(lapse, abs=0.01)

    def test_ended_promise(self):
        """Guards against grants forgotten once the promise has ended.

        The leader's process is known to have ended, and gave longer grants
        under the promise.
        """
        former = _formers()
        former.stopped(1.0)
        former.record_promise(W1, 3.0, 0.0)
        former.record_promise(W1, -2.0, 5.0)
        assert former.lapse() == pytest.approx(5.3, abs=0.01)

    def test_leader_and_witness_speak(self):
        """The leader follows its successor: its grants are usual ones."""
        former = _formers()
        former.record_promise(W1, None, 0.5)
        former.follows("vm-0", 1.0, None)
        assert former.lapse() == pytest.approx(3.14, abs=0.01)

    def test_restarted_leader_cannot_tell(self):
        """Guards against a restarted leader's longer grants being forgotten."""
        former = _formers()
        former.follows("vm-0", 1.0, None)
        assert former.lapse() == pytest.approx(11.3, abs=0.01)
