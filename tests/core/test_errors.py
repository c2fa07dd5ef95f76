"""Tests of the closed list of error kinds."""

import pathlib

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

    def test_callers_page_says_the_same(self):
        """The page is made from the table and must not fall behind."""
        root = pathlib.Path(__file__).parent.parent.parent
        page = (root / "docs" / "CALLERS.md").read_text()
        assert errors.callers_table() in page


class TestFailure:
    """What a particular caller is told."""

    @pytest.mark.parametrize(
        ("failure", "retries", "wait"),
        [
            (errors.Failure(errors.ErrorKind.ANSWER_LOST), False, 0),
            (
                errors.Failure(errors.ErrorKind.ANSWER_LOST, repeatable=True),
                True,
                1,
            ),
            (errors.Failure(errors.ErrorKind.NO_OWNER), True, 1),
            (
                errors.Failure(errors.ErrorKind.OVERLOADED, retry_after=7),
                True,
                7,
            ),
            (
                errors.Failure(errors.ErrorKind.QUARANTINED, retry_after=900),
                False,
                900,
            ),
        ],
    )
    def test_retry_and_when(self, failure, retries, wait):
        """An idempotent request may be repeated although it may have run."""
        assert (failure.caller_retries, failure.wait) == (retries, wait)
