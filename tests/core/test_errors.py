"""Tests of the closed list of error kinds."""

import pathlib

import pytest

from mimosastile_core import errors


class TestTable:
    """The table of responses by error kind."""

    @pytest.mark.parametrize("kind", errors.ErrorKind)
    def test_every_kind_has_a_response(self, kind):
        """A kind without a response would raise KeyError during a request."""
        assert errors.ERROR_RESPONSES[kind].status >= 400

    @pytest.mark.parametrize("kind", errors.ErrorKind)
    def test_only_requests_that_did_not_run_may_be_retried(self, kind):
        """Retrying a request that may have run could execute it twice."""
        response = errors.ERROR_RESPONSES[kind]
        if response.ran is errors.Ran.PERHAPS:
            assert not response.router_retries
            assert not response.caller_retries

    def test_callers_page_contains_the_table(self):
        """The page contains the table and must be updated with it."""
        root = pathlib.Path(__file__).parent.parent.parent
        page = (root / "docs" / "CALLERS.md").read_text()
        assert errors.callers_table() in page


class TestFailure:
    """Retry advice in the response to a caller."""

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
    def test_retry_and_delay(self, failure, retries, wait):
        """An idempotent request may be retried although it may have run."""
        assert (failure.caller_retries, failure.wait) == (retries, wait)
