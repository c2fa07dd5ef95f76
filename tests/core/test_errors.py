"""Tests of the closed list of error kinds."""

import pytest

from mimosastile_core import errors


class TestTable:
    """The table kind -> answer."""

    @pytest.mark.parametrize("kind", errors.ErrorKind)
    def test_every_kind_has_an_answer(self, kind):
        """A kind without an answer would surface as a crash."""
        assert errors.ANSWERS[kind].status >= 400

    @pytest.mark.parametrize("kind", errors.ErrorKind)
    def test_only_what_did_not_run_may_be_sent_again(self, kind):
        """Sending again what may have run would print a letter twice."""
        answer = errors.ANSWERS[kind]
        if answer.ran is errors.Ran.PERHAPS:
            assert not answer.router_retries
            assert not answer.caller_retries
